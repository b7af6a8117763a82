//! Figures of a gateway.

use super::{render, CounterTable, InvariantMetrics};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::proxy::{ClientConnections, Failure};
use limeway_load_balancing::attempts::AttemptResult;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::fmt;

/// Figures of a gateway: counters that go on, and gauges that are set when they are fetched.
pub struct GatewayMetrics {
    registry: Registry,
    /// Responses of servers that were forwarded as they are.
    served: Counter,
    failures: CounterTable,
    attempts: CounterTable,
    /// Requests that had to wait for a unit of quota.
    pub unit_waits: Counter,
    /// Polls and fetches that an upstream did not answer.
    pub upstream_failures: Counter,
    /// Settings files that were read again, and came into force.
    pub reloads: Counter,
    gauges: Gauges,
    invariants: InvariantMetrics,
}

/// What is looked up when figures are fetched.
#[derive(Debug, Default)]
struct Gauges {
    config_version: Gauge,
    slot: Gauge,
    confirmed_age: Gauge,
    members: Gauge,
    servers: Gauge,
    connections: Gauge,
    busy: Gauge,
    body_bytes: Gauge,
    body_waits: Gauge,
    draining: Gauge,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayMetrics").finish_non_exhaustive()
    }
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        let mut gauge = |name, help, gauge: &Gauge| registry.register(name, help, gauge.clone());
        gauge("limeway_config_version", "Version of the configuration in force", &self.config_version);
        gauge("limeway_slot", "Slot of the agreed state that is applied", &self.slot);
        gauge("limeway_confirmed_age_milliseconds", "Age of the last confirmation", &self.confirmed_age);
        gauge("limeway_members", "Gateways known", &self.members);
        gauge("limeway_servers", "Servers known that take requests", &self.servers);
        gauge("limeway_client_connections", "Connections of clients", &self.connections);
        gauge("limeway_busy_connections", "Those with a request in flight", &self.busy);
        gauge("limeway_body_bytes", "Bytes of memory taken by bodies of requests", &self.body_bytes);
        gauge("limeway_body_waits", "Requests that wait for room for their body", &self.body_waits);
        gauge("limeway_draining", "1 while the process shuts down", &self.draining);
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let mut registry = Registry::default();
        let mut counter = |name, help| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let served = counter("limeway_served", "Requests answered with a server's response");
        let unit_waits = counter("limeway_quota_waits", "Requests that waited for a unit of quota");
        let upstream_failures = counter("limeway_upstream_failures", "Calls that an upstream did not answer");
        let reloads = counter("limeway_reloads", "Settings files that came into force while running");
        let causes = Failure::ALL.iter().map(|failure| failure.name());
        let failures =
            CounterTable::register(&mut registry, "limeway_failures", "Requests by cause", "cause", causes);
        let results = AttemptResult::ALL.iter().map(|result| result.name());
        let attempts = CounterTable::register(
            &mut registry,
            "limeway_attempts",
            "Attempts at servers",
            "result",
            results,
        );
        let gauges = Gauges::default();
        gauges.register(&mut registry);
        let invariants = InvariantMetrics::register(&mut registry);
        GatewayMetrics {
            registry,
            served,
            failures,
            attempts,
            unit_waits,
            upstream_failures,
            reloads,
            gauges,
            invariants,
        }
    }
}

impl GatewayMetrics {
    /// A request has ended: with a server's response that is no failure, or by a cause.
    pub fn count_request(&self, failure: Option<Failure>) {
        match failure {
            Some(failure) => self.failures.increment(failure as usize),
            None => {
                self.served.inc();
            }
        }
    }

    /// An attempt at a server has ended.
    pub fn count_attempt(&self, result: AttemptResult) {
        self.attempts.increment(result as usize);
    }

    /// All figures, as text.
    pub fn render(&self, gateway: &Gateway, clients: &ClientConnections) -> String {
        let gauges = &self.gauges;
        let (members, servers) = gateway.known();
        gauges.config_version.set(i64::from(gateway.routing().version));
        gauges.slot.set(gateway.slot() as i64);
        gauges.confirmed_age.set((now().saturating_sub(gateway.confirmed_at()) / 1_000) as i64);
        gauges.members.set(members as i64);
        gauges.servers.set(servers as i64);
        gauges.connections.set(clients.open_count() as i64);
        gauges.busy.set(clients.busy_count() as i64);
        gauges.body_bytes.set(gateway.bodies.reserved_bytes() as i64);
        gauges.body_waits.set(gateway.bodies.waiting_count() as i64);
        gauges.draining.set(i64::from(gateway.is_draining()));
        self.invariants.refresh();
        render(&self.registry)
    }
}
