//! The count of a group of tenants: what each limiter has been granted of each window.

use crate::{Ask, Block, Grant, Micros, Node, Phase, Span, BLOCK};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Limiters that one tenant's budget is granted to at once, at most.
const PARTS_MOST: usize = 10_000;
/// Part of a budget that stays free of what is merely good to have.
const SPARE: f64 = 0.3;
/// One limiter holds at most so many times its even part of a budget; what an unknown one could hold is bounded by it.
const EVEN: u32 = 2;

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

impl Tally {
    /// Goes on to a window.
    fn roll(&mut self, window: u64, start: Micros, length: Micros) {
        if self.window == window {
            return;
        }
        (self.window, self.extra) = (window, 0);
        for part in self.parts.values_mut() {
            (part.window, part.peak) = (window, part.units);
        }
        // What ended within a window may have been spent in it; after that it is free.
        self.parts.retain(|_, p| p.until.saturating_sub(start) / length >= window);
    }
}

/// The count of one group of tenants, in one holding of it.
#[derive(Debug, Clone)]
pub struct Count {
    start: Micros,
    term: u64,
    length: Micros,
    tenants: HashMap<String, Tally>,
    /// Limiters that have told what they hold of earlier counts.
    known: BTreeSet<Node>,
    /// Those that have not, and what they hold lives until then at most.
    unknown: BTreeMap<Node, Micros>,
    doors: usize,
}

impl Count {
    /// A count whose windows begin at `start`. `doors` may hold blocks of earlier counts, none if there was none before.
    pub fn new(start: Micros, term: u64, length: Micros, doors: &BTreeSet<Node>, first: bool) -> Self {
        let unknown =
            if first { BTreeMap::new() } else { doors.iter().map(|d| (*d, start + BLOCK)).collect() };
        Count {
            start,
            term,
            length: length.max(1),
            tenants: HashMap::new(),
            known: BTreeSet::new(),
            unknown,
            doors: doors.len(),
        }
    }

    /// From when on it grants.
    pub fn start(&self) -> Micros {
        self.start
    }

    fn window(&self, now: Micros) -> u64 {
        now.saturating_sub(self.start) / self.length
    }

    /// Where the windows stand.
    pub fn phase(&self, now: Micros) -> Phase {
        let into = now.saturating_sub(self.start) % self.length;
        Phase { term: self.term, window: self.window(now), left: self.length - into }
    }

    /// Whether a limiter has told what it holds.
    pub fn knows(&self, node: Node) -> bool {
        self.known.contains(&node)
    }

    /// How many may be granted quota now.
    pub fn set_doors(&mut self, doors: usize) {
        self.doors = doors;
    }

    /// A limiter tells what it holds of earlier counts, or that it holds nothing.
    pub fn tell(&mut self, now: Micros, node: Node, blocks: &[Block]) {
        self.known.insert(node);
        self.unknown.remove(&node);
        let window = self.window(now);
        for tally in self.tenants.values_mut() {
            // A new life of its process has forgotten what this count granted it.
            tally.parts.remove(&node);
        }
        for block in blocks.iter().filter(|b| b.units > 0 || b.spent > 0) {
            let tally = self.tenants.entry(block.tenant.clone()).or_default();
            let until = now + block.left.min(BLOCK);
            // Units that were given up in a window in which they had been spent are free from the next one on.
            let peak = block.units.max(block.spent);
            tally.roll(window, self.start, self.length);
            tally.parts.insert(node, Part { units: block.units, until, peak, window });
        }
    }

    /// Grants what a window has left. No block outlives `until`.
    pub fn ask(&mut self, now: Micros, until: Micros, from: Node, ask: &Ask, span: Span) -> Grant {
        let window = self.window(now);
        let (start, length) = (self.start, self.length);
        self.unknown.retain(|_, until| *until > now);
        let (unknown, doors) = (self.unknown.len() as u32, self.doors.max(1) as u32);
        let tally = self.tenants.entry(ask.tenant.clone()).or_default();
        tally.roll(window, start, length);
        let budget = span.budget;
        let others = |f: &dyn Fn(&Part) -> u32| -> u32 {
            tally.parts.iter().filter(|(n, _)| **n != from).map(|(_, p)| f(p)).sum()
        };
        let own = tally.parts.get(&from).copied();
        let spent = own.map_or(0, |p| p.peak);
        let most_each = (EVEN * budget / doors).max(1);
        // What those that have not told could hold, and others are not known to.
        let kept = unknown.saturating_mul(most_each).min(budget);
        // Free for blocks: in the windows to come, and in this one.
        let later = budget.saturating_sub(others(&|p| p.units) + kept);
        let here = budget.saturating_sub(others(&|p| p.peak) + tally.extra + kept);
        let most = later.min(here).min(most_each);
        let spare = (f64::from(later) - SPARE * f64::from(budget)).max(0.0) as u32;
        let held = own.map_or(0, |p| p.units);
        // An even part is there for the asking; more only out of what is spare, or the first to ask would have it all.
        let even = (budget / doors).max(1);
        let mut units = ask.base.min(even).max(ask.want.min(spare)).min(most);
        if tally.parts.len() >= PARTS_MOST && held == 0 {
            units = 0;
        }
        let peak = spent.max(units);
        let free = budget.saturating_sub(others(&|p| p.peak) + tally.extra + peak + kept);
        // An extra unit counts for what the block does not give.
        let need = ask.extra.saturating_sub(units.saturating_sub(held));
        let extra = need.min(free);
        tally.extra += extra;
        if units > 0 || spent > 0 {
            let until = until.min(now + BLOCK);
            tally.parts.insert(from, Part { units, until, peak, window });
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
}
