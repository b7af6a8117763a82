//! Stand-ins for all that a limiter talks to, on loopback sockets, steered while they run; what happens goes into a
//! [`Book`], the ledger in the making.
//!
//! HTTP/1.1 is hyper's on every side: the judge must not share the daemon's own framing, or a fault common to both
//! would hide. [`World`] starts everything that a [`limeway_scenario::Day`] names and is how tests and the kit steer:
//! drain, kill, replace, cut, slow down.
#![forbid(unsafe_code)]

pub mod book;
pub mod clients;
pub mod counter;
pub mod discovery;
#[doc(hidden)]
pub mod engine;
pub mod link;
pub mod node;
pub mod peers;
#[doc(hidden)]
pub mod receive_rate;
mod serve;
pub mod ways;
pub mod world;

pub use book::{Book, Clock};
pub use clients::{Clients, Door};
pub use counter::{Counter, Mode};
pub use world::World;
