//! Connections between processes of the system.
//!
//! A [`Link`] leads to one process: calls go out over one kept connection and are told apart by their numbers, answers come
//! in any order. What a number, a wait, a silence and a piece mean is decided in `trunk`; here are sockets and timers. A
//! call that is late ends no other. One that heard nothing at all makes the next call dial anew; what is under way on the old
//! connection may still be answered there. [`listen`] takes calls. All of it as a table: `docs/design/calls.md`.

mod answering;
mod wire;

use crate::clock::{self, Micros};
use crate::messages::{Call, Reply};
use bytes::BytesMut;
use limeway_rpc::{Body, ClientEvent, ConnectionHealth, QueueFull, RpcClient, Timeouts};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::timeout;
use wire::{read, rested, spoilt, tune, write};

pub use answering::listen;
pub use wire::bind;

/// A connection comes up within it. A packet to a machine that is just starting is lost, and would be sent again by the
/// system only after a second.
const DIAL: Duration = Duration::from_millis(300);
/// The side that asks closes it sooner, so that no call meets the close of the other side.
const IDLE_ASKING: Duration = Duration::from_secs(15);
/// Connections that are not used for new calls and still wait for answers, at most, to one process.
const LEFT_MOST: usize = 4;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// No connection can be had, or it broke.
    Broken,
    /// No answer came in time.
    Late,
    /// Too much is under way, here or there, or waits to be sent.
    Busy,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LinkError::Broken => "no connection",
            LinkError::Late => "no answer in time",
            LinkError::Busy => "too much under way",
        })
    }
}

impl std::error::Error for LinkError {}

impl From<QueueFull> for LinkError {
    fn from(_: QueueFull) -> Self {
        LinkError::Busy
    }
}

type Answer = Result<Reply, LinkError>;

/// One connection to a process.
struct Open {
    caller: RefCell<RpcClient>,
    waiting: RefCell<HashMap<u32, oneshot::Sender<Answer>>>,
    /// There is more to write.
    more: Notify,
    /// It has ended.
    ended: Cell<bool>,
    end: Notify,
    /// When bytes came or went last.
    stirred: Cell<Micros>,
}

impl Open {
    fn new() -> Self {
        Open {
            caller: RefCell::default(),
            waiting: RefCell::default(),
            more: Notify::new(),
            ended: Cell::new(false),
            end: Notify::new(),
            stirred: Cell::new(clock::now()),
        }
    }

    fn end(&self) {
        self.ended.set(true);
        self.end.notify_one();
        // Whoever waits learns that nothing will come.
        self.waiting.borrow_mut().clear();
    }

    async fn run(&self, stream: TcpStream, to: SocketAddr) {
        let (mut from, mut into) = stream.into_split();
        let next = |bytes: &mut Vec<u8>| {
            let wrote = self.caller.borrow_mut().write_next(clock::now(), bytes);
            if wrote {
                self.stirred.set(clock::now());
            }
            wrote
        };
        tokio::select! {
            () = self.receive(&mut from, to) => {}
            () = write(&mut into, &self.more, next) => {}
            () = self.end.notified() => {}
        }
        self.end();
    }

    async fn receive(&self, from: &mut OwnedReadHalf, to: SocketAddr) {
        let mut buffer = BytesMut::new();
        loop {
            match timeout(IDLE_ASKING, read(from, &mut buffer)).await {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) if rested(&self.stirred) < IDLE_ASKING => continue,
                Err(_) => return,
            }
            let now = clock::now();
            self.stirred.set(now);
            self.caller.borrow_mut().bytes_received(now);
            loop {
                let told = match self.caller.borrow_mut().next_event(now, &mut buffer) {
                    Ok(Some(told)) => told,
                    Ok(None) => break,
                    Err(e) => return spoilt(to, e),
                };
                let (number, answer) = match told {
                    ClientEvent::Declined(number) => (number, Err(LinkError::Busy)),
                    ClientEvent::Response(number, body) => {
                        // One that cannot be read ends no other.
                        (number, body.decode().inspect_err(|e| spoilt(to, *e)).map_err(|_| LinkError::Broken))
                    }
                };
                if let Some(tell) = self.waiting.borrow_mut().remove(&number) {
                    let _ = tell.send(answer);
                }
            }
        }
    }
}

/// A call under way. If its caller goes away, its number is given up.
struct Asked {
    open: Rc<Open>,
    number: u32,
}

impl Asked {
    fn give_up(&self) -> ConnectionHealth {
        self.open.waiting.borrow_mut().remove(&self.number);
        let sight = self.open.caller.borrow_mut().cancel(clock::now(), self.number);
        self.open.more.notify_one();
        sight
    }
}

impl Drop for Asked {
    fn drop(&mut self) {
        if self.open.caller.borrow().deadline(self.number).is_some() {
            self.give_up();
        }
    }
}

/// A way to one process.
pub struct Link {
    to: SocketAddr,
    open: RefCell<Option<Rc<Open>>>,
    /// Connections that are not used for new calls, while calls on them may still be answered.
    left: RefCell<Vec<Rc<Open>>>,
    next: Cell<u32>,
    dialling: tokio::sync::Mutex<()>,
}

impl Link {
    /// To an address; nothing is opened yet.
    pub fn new(to: SocketAddr) -> Rc<Self> {
        Rc::new(Link {
            to,
            open: RefCell::default(),
            left: RefCell::default(),
            next: Cell::new((clock::draw() & 0xffff) as u32),
            dialling: tokio::sync::Mutex::new(()),
        })
    }

