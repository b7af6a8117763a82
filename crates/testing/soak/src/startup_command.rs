//! The command `startup`: signals to processes in the first milliseconds after their start.

use crate::flags::Startup;
use limeway_soak::startup_trial::{Outcome, StartupTrial};
use rustix::fs::{mknodat, FileType, Mode, CWD};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Default number of processes that are signalled at one time after their start.
const PROCESSES: u32 = 40;
/// Default of the latest time, in microseconds.
const UNTIL_US: u64 = 2_000;
/// Default of the interval between two times, in microseconds.
const STEP_US: u64 = 100;

/// Runs the command, and prints for each time what became of the processes.
pub(crate) fn run(flags: Startup) -> ExitCode {
    let Some(signal) = signal_named(flags.signal.as_deref().unwrap_or("HUP")) else {
        eprintln!("limeway-soak: --signal: HUP or TERM");
        return ExitCode::FAILURE;
    };
    let pipe = std::env::temp_dir().join(format!("limeway-startup-{}", std::process::id()));
    // Nobody writes to it.
    if let Err(e) = mknodat(CWD, &pipe, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0) {
        eprintln!("limeway-soak: {}: {e}", pipe.display());
        return ExitCode::FAILURE;
    }
    let done = run_trials(&flags, signal, &pipe);
    let _ = std::fs::remove_file(&pipe);
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("limeway-soak: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_trials(flags: &Startup, signal: Signal, pipe: &Path) -> io::Result<()> {
    let mut arguments = flags.argument.clone();
    if arguments.is_empty() {
        arguments = vec!["serve".to_owned(), "--settings".to_owned()];
    }
    arguments.push(pipe.display().to_string());
    let program = flags.program.clone().unwrap_or_else(|| PathBuf::from("target/release/limeway-balancer"));
    let trial = StartupTrial { program, arguments, signal, repeats: flags.repeats.unwrap_or(1) };
    let until_us = flags.until_us.unwrap_or(UNTIL_US);
    let step_us = flags.step_us.unwrap_or(STEP_US).max(1);
    for step in 0..=until_us / step_us {
        let delay = Duration::from_micros(step * step_us);
        let outcomes = trial.run(delay, flags.processes.unwrap_or(PROCESSES))?;
        println!("{:>6} us: {}", delay.as_micros(), outcomes_text(&outcomes));
    }
    Ok(())
}

fn signal_named(name: &str) -> Option<Signal> {
    match name {
        "HUP" => Some(Signal::HUP),
        "TERM" => Some(Signal::TERM),
        _ => None,
    }
}

fn outcomes_text(outcomes: &BTreeMap<Outcome, u32>) -> String {
    let text = |(outcome, count): (&Outcome, &u32)| match outcome {
        Outcome::EndedIn(phase) => format!("{count} ended while {phase}"),
        Outcome::Survived => format!("{count} survived"),
        Outcome::StoodStill => format!("{count} stood still"),
    };
    outcomes.iter().map(text).collect::<Vec<_>>().join(", ")
}
