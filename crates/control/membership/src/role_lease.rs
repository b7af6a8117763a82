//! Role leases: at most one machine answers for a shard at a time.
//!
//! [`LeaseVoter`] is one voter's part: which machine it has given its vote for each shard to. [`HeldLeases`] is what one machine
//! holds. A vote lasts [`ROLE_LEASE`] from when it is **given**, a lease lasts [`ROLE_LEASE`] from when its votes were **requested**,
//! so no two machines hold a shard at one time. That is the fence: a shard changes hands only once the last lease has expired.
//!
//! A voter that has just started has forgotten its votes. It gives none for [`ROLE_LEASE`], or until every other voter has
//! said what it holds: only voters hold shards, and none that does would keep it back. Whoever says that it holds a shard at this
//! moment gets the vote at once: if that is true, no one else can hold it, and a holder that receives the vote after its lease
//! has expired does not use it. A process seen in a new incarnation holds nothing of its earlier one.
//!
//! **Changes of voters.** A majority of the new set of voters need not meet one of the last set. So a new voter gives no vote for
//! [`ROLE_LEASE`], and machines that were voters not long ago count among those that a voter has to hear. With one voter changed
//! at a time, the others of any two majorities then meet.

use crate::rendezvous::{preferred_node, SHARDS};
use limeway_types::{Micros, NodeId, ProcessIncarnation, Timestamp, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How long a role is held after its votes were requested. Long, as blocks of quota live no longer and have to outlast a control
/// plane that is silent for some seconds.
pub const ROLE_LEASE: Micros = 8 * SECOND;
/// Votes come within this time of their request or are not used: a voter that starts listens for holders only after it.
pub const LEASE_REQUEST_TIMEOUT: Micros = 350_000;

/// A request for a voter's vote on one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The shard.
    #[serde(rename = "group")]
    pub shard: usize,
    /// The process that asks: a new incarnation has forgotten what an earlier one granted.
    #[serde(rename = "boot")]
    pub incarnation: ProcessIncarnation,
    /// It holds the shard at this moment, and renews.
    #[serde(rename = "holds")]
    pub renewal: bool,
}

/// A lease that a machine holds, as it announces it to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The shard.
    #[serde(rename = "g")]
    pub shard: usize,
    /// For how much longer.
    #[serde(rename = "l")]
    pub remaining: Micros,
}

/// Who holds a shard. The default stands for nobody.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "(NodeId, ProcessIncarnation)", into = "(NodeId, ProcessIncarnation)")]
pub struct Holder {
    /// The machine; 0 for nobody.
    pub node: NodeId,
    /// Its process.
    pub incarnation: ProcessIncarnation,
}

impl From<(NodeId, ProcessIncarnation)> for Holder {
    fn from((node, incarnation): (NodeId, ProcessIncarnation)) -> Self {
        Holder { node, incarnation }
    }
}

impl From<Holder> for (NodeId, ProcessIncarnation) {
    fn from(holder: Holder) -> Self {
        (holder.node, holder.incarnation)
    }
}

/// A lease that a machine has announced, as another one passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedLease {
    /// The shard.
    #[serde(rename = "g")]
    pub shard: usize,
    /// Who holds it.
    #[serde(rename = "h")]
    pub holder: Holder,
    /// For how much longer.
    #[serde(rename = "l")]
    pub remaining: Micros,
}

/// A lease that a machine that this one may not reach holds, as another one has heard it announced.
#[derive(Debug, Clone, Copy)]
struct RelayedLease {
    holder: Holder,
    expires: Timestamp,
    relayed_by: NodeId,
}

#[derive(Debug, Clone, Copy)]
struct Vote {
    holder: Holder,
    expires: Timestamp,
}

/// One voter's votes on who holds which shard.
#[derive(Debug, Clone)]
pub struct LeaseVoter {
    started: Timestamp,
    /// New requests get no vote before then, unless all other voters have been heard.
    votes_from: Timestamp,
    /// It became a voter only now: it waits, whoever has been heard.
    new_voter: bool,
    heard: BTreeSet<NodeId>,
    votes: [Option<Vote>; SHARDS],
    /// What holders have announced here themselves.
    announced: [Option<Vote>; SHARDS],
    /// What others pass on. It says whom to ask, and that a request would come to nothing; votes are given without it.
    relayed: [Option<RelayedLease>; SHARDS],
}

