//! Signals at set moments of a start, forced by a trace of the process: Rust's run-time and all that follows it never run with a signal's
//! default action, and a signal that comes before its handler is there is taken once it is.

mod ends;
mod http_call;
mod kill;
mod raw_http;
mod signals;
mod system;
mod traced_start;
mod waiting;

use http_call::ask;
use limeway_soak::process_status::StartupPhase;
use rstest::rstest;
use rustix::process::Signal;
use std::process::Child;
use system::{System, GRACE, METRICS, PROGRAM};
use traced_start::{held_command, release_with_pending, status_of, InheritedSignals, Moment, TracedProcess};

const GATEWAY: usize = 3;
const CORE_MACHINE: usize = 0;
/// A gateway's count of the times that its settings file came into force while it ran. The file does not change in these tests, so only
/// a SIGHUP counts.
const ONE_RELOAD: &str = "limeway_reloads_total 1";

fn with_child<T>(system: &System, at: usize, run: impl FnOnce(&mut Child) -> T) -> T {
    run(system.machines[at].child.lock().expect("lock").as_mut().expect("started"))
}

/// Starts a machine again, under a trace that has it stand still before its program's first instruction.
fn restart_traced(system: &System, at: usize) -> TracedProcess {
    system.kill(at);
    system.spawn_by(at, held_command(PROGRAM, InheritedSignals::Default));
    with_child(system, at, |held| TracedProcess::at_exec(held, PROGRAM))
}

/// Starts a machine again with the signals blocked by its starter, and sends it one that waits when its program begins.
fn restart_with_pending_signal(system: &System, at: usize, signal: Signal) {
    system.kill(at);
    system.spawn_by(at, held_command(PROGRAM, InheritedSignals::Blocked));
    with_child(system, at, |held| release_with_pending(held, signal));
}

fn has_reloaded(system: &System, at: usize) -> bool {
    let to = (system.machines[at].ip, METRICS).into();
    ask(to, "GET", "/metrics", &[("Host", "m")], "")
        .is_some_and(|(_, text)| text.lines().any(|line| line == ONE_RELOAD))
}

/// A SIGHUP that was sent has ended nothing and has been taken, by a gateway as a reload.
fn expect_reload(system: &System, at: usize) {
    system.until("a SIGHUP that is taken", |system| {
        assert_eq!(system.ended(at), None, "{}", system.log());
        let status = with_child(system, at, |child| status_of(child));
        let is_taken = status.phase(Signal::HUP) == StartupPhase::Handled && !status.is_pending(Signal::HUP);
        is_taken && (at != GATEWAY || has_reloaded(system, at))
    });
    system.signal(at, Signal::TERM);
    expect_orderly_end(system, at);
}

/// A SIGTERM that was sent has the process shut down by itself, and not by the signal's default action.
fn expect_orderly_end(system: &System, at: usize) {
    system.until("its end", |system| system.ended(at).is_some());
    assert!(system.ended(at).expect("ended").success(), "{:?} {}", system.ended(at), system.log());
}

/// Guards against code of the program that runs while a signal has its default action.
#[rstest]
#[case::gateway(101, GATEWAY)]
#[case::core_machine(102, CORE_MACHINE)]
fn signals_are_blocked_before_the_program_runs(#[case] net: u8, #[case] at: usize) {
    let system = System::start(net, 1, GRACE);
    let process = restart_traced(&system, at);
    let phases = process.phases_until_handled([Signal::HUP, Signal::TERM]);
    let expected = || vec![StartupPhase::Loading, StartupPhase::Blocked, StartupPhase::Handled];
    assert_eq!(phases, [expected(), expected()]);
}

/// Guards against a SIGHUP that ends a process which has begun to run.
#[rstest]
#[case::gateway_runtime(103, GATEWAY, Moment::RuntimeBegins)]
#[case::gateway_blocked(104, GATEWAY, Moment::Blocked)]
#[case::gateway_handled(105, GATEWAY, Moment::Handled)]
#[case::core_machine_runtime(106, CORE_MACHINE, Moment::RuntimeBegins)]
#[case::core_machine_blocked(107, CORE_MACHINE, Moment::Blocked)]
#[case::core_machine_handled(108, CORE_MACHINE, Moment::Handled)]
fn a_sighup_during_a_start_is_a_reload(#[case] net: u8, #[case] at: usize, #[case] moment: Moment) {
    let system = System::start(net, 1, GRACE);
    restart_traced(&system, at).signal_at(moment, Signal::HUP);
    expect_reload(&system, at);
}

/// Guards against a SIGTERM that ends a process by its default action once it has begun to run.
#[rstest]
#[case::gateway_runtime(109, GATEWAY, Moment::RuntimeBegins)]
#[case::gateway_blocked(110, GATEWAY, Moment::Blocked)]
#[case::gateway_handled(111, GATEWAY, Moment::Handled)]
#[case::core_machine_runtime(112, CORE_MACHINE, Moment::RuntimeBegins)]
#[case::core_machine_blocked(113, CORE_MACHINE, Moment::Blocked)]
#[case::core_machine_handled(114, CORE_MACHINE, Moment::Handled)]
fn a_sigterm_during_a_start_is_obeyed_in_order(#[case] net: u8, #[case] at: usize, #[case] moment: Moment) {
    let system = System::start(net, 1, GRACE);
    restart_traced(&system, at).signal_at(moment, Signal::TERM);
    expect_orderly_end(&system, at);
}

/// Guards against a signal that is lost, or ends the process, where the starter has it blocked and it comes before `exec`.
#[rstest]
#[case::gateway(115, GATEWAY)]
#[case::core_machine(116, CORE_MACHINE)]
fn a_sighup_that_waits_since_before_exec_is_a_reload(#[case] net: u8, #[case] at: usize) {
    let system = System::start(net, 1, GRACE);
    restart_with_pending_signal(&system, at, Signal::HUP);
    expect_reload(&system, at);
}

/// Guards against a signal that is lost, or ends the process, where the starter has it blocked and it comes before `exec`.
#[rstest]
#[case::gateway(117, GATEWAY)]
#[case::core_machine(118, CORE_MACHINE)]
fn a_sigterm_that_waits_since_before_exec_is_obeyed_in_order(#[case] net: u8, #[case] at: usize) {
    let system = System::start(net, 1, GRACE);
    restart_with_pending_signal(&system, at, Signal::TERM);
    expect_orderly_end(&system, at);
}
