//! The open file.

use crate::format::{self, Contents, FORMAT};
use crate::log::Log;
use crate::medium::{Medium, Name, Seen, Watched};
use crate::{Found, Record, VaultError};
use error_stack::{Report, ResultExt};
use limeway_consensus::{DiskIncarnation, NodeId};
use redb::{Database, StorageBackend, WriteTransaction};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

/// Memory that the file's pages may take, in bytes: memory is dear, what is read again is little.
const CACHE: usize = 256 * 1024;
/// A file up to this size stays as it is, in bytes.
pub const SIZE_LEAST: u64 = 8 * 1024 * 1024;
/// A larger file of more than so many times what it holds is written anew with the next snapshot.
pub const SPACE_MOST: u64 = 6;

type Outcome<T> = Result<T, Report<VaultError>>;
/// A record, and what a machine that still writes its whole state keeps besides.
type Row<'a> = &'a Record;

/// A database and the file that it is in.
struct File {
    /// None only while it is dropped.
    db: Option<Database>,
    seen: Arc<Seen>,
}

impl Drop for File {
    fn drop(&mut self) {
        let db = self.db.take();
        // Closing may write, and the library end the thread if that is refused: nothing counts on it.
        drop(guarded(|| {
            drop(db);
            Ok(())
        }));
    }
}

/// Whose file it is, and how often one has taken the place of another.
#[derive(Clone, Copy)]
struct Owner {
    node: NodeId,
    life: DiskIncarnation,
    turn: u64,
}

/// The open file.
pub struct Vault {
    medium: Box<dyn Medium>,
    owner: Owner,
    name: Name,
    /// None after a write that failed: what the file holds then is not relied on while this process lives.
    file: Option<File>,
    log: Log,
    /// The whole picture has to be written before anything counts.
    unsure: bool,
}

/// The library ends the thread on some torn files and some failures, which would end every later start as well.
fn guarded<T>(run: impl FnOnce() -> Outcome<T>) -> Outcome<T> {
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| Err(Report::new(VaultError::Read).attach("torn")))
}

fn commit(db: &Database, put: impl FnOnce(&WriteTransaction) -> Outcome<()>) -> Outcome<()> {
    let write = db.begin_write().change_context(VaultError::Write)?;
    put(&write)?;
    write.commit().change_context(VaultError::Write)
}

/// Opens the database in a file, makes one in an empty file, and does the first thing with it. An error is
/// [`VaultError::Open`] if the disk refused anything, and [`VaultError::Read`] if the file is spoilt.
fn with_file<T>(
    inner: Box<dyn StorageBackend>,
    run: impl FnOnce(&Database) -> Outcome<T>,
) -> Outcome<(File, T)> {
    let (backend, seen) = Watched::new(inner);
    let result = guarded(|| {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE);
        let db = builder.create_with_backend(backend).change_context(VaultError::Read)?;
        let value = run(&db)?;
        Ok((db, value))
    });
    match result {
        Ok((db, value)) => Ok((File { db: Some(db), seen }, value)),
        Err(e) => {
            let kind = if seen.refused() { VaultError::Open } else { VaultError::Read };
            Err(e.change_context(kind))
        }
    }
}

/// A file that was read.
struct Loaded {
    file: File,
    contents: Contents,
    log: Log,
}

/// Reads a file and brings it to this format.
fn load(medium: &dyn Medium, name: Name, node: NodeId) -> Outcome<Loaded> {
    with_file(medium.open(name).change_context(VaultError::Open)?, |db| {
        let contents = {
            let read = db.begin_read().change_context(VaultError::Read)?;
            format::read(&read, node)?
        };
        let found = &contents.found;
        let snapshot = found.snapshot.as_ref().map(|(slot, state)| (*slot, state.len()));
        let log = Log::new(snapshot, found.ops.iter().map(|(slot, op)| (*slot, op.len())));
        let log = log.change_context(VaultError::Read)?;
        if found.votes.applied > log.end() {
            return Err(Report::new(VaultError::Read).attach("the log ends too soon"));
        }
        if contents.format != FORMAT {
            commit(db, |write| format::convert(write, node, &contents))?;
            ::log::info!("state file brought to format {FORMAT}");
        }
        Ok((contents, log))
    })
    .map(|(file, (contents, log))| Loaded { file, contents, log })
}

/// Makes a file, with whose it is and all that it holds in one transaction.
fn make(medium: &dyn Medium, name: Name, owner: Owner, rows: &[Row]) -> Outcome<File> {
    let inner = medium.open(name).change_context(VaultError::Open)?;
    with_file(inner, |db| {
        commit(db, |write| {
            format::put_identity(write, owner.node, owner.life, owner.turn)?;
            put(write, rows)
        })
    })
    .map(|(file, ())| file)
}

/// Writes records that follow each other.
fn put(write: &WriteTransaction, rows: &[Row]) -> Outcome<()> {
    let Some(last) = rows.last() else { return Ok(()) };
    format::put_votes(write, &last.votes)?;
    for record in rows {
        format::put_ops(write, record)?;
    }
    // The last snapshot takes the place of all before it.
    match rows.iter().rev().find_map(|record| record.snapshot.as_ref()) {
        Some((slot, state)) => format::put_snapshot(write, *slot, state),
        None => Ok(()),
    }
}

