//! A gateway's requests to counters: when which counter is asked for what, which client requests wait for the answers, and why it goes
//! without.
//!
//! **Whose grants are used.** A counter that does not know what this incarnation of the gateway holds says so and names itself; blocks are
//! reported to that counter alone, so only a living counter ever gets them. What was requested before the last report for a shard is
//! not used, as the counter that got the report would not know of it; and of a tenant only the last request counts, once. What comes
//! late changes nothing on either side, whatever the order in which it comes. A holder that is taken for another for a while and then
//! found again gets a report only if it has forgotten.
//!
//! **When.** [`crate::pacer`]: requests that bring nothing are retried with a growing backoff, and none is sent faster than a rate,
//! whatever counters answer. Another holder ends the backoff. Waiting client requests get their units in the order in which they
//! came, when there are some; no answer wakes them otherwise.
//!
//! Events with the time go in; requests to be sent and client requests that are resolved come out.

use crate::escrow::{Escrow, UnitRequest, UnitResult};
use crate::shard_link::{use_grants, ShardLink};
use crate::{Holder, QuotaRequest, QuotaResponse, TenantRequest, UnavailableReason, WindowBudget};
use limeway_types::{Micros, NodeId, ProcessIncarnation, Timestamp, SECOND};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;

/// Interval between two looks at all that is held.
pub const SWEEP_INTERVAL: Micros = 250_000;
/// Upper bound on the shards.
pub const MAX_SHARDS: usize = 1_024;
/// How long a client request waits for its unit.
pub const UNIT_TIMEOUT: Micros = 450_000;
/// Upper bound on the client requests that wait.
pub const MAX_WAITERS: usize = 20_000;
/// Reports on why units cannot be leased come no more often.
pub const REPORT_INTERVAL: Micros = 5 * SECOND;
/// A counter that has brought nothing for so long is worth a warning.
const DEGRADED_AFTER: Micros = SECOND;

/// The result of an [`OutgoingRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The holder answered; shards that it does not hold are left out.
    Answered(Vec<QuotaResponse>),
    /// It answered that this gateway is not agreed on.
    NotAgreed,
    /// No connection.
    Unreachable,
    /// No answer in time.
    TimedOut,
}

/// Requests to one holder. Each ends with [`LeaseClient::handle_outcome`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The holder's machine.
    pub node: NodeId,
    /// Its process, as it was known.
    pub incarnation: ProcessIncarnation,
    /// When it was made.
    pub sent: Timestamp,
    /// The requests, by shard.
    pub requests: Vec<QuotaRequest>,
}

/// Names a client request that waits.
pub type WaiterId = u64;

/// What has become of a waiting client request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResolvedWaiter {
    /// The request.
    pub id: WaiterId,
    /// It has its unit, or has none until so much later.
    pub result: Result<(), Micros>,
}

/// Why units cannot be leased, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaReport {
    /// The reasons, in words.
    pub reasons: String,
    /// More than budgets that are used up is wrong.
    pub degraded: bool,
}

#[derive(Debug, Clone)]
struct Waiter {
    id: WaiterId,
    budget: WindowBudget,
    deadline: Timestamp,
}

/// Shards that cannot be leased for the same reason at the same holder.
#[derive(Debug, Default)]
struct DegradedShards {
    shards: Vec<usize>,
    longest: Micros,
    failures: u32,
}

/// A gateway's requests to counters.
#[derive(Debug, Clone)]
pub struct LeaseClient {
    incarnation: ProcessIncarnation,
    last_request: u64,
    last_waiter: WaiterId,
    random_state: u64,
    escrow: Escrow,
    links: Vec<ShardLink>,
    waiting: HashMap<String, VecDeque<Waiter>>,
    waiter_tenants: HashMap<WaiterId, String>,
    last_sweep: Option<Timestamp>,
    last_report: Timestamp,
    refused: BTreeMap<UnavailableReason, u32>,
}

impl LeaseClient {
    /// A client that holds nothing, for windows of this length.
    pub fn new(window_length: Micros, incarnation: ProcessIncarnation) -> Self {
        LeaseClient {
            incarnation,
            last_request: 0,
            last_waiter: 0,
            random_state: incarnation | 1,
            escrow: Escrow::new(window_length),
            links: Vec::new(),
            waiting: HashMap::new(),
            waiter_tenants: HashMap::new(),
            last_sweep: None,
            last_report: 0,
            refused: BTreeMap::new(),
        }
    }

