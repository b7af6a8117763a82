//! The replica: its parts, and the dispatch of events to them.

mod agreement;
mod answered_calls;
mod evacuations;
mod instances;
mod leaving;
mod peers;
mod persistence;
mod proposals;
mod quorum;
mod quota;
mod replication;
mod role_leases;
mod updates;
mod voters;

pub use quorum::QUORUM_LEASE;
pub use voters::MAX_VOTERS;

use crate::api::{Action, ApiRequest, CallerId, Event, Frontend, RequestId, StartOptions};
use crate::messages::{Call, PeerStatus, Reply};
use agreement::Agreement;
use answered_calls::AnsweredCalls;
use instances::Replications;
use leaving::{is_leaving, LeavingRecords};
use limeway_consensus::{Acceptor, Slot, Voter};
use limeway_distribution::transfer::StateRequest;
use limeway_distribution::StateCache;
use limeway_membership::{
    HeartbeatBuffer, HeldLeases, Holder, LeaseVoter, Membership, RandomSequence, MAX_MEMBERS, SHARDS,
};
use limeway_quota::counter::Counter;
use limeway_quota::gateway_counts::GatewayCounts;
use limeway_routing_config::{RoutingSnapshot, State};
use limeway_service_registry::ServerReport;
use limeway_types::{Micros, NodeId, Timestamp};
use peers::Peer;
use persistence::{AfterWrite, Persistence};
use proposals::Proposals;
use quorum::Quorum;
use replication::Replication;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use updates::LongPolls;
use voters::{VoterChanges, HANDOVER_TIMEOUT, SHUTDOWN_GRACE};

/// A shutdown under way.
#[derive(Debug, Clone, Copy)]
struct Shutdown {
    /// When it began.
    began_at: Timestamp,
    /// The replica exits then in any case.
    deadline: Timestamp,
}

/// A replica of the control plane.
#[derive(Debug)]
pub struct ControlPlane {
    options: StartOptions,
    started: Timestamp,
    /// The time of the last event.
    now: Timestamp,
    /// Actions of the event that is being handled.
    actions: Vec<Action>,
    /// What this replica knows, and sends to limiters.
    cache: StateCache,
    acceptor: Acceptor,
    routing: Rc<RoutingSnapshot>,
    membership: Membership,
    /// Heartbeats of members that renew their lease here.
    direct_members: HeartbeatBuffer,
    lease_voter: LeaseVoter,
    held_leases: HeldLeases,
    counters: [Option<Counter>; SHARDS],
    gateway_counts: GatewayCounts,
    /// Servers whose heartbeats go into the next round.
    fresh_servers: BTreeSet<String>,
    peers: BTreeMap<NodeId, Peer>,
    /// Replicas that others have named, and when.
    introduced: BTreeMap<NodeId, Timestamp>,
    /// Peers that did not answer the last heartbeat: they are asked for their full registry.
    unanswered: BTreeSet<NodeId>,
    quorum: Quorum,
    agreement: Agreement,
    proposals: Proposals,
    answered_calls: AnsweredCalls,
    voter_changes: VoterChanges,
    long_polls: LongPolls,
    persistence: Persistence,
    replication: Replication,
    report_replications: Replications,
    leaving: LeavingRecords,
    /// Heartbeats of instances that had said that they end.
    heartbeats_of_ended: u64,
    last_request: RequestId,
    shutdown: Option<Shutdown>,
    exited: bool,
    random: RandomSequence,
    sent: BTreeMap<RequestId, SentRequest>,
}

/// What a request was sent for.
#[derive(Debug, Clone, Copy)]
enum SentRequest {
    /// A heartbeat of this round.
    Heartbeat(u64, NodeId),
    /// A phase of a proposal: the number of the ballot.
    Ballot(u64, NodeId),
    Fetch(NodeId, StateRequest),
    Commit(NodeId, Slot),
    ReplicateReport(u64),
}

