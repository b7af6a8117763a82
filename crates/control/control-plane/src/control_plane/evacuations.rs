//! Evacuation calls of operators: which one is new, which one is a retry, and when each is answered.

use super::answered_calls::{AnswerPhase, AnswerStatus};
use super::proposals::{PendingRequest, RequestStep, REQUEST_TIMEOUT};
use super::ControlPlane;
use crate::api::ApiResponse;
use limeway_routing_config::evacuation::CallStep;
use limeway_routing_config::state::OpenCall;
use limeway_routing_config::Operation;
use limeway_types::{Micros, Timestamp};

/// An evacuation call that has waited for the answer to a like one is proposed no later than this before its time is over: two round
/// trips on the longest links, and some writes.
const LATE_PROPOSAL_MARGIN: Micros = 300_000;

/// How long an answer that was sent may take to be seen to arrive; after that, the next like call is taken for its retry. A heartbeat
/// tells the others within as long again, so a like call has time to be answered after its wait.
const ANSWER_TIMEOUT: Micros = 250_000;

/// A call of an operator about a zone.
#[derive(Debug, Clone)]
pub(super) struct EvacuationCall {
    pub zone: String,
    pub starts: bool,
    pub call_id: u64,
}

impl ControlPlane {
    /// What to do for an evacuation call, on a state that is confirmed as of its arrival.
    pub(super) fn next_evacuation_step(
        &mut self,
        call: &EvacuationCall,
        pending: &mut PendingRequest,
    ) -> RequestStep {
        if self.cache.state.open_call(call.call_id).is_some() {
            return self.next_answer_step(call.call_id, pending.arrived);
        }
        if self.cache.state.knows_call(call.call_id) {
            // A retry has taken its place: that one is answered, and this caller has to call again.
            return RequestStep::Respond(ApiResponse::Indeterminate);
        }
        if let Some(until) = self.waits_for_like_call(call, pending.received) {
            pending.retry_at = until;
            return RequestStep::Wait;
        }
        let (now, state) = (self.now, &self.cache.state);
        match self.proposals.evacuation_calls.next_step(now, state, &call.zone, call.starts, call.call_id) {
            // There is nothing to end.
            CallStep::Done => RequestStep::Respond(ApiResponse::EvacuationDone(call.call_id)),
            CallStep::Wait(until) => {
                pending.retry_at = until;
                RequestStep::Wait
            }
            // Proposed so late, its answer would hardly come in time, and its caller's retry would wait for that answer.
            CallStep::Propose(_) if pending.retry_at > 0 && now + LATE_PROPOSAL_MARGIN > pending.deadline => {
                RequestStep::Wait
            }
            CallStep::Propose(mut operation) => {
                if let Operation::Evacuate { taken_by, .. } = &mut operation {
                    *taken_by = self.as_recorder();
                }
                pending.admitted = Some((state.slot, Ok(operation)));
                RequestStep::Propose
            }
        }
    }

    /// Answers a call that is in force, once the record of that is on disk.
    fn next_answer_step(&mut self, call_id: u64, arrived: Timestamp) -> RequestStep {
        let retried_from = arrived + REQUEST_TIMEOUT;
        match self.answered_calls.phase(call_id) {
            Some(AnswerPhase::Recording) => RequestStep::Wait,
            Some(_) => self.send_answer(call_id),
            None if self.as_recorder().is_none() => {
                self.answered_calls.add(call_id, AnswerPhase::Recorded, retried_from);
                self.send_answer(call_id)
            }
            None => {
                self.record_answer(call_id, retried_from);
                RequestStep::Wait
            }
        }
    }

    fn send_answer(&mut self, call_id: u64) -> RequestStep {
        self.answered_calls.answer_sent(call_id, self.now + ANSWER_TIMEOUT);
        RequestStep::Respond(ApiResponse::EvacuationDone(call_id))
    }

    /// Until when a call has to wait for what is known of the answer to a like one that is open.
    fn waits_for_like_call(&mut self, call: &EvacuationCall, received: Timestamp) -> Option<Timestamp> {
        self.proposals.evacuation_calls.observe(self.now, &self.cache.state);
        let open: OpenCall = self.cache.state.like_open_call(&call.zone, call.starts)?.clone();
        let first_seen = self.proposals.evacuation_calls.first_seen(open.call_id)?;
        // A machine that was killed is back by then, or the retry of a call that it never answered would come too late.
        let recorder_timeout = first_seen + self.options.ack_timeout / 2;
        match self.answer_status(&open, received.max(first_seen)) {
            AnswerStatus::Unanswered => None,
            AnswerStatus::Unknown => (self.now < recorder_timeout).then_some(recorder_timeout),
            AnswerStatus::Answered => Some(recorder_timeout),
            AnswerStatus::RecordLost => {
                // What was acknowledged must not be lost with a disk.
                self.answered_calls.add_delivered(open.call_id);
                self.voter_changes.review = true;
                Some(recorder_timeout)
            }
        }
    }
}
