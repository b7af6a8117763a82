//! Evacuation calls that this replica has answered, or is about to, until they are closed.
//!
//! A like call that comes while one is open is new if the open one was answered, and else its retry. Only the replica that took the
//! open call knows which, and a kill must not take that from it. So it has the id of the call on disk *before* the answer goes out,
//! and it tells the other replicas in its heartbeats: none of them decides about a like call before.

use super::persistence::AfterWrite;
use super::ControlPlane;
use limeway_consensus::{NodeId, Voter};
use limeway_routing_config::state::OpenCall;
use limeway_routing_config::{Operation, State};
use limeway_types::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Upper bound on the calls that are answered and not yet closed.
const MAX_ANSWERED_CALLS: usize = 64;
/// Upper bound on the replicas whose answered calls are remembered.
const MAX_REPORTING_PEERS: usize = 64;
/// How long a call that waits for agreement goes before what can wait: a proposal that is under way when others hear of it, and the
/// first messages of its own, after which others yield to that.
const CALL_PRECEDENCE: Micros = 500_000;

/// How far the answer to a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerPhase {
    /// It is being recorded on disk.
    Recording,
    /// It may be sent.
    Recorded,
    /// It has been sent.
    Sent,
    /// It has arrived, or may have: the call is to be closed.
    Delivered,
}

#[derive(Debug, Clone, Copy)]
struct AnsweredCall {
    call_id: u64,
    phase: AnswerPhase,
    /// Its caller does not wait any longer: it retries if the answer is not known to have arrived by then.
    retried_from: Timestamp,
}

/// What is known of the answer to an open call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerStatus {
    /// It was answered, or is being answered: it is closed soon, or found not to be answered.
    Answered,
    /// It was not answered in time, and is not any more.
    Unanswered,
    /// The disk with the record of it is gone.
    RecordLost,
    /// The machine that knows has not been heard since.
    Unknown,
}

/// What another replica has last said.
#[derive(Debug)]
struct PeerReport {
    received: Timestamp,
    calls: Vec<ReportedCall>,
}

/// A call that another replica has answered, or works on.
#[derive(Debug, Clone, Copy)]
struct ReportedCall {
    call_id: u64,
    first_reported: Timestamp,
}

impl PeerReport {
    fn call(&self, call_id: u64) -> Option<&ReportedCall> {
        self.calls.iter().find(|call| call.call_id == call_id)
    }
}

/// The calls of this replica, and what others have said of theirs.
#[derive(Debug, Default)]
pub(crate) struct AnsweredCalls {
    calls: Vec<AnsweredCall>,
    /// Changed since the last record.
    is_unwritten: bool,
    peers: BTreeMap<NodeId, PeerReport>,
}

impl AnsweredCalls {
    /// Those that an earlier process has recorded: their answers may have arrived.
    pub(crate) fn recovered(call_ids: &[u64]) -> Self {
        let mut answered = AnsweredCalls::default();
        call_ids.iter().for_each(|call_id| answered.add_delivered(*call_id));
        answered
    }

    fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.calls.iter().map(|call| call.call_id)
    }

    /// What the next record says of them; nothing if the last one still holds.
    pub(crate) fn take_unwritten(&mut self, is_snapshot: bool) -> Option<Vec<u64>> {
        let is_due = std::mem::take(&mut self.is_unwritten) || is_snapshot;
        is_due.then(|| self.ids().collect())
    }

    pub(super) fn phase(&self, call_id: u64) -> Option<AnswerPhase> {
        self.calls.iter().find(|call| call.call_id == call_id).map(|call| call.phase)
    }

    /// Adds a call in this phase. False if there is no room.
    pub(super) fn add(&mut self, call_id: u64, phase: AnswerPhase, retried_from: Timestamp) -> bool {
        if self.calls.len() >= MAX_ANSWERED_CALLS || self.phase(call_id).is_some() {
            return false;
        }
        self.calls.push(AnsweredCall { call_id, phase, retried_from });
        self.is_unwritten = true;
        true
    }

    /// Adds a call whose answer may have arrived.
    pub(super) fn add_delivered(&mut self, call_id: u64) {
        self.add(call_id, AnswerPhase::Delivered, Timestamp::MAX);
    }

    /// A call comes into this phase.
    pub(super) fn set_phase(&mut self, call_id: u64, phase: AnswerPhase) {
        if let Some(call) = self.calls.iter_mut().find(|call| call.call_id == call_id) {
            call.phase = phase;
        }
    }

    /// The answer to a call is sent, and is taken by then or lost.
    pub(super) fn answer_sent(&mut self, call_id: u64, lost_from: Timestamp) {
        if let Some(call) = self.calls.iter_mut().find(|call| call.call_id == call_id) {
            (call.phase, call.retried_from) = (AnswerPhase::Sent, call.retried_from.min(lost_from));
        }
    }

    /// Forgets a call, whose next like call is its retry. False if there was none.
    fn remove(&mut self, call_id: u64) -> bool {
        let before = self.calls.len();
        self.calls.retain(|call| call.call_id != call_id);
        let removed = self.calls.len() < before;
        self.is_unwritten |= removed;
        removed
    }

    /// Forgets the calls that are open no more.
    fn forget_closed(&mut self, state: &State) {
        let before = self.calls.len();
        self.calls.retain(|call| state.open_call(call.call_id).is_some());
        self.is_unwritten |= self.calls.len() < before;
    }

    /// A call whose answer is not known to have arrived in time.
    fn undelivered(&self, now: Timestamp) -> Option<u64> {
        let late = |call: &&AnsweredCall| call.phase != AnswerPhase::Delivered && now >= call.retried_from;
        self.calls.iter().find(late).map(|call| call.call_id)
    }

    fn first_delivered(&self) -> Option<u64> {
        self.calls.iter().find(|call| call.phase == AnswerPhase::Delivered).map(|call| call.call_id)
    }

    /// Another replica has said which calls it has answered, or works on.
    pub(crate) fn observe_peer(&mut self, now: Timestamp, node: NodeId, call_ids: Vec<u64>) {
        let last = self.peers.get(&node);
        if last.is_none() && self.peers.len() >= MAX_REPORTING_PEERS {
            return;
        }
        let reported = |call_id| {
            let known = last.and_then(|report| report.call(call_id));
            known.copied().unwrap_or(ReportedCall { call_id, first_reported: now })
        };
        let calls = call_ids.into_iter().map(reported).collect();
        self.peers.insert(node, PeerReport { received: now, calls });
    }

    /// Until when calls of other replicas that wait for agreement go before what can wait.
    fn peers_precede_until(&self, state: &State) -> Option<Timestamp> {
        let reported = self.peers.values().flat_map(|report| &report.calls);
        let waiting = reported.filter(|call| !state.knows_call(call.call_id));
        waiting.map(|call| call.first_reported + CALL_PRECEDENCE).max()
    }

    /// What another replica has said of a call at this time or later.
    fn reported(&self, node: NodeId, call_id: u64, since: Timestamp) -> AnswerStatus {
        match self.peers.get(&node) {
            Some(report) if report.received >= since && report.call(call_id).is_some() => {
                AnswerStatus::Answered
            }
            Some(report) if report.received >= since => AnswerStatus::Unanswered,
            _ => AnswerStatus::Unknown,
        }
    }
}

