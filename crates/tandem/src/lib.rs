//! How news reaches every limiter.
//!
//! Every process keeps a [`Board`]: the agreed state, the servers, the members, who holds which duty, and **since when it
//! is sure of the state**. A limiter polls the board of the one above it (a core machine, or a limiter that relays) and is
//! told what it lacks; the poll is held there until there is news. A relay answers from its own board just as the core
//! does: ages add up on the way down, so that no limiter holds itself to be surer than its sources were.
//!
//! Free of I/O; times are those of each machine's own steady clock.
#![forbid(unsafe_code)]

use limeway_numbering::{Op, State};
use limeway_roster::{Node, Presence, GROUPS};
use limeway_watch::{Report, Watch};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::{BTreeSet, VecDeque};

pub mod tree;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Operations kept to be told as differences, and their bytes, at most; who lacks more is told the whole state.
const RECENT: (usize, usize) = (256, 2 * 1024 * 1024);

/// What a limiter tells the one above it, and what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Itself.
    #[serde(rename = "m")]
    pub me: Presence,
    /// Those below it.
    #[serde(rename = "b")]
    pub below: Vec<Presence>,
    /// The last slot that it has.
    #[serde(rename = "s")]
    pub slot: u64,
    /// The life of the board that the numbers below are of.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The last change of servers that it has from there.
    #[serde(rename = "c")]
    pub servers: u64,
    /// The last change of members that it has from there.
    #[serde(rename = "r")]
    pub members: u64,
    /// How long it may be held while there is no news.
    #[serde(rename = "w")]
    pub wait: Micros,
}

/// The state, or what leads to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Steps {
    /// The operations of the slots that follow.
    #[serde(rename = "o")]
    Ops(Vec<ByteBuf>),
    /// The whole state.
    #[serde(rename = "w")]
    Whole(ByteBuf),
}

/// A member, as limiters know it: its machine and its zone.
pub type Member = (Node, String);

/// Who holds a group: the machine, 0 for nobody, and the life of its process.
pub type Holder = (Node, u64);

/// What a poll is answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// How long the poll was held.
    #[serde(rename = "h")]
    pub held: Micros,
    /// How long ago the teller was last sure of its state; nothing if it never was.
    #[serde(rename = "a")]
    pub age: Option<Micros>,
    /// What the poll's slot lacks.
    #[serde(rename = "s")]
    pub steps: Steps,
    /// See [`Poll::epoch`].
    #[serde(rename = "e")]
    pub epoch: u64,
    /// See [`Poll::servers`].
    #[serde(rename = "c")]
    pub change: u64,
    /// Servers that changed; all if `full`.
    #[serde(rename = "v")]
    pub servers: Vec<Report>,
    /// The servers told are all that there are.
    #[serde(rename = "f")]
    pub full: bool,
    /// Who holds each group of duties.
    #[serde(rename = "d")]
    pub holders: Vec<Holder>,
    /// See [`Poll::members`].
    #[serde(rename = "r")]
    pub members_change: u64,
    /// The live members, if they changed.
    #[serde(rename = "l")]
    pub members: Option<Vec<Member>>,
}

/// What a process knows of the whole system.
#[derive(Debug, Clone)]
pub struct Board {
    /// This life of the process; told with each feed.
    pub epoch: u64,
    /// The agreed state.
    pub state: State,
    recent: VecDeque<ByteBuf>,
    recent_bytes: usize,
    /// The servers.
    pub watch: Watch,
    /// The live members.
    members: Vec<Member>,
    members_change: u64,
    /// Who holds each group.
    pub holders: [Holder; GROUPS],
    /// When this process was last sure of `state`; 0 for never.
    pub sure: Micros,
}

