//! Starts of a program that are held before `exec`, and followed from there from one system call to the next.
//!
//! What a process does with its signals changes by system calls only. A test that looks at each of those of the main thread sees every
//! state that a signal can meet until other threads run, at whatever speed the machine runs.

use limeway_soak::process_status::{ProcessStatus, StartupPhase};
use nix::sys::ptrace::{self, Event, Options};
use nix::sys::wait::{waitpid, WaitPidFlag, WaitStatus};
use nix::unistd::Pid as TracedPid;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::DirEntry;
use std::io::Write;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Reads a line, and becomes the program that it is given then.
const HOLD_SCRIPT: &str = r#"read -r line && exec "$0" "$@" </dev/null"#;
/// Gives the signals their default actions. What the starter of the tests ignores, as `nohup` does, the program would ignore too.
const DEFAULT_ACTIONS: &str = "--default-signal=HUP,INT,TERM";
const BLOCK: &str = "--block-signal=HUP,INT,TERM";
/// A program that has no handler after so many steps never gets one.
const MAX_STEPS: usize = 10_000;
/// A process that comes to no stop for so long hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// How a starter leaves the signals of the platform to the process that it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InheritedSignals {
    /// They have their default actions.
    Default,
    /// They are blocked.
    Blocked,
}

/// A command that is held before it becomes a program. Arguments that are added to it are the program's.
pub(crate) fn held_command(program: &str, signals: InheritedSignals) -> Command {
    let mut command = Command::new("env");
    command.arg(DEFAULT_ACTIONS);
    if signals == InheritedSignals::Blocked {
        command.arg(BLOCK);
    }
    command.args(["/bin/sh", "-c", HOLD_SCRIPT, program]).stdin(Stdio::piped());
    command
}

/// Lets a process that is held become its program.
fn release(held: &mut Child) {
    let mut input = held.stdin.take().expect("it is held");
    input.write_all(b"\n").expect("it waits for a line");
}

/// The id of a process.
fn pid_of(child: &Child) -> Pid {
    Pid::from_raw(i32::try_from(child.id()).expect("an id")).expect("an id")
}

/// The state of a process.
pub(crate) fn status_of(child: &Child) -> ProcessStatus {
    ProcessStatus::read(pid_of(child)).expect("a process")
}

/// Lets a process that is held with blocked signals become its program, with one that waits for it.
pub(crate) fn release_with_pending(held: &mut Child, signal: Signal) {
    let begun = Instant::now();
    // All are blocked in one call; the shell itself has a handler for some, but none for this one.
    while status_of(held).phase(Signal::HUP) != StartupPhase::Blocked {
        assert!(!status_of(held).has_ended, "it is held: does `env` know --block-signal?");
        assert!(begun.elapsed() < HANG_TIMEOUT, "it is held and blocks nothing");
        std::thread::yield_now();
    }
    kill_process(pid_of(held), signal).expect("a signal");
    assert!(status_of(held).is_pending(signal));
    release(held);
}

/// A moment of a start at which a signal may come.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Moment {
    /// Rust's run-time begins: it has ignored SIGPIPE. `main` comes later.
    RuntimeBegins,
    /// The signal is blocked.
    Blocked,
    /// The signal has a handler.
    Handled,
}

/// A process that stands still at a system call. It is killed if the test ends before it is detached.
pub(crate) struct TracedProcess {
    pid: Pid,
}

impl TracedProcess {
    /// Lets a process that is held become its program, and stops it right after `exec`, before the program's first instruction.
    pub(crate) fn at_exec(held: &mut Child, program: &str) -> Self {
        let process = TracedProcess { pid: pid_of(held) };
        let options =
            Options::PTRACE_O_EXITKILL | Options::PTRACE_O_TRACEEXEC | Options::PTRACE_O_TRACESYSGOOD;
        ptrace::seize(process.traced_pid(), options).expect("a child may be traced");
        release(held);
        process.expect_exec();
        // The script's own programs come before it.
        while !process.runs(program) {
            ptrace::cont(process.traced_pid(), None).expect("it stands still");
            process.expect_exec();
        }
        for signal in [Signal::HUP, Signal::TERM, Signal::INT] {
            assert_eq!(
                process.phase(signal),
                StartupPhase::Loading,
                "the test inherits no block and no handler"
            );
        }
        process
    }

