//! The five rules, each judged over a whole run.

use crate::ledger::*;
use crate::run::{Attempt, Life, Run, Try};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Failures of a rule that are told one by one; beyond that only their number.
pub const MAX_LISTED_BREAKS: usize = 20;
/// Part of the work sent to a fallen node that limiters which knew of its start must have sent, for it to be theirs.
const INFORMED: f64 = 2.0 / 3.0;
/// Names of the rules.
const RULES: [&str; 5] = [
    "no request is lost",
    "no effect happens twice",
    "drains are kept",
    "no cold node is pushed over",
    "ceilings are kept",
];

/// One break of a rule.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Break {
    /// When, in microseconds.
    pub t: Micros,
    /// The try, node or customer that it concerns.
    pub of: String,
    /// What was seen.
    pub seen: String,
}

/// What is said of one rule.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Judged {
    /// The rule, from 1.
    pub rule: usize,
    /// Its name.
    pub name: &'static str,
    /// How often it was broken.
    pub broken: usize,
    /// What it was judged on: tries, attempts, nodes or customers.
    pub of: usize,
    /// The first breaks, [`MAX_LISTED_BREAKS`] at most.
    pub breaks: Vec<Break>,
}

struct Sheet {
    of: usize,
    breaks: Vec<Break>,
}

impl Sheet {
    fn new(of: usize) -> Self {
        Sheet { of, breaks: Vec::new() }
    }

    fn add(&mut self, t: Micros, of: impl Into<String>, seen: impl Into<String>) {
        self.breaks.push(Break { t, of: of.into(), seen: seen.into() });
    }
}

/// Judges all five rules.
pub fn judge(run: &Run) -> Vec<Judged> {
    let sheets = [lost(run), twice(run), drains(run), cold(run), ceilings(run)];
    let judged = sheets.into_iter().zip(RULES).zip(1..).map(|((mut sheet, name), rule)| {
        sheet.breaks.sort_by_key(|b| b.t);
        let broken = sheet.breaks.len();
        sheet.breaks.truncate(MAX_LISTED_BREAKS);
        Judged { rule, name, broken, of: sheet.of, breaks: sheet.breaks }
    });
    judged.collect()
}

fn ms(t: Micros) -> String {
    format!("{:.1} ms", t as f64 / 1e3)
}

fn name(t: &Try) -> String {
    format!("try {:016x}", t.id)
}

// ---- Rule 1.

/// Whether a limiter was killed outright while it may have held a try.
fn killed_between(run: &Run, limiter: u32, from: Micros, to: Micros) -> bool {
    let killed = |life: &&Life| {
        let at = |what: Change| life.changes.iter().find(|c| c.1 == what).map(|c| c.0);
        at(Change::Killed).is_some_and(|t| (from..=to).contains(&t) && at(Change::Terminated).is_none())
    };
    run.lives.iter().filter(|l| l.limiter == limiter).any(|l| killed(&l))
}

fn lost(run: &Run) -> Sheet {
    let rules = &run.opening.rules;
    let slack = rules.answer_slack_us + rules.socket_slack_us;
    let mut sheet = Sheet::new(run.tries.len());
    let stalls: Vec<(u32, Micros, Micros)> = run.stalls().collect();
    // A process that stands still answers nobody. What it held then is its client's to repeat, as with one that is killed.
    let stood = |t: &Try, end: Micros| stalls.iter().any(|s| s.0 == t.limiter && s.1 <= end && s.2 >= t.t);
    for t in &run.tries {
        let end = t.t + t.patience_us + slack;
        if t.answers.len() > 1 {
            sheet.add(t.answers[1].0, name(t), format!("{} answers", t.answers.len()));
        }
        match (t.answers.first(), t.left) {
            (Some(&(at, ..)), _) if at > end && !stood(t, end) => {
                sheet.add(
                    at,
                    name(t),
                    format!("answered {} after its client's time was up", ms(at - t.t - t.patience_us)),
                );
            }
            (Some(&(at, 200, false)), _) => {
                sheet.add(at, name(t), "served with what no node made for it");
            }
            (Some(_), _) | (None, Some((_, Left::Early | Left::Unreached))) => {}
            // The end of the run came before the end of its time.
            (None, _) if end > run.judged_until() => {}
            (None, _) if stood(t, end) => {}
            // What a killed limiter held is its client's to repeat.
            (None, _) if killed_between(run, t.limiter, t.t, end) => {}
            (None, Some((_, Left::ClosedNew))) if t.attempts.is_empty() => {}
            (None, Some((at, Left::ClosedNew | Left::Broken))) => {
                sheet.add(
                    at,
                    name(t),
                    format!(
                        "its connection ended after {} without a whole answer",
                        ms(at.saturating_sub(t.t))
                    ),
                );
            }
            (None, _) => sheet.add(end, name(t), format!("no answer within {}", ms(t.patience_us + slack))),
        }
        // From the final answer on nothing more may be sent for it.
        let over = t.answers.first().map(|a| a.0 + slack);
        let late =
            t.attempts.iter().map(|a| &run.attempts[*a]).find(|a| over.is_some_and(|over| a.begun > over));
        if let Some(late) = late {
            sheet.add(late.begun, name(t), format!("sent to node {} after its final answer", late.node));
        }
    }
    sheet
}

