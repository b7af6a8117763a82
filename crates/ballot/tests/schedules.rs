//! Ballots under seeded schedules: messages lost, doubled, late and out of order, machines that lose their disks. Whatever
//! happens, one slot has one value, and what a majority has accepted stays.

use limeway_ballot::{Acceptor, Ballot, Next, Node, Recovery, Round, Told, Word};
use rstest::rstest;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

/// Which guard is switched off.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Off {
    Nothing,
    /// A machine with an empty disk votes at once.
    Amnesia,
    /// Promises do not tell the incarnations that are known.
    Incarnations,
}

#[derive(Debug, Clone)]
enum Message {
    Prepare(Ballot),
    Accept(Ballot, ByteBuf),
    Word(Ballot, Word),
    Read(u64),
    Told(u64, Option<Told>),
}

struct Chance(u64);

impl Chance {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % n as u64) as usize
    }
}

struct World {
    off: Off,
    losses: usize,
    acceptors: Vec<Acceptor>,
    rounds: Vec<Option<Round>>,
    recoveries: Vec<Recovery>,
    wire: Vec<(Node, Node, Message)>,
    /// Who has ever accepted what.
    accepted: BTreeMap<(Ballot, Vec<u8>), BTreeSet<Node>>,
    chosen: BTreeSet<Vec<u8>>,
    next: u64,
}

impl World {
    fn new(machines: usize, off: Off) -> Self {
        let losses = machines / 2;
        let acceptor = |n| Acceptor { votes: true, own: 1_000 + n as u64, ..Acceptor::default() };
        World {
            off,
            losses,
            acceptors: (0..machines).map(acceptor).collect(),
            rounds: vec![None; machines],
            recoveries: vec![Recovery::new(machines, losses); machines],
            wire: Vec::new(),
            accepted: BTreeMap::new(),
            chosen: BTreeSet::new(),
            next: 1,
        }
    }

    fn send_all(&mut self, from: Node, message: &Message) {
        for to in 0..self.acceptors.len() as Node {
            self.wire.push((from, to, message.clone()));
        }
    }

    fn propose(&mut self, node: Node) {
        let voters = (0..self.acceptors.len() as Node).collect();
        self.next += 1;
        let ballot = Ballot { round: self.next, node };
        let value = ByteBuf::from(self.next.to_be_bytes().to_vec());
        self.rounds[node as usize] = Some(Round::new(1, ballot, voters, value));
        self.send_all(node, &Message::Prepare(ballot));
    }

    /// A machine comes back with an empty disk.
    fn wipe(&mut self, node: usize) {
        self.next += 1;
        let votes = self.off == Off::Amnesia;
        self.acceptors[node] = Acceptor { own: 2_000 + self.next, votes, ..Acceptor::default() };
        self.rounds[node] = None;
        self.recoveries[node] = Recovery::new(self.acceptors.len(), self.losses);
    }

    fn deliver(&mut self, from: Node, to: Node, message: Message) {
        let at = to as usize;
        match message {
            Message::Prepare(ballot) => {
                let mut word = self.acceptors[at].prepare(1, ballot);
                if let (Off::Incarnations, Word::Promise { known, .. }) = (self.off, &mut word) {
                    known.clear();
                }
                self.wire.push((to, from, Message::Word(ballot, word)));
            }
            Message::Accept(ballot, value) => {
                let word = self.acceptors[at].accept(1, ballot, value.clone());
                if word == Word::Accepted {
                    let who = self.accepted.entry((ballot, value.to_vec())).or_default();
                    who.insert(to);
                    if who.len() > self.acceptors.len() / 2 {
                        self.chosen.insert(value.to_vec());
                    }
                }
                self.wire.push((to, from, Message::Word(ballot, word)));
            }
            Message::Word(ballot, word) => {
                let Some(round) = self.rounds[at].as_mut().filter(|r| r.ballot == ballot) else { return };
                if let Next::Accept { value, .. } = round.hear(from, word) {
                    self.send_all(to, &Message::Accept(ballot, value));
                }
            }
            Message::Read(incarnation) => {
                let read = self.acceptors[at].read_by(from, incarnation);
                let a = &self.acceptors[at];
                let told = Told { applied: a.applied, open: a.open.clone(), known: a.known.clone() };
                self.wire.push((to, from, Message::Told(incarnation, read.then_some(told))));
            }
            Message::Told(incarnation, told) => {
                let acceptor = &mut self.acceptors[at];
                if let Some(told) = told.filter(|_| acceptor.own == incarnation && !acceptor.votes) {
                    self.recoveries[at].hear(from, told);
                    if self.recoveries[at].enough().is_some() {
                        self.recoveries[at].rejoin(acceptor);
                    }
                }
            }
        }
    }