impl ControlPlane {
    /// A replica that starts with what was found on its disk.
    pub fn new(now: Timestamp, options: StartOptions, actions: &mut Vec<Action>) -> Self {
        let mut cache = StateCache::new(options.incarnation);
        cache.state = options.state.clone();
        if options.initial_start && cache.state.voters.is_empty() {
            // The same for all at the first start, and never again: what the settings file says later decides nothing.
            let seeds: BTreeSet<NodeId> = options.seeds.iter().copied().collect();
            cache.state.voters = seeds.into_iter().map(|node| Voter { node, disk: 0 }).collect();
        }
        let routing = cache.state.snapshot_from(&RoutingSnapshot::default()).unwrap_or_default();
        let mut replica = ControlPlane {
            started: now,
            now,
            actions: Vec::new(),
            acceptor: options.acceptor.clone(),
            routing: Rc::new(routing),
            membership: Membership::default(),
            direct_members: HeartbeatBuffer::new(MAX_MEMBERS),
            lease_voter: LeaseVoter::new(now, !options.initial_start),
            held_leases: HeldLeases::default(),
            counters: Default::default(),
            gateway_counts: GatewayCounts::default(),
            fresh_servers: BTreeSet::new(),
            peers: BTreeMap::new(),
            introduced: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            quorum: Quorum::default(),
            agreement: Agreement::default(),
            proposals: Proposals::default(),
            answered_calls: AnsweredCalls::recovered(&options.answered_calls),
            voter_changes: VoterChanges::new(cache.state.voters.clone()),
            long_polls: LongPolls::default(),
            persistence: Persistence::new(cache.state.slot),
            replication: Replication::default(),
            report_replications: Replications::default(),
            leaving: LeavingRecords::recovered(options.leaving.len()),
            heartbeats_of_ended: 0,
            last_request: 0,
            shutdown: None,
            exited: false,
            random: RandomSequence::new(options.incarnation),
            sent: BTreeMap::new(),
            cache,
            options,
        };
        for report in &replica.options.leaving {
            // How long ago it was heard is not known: it is remembered as long as one that was heard now.
            replica.cache.registry.observe(now, &ServerReport { age: 0, ..report.clone() });
        }
        replica.voter_changes.was_voter = replica.own_voter().is_some();
        replica.unanswered.extend(replica.other_replicas());
        if replica.options.initial_start {
            replica.persist(Vec::new());
        }
        replica.start_round();
        actions.append(&mut replica.actions);
        replica
    }

