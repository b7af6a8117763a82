//! Liveness: replicas catch up, voters are replaced, requests are answered, everything is served at the end.

use crate::cluster::Cluster;
use crate::event::{Actor, SimEvent};
use crate::machine::Machine;
use crate::{DisabledGuard, Micros, SECOND};
use limeway_consensus::Voter;
use limeway_control_plane::ApiRequest;
use limeway_membership::SHARDS;
use limeway_service_registry::Phase;

/// A machine without faults has quorum contact and is up to date after this.
const CATCH_UP_TIMEOUT: Micros = 3 * SECOND;
/// The voter of a lost disk is replaced within this.
const VOTER_REPLACEMENT_TIMEOUT: Micros = 4 * SECOND;
/// An update has a final response within this while there are no faults.
const ANSWER_TIMEOUT: Micros = 2 * SECOND;
/// When the final reads begin, after the last fault.
const READ_BACK_AFTER: Micros = 10 * SECOND;

impl Cluster {
    /// The status of each machine, as text.
    pub fn account(&self) -> Vec<String> {
        let line = |(at, m): (usize, &Machine)| {
            let standing =
                m.process.as_ref().map(|p| (p.replica.status(self.t + m.offset), p.replica.pending_count()));
            let open = m.process.as_ref().map(|p| &p.replica.acceptor().slot_state);
            let open = open.map(|o| (o.promised, o.accepted.as_ref().map(|(b, _)| b)));
            format!(
                "machine {at}: lost {:?}, disk of slot {}, {standing:?}, {open:?}",
                m.lost, m.disk.state.slot
            )
        };
        let voters = std::iter::once(format!("voters: {:?}", self.invariants.voters()));
        self.machines.iter().enumerate().filter(|(_, m)| m.exists).map(line).chain(voters).collect()
    }

    fn voters_healthy_for(&self, long: Micros) -> bool {
        let voters = self.invariants.voters();
        let fine = |s: &&Voter| {
            let machine = &self.machines[s.node as usize - 1];
            machine.disk.acceptor.disk == s.disk
                && machine.process.is_some()
                && machine.is_healthy_for(self.t, long)
        };
        !voters.is_empty() && voters.iter().filter(fine).count() > voters.len() / 2
    }

    /// Whether there have been no faults for so long.
    fn all_healthy_for(&self, long: Micros) -> bool {
        let fine = |m: &Machine| !m.exists || m.is_healthy_for(self.t, long);
        self.t > long && self.machines.iter().all(fine)
    }

    /// Checks what should have happened by now.
    pub(crate) fn check(&mut self) {
        let (t, disabled) = (self.t, self.disabled);
        if disabled == DisabledGuard::None {
            self.check_progress();
        }
        if t >= self.schedule.heal + READ_BACK_AFTER
            && !std::mem::replace(&mut self.invariants.asked_back, true)
        {
            for at in 0..self.machines.len() {
                if self.machines[at].process.is_some() {
                    self.push(t, SimEvent::Ask(at, Actor::Reader(at), ApiRequest::ReadConfig, t));
                }
            }
        }
    }

    fn check_progress(&mut self) {
        let t = self.t;
        if self.voters_healthy_for(CATCH_UP_TIMEOUT) && t > CATCH_UP_TIMEOUT {
            let due = self.invariants.acked(t - CATCH_UP_TIMEOUT).0;
            for (at, machine) in self.machines.iter().enumerate() {
                let Some(process) =
                    machine.process.as_ref().filter(|_| machine.is_healthy_for(t, CATCH_UP_TIMEOUT))
                else {
                    continue;
                };
                // A new machine gets time, too.
                let young = process.replica.status(t + machine.offset).slot == 0;
                let (has_quorum, slot) =
                    (process.replica.has_quorum(t + machine.offset), process.replica.state().slot);
                if !young && (!has_quorum || slot < due) {
                    let broken = format!(
                        "machine {at} is not up to date: in has_quorum {has_quorum}, slot {slot} of {due}"
                    );
                    return self.invariants.fail(broken);
                }
            }
        }
        if self.voters_healthy_for(VOTER_REPLACEMENT_TIMEOUT) {
            let gone = |s: &&Voter| {
                let machine = &self.machines[s.node as usize - 1];
                machine.is_healthy_for(t, VOTER_REPLACEMENT_TIMEOUT)
                    && machine.process.is_some()
                    && machine.disk.acceptor.disk != s.disk
            };
            if let Some(voter) = self.invariants.voters().iter().find(gone) {
                let broken =
                    format!("the voter of a lost disk of machine {} has not passed on", voter.node - 1);
                return self.invariants.fail(broken);
            }
        }
        // Where all disks are slow there are no bounds on times.
        if self.schedule.disks == 1 && self.all_healthy_for(CATCH_UP_TIMEOUT + ANSWER_TIMEOUT) {
            let late = self.workload.pending_requests.values().find(|f| t > f.begun + ANSWER_TIMEOUT);
            if let Some(pending) = late {
                let broken = format!("no clear answer in {ANSWER_TIMEOUT} us to {:?}", pending.request);
                self.invariants.fail(broken);
            }
        }
    }

