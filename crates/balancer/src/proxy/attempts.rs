//! The attempts of one request at servers. What may follow an attempt is decided by [`limeway_load_balancing::attempts`], which server
//! is next by its [`limeway_load_balancing::Selector`].

use super::attempt::{first_to_end, AttemptContext, ChosenServer, InFlightAttempt};
use super::failure::Failure;
use super::local_response::LocalResponse;
use super::request::{pick_service, route, RoutedRequest};
use super::request_record::RequestRecord;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::upstream::{ServerResponse, UpstreamResult};
use limeway_http1::inbound::Message;
use limeway_invariants::{check, Invariant};
use limeway_load_balancing::attempts::{
    have_no_common_region, AttemptResult, Conclusion, NextStep, RequestAttempts,
};
use limeway_routing_config::routing::Tenant;
use limeway_types::{Micros, Timestamp};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Upper bound on the attempts of one request, whatever a route allows.
const MAX_ATTEMPTS: u32 = 4;
/// Upper bound on the attempts of one request that are in flight at one time.
const MAX_IN_FLIGHT: usize = 2;
/// One in so many parts of its latency target a request waits for a server with room.
const CAPACITY_WAIT_DIVISOR: u64 = 5;
/// When to retry after a wait for a unit that was longer than the request's own time.
const UNANSWERED_UNIT_RETRY: Micros = 250_000;
/// Interval at which a server with room is looked for.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Serves a request that came to this machine at a time: with a server's response, or one of our own. What happens to it is noted in
/// `record`.
pub(super) async fn handle(
    gateway: &Rc<Gateway>,
    message: &Message,
    arrived: Timestamp,
    record: &RequestRecord,
) -> Result<ServerResponse, LocalResponse> {
    let started = now();
    let RoutedRequest { route, tenant, upstream, time_left } = route(gateway, message, record)?;
    let deadline = arrived + time_left;
    record.deadline.set(deadline);
    if started >= deadline {
        // It was read late, by a process that stood still: nobody waits for it any more.
        return Err(LocalResponse::unavailable(Failure::Expired));
    }
    if !gateway.admits_until(deadline) {
        // It may last longer than this process: another gateway can see it through.
        return Err(LocalResponse::shutting_down());
    }
    let service = pick_service(&route);
    record.routed(&service, tenant.as_ref());
    let tenant_regions: &[String] = tenant.as_ref().map_or(&[], |tenant| &tenant.allowed_regions);
    let allowed_regions: [&[String]; 2] = [&route.allowed_regions, tenant_regions];
    if have_no_common_region(allowed_regions) {
        // Both bind, and have no region in common: no attempt at any time can be served, and no unit is spent on it.
        return Err(LocalResponse::new(503, Failure::NoCommonRegion));
    }
    if let Some(tenant) = &tenant {
        let unit = take_unit_within(gateway, tenant, deadline - started).await;
        record.unit_wait.set(now() - started);
        unit.map_err(|wait| unit_refused(gateway, &service, allowed_regions, wait))?;
    }
    let context = AttemptContext { gateway, service: &service, request: &upstream, deadline, record };
    let mut attempts = Attempts { context, allowed_regions, tried: Vec::new() };
    let request_attempts = RequestAttempts::new(upstream.idempotent, route.max_attempts.min(MAX_ATTEMPTS));
    attempts.run(request_attempts, started + route.target_latency / CAPACITY_WAIT_DIVISOR).await
}

/// Takes a unit of the tenant's quota, and waits for it no longer than the request itself may take.
///
/// # Errors
/// There is none: how long until there may be one.
async fn take_unit_within(gateway: &Gateway, tenant: &Tenant, time_left: Micros) -> Result<(), Micros> {
    let unit = gateway.take_unit(&tenant.name, tenant.rate_per_second, tenant.burst_size);
    let taken = timeout(Duration::from_micros(time_left), unit).await;
    taken.unwrap_or(Err(UNANSWERED_UNIT_RETRY))
}

