//! The state file while it is open: recovery, writes, compaction.

use crate::file_system::{FileName, FileStats, FileSystem, ObservedFile};
use crate::format::{self, Contents, StorageResult, FORMAT};
use crate::log_extent::LogExtent;
use crate::{LogRecord, Recovered, StorageError};
use error_stack::{Report, ResultExt};
use limeway_consensus::{DiskIncarnation, NodeId};
use redb::{Database, StorageBackend, WriteTransaction};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// Memory for the file's pages, in bytes. Small: little is read again, and the machines have little memory.
const CACHE_BYTES: usize = 256 * 1024;
/// A file up to this size is not compacted, in bytes.
pub const COMPACTION_MIN_BYTES: u64 = 8 * 1024 * 1024;
/// A larger file is compacted with the next snapshot once it has this many times the bytes that it holds.
pub const COMPACTION_RATIO: u64 = 6;

/// A database and the file that it is in.
struct File {
    /// None only while it is dropped.
    db: Option<Database>,
    stats: Arc<FileStats>,
}

impl Drop for File {
    fn drop(&mut self) {
        let db = self.db.take();
        // Closing may write, and the database panics if that is refused: nothing relies on it.
        drop(catch_panics(|| {
            drop(db);
            Ok(())
        }));
    }
}

/// Whose file it is, and how many files it has replaced.
#[derive(Clone, Copy)]
struct Owner {
    node: NodeId,
    disk: DiskIncarnation,
    generation: u64,
}

/// The state file of a replica.
pub struct StateStore {
    file_system: Box<dyn FileSystem>,
    owner: Owner,
    name: FileName,
    /// None after a write that failed: what the file holds then is not relied on while this process runs.
    file: Option<File>,
    log: LogExtent,
    /// A snapshot of all that counts has to be written before anything else.
    needs_snapshot: bool,
}

/// Catches panics of the database: it panics on some torn files and some failures, which would end every later start as well.
fn catch_panics<T>(run: impl FnOnce() -> StorageResult<T>) -> StorageResult<T> {
    catch_unwind(AssertUnwindSafe(run))
        .unwrap_or_else(|_| Err(Report::new(StorageError::Read).attach("torn")))
}

fn commit(db: &Database, put: impl FnOnce(&WriteTransaction) -> StorageResult<()>) -> StorageResult<()> {
    let write = db.begin_write().change_context(StorageError::Write)?;
    put(&write)?;
    write.commit().change_context(StorageError::Write)
}

/// Opens the database in a file, makes one in an empty file, and runs the first transaction on it.
///
/// # Errors
/// [`StorageError::Open`] if the disk refused anything, and [`StorageError::Read`] if the file is corrupt.
fn with_file<T>(
    inner: Box<dyn StorageBackend>,
    run: impl FnOnce(&Database) -> StorageResult<T>,
) -> StorageResult<(File, T)> {
    let (backend, stats) = ObservedFile::new(inner);
    let result = catch_panics(|| {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES);
        let db = builder.create_with_backend(backend).change_context(StorageError::Read)?;
        let value = run(&db)?;
        Ok((db, value))
    });
    match result {
        Ok((db, value)) => Ok((File { db: Some(db), stats }, value)),
        Err(e) => {
            let kind = if stats.refused() { StorageError::Open } else { StorageError::Read };
            Err(e.change_context(kind))
        }
    }
}

/// A file that was recovered.
struct Loaded {
    file: File,
    contents: Contents,
    log: LogExtent,
}

/// Recovers a file and converts it to the current format.
fn load(file_system: &dyn FileSystem, name: FileName, node: NodeId) -> StorageResult<Loaded> {
    with_file(file_system.open(name).change_context(StorageError::Open)?, |db| {
        let contents = {
            let read = db.begin_read().change_context(StorageError::Read)?;
            format::read(&read, node)?
        };
        let found = &contents.found;
        let snapshot = found.snapshot.as_ref().map(|(slot, state)| (*slot, state.len()));
        let log = LogExtent::new(snapshot, found.operations.iter().map(|(slot, op)| (*slot, op.len())));
        let log = log.change_context(StorageError::Read)?;
        if found.acceptor.applied > log.end() {
            return Err(Report::new(StorageError::Read).attach("the log ends too soon"));
        }
        if contents.format != FORMAT {
            commit(db, |write| format::convert(write, node, &contents))?;
            ::log::info!("state file converted to format {FORMAT}");
        }
        Ok((contents, log))
    })
    .map(|(file, (contents, log))| Loaded { file, contents, log })
}

