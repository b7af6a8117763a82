//! Servers as they report themselves.
//!
//! Reports are mergeable: of one life (one `instance-id`) the highest `call-count` tells, and a life only ever goes from
//! ready to draining to gone. So any core machine may take a report, reports may be passed on in any order and more than
//! once, and all that have heard the same reports hold the same table.
//!
//! The table counts its own changes, so that a difference can be told from any earlier number on. Free of I/O and clock.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Lives that are known at once, at most.
pub const LIVES_MOST: usize = 20_000;
/// A life that has ended, or has not been heard of, is remembered for so long: late reports must not bring it back.
pub const REMEMBERED: Micros = 60_000_000;

/// Where a life stands; it only goes forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Takes requests.
    #[serde(rename = "r")]
    Ready,
    /// Is leaving: nothing more goes there.
    #[serde(rename = "d")]
    Draining,
    /// Has ended.
    #[serde(rename = "g")]
    Gone,
}

/// What is known of a life, with times relative to the moment of telling.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its `instance-id`.
    #[serde(rename = "i")]
    pub id: String,
    /// The service it serves.
    #[serde(rename = "s")]
    pub service: String,
    /// Where.
    #[serde(rename = "a")]
    pub address: SocketAddrV4,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Requests that it works on at once.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Where its life stands.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// For how much longer it is cold.
    #[serde(rename = "c")]
    pub cold_left: Micros,
    /// Rises with each of its calls.
    #[serde(rename = "q")]
    pub count: u64,
    /// Time since it was heard.
    #[serde(rename = "t")]
    pub age: Micros,
    /// It has missed its reports for long.
    #[serde(rename = "m", default)]
    pub silent: bool,
}

/// A life in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// See [`Report`].
    pub service: String,
    /// See [`Report`].
    pub address: SocketAddrV4,
    /// See [`Report`].
    pub zone: String,
    /// See [`Report`].
    pub slots: u32,
    /// See [`Report`].
    pub phase: Phase,
    /// Cold until then.
    pub cold_until: Micros,
    /// See [`Report`].
    pub count: u64,
    /// Heard last then.
    pub heard: Micros,
    /// See [`Report`].
    pub silent: bool,
    /// A teller's full list did not name it; until any teller does.
    pub doubted: bool,
    /// Number of the change that touched it last.
    pub changed: u64,
}

/// What a report made of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It is a new life, or a step of one.
    News,
    /// It is still there.
    Beat,
    /// It is older than what is known, or there is no room.
    Late,
}

/// The table.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    servers: BTreeMap<String, Server>,
    /// Number of the last change.
    pub change: u64,
}

/// Cold ends that lie closer together than this are the same one, as heard by way of different machines.
const COLD_STEP: Micros = 400_000;

impl Watch {
    /// Takes a report in.
    pub fn hear(&mut self, now: Micros, report: &Report) -> Heard {
        let heard = now.saturating_sub(report.age);
        // Told relative to the moment of telling, not to when it was heard: a server must not be held warm too early.
        let cold_until = if report.cold_left == 0 { 0 } else { now + report.cold_left };
        if let Some(server) = self.servers.get_mut(&report.id) {
            let later = report.count > server.count;
            server.heard = server.heard.max(heard);
            let phase = server.phase.max(report.phase);
            let mut news = phase != server.phase;
            server.phase = phase;
            if server.doubted && !report.silent && report.count >= server.count {
                (server.doubted, news) = (false, true);
            }
            if report.silent && !server.silent && report.count >= server.count {
                (server.silent, news) = (true, true);
            } else if server.silent && later && !report.silent {
                server.silent = false;
                news = true;
            }
            if later {
                server.count = report.count;
                // From cold to warm goes by time alone; only a new end is news.
                news |= cold_until > server.cold_until.max(now) + COLD_STEP;
                // An end that creeps on in small steps must become news some time, so a small step is not taken.
                server.cold_until = if news { cold_until } else { cold_until.min(server.cold_until) };
                if server.slots != report.slots || server.address != report.address {
                    (server.slots, server.address, news) = (report.slots, report.address, true);
                }
            }
            if news {
                self.change += 1;
                server.changed = self.change;
                return Heard::News;
            }
            return if later { Heard::Beat } else { Heard::Late };
        }
        if self.servers.len() >= LIVES_MOST {
            return Heard::Late;
        }
        self.change += 1;
        // Who had this address before is no more: two lives cannot share one.
        if report.phase != Phase::Gone {
            let change = self.change;
            let others = self.servers.values_mut().filter(|s| s.address == report.address && s.heard < heard);
            for other in others.filter(|s| s.phase != Phase::Gone) {
                (other.phase, other.changed) = (Phase::Gone, change);
            }
        }
        let server = Server {
            service: report.service.clone(),
            address: report.address,
            zone: report.zone.clone(),
            slots: report.slots,
            phase: report.phase,
            cold_until,
            count: report.count,
            heard,
            silent: report.silent,
            doubted: false,
            changed: self.change,
        };
        self.servers.insert(report.id.clone(), server);
        Heard::News
    }

    /// A life says that it ends. False if it is not known.
    pub fn end(&mut self, now: Micros, id: &str) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        if server.phase != Phase::Gone {
            self.change += 1;
            (server.phase, server.heard, server.changed) = (Phase::Gone, now, self.change);
        }
        true
    }

    /// Marks those that have not been heard of for `after`, and forgets those of which nothing more can come.
    pub fn sweep(&mut self, now: Micros, after: Micros) {
        for server in self.servers.values_mut() {
            if !server.silent && server.phase != Phase::Gone && now.saturating_sub(server.heard) > after {
                self.change += 1;
                (server.silent, server.changed) = (true, self.change);
            }
        }
        self.servers.retain(|_, s| {
            now.saturating_sub(s.heard) < REMEMBERED || !(s.phase == Phase::Gone || s.silent || s.doubted)
        });
    }

    /// Doubts lives that a full list does not name: they count as silent until they are told of again, be it with a report that
    /// is known already.
    pub fn doubt(&mut self, unnamed: impl Fn(&str) -> bool) {
        for (_, server) in self.servers.iter_mut().filter(|(id, _)| unnamed(id)) {
            if !server.doubted && server.phase != Phase::Gone {
                self.change += 1;
                (server.doubted, server.changed) = (true, self.change);
            }
        }
    }

    /// What is known of one life.
    pub fn report(&self, now: Micros, id: &str) -> Option<Report> {
        self.servers.get(id).map(|s| s.report(now, id))
    }

    /// All that changed after the change of this number; from 0 on, what has ended is left out.
    pub fn since(&self, now: Micros, change: u64) -> Vec<Report> {
        let told = |s: &&Server| s.changed > change && (change > 0 || s.phase != Phase::Gone);
        self.servers.iter().filter(|(_, s)| told(s)).map(|(id, s)| s.report(now, id)).collect()
    }

    /// All, with those that have ended: for another machine's table.
    pub fn all(&self, now: Micros) -> Vec<Report> {
        self.servers.iter().map(|(id, s)| s.report(now, id)).collect()
    }

    /// The table by id.
    pub fn servers(&self) -> &BTreeMap<String, Server> {
        &self.servers
    }
}

impl Server {
    fn report(&self, now: Micros, id: &str) -> Report {
        Report {
            id: id.to_owned(),
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            slots: self.slots,
            phase: self.phase,
            cold_left: self.cold_until.saturating_sub(now),
            count: self.count,
            age: now.saturating_sub(self.heard),
            silent: self.silent || self.doubted,
        }
    }
}
