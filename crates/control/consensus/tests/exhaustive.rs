//! Every run, up to a bound, of three voters and one newcomer over three slots: whatever is delivered, late or lost, whichever
//! disk is lost, and whoever then gets its voter, one slot has one value, and what was chosen is known to a machine.
//!
//! Each question and each word may arrive at any time, or never; a question that its holder has gone past is dropped. A disk is lost only while no other voter's disk is:
//! within the fault model a lost one counts until its place is agreed and all who sit have applied that.

use limeway_consensus::{
    Acceptor, AcceptorReply, NodeId, ProposalNumber, Proposer, ProposerStep, Slot, Voter,
};
use rstest::rstest;
use serde_bytes::ByteBuf;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

const SLOTS: Slot = 3;
const VOTERS: usize = 3;

/// Which guard is off.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Off {
    Nothing,
    /// A machine that lost its disk votes with the life of the old one.
    Lives,
    /// A second disk may be lost while the first is.
    Losses,
}

#[derive(Debug, Clone)]
struct Machine {
    disk: Acceptor,
    log: Vec<ByteBuf>,
}

/// A ballot as its holder began it, and the words that it has got.
#[derive(Debug, Clone)]
struct Held {
    slot: Slot,
    ballot: ProposalNumber,
    round: Proposer,
    own: ByteBuf,
    promises: BTreeMap<NodeId, AcceptorReply>,
    accepting: Option<ByteBuf>,
    accepts: BTreeMap<NodeId, AcceptorReply>,
    done: bool,
}

#[derive(Debug, Clone)]
struct World {
    machines: Vec<Machine>,
    held: Vec<Held>,
    chosen: BTreeMap<Slot, BTreeSet<Vec<u8>>>,
    lost: usize,
}

/// A value is a number, and the voters from the next slot on if it changes them: one byte a node, one a life.
fn value(number: usize, voters: &[Voter]) -> ByteBuf {
    let pairs = voters.iter().flat_map(|s| [s.node as u8, s.disk as u8]);
    ByteBuf::from(std::iter::once(number as u8 + 1).chain(pairs).collect::<Vec<u8>>())
}

fn voters(log: &[ByteBuf]) -> Vec<Voter> {
    let last = log.iter().rev().find(|v| v.len() > 1);
    let first = || (0..VOTERS as NodeId).map(|node| Voter { node, disk: 0 }).collect();
    let read =
        |v: &ByteBuf| v[1..].chunks(2).map(|c| Voter { node: c[0].into(), disk: c[1].into() }).collect();
    last.map_or_else(first, read)
}

impl World {
    fn new() -> Self {
        let disk = |n: usize| Acceptor { disk: u64::from(n >= VOTERS) * 9, ..Acceptor::default() };
        let machines = (0..=VOTERS).map(|n| Machine { disk: disk(n), log: Vec::new() }).collect();
        World { machines, held: Vec::new(), chosen: BTreeMap::new(), lost: 0 }
    }

    fn voter(&self, at: usize) -> Voter {
        Voter { node: at as NodeId, disk: self.machines[at].disk.disk }
    }

