//! Following: whom a limiter asks for news, what it believes of the answer, and when it asks again.
//!
//! [`Follower::next`] says what to do now, and [`Follower::fed`], [`Follower::fetched`] and [`Follower::failed`] take what came
//! of it. One question is under way at a time. The ways, in their order: the relay above, the core machines of the agreed
//! state, the seeds, and a few members known from before. Who is silent or not sure of its state is passed over with a pause
//! that doubles from [`PAUSE_FIRST`] to [`PAUSE_MOST`] until it is sure again; the next one is asked at once. While all but
//! members are passed over, every [`GAP`] the one whose pause ends first is asked, and each fourth time a member. So a process
//! whose seeds are all cut off gets past them: what they tell of the state and of members names other ways, though it is
//! believed in nothing else.
//!
//! Free of I/O; times are those of the machine's own steady clock.

use crate::parcel::{Want, PART, PART_LEAST};
use crate::{tree, Board, Changed, Feed, Micros, NodeId, Poll, Steps, Trust};
use limeway_membership::{hash, rendezvous_weight, MemberHeartbeat};
use std::collections::BTreeMap;

/// First pause in which one who was silent or unsure is passed over.
pub const PAUSE_FIRST: Micros = 1_000_000;
/// Longest such pause.
pub const PAUSE_MOST: Micros = 8_000_000;
/// Between two questions, where all ways are passed over, or the last one brought nothing.
pub const GAP: Micros = 100_000;
/// After a teller that was sure as of earlier than this limiter: it will know of the next round soon.
pub const OLDER: Micros = 100_000;
/// Parts are fetched for so long at a stretch; then a poll tells that this limiter lives, and how sure it is.
pub const FETCHING: Micros = 400_000;
/// While all else is passed over, each question of so many goes to a member.
const MEMBER_EACH: u64 = 4;
/// After a small change of the state: those that follow within it come as one, and plan and table are made anew once.
pub const SPACING: Micros = 150_000;
/// Members remembered as ways, at most.
const HEARD_MOST: usize = 256;
/// Machines remembered as passed over, at most.
const PAUSED_MOST: usize = 64;
/// Limiters below one relay, at most.
const BELOW_MOST: usize = 4 * tree::FAN;

/// What to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Poll this machine, with [`Follower::poll`].
    Poll(NodeId),
    /// Fetch steps from this machine.
    Fetch(NodeId, Want),
    /// Nothing before then.
    Wait(Micros),
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Micros,
    length: Micros,
}

/// What was last told from above.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    epoch: u64,
    servers: u64,
    members: u64,
}

/// Something big that a relay left to others.
#[derive(Debug, Clone, Copy)]
struct Lacks {
    slot: u64,
    teller: NodeId,
}

/// How a limiter follows.
#[derive(Debug)]
pub struct Follower {
    me: NodeId,
    zone: String,
    /// The seeds of the settings file.
    pub seeds: Vec<NodeId>,
    paused: BTreeMap<NodeId, Pause>,
    told: Told,
    lacks: Option<Lacks>,
    /// Members that anyone told of, whether it was sure or not: they are ways, no more.
    heard: Vec<NodeId>,
    below: BTreeMap<NodeId, MemberHeartbeat>,
    /// Bytes of steps to ask for: less where answers do not come in time.
    room: usize,
    not_before: Micros,
    polled: Micros,
    /// Questions asked while all ways but members were passed over.
    lost: u64,
}

impl Follower {
    /// A limiter that has asked nobody yet.
    pub fn new(me: NodeId, zone: &str, seeds: Vec<NodeId>) -> Self {
        Follower {
            me,
            zone: zone.to_owned(),
            seeds,
            paused: BTreeMap::new(),
            told: Told::default(),
            lacks: None,
            heard: Vec::new(),
            below: BTreeMap::new(),
            room: PART,
            not_before: 0,
            polled: 0,
            lost: 0,
        }
    }

    fn passed_over(&self, now: Micros, node: NodeId) -> bool {
        self.paused.get(&node).is_some_and(|p| p.until > now)
    }

    /// The relay above, the core machines, the seeds: first choice first.
    fn ways(&self, now: Micros, board: &Board) -> Vec<NodeId> {
        let failed: Vec<NodeId> = self.paused.keys().copied().filter(|n| self.passed_over(now, *n)).collect();
        let core = board.state.voter_nodes();
        let seeds = self.seeds.iter().filter(|s| !core.contains(*s));
        // Should none of the core machines that are known answer, the settings file may know better.
        let known: Vec<NodeId> = core.iter().chain(seeds).copied().collect();
        tree::above(self.me, &self.zone, board.members(), &known, &failed)
    }

    /// A member to ask as a last way. Each limiter has its own order, so that they do not all come to the same relays.
    fn member(&self, now: Micros, board: &Board, ways: &[NodeId]) -> Option<NodeId> {
        let known = board.members().iter().map(|(n, _)| *n).chain(self.heard.iter().copied());
        let key = hash(&self.me.to_le_bytes());
        known
            .filter(|n| *n != self.me && !ways.contains(n) && !self.passed_over(now, *n))
            .max_by_key(|n| rendezvous_weight(key, *n))
    }

