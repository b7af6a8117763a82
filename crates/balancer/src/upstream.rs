//! Connections to servers, and one attempt at one server.

use crate::clock::now;
use bytes::Bytes;
use limeway_http1::conn::{Broken, Conn, Reply};
use limeway_http1::http::Body;
use limeway_invariants::{check, Invariant};
use limeway_types::{Micros, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hasher};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A connection that was idle for longer is not used: the server may be closing it, or have forgotten it.
const MAX_IDLE_TIME: Duration = Duration::from_millis(3_000);
/// The same for requests that must not be executed twice: how they ended could not be told.
const MAX_IDLE_TIME_NOT_IDEMPOTENT: Duration = Duration::from_millis(1_200);
/// A connection is not used so long before its server closes it, if the server says when that is.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);
/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A server's machine that has not acknowledged bytes for so long is gone or cut off: nothing comes any more.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(400);
/// A request up to this size, in bytes, fits the window of a server that reads nothing for now. The system counts what does not fit as
/// unacknowledged, so that a larger one would be given up although the server's machine is there.
const MAX_UNREAD_REQUEST_BYTES: usize = 8 * 1024;
/// A body up to this size, in bytes, is written together with its head.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;
/// Longest body of a response that is held whole, in bytes: a longer one is passed on as it comes.
const MAX_HELD_BODY_BYTES: usize = 512 * 1024;
/// Longest pause of a server in a response's body once the request's time is over.
const MAX_LATE_PAUSE: Duration = Duration::from_millis(250);
/// Request ids that are remembered of a connection: a surplus response to one of them may still come.
const REMEMBERED_IDS: usize = 4;
/// Upper bound on the surplus responses that are skipped on one connection.
const MAX_SURPLUS_RESPONSES: usize = 3;
/// Connections that are always allowed.
const MIN_CONNECTIONS: usize = 8;
/// Room for what depends on the attempt, in bytes.
const ATTEMPT_HEADER_BYTES: usize = 128;

/// Where to connect for a request.
#[derive(Debug, Clone, Copy)]
pub struct ConnectTarget {
    /// The server's address.
    pub address: SocketAddrV4,
    /// Upper bound on the connections of this gateway there.
    pub max_connections: u32,
}

/// A request as it goes to a server.
pub struct UpstreamRequest {
    /// Request line and headers, without what depends on the attempt and the last empty line.
    pub head: Vec<u8>,
    /// The body; shared by all attempts.
    pub body: Bytes,
    /// Its id.
    pub id: Vec<u8>,
    /// It may be executed more than once.
    pub idempotent: bool,
}

/// A server's response. A long body is passed on as it comes.
pub struct ServerResponse {
    /// Its head, and its body or the first part of that.
    pub reply: Reply,
    /// Where the rest of the body comes from, if there is one.
    pub rest: Option<ResponseRest>,
}

/// The part of a response's body that the server is still sending.
pub struct ResponseRest {
    /// None once all has been read.
    connection: Option<ActiveConnection>,
    body: Body,
    deadline: Timestamp,
    /// None if the connection may not be used again.
    reuse: Option<Reuse>,
}

impl ResponseRest {
    /// The next part; nothing at the end. Until the request's deadline the server may pause, after it for a moment at most.
    ///
    /// # Errors
    /// The server broke off, or paused for too long.
    pub async fn next_part(&mut self) -> Result<Option<Vec<u8>>, Broken> {
        let Some(active) = &mut self.connection else { return Ok(None) };
        let left = Duration::from_micros(self.deadline.saturating_sub(now()));
        active.conn.patient(left.max(MAX_LATE_PAUSE));
        let (part, is_last) = active.conn.read_part(&mut self.body).await?;
        if is_last {
            self.end();
        }
        Ok(Some(part))
    }

    /// The length of the whole body, where it is known ahead.
    pub fn body_length(&self) -> Option<usize> {
        self.body.length()
    }

    fn end(&mut self) {
        if let (Some(active), Some(reuse)) = (self.connection.take(), self.reuse.take()) {
            reuse.keep(active);
        }
    }
}

/// The result of an attempt.
pub enum UpstreamResult {
    /// A response to this request.
    Response(Box<ServerResponse>),
    /// No connection: the server has not seen the request.
    NotSent,
    /// The request was sent, and no usable response came.
    Broken,
}

/// A connection that is not in use.
struct IdleConnection {
    conn: Conn,
    /// The server closes it, or may, after so long.
    max_idle_time: Duration,
    /// Hashes of the newest request ids that were sent on it.
    ids: [u64; REMEMBERED_IDS],
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.conn.idle() < self.max_idle_time && self.conn.quiet()
    }
}

