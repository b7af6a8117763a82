//! Following: which upstream a limiter asks for updates, what it takes of the response, and when it asks again.
//!
//! [`Follower::next_action`] says what to do now, and [`Follower::handle_response`], [`Follower::handle_fetched`] and
//! [`Follower::handle_failure`] take the result. One request is under way at a time. The upstreams, preferred first: the relay above,
//! the voters of the agreed state, the seeds, and a few members known from before. One that does not answer or is stale is avoided
//! with a backoff that doubles from [`INITIAL_BACKOFF`] to [`MAX_BACKOFF`] until it is current again; the next one is asked at
//! once. While all but members are in backoff, every [`RETRY_INTERVAL`] the one whose backoff ends first is asked, and each fourth
//! time a member. So a process whose seeds are all cut off gets past them: their responses name other upstreams, though nothing
//! else is taken from them.
//!
//! Free of I/O; times are those of the machine's own monotonic clock.

use crate::freshness::{ChangeSet, Freshness};
use crate::messages::{LongPoll, StateUpdate, UpdateResponse};
use crate::transfer::{StateRequest, MAX_CHUNK_BYTES, MIN_CHUNK_BYTES};
use crate::{relay_tree, StateCache};
use limeway_membership::{hash, rendezvous_weight, HeartbeatBuffer, MemberHeartbeat};
use limeway_types::{Micros, NodeId, ProcessIncarnation, Timestamp, SECOND};
use std::collections::BTreeMap;

/// First backoff for an upstream that did not answer or is stale.
pub const INITIAL_BACKOFF: Micros = SECOND;
/// Longest backoff.
pub const MAX_BACKOFF: Micros = 8 * SECOND;
/// Pause between two requests while all upstreams are in backoff, or after a response that brought nothing.
pub const RETRY_INTERVAL: Micros = 100_000;
/// Pause after a superseded response: its upstream will learn of the next confirmation soon.
const SUPERSEDED_DELAY: Micros = 100_000;
/// Chunks are fetched for so long at a stretch; then a poll renews the member lease and the freshness.
const MAX_FETCH_STRETCH: Micros = 400_000;
/// While all else is in backoff, each request of so many goes to a member.
const MEMBER_REQUEST_INTERVAL: u64 = 4;
/// Pause after a small change of the state: changes that follow within it come as one, and the routing snapshot is made once.
pub const UPDATE_SPACING: Micros = 150_000;
/// Upper bound on the members remembered from upstreams that were not current.
const MAX_HINTED_MEMBERS: usize = 256;
/// Upper bound on the upstreams remembered as being in backoff.
const MAX_BACKOFFS: usize = 64;
/// Upper bound on the limiters that follow one relay.
const MAX_DOWNSTREAM: usize = 4 * relay_tree::FAN_OUT;

/// What a follower does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowerAction {
    /// Send this upstream a poll, made by [`Follower::poll`].
    Poll(NodeId),
    /// Fetch a state update from this upstream.
    Fetch(NodeId, StateRequest),
    /// Nothing before then.
    Wait(Timestamp),
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Timestamp,
    length: Micros,
}

/// Up to where the last response has brought this follower.
#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    incarnation: ProcessIncarnation,
    registry_revision: u64,
    members_revision: u64,
}

/// A large update that a relay left to the control plane.
#[derive(Debug, Clone, Copy)]
struct DeferredUpdate {
    slot: u64,
    relay: NodeId,
}

/// How a limiter follows the control plane.
#[derive(Debug)]
pub struct Follower {
    node: NodeId,
    zone: String,
    /// The seeds of the settings file.
    pub seeds: Vec<NodeId>,
    backoffs: BTreeMap<NodeId, Backoff>,
    cursor: Cursor,
    deferred: Option<DeferredUpdate>,
    /// Members named by any upstream, current or not: upstreams to try, nothing more.
    hinted_members: Vec<NodeId>,
    downstream: HeartbeatBuffer,
    /// Bytes of updates to request: fewer while responses do not come in time.
    max_bytes: usize,
    not_before: Timestamp,
    last_poll: Timestamp,
    /// Requests sent while all upstreams but members were in backoff.
    requests_in_backoff: u64,
}

impl Follower {
    /// A limiter that has asked nobody yet.
    pub fn new(node: NodeId, zone: &str, seeds: Vec<NodeId>) -> Self {
        Follower {
            node,
            zone: zone.to_owned(),
            seeds,
            backoffs: BTreeMap::new(),
            cursor: Cursor::default(),
            deferred: None,
            hinted_members: Vec::new(),
            downstream: HeartbeatBuffer::new(MAX_DOWNSTREAM),
            max_bytes: MAX_CHUNK_BYTES,
            not_before: 0,
            last_poll: 0,
            requests_in_backoff: 0,
        }
    }

