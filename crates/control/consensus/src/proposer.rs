//! One proposal: phase 1 (prepare) and phase 2 (accept) as their proposer sees them.

use crate::{AcceptorReply, DiskIncarnation, NodeId, ProposalNumber, Slot, Voter};
use serde_bytes::ByteBuf;
use std::collections::BTreeSet;

/// What a proposer does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposerStep {
    /// Wait for more replies.
    Wait,
    /// Phase 1 is over: have this value accepted.
    Accept {
        /// The value.
        value: ByteBuf,
        /// It is not the proposer's own: an acceptor had accepted it before.
        recovered: bool,
    },
    /// The value is chosen.
    Chosen,
    /// An acceptor has applied more than this replica: the last slot there.
    CatchUp(Slot),
    /// Lost against this higher number.
    Preempted(ProposalNumber),
}

/// What acceptors have accepted under the highest proposal number among their promises.
#[derive(Debug, Clone, Default)]
struct Recovery {
    number: ProposalNumber,
    /// Each value, and how many acceptors hold it. More than one only where a number was used twice.
    values: Vec<(ByteBuf, usize)>,
}

impl Recovery {
    fn add(&mut self, accepted: Option<(ProposalNumber, ByteBuf)>) {
        let Some((number, value)) = accepted else { return };
        if number > self.number {
            (self.number, self.values) = (number, Vec::new());
        }
        if number < self.number {
            return;
        }
        match self.values.iter_mut().find(|(known, _)| *known == value) {
            Some((_, count)) => *count += 1,
            None => self.values.push((value, 1)),
        }
    }
}

/// A proposal for one slot, under way.
#[derive(Debug, Clone)]
pub struct Proposer {
    /// The slot that it is for.
    pub slot: Slot,
    /// Its number.
    pub number: ProposalNumber,
    voters: Vec<Voter>,
    value: ByteBuf,
    promises: BTreeSet<NodeId>,
    recovery: Recovery,
    accepting: bool,
    accepts: BTreeSet<NodeId>,
}

impl Proposer {
    /// A proposal of `value` for `slot`. An empty value only completes what acceptors have accepted already.
    pub fn new(slot: Slot, number: ProposalNumber, voters: Vec<Voter>, value: ByteBuf) -> Self {
        Proposer {
            slot,
            number,
            voters,
            value,
            promises: BTreeSet::new(),
            recovery: Recovery::default(),
            accepting: false,
            accepts: BTreeSet::new(),
        }
    }

    /// Takes the reply of one acceptor. Replies of machines that are no voters, or of disks that are not the voter's, count for
    /// nothing: such an acceptor may have forgotten what it promised.
    pub fn handle_reply(&mut self, from: NodeId, reply: AcceptorReply) -> ProposerStep {
        match reply {
            AcceptorReply::Promised { disk, accepted } if !self.accepting && self.is_voter(from, disk) => {
                self.handle_promise(from, accepted)
            }
            AcceptorReply::Accepted { disk } if self.accepting && self.is_voter(from, disk) => {
                self.accepts.insert(from);
                if self.accepts.len() >= self.majority() {
                    ProposerStep::Chosen
                } else {
                    ProposerStep::Wait
                }
            }
            AcceptorReply::Rejected(number) => ProposerStep::Preempted(number),
            AcceptorReply::Decided(slot) => ProposerStep::CatchUp(slot),
            _ => ProposerStep::Wait,
        }
    }

    fn handle_promise(&mut self, from: NodeId, accepted: Option<(ProposalNumber, ByteBuf)>) -> ProposerStep {
        if self.promises.insert(from) {
            self.recovery.add(accepted);
        }
        if self.promises.len() < self.majority() {
            return ProposerStep::Wait;
        }
        // A value that an acceptor has accepted may be chosen already: only it may be proposed from here on.
        let recovered = self.has_recovered();
        let value = if recovered { self.recovered_value() } else { Some(self.value.clone()) };
        let Some(value) = value else { return ProposerStep::Wait };
        if value.is_empty() {
            return ProposerStep::Chosen;
        }
        self.accepting = true;
        ProposerStep::Accept { value, recovered }
    }

    /// Whether an acceptor has accepted a value before.
    pub fn has_recovered(&self) -> bool {
        !self.recovery.values.is_empty()
    }

    /// Whether acceptors hold different values under one number.
    pub fn has_conflict(&self) -> bool {
        self.recovery.values.len() > 1
    }

    /// The value that may be chosen already. None while more than one may be: until a majority is known to hold one of them, or every
    /// voter has promised and no majority does.
    fn recovered_value(&self) -> Option<ByteBuf> {
        let most = self.recovery.values.iter().max_by_key(|(_, count)| *count)?;
        let is_decided =
            !self.has_conflict() || most.1 >= self.majority() || self.promises.len() == self.voters.len();
        is_decided.then(|| most.0.clone())
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn is_voter(&self, node: NodeId, disk: DiskIncarnation) -> bool {
        self.voters.contains(&Voter { node, disk })
    }
}
