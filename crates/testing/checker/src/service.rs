//! Service: the worth answered within its aim over the worth asked for inside the quotas, retries folded into their
//! first try, with the weights and prices of the opening.

use crate::ledger::*;
use crate::run::{Run, Try};
use serde::Serialize;
use std::collections::HashMap;

/// Length of the worst window, in microseconds.
pub const WINDOW: Micros = 10_000_000;
/// Step from one window to the next, in microseconds.
const STEP: Micros = 1_000_000;
/// Least share of the whole worth that a window or a plan must have asked for, for it to be the worst: a ratio of
/// next to nothing says nothing.
const TELLING: f64 = 0.01;
/// Bytes of a full message between limiters.
const MESSAGE: f64 = 256.0;

/// Service of one plan.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlanService {
    /// Its name.
    pub name: String,
    /// First tries.
    pub asked: usize,
    /// Of them inside the quota.
    pub inside: usize,
    /// Worth served in time over worth asked for inside the quota.
    pub service: f64,
}

/// Where first tries ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Ends {
    /// First tries.
    pub asked: usize,
    /// Served in time, by any of their tries.
    pub in_time: usize,
    /// Served, but late.
    pub late: usize,
    /// Last told 429 or 503.
    pub refused: usize,
    /// Last answered otherwise, or not at all.
    pub failed: usize,
}

/// What was taken off, as parts of 1.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Prices {
    /// Tries sent on beyond their quotas.
    pub over_quota: f64,
    /// Calls to the counter.
    pub counter: f64,
    /// Messages between limiters.
    pub peer: f64,
    /// Work that served no answer.
    pub waste: f64,
    /// Worth that ended unserved after its aim.
    pub late_fail: f64,
    /// Attempts that crossed rooms.
    pub cross_room: f64,
}

/// Service of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// The figure: the weighted parts less the prices.
    pub figure: f64,
    /// Over the whole run.
    pub whole: f64,
    /// Over the worst ten seconds.
    pub worst_window: f64,
    /// When these begin.
    pub worst_at: Micros,
    /// Of the worst-served plan.
    pub worst_plan: f64,
    /// Each plan.
    pub plans: Vec<PlanService>,
    /// What was taken off.
    pub prices: Prices,
    /// Where first tries ended.
    pub ends: Ends,
    /// Tries of clients in all.
    pub tries: usize,
    /// Attempts in all.
    pub attempts: usize,
    /// Calls to the counter.
    pub counts: usize,
    /// Messages between limiters.
    pub messages: u64,
}

/// What one life of a limiter used.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Cost {
    /// Which limiter.
    pub limiter: u32,
    /// Tries that were sent to it while it lived.
    pub tries: usize,
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Of it in the system, in seconds.
    pub system_s: f64,
    /// Processor time a try, in microseconds.
    pub cpu_us_per_try: f64,
    /// Resident memory at most, in KiB.
    pub rss_kb: u64,
    /// Descriptors at most.
    pub fds: u64,
}

/// A first try with all that came of it.
pub(crate) struct Group<'a> {
    pub first: &'a Try,
    pub tries: Vec<&'a Try>,
    /// One gateway that saw all first tries would let it in.
    pub inside: bool,
    pub worth: f64,
    /// When it was served, and whether that try was sent on inside the quota.
    pub served: Option<(Micros, bool)>,
}

impl Group<'_> {
    pub(crate) fn in_time(&self, aim: Micros) -> bool {
        self.served.is_some_and(|(at, _)| at <= self.first.t + aim)
    }
}

/// A customer's store by its plan: takes units if they are there.
fn take(store: &mut (f64, Micros), plan: &Plan, t: Micros, units: f64) -> bool {
    store.0 = (store.0 + t.saturating_sub(store.1) as f64 / 1e6 * plan.rate).min(plan.burst);
    store.1 = t;
    let there = plan.rate <= 0.0 || store.0 + 1e-9 >= units;
    if there && plan.rate > 0.0 {
        store.0 -= units;
    }
    there
}

