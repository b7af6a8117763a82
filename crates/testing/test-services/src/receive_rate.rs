//! How many datagrams a second a limiter takes in. Free of I/O and clock: times go in.

use limeway_scenario::Micros;

/// Microseconds of a second.
const SECOND: f64 = 1e6;

/// A token bucket that holds the datagrams of one second at most.
#[derive(Debug)]
pub struct ReceiveRate {
    per_second: f64,
    tokens: f64,
    filled_at: Micros,
}

impl ReceiveRate {
    /// A full bucket, for so many datagrams a second.
    pub fn new(per_second: f64) -> Self {
        ReceiveRate { per_second, tokens: per_second, filled_at: 0 }
    }

    /// Takes a token for a datagram; false if there is none. A time before that of an earlier call adds nothing: of two
    /// tasks that read the clock, the one that read it last may come first.
    pub fn take(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.filled_at);
        self.tokens = (self.tokens + passed as f64 / SECOND * self.per_second).min(self.per_second);
        self.filled_at = self.filled_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
