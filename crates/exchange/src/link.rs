//! Connections between processes of the system.
//!
//! A [`Link`] leads to one process: calls go out over one kept connection and are told apart by their numbers, answers come
//! in any order. A connection on which a call had no answer in its time is not used again. [`listen`] takes calls.

use crate::clock;
use crate::messages::{Call, Reply};
use bytes::BytesMut;
use limeway_trunk as trunk;
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Calls under way on one connection, at most.
const CALLS_MOST: usize = 256;
/// Connections from others, at most.
const INBOUND_MOST: usize = 1_024;
/// A connection comes up within it. A packet to a machine that is just starting is lost, and would be sent again by the
/// system only after a second.
const DIAL: Duration = Duration::from_millis(300);
/// Data that nobody acknowledges ends a connection after so long: cuts are silent.
const UNHEARD: Duration = Duration::from_millis(2_500);
/// A connection that carries nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(20);
/// Bytes of a buffer that are kept.
const BUFFER_KEPT: usize = 16 * 1024;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// No connection can be had, or it broke.
    Broken,
    /// No answer came in time.
    Late,
    /// Too many calls are under way.
    Busy,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LinkError::Broken => "no connection",
            LinkError::Late => "no answer in time",
            LinkError::Busy => "too many calls under way",
        })
    }
}

impl std::error::Error for LinkError {}

type Waiting = Rc<RefCell<HashMap<u32, oneshot::Sender<Reply>>>>;

struct Open {
    out: mpsc::Sender<Vec<u8>>,
    waiting: Waiting,
    alive: Rc<Cell<bool>>,
}

/// A way to one process.
pub struct Link {
    to: SocketAddr,
    open: RefCell<Option<Rc<Open>>>,
    next: Cell<u32>,
    dialling: tokio::sync::Mutex<()>,
}

fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNHEARD));
}

impl Link {
    /// To an address; nothing is opened yet.
    pub fn new(to: SocketAddr) -> Rc<Self> {
        Rc::new(Link {
            to,
            open: RefCell::default(),
            next: Cell::new((clock::draw() & 0xffff) as u32),
            dialling: tokio::sync::Mutex::new(()),
        })
    }

    async fn connection(&self) -> Result<Rc<Open>, LinkError> {
        let alive = || self.open.borrow().as_ref().filter(|o| o.alive.get()).cloned();
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
        let (read, write) = stream.into_split();
        let (out, queue) = mpsc::channel(CALLS_MOST);
        let waiting: Waiting = Rc::default();
        let alive = Rc::new(Cell::new(true));
        let open = Rc::new(Open { out, waiting: waiting.clone(), alive: alive.clone() });
        tokio::task::spawn_local(send(write, queue, alive.clone()));
        tokio::task::spawn_local(async move {
            receive(read, &waiting).await;
            alive.set(false);
            // Whoever waits learns that nothing will come.
            waiting.borrow_mut().clear();
        });
        *self.open.borrow_mut() = Some(open.clone());
        Ok(open)
    }

    /// Asks, and waits for so long.
    pub async fn call(&self, call: &Call, wait: Duration) -> Result<Reply, LinkError> {
        let answered = timeout(wait, async {
            let open = self.connection().await?;
            let number = self.next.get();
            self.next.set(number.wrapping_add(1));
            let (tell, told) = oneshot::channel();
            {
                let mut waiting = open.waiting.borrow_mut();
                if waiting.len() >= CALLS_MOST {
                    return Err(LinkError::Busy);
                }
                waiting.insert(number, tell);
            }
            let mut frame = Vec::new();
            trunk::write(&mut frame, number, call).map_err(|_| LinkError::Broken)?;
            open.out.send(frame).await.map_err(|_| LinkError::Broken)?;
            told.await.map_err(|_| LinkError::Broken)
        });
        match answered.await {
            Ok(answer) => answer,
            Err(_) => {
                self.drop_connection();
                Err(LinkError::Late)
            }
        }
    }

    /// Lets go of the connection: a new one is opened for the next call.
    pub fn drop_connection(&self) {
        if let Some(open) = self.open.borrow_mut().take() {
            open.alive.set(false);
        }
    }
}

async fn send(mut write: OwnedWriteHalf, mut queue: mpsc::Receiver<Vec<u8>>, alive: Rc<Cell<bool>>) {
    while let Some(frame) = queue.recv().await {
        if write.write_all(&frame).await.is_err() {
            break;
        }
    }
    alive.set(false);
}

/// Reads the next frame of a connection; nothing once it has ended, rested too long, or carried what is no frame.
async fn next_frame<T: DeserializeOwned>(
    read: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
) -> Option<(u32, T)> {
    loop {
        match trunk::read::<T>(buffer) {
            Ok(Some(frame)) => return Some(frame),
            Ok(None) => {}
            Err(e) => {
                log::warn!("link: {e}");
                return None;
            }
        }
        if buffer.is_empty() && buffer.capacity() > BUFFER_KEPT {
            *buffer = BytesMut::new();
        }
        match timeout(IDLE, read.read_buf(buffer)).await {
            Ok(Ok(n)) if n > 0 => {}
            _ => return None,
        }
    }
}

async fn receive(mut read: OwnedReadHalf, waiting: &Waiting) {
    let mut buffer = BytesMut::new();
    while let Some((number, reply)) = next_frame::<Reply>(&mut read, &mut buffer).await {
        if let Some(tell) = waiting.borrow_mut().remove(&number) {
            let _ = tell.send(reply);
        }
    }
}

/// Listens at an address.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

/// Takes calls for ever, and has each answered by `answer`.
pub async fn listen<F, A>(listener: TcpListener, answer: A)
where
    F: Future<Output = Reply> + 'static,
    A: Fn(Call) -> F + Clone + 'static,
{
    let count = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if count.get() >= INBOUND_MOST {
            continue;
        }
        tune(&stream);
        let counted = limeway_line::conn::Counted::new(&count);
        tokio::task::spawn_local(serve(stream, answer.clone(), counted));
    }
}

async fn serve<F, A>(stream: TcpStream, answer: A, _counted: limeway_line::conn::Counted)
where
    F: Future<Output = Reply> + 'static,
    A: Fn(Call) -> F + Clone + 'static,
{
    let (mut read, write) = stream.into_split();
    let (out, queue) = mpsc::channel(CALLS_MOST);
    tokio::task::spawn_local(send(write, queue, Rc::new(Cell::new(true))));
    let under_way = Rc::new(Cell::new(0usize));
    let mut buffer = BytesMut::new();
    while let Some((number, call)) = next_frame::<Call>(&mut read, &mut buffer).await {
        if under_way.get() >= CALLS_MOST {
            return;
        }
        let counted = limeway_line::conn::Counted::new(&under_way);
        let (reply, out) = (answer(call), out.clone());
        tokio::task::spawn_local(async move {
            let _counted = counted;
            let reply = reply.await;
            let mut frame = Vec::new();
            if trunk::write(&mut frame, number, &reply).is_ok() {
                let _ = out.send(frame).await;
            }
        });
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