/// Packs an operation or a state.
pub fn pack(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail; an empty value is refused by whoever reads it.
    if ciborium::into_writer(value, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// Unpacks an operation or a state.
pub fn unpack<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

/// What a feed changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changed {
    /// The agreed state.
    pub state: bool,
    /// The servers.
    pub servers: bool,
    /// The members or the holders of duties.
    pub members: bool,
}

impl Board {
    /// An empty board of a new life.
    pub fn new(epoch: u64) -> Self {
        Board {
            epoch,
            state: State::default(),
            recent: VecDeque::new(),
            recent_bytes: 0,
            watch: Watch::default(),
            members: Vec::new(),
            members_change: 0,
            holders: [(0, 0); GROUPS],
            sure: 0,
        }
    }

    /// Takes the operation of the next slot. False if it cannot be read.
    pub fn step(&mut self, bytes: &[u8]) -> bool {
        let Some(op) = unpack::<Op>(bytes) else { return false };
        self.state.apply(&op);
        self.recent_bytes += bytes.len();
        self.recent.push_back(ByteBuf::from(bytes.to_vec()));
        while self.recent.len() > RECENT.0 || self.recent_bytes > RECENT.1 {
            self.recent_bytes -= self.recent.pop_front().map_or(0, |b| b.len());
        }
        true
    }

    /// Takes a whole state, if it is newer.
    pub fn jump(&mut self, state: State) -> bool {
        if state.slot <= self.state.slot {
            return false;
        }
        self.state = state;
        self.recent.clear();
        self.recent_bytes = 0;
        true
    }

    /// What leads from a slot to this state. Who has nothing yet lacks what the first slot builds on, too.
    pub fn steps(&self, from: u64) -> Steps {
        let lacks = self.state.slot.saturating_sub(from) as usize;
        if from > 0 && lacks <= self.recent.len() {
            Steps::Ops(self.recent.iter().skip(self.recent.len() - lacks).cloned().collect())
        } else {
            Steps::Whole(ByteBuf::from(pack(&self.state)))
        }
    }

    /// Takes steps that were asked for when this board's slot was `from`. True if the state changed.
    pub fn walk(&mut self, from: u64, steps: Steps) -> bool {
        match steps {
            Steps::Ops(ops) => {
                let known = self.state.slot.saturating_sub(from) as usize;
                let before = self.state.slot;
                for op in ops.iter().skip(known) {
                    if !self.step(op) {
                        break;
                    }
                }
                self.state.slot > before
            }
            Steps::Whole(bytes) => unpack::<State>(&bytes).is_some_and(|state| self.jump(state)),
        }
    }

    /// The live members as this process knows them.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Sets the live members. True if they changed.
    pub fn set_members(&mut self, members: Vec<Member>) -> bool {
        if members == self.members {
            return false;
        }
        self.members = members;
        self.members_change += 1;
        true
    }

    /// Whether there is news for a poll.
    pub fn has_news(&self, poll: &Poll) -> bool {
        poll.epoch != self.epoch
            || poll.slot < self.state.slot
            || poll.servers != self.watch.change
            || poll.members != self.members_change
    }

    /// Answers a poll that was held for so long.
    pub fn feed(&self, now: Micros, poll: &Poll, held: Micros) -> Feed {
        let known = poll.epoch == self.epoch;
        let since = if known { poll.servers } else { 0 };
        Feed {
            held,
            age: (self.sure > 0).then(|| now.saturating_sub(self.sure)),
            steps: self.steps(poll.slot),
            epoch: self.epoch,
            change: self.watch.change,
            servers: if known && since == self.watch.change {
                Vec::new()
            } else {
                self.watch.since(now, since)
            },
            full: since == 0,
            holders: self.holders.to_vec(),
            members_change: self.members_change,
            members: (!known || poll.members != self.members_change).then(|| self.members.clone()),
        }
    }

    /// Takes the answer to a poll that was sent at `asked`, with the slot `slot`.
    pub fn take(&mut self, now: Micros, asked: Micros, slot: u64, feed: Feed) -> Changed {
        let mut changed = Changed { state: self.walk(slot, feed.steps), ..Changed::default() };
        let before = self.watch.change;
        for report in &feed.servers {
            self.watch.hear(now, report);
        }
        if feed.full {
            // Who is not told of may be gone, or the teller may be new itself.
            let told: BTreeSet<&str> = feed.servers.iter().map(|r| r.id.as_str()).collect();
            self.watch.doubt(|id| !told.contains(id));
        }
        changed.servers = self.watch.change != before;
        if let Some(members) = feed.members {
            changed.members |= self.set_members(members);
        }
        let mut holders = [(0, 0); GROUPS];
        holders.iter_mut().zip(feed.holders).for_each(|(to, from)| *to = from);
        changed.members |= holders != self.holders;
        self.holders = holders;
        // The teller was sure `age` before it answered, which was no sooner than `held` after the poll was sent.
        if let Some(age) = feed.age {
            self.sure = self.sure.max((asked + feed.held).saturating_sub(age));
        }
        changed
    }
}
