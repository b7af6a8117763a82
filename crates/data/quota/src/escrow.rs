//! A gateway's side: the units that it holds of each tenant.

use crate::window_clock::WindowClock;
use crate::{
    CounterIncarnation, Grant, Holder, LeasedBlock, TenantRequest, WindowBudget, WindowPhase, BLOCK_LIFETIME,
    MAX_SKEW,
};
use limeway_types::{Micros, Timestamp};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Weight of a new window's use in the running mean, if it is more: up at once,
const RISE_WEIGHT: f64 = 0.35;
/// and if it is less: down slowly. A pause between two bursts is no reason to give back what the next one needs.
const FALL_WEIGHT: f64 = 0.08;
/// Longest gap that the running mean follows window by window.
const MAX_GAP_WINDOWS: u64 = 16;
/// What is good to have covers this many standard deviations of the use, where requests come in bursts of [`BURST_SIZE`].
const SPREAD: f64 = 1.0;
/// The same where neighbours borrow units: what this gateway holds covers the variation of all of them.
const LENDING_SPREAD: f64 = 4.0;
/// Windows after a neighbour's last request for which a gateway holds that much.
const LENDING_WINDOWS: u64 = 12;
/// See [`SPREAD`].
const BURST_SIZE: f64 = 1.5;
/// Part of the requests of a first window by which its use is estimated.
const FIRST_WINDOW_ESTIMATE: f64 = 0.7;
/// Windows without a request after which a tenant is forgotten.
const MAX_IDLE_WINDOWS: u64 = 8;
/// Windows without a request after which nothing is requested for a tenant.
const QUIET_WINDOWS: u64 = 2;
/// Blocks are renewed when less than this is left of their life.
const RENEW_BEFORE: Micros = 4_500_000;
/// Upper bound on the tenants known at once.
const MAX_TENANTS: usize = 50_000;
/// A request without an answer is given up after so long, and made again.
pub const REQUEST_TIMEOUT: Micros = 350_000;

/// Names a request to counters.
pub type RequestNumber = u64;

/// A request that is under way.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    number: RequestNumber,
    sent: Timestamp,
}

/// What is held of one tenant.
#[derive(Debug, Clone, Default)]
struct TenantEscrow {
    shard: usize,
    /// The counter that granted it.
    counter: CounterIncarnation,
    /// Units of each window.
    units: u32,
    /// The budget of a window when they were granted.
    budget: u32,
    expires: Timestamp,
    window: u64,
    spent: u32,
    /// Single units of this window.
    extra: u32,
    /// Requests of this window, admitted or not.
    demand: u32,
    /// Running mean of the demand.
    mean_demand: f64,
    /// Windows without demand.
    idle_windows: u64,
    /// A request is under way. No other answer is used.
    pending: Option<PendingRequest>,
    /// The counter has granted less than was held here, and reserves that until it is asked again.
    was_lowered: bool,
    /// The window in which the counter had nothing left.
    exhausted: Option<u64>,
    /// What was requested as `desired` last: another figure is worth a request.
    last_wanted: u32,
    /// Client requests that wait for a unit.
    waiting: u32,
    /// Neighbours have borrowed units lately: until this window.
    lends_until: u64,
}

/// A unit that a client request needs.
#[derive(Debug, Clone, Copy)]
pub struct UnitRequest<'a> {
    /// Whose quota it is of.
    pub tenant: &'a str,
    /// The shard of the tenant's counter.
    pub shard: usize,
    /// Who holds that counter.
    pub holder: Option<Holder>,
    /// What a window has by the configuration in force.
    pub budget: WindowBudget,
}

/// Whether a client request gets its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitResult {
    /// It has its unit.
    Granted,
    /// The counter has to be asked first.
    Wait,
    /// The window has nothing left; the next one begins after so long.
    Exhausted(Micros),
}

impl TenantEscrow {
    /// Goes on to a window.
    fn roll(&mut self, window: u64) {
        if window <= self.window {
            return;
        }
        let passed = (window - self.window).min(MAX_GAP_WINDOWS);
        for gap in 0..passed {
            let demand = if gap == 0 { f64::from(self.demand) } else { 0.0 };
            let weight = if demand > self.mean_demand { RISE_WEIGHT } else { FALL_WEIGHT };
            self.mean_demand += weight * (demand - self.mean_demand);
        }
        self.idle_windows = if self.demand > 0 { passed - 1 } else { self.idle_windows + passed };
        (self.window, self.spent, self.extra, self.demand) = (window, 0, 0, 0);
    }

