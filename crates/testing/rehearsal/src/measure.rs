//! Measurements of the kit and of a limiter against the rate of requests: quick nodes, no troubles, one run a rate.

use crate::fleet::MAX_READY;
use crate::rehearsal::{rehearse, Plan};
use crate::KitError;
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use limeway_checker::judge_run;
use limeway_checker::ledger::Closing;
use limeway_scenario::file::Span;
use limeway_scenario::{draw, Scenario};
use serde::Serialize;
use std::path::Path;

/// Work of a request in these runs, in milliseconds: next to none, so that limiter and kit are what is measured.
const WORK_MS: f64 = 2.0;
/// Nodes of these runs, and cores of each: far more than any rate needs.
const FLEET: (u32, u32) = (10, 64);
/// Units a second of a customer.
const RATE: f64 = 20.0;

/// What one rate brought.
#[derive(Debug, Clone, Serialize)]
pub struct Point {
    /// First tries a second that were asked for.
    pub asked: f64,
    /// Tries a second that were sent.
    pub sent: f64,
    /// Part of the first tries that were served in time.
    pub served: f64,
    /// Lateness of the sends: median, 99th and 99.9th percentile, most; in microseconds.
    pub late_us: [u64; 4],
    /// Processor time a try at a limiter, in microseconds.
    pub cpu_us: f64,
    /// Part of that spent in the system.
    pub system: f64,
    /// Busiest limiter's share of a core over the run.
    pub core: f64,
    /// Largest resident memory of a limiter, in KiB.
    pub rss_kb: u64,
    /// Descriptors of a limiter at most.
    pub fds: u64,
    /// Calls to the counter a try.
    pub counts: f64,
    /// The rules that were broken.
    pub broken: Vec<usize>,
}

fn scenario(rate: f64, seconds: f64, limiters: u32) -> Result<Scenario, KitError> {
    let mut s = Scenario::parse(&format!("name = \"rate\"\nseconds = {seconds}"))?;
    s.fleet.limiters = limiters;
    (s.fleet.nodes, s.fleet.cores) = FLEET;
    s.fleet.speed = Span(1.0, 1.0);
    s.fleet.slots_per_core = Span(32.0, 32.0);
    s.fleet.thrash = Span(0.0, 0.0);
    s.fleet.error_share = Span(0.0, 0.0);
    s.fleet.handshake_ms = Span(0.0, 0.0);
    s.fleet.connections_per_core = Span(100.0, 100.0);
    (s.customers.full, s.customers.heavy, s.customers.spiky) =
        (Span(0.0, 0.0), Span(0.0, 0.0), Span(0.0, 0.0));
    s.counter.per_second = Span(1e6, 1e6);
    s.counter.call_ms = Span(0.0, 0.0);
    s.clients.early = Span(0.0, 0.0);
    for class in &mut s.class {
        class.work_ms = Span(WORK_MS, WORK_MS);
    }
    for plan in &mut s.plan {
        plan.rate = Span(RATE, RATE);
    }
    let capacity = f64::from(FLEET.0 * FLEET.1);
    let inside = rate * WORK_MS / 1e3 / capacity;
    s.load.inside = Span(inside, inside);
    s.check()?;
    Ok(s)
}

/// Plays one rate.
///
/// # Errors
/// The rate makes no sense, or the run cannot be set up.
pub async fn point(
    program: &Path,
    rate: f64,
    seconds: f64,
    limiters: u32,
    seed: u64,
) -> Result<Point, KitError> {
    let day = draw(&scenario(rate, seconds, limiters)?, seed)?;
    let plan = Plan {
        day,
        program: program.to_owned(),
        logs: None,
        ready_timeout: MAX_READY,
        operator: None,
        history: false,
    };
    let run = rehearse(plan, std::future::pending(), |_| {}).await?.run();
    let verdict = judge_run(&run);
    let none = Closing {
        t: 0,
        complete: false,
        planned: 0,
        late_p50_us: 0,
        late_p99_us: 0,
        late_p999_us: 0,
        late_max_us: 0,
    };
    let c = run.closing.clone().unwrap_or(none);
    let (s, limiters) = (&verdict.service, &verdict.limiters);
    let sum = |of: &dyn Fn(&limeway_checker::service::Cost) -> f64| limiters.iter().map(of).sum::<f64>();
    let (tries, cpu) = (sum(&|l| l.tries as f64).max(1.0), sum(&|l| l.cpu_s));
    Ok(Point {
        asked: rate,
        sent: s.tries as f64 / seconds,
        served: s.ends.in_time as f64 / s.ends.asked.max(1) as f64,
        late_us: [c.late_p50_us, c.late_p99_us, c.late_p999_us, c.late_max_us],
        cpu_us: cpu * 1e6 / tries,
        system: sum(&|l| l.system_s) / cpu.max(1e-9),
        core: limiters.iter().map(|l| l.cpu_s).fold(0.0, f64::max) / seconds,
        rss_kb: limiters.iter().map(|l| l.rss_kb).max().unwrap_or(0),
        fds: limiters.iter().map(|l| l.fds).max().unwrap_or(0),
        counts: s.counts as f64 / tries,
        broken: verdict.rules.iter().filter(|r| r.broken > 0).map(|r| r.rule).collect(),
    })
}

/// The points as a Markdown table.
pub fn table(points: &[Point]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(vec![
        "asked/s",
        "sent/s",
        "served",
        "late p50 ms",
        "p99",
        "p99.9",
        "most",
        "CPU us/try",
        "system",
        "core",
        "MiB",
        "fds",
        "counts/try",
        "rules broken",
    ]);
    for p in points {
        let ms = |at: usize| format!("{:.2}", p.late_us[at] as f64 / 1e3);
        let percent = |part: f64| format!("{:.1}%", part * 100.0);
        table.add_row(vec![
            format!("{:.0}", p.asked),
            format!("{:.0}", p.sent),
            percent(p.served),
            ms(0),
            ms(1),
            ms(2),
            ms(3),
            format!("{:.0}", p.cpu_us),
            percent(p.system),
            percent(p.core),
            format!("{:.1}", p.rss_kb as f64 / 1024.0),
            p.fds.to_string(),
            format!("{:.2}", p.counts),
            if p.broken.is_empty() { "none".into() } else { format!("{:?}", p.broken) },
        ]);
    }
    table.to_string()
}
