//! How processes are started: a platform may block the signals that it sends, and may not.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;

/// What a process inherits from whoever starts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Starter {
    /// SIGHUP and SIGTERM are blocked: they wait until the program handles them.
    Blocking,
    /// Nothing is blocked: a signal ends a process whose program is still being loaded.
    Plain,
}

impl fmt::Display for Starter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Starter::Blocking => "signals blocked",
            Starter::Plain => "nothing blocked",
        })
    }
}

/// The starters of one machine's processes, drawn from the seed of the run: every other one of either kind, on average.
#[derive(Debug)]
pub struct Starters(ChaCha8Rng);

impl Starters {
    /// The starters of a machine's processes, the same for the same seed.
    pub fn new(seed: u64, machine: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The plan draws from stream 0.
        rng.set_stream(machine as u64 + 1);
        Starters(rng)
    }

    /// That of the next process.
    pub fn draw(&mut self) -> Starter {
        if self.0.random() {
            Starter::Blocking
        } else {
            Starter::Plain
        }
    }
}
