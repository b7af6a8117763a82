//! Rules on requests and their answers.

use super::contact::{in_touch, is_calm};
use super::Finding;
use crate::bounds::{CONFIG_APPLY, GONE, GRACE};
use crate::fault::Fault;
use crate::layout::CORE;
use crate::ledger::{End, Execution, Fired, Request, RequestId, Seen};
use std::collections::BTreeMap;
use std::time::Duration;

/// Statuses that promise that a request has not been executed, and never will be.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// What measuring itself may add, on a machine that is busy.
const SLACK: Duration = Duration::from_millis(150);
/// Requests that may reach a server late after their client has closed: the page on GONE says "a few".
const MAX_GONE: u64 = 5;
/// What clients grant beyond the deadline that they state.
const FINAL_ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A request that ends in the last part of its time is near to being held past it.
const NEAR_DEADLINE: Duration = Duration::from_millis(200);
/// A whole request that is not answered may lose its connection no later than this.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Requests on kept connections that may be closed without an answer: LOST is broken from the fourth on.
const MAX_LOST_ON_REUSED: usize = 3;
/// Requests that may end with a status of our own that is not theirs: DENIED allows five, and one in 500 more, which a run has not.
const MAX_DENIED: u64 = 5;

fn executions(seen: &Seen) -> BTreeMap<RequestId, Vec<&Execution>> {
    let mut by_request: BTreeMap<RequestId, Vec<&Execution>> = BTreeMap::new();
    for execution in &seen.executions {
        by_request.entry(execution.request).or_default().push(execution);
    }
    by_request
}

/// A gateway paused longer than a bound is busy with nothing: whether any of the processes that a request passes stood still.
fn stood_still(seen: &Seen, gateway: usize, from: Duration, to: Duration) -> bool {
    let paused = |fired: &Fired| matches!(fired.fault, Fault::Pause(m) if m == gateway);
    seen.faults.iter().any(|fired| paused(fired) && fired.begun <= to && fired.ended + SLACK >= from)
}

/// UNASKED: no server executes what no client sent, or something that was changed.
pub(super) fn unasked(seen: &Seen) -> Finding {
    let mut finding = Finding::new("UNASKED");
    for execution in &seen.executions {
        let is_post = seen.requests.get(&execution.request).is_some_and(|request| !request.idempotent);
        finding.check(is_post, execution.request != 0 && execution.is_unchanged, || format!("{execution:?}"));
    }
    finding
}

/// MIXED: a success is a server's whole answer to this request.
pub(super) fn mixed(seen: &Seen) -> Finding {
    let mut finding = Finding::new("MIXED");
    for (id, request) in &seen.requests {
        let Some((_, End::Response { status, is_own, is_stamped })) = &request.end else { continue };
        if (200..300).contains(status) {
            let spoilt = |f: &&Fired| matches!(f.fault, Fault::GarbleServer(_) | Fault::LoseAnswers(_));
            let near =
                seen.faults.iter().filter(spoilt).any(|f| f.begun <= request.sent && request.sent <= f.ended);
            finding.check(near, *is_own && *is_stamped, || format!("request {id}: {request:?}"));
        }
    }
    finding
}

/// TWICE: what may run once does.
pub(super) fn twice(seen: &Seen) -> Finding {
    let mut finding = Finding::new("TWICE");
    for (id, executions) in executions(seen) {
        let Some(request) = seen.requests.get(&id).filter(|request| !request.idempotent) else { continue };
        // The answer did not come, or not as it should.
        let near = !matches!(request.end, Some((_, End::Response { status: 200, .. })));
        finding.check(near, executions.len() == 1, || format!("request {id} of {request:?}: {executions:?}"));
    }
    finding
}

/// REFUSED: what was refused has not run, and does not run.
pub(super) fn refused(seen: &Seen) -> Finding {
    let mut finding = Finding::new("REFUSED");
    let executions = executions(seen);
    for (id, request) in seen.requests.iter().filter(|(_, request)| !request.idempotent) {
        let Some((_, End::Response { status, .. })) = request.end else { continue };
        if PROMISES.contains(&status) {
            finding.check(true, !executions.contains_key(id), || {
                format!("request {id}: {request:?}, {:?}", executions[id])
            });
        }
    }
    finding
}

/// GONE: after a client has closed, nothing more of its request reaches a server, and work under way is broken off.
pub(super) fn gone(seen: &Seen) -> Finding {
    let mut finding = Finding::new("GONE");
    let (mut reached, mut working, mut lasting) = (0, 0, 0);
    for execution in &seen.executions {
        let Some(request) = seen.requests.get(&execution.request) else { continue };
        let Some((closed, End::GivenUp)) = request.end else { continue };
        let bound = closed + GONE + SLACK;
        if !in_touch(seen, request.gateway, request.sent, bound) {
            continue;
        }
        finding.checked += 1;
        reached += u64::from(execution.begun > bound);
        let lasts = execution.ended.is_none_or(|ended| ended > bound);
        // What was broken off early would have lasted, if its work was to be long.
        let would_last = lasts || (execution.broken_off && execution.is_long);
        if request.idempotent && would_last && execution.begun < bound {
            finding.near += 1;
            lasting += 1;
            working += u64::from(lasts);
            if lasts && finding.examples.len() < 4 {
                finding.examples.push(format!("still at work: {request:?}, {execution:?}"));
            }
        }
    }
    if reached > MAX_GONE || (lasting >= 8 && 4 * working > lasting) {
        finding.broken = 1;
        finding.examples.push(format!(
            "{reached} reached a server late; servers stayed at work on {working} of {lasting}"
        ));
    } else {
        finding.examples.clear();
    }
    finding
}

