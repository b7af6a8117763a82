//! The table of instances, merged from reports.

use crate::{Phase, ServerReport};
use limeway_types::{Micros, Timestamp, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Upper bound on the number of instances known at once.
pub const MAX_INSTANCES: usize = 20_000;
/// An instance that has ended, or has not been heard of, is remembered for so long: late reports must not bring it back.
pub const INSTANCE_RETENTION: Micros = 60 * SECOND;
/// Ends of slow start that lie closer together than this are the same one, as reported by way of different machines.
const SLOW_START_TOLERANCE: Micros = 400_000;

/// An instance in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// The service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity_slots: u32,
    /// Where it stands.
    pub phase: Phase,
    /// In slow start until then.
    pub slow_start_until: Timestamp,
    /// Sequence number of its newest report.
    pub sequence: u64,
    /// When its last heartbeat came.
    pub last_heartbeat: Timestamp,
    /// It has missed its heartbeats for long.
    pub unresponsive: bool,
    /// The full list of an upstream did not name it; until any upstream does.
    pub unlisted: bool,
    /// Another instance was heard at its address since; until it is heard again itself.
    pub superseded: bool,
    /// The revision of the table that changed it last.
    pub revision: u64,
}

/// What a report did to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It is a new instance, or something about it has changed.
    Changed,
    /// It is still there.
    Refreshed,
    /// The report is older than what is known, or the table is full.
    Ignored,
}

/// The instances of all services.
#[derive(Debug, Clone, Default)]
pub struct ServiceRegistry {
    servers: BTreeMap<String, Server>,
    /// Number of the last change to the table.
    pub revision: u64,
    /// Up to this revision changes may have been of instances that are forgotten by now.
    forgotten_revision: u64,
}

impl ServiceRegistry {
    /// Merges a report into the table.
    pub fn observe(&mut self, now: Timestamp, report: &ServerReport) -> Observation {
        let Some(server) = self.servers.get_mut(&report.id) else { return self.insert(now, report) };
        let newer = report.sequence > server.sequence;
        let was_available = server.is_available();
        if server.merge(now, report) {
            self.revision += 1;
            server.revision = self.revision;
            if !was_available && server.is_available() {
                self.resolve_address(&report.id);
            }
            Observation::Changed
        } else if newer {
            Observation::Refreshed
        } else {
            Observation::Ignored
        }
    }

    fn insert(&mut self, now: Timestamp, report: &ServerReport) -> Observation {
        if self.servers.len() >= MAX_INSTANCES {
            return Observation::Ignored;
        }
        self.revision += 1;
        let server = Server {
            service: report.service.clone(),
            address: report.address,
            zone: report.zone.clone(),
            capacity_slots: report.capacity_slots,
            phase: report.phase,
            slow_start_until: slow_start_end(now, report),
            sequence: report.sequence,
            last_heartbeat: now.saturating_sub(report.age),
            unresponsive: report.unresponsive,
            unlisted: false,
            superseded: false,
            revision: self.revision,
        };
        let is_available = server.is_available();
        self.servers.insert(report.id.clone(), server);
        if is_available {
            self.resolve_address(&report.id);
        }
        Observation::Changed
    }

    /// Two instances cannot share an address: whichever was heard last has it, as far as is known. A heartbeat may come late, after those
    /// of the instance that follows, so this is no end: the one that goes on reporting itself gets the address back.
    fn resolve_address(&mut self, id: &str) {
        let Some(available) = self.servers.get(id) else { return };
        let (address, heard) = (available.address, available.last_heartbeat);
        let revision = self.revision;
        let mut is_superseded = false;
        let others = self.servers.iter_mut().filter(|(other, _)| other.as_str() != id);
        for (_, other) in others.filter(|(_, other)| other.address == address && other.is_available()) {
            if other.last_heartbeat < heard {
                (other.superseded, other.revision) = (true, revision);
            } else {
                is_superseded |= other.last_heartbeat > heard;
            }
        }
        if let Some(server) = self.servers.get_mut(id).filter(|_| is_superseded) {
            server.superseded = true;
        }
    }

    /// An instance says that it ends. One that is not known here may be known elsewhere, and its heartbeats may still come: that it has
    /// ended is remembered all the same. False if there is no room for that.
    pub fn deregister(&mut self, now: Timestamp, id: &str) -> bool {
        match self.servers.get_mut(id) {
            Some(server) if server.phase == Phase::Gone => true,
            Some(server) => {
                self.revision += 1;
                (server.phase, server.last_heartbeat, server.revision) = (Phase::Gone, now, self.revision);
                true
            }
            None => self.insert(now, &ServerReport::ended(id)) == Observation::Changed,
        }
    }

