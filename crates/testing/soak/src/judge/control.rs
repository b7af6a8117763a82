//! Rules on configuration, leaving servers and evacuations.

use super::contact::in_touch;
use super::Finding;
use crate::bounds::{CONFIG_APPLY, DRAIN, EVACUATION, REVOKE};
use crate::ledger::{Acknowledged, ConfigVersion, End, Read, Seen};
use std::time::Duration;

/// What measuring itself may add, on a machine that is busy.
const SLACK: Duration = Duration::from_millis(150);

/// Versions that may be in force at a moment at a machine that has what was acknowledged a bound before: the newest of these, and all
/// that were sent since and not refused.
fn possible(seen: &Seen, sent: Duration, until: Duration, bound: Duration) -> Vec<&ConfigVersion> {
    let in_force = |config: &&ConfigVersion| config.acknowledged.is_some_and(|at| at + bound < sent);
    let newest = seen.configs.iter().filter(in_force).map(|config| config.version).max().unwrap_or(0);
    seen.configs
        .iter()
        .filter(|config| config.version >= newest && !config.refused && config.sent <= until)
        .collect()
}

/// REVOKE: no request runs with a key that was taken away so long ago, on any machine.
pub(super) fn revoked(seen: &Seen) -> Finding {
    let mut finding = Finding::new("CONFIG, revoked keys");
    for execution in &seen.executions {
        let Some(request) = seen.requests.get(&execution.request) else { continue };
        if request.key == "key-tight" {
            continue;
        }
        let possible = possible(seen, request.sent, execution.begun, REVOKE);
        let holds = possible.iter().any(|config| config.keys.contains(&request.key));
        finding.check(false, holds, || format!("{request:?} ran at {:?}", execution.begun));
    }
    // Requests with keys that had been taken away: most are refused, and so do not show among what ran.
    let taken_away = seen.requests.values().filter(|request| {
        let possible = possible(seen, request.sent, request.sent, REVOKE);
        request.key != "key-tight" && possible.iter().all(|config| !config.keys.contains(&request.key))
    });
    finding.near = taken_away.count() as u64;
    finding
}

/// CONFIG: machines in touch route by what was acknowledged `config-apply` before, or by what was sent since.
pub(super) fn config_in_force(seen: &Seen) -> Finding {
    let mut finding = Finding::new("CONFIG, in force");
    for (id, request) in seen.requests.iter().filter(|(_, request)| request.route != 0) {
        let Some((ended, End::Response { status, is_stamped, .. })) = &request.end else { continue };
        let from = request.sent.saturating_sub(CONFIG_APPLY);
        if !in_touch(seen, request.gateway, from, *ended) {
            continue;
        }
        let possible = possible(seen, request.sent, *ended, CONFIG_APPLY + SLACK);
        let knows = |config: &&&ConfigVersion| config.routes.contains(&request.route);
        let keyed = |config: &&&ConfigVersion| config.keys.contains(&request.key);
        let holds = match status {
            404 => possible.iter().any(|config| !config.routes.contains(&request.route)),
            401 => possible.iter().any(|config| !config.keys.contains(&request.key)),
            200..=299 if *is_stamped => possible.iter().any(|config| knows(&config) && keyed(&config)),
            _ => true,
        };
        let near = possible.iter().any(|config| !knows(&config)) || matches!(status, 401 | 404);
        finding.check(near, holds, || format!("request {id}: {request:?}"));
    }
    finding
}

/// DRAIN: a server gets nothing later than `drain` after it was acknowledged that it leaves.
pub(super) fn leaving(seen: &Seen) -> Finding {
    let mut finding = Finding::new("DRAIN");
    for (at, what) in &seen.acknowledged {
        let Acknowledged::Leaving(instance) = what else { continue };
        let bound = *at + DRAIN + SLACK;
        // It served on long enough for a late request to show.
        finding.checked += 1;
        finding.near += 1;
        for execution in seen.executions.iter().filter(|e| e.server == *instance && e.begun > bound) {
            let Some(request) = seen.requests.get(&execution.request) else { continue };
            if in_touch(seen, request.gateway, request.sent.saturating_sub(DRAIN), execution.begun) {
                finding.check(true, false, || {
                    format!("{instance}, acknowledged at {at:?}, runs at {:?}: {request:?}", execution.begun)
                });
            }
        }
    }
    finding
}

/// EVAC: servers of an evacuated zone get nothing later than `evacuation` after it was acknowledged, until it is taken back.
pub(super) fn evacuated(seen: &Seen) -> Finding {
    let mut finding = Finding::new("EVAC");
    for (at, what) in &seen.acknowledged {
        let Acknowledged::Evacuated(zone, _) = what else { continue };
        let returned = seen.acknowledged.iter().find_map(|(end, what)| match what {
            Acknowledged::Returned(other, sent) | Acknowledged::MayBeReturned(other, sent)
                if other == zone && end > at =>
            {
                Some(*sent)
            }
            _ => None,
        });
        finding.checked += 1;
        finding.near += 1;
        let span = *at + EVACUATION + SLACK..returned.unwrap_or(Duration::MAX);
        for execution in seen.executions.iter().filter(|e| span.contains(&e.begun)) {
            if seen.zones.get(&execution.server) != Some(zone) {
                continue;
            }
            let Some(request) = seen.requests.get(&execution.request) else { continue };
            if in_touch(seen, request.gateway, request.sent.saturating_sub(EVACUATION), execution.begun) {
                finding.check(true, false, || format!("{zone}, acknowledged at {at:?}: {execution:?}"));
            }
        }
    }
    finding
}

/// CONFIG: no machine, in touch or not, reads back an older version than was acknowledged before the read, or other routes than were
/// sent under its number.
pub(super) fn reads(seen: &Seen) -> Finding {
    let mut finding = Finding::new("CONFIG, reads");
    for read in &seen.reads {
        let before = |config: &&ConfigVersion| config.acknowledged.is_some_and(|at| at <= read.sent);
        let due = seen.configs.iter().filter(before).max_by_key(|config| config.version);
        let version = due.map_or(0, |config| config.version);
        let recent =
            due.and_then(|config| config.acknowledged).is_some_and(|at| at + CONFIG_APPLY > read.sent);
        // The loser of a race may have had a number that a later change got.
        let sent: Vec<&ConfigVersion> = seen.configs.iter().filter(|c| c.version == read.version).collect();
        let is_refused = !sent.is_empty() && sent.iter().all(|config| config.refused);
        let is_as_sent = sent.is_empty() || sent.iter().any(|config| has_same_routes(config, read));
        let holds = read.version >= version && !is_refused && is_as_sent;
        finding.check(recent, holds, || format!("{read:?}, due {version}, sent {sent:?}"));
    }
    finding
}

/// Whether a configuration that was read has the routes of one that was sent.
fn has_same_routes(sent: &ConfigVersion, read: &Read) -> bool {
    let mut routes = sent.routes.clone();
    routes.sort_unstable();
    routes == read.routes
}

/// CONFIG: of two changes on one base one is acknowledged at most.
pub(super) fn races(seen: &Seen) -> Finding {
    let mut finding = Finding::new("CONFIG, races");
    for message in seen.own_ends.iter().filter(|m| m.starts_with("both changes")) {
        finding.check(true, false, || message.clone());
    }
    let refused = seen.configs.iter().filter(|config| config.refused).count() as u64;
    finding.checked += seen.configs.len() as u64;
    finding.near += refused;
    finding
}