/// Makes a file with its identity and all that it holds, in one transaction.
fn make(
    file_system: &dyn FileSystem,
    name: FileName,
    owner: Owner,
    records: &[&LogRecord],
) -> StorageResult<File> {
    let inner = file_system.open(name).change_context(StorageError::Open)?;
    with_file(inner, |db| {
        commit(db, |write| {
            format::put_identity(write, owner.node, owner.disk, owner.generation)?;
            put(write, records)
        })
    })
    .map(|(file, ())| file)
}

/// Writes records that follow each other.
fn put(write: &WriteTransaction, records: &[&LogRecord]) -> StorageResult<()> {
    let Some(last) = records.last() else { return Ok(()) };
    format::put_acceptor(write, &last.acceptor)?;
    if let Some(calls) = records.iter().rev().find_map(|record| record.answered_calls.as_ref()) {
        format::put_answered_calls(write, calls)?;
    }
    for record in records {
        record.leaving.as_ref().map_or(Ok(()), |leaving| format::put_leaving(write, leaving))?;
        format::put_operations(write, record)?;
    }
    // The last snapshot replaces all before it.
    match records.iter().rev().find_map(|record| record.snapshot.as_ref()) {
        Some((slot, state)) => format::put_snapshot(write, *slot, state),
        None => Ok(()),
    }
}

impl StateStore {
    /// Opens the file in a directory, or makes one for `node` with the disk incarnation `fresh`. A corrupt file is quarantined and
    /// **never** taken for an empty one: the machine then counts as one that lost its disk.
    ///
    /// # Errors
    /// [`StorageError::Open`]: the disk refuses for now. No file is given up, and the call may be made again.
    pub fn open(
        file_system: impl FileSystem + 'static,
        node: NodeId,
        fresh: DiskIncarnation,
    ) -> StorageResult<(Self, Recovered)> {
        let (name, loaded) = match Self::recover(&file_system, node)? {
            Some(recovered) => recovered,
            None => (FileName::Primary, Self::create(&file_system, node, fresh)?),
        };
        let Loaded { file, contents, log } = loaded;
        // One file is left, and names are durable from here on; an earlier process may have ended before it came to that.
        file_system.remove(name.other()).change_context(StorageError::Open)?;
        file_system.sync_directory().change_context(StorageError::Open)?;
        let Contents { found, generation, .. } = contents;
        let owner = Owner { node, disk: found.acceptor.disk, generation };
        let (file_system, file) = (Box::new(file_system), Some(file));
        Ok((StateStore { file_system, owner, name, file, log, needs_snapshot: false }, found))
    }

    /// Reads the newest intact file, if there is any. Corrupt ones are quarantined.
    fn recover(file_system: &impl FileSystem, node: NodeId) -> StorageResult<Option<(FileName, Loaded)>> {
        let mut newest: Option<(FileName, Loaded)> = None;
        for name in [FileName::Primary, FileName::Alternate] {
            if !file_system.exists(name).change_context(StorageError::Open)? {
                continue;
            }
            match load(file_system, name, node) {
                // Both hold all that was acknowledged; the later one is used.
                Ok(loaded)
                    if newest
                        .as_ref()
                        .is_none_or(|(_, n)| n.contents.generation < loaded.contents.generation) =>
                {
                    newest = Some((name, loaded));
                }
                Ok(_) => {}
                // Torn or of another machine: kept for whoever looks into it, and not used.
                Err(e) if *e.current_context() == StorageError::Read => {
                    ::log::error!("state file quarantined: {e:?}");
                    file_system.quarantine(name).change_context(StorageError::Open)?;
                }
                Err(e) => return Err(e),
            }
        }
        Ok(newest)
    }