    /// Takes a unit. A request that is told to wait is queued by [`LeaseClient::enqueue`], or ends with [`LeaseClient::cancel_wait`].
    pub fn take(&mut self, now: Timestamp, request: UnitRequest) -> UnitResult {
        match self.escrow.take(now, request) {
            UnitResult::Granted => UnitResult::Granted,
            UnitResult::Exhausted(left) => {
                let no_holder = request.holder.is_none();
                let reason =
                    if no_holder { UnavailableReason::NoHolder } else { UnavailableReason::Exhausted };
                self.refuse(reason, left)
            }
            UnitResult::Wait => {
                let link = self.links.get(request.shard);
                let unavailable_for = link.and_then(|link| link.pacer.unavailable_for(now));
                let is_full = self.waiter_tenants.len() >= MAX_WAITERS;
                let Some(left) = unavailable_for.or(is_full.then_some(SWEEP_INTERVAL)) else {
                    return UnitResult::Wait;
                };
                let reason = link.and_then(|link| link.unavailable).map(|unavailable| unavailable.reason);
                self.escrow.cancel_wait(request.tenant);
                self.refuse(reason.unwrap_or(UnavailableReason::TimedOut), left)
            }
        }
    }

    fn refuse(&mut self, reason: UnavailableReason, left: Micros) -> UnitResult {
        *self.refused.entry(reason).or_default() += 1;
        UnitResult::Exhausted(left)
    }

    /// Takes a unit for a request that a neighbour has. See [`Escrow::lend`].
    pub fn lend(&mut self, now: Timestamp, request: UnitRequest) -> bool {
        self.escrow.lend(now, request)
    }

    /// A request that was told to wait has got its unit elsewhere.
    pub fn cancel_wait(&mut self, tenant: &str) {
        self.escrow.cancel_wait(tenant);
    }

    /// Queues a request that was told to wait, for [`UNIT_TIMEOUT`] at most.
    pub fn enqueue(&mut self, now: Timestamp, tenant: &str, budget: WindowBudget) -> WaiterId {
        self.last_waiter += 1;
        let id = self.last_waiter;
        let waiter = Waiter { id, budget, deadline: now + UNIT_TIMEOUT };
        self.waiting.entry(tenant.to_owned()).or_default().push_back(waiter);
        self.waiter_tenants.insert(id, tenant.to_owned());
        id
    }

    /// Drops a request that waits, as its client has gone.
    pub fn abandon(&mut self, id: WaiterId) {
        let Some(tenant) = self.waiter_tenants.remove(&id) else { return };
        self.escrow.cancel_wait(&tenant);
        if let Some(queue) = self.waiting.get_mut(&tenant) {
            queue.retain(|waiter| waiter.id != id);
            if queue.is_empty() {
                self.waiting.remove(&tenant);
            }
        }
    }

    /// What is to be requested now, and the client requests that have their units. `holders` tells who holds each shard's counter.
    pub fn poll(
        &mut self,
        now: Timestamp,
        holders: &[Option<Holder>],
        near: bool,
    ) -> (Vec<OutgoingRequest>, Vec<ResolvedWaiter>) {
        self.links.resize_with(holders.len().min(MAX_SHARDS), ShardLink::default);
        self.links.iter_mut().zip(holders).for_each(|(link, holder)| link.set_holder(now, *holder));
        let is_sweep = self.last_sweep.is_none_or(|at| now >= at + SWEEP_INTERVAL);
        let must_report = |link: &ShardLink| !link.blocks_reported && link.may_send(now);
        if !is_sweep && self.waiting.is_empty() && !self.links.iter().any(must_report) {
            return Default::default();
        }
        let resolved = self.resolve_waiters(now, None);
        let may_send: Vec<bool> = self.links.iter().map(|link| link.may_send(now)).collect();
        if !is_sweep && !may_send.contains(&true) {
            return (Vec::new(), resolved);
        }
        let requests = self.due_requests(now, near, is_sweep, &may_send);
        let outgoing = self.outgoing_requests(now, requests);
        if is_sweep {
            self.last_sweep = Some(now);
            let counters: Vec<_> = self.links.iter().map(|link| link.counter).collect();
            self.escrow.expire(now, &counters);
        }
        (outgoing, resolved)
    }

    /// The requests that are due, by shard: for all tenants in a sweep, else for those that clients wait for.
    fn due_requests(
        &mut self,
        now: Timestamp,
        near: bool,
        is_sweep: bool,
        may_send: &[bool],
    ) -> BTreeMap<usize, Vec<TenantRequest>> {
        let waited_for: Option<Vec<String>> = (!is_sweep).then(|| self.waiting.keys().cloned().collect());
        self.last_request += 1;
        let may_ask = |shard: usize| may_send.get(shard).copied().unwrap_or(false);
        let mut requests =
            self.escrow.due_requests(now, self.last_request, near, waited_for.as_deref(), may_ask);
        let unreported = |(shard, link): &(usize, &ShardLink)| may_ask(*shard) && !link.blocks_reported;
        for (shard, _) in self.links.iter().enumerate().filter(unreported) {
            requests.entry(shard).or_default();
        }
        requests
    }

