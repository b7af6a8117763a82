//! Cuts a failing schedule down: faults are taken out, in halves and then one by one, as long as it still fails.

use crate::Schedule;

/// Plays at most, over all.
const MAX_PLAYS: usize = 400;

/// The smallest schedule found that still fails.
pub fn shrink(schedule: &Schedule, fails: impl Fn(&Schedule) -> bool) -> Schedule {
    let with = |faults: &[_]| Schedule { faults: faults.to_vec(), ..schedule.clone() };
    let faults = shorten(&schedule.faults, MAX_PLAYS, |faults| fails(&with(faults)));
    with(&faults)
}

/// The shortest list found that still fails, within so many plays: items are taken out, in halves and then one by one.
pub fn shorten<T: Clone>(items: &[T], most: usize, mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let (mut best, mut plays) = (items.to_vec(), 0);
    let mut part = best.len().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < best.len() && plays < most {
            let mut less = best.clone();
            less.drain(from..(from + part).min(best.len()));
            plays += 1;
            if fails(&less) {
                best = less;
            } else {
                from += part;
            }
        }
        if part == 1 || plays >= most {
            return best;
        }
        part = part.div_ceil(2);
    }
}