    /// What to do now.
    pub fn next(&mut self, now: Micros, board: &Board) -> Next {
        if now < self.not_before {
            return Next::Wait(self.not_before);
        }
        let ways = self.ways(now, board);
        let free = |node: &&NodeId| !self.passed_over(now, **node);
        if let Some(lacks) = self.lacks.filter(|l| l.slot > board.state.slot && now < self.polled + FETCHING)
        {
            // From the core, whose links are wide; should none of it be reached, from whoever told of it.
            let core = ways
                .iter()
                .filter(|n| board.state.voter_nodes().contains(n) || self.seeds.contains(n))
                .find(free);
            let want = Want { room: self.room as u32, ..board.want() };
            return Next::Fetch(core.copied().unwrap_or(lacks.teller), want);
        }
        let node = match ways.iter().find(free) {
            Some(node) => *node,
            None if now < self.polled + GAP => return Next::Wait(self.polled + GAP),
            None => {
                self.lost += 1;
                let member = self.member(now, board, &ways).filter(|_| self.lost.is_multiple_of(MEMBER_EACH));
                let first = || ways.iter().copied().min_by_key(|n| self.paused.get(n).map_or(0, |p| p.until));
                let Some(node) = member.or_else(first) else { return Next::Wait(now + GAP) };
                node
            }
        };
        self.polled = now;
        Next::Poll(node)
    }

    /// The poll to send.
    pub fn poll(&mut self, now: Micros, board: &Board, me: MemberHeartbeat, wait: Micros) -> Poll {
        self.below.retain(|_, p| now.saturating_sub(p.age) < limeway_membership::MEMBER_LEASE);
        let age = |p: &MemberHeartbeat| MemberHeartbeat { age: now.saturating_sub(p.age), ..p.clone() };
        Poll {
            me,
            below: self.below.values().map(age).collect(),
            want: Want { room: self.room as u32, ..board.want() },
            epoch: self.told.epoch,
            servers: self.told.servers,
            members: self.told.members,
            wait,
        }
    }

    /// A poll came from below. True if that is news to those above: someone comes, leaves, or is ready.
    pub fn hear_below(&mut self, now: Micros, poll: &Poll) -> bool {
        let mut news = false;
        for presence in std::iter::once(&poll.me).chain(&poll.below) {
            if self.below.len() < BELOW_MOST || self.below.contains_key(&presence.node) {
                let age = now.saturating_sub(presence.age);
                let new = self.below.insert(presence.node, MemberHeartbeat { age, ..presence.clone() });
                news |= new.is_none_or(|p| p.ready != presence.ready);
            }
        }
        news
    }

    /// A feed came from `teller`, to a poll that was sent at `asked` and wanted `want`. The board takes of it what is believed.
    pub fn fed(
        &mut self,
        now: Micros,
        asked: Micros,
        want: &Want,
        teller: NodeId,
        feed: Feed,
        board: &mut Board,
    ) -> Changed {
        self.polled = now;
        let trust = board.trust(asked, &feed);
        let same = feed.epoch == self.told.epoch;
        // Members that are not taken are asked for again.
        let members = if trust == Trust::Current { feed.members_change } else { u64::MAX };
        self.told = match trust {
            // An unsure teller's list leaves out what it has not heard of: it is told whole once it is sure.
            Trust::Unsure if !same || feed.full => Told { epoch: feed.epoch, servers: 0, members },
            _ => Told { epoch: feed.epoch, servers: feed.change, members },
        };
        if trust != Trust::Current {
            for (node, _) in feed.members.iter().flatten() {
                if self.heard.len() < HEARD_MOST && !self.heard.contains(node) {
                    self.heard.push(*node);
                }
            }
        }
        if let Steps::Elsewhere(slot) = feed.steps {
            self.lacks = Some(Lacks { slot, teller });
        }
        self.room = (2 * self.room).min(PART);
        match trust {
            Trust::Current => {
                self.paused.remove(&teller);
                self.heard.clear();
                self.lost = 0;
            }
            Trust::Older => {
                self.paused.remove(&teller);
                self.not_before = now + OLDER;
            }
            Trust::Unsure => self.pass_over(now, teller),
        }
        let told = feed.steps != Steps::Ops(Vec::new());
        // An answer that was cut for room is fuller.
        let all = matches!(&feed.steps, Steps::Ops(ops) if ops.iter().map(|op| op.len()).sum::<usize>() < PART_LEAST);
        let changed = board.take(now, asked, want.slot, feed);
        if told && self.lacks.is_none_or(|l| l.slot <= board.state.slot) {
            self.progress(now, want, board);
        }
        if all && changed.state {
            self.not_before = self.not_before.max(now + SPACING);
        }
        changed
    }

    /// Steps came that were fetched.
    pub fn fetched(&mut self, now: Micros, want: &Want, steps: Steps, board: &mut Board) -> Changed {
        self.room = (2 * self.room).min(PART);
        let changed = Changed { state: board.walk(want.slot, steps), ..Changed::default() };
        self.progress(now, want, board);
        changed
    }

    /// What brought nothing (no news there, or what cannot be read) is not asked for again at once.
    fn progress(&mut self, now: Micros, want: &Want, board: &Board) {
        let have = board.want();
        if (have.slot, have.have) == (want.slot, want.have) {
            self.not_before = now + GAP;
        }
    }

    /// No answer came.
    pub fn failed(&mut self, now: Micros, node: NodeId) {
        self.room = (self.room / 2).max(PART_LEAST);
        self.lacks = self.lacks.filter(|l| l.teller != node);
        self.pass_over(now, node);
    }

    fn pass_over(&mut self, now: Micros, node: NodeId) {
        let length = self.paused.get(&node).map_or(PAUSE_FIRST, |p| (2 * p.length).min(PAUSE_MOST));
        if self.paused.len() >= PAUSED_MOST {
            let first = self.paused.iter().min_by_key(|(_, p)| p.until).map(|(n, _)| *n);
            first.map(|n| self.paused.remove(&n));
        }
        self.paused.insert(node, Pause { until: now + length, length });
    }
}
