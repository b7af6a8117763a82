//! What is too big for one answer: sealed (compressed), cut into parts, and put together again.
//!
//! A parcel is one operation or one whole state, sealed. It is known by its slot and the digest of its sealed bytes, so that
//! parts of it may come from any teller that has the same one, and go on where they stopped after a break. Whoever has
//! another one under that slot begins with it anew. What does not match its digest once it is whole is thrown away.

use limeway_membership::hash;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Bytes of steps in one answer, at most.
pub const PART: usize = 32 * 1024;
/// Bytes of steps in one answer, at the least that may be asked for.
pub const PART_LEAST: usize = 2 * 1024;
/// Longest parcel that is put together, in sealed bytes.
pub const SEALED_MOST: usize = 16 * 1024 * 1024;
/// Longest content of a parcel, in bytes.
pub const RAW_MOST: usize = 64 * 1024 * 1024;
/// What is shorter is sealed as it is.
const PLAIN: usize = 256;
/// The quick level: at 0.1 core, half a megabyte takes some ten milliseconds.
const LEVEL: i32 = 1;
/// First byte of what is sealed as it is, and of what is compressed.
const MARKS: [u8; 2] = [0, 1];
/// Bytes ahead of what is compressed: the mark, and the length of the content.
const AHEAD: usize = 1 + 4;

/// Seals what [`crate::pack`] made. Equal contents give equal bytes on every machine.
pub fn seal(raw: &[u8]) -> Vec<u8> {
    if raw.len() >= PLAIN && raw.len() <= RAW_MOST {
        if let Ok(compressed) = zstd::bulk::compress(raw, LEVEL) {
            if compressed.len() + AHEAD <= raw.len() {
                let mut sealed = vec![MARKS[1]];
                sealed.extend_from_slice(&(raw.len() as u32).to_be_bytes());
                sealed.extend_from_slice(&compressed);
                return sealed;
            }
        }
    }
    [&MARKS[..1], raw].concat()
}

/// Opens what was sealed; nothing if it cannot be read, or its content is longer than [`RAW_MOST`].
pub fn unseal(sealed: &[u8]) -> Option<Vec<u8>> {
    let (mark, rest) = sealed.split_first()?;
    if *mark == MARKS[0] {
        return (rest.len() <= RAW_MOST).then(|| rest.to_vec());
    }
    let (length, compressed) = rest.split_first_chunk::<4>().filter(|_| *mark == MARKS[1])?;
    let length = u32::from_be_bytes(*length) as usize;
    if length > RAW_MOST {
        return None;
    }
    zstd::bulk::decompress(compressed, length).ok().filter(|raw| raw.len() == length)
}

/// Which parcel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Label {
    /// A whole state; otherwise an operation.
    #[serde(rename = "w")]
    pub whole: bool,
    /// The slot of the operation, or the last one in the state.
    #[serde(rename = "s")]
    pub slot: u64,
    /// Of the sealed bytes.
    #[serde(rename = "d")]
    pub digest: u64,
}

/// A piece of a parcel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Of which one.
    #[serde(rename = "l")]
    pub label: Label,
    /// How long the parcel is, in sealed bytes.
    #[serde(rename = "n")]
    pub size: u32,
    /// Where in it the bytes stand.
    #[serde(rename = "a")]
    pub at: u32,
    /// The bytes.
    #[serde(rename = "b")]
    pub bytes: ByteBuf,
}

/// What of a parcel has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// Of which one.
    #[serde(rename = "l")]
    pub label: Label,
    /// So many bytes, from its start on.
    #[serde(rename = "a")]
    pub at: u32,
}

/// What a process lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The last slot that it has.
    #[serde(rename = "s")]
    pub slot: u64,
    /// What has come of the parcel that it is being told.
    #[serde(rename = "p", default)]
    pub have: Option<Have>,
    /// Bytes of steps that the answer may hold, about; between [`PART_LEAST`] and [`PART`].
    #[serde(rename = "r")]
    pub room: u32,
}

