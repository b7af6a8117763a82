//! Chunks: what frames are sent as.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | length of what follows |
//! | 1 | [`PROTOCOL_VERSION`] |
//! | 1 | [`ChunkKind`], as flags |
//! | 4 | number of the call; its response has the same |
//! | 4 | only in a first chunk that is not the last: length of the body as it is sent |
//! | 4 | only in a first chunk of a compressed body: its uncompressed length |
//! | rest | content: bytes of the body, in order |

use bytes::{Buf, BytesMut};
use std::fmt;

/// Version of the protocol; both sides must speak the same. The offset of this byte is the same in all versions.
pub const PROTOCOL_VERSION: u8 = 2;
/// Upper bound on a frame, in bytes, compressed or not.
pub const MAX_FRAME_BYTES: usize = 80 * 1024 * 1024;
/// Upper bound on the content of one chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of the header that each chunk has after its length.
const HEADER_BYTES: usize = 1 + 1 + 4;
/// Upper bound on the header after the length, in bytes.
const MAX_HEADER_BYTES: usize = HEADER_BYTES + 4 + 4;

/// The body begins here.
const FIRST: u8 = 1;
/// The body ends here.
const LAST: u8 = 2;
/// The body is compressed.
const COMPRESSED: u8 = 4;
/// Nothing more of this number: its caller has cancelled it, or no response to it will come.
const CANCEL: u8 = 8;

/// Why bytes are no valid frame. Whoever receives them closes the connection: what follows cannot be parsed any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// A frame longer than [`MAX_FRAME_BYTES`], a chunk longer than [`MAX_CHUNK_BYTES`] or shorter than its own header.
    Length,
    /// Another version of the protocol.
    Version(u8),
    /// Unknown flags, or chunks that do not fit together.
    Sequence,
    /// More frames are begun at once than a sender may begin.
    TooManyFrames,
    /// The body is no message of the expected type. The connection may go on.
    Content,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length => f.write_str("frame: length out of bounds"),
            FrameError::Version(v) => write!(f, "frame: version {v} is not supported"),
            FrameError::Sequence => f.write_str("frame: chunks do not fit together"),
            FrameError::TooManyFrames => f.write_str("frame: too many begun at once"),
            FrameError::Content => f.write_str("frame: malformed content"),
        }
    }
}

impl std::error::Error for FrameError {}

/// What a chunk is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkKind {
    /// A complete body; its uncompressed length, if it is compressed.
    Single(Option<u32>),
    /// The beginning of a body: its length, and its uncompressed length, if it is compressed.
    First(u32, Option<u32>),
    /// A chunk in the middle.
    Middle,
    /// The last chunk.
    Last,
    /// Nothing more of this number.
    Cancel,
}

/// The header of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkHeader {
    /// What it is.
    pub kind: ChunkKind,
    /// Number of the call.
    pub number: u32,
}

impl ChunkHeader {
    /// Appends a chunk.
    pub fn write(&self, to: &mut Vec<u8>, content: &[u8]) {
        let start = to.len();
        to.extend_from_slice(&[0; 4]);
        let flags = match self.kind {
            ChunkKind::Single(uncompressed) => FIRST | LAST | uncompressed.map_or(0, |_| COMPRESSED),
            ChunkKind::First(_, uncompressed) => FIRST | uncompressed.map_or(0, |_| COMPRESSED),
            ChunkKind::Middle => 0,
            ChunkKind::Last => LAST,
            ChunkKind::Cancel => CANCEL,
        };
        to.extend_from_slice(&[PROTOCOL_VERSION, flags]);
        to.extend_from_slice(&self.number.to_be_bytes());
        if let ChunkKind::First(length, _) = self.kind {
            to.extend_from_slice(&length.to_be_bytes());
        }
        if let ChunkKind::Single(Some(uncompressed)) | ChunkKind::First(_, Some(uncompressed)) = self.kind {
            to.extend_from_slice(&uncompressed.to_be_bytes());
        }
        to.extend_from_slice(content);
        let length = (to.len() - start - 4) as u32;
        to[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    /// Takes a chunk from the front: its header and its content; nothing while it is incomplete.
    ///
    /// # Errors
    /// The bytes are no valid chunk.
    pub fn read(from: &mut BytesMut) -> Result<Option<(ChunkHeader, BytesMut)>, FrameError> {
        let Some(mut head) = from.get(..4) else { return Ok(None) };
        let length = head.get_u32() as usize;
        // A version is refused ahead of all else: what follows may be framed otherwise, and longer.
        match from.get(4) {
            Some(version) if *version != PROTOCOL_VERSION => return Err(FrameError::Version(*version)),
            None => return Ok(None),
            Some(_) => {}
        }
        if !(HEADER_BYTES..=MAX_HEADER_BYTES + MAX_CHUNK_BYTES).contains(&length) {
            return Err(FrameError::Length);
        }
        if from.len() < 4 + length {
            return Ok(None);
        }
        let mut chunk = from.split_to(4 + length);
        chunk.advance(5);
        let flags = chunk.get_u8();
        let number = chunk.get_u32();
        let mut more = || match chunk.len() {
            0..4 => Err(FrameError::Length),
            _ => Ok(chunk.get_u32()),
        };
        let kind = match flags {
            0 => ChunkKind::Middle,
            LAST => ChunkKind::Last,
            CANCEL => ChunkKind::Cancel,
            _ if flags & !(FIRST | LAST | COMPRESSED) != 0 || flags & FIRST == 0 => {
                return Err(FrameError::Sequence);
            }
            _ => {
                let body_length = if flags & LAST == 0 { Some(more()?) } else { None };
                let uncompressed = if flags & COMPRESSED != 0 { Some(more()?) } else { None };
                if [body_length, uncompressed].iter().flatten().any(|n| *n as usize > MAX_FRAME_BYTES) {
                    return Err(FrameError::Length);
                }
                body_length
                    .map_or(ChunkKind::Single(uncompressed), |length| ChunkKind::First(length, uncompressed))
            }
        };
        if chunk.len() > MAX_CHUNK_BYTES || (kind == ChunkKind::Cancel && !chunk.is_empty()) {
            return Err(FrameError::Length);
        }
        Ok(Some((ChunkHeader { kind, number }, chunk)))
    }
}
