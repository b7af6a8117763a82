//! Members of the fleet, and the duties cut by key over them.
//!
//! - [`Roster`]: a limiter is a member while it renews its lease at the core; what core machines know of members merges;
//! - [`Votes`] and [`Duties`]: a group of keys is held by whoever has the votes of a majority of the core for it. A vote
//!   lasts [`TERM`] from when it is given, a holding lasts [`TERM`] from when its votes were **asked** for, so that no two
//!   machines hold a group at one time. That is the fence: a key changes hands only once the last holder has surely ended.
//!
//! A voter that has just started has forgotten its votes. It gives none for [`TERM`], or until every core machine has told
//! it what it holds: only they hold groups, and none that does would keep it back. To whoever says that it holds a group
//! at this moment it gives its vote at once: if that is true, no one else can hold it, and a holder that hears the answer
//! after its holding ended does not use it. A process that is seen in a new life holds nothing of its earlier one.
//!
//! **Seats that change.** A majority of the new set of voters need not meet one of the last set. So a voter that is newly
//! seated gives no vote for [`TERM`], and those that held a seat not long ago count among the machines that a voter has to
//! hear before its time. With one seat changed at a time, the others of any two majorities then meet.
//!
//! Free of I/O; times are those of a steady clock.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// A time or a length of time, in microseconds.
pub type Micros = u64;
/// A machine, by its IPv4 address as a number.
pub type Node = u32;

/// Groups that keys are cut into.
pub const GROUPS: usize = 8;
/// How long a duty is held after its votes were asked for. Long, as blocks of quota live no longer and have to outlast a
/// core that is silent for some seconds.
pub const TERM: Micros = 8_000_000;
/// A member that has not renewed its lease for so long is none.
pub const LEASE: Micros = 1_800_000;
/// Members at once, at most.
pub const MEMBERS_MOST: usize = 10_000;
/// A member is remembered for so long after its lease.
const REMEMBERED: Micros = 30_000_000;

/// The group of a key.
pub fn group(key: &str) -> usize {
    (hash(key.as_bytes()) % GROUPS as u64) as usize
}

/// FNV-1a with a last mix, so that close inputs part.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut h =
        bytes.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h = (h ^ (h >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// How highly a node ranks for a key: the highest of all is the key's first choice. When a node goes, only its keys move.
pub fn rank(key: u64, node: Node) -> u64 {
    hash(&[key.to_le_bytes().as_slice(), node.to_le_bytes().as_slice()].concat())
}

/// The first choice for a key.
pub fn first(key: u64, nodes: impl Iterator<Item = Node>) -> Option<Node> {
    nodes.max_by_key(|n| rank(key, *n))
}

/// A member as it shows itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Its machine.
    #[serde(rename = "n")]
    pub node: Node,
    /// Where clients reach it.
    #[serde(rename = "f")]
    pub front: SocketAddrV4,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// It can serve.
    #[serde(rename = "r")]
    pub ready: bool,
    /// Time since it showed itself.
    #[serde(rename = "t")]
    pub age: Micros,
}

#[derive(Debug, Clone)]
struct Member {
    front: SocketAddrV4,
    zone: String,
    ready: bool,
    heard: Micros,
}

/// The members.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    members: BTreeMap<Node, Member>,
}

impl Roster {
    /// A member shows itself, or another machine tells of it. True if that changes who can be sent clients.
    pub fn hear(&mut self, now: Micros, seen: &Presence) -> bool {
        let heard = now.saturating_sub(seen.age);
        let full = self.members.len() >= MEMBERS_MOST;
        match self.members.get_mut(&seen.node) {
            Some(member) if member.heard > heard => false,
            Some(member) => {
                let changed = member.ready != seen.ready || member.heard + LEASE < now;
                let (front, zone, ready) = (seen.front, seen.zone.clone(), seen.ready);
                *member = Member { front, zone, ready, heard };
                changed
            }
            None if full => false,
            None => {
                let (front, zone, ready) = (seen.front, seen.zone.clone(), seen.ready);
                self.members.insert(seen.node, Member { front, zone, ready, heard });
                true
            }
        }
    }

    /// Forgets members long gone.
    pub fn sweep(&mut self, now: Micros) {
        self.members.retain(|_, m| now.saturating_sub(m.heard) < LEASE + REMEMBERED);
    }

    /// Members whose lease holds: node, address for clients, zone, whether it can serve.
    pub fn live(&self, now: Micros) -> impl Iterator<Item = (Node, SocketAddrV4, &str, bool)> {
        let held = move |m: &Member| now.saturating_sub(m.heard) <= LEASE;
        self.members
            .iter()
            .filter(move |(_, m)| held(m))
            .map(|(n, m)| (*n, m.front, m.zone.as_str(), m.ready))
    }
}

/// A claim to a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The group.
    pub group: usize,
    /// The life of the process that claims: a new one has forgotten what an earlier one granted.
    pub boot: u64,
    /// Whoever claims it holds it at this moment.
    pub holds: bool,
}

/// A vote: to which life of which machine, and until when.
#[derive(Debug, Clone, Copy)]
struct Vote {
    node: Node,
    boot: u64,
    until: Micros,
}

/// A group that a machine holds, as it tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The group.
    #[serde(rename = "g")]
    pub group: usize,
    /// For how much longer.
    #[serde(rename = "l")]
    pub left: Micros,
}

/// Answers to claims come within this time or are not used: a voter that starts listens for holders only after it.
pub const CLAIM: Micros = 350_000;

