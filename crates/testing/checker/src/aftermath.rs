//! What faults did to service, and how long it took until all was as before: a plain function over a run.

use crate::ledger::Micros;
use crate::run::Run;
use crate::service::groups;
use limeway_event_log::What;
use serde::Serialize;
use std::collections::{HashMap, HashSet};

/// Length of the window in which service is looked at, and the step by which it moves, in microseconds.
const WINDOW: (Micros, Micros) = (1_000_000, 100_000);
/// Service is back once a window has this part of what it was before.
const BACK: f64 = 0.9;
/// Rightful first tries before the first fault, and in a window, from which on a share says something.
const ENOUGH: (usize, usize) = (60, 15);
/// The first second of a run is a fleet that has leased nothing yet: it does not count as what is usual.
const BEGIN: Micros = 1_000_000;

/// How a limiter words that it is on the ordinary path again.
const ORDINARY: [&str; 2] = ["-> well", "-> slow"];

/// How a run went before, during and after its faults. Rightful tries are first tries of customers of whom one limiter
/// which sees all would let in every first try of the run: of others it cannot be told which of their tries should have
/// been served. Served ones had their answer from that try, without coming again.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Aftermath {
    /// Why nothing can be said, if so: the run came near no fault, or saw too little before it.
    pub not_tested: Option<&'static str>,
    /// Share of rightful tries that was served before the first fault.
    pub before: f64,
    /// From the first fault's begin to the last one's end.
    pub during: f64,
    /// In the worst window from the first fault on.
    pub worst: f64,
    /// The last fault's end.
    pub last: Micros,
    /// From there until a window was as before; nothing where it never was.
    pub back: Option<Micros>,
    /// The limiter that was last to serve again, and when after the last fault's end; nothing where one never did.
    pub slowest: Option<(u32, Micros)>,
}

impl Aftermath {
    /// Whether service was as before, and all limiters served, within this time of the last fault's end; nothing where it
    /// was not tested.
    pub fn within(&self, most: Micros) -> Option<bool> {
        if self.not_tested.is_some() {
            return None;
        }
        let in_time = |took: Option<Micros>| took.is_some_and(|t| t <= most);
        Some(in_time(self.back) && in_time(self.slowest.map(|s| s.1)))
    }
}

/// The first fault's begin and the last one's end, which run by time in a run's timeline.
fn faults(run: &Run) -> Option<(Micros, Micros)> {
    Some((run.troubles.first()?.0, run.troubles.last()?.0))
}

/// Looks at a run's faults as its timeline tells them.
pub fn aftermath(run: &Run) -> Aftermath {
    let Some((first, last)) = faults(run) else { return nothing("no fault") };
    let began = run.tries.first().map_or(0, |t| t.t);
    // When, at which limiter, and whether served, by time.
    let groups = groups(run, &HashMap::new());
    let beyond: HashSet<u64> = groups.iter().filter(|g| !g.inside).map(|g| g.first.customer).collect();
    let mut tries: Vec<(Micros, u32, bool)> = groups
        .iter()
        .filter(|g| !beyond.contains(&g.first.customer))
        .map(|g| (g.first.t, g.first.limiter, g.first.served().is_some()))
        .collect();
    tries.sort_unstable();
    let between = |from: Micros, to: Micros| {
        let at = |t: Micros| tries.partition_point(|x| x.0 < t);
        let some = &tries[at(from)..at(to.max(from))];
        let served = some.iter().filter(|t| t.2).count();
        (served as f64 / some.len().max(1) as f64, some.len())
    };
    let (before, many) = between(began + BEGIN, first);
    if many < ENOUGH.0 {
        return nothing("too little was asked for before the first fault");
    }
    // Tries at the very end may still have been open.
    let end = tries.last().map_or(0, |t| t.0);
    let windows = |from: Micros| {
        let starts = (from..end.saturating_sub(WINDOW.0)).step_by(WINDOW.1 as usize);
        starts.map(|t| (t, between(t, t + WINDOW.0))).filter(|w| w.1 .1 >= ENOUGH.1)
    };
    let worst = windows(first).map(|w| w.1 .0).fold(1.0, f64::min);
    let back = windows(last).find(|w| w.1 .0 >= BACK * before).map(|w| w.0 - last);
    let mut slowest = Some((0, 0));
    for limiter in 0..run.opening.limiters {
        let serves =
            run.tries.iter().filter(|t| t.limiter == limiter && t.t >= last).filter_map(|t| t.served());
        let took = serves.min().map(|t| t - last);
        slowest = match (slowest, took) {
            (Some(so_far), Some(took)) if took > so_far.1 => Some((limiter, took)),
            (Some(so_far), Some(_)) => Some(so_far),
            _ => None,
        };
    }
    Aftermath { not_tested: None, before, during: between(first, last).0, worst, last, back, slowest }
}

/// Whether limiters were of one mind again about the counter, by what they wrote down themselves.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Agreement {
    /// Why nothing can be said, if so.
    pub not_tested: Option<&'static str>,
    /// Changes of what any limiter held the counter to be.
    pub changes: usize,
    /// From the last fault's end until all were back on the ordinary path; nothing where one never was.
    pub after: Option<Micros>,
    /// The limiter that was last, or that never was.
    pub last: Option<u32>,
}

/// Looks at what limiters held the counter to be. Each life begins on the ordinary path; one that ends leaves nothing.
pub fn agreement(run: &Run) -> Agreement {
    let mut all = Agreement { not_tested: None, changes: 0, after: Some(0), last: None };
    if run.said.is_empty() {
        return Agreement { not_tested: Some("limiters kept no history"), ..all };
    }
    let end = faults(run).map_or(0, |f| f.1);
    for limiter in 0..run.opening.limiters {
        let mut apart = None;
        let mut back = 0;
        for (t, _, what) in run.said.iter().filter(|s| s.1 == limiter) {
            let ordinary = match what {
                What::Counter { text } => {
                    all.changes += 1;
                    ORDINARY.iter().any(|state| text.ends_with(state))
                }
                What::Started { .. } | What::Ended { .. } => true,
                _ => continue,
            };
            if ordinary && apart.take().is_some() {
                back = t.saturating_sub(end);
            } else if !ordinary {
                apart = Some(*t);
            }
        }
        if apart.is_some() {
            (all.after, all.last) = (None, Some(limiter));
        } else if all.after.is_some_and(|most| back > most) {
            (all.after, all.last) = (Some(back), Some(limiter));
        }
    }
    if all.changes == 0 {
        all.not_tested = Some("no limiter noticed anything of the counter");
    }
    all
}

fn nothing(why: &'static str) -> Aftermath {
    Aftermath {
        not_tested: Some(why),
        before: 0.0,
        during: 0.0,
        worst: 0.0,
        last: 0,
        back: None,
        slowest: None,
    }
}
