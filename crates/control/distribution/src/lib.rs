//! How news reaches every limiter.
//!
//! Every process keeps a [`Board`]: the agreed state, the servers, the members, who holds which duty, and **since when it
//! is sure of the state**. A limiter polls the board of the one above it (a core machine, or a limiter that relays) and is
//! told what it lacks; the poll is held there until there is news. A relay answers from its own board just as the core
//! does: ages add up on the way down, so that no limiter holds itself to be surer than its sources were.
//!
//! **Who is believed.** Chosen operations and steps of servers only go forward, so they are taken from anyone. Who holds a
//! duty, who is a member and which servers are no more is taken only from a teller that was sure within [`UNSURE`], and as
//! of no earlier than what is known already ([`Trust`]). [`follow::Follower`] decides whom to ask.
//!
//! **Steps** go compressed, as many operations as fit into an answer; what does not fit goes in parts ([`parcel`]). A relay
//! has a thin link and many below it: it only says that there is something big, and they fetch it from the core.
//!
//! Free of I/O; times are those of each machine's own steady clock.
#![forbid(unsafe_code)]

use limeway_membership::{MemberHeartbeat, NodeId, SHARDS};
use limeway_routing_config::{Operation, State};
use limeway_service_registry::{ServerReport, ServiceRegistry};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};

pub mod follow;
pub mod parcel;
pub mod tree;

use parcel::{seal, unseal, Gathered, Gathering, Parcel, Part, Want, PART};

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Operations kept to be told as differences, and their sealed bytes, at most; who lacks more is told the whole state.
const RECENT: (usize, usize) = (256, 2 * 1024 * 1024);
/// A teller that was sure no later than so long ago is not believed. A relay that holds a poll is told of a surety that is
/// up to a round and a hold old itself, some 1.1 s.
pub const UNSURE: Micros = 1_500_000;
/// The whole state is told as it was at a multiple of so many slots, so that all tellers have the same bytes.
const ANCHOR: u64 = 64;
/// Whole states kept: who has begun with one has some 128 slots' time to end with it.
const ANCHORS: usize = 3;
/// Operations of so many sealed bytes are told as they are, whatever the whole state would take.
const OPS_CHEAP: usize = 8 * 1024;
/// Bytes of operations in one answer of a relay, at most.
const RELAY_ROOM: usize = 4 * 1024;
/// Sureties of states to come that are remembered, at most.
const OWED_MOST: usize = 16;

/// What a limiter tells the one above it, and what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Itself.
    #[serde(rename = "m")]
    pub me: MemberHeartbeat,
    /// Those below it.
    #[serde(rename = "b")]
    pub below: Vec<MemberHeartbeat>,
    /// What it lacks of the agreed state.
    #[serde(rename = "s")]
    pub want: Want,
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

/// What leads to the state, or the next piece of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Steps {
    /// The operations of the slots that follow, each sealed; not all, if there are more than fit.
    #[serde(rename = "o")]
    Ops(Vec<ByteBuf>),
    /// A part of an operation, or of the whole state.
    #[serde(rename = "p")]
    Part(Part),
    /// There is something big, which this teller leaves to others, and its slot: it is fetched from the core.
    #[serde(rename = "e")]
    Elsewhere(u64),
}

/// A member, as limiters know it: its machine and its zone.
pub type Member = (NodeId, String);

pub use limeway_membership::Holder;

