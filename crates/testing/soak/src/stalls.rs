//! Standstills of the soak's own event loop: what it sees of clients and processes meanwhile is late, and carries a wrong time.

use crate::ledger::Ledger;
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

/// One standstill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// When it ended, since the run began.
    pub ended: Duration,
    /// How long it was.
    pub length: Duration,
}

impl fmt::Display for Stall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1?} until {:.3?}", self.length, self.ended)
    }
}

/// Notes standstills, for ever.
pub async fn watch(ledger: Rc<Ledger>) {
    loop {
        let before = ledger.now();
        sleep(CHECK_INTERVAL).await;
        let ended = ledger.now();
        let length = ended.saturating_sub(before + CHECK_INTERVAL);
        let mut seen = ledger.seen.borrow_mut();
        if length >= MIN_STALL && seen.stalls.len() < MAX_STALLS {
            seen.stalls.push(Stall { ended, length });
        }
    }
}