    fn step(&mut self, chance: &mut Chance) {
        let machines = self.acceptors.len();
        match chance.below(100) {
            0..=5 => self.propose(chance.below(machines) as Node),
            6..=7 => {
                let lost = self.acceptors.iter().filter(|a| !a.votes).count();
                if lost < self.losses {
                    self.wipe(chance.below(machines));
                }
            }
            8..=13 => {
                let at = chance.below(machines);
                if !self.acceptors[at].votes {
                    let own = self.acceptors[at].own;
                    for to in (0..machines as Node).filter(|n| *n as usize != at) {
                        self.wire.push((at as Node, to, Message::Read(own)));
                    }
                }
            }
            fate if !self.wire.is_empty() => {
                let at = chance.below(self.wire.len());
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
            self.wire.swap_remove(chance.below(400));
        }
    }
}

/// Plays schedules; the first seed under which two values were chosen, and how many schedules chose one at all.
fn play(machines: usize, off: Off, seeds: u64, steps: usize) -> (Option<u64>, usize) {
    let mut some = 0;
    for seed in 0..seeds {
        let (mut world, mut chance) = (World::new(machines, off), Chance(seed));
        for _ in 0..steps {
            world.step(&mut chance);
        }
        if world.chosen.len() > 1 {
            return (Some(seed), some);
        }
        some += world.chosen.len();
    }
    (None, some)
}

#[rstest]
#[case(3, 3_000)]
#[case(5, 1_500)]
fn a_slot_has_one_value(#[case] machines: usize, #[case] seeds: u64) {
    let (broken, some) = play(machines, Off::Nothing, seeds, 400);
    assert_eq!(broken, None);
    assert!(some as u64 > seeds / 2, "only {some} of {seeds} schedules chose a value: nothing was tested");
}

#[rstest]
fn a_machine_that_forgot_must_not_vote_before_it_has_read() {
    assert!(play(3, Off::Amnesia, 3_000, 400).0.is_some());
}

/// The case that only incarnations rule out, step by step: a promise from before a disk was lost meets one given after.
#[rstest]
#[case(Off::Nothing, 1)]
#[case(Off::Incarnations, 2)]
fn a_promise_of_a_lost_disk_is_void(#[case] off: Off, #[case] values: usize) {
    let mut world = World::new(3, off);
    let ballots = [Ballot { round: 9, node: 0 }, Ballot { round: 5, node: 1 }];
    let value = |n: u8| ByteBuf::from(vec![n]);
    // Machine 0 holds ballot 9, and has the promise of machine 2 only.
    world.rounds[0] = Some(Round::new(1, ballots[0], vec![0, 1, 2], value(1)));
    world.deliver(0, 2, Message::Prepare(ballots[0]));
    let early = world.wire.pop().expect("a promise");
    // Machine 2 loses its disk and reads both others, neither of which has heard of ballot 9.
    world.wipe(2);
    let own = world.acceptors[2].own;
    for to in [0, 1] {
        world.deliver(2, to, Message::Read(own));
        let (from, to, told) = world.wire.pop().expect("told");
        world.deliver(from, to, told);
    }
    assert!(world.acceptors[2].votes);
    // Machine 1 has its lower ballot chosen by itself and machine 2.
    world.rounds[1] = Some(Round::new(1, ballots[1], vec![0, 1, 2], value(2)));
    for message in [Message::Prepare(ballots[1]), Message::Accept(ballots[1], value(2))] {
        for to in [1, 2] {
            world.deliver(1, to, message.clone());
        }
    }
    assert_eq!(world.chosen.len(), 1);
    // Now ballot 9 goes on, with the old promise and a new one of machine 0.
    world.deliver(early.0, early.1, early.2);
    world.deliver(0, 0, Message::Prepare(ballots[0]));
    while let Some((from, to, message)) = world.wire.pop() {
        if from == 0 || to == 0 {
            world.deliver(from, to, message);
        }
    }
    assert_eq!(world.chosen.len(), values);
}
