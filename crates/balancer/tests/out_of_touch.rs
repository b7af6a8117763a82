//! A gateway that has had no confirmation of its configuration for too long ends no request for good by it, and admits no key.

mod http_call;
mod kill;
mod operations;
mod raw_http;
mod system;
mod waiting;

use http_call::ask;
use operations::config;
use system::{System, FRONT, GRACE};

const GATEWAY: usize = 3;

/// The status of a request for a path, with a key.
fn status(system: &System, path: &str, key: &str) -> Option<u16> {
    let key = format!("Bearer {key}");
    let headers = [
        ("Host", "a.example"),
        ("Limeway-Request-Id", "id-1"),
        ("Limeway-Deadline-Ms", "500"),
        ("Authorization", key.as_str()),
    ];
    ask((system.machines[GATEWAY].ip, FRONT).into(), "GET", path, &headers, "").map(|(status, _)| status)
}

#[test]
fn a_gateway_out_of_touch_refuses_what_a_newer_configuration_might_allow() {
    let system = System::start(78, 1, GRACE);
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1""#)).0, 200);
    system.until("the configuration", |system| status(system, "/y/1", "k1") == Some(404));
    assert_eq!(status(&system, "/x/1", "unknown"), Some(401));
    (0..GATEWAY).for_each(|at| system.kill(at));
    system.until("503 in place of 404", |system| status(system, "/y/1", "k1") == Some(503));
    assert_eq!(status(&system, "/x/1", "unknown"), Some(503), "the key may be a newer one");
    assert_eq!(status(&system, "/x/1", "k1"), Some(503), "the key may have been taken away");
    // The log has a thread of its own in the process: a line may come later than the answer that it is about.
    system.until("its cause in the log", |system| system.log().contains("stale-config"));
}
