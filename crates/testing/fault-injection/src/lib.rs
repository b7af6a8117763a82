//! Links between two loopback addresses, many in one process, whose faults are steered while they run. Knows nothing of
//! limiters.
//!
//! [`conditions`] says what a direction does with what passes through it, [`way`] is the typed handle that steers one
//! direction and decides for each piece of a stream and each datagram, [`stream`] and [`datagram`] are the sockets, and
//! [`record`] tells afterwards what fired when, and lets a test wait until it has.
//!
//! What no fault concerns comes out unchanged and in order. A stream is never delivered with a gap: once bytes of a
//! connection have been swallowed, it can only stay silent or be reset.
#![forbid(unsafe_code)]

pub mod conditions;
pub mod datagram;
pub mod record;
pub mod stream;
pub mod way;

pub use conditions::{Conditions, Delay, Pass};
pub use datagram::Mesh;
pub use record::{Fired, Record, What};
pub use stream::{Door, Streams};
pub use way::Way;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks what no code leaves half-changed: a panic in one test must not end the others.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
