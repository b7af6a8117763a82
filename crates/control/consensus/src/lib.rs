//! Values agreed among the core machines, one a slot, without a standing leader.
//!
//! Each slot is one round of single-decree ballots: whoever has a value asks a majority for a promise, takes over what it
//! finds accepted, and has a majority accept it. Slots follow each other: slot `n + 1` opens on a machine once it has
//! applied slot `n`, so that each value is checked against the state that it changes, and the set of voters for a slot is
//! what the slots before it say.
//!
//! **Seats.** A voter is a [`Seat`]: a machine and the life of its disk. A machine that lost its disk comes back with a new
//! life: it holds no seat, its words count nowhere, and it is taken in again as a newcomer, by a value that a majority of the
//! seats chooses (the set of seats for slot `n + 1` is what slot `n` left). So no voter ever forgets: whatever a seat has
//! promised or accepted it still has, or the seat is dead for good.
//!
//! **Ballots** carry the life of the process that holds them. A process that ends before its own disk knew of its ballot
//! would else use the number again for another value.
//!
//! Free of I/O and clock. Nothing that [`Acceptor`] returns may leave the machine before its [`Acceptor::open`] is on
//! disk.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeSet;

/// A machine, by its IPv4 address as a number.
pub type Node = u32;
/// Place of a value in the sequence of all.
pub type Slot = u64;
/// One life of a machine's disk: 0 from the first start of the whole system, else drawn by chance when a disk is found empty.
pub type Life = u64;

/// A place among the voters: a machine, and the life of its disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(from = "AnySeat")]
pub struct Seat {
    /// The machine.
    #[serde(rename = "n")]
    pub node: Node,
    /// The life of its disk.
    #[serde(rename = "l")]
    pub life: Life,
}

/// A seat as it is written now, or by builds that knew machines only: their disks are of the first life.
#[derive(Deserialize)]
#[serde(untagged)]
enum AnySeat {
    Seat { n: Node, l: Life },
    Node(Node),
}

impl From<AnySeat> for Seat {
    fn from(any: AnySeat) -> Self {
        match any {
            AnySeat::Seat { n, l } => Seat { node: n, life: l },
            AnySeat::Node(node) => Seat { node, life: 0 },
        }
    }
}

/// A round of a ballot and who holds it; of two, the greater one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Grows with each try.
    pub round: u64,
    /// Who holds it.
    pub node: Node,
    /// The life of the holder's process: a new one may not know which numbers the last one used.
    #[serde(default)]
    pub boot: u64,
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
        /// The life of this voter's disk.
        life: Life,
        /// What it has accepted before.
        accepted: Option<(Ballot, ByteBuf)>,
    },
    /// It has accepted the value.
    Accepted {
        /// The life of this voter's disk.
        life: Life,
    },
    /// It has promised a higher ballot.
    Higher(Ballot),
    /// The slot is decided there; the last slot that it has applied.
    Decided(Slot),
    /// It has not applied what comes before the slot; the last slot that it has.
    Behind(Slot),
    /// It may not vote: it holds no seat, or its disk cannot be written.
    Abstains,
}

/// One machine's part in ballots.
#[derive(Debug, Clone, Default)]
pub struct Acceptor {
    /// Last slot whose value is applied here.
    pub applied: Slot,
    /// The slot after that.
    pub open: Open,
    /// The life of its disk.
    pub life: Life,
}

impl Acceptor {
    /// Why there is no vote on a slot, if there is none.
    fn bar(&self, slot: Slot) -> Option<Word> {
        if slot <= self.applied {
            Some(Word::Decided(self.applied))
        } else if slot > self.applied + 1 {
            Some(Word::Behind(self.applied))
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
        Word::Promise { life: self.life, accepted: self.open.accepted.clone() }
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
        Word::Accepted { life: self.life }
    }

    /// A slot is applied here: the next one opens.
    pub fn advance(&mut self, applied: Slot) {
        if applied > self.applied {
            self.applied = applied;
            self.open = Open::default();
        }
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
    voters: Vec<Seat>,
    own: ByteBuf,
    promises: BTreeSet<Node>,
    best: Option<(Ballot, ByteBuf)>,
    accepting: bool,
    accepts: BTreeSet<Node>,
}

impl Round {
    /// A ballot on `slot` for `value`, or whatever is found. An empty value only finishes what is found.
    pub fn new(slot: Slot, ballot: Ballot, voters: Vec<Seat>, value: ByteBuf) -> Self {
        Round {
            slot,
            ballot,
            voters,
            own: value,
            promises: BTreeSet::new(),
            best: None,
            accepting: false,
            accepts: BTreeSet::new(),
        }
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn seated(&self, node: Node, life: Life) -> bool {
        self.voters.contains(&Seat { node, life })
    }

    /// A voter's word has come. Words of machines and of lives that hold no seat count for nothing.
    pub fn hear(&mut self, from: Node, word: Word) -> Next {
        match word {
            Word::Promise { life, accepted } if !self.accepting && self.seated(from, life) => {
                self.promises.insert(from);
                if let Some(accepted) = accepted {
                    if self.best.as_ref().is_none_or(|b| b.0 < accepted.0) {
                        self.best = Some(accepted);
                    }
                }
                if self.promises.len() < self.majority() {
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
            Word::Accepted { life } if self.accepting && self.seated(from, life) => {
                self.accepts.insert(from);
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
