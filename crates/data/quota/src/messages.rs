//! Messages between gateways and counters.

use limeway_types::{Micros, ProcessIncarnation, SECOND};
use serde::{Deserialize, Serialize};

/// One holding of a shard's counter: a new holder, or the same one again, has another incarnation, with other windows.
pub type CounterIncarnation = u64;

/// How long a block lives. Long, as it has to outlast a control plane that is silent for some seconds.
pub const BLOCK_LIFETIME: Micros = 8 * SECOND;

/// What a gateway requests of one tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRequest {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Units for each window that are surely used; what was leased beyond is given back.
    #[serde(rename = "b")]
    pub needed: u32,
    /// Units for each window that would be good to have.
    #[serde(rename = "w")]
    pub desired: u32,
    /// Units for the present window alone.
    #[serde(rename = "e")]
    pub extra: u32,
    /// Units of each window that the gateway still holds, or has had of the present one. It may go on with them should the answer be
    /// lost.
    #[serde(rename = "h")]
    pub held: u32,
}

/// A block that a gateway holds, for a counter that does not know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedBlock {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Units for each window.
    #[serde(rename = "u")]
    pub units: u32,
    /// Units that the present window has used: more than `units` if those were lowered in it.
    #[serde(rename = "s")]
    pub spent: u32,
    /// For how much longer it lives.
    #[serde(rename = "l")]
    pub remaining: Micros,
}

/// What a gateway requests of the holder of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The shard.
    #[serde(rename = "g")]
    pub shard: usize,
    /// The requests for its tenants.
    #[serde(rename = "a")]
    pub tenants: Vec<TenantRequest>,
    /// All blocks of the shard that it holds, if it has not reported them to this counter yet.
    #[serde(rename = "i")]
    pub blocks: Option<Vec<LeasedBlock>>,
    /// The counter that `blocks` are reported to: no other one takes them.
    #[serde(rename = "c")]
    pub counter: CounterIncarnation,
    /// The incarnation of the gateway's process.
    #[serde(rename = "l")]
    pub incarnation: ProcessIncarnation,
    /// Rises with each request of that incarnation: one that was overtaken counts for nothing.
    #[serde(rename = "n")]
    pub sequence: u64,
}

/// What a counter grants of one tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Units for each window, in place of those of the last grant.
    #[serde(rename = "u")]
    pub units: u32,
    /// Units for the present window alone, on top of what it got before.
    #[serde(rename = "e")]
    pub extra: u32,
    /// What a window held when this was granted.
    #[serde(rename = "b")]
    pub budget: u32,
}

/// Where a counter's windows are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowPhase {
    /// The counter: another one has other windows. 0 if its windows have not begun, and will after `remaining`.
    #[serde(rename = "t")]
    pub counter: CounterIncarnation,
    /// Number of the present window.
    #[serde(rename = "n")]
    pub window: u64,
    /// What is left of it.
    #[serde(rename = "l")]
    pub remaining: Micros,
}

/// A holder's answer for a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// The shard.
    #[serde(rename = "g")]
    pub shard: usize,
    /// The counter that answers, whether its windows have begun or not.
    #[serde(rename = "c")]
    pub counter: CounterIncarnation,
    /// Its windows.
    #[serde(rename = "p")]
    pub phase: WindowPhase,
    /// It does not know what this gateway holds: that has to be reported before it grants anything.
    #[serde(rename = "u")]
    pub needs_blocks: bool,
    /// What is granted.
    #[serde(rename = "a")]
    pub grants: Vec<Grant>,
}
