//! The authoritative counter of a shard of the tenants: what each gateway has been granted of each window.

use crate::{
    CounterIncarnation, Grant, LeasedBlock, QuotaRequest, QuotaResponse, TenantRequest, WindowBudget,
    WindowPhase, BLOCK_LIFETIME, MAX_SKEW,
};
use limeway_invariants::{check, Invariant};
use limeway_types::{Micros, NodeId, ProcessIncarnation, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Upper bound on the gateways that one tenant's budget is granted to at once.
const MAX_SHARES: usize = 10_000;
/// Part of a budget that stays free of what is merely good to have.
const RESERVE: f64 = 0.3;
/// One gateway holds at most so many times its even share of a budget; what an unreported one could hold is bounded by it.
const MAX_EVEN_SHARES: u32 = 2;

/// What one gateway was granted of a tenant.
#[derive(Debug, Clone, Copy)]
struct GatewayShare {
    /// The most that it may hold of each window, whether it gets the last answer or not.
    units: u32,
    expires: Timestamp,
    /// The most that it had of the window `window`: lowered units may have been spent before.
    peak: u32,
    window: u64,
}

/// What was granted of a tenant.
#[derive(Debug, Clone, Default)]
struct TenantUsage {
    shares: BTreeMap<NodeId, GatewayShare>,
    /// Units of the present window that belong to no block: single ones, and those of processes that have ended.
    extra: u32,
    window: u64,
}

impl TenantUsage {
    /// A gateway holds no blocks any more. Its process may have spent what it had of the present window: if that has ended, the next one
    /// has not.
    fn release(&mut self, now: Timestamp, gateway: NodeId, process_ended: bool) {
        let Some(share) = self.shares.get_mut(&gateway) else { return };
        (share.units, share.expires) = (0, now);
        if process_ended {
            self.extra += std::mem::take(&mut share.peak);
        }
    }

    /// Goes on to a window.
    fn roll(&mut self, windows: Windows, window: u64) {
        if self.window == window {
            return;
        }
        (self.window, self.extra) = (window, 0);
        for share in self.shares.values_mut() {
            (share.window, share.peak) = (window, share.units);
        }
        // What expired within a window may have been spent in it; after that it is free.
        self.shares.retain(|_, share| windows.containing(share.expires) >= window);
    }

    /// Sum over all gateways but one.
    fn sum_of_others(&self, gateway: NodeId, of: impl Fn(&GatewayShare) -> u32) -> u32 {
        self.shares.iter().filter(|(node, _)| **node != gateway).map(|(_, share)| of(share)).sum()
    }
}

/// How far a gateway that has reported its blocks has come.
#[derive(Debug, Clone, Copy)]
struct GatewayProgress {
    incarnation: ProcessIncarnation,
    /// The incarnation before it: what that one sent is late, whenever it comes.
    previous: Option<ProcessIncarnation>,
    /// Its last request.
    sequence: u64,
}

impl GatewayProgress {
    fn is_overtaken(&self, request: &QuotaRequest) -> bool {
        let overtaken = self.incarnation == request.incarnation && request.sequence <= self.sequence;
        self.previous == Some(request.incarnation) || overtaken
    }
}

/// The windows of a counter.
#[derive(Debug, Clone, Copy)]
struct Windows {
    begin: Timestamp,
    length: Micros,
}

impl Windows {
    fn containing(&self, at: Timestamp) -> u64 {
        at.saturating_sub(self.begin) / self.length
    }
}

/// The counter of one shard, in one holding of it.
#[derive(Debug, Clone)]
pub struct Counter {
    incarnation: CounterIncarnation,
    windows: Windows,
    tenants: HashMap<String, TenantUsage>,
    /// Gateways that have reported what they hold of earlier counters.
    reported: BTreeMap<NodeId, GatewayProgress>,
    /// Those that have not, and until when what they hold lives at most.
    unreported: BTreeMap<NodeId, Timestamp>,
    gateways: usize,
    /// The least number of gateways when what they hold of earlier counters was granted.
    fewest_gateways: usize,
}

impl Counter {
    /// A counter whose windows begin at `begin`. `gateways` may hold blocks of earlier counters, none if it is the `first` one. These were
    /// granted when there were so many of them, unless [`Counter::assume_fewest_gateways`] says otherwise.
    pub fn new(
        begin: Timestamp,
        incarnation: CounterIncarnation,
        length: Micros,
        gateways: &BTreeSet<NodeId>,
        first: bool,
    ) -> Self {
        let unreported = if first {
            BTreeMap::new()
        } else {
            gateways.iter().map(|gateway| (*gateway, begin + BLOCK_LIFETIME)).collect()
        };
        Counter {
            incarnation,
            windows: Windows { begin, length: length.max(1) },
            tenants: HashMap::new(),
            reported: BTreeMap::new(),
            unreported,
            gateways: gateways.len(),
            fewest_gateways: gateways.len(),
        }
    }

    /// Blocks of earlier counters may have been granted when there were so few gateways: each was bounded by a larger share then.
    pub fn assume_fewest_gateways(&mut self, fewest: usize) {
        self.fewest_gateways = self.fewest_gateways.min(fewest);
    }

    /// From when on it grants.
    pub fn begins(&self) -> Timestamp {
        self.windows.begin
    }

    /// Where the windows are.
    pub fn phase(&self, now: Timestamp) -> WindowPhase {
        let into = now.saturating_sub(self.windows.begin) % self.windows.length;
        let remaining = self.windows.length - into;
        WindowPhase { counter: self.incarnation, window: self.windows.containing(now), remaining }
    }

    /// Sets how many gateways may lease quota now.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// Answers a gateway's request. No block outlives `expires`; `budget_of` tells the windows of a tenant that has a limit. None if a
    /// later request of that gateway has been answered already.
    pub fn handle(
        &mut self,
        now: Timestamp,
        expires: Timestamp,
        gateway: NodeId,
        request: &QuotaRequest,
        budget_of: impl Fn(&str) -> Option<WindowBudget>,
    ) -> Option<QuotaResponse> {
        if self.reported.get(&gateway).is_some_and(|progress| progress.is_overtaken(request)) {
            return None;
        }
        let is_known = self.note_request(now, gateway, request);
        let has_begun = self.windows.begin <= now;
        let phase = if has_begun {
            self.phase(now)
        } else {
            WindowPhase { counter: 0, window: 0, remaining: self.windows.begin - now }
        };
        let mut grants = Vec::new();
        for tenant in request.tenants.iter().filter(|_| is_known && has_begun) {
            if let Some(budget) = budget_of(&tenant.tenant) {
                grants.push(self.grant(now, expires, gateway, tenant, budget));
            }
        }
        let (shard, counter) = (request.shard, self.incarnation);
        Some(QuotaResponse { shard, counter, phase, needs_blocks: !is_known, grants })
    }

    /// Takes what a request reports. True if it is known what the gateway holds.
    fn note_request(&mut self, now: Timestamp, gateway: NodeId, request: &QuotaRequest) -> bool {
        let progress = self.reported.get(&gateway).copied();
        let blocks = request.blocks.as_ref().filter(|_| request.counter == self.incarnation);
        if let Some(blocks) = blocks {
            let has_restarted = progress.is_some_and(|progress| progress.incarnation != request.incarnation);
            self.record_blocks(now, gateway, blocks, has_restarted);
        }
        let is_known = blocks.is_some() || progress.is_some_and(|p| p.incarnation == request.incarnation);
        if is_known {
            // Of two incarnations that report, the one that came later is the living one.
            let previous = progress.and_then(|p| {
                if p.incarnation == request.incarnation {
                    p.previous
                } else {
                    Some(p.incarnation)
                }
            });
            let (incarnation, sequence) = (request.incarnation, request.sequence);
            self.reported.insert(gateway, GatewayProgress { incarnation, previous, sequence });
        }
        is_known
    }

    /// A gateway reports what it holds of earlier counters, or that it holds nothing; whatever this counter has granted to it ends. What it
    /// had of the present window it may have spent, in this process or in the one before it, which has ended if it `has_restarted`.
    pub fn record_blocks(
        &mut self,
        now: Timestamp,
        gateway: NodeId,
        blocks: &[LeasedBlock],
        has_restarted: bool,
    ) {
        self.unreported.remove(&gateway);
        let windows = self.windows;
        let window = windows.containing(now);
        for usage in self.tenants.values_mut() {
            usage.roll(windows, window);
            usage.release(now, gateway, has_restarted);
        }
        for block in blocks.iter().filter(|block| block.units > 0 || block.spent > 0) {
            let usage = self.tenants.entry(block.tenant.clone()).or_default();
            usage.roll(windows, window);
            let had = usage.shares.get(&gateway).map_or(0, |share| share.peak);
            let expires = now + block.remaining.min(BLOCK_LIFETIME) + MAX_SKEW;
            // Units that were given up in a window in which they had been spent are free from the next one on.
            let peak = block.units.max(block.spent).max(had);
            usage.shares.insert(gateway, GatewayShare { units: block.units, expires, peak, window });
        }
    }

    /// Grants what a window has left. No block outlives `expires`.
    pub fn grant(
        &mut self,
        now: Timestamp,
        expires: Timestamp,
        gateway: NodeId,
        request: &TenantRequest,
        window_budget: WindowBudget,
    ) -> Grant {
        let windows = self.windows;
        let window = windows.containing(now);
        self.unreported.retain(|_, until| *until > now);
        let (unreported, gateways) = (self.unreported.len() as u32, self.gateways.max(1) as u32);
        let usage = self.tenants.entry(request.tenant.clone()).or_default();
        usage.roll(windows, window);
        let budget = window_budget.budget;
        let max_share = max_share_among(budget, gateways);
        // What those that have not reported could hold, and others are not known to.
        let max_earlier_share = max_share_among(budget, gateways.min(self.fewest_gateways as u32));
        let reserved = unreported.saturating_mul(max_earlier_share).min(budget);
        let peaks = usage.sum_of_others(gateway, |share| share.peak);
        let blocks = usage.sum_of_others(gateway, |share| share.units);
        let headroom = Headroom {
            budget,
            even_share: (budget / gateways).max(1),
            max_share,
            later: budget.saturating_sub(blocks + reserved),
            now: budget.saturating_sub(peaks + usage.extra + reserved),
        };
        let mut units = headroom.units_for(request);
        if usage.shares.len() >= MAX_SHARES && request.held == 0 {
            units = 0;
        }
        // Should the answer be lost, it goes on with what it holds, until it asks again.
        let counted = units.max(request.held);
        let spent = usage.shares.get(&gateway).map_or(0, |share| share.peak);
        let peak = spent.max(counted);
        let free = budget.saturating_sub(peaks + usage.extra + peak + reserved);
        // An extra unit counts for what the block does not give.
        let extra_needed = request.extra.saturating_sub(units.saturating_sub(request.held));
        let extra = extra_needed.min(free);
        usage.extra += extra;
        // What is held of earlier counters, or of a higher limit, may exceed it; nothing is added to that.
        let granted = peaks + usage.extra + peak;
        let adds_nothing = counted <= spent.max(request.held) && extra == 0;
        let holds = adds_nothing || granted <= budget;
        check(Invariant::WindowBudget, 10 * granted >= 9 * budget, holds, || {
            format!("{granted} of {budget} units of {}", request.tenant)
        });
        if counted > 0 || spent > 0 {
            // A gateway may see the next window begin that much too early.
            let expires = expires.min(now + BLOCK_LIFETIME) + MAX_SKEW;
            usage.shares.insert(gateway, GatewayShare { units: counted, expires, peak, window });
        } else {
            usage.shares.remove(&gateway);
        }
        Grant { tenant: request.tenant.clone(), units, extra, budget }
    }

    /// Forgets tenants that nobody has anything of.
    pub fn expire(&mut self, now: Timestamp) {
        let windows = self.windows;
        let window = windows.containing(now);
        self.tenants.retain(|_, usage| {
            usage.window + 1 >= window
                || usage.shares.values().any(|share| windows.containing(share.expires) >= window)
        });
    }
}

/// The most of a budget that one of so many gateways is granted.
fn max_share_among(budget: u32, gateways: u32) -> u32 {
    (MAX_EVEN_SHARES * budget / gateways.max(1)).max(1)
}

/// What a budget has headroom for, beside what other gateways have.
struct Headroom {
    budget: u32,
    even_share: u32,
    max_share: u32,
    /// Free for blocks in the windows to come.
    later: u32,
    /// Free for blocks in the present window.
    now: u32,
}

impl Headroom {
    /// Units of each window for a request. An even share is there for the asking; more only out of what is not reserved, or the first
    /// to ask would have it all.
    fn units_for(&self, request: &TenantRequest) -> u32 {
        let free = self.later.min(self.now).min(self.max_share);
        let reserve = RESERVE * f64::from(self.budget);
        let spare = (f64::from(self.later) - reserve).max(0.0) as u32;
        request.needed.min(self.even_share).max(request.desired.min(spare)).min(free)
    }
}
