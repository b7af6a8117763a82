//! Connections to servers, and one attempt at one server.

use crate::clock::{now, Micros};
use limeway_http1::conn::{Broken, Conn, Reply};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A connection that was idle for longer is not used: the server may be closing it, or have forgotten it.
const IDLE: Duration = Duration::from_millis(3_000);
/// The same for requests that must not run twice: how they ended could not be told.
const IDLE_ONCE: Duration = Duration::from_millis(1_200);
/// A connection is left alone so long before its server closes it, where the server says when that is.
const BEFORE_CLOSE: Duration = Duration::from_millis(500);
/// Longest that a new connection is waited for.
const DIAL: Duration = Duration::from_millis(400);
/// A server's machine that has not acknowledged bytes for so long is gone or cut off: nothing comes any more.
const REACH: Duration = Duration::from_millis(400);
/// Requests of a connection whose ids are kept: a surplus answer to one of them may still come.
const IDS_KEPT: usize = 4;
/// Answers to other requests that are passed over on one connection.
const SURPLUS_MOST: usize = 3;

/// A request as it goes to a server.
pub struct Parcel {
    /// Request line and headers, without what depends on the attempt and the last empty line.
    pub head: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
    /// Its id.
    pub id: Vec<u8>,
    /// It may run more than once.
    pub repeatable: bool,
}

/// What came of an attempt.
pub enum Came {
    /// A whole answer to this request.
    Answer(Reply),
    /// No connection: the server has not seen the request.
    NotSent,
    /// The request went out, and no answer of use came.
    Broke,
}

/// A connection that rests.
struct Idle {
    conn: Conn,
    /// The server closes it, or may, after so long.
    most: Duration,
    /// Hashes of the newest ids that went out on it.
    ids: [u64; IDS_KEPT],
}

impl Idle {
    fn usable(&self) -> bool {
        self.conn.idle() < self.most && self.conn.quiet()
    }
}

/// Idle connections by server.
pub struct Pools {
    idle: RefCell<HashMap<Rc<str>, Vec<Idle>>>,
    count: Rc<Cell<usize>>,
    most: usize,
}

impl Pools {
    /// Of so many connections at most.
    pub fn new(most: usize) -> Self {
        Pools { idle: RefCell::default(), count: Rc::default(), most: most.max(8) }
    }

    /// A connection for this request: none that has carried its id, as an answer to that may still come late and would be
    /// taken for its own (two clients may use one id).
    fn take(&self, id: &Rc<str>, parcel: &Parcel) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let rests = idle.get_mut(id)?;
        let most = if parcel.repeatable { IDLE } else { IDLE_ONCE };
        let own = hash(&parcel.id);
        loop {
            // The one used last is the least likely to be closing.
            let may = |r: &Idle| r.conn.idle() < most.min(r.most) && !r.ids.contains(&own);
            let at = rests.iter().rposition(may)?;
            let rest = rests.remove(at);
            if rest.conn.quiet() {
                return Some(rest);
            }
        }
    }

    /// Lets go of the connections to servers that may not be used any more.
    pub fn keep(&self, keep: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|id, _| keep(id));
    }

    /// Lets go of what is idle for too long or was closed.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, conns| {
            conns.retain(Idle::usable);
            !conns.is_empty()
        });
    }

    /// Sends a request to a server and reads its answer, until `end`. `sent` is set once the server may have seen it.
    pub async fn exchange(
        &self,
        id: &Rc<str>,
        (address, places): (SocketAddrV4, u32),
        parcel: &Parcel,
        end: Micros,
        sent: &Cell<bool>,
    ) -> Came {
        let (mut conn, mut ids) = match self.take(id, parcel) {
            Some(rest) => (rest.conn, rest.ids),
            None => {
                if self.count.get() >= self.most {
                    self.idle.borrow_mut().clear();
                    if self.count.get() >= self.most {
                        return Came::NotSent;
                    }
                }
                match timeout(DIAL, Conn::open(address.into(), &self.count)).await {
                    Ok(Ok(mut conn)) => {
                        conn.strict();
                        if let Err(e) = conn.reach(REACH) {
                            log::debug!(server = &**id; "no bound on what is not acknowledged: {e}");
                        }
                        (conn, [0; IDS_KEPT])
                    }
                    _ => return Came::NotSent,
                }
            }
        };
        let left = end.saturating_sub(now());
        if left == 0 {
            return Came::NotSent;
        }
        // Silence is no reason to end an answer sooner than the request ends.
        conn.patient(Duration::from_micros(left));
        let message = message(parcel, id, left);
        sent.set(true);
        if conn.write(&message, &Cell::new(false)).await.is_err() {
            self.idle.borrow_mut().remove(id);
            return Came::Broke;
        }
        let mut clean = true;
        for _ in 0..=SURPLUS_MOST {
            let reply = match conn.read().await {
                Ok(reply) => reply,
                Err(e) => {
                    if matches!(e, Broken::Ended(_)) {
                        // The server itself may be gone: its other connections are of no use then.
                        self.idle.borrow_mut().remove(id);
                    }
                    log::debug!(server = &**id; "{e}");
                    return Came::Broke;
                }
            };
            if !matches!(reply.head.only(&reply.bytes, "limeway-request-id"), Ok(Some(of)) if of == parcel.id)
            {
                // A surplus answer to an earlier request: ours is still to come.
                clean = false;
                continue;
            }
            if reply.keep && clean {
                let stated = reply.head.kept_for(&reply.bytes).map(Duration::from_secs);
                let most = stated.map_or(IDLE, |s| s.saturating_sub(BEFORE_CLOSE).min(IDLE));
                conn.rest();
                ids.rotate_right(1);
                ids[0] = hash(&parcel.id);
                let mut idle = self.idle.borrow_mut();
                let conns = idle.entry(id.clone()).or_default();
                if conns.len() < places as usize {
                    conns.push(Idle { conn, most, ids });
                }
            }
            return Came::Answer(reply);
        }
        Came::Broke
    }
}

fn hash(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(id);
    // None is kept as 0.
    hasher.finish() | 1
}

fn message(parcel: &Parcel, instance: &str, left: Micros) -> Vec<u8> {
    let mut digits = itoa::Buffer::new();
    let mut out = Vec::with_capacity(parcel.head.len() + parcel.body.len() + 128);
    out.extend_from_slice(&parcel.head);
    out.extend_from_slice(b"Limeway-Deadline-Ms: ");
    out.extend_from_slice(digits.format((left / 1_000).max(1)).as_bytes());
    out.extend_from_slice(b"\r\nLimeway-Expect-Instance: ");
    out.extend_from_slice(instance.as_bytes());
    if !parcel.body.is_empty() || !parcel.head.starts_with(b"GET ") {
        out.extend_from_slice(b"\r\nContent-Length: ");
        out.extend_from_slice(digits.format(parcel.body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n\r\n");
    out.extend_from_slice(&parcel.body);
    out
}
