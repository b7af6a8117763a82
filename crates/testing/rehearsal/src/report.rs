//! A verdict in words: the table at the end of a run, and the comparison of two.

use comfy_table::presets::NOTHING;
use comfy_table::{CellAlignment, Table};
use limeway_checker::ledger::Closing;
use limeway_checker::rules::Judged;
use limeway_checker::service::{Prices, Service};
use limeway_checker::Verdict;
use std::fmt::Write;

/// Breaks of a rule that the table shows; the JSON report holds more.
const MAX_SHOWN_BREAKS: usize = 3;

fn table() -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table
}

fn percent(part: f64) -> String {
    format!("{:.1}%", part * 100.0)
}

/// What is said of a rule in a word or two.
pub fn word(rule: &Judged) -> &'static str {
    match (rule.of, rule.broken) {
        // What a run came near nothing of, it cannot have kept.
        (0, 0) => "not tested",
        (_, 0) => "pass",
        _ => "FAIL",
    }
}

/// The verdict as text.
pub fn text(verdict: &Verdict, closing: Option<&Closing>, notes: &[String]) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "\n{}, seed {}", verdict.scenario, verdict.seed);
    for note in notes {
        let _ = writeln!(out, "note: {note}");
    }
    write_rules(&mut out, verdict);
    write_service(&mut out, &verdict.service);
    write_limiters(&mut out, verdict);
    if let Some(closing) = closing {
        write_lateness(&mut out, closing);
    }
    write_conclusion(&mut out, verdict);
    out
}

/// A row a rule, then the first breaks of those that were broken.
fn write_rules(out: &mut String, verdict: &Verdict) {
    let mut rules = table();
    for rule in &verdict.rules {
        let word = word(rule);
        let count = match rule.broken {
            0 => format!("judged on {}", rule.of),
            n => format!("broken {n} times of {}", rule.of),
        };
        rules.add_row(vec![format!("rule {}", rule.rule), rule.name.to_owned(), word.to_owned(), count]);
    }
    let _ = writeln!(out, "{rules}");
    for rule in verdict.rules.iter().filter(|r| r.broken > 0) {
        for seen in rule.breaks.iter().take(MAX_SHOWN_BREAKS) {
            let at = seen.t as f64 / 1e6;
            let _ = writeln!(out, "  rule {} at {at:.3} s, {}: {}", rule.rule, seen.of, seen.seen);
        }
    }
}

/// The figure, what it is made of, and where first tries ended.
fn write_service(out: &mut String, service: &Service) {
    let _ = writeln!(out, "\nservice {:.3}", service.figure);
    let mut parts = table();
    let mut row = |name: &str, value: String, note: String| {
        parts.add_row(vec![format!("  {name}"), value, note]);
    };
    row("whole run", percent(service.whole), String::new());
    let worst = format!("from {:.0} s on", service.worst_at as f64 / 1e6);
    row("worst 10 s", percent(service.worst_window), worst);
    row("worst plan", percent(service.worst_plan), String::new());
    for plan in &service.plans {
        let note = format!("{} first tries, {} inside the quota", plan.asked, plan.inside);
        row(&format!("plan {}", plan.name), percent(plan.service), note);
    }
    for (name, value) in named_prices(&service.prices) {
        row(name, format!("-{}", percent(value)), String::new());
    }
    if let Some(column) = parts.column_mut(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    let _ = writeln!(out, "{parts}");
    let ends = &service.ends;
    let _ = writeln!(
        out,
        "\n{} first tries: {} served in time, {} late, {} refused, {} failed; {} tries, {} attempts, {} calls to the counter, {} messages",
        ends.asked,
        ends.in_time,
        ends.late,
        ends.refused,
        ends.failed,
        service.tries,
        service.attempts,
        service.counts,
        service.messages
    );
}

fn named_prices(prices: &Prices) -> [(&'static str, f64); 6] {
    [
        ("sent on beyond quotas", prices.over_quota),
        ("calls to the counter", prices.counter),
        ("messages", prices.peer),
        ("wasted work", prices.waste),
        ("late failures", prices.late_fail),
        ("rooms crossed", prices.cross_room),
    ]
}

/// What each limiter used.
fn write_limiters(out: &mut String, verdict: &Verdict) {
    for cost in &verdict.limiters {
        let _ = writeln!(
            out,
            "limiter {}: {} tries, {:.2} s of CPU ({:.0} us a try), {:.1} MiB, {} descriptors",
            cost.limiter,
            cost.tries,
            cost.cpu_s,
            cost.cpu_us_per_try,
            cost.rss_kb as f64 / 1024.0,
            cost.fds
        );
    }
}

fn write_lateness(out: &mut String, closing: &Closing) {
    let ms = |t: u64| t as f64 / 1e3;
    let _ = writeln!(
        out,
        "the kit's own lateness: {:.2} ms p50, {:.2} ms p99, {:.2} ms p99.9, {:.2} ms at most",
        ms(closing.late_p50_us),
        ms(closing.late_p99_us),
        ms(closing.late_p999_us),
        ms(closing.late_max_us)
    );
}

fn write_conclusion(out: &mut String, verdict: &Verdict) {
    match &verdict.void {
        Some(reason) => {
            let _ = writeln!(out, "\nVOID: {reason}. This run proves nothing.");
        }
        None => {
            let passed = verdict.rules.iter().filter(|r| r.broken == 0).count();
            let _ = writeln!(out, "\n{passed} of {} rules pass", verdict.rules.len());
        }
    }
}

/// A part of service.
type Part = fn(&Service) -> f64;

/// Two runs of one day side by side.
pub fn compare(names: [&str; 2], verdicts: [&Verdict; 2]) -> String {
    let mut table = table();
    table.set_header(vec!["", names[0], names[1], "difference"]);
    let [a, b] = verdicts;
    let rows: [(&str, Part); 9] = [
        ("service", |s| s.figure),
        ("whole run", |s| s.whole),
        ("worst 10 s", |s| s.worst_window),
        ("worst plan", |s| s.worst_plan),
        ("sent on beyond quotas", |s| s.prices.over_quota),
        ("wasted work", |s| s.prices.waste),
        ("late failures", |s| s.prices.late_fail),
        ("served in time", |s| s.ends.in_time as f64),
        ("calls to the counter", |s| s.counts as f64),
    ];
    for (name, of) in rows {
        let (x, y) = (of(&a.service), of(&b.service));
        table.add_row(vec![name.to_owned(), format!("{x:.3}"), format!("{y:.3}"), format!("{:+.3}", y - x)]);
    }
    let cpu = |v: &Verdict| {
        let tries: usize = v.limiters.iter().map(|l| l.tries).sum();
        v.limiters.iter().map(|l| l.cpu_s).sum::<f64>() * 1e6 / tries.max(1) as f64
    };
    let (x, y) = (cpu(a), cpu(b));
    table.add_row(vec![
        "CPU a try, us".to_owned(),
        format!("{x:.1}"),
        format!("{y:.1}"),
        format!("{:+.1}", y - x),
    ]);
    for (x, y) in a.rules.iter().zip(&b.rules) {
        let word = |broken| if broken == 0 { "pass".to_owned() } else { format!("FAIL ({broken})") };
        let row = vec![format!("rule {}: {}", x.rule, x.name), word(x.broken), word(y.broken), String::new()];
        table.add_row(row);
    }
    format!("\n{table}\n")
}
