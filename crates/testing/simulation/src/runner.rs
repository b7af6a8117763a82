//! Runs seeds in parallel, and shrinks failing schedules.

use crate::schedule::{Schedule, TimedFault};
use crate::{Cluster, DisabledGuard};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;

/// Upper bound on the runs of one shrink.
const MAX_SHRINK_RUNS: usize = 300;

/// The results of some seeds.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Failing seeds, in order, and their violations.
    pub broken: Vec<(u64, String)>,
    /// Seeds run.
    pub seeds: u64,
    /// Events in all of them.
    pub event_count: u64,
    /// Updates answered as done, updates rejected, and reads.
    pub tally: [usize; 3],
}

/// Runs one schedule: its violation, if any.
pub fn once(schedule: Schedule, disabled: DisabledGuard) -> (Option<String>, Cluster) {
    let mut cluster = Cluster::new(schedule, disabled);
    (cluster.play(), cluster)
}

/// Runs the schedules of these seeds on so many threads, until so many fail.
pub fn play(
    seeds: std::ops::Range<u64>,
    draw: fn(u64) -> Schedule,
    disabled: DisabledGuard,
    jobs: usize,
    most: usize,
) -> Outcome {
    let (next, stop) = (AtomicU64::new(seeds.start), AtomicBool::new(false));
    let all = Mutex::new(Outcome::default());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end || stop.load(Ordering::Relaxed) {
                    return;
                }
                let (broken, cluster) = once(draw(seed), disabled);
                let Ok(mut all) = all.lock() else { return };
                (all.seeds, all.event_count) = (all.seeds + 1, all.event_count + cluster.event_count);
                all.tally.iter_mut().zip(cluster.invariants.tally).for_each(|(a, b)| *a += b);
                if let Some(broken) = broken {
                    all.broken.push((seed, broken));
                    stop.fetch_or(all.broken.len() >= most, Ordering::Relaxed);
                }
            });
        }
    });
    let mut all = all.into_inner().unwrap_or_default();
    all.broken.sort();
    all
}

/// One number over what came of the schedules that are drawn from these seeds: events, answers, and the last agreed state of each
/// machine. Two builds that behave alike give the same number.
pub fn digest(seeds: std::ops::Range<u64>, draw: fn(u64) -> Schedule) -> u64 {
    seeds.fold(0, |digest, seed| {
        let (broken, cluster) = once(draw(seed), DisabledGuard::None);
        let mut bytes = digest.to_le_bytes().to_vec();
        bytes.extend(cluster.event_count.to_le_bytes());
        bytes.extend(cluster.invariants.tally.iter().flat_map(|n| n.to_le_bytes()));
        bytes.push(u8::from(broken.is_some()));
        for machine in &cluster.machines {
            bytes.extend(limeway_distribution::encode(&machine.disk.state));
        }
        limeway_membership::hash(&bytes)
    })
}

/// The kind of a violation, without its figures.
fn kind(broken: &str) -> String {
    broken.chars().filter(|c| c.is_alphabetic()).take(60).collect()
}

/// The smallest schedule found that still fails in the same way: faults are removed one by one.
pub fn shrink(schedule: &Schedule, disabled: DisabledGuard) -> Schedule {
    let fails = |schedule: Schedule| once(schedule, disabled).0.map(|b| kind(&b));
    let first = fails(schedule.clone());
    let with = |faults: Vec<TimedFault>| Schedule { faults, ..schedule.clone() };
    let (mut best, mut plays, mut at) = (schedule.faults.clone(), 0, 0);
    while at < best.len() && plays < MAX_SHRINK_RUNS {
        let mut less = best.clone();
        less.remove(at);
        plays += 1;
        if fails(with(less.clone())) == first {
            (best, at) = (less, 0);
        } else {
            at += 1;
        }
    }
    with(best)
}
