//! The limiter on real sockets, round the decisions of `pondgw`; one thread, and nothing decided here.
//!
//! Modules depend downwards only: [`service`] starts all; [`clients`] is the front; [`core`] feeds the decision
//! module and carries out what it wants; [`servers`], [`counter`], [`discovery`] and [`peers`] are the other sides,
//! which take commands and give events and do not know the core; [`conn`] and [`http`] carry messages.
#![forbid(unsafe_code)]

mod client_request;
pub mod clients;
pub mod config;
pub use limeway_http1::conn;
pub mod core;
pub mod counter;
pub mod discovery;
pub mod history;
pub use limeway_http1::http;
pub mod members;
pub mod peers;
pub mod seldom;
pub mod servers;
pub mod service;
