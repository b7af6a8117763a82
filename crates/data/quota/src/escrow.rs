//! A limiter's side: the units that it holds of each tenant.

use crate::{Ask, Block, Grant, Micros, Node, Phase, Span, BLOCK, SKEW};
use std::collections::{BTreeMap, HashMap};

/// Part of a new window's use in the running mean, where that is more and where it is less.
const FRESH: (f64, f64) = (0.35, 0.08);
/// What is good to have covers chance this many times its spread, where requests come in clumps of so many.
const SPREAD: f64 = 1.0;
/// The same where neighbours come for units: what this limiter holds covers chance for all of them.
const SPREAD_LENDING: f64 = 4.0;
/// Windows after a neighbour's last request for which a limiter holds that much.
const LENDS: u64 = 12;
/// See [`SPREAD`].
const CLUMPED: f64 = 1.5;
/// Part of the requests of a first window by which its use is foretold.
const FIRST: f64 = 0.7;
/// Windows without a request after which a tenant is forgotten.
const IDLE: u64 = 8;
/// Blocks are leased anew when less than this part of a full life is left to them.
const RENEW: Micros = 4_500_000;
/// Tenants known at once, at most.
const TENANTS_MOST: usize = 50_000;
/// An ask that has had no answer is given up after so long, and made again.
pub const LOST: Micros = 350_000;

/// Where a count's windows stand, on this machine's clock.
#[derive(Debug, Clone, Copy)]
struct Edge {
    window: u64,
    /// The window's end, never later than it truly is, nor earlier by more than [`SKEW`].
    end: Micros,
    length: Micros,
}

impl Edge {
    fn window(&self, now: Micros) -> u64 {
        if now < self.end {
            self.window
        } else {
            self.window + 1 + (now - self.end) / self.length
        }
    }

    fn closer(self, other: Edge) -> Edge {
        // Ends of different windows are compared as ends of one.
        let ahead = other.window.saturating_sub(self.window) * self.length;
        let behind = self.window.saturating_sub(other.window) * self.length;
        if other.end + behind >= self.end + ahead {
            other
        } else {
            self
        }
    }

    fn left(&self, now: Micros) -> Micros {
        if now < self.end {
            self.end - now
        } else {
            self.length - (now - self.end) % self.length
        }
    }
}

/// The holder of a group's count: its machine and the life of its process.
pub type Holder = (Node, u64);

#[derive(Debug, Clone, Default)]
struct Hold {
    group: usize,
    term: u64,
    units: u32,
    budget: u32,
    until: Micros,
    window: u64,
    spent: u32,
    extra: u32,
    /// Requests of this window, admitted or not.
    asked: u32,
    mean: f64,
    idle: u64,
    /// An ask is under way: its number, and when it was made. No other answer is used.
    asking: Option<(u64, Micros)>,
    /// The count has granted less than was held here, and keeps that back until it is asked again.
    lowered: bool,
    /// The count had nothing left in this window.
    dry: Option<u64>,
    /// What was asked for as `want` last: another figure is worth a call.
    told: u32,
    waiting: u32,
    /// Neighbours have come for units lately: until this window.
    lends: u64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// It has its unit.
    Yes,
    /// The count has to be asked first.
    Wait,
    /// The window has nothing left; the next one begins after so long.
    Dry(Micros),
}

/// All that a limiter holds.
#[derive(Debug, Clone)]
pub struct Escrow {
    length: Micros,
    /// By the life of the count.
    edges: HashMap<u64, Edge>,
    holds: HashMap<String, Hold>,
}

impl Hold {
    /// Goes on to a window.
    fn roll(&mut self, window: u64) {
        if window <= self.window {
            return;
        }
        let passed = (window - self.window).min(16);
        for at in 0..passed {
            let used = if at == 0 { f64::from(self.asked) } else { 0.0 };
            // Up at once and down slowly: a pause between two clumps is no reason to give back what the next one needs.
            let fresh = if used > self.mean { FRESH.0 } else { FRESH.1 };
            self.mean += fresh * (used - self.mean);
        }
        self.idle = if self.asked > 0 { passed - 1 } else { self.idle + passed };
        (self.window, self.spent, self.extra, self.asked) = (window, 0, 0, 0);
    }