    /// Units of this window, under the budget that is in force.
    fn available(&self, now: Timestamp, budget: WindowBudget) -> u32 {
        let block = if self.expires > now { self.units } else { 0 };
        // A limit that was lowered binds earlier blocks as well.
        let block = if budget.budget < self.budget {
            let scaled = u64::from(block) * u64::from(budget.budget) / u64::from(self.budget.max(1));
            scaled as u32
        } else {
            block
        };
        block + self.extra
    }

    /// Spends a unit, if there is one left.
    fn spend(&mut self, now: Timestamp, budget: WindowBudget) -> bool {
        let has_unit = self.spent < self.available(now, budget);
        self.spent += u32::from(has_unit);
        has_unit
    }

    /// What it would be good to request.
    fn request(&self, tenant: &str, now: Timestamp, near: bool) -> TenantRequest {
        // Before the first window is over, its requests so far are all that is known.
        let expected = if self.mean_demand > 0.0 {
            self.mean_demand
        } else {
            FIRST_WINDOW_ESTIMATE * f64::from(self.demand)
        };
        let spread = match near {
            true => SPREAD / 2.0,
            false if self.lends_until > self.window => LENDING_SPREAD,
            false => SPREAD,
        };
        let margin = spread * (BURST_SIZE * expected).sqrt() + spread.min(1.5);
        let (mut needed, mut desired) = (expected.floor() as u32, (expected + margin).floor() as u32);
        let is_quiet = self.idle_windows > QUIET_WINDOWS || self.expires <= now && self.idle_windows > 0;
        if self.demand == 0 && is_quiet {
            (needed, desired) = (0, 0);
        }
        let (tenant, desired, extra) = (tenant.to_owned(), desired.max(needed), self.waiting);
        TenantRequest { tenant, needed, desired, extra, held: 0 }
    }

    fn has_pending(&self, now: Timestamp) -> bool {
        self.pending.is_some_and(|pending| now < pending.sent + REQUEST_TIMEOUT)
    }

    /// The request that is due, made under a number. Whatever is requested less than is held is given up here at once, so that the
    /// counter may grant it elsewhere as soon as it hears.
    fn due_request(
        &mut self,
        tenant: &str,
        now: Timestamp,
        clock: Option<WindowClock>,
        number: RequestNumber,
        near: bool,
    ) -> Option<TenantRequest> {
        if self.has_pending(now) {
            return None;
        }
        if let Some(clock) = clock {
            self.roll(clock.window(now));
        }
        let mut request = self.request(tenant, now, near);
        if !self.is_due(now, &request) {
            return None;
        }
        self.units = self.units.min(request.desired);
        // What it has had of the present window may be of one that begins only now at the counter.
        let had = self.spent.saturating_sub(self.extra);
        request.held = if self.expires > now { self.units.max(had) } else { 0 };
        self.pending = Some(PendingRequest { number, sent: now });
        (self.last_wanted, self.was_lowered) = (request.desired, false);
        Some(request)
    }

    fn is_due(&self, now: Timestamp, request: &TenantRequest) -> bool {
        let renew = self.expires.saturating_sub(now) < RENEW_BEFORE && request.desired > 0;
        let (desired, last) = (f64::from(request.desired), f64::from(self.last_wanted));
        // What is too much is missing elsewhere, and is given back sooner than more is requested.
        let changed = desired > 1.25 * last + 1.0 || desired < 0.85 * last - 0.5;
        let release = request.desired == 0 && self.units > 0;
        self.waiting > 0 || renew || changed || release || self.was_lowered
    }

    /// Another counter has other windows. The one under way here goes on until the last counter's window would have ended: windows never
    /// begin closer to each other than their length.
    fn change_counter(
        &mut self,
        now: Timestamp,
        counter: CounterIncarnation,
        previous: Option<WindowClock>,
        clock: WindowClock,
    ) {
        match previous {
            Some(previous) => {
                self.roll(previous.window(now));
                self.window = clock.window(now + previous.remaining(now).saturating_sub(1));
            }
            None => (self.window, self.spent, self.extra) = (clock.window(now), 0, 0),
        }
        self.counter = counter;
    }
}

/// All that a gateway holds.
#[derive(Debug, Clone)]
pub struct Escrow {
    window_length: Micros,
    clocks: HashMap<CounterIncarnation, WindowClock>,
    tenants: HashMap<String, TenantEscrow>,
}

impl Escrow {
    /// An empty one, for windows of this length.
    pub fn new(window_length: Micros) -> Self {
        Escrow { window_length: window_length.max(1), clocks: HashMap::new(), tenants: HashMap::new() }
    }

