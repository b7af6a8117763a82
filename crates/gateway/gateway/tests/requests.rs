//! Requests through the limiter: what goes on to servers, what becomes of each outcome, bad input.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Mutex;
use std::time::{Duration, Instant};

fn ok(_: usize, _: &Message, stream: &mut TcpStream) {
    reply(stream, "200 OK", "hi there");
}

#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back() {
    let (server, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&server], &counter).start();
    let answer = limiter.client().ask(&request("book", "9b1f", "team", 9000));
    assert_eq!((answer.status(), answer.body.as_str()), (200, "hi there"));
    let (_, sent) = server.requests.recv_timeout(LONG).expect("an attempt");
    assert_eq!(sent.line, "POST /book/00000000b4d65521?x=1 HTTP/1.1");
    assert_eq!(sent.body, "hello");
    assert_eq!(sent.header("req-id"), Some("9b1f"));
    assert_eq!(sent.header("idempotency-key"), Some("5c0f"));
    let left: u64 = sent.header("req-deadline-ms").and_then(|l| l.parse().ok()).expect("a deadline");
    assert!((1..=9000).contains(&left), "{left}");
}

#[test]
fn bad_requests_get_their_status_and_reach_no_server() {
    let (server, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&server], &counter).start();
    let good = request("book", "1", "team", 9000);
    let look = request("look", "1", "team", 9000);
    let long = format!("X-Long: {}\r\nHost:", "y".repeat(20_000));
    let many = format!("{}Host:", "X-Many: 1\r\n".repeat(80));
    let cases: Vec<(u16, String)> = vec![
        (400, "NONSENSE\r\n\r\n".into()),
        (400, "\u{1}\u{2}\u{3}\r\n\r\n".into()),
        (400, good.replace("Content-Length: 5", "Content-Length: 5x")),
        (400, good.replace("Content-Length: 5", "Content-Length: -5")),
        (400, good.replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6")),
        (400, good.replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked")),
        (501, good.replace("Content-Length: 5", "Transfer-Encoding: gzip")),
        (
            400,
            good.replace("Content-Length: 5", "Transfer-Encoding: chunked").replace("hello", "zz\r\nhello"),
        ),
        (413, good.replace("Content-Length: 5", "Content-Length: 65537")),
        (
            413,
            good.replace("Content-Length: 5", "Transfer-Encoding: chunked")
                .replace("hello", "10001\r\nhello"),
        ),
        (413, good.replace("Content-Length: 5", "Content-Length: 999999999999999999")),
        (431, good.replace("Host:", &long)),
        (431, good.replace("Host:", &many)),
        (404, good.replace("/book/", "/")),
        (404, good.replace("/book/", "/other/")),
        (404, good.replace("00000000b4d65521", "b4d65521")),
        (404, good.replace("00000000b4d65521", "00000000b4d6552g")),
        (404, good.replace("00000000b4d65521", "ffffffffffffffff")),
        (404, "GET / HTTP/1.1\r\nHost: x\r\n\r\n".into()),
        (405, good.replace("POST", "PUT")),
        (405, look.replace("GET", "POST")),
        (405, "POST /_health HTTP/1.1\r\nHost: x\r\n\r\n".into()),
        (400, good.replace("Req-Kind: book", "Req-Kind: look")),
        (400, good.replace("Req-Kind: book", "X-Other: book")),
        (400, good.replace("Idempotency-Key: 5c0f", "X-Other: 5c0f")),
        (400, good.replace("Req-Id: 1\r\n", "")),
        (400, good.replace("Plan: team", "Plan: gold")),
        (400, good.replace("Plan: team\r\n", "")),
        (400, good.replace("Req-Deadline-Ms: 9000\r\n", "")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: 0")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: soon")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: 99999999999999999999")),
        (400, good.replace("Quota-Info: units=1,spread=2,first=0\r\n", "")),
        (400, good.replace("units=1", "units=nan")),
        (400, good.replace("units=1", "units=-1")),
        (400, good.replace("units=1", "units=1e30")),
        (400, good.replace("units=1", "units=1,units=2")),
        (400, good.replace("units=1", "units=1.5")),
        (400, good.replace("units=1", "units=0.01")),
        (400, good.replace("units=1", "units=+1")),
        (400, good.replace("units=1", "units=inf")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: 900000000")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: 9e3")),
        (400, good.replace("Req-Id: 1", "Req-Id: 1\r\nReq-Id: 2")),
        (400, good.replace("Plan: team", "Plan: team\r\nPlan: tiny")),
        (400, good.replace("Req-Kind: book", "Req-Kind: book\r\nReq-Kind: book")),
        (400, good.replace("Idempotency-Key: 5c0f", "Idempotency-Key: 5c0f\r\nidempotency-key: 5c10")),
        (400, good.replace("Plan: team\r\n", "Plan: team\n")),
        (400, look.replace("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi")),
        (400, good.replace("spread=2", "spread=0")),
        (400, good.replace("spread=2", "spread=3")),
        (400, good.replace("first=0", "first=2")),
        (400, good.replace(",first=0", "")),
        (400, good.replace("units=1,spread=2,first=0", "units")),
    ];
    for (status, bytes) in cases {
        let answer = limiter.client().ask(&bytes);
        assert_eq!(answer.status(), status, "{bytes:.300}");
    }
    assert_eq!(server.requests.recv_timeout(Duration::ZERO).err(), Some(RecvTimeoutError::Timeout));
    assert!(limiter.alive());
    assert_eq!(limiter.client().ask(&good).status(), 200);
}

