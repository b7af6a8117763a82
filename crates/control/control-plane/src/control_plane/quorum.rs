//! Heartbeat rounds: whether a majority is in contact, and whether the state here is the newest.
//!
//! A round that a majority of the voters has answered gives a slot by which all that was chosen before the round began is applied:
//! the newest that any of them has applied, and one more if a value is accepted there. Once this replica has applied that slot, its
//! state is *confirmed* as of the round's beginning (a linearizable read point), however many updates are under way meanwhile.

use super::agreement::YIELD_TIMEOUT;
use super::updates::MAX_LONG_POLLS;
use super::{ControlPlane, SentRequest};
use crate::messages::{Call, Heartbeat, HeartbeatReply, RelayedView, Reply};
use limeway_consensus::{NodeId, Slot, Voter};
use limeway_distribution::encode;
use limeway_invariants::{check, Invariant};
use limeway_membership::{AnnouncedLease, Holder, LeaseRequest};
use limeway_routing_config::Operation;
use limeway_service_registry::ServerReport;
use limeway_types::{Micros, Timestamp, SECOND};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

/// Quorum contact lasts so long from the beginning of a round that a majority has answered.
pub const QUORUM_LEASE: Micros = SECOND;
/// Interval between two rounds.
const ROUND_INTERVAL: Micros = 250_000;
/// The interval after the start of a process: the fleet may have ended as a whole, and waits for the control plane.
const STARTUP_ROUND_INTERVAL: Micros = 60_000;
/// How long that interval applies.
const STARTUP: Micros = 3 * SECOND;
/// A confirmation that this replica has not caught up with is given up after this.
const CONFIRMATION_TIMEOUT: Micros = 3 * SECOND;
/// How long replies to a heartbeat are waited for.
const HEARTBEAT_TIMEOUT: Micros = 300_000;
/// The least interval between two rounds that callers wait for.
const MIN_ROUND_INTERVAL: Micros = 10_000;
/// While a voter is not reached, the others are asked for the whole service registry this often.
const RELAY_INTERVAL: Micros = SECOND;
/// How long a voter leaves the completion of an accepted value to each voter before it: a message's way on the longest links.
const COMPLETION_TURN: Micros = 80_000;
/// Upper bound on the rounds under way.
const MAX_ROUNDS: usize = 8;
/// Upper bound on all that a replica has pending: long polls, and as much again.
const MAX_PENDING: usize = 2 * MAX_LONG_POLLS;
/// A server that missed so many heartbeats is unresponsive,
const MAX_MISSED_HEARTBEATS: u64 = 3;
/// with this much time on top, as heartbeats may come late.
const LATE_HEARTBEAT_MARGIN: Micros = 700_000;

/// A heartbeat round under way.
#[derive(Debug)]
struct Round {
    started: Timestamp,
    lease_requests: Vec<LeaseRequest>,
    /// Votes for each shard requested.
    lease_votes: BTreeMap<usize, usize>,
    /// Voters that have answered, with a disk that takes writes.
    voters_heard: usize,
    /// Whatever may have been chosen before the round is applied by this slot.
    confirmed_by: Slot,
    /// The replica that has applied most, and that slot.
    newest: (Slot, NodeId),
    /// A value is accepted for the slot after the newest.
    has_accepted: bool,
    waiting_for: BTreeSet<NodeId>,
    concluded: bool,
}

/// The rounds of this replica.
#[derive(Debug, Default)]
pub(crate) struct Quorum {
    pub next_round: Timestamp,
    last_round: u64,
    last_started: Timestamp,
    /// When the newest round began that a majority has answered, whether or not it has confirmed the state.
    last_concluded: Timestamp,
    /// When the registry of others was last asked for in place of a voter that is not reached.
    relay_requested: Timestamp,
    rounds: BTreeMap<u64, Round>,
    /// Rounds that confirm the state once a slot is applied here: when they began, and the slot.
    unconfirmed: Vec<(Timestamp, Slot)>,
    /// Peers that may have missed what heartbeats said, and since when: new ones, and those that have not answered one.
    uninformed: BTreeMap<NodeId, Timestamp>,
    /// The slot that had an accepted value at the end of the last round.
    accepted_slot: Slot,
    /// That value is to be completed, as its proposer may be gone.
    complete_accepted: bool,
}