/// The gateway at which planned work was, and until when no request may be lost by it.
fn planned_span(fired: &Fired) -> Option<(usize, Duration)> {
    match fired.fault {
        Fault::Terminate(m) if m >= CORE => Some((m, fired.begun + GRACE + Duration::from_secs(1))),
        Fault::Reload(m) if m >= CORE => Some((m, fired.begun + CONFIG_APPLY)),
        _ => None,
    }
}

/// Whether a request was lost: closed without an answer once it had been passed on or some time after its last byte, or broken off at its
/// server and answered with a failure of our own in its place.
fn is_lost(request: &Request, executions: &[&Execution]) -> bool {
    let Some((ended, end)) = &request.end else { return false };
    match end {
        End::Closed => !executions.is_empty() || *ended > request.sent + LOSS_SLACK + SLACK,
        End::Response { status: 500 | 502 | 504, is_stamped: false, .. } => {
            let has_time_left = *ended + SLACK < request.sent + request.deadline;
            has_time_left && executions.iter().any(|execution| execution.broken_off)
        }
        _ => false,
    }
}

/// LOST: around planned work a request that was sent whole gets a whole answer. Near: it was under way when the work began, or it was
/// passed on by a gateway that was shutting down.
pub(super) fn lost(seen: &Seen) -> Vec<Finding> {
    let mut under_way = Finding::new("LOST, in flight at a stop");
    let mut taken = Finding::new("LOST, taken after a stop");
    let executions = executions(seen);
    for fired in &seen.faults {
        let Some((gateway, until)) = planned_span(fired) else { continue };
        let begun = fired.begun;
        let concerns = |request: &&Request| {
            let ended = request.end.as_ref().map_or(request.sent, |(at, _)| *at);
            request.gateway == gateway && ended >= begun && request.sent <= until
        };
        for (id, request) in seen.requests.iter().filter(|(_, request)| concerns(request)) {
            let Some((ended, end)) = &request.end else { continue };
            if !is_calm(seen, request.sent, *ended) || matches!(end, End::GivenUp | End::NotSent) {
                continue;
            }
            let executions = executions.get(id).map_or(&[][..], Vec::as_slice);
            let holds = !is_lost(request, executions);
            let detail = || format!("{:?} at {begun:?}, request {id}: {request:?}", fired.fault);
            if request.sent <= begun {
                under_way.check(true, holds, detail);
            } else {
                let is_shutting_down =
                    fired.fault == Fault::Terminate(gateway) && request.sent <= fired.ended;
                taken.check(is_shutting_down && !executions.is_empty(), holds, detail);
            }
        }
    }
    vec![under_way, taken]
}

/// LOST: at any time, a request on a kept connection that was passed on to a sound server gets an answer, but for a few.
pub(super) fn lost_on_reused_connections(seen: &Seen) -> Finding {
    let mut finding = Finding::new("LOST on kept connections");
    let executions = executions(seen);
    let mut lost = Vec::new();
    for (id, request) in seen.requests.iter().filter(|(_, request)| request.reused) {
        let Some((ended, end)) = &request.end else { continue };
        let is_in_touch = in_touch(seen, request.gateway, request.sent, *ended);
        if !is_in_touch || !is_calm(seen, request.sent, *ended) || *end == End::GivenUp {
            continue;
        }
        let was_passed_on = executions.contains_key(id);
        finding.checked += 1;
        finding.near += u64::from(was_passed_on);
        if was_passed_on && *end == End::Closed {
            lost.push(format!("request {id}: {request:?}"));
        }
    }
    if lost.len() > MAX_LOST_ON_REUSED {
        finding.broken = lost.len() as u64;
        finding.examples = lost;
    }
    finding
}

/// DENIED: proper requests are not ended with a 3xx or 4xx of our own.
pub(super) fn denied(seen: &Seen) -> Finding {
    let mut finding = Finding::new("DENIED");
    let mut denied = Vec::new();
    for (id, request) in seen.requests.iter().filter(|(_, r)| r.route == 0 && r.key == "key-tight") {
        let Some((_, End::Response { status, .. })) = request.end else { continue };
        let is_denied = (300..500).contains(&status) && !matches!(status, 408 | 421 | 429);
        finding.checked += 1;
        finding.near += u64::from(status == 429 || status == 503);
        if is_denied {
            denied.push(format!("request {id}: {request:?}"));
        }
    }
    if denied.len() as u64 > MAX_DENIED + finding.checked / 500 {
        finding.broken = denied.len() as u64;
        finding.examples = denied.into_iter().take(4).collect();
    }
    finding
}

/// A request that is given up on gets its final answer: none is held past its deadline.
pub(super) fn given_up_at_once(seen: &Seen) -> Finding {
    let mut finding = Finding::new("final answer in time");
    for (id, request) in &seen.requests {
        let Some((ended, end)) = &request.end else { continue };
        if *end == End::NotSent || !in_touch(seen, request.gateway, request.sent, *ended) {
            continue;
        }
        if stood_still(seen, request.gateway, request.sent, *ended) {
            continue;
        }
        let took = ended.saturating_sub(request.sent);
        let near = took + NEAR_DEADLINE > request.deadline;
        finding.check(near, took <= request.deadline + FINAL_ANSWER_SLACK + SLACK, || {
            format!("request {id}, {took:?}: {request:?}")
        });
    }
    finding
}
