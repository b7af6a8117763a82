//! The end of a connection that asks.

use crate::assembly::{Assembly, Came};
use crate::body::Body;
use crate::piece::FrameError;
use crate::queue::{Dropped, Full, Outgoing, Wrote};
use crate::{Micros, CALLS_MOST};
use bytes::BytesMut;
use std::collections::HashMap;

/// A connection on which something is awaited and nothing comes for so long is dead.
pub const DEAD: Micros = 3_000_000;
/// A late call casts doubt on its connection only if nothing came for so long: some calls wait for less than it takes to
/// come and go.
pub const DOUBT: Micros = 200_000;

/// How long a call waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// It is late after so long without a step: a piece of the call that went out, or one of its answer that came.
    pub silence: Micros,
    /// It is late after so long in any case.
    pub most: Micros,
}

impl Patience {
    /// So long, steps or not.
    pub fn strict(wait: Micros) -> Self {
        Patience { silence: wait, most: wait }
    }
}

/// What a call that is given up tells of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sight {
    /// It carries what others wait for; just this call was late.
    Well,
    /// Nothing at all came while it waited. Cuts are silent: the next call goes over a new connection, and those that are
    /// under way on this one may still be answered.
    Doubtful,
    /// Nothing came for [`DEAD`].
    Dead,
}

/// What is told to a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum Told {
    /// Its answer.
    Answer(u32, Body),
    /// No answer will come: too much is under way there, or the call cannot be read there.
    Refused(u32),
}

#[derive(Debug)]
struct Wait {
    asked: Micros,
    stepped: Micros,
    patience: Patience,
}

impl Wait {
    fn deadline(&self) -> Micros {
        (self.stepped + self.patience.silence).min(self.asked + self.patience.most)
    }
}

/// The calls under way on one connection. It lives as long as the connection, so an answer that comes on another one is
/// never taken for that of a call on this one.
#[derive(Default)]
pub struct Caller {
    waits: HashMap<u32, Wait>,
    assembly: Assembly,
    out: Outgoing,
    /// When something came last.
    heard: Micros,
    /// Something is awaited, and nothing came since.
    quiet: Option<Micros>,
    late: u64,
}

impl Caller {
    /// Asks. Numbers must not come again while an answer to them may still come.
    pub fn ask(&mut self, now: Micros, number: u32, body: Body, patience: Patience) -> Result<(), Full> {
        if self.waits.len() >= CALLS_MOST || self.waits.contains_key(&number) {
            return Err(Full);
        }
        self.out.push(number, body)?;
        self.waits.insert(number, Wait { asked: now, stepped: now, patience });
        Ok(())
    }

    /// Bytes came.
    pub fn heard(&mut self, now: Micros) {
        self.heard = now;
        self.quiet = (!self.waits.is_empty()).then_some(now);
    }

    /// Takes the next thing that is told to a caller from the front of what came.
    pub fn take(&mut self, now: Micros, from: &mut BytesMut) -> Result<Option<Told>, FrameError> {
        loop {
            let waits = &self.waits;
            match self.assembly.take(from, |number| waits.contains_key(&number))? {
                None => return Ok(None),
                Some(Came::Frame(number, body)) => {
                    if self.ends(number).is_some() {
                        return Ok(Some(Told::Answer(number, body)));
                    }
                    self.late += 1;
                }
                Some(Came::Gone(number)) => {
                    if self.ends(number).is_some() {
                        return Ok(Some(Told::Refused(number)));
                    }
                }
                Some(Came::Part(number)) => self.step(now, number),
                Some(Came::Late(_)) => self.late += 1,
            }
        }
    }

    /// A call's wait is over.
    fn ends(&mut self, number: u32) -> Option<Wait> {
        let wait = self.waits.remove(&number)?;
        if self.waits.is_empty() {
            // A rest is no silence.
            self.quiet = None;
        }
        Some(wait)
    }

    fn step(&mut self, now: Micros, number: u32) {
        if let Some(wait) = self.waits.get_mut(&number) {
            wait.stepped = now;
        }
    }

    /// Appends what goes next; false if nothing waits. The last of it has gone when this is asked again.
    pub fn write(&mut self, now: Micros, to: &mut Vec<u8>) -> bool {
        match self.out.write(to) {
            None => return false,
            Some(Wrote::Shorts) => {
                self.quiet.get_or_insert(now);
            }
            // Whoever takes so much is not silent: a cut connection takes no more than the system holds ready for it.
            Some(Wrote::Part(number)) => {
                self.step(now, number);
                self.quiet = Some(now);
            }
        }
        true
    }

    /// When a call is late, as it looks now; nothing if it does not wait.
    pub fn deadline(&self, number: u32) -> Option<Micros> {
        self.waits.get(&number).map(Wait::deadline)
    }

    /// A call is given up: just its own number ends. The other side is told, and need not answer.
    pub fn give_up(&mut self, now: Micros, number: u32) -> Sight {
        let since = self.quiet;
        let Some(wait) = self.ends(number) else { return Sight::Well };
        self.assembly.forget(number);
        if self.out.drop(number) != Dropped::Unsent {
            // This too is answered, so the silence goes on.
            self.out.push_gone(number);
            self.quiet = since;
        }
        let quiet = since.map_or(0, |since| now.saturating_sub(since));
        if quiet >= DEAD {
            Sight::Dead
        } else if quiet >= DOUBT && self.heard <= wait.asked {
            Sight::Doubtful
        } else {
            Sight::Well
        }
    }

    /// Calls that wait.
    pub fn under_way(&self) -> usize {
        self.waits.len()
    }

    /// Answers, and pieces of them, that came after their call was given up.
    pub fn late(&self) -> u64 {
        self.late
    }

    /// Frames that have begun to come, and their bytes so far.
    pub fn held(&self) -> (usize, usize) {
        self.assembly.held()
    }
}