/// A connection in use.
struct ActiveConnection {
    conn: Conn,
    ids: [u64; REMEMBERED_IDS],
    /// How long bytes may stay unacknowledged; None if that could not be bounded.
    unacknowledged_timeout: Option<Duration>,
}

impl ActiveConnection {
    /// Ends the connection once bytes have not been acknowledged for so long.
    fn bound_unacknowledged(&mut self, server: &str, limit: Duration) {
        if self.unacknowledged_timeout == Some(limit) {
            return;
        }
        self.unacknowledged_timeout = Some(limit);
        if let Err(e) = self.conn.reach(limit) {
            self.unacknowledged_timeout = None;
            log::debug!(server; "cannot bound unacknowledged data: {e}");
        }
    }
}

/// The idle connections of each server.
type IdleConnections = Rc<RefCell<HashMap<Rc<str>, Vec<IdleConnection>>>>;

/// Idle connections by server.
pub struct ConnectionPools {
    idle: IdleConnections,
    count: Rc<Cell<usize>>,
    max_connections: usize,
}

impl ConnectionPools {
    /// At most so many connections.
    pub fn new(max_connections: usize) -> Self {
        ConnectionPools {
            idle: Rc::default(),
            count: Rc::default(),
            max_connections: max_connections.max(MIN_CONNECTIONS),
        }
    }

    /// Drops the connections to servers that may not be used any more.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|id, _| keep(id));
    }

    /// Drops what is idle for too long or was closed.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(IdleConnection::is_usable);
            !connections.is_empty()
        });
    }

    /// Sends a request to a server and reads its response, until `deadline`. `sent` is set once the server may have seen it.
    pub async fn exchange(
        &self,
        id: &Rc<str>,
        target: ConnectTarget,
        request: &UpstreamRequest,
        deadline: Timestamp,
        sent: &Cell<bool>,
    ) -> UpstreamResult {
        let Some(mut active) = self.connection(id, target, request).await else {
            return UpstreamResult::NotSent;
        };
        let left = deadline.saturating_sub(now());
        if left == 0 {
            return UpstreamResult::NotSent;
        }
        // Silence is no reason to end a response sooner than the request ends.
        active.conn.patient(Duration::from_micros(left));
        let head = attempt_head(request, id, left);
        if request.body.len() + head.len() > MAX_UNREAD_REQUEST_BYTES {
            active.bound_unacknowledged(id, Duration::from_micros(left));
        }
        sent.set(true);
        if write_request(&mut active.conn, head, &request.body).await.is_err() {
            self.idle.borrow_mut().remove(id);
            return UpstreamResult::Broken;
        }
        self.read_response(id, target, request, active, deadline).await
    }

    /// An idle connection, or a new one.
    async fn connection(
        &self,
        id: &Rc<str>,
        target: ConnectTarget,
        request: &UpstreamRequest,
    ) -> Option<ActiveConnection> {
        if let Some(idle) = self.take_idle(id, request) {
            return Some(ActiveConnection {
                conn: idle.conn,
                ids: idle.ids,
                unacknowledged_timeout: Some(UNACKNOWLEDGED_TIMEOUT),
            });
        }
        if self.count.get() >= self.max_connections {
            self.idle.borrow_mut().clear();
            if self.count.get() >= self.max_connections {
                return None;
            }
        }
        let connected = timeout(CONNECT_TIMEOUT, Conn::open(target.address.into(), &self.count)).await;
        let mut conn = connected.ok()?.ok()?;
        conn.strict();
        conn.leave_bodies_beyond(MAX_HELD_BODY_BYTES);
        let mut active = ActiveConnection { conn, ids: [0; REMEMBERED_IDS], unacknowledged_timeout: None };
        active.bound_unacknowledged(id, UNACKNOWLEDGED_TIMEOUT);
        Some(active)
    }

    /// An idle connection for this request: none that has carried its id, as a response to that may still come late and would be taken
    /// for its own (two clients may use one id).
    fn take_idle(&self, id: &Rc<str>, request: &UpstreamRequest) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        let max_idle_time = if request.idempotent { MAX_IDLE_TIME } else { MAX_IDLE_TIME_NOT_IDEMPOTENT };
        let own_id = hash(&request.id);
        loop {
            // The one used last is the least likely to be closing.
            let may_use = |c: &IdleConnection| {
                c.conn.idle() < max_idle_time.min(c.max_idle_time) && !c.ids.contains(&own_id)
            };
            let at = connections.iter().rposition(may_use)?;
            let connection = connections.remove(at);
            if connection.conn.quiet() {
                return Some(connection);
            }
        }
    }

    async fn read_response(
        &self,
        id: &Rc<str>,
        target: ConnectTarget,
        request: &UpstreamRequest,
        mut active: ActiveConnection,
        deadline: Timestamp,
    ) -> UpstreamResult {
        let mut had_surplus = false;
        for _ in 0..=MAX_SURPLUS_RESPONSES {
            let mut reply = match active.conn.read().await {
                Ok(reply) => reply,
                Err(e) => {
                    if matches!(e, Broken::Ended(_)) {
                        // The server itself may be gone: its other connections are of no use then.
                        self.idle.borrow_mut().remove(id);
                    }
                    log::debug!(server = &**id; "{e}");
                    return UpstreamResult::Broken;
                }
            };
            if !is_response_to(request, &reply) && reply.unread.is_some() {
                // Too long to be skipped.
                return UpstreamResult::Broken;
            }
            if !is_response_to(request, &reply) {
                // A surplus response to an earlier request: ours is still to come.
                had_surplus = true;
                continue;
            }
            let was_used = active.ids.iter().any(|id| *id != 0);
            let is_own = is_response_to(request, &reply);
            check(Invariant::ResponseIdentity, was_used, is_own, || format!("from {id}"));
            let reuse = (reply.keep && !had_surplus).then(|| Reuse {
                idle: self.idle.clone(),
                server: id.clone(),
                max_connections: target.max_connections as usize,
                max_idle_time: max_idle_time(&reply),
                request: hash(&request.id),
            });
            if let Some(body) = reply.unread.take() {
                let rest = ResponseRest { connection: Some(active), body, deadline, reuse };
                return UpstreamResult::Response(Box::new(ServerResponse { reply, rest: Some(rest) }));
            }
            if let Some(reuse) = reuse {
                reuse.keep(active);
            }
            return UpstreamResult::Response(Box::new(ServerResponse { reply, rest: None }));
        }
        UpstreamResult::Broken
    }
}

