//! A gateway that gets SIGTERM under load: whatever it takes, it answers.

mod ends;
mod http_call;
mod listeners;
mod operations;
mod raw_http;
mod servers;
mod signals;
mod stand_in;
mod system;
mod waiting;

use listeners::is_listening;
use operations::config;
use rustix::process::Signal;
use servers::heartbeat;
use stand_in::{Gate, StandIn, OK, SERVER_PORT};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use system::{address, System, FRONT, GRACE, SOON};

const GATEWAY: usize = 3;
/// Clients whose long requests begin one after the other, this far apart.
const CLIENTS: u64 = 30;
const CLIENT_STEP_MS: u64 = 40;
/// A deadline that most of the grace period is too short for.
const LONG_DEADLINE_MS: u64 = 1_500;

/// A system with one gateway and one server that never answers, which has got a request already.
fn start(net: u8, grace: Duration) -> (System, StandIn) {
    let system = System::start(net, 1, grace);
    let ip = address(net, 99);
    let server = StandIn::start(ip, OK, &Gate::new(false));
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1""#)).0, 200);
    assert_eq!(heartbeat(&system, "i-1", (ip, SERVER_PORT), "ready", 1), 200);
    system.until("a request at the server", |system| {
        send(system, "first", 20, "");
        server.received().contains("first")
    });
    (system, server)
}

/// Opens a connection and sends a request on it, or a part of one.
fn connect(system: &System, head: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect((system.machines[GATEWAY].ip, FRONT)).ok()?;
    stream.set_read_timeout(Some(SOON)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    Some(stream)
}

fn request(id: &str, deadline_ms: u64, headers: &str) -> String {
    format!(
        "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nLimeway-Request-Id: {id}\r\n\
         Limeway-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer k1\r\n{headers}\r\n"
    )
}

/// The status of a whole answer to what was sent on a connection; none if it ends without one.
fn status(mut stream: TcpStream) -> Option<u16> {
    let mut answer = Vec::new();
    // A reset after the answer leaves what has come.
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8(answer).ok()?;
    answer.contains("\r\n\r\n").then_some(())?;
    answer.get(9..12)?.parse().ok()
}

/// Sends a request and waits for the status of its answer.
fn send(system: &System, id: &str, deadline_ms: u64, headers: &str) -> Option<u16> {
    let headers = format!("Connection: close\r\n{headers}");
    status(connect(system, &request(id, deadline_ms, &headers))?)
}

#[test]
fn what_is_taken_during_a_shutdown_is_answered_and_has_its_time() {
    let (system, server) = start(66, Duration::from_secs(2));
    let (unanswered, cut_short) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    system.signal(GATEWAY, Signal::TERM);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (system, server) = (&system, &server);
            let (unanswered, cut_short) = (&unanswered, &cut_short);
            scope.spawn(move || {
                let wait_then_ask = [client * CLIENT_STEP_MS + 1, LONG_DEADLINE_MS];
                for (n, deadline) in wait_then_ask.into_iter().enumerate() {
                    let id = format!("id-{client}-{n}");
                    let sent = Instant::now();
                    let answered = send(system, &id, deadline, "").is_some();
                    let took = sent.elapsed();
                    if !server.received().contains(&id) {
                        continue;
                    }
                    if !answered {
                        unanswered.lock().expect("lock").push(id);
                    } else if took < Duration::from_millis(deadline) {
                        // Its server, which never answers, was still at work on it.
                        cut_short.lock().expect("lock").push((id, took));
                    }
                }
            });
        }
    });
    let unanswered = unanswered.into_inner().expect("lock");
    assert!(unanswered.is_empty(), "passed on and closed without an answer: {unanswered:?}");
    let cut_short = cut_short.into_inner().expect("lock");
    assert!(cut_short.is_empty(), "passed on and answered before their time: {cut_short:?}");
    let got = server.received().len();
    assert!(got > 1, "nothing was taken during the shutdown, so nothing was tested: {}", system.log());
}

