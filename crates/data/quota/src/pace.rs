//! When one group's count may be asked: a pause that grows with each ask that brings nothing, and a rate.

use crate::Micros;

/// The pause after a first ask that brought nothing; it doubles with each further one.
pub const PAUSE_FIRST: Micros = 40_000;
/// The longest pause, before [`JITTER`]: two of them and two answers fit into the 2 s within which a limiter leases again.
pub const PAUSE_MOST: Micros = 500_000;
/// Up to one part in so many is added to a pause by chance, so that limiters don't ask in step.
pub const JITTER: u64 = 4;
/// Time between two asks of one group, in the long run.
pub const GAP: Micros = 20_000;
/// Asks that may be made at once after a rest.
pub const BURST: u64 = 10;
/// Asks in a row that brought nothing, after which requests aren't held for the next one.
pub const FUTILE: u32 = 4;

/// The pace of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    tries: u32,
    until: Micros,
    /// When the rate is used up, were it used evenly.
    due: Micros,
}

impl Pace {
    /// Whether the count may be asked now.
    pub fn open(&self, now: Micros) -> bool {
        now >= self.next()
    }

    /// From when on it may be asked.
    pub fn next(&self) -> Micros {
        self.until.max(self.due.saturating_sub(BURST * GAP))
    }

    /// It is asked.
    pub fn asked(&mut self, now: Micros) {
        self.due = self.due.max(now) + GAP;
    }

    /// An ask has brought something: the pause is over.
    pub fn well(&mut self) {
        (self.tries, self.until) = (0, 0);
    }

    /// Asks bring nothing before `until`, as the count says itself.
    pub fn rest(&mut self, now: Micros, left: Micros) {
        self.until = self.until.max(now + left.min(PAUSE_MOST));
    }

    /// An ask has brought nothing. What was under way beside it makes the pause no longer.
    pub fn vain(&mut self, now: Micros, chance: u64) {
        if now < self.until {
            return;
        }
        let pause = (PAUSE_FIRST << self.tries.min(16)).min(PAUSE_MOST);
        self.tries = self.tries.saturating_add(1);
        self.until = now + pause + chance % (pause / JITTER);
    }

    /// How long it would be of no use to wait for an answer; nothing if one may come soon.
    pub fn futile(&self, now: Micros) -> Option<Micros> {
        (self.tries >= FUTILE && now < self.until).then(|| self.until - now)
    }

    /// Asks in a row that brought nothing.
    pub fn tries(&self) -> u32 {
        self.tries
    }
}