    fn outgoing_requests(
        &mut self,
        now: Timestamp,
        requests: BTreeMap<usize, Vec<TenantRequest>>,
    ) -> Vec<OutgoingRequest> {
        let sequence = self.last_request;
        let mut outgoing: BTreeMap<(NodeId, ProcessIncarnation), OutgoingRequest> = BTreeMap::new();
        for (shard, tenants) in requests {
            let Some(link) = self.links.get_mut(shard) else { continue };
            let Some(Holder { node, incarnation }) = link.holder else { continue };
            let reports = !link.blocks_reported && link.counter != 0;
            let blocks = reports.then(|| self.escrow.blocks(now, shard));
            link.request_sent(now, sequence, reports);
            let counter = link.counter;
            let request =
                QuotaRequest { shard, tenants, blocks, counter, incarnation: self.incarnation, sequence };
            let empty = || OutgoingRequest { node, incarnation, sent: now, requests: Vec::new() };
            outgoing.entry((node, incarnation)).or_insert_with(empty).requests.push(request);
        }
        outgoing.into_values().collect()
    }

    /// How long after a poll the next one is due, if nothing happens before.
    pub fn next_poll_in(&self, now: Timestamp) -> Micros {
        let has_waiters =
            |shard: usize| self.waiting.keys().any(|tenant| self.escrow.shard(tenant) == Some(shard));
        let due = |(shard, link): (usize, &ShardLink)| {
            let at = link.pacer.next_send();
            let desired = !link.blocks_reported || has_waiters(shard);
            (at > now && link.holder.is_some() && desired).then_some(at)
        };
        let sweep = self.last_sweep.map_or(now, |at| at + SWEEP_INTERVAL);
        let deadlines = self.waiting.values().filter_map(|queue| queue.front().map(|w| w.deadline));
        let sends = self.links.iter().enumerate().filter_map(due);
        sends.chain(deadlines).fold(sweep, Timestamp::min).saturating_sub(now)
    }

    /// A request has come to its end. Returns the client requests that have their units, or will have none.
    pub fn handle_outcome(
        &mut self,
        now: Timestamp,
        outgoing: &OutgoingRequest,
        outcome: &RequestOutcome,
    ) -> Vec<ResolvedWaiter> {
        let mut touched = Vec::new();
        for request in &outgoing.requests {
            if request.shard >= self.links.len() {
                continue;
            }
            touched.extend(request.tenants.iter().map(|tenant| tenant.tenant.clone()));
            let result = self.use_outcome(now, outgoing, request, outcome);
            self.escrow.request_failed(request.sequence, &request.tenants);
            if let Err(reason) = result {
                self.note_failure(now, request.shard, reason);
            }
        }
        self.resolve_waiters(now, Some(&touched))
    }

    fn use_outcome(
        &mut self,
        now: Timestamp,
        outgoing: &OutgoingRequest,
        request: &QuotaRequest,
        outcome: &RequestOutcome,
    ) -> Result<(), UnavailableReason> {
        let link = &mut self.links[request.shard];
        link.request_ended(request.sequence);
        let response = match outcome {
            RequestOutcome::Answered(responses) => {
                let response = responses.iter().find(|response| response.shard == request.shard);
                response.ok_or(UnavailableReason::NotHeld)
            }
            RequestOutcome::NotAgreed => Err(UnavailableReason::NotAgreed),
            RequestOutcome::Unreachable => Err(UnavailableReason::Unreachable),
            RequestOutcome::TimedOut => Err(UnavailableReason::TimedOut),
        };
        let holder = Holder { node: outgoing.node, incarnation: outgoing.incarnation };
        let is_current = link.holder == Some(holder);
        let (escrow, sent) = (&mut self.escrow, outgoing.sent);
        match response {
            // The counter that got the later report does not know of this request.
            _ if request.sequence < link.last_report => Ok(()),
            Ok(response) if is_current => link.use_response(escrow, now, sent, request, response),
            // Another is taken for the holder by now, and has got no report: what this one granted will be in it.
            Ok(response) => use_grants(escrow, now, sent, request, response).or(Ok(())),
            Err(reason) if is_current => Err(reason),
            Err(_) => Ok(()),
        }
    }

