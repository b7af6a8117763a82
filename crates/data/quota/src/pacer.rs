//! When one shard's counter may be asked: an exponential backoff after requests that brought nothing, and a rate limit.

use limeway_types::{Micros, Timestamp};

/// The backoff after a first request that brought nothing; it doubles with each further one.
pub const INITIAL_BACKOFF: Micros = 40_000;
/// The longest backoff, before [`JITTER_DIVISOR`]: two of them and two answers fit into the 2 s within which a gateway leases again.
pub const MAX_BACKOFF: Micros = 500_000;
/// Up to one part in so many is added to a backoff at random, so that gateways do not ask in step.
pub const JITTER_DIVISOR: u64 = 4;
/// Time between two requests for one shard, in the long run.
pub const MIN_INTERVAL: Micros = 20_000;
/// Requests that may be sent at once after a pause.
pub const BURST: u64 = 10;
/// Failures in a row after which client requests do not wait for the next answer.
pub const MAX_FAILURES_TO_WAIT: u32 = 4;
/// Failures in a row that lengthen the backoff; the longest is reached long before.
const MAX_DOUBLINGS: u32 = 16;

/// The pace of the requests for one shard.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestPacer {
    failures: u32,
    backoff_until: Timestamp,
    /// When the rate is used up, were it used evenly.
    rate_used_until: Timestamp,
}

impl RequestPacer {
    /// Whether the counter may be asked now.
    pub fn may_send(&self, now: Timestamp) -> bool {
        now >= self.next_send()
    }

    /// From when on it may be asked.
    pub fn next_send(&self) -> Timestamp {
        self.backoff_until.max(self.rate_used_until.saturating_sub(BURST * MIN_INTERVAL))
    }

    /// A request is sent.
    pub fn sent(&mut self, now: Timestamp) {
        self.rate_used_until = self.rate_used_until.max(now) + MIN_INTERVAL;
    }

    /// A request has brought something: the backoff is over.
    pub fn succeeded(&mut self) {
        (self.failures, self.backoff_until) = (0, 0);
    }

    /// Requests bring nothing for so long, as the counter says itself.
    pub fn hold_off(&mut self, now: Timestamp, remaining: Micros) {
        self.backoff_until = self.backoff_until.max(now + remaining.min(MAX_BACKOFF));
    }

    /// A request has brought nothing. Requests in flight beside it make the backoff no longer.
    pub fn failed(&mut self, now: Timestamp, random: u64) {
        if now < self.backoff_until {
            return;
        }
        let backoff = (INITIAL_BACKOFF << self.failures.min(MAX_DOUBLINGS)).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = now + backoff + random % (backoff / JITTER_DIVISOR);
    }

    /// How long it would be of no use to wait for an answer; none if one may come soon.
    pub fn unavailable_for(&self, now: Timestamp) -> Option<Micros> {
        let unavailable = self.failures >= MAX_FAILURES_TO_WAIT && now < self.backoff_until;
        unavailable.then(|| self.backoff_until - now)
    }

    /// Requests in a row that brought nothing.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
