//! What an attempt teaches about its server.

use limeway_types::Micros;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a response, after so long.
    Answered(Micros),
    /// The server said that it is full.
    Full,
    /// It took no connection, broke off, or its response was malformed.
    Broken,
    /// It had not responded when it was given up, after so long.
    TimedOut(Micros),
    /// It is another server by now, or is draining.
    Moved,
    /// It had not responded after several times its usual latency, and another server has answered in its place.
    Superseded,
    /// The client went away.
    Cancelled,
}
