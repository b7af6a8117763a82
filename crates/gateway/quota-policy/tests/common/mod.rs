//! A scripted host: it hands events to one gateway and keeps what the gateway asks for.
#![allow(dead_code)]

use limeway_quota_policy::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub(crate) const MS: Micros = 1_000;
pub(crate) const S: Micros = 1_000_000;

pub(crate) fn class(effect: Effect, scope: Scope) -> Class {
    Class { aim: S, effect, scope, window: 4 * S, worth: 1.0 }
}

pub(crate) fn plan(rate: f64, burst: f64) -> Plan {
    Plan { rate, burst, open: 0.0, price: 1.0, ceiling_rate: 0.0, ceiling_burst: 0.0, ceiling_slack: 0.0 }
}

pub(crate) fn settings() -> Settings {
    Settings {
        gateways: 2,
        me: 0,
        zone: 0,
        round: 4 * MS,
        ask: false,
        classes: vec![
            class(Effect::Safe, Scope::All),
            class(Effect::Keyed, Scope::All),
            class(Effect::Unsafe, Scope::All),
            class(Effect::Keyed, Scope::Zone),
        ],
        plans: vec![
            plan(4.0, 8.0),
            Plan { ceiling_rate: 8.0, ceiling_burst: 16.0, ceiling_slack: 1.6, ..plan(4.0, 8.0) },
            Plan { open: 2.0, ..plan(0.0, 0.0) },
            plan(0.0, 0.0),
        ],
        max_units: 1.0,
        permissions: Permissions {
            cancel: true,
            second_copies: true,
            max_attempts: 3,
            max_retry_after: S,
            retry_after: true,
            peers: false,
        },
        counter: Some(CounterSettings { limit: 50 * MS }),
        rules: Rules { cold: 10 * S, cold_from: 0.25, fall: S, fall_multiple: 2.0, ask_within: 0 },
    }
}

pub(crate) fn entry(server: ServerId) -> Entry {
    Entry { server, zone: server % 2, cell: 0, state: Lifecycle::Ready, weight: 1.0, started: 0 }
}

/// How the counter of a script behaves.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum CounterMode {
    Answers,
    Silent,
    Refuses,
}

/// One gateway, its timers, its counter, and all it has asked for.
pub(crate) struct Host {
    pub gateway: Gateway,
    pub now: Micros,
    pub timers: Vec<Micros>,
    pub mode: CounterMode,
    /// The counter's totals; scripts of many gateways may give all the same.
    pub counts: Rc<RefCell<BTreeMap<u64, f64>>>,
    pub calls: Vec<(Micros, u64, f64)>,
    pub sends: Vec<(Micros, RequestId, u32, ServerId)>,
    pub tries: BTreeMap<RequestId, u32>,
    pub answers: Vec<(RequestId, Action)>,
    pub all: Vec<Action>,
    /// What a slot's count holds when all gateways have shown themselves; 0 where that is left to those that play.
    pub others: u32,
    slot: Micros,
    /// Servers that answer every attempt after 100 ms.
    pub serve: Vec<ServerId>,
    pending: Vec<(Micros, Event)>,
}

impl Host {
    pub(crate) fn new(settings: Settings, servers: usize) -> Self {
        Host::seeded(settings, servers, 11)
    }

    pub(crate) fn seeded(settings: Settings, servers: usize, seed: u64) -> Self {
        let now = 100 * S;
        let others = if settings.gateways <= 20 { (1 << settings.gateways) - 1 } else { settings.gateways };
        let mut host = Host {
            gateway: Gateway::new(settings.clone(), seed, now),
            now,
            timers: Vec::new(),
            mode: CounterMode::Answers,
            counts: Rc::default(),
            calls: Vec::new(),
            sends: Vec::new(),
            tries: BTreeMap::new(),
            answers: Vec::new(),
            all: Vec::new(),
            others,
            slot: (500 * MS).max(25 * MS * u64::from(settings.gateways)),
            serve: Vec::new(),
            pending: Vec::new(),
        };
        host.list(ListKind::Cached, (0..servers).map(entry).collect());
        host
    }

