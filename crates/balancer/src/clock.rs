//! The monotonic clock, and random numbers.

use limeway_types::{NodeId, Timestamp};
use std::cell::Cell;
use std::time::Instant;

/// Timestamps begin here, so that "long ago" can be expressed before the process is old.
const ORIGIN: Timestamp = 1_000_000_000;
/// Increment of the random number generator (SplitMix64).
const RANDOM_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

thread_local! {
    static START: Instant = Instant::now();
    static RANDOM_STATE: Cell<u64> = const { Cell::new(0) };
}

/// The time on this process's monotonic clock.
pub fn now() -> Timestamp {
    START.with(|start| ORIGIN + start.elapsed().as_micros() as u64)
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
    RANDOM_STATE.with(|state| state.set(limeway_membership::hash(&bytes) | 1));
}

/// A random number.
pub fn random() -> u64 {
    RANDOM_STATE.with(|state| {
        state.set(state.get().wrapping_add(RANDOM_INCREMENT));
        limeway_membership::hash(&state.get().to_le_bytes())
    })
}
