//! The connections of clients to this limiter, and its account of what it answered and how much time it added.

use crate::edge::Edge;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// The connections of clients.
pub struct Front {
    /// Connections that are open.
    pub open: Rc<Cell<usize>>,
    /// Connections with a request that has begun to come, is worked on, or whose answer is on its way.
    pub busy: Rc<Cell<usize>>,
    /// Idle connections are closed, and no answer keeps one open.
    pub closing: Cell<bool>,
    /// Tells idle connections to go.
    pub close: Notify,
    /// Answers given since the last account: those of servers, and our own by status.
    given: RefCell<BTreeMap<u16, u32>>,
    /// Time that was spent here on requests that a server answered at the first try, in steps of a quarter of a millisecond.
    added: RefCell<Vec<u32>>,
    most: usize,
}

impl Front {
    /// Of so many connections at most.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Front {
            open: Rc::default(),
            busy: Rc::default(),
            closing: Cell::new(false),
            close: Notify::new(),
            given: RefCell::default(),
            added: RefCell::new(vec![0; ADDED_STEPS]),
            most: most.max(16),
        })
    }

    /// Whether there is no room for one more connection.
    pub fn full(&self) -> bool {
        self.open.get() >= self.most
    }

    /// An answer has been given: 0 for a server's, else the status of our own.
    pub fn answered(&self, status: u16) {
        *self.given.borrow_mut().entry(status).or_default() += 1;
    }

    /// So much time was spent here on a request that a server answered at the first try, in microseconds.
    pub fn added(&self, time: u64) {
        let step = (time / 250) as usize;
        self.added.borrow_mut()[step.min(ADDED_STEPS - 1)] += 1;
    }
}

/// Steps of the time added that are told apart, a quarter of a millisecond each; the last holds all above.
const ADDED_STEPS: usize = 80;
/// The step from which on time added is more than it should be: 4.5 ms.
const SLOW_STEP: usize = 18;
/// Pause between two accounts.
const ACCOUNT: Duration = Duration::from_secs(2);

/// Tells from time to time what was answered, for ever.
pub async fn account(edge: Rc<Edge>, front: Rc<Front>) {
    loop {
        sleep(ACCOUNT).await;
        let given = std::mem::take(&mut *front.given.borrow_mut());
        if !given.is_empty() && log::log_enabled!(log::Level::Info) {
            let (open, quotas) = (front.open.get(), edge.quotas());
            let added: Vec<u32> = front.added.borrow_mut().iter_mut().map(std::mem::take).collect();
            let (half, most) = (within(&added, 0.5), within(&added, 0.99));
            let timed: u32 = added.iter().sum();
            let slow: u32 = added.iter().skip(SLOW_STEP).sum();
            let waited = edge.waited.take();
            log::info!(open, timed, slow, waited, added_p50_ms = half, added_p99_ms = most, quotas = quotas.as_str(); "answered {given:?}");
        }
    }
}

/// The time within which such a part lies, in milliseconds.
fn within(steps: &[u32], part: f64) -> f64 {
    let all: u32 = steps.iter().sum();
    let mut so_far = 0;
    let at = steps.iter().position(|n| {
        so_far += n;
        f64::from(so_far) >= part * f64::from(all)
    });
    (at.unwrap_or(0) + 1) as f64 / 4.0
}