    /// What is held of a tenant in the window of now, and the clock of its counter if that is known: without one no window is.
    fn in_present_window(
        &mut self,
        now: Timestamp,
        tenant: &str,
    ) -> Option<(&mut TenantEscrow, Option<WindowClock>)> {
        let escrow = self.tenants.get_mut(tenant)?;
        let clock = self.clocks.get(&escrow.counter).copied();
        if let Some(clock) = clock {
            escrow.roll(clock.window(now));
        }
        Some((escrow, clock))
    }

    /// Takes a unit.
    pub fn take(&mut self, now: Timestamp, request: UnitRequest) -> UnitResult {
        let UnitRequest { tenant, shard, holder, budget } = request;
        if !self.tenants.contains_key(tenant) {
            if self.tenants.len() >= MAX_TENANTS {
                return UnitResult::Exhausted(self.window_length);
            }
            self.tenants.insert(tenant.to_owned(), TenantEscrow { shard, ..TenantEscrow::default() });
        }
        let window_length = self.window_length;
        let Some((escrow, clock)) = self.in_present_window(now, tenant) else {
            return UnitResult::Exhausted(window_length);
        };
        escrow.demand = escrow.demand.saturating_add(1);
        if clock.is_some() && escrow.spend(now, budget) {
            return UnitResult::Granted;
        }
        match clock {
            Some(clock) if escrow.exhausted == Some(escrow.window) => {
                UnitResult::Exhausted(clock.remaining(now))
            }
            _ if holder.is_none() => UnitResult::Exhausted(window_length),
            _ => {
                escrow.waiting += 1;
                UnitResult::Wait
            }
        }
    }

    /// Takes a unit for a request that a neighbour has: only what is held here, and nothing waits for it. It counts as this gateway's
    /// own demand, so that more will be leased here.
    pub fn lend(&mut self, now: Timestamp, request: UnitRequest) -> bool {
        let result = self.take(now, request);
        if let Some(escrow) = self.tenants.get_mut(request.tenant) {
            escrow.lends_until = escrow.window + LENDING_WINDOWS;
        }
        if result == UnitResult::Wait {
            self.cancel_wait(request.tenant);
        }
        result == UnitResult::Granted
    }

    /// A request that was told to wait waits no more: it has got its unit elsewhere, or its client is gone.
    pub fn cancel_wait(&mut self, tenant: &str) {
        if let Some(escrow) = self.tenants.get_mut(tenant) {
            escrow.waiting = escrow.waiting.saturating_sub(1);
        }
    }

    /// A request that was told to wait takes its unit, or waits on; when it is late it gives up.
    pub fn take_waiting(
        &mut self,
        now: Timestamp,
        tenant: &str,
        budget: WindowBudget,
        late: bool,
    ) -> UnitResult {
        let window_length = self.window_length;
        let Some((escrow, clock)) = self.in_present_window(now, tenant) else {
            return UnitResult::Exhausted(window_length);
        };
        if clock.is_some() && escrow.spend(now, budget) {
            escrow.waiting = escrow.waiting.saturating_sub(1);
            return UnitResult::Granted;
        }
        let is_exhausted = clock.is_some() && escrow.exhausted == Some(escrow.window);
        if !is_exhausted && !late {
            return UnitResult::Wait;
        }
        escrow.waiting = escrow.waiting.saturating_sub(1);
        UnitResult::Exhausted(clock.map_or(window_length, |clock| clock.remaining(now)))
    }

    /// What is due to be requested of the counter of each shard, under a number. For `tenants` alone, or for all; `may_ask` tells which
    /// shards may be asked now. With the counters `near`, units beyond the usual use are requested when they are needed, and left to
    /// gateways that are far away.
    pub fn due_requests(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        near: bool,
        tenants: Option<&[String]>,
        may_ask: impl Fn(usize) -> bool,
    ) -> BTreeMap<usize, Vec<TenantRequest>> {
        let mut requests: BTreeMap<usize, Vec<TenantRequest>> = BTreeMap::new();
        let clocks = &self.clocks;
        let mut collect = |tenant: &String, escrow: &mut TenantEscrow| {
            if !may_ask(escrow.shard) {
                return;
            }
            let clock = clocks.get(&escrow.counter).copied();
            if let Some(request) = escrow.due_request(tenant, now, clock, number, near) {
                requests.entry(escrow.shard).or_default().push(request);
            }
        };
        match tenants {
            Some(tenants) => {
                for tenant in tenants {
                    if let Some(escrow) = self.tenants.get_mut(tenant) {
                        collect(tenant, escrow);
                    }
                }
            }
            None => self.tenants.iter_mut().for_each(|(tenant, escrow)| collect(tenant, escrow)),
        }
        requests
    }

