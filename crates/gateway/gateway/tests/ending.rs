//! What the daemon takes after SIGTERM can be answered before the platform kills it.

use limeway_gateway::ending::{keeps_listening, CLOSE_IDLE_AFTER};
use std::time::Duration;

/// SIGKILL comes no sooner than the longest deadline and this time after SIGTERM.
const KILL_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);

/// The last time after SIGTERM at which a connection is taken, if the last one before it came so long ago.
fn last_taken(quiet_for: Duration) -> Duration {
    let mut times = (0..2_000).map(Duration::from_millis);
    times.rfind(|at| keeps_listening(*at, quiet_for)).expect("some time")
}

#[test]
fn nothing_is_taken_whose_deadline_may_lie_beyond_the_kill() {
    let connections_keep_coming = last_taken(Duration::ZERO);
    assert!(connections_keep_coming < KILL_AFTER_LONGEST_DEADLINE, "{connections_keep_coming:?}");
}

#[test]
fn clients_have_some_time_to_go_elsewhere() {
    let none_comes = last_taken(Duration::MAX);
    assert!(none_comes + Duration::from_millis(1) >= CLOSE_IDLE_AFTER, "{none_comes:?}");
}
