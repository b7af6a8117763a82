//! Time and node ids, defined once for every layer.
//!
//! A field or parameter says by its type whether it is a point in time ([`Timestamp`]) or a length of time ([`Micros`]). Both are
//! plain integers, so that they keep their encoding on the wire and on disk.
#![forbid(unsafe_code)]

/// A point in time on the machine's own monotonic clock, in microseconds; never the time of day. Timestamps of different
/// machines cannot be compared: messages carry ages and remaining times instead.
pub type Timestamp = u64;
/// A length of time, in microseconds.
pub type Micros = u64;
/// A machine, by its IPv4 address as a number.
pub type NodeId = u32;
/// One run of a process, drawn at random at its start and never 0. A restarted process has a new one.
pub type ProcessIncarnation = u64;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;
/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