/// The response to a request that got no unit. One that no server could take is not the tenant's excess.
fn unit_refused(
    gateway: &Gateway,
    service: &str,
    allowed_regions: [&[String]; 2],
    wait: Micros,
) -> LocalResponse {
    if gateway.endpoints.excludes_all(service, allowed_regions) {
        LocalResponse::unavailable(Failure::NoServer)
    } else {
        LocalResponse::retry_after(429, Failure::QuotaExhausted, wait as f64 / 1e6)
    }
}

/// The attempts of one request.
struct Attempts<'a> {
    context: AttemptContext<'a>,
    allowed_regions: [&'a [String]; 2],
    tried: Vec<Rc<str>>,
}

impl<'a> Attempts<'a> {
    /// Tries servers until one answers, or none may be tried any more.
    async fn run(
        &mut self,
        mut request_attempts: RequestAttempts,
        capacity_deadline: Timestamp,
    ) -> Result<ServerResponse, LocalResponse> {
        let mut in_flight: Vec<InFlightAttempt<'a>> = Vec::with_capacity(MAX_IN_FLIGHT);
        let mut failure = None;
        loop {
            if in_flight.is_empty() {
                if !request_attempts.may_continue() || now() >= self.context.deadline {
                    break;
                }
                let Some(server) = self.next_server(&request_attempts, capacity_deadline).await else {
                    break;
                };
                in_flight.extend(self.begin(&request_attempts, &server));
                continue;
            }
            let Some((index, result)) = self.next_end(&request_attempts, &mut in_flight).await else {
                for attempt in in_flight.drain(..) {
                    request_attempts.record(attempt.finish(None).0);
                }
                break;
            };
            let attempt = in_flight.swap_remove(index);
            let started = attempt.started();
            let (attempt_result, response) = attempt.finish(Some(result));
            match (request_attempts.record(attempt_result), response) {
                (NextStep::Forward, Some(response)) => {
                    // If it took more than one attempt, the other time is not ours alone.
                    let server_time = if self.tried.len() == 1 { now() - started } else { 0 };
                    self.context.record.server_time.set(server_time);
                    in_flight.into_iter().for_each(InFlightAttempt::supersede);
                    return Ok(response);
                }
                (_, Some(response)) if attempt_result == AttemptResult::Failed => failure = Some(response),
                _ => {}
            }
        }
        match (request_attempts.conclude(now() >= self.context.deadline), failure) {
            (Conclusion::Failure, Some(response)) => Ok(response),
            (conclusion, _) => Err(self.local_response(&request_attempts, conclusion)),
        }
    }

    /// Waits for one of the attempts in flight to end. A server that does not respond for long is not left: another one gets the request as
    /// well, and whichever responds first prevails. None once the request's time is over.
    async fn next_end(
        &mut self,
        request_attempts: &RequestAttempts,
        in_flight: &mut Vec<InFlightAttempt<'a>>,
    ) -> Option<(usize, UpstreamResult)> {
        let deadline = self.context.deadline;
        loop {
            let alone = in_flight.first().filter(|_| in_flight.len() < MAX_IN_FLIGHT);
            let hedge_at =
                alone.filter(|_| request_attempts.may_hedge()).map_or(deadline, InFlightAttempt::hedge_at);
            let ended = first_to_end(in_flight, deadline.min(hedge_at)).await;
            if ended.is_some() || now() >= deadline {
                return ended;
            }
            match self.hedge(request_attempts) {
                Some(hedge) => in_flight.push(hedge),
                None => in_flight.iter_mut().for_each(InFlightAttempt::postpone_hedge),
            }
        }
    }