    pub(crate) fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        self.give(Event::Servers { kind, entries });
    }

    pub(crate) fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            self.all.push(action.clone());
            match action {
                Action::Send { id, server, .. } => {
                    let attempt = self.tries.entry(id).or_insert(0);
                    self.sends.push((self.now, id, *attempt, server));
                    if self.serve.contains(&server) {
                        let outcome = Outcome {
                            id,
                            attempt: *attempt,
                            server,
                            status: Status::Ok,
                            latency: 100 * MS,
                            closed: true,
                            load: Load::default(),
                        };
                        self.pending.push((self.now + 100 * MS, Event::Outcome(outcome)));
                    }
                    *attempt += 1;
                }
                Action::Refuse { id, .. } | Action::Fail { id } => self.answers.push((id, action)),
                Action::Timer { at, .. } => self.timers.push(at),
                Action::Count { name, amount, .. } => {
                    if !self.shows(name) {
                        self.calls.push((self.now, name, amount));
                    }
                    let (after, status) = match self.mode {
                        CounterMode::Answers => (2 * MS, Status::Ok),
                        CounterMode::Silent => (50 * MS, Status::Timeout),
                        CounterMode::Refuses => (2 * MS, Status::ConnectFailed),
                    };
                    let read = amount == 0.0 && self.others > 0 && self.shows(name);
                    let mut counts = self.counts.borrow_mut();
                    let total = counts.entry(name).or_insert(0.0);
                    *total += if status == Status::Ok { amount } else { 0.0 };
                    // A reading of who has shown itself, where the script has it that all others do.
                    let total = if read { f64::from(self.others) } else { *total };
                    let counted = Event::Counted { name, status, total, latency: after };
                    self.pending.push((self.now + after, counted));
                }
                Action::Cancel { .. } | Action::Tell { .. } | Action::Watch | Action::Note { .. } => {}
            }
        }
    }

    /// Whether a count is one on which gateways show themselves.
    pub(crate) fn shows(&self, name: u64) -> bool {
        let slot = self.now / self.slot;
        (slot - 1..=slot).any(|slot| presence_name(slot) == name)
    }

    pub(crate) fn ask(&mut self, id: RequestId, class: usize, plan: usize, left: Micros) {
        let customer = "choir".to_owned();
        self.give(Event::Request(Demand { id, class, plan, customer, left, units: 1.0, doors: 2, first: 0 }));
    }

    pub(crate) fn done(&mut self, id: RequestId, attempt: u32, server: ServerId, status: Status) {
        let (closed, load) = (status == Status::Ok, Load::default());
        let latency = 100 * MS;
        self.give(Event::Outcome(Outcome { id, attempt, server, status, latency, closed, load }));
    }

    /// Lets time pass: timers and answers of the counter come when they are due.
    pub(crate) fn run(&mut self, until: Micros) {
        loop {
            let timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let event = self.pending.iter().map(|p| p.0).min().unwrap_or(Micros::MAX);
            let next = timer.min(event);
            if next > until {
                break;
            }
            self.now = next.max(self.now);
            if event <= timer {
                let at = self.pending.iter().position(|p| p.0 == event).unwrap_or(0);
                let event = self.pending.remove(at).1;
                self.give(event);
            } else {
                let at = self.timers.iter().position(|t| *t == timer).unwrap_or(0);
                self.timers.remove(at);
                self.give(Event::Timer { token: 0 });
            }
        }
        self.now = until;
    }

    pub(crate) fn wait(&mut self, time: Micros) {
        self.run(self.now + time);
    }

    pub(crate) fn sent(&self, id: RequestId) -> Vec<ServerId> {
        self.sends.iter().filter(|s| s.1 == id).map(|s| s.3).collect()
    }

    pub(crate) fn answer(&self, id: RequestId) -> Option<&Action> {
        self.answers.iter().find(|a| a.0 == id).map(|a| &a.1)
    }

    pub(crate) fn refused(&self, id: RequestId) -> bool {
        matches!(self.answer(id), Some(Action::Refuse { .. }))
    }

    pub(crate) fn failed(&self, id: RequestId) -> bool {
        matches!(self.answer(id), Some(Action::Fail { .. }))
    }
}