/// What a poll is answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// How long the poll was held.
    #[serde(rename = "h")]
    pub held: Micros,
    /// How long ago the teller was last sure of its state; nothing if it never was.
    #[serde(rename = "a")]
    pub age: Option<Micros>,
    /// The last slot that the teller has: its age counts for whoever has that.
    #[serde(rename = "n")]
    pub slot: u64,
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
    #[serde(rename = "v", with = "parcel::list")]
    pub servers: Vec<ServerReport>,
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
#[derive(Debug)]
pub struct Board {
    /// This life of the process; told with each feed.
    pub epoch: u64,
    /// The agreed state.
    pub state: State,
    /// The last operations, sealed.
    recent: VecDeque<Parcel>,
    recent_bytes: usize,
    /// Whole states that are told, oldest first.
    anchors: RefCell<VecDeque<Parcel>>,
    /// What is being told to this process in parts.
    gathering: Option<Gathering>,
    /// It tells those below it on a thin link, and leaves what is big to the core.
    relay: bool,
    /// The servers.
    pub watch: ServiceRegistry,
    /// The live members.
    members: Vec<Member>,
    members_change: u64,
    /// Who holds each group.
    pub holders: [Holder; SHARDS],
    /// When this process was last sure of `state`; 0 for never.
    pub sure: Micros,
    /// As of when members and holders were told.
    told: Micros,
    /// Tellers that were sure of a slot that this board has not come to yet: the slot, and as of when.
    owed: VecDeque<(u64, Micros)>,
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

/// What a teller's word of members, holders and ends of servers is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// It is not sure of its state: it may be cut off from the others.
    Unsure,
    /// It is sure, but as of earlier than what is known.
    Older,
    /// It is taken.
    Current,
}

impl Board {
    /// An empty board of a new life, of a core machine.
    pub fn new(epoch: u64) -> Self {
        Board {
            epoch,
            state: State::default(),
            recent: VecDeque::new(),
            recent_bytes: 0,
            anchors: RefCell::default(),
            gathering: None,
            relay: false,
            watch: ServiceRegistry::default(),
            members: Vec::new(),
            members_change: 0,
            holders: [Holder::default(); SHARDS],
            sure: 0,
            told: 0,
            owed: VecDeque::new(),
        }
    }

    /// An empty board of a new life, of a limiter.
    pub fn relay(epoch: u64) -> Self {
        Board { relay: true, ..Board::new(epoch) }
    }

    /// Takes the packed operation of the next slot. False if it cannot be read.
    pub fn step(&mut self, bytes: &[u8]) -> bool {
        let Some(op) = unpack::<Operation>(bytes) else { return false };
        self.apply(&op, seal(bytes));
        true
    }

    fn step_sealed(&mut self, sealed: Vec<u8>) -> bool {
        let Some(op) = unseal(&sealed).and_then(|raw| unpack::<Operation>(&raw)) else { return false };
        self.apply(&op, sealed);
        true
    }

    fn apply(&mut self, op: &Operation, sealed: Vec<u8>) {
        self.state.apply(op);
        self.recent_bytes += sealed.len();
        self.recent.push_back(Parcel::new(false, self.state.slot, sealed));
        while self.recent.len() > RECENT.0 || self.recent_bytes > RECENT.1 {
            self.recent_bytes -= self.recent.pop_front().map_or(0, |op| op.size());
        }
        if !self.relay && self.state.slot.is_multiple_of(ANCHOR) {
            self.anchor();
        }
    }

    /// Seals the state as it is, to be told.
    fn anchor(&self) {
        let mut anchors = self.anchors.borrow_mut();
        if anchors.len() >= ANCHORS {
            anchors.pop_front();
        }
        anchors.push_back(Parcel::new(true, self.state.slot, seal(&pack(&self.state))));
    }

    /// Takes a whole state, if it is newer.
    pub fn jump(&mut self, state: State) -> bool {
        if state.slot <= self.state.slot {
            return false;
        }
        self.state.install(state);
        self.recent.clear();
        self.recent_bytes = 0;
        self.anchors.borrow_mut().clear();
        true
    }

    /// What this board lacks, with room for as much as an answer may hold.
    pub fn want(&self) -> Want {
        let wanted = |g: &&Gathering| {
            let label = g.have().label;
            label.slot == self.state.slot + 1 || (label.whole && label.slot > self.state.slot)
        };
        let have = self.gathering.as_ref().filter(wanted).map(Gathering::have);
        Want { slot: self.state.slot, have, room: PART as u32 }
    }

    /// The sealed operations after a slot, if all of them are kept. Who has nothing yet lacks what the first slot builds on, too.
    fn after(&self, slot: u64) -> Option<impl Iterator<Item = &Parcel>> {
        let lacks = usize::try_from(self.state.slot.saturating_sub(slot)).ok()?;
        (slot > 0 && lacks <= self.recent.len()).then(|| self.recent.iter().skip(self.recent.len() - lacks))
    }