    /// Sends a request that is in flight to another server as well: only to a healthy one, within the retry budget. Not during shutdown:
    /// what a server works on is not cancelled then.
    fn hedge(&mut self, request_attempts: &RequestAttempts) -> Option<InFlightAttempt<'a>> {
        if self.context.gateway.is_draining() {
            return None;
        }
        let server = self.choose(true).filter(|_| self.pay_for_retry())?;
        self.begin(request_attempts, &server)
    }

    /// Begins an attempt. None if the server is gone meanwhile. The first one pays into the retry budget: a request that is refused here
    /// costs no server anything, and must not buy retries of others.
    fn begin(
        &mut self,
        request_attempts: &RequestAttempts,
        server: &ChosenServer,
    ) -> Option<InFlightAttempt<'a>> {
        if self.tried.is_empty() {
            self.context.gateway.retries.borrow_mut().count_request(now(), self.context.service);
        }
        self.tried.push(server.id.clone());
        let attempt = InFlightAttempt::begin(self.context, server)?;
        self.check_attempt(request_attempts, server);
        Some(attempt)
    }

    /// The response of our own where no server's can be forwarded.
    fn local_response(&self, request_attempts: &RequestAttempts, conclusion: Conclusion) -> LocalResponse {
        let response = match conclusion {
            Conclusion::Failure | Conclusion::Unknown => LocalResponse::new(502, Failure::Unknown),
            Conclusion::TimedOut => LocalResponse::new(504, Failure::TimedOut),
            Conclusion::NotExecuted if request_attempts.sent() == 0 => {
                LocalResponse::unavailable(Failure::NoServer)
            }
            Conclusion::NotExecuted => LocalResponse::unavailable(Failure::NotExecuted),
        };
        let holds = !(response.is_promise() && request_attempts.may_have_executed());
        check(Invariant::NoPromiseAfterExecution, request_attempts.sent() > 0, holds, || {
            format!("{} after {request_attempts:?}", response.status)
        });
        response
    }

    /// The next server. Waits a little for one with room while no server may have executed the request.
    async fn next_server(
        &mut self,
        request_attempts: &RequestAttempts,
        capacity_deadline: Timestamp,
    ) -> Option<ChosenServer> {
        let is_first = request_attempts.sent() == 0;
        let wait_until = if is_first { capacity_deadline.min(self.context.deadline) } else { 0 };
        let chosen = loop {
            match self.choose(false) {
                Some(chosen) => break chosen,
                None if now() >= wait_until => return None,
                None => sleep(CAPACITY_POLL_INTERVAL).await,
            }
        };
        // What has reached no server is no retry.
        (is_first || self.pay_for_retry()).then_some(chosen)
    }

    /// Chooses a server that was not tried yet; only a healthy one if the request is at a server already.
    fn choose(&self, healthy_only: bool) -> Option<ChosenServer> {
        let candidates =
            self.context.gateway.endpoints.candidates(self.context.service, self.allowed_regions);
        let mut selector = self.context.gateway.endpoints.selector.borrow_mut();
        let id = if healthy_only {
            selector.choose_healthy(now(), &candidates, &self.tried)
        } else {
            selector.choose(now(), &candidates, &self.tried)
        }?;
        let in_slow_start =
            candidates.iter().any(|candidate| candidate.id == id && candidate.slow_start_rate.is_some());
        Some(ChosenServer { id, in_slow_start })
    }

    fn pay_for_retry(&self) -> bool {
        let slack = self.context.gateway.share_of(self.context.gateway.settings.bounds.retry_slack);
        self.context.gateway.retries.borrow_mut().take_retry(now(), self.context.service, slack)
    }

    /// What must hold of each attempt.
    fn check_attempt(&self, request_attempts: &RequestAttempts, server: &ChosenServer) {
        let is_single = self.context.request.idempotent || !request_attempts.may_have_executed();
        let is_further = !self.context.request.idempotent && self.tried.len() > 1;
        check(Invariant::SingleExecution, is_further, is_single, || format!("{request_attempts:?}"));
        self.context.gateway.check_server_may_be_used(&server.id);
    }
}
