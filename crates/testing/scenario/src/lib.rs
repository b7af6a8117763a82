//! Scenarios of rehearsals. [`Scenario`] is a checked TOML file, [`draw()`] turns it and a seed into a [`Day`]: the
//! fleet, the customers, and every arrival ahead of time, the same to the byte for the same seed. [`settings`] words
//! the day as the platform's settings. No I/O.
#![forbid(unsafe_code)]

mod builtins;
mod checks;
pub mod day;
mod draw;
mod error;
pub mod file;
pub mod links;
pub mod nemesis;
pub mod settings;

pub use builtins::{builtin, builtins};
pub use day::{Arrival, Customer, Day, Event, NodeSpec, What};
pub use draw::draw;
pub use error::ScenarioError;
pub use file::Scenario;

/// A time or a length of time, in microseconds.
pub type Micros = u64;
