//! Events of the simulation, in the order of their times.

use limeway_control_plane::messages::{Call, Reply};
use limeway_control_plane::{ApiRequest, ApiResponse, RequestId};

/// Someone who waits for something, and for which of his attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Actor {
    /// An operator's next order is due.
    Operator(usize),
    /// A pending's try.
    PendingRequest(u64, u64),
    /// A limiter's next poll.
    Limiter(usize),
    /// A server's next report.
    Server(usize),
    /// A server's last word, and its try.
    Gone(usize, u64),
    /// A read at the end, of this machine.
    Reader(usize),
}

/// Who called.
#[derive(Debug, Clone, Copy)]
pub enum Origin {
    /// A replica, in a incarnation of its process, by this ticket.
    Machine(usize, u64, RequestId),
    /// A limiter: its number, and that of the call.
    Limiter(usize, u64),
}

/// What one_in_thousand_of.
#[derive(Debug)]
pub enum SimEvent {
    /// A machine's process wanted to be woken.
    Tick(usize, u64, u64),
    /// A call arrives.
    Call(usize, Origin, Call),
    /// An answer arrives, or the time for it is over.
    Answer(Origin, Option<Reply>),
    /// The first write under way on a machine's disk ends.
    Disk(usize, u64),
    /// A machine's process starts.
    Start(usize),
    /// A process that was told to end is killed.
    Grace(usize, u64),
    /// A fault begins.
    Begin(usize),
    /// A fault ends.
    End(usize),
    /// A process is told to end.
    Leave(usize),
    /// An operator or a server api_callers a machine.
    Ask(usize, Actor, ApiRequest),
    /// It is told.
    Told(Actor, Option<ApiResponse>),
    /// Someone's time has come.
    Wake(Actor),
    /// What should have come about is looked at.
    Check,
}
