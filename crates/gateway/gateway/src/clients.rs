//! The listener, one task per client connection, and exactly one answer to each request.

use crate::client_request::{read_request, Ask, Reject};
use crate::conn::{quiet, Counted};
use crate::core::{Answer, Core};
use crate::http::{self, Body, Head, HttpError};
use crate::servers::Forward;
use bytes::BytesMut;
use limeway_quota_policy::Demand;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Time for which a connection may stand idle.
const MAX_IDLE: Duration = Duration::from_secs(15);
/// Time from the start of a connection for its first request to come whole, and from its first byte on for each
/// later one: who says nothing, or never comes to an end, is told so or closed within 3 s.
const MAX_MESSAGE: Duration = Duration::from_millis(2_200);
/// Time for an answer to be taken.
const MAX_ANSWER: Duration = Duration::from_secs(10);
/// After an error, what is still on its way is read for so long, lest the answer be lost to a reset.
const LINGER: Duration = Duration::from_millis(500);
/// Longest wait for room when no connection can be accepted, and when accepting has failed.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
/// Connections kept for saying that there are too many.
const SHED: usize = 8;
/// To make room, a connection that has not asked goes after the first time, an idle one after the second.
const ROOM_AFTER: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(2));
/// Pause after each request in a row on one connection that is not valid, and at most: who repeats itself at full
/// speed must not take the thread from others.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(200));
/// Largest buffer that an idle connection keeps, in bytes.
const BUFFER_KEPT: usize = 4 * 1024;
/// Which idle connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closing {
    /// None.
    None,
    /// Those that have carried a request; the first request of another may be on its way.
    Used,
    /// All.
    All,
}

/// An idle connection: since when, and the way to tell it to go.
struct Idle {
    since: Instant,
    go: Rc<Notify>,
}

/// The connections of clients.
pub struct Clients {
    count: Rc<Cell<usize>>,
    most: usize,
    /// Idle connections, in the order in which they may go: those that never asked first, the oldest first.
    idle: RefCell<BTreeMap<(bool, u64), Idle>>,
    order: Cell<u64>,
    /// A connection has ended.
    ended: Notify,
    /// Which idle connections must go.
    closing: Cell<Closing>,
    close: Notify,
    /// When the last connection was accepted.
    accepted: Cell<Option<Instant>>,
}

impl Clients {
    /// No connections yet, and so many at most.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Clients {
            count: Rc::default(),
            most: most.saturating_sub(SHED).max(1),
            idle: RefCell::default(),
            order: Cell::new(0),
            ended: Notify::new(),
            closing: Cell::new(Closing::None),
            close: Notify::new(),
            accepted: Cell::new(None),
        })
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.count.get()
    }

    /// Time since a connection was last accepted.
    pub fn quiet_for(&self) -> Duration {
        self.accepted.get().map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Closes connections once they are idle.
    pub fn close_idle(&self, which: Closing) {
        self.closing.set(which);
        self.close.notify_waiters();
    }

    /// Makes room for one more connection. False where all are busy or too young to go.
    async fn make_room(&self) -> bool {
        while self.count.get() >= self.most {
            let first = {
                let mut idle = self.idle.borrow_mut();
                let after = |asked: bool| if asked { ROOM_AFTER.1 } else { ROOM_AFTER.0 };
                let key = idle.iter().find(|(k, i)| i.since.elapsed() >= after(k.0)).map(|(k, _)| *k);
                key.and_then(|key| idle.remove(&key))
            };
            if let Some(first) = &first {
                first.go.notify_one();
            }
            // The one told to go may find that its request has just come.
            let waited = timeout(ACCEPT_WAIT, self.ended.notified()).await;
            if first.is_none() && waited.is_err() {
                return self.count.get() < self.most;
            }
        }
        true
    }
}

/// A place among the idle connections, left when dropped.
struct Place<'a> {
    clients: &'a Clients,
    key: (bool, u64),
    go: Rc<Notify>,
}

