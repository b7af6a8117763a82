//! Every decision of the gateway; its interface is `src/interface.rs`, its plain state types `src/state.rs`.
//!
//! Here are the figures, the state and what an event leads to; the decisions stand by concern in `escrow`,
//! `neighbours`, `servers` and `attempts`.

mod attempts;
mod escrow;
mod neighbours;
mod servers;

use crate::homes::{self, Homes};
use crate::interface::*;
use crate::state::*;
use attempts::set_alarm;
use escrow::note;
use limeway_call_pacing::{Bucket, Pacer};
use limeway_counter_recovery::{standing::Doors, word, Answer, Count, Guards, Recovery, State, Verdict};
use limeway_lease_sizing::TenantWindow;
use limeway_slow_start::Start;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between two sweeps while anything is held, in microseconds: fine beside aims of some 100 ms.
const SWEEP: Micros = 10_000;
/// Gap between sweeps, in microseconds, that is a standstill of its own: far above a tick.
const STALL: Micros = 200_000;
/// Shortest window, in microseconds: below this, calls to the counter would outnumber requests.
const MIN_WINDOW: Micros = 500_000;
/// Longest window, in microseconds: a count's name lives 60 s at most, and twice the window must fit.
const MAX_WINDOW: Micros = 25_000_000;
/// Time for which an idle customer is remembered, in microseconds: its store is full again by then.
const REMEMBER: Micros = 50_000_000;
/// Debts to a counter that lost its numbers that one sweep looks at: the pace of calls bounds them too.
const OWING: usize = 16;
/// Time since the last lost call to the counter from which on units are leased ahead, in microseconds.
const SOUND: Micros = 2_000_000;
/// Share of its aim that a request waits for the counter or the ceiling before it is refused.
const PATIENCE: f64 = 0.4;
/// Longest time for which a home says that it has nothing, in microseconds: who waits asks again then.
const HOME_DENIES: Micros = 1_000_000;
/// Share of a window's budget that a home leases at once: it spends for all doors, so little is forfeit.
const HOME_LEASE: f64 = 0.5;
/// Even split of a window's budget, in units, below which a home leases: single units are not worth a call.
const HOME_SPLIT: f64 = 2.0;
/// Weight of a new latency in a mean: some ten answers make it up.
const LEARN: f64 = 0.1;
/// Requests out at a server from all gateways together, at first: a fleet driven too hard is slow to recover.
const LIMIT_FIRST: f64 = 8.0;
/// Share of the first limit below which a limit is never cut: slow answers at so little are not our queue.
const MIN_LIMIT: f64 = 0.5;
/// Share of the aim that a server's mean latency may take before its limit falls: the tail is many times it.
const BUSY: f64 = 0.2;
/// Factor on a limit when it proves too much, at most.
const CUT: f64 = 0.9;
/// Share of the aim between two cuts of a limit: what was sent before the last cut has its say first.
const CUT_EVERY: f64 = 0.25;
/// Share of the aim for the mean over all servers: few answers, of uneven work, make it up.
const ROOM_BUSY: f64 = 0.3;
/// Growth of the bound on all that is out, in requests, with each fast answer while it is used.
const ROOM_GROW: f64 = 0.25;
/// Mean latencies without any answer after which a server counts as silent: base, and per request out.
const SILENCE: (f64, f64) = (2.0, 6.0);
/// Time for which a suspect server gets nothing, in microseconds: at first, and at most after doubling.
const EJECT: (Micros, Micros) = (1_000_000, 8_000_000);
/// Failures in a row that make a server suspect.
const FAILURES: u32 = 3;
/// Further attempts for each first attempt, and the most saved up.
const RETRIES: (f64, f64) = (0.1, 10.0);
/// Time constant of the rate of sends, in microseconds.
const RATE_SPAN: f64 = 2_000_000.0;
/// Mean latency before anything is known, as a share of the aim.
const LATENCY_FIRST: f64 = 0.2;
/// Sweeps left before the deadline when the final answer is given.
const MARGIN: u64 = 2;

