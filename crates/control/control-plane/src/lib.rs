//! A replica of the control plane, free of I/O and clock: events with the time go in, actions come out.
//!
//! [`ControlPlane::handle`] takes an [`Event`] and appends [`Action`]s; [`ControlPlane::next_tick`] tells when the next
//! [`Event::Tick`] is due. Sockets and the disk are actions whose completion is an event. The same state machine runs in the
//! program, in tests and in the simulator.
//!
//! | module | concern |
//! | --- | --- |
//! | [`api`], [`messages`] | events and actions; messages between processes |
//! | [`control_plane`](ControlPlane) | the replica, and the modules below it: |
//! | `quorum`, `peers` | heartbeat rounds to the other replicas: is the state here the newest, who is healthy |
//! | `agreement` | acceptor and proposer of single slots |
//! | `replication` | applying chosen operations, catching up |
//! | `persistence` | what is on disk, and what waits for it |
//! | `proposals` | requests of operators: configuration updates, reads, evacuations |
//! | `voters` | who votes; which gateways may lease quota |
//! | `role_leases`, `quota` | who holds the counters of a shard of the tenants, and what is leased of them |
//! | `updates` | long polls of limiters |
//! | `instances` | heartbeats of servers |
//!
//! **Quorum contact.** A replica has *quorum contact* while its last heartbeat round that a majority of the voters answered began
//! within [`QUORUM_LEASE`]. Without it, it confirms nothing, rejects nothing for good, requests no role lease, takes no heartbeat of
//! a server, and says so at once. Its responses to limiters carry the age of its last confirmation; stale, they make limiters turn
//! to other replicas.
#![forbid(unsafe_code)]

pub mod api;
mod control_plane;
pub mod messages;

pub use api::{Action, ApiRequest, ApiResponse, CallerId, Event, Frontend, RequestId, StartOptions, WriteId};
pub use control_plane::{ControlPlane, MAX_VOTERS, QUORUM_LEASE};
pub use limeway_consensus::LogRecord;
pub use limeway_types::{Micros, NodeId, Timestamp};
