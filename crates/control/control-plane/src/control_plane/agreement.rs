//! Agreement on the next slot: this replica's acceptor, and the proposal that it has under way.

use super::persistence::AfterWrite;
use super::{ControlPlane, SentRequest};
use crate::api::{Action, CallerId};
use crate::messages::{Call, Reply};
use limeway_consensus::{
    AcceptorReply, NodeId, ProposalNumber, Proposer, ProposerStep, RoundAllocator, Slot,
};
use limeway_invariants::{check, Invariant};
use limeway_types::{Micros, Timestamp};
use serde_bytes::ByteBuf;
use std::collections::BTreeSet;

/// How long replies of acceptors are waited for, beside their writes.
const ACCEPTOR_TIMEOUT: Micros = 450_000;
/// Time-outs in a row that double that: the disks of others may be slower than the own one.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// How long a replica may take to have a chosen value on disk.
const COMMIT_TIMEOUT: Micros = 450_000;
/// Two proposers that preempt each other back off at random: at least this long,
const MIN_BACKOFF: Micros = 4_000;
/// and this much more at most, doubled with each loss in a row.
const BACKOFF_SPREAD: Micros = 24_000;
/// Losses in a row that lengthen the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// How long another replica's proposal that this one has voted for may go on without a further message: a round trip on the longest
/// links, beside the writes of others.
pub(crate) const YIELD_TIMEOUT: Micros = 250_000;

/// One phase of a proposal under way.
#[derive(Debug)]
struct Ballot {
    /// Names the phase: replies to an earlier one count no more.
    number: u64,
    proposer: Proposer,
    /// The value that is to be accepted, in phase 2.
    accepting: Option<ByteBuf>,
    /// When the present phase began.
    began_at: Timestamp,
    deadline: Timestamp,
    /// Replies that may still come.
    outstanding: usize,
    /// Acceptors that this phase has been asked of a second time.
    repeated: BTreeSet<NodeId>,
}

/// The proposals of this replica.
#[derive(Debug, Default)]
pub(crate) struct Agreement {
    ballot: Option<Ballot>,
    last_ballot: u64,
    rounds: RoundAllocator,
    backoff_until: Timestamp,
    /// Until when another replica's proposal on this slot may go on: preempting one that is merely slow would end both.
    yields_until: Timestamp,
    /// The last slot that an acceptor has said to be decided. A proposal before it is applied here comes to nothing.
    catches_up_to: Slot,
    losses: u32,
    /// Proposals in a row whose replies have timed out.
    timeouts: u32,
    /// When the phase began whose replies timed out last.
    timed_out_phase: Timestamp,
}

impl Agreement {
    /// When a proposal expires, or the next one may begin if one is wanted.
    pub(crate) fn next_tick(&self, now: Timestamp, wanted: bool) -> Option<Timestamp> {
        let free_from = self.backoff_until.max(self.yields_until);
        let expires = self.ballot.as_ref().map(|ballot| ballot.deadline);
        expires.or((wanted && free_from > now).then_some(free_from))
    }

    /// Whether nothing is waited for that ends by itself.
    pub(crate) fn is_free(&self, now: Timestamp) -> bool {
        self.free_from().is_some_and(|free_from| now >= free_from)
    }

    /// When no proposal is waited for any more, unless one of this replica is under way.
    pub(crate) fn free_from(&self) -> Option<Timestamp> {
        self.ballot.is_none().then_some(self.backoff_until.max(self.yields_until))
    }

    /// The slot of other replicas' proposals is decided; so is that of an own one that is not for a later slot.
    pub(crate) fn slot_decided(&mut self, applied: Slot) {
        self.timeouts = 0;
        if applied >= self.catches_up_to {
            self.yields_until = 0;
        }
        if self.ballot.as_ref().is_some_and(|ballot| ballot.proposer.slot <= applied) {
            self.ballot = None;
        }
    }
}

impl ControlPlane {
    /// Whether a proposal may be begun. After one whose replies have timed out a majority has to show itself first, by its answers to a
    /// heartbeat: a replica whose proposals arrive and that hears nobody would only preempt others.
    pub(crate) fn may_propose(&self) -> bool {
        self.agreement.is_free(self.now)
            && self.quorum.has_heard_majority_since(self.agreement.timed_out_phase)
    }

    /// How long replies of acceptors are waited for: disks that are slow must not end each proposal, or nothing is ever agreed on.
    fn acceptor_timeout(&self) -> Micros {
        let doublings = self.agreement.timeouts.min(MAX_TIMEOUT_DOUBLINGS);
        (ACCEPTOR_TIMEOUT << doublings) + self.persistence.write_time(self.now)
    }

    /// Another replica's proposal goes on: this one proposes nothing for a while.
    pub(crate) fn yield_to_other(&mut self) {
        self.agreement.yields_until = self.now + YIELD_TIMEOUT + self.persistence.write_time(self.now);
    }

    pub(crate) fn handle_prepare(&mut self, caller: CallerId, slot: Slot, number: ProposalNumber) {
        let reply = self.vote(slot, |acceptor| acceptor.prepare(slot, number));
        self.reply_as_acceptor(caller, number, reply);
    }