impl Vault {
    /// Opens the file in a folder, or makes one for `node` with the life `fresh`. A spoilt file is set aside and **never** taken for
    /// an empty one: the machine then counts as one that lost its disk. [`VaultError::Open`] means that the disk refuses for now:
    /// no file is given up, and the call may be made again.
    pub fn open(
        medium: impl Medium + 'static,
        node: NodeId,
        fresh: DiskIncarnation,
    ) -> Outcome<(Self, Found)> {
        let mut loaded: Option<(Name, Loaded)> = None;
        for name in [Name::First, Name::Second] {
            if !medium.exists(name).change_context(VaultError::Open)? {
                continue;
            }
            match load(&medium, name, node) {
                // Both hold all that counts; the later one is left.
                Ok(all) if loaded.as_ref().is_none_or(|(_, l)| l.contents.turn < all.contents.turn) => {
                    loaded = Some((name, all));
                }
                Ok(_) => {}
                // Torn or foreign: kept for whoever looks into it, and not used.
                Err(e) if *e.current_context() == VaultError::Read => {
                    ::log::error!("state file set aside: {e:?}");
                    medium.set_aside(name).change_context(VaultError::Open)?;
                }
                Err(e) => return Err(e),
            }
        }
        let (name, Loaded { file, contents, log }) = match loaded {
            Some(all) => all,
            None => {
                let owner = Owner { node, life: fresh, turn: 0 };
                let file = make(&medium, Name::First, owner, &[]);
                let file = file.map_err(|e| e.change_context(VaultError::Open))?;
                let mut found = Found { empty: true, ..Found::default() };
                found.votes.life = fresh;
                let contents = Contents { format: FORMAT, turn: 0, found };
                (Name::First, Loaded { file, contents, log: Log::default() })
            }
        };
        // One file is left, and names last from here on; an earlier process may have ended before it came to that.
        medium.remove(name.other()).change_context(VaultError::Open)?;
        medium.settle().change_context(VaultError::Open)?;
        let Contents { found, turn, .. } = contents;
        let owner = Owner { node, life: found.votes.life, turn };
        let (medium, file) = (Box::new(medium), Some(file));
        Ok((Vault { medium, owner, name, file, log, unsure: false }, found))
    }

    /// A snapshot should be written with the next record.
    pub fn due(&self) -> bool {
        self.log.due()
    }

    /// A write has failed, and the whole picture is not on disk again: only a record with a snapshot is taken.
    pub fn unsure(&self) -> bool {
        self.unsure
    }

    /// The file's size, in bytes; 0 after a write that failed.
    pub fn size(&self) -> u64 {
        self.file.as_ref().map_or(0, |f| f.seen.size())
    }

    /// Writes a record; it is on disk when the call returns. After an error see the [head](crate) of the package.
    pub fn write(&mut self, record: &Record) -> Result<(), VaultError> {
        self.write_rows(&[record]).pop().unwrap_or(Ok(()))
    }

    /// Writes several records, one after the other, as one transaction. Each has its own answer, as if it were written by itself.
    pub fn write_all(&mut self, records: &[Record]) -> Vec<Result<(), VaultError>> {
        let rows: Vec<_> = records.iter().collect();
        self.write_rows(&rows)
    }

    fn write_rows(&mut self, rows: &[Row]) -> Vec<Result<(), VaultError>> {
        // First what may be written, then the writing.
        let (mut log, mut unsure) = (self.log.clone(), self.unsure);
        let mut taken = Vec::with_capacity(rows.len());
        let mut answers: Vec<Result<(), VaultError>> = Vec::with_capacity(rows.len());
        for record in rows {
            let next = log.with(record, unsure);
            unsure = next.is_err();
            answers.push(next.map(|next| {
                log = next;
                taken.push(*record);
            }));
        }
        if taken.is_empty() {
            self.unsure |= unsure;
            return answers;
        }
        match self.put_taken(&taken, &log) {
            Ok(()) => {
                (self.log, self.unsure) = (log, unsure);
            }
            Err(e) => {
                ::log::warn!("{e:?}");
                answers.iter_mut().filter(|a| a.is_ok()).for_each(|a| *a = Err(VaultError::Write));
                self.unsure = true;
                self.file = None;
            }
        }
        answers
    }

    fn put_taken(&mut self, taken: &[Row], after: &Log) -> Outcome<()> {
        let snapshot = taken.iter().rev().find_map(|record| record.snapshot.as_ref());
        // A new file holds what is written now and nothing else.
        let whole = snapshot.is_some_and(|(slot, _)| *slot >= self.log.end());
        let wide = self.size() > SIZE_LEAST.max(SPACE_MOST * after.bytes() as u64);
        match self.file.as_ref().and_then(|f| f.db.as_ref()) {
            Some(db) if !(whole && wide) => guarded(|| commit(db, |write| put(write, taken))),
            _ if whole => self.renew(taken),
            _ => Err(Report::new(VaultError::Unsure)),
        }
    }

    /// Writes all that counts to a new file, which takes the place of the old one.
    fn renew(&mut self, rows: &[Row]) -> Outcome<()> {
        self.file = None;
        self.owner.turn += 1;
        let (medium, new) = (self.medium.as_ref(), self.name.other());
        medium.remove(new).change_context(VaultError::Write)?;
        let file = make(medium, new, self.owner, rows)?;
        // The new name lasts before the old one goes, or neither might be left.
        medium.settle().change_context(VaultError::Write)?;
        let old = std::mem::replace(&mut self.name, new);
        medium.remove(old).change_context(VaultError::Write)?;
        medium.settle().change_context(VaultError::Write)?;
        self.file = Some(file);
        Ok(())
    }
}
