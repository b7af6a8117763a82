//! Rules on quotas, on what is left after a loss of power, and on processes.

use super::contact::in_touch;
use super::{Finding, MAX_EXAMPLES};
use crate::bounds::{EVACUATION, MEMORY_MB, QUOTA_WINDOW, RECOVERY, TIGHT_IN_WINDOW};
use crate::ledger::{ConfigVersion, End, Execution, ReadinessProbe, Request, Seen};
use std::time::Duration;

/// One look in so many at a gateway in touch may find it not ready: a duty is missed for an eighth of the calm time.
const UNREADY_RATIO: u64 = 8;
/// A process with more than one part in so many of its memory holds bodies: else it takes a small part of that.
const NEAR_MEMORY_DIVISOR: usize = 4;
/// Upper bound on the requests that are looked at for whether service is back.
const MAX_RECENT: usize = 1_000;

/// QUOTA: over all machines, in touch or not, no span has more of a tenant than its quota.
pub(super) fn quota(seen: &Seen) -> Finding {
    let mut finding = Finding::new("QUOTA");
    let of_tenant = |execution: &&Execution| {
        seen.requests.get(&execution.request).is_some_and(|request| request.key == "key-tight")
    };
    // Sent and arrived within the span: those that arrive in it and were sent no sooner than it begins.
    let mut runs: Vec<(Duration, Duration)> = seen
        .executions
        .iter()
        .filter(of_tenant)
        .map(|execution| (execution.begun, seen.requests[&execution.request].sent))
        .collect();
    runs.sort_unstable();
    for (first, (begin, _)) in runs.iter().enumerate() {
        let end = *begin + QUOTA_WINDOW;
        let within = runs[first..].iter().take_while(|(at, _)| *at <= end).filter(|(_, sent)| sent >= begin);
        let count = within.count() + 1;
        let near = 4 * count >= 3 * TIGHT_IN_WINDOW;
        finding.check(near, count <= TIGHT_IN_WINDOW, || {
            format!("{count} of {TIGHT_IN_WINDOW} in the span from {begin:?}")
        });
    }
    finding
}

/// LOST: after all machines lost power, one disk among them, what was acknowledged is read back.
pub(super) fn power_loss(seen: &Seen) -> Finding {
    let mut finding = Finding::new("LOST after a loss of power");
    let Some((lost, _)) = seen.power_loss else { return finding };
    let acknowledged =
        |config: &&ConfigVersion| config.acknowledged.is_some_and(|at| at <= lost) && !config.refused;
    let newest = seen.configs.iter().filter(acknowledged).map(|config| config.version).max().unwrap_or(0);
    let holds = seen.read_back.is_some_and(|version| version >= newest);
    finding.check(true, holds, || format!("{:?} was read back, {newest} was acknowledged", seen.read_back));
    finding
}

/// LOST: after all machines lost power, an evacuation that was acknowledged holds.
pub(super) fn evacuation_after_power_loss(seen: &Seen) -> Finding {
    let mut finding = Finding::new("LOST evacuation after a loss of power");
    let (Some(zone), Some(ready)) = (&seen.evacuated_at_end, seen.ready_again) else { return finding };
    let late = |execution: &&Execution| execution.begun > ready + EVACUATION;
    for execution in seen.executions.iter().filter(late) {
        let is_evacuated = seen.zones.get(&execution.server) == Some(zone);
        finding.check(true, !is_evacuated, || format!("{zone}, ready at {ready:?}: {execution:?}"));
    }
    finding
}

/// Duty: gateways in touch are ready, but for an eighth of the time.
pub(super) fn readiness(seen: &Seen) -> Finding {
    let mut finding = Finding::new("ready in calm time");
    let calm = |probe: &&ReadinessProbe| in_touch(seen, probe.gateway, probe.at, probe.at);
    for probe in seen.probes.iter().filter(calm) {
        finding.checked += 1;
        finding.near += u64::from(!probe.is_ready);
        if !probe.is_ready {
            finding.examples.push(format!("{probe:?}"));
        }
    }
    if finding.near * UNREADY_RATIO > finding.checked {
        finding.broken = finding.near;
        finding.examples.truncate(MAX_EXAMPLES);
    } else {
        finding.examples.clear();
    }
    finding
}

/// No process ends by itself, or outlives its grace period.
pub(super) fn own_ends(seen: &Seen) -> Finding {
    let mut finding = Finding::new("own ends");
    finding.checked = seen.faults.len() as u64;
    finding.near = seen.faults.iter().filter(|fired| fired.fault.is_planned()).count() as u64;
    for message in seen.own_ends.iter().filter(|m| !m.starts_with("both changes")) {
        finding.check(true, false, || message.clone());
    }
    finding
}

/// Fault: a process that goes over its memory is killed by the platform.
pub(super) fn memory(seen: &Seen) -> Finding {
    let mut finding = Finding::new("memory");
    let limit = MEMORY_MB * 1_000_000;
    for (machine, peak) in &seen.memory_peaks {
        finding.check(NEAR_MEMORY_DIVISOR * peak > limit, *peak <= limit, || {
            format!("machine {machine} had {peak} bytes, and may have {limit}")
        });
    }
    finding
}

/// RECOVER: after the loss of power, gateways are ready within the bound on recovery, and requests are served, if they were before.
pub(super) fn recovery(seen: &Seen) -> Finding {
    let mut finding = Finding::new("RECOVER");
    let Some((_, restarted)) = seen.power_loss else { return finding };
    let looks = [("ready", seen.ready_again, true), ("served", seen.served_again, seen.served_before)];
    for (what, at, is_due) in looks {
        let in_time = at.is_some_and(|at| at <= restarted + RECOVERY);
        finding.check(is_due, in_time || !is_due, || format!("{what} at {at:?}, restarted at {restarted:?}"));
    }
    finding
}

/// Whether a quarter or more of the requests that were sent since, and have ended, were served; those of the tenant that asks for more
/// than its quota aside.
pub fn is_served_since(seen: &Seen, since: Duration) -> bool {
    let recent = seen.requests.values().rev().take(MAX_RECENT);
    is_quarter_served(recent.filter(|request| request.sent >= since))
}

/// The same of all requests of the run until now.
pub fn is_served_so_far(seen: &Seen) -> bool {
    is_quarter_served(seen.requests.values())
}

fn is_quarter_served<'a>(requests: impl Iterator<Item = &'a Request>) -> bool {
    let ended: Vec<&End> = requests
        .filter(|request| request.key != "key-tight")
        .filter_map(|request| request.end.as_ref().map(|(_, end)| end))
        .collect();
    let served = ended.iter().filter(|end| matches!(end, End::Response { status: 200..=299, .. })).count();
    !ended.is_empty() && 4 * served >= ended.len()
}
