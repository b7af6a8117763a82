//! The whole path over loopback, with real processes: three core machines, three limiters, servers and an operator.
//!
//! Every machine has an address of its own in 127.0.0.0/8, as in the system every machine has the same ports.

mod http_call;
mod kill;
mod operations;
mod raw_http;
mod servers;
mod system;
mod waiting;

use http_call::ask;
use operations::config;
use servers::heartbeat;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use system::{System, DIRECTORY, FRONT, GRACE};

impl System {
    fn get(&self, at: usize, path: &str, key: &str, id: &str) -> Option<(u16, String)> {
        let key = format!("Bearer {key}");
        let headers = [
            ("Host", "a.example"),
            ("Limeway-Request-Id", id),
            ("Limeway-Deadline-Ms", "2000"),
            ("Authorization", key.as_str()),
        ];
        ask((self.machines[at].ip, FRONT).into(), "GET", path, &headers, "")
    }
}

/// A server that counts what it runs, and checks that it is meant.
fn server(ip: Ipv4Addr, port: u16, life: &'static str) -> Arc<AtomicU32> {
    let listener = TcpListener::bind((ip, port)).expect("listens");
    let count = Arc::new(AtomicU32::new(0));
    let ran = count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ran = ran.clone();
            std::thread::spawn(move || serve(stream, life, &ran));
        }
    });
    count
}

fn serve(stream: TcpStream, life: &str, ran: &AtomicU32) {
    let mut out = stream.try_clone().expect("clone");
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    loop {
        let head: Vec<String> = lines.by_ref().take_while(|l| !l.is_empty()).collect();
        if head.is_empty() {
            return;
        }
        let value = |name: &str| {
            let line = head.iter().find(|l| l.to_ascii_lowercase().starts_with(name));
            line.and_then(|l| l.split_once(": ")).map_or("", |(_, v)| v)
        };
        let id = value("limeway-request-id");
        let text = if value("limeway-expect-instance") == life {
            ran.fetch_add(1, Ordering::SeqCst);
            let body = format!("{life} {} {}", value("limeway-tenant"), value("authorization"));
            format!("200 OK\r\nLimeway-Server-Stamp: s\r\nLimeway-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        } else {
            format!("421 Misdirected Request\r\nLimeway-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        };
        if out.write_all(format!("HTTP/1.1 {text}").as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
#[allow(clippy::too_many_lines, reason = "one schedule, read from top to bottom")]
fn the_whole_path_serves_and_outlives_a_kill_of_each() {
    let net = 80 + (std::process::id() % 100) as u8;
    let system = System::start(net, 3, GRACE);
    let address = (system::address(net, 99), 28100);
    let ran = server(address.0, address.1, "i-1");
    let mut beats = 0;
    let mut alive = |system: &System| {
        beats += 1;
        assert_eq!(heartbeat(system, "i-1", address, "ready", beats), 200);
    };
    // The first configuration, a wrong one, and two on one base.
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1","k2""#)).0, 200);
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1","k2""#)).0, 200, "the same again");
    assert_eq!(system.order("config.replace", &config(2, 1, "x/", r#""k1""#)).0, 400);
    assert_eq!(system.order("config.replace", &config(3, 0, "/x/", r#""k1""#)).0, 412);
    alive(&system);
    let served = |system: &System, at: usize, path: &str, key: &str| {
        system.get(at, path, key, "id-1").is_some_and(|(s, body)| s == 200 && body == "i-1 t ")
    };
    for at in 3..6 {
        system.until("service", |s| served(s, at, "/x/1", "k1"));
        assert_eq!(system.get(at, "/x/1", "nobody", "id-2").map(|a| a.0), Some(401));
        assert_eq!(system.get(at, "/y/1", "k1", "id-3").map(|a| a.0), Some(404));
    }
    // Clients find all three.
    let found =
        ask((system.machines[0].ip, DIRECTORY).into(), "GET", "/-/resolve?name=a&region=r1&zone=z2", &[], "");
    let found = found.expect("an answer").1;
    assert_eq!(found.matches(&format!(":{FRONT}")).count(), 3, "{found}");
    // Each machine is killed in turn, and a change is taken and in force while it is gone.
    let mut version = 1;
    for at in 0..6 {
        system.kill(at);
        let (next, path) = (version + 1, format!("/v{}/", version + 1));
        assert_eq!(system.order("config.replace", &config(next, version, &path, r#""k1""#)).0, 200);
        version = next;
        alive(&system);
        for edge in (3..6).filter(|e| *e != at) {
            system.until("the change", |s| served(s, edge, &format!("{path}1"), "k1"));
            assert_eq!(
                system.get(edge, &format!("{path}1"), "k2", "id-4").map(|a| a.0),
                Some(401),
                "taken away"
            );
        }
        system.run(at, false);
    }
    // All core machines at once: what was acknowledged is there.
    (0..3).for_each(|at| system.kill(at));
    (0..3).for_each(|at| system.run(at, false));
    let (_, read) = system.order("config.read", "");
    assert!(read.contains(&format!("\"config-version\":\"{version:08x}\"")), "{read}");
    alive(&system);
    for at in 3..6 {
        system.until("service after it", |s| served(s, at, &format!("/v{version}/1"), "k1"));
    }
    // A core machine loses its disk, and takes part again.
    system.kill(1);
    std::fs::remove_dir_all(system.folder.join("data-1")).expect("removed");
    system.run(1, false);
    system.until("a vote of the machine that lost its disk", |s| {
        s.control(1, "config.read", "").is_some_and(|a| a.0 == 200)
    });
    system.kill(0);
    assert_eq!(system.order("config.replace", &config(version + 1, version, "/last/", r#""k1""#)).0, 200);
    // The server leaves: it is told so, and gets nothing more.
    assert_eq!(heartbeat(&system, "i-1", address, "draining", 1_000), 200);
    for at in 3..6 {
        system.until("the end of service", |s| !served(s, at, "/last/1", "k1"));
    }
    let before = ran.load(Ordering::SeqCst);
    assert!((3..6).all(|at| !served(&system, at, "/last/1", "k1")));
    assert_eq!(ran.load(Ordering::SeqCst), before);
}