    async fn connection(&self) -> Result<Rc<Open>, LinkError> {
        let alive = || self.open.borrow().as_ref().filter(|o| !o.ended.get()).cloned();
        if let Some(open) = alive() {
            return Ok(open);
        }
        let _one = self.dialling.lock().await;
        if let Some(open) = alive() {
            return Ok(open);
        }
        let dialled = timeout(DIAL, TcpStream::connect(self.to)).await;
        let stream = dialled.map_err(|_| LinkError::Late)?.map_err(|_| LinkError::Broken)?;
        tune(&stream);
        let (open, to) = (Rc::new(Open::new()), self.to);
        let running = open.clone();
        tokio::task::spawn_local(async move { running.run(stream, to).await });
        *self.open.borrow_mut() = Some(open.clone());
        Ok(open)
    }

    /// Asks, and waits for so long and no longer.
    pub async fn call(&self, call: &Call, wait: Duration) -> Result<Reply, LinkError> {
        self.ask(call, Timeouts::fixed(wait.as_micros() as Micros)).await
    }

    /// Asks for what may be long: waits while pieces of the call go out or pieces of its answer come in, up to `silence`
    /// between two of them, and for `most` in all.
    pub async fn call_patient(
        &self,
        call: &Call,
        silence: Duration,
        most: Duration,
    ) -> Result<Reply, LinkError> {
        let micros = |d: Duration| d.as_micros() as Micros;
        self.ask(call, Timeouts { idle: micros(silence), total: micros(most) }).await
    }

    async fn ask(&self, call: &Call, patience: Timeouts) -> Result<Reply, LinkError> {
        let begun = clock::now();
        let body = Body::encode(call).map_err(|_| LinkError::Broken)?;
        let dialling = Duration::from_micros(patience.idle.min(patience.total));
        let open = timeout(dialling, self.connection()).await.map_err(|_| LinkError::Late)??;
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        // What dialling took is taken off.
        let now = clock::now();
        let took = now - begun;
        let left =
            Timeouts { idle: patience.idle.saturating_sub(took), total: patience.total.saturating_sub(took) };
        let left = if left.total > left.idle { Timeouts { idle: patience.idle, ..left } } else { left };
        open.caller.borrow_mut().start_call(now, number, body, left)?;
        let (tell, mut told) = oneshot::channel();
        open.waiting.borrow_mut().insert(number, tell);
        let asked = Asked { open: open.clone(), number };
        open.more.notify_one();
        let answer = loop {
            // Its answer may be on its way from the reader to here: then it waits no more.
            let deadline = open.caller.borrow().deadline(number).unwrap_or(Micros::MAX);
            let now = clock::now();
            if deadline <= now {
                break Err(LinkError::Late);
            }
            let wait = Duration::from_micros((deadline - now).min(Micros::from(u32::MAX)));
            match timeout(wait, &mut told).await {
                Ok(Ok(answer)) => break answer,
                Ok(Err(_)) => break Err(LinkError::Broken),
                Err(_) => {}
            }
        };
        if matches!(answer, Err(LinkError::Late)) {
            match asked.give_up() {
                ConnectionHealth::Healthy => {}
                ConnectionHealth::Suspect => self.leave(&open),
                ConnectionHealth::Dead => open.end(),
            }
        }
        drop(asked);
        self.tidy();
        answer
    }

    /// A connection is not used for new calls any more.
    fn leave(&self, open: &Rc<Open>) {
        let mut current = self.open.borrow_mut();
        if current.as_ref().is_some_and(|o| Rc::ptr_eq(o, open)) {
            self.left.borrow_mut().extend(current.take());
        }
    }

    /// Connections that are left end once nobody waits on them, and the oldest if there are too many.
    fn tidy(&self) {
        let mut left = self.left.borrow_mut();
        let over = left.len().saturating_sub(LEFT_MOST);
        for (n, open) in left.iter().enumerate() {
            if n < over || open.caller.borrow().in_flight() == 0 {
                open.end();
            }
        }
        left.retain(|open| !open.ended.get());
    }

    /// Lets go of the connection: a new one is opened for the next call.
    pub fn drop_connection(&self) {
        let open = self.open.borrow_mut().take();
        self.left.borrow_mut().extend(open);
        self.tidy();
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let left = self.left.take();
        left.iter().chain(self.open.take().iter()).for_each(|open| open.end());
    }
}

/// The machines of some addresses.
pub fn nodes(addresses: &[SocketAddr]) -> Vec<u32> {
    let ip = |a: &SocketAddr| match a {
        SocketAddr::V4(a) => Some(u32::from(*a.ip())),
        SocketAddr::V6(_) => None,
    };
    addresses.iter().filter_map(ip).collect()
}

/// The ways to all processes that this one talks to.
pub struct Links {
    port: u16,
    links: RefCell<HashMap<u32, Rc<Link>>>,
}

/// Ways kept, at most.
const LINKS_MOST: usize = 2_048;

impl Links {
    /// All processes listen for each other at one port.
    pub fn new(port: u16) -> Self {
        Links { port, links: RefCell::default() }
    }

    /// The way to a machine.
    pub fn to(&self, node: u32) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if links.len() >= LINKS_MOST {
            links.clear();
        }
        let address = SocketAddr::from((std::net::Ipv4Addr::from(node), self.port));
        links.entry(node).or_insert_with(|| Link::new(address)).clone()
    }
}
