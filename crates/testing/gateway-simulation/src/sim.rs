//! Plays a day: the decision module itself, among counters, servers and a network in virtual time.

use crate::judge::{Figures, Finding, Sent};
use crate::schedule::{Fault, Schedule};
use crate::setup::{customer, settings, Customer, BEGIN, CALL_LIMIT, CEILINGS, MAX_UNITS, SPELL};
use crate::{Micros, SECOND};
use limeway_quota_policy::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

/// Way there and back to the counter, and to a server: least and most.
const CALL_TIME: (Micros, Micros) = (1_000, 4_000);
const WORK_TIME: (Micros, Micros) = (5_000, 60_000);
/// How late a message between gateways comes.
const MESSAGE_TIME: (Micros, Micros) = (1_000, 13_000);
/// How long a client waits.
const PATIENCE: Micros = 2 * SECOND;
/// Events of one day at most: beyond it the module runs in circles.
const MAX_EVENTS: usize = 5_000_000;
/// Findings that are kept.
const MAX_FINDINGS: usize = 20;

struct Open {
    customer: usize,
    came: Micros,
    units: f64,
    /// One gateway that sees all would let it in.
    inside: bool,
    attempts: u32,
    answered: bool,
}

struct Node {
    gateway: Gateway,
    life: u32,
    counter: usize,
    cut: bool,
    paused: Micros,
    /// What its clock is ahead by.
    ahead: i64,
}

impl Node {
    /// What its clock says.
    fn own(&self, t: Micros) -> Micros {
        t.saturating_add_signed(self.ahead)
    }
}

#[derive(Default)]
struct Counter {
    totals: HashMap<u64, (f64, Micros)>,
    mode: Mode,
}

#[derive(Default, Clone, Copy)]
enum Mode {
    #[default]
    Well,
    Refuse,
    Silence(bool),
    Slow(Micros),
}

enum Due {
    Arrive(usize),
    Deliver(u32, u32, Event),
    Fault(usize),
    Deadline(RequestId),
}

/// Where a window's budget was passed by most.
#[derive(Debug, Clone, PartialEq)]
pub struct Worst {
    /// When.
    pub t: Micros,
    /// Whose window.
    pub customer: String,
    /// Units of the window.
    pub budget: f64,
    /// The gateways that its requests come in through.
    pub doors: Vec<u32>,
    /// Units beyond.
    pub over: f64,
}

/// What a day brought.
pub struct Played {
    /// Its figures.
    pub figures: Figures,
    /// What was found to be wrong with the ordinary rules and ceilings.
    pub findings: Vec<Finding>,
    /// The worst overshoot, if there is one.
    pub worst: Option<Worst>,
    /// What gateways said of the counter: when, which, what.
    pub notes: Vec<(Micros, u32, String)>,
}

struct Sim<'a> {
    day: &'a Schedule,
    guards: Guards,
    rng: ChaCha8Rng,
    now: Micros,
    queue: BTreeMap<(Micros, u64), Due>,
    number: u64,
    nodes: Vec<Node>,
    counters: [Counter; 2],
    apart: Vec<(u32, u32)>,
    customers: Vec<Customer>,
    settings: Settings,
    open: HashMap<RequestId, (u32, Open)>,
    last_id: RequestId,
    played: Played,
}

/// Plays a day.
pub fn play(day: &Schedule) -> Played {
    play_with(day, Guards::ALL)
}

/// Plays a day with some of the guards only.
pub fn play_with(day: &Schedule, guards: Guards) -> Played {
    let mut sim = Sim::new(day, guards);
    sim.run();
    sim.played
}

impl<'a> Sim<'a> {
    fn new(day: &'a Schedule, guards: Guards) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(day.seed);
        let settings = settings(day.gateways, CEILINGS[(day.seed % CEILINGS.len() as u64) as usize]);
        let customers = (0..day.customers).map(|n| customer(n, day.gateways, &settings, &mut rng)).collect();
        let figures = Figures { days: 1, worst_seed: day.seed, ..Figures::default() };
        let mut sim = Sim {
            day,
            guards,
            rng,
            now: BEGIN,
            queue: BTreeMap::new(),
            number: 0,
            nodes: Vec::new(),
            counters: Default::default(),
            apart: Vec::new(),
            customers,
            settings,
            open: HashMap::new(),
            last_id: 0,
            played: Played { figures, findings: Vec::new(), worst: None, notes: Vec::new() },
        };
        for me in 0..day.gateways {
            let ahead = day.faults.iter().find_map(|f| match f {
                (0, Fault::Clock(gateway, ahead)) if *gateway == me => Some(*ahead),
                _ => None,
            });
            let ahead = ahead.unwrap_or(0);
            let gateway = sim.gateway(me, ahead);
            sim.nodes.push(Node { gateway, life: 0, counter: 0, cut: false, paused: 0, ahead });
            sim.list(me);
        }
        for at in 0..sim.customers.len() {
            sim.arrive_next(at);
        }
        for (number, (t, _)) in day.faults.iter().enumerate() {
            sim.due(BEGIN + t, Due::Fault(number));
        }
        sim
    }

