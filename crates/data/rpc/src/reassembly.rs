//! Chunks put together again, within bounds.

use crate::body::Body;
use crate::chunk::{ChunkHeader, ChunkKind, FrameError, MAX_FRAME_BYTES};
use crate::send_queue::MAX_INTERLEAVED_FRAMES;
use bytes::BytesMut;
use std::collections::HashMap;

/// What came.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A complete frame.
    Frame(u32, Body),
    /// A chunk of a frame that is awaited.
    Partial(u32),
    /// Nothing more of this number will come.
    Cancelled(u32),
    /// A chunk of a frame that nobody awaits any more; it is discarded.
    Stale(u32),
}

struct PartialFrame {
    bytes: Vec<u8>,
    length: usize,
    uncompressed: Option<u32>,
}

/// Frames that have begun to come on a connection.
///
/// What a sender has in transit is one frame of [`MAX_FRAME_BYTES`] at most, or several of [`crate::MAX_QUEUED_BYTES`] together,
/// [`MAX_INTERLEAVED_FRAMES`] at once. More than that is refused.
#[derive(Default)]
pub struct Reassembly {
    partial: HashMap<u32, PartialFrame>,
}

impl Reassembly {
    /// Takes the next chunk from the front of the bytes received, if it is complete. A number is awaited if `is_awaited` says so when
    /// its first chunk comes.
    ///
    /// # Errors
    /// The bytes break the protocol: the connection is to be closed.
    pub fn next(
        &mut self,
        from: &mut BytesMut,
        is_awaited: impl FnOnce(u32) -> bool,
    ) -> Result<Option<Incoming>, FrameError> {
        let Some((ChunkHeader { kind, number }, content)) = ChunkHeader::read(from)? else { return Ok(None) };
        let incoming = match kind {
            ChunkKind::Single(_) | ChunkKind::First(..) if self.partial.contains_key(&number) => {
                return Err(FrameError::Sequence);
            }
            ChunkKind::Single(uncompressed) => {
                Incoming::Frame(number, Body::received(content.to_vec(), uncompressed))
            }
            ChunkKind::First(..) if !is_awaited(number) => Incoming::Stale(number),
            ChunkKind::First(length, uncompressed) => {
                self.begin(number, length as usize, uncompressed)?;
                self.append(number, &content)?;
                Incoming::Partial(number)
            }
            ChunkKind::Middle if self.append(number, &content)? => Incoming::Partial(number),
            ChunkKind::Last if self.append(number, &content)? => self.complete(number)?,
            ChunkKind::Middle | ChunkKind::Last => Incoming::Stale(number),
            ChunkKind::Cancel => {
                self.forget(number);
                Incoming::Cancelled(number)
            }
        };
        Ok(Some(incoming))
    }

    fn begin(&mut self, number: u32, length: usize, uncompressed: Option<u32>) -> Result<(), FrameError> {
        let announced: usize = self.partial.values().map(|frame| frame.length).sum();
        if self.partial.len() >= MAX_INTERLEAVED_FRAMES || announced + length > MAX_FRAME_BYTES {
            return Err(FrameError::TooManyFrames);
        }
        self.partial.insert(number, PartialFrame { bytes: Vec::new(), length, uncompressed });
        Ok(())
    }

    /// Appends a chunk; false if nobody awaits it.
    fn append(&mut self, number: u32, content: &[u8]) -> Result<bool, FrameError> {
        let Some(frame) = self.partial.get_mut(&number) else { return Ok(false) };
        if frame.bytes.len() + content.len() > frame.length {
            return Err(FrameError::Sequence);
        }
        // In steps, and never past the end: memory follows what came, not what was announced.
        if frame.bytes.capacity() < frame.bytes.len() + content.len() {
            let step = content.len().max(frame.bytes.len() / 2);
            frame.bytes.reserve_exact(step.min(frame.length - frame.bytes.len()));
        }
        frame.bytes.extend_from_slice(content);
        Ok(true)
    }

    fn complete(&mut self, number: u32) -> Result<Incoming, FrameError> {
        match self.partial.remove(&number) {
            Some(frame) if frame.bytes.len() == frame.length => {
                Ok(Incoming::Frame(number, Body::received(frame.bytes, frame.uncompressed)))
            }
            _ => Err(FrameError::Sequence),
        }
    }

    /// Discards what came of a number, and its later chunks.
    pub fn forget(&mut self, number: u32) {
        self.partial.remove(&number);
    }

    /// Number of frames begun, and their bytes so far.
    pub fn partial_frames(&self) -> (usize, usize) {
        (self.partial.len(), self.partial.values().map(|frame| frame.bytes.len()).sum())
    }
}