    fn note_failure(&mut self, now: Timestamp, shard: usize, reason: UnavailableReason) {
        let link = &mut self.links[shard];
        link.set_unavailable(now, reason);
        if reason != UnavailableReason::NotBegun {
            // A linear congruential generator (the multiplier of PCG); its high bits are the random ones.
            self.random_state =
                self.random_state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
            link.pacer.failed(now, self.random_state >> 33);
        }
    }

    /// Gives waiting requests of these tenants, or of all, the units that are there, and ends those for which none will come soon.
    fn resolve_waiters(&mut self, now: Timestamp, tenants: Option<&[String]>) -> Vec<ResolvedWaiter> {
        let mut resolved = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        match tenants {
            None => {
                for (tenant, queue) in &mut waiting {
                    self.resolve_tenant_waiters(now, tenant, queue, &mut resolved);
                }
            }
            Some(tenants) => {
                for tenant in tenants {
                    if let Some(queue) = waiting.get_mut(tenant) {
                        self.resolve_tenant_waiters(now, tenant, queue, &mut resolved);
                    }
                }
            }
        }
        if !resolved.is_empty() {
            waiting.retain(|_, queue| !queue.is_empty());
        }
        self.waiting = waiting;
        resolved
    }

    fn resolve_tenant_waiters(
        &mut self,
        now: Timestamp,
        tenant: &str,
        queue: &mut VecDeque<Waiter>,
        resolved: &mut Vec<ResolvedWaiter>,
    ) {
        let link = self.escrow.shard(tenant).and_then(|shard| self.links.get(shard));
        let unavailable_for = link.and_then(|link| link.pacer.unavailable_for(now));
        let reason = link.and_then(|link| link.unavailable).map(|unavailable| unavailable.reason);
        while let Some(waiter) = queue.front() {
            let late = unavailable_for.is_some() || waiter.deadline <= now;
            let result = match self.escrow.take_waiting(now, tenant, waiter.budget, late) {
                UnitResult::Granted => Ok(()),
                UnitResult::Exhausted(left) => {
                    let reason = reason.filter(|_| late).unwrap_or(UnavailableReason::Exhausted);
                    *self.refused.entry(reason).or_default() += 1;
                    Err(unavailable_for.unwrap_or(left))
                }
                UnitResult::Wait => break,
            };
            self.waiter_tenants.remove(&waiter.id);
            resolved.push(ResolvedWaiter { id: waiter.id, result });
            queue.pop_front();
        }
    }

    /// Client requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiter_tenants.len()
    }

    /// What is held, for the log. See [`Escrow::describe`].
    pub fn describe(&self, now: Timestamp) -> String {
        self.escrow.describe(now)
    }

    /// Why units cannot be leased, from time to time; none if nothing is wrong and no request was refused.
    pub fn report(&mut self, now: Timestamp) -> Option<QuotaReport> {
        if now < self.last_report + REPORT_INTERVAL {
            return None;
        }
        let mut reasons = self.degraded_shards(now);
        let degraded = !reasons.is_empty();
        reasons.extend(self.refused.iter().map(|(reason, n)| format!("{n} requests refused: {reason}")));
        if reasons.is_empty() {
            return None;
        }
        self.last_report = now;
        self.refused.clear();
        Some(QuotaReport { reasons: reasons.join("; "), degraded })
    }

    /// The shards that cannot be leased, in words, by reason and holder.
    fn degraded_shards(&self, now: Timestamp) -> Vec<String> {
        let mut degraded: BTreeMap<(UnavailableReason, NodeId), DegradedShards> = BTreeMap::new();
        for (shard, link) in self.links.iter().enumerate() {
            let Some(unavailable) = link.unavailable.filter(|u| now >= u.since + DEGRADED_AFTER) else {
                continue;
            };
            let node = link.holder.map_or(0, |holder| holder.node);
            let entry = degraded.entry((unavailable.reason, node)).or_default();
            entry.shards.push(shard);
            entry.longest = entry.longest.max(now - unavailable.since);
            entry.failures = entry.failures.max(link.pacer.failures());
        }
        let describe = |((reason, node), entry): (&(UnavailableReason, NodeId), &DegradedShards)| {
            let at = if *node == 0 { String::new() } else { format!(" at {}", Ipv4Addr::from(*node)) };
            let DegradedShards { shards, longest, failures } = entry;
            format!("shards {shards:?}{at}: {reason}, for {} ms, {failures} failed requests", longest / 1_000)
        };
        degraded.iter().map(describe).collect()
    }
}