impl Quorum {
    pub(crate) fn pending_count(&self) -> usize {
        self.rounds.len() + self.unconfirmed.len()
    }

    /// The voters have changed. What a majority of the former ones answered says nothing of what the new ones choose.
    pub(crate) fn voters_changed(&mut self) {
        self.unconfirmed.clear();
        for round in self.rounds.values_mut() {
            round.concluded = true;
            round.lease_votes.clear();
        }
    }

    /// A peer may have missed what heartbeats said so far.
    pub(crate) fn may_be_uninformed(&mut self, now: Timestamp, node: NodeId) {
        self.uninformed.insert(node, now);
    }

    /// A peer has answered a heartbeat of a round: if that began since, it has been told all.
    fn heartbeat_answered(&mut self, round: u64, node: NodeId) {
        let Some(started) = self.rounds.get(&round).map(|round| round.started) else { return };
        if self.uninformed.get(&node).is_some_and(|since| started > *since) {
            self.uninformed.remove(&node);
        }
    }

    /// Forgets peers that are known no longer.
    pub(crate) fn retain_peers(&mut self, is_known: impl Fn(&NodeId) -> bool) {
        self.uninformed.retain(|node, _| is_known(node));
    }

    /// Whether a majority has answered a round that began at this time or later.
    pub(crate) fn has_heard_majority_since(&self, since: Timestamp) -> bool {
        self.last_concluded >= since
    }

    /// Whether a round has begun since, or has and waits for this replica to catch up.
    fn has_round_since(&self, since: Timestamp) -> bool {
        self.rounds.values().any(|round| round.started >= since && !round.concluded)
            || self.unconfirmed.iter().any(|(started, _)| *started >= since)
    }
}

