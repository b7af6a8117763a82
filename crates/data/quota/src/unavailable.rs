//! Why units cannot be leased.

use std::fmt;

/// Why a shard's units cannot be leased.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnavailableReason {
    /// No holder is known.
    NoHolder,
    /// No connection to the holder can be had.
    Unreachable,
    /// The holder does not answer in time.
    TimedOut,
    /// The holder says that it does not hold the shard.
    NotHeld,
    /// The holder says that this gateway is not agreed on.
    NotAgreed,
    /// The holder's windows have not begun.
    NotBegun,
    /// The holder goes on saying that blocks have not been reported to it.
    BlocksNotReported,
    /// The answers are too late to tell where windows are.
    AnswersLate,
    /// The budget is used up.
    Exhausted,
}

impl fmt::Display for UnavailableReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnavailableReason::NoHolder => "no holder known",
            UnavailableReason::Unreachable => "holder unreachable",
            UnavailableReason::TimedOut => "holder does not answer",
            UnavailableReason::NotHeld => "holder says it does not hold the shard",
            UnavailableReason::NotAgreed => "holder says this gateway is not agreed on",
            UnavailableReason::NotBegun => "windows have not begun",
            UnavailableReason::BlocksNotReported => "holder says blocks were not reported",
            UnavailableReason::AnswersLate => "answers come late",
            UnavailableReason::Exhausted => "budget exhausted",
        })
    }
}
