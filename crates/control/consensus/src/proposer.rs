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
    highest_accepted: Option<(ProposalNumber, ByteBuf)>,
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
            highest_accepted: None,
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
        self.promises.insert(from);
        if let Some(accepted) = accepted {
            if self.highest_accepted.as_ref().is_none_or(|highest| highest.0 < accepted.0) {
                self.highest_accepted = Some(accepted);
            }
        }
        if self.promises.len() < self.majority() {
            return ProposerStep::Wait;
        }
        // A value that an acceptor has accepted may be chosen already: only it may be proposed from here on.
        let recovered = self.highest_accepted.is_some();
        let value = self.highest_accepted.take().map_or_else(|| self.value.clone(), |(_, value)| value);
        if value.is_empty() {
            return ProposerStep::Chosen;
        }
        self.accepting = true;
        ProposerStep::Accept { value, recovered }
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn is_voter(&self, node: NodeId, disk: DiskIncarnation) -> bool {
        self.voters.contains(&Voter { node, disk })
    }
}
