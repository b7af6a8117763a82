//! A process whose standard error nobody reads, as that of a log service that hangs.

mod ends;
mod http_call;
mod kill;
mod operations;
mod raw_http;
mod signals;
mod system;
mod tenant_request;
mod waiting;

use operations::config;
use rustix::process::Signal;
use std::process::{Command, Stdio};
use system::{System, GRACE};
use tenant_request::TenantRequest;

const GATEWAY: usize = 3;
/// Requests that are logged: more than a pipe takes, and more than wait in the process.
const LOGGED_REQUESTS: usize = 3_000;

/// Starts the gateway again, with a standard error that is never read.
fn restart_with_unread_log(system: &System) {
    system.kill(GATEWAY);
    let child = Command::new(env!("CARGO_BIN_EXE_limeway-balancer"))
        .args(["serve", "--log", "info", "--settings"])
        .arg(system.settings_path(GATEWAY))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    *system.machines[GATEWAY].child.lock().expect("lock") = Some(child);
}

/// Guards against a gateway that stands still, with all of its clients, as its log is not taken.
#[test]
fn a_gateway_whose_log_is_not_read_goes_on_and_shuts_down_in_order() {
    let system = System::start(94, 1, GRACE);
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1""#)).0, 200);
    restart_with_unread_log(&system);
    let request = |system: &System| {
        TenantRequest { method: "GET", path: "/none/1", id: "id-1", deadline_ms: 1_000 }.send(system, GATEWAY)
    };
    system.until("the configuration at the gateway", |system| request(system) == Some(404));
    for _ in 0..LOGGED_REQUESTS {
        assert_eq!(request(&system), Some(404));
    }
    system.signal(GATEWAY, Signal::TERM);
    system.until("its end", |system| system.ended(GATEWAY).is_some());
    assert!(system.ended(GATEWAY).expect("ended").success());
}
