//! Connections to servers: pools, attempts, and the outcome of each.

use crate::core::Core;
use crate::discovery::{Health, List};
use crate::http::{self, Body};
use bytes::BytesMut;
use pondgw::{Entry, Lifecycle, ListKind, Micros, RequestId, ServerId, Setup, Status};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Part of the time after which a server closes an idle connection that it is kept here: a request written
/// as the server closes would end as a reset that may have run.
const IDLE_PART: u32 = 3;
/// Time for which a connection rests after an answer: what comes behind the answer must show before the next
/// request is written, or it would be taken for that one's answer.
const REST: Duration = Duration::from_millis(20);
/// Longest pause within an answer that has begun: servers are near. Its length is bounded as well.
const STALL: Duration = Duration::from_millis(250);
/// Zones at most.
const ZONES_MOST: usize = 64;
/// Answers of the kind 1xx ahead of the real one, at most.
const INTERIM_MOST: u32 = 8;
/// Largest buffer that an idle connection keeps, in bytes.
const BUFFER_KEPT: usize = 4 * 1024;

/// A client's request as it goes on to servers.
#[derive(Debug)]
pub struct Forward {
    /// Request line and headers, without the last empty line and what depends on the attempt.
    pub head: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// A server's 200: headers worth passing on, and the body.
#[derive(Debug)]
pub struct Served {
    /// Whole header lines.
    pub headers: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// Counts what is open for as long as it lives.
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// One more.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Why no answer came of a message.
#[derive(Debug)]
pub enum Broken {
    /// The connection ended or broke.
    Ended(io::Error),
    /// What came cannot be read as an answer; the connection itself may stay open, but is of no further use.
    Spoilt(&'static str),
}

impl From<io::Error> for Broken {
    fn from(e: io::Error) -> Self {
        Broken::Ended(e)
    }
}

impl From<http::HttpError> for Broken {
    fn from(e: http::HttpError) -> Self {
        Broken::Spoilt(e.reason())
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Ended(e) => write!(f, "connection ended: {e}"),
            Broken::Spoilt(reason) => write!(f, "spoilt answer: {reason}"),
        }
    }
}

impl std::error::Error for Broken {}

/// A whole answer.
pub struct Reply {
    /// Its head, by places in `bytes`.
    pub head: http::Head,
    /// What the head was read from.
    pub bytes: BytesMut,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection may be used again.
    pub keep: bool,
}

/// Whether neither bytes nor the end have come on a connection, by the system itself.
pub fn quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// A kept connection of ours.
pub struct Conn {
    stream: TcpStream,
    buffer: BytesMut,
    since: Instant,
    to: SocketAddr,
    _counted: Counted,
}

impl Conn {
    /// Opens a connection and counts it.
    pub async fn open(to: SocketAddr, count: &Rc<Cell<usize>>) -> io::Result<Self> {
        let _counted = Counted::new(count);
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Conn { stream, buffer: BytesMut::with_capacity(1024), since: Instant::now(), to, _counted })
    }

    /// Whether nothing has come since the last answer, neither bytes nor the end. Asks the system itself:
    /// what the runtime knows of the socket may be a turn old.
    pub fn quiet(&self) -> bool {
        self.buffer.is_empty() && quiet(&self.stream)
    }

    /// How long it has stood idle.
    pub fn idle(&self) -> Duration {
        self.since.elapsed()
    }

    /// Marks it as idle from now on; a buffer that has grown is let go.
    pub fn rest(&mut self) {
        self.since = Instant::now();
        if self.buffer.capacity() > BUFFER_KEPT {
            self.buffer = BytesMut::new();
        }
    }

    /// Writes a message; sets `written` once its last byte has been handed over.
    pub async fn write(&mut self, message: &[u8], written: &Cell<bool>) -> io::Result<()> {
        self.stream.write_all(message).await?;
        written.set(true);
        Ok(())
    }

