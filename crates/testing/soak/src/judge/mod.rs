//! The rules on a ledger. Each finding counts how often its rule was looked at, how often it was near to being broken, and what broke it.

mod contact;
mod control;
mod requests;
mod service;
mod shares;

pub use service::{is_served_since, is_served_so_far};

use crate::ledger::Seen;

/// Upper bound on the violations that are kept of one rule.
const MAX_EXAMPLES: usize = 12;

/// What became of one rule.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Finding {
    /// The rule.
    pub rule: &'static str,
    /// What it was looked at on.
    pub checked: u64,
    /// Of these, those in the situation that it guards against.
    pub near: u64,
    /// How often it was broken.
    pub broken: u64,
    /// What broke it: the first few.
    pub examples: Vec<String>,
}

impl Finding {
    pub(crate) fn new(rule: &'static str) -> Self {
        Finding { rule, ..Finding::default() }
    }

    pub(crate) fn check(&mut self, near: bool, holds: bool, detail: impl FnOnce() -> String) {
        self.checked += 1;
        self.near += u64::from(near);
        if !holds {
            self.broken += 1;
            if self.examples.len() < MAX_EXAMPLES {
                self.examples.push(detail());
            }
        }
    }
}

/// Judges all rules.
pub fn judge(seen: &Seen) -> Vec<Finding> {
    let mut findings = requests::lost(seen);
    findings.extend([
        requests::unasked(seen),
        requests::mixed(seen),
        requests::twice(seen),
        requests::refused(seen),
        requests::gone(seen),
        requests::lost_on_reused_connections(seen),
        requests::denied(seen),
        requests::given_up_at_once(seen),
        control::revoked(seen),
        control::config_in_force(seen),
        control::leaving(seen),
        control::evacuated(seen),
        shares::returned(seen),
        shares::living(seen),
        control::reads(seen),
        control::races(seen),
        service::quota(seen),
        service::power_loss(seen),
        service::evacuation_after_power_loss(seen),
        service::readiness(seen),
        service::own_ends(seen),
        service::memory(seen),
        service::recovery(seen),
    ]);
    findings
}
