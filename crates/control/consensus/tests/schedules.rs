//! Proposals under seeded schedules: messages lost, doubled, late and out of order, machines that lose their disks, processes
//! that end before their own disk knew of a number, and sets of voters that change. Whatever happens, one slot has one value.

use limeway_consensus::{
    Acceptor, AcceptorReply, NodeId, ProposalNumber, Proposer, ProposerStep, RoundAllocator, Slot, Voter,
};
use rstest::rstest;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

/// The guard that is disabled.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DisabledGuard {
    None,
    /// A machine that lost its disk votes with the incarnation of the old one.
    DiskIncarnations,
    /// Proposal numbers do not tell the incarnations of a process apart.
    ProcessIncarnations,
    /// A proposer takes its rounds from its own acceptor alone.
    UniqueRounds,
    /// A newcomer is given a voter before it has the state, and votes without it.
    CandidateCatchUp,
}

#[derive(Debug, Clone)]
enum Message {
    Prepare(Slot, ProposalNumber),
    Accept(Slot, ProposalNumber, ByteBuf),
    Reply(Slot, ProposalNumber, AcceptorReply),
}

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % n as u64) as usize
    }
}

/// One machine: what is on its disk, and the proposal that its process has under way.
#[derive(Clone)]
struct Machine {
    disk: Acceptor,
    /// The values of the slots that it has applied.
    log: Vec<ByteBuf>,
    /// The rounds that its process has used: forgotten when it ends.
    rounds: RoundAllocator,
    incarnation: u64,
    proposer: Option<Proposer>,
    accepting: ByteBuf,
}

struct Cluster {
    disabled: DisabledGuard,
    first: Vec<Voter>,
    machines: Vec<Machine>,
    wire: Vec<(NodeId, NodeId, Message)>,
    /// Who has ever accepted what, by slot.
    accepted: BTreeMap<(Slot, ProposalNumber, Vec<u8>), BTreeSet<Voter>>,
    /// The values that a majority of the voters of a slot has accepted.
    chosen: BTreeMap<Slot, BTreeSet<Vec<u8>>>,
    next: u64,
}

/// A value is a number, and the voters from the next slot on if it changes them.
fn value(number: u64, voters: &[Voter]) -> ByteBuf {
    let mut bytes = number.to_be_bytes().to_vec();
    for voter in voters {
        bytes.extend_from_slice(&voter.node.to_be_bytes());
        bytes.extend_from_slice(&voter.disk.to_be_bytes());
    }
    ByteBuf::from(bytes)
}

fn voters_of(bytes: &[u8]) -> Vec<Voter> {
    let voter = |c: &[u8]| Voter {
        node: c[..4].iter().fold(0, |n, b| n << 8 | u32::from(*b)),
        disk: c[4..].iter().fold(0, |n, b| n << 8 | u64::from(*b)),
    };
    bytes[8..].chunks(12).map(voter).collect()
}

impl Cluster {
    fn new(machines: usize, spare: usize, disabled: DisabledGuard) -> Self {
        let machine = |n: usize| Machine {
            disk: Acceptor { disk: if n < machines { 0 } else { 100 + n as u64 }, ..Acceptor::default() },
            log: Vec::new(),
            rounds: RoundAllocator::default(),
            incarnation: 1 + n as u64,
            proposer: None,
            accepting: ByteBuf::new(),
        };
        Cluster {
            disabled,
            first: (0..machines as NodeId).map(|node| Voter { node, disk: 0 }).collect(),
            machines: (0..machines + spare).map(machine).collect(),
            wire: Vec::new(),
            accepted: BTreeMap::new(),
            chosen: BTreeMap::new(),
            next: 1_000,
        }
    }

    /// The voters for the slot after a log.
    fn voters(&self, log: &[ByteBuf]) -> Vec<Voter> {
        log.iter().rev().map(|v| voters_of(v)).find(|s| !s.is_empty()).unwrap_or_else(|| self.first.clone())
    }

    fn voter(&self, at: usize) -> Voter {
        Voter { node: at as NodeId, disk: self.machines[at].disk.disk }
    }

    fn propose(&mut self, at: usize, rng: &mut Rng) {
        let machine = &self.machines[at];
        let voters = self.voters(&machine.log);
        self.next += 1;
        // Now and then a machine without a voter takes the place of one that lost its disk or is another machine's.
        let new = (0..self.machines.len()).map(|n| self.voter(n)).find(|s| {
            let has = self.machines[s.node as usize].log.len() == machine.log.len();
            !voters.contains(s) && (has || self.disabled == DisabledGuard::CandidateCatchUp)
        });
        let change = match new {
            Some(new) if rng.below(2) == 0 => {
                let mut next = voters.clone();
                let place = next.iter().position(|s| s.node == new.node).unwrap_or(rng.below(next.len()));
                next[place] = new;
                next
            }
            _ => Vec::new(),
        };
        let machine = &mut self.machines[at];
        let slot = machine.disk.applied + 1;
        // A machine without a voter promises nothing itself.
        let round = match self.disabled {
            DisabledGuard::UniqueRounds => machine.disk.slot_state.promised.round + 1,
            _ => machine.rounds.next(slot, machine.disk.slot_state.promised),
        };
        let incarnation =
            if self.disabled == DisabledGuard::ProcessIncarnations { 0 } else { machine.incarnation };
        let number = ProposalNumber { round, proposer: at as NodeId, incarnation };
        machine.proposer = Some(Proposer::new(slot, number, voters, value(self.next, &change)));
        self.send_all(at, &Message::Prepare(slot, number));
    }

