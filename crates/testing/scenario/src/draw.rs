//! Draws a day of a scenario: the same to the byte for the same scenario and seed.

use crate::day::*;
use crate::error::ScenarioError;
use crate::file::{Effect, Scenario, Span};
use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};
use std::collections::HashSet;

/// Most first tries of a day: what the kit's memory bears.
pub(crate) const MAX_ARRIVALS: usize = 5_000_000;
/// Most customers of a day.
pub(crate) const MAX_CUSTOMERS: usize = 200_000;
/// What a customer that uses nearly all asks for, as a share of its rate.
const FULL_USE: (f64, f64) = (0.88, 0.98);
/// Longest single piece of work, as a multiple of its class's mean: a tail without end would make a day of few.
const MAX_WORK: f64 = 20.0;
/// Spread of the work of two attempts of one try.
const ATTEMPT_NOISE: (f64, f64) = (0.1, 0.4);

/// What a stream of random numbers is for: each has its own, so that one more draw here moves nothing there.
#[derive(Clone, Copy)]
enum Of {
    Fleet = 1,
    Customers,
    Arrivals,
    Services,
}

fn stream(seed: u64, of: Of, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream((of as u64) << 40 | number);
    rng
}

fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

impl Span {
    fn draw(self, rng: &mut ChaCha8Rng) -> f64 {
        let part: f64 = rng.random();
        self.0 + (self.1 - self.0) * part
    }

    fn micros(self, rng: &mut ChaCha8Rng) -> Micros {
        micros(self.draw(rng))
    }
}

/// Draws a day.
///
/// # Errors
/// The scenario makes no sense, or holds more than the kit can play; the error names the key.
pub fn draw(scenario: &Scenario, seed: u64) -> Result<Day, ScenarioError> {
    scenario.check()?;
    let rng = &mut stream(seed, Of::Fleet, 0);
    let fleet = &scenario.fleet;
    let nodes: Vec<NodeSpec> = (0..fleet.nodes).map(|n| node(scenario, n, rng)).collect();
    let classes: Vec<(f64, f64)> =
        scenario.class.iter().map(|c| (c.work_ms.draw(rng) * 1e3, c.uneven.draw(rng))).collect();
    let most_units = f64::from(most_units(scenario));
    let plans: Vec<PlanFigures> = scenario
        .plan
        .iter()
        .map(|p| {
            let rate = p.rate.draw(rng);
            // A store that holds less than the largest requests would refuse these for ever.
            let least = most_units * if p.ceiling.is_some() { 4.0 } else { 2.0 };
            let burst = (rate * p.burst_seconds.draw(rng)).max(least);
            let times = p.ceiling.map_or(0.0, |c| c.draw(rng));
            let slack = if times > 0.0 { (p.ceiling_slack * burst * times).max(most_units) } else { 0.0 };
            PlanFigures {
                rate,
                burst,
                ceiling_rate: rate * times,
                ceiling_burst: burst * times,
                ceiling_slack: slack,
            }
        })
        .collect();
    let services = services(scenario, seed);
    let capacity: f64 = nodes.iter().map(NodeSpec::capacity).sum::<f64>() * 1e6;
    let shares: f64 = scenario.class.iter().map(|c| c.share).sum();
    let mean = |of: &dyn Fn(usize) -> f64| -> f64 {
        (0..classes.len()).map(|c| scenario.class[c].share / shares * of(c)).sum()
    };
    let work = mean(&|c| classes[c].0);
    let units = mean(&|c| f64::from(scenario.class[c].units[0] + scenario.class[c].units[1]) / 2.0);
    // Units a second inside the quotas that make the wanted work.
    let inside = scenario.load.inside.draw(rng);
    let wanted = inside * capacity / work * units;
    let customers = customers(scenario, seed, &plans, wanted)?;
    let mut events: Vec<Event> = Vec::new();
    for (at, entry) in scenario.event.iter().enumerate() {
        let what = What::read(scenario, entry)
            .map_err(|(key, reason)| ScenarioError { key: format!("event[{at}].{key}"), reason })?;
        events.push(Event { at: micros(entry.at), lasts: micros(entry.seconds), what });
    }
    events.sort_by_key(|e| e.at);
    let mut day = Day {
        scenario: scenario.clone(),
        seed,
        length: micros(scenario.seconds),
        nodes,
        inside,
        quotas: customers.iter().map(|c| plans[c.plan].rate).sum::<f64>() / units * work / capacity,
        plans,
        customers,
        arrivals: Vec::new(),
        events,
        services,
    };
    arrivals(&mut day, &classes, units)?;
    Ok(day)
}

