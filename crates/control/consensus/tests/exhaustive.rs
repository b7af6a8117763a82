//! Every run, up to a bound, of three voters and one newcomer over three slots: whatever is delivered, late or lost, whichever
//! disk is lost, and whoever then gets its voter, one slot has one value, and what was chosen is known to a machine.
//!
//! Each call and each reply may arrive at any time, or never; a call whose proposer has left its phase is dropped. A disk is lost only while no other voter's disk is:
//! within the fault model a lost one counts until its voter is replaced and all voters have applied that.

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

/// The guard that is disabled.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DisabledGuard {
    None,
    /// A machine that lost its disk votes with the incarnation of the old one.
    DiskIncarnations,
    /// A second disk may be lost while the first is.
    ToleratedLosses,
}

#[derive(Debug, Clone)]
struct Machine {
    disk: Acceptor,
    log: Vec<ByteBuf>,
}

/// A proposal as its proposer began it, and the replies that acceptors have given.
#[derive(Debug, Clone)]
struct Proposal {
    slot: Slot,
    number: ProposalNumber,
    proposer: Proposer,
    own: ByteBuf,
    promises: BTreeMap<NodeId, AcceptorReply>,
    accepting: Option<ByteBuf>,
    accepts: BTreeMap<NodeId, AcceptorReply>,
    done: bool,
}

#[derive(Debug, Clone)]
struct ModelState {
    machines: Vec<Machine>,
    proposals: Vec<Proposal>,
    chosen: BTreeMap<Slot, BTreeSet<Vec<u8>>>,
    lost: usize,
}

/// A value is a number, and the voters from the next slot on if it changes them: one byte a node, one an incarnation of a disk.
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

impl ModelState {
    fn new() -> Self {
        let disk = |n: usize| Acceptor { disk: u64::from(n >= VOTERS) * 9, ..Acceptor::default() };
        let machines = (0..=VOTERS).map(|n| Machine { disk: disk(n), log: Vec::new() }).collect();
        ModelState { machines, proposals: Vec::new(), chosen: BTreeMap::new(), lost: 0 }
    }

    fn voter(&self, at: usize) -> Voter {
        Voter { node: at as NodeId, disk: self.machines[at].disk.disk }
    }

