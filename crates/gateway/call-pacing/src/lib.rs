//! The counter's bandwidth as a quantity that all limiters share, without a message between them.
//!
//! The counter takes only so many calls a second, and goes on to work on calls that nobody waits for any more: once its line
//! is longer than the time-out, all it does is in vain. So the sum of what all limiters send has to stay below what it bears,
//! which nobody is told. Each limiter paces its own calls ([`Pacer::ready`], [`Pacer::take`]) and moves its pace by what
//! became of them ([`Pacer::answered`]):
//!
//! - it starts at its part of what a small counter bears, and grows by the same factor a second whatever the number of
//!   limiters, 2.5 times as fast until the first sign of a line: a fleet that starts all at once finds a large counter within
//!   two seconds, and has not yet a loss to go by;
//! - a loss cuts the pace once a time-out, as the calls lost with it were sent at the pace before the cut; the way back to
//!   where the loss came is short, from there on it is slow;
//! - the time that an answer waited in line, beyond what the quickest take, holds the pace where the line is short. Only a limiter
//!   that makes few calls goes by it; one that makes many cuts its pace a little for an answer that took long.
//!
//! Free of I/O and clock; all times are microseconds, all paces calls a second. Source: additive increase and
//! multiplicative decrease with a remembered threshold, as in RFC 5681, per call in place of per round trip.
#![forbid(unsafe_code)]

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Seconds in a microsecond.
const SECOND: f64 = 1e-6;
/// Calls to the counter a second from all limiters together, at first: a small counter takes some 600.
const INITIAL_PACE: f64 = 500.0;
/// The same at the least: what finds out within seconds that the counter is back, and too little to crowd one that takes less
/// than a call for three requests.
const MIN_PACE: f64 = 24.0;
/// The same at most when the counter is back: a seventh of what a small one takes, as slow as it may be.
const RESTART_PACE: f64 = 96.0;
/// The same at most: growth unused proves little.
pub const MAX_PACE: f64 = 2_000.0;
/// Share of the first pace below which the counter is scarce, if calls saved up are below this part too.
const SCARCE: (f64, f64) = (0.5, 0.5);
/// Factor on the pace after a lost call.
const LOSS_FACTOR: f64 = 0.7;
/// Share of the time-out that calls may wait in line, beyond what the quickest take: three tenths keep it from running dry
/// between the ticks of a fleet, and is far from a loss.
const TARGET_QUEUEING: f64 = 0.3;
/// Calls a second from which on the line is not asked: a step of growth is a twentieth of the pace or less then, and a loss is
/// heard of before many are made. With it asked of all, four limiters
/// on real sockets lost service (`docs/design/pacing.md`).
const MIN_LOSS_DRIVEN_PACE: f64 = 10.0;
/// From [`MIN_LOSS_DRIVEN_PACE`] on an answer is slow that took more than this share of the time-out, and takes the pace down by this factor.
const SLOW_ANSWER_SHARE: f64 = 0.6;
const SLOW_ANSWER_FACTOR: f64 = 0.95;
/// The most that an answer which waited in line takes off the pace, as a share of it.
const MAX_QUEUEING_DECREASE: f64 = 0.3;
/// Time over which the quickest answer is remembered, in microseconds; the one before counts too.
const FASTEST_ANSWER_RETENTION: Micros = 10_000_000;
/// Growth with each quick answer, in calls a second: until the first sign of a line, and after it. As answers come at the
/// pace itself, it is the rate of growth too, a second.
const GROWTH: (f64, f64) = (1.0, 0.4);
/// The most that one answer adds after a sign of a line, as a share of the pace: where hundreds each make a call a second, the
/// next calls of all tell of the growth only once it has all been sent.
const MAX_STEP_SHARE: f64 = 0.1;
/// Share of the way back to the pace before a loss that each quick answer brings.
const RECOVERY_SHARE: f64 = 0.25;
/// Shortest time over which unused calls are saved up, in seconds: requests come unevenly.
const BURST_SECONDS: f64 = 0.25;

/// A token bucket.
#[derive(Debug, Clone, Default)]
pub struct Bucket {
    /// Tokens in it; below 0 where more was taken than there was.
    pub level: f64,
    /// When it was last filled.
    pub at: Micros,
}

impl Bucket {
    /// Adds what the time since the last call has brought, at `rate` tokens a second, up to `most`.
    pub fn fill(&mut self, rate: f64, most: f64, now: Micros) {
        self.level = (self.level + rate * (now - self.at) as f64 * SECOND).min(most);
        self.at = now;
    }
}

/// The calls that one limiter may send to the counter.
#[derive(Debug, Clone)]
pub struct Pacer {
    limiters: f64,
    /// Calls saved up.
    calls: Bucket,
    pace: f64,
    /// The pace at which the last loss came, cut.
    knee: f64,
    failing: bool,
    /// The quickest answers of this span and of the one before, and when this one began.
    quickest: (Micros, Micros),
    since: Micros,
    /// There has been a sign of a line.
    signed: bool,
    last_loss_at: Micros,
    eased_at: Micros,
}

