//! Scenarios of rehearsals. [`Scenario`] is a checked TOML file, [`draw()`] turns it and a seed into a [`Day`]: the
//! fleet, the customers, and every arrival ahead of time, the same to the byte for the same seed. [`settings`] words
//! the day as the platform's settings. No I/O.
#![forbid(unsafe_code)]

pub mod day;
mod draw;
pub mod file;
pub mod links;
pub mod nemesis;
pub mod settings;

pub use day::{Arrival, Customer, Day, Event, NodeSpec, What};
pub use draw::draw;
pub use file::{builtin, builtins, Scenario, ScenarioError};

/// A time or a length of time, in microseconds.
pub type Micros = u64;