// ---- Rule 2.

/// Whether an attempt is proven never to have run.
fn never_ran(attempt: &Attempt) -> bool {
    matches!(attempt.end, Some((_, Fate::Declined)))
}

fn twice(run: &Run) -> Sheet {
    let mut sheet = Sheet::new(run.attempts.len());
    for at in &run.strange {
        let attempt = &run.attempts[*at];
        sheet.add(
            attempt.t,
            format!("id {:016x}", attempt.id),
            format!("node {} got an id that no client sent", attempt.node),
        );
    }
    let rules = &run.opening.rules;
    let slack = rules.socket_slack_us;
    for t in &run.tries {
        let class = &run.opening.classes[t.class];
        let attempts: Vec<&Attempt> = t.attempts.iter().map(|a| &run.attempts[*a]).collect();
        if attempts.len() > rules.max_attempts as usize {
            sheet.add(
                attempts[rules.max_attempts as usize].t,
                name(t),
                format!("{} attempts", attempts.len()),
            );
        }
        for (number, attempt) in attempts.iter().enumerate() {
            if !attempt.sound {
                sheet.add(
                    attempt.t,
                    name(t),
                    format!("node {} got other bytes than its client sent", attempt.node),
                );
            }
            for before in &attempts[..number] {
                let end = before.end.map_or(Micros::MAX, |e| e.0);
                if !rules.second_copies && end > attempt.t + slack {
                    sheet.add(
                        attempt.t,
                        name(t),
                        format!("at node {} while still out at node {}", attempt.node, before.node),
                    );
                } else if never_ran(before) {
                } else if class.effect == Effect::Unsafe {
                    sheet.add(
                        attempt.t,
                        name(t),
                        format!("unsafe, sent again after node {} may have run it", before.node),
                    );
                } else if class.effect == Effect::Keyed && attempt.t > before.t + class.window_us + slack {
                    let after = ms(attempt.t - before.t);
                    sheet.add(
                        attempt.t,
                        name(t),
                        format!("its key was sent again after {after}, when it is forgotten"),
                    );
                }
            }
        }
        let refused = t.answers.first().filter(|a| matches!(a.1, 429 | 503));
        if let (Some((at, status, _)), Effect::Unsafe) = (refused, class.effect) {
            if let Some(ran) = attempts.iter().find(|a| a.t <= *at && !never_ran(a)) {
                sheet.add(
                    *at,
                    name(t),
                    format!("told by {status} that it may come again, but node {} may have run it", ran.node),
                );
            }
        }
    }
    sheet
}

// ---- Rule 3.

/// Start of the life of a limiter in which a time falls.
fn life_start(run: &Run, limiter: u32, at: Micros) -> Micros {
    let starts = run.lives.iter().filter(|l| l.limiter == limiter).map(|l| l.changes[0].0);
    starts.filter(|t| *t <= at).max().unwrap_or(0)
}