    fn send_all(&mut self, from: usize, message: &Message) {
        for to in 0..self.machines.len() as NodeId {
            self.wire.push((from as NodeId, to, message.clone()));
        }
    }

    /// A process ends; its disk stays.
    fn restart(&mut self, at: usize) {
        self.next += 1;
        let machine = &mut self.machines[at];
        machine.proposer = None;
        machine.rounds = RoundAllocator::default();
        machine.incarnation = self.next;
    }

    /// A machine comes back with an empty disk.
    fn wipe(&mut self, at: usize) {
        self.restart(at);
        let disk = if self.disabled == DisabledGuard::DiskIncarnations {
            self.machines[at].disk.disk
        } else {
            self.next
        };
        let machine = &mut self.machines[at];
        machine.disk = Acceptor { disk, ..Acceptor::default() };
        machine.log.clear();
    }

    /// Disks may be lost as long as a majority of the voters of every machine's view keeps theirs.
    fn may_lose(&self, at: usize) -> bool {
        let longest = self.machines.iter().map(|m| m.log.len()).max().unwrap_or(0);
        let chosen = self.chosen.keys().max().copied().unwrap_or(0) as usize;
        // All that was chosen is applied at all who sit: nothing is half-way while a disk goes.
        let voters = match self.machines.iter().find(|m| m.log.len() == longest) {
            Some(m) => self.voters(&m.log),
            None => return false,
        };
        chosen <= longest
            && voters.iter().all(|s| self.voter(s.node as usize) == *s)
            && voters.iter().filter(|s| s.node as usize != at).all(|s| {
                self.machines[s.node as usize].log.len() == longest
                    || self.disabled == DisabledGuard::CandidateCatchUp
            })
    }

    fn apply(&mut self, at: usize, value: &ByteBuf) {
        let machine = &mut self.machines[at];
        machine.log.push(value.clone());
        machine.disk.advance(machine.log.len() as Slot);
        machine.proposer = None;
    }

