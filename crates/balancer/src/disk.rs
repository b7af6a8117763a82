//! The thread that writes to disk. A disk that is slow or hangs holds up what waits for it, and nothing else.
//!
//! What is queued when a write ends goes as one transaction (group commit). Each answer still comes after it is on disk.
//!
//! | the disk | an answer |
//! | --- | --- |
//! | is slow | comes late; what has come meanwhile shares the next write |
//! | refuses a write, or is full | `false`, at once; so is any other until a record with a snapshot is on disk, in a new file |
//! | hangs | comes once it goes on; `false` at once for what finds the queue full, and from then on as above |
//! | refuses, or hangs, while the file is opened | the start waits for a minute, off the event loop |
//!
//! `false` says that the record may or may not be on disk, and that nothing may be said that rests on it.

use error_stack::Report;
use limeway_consensus::{DiskIncarnation, NodeId};
use limeway_storage::{Directory, LogRecord, Recovered, StateStore, StorageError};
use std::cell::Cell;
use std::future::Future;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Records that wait, at most.
const QUEUE: usize = 64;
/// Bytes of the records that wait when one more is taken, at most: a hang must not use up the memory.
const QUEUE_BYTES: usize = 16 * 1024 * 1024;
/// A disk that refuses to open the file is tried again after so long,
const OPEN_PAUSE: Duration = Duration::from_millis(200);
/// and for so long.
const OPEN_WAIT: Duration = Duration::from_secs(60);
/// The thread's stack, in bytes.
const STACK: usize = 256 * 1024;

/// Whether a record is on disk, and whether a snapshot is due.
type Answer = (bool, bool);

struct Job {
    row: LogRecord,
    bytes: usize,
    done: oneshot::Sender<Answer>,
}

/// The way to the writing thread.
pub struct Disk {
    jobs: Option<SyncSender<Job>>,
    /// Bytes of the records that wait.
    waiting: Arc<AtomicUsize>,
    /// A record found no place in the queue: what follows could not build on it.
    lost: Cell<bool>,
    /// The last write reached the disk.
    pub sound: Rc<Cell<bool>>,
    /// The next record should bring a snapshot.
    pub due: Rc<Cell<bool>>,
}

fn size(record: &LogRecord) -> usize {
    let accepted = record.acceptor.slot_state.accepted.as_ref().map_or(0, |(_, value)| value.len());
    let snapshot = record.snapshot.as_ref().map_or(0, |(_, state)| state.len());
    accepted + snapshot + record.operations.iter().map(|(_, op)| op.len()).sum::<usize>()
}

fn serve(mut vault: StateStore, queue: &Receiver<Job>, waiting: &AtomicUsize) {
    while let Ok(first) = queue.recv() {
        let jobs = std::iter::once(first).chain(queue.try_iter().take(QUEUE - 1));
        let (mut rows, mut told, mut bytes) = (Vec::new(), Vec::new(), 0);
        for job in jobs {
            rows.push(job.row);
            told.push(job.done);
            bytes += job.bytes;
        }
        let answers = vault.write_all(&rows);
        drop(rows);
        waiting.fetch_sub(bytes, Ordering::Relaxed);
        let due = vault.snapshot_due();
        for (done, answer) in told.into_iter().zip(answers) {
            if let Err(e) = answer {
                log::warn!("disk: {e}");
            }
            // Who waited may have gone.
            let _ = done.send((answer.is_ok(), due));
        }
    }
}

impl Disk {
    /// Starts the thread, which owns the file.
    pub fn start(vault: StateStore) -> std::io::Result<Self> {
        let (jobs, queue) = sync_channel(QUEUE);
        let (waiting, due) = (Arc::new(AtomicUsize::new(0)), vault.snapshot_due());
        let held = waiting.clone();
        std::thread::Builder::new()
            .name("vault".into())
            .stack_size(STACK)
            .spawn(move || serve(vault, &queue, &held))?;
        Ok(Disk {
            jobs: Some(jobs),
            waiting,
            lost: Cell::new(false),
            sound: Rc::new(Cell::new(true)),
            due: Rc::new(Cell::new(due)),
        })
    }

    /// Opens the file in a folder and starts the thread. A disk that refuses for now is waited for.
    pub async fn open(
        folder: PathBuf,
        node: NodeId,
        fresh: DiskIncarnation,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let open = move || StateStore::open(Directory::new(&folder), node, fresh);
        let (tell, told) = oneshot::channel();
        let opening = move || {
            let begun = Instant::now();
            let mut opened = open();
            while matches!(&opened, Err(e) if *e.current_context() == StorageError::Open)
                && begun.elapsed() < OPEN_WAIT
            {
                log::warn!("the disk refuses the state file");
                std::thread::sleep(OPEN_PAUSE);
                opened = open();
            }
            drop(tell.send(opened));
        };
        let thread = std::thread::Builder::new().name("opening".into()).stack_size(STACK).spawn(opening);
        thread.map_err(|e| Report::new(e).change_context(StorageError::Open))?;
        let (vault, found) = told.await.map_err(|_| Report::new(StorageError::Open))??;
        let disk = Self::start(vault).map_err(|e| Report::new(e).change_context(StorageError::Open))?;
        Ok((disk, found))
    }

    /// A machine without a disk: nothing it says can be relied on after its end.
    pub fn none() -> Self {
        Disk {
            jobs: None,
            waiting: Arc::default(),
            lost: Cell::new(false),
            sound: Rc::new(Cell::new(false)),
            due: Rc::new(Cell::new(false)),
        }
    }

    /// Queues a record, in the order of calls. Ready once it is on disk (true) or may not be (false); may be dropped.
    pub fn write(&self, record: LogRecord) -> impl Future<Output = bool> + 'static {
        let told = self.send(record);
        let (sound, due) = (self.sound.clone(), self.due.clone());
        async move {
            let (written, next) = match told {
                Some(told) => told.await.unwrap_or((false, true)),
                None => (false, true),
            };
            sound.set(written);
            due.set(next);
            written
        }
    }

    fn send(&self, row: LogRecord) -> Option<oneshot::Receiver<Answer>> {
        let jobs = self.jobs.as_ref()?;
        if self.lost.get() && row.snapshot.is_none() {
            return None;
        }
        let (done, told) = oneshot::channel();
        let bytes = size(&row);
        let room = self.waiting.load(Ordering::Relaxed) < QUEUE_BYTES;
        // Counted before the thread can take it away again.
        self.waiting.fetch_add(bytes, Ordering::Relaxed);
        let sent = room && jobs.try_send(Job { row, bytes, done }).is_ok();
        if !sent {
            self.waiting.fetch_sub(bytes, Ordering::Relaxed);
        }
        self.lost.set(!sent);
        sent.then_some(told)
    }
}
