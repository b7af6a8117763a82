//! Pieces put together again, within bounds.

use crate::body::Body;
use crate::piece::{FrameError, Head, Kind, FRAME_MOST};
use crate::queue::OPEN_MOST;
use bytes::BytesMut;
use std::collections::HashMap;

/// What came.
#[derive(Debug, PartialEq, Eq)]
pub enum Came {
    /// A whole frame.
    Frame(u32, Body),
    /// A part of one that is wanted.
    Part(u32),
    /// Nothing more of this number will come.
    Gone(u32),
    /// A part of a frame that nobody wants any more; it is thrown away.
    Late(u32),
}

struct Begun {
    bytes: Vec<u8>,
    length: usize,
    unpacked: Option<u32>,
}

/// Frames that have begun to come on a connection.
///
/// What a sender of ours has under way is one frame of [`FRAME_MOST`] at most, or several of [`crate::QUEUE_MOST`] together,
/// [`OPEN_MOST`] at once. More than that is refused.
#[derive(Default)]
pub struct Assembly {
    begun: HashMap<u32, Begun>,
}

impl Assembly {
    /// Takes the next piece from the front of what was read, if it is whole. A number is wanted if `wanted` says so when its
    /// first piece comes.
    pub fn take(
        &mut self,
        from: &mut BytesMut,
        wanted: impl FnOnce(u32) -> bool,
    ) -> Result<Option<Came>, FrameError> {
        let Some((Head { kind, number }, part)) = Head::read(from)? else { return Ok(None) };
        let came = match kind {
            Kind::Whole(_) | Kind::Begin(..) if self.begun.contains_key(&number) => {
                return Err(FrameError::Order);
            }
            Kind::Whole(unpacked) => Came::Frame(number, Body::came(part.to_vec(), unpacked)),
            Kind::Begin(..) if !wanted(number) => Came::Late(number),
            Kind::Begin(length, unpacked) => {
                self.begin(number, length as usize, unpacked)?;
                self.add(number, &part)?;
                Came::Part(number)
            }
            Kind::Middle => {
                if self.add(number, &part)? {
                    Came::Part(number)
                } else {
                    Came::Late(number)
                }
            }
            Kind::End => {
                if !self.add(number, &part)? {
                    return Ok(Some(Came::Late(number)));
                }
                match self.begun.remove(&number) {
                    Some(whole) if whole.bytes.len() == whole.length => {
                        Came::Frame(number, Body::came(whole.bytes, whole.unpacked))
                    }
                    _ => return Err(FrameError::Order),
                }
            }
            Kind::Gone => {
                self.forget(number);
                Came::Gone(number)
            }
        };
        Ok(Some(came))
    }

    fn begin(&mut self, number: u32, length: usize, unpacked: Option<u32>) -> Result<(), FrameError> {
        let held: usize = self.begun.values().map(|b| b.length).sum();
        if self.begun.len() >= OPEN_MOST || held + length > FRAME_MOST {
            return Err(FrameError::Many);
        }
        self.begun.insert(number, Begun { bytes: Vec::new(), length, unpacked });
        Ok(())
    }

    /// Adds a part; false if nobody waits for it.
    fn add(&mut self, number: u32, part: &[u8]) -> Result<bool, FrameError> {
        let Some(begun) = self.begun.get_mut(&number) else { return Ok(false) };
        if begun.bytes.len() + part.len() > begun.length {
            return Err(FrameError::Order);
        }
        // In steps, and never past the end: memory follows what came, not what was announced.
        if begun.bytes.capacity() < begun.bytes.len() + part.len() {
            let step = part.len().max(begun.bytes.len() / 2);
            begun.bytes.reserve_exact(step.min(begun.length - begun.bytes.len()));
        }
        begun.bytes.extend_from_slice(part);
        Ok(true)
    }

    /// Lets go of what came of a number: its later pieces are thrown away.
    pub fn forget(&mut self, number: u32) {
        self.begun.remove(&number);
    }

    /// Frames begun, and their bytes so far.
    pub fn held(&self) -> (usize, usize) {
        (self.begun.len(), self.begun.values().map(|b| b.bytes.len()).sum())
    }
}