impl ControlPlane {
    /// This machine as one that records its answers; none without a disk that counts.
    pub(super) fn as_recorder(&self) -> Option<Voter> {
        self.options.loss_counted.then(|| self.as_voter())
    }

    /// The calls that this replica has answered, or works on, as it says to others.
    pub(crate) fn reported_calls(&self) -> Vec<u64> {
        self.answered_calls.ids().chain(self.proposals.pending_evacuation_calls()).collect()
    }

    /// Until when evacuation calls that wait for agreement, here or elsewhere, go before updates and upkeep. An update that is chosen
    /// when its caller has given up is confirmed to the retry at once, while the retry of an evacuation call needs a slot of its own.
    pub(super) fn evacuations_precede_until(&self) -> Option<Timestamp> {
        let own = self.proposals.last_evacuation_received().map(|received| received + CALL_PRECEDENCE);
        let others = self.answered_calls.peers_precede_until(&self.cache.state);
        own.max(others).filter(|until| self.now < *until)
    }

    /// What is known of the answer to an open call, as of this time or later.
    pub(super) fn answer_status(&self, call: &OpenCall, since: Timestamp) -> AnswerStatus {
        let Some(recorder) = call.taken_by else { return AnswerStatus::Unanswered };
        if recorder.node == self.options.node {
            let is_answered = self.answered_calls.phase(call.call_id).is_some();
            return match is_answered {
                true => AnswerStatus::Answered,
                false if recorder != self.as_voter() => AnswerStatus::RecordLost,
                false => AnswerStatus::Unanswered,
            };
        }
        let reported = self.answered_calls.reported(recorder.node, call.call_id, since);
        let peer = self.peers.get(&recorder.node);
        let is_lost = peer.is_some_and(|peer| peer.last_seen >= since && peer.as_voter() != recorder);
        if is_lost {
            return AnswerStatus::RecordLost;
        }
        reported
    }

    /// Writes to disk that a call is answered.
    pub(super) fn record_answer(&mut self, call_id: u64, retried_from: Timestamp) {
        if self.answered_calls.add(call_id, AnswerPhase::Recording, retried_from) {
            self.persist(vec![AfterWrite::AnswerRecorded(call_id)]);
        }
    }

    /// The record of an answer is on disk: it may be sent.
    pub(super) fn answer_recorded(&mut self, call_id: u64) {
        self.answered_calls.set_phase(call_id, AnswerPhase::Recorded);
    }

    /// The response to an evacuation call has reached its caller, who does not retry.
    pub(super) fn response_delivered(&mut self, call_id: u64) {
        // It may have come later than it was waited for.
        self.answered_calls.add_delivered(call_id);
        self.answered_calls.set_phase(call_id, AnswerPhase::Delivered);
        self.voter_changes.review = true;
    }

    /// A call is not answered, or not in time: its caller retries. That goes to disk at once, or the retry might count as new.
    pub(super) fn release_call(&mut self, call_id: u64) {
        if self.answered_calls.remove(call_id) && self.as_recorder().is_some() {
            self.persist(Vec::new());
        }
    }

    /// Releases the calls whose callers do not wait any longer.
    pub(super) fn release_undelivered_calls(&mut self) {
        while let Some(call_id) = self.answered_calls.undelivered(self.now) {
            self.release_call(call_id);
        }
    }

    /// An evacuation call that is to be closed.
    pub(super) fn next_call_to_close(&mut self) -> Option<Operation> {
        let state = &self.cache.state;
        self.proposals.evacuation_calls.observe(self.now, state);
        self.answered_calls.forget_closed(state);
        let expired = self.proposals.evacuation_calls.expired(self.now, self.options.ack_timeout);
        let expired = expired.filter(|_| self.is_coordinator() && self.evacuations_precede_until().is_none());
        self.answered_calls.first_delivered().or(expired).map(Operation::CloseCall)
    }
}