    /// What to do now.
    pub fn next_action(&mut self, now: Timestamp, cache: &StateCache) -> FollowerAction {
        if now < self.not_before {
            return FollowerAction::Wait(self.not_before);
        }
        let upstreams = self.upstreams(now, cache);
        if let Some(fetch) = self.fetch_deferred(now, cache, &upstreams) {
            return fetch;
        }
        let available = upstreams.iter().copied().find(|node| !self.in_backoff(now, *node));
        let Some(upstream) = available.or_else(|| self.retry_in_backoff(now, cache, &upstreams)) else {
            let next = if now < self.last_poll + RETRY_INTERVAL { self.last_poll } else { now };
            return FollowerAction::Wait(next + RETRY_INTERVAL);
        };
        self.last_poll = now;
        FollowerAction::Poll(upstream)
    }

    /// The relay above, the voters, the seeds: preferred first.
    fn upstreams(&self, now: Timestamp, cache: &StateCache) -> Vec<NodeId> {
        let in_backoff: Vec<NodeId> =
            self.backoffs.keys().copied().filter(|node| self.in_backoff(now, *node)).collect();
        let voters = cache.state.voter_nodes();
        // Should none of the voters that are known answer, the settings file may know better.
        let seeds = self.seeds.iter().filter(|seed| !voters.contains(*seed));
        let core: Vec<NodeId> = voters.iter().chain(seeds).copied().collect();
        relay_tree::upstreams(self.node, &self.zone, cache.members(), &core, &in_backoff)
    }

    /// Fetches what a relay left to the control plane: from there, whose links are wide; should none of it be available, from the relay.
    fn fetch_deferred(
        &self,
        now: Timestamp,
        cache: &StateCache,
        upstreams: &[NodeId],
    ) -> Option<FollowerAction> {
        let deferred = self.deferred.filter(|deferred| deferred.slot > cache.state.slot)?;
        if now >= self.last_poll + MAX_FETCH_STRETCH {
            return None;
        }
        let voters = cache.state.voter_nodes();
        let mut core = upstreams.iter().filter(|node| voters.contains(node) || self.seeds.contains(node));
        let available = core.find(|node| !self.in_backoff(now, **node));
        let from = available.copied().unwrap_or(deferred.relay);
        Some(FollowerAction::Fetch(from, self.state_request(cache)))
    }

    /// The upstream to retry while all are in backoff, at most one an interval.
    fn retry_in_backoff(
        &mut self,
        now: Timestamp,
        cache: &StateCache,
        upstreams: &[NodeId],
    ) -> Option<NodeId> {
        if now < self.last_poll + RETRY_INTERVAL {
            return None;
        }
        self.requests_in_backoff += 1;
        let members_turn = self.requests_in_backoff.is_multiple_of(MEMBER_REQUEST_INTERVAL);
        let member = self.member(now, cache, upstreams).filter(|_| members_turn);
        let backoff_end = |node: &NodeId| self.backoffs.get(node).map_or(0, |backoff| backoff.until);
        member.or_else(|| upstreams.iter().copied().min_by_key(backoff_end))
    }

    /// A member to ask as a last resort. Each limiter has its own order, so that they do not all come to the same relays.
    fn member(&self, now: Timestamp, cache: &StateCache, upstreams: &[NodeId]) -> Option<NodeId> {
        let known = cache.members().iter().map(|member| member.node);
        let key = hash(&self.node.to_le_bytes());
        known
            .chain(self.hinted_members.iter().copied())
            .filter(|node| *node != self.node && !upstreams.contains(node) && !self.in_backoff(now, *node))
            .max_by_key(|node| rendezvous_weight(key, *node))
    }

    fn state_request(&self, cache: &StateCache) -> StateRequest {
        StateRequest { max_bytes: self.max_bytes as u32, ..cache.state_request() }
    }

    /// The poll to send.
    pub fn poll(
        &mut self,
        now: Timestamp,
        cache: &StateCache,
        sender: MemberHeartbeat,
        max_wait: Micros,
    ) -> LongPoll {
        LongPoll {
            sender,
            downstream: self.downstream.pass_on(now),
            request: self.state_request(cache),
            incarnation: self.cursor.incarnation,
            registry_revision: self.cursor.registry_revision,
            members_revision: self.cursor.members_revision,
            max_wait,
        }
    }

    /// A poll came from downstream. True if the upstream should hear of it soon: a limiter is new, or its readiness changed.
    pub fn observe_downstream(&mut self, now: Timestamp, poll: &LongPoll) -> bool {
        let mut changed = false;
        for heartbeat in std::iter::once(&poll.sender).chain(&poll.downstream) {
            changed |= self.downstream.observe(now, heartbeat);
        }
        changed
    }

