//! A network of datagrams between members: a pair of sockets for each two, so that each member sees the others under
//! addresses that are the same in both directions, and a [`Way`] for each direction.

use crate::record::Record;
use crate::way::Way;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// Longest datagram that is read whole.
const MAX_DATAGRAM: usize = 2_048;
/// Datagrams of one way that are late on purpose at once, at most; further ones are lost.
const MAX_LATE: usize = 4_096;
/// Rest after a socket error, which a member that is not there causes.
const REST: Duration = Duration::from_millis(1);

/// What a network does beside its ways: whether a datagram that has come to its end is handed to the member.
pub trait Deliver: Send + Sync + 'static {
    /// Whether so many bytes from one member to another may be handed on, at the moment that they are due.
    fn may(&self, from: usize, to: usize, bytes: usize) -> bool;
    /// They were handed on.
    fn done(&self, from: usize, to: usize, bytes: usize);
}

/// Hands on all.
impl Deliver for () {
    fn may(&self, _: usize, _: usize, _: usize) -> bool {
        true
    }

    fn done(&self, _: usize, _: usize, _: usize) {}
}

/// The network. Its tasks end with it.
#[derive(Debug)]
pub struct Mesh {
    /// For each member the address of each, its own among them.
    pub seen: Vec<Vec<SocketAddr>>,
    /// For each member the way to each other.
    ways: Vec<Vec<Way>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Mesh {
    /// Starts the network between members that listen at these addresses. The way from one to another is named
    /// `peer 0 -> 1`. Must run within a runtime.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(
        own: &[SocketAddr],
        ip: IpAddr,
        seed: u64,
        record: &Record,
        deliver: impl Deliver,
    ) -> io::Result<Self> {
        let (count, deliver) = (own.len(), Arc::new(deliver));
        // sockets[a][b]: where member a finds member b.
        let mut sockets: Vec<Vec<Arc<UdpSocket>>> = Vec::new();
        for _ in 0..count {
            let mut row = Vec::new();
            for _ in 0..count {
                row.push(Arc::new(UdpSocket::bind((ip, 0)).await?));
            }
            sockets.push(row);
        }
        let mut seen = Vec::new();
        for (a, row) in sockets.iter().enumerate() {
            let mut addresses = row.iter().map(|s| s.local_addr()).collect::<io::Result<Vec<_>>>()?;
            addresses[a] = own[a];
            seen.push(addresses);
        }
        let name = |a: usize, b: usize| format!("peer {a} -> {b}");
        let number = |a: usize, b: usize| seed.wrapping_add((a * count + b) as u64);
        let ways: Vec<Vec<Way>> = (0..count)
            .map(|a| (0..count).map(|b| Way::new(&name(a, b), number(a, b), record)).collect())
            .collect();
        let mut tasks = Vec::new();
        for a in 0..count {
            for b in (0..count).filter(|b| *b != a) {
                // What a sends to where it sees b goes on to b, from where b sees a.
                let ends = (sockets[a][b].clone(), sockets[b][a].clone());
                let (way, deliver) = (ways[a][b].clone(), deliver.clone());
                tasks.push(tokio::spawn(relay(ends, (own[a], own[b]), (a, b), way, deliver)));
            }
        }
        Ok(Mesh { seen, ways, tasks })
    }

    /// The way from one member to another; nothing where there is none.
    pub fn way(&self, from: usize, to: usize) -> Option<&Way> {
        self.ways.get(from)?.get(to).filter(|_| from != to)
    }

    /// All ways, with the members that they lead from and to.
    pub fn ways(&self) -> impl Iterator<Item = (usize, usize, &Way)> {
        let rows = self.ways.iter().enumerate();
        rows.flat_map(|(a, row)| row.iter().enumerate().map(move |(b, way)| (a, b, way)))
            .filter(|(a, b, _)| a != b)
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn relay(
    (from, onward): (Arc<UdpSocket>, Arc<UdpSocket>),
    (sender, to): (SocketAddr, SocketAddr),
    (a, b): (usize, usize),
    way: Way,
    deliver: Arc<impl Deliver>,
) {
    let late = Arc::new(Semaphore::new(MAX_LATE));
    let mut data = [0; MAX_DATAGRAM + 1];
    loop {
        let Ok((len, source)) = from.recv_from(&mut data).await else {
            tokio::time::sleep(REST).await;
            continue;
        };
        if len > MAX_DATAGRAM || source != sender {
            continue;
        }
        let now = Instant::now();
        for after in way.datagram(now, len).into_iter().flatten() {
            if after.is_zero() {
                hand_on(&onward, &data[..len], to, (a, b), &*deliver).await;
                continue;
            }
            let Ok(permit) = late.clone().try_acquire_owned() else { continue };
            let (onward, deliver, data) = (onward.clone(), deliver.clone(), data[..len].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep_until((now + after).into()).await;
                hand_on(&onward, &data, to, (a, b), &*deliver).await;
                drop(permit);
            });
        }
    }
}

async fn hand_on(
    onward: &UdpSocket,
    data: &[u8],
    to: SocketAddr,
    (a, b): (usize, usize),
    deliver: &impl Deliver,
) {
    if deliver.may(a, b, data.len()) && onward.send_to(data, to).await.is_ok() {
        deliver.done(a, b, data.len());
    }
}