    /// At the end: everything is served, and nothing that was acknowledged is lost.
    pub(crate) fn at_end(&mut self) -> Option<String> {
        let newest = self.invariants.states.values().next_back().cloned().unwrap_or_default();
        if let Some(lost) = self.invariants.done.iter().find(|o| !newest.has_applied(o)) {
            return Some(format!("version {} was acknowledged and is lost", lost.version));
        }
        if let Some(order) = self.invariants.refused.iter().find(|o| newest.has_applied(o)) {
            return Some(format!("version {} was refused and is in force", order.version));
        }
        if !matches!(self.disabled, DisabledGuard::None | DisabledGuard::LeavingOnDisk) {
            return None;
        }
        let t = self.t;
        for (at, machine) in self.machines.iter().enumerate().filter(|(_, m)| m.exists) {
            let Some(process) = &machine.process else { return Some(format!("machine {at} does not run")) };
            let (has_quorum, slot) =
                (process.replica.has_quorum(t + machine.offset), process.replica.state().slot);
            if !has_quorum || slot != newest.slot || !self.workload.read.contains(&at) {
                let read = self.workload.read.contains(&at);
                return Some(format!(
                    "machine {at} at the end: in has_quorum {has_quorum}, slot {slot}, read {read}"
                ));
            }
        }
        let running = self.machines.iter().filter_map(|m| Some((m.process.as_ref()?, m.offset)));
        let held: Vec<usize> = running.flat_map(|(p, offset)| p.replica.held_shards(t + offset)).collect();
        if let Some(group) = (0..SHARDS).find(|g| !held.contains(g)) {
            return Some(format!("nobody holds shard {group} at the end"));
        }
        let voters = |s: &Voter| self.machines[s.node as usize - 1].disk.acceptor.disk == s.disk;
        if let Some(voter) = newest.voters.iter().find(|s| !voters(s)) {
            return Some(format!(
                "at the end machine {} is a voter with a disk that is gone",
                voter.node - 1
            ));
        }
        for (at, limiter) in self.workload.limiters.iter().enumerate() {
            if limiter.cache.state.slot != newest.slot
                || limiter.cache.confirmed_at + SECOND * 2 < t + limiter.offset
            {
                let (slot, sure) =
                    (limiter.cache.state.slot, t + limiter.offset - limiter.cache.confirmed_at);
                return Some(format!(
                    "limiter {at} is not up to date at the end: slot {slot} of {}, confirmed {sure} us ago",
                    newest.slot
                ));
            }
            let back = |id: &&String| {
                limiter
                    .cache
                    .registry
                    .servers()
                    .get(*id)
                    .is_some_and(|s| s.phase == Phase::Ready && !s.unlisted)
            };
            if let Some(id) = self.workload.gone.iter().find(back) {
                return Some(format!("limiter {at} takes server {id} for ready, whose end was acknowledged"));
            }
            let servers = limiter.cache.registry.servers();
            let is_used = |id: &str| {
                servers.get(id).is_some_and(|s| s.phase == Phase::Ready && !s.unresponsive && !s.superseded)
            };
            let living = self.workload.servers.iter().filter(|s| !s.leaving && s.down_until + SECOND < t);
            if let Some(server) = living.into_iter().find(|server| !is_used(&server.id)) {
                return Some(format!(
                    "limiter {at} does not use server {} at the end, which lives and reports itself",
                    server.id
                ));
            }
        }
        None
    }
}