/// One core machine's votes on who holds which group.
#[derive(Debug, Clone)]
pub struct Votes {
    started: Micros,
    /// New claims get no vote before then, unless all have been heard.
    from: Micros,
    /// Newly seated: it waits, whoever has told.
    fresh: bool,
    heard: BTreeSet<Node>,
    given: [Option<Vote>; GROUPS],
}

impl Votes {
    /// A voter that starts now; `forgotten` unless there can be no earlier votes at all.
    pub fn new(now: Micros, forgotten: bool) -> Self {
        let from = if forgotten { now + TERM } else { 0 };
        Votes { started: now, from, fresh: false, heard: BTreeSet::new(), given: [None; GROUPS] }
    }

    /// This voter has just got its seat.
    pub fn seated(&mut self, now: Micros) {
        (self.from, self.fresh) = (now + TERM, true);
    }

    /// A machine that is about to end says that it holds nothing any more, and claims nothing: the votes for it are free.
    pub fn leaves(&mut self, node: Node) {
        for given in self.given.iter_mut().filter(|g| g.is_some_and(|v| v.node == node)) {
            *given = None;
        }
    }

    /// A core machine tells, in this life of its process, what it holds. Any earlier life has ended.
    pub fn hear(&mut self, now: Micros, node: Node, boot: u64, held: &[Held]) {
        for given in &mut self.given {
            if given.is_some_and(|v| v.node == node && v.boot != boot) {
                *given = None;
            }
        }
        for held in held {
            let Some(given) = self.given.get_mut(held.group) else { continue };
            // Who holds a group has a majority: a vote for anyone else came to nothing, and would only lead limiters astray. It
            // is not given anew before its own time, as a round that counts it may still be under way.
            let until = given.map_or(0, |v| v.until).max(now + held.left);
            *given = Some(Vote { node, boot, until });
        }
        // What is asked for with a vote of this voter's earlier life has been answered by then.
        if now >= self.started + CLAIM {
            self.heard.insert(node);
        }
    }

    /// All of these have told what they hold: this voter knows again what it may have voted for.
    pub fn complete(&mut self, others: &[Node]) {
        if !self.fresh && others.iter().all(|n| self.heard.contains(n)) {
            self.from = 0;
        }
    }

    /// Is asked for a vote.
    pub fn claim(&mut self, now: Micros, node: Node, claim: Claim) -> bool {
        let Some(given) = self.given.get_mut(claim.group) else { return false };
        let free = match given {
            Some(vote) => (vote.node == node && vote.boot == claim.boot) || vote.until < now,
            // A newly seated voter takes nobody's word.
            None => now >= self.from || (claim.holds && !self.fresh),
        };
        if free {
            *given = Some(Vote { node, boot: claim.boot, until: now + TERM });
        }
        free
    }

    /// A claim of the machine that keeps this voter has come to nothing: its own vote is free again, as its round is over.
    pub fn release(&mut self, node: Node, claim: Claim) {
        if let Some(given) = self.given.get_mut(claim.group) {
            if given.is_some_and(|v| v.node == node && v.boot == claim.boot) {
                *given = None;
            }
        }
    }

    /// Who may hold a group at this moment, as far as this voter knows: the machine and the life of its process.
    pub fn holder(&self, now: Micros, group: usize) -> Option<(Node, u64)> {
        self.given.get(group).copied().flatten().filter(|v| v.until >= now).map(|v| (v.node, v.boot))
    }
}

/// What one machine holds.
#[derive(Debug, Clone, Default)]
pub struct Duties {
    until: [Micros; GROUPS],
}

impl Duties {
    /// Until when it holds a group.
    pub fn until(&self, group: usize) -> Micros {
        self.until.get(group).copied().unwrap_or(0)
    }

    /// Whether it holds a group.
    pub fn holds(&self, now: Micros, group: usize) -> bool {
        self.until(group) > now
    }

    /// All that it holds, for others.
    pub fn held(&self, now: Micros) -> Vec<Held> {
        (0..GROUPS)
            .filter(|g| self.holds(now, *g))
            .map(|group| Held { group, left: self.until(group) - now })
            .collect()
    }

    /// Gives up all that it holds: this machine is about to end.
    pub fn give_up(&mut self) {
        self.until = [0; GROUPS];
    }

    /// What to claim: what is held, and what this machine is the first choice for and nobody holds.
    pub fn claims(&self, now: Micros, me: Node, boot: u64, live: &[Node], votes: &Votes) -> Vec<Claim> {
        let mut claims = Vec::new();
        for group in 0..GROUPS {
            let holds = self.holds(now, group);
            let free = votes.holder(now, group).is_none_or(|n| n == (me, boot));
            if holds || (free && first(group as u64, live.iter().copied()) == Some(me)) {
                claims.push(Claim { group, boot, holds });
            }
        }
        claims
    }

    /// A majority has voted for a claim that was asked for at `asked`. True if the group is newly held.
    pub fn won(&mut self, now: Micros, asked: Micros, claim: Claim) -> bool {
        let held = self.holds(now, claim.group);
        // What was asked as a holder counts for a holder only: a voter that forgot its votes took the word for it.
        if claim.holds && !held || now.saturating_sub(asked) > CLAIM {
            return false;
        }
        if let Some(until) = self.until.get_mut(claim.group) {
            *until = (*until).max(asked + TERM);
        }
        !held && self.holds(now, claim.group)
    }
}