    /// Takes the response of `upstream` to a poll that was sent at `polled` with `request`. The cache applies what is fresh enough.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        polled: Timestamp,
        request: &StateRequest,
        upstream: NodeId,
        response: UpdateResponse,
        cache: &mut StateCache,
    ) -> ChangeSet {
        self.last_poll = now;
        let freshness = cache.freshness(polled, &response);
        self.advance_cursor(&response, freshness);
        if freshness != Freshness::Current {
            self.remember_members(&response);
        }
        if let StateUpdate::FetchFromCore(slot) = response.state_update {
            self.deferred = Some(DeferredUpdate { slot, relay: upstream });
        }
        self.grow_requests();
        self.note_freshness(now, upstream, freshness);
        let has_update = response.state_update != StateUpdate::none();
        let complete_delta = is_small_delta(&response.state_update);
        let changes = cache.apply_response(now, polled, request.slot, response);
        if has_update && self.deferred.is_none_or(|deferred| deferred.slot <= cache.state.slot) {
            self.delay_without_progress(now, request, cache);
        }
        if complete_delta && changes.state {
            self.not_before = self.not_before.max(now + UPDATE_SPACING);
        }
        changes
    }

    fn advance_cursor(&mut self, response: &UpdateResponse, freshness: Freshness) {
        let same_process = response.incarnation == self.cursor.incarnation;
        // Members that are not taken now are requested again.
        let members_revision =
            if freshness == Freshness::Current { response.members_revision } else { u64::MAX };
        // The list of a stale upstream leaves out what it has not heard of: the full list is requested once it is fresh.
        let incomplete = freshness == Freshness::Stale && (!same_process || response.full_registry);
        self.cursor = Cursor {
            incarnation: response.incarnation,
            registry_revision: if incomplete { 0 } else { response.registry_revision },
            members_revision,
        };
    }

    fn remember_members(&mut self, response: &UpdateResponse) {
        for member in response.members.iter().flatten() {
            let room = self.hinted_members.len() < MAX_HINTED_MEMBERS;
            if room && !self.hinted_members.contains(&member.node) {
                self.hinted_members.push(member.node);
            }
        }
    }

    fn note_freshness(&mut self, now: Timestamp, upstream: NodeId, freshness: Freshness) {
        match freshness {
            Freshness::Current => {
                self.backoffs.remove(&upstream);
                self.hinted_members.clear();
                self.requests_in_backoff = 0;
            }
            Freshness::Superseded => {
                self.backoffs.remove(&upstream);
                self.not_before = now + SUPERSEDED_DELAY;
            }
            Freshness::Stale => self.back_off(now, upstream),
        }
    }

    /// Takes a state update that was fetched with `request`.
    pub fn handle_fetched(
        &mut self,
        now: Timestamp,
        request: &StateRequest,
        update: StateUpdate,
        cache: &mut StateCache,
    ) -> ChangeSet {
        self.grow_requests();
        let changes = ChangeSet { state: cache.apply_update(request.slot, update), ..ChangeSet::default() };
        self.delay_without_progress(now, request, cache);
        changes
    }

    /// What brought nothing (no update there, or a malformed one) is not requested again at once.
    fn delay_without_progress(&mut self, now: Timestamp, request: &StateRequest, cache: &StateCache) {
        let next = cache.state_request();
        if (next.slot, next.received) == (request.slot, request.received) {
            self.not_before = now + RETRY_INTERVAL;
        }
    }

    /// No response came.
    pub fn handle_failure(&mut self, now: Timestamp, upstream: NodeId) {
        self.max_bytes = (self.max_bytes / 2).max(MIN_CHUNK_BYTES);
        self.deferred = self.deferred.filter(|deferred| deferred.relay != upstream);
        self.back_off(now, upstream);
    }

    fn grow_requests(&mut self) {
        self.max_bytes = (2 * self.max_bytes).min(MAX_CHUNK_BYTES);
    }

    fn in_backoff(&self, now: Timestamp, node: NodeId) -> bool {
        self.backoffs.get(&node).is_some_and(|backoff| backoff.until > now)
    }

    fn back_off(&mut self, now: Timestamp, node: NodeId) {
        let last = self.backoffs.get(&node);
        let length = last.map_or(INITIAL_BACKOFF, |backoff| (2 * backoff.length).min(MAX_BACKOFF));
        if self.backoffs.len() >= MAX_BACKOFFS {
            let first = self.backoffs.iter().min_by_key(|(_, backoff)| backoff.until).map(|(node, _)| *node);
            first.map(|node| self.backoffs.remove(&node));
        }
        self.backoffs.insert(node, Backoff { until: now + length, length });
    }
}

/// Whether an update is a delta that was not cut for its size: one that was holds at least [`MIN_CHUNK_BYTES`].
fn is_small_delta(update: &StateUpdate) -> bool {
    let StateUpdate::Operations(operations) = update else { return false };
    operations.iter().map(|operation| operation.len()).sum::<usize>() < MIN_CHUNK_BYTES
}
