//! Values agreed among the core machines, one a slot, without a standing leader.
//!
//! Each slot is one round of single-decree ballots: whoever has a value asks a majority for a promise, takes over what it
//! finds accepted, and has a majority accept it. Slots follow each other: slot `n + 1` opens on a machine once it has
//! applied slot `n`, so that each value is checked against the state that it changes, and the set of voters for a slot is
//! what the slots before it say.
//!
//! **A machine without its disk.** With `n` voters of which `f` may lose their disks, a machine that starts with an empty
//! disk does not vote until it has read from `n - f` voters whose state is intact. Each of those notes its new
//! *incarnation* on disk before it answers, and tells it with each promise from then on; a promise of an earlier
//! incarnation is void as soon as one of a later incarnation is known to any voter of the same round. Any majority that
//! holds a promise of the lost disk holds an intact machine too, as at most `f - 1` others were lost and a majority has at
//! least `f + 1`: either that one promised before it was read, and the reader has learnt the ballot, or it reports the new
//! incarnation, and the old promise is void.
//!
//! Free of I/O and clock. Nothing that [`Acceptor`] returns may leave the machine before its [`Acceptor::open`] and
//! [`Acceptor::known`] are on disk.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

/// A machine, by its IPv4 address as a number.
pub type Node = u32;
/// Place of a value in the sequence of all.
pub type Slot = u64;
/// One life of a machine's disk; drawn by chance when a disk is found empty.
pub type Incarnation = u64;

/// A round of a ballot and who holds it; of two, the greater one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Grows with each try.
    pub round: u64,
    /// Who holds it.
    pub node: Node,
}

/// What a voter has promised and accepted for the slot that is open at it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Open {
    /// No lower ballot is accepted any more.
    pub promised: Ballot,
    /// The value accepted last, with its ballot.
    pub accepted: Option<(Ballot, ByteBuf)>,
}

/// A voter's word on a ballot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// It promises to accept nothing lower.
    Promise {
        /// This voter's incarnation.
        own: Incarnation,
        /// The incarnations that it knows of others.
        known: BTreeMap<Node, Incarnation>,
        /// What it has accepted before.
        accepted: Option<(Ballot, ByteBuf)>,
    },
    /// It has accepted the value.
    Accepted,
    /// It has promised a higher ballot.
    Higher(Ballot),
    /// The slot is decided there; the last slot that it has applied.
    Decided(Slot),
    /// It has not applied what comes before the slot; the last slot that it has.
    Behind(Slot),
    /// It may not vote: its disk was lost, or cannot be written.
    Abstains,
}

/// One machine's part in ballots.
#[derive(Debug, Clone, Default)]
pub struct Acceptor {
    /// Last slot whose value is applied here.
    pub applied: Slot,
    /// The slot after that.
    pub open: Open,
    /// This disk's life.
    pub own: Incarnation,
    /// The lives that others were found in, after they lost their disks.
    pub known: BTreeMap<Node, Incarnation>,
    /// Whether this machine may vote.
    pub votes: bool,
}

impl Acceptor {
    /// Why there is no vote on a slot, if there is none.
    fn bar(&self, slot: Slot) -> Option<Word> {
        if slot <= self.applied {
            Some(Word::Decided(self.applied))
        } else if slot > self.applied + 1 {
            Some(Word::Behind(self.applied))
        } else if !self.votes {
            Some(Word::Abstains)
        } else {
            None
        }
    }

    /// Is asked for a promise.
    pub fn prepare(&mut self, slot: Slot, ballot: Ballot) -> Word {
        if let Some(word) = self.bar(slot) {
            return word;
        }
        if ballot < self.open.promised {
            return Word::Higher(self.open.promised);
        }
        self.open.promised = ballot;
        Word::Promise { own: self.own, known: self.known.clone(), accepted: self.open.accepted.clone() }
    }

    /// Is asked to accept a value.
    pub fn accept(&mut self, slot: Slot, ballot: Ballot, value: ByteBuf) -> Word {
        if let Some(word) = self.bar(slot) {
            return word;
        }
        if ballot < self.open.promised {
            return Word::Higher(self.open.promised);
        }
        self.open = Open { promised: ballot, accepted: Some((ballot, value)) };
        Word::Accepted
    }

    /// A slot is applied here: the next one opens.
    pub fn advance(&mut self, applied: Slot) {
        if applied > self.applied {
            self.applied = applied;
            self.open = Open::default();
        }
    }

    /// A machine that lost its disk reads this one. False if this one cannot be read either.
    pub fn read_by(&mut self, node: Node, incarnation: Incarnation) -> bool {
        if self.votes {
            self.known.insert(node, incarnation);
        }
        self.votes
    }
}

