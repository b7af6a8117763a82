//! The connections of clients, and figures of what was answered and how much time was added.

use crate::gateway::Gateway;
use limeway_http1::conn::Counted;
use limeway_types::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Connections that are always allowed.
const MIN_CONNECTIONS: usize = 16;
/// Width of a bucket of added time.
const BUCKET: Micros = 250;
/// Buckets of added time; the last holds all above.
const BUCKETS: usize = 80;
/// The bucket from which on added time is beyond its target of 4.5 ms.
const SLOW_BUCKET: usize = 18;
/// Interval between two log lines of figures.
const LOG_INTERVAL: Duration = Duration::from_secs(2);
/// The key under which responses of servers are counted.
const SERVER_RESPONSE: u16 = 0;

/// The connections of clients.
pub struct ClientConnections {
    open: Rc<Cell<usize>>,
    /// Connections with a request that has begun to come, is in flight, or whose response is being sent.
    busy: Rc<Cell<usize>>,
    draining: Cell<bool>,
    close_listener: Notify,
    close_idle: Notify,
    /// The time for requests in flight is over.
    aborts_requests: Cell<bool>,
    requests_aborted: Notify,
    /// Requests that were aborted though their deadline was within that time.
    aborted_early: Cell<usize>,
    /// Responses since the last log line: local ones by status, and those of servers.
    responses: RefCell<BTreeMap<u16, u32>>,
    /// Time that was spent here on requests that a server answered at the first attempt, in buckets.
    added_time: RefCell<Vec<u32>>,
    max_open: usize,
}

impl ClientConnections {
    /// At most so many connections.
    pub fn new(max_open: usize) -> Rc<Self> {
        Rc::new(ClientConnections {
            open: Rc::default(),
            busy: Rc::default(),
            draining: Cell::new(false),
            close_listener: Notify::new(),
            close_idle: Notify::new(),
            aborts_requests: Cell::new(false),
            requests_aborted: Notify::new(),
            aborted_early: Cell::new(0),
            responses: RefCell::default(),
            added_time: RefCell::new(vec![0; BUCKETS]),
            max_open: max_open.max(MIN_CONNECTIONS),
        })
    }

    /// Whether there is no room for one more connection.
    pub fn is_full(&self) -> bool {
        self.open.get() >= self.max_open
    }

    /// Counts a connection as open until the value is dropped.
    pub(super) fn count_open(&self) -> Counted {
        Counted::new(&self.open)
    }

    /// Counts a connection as busy until the value is dropped.
    pub(super) fn count_busy(&self) -> Counted {
        Counted::new(&self.busy)
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Number of busy connections.
    pub fn busy_count(&self) -> usize {
        self.busy.get()
    }

    /// The process shuts down: idle connections are closed, and no response keeps one open.
    pub fn start_draining(&self) {
        self.draining.set(true);
        self.close_idle();
    }

    /// Whether the process shuts down.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Has the listener closed, once what waits to be accepted has been.
    pub fn close_listener(&self) {
        self.close_listener.notify_one();
    }

    /// Ready once the listener is to close.
    pub(super) async fn listener_closes(&self) {
        self.close_listener.notified().await;
    }

    /// Has idle connections closed.
    pub fn close_idle(&self) {
        self.close_idle.notify_waiters();
    }

    /// Ready when idle connections are to be closed.
    pub(super) fn close_idle_notified(&self) -> impl Future<Output = ()> + '_ {
        self.close_idle.notified()
    }

    /// Has what is still in flight answered at once: the process is about to exit.
    pub fn abort_requests(&self) {
        self.aborts_requests.set(true);
        self.requests_aborted.notify_waiters();
    }

    /// Ready once what is in flight is to be answered at once.
    pub(super) async fn requests_aborted(&self) {
        let notified = self.requests_aborted.notified();
        if !self.aborts_requests.get() {
            notified.await;
        }
    }

    /// Counts a request that was aborted before its deadline, though that was within the time for requests in flight.
    pub(super) fn count_aborted_early(&self) {
        self.aborted_early.set(self.aborted_early.get() + 1);
    }

    /// Number of requests that were aborted before their deadlines, though these were within the time for requests in flight.
    pub fn aborted_early_count(&self) -> usize {
        self.aborted_early.get()
    }

    /// Counts a response: a local one with its status, or a server's.
    pub(super) fn count_response(&self, local_status: Option<u16>) {
        *self.responses.borrow_mut().entry(local_status.unwrap_or(SERVER_RESPONSE)).or_default() += 1;
    }

    /// Counts the time that was spent here on a request that a server answered at the first attempt.
    pub(super) fn count_added_time(&self, time: Micros) {
        let bucket = (time / BUCKET) as usize;
        self.added_time.borrow_mut()[bucket.min(BUCKETS - 1)] += 1;
    }
}

/// Logs from time to time what was answered, for ever.
pub async fn log_traffic(gateway: Rc<Gateway>, clients: Rc<ClientConnections>) {
    let mut waits_logged = 0;
    loop {
        sleep(LOG_INTERVAL).await;
        let responses = std::mem::take(&mut *clients.responses.borrow_mut());
        if responses.is_empty() || !log::log_enabled!(log::Level::Info) {
            continue;
        }
        let (open, quota) = (clients.open.get(), gateway.describe_quota());
        let added: Vec<u32> = clients.added_time.borrow_mut().iter_mut().map(std::mem::take).collect();
        let (p50, p99) = (quantile_ms(&added, 0.5), quantile_ms(&added, 0.99));
        let timed: u32 = added.iter().sum();
        let slow: u32 = added.iter().skip(SLOW_BUCKET).sum();
        let waits = gateway.metrics.unit_waits.get();
        let waited = waits - std::mem::replace(&mut waits_logged, waits);
        log::info!(open, timed, slow, waited, added_p50_ms = p50, added_p99_ms = p99, quota = quota.as_str(); "responses {responses:?}");
    }
}

/// The upper end of the bucket that this part of all lies within, in milliseconds.
fn quantile_ms(buckets: &[u32], part: f64) -> f64 {
    let total: u32 = buckets.iter().sum();
    let mut so_far = 0;
    let at = buckets.iter().position(|count| {
        so_far += count;
        f64::from(so_far) >= part * f64::from(total)
    });
    (at.unwrap_or(0) + 1) as f64 * BUCKET as f64 / 1_000.0
}
