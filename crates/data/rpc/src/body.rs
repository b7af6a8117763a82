//! Bodies of frames: CBOR, packed with LZ4 where that is worth it.
//!
//! Weighed on a configuration of 1,500 routes: `docs/design/calls.md`. LZ4 keeps no context between bodies and needs some
//! 16 KB while it packs.

use crate::piece::{FrameError, FRAME_MOST};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Bodies are packed from this length on, in bytes: a shorter one goes in a packet or two in any case.
pub const PACK_FROM: usize = 4 * 1024;
/// So much of the front of a body is tried first, in bytes: what is packed already does not shrink again.
const TRIED: usize = 4 * 1024;
/// Deepest nesting that is read.
const DEEPEST: usize = 32;

/// Packed, it is a fifth shorter at least.
fn worth(packed: usize, plain: usize) -> bool {
    packed <= plain - plain / 5
}

/// The body of a frame as it goes over a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Body {
    bytes: Vec<u8>,
    /// Its length once unpacked, if it is packed.
    unpacked: Option<u32>,
}

impl Body {
    /// Of a message. One that is longer than [`FRAME_MOST`] is an error.
    pub fn of(message: &impl Serialize) -> Result<Self, FrameError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).map_err(|_| FrameError::Content)?;
        if bytes.len() > FRAME_MOST {
            return Err(FrameError::Length);
        }
        if bytes.len() >= PACK_FROM && worth(lz4_flex::block::compress(&bytes[..TRIED]).len(), TRIED) {
            let packed = lz4_flex::block::compress(&bytes);
            if worth(packed.len(), bytes.len()) {
                return Ok(Body { unpacked: Some(bytes.len() as u32), bytes: packed });
            }
        }
        Ok(Body { bytes, unpacked: None })
    }

    /// As it came.
    pub(crate) fn came(bytes: Vec<u8>, unpacked: Option<u32>) -> Self {
        Body { bytes, unpacked }
    }

    /// As it goes.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(crate) fn unpacked(&self) -> Option<u32> {
        self.unpacked
    }

    /// Its length as it goes, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Nothing stands in it.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// It is packed.
    pub fn packed(&self) -> bool {
        self.unpacked.is_some()
    }

    /// Reads the message.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, FrameError> {
        let plain;
        let bytes = match self.unpacked {
            None => &self.bytes,
            Some(length) => {
                // LZ4 makes at most 255 bytes of one: a false length reserves no memory that the body could not fill.
                if length as usize > FRAME_MOST || length as usize / 255 > self.bytes.len() {
                    return Err(FrameError::Content);
                }
                plain = lz4_flex::block::decompress(&self.bytes, length as usize)
                    .map_err(|_| FrameError::Content)?;
                if plain.len() != length as usize {
                    return Err(FrameError::Content);
                }
                &plain
            }
        };
        ciborium::de::from_reader_with_recursion_limit(&bytes[..], DEEPEST).map_err(|_| FrameError::Content)
    }
}
