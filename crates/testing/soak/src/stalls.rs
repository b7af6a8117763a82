//! Standstills of the soak's own event loop: what it sees of clients and processes meanwhile is late, and carries a wrong time.

use crate::ledger::Ledger;
use crate::sections::{take_sections, Sections};
use crate::thread_times::{ThreadTimes, Threads};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the event loop shows that it runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A turn that comes later than this is a standstill.
const MIN_STALL: Duration = Duration::from_millis(100);
/// Upper bound on the standstills that are remembered.
const MAX_STALLS: usize = 1_000;

/// Where the time of a standstill went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StallCause {
    /// What the event loop's thread did and waited for.
    pub own: ThreadTimes,
    /// The same of that thread of the runtime which waited longest for a processor: one of them wakes the event loop.
    pub runtime: ThreadTimes,
    /// The synchronous sections meanwhile.
    pub sections: Sections,
}

/// One standstill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// When it ended, since the run began.
    pub ended: Duration,
    /// How long it was.
    pub length: Duration,
    /// Where its time went.
    pub cause: StallCause,
}

impl fmt::Display for Stall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StallCause { own, runtime, sections } = self.cause;
        write!(f, "{:.1?} until {:.3?}: it ran {:.1?}", self.length, self.ended, own.on_processor)?;
        write!(f, " and waited {:.1?} for a processor, its runtime {:.1?}", own.queued, runtime.queued)?;
        match sections.longest {
            Some(longest) => write!(f, ", calls took {:.1?}, the longest: {longest}", sections.total),
            None => write!(f, ", no call"),
        }
    }
}

/// The times of all threads at one moment.
#[derive(Debug, Default)]
struct Look {
    own: ThreadTimes,
    runtime: Vec<ThreadTimes>,
}

impl Look {
    fn now(threads: &Threads) -> Self {
        Look { own: ThreadTimes::read_own().unwrap_or_default(), runtime: threads.times() }
    }

    fn cause_since(&self, earlier: &Self, sections: Sections) -> StallCause {
        let runtime = self.runtime.iter().zip(&earlier.runtime).map(|(now, then)| now.since(then));
        StallCause {
            own: self.own.since(&earlier.own),
            runtime: runtime.max_by_key(|times| times.queued).unwrap_or_default(),
            sections,
        }
    }
}

/// Notes standstills, for ever. Runs on the event loop's thread; these are the threads of its runtime.
pub async fn watch(ledger: Rc<Ledger>, threads: Threads) {
    let mut last = Look::now(&threads);
    loop {
        take_sections();
        let before = ledger.now();
        sleep(CHECK_INTERVAL).await;
        let ended = ledger.now();
        let length = ended.saturating_sub(before + CHECK_INTERVAL);
        let look = Look::now(&threads);
        let cause = look.cause_since(&last, take_sections());
        last = look;
        let mut seen = ledger.seen.borrow_mut();
        if length >= MIN_STALL && seen.stalls.len() < MAX_STALLS {
            seen.stalls.push(Stall { ended, length, cause });
        }
    }
}