    /// Units of this window, under the budget that is in force.
    fn worth(&self, now: Micros, span: Span) -> u32 {
        let block = if self.until > now { self.units } else { 0 };
        // A limit that was lowered binds blocks of before as well.
        let block = if span.budget < self.budget {
            (u64::from(block) * u64::from(span.budget) / u64::from(self.budget.max(1))) as u32
        } else {
            block
        };
        block + self.extra
    }

    /// What it would be good to ask for.
    fn ask(&self, tenant: &str, now: Micros, near: bool) -> Ask {
        // Before the first window is over, what has been asked for in it is all that is known.
        let sure = if self.mean > 0.0 { self.mean } else { FIRST * f64::from(self.asked) };
        let spread = match near {
            true => SPREAD / 2.0,
            false if self.lends > self.window => SPREAD_LENDING,
            false => SPREAD,
        };
        let wide = spread * (CLUMPED * sure).sqrt() + spread.min(1.5);
        let (mut base, mut want) = (sure.floor() as u32, (sure + wide).floor() as u32);
        if self.asked == 0 && (self.idle > 2 || self.until <= now && self.idle > 0) {
            (base, want) = (0, 0);
        }
        Ask { tenant: tenant.to_owned(), base, want: want.max(base), extra: self.waiting, held: 0 }
    }

    fn asking(&self, now: Micros) -> bool {
        self.asking.is_some_and(|(_, at)| now < at + LOST)
    }

    /// The ask that is due, made under a number. Whatever is asked for less than is held is given up here at once, so that
    /// the count may grant it elsewhere as soon as it hears.
    fn due(&mut self, tenant: &str, now: Micros, edge: Option<Edge>, number: u64, near: bool) -> Option<Ask> {
        if self.asking(now) {
            return None;
        }
        if let Some(edge) = edge {
            self.roll(edge.window(now));
        }
        let mut ask = self.ask(tenant, now, near);
        let renew = self.until.saturating_sub(now) < RENEW && ask.want > 0;
        let (want, told) = (f64::from(ask.want), f64::from(self.told));
        // What is too much is missing elsewhere, and is given back sooner than more is asked for.
        let moved = want > 1.25 * told + 1.0 || want < 0.85 * told - 0.5;
        let lower = ask.want == 0 && self.units > 0;
        if !(self.waiting > 0 || renew || moved || lower || self.lowered) {
            return None;
        }
        self.units = self.units.min(ask.want);
        // What it has had of the window under way may be of one that begins only now where the count is.
        let had = self.spent.saturating_sub(self.extra);
        ask.held = if self.until > now { self.units.max(had) } else { 0 };
        (self.asking, self.told, self.lowered) = (Some((number, now)), ask.want, false);
        Some(ask)
    }
}

impl Escrow {
    /// An empty one, for windows of this length.
    pub fn new(length: Micros) -> Self {
        Escrow { length: length.max(1), edges: HashMap::new(), holds: HashMap::new() }
    }

    /// Takes a unit for a request of a tenant whose count `holder` holds.
    pub fn take(
        &mut self,
        now: Micros,
        tenant: &str,
        group: usize,
        holder: Option<Holder>,
        span: Span,
    ) -> Take {
        if !self.holds.contains_key(tenant) {
            if self.holds.len() >= TENANTS_MOST {
                return Take::Dry(self.length);
            }
            self.holds.insert(tenant.to_owned(), Hold { group, ..Hold::default() });
        }
        let (edges, length) = (&self.edges, self.length);
        let Some(hold) = self.holds.get_mut(tenant) else { return Take::Dry(length) };
        let edge = edges.get(&hold.term);
        if let Some(edge) = edge {
            hold.roll(edge.window(now));
        }
        hold.asked = hold.asked.saturating_add(1);
        if edge.is_some() && hold.spent < hold.worth(now, span) {
            hold.spent += 1;
            return Take::Yes;
        }
        match edge {
            Some(edge) if hold.dry == Some(hold.window) => Take::Dry(edge.left(now)),
            _ if holder.is_none() => Take::Dry(length),
            _ => {
                hold.waiting += 1;
                Take::Wait
            }
        }
    }