    /// Reads one whole answer, past those of the kind 1xx.
    pub async fn read(&mut self) -> Result<Reply, Broken> {
        for _ in 0..=INTERIM_MOST {
            if self.buffer.is_empty() {
                self.more().await?;
            }
            if let Some(reply) = self.read_begun().await? {
                return Ok(reply);
            }
        }
        Err(Broken::Spoilt("too many interim answers"))
    }

    async fn more(&mut self) -> Result<(), Broken> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(Broken::Ended(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// More of an answer that has begun. Guards against a head without end and a length that no body fills:
    /// whoever has begun to answer goes on to its end.
    async fn more_soon(&mut self) -> Result<(), Broken> {
        timeout(STALL, self.more()).await.unwrap_or(Err(Broken::Spoilt("stalled")))
    }

    /// Reads the answer that has begun; nothing if it was of the kind 1xx.
    async fn read_begun(&mut self) -> Result<Option<Reply>, Broken> {
        let head = loop {
            match http::answer(&self.buffer)? {
                Some(head) => break head,
                None => self.more_soon().await?,
            }
        };
        let bytes = self.buffer.split_to(head.len);
        if (100..200).contains(&head.status) && head.status != 101 {
            return Ok(None);
        }
        // A body that goes on to the end of its connection may be cut short unseen.
        let open_end = head.framing == http::Framing::UntilClose;
        if open_end && head.status == 200 {
            return Err(Broken::Spoilt("no length"));
        }
        let mut body = Body::new(head.framing, http::ANSWER_BODY_MOST);
        while !open_end && !body.take(&mut self.buffer)? {
            self.more_soon().await?;
        }
        let keep = head.keep_alive && !open_end && head.status >= 200 && self.buffer.is_empty();
        Ok(Some(Reply { head, bytes, body: body.bytes, keep }))
    }
}

struct Host {
    name: String,
    /// Discovery has removed it, or no longer lists it.
    gone: bool,
    /// Attempts that are out there.
    out: usize,
    address: Option<SocketAddr>,
    /// When it last started: connections to an earlier life lead nowhere.
    born_ms: u64,
    /// In service: idle connections are kept.
    ready: bool,
    idle: Vec<Conn>,
}

/// The servers by number, with the connections to each.
pub struct Pools {
    hosts: RefCell<Vec<Host>>,
    numbers: RefCell<HashMap<String, ServerId>>,
    /// Numbers of servers that are gone and have nothing out, to be given again.
    free: RefCell<Vec<ServerId>>,
    zones: RefCell<Vec<String>>,
    count: Rc<Cell<usize>>,
    most: usize,
    keep: Duration,
    dial_timeout: Duration,
}

impl Pools {
    /// Empty pools that hold so many connections at most.
    pub fn new(setup: &Setup, most: usize) -> Self {
        Pools {
            hosts: RefCell::default(),
            numbers: RefCell::default(),
            free: RefCell::default(),
            zones: RefCell::new(setup.zones.clone()),
            count: Rc::default(),
            most,
            keep: Duration::from_micros(setup.keepalive) / IDLE_PART,
            dial_timeout: Duration::from_micros(setup.dial_timeout),
        }
    }

    /// Takes in a list of servers and turns it into what the module reads. A server is known by its host, as
    /// its address may change; connections to an old address or to one that leaves are let go.
    pub fn learn(&self, kind: ListKind, list: &List) -> Vec<Entry> {
        let (mut hosts, mut numbers) = (self.hosts.borrow_mut(), self.numbers.borrow_mut());
        let mut zones = self.zones.borrow_mut();
        // Guards against growing with every new id. The module was told with an earlier list that these are gone,
        // and has heard the end of every attempt, so a number given again means a new server to it as well.
        let mut free = self.free.borrow_mut();
        for (server, host) in hosts.iter_mut().enumerate().filter(|(_, h)| h.gone && h.out == 0) {
            if numbers.remove(&std::mem::take(&mut host.name)).is_some() {
                free.push(server);
            }
        }
        let mut listed = vec![kind == ListKind::Delta; hosts.len()];
        let mut entries = Vec::with_capacity(list.hosts.len());
        for row in &list.hosts {
            let server = *numbers.entry(row.host.clone()).or_insert_with(|| {
                let host = Host {
                    name: row.host.clone(),
                    gone: false,
                    out: 0,
                    address: None,
                    born_ms: row.born_ms,
                    ready: false,
                    idle: Vec::new(),
                };
                match free.pop() {
                    Some(server) => {
                        hosts[server] = host;
                        server
                    }
                    None => {
                        hosts.push(host);
                        hosts.len() - 1
                    }
                }
            });
            if let Some(listed) = listed.get_mut(server) {
                *listed = true;
            }
            let zone = zones.iter().position(|z| *z == row.site).unwrap_or_else(|| {
                // The settings name the zones; others are strange and share a number once there are many.
                if zones.len() < ZONES_MOST {
                    zones.push(row.site.clone());
                }
                zones.len() - 1
            });
            let host = &mut hosts[server];
            let address = row.dial.parse().ok();
            host.ready = row.health == Health::Serving;
            host.gone = row.health == Health::Deleted;
            if address != host.address && (address.is_some() || host.ready) {
                host.address = address;
                host.idle.clear();
            }
            if !host.ready || row.born_ms != host.born_ms {
                host.born_ms = row.born_ms;
                host.idle.clear();
            }
            let state = match row.health {
                Health::Serving => Lifecycle::Ready,
                Health::Draining => Lifecycle::Draining,
                Health::Deleted => Lifecycle::Gone,
            };
            log::info!("server {server} is {} at {}: {:?}", row.host, row.dial, row.health);
            let started = row.born_ms * 1_000;
            entries.push(Entry { server, zone, cell: row.block, state, weight: row.share, started });
        }
        for (host, _) in hosts.iter_mut().zip(listed).filter(|(_, listed)| !listed) {
            (host.ready, host.gone) = (false, true);
            host.idle.clear();
        }
        entries
    }

    /// An idle connection that can be used, or the address to open one to.
    fn take(&self, server: ServerId) -> Option<Result<Conn, SocketAddr>> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(server)?;
        // Of those that have rested, the one used last is the least likely to be closing, and the others can
        // grow old and go.
        for at in (0..host.idle.len()).rev() {
            if host.idle[at].idle() < REST {
                continue;
            }
            let conn = host.idle.remove(at);
            if conn.idle() < self.keep && conn.quiet() {
                return Some(Ok(conn));
            }
        }
        let address = host.address?;
        if self.count.get() >= self.most {
            let oldest = hosts.iter_mut().filter(|h| !h.idle.is_empty()).max_by_key(|h| h.idle[0].idle())?;
            oldest.idle.remove(0);
        }
        Some(Err(address))
    }

    fn give_back(&self, server: ServerId, mut conn: Conn) {
        if let Some(host) =
            self.hosts.borrow_mut().get_mut(server).filter(|h| h.ready && h.address == Some(conn.to))
        {
            conn.rest();
            host.idle.push(conn);
        }
    }

    /// Counts what is out at a server, by one more or one less.
    fn count_out(&self, server: ServerId, more: bool) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(server) {
            host.out = if more { host.out + 1 } else { host.out.saturating_sub(1) };
        }
    }

