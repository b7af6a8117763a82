//! The calling end of a connection.

use crate::body::Body;
use crate::chunk::FrameError;
use crate::reassembly::{Incoming, Reassembly};
use crate::send_queue::{QueueFull, Removed, SendQueue, Written};
use crate::MAX_CALLS_IN_FLIGHT;
use bytes::BytesMut;
use limeway_types::{Micros, Timestamp, SECOND};
use std::collections::HashMap;

/// A connection on which something is awaited and nothing comes for so long is dead.
pub const DEAD_AFTER: Micros = 3 * SECOND;
/// A call that timed out makes its connection suspect only if nothing came for so long: some calls wait for less than a round trip.
pub const SUSPECT_AFTER: Micros = 200_000;

/// How long a call waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// It times out after so long without progress: a chunk of the call that was sent, or one of its response that came.
    pub idle: Micros,
    /// It times out after so long in any case.
    pub total: Micros,
}

impl Timeouts {
    /// The same with and without progress.
    pub fn fixed(timeout: Micros) -> Self {
        Timeouts { idle: timeout, total: timeout }
    }
}

/// What a cancelled call tells of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionHealth {
    /// It carries what others wait for; just this call was slow.
    Healthy,
    /// Nothing at all came while the call waited. Network partitions are silent: the next call goes over a new connection, and those
    /// in flight on this one may still be answered.
    Suspect,
    /// Nothing came for [`DEAD_AFTER`].
    Dead,
}

/// What came for a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The response to its call.
    Response(u32, Body),
    /// No response will come: too much is in flight at the server, or the call is malformed for it.
    Declined(u32),
}

#[derive(Debug)]
struct PendingCall {
    started: Timestamp,
    last_progress: Timestamp,
    timeouts: Timeouts,
}

impl PendingCall {
    fn deadline(&self) -> Timestamp {
        (self.last_progress + self.timeouts.idle).min(self.started + self.timeouts.total)
    }
}

/// The calls in flight on one connection. It lives as long as the connection, so a response that comes on another one is never taken
/// for that of a call on this one.
#[derive(Default)]
pub struct RpcClient {
    pending: HashMap<u32, PendingCall>,
    reassembly: Reassembly,
    queue: SendQueue,
    /// When something came last.
    last_received: Timestamp,
    /// Something is awaited, and nothing came since.
    silent_since: Option<Timestamp>,
    late_responses: u64,
}

impl RpcClient {
    /// Starts a call. A number must not be used again while a response to it may still come.
    ///
    /// # Errors
    /// Too much is in flight or waits to be sent.
    pub fn start_call(
        &mut self,
        now: Timestamp,
        number: u32,
        body: Body,
        timeouts: Timeouts,
    ) -> Result<(), QueueFull> {
        if self.pending.len() >= MAX_CALLS_IN_FLIGHT || self.pending.contains_key(&number) {
            return Err(QueueFull);
        }
        self.queue.push(number, body)?;
        self.pending.insert(number, PendingCall { started: now, last_progress: now, timeouts });
        Ok(())
    }

    /// Bytes were received.
    pub fn bytes_received(&mut self, now: Timestamp) {
        self.last_received = now;
        self.silent_since = (!self.pending.is_empty()).then_some(now);
    }

    /// Takes the next event for a caller from the front of the bytes received.
    ///
    /// # Errors
    /// The bytes break the protocol: the connection is to be closed.
    pub fn next_event(
        &mut self,
        now: Timestamp,
        from: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, FrameError> {
        loop {
            let pending = &self.pending;
            match self.reassembly.next(from, |number| pending.contains_key(&number))? {
                None => return Ok(None),
                Some(Incoming::Frame(number, body)) => {
                    if self.finish(number).is_some() {
                        return Ok(Some(ClientEvent::Response(number, body)));
                    }
                    self.late_responses += 1;
                }
                Some(Incoming::Cancelled(number)) => {
                    if self.finish(number).is_some() {
                        return Ok(Some(ClientEvent::Declined(number)));
                    }
                }
                Some(Incoming::Partial(number)) => self.note_progress(now, number),
                Some(Incoming::Stale(_)) => self.late_responses += 1,
            }
        }
    }

    /// A call waits no more.
    fn finish(&mut self, number: u32) -> Option<PendingCall> {
        let call = self.pending.remove(&number)?;
        if self.pending.is_empty() {
            // With nothing awaited, nothing has to come.
            self.silent_since = None;
        }
        Some(call)
    }

    fn note_progress(&mut self, now: Timestamp, number: u32) {
        if let Some(call) = self.pending.get_mut(&number) {
            call.last_progress = now;
        }
    }

    /// Appends what is to be sent next; false if nothing waits. When this is called again, the last of it has been sent.
    pub fn write_next(&mut self, now: Timestamp, to: &mut Vec<u8>) -> bool {
        match self.queue.write_next(to) {
            None => return false,
            Some(Written::ShortFrames) => {
                self.silent_since.get_or_insert(now);
            }
            // A peer that takes so much is not silent: a partitioned connection takes no more than the system buffers for it.
            Some(Written::Chunk(number)) => {
                self.note_progress(now, number);
                self.silent_since = Some(now);
            }
        }
        true
    }

    /// When a call times out, as it looks now; nothing if it is not pending.
    pub fn deadline(&self, number: u32) -> Option<Timestamp> {
        self.pending.get(&number).map(PendingCall::deadline)
    }

    /// Cancels a call, and only that. The server is told, and need not respond.
    pub fn cancel(&mut self, now: Timestamp, number: u32) -> ConnectionHealth {
        let silent_since = self.silent_since;
        let Some(call) = self.finish(number) else { return ConnectionHealth::Healthy };
        self.reassembly.forget(number);
        if self.queue.remove(number) != Removed::Unsent {
            // The cancellation is acknowledged too, so the silence goes on.
            self.queue.push_cancellation(number);
            self.silent_since = silent_since;
        }
        let silence = silent_since.map_or(0, |since| now.saturating_sub(since));
        if silence >= DEAD_AFTER {
            ConnectionHealth::Dead
        } else if silence >= SUSPECT_AFTER && self.last_received <= call.started {
            ConnectionHealth::Suspect
        } else {
            ConnectionHealth::Healthy
        }
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Responses, and chunks of them, that came after their call was cancelled.
    pub fn late_responses(&self) -> u64 {
        self.late_responses
    }

    /// Number of frames that have begun to come, and their bytes so far.
    pub fn partial_frames(&self) -> (usize, usize) {
        self.reassembly.partial_frames()
    }
}