fn drains(run: &Run) -> Sheet {
    let rules = &run.opening.rules;
    let grace = rules.drain_grace_us + rules.socket_slack_us;
    let mut sheet = Sheet::new(run.attempts.len());
    for attempt in &run.attempts {
        let Some(told) = run.told.get(&(attempt.limiter, attempt.node)) else { continue };
        let life = life_start(run, attempt.limiter, attempt.begun);
        // From when on, without a break, this life of the limiter knew that nothing new may go there.
        let mut since = None;
        for (at, health, _) in told.iter().filter(|told| (life..=attempt.begun).contains(&told.0)) {
            since = if *health == Health::Serving { None } else { since.or(Some(*at)) };
        }
        if let Some(since) = since.filter(|since| attempt.begun > since + grace) {
            let after = ms(attempt.begun - since);
            let of = format!("node {}", attempt.node);
            sheet.add(
                attempt.begun,
                of,
                format!("limiter {} sent to it {after} after it was told", attempt.limiter),
            );
        }
    }
    sheet
}

// ---- Rule 4.

fn cold(run: &Run) -> Sheet {
    let rules = &run.opening.rules;
    let mut by_node: BTreeMap<u32, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &run.attempts {
        by_node.entry(attempt.node).or_default().push(attempt);
    }
    let cold = run.nodes.iter().filter(|n| n.cold_us > 0);
    let mut sheet = Sheet::new(cold.clone().count());
    for life in cold {
        let warm = life.start + life.cold_us;
        let sent = by_node.get(&life.node).map_or(&[][..], Vec::as_slice);
        let sent: Vec<&&Attempt> =
            sent.iter().filter(|a| (life.start..life.end.min(warm)).contains(&a.t)).collect();
        let informed = |a: &Attempt| {
            let told = run.told.get(&(a.limiter, a.node));
            let since = life_start(run, a.limiter, a.t);
            told.is_some_and(|told| {
                told.iter().any(|t| t.0 >= since && t.0 <= a.t && t.2 + 1_000_000 >= life.start as i64)
            })
        };
        // For each window that ends with a send: the budget of the whole window, also where it began before the node.
        let (mut first, mut work, mut known) = (0, 0.0, 0.0);
        for attempt in &sent {
            work += attempt.work_us as f64;
            known += if informed(attempt) { attempt.work_us as f64 } else { 0.0 };
            while sent[first].t + rules.fall_us < attempt.t {
                work -= sent[first].work_us as f64;
                known -= if informed(sent[first]) { sent[first].work_us as f64 } else { 0.0 };
                first += 1;
            }
            let from = attempt.t.saturating_sub(rules.fall_us).max(life.start);
            let budget = rules.fall_multiple * life.work_between(from, from + rules.fall_us);
            if work > budget && known >= INFORMED * work {
                let seen = format!(
                    "{:.2} s of work within {}, where {:.2} s are too much",
                    work / 1e6,
                    ms(rules.fall_us),
                    budget / 1e6
                );
                sheet.add(attempt.t, format!("node {}", life.node), seen);
                break;
            }
        }
    }
    sheet
}

// ---- Rule 5.

fn ceilings(run: &Run) -> Sheet {
    let rules = &run.opening.rules;
    // The first attempt of each try, in the order in which they came whole to nodes.
    let mut firsts: Vec<(Micros, &Try)> =
        run.tries.iter().filter_map(|t| Some((run.attempts[*t.attempts.first()?].t, t))).collect();
    firsts.sort_by_key(|f| f.0);
    let mut stores: HashMap<u64, (f64, Micros, bool)> = HashMap::new();
    let mut sheet = Sheet::new(0);
    for (at, t) in firsts {
        let plan = &run.opening.plans[t.plan];
        if plan.ceiling_rate <= 0.0 {
            continue;
        }
        let store = stores.entry(t.customer).or_insert((plan.ceiling_burst, at, false));
        let grown = store.0 + (at - store.1) as f64 / 1e6 * plan.ceiling_rate;
        *store = (grown.min(plan.ceiling_burst) - t.units, at, store.2);
        // On sockets the slack is wider by what the rate gives in three times their slack.
        let least = -(plan.ceiling_slack + plan.ceiling_rate * 3.0 * rules.socket_slack_us as f64 / 1e6);
        if store.0 < least - 1e-6 && !store.2 {
            let seen = format!("{:.2} units below its ceiling, where {:.2} may be", -store.0, -least);
            sheet.add(at, format!("customer {:016x}", t.customer), seen);
            // Told once for each time that it is passed.
            store.2 = true;
        }
        store.2 &= store.0 < 0.0;
    }
    sheet.of = stores.len();
    sheet
}