    /// Lets go of all idle connections to a server. Guards against one that vanished or restarted unseen: its
    /// other connections look sound but end as resets too, where a new one would fail as 'never ran'.
    fn forget(&self, server: ServerId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(server) {
            host.idle.clear();
        }
    }

    /// Lets go of connections that have stood idle too long or were closed from the other side.
    pub fn prune(&self) {
        for host in self.hosts.borrow_mut().iter_mut() {
            host.idle.retain(|conn| conn.idle() < self.keep && conn.quiet());
        }
    }
}

/// An attempt to be made.
pub struct Start {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub number: u32,
    /// Where it goes.
    pub server: ServerId,
    /// What is sent.
    pub forward: Rc<Forward>,
    /// How long an answer is waited for.
    pub left: Micros,
}

/// Makes an attempt and tells the core how it ended. `stopped` ends it before its time: its connection is
/// closed by the time the core hears of it, so that no further attempt can overlap with it.
pub fn start(core: Rc<Core>, start: Start, stopped: oneshot::Receiver<Status>) {
    core.pools.count_out(start.server, true);
    tokio::task::spawn_local(async move {
        let (status, served) = tokio::select! {
            biased;
            ended = attempt(&core, &start) => ended,
            status = stopped => (status.unwrap_or(Status::Cancelled), None),
        };
        core.ended(start.id, start.number, status, served);
        core.pools.count_out(start.server, false);
    });
}

async fn attempt(core: &Core, start: &Start) -> (Status, Option<Served>) {
    let pools = &core.pools;
    let mut conn = match pools.take(start.server) {
        Some(Ok(conn)) => conn,
        Some(Err(address)) => match timeout(pools.dial_timeout, Conn::open(address, &pools.count)).await {
            Ok(Ok(conn)) => conn,
            Ok(Err(e)) if e.raw_os_error().is_some_and(|code| OWN_LIMITS.contains(&code)) => {
                core.seldom.warn(format_args!("no connection to server {}: {e}", start.server));
                return (Status::Moot, None);
            }
            Ok(Err(e)) => {
                log::debug!("server {} at {address} takes no connection: {e}", start.server);
                return (Status::ConnectFailed, None);
            }
            Err(_) => {
                log::debug!("server {} at {address} takes no connection in time", start.server);
                return (Status::ConnectFailed, None);
            }
        },
        // No address, or all connections that this process may hold are busy.
        None => return (Status::Moot, None),
    };
    let message = message(&start.forward, start.left);
    let written = Cell::new(false);
    if let Err(e) = conn.write(&message, &written).await {
        log::debug!("server {} broke off before the request was written: {e}", start.server);
        // Broke before the last byte was handed over: it cannot have run.
        return (Status::ConnectFailed, None);
    }
    let Reply { head, bytes, body, keep } = match conn.read().await {
        Ok(reply) => reply,
        Err(Broken::Ended(e)) => {
            log::debug!("server {} broke off: {e}", start.server);
            pools.forget(start.server);
            return (Status::Reset, None);
        }
        // The server is well and has run the request: this connection goes, the others stay.
        Err(e) => {
            log::debug!("server {}: {e}", start.server);
            return (Status::Error, None);
        }
    };
    let declined = head.header(&bytes, "srv-declined") == Some(b"1");
    let status = match head.status {
        200 => Status::Ok,
        503 | 504 if declined => Status::Full,
        _ => Status::Error,
    };
    if keep {
        pools.give_back(start.server, conn);
    }
    let served = (status == Status::Ok).then(|| {
        let mut headers = Vec::new();
        head.copy_headers(&bytes, &PASSED_BACK, &mut headers);
        Served { headers, body }
    });
    (status, served)
}

/// Headers of an answer that go to the client: they tell how to read the body, or concern caches.
const PASSED_BACK: [&str; 7] = [
    "content-type",
    "content-encoding",
    "content-language",
    "cache-control",
    "etag",
    "last-modified",
    "vary",
];

/// System errors that speak of this process's own limits, not of the server: EMFILE, ENFILE, EADDRNOTAVAIL.
const OWN_LIMITS: [i32; 3] = [24, 23, 99];

/// The bytes of an attempt: the client's request, with the time that is left.
fn message(forward: &Forward, left: Micros) -> Vec<u8> {
    let mut digits = itoa::Buffer::new();
    let mut message = Vec::with_capacity(forward.head.len() + forward.body.len() + 64);
    message.extend_from_slice(&forward.head);
    message.extend_from_slice(b"Req-Deadline-Ms: ");
    message.extend_from_slice(digits.format((left / 1_000).max(1)).as_bytes());
    if !forward.body.is_empty() || forward.head.starts_with(b"POST") {
        message.extend_from_slice(b"\r\nContent-Length: ");
        message.extend_from_slice(digits.format(forward.body.len()).as_bytes());
    }
    message.extend_from_slice(b"\r\n\r\n");
    message.extend_from_slice(&forward.body);
    message
}
