//! The end of a connection that responds.

use crate::body::Body;
use crate::chunk::FrameError;
use crate::reassembly::{Incoming, Reassembly};
use crate::send_queue::{QueueFull, SendQueue};
use crate::MAX_CALLS_IN_FLIGHT;
use bytes::BytesMut;
use std::collections::HashMap;

/// The calls that came on one connection and are being handled.
///
/// Each call that [`RpcServer::next_call`] returns ends with one [`RpcServer::respond`] or [`RpcServer::decline`].
#[derive(Default)]
pub struct RpcServer {
    /// Calls being handled; true as long as their caller waits.
    in_flight: HashMap<u32, bool>,
    reassembly: Reassembly,
    queue: SendQueue,
}

impl RpcServer {
    /// Takes the next call from the front of the bytes received. Too many at once are declined one by one.
    ///
    /// # Errors
    /// The bytes break the protocol: the connection is to be closed.
    pub fn next_call(&mut self, from: &mut BytesMut) -> Result<Option<(u32, Body)>, FrameError> {
        loop {
            match self.reassembly.next(from, |_| true)? {
                None => return Ok(None),
                Some(Incoming::Frame(number, body)) => {
                    if self.in_flight.contains_key(&number) {
                        return Err(FrameError::Sequence);
                    }
                    if self.in_flight.len() < MAX_CALLS_IN_FLIGHT {
                        self.in_flight.insert(number, true);
                        return Ok(Some((number, body)));
                    }
                    self.queue.push_cancellation(number);
                }
                Some(Incoming::Cancelled(number)) => self.cancelled(number),
                Some(Incoming::Partial(_) | Incoming::Stale(_)) => {}
            }
        }
    }

    fn cancelled(&mut self, number: u32) {
        if let Some(awaited) = self.in_flight.get_mut(&number) {
            *awaited = false;
        }
        self.queue.remove(number);
        // Acknowledged: the caller learns that this side lives.
        self.queue.push_cancellation(number);
    }

    /// Whether the caller of a number still waits.
    pub fn is_awaited(&self, number: u32) -> bool {
        self.in_flight.get(&number).is_some_and(|awaited| *awaited)
    }

    /// Responds to a call. Nothing is sent if its caller waits no more.
    ///
    /// # Errors
    /// Too much waits to be sent: the call is declined.
    pub fn respond(&mut self, number: u32, body: Body) -> Result<(), QueueFull> {
        if self.in_flight.remove(&number) != Some(true) {
            return Ok(());
        }
        self.queue.push(number, body).inspect_err(|_| self.queue.push_cancellation(number))
    }

    /// Ends a call without a response.
    pub fn decline(&mut self, number: u32) {
        if self.in_flight.remove(&number) == Some(true) {
            self.queue.push_cancellation(number);
        }
    }

    /// Appends what is to be sent next; false if nothing waits.
    pub fn write_next(&mut self, to: &mut Vec<u8>) -> bool {
        self.queue.write_next(to).is_some()
    }

    /// Calls being handled.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Bytes of responses that wait to be sent.
    pub fn queued_bytes(&self) -> usize {
        self.queue.bytes()
    }
}
