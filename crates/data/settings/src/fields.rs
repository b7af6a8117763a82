//! The fields of a settings file, by name.

use crate::error::{invalid, SettingsError};
use error_stack::Report;
use limeway_types::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Upper bound on a settings file, in bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Longest time that a setting may give: an hour, in microseconds.
const MAX_TIME: f64 = 3_600e6;

/// Parses a length of time: a number and its unit, `ms` or `s`.
pub fn time(text: &str) -> Option<Micros> {
    let (digits, unit) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1e3),
        None => (text.strip_suffix('s')?, 1e6),
    };
    let micros = digits.parse::<f64>().ok()? * unit;
    (0.0..=MAX_TIME).contains(&micros).then_some(micros as Micros)
}

/// The fields of a file, by name.
pub(crate) struct FieldMap<'a>(pub BTreeMap<&'a str, &'a str>);

impl<'a> FieldMap<'a> {
    pub(crate) fn parse(text: &'a str) -> Result<Self, Report<SettingsError>> {
        if text.len() > MAX_FILE_BYTES {
            return Err(invalid("file", "longer than 1 MiB"));
        }
        let lines = text.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#'));
        let pair = |line: &'a str| line.split_once('=').ok_or_else(|| invalid(line, "a line without '='"));
        Ok(FieldMap(lines.map(pair).collect::<Result<_, _>>()?))
    }

    pub(crate) fn required(&self, name: &str) -> Result<&'a str, Report<SettingsError>> {
        self.0.get(name).copied().filter(|v| !v.is_empty()).ok_or_else(|| invalid(name, "is missing"))
    }

    /// A field that may be left out, read by `read`.
    pub(crate) fn optional<T>(
        &self,
        name: &str,
        reason: &'static str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, Report<SettingsError>> {
        match self.0.get(name).filter(|v| !v.is_empty()) {
            None => Ok(None),
            Some(value) => read(value).map(Some).ok_or_else(|| invalid(name, reason)),
        }
    }

    pub(crate) fn address(&self, name: &str) -> Result<Option<SocketAddr>, Report<SettingsError>> {
        self.optional(name, "is no address and port", |v| v.parse().ok())
    }
}

pub(crate) fn boolean(text: &str) -> Option<bool> {
    text.parse().ok()
}
