//! The body of a server's heartbeat.

use super::MAX_NAME_BYTES;
use limeway_service_registry::{Phase, ServerReport};
use limeway_types::{Micros, SECOND};
use miniserde::json::{self, Number, Object, Value};
use std::fmt;
use std::net::SocketAddrV4;

/// Longest slow start that a server may state.
const MAX_SLOW_START: Micros = 120 * SECOND;
/// Most capacity that a server may state.
const MAX_CAPACITY_SLOTS: u64 = 100_000;

/// Why a heartbeat is malformed: the field, and what is wrong with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct InvalidReport {
    field: &'static str,
    reason: &'static str,
}

impl fmt::Display for InvalidReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

fn invalid(field: &'static str, reason: &'static str) -> InvalidReport {
    InvalidReport { field, reason }
}

fn missing(field: &'static str) -> InvalidReport {
    invalid(field, "is missing")
}

/// Parses the heartbeat of the server with this id.
///
/// # Errors
/// A field is missing or of the wrong form.
pub(super) fn parse(id: &str, body: &[u8]) -> Result<ServerReport, InvalidReport> {
    let text = std::str::from_utf8(body).map_err(|_| invalid("body", "is not UTF-8"))?;
    let Ok(Value::Object(fields)) = json::from_str::<Value>(text) else {
        return Err(invalid("body", "is no JSON object"));
    };
    if id.is_empty() {
        return Err(missing("of"));
    }
    let slow_start_left = slow_start_left(&fields)?;
    let service = string(&fields, "target-service").ok_or(missing("target-service"))?;
    let address = string(&fields, "address").and_then(|address| address.parse::<SocketAddrV4>().ok());
    let address = address.ok_or(invalid("address", "is no IPv4 and port"))?;
    let zone = string(&fields, "zone").ok_or(missing("zone"))?;
    let capacity = number(&fields, "capacity-slots").unwrap_or(1);
    let phase = match string(&fields, "state") {
        Some("ready") => Phase::Ready,
        Some("draining") => Phase::Draining,
        _ => return Err(invalid("state", "is neither ready nor draining")),
    };
    Ok(ServerReport {
        id: id.to_owned(),
        service: service.to_owned(),
        address,
        zone: zone.to_owned(),
        capacity_slots: capacity.clamp(1, MAX_CAPACITY_SLOTS) as u32,
        phase,
        slow_start_left,
        sequence: number(&fields, "call-count").ok_or(missing("call-count"))?,
        age: 0,
        unresponsive: false,
    })
}

fn slow_start_left(fields: &Object) -> Result<Micros, InvalidReport> {
    if fields.get("cold-left").is_none() {
        return Ok(0);
    }
    let left = string(fields, "cold-left").and_then(limeway_settings::time);
    Ok(left.ok_or(invalid("cold-left", "is no time with a unit"))?.min(MAX_SLOW_START))
}

fn string<'a>(fields: &'a Object, field: &str) -> Option<&'a str> {
    match fields.get(field) {
        Some(Value::String(text)) if text.len() <= MAX_NAME_BYTES => Some(text.as_str()),
        _ => None,
    }
}

fn number(fields: &Object, field: &str) -> Option<u64> {
    match fields.get(field) {
        Some(Value::Number(Number::U64(n))) => Some(*n),
        _ => None,
    }
}
