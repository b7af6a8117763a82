//! Signals to a process that is still starting: its program is being loaded, its settings are being read, or its disk refuses to be
//! opened.

mod ends;
mod http_call;
mod kill;
mod operations;
mod raw_http;
mod signals;
mod system;
mod waiting;

use http_call::ask;
use limeway_soak::process_status::{ProcessStatus, StartupPhase};
use nix::sys::signal::{SigSet, Signal as SignalNumber};
use operations::config;
use rstest::rstest;
use rustix::fs::{mknodat, FileType, Mode, CWD};
use rustix::process::{Pid, Signal};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use system::{address, System, CONTROL, GRACE, READY};

const GATEWAY: usize = 3;
const CORE_MACHINE: usize = 0;

/// Starts a machine again and runs `meanwhile` while the process reads its settings.
fn restart_reading_slowly(system: &System, at: usize, meanwhile: impl FnOnce()) {
    let settings = std::fs::read_to_string(system.settings_path(at)).expect("settings");
    restart_with_settings_that_change(system, at, &settings, meanwhile);
}

/// Starts a machine again whose process reads these settings, and runs `meanwhile` before it has them. Once it has opened the file, that
/// is as it was before.
fn restart_with_settings_that_change(
    system: &System,
    at: usize,
    first_settings: &str,
    meanwhile: impl FnOnce(),
) {
    system.kill(at);
    let path = system.settings_path(at);
    let settings = std::fs::read(&path).expect("settings");
    std::fs::remove_file(&path).expect("removed");
    mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a pipe");
    system.spawn(at);
    // Returns once the process has opened it.
    let mut pipe = File::options().write(true).open(&path).expect("opened");
    let file = path.with_extension("file");
    std::fs::write(&file, &settings).expect("settings");
    std::fs::rename(&file, &path).expect("settings for later reads");
    meanwhile();
    // A process that has ended reads no more: that shows afterwards.
    let _ = pipe.write_all(first_settings.as_bytes());
}

#[test]
fn a_sighup_while_settings_are_read_does_not_end_the_process() {
    let system = System::start(71, 1, GRACE);
    restart_reading_slowly(&system, GATEWAY, || system.signal(GATEWAY, Signal::HUP));
    let readiness = (system.machines[GATEWAY].ip, READY).into();
    system.until("an answer of the gateway", |system| {
        assert_eq!(system.ended(GATEWAY), None, "{}", system.log());
        ask(readiness, "GET", "/-/readiness", &[], "").is_some()
    });
}

/// Guards against a change of the settings file that is lost: it comes while the process starts, and no signal tells of it.
#[test]
fn a_settings_file_that_changes_while_it_is_read_is_read_again() {
    let system = System::start(77, 1, GRACE);
    let settings = std::fs::read_to_string(system.settings_path(GATEWAY)).expect("settings");
    let seeds: Vec<String> = system.seeds().iter().map(SocketAddr::to_string).collect();
    let nobody = settings.replace(&seeds.join(","), &format!("{}:{CONTROL}", address(77, 250)));
    assert_ne!(settings, nobody);
    restart_with_settings_that_change(&system, GATEWAY, &nobody, || {});
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1""#)).0, 200);
    let readiness = (system.machines[GATEWAY].ip, READY).into();
    system.until("a gateway that finds the core machines", |_| {
        ask(readiness, "GET", "/-/readiness", &[], "").is_some_and(|(status, _)| status == 200)
    });
}

/// Guards against a process that ends as its settings file is being written while it starts.
#[rstest]
#[case::gateway(78, GATEWAY)]
#[case::core_machine(79, CORE_MACHINE)]
fn a_process_waits_for_a_settings_file_that_is_being_written(#[case] net: u8, #[case] at: usize) {
    let system = System::start(net, 1, GRACE);
    restart_with_settings_that_change(&system, at, "", || {});
    system.until("a handler", |system| phase(system, at, Signal::HUP) == StartupPhase::Handled);
    system.signal(at, Signal::TERM);
    system.until("its end", |system| system.ended(at).is_some());
    assert!(system.ended(at).expect("ended").success(), "{}", system.log());
}

