//! What limiters tell each other in trouble: one datagram of at most 256 bytes each.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | kind, [`KIND`] |
//! | 1 | flags: 1 the sender spends credit; 2 it holds the receiver to spend credit; 4 it wants an answer; 8 it spends credit, or has of late |
//! | 1 | round: the sender's trouble, counted from its start on |
//! | 1 | the receiver's round that flag 2 is about |
//! | 1 | limiters whose share the sender leaves them, and has leased since |
//! | 1 | floor: what no customer beyond those listed has used more of, as below |
//! | 4 | when it was sent: milliseconds, the lowest 32 bits |
//! | 6 each | customer (lowest 32 bits of its key), window (lowest 8 bits), part of its budget used, in 1/255, rounded up |

use crate::Micros;

/// First byte of a word; others belong to other messages.
pub const KIND: u8 = 4;
/// Entries at most: 250 bytes in all.
pub const MAX_ENTRIES: usize = 40;
const HEAD: usize = 10;
const ENTRY: usize = 6;

/// What one customer has used of one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The lowest bits of its key: two that share them are both held to have used the larger part.
    pub key: u32,
    /// The lowest bits of the window's number.
    pub window: u8,
    /// Part used, in 1/255 and rounded up.
    pub part: u8,
}

/// What one limiter tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Word {
    /// The sender spends credit.
    pub out: bool,
    /// The receiver's round in which the sender holds it to spend credit.
    pub noted: Option<u8>,
    /// The sender has yet to hear that the receiver holds it to spend credit, or has just started.
    pub wants: bool,
    /// The sender spends credit, or has so lately that a window of then may be open.
    pub recent: bool,
    /// The sender's round.
    pub round: u8,
    /// Limiters whose share the sender leaves them, and has leased since.
    pub held: u8,
    /// Part that no customer which is not listed has used more of.
    pub floor: u8,
    /// When it was sent, in milliseconds, lowest bits.
    pub sent: u32,
    /// Those who have used most.
    pub entries: Vec<Entry>,
}

/// A part of a budget, rounded up: what is told is never less than what was used.
pub fn part(used: f64, budget: f64) -> u8 {
    (used / budget.max(f64::MIN_POSITIVE) * 255.0).ceil().clamp(0.0, 255.0) as u8
}

/// The lowest bits of a time in milliseconds.
pub fn stamp(now: Micros) -> u32 {
    (now / 1_000) as u32
}

impl Word {
    /// Lists those of `all` who have used most, and states what the others stay below.
    pub fn list(&mut self, mut all: Vec<Entry>) {
        all.sort_unstable_by_key(|e| (std::cmp::Reverse(e.part), e.key, e.window));
        self.floor = all.get(MAX_ENTRIES).map_or(0, |e| e.part);
        all.truncate(MAX_ENTRIES);
        self.entries = all;
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let flags = u8::from(self.out)
            | u8::from(self.noted.is_some()) << 1
            | u8::from(self.wants) << 2
            | u8::from(self.recent) << 3;
        let mut bytes = vec![KIND, flags, self.round, self.noted.unwrap_or(0), self.held, self.floor];
        bytes.extend(self.sent.to_le_bytes());
        for entry in self.entries.iter().take(MAX_ENTRIES) {
            bytes.extend(entry.key.to_le_bytes());
            bytes.extend([entry.window, entry.part]);
        }
        bytes
    }

    /// Reads a word; nothing where the bytes are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (head, rest) = bytes.split_at_checked(HEAD)?;
        let [KIND, flags @ 0..=15, round, noted, held, floor, sent @ ..] = head else { return None };
        if rest.len() % ENTRY != 0 || rest.len() / ENTRY > MAX_ENTRIES {
            return None;
        }
        let has_noted = flags & 2 != 0;
        if !has_noted && *noted != 0 {
            return None;
        }
        let entry =
            |e: &[u8]| Entry { key: u32::from_le_bytes([e[0], e[1], e[2], e[3]]), window: e[4], part: e[5] };
        Some(Word {
            out: flags & 1 != 0,
            noted: has_noted.then_some(*noted),
            wants: flags & 4 != 0,
            recent: flags & 8 != 0,
            round: *round,
            held: *held,
            floor: *floor,
            sent: u32::from_le_bytes(sent.try_into().ok()?),
            entries: rest.chunks_exact(ENTRY).map(entry).collect(),
        })
    }
}
