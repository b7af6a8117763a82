//! The service registry: servers (instances of services) as they report themselves by heartbeats.
//!
//! Reports are mergeable: of one instance the highest sequence number wins, and an instance only ever goes from ready to draining
//! to gone. So any replica may take a report, reports may be passed on in any order and more than once, and all that have
//! observed the same reports hold the same table. That an instance has ended is said by itself alone. That another one was heard at its
//! address since says only which of the two is to be used: heartbeats may come late, and the one that goes on reporting itself lives.
//!
//! The table numbers its own changes ([`ServiceRegistry::revision`]), so that a delta can be made from any earlier revision on.
//! Free of I/O and clock.
#![forbid(unsafe_code)]

mod registry;
mod report;

pub use limeway_types::{Micros, Timestamp};
pub use registry::{Observation, Server, ServiceRegistry, INSTANCE_RETENTION, MAX_INSTANCES};
pub use report::{Phase, ServerReport};
