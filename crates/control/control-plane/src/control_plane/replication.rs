//! Replication of the log: applying what was chosen, here or elsewhere, and catching up.

use super::peers::Peer;
use super::persistence::AfterWrite;
use super::{ControlPlane, SentRequest};
use crate::api::{Action, CallerId};
use crate::messages::{Call, Reply};
use limeway_consensus::{NodeId, Slot};
use limeway_distribution::transfer::StateRequest;
use limeway_invariants::{check, Invariant};
use limeway_types::{Micros, Timestamp};
use std::collections::BTreeSet;

/// How long another replica may take to send a chunk of what this one lacks.
const FETCH_TIMEOUT: Micros = 700_000;
/// How long it is waited for alone: another one that has applied more is asked after this.
const FETCH_PATIENCE: Micros = 250_000;

/// What this replica is receiving from others.
#[derive(Debug, Default)]
pub(crate) struct Replication {
    /// The request for what this replica lacks that was sent last, if it is under way: to whom, and since when.
    fetching: Option<(NodeId, Timestamp)>,
    /// Replicas whose answers to it were lost: they are not asked again until a message shows that someone has applied more.
    lost: BTreeSet<NodeId>,
}

impl ControlPlane {
    /// Applies a value that a proposal of this replica got chosen, if its slot is the next.
    pub(crate) fn apply_chosen(&mut self, slot: Slot, value: &[u8]) {
        if self.cache.state.slot + 1 == slot && self.cache.apply_operation(value) {
            self.log_applied_since(slot - 1);
            self.state_advanced(Vec::new());
        }
    }

    /// Another replica says that a value is chosen. Acknowledged once it is on disk here.
    pub(crate) fn handle_commit(&mut self, caller: CallerId, slot: Slot, value: &[u8]) {
        let next = self.cache.state.slot + 1;
        if slot > next || self.cache.state.voters.is_empty() {
            // The call does not say who sent it; the next round finds out what is missing.
            return self.actions.push(Action::Reply(caller, Reply::Declined));
        }
        if slot == next {
            if !self.cache.apply_operation(value) {
                return self.actions.push(Action::Reply(caller, Reply::Declined));
            }
            self.log_applied_since(slot - 1);
            return self.state_advanced(vec![AfterWrite::Committed(caller)]);
        }
        let durable = self.persistence.durable_slot() >= slot;
        self.actions.push(Action::Reply(caller, if durable { Reply::Done } else { Reply::Declined }));
    }

    /// Has another replica send what this one lacks: one request at a time, unless the answer to the last takes too long.
    pub(crate) fn fetch(&mut self, from: NodeId) {
        let is_waiting =
            |(node, since): (NodeId, Timestamp)| node == from || self.now < since + FETCH_PATIENCE;
        if from == self.options.node || self.replication.fetching.is_some_and(is_waiting) {
            return;
        }
        self.replication.lost.clear();
        self.send_fetch(from);
    }

    fn send_fetch(&mut self, from: NodeId) {
        let request = self.cache.state_request();
        self.replication.fetching = Some((from, self.now));
        self.send(from, Call::Fetch(request), FETCH_TIMEOUT, SentRequest::Fetch(from, request));
    }

    /// The answer to a fetch is lost: asks the one of the others that has applied most, as far as is known, each once.
    fn fetch_lost(&mut self, from: NodeId) {
        log::debug!(from; "replica sent no state update");
        let (now, own, replication) = (self.now, self.options.node, &mut self.replication);
        replication.lost.insert(from);
        if replication.fetching.is_some() {
            return;
        }
        let may_know = |(id, peer): &(&NodeId, &Peer)| {
            **id != own && peer.is_alive(now) && !replication.lost.contains(id)
        };
        let others = self.peers.iter().filter(may_know);
        let next = others.max_by_key(|(_, peer)| peer.status.slot).map(|(node, _)| *node);
        if let Some(next) = next {
            self.send_fetch(next);
        }
    }

    pub(crate) fn handle_fetched(&mut self, from: NodeId, request: StateRequest, reply: Option<Reply>) {
        if self.replication.fetching.is_some_and(|(node, _)| node == from) {
            self.replication.fetching = None;
        }
        let Some(Reply::StateUpdate(update)) = reply else {
            return self.fetch_lost(from);
        };
        let before = self.cache.state.slot;
        if self.cache.apply_update(request.slot, update) {
            self.log_applied_since(before);
            self.state_advanced(Vec::new());
        }
        if self.cache.state_request() != request {
            // There may be more.
            self.fetch(from);
        }
    }

    /// Queues what was applied after a slot for the log on disk: the operations, or a snapshot if they are not known.
    fn log_applied_since(&mut self, slot: Slot) {
        match self.cache.compressed_after(slot) {
            Some(operations) => {
                (slot + 1..)
                    .zip(operations)
                    .for_each(|(at, operation)| self.persistence.append(at, operation));
            }
            None => self.persistence.require_snapshot(),
        }
    }

    /// Does what follows from a new state.
    fn state_advanced(&mut self, after_write: Vec<AfterWrite>) {
        let (slot, applied) = (self.cache.state.slot, self.acceptor.applied);
        check(Invariant::StateForward, true, slot >= applied, || format!("slot {slot} after {applied}"));
        self.acceptor.advance(self.cache.state.slot);
        self.agreement.slot_decided(self.acceptor.applied);
        self.voters_may_have_changed();
        if self.routing.version != self.cache.state.version {
            match self.cache.state.snapshot_from(&self.routing) {
                Ok(snapshot) => self.routing = snapshot.into(),
                Err(e) => log::error!("the configuration in force is invalid: {e}"),
            }
        }
        self.long_polls.update_available = true;
        self.confirm();
        self.persist(after_write);
    }
}
