//! The thread that writes to disk. A disk that is slow or hangs holds up what waits for it, and nothing else.
//!
//! What is queued when a write ends goes as one transaction (group commit). Each result still comes after it is on disk.
//!
//! | the disk | a result |
//! | --- | --- |
//! | is slow | comes late; what has come meanwhile shares the next write |
//! | refuses a write, or is full | `false`, at once; so is any other until a record with a snapshot is on disk, in a new file |
//! | hangs | comes once it goes on; `false` at once for what finds the queue full, and from then on as above |
//! | refuses, or hangs, while the file is opened | the start waits for a minute, off the event loop; SIGTERM ends it |
//!
//! `false` means that the record may or may not be on disk, and that nothing may be sent that relies on it.

use error_stack::Report;
use limeway_consensus::{DiskIncarnation, NodeId};
use limeway_storage::{Directory, LogRecord, Recovered, StateStore, StorageError};
use std::cell::Cell;
use std::future::Future;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Upper bound on the records that wait.
const MAX_QUEUED_RECORDS: usize = 64;
/// Bytes of the records that wait beyond which no more are taken: a hang must not use up the memory.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;
/// Pause before a disk that refuses to open the file is tried again.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long that is tried.
const OPEN_TIMEOUT: Duration = Duration::from_secs(60);
/// Stack of the threads here, in bytes.
const THREAD_STACK_BYTES: usize = 256 * 1024;

struct QueuedRecord {
    record: LogRecord,
    bytes: usize,
    done: oneshot::Sender<bool>,
}

/// The way to the writing thread.
pub struct StateWriter {
    queue: Option<SyncSender<QueuedRecord>>,
    /// Bytes of the records that wait.
    queued_bytes: Arc<AtomicUsize>,
    /// A record found no place in the queue: what follows could not build on it.
    overflowed: Cell<bool>,
}

fn size(record: &LogRecord) -> usize {
    let accepted = record.acceptor.slot_state.accepted.as_ref().map_or(0, |(_, value)| value.len());
    let snapshot = record.snapshot.as_ref().map_or(0, |(_, state)| state.len());
    let operations = record.operations.iter().map(|(_, operation)| operation.len()).sum::<usize>();
    let leaving =
        record.leaving.as_ref().map_or(0, |leaving| leaving.changed.iter().map(|r| r.report.len()).sum());
    accepted + snapshot + operations + leaving
}

fn write_queued(mut store: StateStore, queue: &Receiver<QueuedRecord>, queued_bytes: &AtomicUsize) {
    while let Ok(first) = queue.recv() {
        let queued = std::iter::once(first).chain(queue.try_iter().take(MAX_QUEUED_RECORDS - 1));
        let (mut records, mut callers, mut bytes) = (Vec::new(), Vec::new(), 0);
        for entry in queued {
            records.push(entry.record);
            callers.push(entry.done);
            bytes += entry.bytes;
        }
        let results = store.write_all(&records);
        drop(records);
        queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        for (done, result) in callers.into_iter().zip(results) {
            if let Err(e) = result {
                log::warn!("record not written: {e}");
            }
            // The caller may be gone.
            let _ = done.send(result.is_ok());
        }
    }
}

impl StateWriter {
    /// Starts the thread, which owns the file.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(store: StateStore) -> std::io::Result<Self> {
        let (queue, receiver) = sync_channel(MAX_QUEUED_RECORDS);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let counted = queued_bytes.clone();
        std::thread::Builder::new()
            .name("state-writer".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || write_queued(store, &receiver, &counted))?;
        Ok(StateWriter { queue: Some(queue), queued_bytes, overflowed: Cell::new(false) })
    }

    /// Opens the file in a directory and starts the thread. A disk that refuses for now is waited for.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub async fn open(
        directory: PathBuf,
        node: NodeId,
        fresh: DiskIncarnation,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (sender, opened) = oneshot::channel();
        let opening = move || drop(sender.send(open_with_retry(&directory, node, fresh)));
        let thread = std::thread::Builder::new()
            .name("state-opener".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(opening);
        thread.map_err(|e| Report::new(e).change_context(StorageError::Open))?;
        let (store, recovered) = opened.await.map_err(|_| Report::new(StorageError::Open))??;
        let writer = Self::start(store).map_err(|e| Report::new(e).change_context(StorageError::Open))?;
        Ok((writer, recovered))
    }

    /// The writer of a machine without a disk: every write fails.
    pub fn none() -> Self {
        StateWriter { queue: None, queued_bytes: Arc::default(), overflowed: Cell::new(false) }
    }

    /// Queues a record, in the order of calls. Ready once it is on disk (true) or may not be (false); may be dropped.
    pub fn write(&self, record: LogRecord) -> impl Future<Output = bool> + 'static {
        let queued = self.enqueue(record);
        async move {
            match queued {
                Some(done) => done.await.unwrap_or(false),
                None => false,
            }
        }
    }

    fn enqueue(&self, record: LogRecord) -> Option<oneshot::Receiver<bool>> {
        let queue = self.queue.as_ref()?;
        if self.overflowed.get() && record.snapshot.is_none() {
            return None;
        }
        let (done, result) = oneshot::channel();
        let bytes = size(&record);
        let has_room = self.queued_bytes.load(Ordering::Relaxed) < MAX_QUEUED_BYTES;
        // Counted before the thread can subtract it again.
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let sent = has_room && queue.try_send(QueuedRecord { record, bytes, done }).is_ok();
        if !sent {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        self.overflowed.set(!sent);
        sent.then_some(result)
    }
}

type Opened = Result<(StateStore, Recovered), Report<StorageError>>;

fn open_with_retry(directory: &std::path::Path, node: NodeId, fresh: DiskIncarnation) -> Opened {
    let started = Instant::now();
    loop {
        let opened = StateStore::open(Directory::new(directory), node, fresh);
        let refused = matches!(&opened, Err(e) if *e.current_context() == StorageError::Open);
        if !refused || started.elapsed() >= OPEN_TIMEOUT {
            return opened;
        }
        log::warn!("the disk refuses the state file, retrying");
        std::thread::sleep(OPEN_RETRY_DELAY);
    }
}
