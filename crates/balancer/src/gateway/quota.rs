//! A gateway's quota: units that it takes, leases, borrows from neighbours and lends. What is requested when is decided by
//! [`limeway_quota::lease_client`]; here are its sockets and its clock.

use super::Gateway;
use crate::clock::{self, now};
use crate::messages::{Call, Reply};
use crate::transport::CallError;
use limeway_membership::{preferred_node, shard_of, Holder, NodeId};
use limeway_quota::escrow::{UnitRequest, UnitResult};
use limeway_quota::lease_client::{
    LeaseClient, OutgoingRequest, QuotaReport, RequestOutcome, ResolvedWaiter, WaiterId,
};
use limeway_quota::{QuotaRule, WindowBudget};
use limeway_types::Micros;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, timeout, Instant};

/// How long a counter's answer is waited for; later ones are not used.
const COUNTER_TIMEOUT: Duration = Duration::from_millis(320);
/// A counter that takes longer to answer is remote: neighbours are asked first.
const REMOTE_COUNTER_LATENCY: Micros = 4_000;
/// How long a neighbour is asked for a unit.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(25);
/// Tells the ranking of neighbours from other uses of rendezvous hashing.
const NEIGHBOUR_KEY: u64 = 0x6e65_6967_6862_0000;
/// Shortest interval between two looks at what is to be leased, however often it is woken.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Weight of the mean against a new, higher latency: one in so many parts is new.
const LATENCY_SMOOTHING: Micros = 8;

/// The quota that this gateway has leased, and the requests that wait for some.
pub(super) struct QuotaClient {
    client: RefCell<LeaseClient>,
    /// Requests that wait for a unit.
    waiters: RefCell<HashMap<WaiterId, oneshot::Sender<Result<(), Micros>>>>,
    rule: QuotaRule,
    /// Something is to be leased at once.
    lease_now: Notify,
    /// How long a counter takes to answer, about.
    counter_latency: Cell<Micros>,
}

impl QuotaClient {
    pub(super) fn new(rule: QuotaRule) -> Self {
        QuotaClient {
            client: RefCell::new(LeaseClient::new(rule.window_length(), clock::random() | 1)),
            waiters: RefCell::default(),
            rule,
            lease_now: Notify::new(),
            counter_latency: Cell::new(0),
        }
    }

    fn is_counter_remote(&self) -> bool {
        self.counter_latency.get() > REMOTE_COUNTER_LATENCY
    }

    /// Takes a new latency into the mean: at once if it is lower, slowly if it is higher.
    fn observe_latency(&self, latency: Micros) {
        let mean = self.counter_latency.get();
        let smoothed = ((LATENCY_SMOOTHING - 1) * mean + latency) / LATENCY_SMOOTHING;
        self.counter_latency.set(if latency < mean { latency } else { smoothed });
    }

    /// Tells waiting requests what has become of them.
    fn resolve_waiters(&self, resolved: Vec<ResolvedWaiter>) {
        let mut waiters = self.waiters.borrow_mut();
        for ResolvedWaiter { id, result } in resolved {
            if let Some(waiter) = waiters.remove(&id) {
                // Its client may be gone.
                let _ = waiter.send(result);
            }
        }
    }
}

/// A request that waits for its unit. Dropped with its client, it waits no longer.
struct UnitWait<'a> {
    quota: &'a QuotaClient,
    tenant: &'a str,
    waiter_id: Option<WaiterId>,
    resolved: bool,
}

impl Drop for UnitWait<'_> {
    fn drop(&mut self) {
        match self.waiter_id {
            _ if self.resolved => {}
            None => self.quota.client.borrow_mut().cancel_wait(self.tenant),
            Some(waiter_id) => {
                self.quota.client.borrow_mut().abandon(waiter_id);
                self.quota.waiters.borrow_mut().remove(&waiter_id);
            }
        }
    }
}

impl Gateway {
    fn holders(&self) -> Vec<Option<Holder>> {
        let cache = self.following.cache.borrow();
        cache.holders.iter().map(|holder| (holder.node != 0).then_some(*holder)).collect()
    }

    fn holder(&self, shard: usize) -> Option<Holder> {
        let cache = self.following.cache.borrow();
        cache.holders.get(shard).copied().filter(|holder| holder.node != 0)
    }

    /// Takes a unit of a tenant's quota for one request.
    ///
    /// # Errors
    /// There is none: how long until the next window begins.
    pub async fn take_unit(&self, tenant: &str, rate: f64, burst: f64) -> Result<(), Micros> {
        let quota = &self.quota;
        let Some(budget) = quota.rule.window_budget(rate, burst) else { return Ok(()) };
        let request = self.unit_request(tenant, budget);
        match quota.client.borrow_mut().take(now(), request) {
            UnitResult::Granted => return Ok(()),
            UnitResult::Exhausted(left) => return Err(left),
            UnitResult::Wait => {
                self.metrics.unit_waits.inc();
            }
        }
        let mut wait = UnitWait { quota, tenant, waiter_id: None, resolved: false };
        if quota.is_counter_remote() && self.borrow_unit(tenant, request.shard).await {
            return Ok(());
        }
        self.wait_for_unit(&mut wait, budget).await
    }

