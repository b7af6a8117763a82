//! The simulator's command line.
#![forbid(unsafe_code)]

use limeway_simulation::{disabled_guard, runner, DisabledGuard, Schedule};
use std::process::ExitCode;

/// Default number of schedules that `digest` runs.
const DIGEST_SEEDS: u64 = 200;

/// The command line.
mod flags {
    #![allow(missing_docs, reason = "what the macro writes has none")]
    xflags::xflags! {
        /// The replicas' state machines under simulated faults, in virtual time.
        cmd limeway-simulation {
            /// Runs schedules until one fails, and shrinks that.
            cmd play {
                /// How many (1000).
                optional --seeds seeds: u64
                /// The first (0).
                optional --from from: u64
                /// Play on until so many have failed (1).
                optional --most most: usize
                /// Threads (2).
                optional --jobs jobs: usize
                /// Three machines with slow disks that are killed again and again.
                optional --harsh
                /// Three voters whose kills overlap, beside spares.
                optional --overlapping
                /// Machines that stand still with orders of an operator.
                optional --late-orders
                /// Heartbeats of servers that come late, around kills of all processes.
                optional --late-heartbeats
                /// A first start beside load: machines stand still or are killed in its first seconds.
                optional --uneven-starts
                /// A guard to disable, by its name.
                optional --without guard: String
            }
            /// Runs schedules and prints a digest of the results: equal for builds that behave alike.
            cmd digest {
                /// How many (200).
                optional --seeds seeds: u64
                /// Three machines with slow disks that are killed again and again.
                optional --harsh
                /// Three voters whose kills overlap, beside spares.
                optional --overlapping
                /// Machines that stand still with orders of an operator.
                optional --late-orders
                /// Heartbeats of servers that come late, around kills of all processes.
                optional --late-heartbeats
                /// A first start beside load: machines stand still or are killed in its first seconds.
                optional --uneven-starts
            }
            /// Runs one schedule again, and shows it.
            cmd replay {
                /// Its seed.
                required seed: u64
                /// A guard to disable, by its name.
                optional --without guard: String
                /// It is one of `play --harsh`.
                optional --harsh
                /// It is one of `play --overlapping`.
                optional --overlapping
                /// It is one of `play --late-orders`.
                optional --late-orders
                /// It is one of `play --late-heartbeats`.
                optional --late-heartbeats
                /// It is one of `play --uneven-starts`.
                optional --uneven-starts
                /// Do not shrink it.
                optional --whole
            }
        }
    }
}
use flags::{LimewaySimulation, LimewaySimulationCmd};

fn guard(name: Option<String>) -> Option<DisabledGuard> {
    let Some(name) = name else { return Some(DisabledGuard::None) };
    let found = disabled_guard::ALL.into_iter().find(|o| format!("{o:?}") == name);
    if found.is_none() {
        eprintln!("limeway-simulation: no such guard; there are {:?}", disabled_guard::ALL);
    }
    found
}

/// Draws a schedule of one kind from a seed.
type Draw = fn(u64) -> Schedule;

/// The kind of schedules that flags name.
fn draw(kinds: [(bool, Draw); 5]) -> Draw {
    kinds.into_iter().find(|(is_named, _)| *is_named).map_or(Schedule::draw, |(_, draw)| draw)
}

/// The kinds of schedules, with whether these flags name them.
macro_rules! kinds {
    ($flags:expr) => {
        draw([
            ($flags.harsh, Schedule::harsh),
            ($flags.overlapping, Schedule::overlapping),
            ($flags.late_orders, Schedule::late_orders),
            ($flags.late_heartbeats, Schedule::late_heartbeats),
            ($flags.uneven_starts, Schedule::uneven_starts),
        ])
    };
}

fn show(schedule: Schedule, disabled: DisabledGuard, whole: bool) -> ExitCode {
    let schedule = if whole { schedule } else { runner::shrink(&schedule, disabled) };
    let (broken, cluster) = runner::once(schedule.clone(), disabled);
    println!("{} machines, {} spares, {} losses", schedule.machines, schedule.spares, schedule.losses);
    for timed in &schedule.faults {
        println!("{:>10.3} s for {:.3} s: {:?}", timed.at as f64 / 1e6, timed.long as f64 / 1e6, timed.fault);
    }
    println!("faults end at {} s; {} events", schedule.heal / 1_000_000, cluster.event_count);
    for line in cluster.account() {
        println!("{line}");
    }
    match broken {
        Some(broken) => {
            println!("broken {broken}");
            ExitCode::FAILURE
        }
        None => {
            println!("nothing broken");
            ExitCode::SUCCESS
        }
    }
}

fn main() -> ExitCode {
    match LimewaySimulation::from_env_or_exit().subcommand {
        LimewaySimulationCmd::Play(flags) => {
            let Some(disabled) = guard(flags.without) else { return ExitCode::FAILURE };
            let from = flags.from.unwrap_or(0);
            let seeds = from..from.saturating_add(flags.seeds.unwrap_or(1_000));
            let outcome = runner::play(
                seeds,
                kinds!(flags),
                disabled,
                flags.jobs.unwrap_or(2),
                flags.most.unwrap_or(1),
            );
            let [done, refused, reads] = outcome.tally;
            println!(
                "{} seeds, {} events, {done} orders done, {refused} refused, {reads} reads",
                outcome.seeds, outcome.event_count
            );
            for (seed, broken) in &outcome.broken {
                println!("seed {seed}: {broken}");
            }
            match outcome.broken.first() {
                Some((seed, _)) => show(kinds!(flags)(*seed), disabled, false),
                None => ExitCode::SUCCESS,
            }
        }
        LimewaySimulationCmd::Digest(flags) => {
            let seeds = flags.seeds.unwrap_or(DIGEST_SEEDS);
            let digest = runner::digest(0..seeds, kinds!(flags));
            println!("{seeds} seeds, digest {digest:016x}");
            ExitCode::SUCCESS
        }
        LimewaySimulationCmd::Replay(flags) => match guard(flags.without) {
            Some(disabled) => show(kinds!(flags)(flags.seed), disabled, flags.whole),
            None => ExitCode::FAILURE,
        },
    }
}
