//! What processes of the system say to each other.

use limeway_ballot::{Ballot, Incarnation, Node, Slot, Told, Word};
use limeway_roster::{Claim, Held, Presence};
use limeway_tandem::parcel::Want;
use limeway_tandem::{Feed, Poll, Steps};
use limeway_toll::{Answer, Request};
use limeway_watch::Report;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// A question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    /// A ballot's holder wants a promise.
    Prepare(Slot, Ballot),
    /// A ballot's holder wants a value accepted.
    Accept(Slot, Ballot, ByteBuf),
    /// A value is chosen.
    Chosen(Slot, ByteBuf),
    /// What leads to the state, or the next piece of it.
    Fetch(Want),
    /// A machine that lost its disk reads an intact one.
    Read(Node, Incarnation),
    /// A core machine's round to the others.
    Ping(Ping),
    /// Servers that are news.
    Push(Vec<Report>),
    /// A limiter wants news.
    Poll(Poll),
    /// A limiter wants a unit of a tenant for one request that it has now, of what its neighbour holds.
    Unit(String),
    /// A limiter wants units.
    Ask(Node, Vec<Request>),
}

/// An answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Call::Prepare`] and [`Call::Accept`].
    Word(Word),
    /// To [`Call::Fetch`].
    Steps(Steps),
    /// To [`Call::Read`]; nothing from a machine that cannot be read.
    Told(Option<Told>),
    /// To [`Call::Ping`].
    Pong(Pong),
    /// To [`Call::Poll`].
    Feed(Box<Feed>),
    /// To [`Call::Ask`]; what is not granted here is left out.
    Grants(Vec<Answer>),
    /// Done.
    Done,
    /// This process does not serve such calls.
    Not,
}

/// A core machine's round: it learns whether its state is the newest, gossips, and claims duties.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ping {
    /// Who asks.
    #[serde(rename = "n")]
    pub node: Node,
    /// It has a disk whose loss counts, and may be taken into the core.
    #[serde(rename = "c")]
    pub counted: bool,
    /// Servers heard since the last round that was answered.
    #[serde(rename = "b")]
    pub beats: Vec<Report>,
    /// Members that renew their lease there.
    #[serde(rename = "m")]
    pub members: Vec<Presence>,
    /// The life of its process.
    #[serde(rename = "o")]
    pub boot: u64,
    /// Duties that it holds.
    #[serde(rename = "h")]
    pub held: Vec<Held>,
    /// Duties that it claims.
    #[serde(rename = "d")]
    pub claims: Vec<Claim>,
    /// It wants all that is known of servers: it has just started, or was cut off.
    #[serde(rename = "a")]
    pub all: bool,
}

/// The answer to a round.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Pong {
    /// The last slot applied there.
    #[serde(rename = "s")]
    pub slot: Slot,
    /// A value is accepted there for the slot after that.
    #[serde(rename = "p")]
    pub pending: bool,
    /// It votes.
    #[serde(rename = "v")]
    pub votes: bool,
    /// The life of its process.
    #[serde(rename = "o")]
    pub boot: u64,
    /// Duties that it holds.
    #[serde(rename = "h")]
    pub held: Vec<Held>,
    /// The groups of duties that it votes for.
    #[serde(rename = "d")]
    pub given: Vec<usize>,
    /// All that is known of servers, if it was wanted.
    #[serde(rename = "w")]
    pub servers: Vec<Report>,
}
