//! One voter's part in Paxos: promises and accepted values.

use crate::{DiskIncarnation, ProposalNumber, Slot};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// What an acceptor has promised and accepted for the slot that is open on it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SlotState {
    /// No lower proposal is accepted any more.
    pub promised: ProposalNumber,
    /// The value accepted last, with its proposal number.
    pub accepted: Option<(ProposalNumber, ByteBuf)>,
}

/// An acceptor's reply to a proposer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptorReply {
    /// It promises to accept nothing lower.
    #[serde(rename = "Promise")]
    Promised {
        /// The incarnation of this voter's disk.
        #[serde(rename = "life")]
        disk: DiskIncarnation,
        /// What it has accepted before.
        accepted: Option<(ProposalNumber, ByteBuf)>,
    },
    /// It has accepted the value.
    Accepted {
        /// The incarnation of this voter's disk.
        #[serde(rename = "life")]
        disk: DiskIncarnation,
    },
    /// It has promised a higher number.
    #[serde(rename = "Higher")]
    Rejected(ProposalNumber),
    /// The slot is decided there; the last slot that it has applied.
    Decided(Slot),
    /// It has not applied all slots before this one; the last slot that it has.
    Behind(Slot),
    /// It may not vote: it is no voter, its disk takes no writes, or it has accepted another value under the number.
    #[serde(rename = "Abstains")]
    Abstained,
}

/// One replica's acceptor. It serves one slot at a time: the one after the last that was applied. Fields keep the names that
/// state files have.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Acceptor {
    /// The incarnation of its disk.
    #[serde(rename = "life")]
    pub disk: DiskIncarnation,
    /// Last slot whose value is applied here.
    pub applied: Slot,
    /// Promise and accepted value of the slot after that.
    #[serde(rename = "open")]
    pub slot_state: SlotState,
}

impl Acceptor {
    /// Handles phase 1: a proposer asks for a promise. It abstains from a number under which it has accepted a value: its proposer
    /// has left phase 1, or uses the number a second time.
    pub fn prepare(&mut self, slot: Slot, number: ProposalNumber) -> AcceptorReply {
        if let Some(reply) = self.refusal(slot, number) {
            return reply;
        }
        if self.accepted_under(number).is_some() {
            return AcceptorReply::Abstained;
        }
        self.slot_state.promised = number;
        AcceptorReply::Promised { disk: self.disk, accepted: self.slot_state.accepted.clone() }
    }

    /// Handles phase 2: a proposer asks to have its value accepted. It abstains from a second value under one number.
    pub fn accept(&mut self, slot: Slot, number: ProposalNumber, value: ByteBuf) -> AcceptorReply {
        if let Some(reply) = self.refusal(slot, number) {
            return reply;
        }
        if self.accepted_under(number).is_some_and(|accepted| *accepted != value) {
            return AcceptorReply::Abstained;
        }
        self.slot_state = SlotState { promised: number, accepted: Some((number, value)) };
        AcceptorReply::Accepted { disk: self.disk }
    }

    /// Opens the slot after `applied`, with nothing promised. An older slot changes nothing.
    pub fn advance(&mut self, applied: Slot) {
        if applied > self.applied {
            self.applied = applied;
            self.slot_state = SlotState::default();
        }
    }

    /// The value that was accepted under this number.
    fn accepted_under(&self, number: ProposalNumber) -> Option<&ByteBuf> {
        let accepted = self.slot_state.accepted.as_ref();
        accepted.filter(|(accepted, _)| *accepted == number).map(|(_, value)| value)
    }

    /// Why a proposal cannot be voted on: another slot is open here, or a higher number was promised.
    fn refusal(&self, slot: Slot, number: ProposalNumber) -> Option<AcceptorReply> {
        if slot <= self.applied {
            Some(AcceptorReply::Decided(self.applied))
        } else if slot > self.applied + 1 {
            Some(AcceptorReply::Behind(self.applied))
        } else if number < self.slot_state.promised {
            Some(AcceptorReply::Rejected(self.slot_state.promised))
        } else {
            None
        }
    }
}
