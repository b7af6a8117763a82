//! The network between limiters: each sees the others under addresses of its own; datagrams come late, or not at all.

use crate::book::{lock, Book};
use crate::receive_rate::ReceiveRate;
use limeway_checker::ledger::Record;
use limeway_fault_injection::datagram::Deliver;
use limeway_fault_injection::{Conditions, Delay, Mesh, Record as Fired};
use limeway_scenario::day::Services;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest datagram; a longer one is not passed on.
const MAX_DATAGRAM: usize = 256;

/// Where limiters are, and how they see each other.
pub struct Peers {
    mesh: Mesh,
    usual: Conditions,
}

/// What members take in, and what is written down of it.
struct Intake {
    book: Arc<Book>,
    /// What each limiter may still take in.
    rates: Vec<Mutex<ReceiveRate>>,
}

impl Deliver for Intake {
    fn may(&self, _: usize, to: usize, bytes: usize) -> bool {
        bytes <= MAX_DATAGRAM && lock(&self.rates[to]).take(self.book.now())
    }

    fn done(&self, from: usize, to: usize, bytes: usize) {
        self.book.add(Record::Message { t: self.book.now(), from: from as u32, to: to as u32, bytes });
    }
}

impl Peers {
    /// Starts the network between limiters that listen at these addresses.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub async fn start(
        book: Arc<Book>,
        services: &Services,
        own: &[SocketAddr],
        ip: IpAddr,
        seed: u64,
        fired: &Fired,
    ) -> io::Result<Self> {
        let (least, most) = services.peer_late_us;
        let delay = Delay::Between(Duration::from_micros(least), Duration::from_micros(most));
        let usual = Conditions { delay, loss: services.peer_loss, ..Conditions::default() };
        let rates = own.iter().map(|_| Mutex::new(ReceiveRate::new(services.peer_per_second))).collect();
        let mesh = Mesh::start(own, ip, seed, fired, Intake { book, rates }).await?;
        let peers = Peers { mesh, usual };
        peers.cut(|_, _| false);
        Ok(peers)
    }

    /// For each limiter the address of each, its own among them.
    pub fn seen(&self) -> &[Vec<SocketAddr>] {
        &self.mesh.seen
    }

    /// Cuts the ways for which this is so, from the first limiter to the second, and heals all others.
    pub fn cut(&self, cut: impl Fn(u32, u32) -> bool) {
        for (from, to, way) in self.mesh.ways() {
            let conditions = if cut(from as u32, to as u32) { Conditions::swallowed() } else { self.usual };
            if way.conditions() != conditions {
                way.set(conditions);
            }
        }
    }
}