#[test]
fn a_chunked_request_and_a_chunked_answer_are_read_whole() {
    let (server, counter) = (
        server(|_, _, stream| {
            let _ = stream.write_all(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhi \r\n5;x=1\r\nthere\r\n0\r\nT: 1\r\n\r\n",
            );
        }),
        counter(),
    );
    let limiter = Setup::new(&[&server], &counter).start();
    let chunked = request("once", "1", "team", 9000)
        .replace("Content-Length: 5", "Transfer-Encoding: chunked")
        .replace("hello", "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
    let mut client = limiter.client();
    for _ in 0..2 {
        let answer = client.ask(&chunked);
        assert_eq!((answer.status(), answer.body.as_str()), (200, "hi there"));
        assert_eq!(server.requests.recv_timeout(LONG).expect("an attempt").1.body, "hello");
    }
}

#[test]
fn requests_written_at_once_are_answered_in_order() {
    let (server, counter) =
        (server(|_, m, s| reply(s, "200 OK", m.header("req-id").unwrap_or("-"))), counter());
    let limiter = Setup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    let all: String = (0..5).map(|n| request("look", &n.to_string(), "team", 9000)).collect();
    client.write(&all);
    for n in 0..5 {
        assert_eq!(client.read().expect("an answer").body, n.to_string());
    }
}

#[test]
fn turned_away_unseen_is_a_refusal_only_where_the_server_says_so() {
    let (server, counter) = (
        server(|_, m, s| match m.header("req-id") {
            Some("a") => reply(s, "503 Busy\r\nSrv-Declined: 1", ""),
            Some("b") => reply(s, "504 Late\r\nSrv-Declined: 1", ""),
            Some("c") => reply(s, "503 Busy", ""),
            Some("d") => reply(s, "500 Broken\r\nSrv-Declined: 1", ""),
            _ => reply(s, "418 Teapot", ""),
        }),
        counter(),
    );
    let limiter = Setup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    for (id, status) in [("a", 429), ("b", 429), ("c", 502), ("d", 502), ("e", 502)] {
        assert_eq!(client.ask(&request("once", id, "team", 9000)).status(), status, "{id}");
    }
}

#[test]
fn a_broken_answer_is_no_answer_and_an_unsafe_request_is_never_sent_again() {
    let parts: [&str; 5] = [
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nabc",
        "garbage\r\n\r\n",
    ];
    let (one, counter) = (
        server(move |_, m, s| {
            let part: usize = m.header("req-id").and_then(|id| id.parse().ok()).expect("a number");
            let _ = s.write_all(parts[part].as_bytes());
            hang_up(s);
        }),
        counter(),
    );
    for part in 0..parts.len() {
        let limiter = Setup::new(&[&one, &one], &counter).start();
        let answer = limiter.client().ask(&request("once", &part.to_string(), "team", 9000));
        assert_eq!(answer.status(), 502, "{part}");
    }
    assert_eq!(one.requests.try_iter().count(), parts.len());
}

/// All requests of a class are served until a bad server has been tried. Which server goes first is drawn by chance, so
/// how many requests that takes is not known.
fn serves_until_tried(class: &str, client: &mut Client, bad: &Server) {
    let tried = (0..200).any(|n| {
        assert_eq!(client.ask(&request(class, &n.to_string(), "team", 9000)).status(), 200);
        bad.requests.try_iter().count() > 0
    });
    assert!(tried, "the bad server was tried");
}

#[test]
fn a_keyed_request_that_failed_is_sent_to_another_server() {
    let (bad, good) = (server(|_, _, s| reply(s, "500 Broken", "")), server(ok));
    let counter = counter();
    let limiter = Setup::new(&[&bad, &good], &counter).start();
    let mut client = limiter.client();
    serves_until_tried("book", &mut client, &bad);
}

#[test]
fn a_refused_connection_never_ran_so_even_an_unsafe_request_moves_on() {
    let (good, counter) = (server(ok), counter());
    let mut setup = Setup::new(&[&good], &counter);
    setup.servers.push(("s-dead".into(), free_port()));
    let limiter = setup.start();
    let mut client = limiter.client();
    for n in 0..8 {
        assert_eq!(client.ask(&request("once", &n.to_string(), "team", 9000)).status(), 200);
    }
}

/// Guards against writing to a connection that its server has closed while it stood idle: that would end as
/// a reset, and an unsafe request would fail for nothing.
#[test]
fn a_connection_closed_while_idle_is_not_used() {
    let (closed, is_closed) = channel();
    let closed = Mutex::new(closed);
    let (server, counter) = (
        server(move |_, _, s| {
            reply(s, "200 OK", "");
            hang_up(s);
            let _ = closed.lock().expect("no panic while it is held").send(());
        }),
        counter(),
    );
    let limiter = Setup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    for n in 0..10 {
        assert_eq!(client.ask(&request("once", &n.to_string(), "team", 9000)).status(), 200);
        is_closed.recv_timeout(LONG).expect("the server hangs up");
    }
}

/// Rest of a connection to a server between two requests, as the README states it.
const REST: Duration = Duration::from_millis(20);

/// Waits until the connections whose answers have come may be used again: before, a request opens a new one.
fn let_connections_rest() {
    let answered = Instant::now();
    while answered.elapsed() < REST {
        std::thread::yield_now();
    }
}

#[test]
fn connections_to_servers_are_kept_and_used_again() {
    let (server, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    for n in 0..5 {
        assert_eq!(client.ask(&request("look", &n.to_string(), "team", 9000)).status(), 200);
        let_connections_rest();
    }
    let connections: Vec<usize> = server.requests.try_iter().map(|(connection, _)| connection).collect();
    assert_eq!(connections, [0; 5]);
}

/// A server that says nothing and tells when the connection ends.
fn silent() -> (Server, Receiver<bool>) {
    let (ended, has_ended) = channel();
    let ended = Mutex::new(ended);
    let server = server(move |_, _, s| {
        let read = s.read(&mut [0; 1]);
        let _ = ended.lock().expect("no panic while it is held").send(matches!(read, Ok(0) | Err(_)));
    });
    (server, has_ended)
}

/// Guards against work for a client that has left, and against an attempt that outlives its request.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let ((server, has_ended), counter) = (silent(), counter());
    let limiter = Setup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    client.write(&request("look", "1", "team", 30_000));
    server.requests.recv_timeout(LONG).expect("an attempt");
    drop(client);
    assert_eq!(has_ended.recv_timeout(LONG), Ok(true));
    assert!(limiter.alive());
}

#[test]
fn a_silent_server_costs_no_more_than_the_clients_time() {
    let ((server, has_ended), counter) = (silent(), counter());
    let limiter = Setup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    assert_eq!(client.ask(&request("once", "1", "team", 400)).status(), 502);
    assert_eq!(has_ended.recv_timeout(LONG), Ok(true));
    // Nothing more comes for it: the next answer on the connection is the next request's.
    assert_eq!(client.ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    assert_eq!(server.requests.try_iter().count(), 1);
}

#[test]
fn beyond_its_quota_a_customer_is_refused_and_told_when_to_come_back() {
    let (server, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    let answers: Vec<Message> =
        (0..6).map(|n| client.ask(&request("look", &n.to_string(), "tiny", 9000))).collect();
    assert_eq!(answers[0].status(), 200);
    let refused = answers.last().expect("six answers");
    assert_eq!(refused.status(), 429);
    let wait: f64 = refused.header("retry-after").and_then(|w| w.parse().ok()).expect("advice");
    assert!(wait > 0.0 && wait <= 1.0, "{wait}");
}

/// Guards against a server that vanished or restarted unseen: once a connection to it has broken, the others
/// from before are not used either.
#[test]
fn after_a_reset_the_older_connections_to_a_server_are_let_go() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let (server, counter) = (
        server(move |_, m, s| match m.header("req-id") {
            Some("held") => {
                let _ = wait.lock().expect("no panic while it is held").recv();
                reply(s, "200 OK", "");
            }
            Some("broken") => hang_up(s),
            _ => reply(s, "200 OK", ""),
        }),
        counter(),
    );
    let limiter = Setup::new(&[&server], &counter).start();
    let (mut one, mut two) = (limiter.client(), limiter.client());
    one.write(&request("look", "held", "team", 9000));
    assert_eq!(server.requests.recv_timeout(LONG).expect("an attempt").0, 0);
    assert_eq!(two.ask(&request("look", "second", "team", 9000)).status(), 200);
    assert_eq!(server.requests.recv_timeout(LONG).expect("an attempt").0, 1);
    go.send(()).expect("the server waits");
    assert_eq!(one.read().expect("an answer").status(), 200);
    let_connections_rest();
    assert_eq!(two.ask(&request("once", "broken", "team", 9000)).status(), 502);
    assert_eq!(server.requests.recv_timeout(LONG).expect("an attempt").0, 0);
    let mut three = limiter.client();
    three.write(&request("book", "after", "team", 9000));
    assert_eq!(server.requests.recv_timeout(LONG).expect("an attempt").0, 2);
    assert_eq!(three.read().expect("an answer").status(), 200);
}

/// What a server may send in place of an answer, the connection staying open.
const SPOILT: [&str; 8] = [
    "\u{1}\u{2}noise\r\n\r\n",
    "noise without an end",
    "HTTP/1.1 200 OK\r\nX-Pad: ",
    "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
    "HTTP/1.1 200 OK\r\n\r\nabcd",
];

/// Guards against a server that is put out of service for one answer that cannot be read, and against waiting
/// for the rest of such an answer until the client's time is up.
#[test]
fn a_spoilt_answer_is_a_failed_attempt_and_the_server_stays_in_service() {
    for spoilt in SPOILT {
        let counter = counter();
        let one = server(move |_, m, s| match m.header("req-id") {
            Some("first") => drop(s.write_all(spoilt.as_bytes())),
            _ => reply(s, "200 OK", "hi"),
        });
        let limiter = Setup::new(&[&one], &counter).start();
        let (mut client, began) = (limiter.client(), Instant::now());
        let answer = client.ask(&request("once", "first", "team", 30_000));
        assert_eq!(answer.status(), 502, "{spoilt}");
        let answer = client.ask(&request("once", "second", "team", 30_000));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "hi"), "{spoilt}");
        assert!(began.elapsed() < Duration::from_secs(15), "{spoilt}: it was waited for");
    }
}