    /// The operations after a slot, each sealed, if all of them are kept.
    pub fn sealed_after(&self, slot: u64) -> Option<Vec<ByteBuf>> {
        self.after(slot).map(|ops| ops.map(Parcel::sealed).collect())
    }

    /// What leads to this state, or the next piece of it: no more than there is room for.
    pub fn steps(&self, want: &Want) -> Steps {
        if want.slot >= self.state.slot {
            return Steps::Ops(Vec::new());
        }
        if let Some(label) = want.have.map(|h| h.label).filter(|l| l.whole && l.slot > want.slot) {
            // What was begun is ended, if it is still told here, and leads on.
            let begun = self.anchors.borrow().iter().find(|a| a.label == label).map(|a| a.part(want));
            if let Some(part) = begun.filter(|_| self.after(label.slot).is_some()) {
                return Steps::Part(part);
            }
        }
        let bytes = self.after(want.slot).map(|ops| ops.map(Parcel::size).sum::<usize>());
        if bytes.is_none_or(|bytes| bytes > OPS_CHEAP) {
            if let Some(part) = self.whole(want, bytes) {
                return Steps::Part(part);
            }
        }
        let mut fit = Vec::new();
        let mut room = want.bytes();
        for op in self.after(want.slot).into_iter().flatten() {
            if op.size() > room {
                if fit.is_empty() {
                    return Steps::Part(op.part(want));
                }
                break;
            }
            room -= op.size();
            fit.push(op.sealed());
        }
        Steps::Ops(fit)
    }

    /// The next part of a whole state, unless the operations, if all are kept, are less.
    fn whole(&self, want: &Want, ops: Option<usize>) -> Option<Part> {
        let led = |slot: u64| self.after(slot).map(|ops| ops.map(Parcel::size).sum::<usize>());
        let newest = || {
            let anchors = self.anchors.borrow();
            let newest = anchors.back().filter(|a| a.label.slot > want.slot)?;
            // What follows an old one may be more than a new one would be.
            let more = led(newest.label.slot).filter(|more| *more <= newest.size() + OPS_CHEAP)?;
            Some((newest.size() + more, newest.part(want)))
        };
        let (size, part) = newest().or_else(|| {
            self.anchor();
            newest()
        })?;
        ops.is_none_or(|ops| size < ops).then_some(part)
    }

    /// Takes steps that were asked for when this board's slot was `from`. True if the state changed.
    pub fn walk(&mut self, from: u64, steps: Steps) -> bool {
        let before = self.state.slot;
        match steps {
            Steps::Ops(ops) => {
                let known = usize::try_from(before.saturating_sub(from)).unwrap_or(usize::MAX);
                for op in ops.into_iter().skip(known) {
                    if !self.step_sealed(op.into_vec()) {
                        break;
                    }
                }
            }
            Steps::Part(part) => {
                if let Gathered::Whole(label, sealed) = Gathering::take(&mut self.gathering, part) {
                    if label.whole {
                        if let Some(state) = unseal(&sealed).and_then(|raw| unpack::<State>(&raw)) {
                            if state.slot == label.slot && self.jump(state) {
                                // It is told on as it came.
                                self.anchors.borrow_mut().push_back(Parcel::new(true, label.slot, sealed));
                            }
                        }
                    } else if label.slot == before + 1 {
                        self.step_sealed(sealed);
                    }
                }
            }
            Steps::Elsewhere(_) => {}
        }
        self.settle();
        self.state.slot > before
    }

    /// Whoever was sure of a slot that is reached now makes this board as sure.
    fn settle(&mut self) {
        let slot = self.state.slot;
        let reached = self.owed.iter().filter(|(s, _)| *s <= slot).map(|(_, sure)| *sure);
        self.sure = reached.max().unwrap_or(0).max(self.sure);
        self.owed.retain(|(s, _)| *s > slot);
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
            || poll.want.slot < self.state.slot
            || poll.servers != self.watch.revision
            || poll.members != self.members_change
    }

