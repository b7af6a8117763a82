//! The steady clock, and chance.

use std::cell::Cell;
use std::time::Instant;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Times begin here, so that "long ago" can be told before the process is old.
const ORIGIN: Micros = 1_000_000_000;

thread_local! {
    static START: Instant = Instant::now();
    static SEED: Cell<u64> = const { Cell::new(0) };
}

/// The time on this process's steady clock.
pub fn now() -> Micros {
    START.with(|start| ORIGIN + start.elapsed().as_micros() as u64)
}

/// Starts the numbers drawn by chance, from the machine's address and both clocks: two lives differ.
pub fn seed(node: u32) {
    let real = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
    let steady = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    let mix = [
        real.tv_sec as u64,
        real.tv_nsec as u64,
        steady.tv_nsec as u64,
        u64::from(node),
        u64::from(std::process::id()),
    ];
    let bytes: Vec<u8> = mix.iter().flat_map(|n| n.to_le_bytes()).collect();
    SEED.with(|s| s.set(limeway_membership::hash(&bytes) | 1));
}

/// A number drawn by chance.
pub fn draw() -> u64 {
    SEED.with(|s| {
        s.set(s.get().wrapping_add(0x9e37_79b9_7f4a_7c15));
        limeway_membership::hash(&s.get().to_le_bytes())
    })
}