/// Tries that were sent on beyond their customers' quotas, by id: the first attempt of a try takes its units if they
/// are there.
fn beyond(run: &Run) -> HashMap<u64, bool> {
    let mut firsts: Vec<(Micros, &Try)> =
        run.tries.iter().filter_map(|t| Some((run.attempts[*t.attempts.first()?].t, t))).collect();
    firsts.sort_by_key(|f| f.0);
    let mut stores = HashMap::new();
    firsts
        .into_iter()
        .map(|(at, t)| {
            let plan = &run.opening.plans[t.plan];
            let store = stores.entry(t.customer).or_insert((plan.burst, 0));
            (t.id, !take(store, plan, at, t.units))
        })
        .collect()
}

pub(crate) fn groups<'a>(run: &'a Run, beyond: &HashMap<u64, bool>) -> Vec<Group<'a>> {
    let mut places: HashMap<u64, usize> = HashMap::new();
    let mut groups: Vec<Group> = Vec::new();
    let mut stores = HashMap::new();
    for t in &run.tries {
        let at = *places.entry(t.first).or_insert_with(|| {
            let plan = &run.opening.plans[t.plan];
            let store = stores.entry(t.customer).or_insert((plan.burst, 0));
            let inside = take(store, plan, t.t, t.units);
            let worth = run.opening.classes[t.class].worth * plan.pays * t.units;
            groups.push(Group { first: t, tries: Vec::new(), inside, worth, served: None });
            groups.len() - 1
        });
        let group = &mut groups[at];
        group.tries.push(t);
        if let (Some(served), None) = (t.served(), group.served) {
            group.served = Some((served, !beyond.get(&t.id).copied().unwrap_or(false)));
        }
    }
    groups
}

/// A ratio that is 1 where nothing was asked for, and never above.
fn share(got: f64, asked: f64) -> f64 {
    if asked > 0.0 {
        (got / asked).min(1.0)
    } else {
        1.0
    }
}

/// The worst of some sums of worth got and asked for, and its place.
fn worst(sums: &[(f64, f64)], all: f64) -> (f64, usize) {
    let telling = sums.iter().enumerate().filter(|(_, s)| s.1 >= TELLING * all && s.1 > 0.0);
    telling.map(|(at, s)| (share(s.0, s.1), at)).min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, 0))
}

/// The figure of a run.
pub fn service(run: &Run) -> Service {
    let opening = &run.opening;
    let beyond = beyond(run);
    let groups = groups(run, &beyond);
    let seconds = (run.judged_until() / STEP + 1) as usize;
    let mut by_second = vec![(0.0, 0.0); seconds];
    let mut by_plan = vec![(0.0, 0.0); opening.plans.len()];
    let mut plans: Vec<PlanService> = opening
        .plans
        .iter()
        .map(|p| PlanService { name: p.name.clone(), asked: 0, inside: 0, service: 1.0 })
        .collect();
    let (mut all, mut got, mut late, mut ends) = (0.0, 0.0, 0.0, Ends::default());
    for group in &groups {
        let first = group.first;
        let aim = opening.classes[first.class].aim_us;
        let in_time = group.in_time(aim);
        let earned = if in_time && group.served.is_some_and(|s| s.1) { group.worth } else { 0.0 };
        let asked = if group.inside { group.worth } else { 0.0 };
        all += asked;
        got += earned;
        let sums = [by_second.get_mut((first.t / STEP) as usize), by_plan.get_mut(first.plan)];
        for sum in sums.into_iter().flatten() {
            (sum.0, sum.1) = (sum.0 + earned, sum.1 + asked);
        }
        plans[first.plan].asked += 1;
        plans[first.plan].inside += usize::from(group.inside);
        ends.asked += 1;
        let last = group.tries.last().copied().unwrap_or(first);
        let status = last.answers.first().map_or(0, |a| a.1);
        let over = last.answers.first().map(|a| a.0).or(last.left.map(|l| l.0));
        match group.served {
            Some(_) if in_time => ends.in_time += 1,
            Some(_) => ends.late += 1,
            None if matches!(status, 429 | 503) => ends.refused += 1,
            None => ends.failed += 1,
        }
        if group.inside && group.served.is_none() && over.is_none_or(|t| t > first.t + aim) {
            late += group.worth;
        }
    }
    for (plan, sums) in plans.iter_mut().zip(&by_plan) {
        plan.service = share(sums.0, sums.1);
    }
    let length = (WINDOW / STEP) as usize;
    let windows: Vec<(f64, f64)> = if by_second.len() <= length {
        vec![(got, all)]
    } else {
        by_second.windows(length).map(|w| w.iter().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1))).collect()
    };
    let (worst_window, worst_at) = worst(&windows, all);
    let worst_plan = worst(&by_plan, all).0;
    let prices = prices(run, &beyond, all, late, groups.len());
    let (whole, w) = (share(got, all), &opening.service);
    let parts = w.whole * whole + w.worst_window * worst_window + w.worst_plan * worst_plan;
    let parts = parts / (w.whole + w.worst_window + w.worst_plan).max(f64::MIN_POSITIVE);
    let Prices { over_quota, counter, peer, waste, late_fail, cross_room } = prices;
    Service {
        figure: parts - over_quota - counter - peer - waste - late_fail - cross_room,
        whole,
        worst_window,
        worst_at: worst_at as Micros * STEP,
        worst_plan,
        plans,
        prices,
        ends,
        tries: run.tries.len(),
        attempts: run.attempts.len(),
        counts: run.counts.len(),
        messages: run.messages,
    }
}