impl LeaseVoter {
    /// A voter whose process starts now; `forgotten` unless there can be no earlier votes at all.
    pub fn new(now: Timestamp, forgotten: bool) -> Self {
        let votes_from = if forgotten { now + ROLE_LEASE } else { 0 };
        LeaseVoter {
            started: now,
            votes_from,
            new_voter: false,
            heard: BTreeSet::new(),
            votes: [None; SHARDS],
            announced: [None; SHARDS],
            relayed: [None; SHARDS],
        }
    }

    /// This machine has just become a voter.
    pub fn become_voter(&mut self, now: Timestamp) {
        (self.votes_from, self.new_voter) = (now + ROLE_LEASE, true);
    }

    /// A machine is shutting down: it holds nothing any more and requests nothing, so the votes for it are free.
    pub fn release_node(&mut self, node: NodeId) {
        let votes = self.votes.iter_mut().chain(&mut self.announced);
        for vote in votes.filter(|vote| vote.is_some_and(|v| v.holder.node == node)) {
            *vote = None;
        }
    }

    /// The leases that holders have announced here, to be passed on to a machine that may not reach them.
    pub fn announced(&self, now: Timestamp) -> Vec<AnnouncedLease> {
        let announced = |(shard, vote): (usize, &Option<Vote>)| {
            let vote = vote.filter(|vote| vote.expires > now)?;
            Some(AnnouncedLease { shard, holder: vote.holder, remaining: vote.expires - now })
        };
        self.announced.iter().enumerate().filter_map(announced).collect()
    }

    /// Takes what another machine has heard announced, in place of what it passed on before.
    pub fn observe_relayed(&mut self, now: Timestamp, relayed_by: NodeId, leases: &[AnnouncedLease]) {
        for lease in &mut self.relayed {
            lease.take_if(|lease| lease.relayed_by == relayed_by);
        }
        for lease in leases {
            if let Some(known) = self.relayed.get_mut(lease.shard) {
                let expires = now + lease.remaining.min(ROLE_LEASE);
                *known = Some(RelayedLease { holder: lease.holder, expires, relayed_by });
            }
        }
    }

    /// Another voter says, in this incarnation of its process, what it holds. Any earlier incarnation has ended.
    pub fn observe_holder(&mut self, now: Timestamp, holder: Holder, held: &[HeldLease]) {
        for vote in self.votes.iter_mut().chain(&mut self.announced) {
            let earlier =
                |v: &Vote| v.holder.node == holder.node && v.holder.incarnation != holder.incarnation;
            if vote.as_ref().is_some_and(earlier) {
                *vote = None;
            }
        }
        for lease in held {
            let Some(vote) = self.votes.get_mut(lease.shard) else { continue };
            // Who holds a shard has a majority: a vote for anyone else came to nothing, and would only lead limiters astray. It
            // is not given anew before its own expiry, as requests that count it may still be under way.
            let expires = vote.map_or(0, |v| v.expires).max(now + lease.remaining);
            *vote = Some(Vote { holder, expires });
            self.announced[lease.shard] = Some(Vote { holder, expires: now + lease.remaining });
        }
        // Whatever was requested with a vote of this voter's earlier incarnation has been answered by then.
        if now >= self.started + LEASE_REQUEST_TIMEOUT {
            self.heard.insert(holder.node);
        }
    }

    /// Once all of these have said what they hold, this voter knows again what it may have voted for. Whoever knows of no others yet has
    /// not heard them.
    pub fn complete_recovery(&mut self, others: &[NodeId]) {
        if !self.new_voter && !others.is_empty() && others.iter().all(|node| self.heard.contains(node)) {
            self.votes_from = 0;
        }
    }

