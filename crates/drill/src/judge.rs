//! What a day must keep: quotas within a stated bound, ceilings, and exactly one answer to each request.

use crate::{Micros, SECOND};
use serde::Serialize;

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
    /// Nearest to a ceiling: units below nought over what may be.
    pub ceiling: f64,
    /// Calls to the counter.
    pub counts: usize,
    /// Messages between gateways.
    pub messages: usize,
    /// Seed of the day with the worst overshoot.
    pub worst_seed: u64,
    /// Days with a finding.
    pub failed: usize,
}

impl Figures {
    /// Adds another day, or other days.
    pub fn add(&mut self, other: &Figures) {
        if other.overshoot > self.overshoot {
            (self.overshoot, self.worst_seed) = (other.overshoot, other.worst_seed);
        }
        self.days += other.days;
        self.requests += other.requests;
        self.inside += other.inside;
        self.sent += other.sent;
        self.sent_inside += other.sent_inside;
        self.overshoot_units = self.overshoot_units.max(other.overshoot_units);
        self.beyond += other.beyond;
        self.units += other.units;
        self.ceiling = self.ceiling.max(other.ceiling);
        self.counts += other.counts;
        self.messages += other.messages;
        self.failed += other.failed;
    }
}

/// The store of one customer as one gateway that sees all would keep it, the use of its window, and its ceiling.
#[derive(Debug, Clone)]
pub struct Account {
    quota: Quota,
    store: (f64, Micros),
    window: (u64, f64),
    ceiling: (f64, Micros),
}

impl Account {
    /// A full account.
    pub fn new(quota: Quota) -> Self {
        let (store, ceiling) = ((quota.burst, 0), (quota.ceiling.1, 0));
        Account { quota, store, window: (0, 0.0), ceiling }
    }

    /// Whether one gateway that sees all would let a request in, which it then does.
    pub fn asks(&mut self, t: Micros, units: f64) -> bool {
        let grown = self.store.0 + (t - self.store.1) as f64 / SECOND as f64 * self.quota.rate;
        self.store = (grown.min(self.quota.burst), t);
        let inside = self.store.0 >= units;
        self.store.0 -= if inside { units } else { 0.0 };
        inside
    }

    /// Takes in units that were sent on. Gives how far the window's budget is passed, and how far the ceiling's store is
    /// below nought over what may be.
    pub fn sends(&mut self, t: Micros, units: f64) -> (f64, f64) {
        let q = &self.quota;
        let window = (t + q.phase) / q.window;
        if window != self.window.0 {
            self.window = (window, 0.0);
        }
        self.window.1 += units;
        let (rate, burst, slack) = q.ceiling;
        let mut nearest = 0.0;
        if rate > 0.0 {
            let grown = self.ceiling.0 + (t - self.ceiling.1) as f64 / SECOND as f64 * rate;
            self.ceiling = (grown.min(burst) - units, t);
            nearest = -self.ceiling.0 / slack.max(1e-9);
        }
        (self.window.1 - q.budget, nearest)
    }

    /// Units of a window.
    pub fn budget(&self) -> f64 {
        self.quota.budget
    }
}