    /// Forgets tenants without demand, and windows that nothing is held of. `counters` are those that are asked now.
    pub fn expire(&mut self, now: Timestamp, counters: &[CounterIncarnation]) {
        let in_use = |escrow: &TenantEscrow| {
            let is_idle = escrow.demand == 0 && escrow.idle_windows >= MAX_IDLE_WINDOWS;
            !is_idle || escrow.waiting > 0 || escrow.has_pending(now)
        };
        self.tenants.retain(|_, escrow| in_use(escrow));
        let held: HashSet<CounterIncarnation> = self.tenants.values().map(|escrow| escrow.counter).collect();
        self.clocks.retain(|counter, _| held.contains(counter) || counters.contains(counter));
    }

    /// All that is held of a shard, for a counter that does not know it.
    pub fn blocks(&self, now: Timestamp, shard: usize) -> Vec<LeasedBlock> {
        let is_live = |escrow: &TenantEscrow| {
            escrow.shard == shard && (escrow.units > 0 || escrow.spent > 0) && escrow.expires > now
        };
        let block = |(tenant, escrow): (&String, &TenantEscrow)| LeasedBlock {
            tenant: tenant.clone(),
            units: escrow.units,
            spent: escrow.spent,
            remaining: escrow.expires - now,
        };
        self.tenants.iter().filter(|(_, escrow)| is_live(escrow)).map(block).collect()
    }

    /// A counter says, in answer to what was sent at `sent`, where its windows are. False if they are not known well enough to use what
    /// it grants: the answer took too long, and none before was quicker.
    pub fn observe_phase(&mut self, now: Timestamp, sent: Timestamp, phase: WindowPhase) -> bool {
        if now.saturating_sub(sent) > MAX_SKEW {
            return self.clocks.contains_key(&phase.counter);
        }
        let (window, end) = (phase.window, sent + phase.remaining);
        let observed = WindowClock { window, end, length: self.window_length };
        let clock = self.clocks.entry(phase.counter);
        clock.and_modify(|known| *known = known.closer(observed)).or_insert(observed);
        true
    }

    /// Takes what the counter of these windows has granted for a request under `number` that was sent at `sent`. It counts once, and only
    /// while no later request was made.
    pub fn granted(
        &mut self,
        now: Timestamp,
        number: RequestNumber,
        sent: Timestamp,
        request: &TenantRequest,
        phase: WindowPhase,
        grant: &Grant,
    ) {
        let Some(clock) = self.clocks.get(&phase.counter).copied() else { return };
        let Some(escrow) = self.tenants.get_mut(&grant.tenant) else { return };
        if escrow.pending.is_none_or(|pending| pending.number != number) {
            return;
        }
        escrow.pending = None;
        if escrow.counter != phase.counter {
            let previous = self.clocks.get(&escrow.counter).copied();
            escrow.change_counter(now, phase.counter, previous, clock);
        }
        escrow.roll(clock.window(now));
        escrow.was_lowered = grant.units < request.held;
        (escrow.units, escrow.budget, escrow.expires) = (grant.units, grant.budget, sent + BLOCK_LIFETIME);
        // What was granted for a window that has passed is forfeited.
        if phase.window == escrow.window {
            escrow.extra += grant.extra;
            let short = grant.units.saturating_sub(request.held) + grant.extra < request.extra;
            if short && escrow.waiting > 0 {
                escrow.exhausted = Some(escrow.window);
            }
        }
    }

    /// A request under a number had no answer that could be used.
    pub fn request_failed(&mut self, number: RequestNumber, requests: &[TenantRequest]) {
        for request in requests {
            if let Some(escrow) = self.tenants.get_mut(&request.tenant) {
                escrow.pending = escrow.pending.filter(|pending| pending.number != number);
            }
        }
    }

    /// The shard of a tenant that is known.
    pub fn shard(&self, tenant: &str) -> Option<usize> {
        self.tenants.get(tenant).map(|escrow| escrow.shard)
    }

    /// What is held, for the log: of each tenant the units of a window, those spent, the demand, and the life of the block.
    pub fn describe(&self, now: Timestamp) -> String {
        let one = |(tenant, e): (&String, &TenantEscrow)| {
            let left = e.expires.saturating_sub(now) / 1_000;
            format!(
                "{tenant} {}+{}/{} spent {} demand {} mean {:.1} left {left} ms",
                e.units, e.extra, e.budget, e.spent, e.demand, e.mean_demand
            )
        };
        self.tenants.iter().map(one).collect::<Vec<_>>().join("; ")
    }
}
