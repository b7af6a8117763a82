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

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> NodeSpec {
        NodeSpec {
            room: 0,
            cores: 4,
            speed: 0.5,
            slots: 8,
            queue: 2,
            thrash: 0.0,
            thrash_at: 100.0,
            cold_from: 0.25,
            cold_us: 10_000_000,
            error_share: 0.0,
            handshake_us: 0,
            connections: 10,
            idle_us: 1,
        }
    }

    /// Runs a node from one end to the next; jobs that finish with their times.
    fn run(engine: &mut Engine, until: Micros) -> Vec<(Micros, u64)> {
        let mut over = Vec::new();
        while let Some(t) = engine.next().filter(|t| *t <= until) {
            over.extend(engine.finished(t).into_iter().map(|job| (t, job)));
        }
        over
    }

    #[test]
    fn a_lone_job_has_one_core_and_many_share_all() {
        let mut engine = Engine::new(spec(), 0, false);
        assert!(engine.submit(0, 1, 100_000));
        assert_eq!(run(&mut engine, 1_000_000), [(200_000, 1)]);
        let mut engine = Engine::new(spec(), 0, false);
        (0..8).for_each(|job| assert!(engine.submit(0, job, 100_000)));
        let over = run(&mut engine, 1_000_000);
        assert!(over.iter().all(|(t, _)| t.abs_diff(400_000) < 10), "{over:?}");
    }

    #[test]
    fn what_finds_no_slot_waits_and_what_finds_no_room_is_turned_away() {
        let mut engine = Engine::new(spec(), 0, false);
        let taken: Vec<bool> = (0..12).map(|job| engine.submit(0, job, 100_000)).collect();
        assert_eq!(taken.iter().filter(|t| **t).count(), 10);
        assert!(!taken[10] && !taken[11]);
        engine.cancel(0, 0);
        assert_eq!(engine.held(), 9);
        assert!(engine.submit(0, 20, 100_000));
        assert_eq!(run(&mut engine, 10_000_000).len(), 10);
    }

    #[test]
    fn work_done_under_load_is_the_capacity() {
        for thrash in [0.0, 0.2] {
            let mut engine = Engine::new(NodeSpec { thrash, thrash_at: 2.0, ..spec() }, 0, false);
            let (mut job, mut over) = (0, 0);
            let mut t = 0;
            while t < 60_000_000 {
                while engine.held() < 9 && engine.submit(t, job, 50_000) {
                    job += 1;
                }
                t = engine.next().expect("work");
                over += engine.finished(t).len();
            }
            let did = over as f64 * 0.05 / 60.0;
            let wanted = 4.0 * 0.5 / (1.0 + thrash * 0.25);
            assert!((did / wanted - 1.0).abs() < 0.05, "{did} of {wanted}");
        }
    }

    #[test]
    fn a_cold_node_warms_up_evenly() {
        let mut engine = Engine::new(spec(), 0, true);
        // Over its first ten seconds it does the mean of a quarter and the whole.
        assert!(engine.submit(0, 1, 3_125_000));
        let over = run(&mut engine, 20_000_000);
        assert!(over[0].0.abs_diff(10_000_000) < 50_000, "{over:?}");
    }

    #[test]
    fn a_cold_node_falls_by_one_piece_too_much() {
        let engine = Engine::new(spec(), 0, true);
        let budget = 4.0 * 2.0 * engine.warmth(1_000_000) * 2e6;
        let mut pressure = Pressure::new(4.0, 2_000_000);
        assert!(!pressure.push(&engine, 1_000_000, budget as Micros));
        assert!(pressure.push(&engine, 1_000_000, 2));
        let mut pressure = Pressure::new(4.0, 2_000_000);
        assert!(!pressure.push(&engine, 10_000_000, Micros::MAX / 2), "a warm one bears anything");
    }
}
