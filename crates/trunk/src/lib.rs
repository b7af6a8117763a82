//! Frames between processes of the system: a length of four bytes, a version, a number that an answer repeats, and CBOR.
//!
//! Free of I/O. A frame of another version, one that is too long and one that cannot be read are told apart; whoever reads
//! one ends the connection.
#![forbid(unsafe_code)]

use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;

/// Version of the frames; both sides must speak the same.
pub const VERSION: u8 = 1;
/// Longest frame, in bytes.
pub const FRAME_MOST: usize = 80 * 1024 * 1024;
/// Bytes ahead of the CBOR: length, version, number.
const AHEAD: usize = 4 + 1 + 4;
/// Deepest nesting that is read.
const DEEPEST: usize = 32;

/// Why a frame cannot be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than [`FRAME_MOST`], or shorter than its own head.
    Length,
    /// Of another version.
    Version(u8),
    /// Its CBOR cannot be read as what is expected.
    Content,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length => f.write_str("frame: length out of bounds"),
            FrameError::Version(v) => write!(f, "frame: version {v} is not spoken here"),
            FrameError::Content => f.write_str("frame: content cannot be read"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Appends a frame.
pub fn write(to: &mut Vec<u8>, number: u32, message: &impl Serialize) -> Result<(), FrameError> {
    let start = to.len();
    to.extend_from_slice(&[0; 4]);
    to.push(VERSION);
    to.extend_from_slice(&number.to_be_bytes());
    ciborium::into_writer(message, &mut *to).map_err(|_| FrameError::Content)?;
    let length = to.len() - start - 4;
    if length > FRAME_MOST {
        to.truncate(start);
        return Err(FrameError::Length);
    }
    to[start..start + 4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(())
}

/// Takes a whole frame from the front: its number and its message; nothing while it is not whole.
pub fn read<T: DeserializeOwned>(from: &mut BytesMut) -> Result<Option<(u32, T)>, FrameError> {
    let Some(head) = from.get(..4) else { return Ok(None) };
    let length = head.iter().fold(0usize, |n, b| n << 8 | usize::from(*b));
    if !(AHEAD - 4..=FRAME_MOST).contains(&length) {
        return Err(FrameError::Length);
    }
    // A version is refused before its frame is whole: what follows may be framed otherwise.
    if let Some(version) = from.get(4).filter(|v| **v != VERSION) {
        return Err(FrameError::Version(*version));
    }
    if from.len() < 4 + length {
        return Ok(None);
    }
    let frame = from.split_to(4 + length);
    let number = (&frame[5..AHEAD]).get_u32();
    let message = ciborium::de::from_reader_with_recursion_limit(&frame[AHEAD..], DEEPEST)
        .map_err(|_| FrameError::Content)?;
    Ok(Some((number, message)))
}
