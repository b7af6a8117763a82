//! Connections to servers, and one attempt at one server.

use crate::clock::Micros;
use limeway_line::conn::{Broken, Conn, Reply};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A connection that was idle for longer is not used: the server may be closing it, or have forgotten it.
const IDLE: Duration = Duration::from_millis(3_000);
/// The same for requests that must not run twice: how they ended could not be told.
const IDLE_ONCE: Duration = Duration::from_millis(1_200);
/// Longest that a new connection is waited for.
const DIAL: Duration = Duration::from_millis(400);
/// Pause within an answer that is waited for: links may be slow, and silence is no reason to end an answer.
const STALL: Duration = Duration::from_millis(2_500);
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

/// Idle connections by server.
pub struct Pools {
    idle: RefCell<HashMap<Rc<str>, Vec<Conn>>>,
    count: Rc<Cell<usize>>,
    most: usize,
}

impl Pools {
    /// Of so many connections at most.
    pub fn new(most: usize) -> Self {
        Pools { idle: RefCell::default(), count: Rc::default(), most: most.max(8) }
    }

    fn take(&self, id: &Rc<str>, repeatable: bool) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(id)?;
        let most = if repeatable { IDLE } else { IDLE_ONCE };
        // The one used last is the least likely to be closing.
        while let Some(conn) = conns.pop() {
            if conn.idle() < IDLE && conn.quiet() {
                if conn.idle() < most {
                    return Some(conn);
                }
                conns.push(conn);
                return None;
            }
        }
        None
    }

    /// Lets go of the connections to servers that may not be used any more.
    pub fn keep(&self, keep: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|id, _| keep(id));
    }

    /// Lets go of what is idle for too long or was closed.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, conns| {
            conns.retain(|c| c.idle() < IDLE && c.quiet());
            !conns.is_empty()
        });
    }

    /// Sends a request to a server and reads its answer. `sent` is set once the server may have seen the request.
    pub async fn exchange(
        &self,
        id: &Rc<str>,
        (address, most): (SocketAddrV4, u32),
        parcel: &Parcel,
        left: Micros,
        sent: &Cell<bool>,
    ) -> Came {
        let mut conn = match self.take(id, parcel.repeatable) {
            Some(conn) => conn,
            None => {
                if self.count.get() >= self.most {
                    self.idle.borrow_mut().clear();
                    if self.count.get() >= self.most {
                        return Came::NotSent;
                    }
                }
                match timeout(DIAL, Conn::open(address.into(), &self.count)).await {
                    Ok(Ok(conn)) => conn,
                    _ => return Came::NotSent,
                }
            }
        };
        conn.patient(STALL);
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
            if reply.head.header(&reply.bytes, "limeway-request-id") != Some(&parcel.id) {
                // A surplus answer to an earlier request: ours is still to come.
                clean = false;
                continue;
            }
            if reply.keep && clean {
                conn.rest();
                let mut idle = self.idle.borrow_mut();
                let conns = idle.entry(id.clone()).or_default();
                if conns.len() < most as usize {
                    conns.push(conn);
                }
            }
            return Came::Answer(reply);
        }
        Came::Broke
    }
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
