//! Transfers: updates that are compressed, cut into chunks, and put together again.
//!
//! A transfer is one operation or one snapshot, compressed. It is identified by its slot and the digest of its compressed bytes, so
//! that chunks of it may come from any upstream that has the same one, and go on where they stopped after a failure. Whoever gets
//! another transfer for that slot begins anew. What does not match its digest once it is complete is discarded.

use limeway_membership::hash;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Upper bound on the bytes of updates in one response.
pub const MAX_CHUNK_BYTES: usize = 32 * 1024;
/// The least that may be requested of one response, in bytes of updates.
pub const MIN_CHUNK_BYTES: usize = 2 * 1024;
/// Upper bound on the compressed bytes of a transfer.
pub const MAX_COMPRESSED_BYTES: usize = 16 * 1024 * 1024;
/// Upper bound on the content of a transfer, in bytes.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024 * 1024;
/// Shorter content is stored as it is.
const MIN_COMPRESSED_CONTENT: usize = 256;
/// The quick level of zstd: at 0.1 core, half a megabyte takes some ten milliseconds.
const COMPRESSION_LEVEL: i32 = 1;
/// First byte of content that is stored as it is.
const TAG_STORED: u8 = 0;
/// First byte of content that is compressed; its length follows.
const TAG_COMPRESSED: u8 = 1;
/// Bytes ahead of compressed content: the tag, and the length of the content.
const COMPRESSED_HEADER_BYTES: usize = 1 + 4;

/// Compresses what [`crate::encode`] made. Equal content gives equal bytes on every machine.
pub fn compress(content: &[u8]) -> Vec<u8> {
    if (MIN_COMPRESSED_CONTENT..=MAX_CONTENT_BYTES).contains(&content.len()) {
        if let Ok(compressed) = zstd::bulk::compress(content, COMPRESSION_LEVEL) {
            if compressed.len() + COMPRESSED_HEADER_BYTES <= content.len() {
                let mut bytes = vec![TAG_COMPRESSED];
                bytes.extend_from_slice(&(content.len() as u32).to_be_bytes());
                bytes.extend_from_slice(&compressed);
                return bytes;
            }
        }
    }
    [&[TAG_STORED], content].concat()
}

/// Decompresses what [`compress`] made; nothing if it is malformed, or its content is longer than [`MAX_CONTENT_BYTES`].
pub fn decompress(bytes: &[u8]) -> Option<Vec<u8>> {
    let (tag, rest) = bytes.split_first()?;
    if *tag == TAG_STORED {
        return (rest.len() <= MAX_CONTENT_BYTES).then(|| rest.to_vec());
    }
    let (length, compressed) = rest.split_first_chunk::<4>().filter(|_| *tag == TAG_COMPRESSED)?;
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_CONTENT_BYTES {
        return None;
    }
    zstd::bulk::decompress(compressed, length).ok().filter(|content| content.len() == length)
}

/// Identifies a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferId {
    /// It is a snapshot; otherwise an operation.
    #[serde(rename = "w")]
    pub is_snapshot: bool,
    /// The slot of the operation, or the last one in the snapshot.
    #[serde(rename = "s")]
    pub slot: u64,
    /// Digest of the compressed bytes.
    #[serde(rename = "d")]
    pub digest: u64,
}

/// A chunk of a transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The transfer that it is of.
    #[serde(rename = "l")]
    pub transfer: TransferId,
    /// Length of the transfer, in compressed bytes.
    #[serde(rename = "n")]
    pub size: u32,
    /// Offset of the bytes in it.
    #[serde(rename = "a")]
    pub offset: u32,
    /// The bytes.
    #[serde(rename = "b")]
    pub bytes: ByteBuf,
}

/// How much of a transfer has been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// The transfer.
    #[serde(rename = "l")]
    pub transfer: TransferId,
    /// So many bytes, from its start on.
    #[serde(rename = "a")]
    pub offset: u32,
}

/// What a process lacks of the agreed state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// The last slot that it has.
    #[serde(rename = "s")]
    pub slot: u64,
    /// What it has received of the transfer under way.
    #[serde(rename = "p", default)]
    pub received: Option<Received>,
    /// Bytes of updates that the response may hold, about; between [`MIN_CHUNK_BYTES`] and [`MAX_CHUNK_BYTES`].
    #[serde(rename = "r")]
    pub max_bytes: u32,
}

impl StateRequest {
    /// The bytes of updates that a response may hold, within the bounds.
    pub fn bytes(&self) -> usize {
        (self.max_bytes as usize).clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES)
    }
}

