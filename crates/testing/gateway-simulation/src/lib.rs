//! Many gateways, counters and a lossy network in one process and in virtual time, driven by a seed.
//!
//! [`schedule`] draws what fails and when, [`sim`] plays it round the decision module itself, [`judge`] checks quotas,
//! ceilings and the ordinary rules, [`shrink()`] cuts a failing schedule down. The same seed plays the same day.
#![forbid(unsafe_code)]

pub mod judge;
pub mod schedule;
mod setup;
mod shrink;
pub mod sim;

pub use judge::{Figures, Finding, Took};
pub use limeway_quota_policy::Guards;
pub use schedule::{Fault, Kind, Schedule};
pub use shrink::{shorten, shrink};
pub use sim::{play, play_with};

/// A time or a length of time, in microseconds.
pub type Micros = u64;
/// A second.
pub const SECOND: Micros = 1_000_000;
