//! Quotas of tenants over all gateways.
//!
//! A quota is a budget per fixed window. A gateway leases a **block** of it from the tenant's counter, so many units for each of the
//! coming windows, spends them locally and forfeits what a window leaves at its edge. Without units and without a counter it refuses.
//!
//! - [`windows`]: how long a window is and what it holds, so that no span of `quota-window`, wherever it begins, can touch more than
//!   the rule allows;
//! - [`counter::Counter`]: the authoritative counter of a shard of the tenants, on the machine that holds the shard's role lease;
//! - [`escrow::Escrow`], [`lease_client::LeaseClient`]: a gateway's side.
//!
//! **The bound.** A span of `quota-window` touches at most [`WINDOWS_PER_SPAN`] windows, as seen by gateways, since one that sees a
//! window begin too early does so by [`MAX_SKEW`] at most, and none sees it late. So it is enough that of each window no more than
//! its budget is spent:
//!
//! - a counter grants what is left of the budget after the most that each gateway may have had of the window (`peak`), the single
//!   units, and what gateways that have not reported may hold;
//! - a gateway holds what it held when it requested last ([`TenantRequest::held`]) until that request is answered, then what it was
//!   granted. The counter takes it to hold the larger of both until it is asked again: a lost answer frees nothing. Lowered units
//!   are free from the next window on; what the gateway has already had of a window that it sees early is counted in `held`;
//! - only the answer to a tenant's last request is used, once, and none from before the last report of blocks. A counter ignores
//!   requests that were overtaken, of an earlier incarnation of the gateway, or that report to another incarnation of the counter.
//!   So both sides see one order of requests, whatever the network does with them, and a view of holders that flaps changes
//!   nothing;
//! - units that are lost in transit (a grant, or one lent by a neighbour) are spent for the counter, and are not given again.
//!
//! **A new holder** of a counter does not know what its predecessor granted. It asks all gateways that may hold blocks, which are agreed
//! by consensus; until one has reported, the most that it could hold is reserved (a share among the fewest gateways of late, which bounded its grant), and after [`BLOCK_LIFETIME`] nothing of it is left.
//! Its windows begin one whole window after the last lease surely expired.
//!
//! Free of I/O; times are those of each machine's own monotonic clock.
#![forbid(unsafe_code)]

pub mod counter;
pub mod escrow;
pub mod gateway_counts;
pub mod lease_client;
mod messages;
pub mod pacer;
mod shard_link;
mod unavailable;
mod window_clock;
pub mod windows;

pub use limeway_membership::Holder;
pub use limeway_types::{Micros, NodeId, ProcessIncarnation, Timestamp};
pub use messages::{
    CounterIncarnation, Grant, LeasedBlock, QuotaRequest, QuotaResponse, TenantRequest, WindowPhase,
    BLOCK_LIFETIME,
};
pub use unavailable::UnavailableReason;
pub use windows::{QuotaRule, WindowBudget, MAX_SKEW, WINDOWS_PER_SPAN};
