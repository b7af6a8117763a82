//! Signals at set moments of the limiter's start, forced by a trace of the process: no instruction of the program runs with a signal's
//! default action, and a signal that comes before its handler is there is taken once it is.

mod common;
#[path = "../../../balancer/tests/traced_start/mod.rs"]
mod traced_start;

use common::*;
use limeway_soak::process_status::StartupPhase;
use rstest::rstest;
use rustix::process::Signal;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::mpsc::channel;
use std::thread;
use traced_start::{held_command, release_with_pending, InheritedSignals, Moment, TracedProcess};

/// What the limiter logs once it has taken a SIGHUP as a reload.
const RELOADED: &str = "reloaded: ";

fn ok(_: usize, _: &Message, stream: &mut TcpStream) {
    reply(stream, "200 OK", "hi");
}

/// Starts a limiter that is held before it becomes its program.
fn start_held(config: &Path, signals: InheritedSignals) -> Child {
    let mut command = with_clean_environment(held_command(PROGRAM, signals));
    command.env("ROUTER_CONFIG", config).spawn().expect("the limiter starts")
}

/// Starts a limiter whose signal comes at a moment of its start.
fn start_signalled_at(config: &str, moment: Moment, signal: Signal) -> (Child, PathBuf) {
    let path = place(config);
    let mut child = start_held(&path, InheritedSignals::Default);
    TracedProcess::at_exec(&mut child, PROGRAM).signal_at(moment, signal);
    (child, path)
}

/// Starts a limiter with the signals blocked by its starter, and one of them waits when its program begins.
fn start_with_pending_signal(config: &str, signal: Signal) -> (Child, PathBuf) {
    let path = place(config);
    let mut child = start_held(&path, InheritedSignals::Blocked);
    release_with_pending(&mut child, signal);
    (child, path)
}

/// A limiter that is started by `start` with a SIGHUP gets ready, reloads, and ends in order once it is told to.
fn expect_reload(start: impl FnOnce(&str) -> (Child, PathBuf)) {
    let (one, counter) = (server(ok), counter());
    let mut limiter = Setup::new(&[&one], &counter).start_by(start);
    wait_for_line(&mut limiter.child, RELOADED);
    limiter.terminate();
    assert!(limiter.wait().success());
}

/// Waits until a process logs a line with this text.
fn wait_for_line(child: &mut Child, text: &'static str) {
    let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    let (tell, told) = channel();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if line.contains(text) {
                let _ = tell.send(line);
            }
        }
    });
    told.recv_timeout(LONG).expect("a line in the log");
}

/// A limiter that is started by `start` with a signal to end does so by itself, and not by the signal's default action.
fn expect_orderly_end(start: impl FnOnce(&str) -> (Child, PathBuf)) {
    let (one, counter) = (server(ok), counter());
    let (list_server, _news) = discovery(list(1, true, &[entry("s-0", one.address, "SERVING")]));
    let config =
        Setup::new(&[&one], &counter).json(free_port(), list_server.address, &[free_port(), free_port()]);
    let (child, _) = start(&config);
    let output = end_of(child);
    assert!(output.status.success(), "{output:?}");
}

/// Guards against code of the program that runs while a signal has its default action.
#[test]
fn signals_are_blocked_before_the_program_runs() {
    let (one, counter) = (server(ok), counter());
    let config = Setup::new(&[&one], &counter).json(free_port(), free_port(), &[free_port(), free_port()]);
    let mut child = start_held(&place(&config), InheritedSignals::Default);
    let process = TracedProcess::at_exec(&mut child, PROGRAM);
    let phases = process.phases_until_handled([Signal::HUP, Signal::TERM, Signal::INT]);
    let expected = || vec![StartupPhase::Loading, StartupPhase::Blocked, StartupPhase::Handled];
    assert_eq!(phases, [expected(), expected(), expected()]);
    child.kill().expect("killed");
    child.wait().expect("ended");
}

/// Guards against a SIGHUP that ends a process which has begun to run.
#[rstest]
#[case::runtime(Moment::RuntimeBegins)]
#[case::blocked(Moment::Blocked)]
#[case::handled(Moment::Handled)]
fn a_sighup_during_a_start_is_a_reload(#[case] moment: Moment) {
    expect_reload(|config| start_signalled_at(config, moment, Signal::HUP));
}

/// Guards against a signal to end that ends a process by its default action once it has begun to run.
#[rstest]
#[case::sigterm_runtime(Signal::TERM, Moment::RuntimeBegins)]
#[case::sigterm_blocked(Signal::TERM, Moment::Blocked)]
#[case::sigterm_handled(Signal::TERM, Moment::Handled)]
#[case::sigint_runtime(Signal::INT, Moment::RuntimeBegins)]
#[case::sigint_blocked(Signal::INT, Moment::Blocked)]
#[case::sigint_handled(Signal::INT, Moment::Handled)]
fn a_signal_to_end_during_a_start_is_obeyed_in_order(#[case] signal: Signal, #[case] moment: Moment) {
    expect_orderly_end(|config| start_signalled_at(config, moment, signal));
}

/// Guards against a signal that is lost, or ends the process, where the starter has it blocked and it comes before `exec`.
#[test]
fn a_sighup_that_waits_since_before_exec_is_a_reload() {
    expect_reload(|config| start_with_pending_signal(config, Signal::HUP));
}

/// Guards against a signal that is lost, or ends the process, where the starter has it blocked and it comes before `exec`.
#[rstest]
#[case::sigterm(Signal::TERM)]
#[case::sigint(Signal::INT)]
fn a_signal_to_end_that_waits_since_before_exec_is_obeyed_in_order(#[case] signal: Signal) {
    expect_orderly_end(|config| start_with_pending_signal(config, signal));
}
