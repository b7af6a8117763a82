//! A sequence of random numbers from a seed: a counter with a large increment (SplitMix64), hashed.

use crate::rendezvous::hash;

/// Increment of the counter.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A sequence of random numbers; the same for a seed.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomSequence(u64);

impl RandomSequence {
    /// The sequence of a seed.
    pub const fn new(seed: u64) -> Self {
        RandomSequence(seed)
    }

    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        hash(&self.0.to_le_bytes())
    }
}
