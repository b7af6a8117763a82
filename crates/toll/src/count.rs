//! The count of a group of tenants: what each limiter has been granted of each window.

use crate::{Ask, Grant, Micros, Node, Phase, Span};
use std::collections::{BTreeMap, HashMap};

/// Limiters that one tenant's budget is granted to at once, at most.
const PARTS_MOST: usize = 4_096;
/// Part of a budget that stays free of what is merely good to have.
const SPARE: f64 = 0.35;

/// What one limiter was granted of a tenant.
#[derive(Debug, Clone, Copy)]
struct Part {
    units: u32,
    until: Micros,
    /// The most that it had of the window `window`: lowered units may have been spent before.
    peak: u32,
    window: u64,
}

#[derive(Debug, Clone, Default)]
struct Tally {
    parts: BTreeMap<Node, Part>,
    extra: u32,
    window: u64,
}

/// The count, from when its duty was won: no block of an earlier holder lives then.
#[derive(Debug, Clone)]
pub struct Count {
    start: Micros,
    term: u64,
    length: Micros,
    tenants: HashMap<String, Tally>,
}

impl Count {
    /// A count whose windows begin now.
    pub fn new(now: Micros, term: u64, length: Micros) -> Self {
        Count { start: now, term, length: length.max(1), tenants: HashMap::new() }
    }

    fn window(&self, now: Micros) -> u64 {
        now.saturating_sub(self.start) / self.length
    }

    /// Where the windows stand; `until` is when the duty ends.
    pub fn phase(&self, now: Micros, until: Micros) -> Phase {
        let into = now.saturating_sub(self.start) % self.length;
        Phase {
            term: self.term,
            window: self.window(now),
            left: self.length - into,
            holds: until.saturating_sub(now),
        }
    }

    /// Grants what a window has left. `until` is when the duty ends: no block outlives it.
    pub fn ask(&mut self, now: Micros, until: Micros, from: Node, ask: &Ask, span: Span) -> Grant {
        let window = self.window(now);
        let (start, length) = (self.start, self.length);
        let tally = self.tenants.entry(ask.tenant.clone()).or_default();
        if tally.window != window {
            (tally.window, tally.extra) = (window, 0);
            for part in tally.parts.values_mut() {
                (part.window, part.peak) = (window, part.units);
            }
            // What ended within a window may have been spent in it; after that it is free.
            tally.parts.retain(|_, p| p.until.saturating_sub(start) / length >= window);
        }
        let budget = span.budget;
        let others = |f: &dyn Fn(&Part) -> u32| -> u32 {
            tally.parts.iter().filter(|(n, _)| **n != from).map(|(_, p)| f(p)).sum()
        };
        let own = tally.parts.get(&from).copied();
        let spent = own.map_or(0, |p| p.peak);
        // Free for blocks: in the windows to come, and in this one.
        let later = budget.saturating_sub(others(&|p| p.units));
        let here = budget.saturating_sub(others(&|p| p.peak) + tally.extra);
        let most = later.min(here);
        let spare = (later as f64 - SPARE * f64::from(budget)).max(0.0) as u32;
        let held = own.map_or(0, |p| p.units);
        // What is held already is not made smaller than what is asked for as surely used.
        let mut units = ask.base.max(ask.want.min(spare)).min(most);
        if tally.parts.len() >= PARTS_MOST && held == 0 {
            units = 0;
        }
        let peak = spent.max(units);
        let free = budget.saturating_sub(others(&|p| p.peak) + tally.extra + peak);
        // An extra unit counts for what the block does not give.
        let need = ask.extra.saturating_sub(units.saturating_sub(held));
        let extra = need.min(free);
        tally.extra += extra;
        if units > 0 || spent > 0 {
            let part = Part { units, until, peak, window };
            tally.parts.insert(from, part);
        } else {
            tally.parts.remove(&from);
        }
        Grant { tenant: ask.tenant.clone(), units, extra, budget }
    }

    /// Forgets tenants that nobody has anything of.
    pub fn sweep(&mut self, now: Micros) {
        let window = self.window(now);
        let (start, length) = (self.start, self.length);
        self.tenants.retain(|_, t| {
            t.window + 1 >= window
                || t.parts.values().any(|p| p.until.saturating_sub(start) / length >= window)
        });
    }

    /// Tenants in the count.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether nothing is granted.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
