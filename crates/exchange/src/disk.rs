//! The thread that writes to disk: a disk that is slow or hangs holds up ballots, and nothing else.

use limeway_ballot::Acceptor;
use limeway_vault::Vault;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Writes that wait, at most.
const QUEUE: usize = 64;

struct Job {
    acceptor: Acceptor,
    state: Option<Vec<u8>>,
    done: oneshot::Sender<bool>,
}

/// The way to the writing thread.
pub struct Disk {
    jobs: Option<std::sync::mpsc::SyncSender<Job>>,
    /// The last write reached the disk.
    pub sound: Rc<Cell<bool>>,
}

impl Disk {
    /// Starts the thread, which owns the file.
    pub fn start(mut vault: Vault) -> std::io::Result<Self> {
        let (jobs, queue) = std::sync::mpsc::sync_channel::<Job>(QUEUE);
        std::thread::Builder::new().name("vault".into()).stack_size(256 * 1024).spawn(move || {
            let mut failed = false;
            while let Ok(job) = queue.recv() {
                if failed {
                    // After a write that failed the file has to be opened anew.
                    failed = vault.again().inspect_err(|e| log::warn!("{e:?}")).is_err();
                }
                let written = !failed
                    && match job.state {
                        Some(state) => vault.keep_all(&job.acceptor, state),
                        None => vault.keep_votes(&job.acceptor),
                    }
                    .inspect_err(|e| log::warn!("disk: {e:?}"))
                    .is_ok();
                failed |= !written;
                let _ = job.done.send(written);
            }
        })?;
        Ok(Disk { jobs: Some(jobs), sound: Rc::new(Cell::new(true)) })
    }

    /// A machine without a disk: nothing it says can be relied on after its end.
    pub fn none() -> Self {
        Disk { jobs: None, sound: Rc::new(Cell::new(false)) }
    }

    /// Writes, and waits until it is on disk. False if it is not.
    pub async fn keep(&self, acceptor: Acceptor, state: Option<Vec<u8>>) -> bool {
        let Some(jobs) = &self.jobs else { return false };
        let (done, told) = oneshot::channel();
        let sent = jobs.try_send(Job { acceptor, state, done }).is_ok();
        let written = sent && told.await.unwrap_or(false);
        self.sound.set(written);
        written
    }
}