    /// Takes a unit for a request that a neighbour has: only what is held here, and nothing waits for it. It counts as this
    /// limiter's own use, so that more will be leased here.
    pub fn lend(
        &mut self,
        now: Micros,
        tenant: &str,
        group: usize,
        holder: Option<Holder>,
        span: Span,
    ) -> bool {
        let taken = self.take(now, tenant, group, holder, span);
        if let Some(hold) = self.holds.get_mut(tenant) {
            hold.lends = hold.window + LENDS;
        }
        match taken {
            Take::Yes => true,
            Take::Wait => {
                self.spared(tenant);
                false
            }
            Take::Dry(_) => false,
        }
    }

    /// A request that was told to wait has got its unit elsewhere.
    pub fn spared(&mut self, tenant: &str) {
        if let Some(hold) = self.holds.get_mut(tenant) {
            hold.waiting = hold.waiting.saturating_sub(1);
        }
    }

    /// A request that was told to wait takes its unit, or waits on; when it is late it gives up.
    pub fn waited(&mut self, now: Micros, tenant: &str, span: Span, late: bool) -> Take {
        let (edges, length) = (&self.edges, self.length);
        let Some(hold) = self.holds.get_mut(tenant) else { return Take::Dry(length) };
        let edge = edges.get(&hold.term);
        if let Some(edge) = edge {
            hold.roll(edge.window(now));
            if hold.spent < hold.worth(now, span) {
                hold.spent += 1;
                hold.waiting = hold.waiting.saturating_sub(1);
                return Take::Yes;
            }
        }
        let dry = edge.is_some() && hold.dry == Some(hold.window);
        if !dry && !late {
            return Take::Wait;
        }
        hold.waiting = hold.waiting.saturating_sub(1);
        Take::Dry(edge.map_or(length, |e| e.left(now)))
    }

    /// What is due to be asked of the count of each group, under a number. Of `tenants` alone, or of all; `open` tells
    /// which groups may be asked now. With the counts `near`, units beyond the usual use are asked for when they are needed,
    /// and left to those that are far away.
    pub fn asks(
        &mut self,
        now: Micros,
        number: u64,
        near: bool,
        tenants: Option<&[String]>,
        open: impl Fn(usize) -> bool,
    ) -> BTreeMap<usize, Vec<Ask>> {
        let mut groups: BTreeMap<usize, Vec<Ask>> = BTreeMap::new();
        let edges = &self.edges;
        let mut look = |tenant: &String, hold: &mut Hold| {
            if !open(hold.group) {
                return;
            }
            if let Some(ask) = hold.due(tenant, now, edges.get(&hold.term).copied(), number, near) {
                groups.entry(hold.group).or_default().push(ask);
            }
        };
        match tenants {
            Some(tenants) => {
                for tenant in tenants {
                    if let Some(hold) = self.holds.get_mut(tenant) {
                        look(tenant, hold);
                    }
                }
            }
            None => self.holds.iter_mut().for_each(|(tenant, hold)| look(tenant, hold)),
        }
        groups
    }

    /// Forgets tenants that have not been asked for lately, and windows that nothing is held of. `terms` are the counts that
    /// are asked now.
    pub fn sweep(&mut self, now: Micros, terms: &[u64]) {
        self.holds.retain(|_, h| h.idle < IDLE || h.waiting > 0 || h.asking(now));
        let held: std::collections::HashSet<u64> = self.holds.values().map(|h| h.term).collect();
        self.edges.retain(|term, _| held.contains(term) || terms.contains(term));
    }

