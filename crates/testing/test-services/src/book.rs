//! The ledger in the making, the one clock, and what clients have sent.

use limeway_checker::ledger::{Micros, Record};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Records that are kept at most between two times that they are taken: a full run of the largest scenario.
const MAX_RECORDS: usize = 20_000_000;

/// Locks what no code leaves half-changed: a panic elsewhere must not end the whole run.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The one clock of a run: microseconds since its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_us: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let unix = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Clock { start: Instant::now(), unix_us: unix.as_micros() as u64 }
    }

    /// Unix time of the start, in microseconds.
    pub fn unix_us(&self) -> u64 {
        self.unix_us
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The instant of a time.
    pub fn instant(&self, t: Micros) -> Instant {
        self.start + Duration::from_micros(t)
    }

    /// A time as Unix milliseconds, as discovery words starts.
    pub fn unix_ms(&self, t: Micros) -> u64 {
        (self.unix_us + t) / 1_000
    }

    /// Waits until a time.
    pub async fn until(&self, t: Micros) {
        tokio::time::sleep_until(self.instant(t).into()).await;
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// What a client has sent under an id, to be compared with what nodes get.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Key, if it carries one.
    pub key: Option<String>,
    /// Digest of the body.
    pub digest: u64,
    /// Work that it asks for.
    pub work_us: Micros,
}

/// A digest of bytes, also as a seal: nobody outside knows the secret.
pub fn digest(secret: u64, number: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(secret, number);
    hasher.write(bytes);
    hasher.finish()
}

/// The ledger in the making.
#[derive(Debug)]
pub struct Book {
    /// The clock.
    pub clock: Clock,
    secret: u64,
    records: Mutex<Vec<Record>>,
    sent: Mutex<HashMap<u64, Sent>>,
    attempts: AtomicU64,
    lost: AtomicU64,
}

impl Book {
    /// An empty book; `secret` seals the answers of nodes.
    pub fn new(secret: u64) -> Self {
        Book {
            clock: Clock::new(),
            secret,
            records: Mutex::default(),
            sent: Mutex::default(),
            attempts: AtomicU64::new(0),
            lost: AtomicU64::new(0),
        }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Writes a record down.
    pub fn add(&self, record: Record) {
        let mut records = lock(&self.records);
        if records.len() < MAX_RECORDS {
            records.push(record);
        } else {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes what was written down since the last time.
    pub fn take(&self) -> Vec<Record> {
        std::mem::take(&mut *lock(&self.records))
    }

    /// Records that found no room: a run that lost any proves nothing.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// A client is about to send this.
    pub fn sending(&self, id: u64, sent: Sent) {
        lock(&self.sent).insert(id, sent);
    }

    /// What was sent under an id.
    pub fn sent(&self, id: u64) -> Option<Sent> {
        lock(&self.sent).get(&id).cloned()
    }

    /// Number for a new attempt.
    pub fn attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// The body with which a node answers a try.
    pub fn answer_body(&self, id: u64) -> String {
        let seal = digest(self.secret, id, b"answer");
        format!("{{\"id\":\"{id:016x}\",\"seal\":\"{seal:016x}\",\"sala\":\"{:0>120}\"}}", id % 97)
    }
}
