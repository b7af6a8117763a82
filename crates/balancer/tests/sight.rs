//! A failed request can be explained afterwards: by the log line with its id, and by the figures of the process.

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
use system::{System, FRONT, GRACE, METRICS};

/// The machines: a replica, and the gateway.
const REPLICA: usize = 0;
const GATEWAY: usize = 3;

fn figures(system: &System, at: usize) -> String {
    let to = (system.machines[at].ip, METRICS).into();
    ask(to, "GET", "/metrics", &[("Host", "m")], "").map_or(String::new(), |(_, text)| text)
}

fn request(system: &System, path: &str, key: &str, id: &str) -> Option<u16> {
    let key = format!("Bearer {key}");
    let headers = [("Host", "a.example"), ("Limeway-Request-Id", id), ("Authorization", key.as_str())];
    ask((system.machines[GATEWAY].ip, FRONT).into(), "GET", path, &headers, "").map(|(status, _)| status)
}

#[test]
fn each_failure_has_a_cause_in_log_and_figures() {
    let system = System::start(63, 1, GRACE);
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1""#)).0, 200);
    system.until("the configuration", |system| request(system, "/y/1", "k1", "id-wait") == Some(404));
    assert_eq!(request(&system, "/y/1", "k1", "id-route"), Some(404));
    assert_eq!(request(&system, "/x/1", "nobody", "id-key"), Some(401));
    // Until a unit of the quota can be had it is 429.
    system.until("a request without a server", |system| {
        request(system, "/x/1", "k1", "id-server") == Some(503)
    });
    let line = |id: &str| {
        let quoted = format!("\"request\":\"{id}\"");
        system.log().lines().rfind(|line| line.contains(&quoted)).map(str::to_owned)
    };
    // The log has a thread of its own in the process: the last line of an id may still be that of an earlier answer.
    let has_cause =
        |id: &str, cause: &str| line(id).is_some_and(|line| line.contains(&format!("\"cause\":\"{cause}\"")));
    system.until("a line with the cause of each", |_| {
        has_cause("id-route", "no-route")
            && has_cause("id-key", "unknown-key")
            && has_cause("id-server", "no-server")
    });
    let server = line("id-server").expect("a line");
    for field in ["\"status\":\"503\"", "\"tenant\":\"t\"", "\"service\":\"s\"", "\"version\":\"1\""] {
        assert!(server.contains(field), "{field} in {server}");
    }
    let gateway = figures(&system, GATEWAY);
    for figure in [
        "limeway_failures_total{cause=\"no-route\"} 2",
        "limeway_failures_total{cause=\"unknown-key\"} 1",
        "limeway_config_version 1",
        "limeway_invariant_violations_total{invariant=\"fresh-keys\"} 0",
    ] {
        assert!(gateway.contains(figure), "{figure} in {gateway}");
    }
    let replica = figures(&system, REPLICA);
    assert!(replica.contains("limeway_has_quorum 1") && replica.contains("limeway_is_voter 1"), "{replica}");
    assert!(!replica.contains("limeway_state_write_seconds_count 0"), "{replica}");
    assert!(replica.contains("limeway_state_write_seconds_bucket{le=\"0.2\"}"), "{replica}");
    system.kill(1);
    system.kill(2);
    system.until("the loss of the majority", |system| {
        figures(system, REPLICA).contains("limeway_has_quorum 0")
    });
}

#[test]
fn a_grace_period_shorter_than_what_routes_allow_is_said_once() {
    const WARNING: &str = "routes allow requests to last longer than the grace period";
    let mut system = System::start(88, 1, GRACE);
    // The log has a thread of its own in the process. Lines keep their order: what is logged as a configuration comes into force stands
    // before the line of a request that was answered by it.
    let is_in_force = |system: &System, path: &str| {
        let line = format!("\"request\":\"{path}\",\"status\":\"401\"");
        request(system, path, "nobody", path) == Some(401) && system.log().contains(&line)
    };
    let with_timeout = |version, base, path: &str, timeout: &str| {
        config(version, base, path, r#""k1""#).replace("\"2s\"", &format!("\"{timeout}\""))
    };
    assert_eq!(system.order("config.replace", &with_timeout(1, 0, "/short/", "2s")).0, 200);
    system.until("timeouts within the grace period", |system| is_in_force(system, "/short/1"));
    assert!(!system.log().contains(WARNING), "{}", system.log());
    for (version, base, path) in [(2, 1, "/long/"), (3, 2, "/longer/")] {
        assert_eq!(system.order("config.replace", &with_timeout(version, base, path, "600s")).0, 200);
        system.until("timeouts beyond it", |system| is_in_force(system, &format!("{path}1")));
    }
    assert_eq!(system.log().matches(WARNING).count(), 1, "{}", system.log());
    system.grace = GRACE / 2;
    system.write_settings(GATEWAY, false, &system.seeds());
    system.signal(GATEWAY, Signal::HUP);
    system.until("the shorter grace period", |system| system.log().matches(WARNING).count() == 2);
}
