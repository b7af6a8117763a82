//! The end of the daemon after SIGTERM: for how long it still takes connections, and finishes what it has taken.

use std::time::Duration;

/// Idle connections are closed after this time, and new ones are taken at least until then.
pub const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(450);
/// The listener closes once no connection has come for so long.
const QUIET_TIME: Duration = Duration::from_millis(250);
/// It closes by then in any case. The platform kills the daemon no sooner than the longest deadline and this time after SIGTERM, so a
/// request that is taken later might not be answered.
pub const MAX_LISTENING: Duration = Duration::from_millis(700);
/// Time for what has been taken, in all.
pub const MAX_FINISH: Duration = Duration::from_millis(9_000);

/// Whether connections are still taken so long after SIGTERM, if the last one came so long ago.
pub fn keeps_listening(since_terminated: Duration, quiet_for: Duration) -> bool {
    since_terminated < CLOSE_IDLE_AFTER || (since_terminated < MAX_LISTENING && quiet_for < QUIET_TIME)
}
