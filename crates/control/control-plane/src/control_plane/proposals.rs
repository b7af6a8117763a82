//! Requests of operators: each becomes the value of a slot, is rejected for good by a confirmed state, or has no clear answer.
//!
//! What a response promises: *done* means that a majority has the update on disk; *version conflict* and *invalid* that it is not in
//! force and never will be by this call, judged by a state that a majority confirmed after the call came; *indeterminate* nothing.

use super::evacuations::EvacuationCall;
use super::ControlPlane;
use crate::api::{Action, ApiResponse, CallerId};
use limeway_consensus::Slot;
use limeway_distribution::encode;
use limeway_invariants::{check, Invariant};
use limeway_routing_config::evacuation::EvacuationCalls;
use limeway_routing_config::{ConfigUpdate, Operation, Rejection, RoutingSnapshot, State};
use limeway_types::{Micros, Timestamp};
use serde_bytes::ByteBuf;
use std::collections::VecDeque;

/// How long a request is worked on: its caller tries another replica after a second without an answer.
pub(super) const REQUEST_TIMEOUT: Micros = 900_000;
/// The same without quorum contact: the caller is told at once, after one round.
const NO_QUORUM_TIMEOUT: Micros = 330_000;
/// Upper bound on the requests under way.
const MAX_REQUESTS: usize = 64;

#[derive(Debug)]
enum Request {
    UpdateConfig(Box<ConfigUpdate>),
    Evacuate(EvacuationCall),
    ReadConfig,
}

/// A request that is not answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    caller: CallerId,
    request: Request,
    /// When it came to this machine: its caller waits from then on.
    pub arrived: Timestamp,
    /// When this replica took it up: the state that it is judged by is no older.
    pub received: Timestamp,
    pub deadline: Timestamp,
    /// A like evacuation call is being answered until then, or others go before this update.
    pub retry_at: Timestamp,
    /// What the state of this slot makes of the request.
    pub admitted: Option<(Slot, Result<Operation, Rejection>)>,
}

impl PendingRequest {
    /// Checks an update against the state, once a slot.
    fn admit(&mut self, state: &State, routing: &RoutingSnapshot) {
        let Request::UpdateConfig(update) = &self.request else { return };
        if self.admitted.as_ref().is_none_or(|(slot, _)| *slot != state.slot) {
            self.admitted = Some((state.slot, state.admit(update, routing)));
        }
    }

    fn is_evacuation(&self) -> bool {
        matches!(self.request, Request::Evacuate(_))
    }

    fn take_operation(&mut self) -> Option<Operation> {
        self.admitted.take().and_then(|(_, admitted)| admitted.ok())
    }
}

/// What is to be done for a request now.
pub(super) enum RequestStep {
    Respond(ApiResponse),
    Propose,
    Wait,
}

/// The requests under way.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    pending: VecDeque<PendingRequest>,
    /// Evacuation calls whose responses are not known to be delivered.
    pub evacuation_calls: EvacuationCalls,
}

impl Proposals {
    pub(crate) fn any_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    pub(crate) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Ids of the evacuation calls that are not answered yet.
    pub(crate) fn pending_evacuation_calls(&self) -> impl Iterator<Item = u64> + '_ {
        self.pending.iter().filter_map(|pending| match &pending.request {
            Request::Evacuate(call) => Some(call.call_id),
            _ => None,
        })
    }

    /// When the last evacuation call came that is not answered yet.
    pub(crate) fn last_evacuation_received(&self) -> Option<Timestamp> {
        self.pending.iter().filter(|pending| pending.is_evacuation()).map(|pending| pending.received).max()
    }

    pub(crate) fn next_tick(&self, now: Timestamp) -> Option<Timestamp> {
        let next = |request: &PendingRequest| {
            let retry_at = if request.retry_at > now { request.retry_at } else { Timestamp::MAX };
            request.deadline.min(retry_at)
        };
        self.pending.iter().map(next).min()
    }

    /// When the newest request came that a state confirmed at this time is too old for; none if it is new enough for all.
    pub(crate) fn newest_unconfirmed(&self, confirmed_at: Timestamp) -> Option<Timestamp> {
        self.pending.iter().map(|request| request.received).filter(|at| *at > confirmed_at).max()
    }
}

impl ControlPlane {
    pub(crate) fn enqueue_update(&mut self, caller: CallerId, update: ConfigUpdate, arrived: Timestamp) {
        self.enqueue(caller, Request::UpdateConfig(Box::new(update)), arrived);
    }

    pub(crate) fn enqueue_evacuation(
        &mut self,
        caller: CallerId,
        zone: String,
        starts: bool,
        arrived: Timestamp,
    ) {
        // Never 0, which stands for a call that carries no id.
        let call_id = self.random() | 1;
        self.enqueue(caller, Request::Evacuate(EvacuationCall { zone, starts, call_id }), arrived);
    }

    pub(crate) fn enqueue_read(&mut self, caller: CallerId, arrived: Timestamp) {
        self.enqueue(caller, Request::ReadConfig, arrived);
    }

    /// Takes a request, which came at this time. One that is read when its time is over is not begun: its caller has called elsewhere since.
    fn enqueue(&mut self, caller: CallerId, request: Request, arrived: Timestamp) {
        let timeout = if self.has_quorum(self.now) { REQUEST_TIMEOUT } else { NO_QUORUM_TIMEOUT };
        let is_late = self.now >= arrived + REQUEST_TIMEOUT;
        if is_late || self.proposals.pending.len() >= MAX_REQUESTS || self.is_recovering() {
            return self.actions.push(Action::Respond(caller, ApiResponse::Indeterminate));
        }
        self.proposals.pending.push_back(PendingRequest {
            caller,
            request,
            arrived,
            received: self.now,
            deadline: arrived + timeout,
            retry_at: 0,
            admitted: None,
        });
    }