#[test]
fn what_outlasts_the_grace_period_gets_a_final_answer() {
    let (system, server) = start(67, Duration::from_secs(1));
    let under_way = connect(&system, &request("long", 60_000, "")).expect("a connection");
    system.until("the request at the server", |_| server.received().contains("long"));
    system.signal(GATEWAY, Signal::TERM);
    // It may have run, so the answer is no promise that it has not.
    assert_eq!(status(under_way), Some(504), "{}", system.log());
}

#[test]
fn a_body_still_coming_at_the_end_of_the_grace_period_is_refused() {
    let (system, server) = start(68, Duration::from_secs(1));
    let head = request("half", 60_000, "Content-Length: 10\r\n");
    let half = connect(&system, &format!("{head}12345")).expect("a connection");
    system.until("its first byte read", |system| send(system, "second", 20, "").is_some());
    system.signal(GATEWAY, Signal::TERM);
    assert_eq!(status(half), Some(503), "{}", system.log());
    assert!(!server.received().contains("half"));
}

/// A process that stands still past the end of its grace period, as on a machine whose processor was given to others.
#[test]
fn a_process_that_stood_still_answers_before_it_exits() {
    let grace = Duration::from_secs(1);
    let (system, server) = start(74, grace);
    let under_way = connect(&system, &request("long", 60_000, "")).expect("a connection");
    system.until("the request at the server", |_| server.received().contains("long"));
    let terminated = Instant::now();
    system.signal(GATEWAY, Signal::TERM);
    system.until("the shutdown", |system| system.log().contains("shutting down"));
    system.signal(GATEWAY, Signal::STOP);
    system.until("the end of its grace period", |_| terminated.elapsed() > grace);
    system.signal(GATEWAY, Signal::CONT);
    assert_eq!(status(under_way), Some(504), "{}", system.log());
}

/// Part of the grace period by which connections are open: the listener closes later.
const OPEN_BY: f64 = 0.5;
/// Part of it after whose begin the listener has closed.
const CLOSED_AFTER: f64 = 0.6;
/// Part of it by which the gateway goes on: requests are aborted later.
const RESUMED_BY: f64 = 0.8;
/// A draining gateway keeps a connection for so long on which nothing has come.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Connections that the gateway finds in its backlog when it goes on, after its listener's time.
struct AcrossTheClose {
    streams: Vec<TcpStream>,
    /// It has not gone on before.
    resumed: Instant,
}

impl AcrossTheClose {
    /// Opens connections while the gateway, which has got SIGTERM, stands still past the time at which its listener closes. None if this
    /// test was too late for that.
    fn open(system: &System, heads: &[&str]) -> Option<Self> {
        // The grace period begins between these two times.
        let terminated = Instant::now();
        system.signal(GATEWAY, Signal::TERM);
        system.until("the shutdown", |system| system.log().contains("shutting down"));
        let begun = Instant::now();
        system.signal(GATEWAY, Signal::STOP);
        let streams = heads.iter().map(|head| connect(system, head).expect("a connection")).collect();
        if terminated.elapsed() > GRACE.mul_f64(OPEN_BY) {
            return None;
        }
        system.until("the close of the listener", |_| begun.elapsed() > GRACE.mul_f64(CLOSED_AFTER));
        let resumed = Instant::now();
        system.signal(GATEWAY, Signal::CONT);
        (terminated.elapsed() < GRACE.mul_f64(RESUMED_BY)).then_some(AcrossTheClose { streams, resumed })
    }
}

/// Runs a trial on one network after the other until this test was in time in one. A machine that is busy with other tests may have it
/// come too late, which says nothing of the gateway; a gateway that fails in a trial fails the test.
fn try_until_in_time(nets: [u8; 3], trial: impl Fn(u8) -> Option<()>) {
    nets.into_iter().find_map(trial).expect("a trial in time");
}

#[test]
fn a_request_that_waits_to_be_accepted_when_the_listener_closes_is_answered() {
    let heads = ["one", "two", "three"].map(|id| request(id, 20, ""));
    let heads: Vec<&str> = heads.iter().map(String::as_str).collect();
    try_until_in_time([95, 97, 98], |net| {
        let (system, _) = start(net, GRACE);
        let across = AcrossTheClose::open(&system, &heads)?;
        let statuses: Vec<_> = across.streams.into_iter().map(status).collect();
        assert!(statuses.iter().all(Option::is_some), "{statuses:?}, {}", system.log());
        Some(())
    });
}