    /// Runs on until all these signals have handlers. The phases that the process goes through, for each of them.
    pub(crate) fn phases_until_handled<const N: usize>(
        &self,
        signals: [Signal; N],
    ) -> [Vec<StartupPhase>; N] {
        let mut seen = signals.map(|_| Vec::new());
        self.step_until(|process| {
            for (phases, signal) in seen.iter_mut().zip(signals) {
                phases.push(process.phase(signal));
                phases.dedup();
            }
            seen.iter().all(|phases| phases.last() == Some(&StartupPhase::Handled))
        });
        seen
    }

    /// Runs on to a moment, has the signal sent there, and lets the process run on by itself.
    pub(crate) fn signal_at(self, moment: Moment, signal: Signal) {
        self.step_until(|process| match moment {
            Moment::RuntimeBegins => process.phase(Signal::PIPE) == StartupPhase::Running,
            Moment::Blocked => process.phase(signal) == StartupPhase::Blocked,
            Moment::Handled => process.phase(signal) == StartupPhase::Handled,
        });
        kill_process(self.pid, signal).expect("a signal");
        ptrace::detach(self.traced_pid(), None).expect("it stands still");
    }

    /// How far the process has come for a signal. It is delivered to whichever thread takes it, so the least of its threads counts.
    fn phase(&self, signal: Signal) -> StartupPhase {
        let phase = |thread: DirEntry| {
            let thread = Pid::from_raw(thread.file_name().to_str()?.parse().ok()?)?;
            // A thread that has just ended has none.
            Some(ProcessStatus::read(thread)?.phase(signal))
        };
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.pid.as_raw_nonzero()));
        threads.expect("threads").flatten().filter_map(phase).min().expect("a thread")
    }

    fn step_until(&self, mut is_reached: impl FnMut(&Self) -> bool) {
        for _ in 0..MAX_STEPS {
            if is_reached(self) {
                return;
            }
            self.step();
        }
        panic!("not reached in {MAX_STEPS} system calls");
    }

    /// Runs on to the next begin or end of a system call.
    fn step(&self) {
        ptrace::syscall(self.traced_pid(), None).expect("it stands still");
        let stop = self.next_stop();
        assert!(matches!(stop, WaitStatus::PtraceSyscall(_)), "{stop:?}");
    }

    fn expect_exec(&self) {
        let stop = self.next_stop();
        let is_exec =
            matches!(stop, WaitStatus::PtraceEvent(_, _, event) if event == Event::PTRACE_EVENT_EXEC as i32);
        assert!(is_exec, "{stop:?}");
    }

    fn runs(&self, program: &str) -> bool {
        let link = format!("/proc/{}/exe", self.pid.as_raw_nonzero());
        std::fs::read_link(link).expect("a program") == Path::new(program).canonicalize().expect("a program")
    }

    fn next_stop(&self) -> WaitStatus {
        let flags = WaitPidFlag::__WALL | WaitPidFlag::WNOHANG;
        let begun = Instant::now();
        loop {
            match waitpid(self.traced_pid(), Some(flags)).expect("a child") {
                WaitStatus::StillAlive => std::thread::yield_now(),
                stop => return stop,
            }
            assert!(begun.elapsed() < HANG_TIMEOUT, "no stop for {HANG_TIMEOUT:?}");
        }
    }

    fn traced_pid(&self) -> TracedPid {
        TracedPid::from_raw(self.pid.as_raw_nonzero().get())
    }
}
