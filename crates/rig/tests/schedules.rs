//! Hundreds of schedules, all different: nothing acknowledged is lost, nothing is held twice, everyone comes back.

use limeway_rig::{play, Off};
use rstest::rstest;

/// Threads a test plays with.
const JOBS: usize = 2;

#[rstest]
fn nothing_is_broken_under_any_schedule() {
    let outcome = play::play(0..150, Off::Nothing, JOBS, 1);
    assert_eq!(outcome.broken, [], "replay it: cargo run --release -p limeway-rig -- replay SEED");
    let [done, refused, reads] = outcome.tally;
    assert!(done > 4_000 && refused > 2_000 && reads > 4_000, "{outcome:?}: nothing was tested");
}

#[rstest]
fn the_same_seed_plays_the_same() {
    let steps = || play::play(7..8, Off::Nothing, 1, 1).steps;
    assert_eq!(steps(), steps());
}
