//! Cuts a failing schedule down: faults are taken out, in halves and then one by one, as long as it still fails.

use crate::Schedule;

/// Plays at most, over all.
const PLAYS_MOST: usize = 400;

/// The smallest schedule found that still fails.
pub fn shrink(schedule: &Schedule, fails: impl Fn(&Schedule) -> bool) -> Schedule {
    let (mut best, mut plays) = (schedule.clone(), 0);
    let mut part = best.faults.len().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < best.faults.len() && plays < PLAYS_MOST {
            let mut less = best.clone();
            less.faults.drain(from..(from + part).min(best.faults.len()));
            plays += 1;
            if fails(&less) {
                best = less;
            } else {
                from += part;
            }
        }
        if part == 1 || plays >= PLAYS_MOST {
            return best;
        }
        part = part.div_ceil(2);
    }
}
