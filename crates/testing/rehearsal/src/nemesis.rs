//! Faults between several limiters, by schedules drawn from a seed: played, judged, told, and cut down when they fail.

use crate::rehearsal::{rehearse, Plan, Played};
use crate::KitError;
use crate::{quotas, report};
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use limeway_checker::aftermath::{aftermath, agreement, Aftermath, Agreement};
use limeway_checker::ledger::{Change, Micros};
use limeway_checker::run::Run;
use limeway_checker::{judge_run, Verdict};
use limeway_fault_injection::{Fired, What};
use limeway_scenario::builtin;
use limeway_scenario::file::Entry;
use limeway_scenario::nemesis::{self, Schedule};
use limeway_scenario::{draw, Scenario};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::future::Future;
use std::path::PathBuf;
use std::time::Duration;

/// All limiters serve again, and service is as before, within this time of the last fault's end.
pub const MAX_BACK: Micros = 4_000_000;
/// All hold the counter to be well again within this time of the last fault's end.
pub const MAX_AGREE: Micros = 4_000_000;
/// Memory that a limiter may hold at most, in KiB, and descriptors: far below what the platform grants.
const MAX_USED: (u64, u64) = (64 * 1024, 512);
/// Width of a column of the timeline.
const COLUMN: Micros = 500_000;
/// Plays at most while a failing schedule is cut down: each takes as long as the schedule.
const MAX_PLAYS: usize = 12;

/// What is to be played.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Limiters.
    pub limiters: u32,
    /// Seconds of load.
    pub seconds: f64,
    /// Cases that a drawn schedule holds.
    pub cases: usize,
    /// Only cases of this name.
    pub only: Option<String>,
    /// Operators' file of all limiters.
    pub operator: Option<PathBuf>,
    /// Folder for configurations and logs.
    pub logs: Option<PathBuf>,
    /// Each limiter must be ready within this time.
    pub ready_timeout: Duration,
}

/// A schedule that was played.
pub struct Outcome {
    /// What was to happen.
    pub schedule: Schedule,
    /// The run.
    pub run: Run,
    /// The five rules.
    pub verdict: Verdict,
    /// How faults were got over.
    pub aftermath: Aftermath,
    /// Whether limiters were of one mind again about the counter.
    pub agreement: Agreement,
    /// What faults of links did.
    pub fired: Vec<Fired>,
}

impl Outcome {
    /// For each limiter's link or messages that the schedule has a fault of, how often faults did something there.
    pub fn links(&self) -> BTreeMap<String, usize> {
        let mut all = BTreeMap::new();
        for entry in &self.schedule.event {
            let Some(limiter) = entry.limiter else { continue };
            let count = |is: &dyn Fn(&Fired) -> bool| self.fired.iter().filter(|f| is(f)).count();
            let (name, times) = match (entry.what.as_str(), &entry.to) {
                ("link", Some(to)) => {
                    let name = format!("limiter {limiter} to {to}");
                    let times = count(&|f| f.way.starts_with(&name));
                    (name, times)
                }
                ("peers-cut", _) => {
                    // A way between two limiters is named by both of them.
                    let (from, to) = (format!("peer {limiter} -> "), format!(" -> {limiter}"));
                    let here =
                        |way: &str| way.starts_with(&from) || way.starts_with("peer ") && way.ends_with(&to);
                    (
                        format!("messages of limiter {limiter}"),
                        count(&|f| f.what == What::Swallowed && here(&f.way)),
                    )
                }
                _ => continue,
            };
            all.insert(name, times);
        }
        all
    }

    /// What was not as it should be, in words; nothing where all was.
    pub fn failures(&self) -> Vec<String> {
        let mut found: Vec<String> = self.verdict.void.iter().map(|v| format!("void: {v}")).collect();
        for rule in self.verdict.rules.iter().filter(|r| r.broken > 0) {
            let first = rule.breaks.first().map_or(String::new(), |b| {
                format!(", first at {:.3} s, {}: {}", b.t as f64 / 1e6, b.of, b.seen)
            });
            found.push(format!("rule {} ({}) broken {} times{first}", rule.rule, rule.name, rule.broken));
        }
        if self.aftermath.within(MAX_BACK) == Some(false) {
            let (back, slow) = (self.aftermath.back, self.aftermath.slowest.map(|s| s.1));
            let which = self.aftermath.slowest.map_or("one".into(), |s| format!("limiter {}", s.0));
            found.push(format!("service was back {}, {which} served again {}", when(back), when(slow)));
        }
        let a = &self.agreement;
        if a.not_tested.is_none() && a.after.is_none_or(|t| t > MAX_AGREE) {
            let which = a.last.map_or("one".into(), |l| format!("limiter {l}"));
            found.push(format!("{which} was back on the ordinary path of the counter {}", when(a.after)));
        }
        for cost in &self.verdict.limiters {
            if cost.rss_kb > MAX_USED.0 || cost.fds > MAX_USED.1 {
                found.push(format!(
                    "limiter {} held {} KiB and {} descriptors",
                    cost.limiter, cost.rss_kb, cost.fds
                ));
            }
        }
        found
    }
}

