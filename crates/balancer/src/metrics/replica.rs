//! Figures of a control-plane replica.

use super::{render, CounterTable, InvariantMetrics};
use crate::clock::now;
use crate::replica::Replica;
use limeway_control_plane::ApiResponse;
use limeway_types::{Micros, SECOND};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Responses to servers and operators, in the order of their counters.
const RESPONSES: [&str; 5] = ["done", "document", "version-conflict", "invalid", "indeterminate"];

/// Upper bounds of the classes of write durations, in seconds.
const WRITE_SECONDS: [f64; 9] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];

/// Figures of a replica: counters that go on, and gauges that are set when they are fetched.
pub(crate) struct ReplicaMetrics {
    registry: Registry,
    responses: CounterTable,
    abandoned_calls: Counter,
    slot: Gauge,
    durable_slot: Gauge,
    has_quorum: Gauge,
    is_voter: Gauge,
    disk_healthy: Gauge,
    held_shards: Gauge,
    pending: Gauge,
    servers: Gauge,
    superseded_servers: Gauge,
    heartbeats_of_ended: Gauge,
    write_seconds: Histogram,
    invariants: InvariantMetrics,
}

impl Default for ReplicaMetrics {
    fn default() -> Self {
        let mut registry = Registry::default();
        let mut gauge = |name, help| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let slot = gauge("limeway_slot", "Slot of the agreed state that is applied");
        let durable_slot = gauge("limeway_durable_slot", "Slot that is on disk");
        let has_quorum = gauge("limeway_has_quorum", "1 while a majority of the voters answers");
        let is_voter = gauge("limeway_is_voter", "1 while this replica is a voter");
        let disk_healthy = gauge("limeway_disk_healthy", "1 while the disk takes writes");
        let held_shards = gauge("limeway_held_shards", "Shards whose counters are held here");
        let pending = gauge("limeway_pending", "What waits for replies, writes or time");
        let servers = gauge("limeway_servers", "Servers known");
        let superseded_servers = gauge("limeway_superseded_servers", "Servers whose address another one has");
        let help = "Heartbeats of servers that had said before that they end, since the start";
        let heartbeats_of_ended = gauge("limeway_heartbeats_of_ended", help);
        let responses = RESPONSES.into_iter();
        let help = "Responses to servers and operators";
        let responses = CounterTable::register(&mut registry, "limeway_api", help, "response", responses);
        let abandoned_calls = Counter::default();
        let help = "Orders about zones that were not begun, as their callers had closed";
        registry.register("limeway_abandoned_calls", help, abandoned_calls.clone());
        let write_seconds = Histogram::new(WRITE_SECONDS);
        let help = "Time until a record is on disk, in seconds";
        registry.register("limeway_state_write_seconds", help, write_seconds.clone());
        let invariants = InvariantMetrics::register(&mut registry);
        ReplicaMetrics {
            registry,
            responses,
            abandoned_calls,
            slot,
            durable_slot,
            has_quorum,
            is_voter,
            disk_healthy,
            held_shards,
            pending,
            servers,
            superseded_servers,
            heartbeats_of_ended,
            write_seconds,
            invariants,
        }
    }
}

impl ReplicaMetrics {
    /// A record is on disk, or has failed, after this time.
    pub(crate) fn observe_write(&self, took: Micros) {
        self.write_seconds.observe(took as f64 / SECOND as f64);
    }

    /// An order was not begun, as its caller had closed its connection.
    pub(crate) fn count_abandoned_call(&self) {
        self.abandoned_calls.inc();
    }

    /// A server or an operator is answered.
    pub(crate) fn count_response(&self, response: &ApiResponse) {
        self.responses.increment(match response {
            ApiResponse::Done | ApiResponse::EvacuationDone(_) => 0,
            ApiResponse::Document(_) => 1,
            ApiResponse::VersionConflict => 2,
            ApiResponse::Invalid(_) => 3,
            ApiResponse::Indeterminate => 4,
        });
    }

    /// All figures, as text.
    pub(crate) fn render(&self, replica: &Replica) -> String {
        let control_plane = replica.control_plane();
        let (now, set) = (now(), |gauge: &Gauge, value: bool| gauge.set(i64::from(value)));
        let status = control_plane.status(now);
        self.slot.set(status.slot as i64);
        self.durable_slot.set(status.durable_slot as i64);
        set(&self.has_quorum, status.has_quorum);
        set(&self.is_voter, control_plane.is_voter());
        set(&self.disk_healthy, status.disk_healthy);
        self.held_shards.set(control_plane.held_shards(now).len() as i64);
        self.pending.set(control_plane.pending_count() as i64);
        self.servers.set(control_plane.server_count() as i64);
        self.superseded_servers.set(control_plane.superseded_count() as i64);
        self.heartbeats_of_ended.set(control_plane.heartbeats_of_ended() as i64);
        self.invariants.refresh();
        render(&self.registry)
    }
}
