//! Changes of the voters: one at a time, each a value that a majority of the voters chooses.
//!
//! A replica with a disk that is no voter is a *candidate*: it follows, and becomes a voter only once all that was applied is on its
//! disk. It replaces
//! - the same machine's voter with an earlier disk: that disk is gone;
//! - a voter whose machine is shutting down, or has not shown itself for [`VOTER_TIMEOUT`];
//! - nobody, while there are fewer voters than the tolerated loss of disks asks for.
//!
//! So the set never grows by the dead, and no change leaves fewer copies of what was acknowledged. The next change is chosen by the
//! new set, so a majority of it has applied the last one. Any voter may propose a change; the coordinator does. A replica that shuts
//! down goes on until its vote has passed on, or there is nobody to take it.

use super::peers::Peer;
use super::quorum::QUORUM_LEASE;
use super::ControlPlane;
use limeway_consensus::{NodeId, Voter};
use limeway_membership::ROLE_LEASE;
use limeway_routing_config::Operation;
use limeway_types::{Micros, Timestamp, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Upper bound on the number of voters.
pub const MAX_VOTERS: usize = 9;
/// The first voters are the machines that the settings file of the initial start names. The other replicas of that start become
/// voters this long after it, when all have shown themselves.
const INITIAL_VOTERS_DELAY: Micros = SECOND;
/// The next seed proposes them so much later.
const NEXT_SEED_DELAY: Micros = 400_000;
/// The initial start is over then.
const INITIAL_START: Micros = 2_500_000;
/// A voter whose machine has not shown itself for so long is replaced by a candidate, if there is one.
const VOTER_TIMEOUT: Micros = 3 * SECOND;
/// A candidate has shown itself for so long.
const CANDIDATE_MIN_UPTIME: Micros = 300_000;
/// Former voters may hold role leases for this long.
const FORMER_VOTER_RETENTION: Micros = ROLE_LEASE + 2 * SECOND;
/// A replica that shuts down goes on for so long in any case.
pub(crate) const SHUTDOWN_GRACE: Micros = 300_000;
/// The same if a candidate is to take over its vote.
pub(crate) const HANDOVER_TIMEOUT: Micros = 2_500_000;
/// A gateway that has been away for so long holds no quota, whoever granted it.
const GATEWAY_RETENTION: Micros = 120 * SECOND;

/// What this replica remembers for changes of voters and gateways.
#[derive(Debug)]
pub(crate) struct VoterChanges {
    /// The sets are to be reviewed.
    pub review: bool,
    /// The voters at the last look.
    known: Vec<Voter>,
    /// Whether this replica was a voter then.
    pub was_voter: bool,
    /// Since when there have been former voters, and no change.
    former_since: Option<Timestamp>,
    /// Gateways that are no live members, and since when.
    absent_gateways: BTreeMap<NodeId, Timestamp>,
}

impl VoterChanges {
    pub(crate) fn new(known: Vec<Voter>) -> Self {
        VoterChanges {
            review: false,
            known,
            was_voter: false,
            former_since: None,
            absent_gateways: BTreeMap::new(),
        }
    }
}

impl ControlPlane {
    /// Whether this replica knows of no voters yet, or its machine is a voter with an earlier disk and is still to be replaced.
    pub(crate) fn is_recovering(&self) -> bool {
        let voters = self.voters();
        let node = self.options.node;
        self.own_voter().is_none() && (voters.is_empty() || voters.iter().any(|voter| voter.node == node))
    }

    /// Whether this replica proposes what any may propose: the healthy voter with the lowest address, or all would preempt each other.
    pub(crate) fn is_coordinator(&self) -> bool {
        let lower = |voter: &Voter| voter.node < self.options.node;
        self.own_voter().is_some()
            && self.has_quorum(self.now)
            && !self.is_shutting_down()
            && !self.voters().iter().any(|voter| lower(voter) && self.is_healthy(voter))
    }

    /// Takes note of new voters after the state has changed.
    pub(crate) fn voters_may_have_changed(&mut self) {
        // Those of the initial start are voters from the beginning, and have voted for nothing before.
        let first_voters = self.options.initial_start && self.voter_changes.known.is_empty();
        if self.voter_changes.known != self.cache.state.voters {
            self.voter_changes.known.clone_from(&self.cache.state.voters);
            self.quorum.voters_changed();
        }
        let is_voter = self.own_voter().is_some();
        if is_voter && !self.voter_changes.was_voter && !first_voters {
            self.lease_voter.become_voter(self.now);
        }
        self.voter_changes.was_voter = is_voter;
    }

    /// Voters that the tolerated losses ask for.
    fn desired_voters(&self) -> usize {
        (2 * self.options.tolerated_losses + 1).min(MAX_VOTERS)
    }

    /// Whether the voters of the initial start are still to be agreed, and so few are known that a tolerated loss could end the core.
    /// Nothing else is proposed meanwhile: whatever is acknowledged is kept by as many voters as it takes.
    pub(crate) fn is_forming(&self) -> bool {
        self.options.initial_start
            && self.now < self.started + INITIAL_START
            && self.voters().len() < self.desired_voters()
    }

    /// Whether all that was applied is on the disk of a candidate.
    fn has_caught_up(&self, candidate: Voter) -> bool {
        let peer = self.peers.get(&candidate.node);
        peer.is_some_and(|peer| peer.status.durable_slot >= self.cache.state.slot)
    }

    /// The replica that may become a voter next: a machine's new disk first, then whoever has most on its disk.
    pub(crate) fn candidate(&self) -> Option<Voter> {
        let voters = self.voters();
        let candidates = self.candidates();
        let replaces_own_disk = |candidate: &Voter| voters.iter().any(|voter| voter.node == candidate.node);
        candidates.iter().copied().find(replaces_own_disk).or(candidates.first().copied())
    }

    /// The replicas that may become voters, whoever has most on its disk first.
    fn candidates(&self) -> Vec<Voter> {
        let voters = self.voters();
        let mut peers: Vec<&Peer> = self.peers.values().filter(|peer| self.may_become_voter(peer)).collect();
        peers.sort_by_key(|peer| Reverse(peer.status.durable_slot));
        let is_new = |voter: &Voter| !voters.contains(voter) && voter.node != self.options.node;
        peers.into_iter().map(Peer::as_voter).filter(is_new).collect()
    }

    fn may_become_voter(&self, peer: &Peer) -> bool {
        let is_known = self.voters().iter().any(|voter| voter.node == peer.status.node);
        peer.status.loss_counted
            && peer.status.disk_healthy
            && !peer.status.shutting_down
            && (peer.last_seen >= peer.first_seen + CANDIDATE_MIN_UPTIME || is_known)
            && peer.is_alive(self.now)
    }

    /// The next change of the voters, if there is to be one.
    pub(crate) fn next_voter_change(&mut self) -> Option<Operation> {
        if self.options.initial_start && self.now < self.started + INITIAL_START {
            return self.initial_voters();
        }
        if !self.is_coordinator() {
            return None;
        }
        let Some(candidate) = self.candidate() else { return self.forget_former_voters() };
        if !self.has_caught_up(candidate) {
            return None;
        }
        let Some((mut voters, replaced)) = self.with_candidate(candidate) else {
            return self.forget_former_voters();
        };
        voters.sort_unstable();
        let mut former: BTreeSet<NodeId> = self.cache.state.former_voters.iter().copied().collect();
        former.extend(replaced.map(|voter| voter.node));
        log::info!(node = candidate.node; "proposing a new voter");
        self.voter_changes.former_since = None;
        Some(Operation::SetVoters { voters, former_voters: former.into_iter().collect() })
    }

    /// The voters with a candidate in the place of the voter that it replaces, or with all candidates that there is room for. None if
    /// there is neither.
    fn with_candidate(&self, candidate: Voter) -> Option<(Vec<Voter>, Option<Voter>)> {
        let mut voters = self.voters().to_vec();
        let earlier_disk = voters.iter().position(|voter| voter.node == candidate.node);
        if let Some(at) =
            earlier_disk.or_else(|| voters.iter().position(|voter| self.is_leaving_or_dead(voter)))
        {
            let replaced = std::mem::replace(&mut voters[at], candidate);
            return Some((voters, Some(replaced)));
        }
        let missing = self.desired_voters().saturating_sub(voters.len());
        if missing == 0 {
            return None;
        }
        // All at once: a set of an even size bears no more losses than one of a voter less, and has one disk more to lose.
        voters.extend(self.candidates().into_iter().filter(|new| self.has_caught_up(*new)).take(missing));
        Some((voters, None))
    }

    fn is_leaving_or_dead(&self, voter: &Voter) -> bool {
        let now = self.now;
        voter.node != self.options.node
            && match self.peers.get(&voter.node) {
                Some(peer) => peer.status.shutting_down || now > peer.last_seen + VOTER_TIMEOUT,
                None => now > self.started + VOTER_TIMEOUT,
            }
    }

    /// The voters of the initial start, with the replicas that its settings file did not name.
    fn initial_voters(&self) -> Option<Operation> {
        let voters = self.voters();
        let rank = voters.iter().position(|voter| voter.node == self.options.node)? as u64;
        self.own_voter()?;
        let is_up = |peer: &&Peer| {
            let status = &peer.status;
            status.loss_counted
                && status.disk == 0
                && status.durable_slot >= self.cache.state.slot
                && self.now < peer.last_seen + QUORUM_LEASE
        };
        let is_unknown = |new: &Voter| !voters.iter().any(|voter| voter.node == new.node);
        let mut all: BTreeSet<Voter> = voters.iter().copied().collect();
        all.extend(self.peers.values().filter(is_up).map(Peer::as_voter).filter(is_unknown));
        let all: Vec<Voter> = all.into_iter().take(MAX_VOTERS).collect();
        // Once there are as many as the tolerated losses ask for, nothing more is waited for.
        let enough = voters.len() < self.desired_voters() && all.len() >= self.desired_voters();
        let delay = rank * NEXT_SEED_DELAY + if enough { 0 } else { INITIAL_VOTERS_DELAY };
        (all != voters && self.now >= self.started + delay)
            .then_some(Operation::SetVoters { voters: all, former_voters: Vec::new() })
    }

    /// Forgets former voters once they hold no role lease any more.
    fn forget_former_voters(&mut self) -> Option<Operation> {
        if self.cache.state.former_voters.is_empty() {
            self.voter_changes.former_since = None;
            return None;
        }
        let since = *self.voter_changes.former_since.get_or_insert(self.now);
        let voters = self.voters().to_vec();
        (self.now > since + FORMER_VOTER_RETENTION)
            .then_some(Operation::SetVoters { voters, former_voters: Vec::new() })
    }

    /// Gateways that have come and may lease quota, and those that have been away for long.
    pub(crate) fn next_gateway_change(&mut self) -> Option<Operation> {
        let now = self.now;
        let live: BTreeSet<NodeId> = self.membership.live(now).map(|member| member.node).collect();
        let gateways = &self.cache.state.gateways;
        let absent = &mut self.voter_changes.absent_gateways;
        absent.retain(|node, _| gateways.contains(node) && !live.contains(node));
        for node in gateways.difference(&live) {
            absent.entry(*node).or_insert(now);
        }
        let add: Vec<NodeId> = live.difference(gateways).copied().collect();
        let expired = absent.iter().filter(|(_, since)| now > **since + GATEWAY_RETENTION);
        let remove: Vec<NodeId> = expired.map(|(node, _)| *node).collect();
        let changes = !add.is_empty() || !remove.is_empty();
        (changes && self.is_coordinator()).then_some(Operation::SetGateways { add, remove })
    }
}
