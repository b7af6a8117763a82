//! Which homes of customers answer: what a gateway knows of those that it asks for units. No I/O, no clock.
//!
//! Only an answer shows that a home hears this gateway. What a home asks of its own accord shows that it lives and that
//! this gateway hears it; in a cut of one direction that is all there is, and questions to it would wait in vain for as
//! long as the cut lasts.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// Time for which an answer of a home is awaited, in microseconds: there and back, and a call.
pub const WAIT: Micros = 150_000;
/// Time for which a home that did not answer is not asked, in microseconds: at first, and at most after doubling.
const ABSENT: (Micros, Micros) = (1_000_000, 8_000_000);
/// Questions in a row without an answer after which a home is absent: one message in ten may be lost.
const MISSES: u32 = 2;

/// A home that has not answered its last question. There are as many as gateways at most.
#[derive(Debug, Clone, Copy)]
struct Home {
    misses: u32,
    /// When it was last missed, and how long it is left alone from there.
    at: Micros,
    rest: Micros,
    /// One question finds out whether it is back; others go on without it until then.
    probed: Micros,
}

/// Homes that have not answered lately.
#[derive(Debug, Clone, Default)]
pub struct Homes(BTreeMap<u32, Home>);

impl Homes {
    /// Whether a home may be asked, or waited for by one that has `asked`.
    pub fn there(&self, home: u32, now: Micros, asked: bool) -> bool {
        let Some(h) = self.0.get(&home).filter(|h| h.misses >= MISSES) else { return true };
        now >= h.at + h.rest && (asked || now >= h.probed)
    }

    /// It is asked.
    pub fn asked(&mut self, home: u32, now: Micros) {
        if let Some(h) = self.0.get_mut(&home) {
            h.probed = now + WAIT;
        }
    }

    /// It has not answered in time.
    pub fn missed(&mut self, home: u32, now: Micros) {
        let h = self.0.entry(home).or_insert(Home { misses: 0, at: now, rest: 0, probed: 0 });
        h.misses = h.misses.saturating_add(1);
        // Questions that were out together are missed together: they are one sign.
        if h.misses >= MISSES && now >= h.at + h.rest {
            (h.at, h.rest) = (now, (h.rest * 2).clamp(ABSENT.0, ABSENT.1));
        }
    }

    /// It has answered: it hears this gateway.
    pub fn answered(&mut self, home: u32) {
        self.0.remove(&home);
    }

    /// It says something of its own accord: it lives, so it is asked again as soon as after its first miss, but not before.
    pub fn spoke(&mut self, home: u32) {
        if let Some(h) = self.0.get_mut(&home) {
            h.rest = h.rest.min(ABSENT.0);
        }
    }
}
