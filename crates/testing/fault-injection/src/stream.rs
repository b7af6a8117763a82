//! TCP links: a listener whose connections are led on to another address, each direction by its own [`Way`].

use crate::conditions::Pass;
use crate::record::{Record, What};
use crate::way::Way;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Bytes of one direction of a connection that wait to be handed on, at most; beyond it its sender waits.
const MAX_QUEUE: usize = 256 * 1_024;
/// Bytes that are read at once, at most.
const MAX_READ: usize = 16 * 1_024;
/// Connections of one link at once, at most; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 4_096;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// A listener that could not be had, or could not accept, is tried again after this time.
const REST: Duration = Duration::from_millis(5);
/// Own connections that fill the line of a listener that hangs, at most, and how long one is waited for: what does not
/// come up within it shows that the line is full.
const FILLERS: (usize, Duration) = (8, Duration::from_millis(50));

/// How connections come up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Door {
    /// As they should.
    #[default]
    Open,
    /// They are refused; those that are there stay.
    Refusing,
    /// They do not come up, and nothing is said.
    Hanging,
}

/// An order to all connections that are there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Stay,
    Reset,
    Close,
    /// The direction to the target ends, or the other one.
    Half(bool),
}

/// A TCP link. Its connections end with it.
#[derive(Debug)]
pub struct Streams {
    /// Where it is reached.
    pub address: SocketAddr,
    /// What comes from whoever connects.
    pub forward: Way,
    /// What comes from the target.
    pub back: Way,
    door: watch::Sender<Door>,
    /// The order and its number: each is carried out once by those that are there.
    order: watch::Sender<(u64, Order)>,
    task: JoinHandle<()>,
}

impl Streams {
    /// Starts a link on any port of an address that leads to `target`. Its ways are named `name` and `name` with ` back`.
    /// Must run within a runtime.
    ///
    /// # Errors
    /// No port can be listened at.
    pub fn start(name: &str, ip: IpAddr, target: SocketAddr, seed: u64, record: &Record) -> io::Result<Self> {
        Self::start_at(name, SocketAddr::new(ip, 0), target, seed, record)
    }

    /// The same on a given port; 0 for any.
    ///
    /// # Errors
    /// The port cannot be listened at.
    pub fn start_at(
        name: &str,
        at: SocketAddr,
        target: SocketAddr,
        seed: u64,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = listen(at, BACKLOG)?;
        let address = listener.local_addr()?;
        let forward = Way::new(name, seed, record);
        let back = Way::new(&format!("{name} back"), seed ^ 1, record);
        let (door, order) = (watch::Sender::default(), watch::Sender::new((0, Order::Stay)));
        let ways = (forward.clone(), back.clone());
        let task = tokio::spawn(run(listener, address, target, ways, door.subscribe(), order.subscribe()));
        Ok(Streams { address, forward, back, door, order, task })
    }

    /// How connections come up from now on.
    pub fn door(&self, door: Door) {
        self.door.send_replace(door);
        match door {
            Door::Open => {}
            Door::Refusing => self.forward.fired(What::Refusing),
            Door::Hanging => self.forward.fired(What::Hanging),
        }
    }

    fn order(&self, order: Order) {
        self.order.send_modify(|o| *o = (o.0 + 1, order));
    }

    /// Resets all connections that are there, on both sides.
    pub fn reset(&self) {
        self.order(Order::Reset);
    }

    /// Ends all connections that are there in order, on both sides.
    pub fn close(&self) {
        self.order(Order::Close);
    }

    /// Ends one direction of all connections that are there; the other goes on.
    pub fn half_close(&self, forward: bool) {
        self.order(Order::Half(forward));
    }
}

impl Drop for Streams {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn listen(at: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(backlog)
}

/// Listens again at the link's own address; another process that has it meanwhile is waited for.
async fn again(at: SocketAddr, backlog: u32) -> TcpListener {
    loop {
        match listen(at, backlog) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REST).await,
        }
    }
}

async fn until(door: &mut watch::Receiver<Door>, is: impl FnMut(&Door) -> bool) {
    if door.wait_for(is).await.is_err() {
        // Nobody can steer it any more: it stays as it is.
        std::future::pending::<()>().await;
    }
}

async fn run(
    listener: TcpListener,
    at: SocketAddr,
    target: SocketAddr,
    ways: (Way, Way),
    mut door: watch::Receiver<Door>,
    order: watch::Receiver<(u64, Order)>,
) {
    let mut open = Some(listener);
    // Ends all connections as it is dropped.
    let mut connections = JoinSet::new();
    loop {
        let now = *door.borrow_and_update();
        match now {
            Door::Refusing => {
                open = None;
                until(&mut door, |d| *d != Door::Refusing).await;
            }
            Door::Hanging => {
                open = None;
                let listener = again(at, 0).await;
                let fillers = fill(at).await;
                until(&mut door, |d| *d != Door::Hanging).await;
                drop((listener, fillers));
            }
            Door::Open => {
                let listener = match open.take() {
                    Some(listener) => listener,
                    None => again(at, BACKLOG).await,
                };
                tokio::select! {
                    () = until(&mut door, |d| *d != Door::Open) => {}
                    () = accept(&listener, target, &ways, &order, &mut connections) => {}
                }
                open = Some(listener);
            }
        }
    }
}

async fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    ways: &(Way, Way),
    order: &watch::Receiver<(u64, Order)>,
    connections: &mut JoinSet<()>,
) {
    loop {
        while connections.try_join_next().is_some() {}
        while connections.len() >= MAX_CONNECTIONS {
            connections.join_next().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let mut order = order.clone();
                order.borrow_and_update();
                let (forward, back) = ways.clone();
                connections.spawn(connection(stream, target, forward, back, order));
            }
            Err(_) => tokio::time::sleep(REST).await,
        }
    }
}

/// Fills the line of a listener that takes nobody, until a connection does not come up.
async fn fill(at: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    while fillers.len() < FILLERS.0 {
        match tokio::time::timeout(FILLERS.1, TcpStream::connect(at)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Has a connection end with RST as soon as it is dropped.
fn break_off(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn connection(
    near: TcpStream,
    target: SocketAddr,
    forward: Way,
    back: Way,
    mut order: watch::Receiver<(u64, Order)>,
) {
    let far = match TcpStream::connect(target).await {
        Ok(far) => far,
        Err(_) => return break_off(&near),
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near, far) = (Arc::new(near), Arc::new(far));
    let (half_there, half_back) = (watch::Sender::new(false), watch::Sender::new(false));
    let there = pump(near.clone(), far.clone(), forward.clone(), half_there.subscribe());
    let here = pump(far.clone(), near.clone(), back.clone(), half_back.subscribe());
    let both = async { tokio::try_join!(there, here).is_ok() };
    tokio::pin!(both);
    loop {
        let given = tokio::select! {
            // An order goes before what is on its way.
            biased;
            changed = order.changed() => match changed {
                Ok(()) => order.borrow_and_update().1,
                Err(_) => Order::Reset,
            },
            sound = &mut both => {
                if !sound {
                    break_off(&near);
                    break_off(&far);
                }
                return;
            }
        };
        match given {
            Order::Stay => {}
            Order::Reset => {
                forward.fired(What::Reset);
                break_off(&near);
                break_off(&far);
                return;
            }
            Order::Close => {
                forward.fired(What::Closed);
                return;
            }
            Order::Half(forwards) => {
                let (way, half) = if forwards { (&forward, &half_there) } else { (&back, &half_back) };
                way.fired(What::Closed);
                half.send_replace(true);
            }
        }
    }
}

/// A direction of a connection has come to an end that the other side must hear of as a reset.
struct Broken;

/// Waits until a time; without one, for ever.
async fn at(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}

async fn told_to_end(half: &mut watch::Receiver<bool>) {
    if half.wait_for(|half| *half).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Leads one direction of a connection on until it ends. `half` ends it early.
async fn pump(
    from: Arc<TcpStream>,
    to: Arc<TcpStream>,
    way: Way,
    mut half: watch::Receiver<bool>,
) -> Result<(), Broken> {
    let mut changes = way.watch();
    let mut queue: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let (mut queued, mut ended, mut spoilt, mut told) = (0, false, false, false);
    let mut data = vec![0; MAX_READ];
    loop {
        let c = *changes.borrow_and_update();
        if spoilt && c.pass != Pass::Swallowed {
            // It has a gap: it must never be handed on from here.
            way.fired(What::Reset);
            return Err(Broken);
        }
        if c.pass == Pass::Held && !queue.is_empty() && !told {
            way.fired(What::Held);
        }
        told = c.pass == Pass::Held && (told || !queue.is_empty());
        if ended && queue.is_empty() && c.pass == Pass::Through {
            let _ = SockRef::from(&*to).shutdown(Shutdown::Write);
            return Ok(());
        }
        let due = queue.front().map(|q| q.0).filter(|_| c.pass == Pass::Through);
        let room = !ended && queued < MAX_QUEUE;
        tokio::select! {
            biased;
            () = told_to_end(&mut half) => {
                let _ = SockRef::from(&*to).shutdown(Shutdown::Write);
                return Ok(());
            }
            changed = changes.changed() => {
                if changed.is_err() {
                    return Err(Broken);
                }
            }
            () = at(due) => {
                let Some((_, piece)) = queue.pop_front() else { continue };
                queued -= piece.len();
                write(&to, &piece, c.slice).await?;
            }
            ready = from.readable(), if room => {
                ready.map_err(|_| Broken)?;
                match from.try_read(&mut data) {
                    Ok(0) => ended = true,
                    Ok(len) if c.pass == Pass::Swallowed => {
                        way.fired(What::Swallowed);
                        spoilt = len > 0;
                    }
                    Ok(len) => {
                        let now = Instant::now();
                        let due = way.piece(now, len).max(queue.back().map_or(now, |q| q.0));
                        if queue.is_empty() && due <= now && c.pass == Pass::Through {
                            write(&to, &data[..len], c.slice).await?;
                        } else {
                            queued += len;
                            queue.push_back((due, data[..len].to_vec()));
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return Err(Broken),
                }
            }
        }
    }
}

async fn write(to: &TcpStream, data: &[u8], slice: Option<usize>) -> Result<(), Broken> {
    for piece in data.chunks(slice.unwrap_or(data.len()).max(1)) {
        let mut left = piece;
        while !left.is_empty() {
            to.writable().await.map_err(|_| Broken)?;
            match to.try_write(left) {
                Ok(len) => left = &left[len..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(Broken),
            }
        }
        if slice.is_some() {
            // The other side has a chance to read the piece by itself.
            tokio::task::yield_now().await;
        }
    }
    Ok(())
}
