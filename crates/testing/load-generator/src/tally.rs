//! What became of requests, and how long they took from when they were **due**: a stall shows in all that were due in it,
//! also in those that could not be sent meanwhile.

use crate::arrivals::Micros;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 120_000_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// With a server's answer.
    Served,
    /// Refused: 429 or 503.
    Refused,
    /// Any other way.
    Failed,
}

/// The account of one class of requests.
#[derive(Debug, Clone)]
pub struct Account {
    /// Requests that were due.
    pub due: u64,
    /// By how they ended.
    pub ends: BTreeMap<End, u64>,
    /// Tries beyond the first.
    pub again: u64,
    /// From when it was due to its answer, of those served.
    times: Histogram<u64>,
}

impl Default for Account {
    fn default() -> Self {
        // Three digits over two minutes: fixed bounds, which the library cannot refuse.
        let times = Histogram::new_with_bounds(1, LONGEST, 3)
            .unwrap_or_else(|_| Histogram::<u64>::new(3).expect("3 digits"));
        Account { due: 0, ends: BTreeMap::new(), again: 0, times }
    }
}

impl Account {
    /// A request that was due at `due` has ended at `now`, after so many tries.
    pub fn ended(&mut self, due: Micros, now: Micros, end: End, tries: u64) {
        self.due += 1;
        *self.ends.entry(end).or_default() += 1;
        self.again += tries.saturating_sub(1);
        if end == End::Served {
            self.times.saturating_record(now.saturating_sub(due).max(1));
        }
    }

    /// How many ended so.
    pub fn count(&self, end: End) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }

    /// The time within which such a part was served, in milliseconds.
    pub fn within(&self, part: f64) -> f64 {
        self.times.value_at_quantile(part) as f64 / 1e3
    }

    /// One line.
    pub fn line(&self, name: &str) -> String {
        format!(
            "{name:<12} due {:>6}  served {:>6}  refused {:>5}  failed {:>5}  again {:>5}  p50 {:>7.1} ms  p99 {:>7.1} ms  most {:>7.1} ms",
            self.due,
            self.count(End::Served),
            self.count(End::Refused),
            self.count(End::Failed),
            self.again,
            self.within(0.5),
            self.within(0.99),
            self.within(1.0)
        )
    }
}
