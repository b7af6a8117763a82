//! Figures of a process in the OpenMetrics text format, where the settings or the command line name a port and a path for them.

mod gateway;
mod replica;

pub use gateway::GatewayMetrics;
pub(crate) use replica::ReplicaMetrics;

use crate::accept::{accept_connections, AcceptLimits};
use limeway_http1::http;
use limeway_http1::inbound::{Bounds, Inbound};
use limeway_invariants::{counts, Invariant};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;

/// Bounds on the connections.
const ACCEPT_LIMITS: AcceptLimits =
    AcceptLimits { max_connections: 16, retry_delay: Duration::from_millis(50) };
/// What a request may be.
const BOUNDS: Bounds =
    Bounds { body: 1024, read_timeout: Duration::from_secs(2), idle: Duration::from_secs(15) };
/// The content type of the format.
const CONTENT_TYPE: &[u8] = b"Content-Type: application/openmetrics-text; version=1.0.0; charset=utf-8\r\n";

/// The one label of a metric, with its value.
type Label = [(&'static str, &'static str); 1];
/// A counter for each value of a label.
type LabelledCounters = Family<Label, Counter>;

/// Counters of one label, by the place of its value.
#[derive(Debug)]
struct CounterTable(Vec<Counter>);

impl CounterTable {
    /// A counter for each of these values, so that those that are 0 show, too.
    fn register(
        registry: &mut Registry,
        name: &str,
        help: &str,
        label: &'static str,
        values: impl Iterator<Item = &'static str>,
    ) -> Self {
        let family = LabelledCounters::default();
        registry.register(name, help, family.clone());
        CounterTable(values.map(|value| family.get_or_create(&[(label, value)]).clone()).collect())
    }

    fn increment(&self, at: usize) {
        if let Some(counter) = self.0.get(at) {
            counter.inc();
        }
    }
}

/// The counts of the invariants, taken over when figures are fetched.
#[derive(Debug)]
struct InvariantMetrics {
    checked: CounterTable,
    near: CounterTable,
    violated: CounterTable,
}

impl InvariantMetrics {
    fn register(registry: &mut Registry) -> Self {
        let mut table = |name: &str, help: &str| {
            let names = Invariant::ALL.iter().map(|invariant| invariant.name());
            CounterTable::register(registry, name, help, "invariant", names)
        };
        InvariantMetrics {
            checked: table("limeway_invariant_checks", "Checks made"),
            near: table("limeway_invariant_near", "Checks in the situation that they guard against"),
            violated: table("limeway_invariant_violations", "Checks that failed"),
        }
    }

    fn refresh(&self) {
        for (at, invariant) in Invariant::ALL.into_iter().enumerate() {
            let counts = counts(invariant);
            let tables = [(&self.checked, counts.checked), (&self.near, counts.near)];
            for (table, count) in tables.into_iter().chain([(&self.violated, counts.violated)]) {
                table.0[at].inner().store(count, Ordering::Relaxed);
            }
        }
    }
}

fn render(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to memory does not fail.
    let _ = encode(&mut text, registry);
    text
}

/// Answers requests for the figures at this path for ever.
pub(crate) async fn listen(
    listener: TcpListener,
    path: String,
    figures: impl Fn() -> String + Clone + 'static,
) {
    let path: Rc<str> = path.into();
    accept_connections(listener, ACCEPT_LIMITS, |stream, _| {
        serve(path.clone(), figures.clone(), Inbound::new(stream))
    })
    .await;
}

async fn serve(path: Rc<str>, figures: impl Fn() -> String, mut inbound: Inbound) {
    while let Ok(message) = inbound.read(BOUNDS).await {
        let (method, target) = message.line();
        let close = !message.head.keep_alive;
        let mut out = Vec::new();
        if method == "GET" && target.trim_start_matches('/') == path.trim_start_matches('/') {
            http::write_answer(&mut out, 200, CONTENT_TYPE, close, figures().as_bytes());
        } else {
            http::write_answer(&mut out, 404, b"", close, b"");
        }
        if !inbound.write(&out).await || close {
            return;
        }
    }
}
