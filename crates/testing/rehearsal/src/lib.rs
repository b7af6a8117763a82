//! Rehearsals: the limiter that ships, as processes, among stand-ins for all that it talks to.
//!
//! [`rehearsal::rehearse`] plays a day and gives its ledger; [`limeway_checker`] judges that; [`report`] words it.
//! [`daemon`] finds or builds the limiter, [`fleet`] runs its processes.
#![forbid(unsafe_code)]

pub mod daemon;
pub mod drill;
pub mod fleet;
mod histories;
pub mod html;
pub mod measure;
pub mod nemesis;
pub mod quotas;
pub mod rehearsal;
pub mod report;

use std::fmt;

/// Why a rehearsal cannot be played.
#[derive(Debug)]
pub enum KitError {
    /// The scenario cannot be used.
    Scenario(limeway_scenario::ScenarioError),
    /// The limiter's program cannot be had.
    Daemon(String),
    /// Something could not be set up.
    Setup(String),
    /// A file cannot be read or written.
    File(String, std::io::Error),
}

impl fmt::Display for KitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KitError::Scenario(e) => write!(f, "{e}"),
            KitError::Daemon(e) => write!(f, "limiter: {e}"),
            KitError::Setup(e) => write!(f, "set-up: {e}"),
            KitError::File(path, e) => write!(f, "{path}: {e}"),
        }
    }
}

impl std::error::Error for KitError {}

impl From<limeway_scenario::ScenarioError> for KitError {
    fn from(e: limeway_scenario::ScenarioError) -> Self {
        KitError::Scenario(e)
    }
}
