//! Requests whose servers never answer, or may not get them: what the client is told holds.

mod http_call;
mod operations;
mod raw_http;
mod servers;
mod system;
mod tenant_request;
mod waiting;

use http_call::ask;
use operations::config;
use rstest::rstest;
use servers::heartbeat;
use std::io::Read;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use system::{address, System, GRACE};
use tenant_request::TenantRequest;

const GATEWAY: usize = 3;
const SERVER_PORT: u16 = 28100;

/// A server that never answers; how many connections have brought it something.
fn silent_server(ip: Ipv4Addr) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind((ip, SERVER_PORT)).expect("listens");
    let reached = Arc::new(AtomicUsize::new(0));
    let counted = reached.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let counted = counted.clone();
            thread::spawn(move || {
                let mut byte = [0];
                if matches!(stream.read(&mut byte), Ok(1)) {
                    counted.fetch_add(1, Ordering::SeqCst);
                }
                // Until its client closes.
                while matches!(stream.read(&mut byte), Ok(1)) {}
            });
        }
    });
    reached
}

/// A system with one gateway and one silent server, and a configuration that was changed like this.
fn start(net: u8, change: impl Fn(String) -> String) -> (System, Arc<AtomicUsize>) {
    let system = System::start(net, 1, GRACE);
    let ip = address(net, 99);
    let reached = silent_server(ip);
    assert_eq!(system.order("config.replace", &change(config(1, 0, "/x/", r#""k1""#))).0, 200);
    assert_eq!(heartbeat(&system, "i-1", (ip, SERVER_PORT), "ready", 1), 200);
    (system, reached)
}

fn status(system: &System, id: &str) -> Option<u16> {
    TenantRequest { method: "POST", path: "/x/1", id, deadline_ms: 300 }.send(system, GATEWAY)
}

/// It may have been executed, so no answer may promise that it has not.
#[rstest]
#[case::idempotent(83, "idempotent")]
#[case::once_at_most(84, "non_idempotent")]
fn a_request_whose_time_is_over_at_its_server_gets_504(#[case] net: u8, #[case] kind: &str) {
    let kind = format!("\"route-type\":\"{kind}\"");
    let (system, reached) = start(net, |config| config.replace(r#""route-type":"idempotent""#, &kind));
    let mut last = None;
    system.until("a request at the server", |system| {
        last = status(system, "id-1");
        reached.load(Ordering::SeqCst) > 0
    });
    assert_eq!(last, Some(504), "{}", system.log());
}

#[test]
fn a_request_never_reaches_a_server_outside_the_regions_of_its_route() {
    let elsewhere = r#""max-attempts":3,"allowed-regions":["elsewhere"]"#;
    let (system, reached) = start(85, |config| config.replace(r#""max-attempts":3"#, elsewhere));
    // The gateway knows the configuration, and the server: 503 is given for want of another one.
    system.until("an answer by the configuration", |system| status(system, "id-1") == Some(503));
    let knows_server = |system: &System| {
        let path = "/metrics";
        let to = (system.machines[GATEWAY].ip, system::METRICS).into();
        ask(to, "GET", path, &[], "").is_some_and(|(_, text)| text.contains("limeway_servers 1"))
    };
    system.until("the server known", knows_server);
    // Quota may have run out meanwhile.
    system.until("a refusal for want of a server", |system| status(system, "id-2") == Some(503));
    assert_eq!(reached.load(Ordering::SeqCst), 0, "{}", system.log());
}
