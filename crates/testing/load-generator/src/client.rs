//! A client as the protocol has it: asks the directory where to go, keeps the answer, tries again where that is allowed.

use crate::arrivals::Rng;
use crate::tally::End;
use limeway_http1::conn::{Conn, Reply};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// A new connection is given so long.
const DIAL: Duration = Duration::from_secs(1);
/// An answer of the directory is kept for so long.
const KEEP: Duration = Duration::from_secs(2);

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name, for the report.
    pub name: String,
    /// Host and path.
    pub host: String,
    /// See `host`.
    pub path: String,
    /// The tenant's key.
    pub key: String,
    /// It may run more than once: a GET, else a POST.
    pub repeatable: bool,
    /// How long a client waits.
    pub deadline: Duration,
}

/// Clients of one zone.
pub struct Clients {
    directory: Vec<SocketAddr>,
    region: String,
    zone: String,
    known: RefCell<(Option<Instant>, Vec<SocketAddr>)>,
    count: Rc<Cell<usize>>,
    chance: RefCell<Rng>,
    next: Cell<u64>,
}

async fn exchange(to: SocketAddr, message: &[u8], count: &Rc<Cell<usize>>, left: Duration) -> Option<Reply> {
    let mut conn = timeout(DIAL.min(left), Conn::open(to, count)).await.ok()?.ok()?;
    conn.patient(left);
    conn.write(message, &Cell::new(false)).await.ok()?;
    timeout(left, conn.read()).await.ok()?.ok()
}

impl Clients {
    /// Of a zone, with the directory's addresses.
    pub fn new(directory: Vec<SocketAddr>, region: &str, zone: &str, seed: u64) -> Rc<Self> {
        Rc::new(Clients {
            directory,
            region: region.to_owned(),
            zone: zone.to_owned(),
            known: RefCell::default(),
            count: Rc::default(),
            chance: RefCell::new(Rng::new(seed)),
            next: Cell::new(seed),
        })
    }

    fn pick(&self, of: usize) -> usize {
        (self.chance.borrow_mut().draw() % of.max(1) as u64) as usize
    }

    async fn addresses(&self) -> Vec<SocketAddr> {
        {
            let known = self.known.borrow();
            if known.0.is_some_and(|at| at.elapsed() < KEEP) {
                return known.1.clone();
            }
        }
        let message = format!(
            "GET /-/resolve?name=x&region={}&zone={} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n",
            self.region, self.zone
        );
        for directory in &self.directory {
            let reply = exchange(*directory, message.as_bytes(), &self.count, DIAL).await;
            let Some(reply) = reply.filter(|r| r.head.status == 200) else { continue };
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            let found: Vec<SocketAddr> = text.split('"').filter_map(|p| p.parse().ok()).collect();
            if !found.is_empty() {
                *self.known.borrow_mut() = (Some(Instant::now()), found);
                break;
            }
        }
        // An old answer is better than none.
        self.known.borrow().1.clone()
    }

    /// Asks once, with what further tries are allowed. How it ended, and after how many tries.
    pub async fn ask(&self, class: &Class) -> (End, u64) {
        let begun = Instant::now();
        let mut failed: Vec<SocketAddr> = Vec::new();
        let (mut tries, mut last) = (0, End::Failed);
        while tries < 4 {
            let left = class.deadline.saturating_sub(begun.elapsed());
            if left.is_zero() {
                break;
            }
            let mut addresses = self.addresses().await;
            if failed.len() < addresses.len() {
                addresses.retain(|a| !failed.contains(a));
            }
            let Some(to) = addresses.get(self.pick(addresses.len())).copied() else {
                sleep(Duration::from_millis(50)).await;
                tries += 1;
                continue;
            };
            tries += 1;
            let (status, later) = self.one(to, class, left).await;
            last = match status {
                Some(200..=299) => return (End::Served, tries),
                Some(429 | 503) => End::Refused,
                _ => End::Failed,
            };
            if status.is_none() {
                failed.push(to);
            }
            // A promise frees the way for a further try; otherwise only what may run twice is tried again.
            let again = last == End::Refused
                || (class.repeatable && !matches!(status, Some(400 | 401 | 404 | 413 | 431)));
            if !again {
                break;
            }
            sleep(later.min(left / 3)).await;
        }
        (last, tries)
    }

    async fn one(&self, to: SocketAddr, class: &Class, left: Duration) -> (Option<u16>, Duration) {
        let id = self.next.get().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.next.set(id);
        let (method, length) = if class.repeatable { ("GET", "") } else { ("POST", "Content-Length: 0\r\n") };
        let message = format!(
            "{method} {}{id:x} HTTP/1.1\r\nHost: {}\r\nLimeway-Request-Id: {id:016x}\r\nLimeway-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n{length}Connection: close\r\n\r\n",
            class.path,
            class.host,
            left.as_millis().max(1),
            class.key
        );
        let Some(reply) = exchange(to, message.as_bytes(), &self.count, left).await else {
            return (None, Duration::ZERO);
        };
        let later = reply.head.header(&reply.bytes, "retry-after").and_then(|v| std::str::from_utf8(v).ok());
        let later =
            later.and_then(|v| v.parse::<f64>().ok()).filter(|s| (0.0..60.0).contains(s)).unwrap_or(0.0);
        (Some(reply.head.status), Duration::from_secs_f64(later))
    }
}