    /// Handles a request of `node`. True if it gets the vote.
    pub fn vote(&mut self, now: Timestamp, node: NodeId, request: LeaseRequest) -> bool {
        let Some(vote) = self.votes.get_mut(request.shard) else { return false };
        let candidate = Holder { node, incarnation: request.incarnation };
        let free = match vote {
            Some(vote) => vote.holder == candidate || vote.expires < now,
            // A new voter takes nobody's word for it.
            None => now >= self.votes_from || (request.renewal && !self.new_voter),
        };
        if free {
            *vote = Some(Vote { holder: candidate, expires: now + ROLE_LEASE });
        }
        free
    }

    /// A request of this voter's own machine came to nothing: its own vote is free again, as nothing counts it any more.
    pub fn release_vote(&mut self, node: NodeId, request: LeaseRequest) {
        let candidate = Holder { node, incarnation: request.incarnation };
        if let Some(vote) = self.votes.get_mut(request.shard) {
            if vote.is_some_and(|v| v.holder == candidate) {
                *vote = None;
            }
        }
    }

    /// Who may hold a shard at this moment, as far as this voter knows.
    pub fn holder(&self, now: Timestamp, shard: usize) -> Option<Holder> {
        let relayed = self.relayed.get(shard).copied().flatten();
        if let Some(lease) = relayed.filter(|lease| lease.expires >= now) {
            return Some(lease.holder);
        }
        let vote = self.votes.get(shard).copied().flatten()?;
        (vote.expires >= now).then_some(vote.holder)
    }
}

/// The leases that one machine holds.
#[derive(Debug, Clone, Default)]
pub struct HeldLeases {
    expires: [Timestamp; SHARDS],
}

impl HeldLeases {
    /// Until when it holds a shard; 0 if it never did.
    pub fn expires(&self, shard: usize) -> Timestamp {
        self.expires.get(shard).copied().unwrap_or(0)
    }

    /// Whether it holds a shard.
    pub fn holds(&self, now: Timestamp, shard: usize) -> bool {
        self.expires(shard) > now
    }

    /// How long it holds a shard yet; 0 if it does not.
    pub fn remaining(&self, now: Timestamp, shard: usize) -> Micros {
        self.expires(shard).saturating_sub(now)
    }

    /// All leases that it holds, as it announces them.
    pub fn held(&self, now: Timestamp) -> Vec<HeldLease> {
        (0..SHARDS)
            .filter(|shard| self.holds(now, *shard))
            .map(|shard| HeldLease { shard, remaining: self.expires(shard) - now })
            .collect()
    }

    /// Gives up all leases: this machine is shutting down.
    pub fn release_all(&mut self) {
        self.expires = [0; SHARDS];
    }

    /// The leases to request: those held, and those that nobody holds and this machine is preferred for among the `live` voters.
    pub fn requests(
        &self,
        now: Timestamp,
        own: Holder,
        live: &[NodeId],
        voter: &LeaseVoter,
    ) -> Vec<LeaseRequest> {
        let mut requests = Vec::new();
        for shard in 0..SHARDS {
            let renewal = self.holds(now, shard);
            let free = voter.holder(now, shard).is_none_or(|holder| holder == own);
            let preferred = || preferred_node(shard as u64, live.iter().copied()) == Some(own.node);
            if renewal || (free && preferred()) {
                requests.push(LeaseRequest { shard, incarnation: own.incarnation, renewal });
            }
        }
        requests
    }

    /// A majority has voted for a request that was sent at `requested`. True if the shard is newly held.
    pub fn acquire(&mut self, now: Timestamp, requested: Timestamp, request: LeaseRequest) -> bool {
        let held = self.holds(now, request.shard);
        // A renewal counts for a holder only: a voter that forgot its votes took the holder's word for it.
        let expired_renewal = request.renewal && !held;
        let late = now.saturating_sub(requested) > LEASE_REQUEST_TIMEOUT;
        if expired_renewal || late {
            return false;
        }
        if let Some(expires) = self.expires.get_mut(request.shard) {
            *expires = (*expires).max(requested + ROLE_LEASE);
        }
        !held && self.holds(now, request.shard)
    }
}
