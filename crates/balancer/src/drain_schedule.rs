//! What a process still takes after SIGTERM, and until when it is answered.
//!
//! Two bounds meet here: how long a request may take, which its client and its route state, and how long the process may go on, which is
//! the platform's grace period. A request is taken during a shutdown only if the first ends before the second does, so that whatever is
//! taken can be answered whole. What was in flight at SIGTERM may last longer than the grace period: it gets a final response while there
//! is still time to write one.

use limeway_types::{Micros, Timestamp, MILLISECOND};

/// Part of the grace period in which new connections are accepted: clients learn from the directory, with a delay, to go elsewhere.
const ACCEPTING_GRACE_FRACTION: f64 = 0.55;
/// Time to write the final responses, of the process's own running: one that stood still gets it afterwards.
const STEP: Micros = 200 * MILLISECOND;
/// A short grace period is divided into so many steps.
const MIN_STEPS_IN_GRACE: Micros = 20;
/// Steps before the end of the grace period at which requests are aborted.
const ABORT_STEPS: Micros = 2;
/// One in so many parts of a step is left at the end to exit before the platform kills the process.
const EXIT_MARGIN_DIVISOR: Micros = 4;

/// When a gateway that has got SIGTERM does what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    /// When it got SIGTERM.
    pub started_at: Timestamp,
    /// No new connections from then on.
    pub listener_closes_at: Timestamp,
    /// The latest deadline of a request that is still taken.
    pub latest_deadline: Timestamp,
    /// Requests still in flight are aborted: they get a final response.
    pub requests_abort_at: Timestamp,
    /// The process exits, whatever is unanswered, if it has had a step for the final responses by then.
    pub exits_at: Timestamp,
    /// How long the final responses may take at least.
    step: Micros,
}

impl DrainSchedule {
    /// The schedule of a shutdown that begins now, with a grace period in microseconds.
    pub fn new(started_at: Timestamp, grace: Micros) -> Self {
        let step = STEP.min(grace / MIN_STEPS_IN_GRACE);
        let exits_at = started_at + grace - step / EXIT_MARGIN_DIVISOR;
        let requests_abort_at = started_at + grace - ABORT_STEPS * step;
        let accepting = (grace as f64 * ACCEPTING_GRACE_FRACTION) as Micros;
        DrainSchedule {
            started_at,
            listener_closes_at: started_at + accepting,
            latest_deadline: requests_abort_at - step / 2,
            requests_abort_at,
            exits_at,
            step,
        }
    }

    /// How long a request may last that comes with SIGTERM, and be answered whole all the same.
    pub fn longest_request(grace: Micros) -> Micros {
        DrainSchedule::new(0, grace).latest_deadline
    }

    /// Until when final responses that begin now are waited for. A process that stood still past its time has its step all the same:
    /// whoever kills it is no later for that.
    pub fn final_responses_until(&self, now: Timestamp) -> Timestamp {
        self.exits_at.max(now + self.step)
    }

    /// Whether a request that may last until `deadline` can be answered before the process exits.
    pub fn admits(&self, deadline: Timestamp) -> bool {
        deadline <= self.latest_deadline
    }
}