    /// Borrows a unit from a neighbour. The counter may be regions away.
    async fn borrow_unit(&self, tenant: &str, shard: usize) -> bool {
        for neighbour in self.neighbours(shard) {
            let call = Call::BorrowUnit(tenant.to_owned());
            let reply = self.channels.to(neighbour).call(&call, NEIGHBOUR_TIMEOUT).await;
            if let Ok(Reply::Done) = reply {
                return true;
            }
        }
        false
    }

    async fn wait_for_unit(&self, wait: &mut UnitWait<'_>, budget: WindowBudget) -> Result<(), Micros> {
        let quota = &self.quota;
        let (sender, resolved) = oneshot::channel();
        let waiter_id = quota.client.borrow_mut().enqueue(now(), wait.tenant, budget);
        quota.waiters.borrow_mut().insert(waiter_id, sender);
        wait.waiter_id = Some(waiter_id);
        quota.lease_now.notify_one();
        let result = resolved.await;
        wait.resolved = true;
        result.unwrap_or(Err(quota.rule.window_length()))
    }

    /// The gateways of the own region that others there borrow units of a shard from: the two preferred ones.
    fn neighbours(&self, shard: usize) -> Vec<NodeId> {
        let cache = self.following.cache.borrow();
        let settings = &self.settings;
        let in_region = |zone: &str| settings.zones.get(zone) == Some(&settings.region);
        let nearby =
            cache.members().iter().filter(|member| in_region(&member.zone)).map(|member| member.node);
        let key = NEIGHBOUR_KEY ^ shard as u64;
        let first = preferred_node(key, nearby.clone());
        let second = preferred_node(key, nearby.filter(|node| Some(*node) != first));
        first.into_iter().chain(second).filter(|node| *node != self.node).collect()
    }

    /// Lends a unit to a neighbour that has a request and no unit for it.
    pub(super) fn lend_unit(&self, tenant: &str) -> Reply {
        let routing = self.routing();
        let tenant_config = routing.tenants.get(tenant);
        let budget =
            tenant_config.and_then(|t| self.quota.rule.window_budget(t.rate_per_second, t.burst_size));
        let request = budget.map(|budget| self.unit_request(tenant, budget));
        match request {
            Some(request) if self.quota.client.borrow_mut().lend(now(), request) => Reply::Done,
            _ => Reply::Declined,
        }
    }

    fn unit_request<'a>(&self, tenant: &'a str, budget: WindowBudget) -> UnitRequest<'a> {
        let shard = shard_of(tenant);
        UnitRequest { tenant, shard, holder: self.holder(shard), budget }
    }

    /// What is held of quotas, for the log.
    pub fn describe_quota(&self) -> String {
        self.quota.client.borrow().describe(now())
    }

    /// Leases units, for ever.
    pub async fn lease_quota(self: Rc<Self>) {
        loop {
            let started = Instant::now();
            let near = !self.quota.is_counter_remote();
            let (requests, resolved) = self.quota.client.borrow_mut().poll(now(), &self.holders(), near);
            self.quota.resolve_waiters(resolved);
            for request in requests {
                tokio::task::spawn_local(self.clone().send_lease_request(request));
            }
            self.log_unavailable();
            let next = Duration::from_micros(self.quota.client.borrow().next_poll_in(now()));
            // Whether woken or not, the loop looks again.
            let _ = timeout(next, self.quota.lease_now.notified()).await;
            if started.elapsed() < MIN_POLL_INTERVAL {
                sleep_until(started + MIN_POLL_INTERVAL).await;
            }
        }
    }

    fn log_unavailable(&self) {
        if let Some(QuotaReport { reasons, degraded }) = self.quota.client.borrow_mut().report(now()) {
            let level = if degraded { log::Level::Warn } else { log::Level::Info };
            log::log!(level, "quota: {reasons}");
        }
    }

    /// Sends a request to a counter's holder, and uses what comes of it.
    async fn send_lease_request(self: Rc<Self>, request: OutgoingRequest) {
        let call = Call::LeaseQuota(self.node, request.requests.clone());
        let outcome = match self.channels.to(request.node).call(&call, COUNTER_TIMEOUT).await {
            Ok(Reply::QuotaGrants(answers)) => RequestOutcome::Answered(answers),
            Ok(_) => RequestOutcome::NotAgreed,
            Err(CallError::Disconnected) => RequestOutcome::Unreachable,
            Err(CallError::TimedOut | CallError::Overloaded) => RequestOutcome::TimedOut,
        };
        self.quota.observe_latency(now() - request.sent);
        let resolved = self.quota.client.borrow_mut().handle_outcome(now(), &request, &outcome);
        self.quota.resolve_waiters(resolved);
        self.quota.lease_now.notify_one();
    }
}
