//! A run second by second, for charts.

use crate::ledger::Micros;
use crate::run::Run;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// One second of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Second {
    /// Tries sent.
    pub offered: u32,
    /// Of them first tries.
    pub first: u32,
    /// Answers 200.
    pub served: u32,
    /// Answers 429 and 503.
    pub refused: u32,
    /// Other answers, and tries that ended without one.
    pub failed: u32,
    /// Calls to the counter that were added, and those that were not.
    pub counts: (u32, u32),
    /// Tries sent, for each plan.
    pub plan_offered: Vec<u32>,
    /// Answers 200, for each plan.
    pub plan_served: Vec<u32>,
    /// Attempts that came to each node.
    pub nodes: BTreeMap<u32, u32>,
}

/// The seconds of a run.
pub fn seconds(run: &Run) -> Vec<Second> {
    let plans = run.opening.plans.len();
    let empty = Second { plan_offered: vec![0; plans], plan_served: vec![0; plans], ..Second::default() };
    let mut seconds = vec![empty; (run.judged_until() / 1_000_000 + 1) as usize];
    let last = seconds.len() - 1;
    let at = |t: Micros| ((t / 1_000_000) as usize).min(last);
    for t in &run.tries {
        let second = &mut seconds[at(t.t)];
        second.offered += 1;
        second.first += u32::from(t.id == t.first);
        second.plan_offered[t.plan] += 1;
        match (t.answers.first(), t.left) {
            (Some((end, 200, _)), _) => {
                let second = &mut seconds[at(*end)];
                second.served += 1;
                second.plan_served[t.plan] += 1;
            }
            (Some((end, 429 | 503, _)), _) => seconds[at(*end)].refused += 1,
            (Some(&(end, ..)), _) | (None, Some((end, _))) => seconds[at(end)].failed += 1,
            (None, None) => {}
        }
    }
    for attempt in &run.attempts {
        *seconds[at(attempt.t)].nodes.entry(attempt.node).or_default() += 1;
    }
    for (t, added) in &run.counts {
        let counts = &mut seconds[at(*t)].counts;
        if *added {
            counts.0 += 1;
        } else {
            counts.1 += 1;
        }
    }
    seconds
}

/// Spans in which something of the timeline was on: from, to, what.
pub fn spans(run: &Run) -> Vec<(Micros, Micros, String)> {
    let mut open: HashMap<&str, Micros> = HashMap::new();
    let mut spans = Vec::new();
    for (t, name, on) in &run.troubles {
        if *on {
            open.insert(name, *t);
        } else if let Some(from) = open.remove(name.as_str()) {
            spans.push((from, *t, name.clone()));
        }
    }
    let mut still: Vec<_> = open.into_iter().map(|(name, from)| (from, run.end, name.to_owned())).collect();
    spans.append(&mut still);
    spans.sort();
    spans
}
