//! What a day must keep: quotas within a stated bound, ceilings, and exactly one answer to each request.

use crate::{Micros, SECOND};
use serde::Serialize;
use std::collections::BTreeMap;

/// A customer's quota as the judge sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Length of its windows and their shift.
    pub window: Micros,
    /// See `window`.
    pub phase: Micros,
    /// Units of one window.
    pub budget: f64,
    /// Ceiling: units a second, at once, and slack; 0 for none.
    pub ceiling: (f64, f64, f64),
}

/// What was found to be wrong.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Finding {
    /// When.
    pub t: Micros,
    /// What.
    pub what: String,
}

/// Windows of one customer that are open at once at most, however clocks differ.
const WINDOWS_KEPT: u64 = 3;

/// Groups of customers by what they ask for: well within their quotas, close to them, far beyond them.
pub const WITHIN: usize = 0;
/// See [`WITHIN`].
pub const CLOSE: usize = 1;
/// See [`WITHIN`].
pub const BEYOND: usize = 2;

/// Units of one group of customers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Group {
    /// Asked for that one gateway which sees all would let in.
    pub inside: f64,
    /// Of those, sent on.
    pub sent_inside: f64,
    /// Sent on in all.
    pub sent: f64,
}

/// How long something took, over many times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Took {
    /// How often.
    pub times: usize,
    /// In all, and at most.
    pub sum: Micros,
    /// See `sum`.
    pub most: Micros,
}

impl Took {
    /// Once more.
    pub fn once(&mut self, took: Micros) {
        self.add(Took { times: 1, sum: took, most: took });
    }

    /// Other times too.
    pub fn add(&mut self, other: Took) {
        self.times += other.times;
        self.sum += other.sum;
        self.most = self.most.max(other.most);
    }

    /// The mean, in seconds; nothing where it never came.
    pub fn mean(self) -> Option<f64> {
        (self.times > 0).then(|| self.sum as f64 / self.times as f64 / SECOND as f64)
    }
}

/// Figures of a day, or of many.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Days.
    pub days: usize,
    /// Requests, and of them inside the quotas of one gateway that sees all.
    pub requests: usize,
    /// See `requests`.
    pub inside: usize,
    /// Requests that were sent on, and of them those inside.
    pub sent: usize,
    /// See `sent`.
    pub sent_inside: usize,
    /// Worst overshoot of one customer in one window, as a part of its budget, the units of one request a gateway taken
    /// off first.
    pub overshoot: f64,
    /// The same in units, nothing taken off.
    pub overshoot_units: f64,
    /// Units sent on beyond windows' budgets, over all units sent on.
    pub beyond: f64,
    /// Units sent on.
    pub units: f64,
    /// Nearest to a ceiling: what has been drawn of its burst. Beyond 1 it is the slack that is drawn on.
    pub ceiling: f64,
    /// Units by groups of customers.
    pub groups: [Group; 3],
    /// Calls to the counter.
    pub counts: usize,
    /// Messages between gateways, and of them those about a counter in trouble.
    pub messages: usize,
    /// See `messages`.
    pub words: usize,
    /// Requests that were sent on as soon as they came, without a wait for the counter.
    pub at_once: usize,
    /// From the first fault of the counter to a limiter's first verdict, and from the last to its last return to the
    /// ordinary path; limiters that noticed nothing are not counted.
    pub found: Took,
    /// See `found`.
    pub back: Took,
    /// Seed of the day with the worst overshoot, in units.
    pub worst_seed: u64,
    /// Days with a finding.
    pub failed: usize,
}

impl Figures {
    /// Adds another day, or other days.
    pub fn add(&mut self, other: &Figures) {
        if other.overshoot_units > self.overshoot_units {
            (self.overshoot_units, self.worst_seed) = (other.overshoot_units, other.worst_seed);
        }
        self.overshoot = self.overshoot.max(other.overshoot);
        self.days += other.days;
        self.requests += other.requests;
        self.inside += other.inside;
        self.sent += other.sent;
        self.sent_inside += other.sent_inside;
        self.beyond += other.beyond;
        self.units += other.units;
        self.ceiling = self.ceiling.max(other.ceiling);
        for (own, other) in self.groups.iter_mut().zip(&other.groups) {
            own.inside += other.inside;
            own.sent_inside += other.sent_inside;
            own.sent += other.sent;
        }
        self.counts += other.counts;
        self.messages += other.messages;
        self.words += other.words;
        self.at_once += other.at_once;
        self.found.add(other.found);
        self.back.add(other.back);
        self.failed += other.failed;
    }
}

/// How near to what may be a request that was sent on has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    /// Units of the window beyond its budget; negative where some are left.
    pub over: f64,
    /// What has been drawn of the ceiling's burst; 0 without a ceiling.
    pub nearest: f64,
    /// The ceiling's slack is passed too.
    pub passed: bool,
}

/// Adds to a bucket what the time since has brought.
fn fill(bucket: &mut (f64, Micros), rate: f64, most: f64, t: Micros) {
    let grown = bucket.0 + (t - bucket.1) as f64 / SECOND as f64 * rate;
    *bucket = (grown.min(most), t);
}

/// The store of one customer as one gateway that sees all would keep it, the use of its window, and its ceiling.
#[derive(Debug, Clone)]
pub struct Account {
    quota: Quota,
    /// What one gateway that sees all has left of the quota and of the ceiling.
    store: (f64, Micros),
    allowed: (f64, Micros),
    /// Units sent on in the windows of late, by number: clocks that differ put sends of one moment into two of them.
    windows: BTreeMap<u64, f64>,
    /// What the limiters have left of the ceiling.
    ceiling: (f64, Micros),
}

impl Account {
    /// A full account.
    pub fn new(quota: Quota) -> Self {
        let (store, ceiling) = ((quota.burst, 0), (quota.ceiling.1, 0));
        Account { quota, store, allowed: ceiling, windows: BTreeMap::new(), ceiling }
    }

    /// Whether one gateway that sees all would let a request in, which it then does.
    pub fn asks(&mut self, t: Micros, units: f64) -> bool {
        let (rate, burst, _) = self.quota.ceiling;
        fill(&mut self.store, self.quota.rate, self.quota.burst, t);
        fill(&mut self.allowed, rate, burst, t);
        let inside = self.store.0 >= units && (rate <= 0.0 || self.allowed.0 >= units);
        if inside {
            self.store.0 -= units;
            self.allowed.0 -= units;
        }
        inside
    }

    /// Takes in units that were sent on at `t`, which the limiter's clock has as `own`: a window is what limiters count as
    /// one. Gives how near that comes to what may be.
    pub fn sends(&mut self, t: Micros, own: Micros, units: f64) -> Sent {
        let q = &self.quota;
        let window = (own + q.phase) / q.window;
        self.windows.retain(|n, _| n + WINDOWS_KEPT > window);
        let used = self.windows.entry(window).or_default();
        *used += units;
        let over = *used - q.budget;
        let (rate, burst, slack) = q.ceiling;
        let (mut nearest, mut passed) = (0.0, false);
        if rate > 0.0 {
            fill(&mut self.ceiling, rate, burst, t);
            self.ceiling.0 -= units;
            nearest = (burst - self.ceiling.0) / burst;
            passed = self.ceiling.0 < -slack;
        }
        Sent { over, nearest, passed }
    }

    /// Units of a window.
    pub fn budget(&self) -> f64 {
        self.quota.budget
    }
}
