//! Judges the ledger of a run: each of the five rules as a plain pass or fail, and service with its weights.
//!
//! Reads nothing but the ledger and does no I/O: whoever can write a ledger ([`ledger`] says how) can have it
//! judged. Modules: [`ledger`] the records, [`run`] a run put together from them, [`rules`] the five rules,
//! [`service`] the figure, [`quota`] windows that were passed, [`series`] what charts show, [`aftermath`] how faults were got over.
#![forbid(unsafe_code)]

pub mod aftermath;
mod assembly;
pub mod ledger;
pub mod quota;
pub mod rules;
pub mod run;
pub mod series;
pub mod service;

use ledger::{Change, LedgerError};
use run::Run;
use serde::Serialize;

/// Lateness of the kit's own sends, 99.9th percentile in microseconds, from which on a run is void: beyond it, what
/// looks like a fault of a limiter may be the machine's.
pub const MAX_LATE: u64 = 50_000;

/// What is said of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Why the run proves nothing, if so.
    pub void: Option<String>,
    /// The five rules, in their order.
    pub rules: Vec<rules::Judged>,
    /// Service and what makes it up.
    pub service: service::Service,
    /// What each limiter used.
    pub limiters: Vec<service::Cost>,
}

impl Verdict {
    /// Whether all five rules hold and the run counts.
    pub fn passes(&self) -> bool {
        self.void.is_none() && self.rules.iter().all(|r| r.broken == 0)
    }
}

/// Judges a ledger, line by line.
///
/// # Errors
/// The first line cannot be read as an opening, or a later one not as a record. A last line that is cut off is no
/// error: the run is judged up to there, and void.
pub fn judge<'a>(lines: impl Iterator<Item = &'a str>) -> Result<Verdict, LedgerError> {
    Ok(judge_run(&Run::read(lines)?))
}

/// Judges a run that has been put together.
pub fn judge_run(run: &Run) -> Verdict {
    Verdict {
        scenario: run.opening.scenario.clone(),
        seed: run.opening.seed,
        void: void(run),
        rules: rules::judge(run),
        service: service::service(run),
        limiters: service::costs(run),
    }
}

/// Why a run proves nothing.
fn void(run: &Run) -> Option<String> {
    for life in &run.lives {
        if let Some((t, Change::Crashed { code })) =
            life.changes.iter().find(|c| matches!(c.1, Change::Crashed { .. }))
        {
            let (n, at) = (life.limiter, *t as f64 / 1e6);
            return Some(format!(
                "limiter {n} ended by itself at {at:.3} s with {}",
                code.map_or("a signal".into(), |c| format!("code {c}"))
            ));
        }
    }
    match &run.closing {
        None => Some(format!("the ledger is cut off after {:.3} s", run.end as f64 / 1e6)),
        Some(closing) if !closing.complete => Some("the run was broken off".into()),
        Some(closing) if closing.late_p999_us > MAX_LATE => Some(format!(
            "the kit itself ran late: {:.1} ms at p99.9, {:.1} ms at most",
            closing.late_p999_us as f64 / 1e3,
            closing.late_max_us as f64 / 1e3
        )),
        Some(_) => None,
    }
}