#[test]
fn a_request_whose_answer_was_spoilt_is_sent_again_where_it_may_be() {
    let (bad, counter) =
        (|_: usize, _: &Message, s: &mut TcpStream| drop(s.write_all(b"noise\n\n")), counter());
    let (one, two) = (server(bad), server(ok));
    let limiter = Setup::new(&[&one, &two], &counter).start();
    let mut client = limiter.client();
    serves_until_tried("look", &mut client, &one);
}

/// Guards against a second answer, right behind the first or a little late, that meets the next request.
#[test]
fn more_than_one_answer_never_meets_the_next_request() {
    for late in [Duration::ZERO, Duration::from_millis(2), Duration::from_millis(8)] {
        let counter = counter();
        let one = server(move |_, m, s| {
            let id = m.header("req-id").expect("an id").to_owned();
            reply(s, "200 OK", &id);
            std::thread::sleep(late);
            reply(s, "200 OK\r\nX: copy", &id);
        });
        let limiter = Setup::new(&[&one], &counter).start();
        let mut client = limiter.client();
        for n in 0..20 {
            let id = n.to_string();
            let answer = client.ask(&request("look", &id, "team", 30_000));
            assert_eq!((answer.status(), answer.body.as_str()), (200, id.as_str()), "{late:?}");
        }
    }
}