    /// Marks instances without a heartbeat for `timeout` as unresponsive, and forgets those of which nothing more can come.
    pub fn expire(&mut self, now: Timestamp, timeout: Micros) {
        for server in self.servers.values_mut() {
            let overdue = now.saturating_sub(server.last_heartbeat) > timeout;
            if !server.unresponsive && server.phase != Phase::Gone && overdue {
                self.revision += 1;
                (server.unresponsive, server.revision) = (true, self.revision);
            }
        }
        let mut forgotten = self.forgotten_revision;
        self.servers.retain(|_, server| {
            let recent = now.saturating_sub(server.last_heartbeat) < INSTANCE_RETENTION;
            let keep = recent || (server.is_available() && !server.unlisted);
            if !keep {
                forgotten = forgotten.max(server.revision);
            }
            keep
        });
        self.forgotten_revision = forgotten;
    }

    /// Whether all that changed after this revision is known here: nothing of it is forgotten.
    pub fn has_all_since(&self, revision: u64) -> bool {
        revision >= self.forgotten_revision
    }

    /// Marks instances that an upstream's full list leaves out: they count as unresponsive until they are reported again, be it with
    /// a report that is known already.
    pub fn flag_unlisted(&mut self, is_unlisted: impl Fn(&str) -> bool) {
        for (_, server) in self.servers.iter_mut().filter(|(id, _)| is_unlisted(id)) {
            if !server.unlisted && server.phase != Phase::Gone {
                self.revision += 1;
                (server.unlisted, server.revision) = (true, self.revision);
            }
        }
    }

    /// What is known of one instance.
    pub fn report(&self, now: Timestamp, id: &str) -> Option<ServerReport> {
        self.servers.get(id).map(|server| server.report(now, id))
    }

    /// All that changed after this revision, what has ended too: whoever asks may know it from elsewhere.
    pub fn changed_since(&self, now: Timestamp, revision: u64) -> Vec<ServerReport> {
        let changed = |s: &&Server| s.revision > revision;
        self.servers.iter().filter(|(_, s)| changed(s)).map(|(id, s)| s.report(now, id)).collect()
    }

    /// The instances that leave or have ended.
    pub fn leaving(&self, now: Timestamp) -> Vec<ServerReport> {
        let leaving = self.servers.iter().filter(|(_, server)| server.phase != Phase::Ready);
        leaving.map(|(id, server)| server.report(now, id)).collect()
    }

    /// All instances, with those that have ended.
    pub fn full_report(&self, now: Timestamp) -> Vec<ServerReport> {
        self.servers.iter().map(|(id, server)| server.report(now, id)).collect()
    }

    /// The instances, by id.
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }
}

/// When slow start ends. Counted from when the report was passed on, not from the heartbeat: a server must not be held to be warm
/// too early.
fn slow_start_end(now: Timestamp, report: &ServerReport) -> Timestamp {
    if report.slow_start_left == 0 {
        0
    } else {
        now + report.slow_start_left
    }
}

impl Server {
    /// Whether it has not ended, reports itself, and nobody else has been heard at its address since.
    fn is_available(&self) -> bool {
        self.phase != Phase::Gone && !self.unresponsive && !self.superseded
    }

    /// Merges a report of this instance. True if anything but the heartbeat has changed.
    fn merge(&mut self, now: Timestamp, report: &ServerReport) -> bool {
        let newer = report.sequence > self.sequence;
        let current = report.sequence >= self.sequence;
        self.last_heartbeat = self.last_heartbeat.max(now.saturating_sub(report.age));
        let phase = self.phase.max(report.phase);
        let mut changed = phase != self.phase;
        self.phase = phase;
        if self.unlisted && !report.unresponsive && current {
            (self.unlisted, changed) = (false, true);
        }
        if report.unresponsive && !self.unresponsive && current {
            (self.unresponsive, changed) = (true, true);
        } else if (self.unresponsive || self.superseded) && newer && !report.unresponsive {
            (self.unresponsive, self.superseded, changed) = (false, false, true);
        }
        if newer {
            self.sequence = report.sequence;
            changed |= self.merge_slow_start(now, slow_start_end(now, report), changed);
            if self.capacity_slots != report.capacity_slots || self.address != report.address {
                (self.capacity_slots, self.address, changed) = (report.capacity_slots, report.address, true);
            }
        }
        changed
    }

    /// Merges the end of slow start; true if it is a new one. Slow start ends by time alone, which is no change.
    fn merge_slow_start(&mut self, now: Timestamp, until: Timestamp, changed: bool) -> bool {
        let new_end = until > self.slow_start_until.max(now) + SLOW_START_TOLERANCE;
        // An end that creeps on in small steps must count as a change some time, so a small step is not taken.
        self.slow_start_until = if changed || new_end { until } else { until.min(self.slow_start_until) };
        new_end
    }

    fn report(&self, now: Timestamp, id: &str) -> ServerReport {
        ServerReport {
            id: id.to_owned(),
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            capacity_slots: self.capacity_slots,
            phase: self.phase,
            slow_start_left: self.slow_start_until.saturating_sub(now),
            sequence: self.sequence,
            age: now.saturating_sub(self.last_heartbeat),
            unresponsive: self.unresponsive || self.unlisted || self.superseded,
        }
    }
}
