//! The soak's command line.
#![forbid(unsafe_code)]

mod startup_command;

use limeway_soak::plan::Plan;
use limeway_soak::report::Report;
use limeway_soak::run::{run, Options, RunError};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// The second bytes of the addresses of runs at one time begin here, unless the command line says otherwise.
const FIRST_NET: u8 = 200;
/// Upper bound on the runs at one time.
const MAX_JOBS: u8 = 6;

/// The command line.
mod flags {
    #![allow(missing_docs, reason = "what the macro writes has none")]
    use std::path::PathBuf;
    xflags::xflags! {
        /// Real processes of the whole system under overlapping faults.
        cmd limeway-soak {
            /// Makes runs, one a seed, and reports on all of them.
            cmd run {
                /// How many (4).
                optional --seeds seeds: u64
                /// The first (1).
                optional --from from: u64
                /// Seconds during which faults begin (25).
                optional --seconds seconds: u64
                /// Clients (24).
                optional --clients clients: usize
                /// Large runs: series of stops over so many gateways, without links between processes.
                optional --gateways gateways: usize
                /// Some requests have bodies of many megabytes.
                optional --long-bodies
                /// Runs at one time (1).
                optional --jobs jobs: u8
                /// The second byte of the addresses of the first job (200); those of the others follow. Differs between calls at one time.
                optional --net net: u8
                /// Where files and logs go (target/soak).
                optional --folder path: PathBuf
                /// The program (target/release/limeway-balancer).
                optional --program path: PathBuf
            }
            /// Sends a signal to processes in the first milliseconds after their start. Each reads its settings from a pipe, and so waits
            /// once it handles its signals.
            cmd startup {
                /// HUP (the default) or TERM.
                optional --signal name: String
                /// How often it is sent, one right after the other (1).
                optional --repeats repeats: u32
                /// Processes at each time (40).
                optional --processes processes: u32
                /// The latest time, in microseconds (2000).
                optional --until-us until_us: u64
                /// Between two times, in microseconds (100).
                optional --step-us step_us: u64
                /// The program (target/release/limeway-balancer).
                optional --program path: PathBuf
                /// Its argument before the pipe; can be repeated (serve, --settings).
                repeated --argument argument: String
            }
            /// Shows the faults of a seed.
            cmd plan {
                /// The seed.
                required seed: u64
                /// Seconds during which faults begin (25).
                optional --seconds seconds: u64
            }
        }
    }
}
use flags::{LimewaySoak, LimewaySoakCmd, Run};

/// Default number of clients.
const CLIENTS: usize = 24;
/// Default length of the time in which faults begin.
const SECONDS: u64 = 25;

fn show_plan(seed: u64, seconds: u64) {
    for timed in Plan::draw(seed, Duration::from_secs(seconds)).faults {
        println!(
            "{:>8.3} s for {:>6.3} s: {:?}",
            timed.at.as_secs_f64(),
            timed.length.as_secs_f64(),
            timed.fault
        );
    }
}

fn run_all(flags: Run) -> ExitCode {
    let options = |job: u8| Options {
        program: flags.program.clone().unwrap_or_else(|| PathBuf::from("target/release/limeway-balancer")),
        folder: flags.folder.clone().unwrap_or_else(|| PathBuf::from("target/soak")),
        net: flags.net.unwrap_or(FIRST_NET).saturating_add(job),
        length: Duration::from_secs(flags.seconds.unwrap_or(SECONDS)),
        clients: flags.clients.unwrap_or(CLIENTS),
        gateways: flags.gateways,
        long_bodies: flags.long_bodies,
    };
    let from = flags.from.unwrap_or(1);
    let (next, end) = (AtomicU64::new(from), from + flags.seeds.unwrap_or(4));
    let (total, failed) = (Mutex::new(Report::default()), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for job in 0..flags.jobs.unwrap_or(1).clamp(1, MAX_JOBS) {
            let (options, next, total, failed) = (options(job), &next, &total, &failed);
            scope.spawn(move || loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return;
                }
                match run(&options, seed) {
                    Ok(report) => {
                        println!("seed {seed}: {}", if report.holds() { "held" } else { "BROKEN" });
                        failed.fetch_add(u64::from(!report.holds()), Ordering::Relaxed);
                        if let Ok(mut total) = total.lock() {
                            total.add(&report);
                        }
                    }
                    Err(e) => {
                        println!("seed {seed}: not run: {e}");
                        if matches!(e, RunError::Interrupted) {
                            next.store(end, Ordering::Relaxed);
                        }
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    if let Ok(total) = total.lock() {
        print!("{}", total.to_text());
    }
    let failed = failed.into_inner();
    println!("{} runs, {failed} broken or not run", end - from);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn main() -> ExitCode {
    match LimewaySoak::from_env_or_exit().subcommand {
        LimewaySoakCmd::Startup(flags) => startup_command::run(flags),
        LimewaySoakCmd::Run(flags) => run_all(flags),
        LimewaySoakCmd::Plan(flags) => {
            show_plan(flags.seed, flags.seconds.unwrap_or(SECONDS));
            ExitCode::SUCCESS
        }
    }
}
