//! Why a settings file is invalid.

use error_stack::Report;
use std::fmt;

/// Why a settings file is invalid: the field and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    pub(crate) field: String,
    pub(crate) reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

pub(crate) fn invalid(field: &str, reason: &'static str) -> Report<SettingsError> {
    Report::new(SettingsError { field: field.to_owned(), reason })
}
