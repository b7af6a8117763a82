//! The configuration of the whole system, and the agreed state that it is part of.
//!
//! - [`item`], [`config_update`], [`specification`], [`document`]: what operators send and read back;
//! - [`items`]: the items by kind and name, and what an update changes of them;
//! - [`operation`], [`state`]: the replicated state machine: operations, and the state that they make one after the other;
//! - [`routing`]: an immutable snapshot that answers for a request: which route, which tenant, which services;
//! - [`evacuation`]: which call about a zone is a new one, and which is a retry.
//!
//! Free of I/O and clock.
#![forbid(unsafe_code)]

mod admission;
mod changed_items;
mod compile;
mod compiled;
pub mod config_update;
pub mod document;
pub mod evacuation;
pub mod item;
pub mod items;
pub mod operation;
pub mod routing;
pub mod sharded_map;
pub mod specification;
pub mod state;

pub use config_update::{ConfigUpdate, InvalidConfig};
pub use item::{Item, ItemKind, ItemRef};
pub use operation::Operation;
pub use routing::{Route, RoutingSnapshot, Service, Tenant};
pub use state::{Rejection, State};

/// A configuration's version: eight hexadecimal digits on the wire.
pub type Version = u32;
