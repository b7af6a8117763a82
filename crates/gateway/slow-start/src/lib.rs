//! What one of many limiters may send to a server that has just started.
//!
//! A cold server can do a part of its work, and falls over where all limiters together send it more than a multiple of that
//! for a while. One limiter of hundreds sends it less than a request in ten seconds, so that no bound on its own sends says
//! anything. What sums up over a fleet that does not talk is a **rate earned**: each limiter earns its part of a request as
//! time passes, from a first part drawn by chance, and sends one when it has earned one, at once. All limiters together
//! then send what all together earn: the server's part of what is sent to all, by how warm it should be.
//!
//! Earned requests that wait for a turn by chance are the flaw to avoid: with 292 limiters and 167 servers, half of them new,
//! the new ones got a tenth of what they could have done ten seconds after their start, and the others ran full
//! (`docs/measurements/whole-fleet.md`).
//!
//! Free of I/O and clock; all times are microseconds.
#![forbid(unsafe_code)]

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Part of the budget before a cold server falls that all limiters together use at most: the rest covers chance, and limiters
/// whose traffic is not even.
pub const BUDGET_SHARE: f64 = 0.5;
/// Least warmth that is reckoned with, whatever a site says.
const MIN_WARMTH: f64 = 0.05;
/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// The site's figures for servers that have just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Start {
    /// One is warm after this time at the latest.
    pub cold: Micros,
    /// Part of its capacity that it starts with, at least.
    pub from: f64,
    /// Overfed for this long it falls over.
    pub fall: Micros,
    /// Multiple of its present capacity that is too much.
    pub multiple: f64,
}

impl Start {
    /// Part of its full capacity that a server can be expected to have which started at `since`; 1 for a warm one.
    pub fn warmth(&self, since: Option<Micros>, now: Micros) -> f64 {
        let Some(since) = since else { return 1.0 };
        let share = now.saturating_sub(since) as f64 / self.cold.max(1) as f64;
        (self.from + (1.0 - self.from) * share).clamp(MIN_WARMTH, 1.0)
    }

    /// Requests a second that this limiter should send a warm server, where it sends `rate` a second to servers of these
    /// warmths. What the cold ones cannot do falls to the others, and to each of them by its warmth; but never more than
    /// [`BUDGET_SHARE`] of the budget that a server whose even part this is has before it falls.
    pub fn warm_rate(&self, rate: f64, warmths: impl Iterator<Item = f64>) -> f64 {
        let (count, warm) = warmths.fold((0.0, 0.0), |(n, sum), w| (n + 1.0, sum + w));
        let lift = (count / f64::max(warm, MIN_WARMTH)).min(BUDGET_SHARE * self.multiple);
        rate / f64::max(count, 1.0) * lift
    }

    /// Requests a second that this limiter earns for a server of this warmth, and the most that it saves up, where a warm one
    /// gets `part` a second.
    pub fn rate_and_burst(&self, warmth: f64, part: f64) -> (f64, f64) {
        let budget = warmth * part;
        (budget, (budget * self.fall as f64 / SECOND / 2.0).max(1.0))
    }
}
