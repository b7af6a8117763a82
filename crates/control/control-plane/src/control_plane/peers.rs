//! The other replicas, as they have shown themselves.

use super::voters::MAX_VOTERS;
use super::ControlPlane;
use crate::messages::PeerStatus;
use limeway_consensus::{NodeId, Voter};
use limeway_types::{Micros, Timestamp};

/// A peer is alive if its last message is no older than this.
pub(crate) const PEER_TIMEOUT: Micros = 1_500_000;
/// A peer that is no voter is forgotten after this.
const PEER_RETENTION: Micros = 40 * PEER_TIMEOUT;
/// Upper bound on the number of peers that are remembered.
const MAX_PEERS: usize = 4 * MAX_VOTERS;

/// Another replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Peer {
    /// Without a gap since then.
    pub first_seen: Timestamp,
    pub last_seen: Timestamp,
    pub status: PeerStatus,
}

impl Peer {
    pub(crate) fn is_alive(&self, now: Timestamp) -> bool {
        now < self.last_seen + PEER_TIMEOUT
    }

    /// The voter that this peer is, or would be.
    pub(crate) fn as_voter(&self) -> Voter {
        voter_of(&self.status)
    }
}

impl ControlPlane {
    /// Another replica has shown itself.
    pub(crate) fn observe_peer(&mut self, status: PeerStatus) {
        let now = self.now;
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&status.node) {
            return;
        }
        let known = self.peers.get(&status.node);
        if known.is_none_or(|peer| peer.status.incarnation != status.incarnation) {
            self.quorum.may_be_uninformed(now, status.node);
        }
        let peer = self.peers.entry(status.node).or_insert(Peer { first_seen: now, last_seen: now, status });
        if now > peer.last_seen + PEER_TIMEOUT || peer.status.disk != status.disk {
            peer.first_seen = now;
        }
        let same_process = peer.status.incarnation == status.incarnation;
        if same_process && peer.status.durable_slot > status.durable_slot {
            // A message that was overtaken by a later one.
            peer.last_seen = now;
            return;
        }
        (peer.last_seen, peer.status) = (now, status);
        if status.durable_slot >= self.cache.state.slot && !self.voters().contains(&voter_of(&status)) {
            // A candidate that has caught up.
            self.voter_changes.review = true;
        }
        if status.shutting_down {
            self.lease_voter.release_node(status.node);
        }
        self.forget_peers();
    }

    /// The other replicas that are no voters, for one that is none either: they may not know of it, nor it of them.
    pub(crate) fn non_voters_for(&self, node: NodeId) -> Vec<NodeId> {
        let is_voter = |node: NodeId| self.voters().iter().any(|voter| voter.node == node);
        if is_voter(node) {
            return Vec::new();
        }
        let alive = self.peers.iter().filter(|(_, peer)| peer.status.loss_counted && peer.is_alive(self.now));
        alive.map(|(other, _)| *other).filter(|other| *other != node && !is_voter(*other)).collect()
    }

    /// Another replica has named these: this one talks to them from now on.
    pub(crate) fn introduce(&mut self, nodes: &[NodeId]) {
        let now = self.now;
        self.introduced.retain(|_, named_at| now < *named_at + PEER_TIMEOUT);
        for node in nodes {
            if self.introduced.contains_key(node) || self.introduced.len() < MAX_PEERS {
                self.introduced.insert(*node, now);
            }
        }
    }

    fn forget_peers(&mut self) {
        let (now, own, voters) = (self.now, self.options.node, &self.cache.state.voters);
        self.peers.retain(|node, peer| {
            let is_voter = voters.iter().any(|voter| voter.node == *node);
            *node == own || is_voter || now <= peer.last_seen + PEER_RETENTION
        });
        self.quorum.retain_peers(|node| self.peers.contains_key(node));
        debug_assert!(voters.len() <= MAX_VOTERS);
    }

    /// Whether a voter is alive with its disk, and has quorum contact itself. A machine that has lost the disk that its voter is of is
    /// that voter no more.
    pub(crate) fn is_healthy(&self, voter: &Voter) -> bool {
        self.peers.get(&voter.node).is_some_and(|peer| {
            peer.is_alive(self.now)
                && peer.status.disk == voter.disk
                && peer.status.has_quorum
                && peer.status.disk_healthy
                && !peer.status.shutting_down
        })
    }

    /// The peers that a voter has to hear from before it knows again which leases it may have voted for: the voters, and those that
    /// were voters not long ago.
    pub(crate) fn possible_holders(&self) -> Vec<NodeId> {
        let mut nodes = self.other_voters();
        nodes.extend(self.cache.state.former_voters.iter().filter(|node| **node != self.options.node));
        nodes
    }
}

fn voter_of(status: &PeerStatus) -> Voter {
    Voter { node: status.node, disk: status.disk }
}