/// A transfer, on the sending side.
#[derive(Debug, Clone)]
pub struct Transfer {
    /// Identifies it.
    pub id: TransferId,
    compressed: Vec<u8>,
}

impl Transfer {
    /// A compressed operation.
    pub fn operation(slot: u64, compressed: Vec<u8>) -> Self {
        Self::new(false, slot, compressed)
    }

    /// A compressed snapshot.
    pub fn snapshot(slot: u64, compressed: Vec<u8>) -> Self {
        Self::new(true, slot, compressed)
    }

    fn new(is_snapshot: bool, slot: u64, compressed: Vec<u8>) -> Self {
        Transfer { id: TransferId { is_snapshot, slot, digest: hash(&compressed) }, compressed }
    }

    /// Its length in compressed bytes.
    pub fn size(&self) -> usize {
        self.compressed.len()
    }

    /// Its compressed bytes.
    pub fn compressed(&self) -> ByteBuf {
        ByteBuf::from(self.compressed.clone())
    }

    /// The chunk that follows what the requester has received; the first one if that is of another transfer.
    pub fn chunk(&self, request: &StateRequest) -> Chunk {
        let received = request.received.filter(|received| received.transfer == self.id);
        let received = received.map_or(0, |received| received.offset as usize);
        let offset = if received < self.compressed.len() { received } else { 0 };
        let end = (offset + request.bytes()).min(self.compressed.len());
        Chunk {
            transfer: self.id,
            size: self.compressed.len() as u32,
            offset: offset as u32,
            bytes: ByteBuf::from(self.compressed[offset..end].to_vec()),
        }
    }
}

/// A transfer that is being put together, on the receiving side.
#[derive(Debug, Clone)]
pub struct Reassembly {
    transfer: TransferId,
    size: usize,
    bytes: Vec<u8>,
}

/// What a chunk did to a [`Reassembly`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReassemblyStep {
    /// More is to come.
    Incomplete,
    /// The transfer is complete and matches its digest: its compressed bytes.
    Complete(TransferId, Vec<u8>),
    /// The chunk does not fit, or the transfer does not match its digest.
    Rejected,
}

impl Reassembly {
    /// What has been received.
    pub fn received(&self) -> Received {
        Received { transfer: self.transfer, offset: self.bytes.len() as u32 }
    }

    /// Takes a chunk. The transfer under way gives way to the first chunk of another one only, and is kept if a chunk does not fit.
    pub fn receive(current: &mut Option<Reassembly>, chunk: Chunk) -> ReassemblyStep {
        let (offset, size) = (chunk.offset as usize, chunk.size as usize);
        if size > MAX_COMPRESSED_BYTES || chunk.bytes.is_empty() || offset + chunk.bytes.len() > size {
            return ReassemblyStep::Rejected;
        }
        match current {
            Some(r) if r.transfer == chunk.transfer && r.size == size && r.bytes.len() == offset => {
                r.bytes.extend_from_slice(&chunk.bytes);
            }
            _ if offset == 0 => {
                *current = Some(Reassembly { transfer: chunk.transfer, size, bytes: chunk.bytes.into_vec() });
            }
            _ => return ReassemblyStep::Rejected,
        }
        let Some(complete) = current.take_if(|r| r.bytes.len() == r.size) else {
            return ReassemblyStep::Incomplete;
        };
        if hash(&complete.bytes) == complete.transfer.digest {
            ReassemblyStep::Complete(complete.transfer, complete.bytes)
        } else {
            ReassemblyStep::Rejected
        }
    }
}

/// Encoding of lists in messages, compressed: a full list is long, and much of it repeats.
pub(crate) mod compressed_list {
    use super::{compress, decompress};
    use crate::codec::{decode, encode};
    use serde::de::{DeserializeOwned, Error};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use serde_bytes::ByteBuf;

    pub(crate) fn serialize<T: Serialize, S: Serializer>(list: &Vec<T>, to: S) -> Result<S::Ok, S::Error> {
        ByteBuf::from(if list.is_empty() { Vec::new() } else { compress(&encode(list)) }).serialize(to)
    }

    pub(crate) fn deserialize<'de, T: DeserializeOwned, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Vec<T>, D::Error> {
        let compressed = ByteBuf::deserialize(from)?;
        if compressed.is_empty() {
            return Ok(Vec::new());
        }
        decompress(&compressed)
            .and_then(|encoded| decode(&encoded))
            .ok_or_else(|| D::Error::custom("malformed list"))
    }
}