#[test]
fn interim_answers_are_passed_over_but_not_without_end() {
    let counter = counter();
    let one = server(|_, m, s| {
        let interim = "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n";
        let times = if m.header("req-id") == Some("few") { 3 } else { 1_000 };
        let _ = s.write_all(interim.repeat(times).as_bytes());
        reply(s, "200 OK", "hi");
    });
    let limiter = Setup::new(&[&one], &counter).start();
    let answer = limiter.client().ask(&request("once", "few", "team", 30_000));
    assert_eq!((answer.status(), answer.body.as_str()), (200, "hi"));
    assert_eq!(limiter.client().ask(&request("once", "many", "team", 30_000)).status(), 502);
}

/// Guards against headers that name one connection's business, or that a server may read otherwise than we do.
#[test]
fn only_known_headers_go_on_and_none_can_be_taken_away() {
    let (server, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&server], &counter).start();
    let more = "Connection: Req-Id, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nSrv-Declined: 1\r\nHost:";
    let ask = request("book", "kept", "team", 9000).replace("Host:", more);
    assert_eq!(limiter.client().ask(&ask).status(), 200);
    let (_, seen) = server.requests.recv_timeout(LONG).expect("a request");
    assert_eq!((seen.header("req-id"), seen.header("idempotency-key")), (Some("kept"), Some("5c0f")));
    for name in ["connection", "x-hop", "te", "srv-declined"] {
        assert_eq!(seen.header(name), None, "{name}");
    }
}