    /// Worlds with one key go on alike.
    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let ballot = |b: &ProposalNumber| (b.round, b.proposer);
        for machine in &self.machines {
            let open = &machine.disk.slot_state;
            (machine.disk.disk, machine.disk.applied, ballot(&open.promised)).hash(&mut hasher);
            open.accepted.as_ref().map(|(b, v)| (ballot(b), v)).hash(&mut hasher);
            machine.log.hash(&mut hasher);
        }
        let mut words = |words: &BTreeMap<NodeId, AcceptorReply>| {
            for (node, word) in words {
                let said = match word {
                    AcceptorReply::Promised { disk: life, accepted } => {
                        (*life, accepted.as_ref().map(|(b, v)| (ballot(b), v)))
                    }
                    AcceptorReply::Accepted { disk: life } => (*life, None),
                    _ => (u64::MAX, None),
                };
                (node, said).hash(&mut hasher);
            }
            words.len().hash(&mut hasher);
        };
        for held in &self.held {
            words(&held.promises);
            words(&held.accepts);
        }
        for held in &self.held {
            (held.slot, ballot(&held.ballot), &held.own, &held.accepting, held.done).hash(&mut hasher);
        }
        (&self.chosen, self.lost).hash(&mut hasher);
        hasher.finish()
    }

    fn broken(&self) -> bool {
        let known = |slot: Slot, value: &Vec<u8>| {
            self.machines.iter().any(|m| {
                let open = m.disk.slot_state.accepted.as_ref().filter(|_| m.disk.applied + 1 == slot);
                m.log.get(slot as usize - 1).is_some_and(|v| v[..] == value[..])
                    || open.is_some_and(|(_, v)| v[..] == value[..])
            })
        };
        self.chosen.iter().any(|(slot, values)| values.len() > 1 || values.iter().any(|v| !known(*slot, v)))
    }

    /// All voters are held, and all who sit have applied what is newest.
    fn whole(&self) -> bool {
        let longest = self.machines.iter().map(|m| m.log.len()).max().unwrap_or(0);
        let newest = self.machines.iter().find(|m| m.log.len() == longest).map(|m| voters(&m.log));
        let fine = |s: &Voter| {
            let machine = &self.machines[s.node as usize];
            machine.disk.disk == s.disk && machine.log.len() == longest
        };
        newest.is_some_and(|voters| voters.iter().all(fine)) && self.lost_since(longest)
    }

    /// Every slot that is chosen is applied somewhere.
    fn lost_since(&self, longest: usize) -> bool {
        self.lost == 0 || self.chosen.keys().all(|slot| *slot <= longest as Slot)
    }

    fn apply(&mut self, at: usize, value: ByteBuf) {
        let machine = &mut self.machines[at];
        machine.log.push(value);
        machine.disk.advance(machine.log.len() as Slot);
    }

    /// All worlds that one step leads to.
    fn next(&self, ballots: usize, losses: usize, off: Off) -> Vec<World> {
        let mut all = Vec::new();
        for at in 0..self.machines.len() {
            // Voters are alike but for the place that a newcomer takes: one of them begins the first ballot, that one or another
            // the second.
            let holds = at >= VOTERS || at <= self.held.len();
            if holds && self.held.len() < ballots && (self.machines[at].log.len() as Slot) < SLOTS {
                self.begin(at, &mut all);
            }
            if self.lost < losses && (self.whole() || off == Off::Losses || (self.lost == 0 && at < VOTERS)) {
                let mut world = self.clone();
                world.lost += 1;
                let life =
                    if off == Off::Lives { self.machines[at].disk.disk } else { 10 + self.lost as u64 };
                world.machines[at] =
                    Machine { disk: Acceptor { disk: life, ..Acceptor::default() }, log: Vec::new() };
                all.push(world);
            }
            for from in &self.machines {
                if let Some(value) = from.log.get(self.machines[at].log.len()) {
                    let mut world = self.clone();
                    world.apply(at, value.clone());
                    all.push(world);
                }
            }
            for held in 0..self.held.len() {
                all.extend(self.deliver(at, held));
            }
        }
        for held in 0..self.held.len() {
            self.hear(held, &mut all);
        }
        all
    }

    fn begin(&self, at: usize, all: &mut Vec<World>) {
        let log = &self.machines[at].log;
        let voters = voters(log);
        // A newcomer that has all may be proposed for its own old voter, or another machine's.
        let new = (0..self.machines.len()).map(|n| (n, self.voter(n)));
        let new = new.filter(|(n, s)| !voters.contains(s) && self.machines[*n].log.len() == log.len());
        let mut changes = vec![Vec::new()];
        for (_, voter) in new {
            let mut next = voters.clone();
            let gone = |s: &Voter| self.voter(s.node as usize) != *s;
            let place = next.iter().position(|s| s.node == voter.node).or(next.iter().position(gone));
            next[place.unwrap_or(0)] = voter;
            changes.push(next);
        }
        let number = self.held.len();
        for change in changes {
            let mut world = self.clone();
            let ballot = ProposalNumber { round: number as u64 + 1, proposer: at as NodeId, incarnation: 0 };
            let slot = log.len() as Slot + 1;
            let own = value(number, &change);
            let round = Proposer::new(slot, ballot, voters.clone(), own.clone());
            let (promises, accepts) = (BTreeMap::new(), BTreeMap::new());
            world.held.push(Held {
                slot,
                ballot,
                round,
                own,
                promises,
                accepting: None,
                accepts,
                done: false,
            });
            all.push(world);
        }
    }

    /// A machine hears a ballot's question; its word is on the wire from then on.
    fn deliver(&self, at: usize, held: usize) -> Option<World> {
        let (mut world, ballot) = (self.clone(), &self.held[held]);
        let sits = voters(&self.machines[at].log).contains(&self.voter(at));
        let disk = &mut world.machines[at].disk;
        let node = at as NodeId;
        match &ballot.accepting {
            _ if !sits => None,
            None if !ballot.promises.contains_key(&node) => {
                let word = disk.prepare(ballot.slot, ballot.ballot);
                let given = matches!(word, AcceptorReply::Promised { .. });
                world.held[held].promises.insert(node, word);
                given.then_some(world)
            }
            Some(value) if !ballot.accepts.contains_key(&node) => {
                let word = disk.accept(ballot.slot, ballot.ballot, value.clone());
                let given = matches!(word, AcceptorReply::Accepted { .. });
                world.held[held].accepts.insert(node, word);
                given.then_some(world)
            }
            _ => None,
        }
    }

    /// The holder hears a majority of the words that have been given, any.
    fn hear(&self, held: usize, all: &mut Vec<World>) {
        let ballot = &self.held[held];
        let words = if ballot.accepting.is_none() { &ballot.promises } else { &ballot.accepts };
        for (node, word) in words {
            for (other, second) in words.range(node + 1..) {
                let mut round = ballot.round.clone();
                round.handle_reply(*node, word.clone());
                let next = round.handle_reply(*other, second.clone());
                let mut world = self.clone();
                let now = &mut world.held[held];
                match next {
                    ProposerStep::Accept { value, .. } => {
                        (now.round, now.accepting) = (round, Some(value));
                        now.promises.clear();
                    }
                    ProposerStep::Chosen if !now.done => {
                        now.done = true;
                        let value = ballot.accepting.clone().unwrap_or_default();
                        world.chosen.entry(ballot.slot).or_default().insert(value.to_vec());
                        let at = ballot.ballot.proposer as usize;
                        if world.machines[at].log.len() as Slot + 1 == ballot.slot {
                            world.apply(at, value);
                        }
                    }
                    _ => continue,
                }
                all.push(world);
            }
        }
    }
}

