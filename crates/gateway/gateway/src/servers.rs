//! Connections to servers: pools, attempts, and the outcome of each.

use crate::conn::{Broken, Conn, Reply};
use crate::members::{Health, List};
use crate::seldom::Seldom;
use limeway_quota_policy::{Entry, Lifecycle, ListKind, Micros, ServerId, Setup, Status};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Part of the time after which a server closes an idle connection that it is kept here: a request written
/// as the server closes would end as a reset that may have run.
const IDLE_PART: u32 = 3;
/// Time for which a connection rests after an answer: what comes behind the answer must show before the next
/// request is written, or it would be taken for that one's answer.
const REST: Duration = Duration::from_millis(20);
/// Zones at most.
const MAX_ZONES: usize = 64;

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
    seldom: Seldom,
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
            seldom: Seldom::default(),
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
                if zones.len() < MAX_ZONES {
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
            self.hosts.borrow_mut().get_mut(server).filter(|h| h.ready && h.address == Some(conn.to()))
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
    /// Where it goes.
    pub server: ServerId,
    /// What is sent.
    pub forward: Rc<Forward>,
    /// How long an answer is waited for.
    pub left: Micros,
}

/// How an attempt ended. The server's number stays taken until this is dropped.
pub struct Ended {
    /// How.
    pub status: Status,
    /// The answer, if it is a good one.
    pub served: Option<Served>,
    _out: Out,
}

/// Counts an attempt as out for as long as it lives: a server's number is not given to another meanwhile.
struct Out {
    pools: Rc<Pools>,
    server: ServerId,
}

impl Out {
    fn new(pools: &Rc<Pools>, server: ServerId) -> Self {
        pools.count_out(server, true);
        Out { pools: pools.clone(), server }
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        self.pools.count_out(self.server, false);
    }
}

/// Makes an attempt, which counts as out from this call on. `stopped` ends it before its time: its connection is
/// closed by the time the attempt has ended, so that no further one can overlap with it.
pub fn attempt(
    pools: &Rc<Pools>,
    start: Start,
    stopped: oneshot::Receiver<Status>,
) -> impl Future<Output = Ended> + 'static {
    let (pools, out) = (pools.clone(), Out::new(pools, start.server));
    async move {
        let (status, served) = tokio::select! {
            biased;
            ended = exchange(&pools, &start) => ended,
            status = stopped => (status.unwrap_or(Status::Cancelled), None),
        };
        Ended { status, served, _out: out }
    }
}

async fn exchange(pools: &Pools, start: &Start) -> (Status, Option<Served>) {
    let mut conn = match pools.take(start.server) {
        Some(Ok(conn)) => conn,
        Some(Err(address)) => match timeout(pools.dial_timeout, Conn::open(address, &pools.count)).await {
            Ok(Ok(conn)) => conn,
            Ok(Err(e)) if e.raw_os_error().is_some_and(|code| OWN_LIMITS.contains(&code)) => {
                pools.seldom.warn(format_args!("no connection to server {}: {e}", start.server));
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
    let Reply { head, bytes, body, keep, .. } = match conn.read().await {
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
