//! Pieces: what frames go as.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | length of what follows |
//! | 1 | [`VERSION`] |
//! | 1 | [`Kind`], as flags |
//! | 4 | number of the call; its answer has the same |
//! | 4 | only in a first piece that is not the last: length of the whole body as it goes |
//! | 4 | only in a first piece of a packed body: its length once unpacked |
//! | rest | a part of the body, in order |

use bytes::{Buf, BytesMut};
use std::fmt;

/// Version of the frames; both sides must speak the same. The place of this byte is the same in all versions.
pub const VERSION: u8 = 2;
/// Longest frame, in bytes, packed or not.
pub const FRAME_MOST: usize = 80 * 1024 * 1024;
/// Longest part of a body in one piece, in bytes.
pub const PIECE: usize = 16 * 1024;
/// Bytes that each piece has after its length.
const AHEAD: usize = 1 + 1 + 4;
/// Longest head after the length.
const AHEAD_MOST: usize = AHEAD + 4 + 4;

/// The body begins here.
const FIRST: u8 = 1;
/// The body ends here.
const LAST: u8 = 2;
/// The body is packed.
const PACKED: u8 = 4;
/// Nothing more of this number: its caller has given it up, or no answer to it will come.
const GONE: u8 = 8;

/// Why bytes are no frame of ours. Whoever reads one ends the connection: what follows cannot be told apart any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// A frame longer than [`FRAME_MOST`], a piece longer than [`PIECE`] or shorter than its own head.
    Length,
    /// Of another version.
    Version(u8),
    /// Flags that mean nothing, or pieces that do not fit together.
    Order,
    /// More is begun at once than a sender of ours begins.
    Many,
    /// The body cannot be read as what is expected. The connection may go on.
    Content,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length => f.write_str("frame: length out of bounds"),
            FrameError::Version(v) => write!(f, "frame: version {v} is not spoken here"),
            FrameError::Order => f.write_str("frame: pieces do not fit together"),
            FrameError::Many => f.write_str("frame: too much begun at once"),
            FrameError::Content => f.write_str("frame: content cannot be read"),
        }
    }
}

impl std::error::Error for FrameError {}

/// What a piece is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A whole body; its length once unpacked, if it is packed.
    Whole(Option<u32>),
    /// The beginning of a body that is so long, and so long once unpacked.
    Begin(u32, Option<u32>),
    /// A part in the middle.
    Middle,
    /// The last part.
    End,
    /// Nothing more of this number.
    Gone,
}

/// A piece without its part of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// What it is.
    pub kind: Kind,
    /// Number of the call.
    pub number: u32,
}

impl Head {
    /// Appends a piece.
    pub fn write(&self, to: &mut Vec<u8>, part: &[u8]) {
        let start = to.len();
        to.extend_from_slice(&[0; 4]);
        let flags = match self.kind {
            Kind::Whole(unpacked) => FIRST | LAST | unpacked.map_or(0, |_| PACKED),
            Kind::Begin(_, unpacked) => FIRST | unpacked.map_or(0, |_| PACKED),
            Kind::Middle => 0,
            Kind::End => LAST,
            Kind::Gone => GONE,
        };
        to.extend_from_slice(&[VERSION, flags]);
        to.extend_from_slice(&self.number.to_be_bytes());
        if let Kind::Begin(length, _) = self.kind {
            to.extend_from_slice(&length.to_be_bytes());
        }
        if let Kind::Whole(Some(unpacked)) | Kind::Begin(_, Some(unpacked)) = self.kind {
            to.extend_from_slice(&unpacked.to_be_bytes());
        }
        to.extend_from_slice(part);
        let length = (to.len() - start - 4) as u32;
        to[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    /// Takes a piece from the front, and its part of the body; nothing while it is not whole.
    pub fn read(from: &mut BytesMut) -> Result<Option<(Head, BytesMut)>, FrameError> {
        let Some(mut head) = from.get(..4) else { return Ok(None) };
        let length = head.get_u32() as usize;
        // A version is refused ahead of all else: what follows may be framed otherwise, and longer.
        match from.get(4) {
            Some(version) if *version != VERSION => return Err(FrameError::Version(*version)),
            None => return Ok(None),
            Some(_) => {}
        }
        if !(AHEAD..=AHEAD_MOST + PIECE).contains(&length) {
            return Err(FrameError::Length);
        }
        if from.len() < 4 + length {
            return Ok(None);
        }
        let mut piece = from.split_to(4 + length);
        piece.advance(5);
        let flags = piece.get_u8();
        let number = piece.get_u32();
        let mut more = || match piece.len() {
            0..4 => Err(FrameError::Length),
            _ => Ok(piece.get_u32()),
        };
        let kind = match flags {
            0 => Kind::Middle,
            LAST => Kind::End,
            GONE => Kind::Gone,
            _ if flags & !(FIRST | LAST | PACKED) != 0 || flags & FIRST == 0 => {
                return Err(FrameError::Order);
            }
            _ => {
                let begun = if flags & LAST == 0 { Some(more()?) } else { None };
                let unpacked = if flags & PACKED != 0 { Some(more()?) } else { None };
                if [begun, unpacked].iter().flatten().any(|n| *n as usize > FRAME_MOST) {
                    return Err(FrameError::Length);
                }
                begun.map_or(Kind::Whole(unpacked), |length| Kind::Begin(length, unpacked))
            }
        };
        if piece.len() > PIECE || (kind == Kind::Gone && !piece.is_empty()) {
            return Err(FrameError::Length);
        }
        Ok(Some((Head { kind, number }, piece)))
    }
}