/// What a machine that lost its disk was told by an intact one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Last slot applied there.
    pub applied: Slot,
    /// The slot after that.
    pub open: Open,
    /// The incarnations known there.
    pub known: BTreeMap<Node, Incarnation>,
}

/// Gathers what intact machines tell, until there are enough of them.
#[derive(Debug, Clone)]
pub struct Recovery {
    need: usize,
    told: BTreeMap<Node, Told>,
}

impl Recovery {
    /// For a set of `voters`, of which `losses` may lose their disks.
    pub fn new(voters: usize, losses: usize) -> Self {
        Recovery {
            need: voters.saturating_sub(losses).max(voters / 2 + 1).min(voters.max(2) - 1),
            told: BTreeMap::new(),
        }
    }

    /// An intact machine has told what it has.
    pub fn hear(&mut self, from: Node, told: Told) {
        self.told.insert(from, told);
    }

    /// The slot that has to be applied first, once enough have told: then [`Recovery::rejoin`].
    pub fn enough(&self) -> Option<Slot> {
        (self.told.len() >= self.need).then(|| self.told.values().map(|t| t.applied).max().unwrap_or(0))
    }

    /// Takes part again, with all that might have been promised and accepted here before.
    pub fn rejoin(&self, acceptor: &mut Acceptor) {
        for told in self.told.values() {
            for (node, incarnation) in &told.known {
                acceptor.known.entry(*node).or_insert(*incarnation);
            }
            if told.applied != acceptor.applied {
                continue;
            }
            acceptor.open.promised = acceptor.open.promised.max(told.open.promised);
            let newer = |a: &(Ballot, ByteBuf)| acceptor.open.accepted.as_ref().is_none_or(|b| b.0 < a.0);
            if let Some(accepted) = told.open.accepted.as_ref().filter(|a| newer(a)) {
                acceptor.open.accepted = Some(accepted.clone());
            }
        }
        acceptor.votes = true;
    }
}

/// What the holder of a ballot does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Waits for more words.
    Wait,
    /// Has this value accepted; it is not its own if `found`.
    Accept {
        /// The value.
        value: ByteBuf,
        /// It was found accepted by a voter.
        found: bool,
    },
    /// The value is chosen.
    Chosen,
    /// Another slot is in question: a voter has applied more than this machine.
    CatchUp(Slot),
    /// Lost against a higher ballot.
    Outbid(Ballot),
}

/// A ballot as its holder sees it.
#[derive(Debug, Clone)]
pub struct Round {
    /// The slot that it is about.
    pub slot: Slot,
    /// Its number.
    pub ballot: Ballot,
    voters: Vec<Node>,
    own: ByteBuf,
    promises: BTreeMap<Node, Incarnation>,
    known: BTreeMap<Node, Incarnation>,
    best: Option<(Ballot, ByteBuf)>,
    accepting: bool,
    accepts: Vec<Node>,
}

impl Round {
    /// A ballot on `slot` for `value`, or whatever is found. An empty value only finishes what is found.
    pub fn new(slot: Slot, ballot: Ballot, voters: Vec<Node>, value: ByteBuf) -> Self {
        Round {
            slot,
            ballot,
            voters,
            own: value,
            promises: BTreeMap::new(),
            known: BTreeMap::new(),
            best: None,
            accepting: false,
            accepts: Vec::new(),
        }
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// A voter's word has come.
    pub fn hear(&mut self, from: Node, word: Word) -> Next {
        if !self.voters.contains(&from) {
            return Next::Wait;
        }
        match word {
            Word::Promise { own, known, accepted } if !self.accepting => {
                for (node, incarnation) in known {
                    self.known.insert(node, incarnation);
                }
                self.promises.insert(from, own);
                if let Some(accepted) = accepted {
                    if self.best.as_ref().is_none_or(|b| b.0 < accepted.0) {
                        self.best = Some(accepted);
                    }
                }
                // A promise from before a lost disk is void: that machine may have forgotten it.
                let sound =
                    self.promises.iter().filter(|(n, i)| self.known.get(n).is_none_or(|k| k == *i)).count();
                if sound < self.majority() {
                    return Next::Wait;
                }
                let found = self.best.is_some();
                let value = self.best.take().map_or_else(|| self.own.clone(), |(_, value)| value);
                if value.is_empty() {
                    return Next::Chosen;
                }
                self.accepting = true;
                Next::Accept { value, found }
            }
            Word::Accepted if self.accepting => {
                if !self.accepts.contains(&from) {
                    self.accepts.push(from);
                }
                if self.accepts.len() >= self.majority() {
                    Next::Chosen
                } else {
                    Next::Wait
                }
            }
            Word::Higher(ballot) => Next::Outbid(ballot),
            Word::Decided(slot) => Next::CatchUp(slot),
            _ => Next::Wait,
        }
    }
}
