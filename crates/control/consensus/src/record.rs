//! What a replica writes to its disk.

use crate::{Acceptor, Slot};

/// What a replica persists at once: its acceptor, and what it has applied since the last record.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogRecord {
    /// The acceptor; it replaces the last one.
    pub acceptor: Acceptor,
    /// Operations that are chosen, encoded, with their slots: the first follows the end of the log, each the one before it.
    pub operations: Vec<(Slot, Vec<u8>)>,
    /// The encoded state that the slots up to this one have made. It goes before `operations`, and replaces the last snapshot and
    /// all operations up to its slot. It is never older than the last.
    pub snapshot: Option<(Slot, Vec<u8>)>,
    /// Ids of the operators' calls that are answered, or about to be; they replace the last ones. None if they have not changed.
    pub answered_calls: Option<Vec<u64>>,
    /// Reports of instances that leave or have ended. None if they have not changed.
    pub leaving: Option<LeavingReports>,
}

/// Changes of the reports of instances that leave or have ended, as they are on disk.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeavingReports {
    /// The reports are all that there are: they replace those on disk.
    pub replaces_all: bool,
    /// Reports that are new, or have changed.
    pub changed: Vec<LeavingReport>,
}

/// The report of an instance that leaves or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingReport {
    /// The id of the instance.
    pub id: String,
    /// The report, encoded.
    pub report: Vec<u8>,
}
