//! A hard ceiling over many doors, held by construction.
//!
//! A ceiling lets at most `H + c t` units of one customer through in any time `t`, over all its doors together. It is cut
//! into two parts that need no agreement, as their sum is the whole:
//!
//! - **leases** have [`LEASED`] of it. They are counted on the customer's count of the window, so the windows are chosen
//!   for the ceiling: one lasts `H / 2c`, and holds `LEASED * H / 2` units. A time `t` touches at most `t / (H / 2c) + 2`
//!   windows, so that leases let through at most `LEASED * (H + c t)`, however the doors divide them, and whatever is
//!   spent at the end of one window and the start of the next;
//! - **what is not leased** has the rest, split evenly over the doors: a bucket at each, which starts empty and earns from
//!   the door's start on, as that cannot know what an earlier life spent.
//!
//! Units count as used when a first attempt has come whole to a server, which is later than they were taken. A delay of at
//! most `d` stretches `t` to `t + d`, that is by `c d` units. The rule's slack pays for it: what the ceiling's tolerance
//! holds for the wait for a server ([`RateLimit::max_wait`]), and the 150 ms of the protocol for the way there. A request
//! that has waited longer gives its units back and takes them anew.
//!
//! The inequality stands in `docs/design/ceilings.md`. Free of I/O and clock; all times are microseconds.
#![forbid(unsafe_code)]

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Part of a ceiling that leases may fill; the rest is split evenly over the doors.
///
/// A half, by what the protocol says of sizes: a ceiling is some two times the quota, so a half of it leased and a half of
/// it split are each about the quota; and a customer has at most `H / 2u` doors, `u` the largest request, so that an even
/// split of a half of `H` holds one request at each door. With more for leases, a door could never let in a large
/// request without a lease.
pub const LEASED: f64 = 0.5;

/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// A plan's hard ceiling.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Units a second; 0 for none.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Units by which it may be passed before the rule is broken, the protocol's own extra time not counted.
    pub tolerance: f64,
}

/// The windows in which leases under a ceiling are counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Span {
    /// Length of one, in microseconds.
    pub length: Micros,
    /// Units that may be leased in one.
    pub budget: f64,
}

impl RateLimit {
    /// Whether there is one.
    pub fn binds(&self) -> bool {
        self.rate > 0.0
    }

    /// The windows for leases; nothing without a ceiling. None is shorter than `least` or longer than `most`.
    pub fn span(&self, least: Micros, most: Micros) -> Option<Span> {
        if !self.binds() {
            return None;
        }
        let length = ((self.burst / 2.0 / self.rate * SECOND).ceil() as Micros).clamp(least, most);
        // Cut short, windows come more often than their budget refills.
        let refill = self.rate * length as f64 / SECOND;
        Some(Span { length, budget: LEASED * (self.burst / 2.0).min(refill) })
    }

    /// One door's even split of what is not leased: units a second, and at once.
    pub fn split(&self, doors: f64) -> (f64, f64) {
        let part = (1.0 - LEASED) / doors.max(1.0);
        (self.rate * part, self.burst * part)
    }

    /// The longest time from the taking of units to the first send, in microseconds: what the tolerance pays for.
    pub fn max_wait(&self) -> Micros {
        if self.binds() {
            (self.tolerance / self.rate * SECOND) as Micros
        } else {
            Micros::MAX
        }
    }
}