#[test]
fn a_request_that_follows_its_connection_after_the_listener_has_closed_is_answered() {
    try_until_in_time([96, 99, 100], |net| {
        let (system, _) = start(net, GRACE);
        assert!(is_listening(system.machines[GATEWAY].ip, FRONT));
        let AcrossTheClose { mut streams, resumed } = AcrossTheClose::open(&system, &[""])?;
        let mut stream = streams.remove(0);
        // A look that opened connections could fill the backlog, and then wait a second for the kernel.
        system.until("the close", |system| !is_listening(system.machines[GATEWAY].ip, FRONT));
        let _ = stream.write_all(request("late", 20, "").as_bytes());
        let is_in_time = resumed.elapsed() < DRAINING_IDLE_TIMEOUT;
        let status = status(stream);
        if status.is_none() && !is_in_time {
            return None;
        }
        assert!(status.is_some(), "{}", system.log());
        assert!(connect(&system, "").is_none(), "new connections are refused");
        Some(())
    });
}

#[test]
fn a_grace_period_that_is_shortened_by_a_reload_holds_for_the_next_stop() {
    let mut system = System::start(76, 1, 10 * SOON);
    system.until("the gateway", |system| send(system, "first", 20, "").is_some());
    system.grace = Duration::from_secs(1);
    system.write_settings(GATEWAY, false, &system.seeds());
    system.signal(GATEWAY, Signal::HUP);
    system.until("the reload", |system| system.log().contains("settings read again"));
    system.signal(GATEWAY, Signal::TERM);
    system.until("its end", |system| system.ended(GATEWAY).is_some());
}

/// Guards against a kill in the middle of a shutdown: the platform goes by the file as it is, whether it has told of the change or not.
#[test]
fn a_grace_period_that_was_shortened_without_a_signal_holds_for_the_next_stop() {
    let mut system = System::start(90, 1, 10 * SOON);
    system.until("the gateway", |system| send(system, "first", 20, "").is_some());
    system.grace = Duration::from_secs(1);
    system.write_settings(GATEWAY, false, &system.seeds());
    system.signal(GATEWAY, Signal::TERM);
    system.until("its end", |system| system.ended(GATEWAY).is_some());
}

#[test]
fn a_second_request_that_was_read_with_the_first_is_answered_too() {
    let (system, _) = start(81, GRACE);
    system.signal(GATEWAY, Signal::TERM);
    system.until("the shutdown", |system| system.log().contains("shutting down"));
    let both = ["one", "two"].map(|id| request(id, 300, "")).concat();
    let mut answers = String::new();
    let mut stream = connect(&system, &both).expect("a connection");
    stream.read_to_string(&mut answers).expect("answers, and the end");
    assert_eq!(answers.matches("HTTP/1.1 504 ").count(), 2, "{answers}");
}

#[test]
fn a_request_stays_with_its_server_during_a_shutdown() {
    let system = System::start(77, 1, GRACE);
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1""#)).0, 200);
    let gate = Gate::new(true);
    let servers = [98, 99].map(|last| {
        let ip = address(77, last);
        assert_eq!(heartbeat(&system, &format!("i-{last}"), (ip, SERVER_PORT), "ready", 1), 200);
        StandIn::start(ip, OK, &gate)
    });
    let mut sent = 0;
    system.until("answers of both servers", |system| {
        sent += 1;
        send(system, &format!("warm-{sent}"), 2_000, "");
        servers.iter().all(|server| !server.received().is_empty())
    });
    gate.set(false);
    system.signal(GATEWAY, Signal::TERM);
    system.until("the shutdown", |system| system.log().contains("shutting down"));
    // Its time ends long before the grace period; elsewhere it would be sent to the other server meanwhile.
    assert_eq!(send(&system, "long", 60_000, ""), Some(504), "{}", system.log());
    let has_it = |server: &&StandIn| server.received().contains("long");
    assert_eq!(servers.iter().filter(has_it).count(), 1);
}