    pub(crate) fn handle_accept(
        &mut self,
        caller: CallerId,
        slot: Slot,
        number: ProposalNumber,
        value: ByteBuf,
    ) {
        self.check_single_value(slot, number, &value);
        let reply = self.vote(slot, |acceptor| acceptor.accept(slot, number, value));
        self.reply_as_acceptor(caller, number, reply);
    }

    /// A value that comes under a proposal number must be the one that was accepted under it.
    fn check_single_value(&self, slot: Slot, number: ProposalNumber, value: &ByteBuf) {
        let accepted = self.acceptor.slot_state.accepted.as_ref();
        let is_open = slot == self.acceptor.applied + 1;
        let same_number = accepted.filter(|(accepted, _)| is_open && *accepted == number);
        let holds = same_number.is_none_or(|(_, accepted)| accepted == value);
        check(Invariant::OneValuePerNumber, same_number.is_some(), holds, || {
            format!("slot {slot}, {number:?}: another value was accepted")
        });
    }

    /// The acceptor's reply. It abstains on the open slot if this replica is no voter, or could not keep its promise.
    fn vote(
        &mut self,
        slot: Slot,
        ask: impl FnOnce(&mut limeway_consensus::Acceptor) -> AcceptorReply,
    ) -> AcceptorReply {
        let is_open = slot == self.acceptor.applied + 1;
        if is_open && (self.own_voter().is_none() || !self.persistence.is_healthy(self.now)) {
            return AcceptorReply::Abstained;
        }
        ask(&mut self.acceptor)
    }

    /// Replies to a proposer; a vote only once it is on disk.
    fn reply_as_acceptor(&mut self, caller: CallerId, number: ProposalNumber, reply: AcceptorReply) {
        if is_vote(&reply) {
            self.yield_to_other();
            return self.persist(vec![AfterWrite::Reply(caller, reply)]);
        }
        if let AcceptorReply::Behind(_) = reply {
            self.fetch(number.proposer);
        }
        self.actions.push(Action::Reply(caller, Reply::Acceptor(reply)));
    }

    /// Proposes a value for the next slot.
    pub(crate) fn propose(&mut self, value: ByteBuf) {
        let slot = self.acceptor.applied + 1;
        let promised = self.acceptor.slot_state.promised;
        let round = self.agreement.rounds.next(slot, promised);
        let proposer = self.options.node;
        let number = ProposalNumber { round, proposer, incarnation: self.options.incarnation };
        let proposer = Proposer::new(slot, number, self.voters().to_vec(), value);
        let (began_at, deadline) = (self.now, self.now + self.acceptor_timeout());
        self.agreement.catches_up_to = 0;
        self.agreement.last_ballot += 1;
        let ballot = self.agreement.last_ballot;
        let repeated = BTreeSet::new();
        self.agreement.ballot = Some(Ballot {
            number: ballot,
            proposer,
            accepting: None,
            began_at,
            deadline,
            outstanding: 0,
            repeated,
        });
        self.call_acceptors(ballot, &Call::Prepare(slot, number));
        self.vote_for_own(ballot, |acceptor| acceptor.prepare(slot, number));
    }

    /// Phase 2: has a value accepted.
    fn propose_accept(&mut self, slot: Slot, number: ProposalNumber, value: ByteBuf) {
        // Replies that are still to come to phase 1 count no more.
        self.agreement.last_ballot += 1;
        let ballot = self.agreement.last_ballot;
        if let Some(current) = &mut self.agreement.ballot {
            current.number = ballot;
            current.accepting = Some(value.clone());
            current.repeated.clear();
        }
        self.call_acceptors(ballot, &Call::Accept(slot, number, value.clone()));
        self.vote_for_own(ballot, |acceptor| acceptor.accept(slot, number, value));
    }

    /// Calls the acceptors of all other voters, before the own disk is waited for.
    fn call_acceptors(&mut self, ballot: u64, call: &Call) {
        let nodes = self.other_voters();
        let outstanding = nodes.len() + usize::from(self.own_voter().is_some());
        let timeout = self.acceptor_timeout();
        for node in nodes {
            self.send(node, call.clone(), timeout, SentRequest::Ballot(ballot, node));
        }
        if let Some(current) = &mut self.agreement.ballot {
            (current.began_at, current.deadline) = (self.now, self.now + timeout);
            current.outstanding = outstanding;
        }
    }

    /// This replica's own vote on its proposal; it counts once it is on disk.
    fn vote_for_own(
        &mut self,
        ballot: u64,
        ask: impl FnOnce(&mut limeway_consensus::Acceptor) -> AcceptorReply,
    ) {
        let Some(slot) = self.agreement.ballot.as_ref().map(|current| current.proposer.slot) else { return };
        if self.own_voter().is_none() {
            return;
        }
        let reply = self.vote(slot, ask);
        if is_vote(&reply) {
            self.persist(vec![AfterWrite::OwnVote(ballot, reply)]);
        } else {
            self.handle_vote(ballot, self.options.node, reply);
            self.reply_counted(ballot);
        }
    }

