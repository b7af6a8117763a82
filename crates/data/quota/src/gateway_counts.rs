//! How many gateways there were lately: what one of them may still hold of an earlier counter was bounded by that number.

use crate::BLOCK_LIFETIME;
use limeway_membership::ROLE_LEASE;
use limeway_types::{Micros, Timestamp};
use std::collections::VecDeque;

/// A number of gateways bounds no block any more that was replaced so long ago: the holder that granted a block may have known of
/// another one for as long as its lease lasted.
pub const RETENTION: Micros = BLOCK_LIFETIME + ROLE_LEASE;
/// Upper bound on the numbers that are remembered; the oldest two become one.
const MAX_COUNTS: usize = 64;

/// The numbers of gateways of the last [`RETENTION`].
#[derive(Debug, Clone, Default)]
pub struct GatewayCounts {
    /// Each number, and since when it was in place.
    counts: VecDeque<(Timestamp, usize)>,
}

impl GatewayCounts {
    /// Notes how many gateways there are now.
    pub fn observe(&mut self, now: Timestamp, count: usize) {
        if self.counts.back().is_none_or(|(_, last)| *last != count) {
            self.counts.push_back((now, count));
        }
        while self.counts.get(1).is_some_and(|(since, _)| since + RETENTION <= now) {
            self.counts.pop_front();
        }
        if self.counts.len() > MAX_COUNTS {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        let Some((since, count)) = self.counts.pop_front() else { return };
        if let Some(next) = self.counts.front_mut() {
            *next = (since, next.1.min(count));
        }
    }

    /// The least of them, at one at least.
    pub fn minimum(&self) -> usize {
        self.counts.iter().map(|(_, count)| *count).min().unwrap_or(0).max(1)
    }
}
