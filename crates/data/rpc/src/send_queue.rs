//! What waits to be sent on a connection, and what of it is sent next.

use crate::body::Body;
use crate::chunk::{ChunkHeader, ChunkKind, MAX_CHUNK_BYTES};
use std::collections::VecDeque;
use std::fmt;

/// Upper bound on the bytes of frames longer than a chunk that wait on one connection. One such frame alone may be longer.
pub const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// Upper bound on the bytes of shorter frames that wait beside them.
pub const MAX_SHORT_BYTES: usize = 1024 * 1024;
/// Upper bound on the frames that are sent in turns; others wait until one of them is through.
pub const MAX_INTERLEAVED_FRAMES: usize = 8;
/// Upper bound on the cancellations that wait.
const MAX_CANCELLATIONS: usize = 1_024;

/// Too much waits to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too much waits to be sent")
    }
}

impl std::error::Error for QueueFull {}

struct LongFrame {
    number: u32,
    body: Body,
    sent: usize,
}

/// Frames that wait to be sent.
///
/// A frame that fits in a chunk goes ahead of longer ones, but after each [`MAX_CHUNK_BYTES`] of such frames one chunk of a longer
/// one goes. Longer ones take turns. Cancellations go ahead of all: the other side has freed what they hold by the time more is
/// begun.
#[derive(Default)]
pub struct SendQueue {
    cancellations: VecDeque<u32>,
    short: VecDeque<(u32, Body)>,
    long: VecDeque<LongFrame>,
    short_bytes: usize,
    long_bytes: usize,
    /// The last turn was of short frames.
    short_went_last: bool,
}

/// What was sent in one turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// Complete short frames, or cancellations.
    ShortFrames,
    /// A chunk of a longer frame: its number.
    Chunk(u32),
}

/// What was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removed {
    /// Nothing of it had been sent.
    Unsent,
    /// Its beginning has been sent, and nothing else of it will be.
    PartlySent,
    /// It was not queued: it has been sent, or never was here.
    NotQueued,
}

impl SendQueue {
    /// Queues a frame.
    ///
    /// # Errors
    /// Too much waits.
    pub fn push(&mut self, number: u32, body: Body) -> Result<(), QueueFull> {
        if body.len() <= MAX_CHUNK_BYTES {
            if self.short_bytes + body.len() > MAX_SHORT_BYTES {
                return Err(QueueFull);
            }
            self.short_bytes += body.len();
            self.short.push_back((number, body));
        } else {
            if self.long_bytes > 0 && self.long_bytes + body.len() > MAX_QUEUED_BYTES {
                return Err(QueueFull);
            }
            self.long_bytes += body.len();
            self.long.push_back(LongFrame { number, body, sent: 0 });
        }
        Ok(())
    }

    /// Queues a cancellation: nothing more of this number comes.
    pub fn push_cancellation(&mut self, number: u32) {
        if self.cancellations.len() < MAX_CANCELLATIONS {
            self.cancellations.push_back(number);
        }
    }

    /// Removes a frame.
    pub fn remove(&mut self, number: u32) -> Removed {
        if let Some((_, body)) =
            self.short.iter().position(|(n, _)| *n == number).and_then(|at| self.short.remove(at))
        {
            self.short_bytes -= body.len();
            return Removed::Unsent;
        }
        let at = self.long.iter().position(|l| l.number == number);
        match at.and_then(|at| self.long.remove(at)) {
            Some(long) => {
                self.long_bytes -= long.body.len();
                if long.sent > 0 {
                    Removed::PartlySent
                } else {
                    Removed::Unsent
                }
            }
            None => Removed::NotQueued,
        }
    }

    /// Bytes that wait; a frame counts in full until its last byte is sent.
    pub fn bytes(&self) -> usize {
        self.short_bytes + self.long_bytes
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.cancellations.is_empty() && self.short.is_empty() && self.long.is_empty()
    }

    /// Appends what is to be sent next, some [`MAX_CHUNK_BYTES`] at most; nothing if nothing waits.
    pub fn write_next(&mut self, to: &mut Vec<u8>) -> Option<Written> {
        let cancelled = !self.cancellations.is_empty();
        for number in self.cancellations.drain(..) {
            ChunkHeader { kind: ChunkKind::Cancel, number }.write(to, &[]);
        }
        if self.short.is_empty() || (self.short_went_last && !self.long.is_empty()) {
            self.short_went_last = false;
            return self.write_chunk(to).map(Written::Chunk).or(cancelled.then_some(Written::ShortFrames));
        }
        self.short_went_last = true;
        let mut room = MAX_CHUNK_BYTES;
        while self.short.front().is_some_and(|(_, body)| body.len() <= room) {
            let Some((number, body)) = self.short.pop_front() else { break };
            room -= body.len();
            self.short_bytes -= body.len();
            ChunkHeader { kind: ChunkKind::Single(body.uncompressed()), number }.write(to, body.bytes());
        }
        Some(Written::ShortFrames)
    }

    fn write_chunk(&mut self, to: &mut Vec<u8>) -> Option<u32> {
        let mut long = self.long.pop_front()?;
        let number = long.number;
        let all = long.body.bytes();
        let end = (long.sent + MAX_CHUNK_BYTES).min(all.len());
        let kind = match (long.sent, end == all.len()) {
            (0, _) => ChunkKind::First(all.len() as u32, long.body.uncompressed()),
            (_, false) => ChunkKind::Middle,
            (_, true) => ChunkKind::Last,
        };
        ChunkHeader { kind, number }.write(to, &all[long.sent..end]);
        long.sent = end;
        if kind == ChunkKind::Last {
            self.long_bytes -= long.body.len();
        } else {
            // Those that have begun take turns, in front of those that wait for theirs.
            let behind = self.long.len().min(MAX_INTERLEAVED_FRAMES - 1);
            self.long.insert(behind, long);
        }
        Some(number)
    }
}
