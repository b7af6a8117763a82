//! What a run shows: how often each fault fired, and how often each rule and each invariant was checked, near and broken.

use crate::invariant_counts::InvariantCounts;
use crate::judge::Finding;
use crate::ledger::{End, Seen};
use crate::process_age::ProcessAge;
use crate::process_status::StartupPhase;
use crate::stalls::Stall;
use crate::starter::Starter;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Standstills that a report tells of, the longest ones.
const MAX_SHOWN_STALLS: usize = 20;

/// What became of a run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// How often each fault fired.
    pub faults: BTreeMap<&'static str, u64>,
    /// Most faults at one moment.
    pub overlap: usize,
    /// The rules.
    pub findings: Vec<Finding>,
    /// The invariants of the processes.
    pub invariants: BTreeMap<String, InvariantCounts>,
    /// Lines of the logs that tell of violations.
    pub log_violations: Vec<String>,
    /// How requests ended.
    pub ends: BTreeMap<String, u64>,
    /// How many processes each kind of starter has started.
    pub starts: BTreeMap<Starter, u64>,
    /// How far processes had come when they were sent a signal, by its name and their starter.
    pub signal_phases: BTreeMap<(&'static str, Starter, StartupPhase), u64>,
    /// How old processes were when they were sent a signal, by its name and their starter.
    pub signal_ages: BTreeMap<(&'static str, Starter, ProcessAge), u64>,
    /// Standstills of the soak itself.
    pub stalls: Vec<Stall>,
}

impl Report {
    /// The report on a ledger.
    pub fn new(
        seed: u64,
        seen: &Seen,
        findings: Vec<Finding>,
        invariants: BTreeMap<String, InvariantCounts>,
        log_violations: Vec<String>,
    ) -> Self {
        let mut report = Report {
            seed,
            findings,
            invariants,
            log_violations,
            overlap: max_overlap(seen),
            stalls: seen.stalls.clone(),
            ..Report::default()
        };
        for fired in &seen.faults {
            *report.faults.entry(fired.fault.name()).or_default() += 1;
        }
        for request in seen.requests.values() {
            let end = match &request.end {
                None => "open".to_owned(),
                Some((_, End::Response { status, .. })) => status.to_string(),
                Some((_, end)) => format!("{end:?}").to_lowercase(),
            };
            *report.ends.entry(end).or_default() += 1;
        }
        report
    }

    /// Whether nothing was broken.
    pub fn holds(&self) -> bool {
        let violated = self.invariants.values().any(|counts| counts.violated > 0);
        self.findings.iter().all(|finding| finding.broken == 0) && !violated && self.log_violations.is_empty()
    }

    /// Adds another run's counts; the violations of both are told.
    pub fn add(&mut self, other: &Report) {
        for (name, count) in &other.faults {
            *self.faults.entry(name).or_default() += count;
        }
        self.overlap = self.overlap.max(other.overlap);
        for finding in &other.findings {
            match self.findings.iter_mut().find(|own| own.rule == finding.rule) {
                Some(own) => {
                    own.checked += finding.checked;
                    own.near += finding.near;
                    own.broken += finding.broken;
                    own.examples.extend(
                        finding.examples.iter().map(|example| format!("seed {}: {example}", other.seed)),
                    );
                }
                None => self.findings.push(finding.clone()),
            }
        }
        for (name, counts) in &other.invariants {
            let own = self.invariants.entry(name.clone()).or_default();
            own.checked += counts.checked;
            own.near += counts.near;
            own.violated += counts.violated;
        }
        self.log_violations.extend(other.log_violations.iter().cloned());
        for (end, count) in &other.ends {
            *self.ends.entry(end.clone()).or_default() += count;
        }
        for (starter, count) in &other.starts {
            *self.starts.entry(*starter).or_default() += count;
        }
        for (signal, count) in &other.signal_ages {
            *self.signal_ages.entry(*signal).or_default() += count;
        }
        self.stalls.extend(&other.stalls);
        for (signal, count) in &other.signal_phases {
            *self.signal_phases.entry(*signal).or_default() += count;
        }
    }

    /// The report as text. What was never near has not passed: it is *untested*.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to memory does not fail.
        let _ = writeln!(text, "faults (most at one moment: {})", self.overlap);
        for (name, count) in &self.faults {
            let _ = writeln!(text, "  {name:<28} {count:>6}");
        }
        for (starter, count) in &self.starts {
            let _ = writeln!(text, "{:<30} {count:>6}", format!("  started, {starter}"));
        }
        for ((signal, starter, phase), count) in &self.signal_phases {
            let _ = writeln!(text, "{:<46} {count:>6}", format!("  {signal}, {starter}, {phase}"));
        }
        for ((signal, starter, age), count) in &self.signal_ages {
            let _ = writeln!(text, "{:<46} {count:>6}", format!("  {signal}, {starter}, process {age}"));
        }
        let _ = writeln!(text, "the soak itself stood still {} times", self.stalls.len());
        let mut longest: Vec<&Stall> = self.stalls.iter().collect();
        longest.sort_by_key(|stall| Reverse(stall.length));
        for stall in longest.iter().take(MAX_SHOWN_STALLS) {
            let _ = writeln!(text, "  {stall}");
        }
        let _ = writeln!(text, "requests {:?}", self.ends);
        let _ = writeln!(text, "{:<30} {:>9} {:>9} {:>7}", "rule", "checked", "near", "broken");
        for finding in &self.findings {
            let verdict = verdict(finding.near, finding.broken);
            let (rule, checked, near, broken) = (finding.rule, finding.checked, finding.near, finding.broken);
            let _ = writeln!(text, "  {rule:<28} {checked:>9} {near:>9} {broken:>7}  {verdict}");
            for example in &finding.examples {
                let _ = writeln!(text, "      {example}");
            }
        }
        let _ = writeln!(
            text,
            "{:<30} {:>9} {:>9} {:>7}",
            "invariant in the code", "checked", "near", "violated"
        );
        for (name, counts) in &self.invariants {
            let verdict = verdict(counts.near, counts.violated);
            let InvariantCounts { checked, near, violated } = counts;
            let _ = writeln!(text, "  {name:<28} {checked:>9} {near:>9} {violated:>7}  {verdict}");
        }
        for line in &self.log_violations {
            let _ = writeln!(text, "      {line}");
        }
        text
    }
}

fn verdict(near: u64, broken: u64) -> &'static str {
    match (near, broken) {
        (_, 1..) => "BROKEN",
        (0, _) => "untested",
        _ => "held",
    }
}

/// Most faults that lasted at one moment.
fn max_overlap(seen: &Seen) -> usize {
    let lasts = |at: Duration| seen.faults.iter().filter(|f| f.begun <= at && at <= f.ended).count();
    seen.faults.iter().map(|fired| lasts(fired.begun)).max().unwrap_or(0)
}