    /// Answers what can be answered, and begins the next proposal.
    pub(crate) fn run_proposals(&mut self) {
        self.release_undelivered_calls();
        loop {
            self.propose_internal();
            let slot = self.cache.state.slot;
            let Some(operation) = self.answer_requests() else { return };
            self.propose(ByteBuf::from(encode(&operation)));
            // A single voter's vote may have been counted at once.
            if self.cache.state.slot == slot {
                return;
            }
        }
    }

    /// Proposes what nobody has requested: completing an accepted value, changes of voters and gateways.
    fn propose_internal(&mut self) {
        if self.may_propose() {
            self.complete_accepted();
        }
        if !self.may_propose() || !std::mem::take(&mut self.voter_changes.review) {
            return;
        }
        let operation = match self.next_voter_change() {
            None if self.is_forming() => None,
            None => self.next_call_to_close().or_else(|| self.next_gateway_change_in_turn()),
            voters => voters,
        };
        if let Some(operation) = operation {
            self.propose(ByteBuf::from(encode(&operation)));
        }
    }

    /// A change of gateways, unless evacuation calls go before it: then it is looked at again later.
    fn next_gateway_change_in_turn(&mut self) -> Option<Operation> {
        if self.evacuations_precede_until().is_some() {
            self.voter_changes.review = true;
            return None;
        }
        self.next_gateway_change()
    }

    /// Answers requests. Returns the operation to propose for the first that needs one.
    fn answer_requests(&mut self) -> Option<Operation> {
        let may_propose = self.may_propose() && !self.is_forming();
        let held_until = self.evacuations_precede_until();
        let mut operation = None;
        for mut request in std::mem::take(&mut self.proposals.pending) {
            match self.next_step(&mut request) {
                RequestStep::Respond(response) => {
                    self.check_response(&request, &response);
                    if let (Request::UpdateConfig(update), ApiResponse::Done) = (&request.request, &response)
                    {
                        log::info!(version = update.version; "configuration committed");
                    }
                    self.actions.push(Action::Respond(request.caller, response));
                    continue;
                }
                _ if self.now >= request.deadline => {
                    if let Request::Evacuate(call) = &request.request {
                        self.release_call(call.call_id);
                    }
                    self.actions.push(Action::Respond(request.caller, ApiResponse::Indeterminate));
                    continue;
                }
                RequestStep::Propose if may_propose && operation.is_none() => match held_until {
                    Some(until) if !request.is_evacuation() => request.retry_at = until,
                    _ => operation = request.take_operation(),
                },
                _ => {}
            }
            self.proposals.pending.push_back(request);
        }
        operation
    }

    /// What must hold of a final response to an operator.
    fn check_response(&self, request: &PendingRequest, response: &ApiResponse) {
        let confirmed_at = self.cache.confirmed_at;
        match (&request.request, response) {
            (Request::UpdateConfig(update), ApiResponse::Done) => {
                let is_repeated = request.received == self.now;
                let holds = self.cache.state.has_applied(update) && !self.is_recovering();
                check(Invariant::AcknowledgedApplied, is_repeated, holds, || {
                    format!("version {}, slot {}", update.version, self.cache.state.slot)
                });
            }
            (_, ApiResponse::Document(_) | ApiResponse::VersionConflict | ApiResponse::Invalid(_)) => {
                let has_waited = request.received < self.now;
                let holds = confirmed_at >= request.received;
                check(Invariant::ConfirmedResponse, has_waited, holds, || {
                    format!("confirmed as of {confirmed_at}, call of {}", request.received)
                });
            }
            _ => {}
        }
    }

    fn next_step(&mut self, pending: &mut PendingRequest) -> RequestStep {
        if self.is_recovering() {
            return RequestStep::Wait;
        }
        pending.admit(&self.cache.state, &self.routing);
        // Whether the state is confirmed as of a moment after the call came.
        let confirmed = self.cache.confirmed_at >= pending.received;
        match &pending.request {
            Request::UpdateConfig(update) => self.next_update_step(update, &pending.admitted, confirmed),
            // A replica that is behind must answer neither of these by an old state.
            _ if !confirmed => RequestStep::Wait,
            Request::ReadConfig => RequestStep::Respond(ApiResponse::Document(self.cache.state.document())),
            Request::Evacuate(call) => {
                let call = call.clone();
                self.next_evacuation_step(&call, pending)
            }
        }
    }

    fn next_update_step(
        &self,
        update: &ConfigUpdate,
        admitted: &Option<(Slot, Result<Operation, Rejection>)>,
        confirmed: bool,
    ) -> RequestStep {
        if self.cache.state.has_applied(update) {
            // It is applied here, so a majority has it on disk.
            return RequestStep::Respond(ApiResponse::Done);
        }
        match admitted {
            Some((_, Ok(_))) if self.has_quorum(self.now) => RequestStep::Propose,
            // A replica that is behind must not reject by an old state.
            Some((_, Err(rejection))) if confirmed => RequestStep::Respond(match rejection {
                Rejection::VersionConflict(_) => ApiResponse::VersionConflict,
                Rejection::Invalid(e) => ApiResponse::Invalid(e.clone()),
                Rejection::Forgotten => ApiResponse::Indeterminate,
            }),
            _ => RequestStep::Wait,
        }
    }
}