    fn gateway(&mut self, me: u32, ahead: i64) -> Gateway {
        let settings = Settings { me, ..self.settings.clone() };
        let now = self.now.saturating_add_signed(ahead);
        let mut gateway = Gateway::with_guards(settings, self.rng.random(), now, self.guards);
        gateway.lease_ahead(self.day.ahead);
        gateway
    }

    /// Tells a gateway of the servers, as at each start.
    fn list(&mut self, me: u32) {
        let entries = (0..4)
            .map(|server| Entry {
                server,
                zone: 0,
                cell: 0,
                state: Lifecycle::Ready,
                weight: 1.0,
                started: 0,
            })
            .collect();
        let life = self.nodes[me as usize].life;
        self.due(self.now, Due::Deliver(me, life, Event::Servers { kind: ListKind::Full, entries }));
    }

    fn due(&mut self, at: Micros, due: Due) {
        self.number += 1;
        self.queue.insert((at, self.number), due);
    }

    fn between(&mut self, (least, most): (Micros, Micros)) -> Micros {
        self.rng.random_range(least..=most)
    }

    fn find(&mut self, what: String) {
        if self.played.findings.len() < MAX_FINDINGS {
            self.played.findings.push(Finding { t: self.now - BEGIN, what });
        }
    }

    fn run(&mut self) {
        let end = BEGIN + self.day.length + 2 * PATIENCE;
        let mut events = 0;
        while let Some(((at, _), due)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            events += 1;
            if events > MAX_EVENTS {
                self.find(format!("more than {MAX_EVENTS} events"));
                break;
            }
            self.now = at;
            match due {
                Due::Arrive(customer) => self.arrive(customer),
                Due::Fault(number) => self.fault(self.day.faults[number].1),
                Due::Deadline(id) => {
                    // A gateway that stood still answers when it wakes.
                    let still = |at: u32| self.nodes[at as usize].paused + PATIENCE > self.now;
                    let open = self.open.remove(&id);
                    if open.is_some_and(|(at, open)| !open.answered && !still(at)) {
                        self.find(format!("request {id} has no answer at its deadline"));
                    }
                }
                Due::Deliver(to, life, event) => self.deliver(to, life, event),
            }
        }
        self.played.figures.failed = usize::from(!self.played.findings.is_empty());
        self.verdicts();
    }

    /// How long limiters took to find out, and to be back on the ordinary path.
    fn verdicts(&mut self) {
        let mut faults = self.day.faults.iter().filter(|f| f.1.of_counter()).map(|f| f.0);
        let Some(first) = faults.next() else { return };
        let last = faults.next_back().unwrap_or(first);
        let Played { figures, notes, .. } = &mut self.played;
        // A verdict that only says that it is slow bounds nothing.
        let ordinary = |text: &str| text.ends_with(" -> well") || text.ends_with(" -> slow");
        for gateway in 0..self.day.gateways {
            let own = || notes.iter().filter(|n| n.1 == gateway && n.0 >= first);
            let Some(found) = own().find(|n| !ordinary(&n.2)) else { continue };
            figures.found.once(found.0 - first);
            if let Some(back) = own().find(|n| n.0 >= last && ordinary(&n.2)) {
                figures.back.once(back.0 - last);
            }
        }
    }

    fn arrive_next(&mut self, at: usize) {
        let part: f64 = self.rng.random();
        let gap = -(1.0 - part).ln() / self.customers[at].asks;
        let mut t = self.now + (gap * SECOND as f64) as Micros;
        let into = (t - BEGIN) % SPELL;
        if self.customers[at].spells && into >= SECOND {
            t += SPELL - into;
        }
        if t < BEGIN + self.day.length {
            self.due(t, Due::Arrive(at));
        }
    }

