//! Evacuations: calls about zones, and an operator who evacuates one zone and takes that back again and again, faster than a call that is
//! held back arrives.

use crate::bounds::EVACUATION;
use crate::control_caller::ControlCaller;
use crate::ledger::{Acknowledged, Ledger};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The zone of the operator who alternates. Another one is evacuated by the operator of configurations.
const ALTERNATING_ZONE: &str = "z2";
/// Pause between two calls in a row, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..1_200;
/// Evacuations in a row.
const ROUNDS: std::ops::RangeInclusive<u32> = 1..=3;
/// How long the zone then stays as it is: what is judged follows [`EVACUATION`].
const REST: Duration = EVACUATION.saturating_add(Duration::from_secs(3));

/// Calls about zones, each sent until there is a clear answer, and noted.
pub struct ZoneCalls {
    caller: ControlCaller,
    ledger: Rc<Ledger>,
}

impl ZoneCalls {
    /// Calls that begin with a machine by number.
    pub fn new(net: u8, first: usize, ledger: Rc<Ledger>) -> Self {
        ZoneCalls { caller: ControlCaller::new(net, first), ledger }
    }

    /// Has a zone evacuated. False if that was not acknowledged.
    pub async fn start(&self, zone: &str) -> bool {
        let sent = self.ledger.now();
        let status = self.caller.until_clear(&format!("evacuations.start&of={zone}"), "").await;
        if status == Some(200) {
            self.ledger.acknowledged(Acknowledged::Evacuated(zone.to_owned(), sent));
        }
        status == Some(200)
    }

    /// Takes an evacuation back.
    pub async fn finish(&self, zone: &str) {
        let sent = self.ledger.now();
        let status = self.caller.until_clear(&format!("evacuations.finish&of={zone}"), "").await;
        let zone = zone.to_owned();
        self.ledger.acknowledged(match status {
            Some(200) => Acknowledged::Returned(zone, sent),
            _ => Acknowledged::MayBeReturned(zone, sent),
        });
    }
}

/// The operator who alternates.
pub struct AlternatingOperator {
    calls: ZoneCalls,
    rng: RefCell<ChaCha8Rng>,
    stopped: Cell<bool>,
}

impl AlternatingOperator {
    /// One who has sent nothing yet.
    pub fn new(net: u8, seed: u64, ledger: Rc<Ledger>) -> Rc<Self> {
        Rc::new(AlternatingOperator {
            calls: ZoneCalls::new(net, 1, ledger),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x0a17)),
            stopped: Cell::new(false),
        })
    }

    /// No more evacuations are to begin.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Evacuates the zone and takes that back until it is stopped; then the zone is in use.
    pub async fn run(self: Rc<Self>) {
        while !self.stopped.get() {
            let rounds = self.rng.borrow_mut().random_range(ROUNDS);
            for _ in 0..rounds {
                self.evacuate(Duration::ZERO).await;
            }
            if self.rng.borrow_mut().random() {
                self.evacuate(REST).await;
            } else {
                self.rest().await;
            }
        }
    }

    /// One evacuation, which lasts so much longer than a pause.
    async fn evacuate(&self, length: Duration) {
        let is_evacuated = self.calls.start(ALTERNATING_ZONE).await;
        self.pause().await;
        if is_evacuated {
            sleep(length).await;
        }
        self.calls.finish(ALTERNATING_ZONE).await;
        self.pause().await;
    }

    async fn pause(&self) {
        let millis = self.rng.borrow_mut().random_range(PAUSE_MS);
        sleep(Duration::from_millis(millis)).await;
    }

    async fn rest(&self) {
        sleep(REST).await;
    }
}
