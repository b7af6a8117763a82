//! Time and bytes that a slot costs on disk: the whole state in one row, as format 1 had it, against records with snapshots when due.
//!
//! `cargo run --release -p limeway-storage --example record_cost [FOLDER]`

#[path = "../tests/hooked/mod.rs"]
mod hooked;

use hooked::{Hook, Hooked};
use limeway_storage::{Acceptor, Directory, FileName, FileSystem, LogRecord, StateStore};
use redb::{Database, StorageBackend, TableDefinition};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Slots that are written.
const SLOTS: u64 = 600;
/// Slots of the whole state, where one takes long.
const SLOTS_WHOLE: u64 = 60;
/// Bytes of an operation.
const OP: usize = 400;
const ROWS: TableDefinition<'static, &'static str, &'static [u8]> = TableDefinition::new("state");

#[derive(Debug, Clone, Default)]
struct Count {
    bytes: Arc<AtomicU64>,
    syncs: Arc<AtomicU64>,
    most: Arc<AtomicU64>,
}

impl Hook for Count {
    fn before_set_length(&self, length: u64) -> io::Result<()> {
        self.most.fetch_max(length, Ordering::Relaxed);
        Ok(())
    }

    fn before_sync(&self) -> io::Result<()> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn before_write(&self, bytes: usize) -> io::Result<()> {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        Ok(())
    }
}

type Counted = Hooked<Count>;
type Failed = Box<dyn std::error::Error>;

fn folder(name: &str) -> (PathBuf, Counted) {
    let above = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let path = above.join(format!("limeway-record-cost-{}-{name}", std::process::id()));
    let counted = Hooked(Directory::new(&path), Count::default());
    (path, counted)
}

fn tell(way: &str, size: usize, slots: u64, begun: Instant, count: &Count) {
    let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
    println!(
        "{way:>8} {:>6} KB of state: {:>8.2} ms, {:>9.1} KB, {:>4.1} syncs a slot; file {:>6.1} MB at most",
        size / 1000,
        begun.elapsed().as_secs_f64() * 1e3 / slots as f64,
        load(&count.bytes) as f64 / 1e3 / slots as f64,
        load(&count.syncs) as f64 / slots as f64,
        load(&count.most) as f64 / 1e6,
    );
}

fn whole(size: usize) -> Result<(), Failed> {
    let (path, medium) = folder("whole");
    let mut builder = Database::builder();
    let db =
        builder.set_cache_size(256 * 1024).create_with_backend(Boxed(medium.open(FileName::Primary)?))?;
    let begun = Instant::now();
    for slot in 0..SLOTS_WHOLE {
        let write = db.begin_write()?;
        {
            let mut table = write.open_table(ROWS)?;
            table.insert("votes", &[slot as u8; 60][..])?;
            table.insert("state", vec![slot as u8; size].as_slice())?;
        }
        write.commit()?;
    }
    tell("whole", size, SLOTS_WHOLE, begun, &medium.1);
    drop(db);
    Ok(std::fs::remove_dir_all(path)?)
}

/// The library takes no boxed file.
#[derive(Debug)]
struct Boxed(Box<dyn StorageBackend>);

impl StorageBackend for Boxed {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }
    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.read(offset, len)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }
    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.0.sync_data(eventual)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

fn records(size: usize) -> Result<(), Failed> {
    let (path, medium) = folder("records");
    let count = medium.1.clone();
    let (mut store, _) = StateStore::open(medium, 1, 1).map_err(|e| format!("{e:?}"))?;
    let first = LogRecord { snapshot: Some((0, vec![0; size])), ..LogRecord::default() };
    store.write(&first)?;
    let begun = Instant::now();
    for slot in 1..=SLOTS {
        let votes = Acceptor { applied: slot, ..Acceptor::default() };
        let mut record = LogRecord {
            acceptor: votes,
            operations: vec![(slot, vec![slot as u8; OP])],
            ..LogRecord::default()
        };
        if store.snapshot_due() {
            record.operations.clear();
            record.snapshot = Some((slot, vec![slot as u8; size]));
        }
        store.write(&record)?;
    }
    tell("records", size, SLOTS, begun, &count);
    drop(store);
    let begun = Instant::now();
    drop(StateStore::open(Directory::new(&path), 1, 1).map_err(|e| format!("{e:?}"))?);
    println!("         opened again in {:.1} ms", begun.elapsed().as_secs_f64() * 1e3);
    Ok(std::fs::remove_dir_all(path)?)
}

fn main() -> Result<(), Failed> {
    // As 100 routes, 1,500 routes, and 2,000 routes with 47,000 tenants take.
    for size in [20_000, 300_000, 8_000_000] {
        whole(size)?;
        records(size)?;
    }
    Ok(())
}
