//! Stand-ins for those whom the control plane serves: operators, gateways, servers. They keep to the protocol and decide nothing.

use crate::event::Actor;
use crate::rng::Rng;
use crate::{Micros, SECOND};
use limeway_distribution::StateCache;
use limeway_membership::SHARDS;
use limeway_routing_config::ConfigUpdate;
use std::collections::BTreeMap;

/// Operators.
const OPERATORS: usize = 2;
/// Servers.
const SERVERS: usize = 2;
/// Limiters.
pub const LIMITERS: usize = 2;

/// What an operator wants.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// A change.
    Order(ConfigUpdate),
    /// The newest configuration.
    Read,
    /// A zone evacuated, or that taken back.
    Evacuate(&'static str, bool),
}

/// Something that an operator has sent and not had a clear answer to.
#[derive(Debug)]
pub struct PendingRequest {
    pub(crate) operator: usize,
    /// What.
    pub request: OperatorRequest,
    /// When it was sent first.
    pub begun: Micros,
    /// When it was sent last.
    pub sent: Micros,
    pub(crate) attempts: u64,
}

/// A limiter.
#[derive(Debug)]
pub struct Limiter {
    /// What it knows.
    pub cache: StateCache,
    /// Its clock shows so much more.
    pub offset: Micros,
    pub(crate) above: (u64, u64, u64),
    pub(crate) failed: BTreeMap<usize, Micros>,
    /// The poll under way: its number, whom, when, and the slot it was sent with.
    pub(crate) poll: (u64, usize, Micros, u64),
    pub(crate) reported_to: [limeway_membership::Holder; SHARDS],
}

/// A server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) incarnations: u64,
    pub(crate) count: u64,
    pub(crate) ends: Micros,
    pub(crate) leaving: bool,
    pub(crate) sent: u64,
}

/// All of them.
#[derive(Debug)]
pub struct Workload {
    pub(crate) known: [u32; OPERATORS],
    /// What is under way.
    pub pending_requests: BTreeMap<u64, PendingRequest>,
    pub(crate) last: u64,
    /// The limiters.
    pub limiters: Vec<Limiter>,
    pub(crate) servers: Vec<Server>,
    /// Lives of servers whose end was acknowledged.
    pub gone: Vec<String>,
    /// Machines that read back well at the end.
    pub read: Vec<usize>,
}

impl Workload {
    /// Nobody has done anything yet.
    pub fn new(rng: &mut Rng) -> Self {
        let limiter = |at: usize, rng: &mut Rng| Limiter {
            cache: StateCache::new(1_000 + at as u64),
            offset: rng.between(SECOND, 1_000_000 * SECOND),
            above: (0, 0, 0),
            failed: BTreeMap::new(),
            poll: (0, 0, 0, 0),
            reported_to: [limeway_membership::Holder::default(); SHARDS],
        };
        let server = |at: usize, rng: &mut Rng| Server {
            id: format!("s{at}-0"),
            incarnations: 0,
            count: 0,
            ends: rng.between(5 * SECOND, 15 * SECOND),
            leaving: false,
            sent: 0,
        };
        Workload {
            known: [0; OPERATORS],
            pending_requests: BTreeMap::new(),
            last: 0,
            limiters: (0..LIMITERS).map(|at| limiter(at, rng)).collect(),
            servers: (0..SERVERS).map(|at| server(at, rng)).collect(),
            gone: Vec::new(),
            read: Vec::new(),
        }
    }

    /// Everyone who acts of himself.
    pub fn all(&self) -> Vec<Actor> {
        let operators = (0..OPERATORS).map(Actor::Operator);
        operators.chain((0..LIMITERS).map(Actor::Limiter)).chain((0..SERVERS).map(Actor::Server)).collect()
    }

    /// The pending that someone api_callers for, if it is one.
    pub fn asked_of(&self, who: Actor) -> Option<&PendingRequest> {
        match who {
            Actor::PendingRequest(number, _) => self.pending_requests.get(&number),
            _ => None,
        }
    }
}
