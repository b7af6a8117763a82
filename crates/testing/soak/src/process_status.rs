//! What the kernel says of a process: what it does with its signals, and how far it has come since its start.

use rustix::process::{Pid, Signal};
use std::fmt;

/// How far a process has come, as far as one signal is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartupPhase {
    /// The kernel and the dynamic loader are at work; no code of the program has run.
    Loading,
    /// Rust's runtime has begun (it ignores SIGPIPE); the signal has its default action.
    Running,
    /// The signal is blocked: it waits.
    Blocked,
    /// The signal has a handler.
    Handled,
}

impl fmt::Display for StartupPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartupPhase::Loading => "loading",
            StartupPhase::Running => "running without a handler",
            StartupPhase::Blocked => "blocked",
            StartupPhase::Handled => "handled",
        })
    }
}

/// The masks of `/proc/PID/status`, a bit a signal. They can be read of a process that has ended, until its parent has waited for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessStatus {
    caught: u64,
    ignored: u64,
    blocked: u64,
    pending: u64,
    /// It has ended, and its parent has not waited for it.
    pub has_ended: bool,
}

impl ProcessStatus {
    /// The status of a process; None if there is none with this id.
    pub fn read(pid: Pid) -> Option<Self> {
        Self::parse(&std::fs::read_to_string(format!("/proc/{}/status", pid.as_raw_nonzero())).ok()?)
    }

    /// The status in the form of `/proc/PID/status`; None if a mask is missing.
    pub fn parse(text: &str) -> Option<Self> {
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let mask = |name: &str| u64::from_str_radix(field(name)?, 16).ok();
        Some(ProcessStatus {
            caught: mask("SigCgt:")?,
            ignored: mask("SigIgn:")?,
            blocked: mask("SigBlk:")?,
            pending: mask("SigPnd:")? | mask("ShdPnd:")?,
            has_ended: field("State:")?.starts_with('Z'),
        })
    }

    /// How far the process has come for a signal.
    pub fn phase(&self, signal: Signal) -> StartupPhase {
        if self.caught & bit(signal) != 0 {
            StartupPhase::Handled
        } else if self.blocked & bit(signal) != 0 {
            StartupPhase::Blocked
        } else if self.ignored & bit(Signal::PIPE) != 0 {
            StartupPhase::Running
        } else {
            StartupPhase::Loading
        }
    }

    /// Whether a signal has been sent to the process and not been delivered.
    pub fn is_pending(&self, signal: Signal) -> bool {
        self.pending & bit(signal) != 0
    }
}

fn bit(signal: Signal) -> u64 {
    1 << (signal.as_raw() - 1)
}