impl Pacer {
    /// One of `limiters`, which starts now. `chance`, from 0 to 1, is a part of a first call: hundreds that start at one
    /// moment do not all call at that moment. Without a counter there are no calls.
    pub fn new(limiters: u32, counter: bool, chance: f64, now: Micros) -> Self {
        let limiters = f64::from(limiters.max(1));
        let pace = if counter { INITIAL_PACE / limiters } else { 0.0 };
        Pacer {
            limiters,
            calls: Bucket { level: pace * BURST_SECONDS + chance, at: now },
            pace,
            knee: pace,
            failing: false,
            quickest: (Micros::MAX, Micros::MAX),
            since: now,
            signed: false,
            last_loss_at: 0,
            eased_at: 0,
        }
    }

    /// Calls a second that may be sent from here.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// When the pace was last cut for a loss; 0 before the first.
    pub fn last_loss_at(&self) -> Micros {
        self.last_loss_at
    }

    /// Whether a call may be made now.
    pub fn ready(&mut self, now: Micros) -> bool {
        self.calls.fill(self.pace, (self.pace * BURST_SECONDS).max(2.0), now);
        self.calls.level >= 1.0
    }

    /// A call is made.
    pub fn take(&mut self) {
        self.calls.level -= 1.0;
    }

    /// Whether the counter takes fewer calls than there are customers who need one.
    pub fn few(&self) -> bool {
        self.pace < SCARCE.0 * INITIAL_PACE / self.limiters
    }

    /// Whether calls must be kept for those who need them most; also where none may be made now.
    pub fn scarce(&mut self, now: Micros) -> bool {
        !self.ready(now) || self.few() && self.calls.level < SCARCE.1 * self.pace * BURST_SECONDS
    }

    /// A counter that was away has answered: calls saved up meanwhile are let go, and the pace starts low.
    /// Guards against all that has waited being sent at once to one that was only crowded.
    pub fn restart(&mut self, now: Micros) {
        self.pace = self.pace.min(RESTART_PACE / self.limiters);
        (self.calls, self.signed) = (Bucket { level: 1.0, at: now }, true);
    }

    /// A call has come to its end after `took`, of a time-out of `limit`; `ok` where it was answered at all.
    pub fn answered(&mut self, now: Micros, ok: bool, took: Micros, limit: Micros) {
        if !ok && now < self.last_loss_at + limit {
            // Lost with the last one: sent at the pace before that cut.
        } else if !ok {
            (self.last_loss_at, self.signed) = (now, true);
            self.pace *= LOSS_FACTOR;
            // Of losses in a row only the first tells how much was too much.
            self.knee = if self.failing { self.knee } else { self.pace };
        } else {
            let back = (self.knee - self.pace).max(0.0) * RECOVERY_SHARE;
            let line = self.line(now, took, limit);
            // One that was sent before the last cut waited in the line of the pace before it.
            let stale = now < self.eased_at + took;
            if self.pace >= MIN_LOSS_DRIVEN_PACE {
                let slow = took as f64 > SLOW_ANSWER_SHARE * limit as f64;
                self.signed |= slow;
                self.pace =
                    if slow { self.pace * SLOW_ANSWER_FACTOR } else { self.pace + back.max(GROWTH.1) };
            } else if line <= TARGET_QUEUEING {
                let grow = if self.signed { GROWTH.1.min(MAX_STEP_SHARE * self.pace) } else { GROWTH.0 };
                self.pace += back.max(grow * (1.0 - line / TARGET_QUEUEING));
            } else if !stale {
                (self.eased_at, self.signed) = (now, true);
                self.pace *= 1.0 - MAX_QUEUEING_DECREASE * (line - TARGET_QUEUEING) / (1.0 - TARGET_QUEUEING);
            }
        }
        self.failing = !ok;
        self.pace = self.pace.clamp(MIN_PACE / self.limiters, MAX_PACE / self.limiters);
    }

    /// The part of the time-out that an answer waited in line, from 0 to 1: all that it took beyond the quickest one.
    fn line(&mut self, now: Micros, took: Micros, limit: Micros) -> f64 {
        if now >= self.since + FASTEST_ANSWER_RETENTION {
            self.quickest = (Micros::MAX, self.quickest.0);
            self.since = now;
        }
        self.quickest.0 = self.quickest.0.min(took);
        // A counter that never was without a line is not taken for a slow one beyond half of the time-out.
        let least = self.quickest.0.min(self.quickest.1).min(limit / 2);
        (took - least.min(took)) as f64 / (limit - least).max(1) as f64
    }
}
