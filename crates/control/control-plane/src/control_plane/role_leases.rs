//! Role leases: which shards' counters this replica holds, and which it votes for others to hold.

use super::ControlPlane;
use crate::messages::PeerStatus;
use limeway_consensus::NodeId;
use limeway_membership::{Holder, LeaseRequest, SHARDS};
use limeway_types::Timestamp;

impl ControlPlane {
    /// The leases to request in a round. Without quorum contact none: the votes could not be heard.
    pub(crate) fn lease_requests(&self) -> Vec<LeaseRequest> {
        let is_voter = self.own_voter().is_some();
        if !is_voter || !self.has_quorum(self.now) || self.is_shutting_down() {
            return Vec::new();
        }
        let own = self.as_holder();
        let live = self.voters().iter().filter(|voter| voter.node == own.node || self.is_healthy(voter));
        let live: Vec<NodeId> = live.map(|voter| voter.node).collect();
        self.held_leases.requests(self.now, own, &live, &self.lease_voter)
    }

    /// Votes for the lease requests of another replica. Returns the shards.
    pub(crate) fn vote_for_leases(&mut self, sender: PeerStatus, requests: Vec<LeaseRequest>) -> Vec<usize> {
        // A sender without quorum contact could not hear the vote, and would keep everyone else from it.
        let votes = self.own_voter().is_some() && sender.has_quorum && !sender.shutting_down;
        let requests = requests.into_iter().filter(|_| votes);
        let now = self.now;
        let granted = requests.filter(|request| self.lease_voter.vote(now, sender.node, *request));
        granted.map(|request| request.shard).collect()
    }

    /// A majority has voted for these requests of the round that began at `requested`.
    pub(crate) fn acquire_leases(&mut self, requested: Timestamp, won: &[LeaseRequest]) {
        if self.is_shutting_down() {
            return;
        }
        for request in won {
            if self.held_leases.acquire(self.now, requested, *request) {
                log::info!(shard = request.shard; "acquired a role lease");
                self.start_counter(request.shard);
                self.long_polls.review_members = true;
            }
        }
    }

    /// Who holds a shard, as far as this replica knows. What it holds itself it knows better than its votes say: a new voter gives none.
    fn known_holder(&self, shard: usize) -> Option<Holder> {
        if self.held_leases.holds(self.now, shard) {
            return Some(self.as_holder());
        }
        self.lease_voter.holder(self.now, shard)
    }

    /// Publishes the members and the holders of roles to limiters. Without quorum contact they are not known.
    pub(crate) fn publish_members(&mut self) {
        if !self.has_quorum(self.now) {
            return;
        }
        let live = self.membership.live(self.now).filter(|member| member.ready);
        let members = live.map(|member| (member.node, member.zone.to_owned()).into()).collect();
        let mut changed = self.cache.set_members(members);
        for shard in 0..SHARDS {
            let holder = self.known_holder(shard).unwrap_or_default();
            changed |= self.cache.holders[shard] != holder;
            self.cache.holders[shard] = holder;
        }
        self.long_polls.update_available |= changed;
    }
}
