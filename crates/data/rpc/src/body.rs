//! Bodies of frames: CBOR, compressed with LZ4 where that is worth it.
//!
//! Measured on a configuration of 1,500 routes: `docs/design/calls.md`. LZ4 keeps no context between bodies and needs some 16 KB
//! while it compresses.

use crate::chunk::{FrameError, MAX_FRAME_BYTES};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Bodies are compressed from this length on, in bytes: a shorter one fits in a packet or two in any case.
pub const MIN_COMPRESSED_BYTES: usize = 4 * 1024;
/// So much of the front of a body is tried first, in bytes: what is compressed already does not shrink again.
const SAMPLE_BYTES: usize = 4 * 1024;
/// Deepest nesting that is decoded.
const MAX_DEPTH: usize = 32;
/// LZ4 makes at most so many bytes of one.
const MAX_EXPANSION: usize = 255;

/// Whether compression saves a fifth at least.
fn saves_enough(compressed: usize, plain: usize) -> bool {
    compressed <= plain - plain / 5
}

/// The body of a frame as it goes over a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Body {
    bytes: Vec<u8>,
    /// Its uncompressed length, if it is compressed.
    uncompressed: Option<u32>,
}

impl Body {
    /// Encodes a message.
    ///
    /// # Errors
    /// It cannot be encoded, or is longer than [`MAX_FRAME_BYTES`].
    pub fn encode(message: &impl Serialize) -> Result<Self, FrameError> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).map_err(|_| FrameError::Content)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Length);
        }
        if let Some(compressed) = compress(&bytes) {
            return Ok(Body { uncompressed: Some(bytes.len() as u32), bytes: compressed });
        }
        Ok(Body { bytes, uncompressed: None })
    }

    /// A body as it was received.
    pub(crate) fn received(bytes: Vec<u8>, uncompressed: Option<u32>) -> Self {
        Body { bytes, uncompressed }
    }

    /// The bytes as they are sent.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(crate) fn uncompressed(&self) -> Option<u32> {
        self.uncompressed
    }

    /// Its length as it is sent, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether it is compressed.
    pub fn is_compressed(&self) -> bool {
        self.uncompressed.is_some()
    }

    /// Decodes the message.
    ///
    /// # Errors
    /// [`FrameError::Content`]: it is malformed, or no message of this type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, FrameError> {
        let plain;
        let bytes = match self.uncompressed {
            None => &self.bytes,
            Some(length) => {
                plain = decompress(&self.bytes, length as usize).ok_or(FrameError::Content)?;
                &plain
            }
        };
        ciborium::de::from_reader_with_recursion_limit(&bytes[..], MAX_DEPTH).map_err(|_| FrameError::Content)
    }
}

/// Compresses a body; nothing if that is not worth it.
fn compress(bytes: &[u8]) -> Option<Vec<u8>> {
    if bytes.len() < MIN_COMPRESSED_BYTES {
        return None;
    }
    let sample = lz4_flex::block::compress(&bytes[..SAMPLE_BYTES]);
    if !saves_enough(sample.len(), SAMPLE_BYTES) {
        return None;
    }
    let compressed = lz4_flex::block::compress(bytes);
    saves_enough(compressed.len(), bytes.len()).then_some(compressed)
}

fn decompress(bytes: &[u8], length: usize) -> Option<Vec<u8>> {
    // A false length must reserve no memory that the body could not fill.
    if length > MAX_FRAME_BYTES || length / MAX_EXPANSION > bytes.len() {
        return None;
    }
    lz4_flex::block::decompress(bytes, length).ok().filter(|plain| plain.len() == length)
}
