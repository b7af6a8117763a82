//! The listener, one task per client connection, and exactly one answer to each request.

use crate::core::{Answer, Core};
use crate::http::{self, Body, Head, HttpError};
use crate::servers::{Counted, Forward};
use bytes::BytesMut;
use pondgw::{Demand, Effect, Setup};
use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Time for which a connection may stand idle.
const IDLE_MOST: Duration = Duration::from_secs(75);
/// Time for a request to come whole, from its first byte on; also for an answer to be taken.
const MESSAGE_MOST: Duration = Duration::from_secs(10);
/// After an error, what is still on its way is read for so long, lest the answer be lost to a reset.
const LINGER: Duration = Duration::from_millis(500);
/// Wait when no connection can be accepted, out of descriptors for one.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
/// Share of the connections beyond which requests are turned away, in hundredths: the rest is for saying so.
const SHED_FROM: usize = 85;
/// Longest wait that a client may state, in milliseconds.
const DEADLINE_MOST_MS: u64 = 600_000;
/// Longest id of a request, in bytes.
const ID_MOST: usize = 128;
/// Customers' numbers lie below this.
const CUSTOMERS: u64 = 1 << 33;

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

/// The connections of clients.
pub struct Clients {
    count: Rc<Cell<usize>>,
    most: usize,
    /// One idle connection may go, to make room.
    room: Notify,
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
            most,
            room: Notify::new(),
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

    fn crowded(&self) -> bool {
        self.count.get() * 100 > self.most * SHED_FROM
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
        if clients.count.get() >= clients.most {
            clients.room.notify_one();
            sleep(ACCEPT_WAIT).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                clients.accepted.set(Some(Instant::now()));
                let counted = Counted::new(&clients.count);
                let shed = clients.crowded();
                if shed {
                    clients.room.notify_one();
                }
                let (core, clients) = (core.clone(), clients.clone());
                tokio::task::spawn_local(async move {
                    Connection { stream, buffer: BytesMut::new(), out: Vec::new(), fresh: true }
                        .serve(&core, &clients, shed)
                        .await;
                    drop(counted);
                });
            }
            Err(e) => {
                // Out of descriptors: idle ones go, and trying again at once would only spin.
                log::warn!("accepting: {e}");
                clients.room.notify_one();
                core.pools.prune();
                sleep(ACCEPT_WAIT).await;
            }
        }
    }
}