#[test]
fn a_sigterm_while_settings_are_read_is_obeyed_in_order() {
    let system = System::start(72, 0, GRACE);
    restart_reading_slowly(&system, CORE_MACHINE, || system.signal(CORE_MACHINE, Signal::TERM));
    system.until("its end", |system| system.ended(CORE_MACHINE).is_some());
    assert!(system.ended(CORE_MACHINE).expect("ended").success(), "{}", system.log());
}

/// Whether a machine's process has the thread that opens the disk.
fn opens_disk(system: &System, at: usize) -> bool {
    let id = system.machines[at].child.lock().expect("lock").as_ref().expect("runs").id();
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else { return false };
    let name = |thread: std::fs::DirEntry| std::fs::read_to_string(thread.path().join("comm"));
    threads.flatten().filter_map(|thread| name(thread).ok()).any(|name| name.trim() == "state-opener")
}

#[test]
fn a_sigterm_ends_a_core_machine_whose_disk_refuses_to_be_opened() {
    let grace = std::time::Duration::from_secs(1);
    let system = System::start(73, 0, grace);
    system.kill(CORE_MACHINE);
    let data = system.folder.join(format!("data-{CORE_MACHINE}"));
    // It may have been killed before it made its folder.
    let _ = std::fs::remove_dir_all(&data);
    std::fs::write(&data, b"no folder").expect("a file in its place");
    system.run(CORE_MACHINE, false);
    system.until("the disk being opened", |system| opens_disk(system, CORE_MACHINE));
    system.signal(CORE_MACHINE, Signal::TERM);
    system.until("its end", |system| system.ended(CORE_MACHINE).is_some());
    assert!(system.ended(CORE_MACHINE).expect("ended").success(), "{}", system.log());
}

/// Starts a machine again from a thread that has these signals blocked, as a platform may: the process inherits that.
fn restart_with_blocked_signals(system: &System, at: usize) {
    system.kill(at);
    let signals: SigSet = [SignalNumber::SIGHUP, SignalNumber::SIGTERM].into_iter().collect();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            signals.thread_block().expect("blocked");
            system.spawn(at);
        });
    });
}

/// How far a machine's process has come for a signal.
fn phase(system: &System, at: usize, signal: Signal) -> StartupPhase {
    let id = system.machines[at].child.lock().expect("lock").as_ref().expect("runs").id();
    let pid = Pid::from_raw(i32::try_from(id).expect("an id")).expect("an id");
    ProcessStatus::read(pid).expect("a process").phase(signal)
}

/// Guards against a SIGHUP that ends a process whose program is still being loaded: one whose platform blocks it loses nothing.
#[rstest]
#[case::gateway(74, GATEWAY)]
#[case::core_machine(75, CORE_MACHINE)]
fn signals_right_after_the_start_wait_if_the_platform_blocks_them(#[case] net: u8, #[case] at: usize) {
    let system = System::start(net, 1, GRACE);
    restart_with_blocked_signals(&system, at);
    system.signal(at, Signal::HUP);
    system.signal(at, Signal::HUP);
    system.until("a handler", |system| {
        assert_eq!(system.ended(at), None, "{}", system.log());
        phase(system, at, Signal::HUP) == StartupPhase::Handled
    });
    system.signal(at, Signal::TERM);
    system.until("its end", |system| system.ended(at).is_some());
    assert!(system.ended(at).expect("ended").success(), "{}", system.log());
}

/// Guards against a SIGTERM that ends a process by its default action while the program is being loaded.
#[test]
fn a_sigterm_right_after_the_start_is_obeyed_in_order_if_the_platform_blocks_it() {
    let system = System::start(76, 1, GRACE);
    restart_with_blocked_signals(&system, GATEWAY);
    system.signal(GATEWAY, Signal::TERM);
    system.until("its end", |system| system.ended(GATEWAY).is_some());
    assert!(system.ended(GATEWAY).expect("ended").success(), "{}", system.log());
}
