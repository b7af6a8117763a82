//! The core machines' state machines under a simulated network, disks and faults, in virtual time, from a seed.
//!
//! What runs here is [`limeway_control_plane::Marker`] and [`limeway_distribution::Board`] themselves, not copies: the rig stands where sockets,
//! disk and clock stand in the program. Limiters, servers and operators are simple stand-ins that keep to the protocol.
//!
//! - [`Schedule`] is a deployment and its faults, drawn from a seed within the fault model: at most so many machines are lost
//!   at once, and one counts as lost until [`CATCH_UP`] after its return. All may be killed at once where disks stay.
//! - [`World`] plays it. [`judge::Judge`] looks at every step.
//! - [`play`](play::play) plays seeds, [`shrink`](play::shrink) cuts a failing schedule down.
//! - [`Off`] takes a guard away, to show that the rig finds it.
//!
//! The same seed gives the same play, on any machine.
#![forbid(unsafe_code)]

pub mod chance;
pub mod disk;
mod faults;
pub mod judge;
pub mod net;
pub mod off;
pub mod people;
pub mod play;
pub mod schedule;
pub mod world;

pub use off::Off;
pub use schedule::Schedule;
pub use world::World;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// A machine counts as lost for so long after its return.
pub const CATCH_UP: Micros = 4 * SECOND;