    /// States with one key go on alike.
    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let number_key = |number: &ProposalNumber| (number.round, number.proposer);
        for machine in &self.machines {
            let open = &machine.disk.slot_state;
            (machine.disk.disk, machine.disk.applied, number_key(&open.promised)).hash(&mut hasher);
            open.accepted.as_ref().map(|(b, v)| (number_key(b), v)).hash(&mut hasher);
            machine.log.hash(&mut hasher);
        }
        let mut replies = |replies: &BTreeMap<NodeId, AcceptorReply>| {
            for (node, reply) in replies {
                let said = match reply {
                    AcceptorReply::Promised { disk: incarnation, accepted } => {
                        (*incarnation, accepted.as_ref().map(|(b, v)| (number_key(b), v)))
                    }
                    AcceptorReply::Accepted { disk: incarnation } => (*incarnation, None),
                    _ => (u64::MAX, None),
                };
                (node, said).hash(&mut hasher);
            }
            replies.len().hash(&mut hasher);
        };
        for proposal in &self.proposals {
            replies(&proposal.promises);
            replies(&proposal.accepts);
        }
        for proposal in &self.proposals {
            (proposal.slot, number_key(&proposal.number), &proposal.own, &proposal.accepting, proposal.done)
                .hash(&mut hasher);
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

    /// Every voter has its disk, and has applied the newest slot.
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

    /// All states that one step leads to.
    fn next(&self, proposals: usize, losses: usize, disabled: DisabledGuard) -> Vec<ModelState> {
        let mut all = Vec::new();
        for at in 0..self.machines.len() {
            // Voters are alike but for the place that a newcomer takes: one of them begins the first proposal, that one or another
            // the second.
            let may_propose = at >= VOTERS || at <= self.proposals.len();
            if may_propose
                && self.proposals.len() < proposals
                && (self.machines[at].log.len() as Slot) < SLOTS
            {
                self.begin(at, &mut all);
            }
            if self.lost < losses
                && (self.whole()
                    || disabled == DisabledGuard::ToleratedLosses
                    || (self.lost == 0 && at < VOTERS))
            {
                let mut state = self.clone();
                state.lost += 1;
                let incarnation = if disabled == DisabledGuard::DiskIncarnations {
                    self.machines[at].disk.disk
                } else {
                    10 + self.lost as u64
                };
                state.machines[at] =
                    Machine { disk: Acceptor { disk: incarnation, ..Acceptor::default() }, log: Vec::new() };
                all.push(state);
            }
            for from in &self.machines {
                if let Some(value) = from.log.get(self.machines[at].log.len()) {
                    let mut state = self.clone();
                    state.apply(at, value.clone());
                    all.push(state);
                }
            }
            for index in 0..self.proposals.len() {
                all.extend(self.deliver(at, index));
            }
        }
        for index in 0..self.proposals.len() {
            self.hear(index, &mut all);
        }
        all
    }

    fn begin(&self, at: usize, all: &mut Vec<ModelState>) {
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
        let index = self.proposals.len();
        for change in changes {
            let mut state = self.clone();
            let number = ProposalNumber { round: index as u64 + 1, proposer: at as NodeId, incarnation: 0 };
            let slot = log.len() as Slot + 1;
            let own = value(index, &change);
            let proposer = Proposer::new(slot, number, voters.clone(), own.clone());
            let (promises, accepts) = (BTreeMap::new(), BTreeMap::new());
            state.proposals.push(Proposal {
                slot,
                number,
                proposer,
                own,
                promises,
                accepting: None,
                accepts,
                done: false,
            });
            all.push(state);
        }
    }

    /// A machine handles a call of a proposal; its reply is on the wire from then on.
    fn deliver(&self, at: usize, index: usize) -> Option<ModelState> {
        let (mut state, proposal) = (self.clone(), &self.proposals[index]);
        let is_voter = voters(&self.machines[at].log).contains(&self.voter(at));
        let disk = &mut state.machines[at].disk;
        let node = at as NodeId;
        match &proposal.accepting {
            _ if !is_voter => None,
            None if !proposal.promises.contains_key(&node) => {
                let reply = disk.prepare(proposal.slot, proposal.number);
                let given = matches!(reply, AcceptorReply::Promised { .. });
                state.proposals[index].promises.insert(node, reply);
                given.then_some(state)
            }
            Some(value) if !proposal.accepts.contains_key(&node) => {
                let reply = disk.accept(proposal.slot, proposal.number, value.clone());
                let given = matches!(reply, AcceptorReply::Accepted { .. });
                state.proposals[index].accepts.insert(node, reply);
                given.then_some(state)
            }
            _ => None,
        }
    }

    /// The proposer hears a majority of the replies that have been given, any.
    fn hear(&self, index: usize, all: &mut Vec<ModelState>) {
        let proposal = &self.proposals[index];
        let replies = if proposal.accepting.is_none() { &proposal.promises } else { &proposal.accepts };
        for (node, reply) in replies {
            for (other, second) in replies.range(node + 1..) {
                let mut proposer = proposal.proposer.clone();
                proposer.handle_reply(*node, reply.clone());
                let next = proposer.handle_reply(*other, second.clone());
                let mut state = self.clone();
                let now = &mut state.proposals[index];
                match next {
                    ProposerStep::Accept { value, .. } => {
                        (now.proposer, now.accepting) = (proposer, Some(value));
                        now.promises.clear();
                    }
                    ProposerStep::Chosen if !now.done => {
                        now.done = true;
                        let value = proposal.accepting.clone().unwrap_or_default();
                        state.chosen.entry(proposal.slot).or_default().insert(value.to_vec());
                        let at = proposal.number.proposer as usize;
                        if state.machines[at].log.len() as Slot + 1 == proposal.slot {
                            state.apply(at, value);
                        }
                    }
                    _ => continue,
                }
                all.push(state);
            }
        }
    }
}

/// Looks at every state within the bounds: how many there are, and whether one is broken. None if there are more than `most`.
fn search(proposals: usize, losses: usize, disabled: DisabledGuard, most: usize) -> Option<(usize, bool)> {
    let (mut seen, mut open) = (HashSet::new(), vec![ModelState::new()]);
    while let Some(state) = open.pop() {
        for next in state.next(proposals, losses, disabled) {
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
#[case::one_proposal_two_losses(1, 2)]
#[case::two_proposals(2, 0)]
#[case::two_proposals_one_loss(2, 1)]
fn one_slot_has_one_value_in_every_run(#[case] proposals: usize, #[case] losses: usize) {
    let (states, broken) = search(proposals, losses, DisabledGuard::None, 3_000_000).expect("within bounds");
    println!("{states} states");
    assert!(states > 100 && !broken, "{states} states");
}

#[rstest]
#[case(DisabledGuard::DiskIncarnations, 2, 1)]
#[case(DisabledGuard::ToleratedLosses, 1, 2)]
fn a_disabled_guard_is_found(
    #[case] disabled: DisabledGuard,
    #[case] proposals: usize,
    #[case] losses: usize,
) {
    assert_eq!(search(proposals, losses, disabled, 3_000_000).map(|f| f.1), Some(true));
}
