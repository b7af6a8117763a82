//! The control plane under a simulated network, disks and faults, in virtual time, from a seed.
//!
//! What runs here is [`limeway_control_plane::ControlPlane`] and [`limeway_distribution::StateCache`] themselves, not copies: the simulator
//! stands where sockets, disk and clock stand in the program. Gateways, servers and operators are simple stand-ins that keep to the
//! protocol.
//!
//! - [`Schedule`] is a deployment and its faults, drawn from a seed within the fault model: at most so many machines are lost at once,
//!   and one counts as lost until [`CATCH_UP`] after its return. All may be killed at once where disks stay.
//! - [`Cluster`] runs it. [`invariants::Invariants`] are checked after every event, progress from time to time and at the end.
//! - [`run`](runner::play) runs seeds, [`shrink`](runner::shrink) reduces a failing schedule.
//! - [`DisabledGuard`] takes a guard away, to show that the simulator finds it.
//!
//! The same seed gives the same run, on any machine.
#![forbid(unsafe_code)]

pub mod alternating;
pub mod clients;
pub mod cluster;
pub mod disabled_guard;
pub mod disk;
pub mod event;
mod faults;
pub mod invariants;
pub mod machine;
pub mod network;
mod progress;
pub mod rng;
pub mod runner;
pub mod schedule;
mod workload;

pub use cluster::Cluster;
pub use disabled_guard::DisabledGuard;
pub use schedule::{Lateness, Schedule};

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// A machine counts as lost for so long after its return.
pub const CATCH_UP: Micros = 4 * SECOND;
