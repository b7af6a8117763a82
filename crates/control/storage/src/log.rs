//! What the log on disk holds, and which records may follow it. Free of I/O.

use crate::{Record, VaultError};
use limeway_consensus::Slot;
use std::collections::VecDeque;

/// Operations since the last snapshot after which one is due.
pub const OPS_DUE: usize = 256;
/// Bytes of operations since the last snapshot after which one is due, if that snapshot is no larger.
pub const BYTES_DUE: usize = 256 * 1024;
/// Operations in the log, at most.
pub const OPS_MOST: usize = 1_024;
/// Bytes of operations in the log before the last one, at most.
pub const BYTES_MOST: usize = 32 * 1024 * 1024;
/// Bytes of a snapshot, at most.
pub const SNAPSHOT_MOST: usize = 32 * 1024 * 1024;

/// The shape of the log: slots and sizes, without contents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Log {
    /// Slot of the snapshot; 0 without one.
    base: Slot,
    snapshot: usize,
    /// Size of each operation after it, in bytes.
    sizes: VecDeque<usize>,
    bytes: usize,
}

impl Log {
    /// The log that these make.
    pub fn new(
        snapshot: Option<(Slot, usize)>,
        ops: impl IntoIterator<Item = (Slot, usize)>,
    ) -> Result<Self, VaultError> {
        let (base, snapshot) = snapshot.unwrap_or_default();
        let mut log = Log { base, snapshot, ..Log::default() };
        for (slot, size) in ops {
            log.push(slot, size)?;
        }
        Ok(log)
    }

    /// The last slot in the log.
    pub fn end(&self) -> Slot {
        self.base + self.sizes.len() as Slot
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.snapshot + self.bytes
    }

    /// A snapshot should be written.
    pub fn due(&self) -> bool {
        self.sizes.len() >= OPS_DUE || self.bytes >= BYTES_DUE.max(self.snapshot)
    }

    fn push(&mut self, slot: Slot, size: usize) -> Result<(), VaultError> {
        if slot != self.end() + 1 {
            return Err(VaultError::Order);
        }
        if self.sizes.len() >= OPS_MOST || self.bytes >= BYTES_MOST {
            return Err(VaultError::Bound);
        }
        self.sizes.push_back(size);
        self.bytes += size;
        Ok(())
    }

    /// The log after a record. After a failure (`unsure`) only one that holds all that counts is taken.
    pub fn with(&self, record: &Record, unsure: bool) -> Result<Self, VaultError> {
        let mut next = self.clone();
        if unsure && record.snapshot.is_none() {
            return Err(VaultError::Unsure);
        }
        if let Some((slot, state)) = &record.snapshot {
            if *slot < next.base || (unsure && *slot < next.end()) {
                return Err(VaultError::Order);
            }
            if state.len() > SNAPSHOT_MOST {
                return Err(VaultError::Bound);
            }
            for _ in next.base..(*slot).min(next.end()) {
                next.bytes -= next.sizes.pop_front().unwrap_or(0);
            }
            (next.base, next.snapshot) = (*slot, state.len());
        }
        for (slot, op) in &record.ops {
            next.push(*slot, op.len())?;
        }
        if record.votes.applied > next.end() {
            return Err(VaultError::Order);
        }
        Ok(next)
    }
}