/// Units of the largest request.
pub(crate) fn most_units(scenario: &Scenario) -> u32 {
    scenario.class.iter().map(|c| c.units[1]).max().unwrap_or(1)
}

fn node(scenario: &Scenario, number: u32, rng: &mut ChaCha8Rng) -> NodeSpec {
    let f = &scenario.fleet;
    let cores = f64::from(f.cores);
    NodeSpec {
        room: number % f.rooms,
        cores: f.cores,
        speed: f.speed.draw(rng),
        slots: (f.slots_per_core.draw(rng) * cores).round() as usize,
        queue: (f.queue_per_core.draw(rng) * cores).round() as usize,
        thrash: f.thrash.draw(rng),
        thrash_at: f.thrash_at.draw(rng),
        cold_from: f.cold_from.draw(rng),
        cold_us: f.cold_seconds.micros(rng),
        error_share: f.error_share.draw(rng),
        handshake_us: micros(f.handshake_ms.draw(rng) / 1e3),
        connections: (f.connections_per_core.draw(rng) * cores).round() as usize,
        idle_us: f.idle_seconds.micros(rng),
    }
}

fn services(scenario: &Scenario, seed: u64) -> Services {
    let rng = &mut stream(seed, Of::Services, 0);
    let (c, p) = (&scenario.counter, &scenario.peers);
    let parts = c.parts.draw(rng).round().max(1.0);
    let seconds = |s: Span| (micros(s.0), micros(s.1));
    Services {
        counter_parts: parts as usize,
        counter_part_per_second: c.per_second.draw(rng) / parts,
        counter_call_us: micros(c.call_ms.draw(rng) / 1e3),
        counter_line_us: micros(c.line.draw(rng) * c.limit_ms / 1e3),
        peer_late_us: seconds(Span(p.late_ms.0 / 1e3, p.late_ms.1 / 1e3)),
        peer_loss: p.loss.draw(rng),
        peer_per_second: p.per_second,
        news_late_us: seconds(scenario.discovery.late_seconds),
        notice_us: seconds(scenario.clients.notice_seconds),
        attempt_noise: Span(ATTEMPT_NOISE.0, ATTEMPT_NOISE.1).draw(rng),
    }
}

/// Customers of each plan until what they use inside their quotas is the plan's share of what is wanted.
fn customers(
    scenario: &Scenario,
    seed: u64,
    plans: &[PlanFigures],
    wanted: f64,
) -> Result<Vec<Customer>, ScenarioError> {
    let rng = &mut stream(seed, Of::Customers, 0);
    let kinds = &scenario.customers;
    let (full, heavy) = (kinds.full.draw(rng), kinds.heavy.draw(rng));
    let limiters = scenario.fleet.limiters;
    let shares: f64 = scenario.plan.iter().map(|p| p.share).sum();
    let (mut customers, mut numbers): (Vec<Customer>, HashSet<u64>) = Default::default();
    for (number, plan) in plans.iter().enumerate() {
        let target = scenario.plan[number].share / shares * wanted;
        let first = customers.len();
        let (mut sum, mut excess) = (0.0, 0.0);
        while sum < target {
            if customers.len() >= MAX_CUSTOMERS {
                return Err(ScenarioError {
                    key: "load.inside".into(),
                    reason: format!("takes more than {MAX_CUSTOMERS} customers; let plans have larger rates"),
                });
            }
            let (kind, use_full, calm): (f64, f64, f64) =
                (rng.random(), rng.random(), kinds.calm_use.draw(rng));
            let times = kinds.heavy_times.draw(rng);
            let room = scenario.load.most_excess * target - excess;
            let (inside, asks) = if kind < heavy && (times - 1.0) * plan.rate <= room {
                (plan.rate, plan.rate * times)
            } else if kind < heavy + full {
                let part = FULL_USE.0 + (FULL_USE.1 - FULL_USE.0) * use_full;
                (plan.rate * part, plan.rate * part)
            } else {
                (plan.rate * calm, plan.rate * calm)
            };
            excess += asks - inside;
            sum += inside;
            let least = 2.min(limiters);
            let spread = (kinds.spread.draw(rng) * f64::from(limiters)).round() as u32;
            // Numbers lie below 2^33 and tell nothing; two customers of one number would share their quota.
            let mut number_of = rng.random::<u64>() >> 31;
            while !numbers.insert(number_of) {
                number_of = rng.random::<u64>() >> 31;
            }
            customers.push(Customer {
                number: number_of,
                plan: number,
                spread: spread.clamp(least, limiters),
                first: rng.random_range(0..limiters),
                inside,
                asks,
            });
        }
        // The last one overshoots: all give way by the same part, so that the plan asks for its share exactly.
        let part = if sum > 0.0 { target / sum } else { 1.0 };
        for customer in &mut customers[first..] {
            customer.inside *= part;
            customer.asks *= part;
        }
    }
    Ok(customers)
}

