//! A counter's windows, as seen from a gateway.

use limeway_types::{Micros, Timestamp};

/// Where a counter's windows are, on this machine's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WindowClock {
    pub window: u64,
    /// The window's end, never later than it truly is, nor earlier by more than [`crate::MAX_SKEW`].
    pub end: Timestamp,
    pub length: Micros,
}

impl WindowClock {
    /// The window at this moment.
    pub(crate) fn window(&self, now: Timestamp) -> u64 {
        if now < self.end {
            self.window
        } else {
            self.window + 1 + (now - self.end) / self.length
        }
    }

    /// What is left of the window.
    pub(crate) fn remaining(&self, now: Timestamp) -> Micros {
        if now < self.end {
            self.end - now
        } else {
            self.length - (now - self.end) % self.length
        }
    }

    /// The better of two: of two ends, both never late, the later one is closer to the truth.
    pub(crate) fn closer(self, other: WindowClock) -> WindowClock {
        // Ends of different windows are compared as ends of one.
        let ahead = other.window.saturating_sub(self.window) * self.length;
        let behind = self.window.saturating_sub(other.window) * self.length;
        if other.end + behind >= self.end + ahead {
            other
        } else {
            self
        }
    }
}
