//! What a replica keeps on disk: its acceptor, and a log of the operations that were chosen, with a snapshot of the state that it
//! starts from.
//!
//! One `redb` file. A [`LogRecord`] is one transaction, on disk when the call returns; several go as one
//! ([`StateStore::write_all`]). A write costs what has changed: operations, not the state. The state is written where
//! [`StateStore::snapshot_due`] asks for it.
//!
//! **Bounds.** A snapshot is due after [`SNAPSHOT_AFTER_OPERATIONS`] or [`SNAPSHOT_AFTER_BYTES`] (or as many bytes as the last
//! snapshot has, if that is more). The log takes no more than [`MAX_LOG_OPERATIONS`] and [`MAX_LOG_BYTES`]: what comes on top is
//! refused until a snapshot has been written. A snapshot has [`MAX_SNAPSHOT_BYTES`] at most. Values are cut into chunks, so no page
//! of the file, and no buffer here, is larger than 64 KiB. A file that is mostly free ([`COMPACTION_MIN_BYTES`],
//! [`COMPACTION_RATIO`]) is compacted: the next snapshot goes to a new file.
//!
//! **After a failure.** What holds, for each kind:
//!
//! | failure | a call returns | on disk then |
//! | --- | --- | --- |
//! | a record out of order, or past a bound | an error, at once | all that was acknowledged; nothing of the record |
//! | the disk is full or refuses a write or a sync | an error | all that was acknowledged; the record completely or not at all |
//! | the disk hangs | nothing until it goes on | as after a kill, if the process ends meanwhile |
//! | the process is killed | | all that was acknowledged; the record under way completely or not at all |
//! | power is lost | | the same, whatever became of writes that were not synced |
//! | the file is torn, of a newer format, or another machine's | [`Recovered::is_new`] | the file, as `state.redb.aside` |
//! | the disk refuses while the file is opened | [`StorageError::Open`] | the file as it was: it is **not** quarantined |
//!
//! After any error every record without a snapshot is refused ([`StorageError::SnapshotRequired`]) until a snapshot of all that
//! counts is on disk. So no record builds on one that may be missing. After a write that failed, a record with a snapshot goes to a
//! **new file**: a system may drop what it could not sync and take it for written, so that what is read back from the old file by
//! this process proves nothing about the disk.
//!
//! **File names.** After a loss of power a name that was made, renamed or removed since its directory was synced may be kept or lost
//! by itself. The file is `state.redb` or `state.redb.2`; a new one gets the name that the old one has not, so that none is ever
//! renamed but a corrupt one, to `state.redb.aside`.
//!
//! 1. *Nothing is acknowledged while two files may be on disk*, nor while a change of names is not synced. [`StateStore::open`]
//!    removes all but one and syncs the directory before it returns, in each start (an earlier process may have ended before its own
//!    sync), and a write to a new file returns after the last sync. So any file that a loss of power brings back held all that was
//!    acknowledged by then, and nothing has been acknowledged since.
//! 2. *A new file* is written and synced, then its name, then the old one is removed, and that is synced. At any time the name of one
//!    complete file is durable. Both files hold all that was acknowledged, so either may be used; the later generation is. One that
//!    is not complete has no identity, as all of it is one transaction, and is quarantined.
//! 3. *A corrupt file* is renamed to `state.redb.aside` and a new one is made. Whatever is lost of it, the name then stands for the
//!    corrupt file (quarantined again), a new one with its first write (used as new) or without (quarantined), or nothing (made).
//!    Each is an empty disk to the machine, which has voted on none of them since.
#![forbid(unsafe_code)]

mod error;
mod file_system;
mod format;
mod log_extent;
mod state_store;

pub use error::StorageError;
pub use file_system::{Directory, FileName, FileSystem};
pub use limeway_consensus::{Acceptor, LogRecord};
pub use log_extent::{
    MAX_LOG_BYTES, MAX_LOG_OPERATIONS, MAX_SNAPSHOT_BYTES, SNAPSHOT_AFTER_BYTES, SNAPSHOT_AFTER_OPERATIONS,
};
/// What a [`FileSystem`] gives for a file.
pub use redb::StorageBackend;
pub use state_store::{StateStore, COMPACTION_MIN_BYTES, COMPACTION_RATIO};

use limeway_consensus::Slot;

/// What was found on disk at the start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Recovered {
    /// The machine's acceptor; the incarnation of its disk is set in any case.
    pub acceptor: Acceptor,
    /// The last snapshot, with its slot.
    pub snapshot: Option<(Slot, Vec<u8>)>,
    /// The operations since (or since slot 0), without a gap.
    pub operations: Vec<(Slot, Vec<u8>)>,
    /// Ids of operators' calls that were answered, or were about to be.
    pub answered_calls: Vec<u64>,
    /// Reports of instances that leave or have ended, encoded.
    pub leaving: Vec<Vec<u8>>,
    /// Nothing was there, or nothing that had a vote: a new machine, or one that lost its disk.
    pub is_new: bool,
}
