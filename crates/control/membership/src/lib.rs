//! Members of the fleet, and role leases over shards of the key space.
//!
//! - [`members`]: a limiter is a member while it renews its lease with the control plane. What replicas know of members merges.
//! - [`heartbeats`]: what a process passes on of members that renew their lease with it.
//! - [`role_lease`]: who answers for a shard of the tenants. A shard is held by whoever has the votes of a majority of the voters for
//!   it, for [`ROLE_LEASE`]: a singleton role, fenced by time.
//! - [`rendezvous`]: which node is preferred for a key, without anybody keeping a table.
//!
//! Free of I/O; times are those of the machine's own monotonic clock.
#![forbid(unsafe_code)]

pub mod heartbeats;
pub mod members;
pub mod random;
pub mod rendezvous;
pub mod role_lease;

pub use heartbeats::HeartbeatBuffer;
pub use limeway_types::{Micros, NodeId, ProcessIncarnation, Timestamp};
pub use members::{LiveMember, MemberHeartbeat, Membership, MAX_MEMBERS, MEMBER_LEASE};
pub use random::RandomSequence;
pub use rendezvous::{hash, preferred_node, rendezvous_weight, shard_of, SHARDS};
pub use role_lease::{
    AnnouncedLease, HeldLease, HeldLeases, Holder, LeaseRequest, LeaseVoter, LEASE_REQUEST_TIMEOUT,
    ROLE_LEASE,
};
