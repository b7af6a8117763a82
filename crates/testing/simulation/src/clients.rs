//! Stand-ins for those whom the control plane serves: operators, gateways, servers. They keep to the protocol and decide nothing.

use crate::alternating::AlternatingOperator;
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
/// Gateways.
pub const LIMITERS: usize = 2;

/// What an operator asks for.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// A configuration update.
    Order(ConfigUpdate),
    /// To read the newest configuration.
    Read,
    /// To start or end the evacuation of a zone.
    Evacuate(&'static str, bool),
}

/// A request of an operator without a final response.
#[derive(Debug)]
pub struct PendingRequest {
    pub(crate) operator: usize,
    /// What is asked for.
    pub request: OperatorRequest,
    /// When it was first sent.
    pub begun: Micros,
    /// When each attempt was sent: the first one's time comes first.
    pub(crate) sent: Vec<Micros>,
    pub(crate) attempts: u64,
}

/// An attempt of a pending request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// What is asked for.
    pub request: &'a OperatorRequest,
    /// When this attempt was sent.
    pub sent: Micros,
}

/// A gateway.
#[derive(Debug)]
pub struct Limiter {
    /// Its state cache.
    pub cache: StateCache,
    /// How far its clock is ahead.
    pub offset: Micros,
    pub(crate) above: (u64, u64, u64),
    pub(crate) failed: BTreeMap<usize, Micros>,
    /// The long poll in flight: its number, its upstream, when it was sent, and the slot it was sent with.
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
    /// It has crashed, and is started again then.
    pub(crate) down_until: Micros,
    /// The machine that its last heartbeat went to.
    pub(crate) machine: usize,
    /// That heartbeat was acknowledged: the next one goes there, too.
    pub(crate) is_acknowledged: bool,
}

impl Server {
    /// Its process starts: a new life.
    pub(crate) fn start(&mut self, ends: Micros) {
        self.incarnations += 1;
        let at = self.id.split('-').next().unwrap_or("s").to_owned();
        (self.id, self.leaving, self.ends) = (format!("{at}-{}", self.incarnations), false, ends);
    }
}

/// All clients.
#[derive(Debug)]
pub struct Workload {
    pub(crate) known: [u32; OPERATORS],
    /// Requests in flight.
    pub pending_requests: BTreeMap<u64, PendingRequest>,
    pub(crate) last: u64,
    /// The gateways.
    pub limiters: Vec<Limiter>,
    pub(crate) servers: Vec<Server>,
    /// Incarnations of servers whose deregistration was acknowledged.
    pub gone: Vec<String>,
    /// Machines that have answered the final read.
    pub read: Vec<usize>,
    /// The operator who evacuates one zone alone.
    pub alternating: AlternatingOperator,
}

impl Workload {
    /// Clients that have done nothing yet.
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
            down_until: 0,
            machine: 0,
            is_acknowledged: false,
        };
        Workload {
            known: [0; OPERATORS],
            pending_requests: BTreeMap::new(),
            last: 0,
            limiters: (0..LIMITERS).map(|at| limiter(at, rng)).collect(),
            servers: (0..SERVERS).map(|at| server(at, rng)).collect(),
            gone: Vec::new(),
            read: Vec::new(),
            alternating: AlternatingOperator::default(),
        }
    }

    /// All clients that act on their own.
    pub fn all(&self) -> Vec<Actor> {
        let operators = (0..OPERATORS).map(Actor::Operator);
        operators.chain((0..LIMITERS).map(Actor::Limiter)).chain((0..SERVERS).map(Actor::Server)).collect()
    }

    /// The attempt that a client has sent, if it is one of a pending request. Its answer may come after a later attempt was sent.
    pub fn asked_of(&self, who: Actor) -> Option<Attempt<'_>> {
        let Actor::PendingRequest(number, attempt) = who else { return None };
        let pending = self.pending_requests.get(&number)?;
        let sent = *pending.sent.get(attempt.checked_sub(1)? as usize)?;
        Some(Attempt { request: &pending.request, sent })
    }
}
