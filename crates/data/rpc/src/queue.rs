//! What waits to be written to a connection, and what of it goes next.

use crate::body::Body;
use crate::piece::{Head, Kind, PIECE};
use std::collections::VecDeque;
use std::fmt;

/// Bytes of frames longer than a piece that wait on one connection, at most. One such frame alone may be longer.
pub const QUEUE_MOST: usize = 16 * 1024 * 1024;
/// Bytes of shorter frames that wait beside them, at most.
pub const SHORTS_MOST: usize = 1024 * 1024;
/// Frames that are sent in turns, at most; others wait until one of them is through.
pub const OPEN_MOST: usize = 8;
/// Words that numbers are given up that wait, at most.
const GONE_MOST: usize = 1_024;

/// Too much waits to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too much waits to be written")
    }
}

impl std::error::Error for Full {}

struct Long {
    number: u32,
    body: Body,
    sent: usize,
}

/// Frames that wait to be written.
///
/// A frame that fits in a piece goes ahead of longer ones, but after each [`PIECE`] of such frames one piece of a longer one
/// goes. Longer ones take turns. Words that numbers are given up go ahead of all: the other side has let go of what they hold
/// by the time more is begun.
#[derive(Default)]
pub struct Outgoing {
    gone: VecDeque<u32>,
    short: VecDeque<(u32, Body)>,
    long: VecDeque<Long>,
    short_bytes: usize,
    long_bytes: usize,
    /// The last turn was of short ones.
    shorts_went: bool,
}

/// What a turn of writing carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wrote {
    /// Whole short frames.
    Shorts,
    /// A piece of a longer frame: its number.
    Part(u32),
}

/// What was let go of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dropped {
    /// Nothing of it had been sent.
    Unsent,
    /// Its beginning has been sent, and nothing else of it will be.
    Begun,
    /// It does not wait: it has been sent, or never was here.
    Nothing,
}

impl Outgoing {
    /// Takes a frame, or refuses it when too much waits.
    pub fn push(&mut self, number: u32, body: Body) -> Result<(), Full> {
        if body.len() <= PIECE {
            if self.short_bytes + body.len() > SHORTS_MOST {
                return Err(Full);
            }
            self.short_bytes += body.len();
            self.short.push_back((number, body));
        } else {
            if self.long_bytes > 0 && self.long_bytes + body.len() > QUEUE_MOST {
                return Err(Full);
            }
            self.long_bytes += body.len();
            self.long.push_back(Long { number, body, sent: 0 });
        }
        Ok(())
    }

    /// Says that nothing more of a number comes.
    pub fn push_gone(&mut self, number: u32) {
        if self.gone.len() < GONE_MOST {
            self.gone.push_back(number);
        }
    }

    /// Lets go of a frame.
    pub fn drop(&mut self, number: u32) -> Dropped {
        if let Some((_, body)) =
            self.short.iter().position(|(n, _)| *n == number).and_then(|at| self.short.remove(at))
        {
            self.short_bytes -= body.len();
            return Dropped::Unsent;
        }
        let at = self.long.iter().position(|l| l.number == number);
        match at.and_then(|at| self.long.remove(at)) {
            Some(long) => {
                self.long_bytes -= long.body.len();
                if long.sent > 0 {
                    Dropped::Begun
                } else {
                    Dropped::Unsent
                }
            }
            None => Dropped::Nothing,
        }
    }

    /// Bytes that wait; a frame counts whole until its last byte has gone.
    pub fn bytes(&self) -> usize {
        self.short_bytes + self.long_bytes
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.gone.is_empty() && self.short.is_empty() && self.long.is_empty()
    }

    /// Appends what goes next, some [`PIECE`] bytes at most; nothing if nothing waits.
    pub fn write(&mut self, to: &mut Vec<u8>) -> Option<Wrote> {
        let gone = !self.gone.is_empty();
        for number in self.gone.drain(..) {
            Head { kind: Kind::Gone, number }.write(to, &[]);
        }
        if self.short.is_empty() || (self.shorts_went && !self.long.is_empty()) {
            self.shorts_went = false;
            return self.write_part(to).map(Wrote::Part).or(gone.then_some(Wrote::Shorts));
        }
        self.shorts_went = true;
        let mut room = PIECE;
        while self.short.front().is_some_and(|(_, body)| body.len() <= room) {
            let Some((number, body)) = self.short.pop_front() else { break };
            room -= body.len();
            self.short_bytes -= body.len();
            Head { kind: Kind::Whole(body.unpacked()), number }.write(to, body.bytes());
        }
        Some(Wrote::Shorts)
    }

    fn write_part(&mut self, to: &mut Vec<u8>) -> Option<u32> {
        let mut long = self.long.pop_front()?;
        let number = long.number;
        let all = long.body.bytes();
        let end = (long.sent + PIECE).min(all.len());
        let kind = match (long.sent, end == all.len()) {
            (0, _) => Kind::Begin(all.len() as u32, long.body.unpacked()),
            (_, false) => Kind::Middle,
            (_, true) => Kind::End,
        };
        Head { kind, number }.write(to, &all[long.sent..end]);
        long.sent = end;
        if kind == Kind::End {
            self.long_bytes -= long.body.len();
        } else {
            // Those that have begun take turns, in front of those that wait for theirs.
            let behind = self.long.len().min(OPEN_MOST - 1);
            self.long.insert(behind, long);
        }
        Some(number)
    }
}