/// The schedule that a seed draws under these options.
pub fn drawn(options: &Options, seed: u64) -> Schedule {
    nemesis::draw(seed, options.limiters, options.seconds, options.cases, options.only.as_deref())
}

/// Plays a schedule; its seed also draws customers and requests.
///
/// # Errors
/// It cannot be set up.
pub async fn play(
    options: &Options,
    schedule: &Schedule,
    seed: u64,
    stop: impl Future<Output = ()>,
) -> Result<(Outcome, Played), KitError> {
    let mut scenario = Scenario::parse(builtin("fleet").unwrap_or_default())?;
    scenario.seconds = options.seconds;
    scenario.fleet.limiters = options.limiters;
    scenario.event = schedule.event.clone();
    let plan = Plan {
        day: draw(&scenario, seed)?,
        program: options.program.clone(),
        logs: options.logs.clone(),
        ready_timeout: options.ready_timeout,
        operator: options.operator.clone(),
        history: true,
    };
    let played = rehearse(plan, stop, |_| {}).await?;
    let run = played.run();
    let (verdict, aftermath, agreement) = (judge_run(&run), aftermath(&run), agreement(&run));
    let fired = played.fired.clone();
    Ok((Outcome { schedule: schedule.clone(), run, verdict, aftermath, agreement, fired }, played))
}

/// The shortest schedule found that still fails, in whatever way; one that is void does not count.
pub fn shorten(
    runtime: &tokio::runtime::Runtime,
    options: &Options,
    schedule: &Schedule,
    seed: u64,
) -> Schedule {
    let fails = |event: &[Entry]| {
        let less = Schedule { event: event.to_vec() };
        let played = runtime.block_on(play(options, &less, seed, std::future::pending()));
        played.is_ok_and(|(outcome, _)| outcome.verdict.void.is_none() && !outcome.failures().is_empty())
    };
    Schedule { event: limeway_gateway_simulation::shorten(&schedule.event, MAX_PLAYS, fails) }
}

/// When something came, as text.
fn when(t: Option<Micros>) -> String {
    t.map_or("never".into(), |t| format!("after {:.1} s", t as f64 / 1e6))
}

/// Seconds as text.
fn seconds(t: Option<Micros>) -> String {
    t.map_or("never".into(), |t| format!("{:.1}", t as f64 / 1e6))
}

/// The figures of several schedules as a Markdown table, one row each.
pub fn table(rows: &[(String, Vec<Outcome>)]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(vec![
        "case",
        "schedules",
        "served before",
        "during",
        "worst 1 s",
        "back, s",
        "last limiter, s",
        "windows passed",
        "failed",
    ]);
    for (name, outcomes) in rows {
        let tested: Vec<&Aftermath> =
            outcomes.iter().map(|o| &o.aftermath).filter(|a| a.not_tested.is_none()).collect();
        let mean = |of: fn(&Aftermath) -> f64| {
            format!("{:.3}", tested.iter().map(|a| of(a)).sum::<f64>() / tested.len().max(1) as f64)
        };
        let most = |of: &dyn Fn(&Aftermath) -> Option<Micros>| {
            let all: Option<Vec<Micros>> = tested.iter().map(|a| of(a)).collect();
            seconds(all.map(|all| all.into_iter().max().unwrap_or(0)))
        };
        let worst = tested.iter().map(|a| a.worst).fold(1.0, f64::min);
        let passed =
            outcomes.iter().flat_map(|o| quotas::passed(&o.run)).map(|p| p.part()).fold(0.0, f64::max);
        table.add_row(vec![
            name.clone(),
            tested.len().to_string(),
            mean(|a| a.before),
            mean(|a| a.during),
            format!("{worst:.3}"),
            most(&|a| a.back),
            most(&|a| a.slowest.map(|s| s.1)),
            format!("{:.1}%", passed * 100.0),
            outcomes.iter().filter(|o| !o.failures().is_empty()).count().to_string(),
        ]);
    }
    table.to_string()
}

