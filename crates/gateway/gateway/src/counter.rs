//! Calls to the counter.

use crate::conn::{Broken, Conn, Reply};
use limeway_quota_policy::{Micros, Status};
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Connections at most: the counter resets those beyond 32, and after a cut still holds as many that were
/// given up here without its hearing of it.
pub const MAX_CONNECTIONS: usize = 24;
/// Time for which an idle connection is kept: the counter closes one after some 10 s or less, and a call that
/// crosses this may or may not have been added.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// What came of a call.
#[derive(Debug, Clone, Copy)]
pub struct Counted {
    /// Whether the amount was added.
    pub status: Status,
    /// The total after it, with [`Status::Ok`].
    pub total: f64,
    /// Time since the call.
    pub latency: Micros,
}

/// The counter: one call at a time on a connection, so that a call that is given up takes no other with it.
pub struct Counter {
    address: Cell<SocketAddr>,
    limit: Duration,
    idle: RefCell<Vec<Conn>>,
    /// Connections to the present address.
    count: RefCell<Rc<Cell<usize>>>,
}

impl Counter {
    /// The counter at an address; a call is given up after `limit`.
    pub fn new(address: SocketAddr, limit: Micros) -> Self {
        let limit = Duration::from_micros(limit);
        Counter { address: Cell::new(address), limit, idle: RefCell::default(), count: RefCell::default() }
    }

    /// Moves to another address: new calls go there, those under way finish where they are, and connections to
    /// the old address are let go as they fall idle.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
            self.count.replace(Rc::default());
        }
    }

    /// Makes a call. Calls on one name never overlap: the module has one call out for a customer at a time, and no
    /// two customers share a name.
    pub async fn call(&self, name: u64, amount: f64, ttl: Micros) -> Counted {
        let (start, written) = (Instant::now(), Cell::new(false));
        let ended = timeout(self.limit, self.exchange(name, amount, ttl, &written)).await;
        let (status, total) = match ended {
            Ok(ended) => ended,
            Err(_) if written.get() => (Status::Timeout, 0.0),
            Err(_) => (Status::ConnectFailed, 0.0),
        };
        let latency = start.elapsed().as_micros() as Micros;
        log::debug!("count {name} {amount}: {status:?} {total} after {latency} us");
        Counted { status, total, latency }
    }

    fn take(&self) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(conn) = idle.pop() {
            if conn.idle() < MAX_IDLE && conn.quiet() {
                return Some(conn);
            }
        }
        None
    }

    async fn exchange(&self, name: u64, amount: f64, ttl: Micros, written: &Cell<bool>) -> (Status, f64) {
        let (address, count) = (self.address.get(), self.count.borrow().clone());
        let mut conn = match self.take() {
            Some(conn) => conn,
            // Nothing was added where no connection may be opened.
            None if count.get() >= MAX_CONNECTIONS => return (Status::Full, 0.0),
            None => match Conn::open(address, &count).await {
                Ok(conn) => conn,
                Err(_) => return (Status::ConnectFailed, 0.0),
            },
        };
        let mut message = Vec::with_capacity(128);
        let ttl = ttl.div_ceil(1_000).max(1);
        let done = write!(
            message,
            "POST /v1/count/{name}?add={amount}&ttl_ms={ttl} HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"
        );
        debug_assert!(done.is_ok(), "writing to memory cannot fail");
        if conn.write(&message, written).await.is_err() {
            return (Status::ConnectFailed, 0.0);
        }
        let Reply { head, body, keep, .. } = match conn.read().await {
            Ok(reply) => reply,
            Err(Broken::Ended(_)) => return (Status::Reset, 0.0),
            // Added, but the total cannot be read.
            Err(Broken::Spoilt(_)) => return (Status::Error, 0.0),
        };
        let ended = match head.status {
            200 => match std::str::from_utf8(&body).ok().and_then(|t| t.trim().parse::<f64>().ok()) {
                Some(total) if total.is_finite() => (Status::Ok, total),
                _ => (Status::Error, 0.0),
            },
            400 | 404 | 503 => (Status::Full, 0.0),
            _ => (Status::Error, 0.0),
        };
        // A connection that has brought what makes no sense is of no further use.
        if keep && ended.0 != Status::Error && self.address.get() == address {
            conn.rest();
            self.idle.borrow_mut().push(conn);
        }
        ended
    }

    /// Lets go of connections that have stood idle too long or were closed from the other side.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|conn| conn.idle() < MAX_IDLE && conn.quiet());
    }
}