    pub(crate) fn handle_ballot_reply(&mut self, ballot: u64, node: NodeId, reply: Option<Reply>) {
        match reply {
            Some(Reply::Acceptor(reply)) => self.handle_vote(ballot, node, reply),
            None if self.repeat_call(ballot, node) => return,
            _ => {}
        }
        self.reply_counted(ballot);
    }

    /// Asks an acceptor once more whose reply was lost with its connection: it may have voted, and a value that is chosen would go
    /// unnoticed until the ballot expires. An acceptor votes the same on a call that it has had. False if the reply is given up.
    fn repeat_call(&mut self, ballot: u64, node: NodeId) -> bool {
        let is_alive = self.peers.get(&node).is_some_and(|peer| peer.is_alive(self.now));
        let Some(current) = self.agreement.ballot.as_mut().filter(|b| b.number == ballot) else {
            return false;
        };
        if !is_alive || self.now >= current.deadline || !current.repeated.insert(node) {
            return false;
        }
        let (slot, number) = (current.proposer.slot, current.proposer.number);
        let call = match &current.accepting {
            Some(value) => Call::Accept(slot, number, value.clone()),
            None => Call::Prepare(slot, number),
        };
        let timeout = current.deadline - self.now;
        self.send(node, call, timeout, SentRequest::Ballot(ballot, node));
        true
    }

    /// One reply fewer may still come. A proposal that cannot succeed any more is not waited for; one whose time is over expires.
    pub(crate) fn reply_counted(&mut self, ballot: u64) {
        let Some(current) = self.agreement.ballot.as_mut().filter(|b| b.number == ballot) else { return };
        current.outstanding = current.outstanding.saturating_sub(1);
        if current.outstanding == 0 && self.now < current.deadline {
            self.proposal_lost();
        }
    }

    /// Takes an acceptor's reply to a ballot.
    pub(crate) fn handle_vote(&mut self, ballot: u64, from: NodeId, reply: AcceptorReply) {
        let Some(current) = self.agreement.ballot.as_mut().filter(|b| b.number == ballot) else { return };
        let (slot, number) = (current.proposer.slot, current.proposer.number);
        let step = current.proposer.handle_reply(from, reply);
        let (has_recovered, conflicts) = (current.proposer.has_recovered(), current.proposer.has_conflict());
        check(Invariant::OneValuePerNumber, has_recovered, !conflicts, || {
            format!("slot {slot}: voters hold different values under one number")
        });
        match step {
            ProposerStep::Wait => {}
            ProposerStep::Accept { value, .. } => self.propose_accept(slot, number, value),
            ProposerStep::Chosen => {
                let value = current.accepting.take().unwrap_or_default();
                self.proposal_chosen(slot, value);
            }
            ProposerStep::CatchUp(decided) => self.proposal_too_late(from, decided),
            ProposerStep::Preempted(other) => self.proposal_preempted(other),
        }
    }

    fn proposal_chosen(&mut self, slot: Slot, value: ByteBuf) {
        self.agreement.ballot = None;
        (self.agreement.losses, self.agreement.backoff_until) = (0, 0);
        self.apply_chosen(slot, &value);
        // Others learn it at once; whoever does not receive it fetches it after its next round.
        for node in self.other_replicas() {
            let purpose = SentRequest::Commit(node, slot);
            self.send(node, Call::Commit(slot, value.clone()), COMMIT_TIMEOUT, purpose);
        }
    }

    fn proposal_preempted(&mut self, other: ProposalNumber) {
        self.agreement.rounds.preempted_by(other);
        self.proposal_lost();
        if other.proposer != self.options.node {
            // A replica that is no voter hears of the other proposal only so.
            self.yield_to_other();
        }
    }

    /// The slot was decided before. The next proposal waits until this replica has caught up, but not for ever: the acceptor that has
    /// applied the slot may be gone, and a proposal is what finds the value at the others.
    fn proposal_too_late(&mut self, acceptor: NodeId, decided: Slot) {
        self.agreement.ballot = None;
        self.agreement.catches_up_to = decided;
        self.yield_to_other();
        self.fetch(acceptor);
    }

    /// A proposal came to nothing: backs off.
    fn proposal_lost(&mut self) {
        self.agreement.ballot = None;
        let spread = BACKOFF_SPREAD << self.agreement.losses.min(MAX_BACKOFF_DOUBLINGS);
        self.agreement.losses += 1;
        self.agreement.backoff_until = self.now + MIN_BACKOFF + self.random() % spread;
    }

    /// Gives up a proposal whose replies have timed out.
    pub(crate) fn expire_ballot(&mut self) {
        let expired = self.agreement.ballot.as_ref().filter(|ballot| self.now >= ballot.deadline);
        if let Some(began_at) = expired.map(|ballot| ballot.began_at) {
            self.agreement.timed_out_phase = began_at;
            self.agreement.timeouts += 1;
            self.proposal_lost();
        }
    }
}

/// Whether a reply is a vote, which must not leave before it is on disk.
fn is_vote(reply: &AcceptorReply) -> bool {
    matches!(reply, AcceptorReply::Promised { .. } | AcceptorReply::Accepted { .. })
}
