//! One direction of a link: the handle that steers it, and what it decides. No sockets, and time is handed in.

use crate::conditions::{Conditions, Delay, Pass};
use crate::lock;
use crate::record::{Record, What};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

#[derive(Debug)]
struct State {
    rng: ChaCha8Rng,
    /// When the last byte will have passed, at the rate that is set.
    free_at: Option<Instant>,
}

#[derive(Debug)]
struct Inner {
    name: Arc<str>,
    record: Record,
    conditions: watch::Sender<Conditions>,
    state: Mutex<State>,
}

/// One direction of a link. Clones steer the same one.
#[derive(Debug, Clone)]
pub struct Way(Arc<Inner>);

/// When a datagram is to be handed on, after now: not at all, once, or twice.
pub type Copies = [Option<Duration>; 2];

impl Way {
    /// A way on which nothing is wrong. Its name stands in the record; `seed` draws what chance decides.
    pub fn new(name: &str, seed: u64, record: &Record) -> Self {
        let state = State { rng: ChaCha8Rng::seed_from_u64(seed), free_at: None };
        Way(Arc::new(Inner {
            name: Arc::from(name),
            record: record.clone(),
            conditions: watch::Sender::default(),
            state: Mutex::new(state),
        }))
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// What it does from now on. What is on its way already comes as it was to come.
    pub fn set(&self, conditions: Conditions) {
        self.0.conditions.send_replace(conditions);
        lock(&self.0.state).free_at = None;
    }

    /// What it does now.
    pub fn conditions(&self) -> Conditions {
        *self.0.conditions.borrow()
    }

    /// Hears of each change.
    pub(crate) fn watch(&self) -> watch::Receiver<Conditions> {
        self.0.conditions.subscribe()
    }

    pub(crate) fn fired(&self, what: What) {
        self.0.record.add(&self.0.name, what);
    }

    /// What becomes of a datagram of so many bytes that comes now.
    pub fn datagram(&self, now: Instant, bytes: usize) -> Copies {
        let c = self.conditions();
        let mut state = lock(&self.0.state);
        if c.pass != Pass::Through || chance(&mut state.rng, c.loss) {
            drop(state);
            self.fired(What::Swallowed);
            return [None, None];
        }
        let line = state.line(&c, now, bytes);
        let mut late = line + c.delay.draw(&mut state.rng);
        let reordered = chance(&mut state.rng, c.reorder.0);
        late += if reordered { c.reorder.1 } else { Duration::ZERO };
        let doubled = chance(&mut state.rng, c.double);
        let second = doubled.then(|| line + c.delay.draw(&mut state.rng));
        drop(state);
        for (fired, what) in
            [(late > Duration::ZERO, What::Delayed), (reordered, What::Reordered), (doubled, What::Doubled)]
        {
            if fired {
                self.fired(what);
            }
        }
        [Some(late), second]
    }

    /// When a piece of a stream that comes now is to be handed on, if nothing before it is later.
    pub fn piece(&self, now: Instant, bytes: usize) -> Instant {
        let c = self.conditions();
        // The ordinary case costs neither a draw nor a lock.
        if c.delay == Delay::None && c.bytes_per_second.is_none() {
            return now;
        }
        let mut state = lock(&self.0.state);
        let due = now + state.line(&c, now, bytes) + c.delay.draw(&mut state.rng);
        drop(state);
        if due > now {
            self.fired(What::Delayed);
        }
        due
    }
}

impl State {
    /// How long what comes now waits for the bytes before it and for its own, at the rate that is set.
    fn line(&mut self, c: &Conditions, now: Instant, bytes: usize) -> Duration {
        let Some(rate) = c.bytes_per_second.filter(|r| *r > 0.0) else { return Duration::ZERO };
        let start = self.free_at.filter(|t| *t > now).unwrap_or(now);
        let end = start + Duration::from_secs_f64(bytes as f64 / rate);
        self.free_at = Some(end);
        end - now
    }
}

fn chance(rng: &mut ChaCha8Rng, share: f64) -> bool {
    share > 0.0 && rng.random::<f64>() < share
}
