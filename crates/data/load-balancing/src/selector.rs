//! The choice of a server among candidates.

use crate::outcome::Outcome;
use crate::server_state::ServerState;
use limeway_types::{Micros, Timestamp, SECOND};
use std::collections::HashMap;
use std::rc::Rc;

/// What one more request in the own zone may cost before the region is taken, in requests a slot.
const OTHER_ZONE_COST: f64 = 0.45;
/// What is outstanding at a server, in requests a slot, at which it has no room left as seen from one gateway.
const CROWDED_LOAD: f64 = 1.7;
/// Bounds on how a server's latency against that of the others weighs.
const MIN_LATENCY_RATIO: f64 = 0.5;
/// See [`MIN_LATENCY_RATIO`].
const MAX_LATENCY_RATIO: f64 = 4.0;
/// One choice in so many prefers servers whose latency is not known. Against quick and idle ones a server that has joined would never be
/// chosen otherwise; and not every choice, as all gateways would send to it at once.
const EXPLORATION_INTERVAL: u64 = 8;
/// A server that has not been used for so long is forgotten.
const SERVER_RETENTION: Micros = 60 * SECOND;
/// Multiplier that spreads the turns over the candidates (the golden ratio in 64 bits).
const TURN_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// How far away a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the own zone.
    Zone,
    /// In the own region.
    Region,
    /// In another region.
    OtherRegion,
}

/// A server that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The id of the instance.
    pub id: Rc<str>,
    /// Requests that it works on at once.
    pub capacity_slots: u32,
    /// How far it is.
    pub locality: Locality,
    /// During slow start: requests a second that this gateway may send it.
    pub slow_start_rate: Option<f64>,
    /// It has missed its heartbeats.
    pub unresponsive: bool,
    /// Upper bound on the requests of this gateway there at once: its share of the connections that the server takes.
    pub max_outstanding: u32,
}

/// How good a choice a candidate is; less is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    Near,
    Far,
    NearButFull,
    FarButFull,
    Ejected,
}

/// What one gateway knows of all servers.
#[derive(Debug, Clone, Default)]
pub struct Selector {
    servers: HashMap<Rc<str>, ServerState>,
    turn: u64,
}

/// Requests a second that one gateway may send a server in slow start of which all together may send `total` in any second, where
/// `senders` gateways may send to it. Each saves up one request at most, so that `senders` + 1 of them (one more than there should
/// be, as they may see the fleet differently) send no more than `total` in a second.
pub fn slow_start_share(total: f64, senders: usize) -> f64 {
    (total / (senders as f64 + 1.0) - 1.0).max(0.0)
}

impl Selector {
    /// Chooses among candidates; none of `tried`. None if nobody has room or may be used.
    pub fn choose(&mut self, now: Timestamp, candidates: &[Candidate], tried: &[Rc<str>]) -> Option<Rc<str>> {
        self.best(now, candidates, tried).map(|(_, id)| id)
    }

    /// The same for a request that is at a server already: only a healthy one is worth leaving that for.
    pub fn choose_healthy(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate],
        tried: &[Rc<str>],
    ) -> Option<Rc<str>> {
        let (preference, id) = self.best(now, candidates, tried)?;
        (preference < Preference::Ejected).then_some(id)
    }

    fn best(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate],
        tried: &[Rc<str>],
    ) -> Option<(Preference, Rc<str>)> {
        self.turn = self.turn.wrapping_add(1);
        let offset = (self.turn.wrapping_mul(TURN_MULTIPLIER) >> 33) as usize;
        let mean_latency = self.mean_latency(candidates);
        let explores = self.turn.is_multiple_of(EXPLORATION_INTERVAL);
        let mut best: Option<(Preference, f64, &Candidate)> = None;
        for step in 0..candidates.len() {
            let candidate = &candidates[(step + offset) % candidates.len()];
            if tried.contains(&candidate.id) {
                continue;
            }
            let server = self.servers.entry(candidate.id.clone()).or_default();
            server.last_used = now;
            let has_token =
                candidate.slow_start_rate.is_none_or(|rate| server.has_slow_start_token(now, rate));
            if !has_token || server.outstanding >= candidate.max_outstanding {
                continue;
            }
            let preference = preference(now, candidate, server);
            let cost = if explores && server.is_unknown() {
                zone_cost(candidate)
            } else {
                cost(candidate, server, mean_latency)
            };
            if best.is_none_or(|(p, c, _)| (preference, cost) < (p, c)) {
                best = Some((preference, cost, candidate));
            }
        }
        best.map(|(preference, _, candidate)| (preference, candidate.id.clone()))
    }

    /// The mean latency of all candidates that have responded: who is slower is taken to be fuller. 0 if none has.
    fn mean_latency(&self, candidates: &[Candidate]) -> f64 {
        let (mut sum, mut count) = (0.0, 0.0f64);
        for candidate in candidates {
            if let Some(server) = self.servers.get(&candidate.id).filter(|server| server.mean_latency > 0.0) {
                (sum, count) = (sum + server.mean_latency, count + 1.0);
            }
        }
        if count > 0.0 {
            sum / count
        } else {
            0.0
        }
    }

    /// A request is sent to a server.
    pub fn sent(&mut self, now: Timestamp, id: &Rc<str>, in_slow_start: bool) {
        self.servers.entry(id.clone()).or_default().sent(now, in_slow_start);
    }

    /// An attempt has ended.
    pub fn ended(&mut self, now: Timestamp, id: &Rc<str>, outcome: Outcome) {
        if let Some(server) = self.servers.get_mut(id) {
            server.ended(now, outcome);
        }
    }

    /// The usual latency of a server, if it is known.
    pub fn usual_latency(&self, id: &Rc<str>) -> Option<Micros> {
        let server = self.servers.get(id).filter(|server| server.mean_latency > 0.0)?;
        Some(server.mean_latency as Micros)
    }

    /// Forgets servers not used for long.
    pub fn expire(&mut self, now: Timestamp) {
        self.servers.retain(|_, server| {
            server.outstanding > 0 || now.saturating_sub(server.last_used) < SERVER_RETENTION
        });
    }
}

/// Requests a slot that are outstanding at a server.
fn load(candidate: &Candidate, outstanding: f64) -> f64 {
    outstanding / f64::from(candidate.capacity_slots.max(1))
}

fn preference(now: Timestamp, candidate: &Candidate, server: &ServerState) -> Preference {
    if server.is_ejected(now) || candidate.unresponsive {
        return Preference::Ejected;
    }
    let is_full = server.is_full(now) || load(candidate, f64::from(server.outstanding)) >= CROWDED_LOAD;
    match (is_full, candidate.locality) {
        (false, Locality::Zone | Locality::Region) => Preference::Near,
        (false, Locality::OtherRegion) => Preference::Far,
        (true, Locality::Zone | Locality::Region) => Preference::NearButFull,
        (true, Locality::OtherRegion) => Preference::FarButFull,
    }
}

/// The load of a server with half a request more, weighed by its latency, and what leaving the zone costs.
fn cost(candidate: &Candidate, server: &ServerState, mean_latency: f64) -> f64 {
    let latency_ratio = if mean_latency > 0.0 && server.mean_latency > 0.0 {
        (server.mean_latency / mean_latency).clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO)
    } else {
        1.0
    };
    load(candidate, f64::from(server.outstanding) + 0.5) * latency_ratio + zone_cost(candidate)
}

/// What leaving the zone costs.
fn zone_cost(candidate: &Candidate) -> f64 {
    if candidate.locality == Locality::Zone {
        0.0
    } else {
        OTHER_ZONE_COST
    }
}
