//! Rounds of a proposer's numbers.

use crate::{ProposalNumber, Slot};

/// Allocates the rounds of one process's proposals: none is used twice for a slot.
///
/// The own acceptor alone cannot tell which rounds were used: it abstains while its machine is no voter, or while its disk takes no
/// writes, and proposals go on meanwhile. Two values under one number could both be accepted, and a majority would not agree on either.
#[derive(Debug, Clone, Default)]
pub struct RoundAllocator {
    /// The highest round that preempted a proposal of this process.
    highest_preempting: u64,
    /// The last slot that a proposal was for, and its round.
    last_used: (Slot, u64),
}

impl RoundAllocator {
    /// Records the number that preempted a proposal.
    pub fn preempted_by(&mut self, number: ProposalNumber) {
        self.highest_preempting = self.highest_preempting.max(number.round);
    }

    /// The round of the next proposal for a slot, above what the own acceptor has promised. Slots never decrease.
    pub fn next(&mut self, slot: Slot, promised: ProposalNumber) -> u64 {
        let (last_slot, last_round) = self.last_used;
        let used = if last_slot == slot { last_round } else { 0 };
        let round = promised.round.max(self.highest_preempting).max(used) + 1;
        self.last_used = (slot, round);
        round
    }
}