    /// A machine is handed what it lacks by another one.
    fn learn(&mut self, at: usize, from: usize) {
        let known = self.machines[at].log.len();
        for value in self.machines[from].log.clone().iter().skip(known) {
            self.apply(at, value);
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        let at = to as usize;
        let voters = self.voters(&self.machines[at].log);
        let is_voter = voters.contains(&self.voter(at));
        match message {
            Message::Prepare(slot, number) => {
                let skip = self.disabled == DisabledGuard::CandidateCatchUp
                    && slot > self.machines[at].disk.applied + 1;
                if skip {
                    self.machines[at].disk.advance(slot - 1);
                }
                if is_voter || skip {
                    let reply = self.machines[at].disk.prepare(slot, number);
                    self.wire.push((to, from, Message::Reply(slot, number, reply)));
                }
            }
            Message::Accept(slot, number, value) => {
                if !is_voter {
                    return;
                }
                let reply = self.machines[at].disk.accept(slot, number, value.clone());
                if let AcceptorReply::Accepted { .. } = reply {
                    let who = self.accepted.entry((slot, number, value.to_vec())).or_default();
                    who.insert(Voter { node: to, disk: self.machines[at].disk.disk });
                    let votes = who.iter().filter(|s| voters.contains(s)).count();
                    if votes > voters.len() / 2 {
                        self.chosen.entry(slot).or_default().insert(value.to_vec());
                    }
                }
                self.wire.push((to, from, Message::Reply(slot, number, reply)));
            }
            Message::Reply(slot, number, reply) => {
                let machine = &mut self.machines[at];
                let Some(proposer) =
                    machine.proposer.as_mut().filter(|r| r.number == number && r.slot == slot)
                else {
                    return;
                };
                match proposer.handle_reply(from, reply) {
                    ProposerStep::Accept { value, .. } => {
                        machine.accepting = value.clone();
                        self.send_all(at, &Message::Accept(slot, number, value));
                    }
                    ProposerStep::Chosen => {
                        let value = machine.accepting.clone();
                        if machine.log.len() as Slot + 1 == slot {
                            self.apply(at, &value);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn step(&mut self, rng: &mut Rng) {
        let machines = self.machines.len();
        match rng.below(100) {
            0..=5 => {
                let at = rng.below(machines);
                self.propose(at, rng);
            }
            6 => self.restart(rng.below(machines)),
            7..=8 => {
                let at = rng.below(machines);
                if self.may_lose(at) {
                    self.wipe(at);
                }
            }
            9..=14 => self.learn(rng.below(machines), rng.below(machines)),
            fate if !self.wire.is_empty() => {
                let at = rng.below(self.wire.len());
                let (from, to, message) =
                    if fate < 22 { self.wire[at].clone() } else { self.wire.swap_remove(at) };
                if fate < 94 {
                    self.deliver(from, to, message);
                }
            }
            _ => {}
        }
        // Late messages are kept, endless ones are not.
        if self.wire.len() > 400 {
            self.wire.swap_remove(rng.below(400));
        }
    }

    /// A slot has two values, or a proposal number has: a cause is seen before its effect.
    fn broken(&self) -> bool {
        self.chosen.values().any(|v| v.len() > 1) || self.has_double_number()
    }

    fn has_double_number(&self) -> bool {
        let numbers = self.accepted.keys().map(|(slot, number, _)| (slot, number));
        numbers.clone().zip(numbers.skip(1)).any(|(one, next)| one == next)
    }
}

/// Plays schedules; the first seed under which a slot had two values, and how many slots were decided.
fn play(
    machines: usize,
    spare: usize,
    disabled: DisabledGuard,
    seeds: u64,
    steps: usize,
) -> (Option<u64>, usize) {
    let mut decided = 0;
    for seed in 0..seeds {
        let (mut cluster, mut rng) = (Cluster::new(machines, spare, disabled), Rng(seed));
        for _ in 0..steps {
            cluster.step(&mut rng);
            if cluster.broken() {
                return (Some(seed), decided);
            }
        }
        decided += cluster.chosen.len();
    }
    (None, decided)
}

#[rstest]
#[case(1, 1, 500)]
#[case(2, 0, 1_000)]
#[case(3, 0, 3_000)]
#[case(3, 1, 3_000)]
#[case(5, 2, 1_000)]
fn a_slot_has_one_value(#[case] machines: usize, #[case] spare: usize, #[case] seeds: u64) {
    let (broken, decided) = play(machines, spare, DisabledGuard::None, seeds, 500);
    assert_eq!(broken, None);
    assert!(decided as u64 > seeds / 2, "only {decided} slots in {seeds} schedules: nothing was tested");
}

#[rstest]
#[case(DisabledGuard::DiskIncarnations, 3, 0)]
#[case(DisabledGuard::ProcessIncarnations, 3, 0)]
#[case(DisabledGuard::UniqueRounds, 3, 1)]
#[case(DisabledGuard::CandidateCatchUp, 3, 1)]
fn a_disabled_guard_is_found(#[case] disabled: DisabledGuard, #[case] machines: usize, #[case] spare: usize) {
    let (broken, _) = play(machines, spare, disabled, 20_000, 500);
    assert!(broken.is_some(), "{disabled:?}");
}

/// The case that disk incarnations rule out, step by step: a promise from before a disk was lost meets one given after.
#[rstest]
#[case(DisabledGuard::None, 1)]
#[case(DisabledGuard::DiskIncarnations, 2)]
fn a_reply_of_a_lost_disk_is_not_counted(#[case] disabled: DisabledGuard, #[case] values: usize) {
    let mut cluster = Cluster::new(3, 0, disabled);
    let voters = cluster.first.clone();
    let numbers = [
        ProposalNumber { round: 9, proposer: 0, incarnation: 1 },
        ProposalNumber { round: 5, proposer: 1, incarnation: 2 },
    ];
    // Machine 0 proposes under number 9, and has the promise of machine 2 only.
    cluster.machines[0].proposer = Some(Proposer::new(1, numbers[0], voters.clone(), value(1, &[])));
    cluster.deliver(0, 2, Message::Prepare(1, numbers[0]));
    let early = cluster.wire.pop().expect("a promise");
    // Machine 2 loses its disk. Machine 1 wants its lower number chosen by itself and machine 2.
    cluster.wipe(2);
    cluster.machines[1].proposer = Some(Proposer::new(1, numbers[1], voters, value(2, &[])));
    for message in [Message::Prepare(1, numbers[1]), Message::Accept(1, numbers[1], value(2, &[]))] {
        for to in [1, 2] {
            cluster.deliver(1, to, message.clone());
            let answers: Vec<_> = cluster.wire.extract_if(.., |(_, to, _)| *to == 1).collect();
            for (from, to, reply) in answers {
                cluster.deliver(from, to, reply);
            }
        }
    }
    // Ballot 9 goes on, with the old promise and its own.
    cluster.deliver(early.0, early.1, early.2);
    cluster.deliver(0, 0, Message::Prepare(1, numbers[0]));
    while let Some((from, to, message)) = cluster.wire.pop() {
        if from == 0 || to == 0 {
            cluster.deliver(from, to, message);
        }
    }
    assert_eq!(cluster.chosen.get(&1).map_or(0, BTreeSet::len), values);
}