impl<'a> Place<'a> {
    fn take(clients: &'a Clients, asked: bool) -> Self {
        let (key, go) = ((asked, clients.order.get()), Rc::new(Notify::new()));
        clients.order.set(key.1 + 1);
        clients.idle.borrow_mut().insert(key, Idle { since: Instant::now(), go: go.clone() });
        Place { clients, key, go }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.clients.idle.borrow_mut().remove(&self.key);
    }
}

/// Listens at an address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections, for ever.
pub async fn run(core: Rc<Core>, clients: Rc<Clients>, listener: TcpListener) {
    loop {
        let shed = !clients.make_room().await;
        if clients.count.get() >= clients.most + SHED {
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                clients.accepted.set(Some(Instant::now()));
                let counted = Counted::new(&clients.count);
                let (core, clients) = (core.clone(), clients.clone());
                tokio::task::spawn_local(async move {
                    Connection::new(stream, shed).serve(&core, &clients).await;
                    drop(counted);
                    clients.ended.notify_waiters();
                });
            }
            Err(e) => {
                // Out of descriptors: idle ones go, and trying again at once would only spin.
                core.seldom.warn(format_args!("accepting: {e}"));
                core.links.pools.prune();
                sleep(ACCEPT_WAIT).await;
            }
        }
    }
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    out: Vec<u8>,
    since: Instant,
    /// No request has come whole yet.
    fresh: bool,
    /// Beyond what may be held: it is told so.
    shed: bool,
    /// Requests in a row that were not valid.
    strikes: u32,
}

/// A request as it was read: its head, the bytes of that, and its body.
type Message = (Head, BytesMut, Vec<u8>);

impl Connection {
    fn new(stream: TcpStream, shed: bool) -> Self {
        let (buffer, out, since) = (BytesMut::new(), Vec::new(), Instant::now());
        Connection { stream, buffer, out, since, fresh: true, shed, strikes: 0 }
    }

    async fn serve(mut self, core: &Rc<Core>, clients: &Clients) {
        let _ = self.stream.set_nodelay(true);
        loop {
            let (head, bytes, body) = match self.read(clients).await {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(Reject(status, reason)) => {
                    self.answer(status, b"", true, reason.as_bytes()).await;
                    return self.linger().await;
                }
            };
            self.fresh = false;
            let close = !head.keep_alive || core.draining.get() || self.shed;
            let asked = read_request(&core.config.setup, &head, &bytes, body);
            self.strikes = if asked.is_err() { self.strikes + 1 } else { 0 };
            let open = match asked {
                Err(Reject(status, reason)) => self.answer(status, b"", close, reason.as_bytes()).await,
                Ok(Ask::Health) if core.ready.get() && !core.draining.get() => {
                    self.answer(200, b"", close, b"ready\n").await
                }
                Ok(Ask::Health) => self.answer(503, b"", close, b"not ready\n").await,
                // Too many connections: turned away before the module has heard of it.
                Ok(Ask::Demand(..)) if self.shed => self.answer(503, b"Retry-After: 1\r\n", true, b"").await,
                Ok(Ask::Demand(id, demand, forward)) => self.request(core, id, demand, forward, close).await,
            };
            if !open {
                return;
            }
            if self.strikes > 0 {
                sleep((PAUSE.0 * self.strikes).min(PAUSE.1)).await;
            }
        }
    }

    /// Reads a whole request; nothing where the client leaves, or the connection stands idle and must go.
    async fn read(&mut self, clients: &Clients) -> Result<Option<Message>, Reject> {
        if self.buffer.is_empty() && !self.first_bytes(clients).await {
            return Ok(None);
        }
        let left = if self.fresh { MAX_MESSAGE.saturating_sub(self.since.elapsed()) } else { MAX_MESSAGE };
        timeout(left, self.read_message())
            .await
            .unwrap_or(Err(Reject(408, "the request did not come whole in time\n")))
    }