/// Guards against answers that get mixed up between two requests under one id; once the first is answered, or
/// its client has left, the id is free.
#[test]
fn a_request_with_the_id_of_an_open_one_is_turned_away() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let one = server(move |_, _, s| {
        let _ = wait.lock().expect("no panic while it is held").recv();
        reply(s, "200 OK", "hi");
    });
    let counter = counter();
    let limiter = Setup::new(&[&one], &counter).start();
    let (mut first, mut second) = (limiter.client(), limiter.client());
    first.write(&request("look", "same", "team", 30_000));
    one.requests.recv_timeout(LONG).expect("an attempt");
    assert_eq!(second.ask(&request("look", "same", "team", 30_000)).status(), 409);
    go.send(()).expect("the server waits");
    assert_eq!(first.read().map(|a| a.status()), Some(200));
    go.send(()).expect("the server waits");
    assert_eq!(second.ask(&request("look", "same", "team", 30_000)).status(), 200);
}

/// Guards against taking a large answer for a spoilt one: three servers would run the request, and none serve it.
#[test]
fn a_large_answer_comes_back_whole() {
    let (one, counter) = (server(|_, _, s| reply(s, "200 OK", &"large ".repeat(70_000))), counter());
    let limiter = Setup::new(&[&one], &counter).start();
    let answer = limiter.client().ask(&request("look", "1", "team", 30_000));
    assert_eq!((answer.status(), answer.body.len()), (200, 420_000));
}
