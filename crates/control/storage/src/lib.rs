//! What a core machine keeps on disk: its part in ballots, and a log of the operations that the ballots have chosen, with
//! a snapshot of the state that it starts from.
//!
//! One `redb` file. A [`Record`] is one transaction, on disk when the call returns; several go as one ([`Vault::write_all`]).
//! A write costs what has changed: operations, not the state. The state is written where [`Vault::due`] asks for it.
//!
//! **Bounds.** A snapshot is due after [`OPS_DUE`] operations or [`BYTES_DUE`] of them (or as many bytes as the last snapshot
//! has, if that is more). The log takes no more than [`OPS_MOST`] and [`BYTES_MOST`]: what comes on top is refused
//! until a snapshot has been written. A snapshot holds [`SNAPSHOT_MOST`] at most. Values are cut into parts, so no page of the file,
//! and no buffer here, is larger than 64 KiB. A file that is mostly free ([`SIZE_LEAST`], [`SPACE_MOST`]) is
//! written anew with the next snapshot.
//!
//! **After a failure.** What holds, for each kind:
//!
//! | failure | a call says | on disk then |
//! | --- | --- | --- |
//! | a record out of order, or past a bound | an error, at once | all that was acknowledged; nothing of the record |
//! | the disk is full or refuses a write or a sync | an error | all that was acknowledged; the record whole or not at all |
//! | the disk hangs | nothing until it goes on | as after a kill, if the process ends meanwhile |
//! | the process is killed | | all that was acknowledged; the record under way whole or not at all |
//! | power is lost | | the same, whatever became of writes that were not synced |
//! | the file is torn, of a newer format, or another machine's | [`Found::empty`] | the file, as `state.redb.aside` |
//! | the disk refuses while the file is opened | [`VaultError::Open`] | the file as it was: it is **not** set aside |
//!
//! After any error nothing counts until the whole picture is on disk again: every record without a snapshot is refused
//! ([`VaultError::Unsure`]). So no record builds on one that may be missing. After a write that failed, one with a snapshot
//! goes to a **new file**: a system may drop what it could not sync and take it for written, so that what is read back from the old
//! file by this process proves nothing about the disk.
//!
//! **Names.** After a loss of power a name that was made, renamed or removed since its folder was synced may be kept or lost by
//! itself. The file is `state.redb` or `state.redb.2`; a new one gets the name that the old one has not, so that none is ever
//! renamed but a spoilt one, to `state.redb.aside`.
//!
//! 1. *Nothing is acknowledged while two files may be on disk*, nor while a change of names is not synced. [`Vault::open`] removes all
//!    but one and syncs the folder before it returns, in each start (an earlier process may have ended before its own sync), and
//!    a write to a new file returns after the last sync. So any file that a loss of power brings back held all that was
//!    acknowledged by then, and nothing has been acknowledged since.
//! 2. *A new file* is written and synced, then its name, then the old one is removed, and that is synced. At any time the name of one
//!    whole file has lasted. Both files hold all that was acknowledged, so either may be used; the later turn is. One that is not
//!    whole has no identity, as all of it is one transaction, and is set aside.
//! 3. *A spoilt file* is renamed to `aside` and a new one is made. Whatever is lost of it, the name then stands for the spoilt file
//!    (set aside again), a new one with its first write (used as empty) or without (set aside), or nothing (made). Each is an
//!    empty disk to the machine, which has voted on none of them since.
#![forbid(unsafe_code)]

mod file;
mod format;
mod log;
mod medium;

pub use file::{Vault, SIZE_LEAST, SPACE_MOST};
pub use log::{BYTES_DUE, BYTES_MOST, OPS_DUE, OPS_MOST, SNAPSHOT_MOST};
pub use medium::{Folder, Medium, Name};
/// What a [`Medium`] gives for a file.
pub use redb::StorageBackend;

use limeway_consensus::{DiskIncarnation, Slot, SlotState};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why the disk cannot be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VaultError {
    /// The disk refuses to open or make the file.
    Open,
    /// A write did not reach the disk, or may not have.
    Write,
    /// What is there is torn, of a newer format, or another machine's.
    Read,
    /// A record does not follow what is on disk.
    Order,
    /// A record goes past a bound of the log.
    Bound,
    /// A write failed before, and the whole picture has not been written since.
    Unsure,
}

impl fmt::Display for VaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VaultError::Open => "the state file cannot be opened",
            VaultError::Write => "a write did not reach the disk",
            VaultError::Read => "the state file cannot be read",
            VaultError::Order => "a record does not follow what is on disk",
            VaultError::Bound => "a record goes past a bound of the log",
            VaultError::Unsure => "a snapshot has to be written first",
        })
    }
}

impl std::error::Error for VaultError {}

/// A machine's part in ballots.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Votes {
    /// This disk's life.
    pub life: DiskIncarnation,
    /// Last slot whose operation is applied; the log reaches at least as far.
    pub applied: Slot,
    /// What is promised and accepted for the slot after it.
    pub open: SlotState,
}

/// What is written together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Record {
    /// The part in ballots; takes the place of the last one.
    pub votes: Votes,
    /// Operations that are chosen, with their slots: the first follows the end of the log, each the one before it.
    pub ops: Vec<(Slot, Vec<u8>)>,
    /// The state that the slots up to this one have made. It goes before `ops`, and takes the place of the last snapshot and of
    /// all operations up to its slot. It is never older than the last.
    pub snapshot: Option<(Slot, Vec<u8>)>,
}

/// What was found on disk at the start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Found {
    /// The machine's part in ballots; `life` is set in any case.
    pub votes: Votes,
    /// The last snapshot, with its slot.
    pub snapshot: Option<(Slot, Vec<u8>)>,
    /// The operations since (or since slot 0), without a gap.
    pub ops: Vec<(Slot, Vec<u8>)>,
    /// Nothing was there, or nothing that had a vote: a new machine, or one that lost its disk.
    pub empty: bool,
}
