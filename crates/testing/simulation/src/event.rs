//! Events of the simulation, in the order of their times.

use crate::alternating::OrderAttempt;
use crate::Micros;
use limeway_control_plane::messages::{Call, Reply};
use limeway_control_plane::{ApiRequest, ApiResponse, RequestId};

/// A client that waits, and for which of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Actor {
    /// An operator's next request is due.
    Operator(usize),
    /// The next attempt of a pending request.
    PendingRequest(u64, u64),
    /// A gateway's next poll.
    Limiter(usize),
    /// A server's next report.
    Server(usize),
    /// A server's deregistration, and its attempt.
    Gone(usize, u64),
    /// The final read from this machine.
    Reader(usize),
    /// The next order of the operator who evacuates one zone alone.
    Alternating,
    /// An attempt of such an order.
    Order(OrderAttempt),
}

/// The caller of a replica.
#[derive(Debug, Clone, Copy)]
pub enum Origin {
    /// A replica: its machine, process incarnation and request id.
    Machine(usize, u64, RequestId),
    /// A gateway: its number, and that of the call.
    Limiter(usize, u64),
}

/// What happens.
#[derive(Debug)]
pub enum SimEvent {
    /// A timer of a machine's process expires.
    Tick(usize, u64, u64),
    /// A call arrives.
    Call(usize, Origin, Call),
    /// A response arrives, or the call times out.
    Answer(Origin, Option<Reply>),
    /// The first write in flight on a machine's disk ends.
    Disk(usize, u64),
    /// A machine's process starts.
    Start(usize),
    /// A process that got SIGTERM is killed.
    Grace(usize, u64),
    /// A fault begins.
    Begin(usize),
    /// A fault ends.
    End(usize),
    /// A process gets SIGTERM.
    Leave(usize),
    /// A request of an operator or a server arrives at a machine at this time. A stalled process reads it later.
    Ask(usize, Actor, ApiRequest, Micros),
    /// A machine learns whether the response to an evacuation call was taken.
    Delivery(usize, u64, bool),
    /// Its response arrives.
    Told(Actor, Option<ApiResponse>),
    /// A client's timer expires.
    Wake(Actor),
    /// Progress is checked.
    Check,
}