/// A run as a person reads it: a row for each limiter and each fault, a column for each half second.
pub fn timeline(run: &Run) -> String {
    let began = run.tries.first().map_or(0, |t| t.t);
    let columns = (run.tries.last().map_or(0, |t| t.t).saturating_sub(began) / COLUMN + 1) as usize;
    let at = |t: Micros| ((t.saturating_sub(began) / COLUMN) as usize).min(columns - 1);
    let mut out = String::from(
        "each column is 0.5 s; # served, + half, - less, ! none, . nothing asked, s stalled, x down\n",
    );
    for limiter in 0..run.opening.limiters {
        let mut counts = vec![(0, 0); columns];
        for t in run.tries.iter().filter(|t| t.limiter == limiter) {
            let served = t.answers.first().is_some_and(|a| matches!(a.1, 200 | 429));
            counts[at(t.t)].0 += 1;
            counts[at(t.t)].1 += usize::from(served);
        }
        let mut row: Vec<char> = counts
            .iter()
            .map(|(asked, good)| match (asked, *good as f64 / f64::max(1.0, f64::from(*asked))) {
                (0, _) => '.',
                (_, share) if share >= 0.9 => '#',
                (_, share) if share >= 0.5 => '+',
                (_, share) if share > 0.0 => '-',
                _ => '!',
            })
            .collect();
        for (_, from, to) in run.stalls().filter(|s| s.0 == limiter) {
            row[at(from)..=at(to)].fill('s');
        }
        let mut down: Option<Micros> = None;
        for (t, change) in run.lives.iter().filter(|l| l.limiter == limiter).flat_map(|l| &l.changes) {
            match change {
                Change::Killed | Change::Ended | Change::Crashed { .. } => down = down.or(Some(*t)),
                Change::Ready => {
                    if let Some(from) = down.take() {
                        row[at(from)..=at(*t)].fill('x');
                    }
                }
                _ => {}
            }
        }
        let _ = writeln!(out, "limiter {limiter:>3} |{}|", row.into_iter().collect::<String>());
    }
    for (from, to, name) in limeway_checker::series::spans(run) {
        let mut row = vec![' '; columns];
        row[at(from)..=at(to)].fill('=');
        let _ = writeln!(out, "            |{}| {name}", row.into_iter().collect::<String>());
    }
    out
}

/// What came of a schedule, in words.
pub fn tell(outcome: &Outcome) -> String {
    let mut out = timeline(&outcome.run);
    let a = &outcome.aftermath;
    match a.not_tested {
        Some(why) => {
            let _ = writeln!(out, "after the faults: not tested, {why}");
        }
        None => {
            let slow = a.slowest.map_or("one never".into(), |s| {
                format!("limiter {} as the last after {:.1} s", s.0, s.1 as f64 / 1e6)
            });
            let _ = writeln!(
                out,
                "rightful tries served: {:.1}% before, {:.1}% during, {:.1}% in the worst second; back {} s after the last fault, {slow} (at most {:.1} s)",
                a.before * 100.0,
                a.during * 100.0,
                a.worst * 100.0,
                seconds(a.back),
                MAX_BACK as f64 / 1e6
            );
        }
    }
    let g = &outcome.agreement;
    let _ = match (g.not_tested, g.after) {
        (Some(why), _) => writeln!(out, "of one mind about the counter: not tested, {why}"),
        (None, None) => writeln!(out, "of one mind about the counter: never, after {} changes", g.changes),
        (None, Some(t)) => {
            writeln!(
                out,
                "of one mind about the counter: {:.1} s after the last fault, {} changes",
                t as f64 / 1e6,
                g.changes
            )
        }
    };
    for rule in &outcome.verdict.rules {
        let count = match (rule.of, rule.broken) {
            (0, 0) => String::new(),
            (of, 0) => format!(", judged on {of}"),
            (of, n) => format!(", {n} of {of}"),
        };
        let _ = writeln!(out, "rule {} {}: {}{count}", rule.rule, rule.name, report::word(rule));
    }
    out.push_str(&quotas::tell(&outcome.run));
    for (what, times) in outcome.links() {
        let times = if times == 0 {
            "never came near anything: not tested".into()
        } else {
            format!("fired {times} times")
        };
        let _ = writeln!(out, "{what}: {times}");
    }
    for failure in outcome.failures() {
        let _ = writeln!(out, "FAILED: {failure}");
    }
    out
}