/// Why a request gets no further than the connection: a status, and a line to say what is wrong.
#[derive(Debug, PartialEq, Eq)]
struct Reject(u16, &'static str);

/// What a client may ask for.
enum Ask {
    /// Whether this limiter is ready.
    Health,
    /// A request for the module.
    Demand(Demand, Forward),
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    out: Vec<u8>,
    fresh: bool,
}

/// A request as it was read: its head, the bytes of that, and its body.
type Message = (Head, BytesMut, Vec<u8>);

impl Connection {
    async fn serve(mut self, core: &Rc<Core>, clients: &Clients, shed: bool) {
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
            let close = !head.keep_alive || core.draining.get() || shed;
            let open = match read_request(&core.config.setup, &head, &bytes, body) {
                Err(Reject(status, reason)) => self.answer(status, b"", close, reason.as_bytes()).await,
                Ok(Ask::Health) if core.ready.get() && !core.draining.get() => {
                    self.answer(200, b"", close, b"ready\n").await
                }
                Ok(Ask::Health) => self.answer(503, b"", close, b"not ready\n").await,
                // Too many connections: turned away before the module has heard of it.
                Ok(Ask::Demand(..)) if shed => self.answer(503, b"Retry-After: 1\r\n", true, b"").await,
                Ok(Ask::Demand(demand, forward)) => self.request(core, clients, demand, forward, close).await,
            };
            if !open {
                return;
            }
        }
    }

    /// Reads a whole request; nothing where the client leaves, or the connection stands idle and must go.
    async fn read(&mut self, clients: &Clients) -> Result<Option<Message>, Reject> {
        if self.buffer.is_empty() {
            loop {
                let go = if self.fresh { Closing::All } else { Closing::Used };
                let idle = if clients.closing.get() >= go { Duration::ZERO } else { IDLE_MOST };
                tokio::select! {
                    biased;
                    read = self.stream.read_buf(&mut self.buffer) => match read {
                        Ok(1..) => break,
                        _ => return Ok(None),
                    },
                    () = clients.close.notified() => {}
                    () = clients.room.notified() => return Ok(None),
                    () = sleep(idle) => return Ok(None),
                }
            }
        }
        timeout(MESSAGE_MOST, self.read_message())
            .await
            .unwrap_or(Err(Reject(408, "the request did not come whole in time\n")))
    }

    async fn read_message(&mut self) -> Result<Option<Message>, Reject> {
        let head = loop {
            match http::request(&self.buffer).map_err(reject)? {
                Some(head) => break head,
                None if !self.more().await => return Ok(None),
                None => {}
            }
        };
        let bytes = self.buffer.split_to(head.len);
        let mut body = Body::new(head.framing);
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
        clients: &Clients,
        demand: Demand,
        forward: Forward,
        close: bool,
    ) -> bool {
        let (id, mut answer) = core.request(demand, forward);
        let answer = loop {
            let room = self.buffer.len() < http::HEAD_MOST + http::BODY_MOST;
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
        let close = close || core.draining.get() || clients.crowded();
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
        let written = timeout(MESSAGE_MOST, self.stream.write_all(&self.out)).await;
        matches!(written, Ok(Ok(()))) && !close
    }

    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let rest = async {
            let mut read = 0;
            while read < 4 * http::BODY_MOST {
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

fn text(value: Option<&[u8]>) -> Option<&str> {
    value.and_then(|v| std::str::from_utf8(v).ok()).filter(|v| !v.is_empty())
}

/// Checks a request all through; what passes is fit for the module and for servers.
fn read_request(setup: &Setup, head: &Head, bytes: &[u8], body: Vec<u8>) -> Result<Ask, Reject> {
    let method = &bytes[head.method.clone()];
    let target = text(Some(&bytes[head.target.clone()])).ok_or(Reject(400, "malformed target\n"))?;
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    if path == "/_health" {
        return if method == b"GET" { Ok(Ask::Health) } else { Err(Reject(405, "only GET\n")) };
    }
    let no_path = Reject(404, "no such path\n");
    let Some((kind, rest)) = path.strip_prefix('/').and_then(|p| p.split_once('/')) else {
        return Err(no_path);
    };
    let Some(class) = setup.classes.iter().position(|c| c == kind) else { return Err(no_path) };
    let customer = rest.rsplit('/').next().unwrap_or_default();
    let hex = customer.len() == 16 && customer.bytes().all(|b| b.is_ascii_hexdigit());
    if !hex || u64::from_str_radix(customer, 16).map_or(true, |number| number >= CUSTOMERS) {
        return Err(no_path);
    }
    let header = |name| head.header(bytes, name);
    if header("req-kind") != Some(kind.as_bytes()) {
        return Err(Reject(400, "Req-Kind is missing or not the path's class\n"));
    }
    let effect = setup.settings.classes[class].effect;
    let wanted: &[u8] = if effect == Effect::Safe { b"GET" } else { b"POST" };
    if method != wanted {
        return Err(Reject(405, "not the method of this class\n"));
    }
    if effect == Effect::Keyed && header("idempotency-key").is_none_or(<[u8]>::is_empty) {
        return Err(Reject(400, "Idempotency-Key is missing\n"));
    }
    if text(header("req-id")).is_none_or(|id| id.len() > ID_MOST) {
        return Err(Reject(400, "Req-Id is missing or too long\n"));
    }
    let plan = text(header("plan")).and_then(|plan| setup.plans.iter().position(|p| p == plan));
    let plan = plan.ok_or(Reject(400, "Plan is missing or unknown\n"))?;
    let left = text(header("req-deadline-ms")).and_then(|t| t.parse::<u64>().ok()).filter(|ms| *ms > 0);
    let left = left.ok_or(Reject(400, "Req-Deadline-Ms is missing, nought or no number\n"))?;
    let info = text(header("quota-info")).and_then(|info| quota_info(setup, info));
    let (units, doors, first) = info.ok_or(Reject(400, "Quota-Info is missing or not valid\n"))?;
    let mut forward = Vec::with_capacity(head.len + 64);
    forward.extend_from_slice(method);
    forward.push(b' ');
    forward.extend_from_slice(target.as_bytes());
    forward.extend_from_slice(b" HTTP/1.1\r\n");
    head.copy_headers(bytes, &["req-deadline-ms"], &mut forward);
    let demand = Demand {
        id: 0,
        class,
        plan,
        // Limiters must agree on a customer's name, so one spelling stands for all.
        customer: customer.to_ascii_lowercase(),
        left: left.min(DEADLINE_MOST_MS) * 1_000,
        units,
        doors,
        first,
    };
    Ok(Ask::Demand(demand, Forward { head: forward, body }))
}

/// Units, doors and the first door, each given once and within its bounds.
fn quota_info(setup: &Setup, info: &str) -> Option<(f64, u32, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in info.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let repeated = match name {
            "units" => units.replace(value.parse::<f64>().ok()?).is_some(),
            "spread" => spread.replace(value.parse::<u32>().ok()?).is_some(),
            "first" => first.replace(value.parse::<u32>().ok()?).is_some(),
            _ => false,
        };
        if repeated {
            return None;
        }
    }
    let (units, spread, first) = (units?, spread?, first?);
    let gateways = setup.settings.gateways;
    let sound = units > 0.0 && units <= setup.settings.max_units && (1..=gateways).contains(&spread);
    (sound && first < gateways).then_some((units, spread, first))
}