    fn arrive(&mut self, at: usize) {
        self.arrive_next(at);
        let units = f64::from(self.rng.random_range(1..=MAX_UNITS));
        let (chance, other): (f64, u32) = (self.rng.random(), self.rng.random());
        let gateways = self.day.gateways;
        let c = &mut self.customers[at];
        let door = c.door.unwrap_or(if chance < c.lean { 0 } else { 1 + other % (c.doors - 1).max(1) });
        let to = (c.first + door % c.doors) % gateways;
        let inside = c.account.asks(self.now, units);
        let f = &mut self.played.figures;
        f.requests += 1;
        f.inside += usize::from(inside);
        f.groups[c.group].inside += if inside { units } else { 0.0 };
        self.last_id += 1;
        let id = self.last_id;
        let demand = Demand {
            id,
            class: (other % 2) as usize,
            plan: c.plan,
            customer: c.name.clone(),
            left: PATIENCE,
            units,
            doors: c.doors,
            first: c.first,
        };
        let open = Open { customer: at, came: self.now, units, inside, attempts: 0, answered: false };
        self.open.insert(id, (to, open));
        // A few milliseconds for the module's own last word.
        self.due(self.now + PATIENCE + 5_000, Due::Deadline(id));
        let life = self.nodes[to as usize].life;
        self.due(self.now, Due::Deliver(to, life, Event::Request(demand)));
    }

    fn deliver(&mut self, to: u32, life: u32, event: Event) {
        let node = &mut self.nodes[to as usize];
        if node.life != life {
            return;
        }
        if node.paused > self.now {
            let at = node.paused;
            return self.due(at, Due::Deliver(to, life, event));
        }
        let mut actions = Vec::new();
        let own = node.own(self.now);
        node.gateway.handle(own, event, &mut actions);
        for action in actions {
            self.act(to, life, action);
        }
    }

    fn act(&mut self, of: u32, life: u32, action: Action) {
        match action {
            Action::Send { id, server, .. } => self.send(of, life, id, server),
            Action::Refuse { id, .. } | Action::Fail { id } => self.answer(id),
            Action::Timer { at, token } => {
                let at = at.saturating_add_signed(-self.nodes[of as usize].ahead);
                self.due(at.max(self.now + 1), Due::Deliver(of, life, Event::Timer { token }));
            }
            Action::Count { name, amount, ttl } => self.count(of, life, name, amount, ttl),
            Action::Tell { peer, data } => self.tell(of, peer, data),
            Action::Note { text } => {
                if self.played.notes.len() < 10_000 {
                    self.played.notes.push((self.now - BEGIN, of, text));
                }
            }
            // Nothing is cancelled in time here, and the list never changes.
            Action::Cancel { .. } | Action::Watch => {}
        }
    }

    fn answer(&mut self, id: RequestId) {
        match self.open.get_mut(&id) {
            Some((_, open)) if !open.answered => open.answered = true,
            Some(_) => self.find(format!("request {id} is answered twice")),
            // After its deadline.
            None => {}
        }
    }

    fn send(&mut self, of: u32, life: u32, id: RequestId, server: ServerId) {
        let Some((_, open)) = self.open.get_mut(&id) else { return };
        if open.answered {
            return self.find(format!("request {id} is sent after its answer"));
        }
        let (number, inside, units, customer) = (open.attempts, open.inside, open.units, open.customer);
        let (at_once, own) = (open.came == self.now, self.nodes[of as usize].own(self.now));
        open.attempts += 1;
        // Its good answer will go to the client by itself.
        open.answered = true;
        if number == 0 {
            let c = &mut self.customers[customer];
            let Sent { over, nearest, passed } = c.account.sends(self.now, own, units);
            let (budget, doors, group) = (c.account.budget(), f64::from(c.doors), c.group);
            let f = &mut self.played.figures;
            f.sent += 1;
            f.at_once += usize::from(at_once);
            f.sent_inside += usize::from(inside);
            f.groups[group].sent += units;
            f.groups[group].sent_inside += if inside { units } else { 0.0 };
            f.units += units;
            f.beyond += over.clamp(0.0, units);
            if over > f.overshoot_units {
                f.overshoot_units = over;
                let c = &self.customers[customer];
                self.played.worst = Some(Worst {
                    t: self.now - BEGIN,
                    customer: c.name.clone(),
                    budget,
                    doors: (0..c.doors).map(|n| (c.first + n) % self.day.gateways).collect(),
                    over,
                });
            }
            f.overshoot = f.overshoot.max((over - doors * f64::from(MAX_UNITS)) / budget);
            f.ceiling = f.ceiling.max(nearest);
            if passed {
                let name = self.customers[customer].name.clone();
                self.find(format!("customer {name} passes its ceiling: {nearest:.2} of its burst drawn"));
            }
        }
        let took = self.between(WORK_TIME);
        let outcome = Outcome {
            id,
            attempt: number,
            server,
            status: Status::Ok,
            latency: took,
            closed: true,
            load: Load::default(),
        };
        self.due(self.now + took, Due::Deliver(of, life, Event::Outcome(outcome)));
    }

