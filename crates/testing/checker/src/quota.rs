//! How far customers were let pass their quotas in any one window: what a limiter promises where the counter fails.
//!
//! No rule of the five, so it breaks no run: windows are the limiter's own, and a judge that knows them hands them in.
//! Each try counts in the window in which its first attempt reached a node; a try that waited for a node at a window's
//! edge may so count in the next one, never twice.

use crate::ledger::Micros;
use crate::run::Run;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The windows of one customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Windows {
    /// Length.
    pub length: Micros,
    /// Window `n` begins at `n * length - phase`, Unix time.
    pub phase: Micros,
    /// Units of one.
    pub budget: f64,
}

/// The window of one customer that was passed by most, or came nearest to it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Passed {
    /// The customer.
    pub customer: u64,
    /// Its plan.
    pub plan: usize,
    /// Units of the window.
    pub budget: f64,
    /// Units sent on in it by all limiters.
    pub sent: f64,
    /// Limiters that the customer's tries came to in the run.
    pub doors: usize,
    /// Units of its largest request.
    pub largest: f64,
    /// When the window was last added to.
    pub at: Micros,
}

impl Passed {
    /// Units beyond the budget; negative where some were left.
    pub fn over(&self) -> f64 {
        self.sent - self.budget
    }

    /// The same as a part of the budget, with one largest request a door taken off; 0 at the least.
    pub fn part(&self) -> f64 {
        let allowed = self.doors as f64 * self.largest;
        ((self.over() - allowed) / self.budget.max(f64::MIN_POSITIVE)).max(0.0)
    }
}

/// The fullest window of each customer, those passed by most first. `windows` knows a customer's by its number and plan.
pub fn fullest(run: &Run, windows: impl Fn(u64, usize) -> Windows) -> Vec<Passed> {
    struct Seen {
        used: BTreeMap<u64, (f64, Micros)>,
        doors: BTreeSet<u32>,
        largest: f64,
    }
    let mut all: BTreeMap<(u64, usize), Seen> = BTreeMap::new();
    for one in &run.tries {
        let seen = all.entry((one.customer, one.plan)).or_insert_with(|| Seen {
            used: BTreeMap::new(),
            doors: BTreeSet::new(),
            largest: 0.0,
        });
        seen.doors.insert(one.limiter);
        let Some(first) = one.attempts.first().and_then(|a| run.attempts.get(*a)) else { continue };
        let w = windows(one.customer, one.plan);
        let number = (run.opening.began_unix_us + first.begun + w.phase) / w.length.max(1);
        let used = seen.used.entry(number).or_insert((0.0, 0));
        *used = (used.0 + one.units, first.begun.max(used.1));
        seen.largest = seen.largest.max(one.units);
    }
    let mut passed: Vec<Passed> = all
        .into_iter()
        .filter_map(|((customer, plan), seen)| {
            let (sent, at) = seen.used.into_values().max_by(|a, b| a.0.total_cmp(&b.0))?;
            let Windows { budget, .. } = windows(customer, plan);
            Some(Passed { customer, plan, budget, sent, doors: seen.doors.len(), largest: seen.largest, at })
        })
        .collect();
    passed.sort_by(|a, b| (b.over() / b.budget).total_cmp(&(a.over() / a.budget)));
    passed
}