/// Looks at every world within the bounds: how many there are, and whether one is broken. None if there are more than `most`.
fn search(ballots: usize, losses: usize, off: Off, most: usize) -> Option<(usize, bool)> {
    let (mut seen, mut open) = (HashSet::new(), vec![World::new()]);
    while let Some(world) = open.pop() {
        for next in world.next(ballots, losses, off) {
            if seen.insert(next.key()) {
                if next.broken() {
                    return Some((seen.len(), true));
                }
                open.push(next);
            }
        }
        if seen.len() > most {
            return None;
        }
    }
    Some((seen.len(), false))
}

#[rstest]
#[case::one_ballot_two_losses(1, 2)]
#[case::two_ballots(2, 0)]
#[case::two_ballots_one_loss(2, 1)]
fn one_slot_has_one_value_in_every_run(#[case] ballots: usize, #[case] losses: usize) {
    let (worlds, broken) = search(ballots, losses, Off::Nothing, 3_000_000).expect("within bounds");
    println!("{worlds} worlds");
    assert!(worlds > 100 && !broken, "{worlds} worlds");
}

#[rstest]
#[case(Off::Lives, 2, 1)]
#[case(Off::Losses, 1, 2)]
fn a_guard_that_is_off_is_found(#[case] off: Off, #[case] ballots: usize, #[case] losses: usize) {
    assert_eq!(search(ballots, losses, off, 3_000_000).map(|f| f.1), Some(true));
}
