//! What a gateway holds the counter to be, and what it takes that from.

use std::fmt;

/// Result of one counter call, as seen by loss detection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// Added; the total after it.
    Total(f64),
    /// Nothing was added: no connection, or turned away.
    Refused,
    /// It may have been added: no answer came.
    Silent,
}

/// What the counter is held to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// Answers, with all that it should know.
    #[default]
    Well,
    /// Answers late.
    Slow,
    /// Takes no calls.
    Refusing,
    /// Takes calls and does not answer.
    Silent,
    /// Answers, but has lost what it knew; debts are being entered again.
    Settling,
}

impl State {
    /// Whether it answers with all that it should know, in time or late.
    pub(crate) fn ordinary(self) -> bool {
        matches!(self, State::Well | State::Slow)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Well => "well",
            State::Slow => "slow",
            State::Refusing => "refusing",
            State::Silent => "silent",
            State::Settling => "settling",
        })
    }
}

/// What a total has told of a counter that lost its numbers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Loss {
    /// It knew nothing of the name: it came back empty, or is a fresh one.
    Empty,
    /// It knew less than it should: another, a half, or one to which others have already entered debts again.
    Less,
    /// This limiter's mark of presence is gone from it.
    Mark,
}

/// A change of what the counter is held to be, with its evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// What it was.
    pub from: State,
    /// What it is.
    pub to: State,
    /// For a loss: what kind, the total that was known, and the one that came, both before the call.
    pub loss: Option<(Loss, f64, f64)>,
    /// Times that the counter has lost its numbers since this limiter started.
    pub losses: u32,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counter {} -> {}", self.from, self.to)?;
        match self.loss {
            Some((Loss::Empty, known, _)) => write!(f, ": a count is empty that held {known:.1}"),
            Some((Loss::Less, known, came)) => write!(f, ": a count holds {came:.1} that held {known:.1}"),
            Some((Loss::Mark, ..)) => write!(f, ": a mark of presence that it took is gone"),
            None => Ok(()),
        }
    }
}
