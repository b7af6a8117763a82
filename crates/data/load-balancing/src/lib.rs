//! Which server a request goes to, as one of many gateways that do not ask each other.
//!
//! - **Nearest first** ([`Selector`]): the own zone while it has room, then the region; another region only for what would otherwise
//!   be lost.
//! - **Room** is judged by what this gateway has outstanding at a server, by the server's latency, and by what its responses said of it.
//!   Servers that break off, do not respond or refuse connections are ejected for a while that grows; once it is over a single
//!   request probes them.
//! - **Slow start** ([`slow_start_share`]): a share for each of a few gateways, so that all together keep the bound.
//! - **Retries** ([`RetryBudget`]): a part of the requests that this gateway itself has sent to servers, and its share of the slack.
//! - **What follows from an attempt** ([`attempts`]): whether another server may be tried, and what the client gets.
//!
//! Free of I/O and clock.
#![forbid(unsafe_code)]

pub mod attempts;
mod outcome;
mod retry_budget;
mod selector;
mod server_state;

pub use limeway_types::{Micros, Timestamp};
pub use outcome::Outcome;
pub use retry_budget::RetryBudget;
pub use selector::{slow_start_share, Candidate, Locality, Selector};