    /// All that is held of a group, for a count that does not know it.
    pub fn blocks(&self, now: Micros, group: usize) -> Vec<Block> {
        let live = self
            .holds
            .iter()
            .filter(|(_, h)| h.group == group && (h.units > 0 || h.spent > 0) && h.until > now);
        let block = |(t, h): (&String, &Hold)| Block {
            tenant: t.clone(),
            units: h.units,
            spent: h.spent,
            left: h.until - now,
        };
        live.map(block).collect()
    }

    /// A count tells, in answer to what was asked at `asked`, where its windows stand. False if they are not known well
    /// enough to use what it grants: it took too long, and none of its answers was quicker.
    pub fn learn(&mut self, now: Micros, asked: Micros, phase: Phase) -> bool {
        if now.saturating_sub(asked) > SKEW {
            return self.edges.contains_key(&phase.term);
        }
        let fresh = Edge { window: phase.window, end: asked + phase.left, length: self.length };
        // Of two ends, both never late, the later one is the closer.
        self.edges.entry(phase.term).and_modify(|old| *old = old.closer(fresh)).or_insert(fresh);
        true
    }

    /// Takes what the count of these windows has granted for an ask under a number that was made at `asked`. It counts once,
    /// and only while no later ask was made.
    pub fn granted(
        &mut self,
        now: Micros,
        (number, asked): (u64, Micros),
        ask: &Ask,
        phase: Phase,
        grant: &Grant,
    ) {
        let Some(edge) = self.edges.get(&phase.term).copied() else { return };
        let before = self.holds.get(&grant.tenant).and_then(|h| self.edges.get(&h.term).copied());
        let Some(hold) = self.holds.get_mut(&grant.tenant) else { return };
        if hold.asking.is_none_or(|(n, _)| n != number) {
            return;
        }
        hold.asking = None;
        if hold.term != phase.term {
            // Another count has other windows. The one under way here goes on until the last count's window would
            // have ended: windows never begin closer to each other than their length.
            match before {
                Some(before) => {
                    hold.roll(before.window(now));
                    hold.window = edge.window(now + before.left(now).saturating_sub(1));
                }
                None => (hold.window, hold.spent, hold.extra) = (edge.window(now), 0, 0),
            }
            hold.term = phase.term;
        }
        hold.roll(edge.window(now));
        hold.lowered = grant.units < ask.held;
        (hold.units, hold.budget, hold.until) = (grant.units, grant.budget, asked + BLOCK);
        // What was granted for a window that has passed is forfeit.
        if phase.window == hold.window {
            hold.extra += grant.extra;
            let short = grant.units.saturating_sub(ask.held) + grant.extra < ask.extra;
            if short && hold.waiting > 0 {
                hold.dry = Some(hold.window);
            }
        }
    }

    /// An ask under a number had no answer that could be used.
    pub fn lost(&mut self, number: u64, asks: &[Ask]) {
        for ask in asks {
            if let Some(hold) = self.holds.get_mut(&ask.tenant) {
                if hold.asking.is_some_and(|(n, _)| n == number) {
                    hold.asking = None;
                }
            }
        }
    }

    /// The group of a tenant that is known.
    pub fn group(&self, tenant: &str) -> Option<usize> {
        self.holds.get(tenant).map(|h| h.group)
    }

    /// What is held, in words: of each tenant the units of a window, those spent, those asked for, and the life of the block.
    pub fn account(&self, now: Micros) -> String {
        let one = |(tenant, h): (&String, &Hold)| {
            let left = h.until.saturating_sub(now) / 1_000;
            format!(
                "{tenant} {}+{}/{} spent {} asked {} mean {:.1} left {left} ms",
                h.units, h.extra, h.budget, h.spent, h.asked, h.mean
            )
        };
        self.holds.iter().map(one).collect::<Vec<_>>().join("; ")
    }
}
