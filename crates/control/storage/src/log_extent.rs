//! The extent of the log on disk: slots and sizes, and which records may follow. Free of I/O.

use crate::{LogRecord, StorageError};
use limeway_consensus::Slot;
use std::collections::VecDeque;

/// Operations since the last snapshot after which one is due.
pub const SNAPSHOT_AFTER_OPERATIONS: usize = 256;
/// Bytes of operations since the last snapshot after which one is due, if that snapshot is no larger.
pub const SNAPSHOT_AFTER_BYTES: usize = 256 * 1024;
/// Upper bound on the operations in the log.
pub const MAX_LOG_OPERATIONS: usize = 1_024;
/// Upper bound on the bytes of operations in the log before the last one.
pub const MAX_LOG_BYTES: usize = 32 * 1024 * 1024;
/// Upper bound on the bytes of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 32 * 1024 * 1024;

/// The extent of the log, without contents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LogExtent {
    /// Slot of the snapshot; 0 without one.
    base: Slot,
    snapshot_bytes: usize,
    /// Size of each operation after it, in bytes.
    sizes: VecDeque<usize>,
    bytes: usize,
}

impl LogExtent {
    /// The log that these make.
    ///
    /// # Errors
    /// The operations have a gap, or exceed a bound.
    pub(crate) fn new(
        snapshot: Option<(Slot, usize)>,
        operations: impl IntoIterator<Item = (Slot, usize)>,
    ) -> Result<Self, StorageError> {
        let (base, snapshot_bytes) = snapshot.unwrap_or_default();
        let mut log = LogExtent { base, snapshot_bytes, ..LogExtent::default() };
        for (slot, size) in operations {
            log.push(slot, size)?;
        }
        Ok(log)
    }

    /// The last slot in the log.
    pub(crate) fn end(&self) -> Slot {
        self.base + self.sizes.len() as Slot
    }

    /// Bytes of the snapshot and the operations.
    pub(crate) fn bytes(&self) -> usize {
        self.snapshot_bytes + self.bytes
    }

    /// A snapshot should be written.
    pub(crate) fn snapshot_due(&self) -> bool {
        self.sizes.len() >= SNAPSHOT_AFTER_OPERATIONS
            || self.bytes >= SNAPSHOT_AFTER_BYTES.max(self.snapshot_bytes)
    }

    fn push(&mut self, slot: Slot, size: usize) -> Result<(), StorageError> {
        if slot != self.end() + 1 {
            return Err(StorageError::OutOfOrder);
        }
        if self.sizes.len() >= MAX_LOG_OPERATIONS || self.bytes >= MAX_LOG_BYTES {
            return Err(StorageError::LimitExceeded);
        }
        self.sizes.push_back(size);
        self.bytes += size;
        Ok(())
    }

    /// The log after a record. After a failure (`needs_snapshot`) only a record whose snapshot covers the whole log is accepted.
    pub(crate) fn after(&self, record: &LogRecord, needs_snapshot: bool) -> Result<Self, StorageError> {
        let mut next = self.clone();
        if needs_snapshot && record.snapshot.is_none() {
            return Err(StorageError::SnapshotRequired);
        }
        if let Some((slot, state)) = &record.snapshot {
            if *slot < next.base || (needs_snapshot && *slot < next.end()) {
                return Err(StorageError::OutOfOrder);
            }
            if state.len() > MAX_SNAPSHOT_BYTES {
                return Err(StorageError::LimitExceeded);
            }
            for _ in next.base..(*slot).min(next.end()) {
                next.bytes -= next.sizes.pop_front().unwrap_or(0);
            }
            (next.base, next.snapshot_bytes) = (*slot, state.len());
        }
        for (slot, operation) in &record.operations {
            next.push(*slot, operation.len())?;
        }
        if record.acceptor.applied > next.end() {
            return Err(StorageError::OutOfOrder);
        }
        Ok(next)
    }
}
