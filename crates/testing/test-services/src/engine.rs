//! The inside of a call node: cores that are shared evenly by what is worked on, a waiting room, thrash, warming up.
//! Free of I/O and clock: times go in.

use limeway_scenario::{Micros, NodeSpec};
use std::collections::{BTreeMap, VecDeque};

/// Longest time between two looks at a node that is warming up: its speed grows meanwhile.
const WARMING_STEP: Micros = 10_000;

/// A finish in work done by each job since the start, in a form that can be ordered.
fn key(finish: f64) -> u64 {
    // Never negative, so that the order of the bits is the order of the numbers.
    finish.max(0.0).to_bits()
}

/// The state of a node's work.
#[derive(Debug)]
pub struct Engine {
    spec: NodeSpec,
    start: Micros,
    cold: bool,
    slow: f64,
    /// Work that each job has had since the start, in microseconds, as of `at`.
    done: f64,
    at: Micros,
    /// Jobs by the work at which they finish.
    running: BTreeMap<(u64, u64), ()>,
    finish: BTreeMap<u64, u64>,
    waiting: VecDeque<(u64, f64)>,
}

impl Engine {
    /// A node that starts at a time.
    pub fn new(spec: NodeSpec, start: Micros, cold: bool) -> Self {
        let (running, finish, waiting) = Default::default();
        Engine { spec, start, cold, slow: 1.0, done: 0.0, at: start, running, finish, waiting }
    }

    /// Makes the node so many times slower.
    pub fn set_slow(&mut self, now: Micros, times: f64) {
        self.advance(now);
        self.slow = times.max(f64::MIN_POSITIVE);
    }

    /// Jobs that it holds, running and waiting.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Share of its capacity that it has by its warmth.
    fn warmth(&self, t: Micros) -> f64 {
        let age = t.saturating_sub(self.start) as f64;
        if !self.cold || self.spec.cold_us == 0 {
            return 1.0;
        }
        let part = (age / self.spec.cold_us as f64).min(1.0);
        self.spec.cold_from + (1.0 - self.spec.cold_from) * part
    }

    /// Work that each job gets in a microsecond.
    fn rate(&self, t: Micros) -> f64 {
        let (jobs, cores) = (self.running.len() as f64, f64::from(self.spec.cores));
        if jobs == 0.0 {
            return 0.0;
        }
        let crowd = (self.held() as f64 / cores - self.spec.thrash_at).max(0.0);
        let speed = self.spec.speed * self.warmth(t) / self.slow / (1.0 + self.spec.thrash * crowd);
        speed * (cores / jobs).min(1.0)
    }

    /// Brings the work up to a time.
    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at);
        if passed > 0 {
            // The warmth of the middle stands for the whole step.
            self.done += self.rate(self.at + passed / 2) * passed as f64;
            self.at = now;
        }
    }

    /// Takes a job; false where it is turned away unseen.
    pub fn submit(&mut self, now: Micros, job: u64, work: Micros) -> bool {
        self.advance(now);
        if self.running.len() < self.spec.slots.max(1) {
            self.run(job, work as f64);
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back((job, work as f64));
        } else {
            return false;
        }
        true
    }

    fn run(&mut self, job: u64, work: f64) {
        let finish = key(self.done + work);
        self.running.insert((finish, job), ());
        self.finish.insert(job, finish);
    }

    /// Takes a job out, whether it waits or runs.
    pub fn cancel(&mut self, now: Micros, job: u64) {
        self.advance(now);
        if let Some(finish) = self.finish.remove(&job) {
            self.running.remove(&(finish, job));
            self.fill();
        } else {
            self.waiting.retain(|w| w.0 != job);
        }
    }

    fn fill(&mut self) {
        while self.running.len() < self.spec.slots.max(1) {
            let Some((job, work)) = self.waiting.pop_front() else { return };
            self.run(job, work);
        }
    }

    /// Jobs that have finished by now.
    pub fn finished(&mut self, now: Micros) -> Vec<u64> {
        self.advance(now);
        let mut over = Vec::new();
        while let Some((&(finish, job), ())) = self.running.first_key_value() {
            // Rounding must not leave a job a hair short of its end for ever.
            if f64::from_bits(finish) > self.done + 0.5 {
                break;
            }
            self.running.remove(&(finish, job));
            self.finish.remove(&job);
            over.push(job);
        }
        self.fill();
        over
    }

    /// When to look again, if anything is worked on.
    pub fn next(&self) -> Option<Micros> {
        let (&(finish, _), ()) = self.running.first_key_value()?;
        let left = (f64::from_bits(finish) - self.done).max(0.0) / self.rate(self.at).max(1e-12);
        let left = (left.ceil() as Micros).max(1);
        let warming = self.cold && self.at < self.start + self.spec.cold_us;
        Some(self.at + if warming { left.min(WARMING_STEP) } else { left })
    }
}

/// Measures whether a cold node is pushed over: what it is sent within any window of the stated length against the
/// budget for that window.
#[derive(Debug)]
pub struct Pressure {
    multiple: f64,
    window: Micros,
    sent: VecDeque<(Micros, Micros)>,
    sum: Micros,
}

impl Pressure {
    /// A measure with the figures of the rule.
    pub fn new(multiple: f64, window: Micros) -> Self {
        Pressure { multiple, window, sent: VecDeque::new(), sum: 0 }
    }

    /// Takes in work that was sent, rejected or not; true if the node falls over by it.
    pub fn push(&mut self, engine: &Engine, now: Micros, work: Micros) -> bool {
        let spec = &engine.spec;
        if !engine.cold || now >= engine.start + spec.cold_us {
            self.sent.clear();
            return false;
        }
        self.sent.push_back((now, work));
        self.sum += work;
        while let Some(&(t, work)) = self.sent.front() {
            if t + self.window >= now {
                break;
            }
            self.sent.pop_front();
            self.sum -= work;
        }
        let from = now.saturating_sub(self.window).max(engine.start);
        let middle = engine.warmth(from + self.window / 2);
        self.sum as f64 > self.multiple * spec.capacity() * middle * self.window as f64
    }
}
