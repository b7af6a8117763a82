//! Warnings about what could happen with each request.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

/// Warns once a second at most: whoever reads standard error may read slowly, and a full pipe would hold up the
/// one thread.
#[derive(Default)]
pub struct Seldom {
    last: Cell<Option<Instant>>,
    left_out: Cell<u64>,
}

impl Seldom {
    /// Warns, or counts what is left out.
    pub fn warn(&self, text: fmt::Arguments) {
        if self.last.get().is_some_and(|last| last.elapsed() < Duration::from_secs(1)) {
            return self.left_out.set(self.left_out.get() + 1);
        }
        self.last.set(Some(Instant::now()));
        log::warn!("{text} ({} warnings before were left out)", self.left_out.take());
    }
}
