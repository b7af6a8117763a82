//! What a gateway knows of one server from its own requests.

use crate::outcome::Outcome;
use limeway_types::{Micros, Timestamp, SECOND};

/// Weight of a new latency in the running mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// A server that failed is ejected for so long at first; it doubles with each failure in a row.
const INITIAL_EJECTION: Micros = 500_000;
/// The longest ejection.
const MAX_EJECTION: Micros = 8 * SECOND;
/// Failures in a row that lengthen the ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Failures in a row that are counted.
const MAX_FAILURES: u32 = 16;
/// A server that said that it is full gets nothing for so long.
const FULL_BACKOFF: Micros = 60_000;
/// Without a response for so long, and for [`STUCK_LATENCY_FACTOR`] times its latency, a server with requests outstanding is stuck.
pub(crate) const STUCK_AFTER: Micros = 700_000;
/// See [`STUCK_AFTER`].
const STUCK_LATENCY_FACTOR: f64 = 5.0;
/// Most tokens that a server in slow start saves up.
const MAX_SLOW_START_TOKENS: f64 = 1.0;

/// What a gateway knows of one server.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerState {
    /// Requests that are there now.
    pub outstanding: u32,
    /// Running mean of its latency, in microseconds; 0 before the first response.
    pub mean_latency: f64,
    /// Failures in a row.
    failures: u32,
    ejected_until: Timestamp,
    /// A single request is there after an ejection.
    probing: bool,
    /// It said that it is full; until then.
    full_until: Timestamp,
    /// Requests that may be sent to it while it is in slow start.
    slow_start_tokens: f64,
    tokens_updated: Timestamp,
    /// Since when nothing has come back while requests are outstanding.
    silent_since: Timestamp,
    pub last_used: Timestamp,
}

impl ServerState {
    /// Whether it should get nothing: it is ejected, probed, or stuck.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        let stuck_after = f64::max(STUCK_AFTER as f64, STUCK_LATENCY_FACTOR * self.mean_latency) as Micros;
        let is_stuck = self.outstanding > 0 && now.saturating_sub(self.silent_since) > stuck_after;
        now < self.ejected_until || (self.failures > 0 && self.probing) || is_stuck
    }

    /// Whether nothing is known of it: it has not answered yet, nor has it failed, and no request is there.
    pub(crate) fn is_unknown(&self) -> bool {
        self.mean_latency == 0.0 && self.failures == 0 && self.outstanding == 0
    }

    /// Whether it said lately that it is full.
    pub(crate) fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }

    /// Whether a request may be sent to it during slow start, at `rate` requests a second.
    pub(crate) fn has_slow_start_token(&mut self, now: Timestamp, rate: f64) -> bool {
        if self.tokens_updated == 0 {
            self.tokens_updated = now;
        }
        let earned = rate * now.saturating_sub(self.tokens_updated) as f64 / 1e6;
        self.slow_start_tokens = (self.slow_start_tokens + earned).min(MAX_SLOW_START_TOKENS);
        self.tokens_updated = now;
        self.slow_start_tokens >= MAX_SLOW_START_TOKENS
    }

    /// A request is sent to it.
    pub(crate) fn sent(&mut self, now: Timestamp, in_slow_start: bool) {
        if self.outstanding == 0 {
            self.silent_since = now;
        }
        self.outstanding += 1;
        self.last_used = now;
        self.probing = self.failures > 0;
        if in_slow_start {
            self.slow_start_tokens -= 1.0;
        }
    }

    /// An attempt has ended.
    pub(crate) fn ended(&mut self, now: Timestamp, outcome: Outcome) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.probing = false;
        match outcome {
            Outcome::Answered(latency) => {
                let latency = latency as f64;
                let is_first = self.mean_latency <= 0.0;
                let change = LATENCY_WEIGHT * (latency - self.mean_latency);
                self.mean_latency = if is_first { latency } else { self.mean_latency + change };
                (self.failures, self.ejected_until, self.silent_since) = (0, 0, now);
            }
            Outcome::Full => (self.full_until, self.silent_since) = (now + FULL_BACKOFF, now),
            Outcome::Broken | Outcome::Moved => {
                self.silent_since = now;
                self.count_failure();
                // One response of many that breaks off says little; the next one in a row does.
                let is_known_good = self.mean_latency > 0.0 && outcome == Outcome::Broken;
                if self.failures > 1 || !is_known_good {
                    self.eject(now);
                }
            }
            Outcome::TimedOut(waited) => {
                if waited >= STUCK_AFTER {
                    self.count_failure();
                    self.eject(now);
                }
            }
            Outcome::Superseded => {
                self.count_failure();
                self.eject(now);
            }
            Outcome::Cancelled => {}
        }
    }

    fn count_failure(&mut self) {
        self.failures = (self.failures + 1).min(MAX_FAILURES);
    }

    fn eject(&mut self, now: Timestamp) {
        let doublings = (self.failures - 1).min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + (INITIAL_EJECTION << doublings).min(MAX_EJECTION);
    }
}
