//! The configuration of the whole system.
//!
//! - [`document`]: reads what an operator sends and checks its form, naming the field that is wrong;
//! - [`items`]: the items by kind and name, and what an order changes of them;
//! - [`state`]: the agreed state, made of operations one after the other: the configuration, the zones that are evacuated,
//!   the core machines;
//! - [`plan`]: an immutable snapshot that answers for a request: which route, which tenant, which services;
//! - [`evacuation`]: which call about a zone is a new one, and which the same one sent again.
//!
//! Free of I/O and clock.
#![forbid(unsafe_code)]

pub mod document;
pub mod evacuation;
pub mod items;
pub mod plan;
pub mod shards;
pub mod state;

pub use document::{BadConfig, Item, Kind, Order};
pub use plan::{Plan, Route, Service, Tenant};
pub use state::{Op, Refusal, State};

/// A time or a length of time, in microseconds.
pub type Micros = u64;
/// A configuration's version: eight hexadecimal digits on the wire.
pub type Version = u32;
