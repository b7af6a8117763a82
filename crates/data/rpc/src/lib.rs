//! Calls between processes of the system: what stands on a connection between the sockets and the messages.
//!
//! Free of I/O and clock: bytes and times go in, bytes and answers come out. A message is CBOR, packed if it is long and
//! shrinks ([`Body`]). It goes as one or more [pieces](piece), so that a short one passes a long one on its way; [`Outgoing`] picks
//! what goes next, [`Assembly`] puts pieces together again. [`Caller`] is the end of a connection that asks: numbers, waits, and
//! what a silence means. [`Answerer`] is the end that answers. Neither trusts the other: every table, queue and frame has a
//! bound, and what breaks one ends the connection.
#![forbid(unsafe_code)]

mod answerer;
mod assembly;
mod body;
mod caller;
pub mod piece;
mod queue;

pub use answerer::Answerer;
pub use assembly::{Assembly, Came};
pub use body::{Body, PACK_FROM};
pub use caller::{Caller, Patience, Sight, Told, DEAD, DOUBT};
pub use piece::{FrameError, Head, Kind, FRAME_MOST, PIECE, VERSION};
pub use queue::{Dropped, Full, Outgoing, Wrote, OPEN_MOST, QUEUE_MOST, SHORTS_MOST};

use serde::Serialize;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Calls under way on one connection, at most, as each end counts them.
pub const CALLS_MOST: usize = 256;

/// Appends a message as it goes over a connection that carries nothing else: all its pieces, one after the other.
pub fn write(to: &mut Vec<u8>, number: u32, message: &impl Serialize) -> Result<(), FrameError> {
    let mut out = Outgoing::default();
    // An empty queue takes any frame.
    if out.push(number, Body::of(message)?).is_ok() {
        while out.write(to).is_some() {}
    }
    Ok(())
}