    fn tell(&mut self, from: u32, to: u32, data: Vec<u8>) {
        self.played.figures.messages += 1;
        // Kinds 0 to 2 ask a customer's home and answer.
        self.played.figures.words += usize::from(data.first().is_some_and(|kind| *kind > 2));
        if data.len() > 256 {
            self.find(format!("a message of {} bytes", data.len()));
        }
        let apart = self.apart.contains(&(from.min(to), from.max(to)));
        let lost = self.rng.random::<f64>() < self.day.loss;
        let late = self.between(MESSAGE_TIME);
        if !apart && !lost && to < self.day.gateways {
            // Whoever lives there when it comes reads it.
            let life = self.nodes[to as usize].life;
            self.due(self.now + late, Due::Deliver(to, life, Event::Peer { from, data }));
        }
    }

    fn count(&mut self, of: u32, life: u32, name: u64, amount: f64, ttl: Micros) {
        self.played.figures.counts += 1;
        let (node, took) = (&self.nodes[of as usize], self.rng.random_range(CALL_TIME.0..=CALL_TIME.1));
        let (cut, now) = (node.cut, self.now);
        let counter = &mut self.counters[node.counter];
        let mut add = || {
            let total = counter.totals.entry(name).or_insert((0.0, now + ttl));
            if total.1 <= now {
                *total = (0.0, now + ttl);
            }
            total.0 += amount;
            total.0
        };
        let (status, total, took) = match counter.mode {
            _ if cut => (Status::Timeout, 0.0, CALL_LIMIT),
            Mode::Well => (Status::Ok, add(), took),
            Mode::Refuse => (Status::ConnectFailed, 0.0, took),
            Mode::Silence(adds) => {
                if adds {
                    add();
                }
                (Status::Timeout, 0.0, CALL_LIMIT)
            }
            Mode::Slow(late) if took + late < CALL_LIMIT => (Status::Ok, add(), took + late),
            Mode::Slow(_) => {
                add();
                (Status::Timeout, 0.0, CALL_LIMIT)
            }
        };
        let event = Event::Counted { name, status, total, latency: took };
        self.due(now + took, Due::Deliver(of, life, event));
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Refuse(n) => self.counters[n].mode = Mode::Refuse,
            Fault::Silence { counter, adds } => self.counters[counter].mode = Mode::Silence(adds),
            Fault::Slow(n, late) => self.counters[n].mode = Mode::Slow(late),
            Fault::Well(n) => self.counters[n].mode = Mode::Well,
            Fault::Empty(n) => self.counters[n].totals.clear(),
            Fault::Use(gateway, n) => self.node(gateway, |node| node.counter = n),
            Fault::Cut(gateway, cut) => self.node(gateway, |node| node.cut = cut),
            Fault::Pause(gateway, time) => {
                let until = self.now + time;
                self.node(gateway, |node| node.paused = until);
            }
            Fault::Apart(a, b, apart) => {
                let pair = (a.min(b), a.max(b));
                self.apart.retain(|p| *p != pair);
                if apart {
                    self.apart.push(pair);
                }
            }
            Fault::Door(customer, door) => {
                if let Some(c) = self.customers.get_mut(customer) {
                    c.door = Some(door);
                }
            }
            Fault::Restart(gateway) if gateway < self.day.gateways => {
                let new = self.gateway(gateway, self.nodes[gateway as usize].ahead);
                let node = &mut self.nodes[gateway as usize];
                (node.gateway, node.life, node.paused) = (new, node.life + 1, 0);
                // What it held is its clients' to repeat.
                self.open.retain(|_, (at, _)| *at != gateway);
                self.list(gateway);
            }
            // A process's clock never steps: an offset holds from its start on.
            Fault::Restart(_) | Fault::Clock(..) => {}
        }
    }

    fn node(&mut self, gateway: u32, change: impl FnOnce(&mut Node)) {
        if let Some(node) = self.nodes.get_mut(gateway as usize) {
            change(node);
        }
    }
}