/// A step function of time: from when on, which value.
struct Steps(Vec<(Micros, f64)>);

impl Steps {
    fn at(&self, t: Micros) -> f64 {
        let next = self.0.partition_point(|s| s.0 <= t);
        next.checked_sub(1).map_or(1.0, |n| self.0[n].1)
    }

    fn most(&self) -> f64 {
        self.0.iter().map(|s| s.1).fold(1.0, f64::max)
    }
}

/// Times of spikes: on and off in turn.
fn spikes(scenario: &Scenario, length: Micros, rng: &mut ChaCha8Rng) -> Steps {
    let kinds = &scenario.customers;
    let mut steps = vec![(0, 1.0)];
    let mut t = kinds.spike_every_seconds.micros(rng) / 2;
    while t < length {
        steps.push((t, kinds.spike_times.draw(rng)));
        t += kinds.spike_seconds.micros(rng);
        steps.push((t, 1.0));
        t += kinds.spike_every_seconds.micros(rng);
    }
    Steps(steps)
}

/// What the timeline adds for a customer: factors on what it asks, and units a second on top, over spans of time.
fn added(day: &Day, at: usize, all: f64) -> Vec<(Micros, Micros, f64, f64)> {
    let customer = &day.customers[at];
    let mut added = Vec::new();
    for event in &day.events {
        let end = event.at + event.lasts;
        match event.what {
            What::PlanBurst(plan, times) if plan == customer.plan => added.push((event.at, end, times, 0.0)),
            // The hot ones are the last so many of all customers: those of the plan with the largest quotas.
            What::HotCustomers(many, share) if day.customers.len() - at <= many as usize => {
                added.push((event.at, end, 1.0, share * all / f64::from(many)));
            }
            _ => {}
        }
    }
    added
}

/// Weights of a customer's limiters, from when on.
struct Doors(Vec<(Micros, Vec<f64>)>);

impl Doors {
    fn draw(scenario: &Scenario, customer: &Customer, length: Micros, rng: &mut ChaCha8Rng) -> Self {
        let kinds = &scenario.customers;
        let skew = kinds.skew.draw(rng);
        let mut spans = Vec::new();
        let mut t = 0;
        while t < length {
            let mut weights: Vec<f64> =
                (1..=customer.spread).map(|place| f64::from(place).powf(-skew)).collect();
            for last in (1..weights.len()).rev() {
                weights.swap(last, rng.random_range(0..=last));
            }
            spans.push((t, weights));
            t += kinds.shift_seconds.micros(rng).max(1);
        }
        Doors(spans)
    }

    /// The limiter for a request at a time; another one than `not`, if there is one.
    fn choose(&self, of: &Customer, limiters: u32, t: Micros, not: Option<u32>, rng: &mut ChaCha8Rng) -> u32 {
        let place = self.0.partition_point(|s| s.0 <= t).saturating_sub(1);
        let weights = &self.0[place].1;
        let door = |n: usize| (of.first + n as u32) % limiters;
        let barred = |n: usize| not == Some(door(n)) && weights.len() > 1;
        let all: f64 = (0..weights.len()).filter(|n| !barred(*n)).map(|n| weights[n]).sum();
        let mut left = rng.random::<f64>() * all;
        let mut last = 0;
        for n in (0..weights.len()).filter(|n| !barred(*n)) {
            last = n;
            left -= weights[n];
            if left <= 0.0 {
                break;
            }
        }
        door(last)
    }
}

fn log_normal(mean: f64, uneven: f64) -> Option<LogNormal<f64>> {
    let sigma2 = (uneven * uneven).ln_1p();
    LogNormal::new(mean.ln() - sigma2 / 2.0, sigma2.sqrt()).ok()
}

