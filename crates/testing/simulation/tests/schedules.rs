//! Hundreds of schedules, all different: nothing acknowledged is lost, nothing is held twice, everyone comes back.

use limeway_simulation::schedule::{Fault, Timed};
use limeway_simulation::{play, Off, Schedule, SECOND};
use rstest::rstest;

/// Threads a test plays with.
const JOBS: usize = 2;

#[rstest]
#[case::drawn(Schedule::draw, 150, 4_000)]
#[case::harsh(Schedule::harsh, 150, 2_000)]
fn nothing_is_broken(#[case] draw: fn(u64) -> Schedule, #[case] seeds: u64, #[case] orders: usize) {
    let outcome = play::play(0..seeds, draw, Off::Nothing, JOBS, 1);
    assert_eq!(outcome.broken, [], "replay it: cargo run --release -p limeway-simulation -- replay SEED");
    let [done, refused, reads] = outcome.tally;
    assert!(done > orders && refused > orders && reads > orders, "{outcome:?}: nothing was tested");
}

#[rstest]
fn the_same_seed_plays_the_same() {
    let steps = || play::play(7..8, Schedule::draw, Off::Nothing, 1, 1).steps;
    assert_eq!(steps(), steps());
}

/// Each guard that is off is found in a few schedules, and the same schedules pass with it.
#[rstest]
#[case::words_early(Off::WordsEarly, Schedule::harsh, 60)]
#[case::contact(Off::Contact, Schedule::draw, 20)]
#[case::pending(Off::Pending, Schedule::draw, 20)]
#[case::ages(Off::Ages, Schedule::draw, 20)]
fn a_guard_that_is_off_is_found(#[case] off: Off, #[case] draw: fn(u64) -> Schedule, #[case] seeds: u64) {
    let outcome = play::play(0..seeds, draw, off, JOBS, 1);
    assert!(!outcome.broken.is_empty(), "{off:?}");
}

/// Whichever machine comes back with an empty disk is given a seat again, the one that would propose it too.
#[rstest]
fn a_lost_disk_is_replaced_whoever_lost_it(#[values(0, 1, 2)] who: usize) {
    let fault = Fault::Down { who, wipe: true, power: true };
    let faults = vec![Timed { at: 5 * SECOND, long: SECOND, fault }];
    let (machines, spares, losses, heal, disks) = (3, 0, 1, 10 * SECOND, 1);
    let schedule = Schedule { seed: 1, machines, spares, losses, faults, heal, disks };
    assert_eq!(play::once(schedule, Off::Nothing).0, None);
}

/// Killed before the others of the first start have their seats, and back with another settings file: no machine decides by that.
#[rstest]
fn a_later_settings_file_makes_no_seats() {
    for seed in 0..40 {
        let down =
            |who| Timed { at: SECOND, long: SECOND, fault: Fault::Down { who, wipe: false, power: false } };
        let all = Timed { at: 2_300_000, long: 100_000, fault: Fault::AllDown };
        let faults = vec![down(seed as usize % 3), all];
        let (machines, spares, losses, heal, disks) = (3, 0, 1, 6 * SECOND, 1);
        let schedule = Schedule { seed, machines, spares, losses, faults, heal, disks };
        assert_eq!(play::once(schedule, Off::Nothing).0, None, "seed {seed}");
    }
}