fn prices(run: &Run, beyond: &HashMap<u64, bool>, all: f64, late: f64, firsts: usize) -> Prices {
    let (opening, w) = (&run.opening, &run.opening.service);
    let over: f64 = run
        .tries
        .iter()
        .filter(|t| beyond.get(&t.id).copied().unwrap_or(false))
        .map(|t| {
            let plan = &opening.plans[t.plan];
            plan.over_cost * opening.classes[t.class].worth * plan.pays * t.units
        })
        .sum();
    let firsts = firsts.max(1) as f64;
    let asked: f64 = run.tries.iter().filter(|t| t.id == t.first).map(|t| t.work_us as f64).sum();
    let served = |t: &Try| t.served().is_some();
    let wasted: f64 = run
        .tries
        .iter()
        .flat_map(|t| t.attempts.iter().map(move |a| (t, &run.attempts[*a])))
        .filter(|(t, a)| match a.end {
            Some((_, Fate::Served)) => !served(t),
            Some((_, Fate::Declined | Fate::Repeat)) => false,
            _ => true,
        })
        .map(|(_, a)| a.work_us as f64)
        .sum();
    let crossed = run.attempts.iter().filter(|a| a.cross).count() as f64;
    let part = |amount: f64, whole: f64| if whole > 0.0 { amount / whole } else { 0.0 };
    Prices {
        over_quota: part(over, all),
        counter: w.counter * run.counts.len() as f64 / firsts,
        peer: w.peer * run.message_bytes as f64 / MESSAGE / firsts,
        waste: w.waste * part(wasted, asked),
        late_fail: w.late_fail * part(late, all),
        cross_room: w.cross_room * crossed / firsts,
    }
}

/// What each life of a limiter used.
pub fn costs(run: &Run) -> Vec<Cost> {
    let mut costs = Vec::new();
    for (at, life) in run.lives.iter().enumerate() {
        let from = life.changes[0].0;
        let next = run.lives.get(at + 1).filter(|l| l.limiter == life.limiter);
        let to = next.map_or(Micros::MAX, |l| l.changes[0].0);
        let tries =
            run.tries.iter().filter(|t| t.limiter == life.limiter && (from..to).contains(&t.t)).count();
        let used = life.used;
        costs.push(Cost {
            limiter: life.limiter,
            tries,
            cpu_s: used.cpu_us as f64 / 1e6,
            system_s: used.system_us as f64 / 1e6,
            cpu_us_per_try: used.cpu_us as f64 / tries.max(1) as f64,
            rss_kb: used.rss_kb,
            fds: used.fds,
        });
    }
    costs
}