    /// Handles an event. Its actions are to be performed in their order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Call(caller, call) => self.handle_call(caller, call),
            Event::Reply(request, reply) => self.handle_reply(request, reply),
            Event::ApiCall { caller, request, age } => self.handle_api_call(caller, request, age),
            Event::WriteCompleted(write, done) => self.write_completed(write, done),
            Event::ResponseDelivered(call_id) => self.response_delivered(call_id),
            Event::ResponseLost(call_id) => self.release_call(call_id),
            Event::Tick => {}
            Event::SeedsChanged(seeds) => self.options.seeds = seeds,
            Event::Shutdown { within } => self.shut_down(within),
        }
        self.run_due();
        actions.append(&mut self.actions);
    }

    fn handle_call(&mut self, caller: CallerId, call: Call) {
        let reply = match call {
            Call::Prepare(slot, number) => return self.handle_prepare(caller, slot, number),
            Call::Accept(slot, number, value) => return self.handle_accept(caller, slot, number, value),
            Call::Commit(slot, value) => return self.handle_commit(caller, slot, &value),
            Call::LongPoll(poll) => return self.handle_long_poll(caller, *poll),
            Call::Fetch(request) => Reply::StateUpdate(self.cache.state_update(&request)),
            Call::Heartbeat(heartbeat) => Reply::Heartbeat(self.handle_heartbeat(*heartbeat)),
            Call::ReplicateReports(reports) => {
                self.observe_servers(&reports, false);
                if reports.iter().any(is_leaving) {
                    reports.iter().filter(|report| is_leaving(report)).for_each(|r| self.note_leaving(&r.id));
                    return self.record_leaving(AfterWrite::ReportsRecorded(caller));
                }
                Reply::Done
            }
            Call::LeaseQuota(node, requests) => self.lease_quota(node, &requests),
            Call::BorrowUnit(_) => Reply::Declined,
        };
        self.actions.push(Action::Reply(caller, reply));
    }

    fn handle_reply(&mut self, request: RequestId, reply: Option<Reply>) {
        match self.sent.remove(&request) {
            Some(SentRequest::Heartbeat(round, node)) => self.handle_heartbeat_reply(round, node, reply),
            Some(SentRequest::Ballot(ballot, node)) => self.handle_ballot_reply(ballot, node, reply),
            Some(SentRequest::Fetch(node, request)) => self.handle_fetched(node, request, reply),
            Some(SentRequest::Commit(node, slot)) => {
                if let (Some(Reply::Done), Some(peer)) = (reply, self.peers.get_mut(&node)) {
                    peer.status.durable_slot = peer.status.durable_slot.max(slot);
                }
            }
            Some(SentRequest::ReplicateReport(replication)) => {
                self.handle_report_replicated(replication, matches!(reply, Some(Reply::Done)));
            }
            // Nothing waits for it any more.
            None => {}
        }
    }

    fn handle_api_call(&mut self, caller: CallerId, request: ApiRequest, age: Micros) {
        let arrived = self.now.saturating_sub(age);
        match request {
            ApiRequest::Heartbeat(report) => {
                self.handle_server_heartbeat(caller, ServerReport { age: report.age + age, ..report });
            }
            ApiRequest::Deregister(id) => self.handle_deregister(caller, &id),
            ApiRequest::UpdateConfig(update) => self.enqueue_update(caller, update, arrived),
            ApiRequest::Evacuate { zone, starts } => self.enqueue_evacuation(caller, zone, starts, arrived),
            ApiRequest::ReadConfig => self.enqueue_read(caller, arrived),
        }
    }

    /// Does all that time and what has changed make due.
    fn run_due(&mut self) {
        self.run_rounds();
        self.run_proposals();
        self.answer_long_polls();
        self.run_shutdown();
    }

    fn shut_down(&mut self, within: Micros) {
        if self.shutdown.is_some() {
            return;
        }
        log::info!("shutting down");
        self.shutdown = Some(Shutdown { began_at: self.now, deadline: self.now + within });
        // What it holds passes on at once, not when the leases expire.
        self.held_leases.release_all();
        self.expire_counters();
        self.lease_voter.release_node(self.options.node);
        self.start_round();
    }

    /// Exits once another replica has taken over its vote, or nobody is there to take it.
    fn run_shutdown(&mut self) {
        let Some(shutdown) = self.shutdown.filter(|_| !self.exited) else { return };
        let is_voter = self.own_voter().is_some();
        let hands_over = is_voter && self.candidate().is_some();
        let timeout = if hands_over { HANDOVER_TIMEOUT } else { SHUTDOWN_GRACE };
        let exit = shutdown.deadline.min(shutdown.began_at + timeout);
        if self.now >= exit || (!is_voter && self.now >= shutdown.began_at + SHUTDOWN_GRACE) {
            self.exited = true;
            self.actions.push(Action::Exit);
        }
    }

    /// When the next [`Event::Tick`] is due, at the latest.
    pub fn next_tick(&self) -> Timestamp {
        let now = self.now;
        let shutdown = self.shutdown.and_then(|shutdown| {
            let steps = [shutdown.began_at + SHUTDOWN_GRACE, shutdown.deadline];
            steps.into_iter().filter(|at| *at > now).min()
        });
        let requested_round = self.requested_round().map(|at| at.max(now));
        let ballot = self.agreement.next_tick(now, self.proposals.any_pending());
        let next_round = self.quorum.next_round;
        [
            Some(next_round),
            shutdown,
            requested_round,
            ballot,
            self.completion_turn().filter(|turn| *turn > now),
            self.proposals.next_tick(now),
            self.long_polls.next_tick(),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(next_round)
    }

    fn send(&mut self, to: NodeId, call: Call, timeout: Micros, purpose: SentRequest) {
        self.last_request += 1;
        self.sent.insert(self.last_request, purpose);
        self.actions.push(Action::Send { request: self.last_request, to, call, timeout });
    }

    /// A random number.
    fn random(&mut self) -> u64 {
        self.random.draw()
    }

    /// The voters of the next slot; none on a replica that knows of no voters yet.
    fn voters(&self) -> &[Voter] {
        &self.cache.state.voters
    }

    /// The machines of the voters, without this one.
    fn other_voters(&self) -> Vec<NodeId> {
        let own = self.options.node;
        self.voters().iter().map(|voter| voter.node).filter(|node| *node != own).collect()
    }

    fn majority(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    /// The voter that this replica would be, with its present disk.
    fn as_voter(&self) -> Voter {
        Voter { node: self.options.node, disk: self.acceptor.disk }
    }

    /// This replica's voter, if it is one.
    fn own_voter(&self) -> Option<Voter> {
        let own = self.as_voter();
        self.voters().contains(&own).then_some(own)
    }

    /// This replica as a holder of role leases.
    fn as_holder(&self) -> Holder {
        Holder { node: self.options.node, incarnation: self.options.incarnation }
    }

    fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// The other replicas that this one talks to: the voters, and candidates that have shown themselves or were named by others. A new
    /// replica that knows of no voters begins with the seeds of its settings file.
    fn other_replicas(&self) -> Vec<NodeId> {
        let mut others: BTreeSet<NodeId> = self.voters().iter().map(|voter| voter.node).collect();
        if others.is_empty() {
            others.extend(&self.options.seeds);
        }
        let candidates = self.peers.iter().filter(|(_, peer)| peer.status.loss_counted);
        others.extend(candidates.map(|(node, _)| *node));
        others.extend(self.introduced.keys());
        others.remove(&self.options.node);
        others.into_iter().collect()
    }

    /// How this replica is, for others and for operators.
    pub fn status(&self, now: Timestamp) -> PeerStatus {
        PeerStatus {
            node: self.options.node,
            disk: self.acceptor.disk,
            incarnation: self.options.incarnation,
            loss_counted: self.options.loss_counted,
            disk_healthy: self.persistence.is_healthy(now),
            has_quorum: self.has_quorum(now),
            shutting_down: self.is_shutting_down(),
            slot: self.cache.state.slot,
            durable_slot: self.persistence.durable_slot(),
        }
    }

    /// Whether this replica is a voter.
    pub fn is_voter(&self) -> bool {
        self.own_voter().is_some()
    }

    /// Servers that this replica knows.
    pub fn server_count(&self) -> usize {
        self.cache.registry.servers().len()
    }

    /// Heartbeats of instances that had said before that they end: they came late.
    pub fn heartbeats_of_ended(&self) -> u64 {
        self.heartbeats_of_ended
    }

    /// Instances that others have been heard of at their addresses since.
    pub fn superseded_count(&self) -> usize {
        self.cache.registry.servers().values().filter(|server| server.superseded).count()
    }

    /// The agreed state as this replica knows it.
    pub fn state(&self) -> &State {
        &self.cache.state
    }

    /// The acceptor.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// What waits here for replies, writes or time, all queues together: bounded, whatever happens.
    pub fn pending_count(&self) -> usize {
        self.sent.len()
            + self.report_replications.pending_count()
            + self.leaving.pending_count()
            + self.proposals.pending_count()
            + self.long_polls.pending_count()
            + self.persistence.pending_count()
            + self.quorum.pending_count()
    }

    /// The shards whose counters are held here at this moment.
    pub fn held_shards(&self, now: Timestamp) -> Vec<usize> {
        (0..SHARDS).filter(|shard| self.held_leases.holds(now, *shard)).collect()
    }

    /// Limiters that can serve clients. None without quorum contact: others know better.
    pub fn live_frontends(&self, now: Timestamp) -> Option<Vec<Frontend>> {
        let live = self.membership.live(now).filter(|member| member.ready);
        let frontend = |member: limeway_membership::LiveMember| Frontend {
            zone: member.zone.to_owned(),
            address: member.frontend,
        };
        self.has_quorum(now).then(|| live.map(frontend).collect())
    }
}
