//! Faults begin and end.

use crate::clients::LIMITERS;
use crate::cluster::{Cluster, SEED_NODES};
use crate::disk::Disk;
use crate::event::SimEvent;
use crate::schedule::Fault;
use crate::{DisabledGuard, Lateness, SECOND};
use limeway_control_plane::Event;

impl Cluster {
    fn lose(&mut self, fault: &Fault, begins: bool) {
        let who = fault.lost().unwrap_or_else(|| (0..self.machines.len()).collect());
        for at in who {
            let lost = &mut self.machines[at].lost;
            *lost = if begins { (lost.0 + 1, lost.1) } else { (lost.0.saturating_sub(1), self.t) };
        }
    }

    /// The links that a partition cuts: from and to.
    fn links(&self, fault: &Fault) -> Vec<(usize, usize)> {
        let Fault::Cut { who, peers, out, into } = fault else { return Vec::new() };
        let cores = self.machines.len();
        // A machine that is cut off from all is cut off from later ones, too, and from gateways if both directions are cut.
        let all = peers.len() + 1 == self.schedule.machines;
        let ends = if *out && *into { cores + LIMITERS } else { cores };
        let peers: Vec<usize> = if all { (0..ends).filter(|p| p != who).collect() } else { peers.clone() };
        let one = peers.iter().filter(|_| *out).map(|p| (*who, *p));
        one.chain(peers.iter().filter(|_| *into).map(|p| (*p, *who))).collect()
    }

    pub(crate) fn fault_begins(&mut self, number: usize) {
        let (fault, long) = (self.schedule.faults[number].fault.clone(), self.schedule.faults[number].long);
        self.lose(&fault, true);
        let until = self.t + long;
        match &fault {
            Fault::Down { who, wipe, power } => {
                let who = *who;
                (self.machines[who].without_power, self.machines[who].down) = (*power, true);
                self.kill(who);
                if *wipe {
                    self.machines[who].first = false;
                    let drawn = self.rng.draw() | 1;
                    let disk = &mut self.machines[who].disk;
                    let incarnation = if self.disabled == DisabledGuard::OldDiskIncarnation {
                        disk.acceptor.disk
                    } else {
                        drawn
                    };
                    *disk = Disk::new(incarnation, disk.sync);
                }
            }
            Fault::AllDown => {
                for at in 0..self.machines.len() {
                    self.kill(at);
                }
                if self.schedule.lateness == Lateness::Heartbeats {
                    self.restart_limiters();
                }
            }
            Fault::Restart(who) => {
                self.machines[*who].ends = Some(true);
                self.push(self.t, SimEvent::Leave(*who));
            }
            Fault::Cut { .. } => {
                self.links(&fault).into_iter().for_each(|(a, b)| self.network.partition(a, b));
            }
            Fault::Freeze(who) => self.machines[*who].frozen = until,
            Fault::Slow(who) => {
                let (slow, thin) = (self.rng.between(30_000, 500_000), self.rng.between(5, 200));
                self.slow(*who, slow, thin);
            }
            Fault::Reset(a, b) => {
                self.reset(*a, Some(*b));
                self.reset(*b, Some(*a));
            }
            Fault::DiskFull(who) => self.machines[*who].disk.full = true,
            Fault::DiskHangs(who) => self.machines[*who].disk.hangs = until,
            Fault::DiskSlow(who) => self.machines[*who].disk.sync *= 40,
            Fault::Storm => self.network.loss = 250,
            Fault::Replace(who) => {
                let new = self.machines.iter().rposition(|m| !m.exists && m.process.is_none());
                if let Some(new) = new.filter(|n| *n >= self.schedule.machines + self.schedule.spares) {
                    self.push(self.t, SimEvent::Start(new));
                    self.machines[*who].ends = Some(false);
                    let later = self.t + self.rng.between(SECOND / 2, 3 * SECOND);
                    self.push(later, SimEvent::Leave(*who));
                }
            }
        }
    }

    fn slow(&mut self, who: usize, slow: u64, thin: u64) {
        for other in 0..self.machines.len() + LIMITERS {
            self.network.slow(who, other, slow, thin);
            self.network.slow(other, who, slow, thin);
        }
    }

    pub(crate) fn fault_ends(&mut self, number: usize) {
        let fault = self.schedule.faults[number].fault.clone();
        self.lose(&fault, false);
        match &fault {
            Fault::Down { who, .. } => {
                self.machines[*who].down = false;
                self.push(self.t, SimEvent::Start(*who));
            }
            Fault::AllDown => {
                for at in 0..self.machines.len() {
                    // A machine that is down for another reason comes back when that ends.
                    if self.machines[at].exists {
                        let soon = self.t + self.rng.below(300_000);
                        self.push(soon, SimEvent::Start(at));
                    }
                }
            }
            Fault::Cut { .. } => {
                for (a, b) in self.links(&fault) {
                    for (a, b, ev) in self.network.join(a, b) {
                        self.post((a, b), 100, ev);
                    }
                }
            }
            Fault::Slow(who) => self.slow(*who, 0, 0),
            Fault::DiskFull(who) => self.machines[*who].disk.full = false,
            Fault::DiskSlow(who) => self.machines[*who].disk.sync /= 40,
            Fault::Storm => self.network.loss = 0,
            _ => {}
        }
        // Settings files name the machines of this moment.
        let live: Vec<u32> =
            (0..self.machines.len()).filter(|m| self.machines[*m].exists).map(crate::cluster::node).collect();
        for at in 0..self.machines.len() {
            if self.rng.with_permille(300) && self.machines[at].frozen <= self.t {
                let seeds = self.rng.sample(&live, SEED_NODES);
                self.handle(at, Event::SeedsChanged(seeds));
            }
        }
    }
}
