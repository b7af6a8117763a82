//! Calls between processes of the system: what stands on a connection between the sockets and the messages.
//!
//! Free of I/O and clock: bytes and times go in, bytes and responses come out. A message is CBOR, compressed if it is long and
//! shrinks ([`Body`]). It goes as one or more [chunks](chunk), so that a short one passes a long one on its way; [`SendQueue`] picks
//! what goes next, [`Reassembly`] puts chunks together again. [`RpcClient`] is the calling end of a connection: numbers, timeouts,
//! and what a silence means. [`RpcServer`] is the end that responds. Neither trusts the other: every table, queue and frame has
//! a bound, and what exceeds one ends the connection.
#![forbid(unsafe_code)]

mod body;
pub mod chunk;
mod client;
mod reassembly;
mod send_queue;
mod server;

pub use body::{Body, MIN_COMPRESSED_BYTES};
pub use chunk::{ChunkHeader, ChunkKind, FrameError, MAX_CHUNK_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION};
pub use client::{ClientEvent, ConnectionHealth, RpcClient, Timeouts, DEAD_AFTER, SUSPECT_AFTER};
pub use limeway_types::{Micros, Timestamp};
pub use reassembly::{Incoming, Reassembly};
pub use send_queue::{
    QueueFull, Removed, SendQueue, Written, MAX_INTERLEAVED_FRAMES, MAX_QUEUED_BYTES, MAX_SHORT_BYTES,
};
pub use server::RpcServer;

use serde::Serialize;

/// Upper bound on the calls in flight on one connection, as each end counts them.
pub const MAX_CALLS_IN_FLIGHT: usize = 256;

/// Appends a message as it goes over a connection that carries nothing else: all its chunks, one after the other.
///
/// # Errors
/// The message cannot be encoded or is too long.
pub fn write(to: &mut Vec<u8>, number: u32, message: &impl Serialize) -> Result<(), FrameError> {
    let mut queue = SendQueue::default();
    // An empty queue takes any frame.
    if queue.push(number, Body::encode(message)?).is_ok() {
        while queue.write_next(to).is_some() {}
    }
    Ok(())
}
