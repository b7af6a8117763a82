//! Distribution: how updates reach every limiter.
//!
//! Every process keeps a [`StateCache`]: the agreed state, the service registry, the members, who holds which role, and **as of
//! when a quorum has confirmed the state**. A limiter long-polls its upstream (a control-plane replica, or a limiter that relays)
//! for what it lacks. A relay answers from its own cache just as the control plane does: ages add up on the way down, so that no
//! limiter takes its state to be fresher than its sources did.
//!
//! **What is taken from whom.** Chosen operations and steps of servers only go forward, so they are taken from any upstream. Role
//! holders, members, and which servers are no more are taken only from an upstream whose last confirmation is no older than
//! [`MAX_STALENESS`], and no older than what is known already ([`Freshness`]). [`Follower`] decides which upstream to ask.
//!
//! **Updates of the state** are compressed deltas or snapshots, as many operations as fit into a response; what does not fit is
//! sent in chunks ([`transfer`]). A relay has a thin link and many downstream limiters: it only says that there is a large update,
//! and they fetch it from the control plane.
//!
//! Free of I/O; times are those of each machine's own monotonic clock.
#![forbid(unsafe_code)]

mod cache;
mod codec;
pub mod follower;
mod freshness;
mod messages;
pub mod relay_tree;
pub mod transfer;
mod updates;

pub use cache::StateCache;
pub use codec::{decode, encode};
pub use follower::{Follower, FollowerAction};
pub use freshness::{ChangeSet, Freshness, MAX_STALENESS};
pub use limeway_membership::Holder;
pub use limeway_types::{Micros, NodeId, Timestamp};
pub use messages::{LongPoll, Member, StateUpdate, UpdateResponse};