    /// Whether this process was sure of its state lately.
    pub fn is_sure(&self, now: Micros) -> bool {
        self.sure > 0 && now.saturating_sub(self.sure) <= UNSURE
    }

    /// Until when a poll that came at `came` is held while there is no news: a teller that ceases to be sure says so at once.
    pub fn hold_until(&self, came: Micros, poll: &Poll, most: Micros) -> Micros {
        let ceases = if self.sure > 0 { self.sure + UNSURE } else { 0 };
        (came + poll.wait.min(most)).min(ceases)
    }

    /// Answers a poll that was held for so long.
    pub fn feed(&self, now: Micros, poll: &Poll, held: Micros) -> Feed {
        let (known, sure) = (poll.epoch == self.epoch, self.is_sure(now));
        let since = if known { poll.servers } else { 0 };
        // A full list is for those who believe it.
        let telling = sure || since > 0;
        Feed {
            held,
            age: (self.sure > 0).then(|| now.saturating_sub(self.sure)),
            slot: self.state.slot,
            steps: self.briefly(&poll.want),
            epoch: self.epoch,
            change: if telling { self.watch.revision } else { 0 },
            servers: if !telling || (known && since == self.watch.revision) {
                Vec::new()
            } else {
                self.watch.changed_since(now, since)
            },
            full: telling && since == 0,
            holders: self.holders.to_vec(),
            members_change: self.members_change,
            members: (!known || poll.members != self.members_change).then(|| self.members.clone()),
        }
    }

    /// The steps of a poll's answer.
    fn briefly(&self, want: &Want) -> Steps {
        if !self.relay {
            return self.steps(want);
        }
        let most = Want { room: want.bytes().min(RELAY_ROOM) as u32, have: None, ..*want };
        match self.after(want.slot).map(|mut ops| ops.next().map_or(0, Parcel::size)) {
            Some(first) if first <= most.bytes() => match self.steps(&most) {
                Steps::Part(_) => Steps::Elsewhere(self.state.slot),
                few => few,
            },
            _ => Steps::Elsewhere(self.state.slot),
        }
    }

    /// What a feed's word of members, holders and ends of servers is worth, to a poll that was sent at `asked`.
    pub fn trust(&self, asked: Micros, feed: &Feed) -> Trust {
        match feed.age {
            Some(age) if age <= UNSURE => {
                // The teller was sure `age` before it answered, which was no sooner than `held` after the poll was sent.
                if (asked + feed.held).saturating_sub(age) >= self.told.max(self.sure) {
                    Trust::Current
                } else {
                    Trust::Older
                }
            }
            _ => Trust::Unsure,
        }
    }

    /// Takes the answer to a poll that was sent at `asked`, with the slot `slot`.
    pub fn take(&mut self, now: Micros, asked: Micros, slot: u64, feed: Feed) -> Changed {
        let trust = self.trust(asked, &feed);
        let mut changed = Changed { state: self.walk(slot, feed.steps), ..Changed::default() };
        let before = self.watch.revision;
        for report in &feed.servers {
            self.watch.observe(now, report);
        }
        if feed.full && trust != Trust::Unsure {
            // Who is not told of may be gone, or the teller may be new itself.
            let told: BTreeSet<&str> = feed.servers.iter().map(|r| r.id.as_str()).collect();
            self.watch.mark_unlisted(|id| !told.contains(id));
        }
        changed.servers = self.watch.revision != before;
        if trust == Trust::Current {
            if let Some(members) = feed.members {
                changed.members |= self.set_members(members);
            }
            let mut holders = [Holder::default(); SHARDS];
            holders.iter_mut().zip(feed.holders).for_each(|(to, from)| *to = from);
            changed.members |= holders != self.holders;
            self.holders = holders;
        }
        // The teller was sure of its own slot: this board is once it has come so far, be it by later answers.
        if let Some(age) = feed.age {
            let sure = (asked + feed.held).saturating_sub(age);
            if trust == Trust::Current {
                self.told = self.told.max(sure);
            }
            if self.owed.len() >= OWED_MOST {
                self.owed.pop_front();
            }
            self.owed.push_back((feed.slot, sure));
            self.settle();
        }
        changed
    }
}