    /// Makes the file of a machine that has none.
    fn create(file_system: &impl FileSystem, node: NodeId, fresh: DiskIncarnation) -> StorageResult<Loaded> {
        let owner = Owner { node, disk: fresh, generation: 0 };
        let file = make(file_system, FileName::Primary, owner, &[]);
        let file = file.map_err(|e| e.change_context(StorageError::Open))?;
        let mut found = Recovered { is_new: true, ..Recovered::default() };
        found.acceptor.disk = fresh;
        let contents = Contents { format: FORMAT, generation: 0, found };
        Ok(Loaded { file, contents, log: LogExtent::default() })
    }

    /// A snapshot should be written with the next record.
    pub fn snapshot_due(&self) -> bool {
        self.log.snapshot_due()
    }

    /// A write has failed, and no snapshot has been written since: only a record with a snapshot is accepted.
    pub fn needs_snapshot(&self) -> bool {
        self.needs_snapshot
    }

    /// The file's size, in bytes; 0 after a write that failed.
    pub fn size(&self) -> u64 {
        self.file.as_ref().map_or(0, |f| f.stats.size())
    }

    /// Writes a record; it is on disk when the call returns.
    ///
    /// # Errors
    /// The record is refused or could not be written; what holds then is in the table at the [head](crate) of the package.
    pub fn write(&mut self, record: &LogRecord) -> Result<(), StorageError> {
        self.write_records(&[record]).pop().unwrap_or(Ok(()))
    }

    /// Writes several records, one after the other, as one transaction. Each has its own result, as if it were written by itself.
    pub fn write_all(&mut self, records: &[LogRecord]) -> Vec<Result<(), StorageError>> {
        let records: Vec<_> = records.iter().collect();
        self.write_records(&records)
    }

    fn write_records(&mut self, records: &[&LogRecord]) -> Vec<Result<(), StorageError>> {
        // First what may be written, then the writing.
        let (mut log, mut needs_snapshot) = (self.log.clone(), self.needs_snapshot);
        let mut accepted = Vec::with_capacity(records.len());
        let mut results: Vec<Result<(), StorageError>> = Vec::with_capacity(records.len());
        for record in records {
            let next = log.after(record, needs_snapshot);
            needs_snapshot = next.is_err();
            results.push(next.map(|next| {
                log = next;
                accepted.push(*record);
            }));
        }
        if accepted.is_empty() {
            self.needs_snapshot |= needs_snapshot;
            return results;
        }
        match self.put_accepted(&accepted, &log) {
            Ok(()) => {
                (self.log, self.needs_snapshot) = (log, needs_snapshot);
            }
            Err(e) => {
                ::log::warn!("write to the state file failed: {e:?}");
                results.iter_mut().filter(|r| r.is_ok()).for_each(|r| *r = Err(StorageError::Write));
                self.needs_snapshot = true;
                self.file = None;
            }
        }
        results
    }

    fn put_accepted(&mut self, records: &[&LogRecord], after: &LogExtent) -> StorageResult<()> {
        let snapshot = records.iter().rev().find_map(|record| record.snapshot.as_ref());
        // A new file holds what is written now and nothing else.
        let complete = snapshot.is_some_and(|(slot, _)| *slot >= self.log.end());
        let sparse = self.size() > COMPACTION_MIN_BYTES.max(COMPACTION_RATIO * after.bytes() as u64);
        match self.file.as_ref().and_then(|f| f.db.as_ref()) {
            Some(db) if !(complete && sparse) => catch_panics(|| commit(db, |write| put(write, records))),
            _ if complete => self.replace_file(records),
            _ => Err(Report::new(StorageError::SnapshotRequired)),
        }
    }

    /// Writes all that counts to a new file, which replaces the old one.
    fn replace_file(&mut self, records: &[&LogRecord]) -> StorageResult<()> {
        self.file = None;
        self.owner.generation += 1;
        let (file_system, new) = (self.file_system.as_ref(), self.name.other());
        file_system.remove(new).change_context(StorageError::Write)?;
        let file = make(file_system, new, self.owner, records)?;
        // The new name is durable before the old one goes, or neither might be left.
        file_system.sync_directory().change_context(StorageError::Write)?;
        let old = std::mem::replace(&mut self.name, new);
        file_system.remove(old).change_context(StorageError::Write)?;
        file_system.sync_directory().change_context(StorageError::Write)?;
        self.file = Some(file);
        Ok(())
    }
}