impl ControlPlane {
    /// Whether a majority has answered lately.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        self.cache.confirmed_at > 0 && now < self.cache.confirmed_at + QUORUM_LEASE
    }

    /// Starts rounds when they are due, or callers wait for one.
    pub(crate) fn run_rounds(&mut self) {
        self.expire_ballot();
        if self.now >= self.quorum.next_round {
            self.expire();
            self.start_round();
        } else if self.requested_round().is_some_and(|at| self.now >= at) {
            self.start_round();
        }
    }

    /// When a round is to start because a caller waits for one, if none is under way for it.
    pub(crate) fn requested_round(&self) -> Option<Timestamp> {
        let since = self.proposals.newest_unconfirmed(self.cache.confirmed_at)?;
        let may_start = !self.quorum.has_round_since(since) && self.quorum.rounds.len() < MAX_ROUNDS;
        may_start.then_some(self.quorum.last_started + MIN_ROUND_INTERVAL)
    }

    /// Drops whatever has expired, before each regular round.
    fn expire(&mut self) {
        self.persistence.report_health(self.now);
        if self.persistence.should_retry() {
            // Once the disk takes writes again, this replica votes again.
            self.persist(Vec::new());
        }
        let timeout = MAX_MISSED_HEARTBEATS * self.options.server_heartbeat + LATE_HEARTBEAT_MARGIN;
        self.cache.registry.expire(self.now, timeout);
        self.report_replications.forget_unknown(&self.cache.registry);
        self.write_noted_leaving();
        self.membership.expire(self.now);
        self.expire_counters();
        self.publish_members();
        self.voter_changes.review = true;
        self.long_polls.review_members = true;
        let (now, pending) = (self.now, self.pending_count());
        let (near, holds) = (2 * pending >= MAX_PENDING, pending < MAX_PENDING);
        check(Invariant::BoundedQueues, near, holds, || format!("{pending} entries"));
        self.quorum.unconfirmed.retain(|(started, _)| now < started + CONFIRMATION_TIMEOUT);
    }

    /// Starts a round: a heartbeat to each other replica.
    pub(crate) fn start_round(&mut self) {
        let now = self.now;
        let starting = now < self.started + STARTUP;
        self.quorum.next_round = now + if starting { STARTUP_ROUND_INTERVAL } else { ROUND_INTERVAL };
        self.quorum.last_started = now;
        let others = self.other_replicas();
        let lease_requests = self.lease_requests();
        let held = self.held_leases.held(now);
        let reports = self.fresh_reports();
        let members = self.direct_members.pass_on(now);
        let number = self.open_round(&others, &lease_requests);
        let status = self.status(now);
        let answered_calls = self.reported_calls();
        let wants_relayed = self.misses_voter();
        let relays_registry = wants_relayed && now >= self.quorum.relay_requested + RELAY_INTERVAL;
        if relays_registry {
            self.quorum.relay_requested = now;
        }
        for node in others {
            let mut reports = reports.clone();
            if self.quorum.uninformed.contains_key(&node) {
                // Those who have left say nothing again.
                reports.extend(self.cache.registry.leaving(now));
            }
            let heartbeat = Heartbeat {
                status,
                reports,
                members: members.clone(),
                held: held.clone(),
                lease_requests: lease_requests.clone(),
                wants_registry: relays_registry || self.unanswered.contains(&node),
                wants_relayed,
                answered_calls: answered_calls.clone(),
            };
            let purpose = SentRequest::Heartbeat(number, node);
            self.send(node, Call::Heartbeat(Box::new(heartbeat)), HEARTBEAT_TIMEOUT, purpose);
        }
        self.conclude_round(number);
        self.close_round(number);
    }

    /// Whether some voter does not answer: it may be gone, or reached by others only. What it hears comes by way of these then.
    fn misses_voter(&self) -> bool {
        self.voters().iter().any(|voter| self.unanswered.contains(&voter.node))
    }

    /// What this replica hears from others, for one that does not reach all of them. Nothing without quorum contact.
    fn relayed_view(&self) -> Option<Box<RelayedView>> {
        let now = self.now;
        let view = || RelayedView {
            members: self.membership.heartbeats(now),
            leases: self.lease_voter.announced(now),
        };
        self.has_quorum(now).then(|| Box::new(view()))
    }

    /// Takes what another replica hears from those that this one does not reach.
    fn observe_relayed(&mut self, from: NodeId, view: &RelayedView) {
        for member in &view.members {
            self.long_polls.review_members |= self.membership.observe(self.now, member);
        }
        let own = self.options.node;
        let of_others = view.leases.iter().filter(|lease| lease.holder.node != own);
        let leases: Vec<AnnouncedLease> = of_others.copied().collect();
        self.lease_voter.observe_relayed(self.now, from, &leases);
    }

    /// Opens a round with this replica's own votes. Returns its number.
    fn open_round(&mut self, others: &[NodeId], lease_requests: &[LeaseRequest]) -> u64 {
        let mut lease_votes = BTreeMap::new();
        for request in lease_requests {
            if self.lease_voter.vote(self.now, self.options.node, *request) {
                *lease_votes.entry(request.shard).or_default() += 1;
            }
        }
        let counts = self.own_voter().is_some() && self.persistence.is_healthy(self.now);
        let has_accepted = counts && self.acceptor.slot_state.accepted.is_some();
        let slot = self.cache.state.slot;
        let round = Round {
            started: self.now,
            lease_requests: lease_requests.to_vec(),
            lease_votes,
            voters_heard: usize::from(counts),
            confirmed_by: slot + u64::from(has_accepted),
            newest: (slot, self.options.node),
            has_accepted,
            waiting_for: others.iter().copied().collect(),
            concluded: false,
        };
        self.quorum.last_round += 1;
        self.quorum.rounds.insert(self.quorum.last_round, round);
        self.quorum.last_round
    }

    /// Reports of the servers heard since the last round.
    fn fresh_reports(&mut self) -> Vec<ServerReport> {
        let ids = std::mem::take(&mut self.fresh_servers);
        ids.iter().filter_map(|id| self.cache.registry.report(self.now, id)).collect()
    }

    /// Answers another replica's heartbeat.
    pub(crate) fn handle_heartbeat(&mut self, heartbeat: Heartbeat) -> HeartbeatReply {
        let sender = heartbeat.status;
        self.observe_peer(sender);
        self.answered_calls.observe_peer(self.now, sender.node, heartbeat.answered_calls);
        self.observe_servers(&heartbeat.reports, false);
        let mut members_changed = false;
        for member in &heartbeat.members {
            members_changed |= self.membership.observe(self.now, member);
        }
        if members_changed {
            self.publish_members();
        }
        let granted = self.vote_for_leases(sender, heartbeat.lease_requests);
        if sender.slot > self.cache.state.slot {
            self.fetch(sender.node);
        }
        HeartbeatReply {
            status: self.status(self.now),
            has_accepted: self.acceptor.slot_state.accepted.is_some(),
            held: self.held_leases.held(self.now),
            granted,
            servers: if heartbeat.wants_registry {
                self.cache.registry.full_report(self.now)
            } else {
                Vec::new()
            },
            relayed: if heartbeat.wants_relayed { self.relayed_view() } else { None },
            answered_calls: self.reported_calls(),
            non_voters: self.non_voters_for(sender.node),
        }
    }

    pub(crate) fn handle_heartbeat_reply(&mut self, number: u64, node: NodeId, reply: Option<Reply>) {
        let Some(Reply::Heartbeat(reply)) = reply else {
            self.unanswered.insert(node);
            self.quorum.may_be_uninformed(self.now, node);
            if let Some(round) = self.quorum.rounds.get_mut(&number) {
                round.waiting_for.remove(&node);
            }
            return self.close_round(number);
        };
        self.unanswered.remove(&node);
        self.quorum.heartbeat_answered(number, node);
        self.observe_peer(reply.status);
        self.introduce(&reply.non_voters);
        self.answered_calls.observe_peer(self.now, node, reply.answered_calls.clone());
        let holder = Holder { node, incarnation: reply.status.incarnation };
        self.lease_voter.observe_holder(self.now, holder, &reply.held);
        let possible_holders = self.possible_holders();
        self.lease_voter.complete_recovery(&possible_holders);
        self.observe_servers(&reply.servers, false);
        self.observe_relayed(node, reply.relayed.as_deref().unwrap_or(&RelayedView::default()));
        let slot = reply.status.slot;
        if !self.count_reply(number, node, &reply) {
            return;
        }
        self.conclude_round(number);
        self.close_round(number);
        if slot > self.cache.state.slot {
            self.fetch(node);
        }
    }

    /// Counts a reply in its round. False if the round is over. Replies of replicas that are no voters count for nothing: they may have
    /// forgotten what they accepted.
    fn count_reply(&mut self, number: u64, node: NodeId, reply: &HeartbeatReply) -> bool {
        let is_voter = self.voters().contains(&Voter { node, disk: reply.status.disk });
        let Some(round) = self.quorum.rounds.get_mut(&number) else { return false };
        round.waiting_for.remove(&node);
        if is_voter {
            round.count(node, reply);
        }
        true
    }

    /// Takes what a majority has answered: whoever does not answer holds nothing up.
    fn conclude_round(&mut self, number: u64) {
        let majority = self.majority();
        let Some(round) = self.quorum.rounds.get_mut(&number) else { return };
        if round.voters_heard >= majority && !round.concluded {
            round.concluded = true;
            self.quorum.last_concluded = self.quorum.last_concluded.max(round.started);
            self.quorum.unconfirmed.push((round.started, round.confirmed_by));
        }
        let won =
            |request: &&LeaseRequest| round.lease_votes.get(&request.shard).is_some_and(|v| *v >= majority);
        let won: Vec<LeaseRequest> = round.lease_requests.iter().filter(won).copied().collect();
        let started = round.started;
        self.acquire_leases(started, &won);
        self.confirm();
    }

    /// Confirms the state by the rounds whose slot is applied now.
    pub(crate) fn confirm(&mut self) {
        let slot = self.cache.state.slot;
        let applied = self.quorum.unconfirmed.iter().filter(|(_, confirmed_by)| *confirmed_by <= slot);
        let Some(confirmed_at) = applied.map(|(started, _)| *started).max() else { return };
        self.quorum.unconfirmed.retain(|(started, _)| *started > confirmed_at);
        if confirmed_at <= self.cache.confirmed_at {
            return;
        }
        let had_quorum = self.has_quorum(self.now);
        self.cache.confirmed_at = confirmed_at;
        if !had_quorum && self.has_quorum(self.now) {
            // Polls that came meanwhile were answered at once; members and servers may have changed.
            self.long_polls.review_members = true;
        }
    }

    /// Ends a round once all have answered or timed out.
    fn close_round(&mut self, number: u64) {
        if self.quorum.rounds.get(&number).is_none_or(|round| !round.waiting_for.is_empty()) {
            return;
        }
        let Some(round) = self.quorum.rounds.remove(&number) else { return };
        self.release_lost_votes(&round);
        let slot = self.cache.state.slot;
        let (newest_slot, newest_node) = round.newest;
        if newest_slot > slot {
            self.fetch(newest_node);
        } else if round.concluded && round.has_accepted && newest_slot == slot {
            // Its proposer may be gone: what is still accepted a round later is completed, whatever it is.
            self.quorum.complete_accepted = self.quorum.accepted_slot == slot + 1;
            self.quorum.accepted_slot = slot + 1;
        } else {
            self.quorum.accepted_slot = 0;
        }
    }

    /// Frees this replica's own votes for requests that came to nothing.
    fn release_lost_votes(&mut self, round: &Round) {
        for request in round.lease_requests.iter().filter(|request| !request.renewal) {
            // Another round under way may count the own vote, and win by it.
            let counts_it = |r: &Round| r.lease_requests.iter().any(|other| other.shard == request.shard);
            let held = self.held_leases.holds(self.now, request.shard);
            if !held && !self.quorum.rounds.values().any(counts_it) {
                self.lease_voter.release_vote(self.options.node, *request);
            }
        }
    }

    /// When this voter completes the value that it has accepted itself: no round confirms the state before it is applied, so it does
    /// not wait for two of them once the proposer is silent. The other voters that answer take turns, or they would preempt each other.
    pub(crate) fn completion_turn(&self) -> Option<Timestamp> {
        let own = self.own_voter()?;
        let proposer = self.acceptor.slot_state.accepted.as_ref().map(|(number, _)| number.proposer)?;
        let free_from = self.agreement.free_from()?.max(self.started + YIELD_TIMEOUT);
        let has_turn = |voter: &&Voter| voter.node != proposer && !self.unanswered.contains(&voter.node);
        let before_own = self.voters().iter().take_while(|voter| **voter != own).filter(has_turn);
        Some(free_from + before_own.count() as u64 * COMPLETION_TURN)
    }

    /// Whether it is this voter's turn, and a majority is there to accept the value.
    fn is_completion_due(&self) -> bool {
        let hears_majority = self.now < self.quorum.last_concluded + QUORUM_LEASE;
        let may_vote = self.persistence.is_healthy(self.now);
        hears_majority && may_vote && self.completion_turn().is_some_and(|turn| self.now >= turn)
    }

    /// Completes a value that was found accepted, or closes its slot with an operation that changes nothing: a proposal without a
    /// value of its own would leave the accepted one where it is if it finds nothing at a majority, and nobody could confirm
    /// the state.
    pub(crate) fn complete_accepted(&mut self) {
        let found = std::mem::take(&mut self.quorum.complete_accepted)
            && self.quorum.accepted_slot == self.cache.state.slot + 1;
        if found || self.is_completion_due() {
            let no_change = Operation::SetGateways { add: Vec::new(), remove: Vec::new() };
            self.propose(ByteBuf::from(encode(&no_change)));
        }
    }
}

impl Round {
    fn count(&mut self, node: NodeId, reply: &HeartbeatReply) {
        let slot = reply.status.slot;
        if reply.status.disk_healthy {
            self.voters_heard += 1;
            for shard in &reply.granted {
                *self.lease_votes.entry(*shard).or_default() += 1;
            }
        }
        self.confirmed_by = self.confirmed_by.max(slot + u64::from(reply.has_accepted));
        if slot > self.newest.0 {
            (self.newest, self.has_accepted) = ((slot, node), reply.has_accepted);
        } else if slot == self.newest.0 {
            self.has_accepted |= reply.has_accepted;
        }
    }
}
