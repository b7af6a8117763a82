//! Messages between the processes of the system.
//!
//! Their encoding is that of earlier builds: `rename` keeps the names of variants and fields, and
//! `tests/encoding.rs` holds the bytes.

use limeway_consensus::{AcceptorReply, DiskIncarnation, NodeId, ProposalNumber, Slot};
use limeway_distribution::transfer::StateRequest;
use limeway_distribution::{LongPoll, StateUpdate, UpdateResponse};
use limeway_membership::{AnnouncedLease, HeldLease, LeaseRequest, MemberHeartbeat};
use limeway_quota::{QuotaRequest, QuotaResponse};
use limeway_service_registry::ServerReport;
use limeway_types::ProcessIncarnation;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A call to another process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// Phase 1 of a proposal.
    Prepare(Slot, ProposalNumber),
    /// Phase 2 of a proposal.
    Accept(Slot, ProposalNumber, ByteBuf),
    /// The value of a slot is chosen. Answered with [`Reply::Done`] once it is on disk there, and else with [`Reply::Declined`].
    #[serde(rename = "Chosen")]
    Commit(Slot, ByteBuf),
    /// What leads to the newest state, or the next chunk of it.
    Fetch(StateRequest),
    /// One replica's heartbeat to another.
    #[serde(rename = "Ping")]
    Heartbeat(Box<Heartbeat>),
    /// Reports of servers that have changed.
    #[serde(rename = "Push")]
    ReplicateReports(Vec<ServerReport>),
    /// A limiter waits for updates.
    #[serde(rename = "Poll")]
    LongPoll(Box<LongPoll>),
    /// A limiter borrows one unit of a tenant's quota, for a request that it has now, of what another limiter holds.
    #[serde(rename = "Unit")]
    BorrowUnit(String),
    /// A limiter leases quota.
    #[serde(rename = "Ask")]
    LeaseQuota(NodeId, Vec<QuotaRequest>),
}

/// The reply to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Call::Prepare`] and [`Call::Accept`].
    #[serde(rename = "Word")]
    Acceptor(AcceptorReply),
    /// To [`Call::Fetch`].
    #[serde(rename = "Steps")]
    StateUpdate(StateUpdate),
    /// To [`Call::Heartbeat`].
    #[serde(rename = "Pong")]
    Heartbeat(HeartbeatReply),
    /// To [`Call::LongPoll`].
    #[serde(rename = "Feed")]
    Update(Box<UpdateResponse>),
    /// To [`Call::LeaseQuota`]; what is not granted here is left out.
    #[serde(rename = "Grants")]
    QuotaGrants(Vec<QuotaResponse>),
    /// Done.
    Done,
    /// This process does not do that, or not now.
    #[serde(rename = "Not")]
    Declined,
}

/// How a replica is, as it says in its heartbeats and in its replies to those of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The machine.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// The incarnation of its disk.
    #[serde(rename = "l")]
    pub disk: DiskIncarnation,
    /// The incarnation of its process.
    #[serde(rename = "o")]
    pub incarnation: ProcessIncarnation,
    /// It has a disk whose loss counts, and may become a voter.
    #[serde(rename = "c")]
    pub loss_counted: bool,
    /// Its disk takes writes.
    #[serde(rename = "v")]
    pub disk_healthy: bool,
    /// It has quorum contact.
    #[serde(rename = "t")]
    pub has_quorum: bool,
    /// It is shutting down.
    #[serde(rename = "x")]
    pub shutting_down: bool,
    /// The last slot that it has applied.
    #[serde(rename = "s")]
    pub slot: Slot,
    /// The last slot that is on its disk.
    #[serde(rename = "k")]
    pub durable_slot: Slot,
}

/// A replica's heartbeat: it learns whether its state is the newest, gossips, and requests role leases.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// How it is.
    #[serde(rename = "n")]
    pub status: PeerStatus,
    /// Servers heard since the last heartbeat round.
    #[serde(rename = "b")]
    pub reports: Vec<ServerReport>,
    /// Members that renew their lease there.
    #[serde(rename = "m")]
    pub members: Vec<MemberHeartbeat>,
    /// Role leases that it holds.
    #[serde(rename = "h")]
    pub held: Vec<HeldLease>,
    /// Role leases that it requests.
    #[serde(rename = "d")]
    pub lease_requests: Vec<LeaseRequest>,
    /// It wants the full service registry: it has just started, or was cut off.
    #[serde(rename = "a")]
    pub wants_registry: bool,
    /// It does not reach some voter, and wants what the others hear from that one.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub wants_relayed: bool,
    /// Evacuation calls that it has answered, or works on.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub answered_calls: Vec<u64>,
}

/// Whether a flag that was added later can be left out.
#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// What a replica hears from others, for one that does not reach all of them. Links between replicas may fail one by one: whoever is
/// reached by way of a third replica has quorum contact, and is followed by gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedView {
    /// The members, with the ages of their heartbeats.
    #[serde(rename = "m")]
    pub members: Vec<MemberHeartbeat>,
    /// Role leases that others have announced.
    #[serde(rename = "l")]
    pub leases: Vec<AnnouncedLease>,
}

/// The reply to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// How the replying replica is.
    #[serde(rename = "n")]
    pub status: PeerStatus,
    /// It has accepted a value for the slot after the one that it has applied.
    #[serde(rename = "p")]
    pub has_accepted: bool,
    /// Role leases that it holds.
    #[serde(rename = "h")]
    pub held: Vec<HeldLease>,
    /// The shards that it votes for.
    #[serde(rename = "d")]
    pub granted: Vec<usize>,
    /// The full service registry, if the sender wants it.
    #[serde(rename = "w")]
    pub servers: Vec<ServerReport>,
    /// What it hears from others, if the sender wants it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub relayed: Option<Box<RelayedView>>,
    /// Evacuation calls that it has answered, or works on.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub answered_calls: Vec<u64>,
    /// Replicas that are no voters, for a sender that is none either: they hear of each other by way of voters.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub non_voters: Vec<NodeId>,
}
