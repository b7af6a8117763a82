//! Plays a day: the decision module itself, among counters, servers and a network in virtual time.

use crate::judge::{Account, Figures, Finding, Quota, Sent, BEYOND, CLOSE};
use crate::schedule::{Fault, Schedule};
use crate::{Micros, SECOND};
use limeway_quota_policy::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

/// Time after which a call to the counter is given up.
const CALL_LIMIT: Micros = 80_000;
/// Way there and back to the counter, and to a server: least and most.
const CALL_TIME: (Micros, Micros) = (1_000, 4_000);
const WORK_TIME: (Micros, Micros) = (5_000, 60_000);
/// How late a message between gateways comes.
const MESSAGE_TIME: (Micros, Micros) = (1_000, 13_000);
/// How long a client waits.
const PATIENCE: Micros = 2 * SECOND;
/// Units of the largest request.
const MAX_UNITS: u32 = 2;
/// From one spell of a customer that asks in spells to the next.
const SPELL: Micros = 4 * SECOND;
/// Events of one day at most: beyond it the module runs in circles.
const MAX_EVENTS: usize = 5_000_000;
/// The time at which a day begins: the module's clock is far from 0.
const BEGIN: Micros = 1_000 * SECOND;
/// Findings that are kept.
const MAX_FINDINGS: usize = 20;

struct Customer {
    name: String,
    plan: usize,
    first: u32,
    doors: u32,
    /// Requests a second.
    asks: f64,
    /// Part of its requests that comes through its first door; the others share the rest.
    lean: f64,
    /// Asks for one second in [`SPELL`] only, and then through all its doors alike: its quota and its ceiling have filled
    /// up by then, and are drawn on at once.
    spells: bool,
    /// All come through this door, by a fault.
    door: Option<u32>,
    account: Account,
    /// Within its quota, close to it, or far beyond it.
    group: usize,
}

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

/// Ceilings over quotas that days draw from. With those under 1 the ceiling binds before the quota does, so that
/// customers press it; the last is as sites have it.
const CEILINGS: [f64; 3] = [0.6, 2.0, 2.0];

/// A plan of one or two units a window, two usual ones, and one with a ceiling.
fn plans(ceiling: f64) -> Vec<Plan> {
    let plan = |rate: f64, burst: f64, ceiling: f64| Plan {
        rate,
        burst,
        open: 0.0,
        price: 1.0,
        ceiling_rate: rate * ceiling,
        ceiling_burst: burst * ceiling,
        ceiling_slack: 0.1 * burst * ceiling,
    };
    vec![
        plan(0.4, 1.0, 0.0),
        plan(1.3, 5.0, 0.0),
        plan(4.0, 16.0, 0.0),
        plan(16.0, 32.0, ceiling),
        plan(16.0, 32.0, ceiling),
    ]
}

fn settings(gateways: u32, ceiling: f64) -> Settings {
    let class = |effect, window| Class { aim: 500_000, effect, scope: Scope::All, window, worth: 1.0 };
    Settings {
        gateways,
        me: 0,
        zone: 0,
        round: 4_000,
        ask: false,
        classes: vec![class(Effect::Safe, 0), class(Effect::Keyed, 8 * SECOND)],
        plans: plans(ceiling),
        max_units: f64::from(MAX_UNITS),
        permissions: Permissions {
            cancel: true,
            second_copies: false,
            max_attempts: 3,
            max_retry_after: SECOND,
            retry_after: true,
            peers: true,
        },
        counter: Some(CounterSettings { limit: CALL_LIMIT }),
        rules: Rules {
            cold: 10 * SECOND,
            cold_from: 0.2,
            fall: 2 * SECOND,
            fall_multiple: 4.0,
            ask_within: 0,
        },
    }
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

fn customer(number: usize, gateways: u32, settings: &Settings, rng: &mut ChaCha8Rng) -> Customer {
    let plan = rng.random_range(0..settings.plans.len());
    let p = &settings.plans[plan];
    let name = format!("{:016x}", rng.random::<u64>() >> 31);
    let windows = Windows::of(p, settings.max_units, &name, plan);
    let mean = f64::from(1 + MAX_UNITS) / 2.0;
    let group = 2 - number % 3;
    let times = match group {
        BEYOND => rng.random_range(2.0..6.0),
        CLOSE => rng.random_range(0.85..1.0),
        _ => rng.random_range(0.2..0.6),
    };
    let ceiling = if p.ceiling_rate > 0.0 {
        // As the site words it: a tenth of the burst or the largest request, and what 150 ms bring.
        let slack = (0.1 * p.ceiling_burst).max(f64::from(MAX_UNITS)) + 0.15 * p.ceiling_rate;
        (p.ceiling_rate, p.ceiling_burst, slack)
    } else {
        (0.0, 0.0, 0.0)
    };
    // Under a ceiling less is leased of a window than the quota allows.
    let Windows { length, phase, reach: budget, .. } = windows;
    let quota = Quota { rate: p.rate, burst: p.burst, window: length, phase, budget, ceiling };
    let mut account = Account::new(quota);
    // The account's clock begins with the day's.
    account.asks(BEGIN, 0.0);
    let spells = group == BEYOND && rng.random();
    let (first, doors) = (rng.random_range(0..gateways), rng.random_range(2.min(gateways)..=gateways));
    let lean = rng.random_range(0.3..1.0);
    Customer {
        name,
        plan,
        first,
        doors,
        asks: p.rate / mean * times * if spells { 2.0 } else { 1.0 },
        lean: if spells { 1.0 / f64::from(doors) } else { lean },
        spells,
        door: None,
        account,
        group,
    }
}
