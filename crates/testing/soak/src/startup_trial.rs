//! Signals to a process in the first milliseconds after its start: whether they end it, and how far it had come.

use crate::process_status::{ProcessStatus, StartupPhase};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process that has neither ended nor taken its signal after this time stands still.
const SETTLING_TIMEOUT: Duration = Duration::from_secs(10);

/// What is started, and what it is sent.
#[derive(Debug, Clone)]
pub struct StartupTrial {
    /// The program.
    pub program: PathBuf,
    /// Its arguments. It must not end by itself before it has handled its signals.
    pub arguments: Vec<String>,
    /// The signal.
    pub signal: Signal,
    /// How often the signal is sent, one right after the other.
    pub repeats: u32,
}

/// What became of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A signal ended it in this phase.
    EndedIn(StartupPhase),
    /// It went on to handle its signals.
    Survived,
    /// It neither ended nor handled its signals.
    StoodStill,
}

impl StartupTrial {
    /// Starts processes one after the other, sends each its signals so long after its start, and counts what became of them.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn run(&self, delay: Duration, processes: u32) -> io::Result<BTreeMap<Outcome, u32>> {
        let mut outcomes = BTreeMap::new();
        for _ in 0..processes {
            *outcomes.entry(self.run_once(delay)?).or_default() += 1;
        }
        Ok(outcomes)
    }

    fn run_once(&self, delay: Duration) -> io::Result<Outcome> {
        let mut child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        let started = Instant::now();
        let pid = pid_of(&child).ok_or_else(|| io::Error::other("a process without an id"))?;
        while started.elapsed() < delay {
            std::hint::spin_loop();
        }
        for _ in 0..self.repeats {
            kill_process(pid, self.signal)?;
        }
        let outcome = self.settle(pid);
        child.kill()?;
        child.wait()?;
        Ok(outcome)
    }

    /// Waits until the process has ended or has taken its signal.
    fn settle(&self, pid: Pid) -> Outcome {
        let begun = Instant::now();
        while begun.elapsed() < SETTLING_TIMEOUT {
            let Some(status) = ProcessStatus::read(pid) else { break };
            let phase = status.phase(self.signal);
            if status.has_ended {
                return Outcome::EndedIn(phase);
            }
            if phase == StartupPhase::Handled && !status.is_pending(self.signal) {
                return Outcome::Survived;
            }
            std::thread::yield_now();
        }
        Outcome::StoodStill
    }
}

fn pid_of(child: &Child) -> Option<Pid> {
    Pid::from_raw(i32::try_from(child.id()).ok()?)
}
