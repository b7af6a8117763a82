//! Why the disk cannot be read or written.

use std::fmt;

/// Why the disk cannot be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorageError {
    /// The disk refuses to open or make the file.
    Open,
    /// A write did not reach the disk, or may not have.
    Write,
    /// What is there is torn, of a newer format, or another machine's.
    Read,
    /// A record does not follow what is on disk.
    OutOfOrder,
    /// A record exceeds a bound of the log.
    LimitExceeded,
    /// An earlier write failed, and no snapshot has been written since.
    SnapshotRequired,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StorageError::Open => "the state file cannot be opened",
            StorageError::Write => "a write did not reach the disk",
            StorageError::Read => "the state file cannot be read",
            StorageError::OutOfOrder => "a record does not follow what is on disk",
            StorageError::LimitExceeded => "a record exceeds a bound of the log",
            StorageError::SnapshotRequired => "a snapshot has to be written first",
        })
    }
}

impl std::error::Error for StorageError {}