    /// Waits for the first bytes of a request; false where none will be read any more.
    async fn first_bytes(&mut self, clients: &Clients) -> bool {
        // Buffers that have grown are let go while nothing needs them.
        if self.buffer.capacity() > BUFFER_KEPT {
            self.buffer = BytesMut::new();
        }
        if self.out.capacity() > BUFFER_KEPT {
            self.out = Vec::new();
        }
        let place = Place::take(clients, !self.fresh);
        let idle = if self.fresh { MAX_MESSAGE.saturating_sub(self.since.elapsed()) } else { MAX_IDLE };
        let idle = sleep(idle);
        tokio::pin!(idle);
        let go = if self.fresh { Closing::All } else { Closing::Used };
        loop {
            let closing = clients.closing.get() >= go;
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.buffer) => return matches!(read, Ok(1..)),
                () = clients.close.notified(), if !closing => continue,
                () = place.go.notified() => {}
                () = &mut idle => {}
                () = std::future::ready(()), if closing => {}
            }
            // To be closed, unless a request is on its way: that one would be lost.
            if quiet(&self.stream) {
                return false;
            }
            return matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..));
        }
    }

    async fn read_message(&mut self) -> Result<Option<Message>, Reject> {
        let head = loop {
            match http::request_lenient(&self.buffer).map_err(reject)? {
                Some(head) => break head,
                None if !self.more().await => return Ok(None),
                None => {}
            }
        };
        let bytes = self.buffer.split_to(head.len);
        let mut body = Body::lenient(head.framing, http::MAX_BODY);
        while !body.take(&mut self.buffer).map_err(reject)? {
            if !self.more().await {
                return Ok(None);
            }
        }
        Ok(Some((head, bytes, body.bytes)))
    }

    async fn more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..))
    }

    /// Takes a request to the module and its answer to the client. True if the connection stays open.
    async fn request(
        &mut self,
        core: &Rc<Core>,
        name: Vec<u8>,
        demand: Demand,
        forward: Forward,
        close: bool,
    ) -> bool {
        let Some((id, mut answer)) = core.request(&name, demand, forward) else {
            self.strikes += 1;
            return self.answer(409, b"", close, b"a request with this Req-Id is open\n").await;
        };
        let answer = loop {
            let room = self.buffer.len() < http::MAX_HEAD + http::MAX_BODY;
            tokio::select! {
                biased;
                answer = &mut answer => break answer.unwrap_or(Answer::Failed),
                // The client's next request may come early; the end of its sending means that it has left.
                more = self.stream.read_buf(&mut self.buffer), if room => if !matches!(more, Ok(1..)) {
                    core.gone(id);
                    return false;
                },
            }
        };
        let close = close || core.draining.get();
        match answer {
            Answer::Served(served) => self.answer(200, &served.headers, close, &served.body).await,
            Answer::Refused(0) => self.answer(429, b"", close, b"").await,
            Answer::Refused(wait) => {
                let mut header = Vec::with_capacity(32);
                let done = write!(header, "Retry-After: {:.3}\r\n", wait as f64 / 1e6);
                debug_assert!(done.is_ok(), "writing to memory cannot fail");
                self.answer(429, &header, close, b"").await
            }
            Answer::Failed => self.answer(502, b"", close, b"").await,
            Answer::Overdue => self.answer(504, b"", close, b"").await,
        }
    }

    /// Writes an answer in one piece. True if the connection stays open.
    async fn answer(&mut self, status: u16, headers: &[u8], close: bool, body: &[u8]) -> bool {
        self.out.clear();
        http::write_answer(&mut self.out, status, headers, close, body);
        let written = timeout(MAX_ANSWER, self.stream.write_all(&self.out)).await;
        matches!(written, Ok(Ok(()))) && !close
    }

    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let rest = async {
            let mut read = 0;
            while read < 4 * http::MAX_BODY {
                self.buffer.clear();
                match self.stream.read_buf(&mut self.buffer).await {
                    Ok(n @ 1..) => read += n,
                    _ => return,
                }
            }
        };
        let _ = timeout(LINGER, rest).await;
    }
}

fn reject(error: HttpError) -> Reject {
    match error {
        HttpError::Malformed => Reject(400, "malformed request\n"),
        HttpError::HeadTooLong => Reject(431, "head too long\n"),
        HttpError::BodyTooLong => Reject(413, "body too long\n"),
        HttpError::Coding => Reject(501, "transfer coding not supported\n"),
    }
}
