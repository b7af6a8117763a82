//! The end of a connection that answers.

use crate::assembly::{Assembly, Came};
use crate::body::Body;
use crate::piece::FrameError;
use crate::queue::{Full, Outgoing};
use crate::CALLS_MOST;
use bytes::BytesMut;
use std::collections::HashMap;

/// The calls that came on one connection and are being answered.
///
/// Each call that [`Answerer::take`] gives out ends with one [`Answerer::answer`] or [`Answerer::refuse`].
#[derive(Default)]
pub struct Answerer {
    /// Calls being answered; true as long as their caller waits.
    under_way: HashMap<u32, bool>,
    assembly: Assembly,
    out: Outgoing,
}

impl Answerer {
    /// Takes the next call from the front of what came. Too many at once are refused one by one.
    pub fn take(&mut self, from: &mut BytesMut) -> Result<Option<(u32, Body)>, FrameError> {
        loop {
            match self.assembly.take(from, |_| true)? {
                None => return Ok(None),
                Some(Came::Frame(number, body)) => {
                    if self.under_way.contains_key(&number) {
                        return Err(FrameError::Order);
                    }
                    if self.under_way.len() < CALLS_MOST {
                        self.under_way.insert(number, true);
                        return Ok(Some((number, body)));
                    }
                    self.out.push_gone(number);
                }
                Some(Came::Gone(number)) => {
                    if let Some(waits) = self.under_way.get_mut(&number) {
                        *waits = false;
                    }
                    self.out.drop(number);
                    // Said back: the caller learns that this side lives.
                    self.out.push_gone(number);
                }
                Some(Came::Part(_) | Came::Late(_)) => {}
            }
        }
    }

    /// The caller of a number still waits.
    pub fn wanted(&self, number: u32) -> bool {
        self.under_way.get(&number).is_some_and(|waits| *waits)
    }

    /// Answers a call. Nothing is sent if its caller has gone; it is refused if too much waits to be sent.
    pub fn answer(&mut self, number: u32, body: Body) -> Result<(), Full> {
        if self.under_way.remove(&number) != Some(true) {
            return Ok(());
        }
        self.out.push(number, body).inspect_err(|_| self.out.push_gone(number))
    }

    /// Lets a call go without an answer.
    pub fn refuse(&mut self, number: u32) {
        if self.under_way.remove(&number) == Some(true) {
            self.out.push_gone(number);
        }
    }

    /// Appends what goes next; false if nothing waits.
    pub fn write(&mut self, to: &mut Vec<u8>) -> bool {
        self.out.write(to).is_some()
    }

    /// Calls being answered.
    pub fn under_way(&self) -> usize {
        self.under_way.len()
    }

    /// Bytes of answers that wait to be sent.
    pub fn queued(&self) -> usize {
        self.out.bytes()
    }
}
