//! Rules on servers that are to be used: in a zone that was taken back, and after an instance of theirs has ended.
//!
//! A gateway prefers servers of its own zone, so what its clients sent while it was in touch shows whether these are used.

use super::contact::in_touch;
use super::Finding;
use crate::addresses::zone_of;
use crate::bounds::EVACUATION;
use crate::ledger::{Acknowledged, Execution, Seen, ServerInstance};
use std::ops::Range;
use std::time::Duration;

/// So many requests go by a server that is used, or a zone, in no case.
const MIN_REQUESTS: usize = 40;
/// Calls about zones that a finding shows.
const MAX_SHOWN_CALLS: usize = 8;
/// A server that has just started, or was in trouble, gets its share after this.
const SETTLING_TIME: Duration = Duration::from_secs(8);

/// What ran in a span for clients of gateways of a zone that were in touch then.
fn runs<'a>(seen: &'a Seen, zone: &str, span: &Range<Duration>) -> Vec<&'a Execution> {
    let is_of_zone = |execution: &&Execution| {
        let Some(request) = seen.requests.get(&execution.request) else { return false };
        zone_of(request.gateway).0 == zone && in_touch(seen, request.gateway, request.sent, execution.begun)
    };
    let within = seen.executions.iter().filter(|execution| span.contains(&execution.begun));
    within.filter(is_of_zone).collect()
}

/// Whether a server had no trouble of its own in a span, or shortly before it.
fn is_well(seen: &Seen, server: usize, span: &Range<Duration>) -> bool {
    let from = span.start.saturating_sub(SETTLING_TIME);
    let concerns = |begun: Duration, ended: Duration| begun < span.end && ended > from;
    let of_server = seen.faults.iter().filter(|fired| fired.fault.server() == Some(server));
    let has_trouble = of_server.into_iter().any(|fired| concerns(fired.begun, fired.ended));
    !has_trouble && !lasts_into_power_loss(seen, span)
}

/// Whether a span goes on after all power was lost.
fn lasts_into_power_loss(seen: &Seen, span: &Range<Duration>) -> bool {
    seen.power_loss.is_some_and(|(lost, _)| span.end > lost)
}

/// Requests of a zone's clients, and how many of them went where some had to go.
struct Share {
    requests: usize,
    own: usize,
}

impl Share {
    /// Counts whether there is any share, if there are enough requests to tell.
    fn check(&self, finding: &mut Finding, example: impl Fn() -> String) {
        let is_judged = self.requests >= MIN_REQUESTS;
        finding.check(is_judged, self.own > 0 || !is_judged, example);
    }
}

/// EVAC: a zone that was taken back gets requests again.
pub(super) fn returned(seen: &Seen) -> Finding {
    let mut finding = Finding::new("EVAC, taken back");
    for (at, what) in &seen.acknowledged {
        let Acknowledged::Returned(zone, _) = what else { continue };
        let span = *at + EVACUATION..next_evacuation(seen, zone, *at);
        let of_zone = |instance: &&ServerInstance| zone_of(instance.server).0 == zone;
        let mut instances = seen.server_instances.iter().filter(of_zone);
        if !instances.any(|instance| instance.begun < *at && is_well(seen, instance.server, &span)) {
            continue;
        }
        let runs = runs(seen, zone, &span);
        let is_own = |execution: &&&Execution| seen.zones.get(&execution.server) == Some(zone);
        let share = Share { requests: runs.len(), own: runs.iter().filter(is_own).count() };
        share.check(&mut finding, || {
            let requests = share.requests;
            let before = calls_before(seen, *at);
            format!(
                "{zone}, taken back at {at:?}: none of {requests} until {:?}; before: {before:?}",
                span.end
            )
        });
    }
    finding
}

/// The last calls about zones up to a moment.
fn calls_before(seen: &Seen, at: Duration) -> Vec<&(Duration, Acknowledged)> {
    let about_zones =
        |(when, what): &&(Duration, Acknowledged)| *when <= at && !matches!(what, Acknowledged::Leaving(_));
    let calls: Vec<_> = seen.acknowledged.iter().filter(about_zones).collect();
    calls[calls.len().saturating_sub(MAX_SHOWN_CALLS)..].to_vec()
}

/// When the next evacuation of a zone was sent, or power was lost.
fn next_evacuation(seen: &Seen, zone: &str, after: Duration) -> Duration {
    let sent = seen.acknowledged.iter().filter_map(|(_, what)| match what {
        Acknowledged::Evacuated(other, sent) if other == zone && *sent >= after => Some(*sent),
        _ => None,
    });
    let lost = seen.power_loss.map(|(lost, _)| lost);
    sent.chain(lost).min().unwrap_or(after)
}

/// A server that lives and reports itself gets its share of what its zone's clients send, whatever comes late of its former instances.
pub(super) fn living(seen: &Seen) -> Finding {
    let mut finding = Finding::new("living servers are used");
    for (at, instance) in seen.server_instances.iter().enumerate() {
        let next = seen.server_instances[at + 1..].iter().find(|next| next.server == instance.server);
        let lost = seen.power_loss.map(|(lost, _)| lost);
        let Some(until) = first_trouble(seen, instance, next).into_iter().chain(lost).min() else { continue };
        let span = instance.begun + SETTLING_TIME..until;
        let zone = zone_of(instance.server).0;
        if span.is_empty() || is_evacuated(seen, zone, &span) {
            continue;
        }
        let runs = runs(seen, zone, &span);
        let of_zone = |execution: &&&Execution| seen.zones.get(&execution.server).is_some_and(|z| z == zone);
        let share = Share {
            requests: runs.iter().filter(of_zone).count(),
            own: runs.iter().filter(|execution| execution.server == instance.instance).count(),
        };
        share.check(&mut finding, || {
            format!("{instance:?}: none of {} requests in its zone until {until:?}", share.requests)
        });
    }
    finding
}

/// When an instance of a server came into trouble, or ended.
fn first_trouble(seen: &Seen, instance: &ServerInstance, next: Option<&ServerInstance>) -> Option<Duration> {
    let of_server = seen.faults.iter().filter(|fired| fired.fault.server() == Some(instance.server));
    let troubles = of_server.map(|fired| fired.begun).filter(|begun| *begun >= instance.begun);
    troubles.chain(next.map(|next| next.begun)).min()
}

/// Whether a zone was, or may have been, evacuated at any time of a span.
fn is_evacuated(seen: &Seen, zone: &str, span: &Range<Duration>) -> bool {
    let mut begun: Option<Duration> = None;
    for (at, what) in &seen.acknowledged {
        match what {
            Acknowledged::Evacuated(other, sent) if other == zone => {
                begun.get_or_insert(*sent);
            }
            Acknowledged::Returned(other, _) if other == zone => {
                let from = begun.take().unwrap_or(*at);
                if from < span.end && *at + EVACUATION > span.start {
                    return true;
                }
            }
            _ => {}
        }
    }
    begun.is_some_and(|from| from < span.end)
}
