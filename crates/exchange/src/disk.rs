//! The thread that writes to disk: a disk that is slow or hangs holds up ballots, and nothing else.

use limeway_marker::{Job, Record};
use limeway_vault::Vault;
use tokio::sync::mpsc;

/// Writes that wait, at most.
const QUEUE: usize = 96;

/// The way to the writing thread.
pub struct Disk {
    jobs: Option<std::sync::mpsc::SyncSender<(Job, Record)>>,
    done: mpsc::Sender<(Job, bool)>,
}

/// What comes of writes, in their order.
pub type Written = mpsc::Receiver<(Job, bool)>;

impl Disk {
    /// Starts the thread, which owns the file.
    pub fn start(mut vault: Vault) -> std::io::Result<(Self, Written)> {
        let (jobs, queue) = std::sync::mpsc::sync_channel::<(Job, Record)>(QUEUE);
        let (done, written) = mpsc::channel(2 * QUEUE);
        let tell = done.clone();
        std::thread::Builder::new().name("vault".into()).stack_size(256 * 1024).spawn(move || {
            let mut failed = false;
            while let Ok((job, record)) = queue.recv() {
                // After a write that failed the file has to be opened anew, and what is there may lack operations.
                if failed && record.snapshot.is_some() {
                    failed = vault.again().inspect_err(|e| log::warn!("{e:?}")).is_err();
                }
                let kept = !failed
                    && match record.snapshot {
                        Some((_, state)) => vault.keep_all(&record.votes, state),
                        None => vault.keep_votes(&record.votes),
                    }
                    .inspect_err(|e| log::warn!("disk: {e:?}"))
                    .is_ok();
                failed |= !kept;
                if tell.blocking_send((job, kept)).is_err() {
                    return;
                }
            }
        })?;
        Ok((Disk { jobs: Some(jobs), done }, written))
    }

    /// A machine without a disk: nothing it says can be relied on after its end.
    pub fn none() -> (Self, Written) {
        let (done, written) = mpsc::channel(2 * QUEUE);
        (Disk { jobs: None, done }, written)
    }

    /// Writes; what comes of it is told to whoever holds [`Written`].
    pub fn write(&self, job: Job, record: Record) {
        let sent = self.jobs.as_ref().is_some_and(|jobs| jobs.try_send((job, record)).is_ok());
        if !sent {
            let _ = self.done.try_send((job, false));
        }
    }
}
