//! Days in virtual time: many at once with their worst, or one again with all that was said.

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use limeway_gateway_simulation::{play_with, shrink, Figures, Finding, Guards, Kind, Schedule, Took};
use rayon::prelude::*;
use std::fmt::Write;

/// Figures of many days of one kind, and the first that broke a rule.
pub fn many(
    kind: Kind,
    seeds: std::ops::Range<u64>,
    guards: Guards,
    ahead: bool,
) -> (Figures, Option<(u64, Finding)>) {
    let days: Vec<_> = seeds
        .into_par_iter()
        .map(|seed| {
            let played = play_with(&Schedule { ahead, ..Schedule::draw(kind, seed) }, guards);
            (seed, played.figures, played.findings.into_iter().next())
        })
        .collect();
    // Added up in the order of seeds, so that sums do not depend on the threads.
    let (mut all, mut first) = (Figures::default(), None);
    for (seed, figures, finding) in days {
        all.add(&figures);
        first = first.or(finding.map(|finding| (seed, finding)));
    }
    (all, first)
}

/// Mean and most, in seconds.
fn took(took: Took) -> String {
    took.mean().map_or_else(String::new, |mean| format!("{mean:.2} ({:.1})", took.most as f64 / 1e6))
}

/// The figures as a Markdown table.
pub fn table(rows: &[(Kind, Figures)]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(vec![
        "kind",
        "days",
        "worst overshoot",
        "in units",
        "seed",
        "beyond budgets",
        "let in",
        "within",
        "close",
        "beyond",
        "nearest ceiling",
        "counts/request",
        "messages/request",
        "at once",
        "found, s",
        "back, s",
        "failed",
    ]);
    for (kind, f) in rows {
        let part = |a: f64, b: f64| a / b.max(1.0);
        table.add_row(vec![
            kind.name().to_owned(),
            f.days.to_string(),
            format!("{:.1}%", f.overshoot * 100.0),
            format!("{:.1}", f.overshoot_units),
            f.worst_seed.to_string(),
            format!("{:.4}%", 100.0 * part(f.beyond, f.units)),
            format!("{:.1}%", 100.0 * part(f.sent_inside as f64, f.inside as f64)),
            format!("{:.1}%", 100.0 * part(f.groups[0].sent_inside, f.groups[0].inside)),
            format!("{:.1}%", 100.0 * part(f.groups[1].sent_inside, f.groups[1].inside)),
            format!("{:.1}%", 100.0 * part(f.groups[2].sent, f.groups[2].inside)),
            format!("{:.2}", f.ceiling),
            format!("{:.3}", part(f.counts as f64, f.requests as f64)),
            format!("{:.4}", part(f.messages as f64, f.requests as f64)),
            format!("{:.1}%", 100.0 * part(f.at_once as f64, f.sent as f64)),
            took(f.found),
            took(f.back),
            f.failed.to_string(),
        ]);
    }
    table.to_string()
}

/// One day again: its schedule, what gateways said, and what was found; a failing one cut down.
pub fn one(kind: Kind, seed: u64, guards: Guards, ahead: bool) -> (String, bool) {
    let day = Schedule { ahead, ..Schedule::draw(kind, seed) };
    let played = play_with(&day, guards);
    let mut text = String::new();
    let seconds = |t: u64| t as f64 / 1e6;
    let _ = writeln!(text, "{} {seed}: {} gateways, {} customers", kind.name(), day.gateways, day.customers);
    for (t, fault) in &day.faults {
        let _ = writeln!(text, "{:8.3} s  {fault:?}", seconds(*t));
    }
    for (t, gateway, note) in &played.notes {
        let _ = writeln!(text, "{:8.3} s  gateway {gateway}: {note}", seconds(*t));
    }
    for finding in &played.findings {
        let _ = writeln!(text, "{:8.3} s  FOUND: {}", seconds(finding.t), finding.what);
    }
    if let Some(w) = &played.worst {
        let (t, doors) = (seconds(w.t), &w.doors);
        let _ = writeln!(
            text,
            "{t:8.3} s  worst: {} of {doors:?}, {:.1} of {:.1} over",
            w.customer, w.over, w.budget
        );
    }
    if played.figures.overshoot > 0.0 {
        let least = played.figures.overshoot;
        let small = shrink(&day, |day| play_with(day, guards).figures.overshoot >= least);
        let _ = writeln!(text, "a window is passed as far with: {:?}", small.faults);
    }
    let failed = !played.findings.is_empty();
    if failed {
        let small = shrink(&day, |day| !play_with(day, guards).findings.is_empty());
        let _ = writeln!(text, "still fails with: {:?}", small.faults);
    }
    let _ = writeln!(text, "{}", table(&[(kind, played.figures)]));
    (text, failed)
}
