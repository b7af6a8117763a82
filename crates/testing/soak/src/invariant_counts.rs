//! What processes have counted of their invariants.

use std::collections::BTreeMap;
use std::ops::AddAssign;

/// The counts of one invariant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InvariantCounts {
    /// Checks made.
    pub checked: u64,
    /// Checks in the situation that they guard against.
    pub near: u64,
    /// Checks that failed.
    pub violated: u64,
}

impl AddAssign for InvariantCounts {
    fn add_assign(&mut self, other: Self) {
        self.checked += other.checked;
        self.near += other.near;
        self.violated += other.violated;
    }
}

/// The counts of each invariant, by its name, in the figures of a process.
pub(crate) fn parse_counts(text: &str) -> BTreeMap<String, InvariantCounts> {
    let mut all: BTreeMap<String, InvariantCounts> = BTreeMap::new();
    for line in text.lines().filter(|line| line.starts_with("limeway_invariant_")) {
        let parts: Vec<&str> = line.split('"').collect();
        let [metric, name, value] = parts[..] else { continue };
        let value = value.trim_start_matches('}').trim().parse().unwrap_or(0);
        let counts = all.entry(name.to_owned()).or_default();
        match metric.split('{').next() {
            Some("limeway_invariant_checks_total") => counts.checked = value,
            Some("limeway_invariant_near_total") => counts.near = value,
            Some("limeway_invariant_violations_total") => counts.violated = value,
            _ => {}
        }
    }
    all
}
