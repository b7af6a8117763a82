//! Guards that can be taken away. Nothing is switched in the state machines: what goes in or out of them is tampered with.

/// Which guard is off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Off {
    /// None.
    Nothing,
    /// A word leaves a machine before its write is done.
    WordsEarly,
    /// A write that failed is told as done.
    FailedWrites,
    /// A machine that lost its disk votes with the life of the old one.
    OldLife,
    /// All lives of a process hold ballots under one number.
    OneBoot,
    /// Machines that held a seat are not remembered for their duties.
    Former,
    /// Who does not answer a round counts as one that has nothing newer.
    Contact,
    /// Nobody says that a value is accepted and not applied yet.
    Pending,
    /// A newcomer is given a seat before its disk has the state.
    Newcomer,
    /// What a limiter is told is taken to be as old as its arrival.
    Ages,
}

/// All of them.
pub const ALL: [Off; 9] = [
    Off::WordsEarly,
    Off::FailedWrites,
    Off::OldLife,
    Off::OneBoot,
    Off::Former,
    Off::Contact,
    Off::Pending,
    Off::Newcomer,
    Off::Ages,
];
