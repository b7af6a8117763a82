//! A client that leaves before its answer: its server is told by the end of its connection, and not only when the request's time is over.

mod http_call;
mod operations;
mod raw_http;
mod servers;
mod system;
mod waiting;

use operations::config;
use servers::heartbeat;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use system::{address, System, FRONT, GRACE};

const GATEWAY: usize = 3;
const SERVER_PORT: u16 = 28100;

/// What a server that never answers has seen of its connections.
#[derive(Default)]
struct Seen {
    received: AtomicBool,
    closed: AtomicBool,
}

fn silent_server(ip: Ipv4Addr) -> Arc<Seen> {
    let listener = TcpListener::bind((ip, SERVER_PORT)).expect("listens");
    let seen = Arc::new(Seen::default());
    let noted = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            note_end(stream, &noted);
        }
    });
    seen
}

fn note_end(mut stream: TcpStream, seen: &Seen) {
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer), Ok(read) if read > 0) {
        seen.received.store(true, Ordering::SeqCst);
    }
    seen.closed.store(true, Ordering::SeqCst);
}

/// Sends a request, and leaves its answer to be read; none as long as nobody listens.
fn send(system: &System, request: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect((system.machines[GATEWAY].ip, FRONT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    stream.set_nonblocking(true).expect("a setting");
    Some(stream)
}

/// Whether there is neither an answer nor the end of the connection yet.
fn is_waiting(client: &TcpStream) -> bool {
    matches!(client.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

#[test]
fn work_for_a_client_that_has_left_is_broken_off() {
    let system = System::start(79, 1, GRACE);
    let patient = config(1, 0, "/x/", r#""k1""#).replace("\"2s\"", "\"600s\"");
    assert_eq!(system.order("config.replace", &patient).0, 200);
    let ip = address(79, 99);
    let seen = silent_server(ip);
    assert_eq!(heartbeat(&system, "i-1", (ip, SERVER_PORT), "ready", 1), 200);
    let request = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nLimeway-Request-Id: id-1\r\n\
                   Limeway-Deadline-Ms: 600000\r\nAuthorization: Bearer k1\r\n\r\n";
    let mut client: Option<TcpStream> = None;
    system.until("the request at the server", |system| {
        // Until the gateway knows the server it refuses. One request at a time: a crowd of connections would fill its backlog.
        if !client.as_ref().is_some_and(is_waiting) {
            client = send(system, request);
        }
        seen.received.load(Ordering::SeqCst)
    });
    assert!(client.as_ref().is_some_and(is_waiting), "{}", system.log());
    assert!(!seen.closed.load(Ordering::SeqCst), "its client still waits: {}", system.log());
    drop(client);
    system.until("the end of the server's connection", |_| seen.closed.load(Ordering::SeqCst));
}
