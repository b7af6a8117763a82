//! Why a scenario cannot be used.

use std::fmt;

/// Why a scenario cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioError {
    /// The key; empty where the text is no TOML at all.
    pub key: String,
    /// What is wrong there.
    pub reason: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            return write!(f, "scenario: {}", self.reason);
        }
        write!(f, "scenario: {}: {}", self.key, self.reason)
    }
}

impl std::error::Error for ScenarioError {}
