//! What the kernel says of a thread's time: on a processor, and ready to run without one.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The present thread, as the kernel shows it.
const THIS_THREAD: &str = "/proc/thread-self";

/// The first two fields of `/proc/PID/task/TID/schedstat`, since the thread began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ThreadTimes {
    /// It ran.
    pub on_processor: Duration,
    /// It was ready to run, and waited for a processor.
    pub queued: Duration,
}

impl ThreadTimes {
    /// The times of a thread whose folder in `/proc` this is; None if there is none.
    pub fn read(thread: &Path) -> Option<Self> {
        Self::parse(&std::fs::read_to_string(thread.join("schedstat")).ok()?)
    }

    /// The times of the present thread.
    pub fn read_own() -> Option<Self> {
        Self::read(Path::new(THIS_THREAD))
    }

    /// The times in the form of `schedstat`: nanoseconds; None if one is missing.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split_whitespace().map(|field| field.parse().ok().map(Duration::from_nanos));
        Some(ThreadTimes { on_processor: fields.next()??, queued: fields.next()?? })
    }

    /// What came to them since an earlier look.
    pub fn since(&self, earlier: &Self) -> Self {
        ThreadTimes {
            on_processor: self.on_processor.saturating_sub(earlier.on_processor),
            queued: self.queued.saturating_sub(earlier.queued),
        }
    }
}

/// The threads of a runtime that wait for the system's events and wake the event loop: those that join first.
#[derive(Debug, Clone)]
pub struct Threads {
    /// Threads that join later make blocking calls only.
    most: usize,
    joined: Arc<Mutex<Vec<PathBuf>>>,
}

impl Threads {
    /// So many threads, none of which has joined.
    pub fn new(most: usize) -> Self {
        Threads { most, joined: Arc::default() }
    }

    /// The present thread joins, unless enough have.
    pub fn join(&self) {
        let mut joined = self.joined.lock().unwrap_or_else(PoisonError::into_inner);
        if joined.len() >= self.most {
            return;
        }
        if let Ok(thread) = std::fs::read_link(THIS_THREAD) {
            joined.push(Path::new("/proc").join(thread));
        }
    }

    /// The times of each; nothing of one that has ended.
    pub fn times(&self) -> Vec<ThreadTimes> {
        let joined = self.joined.lock().unwrap_or_else(PoisonError::into_inner);
        joined.iter().map(|thread| ThreadTimes::read(thread).unwrap_or_default()).collect()
    }
}
