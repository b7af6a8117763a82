//! Load for the whole system: arrivals by a law and a seed, clients as the protocol says, stand-in servers, and a small
//! system on loopback to try it on.
//!
//! [`arrivals`] and [`tally`] are free of I/O; [`client`], [`servers`] and [`system`] carry out.
#![forbid(unsafe_code)]

pub mod arrivals;
pub mod client;
pub mod servers;
pub mod slopes;
pub mod system;
pub mod tally;
