//! Waiting for what should come about: for a condition, and never for a time.

use crate::system::{System, SOON};
use std::time::Instant;

impl System {
    pub(crate) fn until(&self, what: &str, mut so: impl FnMut(&Self) -> bool) {
        let begun = Instant::now();
        while !so(self) {
            assert!(begun.elapsed() < SOON, "{what} did not come about: {}", self.log());
            // On a machine with few cores, what is waited for may wait for this thread.
            std::thread::yield_now();
        }
    }
}
