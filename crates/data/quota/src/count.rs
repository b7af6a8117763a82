//! The count of a group of tenants: what each limiter has been granted of each window.

use crate::{Answer, Ask, Block, Grant, Micros, Node, Phase, Request, Span, BLOCK, SKEW};
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
    /// The most that it may hold of each window, whether it gets the last answer or not.
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

/// A limiter that has told what it holds.
#[derive(Debug, Clone, Copy)]
struct Seen {
    /// The life of its process, and the one before: what that one sent is late, whenever it comes.
    life: u64,
    before: Option<u64>,
    /// The last of its requests.
    number: u64,
}

/// The count of one group of tenants, in one holding of it.
#[derive(Debug, Clone)]
pub struct Count {
    start: Micros,
    term: u64,
    length: Micros,
    tenants: HashMap<String, Tally>,
    /// Limiters that have told what they hold of earlier counts.
    known: BTreeMap<Node, Seen>,
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
            known: BTreeMap::new(),
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

    /// How many may be granted quota now.
    pub fn set_doors(&mut self, doors: usize) {
        self.doors = doors;
    }

    /// Answers a request of a limiter. No block outlives `until`; `span` tells the windows of a tenant that has a limit.
    /// Nothing where a later request of that limiter has been answered already.
    pub fn answer(
        &mut self,
        now: Micros,
        until: Micros,
        node: Node,
        request: &Request,
        span: impl Fn(&str) -> Option<Span>,
    ) -> Option<Answer> {
        let seen = self.known.get(&node).copied();
        let late =
            |s: Seen| s.before == Some(request.life) || s.life == request.life && request.number <= s.number;
        if seen.is_some_and(late) {
            return None;
        }
        let told = request.holds.as_ref().filter(|_| request.term == self.term);
        if let Some(blocks) = told {
            self.tell(now, node, blocks);
        }
        let knows = told.is_some() || seen.is_some_and(|s| s.life == request.life);
        if knows {
            // Of two lives that tell, the one that came later is the living one.
            let before = seen.and_then(|s| if s.life == request.life { s.before } else { Some(s.life) });
            self.known.insert(node, Seen { life: request.life, before, number: request.number });
        }
        let open = self.start <= now;
        let phase = match open {
            true => self.phase(now),
            // Told, and nothing granted yet: the windows have not begun.
            false => Phase { term: 0, window: 0, left: self.start - now },
        };
        let mut grants = Vec::new();
        for ask in request.asks.iter().filter(|_| knows && open) {
            if let Some(span) = span(&ask.tenant) {
                grants.push(self.ask(now, until, node, ask, span));
            }
        }
        Some(Answer { group: request.group, term: self.term, phase, unknown: !knows, grants })
    }

    /// A limiter tells what it holds of earlier counts, or that it holds nothing. What it had of the window under way it may
    /// have spent, in this life of its process or an earlier one.
    pub fn tell(&mut self, now: Micros, node: Node, blocks: &[Block]) {
        self.unknown.remove(&node);
        let window = self.window(now);
        let (start, length) = (self.start, self.length);
        for tally in self.tenants.values_mut() {
            tally.roll(window, start, length);
            if let Some(part) = tally.parts.get_mut(&node) {
                (part.units, part.until) = (0, now);
            }
        }
        for block in blocks.iter().filter(|b| b.units > 0 || b.spent > 0) {
            let tally = self.tenants.entry(block.tenant.clone()).or_default();
            tally.roll(window, start, length);
            let had = tally.parts.get(&node).map_or(0, |p| p.peak);
            let until = now + block.left.min(BLOCK) + SKEW;
            // Units that were given up in a window in which they had been spent are free from the next one on.
            let peak = block.units.max(block.spent).max(had);
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
        let held = ask.held;
        // An even part is there for the asking; more only out of what is spare, or the first to ask would have it all.
        let even = (budget / doors).max(1);
        let mut units = ask.base.min(even).max(ask.want.min(spare)).min(most);
        if tally.parts.len() >= PARTS_MOST && held == 0 {
            units = 0;
        }
        // Should the answer be lost, it goes on with what it holds, until it asks again.
        let counted = units.max(held);
        let peak = spent.max(counted);
        let free = budget.saturating_sub(others(&|p| p.peak) + tally.extra + peak + kept);
        // An extra unit counts for what the block does not give.
        let need = ask.extra.saturating_sub(units.saturating_sub(held));
        let extra = need.min(free);
        tally.extra += extra;
        if counted > 0 || spent > 0 {
            // A limiter may see the next window begin that much too early.
            let until = until.min(now + BLOCK) + SKEW;
            tally.parts.insert(from, Part { units: counted, until, peak, window });
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