impl Want {
    /// The bytes of steps that an answer may hold.
    pub fn bytes(&self) -> usize {
        (self.room as usize).clamp(PART_LEAST, PART)
    }
}

/// A parcel that is told.
#[derive(Debug, Clone)]
pub struct Parcel {
    /// Which one.
    pub label: Label,
    sealed: Vec<u8>,
}

impl Parcel {
    /// What was sealed, under its slot.
    pub fn new(whole: bool, slot: u64, sealed: Vec<u8>) -> Self {
        Parcel { label: Label { whole, slot, digest: hash(&sealed) }, sealed }
    }

    /// Its length in sealed bytes.
    pub fn size(&self) -> usize {
        self.sealed.len()
    }

    /// Its sealed bytes.
    pub fn sealed(&self) -> ByteBuf {
        ByteBuf::from(self.sealed.clone())
    }

    /// The part that follows what has come already.
    pub fn part(&self, want: &Want) -> Part {
        let begun = want.have.filter(|h| h.label == self.label).map_or(0, |h| h.at as usize);
        let at = if begun < self.sealed.len() { begun } else { 0 };
        let end = (at + want.bytes()).min(self.sealed.len());
        let bytes = ByteBuf::from(self.sealed[at..end].to_vec());
        Part { label: self.label, size: self.sealed.len() as u32, at: at as u32, bytes }
    }
}

/// A parcel that is being put together.
#[derive(Debug, Clone)]
pub struct Gathering {
    label: Label,
    size: usize,
    bytes: Vec<u8>,
}

/// What a part made of a [`Gathering`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Gathered {
    /// More is to come.
    Part,
    /// The parcel is whole and as its digest says: its sealed bytes.
    Whole(Label, Vec<u8>),
    /// It fits to nothing, or what came is not what the digest says.
    Wrong,
}

impl Gathering {
    /// What has come.
    pub fn have(&self) -> Have {
        Have { label: self.label, at: self.bytes.len() as u32 }
    }

    /// Takes a part in. What was begun gives way to another parcel's first part only, and is kept if a part does not fit.
    pub fn take(this: &mut Option<Gathering>, part: Part) -> Gathered {
        let (at, size) = (part.at as usize, part.size as usize);
        if size > SEALED_MOST || part.bytes.is_empty() || at + part.bytes.len() > size {
            return Gathered::Wrong;
        }
        match this {
            Some(g) if g.label == part.label && g.size == size && g.bytes.len() == at => {
                g.bytes.extend_from_slice(&part.bytes);
            }
            _ if at == 0 => *this = Some(Gathering { label: part.label, size, bytes: part.bytes.into_vec() }),
            _ => return Gathered::Wrong,
        }
        let Some(whole) = this.take_if(|g| g.bytes.len() == g.size) else { return Gathered::Part };
        if hash(&whole.bytes) == whole.label.digest {
            Gathered::Whole(whole.label, whole.bytes)
        } else {
            Gathered::Wrong
        }
    }
}

/// Lists in messages go sealed: a full one is long, and much of it repeats.
pub(crate) mod list {
    use super::{seal, unseal};
    use crate::{pack, unpack};
    use serde::de::{DeserializeOwned, Error};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use serde_bytes::ByteBuf;

    pub fn serialize<T: Serialize, S: Serializer>(list: &Vec<T>, to: S) -> Result<S::Ok, S::Error> {
        ByteBuf::from(if list.is_empty() { Vec::new() } else { seal(&pack(list)) }).serialize(to)
    }

    pub fn deserialize<'de, T: DeserializeOwned, D: Deserializer<'de>>(from: D) -> Result<Vec<T>, D::Error> {
        let sealed = ByteBuf::deserialize(from)?;
        if sealed.is_empty() {
            return Ok(Vec::new());
        }
        unseal(&sealed)
            .and_then(|raw| unpack(&raw))
            .ok_or_else(|| D::Error::custom("a list that cannot be read"))
    }
}
