//! The monotonic clock, and random numbers.

use limeway_membership::RandomSequence;
use limeway_types::{NodeId, Timestamp};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Timestamps begin here, so that "long ago" can be expressed before the process is old.
const ORIGIN: Timestamp = 1_000_000_000;

thread_local! {
    static START: Instant = Instant::now();
    static RANDOM: Cell<RandomSequence> = const { Cell::new(RandomSequence::new(0)) };
}

/// The time on this process's monotonic clock.
pub fn now() -> Timestamp {
    START.with(|start| ORIGIN + start.elapsed().as_micros() as u64)
}

/// The time on that clock so long ago.
pub fn before(span: Duration) -> Timestamp {
    now().saturating_sub(span.as_micros() as u64)
}

/// Seeds the random numbers from the machine's address and both clocks: two incarnations of a process differ.
pub fn seed(node: NodeId) {
    let real = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
    let monotonic = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    let mix = [
        real.tv_sec as u64,
        real.tv_nsec as u64,
        monotonic.tv_nsec as u64,
        u64::from(node),
        u64::from(std::process::id()),
    ];
    let bytes: Vec<u8> = mix.iter().flat_map(|n| n.to_le_bytes()).collect();
    RANDOM.set(RandomSequence::new(limeway_membership::hash(&bytes) | 1));
}

/// A random number.
pub fn random() -> u64 {
    let mut sequence = RANDOM.get();
    let number = sequence.draw();
    RANDOM.set(sequence);
    number
}
