//! A changed settings file counts once the process is told, whichever way the file was named at its start.

mod http_call;
mod kill;
mod operations;
mod raw_http;
mod signals;
mod system;
mod waiting;

use http_call::ask;
use operations::config;
use rustix::process::Signal;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use system::{System, FRONT, GRACE};

const GATEWAY: usize = 3;
/// Where nobody listens.
const NOBODY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 64, 0, 250)), 28_383);

fn status(system: &System) -> Option<u16> {
    let headers = [("Host", "a.example"), ("Limeway-Request-Id", "id-1")];
    ask((system.machines[GATEWAY].ip, FRONT).into(), "GET", "/y/1", &headers, "").map(|(status, _)| status)
}

#[test]
fn seeds_of_a_changed_file_are_used_after_a_signal() {
    let system = System::start(64, 1, GRACE);
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1""#)).0, 200);
    system.kill(GATEWAY);
    system.write_settings(GATEWAY, false, &[NOBODY]);
    system.spawn(GATEWAY);
    system.until("the gateway", |system| status(system).is_some());
    assert_eq!(status(&system), Some(503), "it finds nobody to follow");
    system.write_settings(GATEWAY, false, &system.seeds());
    system.signal(GATEWAY, Signal::HUP);
    system.until("the configuration", |system| status(system) == Some(404));
}