/// The decisions of one gateway.
pub struct Gateway {
    set: Settings,
    now: Micros,
    born: Micros,
    woke: Micros,
    random: u64,
    sweep_at: Micros,
    watch_at: Micros,
    servers: Vec<Option<Server>>,
    customers: BTreeMap<u64, Customer>,
    /// Customers for which something waits, and when idle ones are forgotten.
    holding: BTreeSet<u64>,
    forget: BTreeSet<(Micros, u64)>,
    calls: BTreeMap<u64, Call>,
    counter: Pacer,
    /// What is known of the counter's history, the name that shows this gateway to the others while a call to
    /// it is out, and customers with credit spent that the counter does not know of.
    recovery: Recovery,
    /// Units are leased ahead of need.
    leases_ahead: bool,
    showing: Option<u64>,
    indebted: BTreeSet<u64>,
    /// Questions to homes by the time they are due, and homes that did not answer.
    asks: BTreeSet<(Micros, u64)>,
    homes: Homes,
    requests: BTreeMap<RequestId, Request>,
    ready: BTreeSet<(u64, u64, RequestId)>,
    alarms: BTreeSet<(Micros, RequestId)>,
    latency: Vec<f64>,
    /// Bound on all that is out, mean latency over the aim, and the last cut of the bound.
    room: f64,
    busy: f64,
    cut_at: Micros,
    retries: f64,
    rate: f64,
    rate_at: Micros,
    arrivals: u64,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let talks = settings.permissions.peers;
        let windows = settings.plans.iter().map(|p| Windows::keyed(p, settings.max_units, 0).length);
        let longest = windows.max().unwrap_or_default();
        let recovery = Recovery::new(settings.me, settings.gateways, talks, longest, now);
        let latency = settings.classes.iter().map(|c| c.aim as f64 * LATENCY_FIRST).collect();
        let chance = (seed % 1_000) as f64 / 1_000.0;
        let counter = Pacer::new(settings.gateways, settings.counter.is_some(), chance, now);
        Gateway {
            set: settings,
            now,
            born: now,
            woke: 0,
            random: seed | 1,
            sweep_at: 0,
            watch_at: Micros::MAX,
            servers: Vec::new(),
            customers: BTreeMap::new(),
            holding: BTreeSet::new(),
            forget: BTreeSet::new(),
            asks: BTreeSet::new(),
            homes: Homes::default(),
            calls: BTreeMap::new(),
            counter,
            recovery,
            leases_ahead: false,
            showing: None,
            indebted: BTreeSet::new(),
            requests: BTreeMap::new(),
            ready: BTreeSet::new(),
            alarms: BTreeSet::new(),
            latency,
            room: f64::INFINITY,
            busy: BUSY,
            cut_at: 0,
            retries: RETRIES.1,
            rate: 0.0,
            rate_at: now,
            arrivals: 0,
        }
    }

    /// The same with some guards against a lost counter only, to test what each is for.
    pub fn with_guards(settings: Settings, seed: u64, now: Micros, guards: Guards) -> Self {
        let gateway = Self::new(settings, seed, now);
        Gateway { recovery: gateway.recovery.clone().with(guards), ..gateway }
    }

    /// Leases units ahead of need from now on, or not; it does not unless told to.
    pub fn lease_ahead(&mut self, on: bool) {
        self.leases_ahead = on;
    }

    /// Takes one event; what is to be done about it is added to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        // A gap between sweeps is its own standstill: what it finds on waking tells nothing of the others.
        self.woke = if now > self.sweep_at + STALL { now } else { self.woke };
        match event {
            Event::Servers { kind, entries } => self.on_servers(kind, entries, out),
            Event::Request(demand) => self.on_request(demand, out),
            Event::Timer { .. } => self.sweep(out),
            Event::Outcome(outcome) => self.on_outcome(&outcome, out),
            Event::Started { id, attempt } => self.on_started(id, attempt, out),
            Event::Gone { id } => self.close(id, out),
            Event::Counted { name, status, total, latency } => {
                self.on_counted(name, status, total, latency, out);
            }
            Event::Peer { from, data } => self.on_peer(from, &data, out),
            Event::Probed { .. } => {}
        }
        self.dispatch(out);
        // Also one that is idle shows itself to the others.
        let idle = self.requests.is_empty() && self.customers.is_empty();
        let shows = self.recovery.guards().leave && self.set.counter.is_some() && self.set.gateways > 1;
        let soon = now + SWEEP.max(self.set.round);
        let next = if idle && !self.recovery.in_trouble() { self.recovery.next(now).max(soon) } else { soon };
        if (self.sweep_at <= now || next < self.sweep_at) && (shows || !idle) {
            self.sweep_at = next;
            out.push(Action::Timer { at: next, token: 0 });
        }
    }

    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.random >> 33
    }

    fn sweep(&mut self, out: &mut Vec<Action>) {
        if self.watch_at <= self.now {
            self.watch_at = Micros::MAX;
            out.push(Action::Watch);
        }
        if self.woke != self.now {
            self.check_silence();
            self.check_homes();
        }
        while let Some(&(at, id)) = self.alarms.first().filter(|a| a.0 <= self.now) {
            self.alarms.remove(&(at, id));
            self.on_alarm(id, out);
        }
        // Debts to a counter that has lost its numbers, and credit that it does not know of, go before new
        // leases, also where nothing waits.
        let mut owing = self.recovery.owing(self.now, OWING);
        if !self.recovery.in_trouble() {
            let (now, customers) = (self.now, &mut self.customers);
            self.indebted.retain(|key| {
                let Some(c) = customers.get_mut(key) else { return false };
                c.roll(c.window_at(now).0);
                c.owed > 0.0
            });
            owing.extend(self.indebted.iter().take(OWING));
        }
        for key in owing {
            self.lease(key, out);
        }
        self.show(out);
        // From a random place on, so that a counter that takes few calls serves all customers alike.
        let from = self.draw() as usize % self.holding.len().max(1);
        let held: Vec<u64> = self.holding.iter().copied().collect();
        for at in 0..held.len() {
            self.settle(held[(from + at) % held.len()], out);
        }
        while let Some(&(at, key)) = self.forget.first().filter(|f| f.0 <= self.now) {
            self.forget.remove(&(at, key));
            let Some(c) = self.customers.get(&key) else { continue };
            let plan = &self.set.plans[c.plan];
            let full = (self.now - c.ceiling.at) as f64 * SECOND * plan.ceiling_rate >= plan.ceiling_burst;
            let idle = self.now >= c.seen + REMEMBER && !c.calling && c.waiting.is_empty() && c.open == 0.0;
            if full && idle {
                self.customers.remove(&key);
                continue;
            }
            self.forget.insert((self.now.max(c.seen) + REMEMBER, key));
        }
    }
}

/// The windows in which a customer's use is counted: their length, their shift, and the units of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Windows {
    /// Length, in microseconds.
    pub length: Micros,
    /// Window `n` begins at `n * length - phase`.
    pub phase: Micros,
    /// Units of one that may be leased.
    pub budget: f64,
    /// Units that the quota holds in one: what is beyond the budget has a split of the ceiling.
    pub reach: f64,
}
