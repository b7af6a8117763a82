//! A gateway: a limiter that clients reach. What it knows, where it gets it from, and what it passes on to the gateways that follow
//! it.

mod endpoints;
mod following;
mod quota;
mod relay;

use crate::clock::now;
use crate::directory;
use crate::drain_schedule::DrainSchedule;
use crate::metrics::GatewayMetrics;
use crate::proxy::BodyBudget;
use crate::replica::quota_rule;
use crate::transport::{self, Channels};

use following::Following;
use limeway_invariants::{check, Invariant};
use limeway_load_balancing::RetryBudget;
use limeway_membership::{MemberHeartbeat, NodeId};
use limeway_routing_config::RoutingSnapshot;
use limeway_service_registry::Phase;
use limeway_settings::Settings;
use limeway_types::{Micros, Timestamp, SECOND};
use quota::QuotaClient;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

pub use endpoints::{Endpoint, EndpointTable, Endpoints};

/// What clocks may be off, and what it takes to act, when keys are revoked.
const REVOCATION_MARGIN: Micros = 250_000;
/// How long a configuration is used without confirmation where no bound on revocation is in force.
const LENIENT_CONFIG_LIFETIME: Micros = 60 * SECOND;
/// Members that a share is cut by at least: a gateway that has just started may not know the others yet.
const MIN_SHARING_MEMBERS: usize = 3;
/// Interval at which idle connections and old records are dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// A gateway.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// The endpoints of services, and the connections to them.
    pub endpoints: Endpoints,
    /// The retry budget.
    pub retries: RefCell<RetryBudget>,
    /// The memory for bodies of requests.
    pub bodies: BodyBudget,
    /// Its figures.
    pub metrics: GatewayMetrics,
    node: NodeId,
    channels: Channels,
    following: Following,
    quota: QuotaClient,
    /// What the settings file said of it last.
    grace_period: Cell<Micros>,
    /// It is shutting down: it says so to its upstream, and clients are sent elsewhere.
    drain_schedule: Cell<Option<DrainSchedule>>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(settings: Settings) -> Rc<Self> {
        let bounds = &settings.bounds;
        Rc::new(Gateway {
            endpoints: Endpoints::new(settings.max_file_descriptors),
            retries: RefCell::new(RetryBudget::new(bounds.retry_ratio, bounds.retry_window)),
            bodies: BodyBudget::new(settings.max_memory_bytes),
            metrics: GatewayMetrics::default(),
            node: NodeId::from(settings.ip),
            channels: Channels::new(settings.inner_ports.first),
            following: Following::new(&settings),
            quota: QuotaClient::new(quota_rule(&settings)),
            grace_period: Cell::new(bounds.grace_period),
            drain_schedule: Cell::new(None),
            settings,
        })
    }

    /// Starts what runs for as long as the process does.
    pub fn spawn_tasks(self: &Rc<Self>) {
        tokio::task::spawn_local(self.clone().follow());
        tokio::task::spawn_local(self.clone().lease_quota());
        tokio::task::spawn_local(self.clone().clean_up());
    }

    /// The configuration in force.
    pub fn routing(&self) -> Rc<RoutingSnapshot> {
        self.following.routing.borrow().clone()
    }

    /// Whether the configuration is fresh enough to admit keys by: revoked keys are refused in time, on machines that are cut off
    /// too.
    pub fn is_config_fresh(&self) -> bool {
        let bounds = &self.settings.bounds;
        let lifetime = if bounds.revocation_strict {
            bounds.revocation.saturating_sub(REVOCATION_MARGIN)
        } else {
            LENIENT_CONFIG_LIFETIME
        };
        let confirmed_at = self.confirmed_at();
        confirmed_at > 0 && now() < confirmed_at + lifetime
    }

    /// Checks that keys are admitted within the bound on revocation.
    pub(crate) fn check_fresh_keys(&self) {
        let bounds = &self.settings.bounds;
        let age = now().saturating_sub(self.confirmed_at());
        let holds = !bounds.revocation_strict || age < bounds.revocation;
        check(Invariant::FreshKeys, 2 * age > bounds.revocation, holds, || format!("confirmed {age} us ago"));
    }

    /// As of when the configuration was last confirmed; 0 for never.
    pub fn confirmed_at(&self) -> Timestamp {
        self.following.cache.borrow().confirmed_at
    }

    /// The slot of the agreed state that is applied.
    pub fn slot(&self) -> u64 {
        self.following.cache.borrow().state.slot
    }

    /// Checks that an attempt may go to a server, by what is known of it.
    pub(crate) fn check_server_may_be_used(&self, id: &str) {
        let cache = self.following.cache.borrow();
        let server = cache.registry.servers().get(id);
        let is_ready = server.is_some_and(|server| {
            server.phase == Phase::Ready && !cache.state.evacuated.contains_key(&server.zone)
        });
        let knows_leaving = self.endpoints.knows_leaving();
        check(Invariant::NoLeavingServer, knows_leaving, is_ready, || format!("{id}: {server:?}"));
    }

    /// Whether it can serve clients.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.following.routing.borrow().version > 0 && self.is_config_fresh()
    }

    /// Whether it is shutting down.
    pub fn is_draining(&self) -> bool {
        self.drain_schedule.get().is_some()
    }

    /// For how long it has been shutting down.
    pub fn draining_for(&self) -> Micros {
        self.drain_schedule.get().map_or(0, |schedule| now().saturating_sub(schedule.started_at))
    }

    /// Whether a request that may last until `deadline` can be answered before the process exits.
    pub fn admits_until(&self, deadline: Timestamp) -> bool {
        self.drain_schedule.get().is_none_or(|schedule| schedule.admits(deadline))
    }

    /// Shuts down: its upstream hears of it at once.
    pub fn drain(&self, schedule: DrainSchedule) {
        self.drain_schedule.set(Some(schedule));
        self.following.poll_now.notify_one();
    }

    /// This gateway's share of what belongs to all.
    pub fn share_of(&self, total: f64) -> f64 {
        let members = self.following.cache.borrow().members().len();
        total / members.max(MIN_SHARING_MEMBERS) as f64
    }

    /// Number of members and of servers in use that are known here.
    pub fn known(&self) -> (usize, usize) {
        let cache = self.following.cache.borrow();
        let servers = cache.registry.servers().values();
        let live = servers.filter(|s| s.phase == Phase::Ready && !s.unresponsive && !s.unlisted).count();
        (cache.members().len(), live)
    }

    /// This gateway as a member.
    fn heartbeat(&self) -> MemberHeartbeat {
        let frontend = match self.settings.frontend {
            Some(SocketAddr::V4(frontend)) => frontend,
            _ => SocketAddrV4::new(self.settings.ip, 0),
        };
        MemberHeartbeat {
            node: self.node,
            frontend,
            zone: self.settings.zone.clone(),
            ready: self.is_ready(),
            age: 0,
        }
    }

    /// The settings file has changed: its seeds and its grace period are used from now on.
    pub fn reload(&self, settings: &Settings) {
        self.following.follower.borrow_mut().seeds = transport::nodes(&settings.seeds);
        self.grace_period.set(settings.bounds.grace_period);
        self.compare_timeouts_with_grace_period();
        self.metrics.reloads.inc();
        log::info!("settings read again");
    }

    /// Answers where a client should go.
    pub fn resolve(&self, parameters: &str) -> Option<String> {
        let cache = self.following.cache.borrow();
        // All gateways listen for clients at the same port.
        let port = self.settings.frontend.map_or(0, |frontend| frontend.port());
        let members = cache.members().iter();
        let frontends =
            members.map(|member| (member.zone.as_str(), SocketAddrV4::new(member.node.into(), port)));
        directory::resolve(&self.settings, frontends, parameters)
    }

    /// Drops idle connections and old records, for ever.
    async fn clean_up(self: Rc<Self>) {
        loop {
            sleep(CLEANUP_INTERVAL).await;
            self.endpoints.pools.prune();
            self.endpoints.selector.borrow_mut().expire(now());
            // Whether a server is unresponsive is for its replicas to say: here only what is gone is dropped.
            self.following.cache.borrow_mut().registry.expire(now(), Micros::MAX);
        }
    }
}
