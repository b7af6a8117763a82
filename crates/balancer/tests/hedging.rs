//! An idempotent request whose server does not respond for a while goes to a second one as well. If that one does not execute it, the first
//! one is still waited for.

mod http_call;
mod operations;
mod raw_http;
mod servers;
mod stand_in;
mod system;
mod tenant_request;
mod waiting;

use http_call::ask;
use operations::config;
use servers::heartbeat;
use stand_in::{Gate, StandIn, OK, SERVER_PORT};
use std::net::Ipv4Addr;
use std::thread;
use system::{address, System, GRACE, METRICS};
use tenant_request::TenantRequest;

const GATEWAY: usize = 3;

fn status(system: &System, id: &str) -> Option<u16> {
    TenantRequest { method: "GET", path: "/x/1", id, deadline_ms: 2_000 }.send(system, GATEWAY)
}

/// A system with one gateway, and two servers that it does not know yet.
struct TwoServers {
    system: System,
    first: Ipv4Addr,
    second: Ipv4Addr,
    at_first: StandIn,
    at_second: StandIn,
}

impl TwoServers {
    /// The first server responds while the gate is open, the second one at once, with this.
    fn start(net: u8, gate: &Gate, second_response: &'static str) -> Self {
        Self::start_changed(net, gate, second_response, |config| config)
    }

    /// The same with a configuration that was changed.
    fn start_changed(
        net: u8,
        gate: &Gate,
        second_response: &'static str,
        change: impl Fn(String) -> String,
    ) -> Self {
        let system = System::start(net, 1, GRACE);
        let config = change(config(1, 0, "/x/", r#""k1""#));
        assert_eq!(system.order("config.replace", &config).0, 200);
        let (first, second) = (address(net, 98), address(net, 99));
        let at_first = StandIn::start(first, OK, gate);
        let at_second = StandIn::start(second, second_response, &Gate::new(true));
        TwoServers { system, first, second, at_first, at_second }
    }

    fn first_beats(&self, sequence: u32) {
        assert_eq!(heartbeat(&self.system, "i-98", (self.first, SERVER_PORT), "ready", sequence), 200);
    }

    fn second_beats(&self, sequence: u32) {
        assert_eq!(heartbeat(&self.system, "i-99", (self.second, SERVER_PORT), "ready", sequence), 200);
    }
}

#[test]
fn a_server_is_waited_for_if_the_second_one_does_not_execute_the_request() {
    let gate = Gate::new(true);
    let servers = TwoServers::start(82, &gate, "503 Service Unavailable\r\nLimeway-Not-Executed: 1");
    let (system, at_slow, at_full) = (&servers.system, &servers.at_first, &servers.at_second);
    servers.first_beats(1);
    system.until("the usual latency of the slow server", |system| status(system, "warm") == Some(200));
    servers.second_beats(1);
    let mut number = 0;
    system.until("a request that goes to the slow server first and to the full one then", |system| {
        number += 1;
        let id = format!("id-{number}");
        gate.set(false);
        thread::scope(|scope| {
            let answer = scope.spawn(|| status(system, &id));
            system.until("the request at the slow server", |_| at_slow.received().contains(&id));
            let was_at_full = at_full.received().contains(&id);
            system.until("the request at the full server", |_| {
                at_full.received().contains(&id) || answer.is_finished()
            });
            gate.set(true);
            let answer = answer.join().expect("an answer");
            assert_eq!(answer, Some(200), "{}", system.log());
            !was_at_full && at_full.received().contains(&id)
        })
    });
}

/// Guards against a second execution: a request that may run once at most is never sent to a second server while the first one has it.
#[test]
fn a_request_that_may_run_once_at_most_is_not_hedged() {
    let gate = Gate::new(false);
    let change = |config: String| config.replace(r#""idempotent""#, r#""non_idempotent""#);
    let servers = TwoServers::start_changed(89, &gate, OK, change);
    let (system, at_hanging, at_sound) = (&servers.system, &servers.at_first, &servers.at_second);
    let mut number = 0;
    system.until("a request at the server that hangs", |system| {
        number += 1;
        servers.first_beats(number);
        servers.second_beats(number);
        let answer = status(system, &format!("id-{number}"));
        let hangs = at_hanging.received().contains(&format!("id-{number}"));
        assert!(!hangs || answer == Some(504), "{answer:?}, {}", system.log());
        hangs
    });
    assert!(at_hanging.received().is_disjoint(&at_sound.received()), "{}", system.log());
}

/// Requests after which the usual latency of a server is known, whatever the first one took.
const WARM_REQUESTS: usize = 8;
/// Requests to two servers, one of which hangs.
const REQUESTS: usize = 20;
/// Those of them that may still go to it: the one that finds it hanging, and a look after each of the ejections of 0.5, 1, 2, 4 and 8 s
/// (`INITIAL_EJECTION` to `MAX_EJECTION`).
const MAX_AT_HUNG_SERVER: usize = 6;

#[test]
fn a_server_that_hangs_is_left_alone_though_others_answer_in_its_place() {
    let gate = Gate::new(true);
    let servers = TwoServers::start(86, &gate, OK);
    let (system, at_hanging, at_sound) = (&servers.system, &servers.at_first, &servers.at_second);
    servers.first_beats(1);
    let mut warm = 0;
    system.until("the usual latency of the server that will hang", |system| {
        warm += 1;
        status(system, &format!("warm-{warm}"));
        at_hanging.received().len() >= WARM_REQUESTS
    });
    servers.second_beats(1);
    system.until("an answer of the other server", |system| {
        warm += 1;
        status(system, &format!("warm-{warm}"));
        !at_sound.received().is_empty()
    });
    gate.set(false);
    let request = |n: usize| {
        // Servers that say nothing of themselves for long would count as gone, whoever answers.
        servers.first_beats(n as u32 + 2);
        servers.second_beats(n as u32 + 2);
        status(system, &format!("id-{n}"))
    };
    let answers: Vec<_> = (0..REQUESTS).map(request).collect();
    assert!(answers.iter().all(|answer| *answer == Some(200)), "{answers:?}, {}", system.log());
    let late = at_hanging.received().iter().filter(|id| id.starts_with("id-")).count();
    assert!(late <= MAX_AT_HUNG_SERVER, "{late} of {REQUESTS} went to the server that hangs");
}

/// A server that has just joined, and never answers: nothing is known of how long it usually takes.
#[test]
fn a_server_that_hangs_from_its_first_request_on_costs_no_request() {
    let servers = TwoServers::start(87, &Gate::new(false), OK);
    let (system, at_hanging) = (&servers.system, &servers.at_first);
    let mut number = 0;
    system.until("an answer of the sound server", |system| {
        number += 1;
        servers.second_beats(number);
        status(system, &format!("id-{number}")) == Some(200)
    });
    system.until("a request at the server that hangs", |system| {
        number += 1;
        servers.first_beats(number);
        servers.second_beats(number);
        let answer = status(system, &format!("id-{number}"));
        assert_eq!(answer, Some(200), "{}", system.log());
        !at_hanging.received().is_empty()
    });
    let (_, metrics) =
        ask((system.machines[GATEWAY].ip, METRICS).into(), "GET", "/metrics", &[], "").expect("metrics");
    assert!(metrics.contains("limeway_attempts_total{result=\"unknown\"} 1\n"), "{metrics}");
}