fn arrivals(day: &mut Day, classes: &[(f64, f64)], units: f64) -> Result<(), ScenarioError> {
    let scenario = day.scenario.clone();
    let rng = &mut stream(day.seed, Of::Arrivals, 0);
    let (spiky, elsewhere) = (scenario.customers.spiky.draw(rng), scenario.customers.elsewhere.draw(rng));
    let (honour, early) = (scenario.clients.honour.draw(rng), scenario.clients.early.draw(rng));
    let ramp_from = scenario.load.ramp_from.draw(rng);
    let asked: f64 = day.customers.iter().map(|c| c.asks).sum();
    let shares: f64 = scenario.class.iter().map(|c| c.share).sum();
    let works: Vec<Option<LogNormal<f64>>> = classes.iter().map(|c| log_normal(c.0, c.1)).collect();
    let ramp = |t: Micros| {
        let part = (2.0 * t as f64 / day.length.max(1) as f64).min(1.0);
        ramp_from + (1.0 - ramp_from) * part
    };
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (at, customer) in day.customers.iter().enumerate() {
        let rng = &mut stream(day.seed, Of::Arrivals, at as u64 + 1);
        let doors = Doors::draw(&scenario, customer, day.length, rng);
        let calm = customer.asks <= customer.inside && rng.random::<f64>() < spiky;
        let spikes = if calm { spikes(&scenario, day.length, rng) } else { Steps(vec![(0, 1.0)]) };
        let added = added(day, at, asked);
        // Requests a second at a time, and at most: arrivals are drawn at the most and thinned out.
        let rate = |t: Micros| {
            let (mut times, mut more) = (spikes.at(t), 0.0);
            for (_, _, factor, plus) in added.iter().filter(|a| (a.0..a.1).contains(&t)) {
                (times, more) = (times * factor, more + plus);
            }
            (customer.asks * times * ramp(t) + more) / units
        };
        let factors: f64 = added.iter().map(|a| a.2).product();
        let plus: f64 = added.iter().map(|a| a.3).sum();
        let most = (customer.asks * spikes.most() * factors + plus) / units;
        if most <= 0.0 {
            continue;
        }
        let mut t = 0.0;
        loop {
            let gap: f64 = Exp1.sample(rng);
            t += gap / most * 1e6;
            if t >= day.length as f64 {
                break;
            }
            let (when, keep): (Micros, f64) = (t as Micros, rng.random());
            if keep * most >= rate(when) {
                continue;
            }
            if arrivals.len() >= MAX_ARRIVALS {
                let reason = format!("asks for more than {MAX_ARRIVALS} first tries");
                return Err(ScenarioError { key: "seconds".into(), reason });
            }
            let mut pick = rng.random::<f64>() * shares;
            let class = scenario.class.iter().position(|c| {
                pick -= c.share;
                pick <= 0.0
            });
            let class = class.unwrap_or(0);
            let c = &scenario.class[class];
            let work = works[class].map_or(classes[class].0, |w| w.sample(rng));
            let deadline = c.deadline_seconds;
            let limiters = scenario.fleet.limiters;
            let mut tries = vec![doors.choose(customer, limiters, when, None, rng)];
            let mut patience = vec![micros(deadline * scenario.clients.patience.draw(rng))];
            let mut backoff = Vec::new();
            for _ in 0..scenario.clients.retries {
                let last = tries[tries.len() - 1];
                let not = (rng.random::<f64>() < elsewhere).then_some(last);
                tries.push(if not.is_some() {
                    doors.choose(customer, limiters, when, not, rng)
                } else {
                    last
                });
                patience.push(micros(deadline * scenario.clients.patience.draw(rng)));
                backoff.push(micros(scenario.clients.backoff_ms.draw(rng) / 1e3));
            }
            let leaves: f64 = rng.random();
            let early_us = (leaves < early).then(|| (patience[0] as f64 * rng.random::<f64>()) as Micros);
            arrivals.push(Arrival {
                at: when,
                id: 0,
                class,
                customer: at,
                units: rng.random_range(c.units[0]..=c.units[1]),
                work_us: work.min(MAX_WORK * classes[class].0).max(1.0) as Micros,
                doors: tries,
                patience_us: patience,
                backoff_us: backoff,
                honours: rng.random::<f64>() < honour,
                early_us,
                key: if c.effect == Effect::Safe { 0 } else { rng.random() },
                body: c.body_bytes,
            });
        }
    }
    arrivals.sort_by_key(|a| (a.at, a.customer));
    // Ids are scattered over the whole range; the low bits leave room for the retries of each.
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.id = id(day.seed, number as u64);
    }
    day.arrivals = arrivals;
    Ok(())
}

/// Id of a first try: an odd multiplier keeps numbers apart below 2^48, and four bits are left for retries.
fn id(seed: u64, number: u64) -> u64 {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed.wrapping_mul(0xff51_afd7_ed55_8ccd);
    (mixed & 0x0000_ffff_ffff_ffff) << 4
}
