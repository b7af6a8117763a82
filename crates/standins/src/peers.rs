//! The network between limiters: a socket for each pair and direction, so that each sees the others under addresses
//! of its own; datagrams come late, or not at all.

use crate::book::{digest, Book};
use crate::link::Link;
use limeway_scenario::day::Services;
use limeway_scenario::Micros;
use limeway_verdict::ledger::Record;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Longest datagram; a longer one is not passed on.
const DATAGRAM_MOST: usize = 256;

/// Where limiters are, and how they see each other.
pub struct Peers {
    /// For each limiter the address of each, its own among them.
    pub seen: Vec<Vec<SocketAddr>>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    book: Arc<Book>,
    services: Services,
    number: AtomicU64,
    /// What each limiter may still take in, and since when: a bucket of one second.
    intake: Vec<Mutex<(f64, Micros)>>,
}

impl Shared {
    /// How late a datagram is to come; nothing if it is lost.
    fn lateness(&self) -> Option<Micros> {
        let n = self.number.fetch_add(1, Ordering::Relaxed);
        let part = |of: &[u8]| digest(4, n, of) as f64 / u64::MAX as f64;
        let (least, most) = self.services.peer_late_us;
        let late = least + ((most - least) as f64 * part(b"late")) as Micros;
        (part(b"loss") >= self.services.peer_loss).then_some(late)
    }

    fn room_at(&self, limiter: usize) -> bool {
        let now = self.book.now();
        let mut bucket = crate::book::lock(&self.intake[limiter]);
        let most = self.services.peer_per_second;
        bucket.0 = (bucket.0 + (now - bucket.1) as f64 / 1e6 * most).min(most);
        bucket.1 = now;
        let room = bucket.0 >= 1.0;
        bucket.0 -= if room { 1.0 } else { 0.0 };
        room
    }
}

impl Peers {
    /// Starts the network between limiters that listen at these addresses; `link` gives the way between two.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(
        book: Arc<Book>,
        services: Services,
        own: &[SocketAddr],
        ip: IpAddr,
        link: impl Fn(u32, u32) -> Link,
    ) -> io::Result<Self> {
        let count = own.len();
        let intake = (0..count).map(|_| Mutex::new((services.peer_per_second, 0))).collect();
        let shared = Arc::new(Shared { book, services, number: AtomicU64::new(0), intake });
        // sockets[a][b]: where limiter a finds limiter b.
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
        let mut tasks = Vec::new();
        for a in 0..count {
            for b in (0..count).filter(|b| *b != a) {
                // What a sends to where it sees b goes on to b, from where b sees a.
                let (from, onward) = (sockets[a][b].clone(), sockets[b][a].clone());
                let (to, way, shared) = (own[b], link(a as u32, b as u32), shared.clone());
                let sender = own[a];
                tasks.push(tokio::spawn(relay(from, sender, onward, (a, b), to, way, shared)));
            }
        }
        Ok(Peers { seen, tasks })
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn relay(
    from: Arc<UdpSocket>,
    sender: SocketAddr,
    onward: Arc<UdpSocket>,
    (a, b): (usize, usize),
    to: SocketAddr,
    link: Link,
    shared: Arc<Shared>,
) {
    let mut data = [0; DATAGRAM_MOST + 1];
    loop {
        let Ok((len, source)) = from.recv_from(&mut data).await else {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
            continue;
        };
        if len > DATAGRAM_MOST || source != sender || link.is_cut() {
            continue;
        }
        let Some(late) = shared.lateness() else { continue };
        let (onward, shared, data, link) =
            (onward.clone(), shared.clone(), data[..len].to_vec(), link.clone());
        tokio::spawn(async move {
            shared.book.clock.until(shared.book.now() + late).await;
            if link.is_cut() || !shared.room_at(b) {
                return;
            }
            if onward.send_to(&data, to).await.is_ok() {
                let t = shared.book.now();
                shared.book.add(Record::Message { t, from: a as u32, to: b as u32, bytes: data.len() });
            }
        });
    }
}
