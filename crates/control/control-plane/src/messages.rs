//! What processes of the system say to each other.

use limeway_consensus::{AcceptorReply, DiskIncarnation, NodeId, ProposalNumber, Slot};
use limeway_distribution::transfer::StateRequest;
use limeway_distribution::{LongPoll, StateUpdate, UpdateResponse};
use limeway_membership::{HeldLease, LeaseRequest, MemberHeartbeat};
use limeway_quota::{Answer, Request};
use limeway_service_registry::ServerReport;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// A ballot's holder wants a promise.
    Prepare(Slot, ProposalNumber),
    /// A ballot's holder wants a value accepted.
    Accept(Slot, ProposalNumber, ByteBuf),
    /// A value is chosen. Answered with [`Reply::Done`] once it is on disk there, and else with [`Reply::Not`].
    Chosen(Slot, ByteBuf),
    /// What leads to the state, or the next piece of it.
    Fetch(StateRequest),
    /// A core machine's round to the others.
    Ping(Box<Ping>),
    /// Servers that are news.
    Push(Vec<ServerReport>),
    /// A limiter wants news.
    Poll(Box<LongPoll>),
    /// A limiter wants a unit of a tenant for one request that it has now, of what its neighbour holds.
    Unit(String),
    /// A limiter wants units.
    Ask(NodeId, Vec<Request>),
}

/// An answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Call::Prepare`] and [`Call::Accept`].
    Word(AcceptorReply),
    /// To [`Call::Fetch`].
    Steps(StateUpdate),
    /// To [`Call::Ping`].
    Pong(Pong),
    /// To [`Call::Poll`].
    Feed(Box<UpdateResponse>),
    /// To [`Call::Ask`]; what is not granted here is left out.
    Grants(Vec<Answer>),
    /// Done.
    Done,
    /// This process does not serve such calls.
    Not,
}

/// How a core machine stands, as it tells the others in its rounds and in its answers to theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The machine.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// The life of its disk.
    #[serde(rename = "l")]
    pub life: DiskIncarnation,
    /// The life of its process.
    #[serde(rename = "o")]
    pub boot: u64,
    /// It has a disk whose loss counts, and may be given a seat.
    #[serde(rename = "c")]
    pub counted: bool,
    /// Its disk takes writes.
    #[serde(rename = "v")]
    pub sound: bool,
    /// It has lately had answers from a majority.
    #[serde(rename = "t")]
    pub touch: bool,
    /// It has been told to end.
    #[serde(rename = "x")]
    pub leaving: bool,
    /// The last slot that it has applied.
    #[serde(rename = "s")]
    pub slot: Slot,
    /// The last slot that is on its disk.
    #[serde(rename = "k")]
    pub kept: Slot,
}

/// A core machine's round: it learns whether its state is the newest, gossips, and claims duties.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ping {
    /// How it stands.
    #[serde(rename = "n")]
    pub me: Standing,
    /// Servers heard since the last round that was answered.
    #[serde(rename = "b")]
    pub beats: Vec<ServerReport>,
    /// Members that renew their lease there.
    #[serde(rename = "m")]
    pub members: Vec<MemberHeartbeat>,
    /// Duties that it holds.
    #[serde(rename = "h")]
    pub held: Vec<HeldLease>,
    /// Duties that it claims.
    #[serde(rename = "d")]
    pub claims: Vec<LeaseRequest>,
    /// It wants all that is known of servers: it has just started, or was cut off.
    #[serde(rename = "a")]
    pub all: bool,
}

/// The answer to a round.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pong {
    /// How it stands.
    #[serde(rename = "n")]
    pub me: Standing,
    /// A value is accepted there for the slot after the one that it has applied.
    #[serde(rename = "p")]
    pub pending: bool,
    /// Duties that it holds.
    #[serde(rename = "h")]
    pub held: Vec<HeldLease>,
    /// The groups of duties that it votes for.
    #[serde(rename = "d")]
    pub given: Vec<usize>,
    /// All that is known of servers, if it was wanted.
    #[serde(rename = "w")]
    pub servers: Vec<ServerReport>,
}
