//! The memory of processes, as the platform looks at it.

use crate::faults::Stage;
use crate::sections::timed;
use rustix::process::Pid;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two looks at all processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of a unit in `/proc/PID/status`.
const KIB: usize = 1024;

/// Notes the largest memory of each machine's processes, for ever.
pub(crate) async fn watch(stage: Rc<Stage>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        for at in stage.cluster.all() {
            let Some(pid) = stage.cluster.process_id(at) else { continue };
            let bytes = timed("reading a status", || resident_bytes(pid)).unwrap_or(0);
            let mut seen = stage.ledger.seen.borrow_mut();
            let peak = seen.memory_peaks.entry(at).or_default();
            *peak = bytes.max(*peak);
        }
    }
}

/// Memory of a process's own: pages of files do not count.
fn resident_bytes(pid: Pid) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", pid.as_raw_nonzero())).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse::<usize>().ok().map(|kib| kib * KIB)
}