/// How a connection is kept for later requests once its response has been read.
struct Reuse {
    idle: IdleConnections,
    server: Rc<str>,
    max_connections: usize,
    max_idle_time: Duration,
    /// Hash of the id of the request that it has carried.
    request: u64,
}

impl Reuse {
    fn keep(&self, mut active: ActiveConnection) {
        active.bound_unacknowledged(&self.server, UNACKNOWLEDGED_TIMEOUT);
        active.conn.rest();
        active.ids.rotate_right(1);
        active.ids[0] = self.request;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(self.server.clone()).or_default();
        if connections.len() < self.max_connections {
            let (conn, max_idle_time, ids) = (active.conn, self.max_idle_time, active.ids);
            connections.push(IdleConnection { conn, max_idle_time, ids });
        }
    }
}

/// How long a connection may stay idle after a response.
fn max_idle_time(reply: &Reply) -> Duration {
    let stated = reply.head.keep_alive_seconds(&reply.bytes).map(Duration::from_secs);
    stated.map_or(MAX_IDLE_TIME, |stated| stated.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME))
}

fn is_response_to(request: &UpstreamRequest, reply: &Reply) -> bool {
    matches!(reply.head.only(&reply.bytes, "limeway-request-id"), Ok(Some(id)) if id == request.id)
}

fn hash(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(id);
    // 0 stands for no id.
    hasher.finish() | 1
}

/// Writes a request. Only a short body is copied behind its head: a long one may be in several attempts at once.
async fn write_request(conn: &mut Conn, mut head: Vec<u8>, body: &Bytes) -> io::Result<()> {
    let written = Cell::new(false);
    if body.len() <= MAX_COPIED_BODY_BYTES {
        head.extend_from_slice(body);
        return conn.write(&head, &written).await;
    }
    conn.write(&head, &written).await?;
    conn.write(body, &written).await
}

/// The head of a request with what depends on the attempt.
fn attempt_head(request: &UpstreamRequest, instance: &str, left: Micros) -> Vec<u8> {
    let mut digits = itoa::Buffer::new();
    let copied = request.body.len().min(MAX_COPIED_BODY_BYTES);
    let mut out = Vec::with_capacity(request.head.len() + copied + ATTEMPT_HEADER_BYTES);
    out.extend_from_slice(&request.head);
    out.extend_from_slice(b"Limeway-Deadline-Ms: ");
    out.extend_from_slice(digits.format((left / 1_000).max(1)).as_bytes());
    out.extend_from_slice(b"\r\nLimeway-Expect-Instance: ");
    out.extend_from_slice(instance.as_bytes());
    if !request.body.is_empty() || !request.head.starts_with(b"GET ") {
        out.extend_from_slice(b"\r\nContent-Length: ");
        out.extend_from_slice(digits.format(request.body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n\r\n");
    out
}
