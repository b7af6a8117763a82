//! Messages between a limiter and its upstream.

use crate::transfer::{self, Chunk, StateRequest};
use limeway_membership::{Holder, MemberHeartbeat};
use limeway_service_registry::ServerReport;
use limeway_types::{Micros, NodeId, ProcessIncarnation};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A limiter's long poll: what it has, so that its upstream can send what it lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LongPoll {
    /// The limiter itself.
    #[serde(rename = "m")]
    pub sender: MemberHeartbeat,
    /// The limiters that follow it.
    #[serde(rename = "b")]
    pub downstream: Vec<MemberHeartbeat>,
    /// What it lacks of the agreed state.
    #[serde(rename = "s")]
    pub request: StateRequest,
    /// The incarnation of the upstream's process that the revisions below are of.
    #[serde(rename = "e")]
    pub incarnation: ProcessIncarnation,
    /// The last revision of the service registry that it has from there.
    #[serde(rename = "c")]
    pub registry_revision: u64,
    /// The last revision of the members that it has from there.
    #[serde(rename = "r")]
    pub members_revision: u64,
    /// How long it may be kept waiting while there is no update.
    #[serde(rename = "w")]
    pub max_wait: Micros,
}

/// A delta, or the next chunk of a larger update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateUpdate {
    /// The operations of the slots that follow, each compressed; not all, if there are more than fit.
    #[serde(rename = "o")]
    Operations(Vec<ByteBuf>),
    /// A chunk of an operation or of a snapshot.
    #[serde(rename = "p")]
    Chunk(Chunk),
    /// There is a large update up to this slot, which this upstream leaves to the control plane.
    #[serde(rename = "e")]
    FetchFromCore(u64),
}

impl StateUpdate {
    /// An update that brings nothing.
    pub fn none() -> Self {
        StateUpdate::Operations(Vec::new())
    }
}

/// A member, as limiters know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(NodeId, String)", into = "(NodeId, String)")]
pub struct Member {
    /// Its machine.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
}

impl From<(NodeId, String)> for Member {
    fn from((node, zone): (NodeId, String)) -> Self {
        Member { node, zone }
    }
}

impl From<Member> for (NodeId, String) {
    fn from(member: Member) -> Self {
        (member.node, member.zone)
    }
}

/// The response to a long poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateResponse {
    /// How long the poll was kept waiting.
    #[serde(rename = "h")]
    pub waited: Micros,
    /// How long ago the upstream's state was last confirmed; nothing if it never was.
    #[serde(rename = "a")]
    pub confirmed_age: Option<Micros>,
    /// The last slot that the upstream has: its confirmation counts for whoever has that.
    #[serde(rename = "n")]
    pub slot: u64,
    /// What the poll's slot lacks.
    #[serde(rename = "s")]
    pub state_update: StateUpdate,
    /// See [`LongPoll::incarnation`].
    #[serde(rename = "e")]
    pub incarnation: ProcessIncarnation,
    /// See [`LongPoll::registry_revision`].
    #[serde(rename = "c")]
    pub registry_revision: u64,
    /// Servers that changed; all if `full_registry`.
    #[serde(rename = "v", with = "transfer::compressed_list")]
    pub servers: Vec<ServerReport>,
    /// The servers named are all that there are.
    #[serde(rename = "f")]
    pub full_registry: bool,
    /// Who holds each shard.
    #[serde(rename = "d")]
    pub holders: Vec<Holder>,
    /// See [`LongPoll::members_revision`].
    #[serde(rename = "r")]
    pub members_revision: u64,
    /// The live members, if they changed.
    #[serde(rename = "l")]
    pub members: Option<Vec<Member>>,
}
