//! One attempt at a server that answers as it should not: no answer of another request is ever taken for its own.

use bytes::Bytes;
use limeway_balancer::clock::now;
use limeway_balancer::upstream::{
    ConnectTarget, ConnectionPools, ServerResponse, UpstreamRequest, UpstreamResult,
};
use rstest::rstest;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// What a server does at one request.
#[derive(Debug, Clone, Copy)]
enum Act {
    /// Writes this, with the request's id for `ID`.
    Say(&'static str),
    /// The same, and closes.
    SayAndClose(&'static str),
    /// Resets the connection.
    Reset,
}
use Act::{Reset, Say, SayAndClose};

/// Whatever should come about does so within it.
const SOON: Duration = Duration::from_secs(10);

const OK: &str = "HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nContent-Length: 4\r\n\r\nbody";

/// Reads a request without a body; its id, or nothing at the end.
fn request(stream: &mut TcpStream) -> Option<String> {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8(text).ok()?;
    text.lines().find_map(|l| l.strip_prefix("Limeway-Request-Id: ")).map(str::to_owned)
}

/// A server that does the acts of a list, one at each request over all connections; tells the number of the connection that
/// each request came on once its act is done.
fn server(acts: Vec<Act>) -> (SocketAddrV4, Receiver<usize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listens");
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else { panic!("an address") };
    let (tell, told) = channel();
    std::thread::spawn(move || {
        let (acts, mut open) = (std::sync::Arc::new(std::sync::Mutex::new(acts.into_iter())), 0);
        for stream in listener.incoming().flatten() {
            let (acts, tell, number) = (acts.clone(), tell.clone(), open);
            open += 1;
            std::thread::spawn(move || serve(stream, || acts.lock().ok()?.next(), &tell, number));
        }
    });
    (address, told)
}

fn serve(mut stream: TcpStream, mut next: impl FnMut() -> Option<Act>, tell: &Sender<usize>, number: usize) {
    while let Some(id) = request(&mut stream) {
        let Some(act) = next() else { return };
        match act {
            Say(text) | SayAndClose(text) => {
                let _ = stream.write_all(text.replace("ID", &id).as_bytes());
            }
            Reset => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
        if !matches!(act, Say(_)) {
            drop(stream);
            let _ = tell.send(number);
            return;
        }
        let _ = tell.send(number);
    }
}

/// The body of a response, whether it was held whole or comes in parts.
async fn whole_body(response: ServerResponse) -> Result<String, &'static str> {
    let mut body = response.reply.body;
    if let Some(mut rest) = response.rest {
        while let Some(part) = rest.next_part().await.map_err(|_| "broke off")? {
            body.extend_from_slice(&part);
        }
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends requests one after the other: what came of each (the body of an answer), and on which connection.
fn play(acts: &[Act], ids: &[&str]) -> Vec<(Result<String, &'static str>, usize)> {
    let (address, told) = server(acts.to_vec());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let pools = ConnectionPools::new(16);
    let server: Rc<str> = Rc::from("i-1");
    let one = |id: &&str| {
        let head = format!("GET /a HTTP/1.1\r\nHost: h\r\nLimeway-Request-Id: {id}\r\n");
        let request = UpstreamRequest {
            head: head.into_bytes(),
            body: Bytes::new(),
            id: id.as_bytes().to_vec(),
            idempotent: true,
        };
        let sent = Cell::new(false);
        let target = ConnectTarget { address, max_connections: 8 };
        let came = pools.exchange(&server, target, &request, now() + 20_000_000, &sent);
        let came = match runtime.block_on(async { tokio::time::timeout(SOON, came).await }) {
            Err(_) => Err("late"),
            Ok(UpstreamResult::Response(response)) => runtime.block_on(whole_body(*response)),
            Ok(UpstreamResult::NotSent) => Err("not sent"),
            Ok(UpstreamResult::Broken) => Err("broke"),
        };
        assert!(sent.get(), "it may have been seen");
        (came, told.recv_timeout(SOON).expect("a request"))
    };
    ids.iter().map(one).collect()
}

#[rstest]
fn a_connection_is_used_again_and_never_after_a_byte_too_many() {
    let body = |text: &str, at| (Ok(text.to_owned()), at);
    let surplus = "HTTP/1.1 200 OK\r\nLimeway-Request-Id: a\r\nContent-Length: 5\r\n\r\nother\
                   HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nContent-Length: 4\r\n\r\nbody";
    // A surplus answer to the first request stands in the place of the second one's.
    let so = play(&[Say(OK), Say(surplus), Say(OK)], &["a", "b", "c"]);
    assert_eq!(so, [body("body", 0), body("body", 0), body("body", 1)]);
    // It comes with the answer itself.
    let twice =
        "HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n";
    assert_eq!(play(&[Say(twice), Say(OK)], &["a", "b"]), [body("body", 0), body("body", 1)]);
    // Two clients use one id: an answer to the first may still come.
    let so = play(&[Say(OK), Say(OK), Say(OK)], &["a", "a", "b"]);
    assert_eq!((so[0].1, so[1].1), (0, 1));
    // The server closes after its answer, without a word or with one.
    assert_eq!(play(&[SayAndClose(OK), Say(OK)], &["a", "b"])[1], body("body", 1));
    let short =
        "HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nKeep-Alive: timeout=0\r\nContent-Length: 4\r\n\r\nbody";
    assert_eq!(play(&[Say(short), Say(OK)], &["a", "b"])[1], body("body", 1));
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n\
                   HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nContent-Length: 4\r\n\r\nbody";
    assert_eq!(play(&[Say(interim), Say(OK)], &["a", "b"]), [body("body", 0), body("body", 0)]);
}

/// None of these is an answer, and each may have run. The second request finds a connection of its own.
#[rstest]
#[case(Reset)]
#[case(SayAndClose(""))]
#[case(SayAndClose("HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nContent-Length: 9\r\n\r\nbody"))]
#[case(SayAndClose("HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\n\r\nbody"))]
#[case(SayAndClose("HTTP/1.1 201 Created\r\nLimeway-Request-Id: ID\r\n\r\nbody"))]
#[case(SayAndClose("HTTP/1.1 200 OK\r\nLimeway-Request-Id: other\r\nContent-Length: 4\r\n\r\nbody"))]
#[case(SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))]
#[case(SayAndClose(
    "HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nLimeway-Request-Id: b\r\nContent-Length: 4\r\n\r\nbody"
))]
#[case(Say(
    "HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n\r\n\r\n"
))]
#[case(Say(
    "HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n"
))]
#[case(Say("HTTP/1.1 101 Switching Protocols\r\nLimeway-Request-Id: ID\r\n\r\n"))]
#[case(Say("\0\r\n\r\n not an answer"))]
fn what_is_no_answer_of_its_own_is_none(#[case] act: Act) {
    // On a new connection, and on one that was used before.
    let so = play(&[act, Say(OK), act, Say(OK)], &["a", "b", "c", "d"]);
    let body = || Ok("body".to_owned());
    assert_eq!(so, [(Err("broke"), 0), (body(), 1), (Err("broke"), 1), (body(), 2)]);
}

#[rstest]
fn a_server_that_takes_no_connection_has_not_seen_the_request() {
    let closed = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listens");
    let Ok(SocketAddr::V4(address)) = closed.local_addr() else { panic!("an address") };
    drop(closed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let request =
        UpstreamRequest { head: Vec::new(), body: Bytes::new(), id: b"a".to_vec(), idempotent: false };
    let (pools, sent) = (ConnectionPools::new(16), Cell::new(false));
    let came = runtime.block_on(pools.exchange(
        &Rc::from("i-1"),
        ConnectTarget { address, max_connections: 8 },
        &request,
        now() + 5_000_000,
        &sent,
    ));
    assert!(matches!(came, UpstreamResult::NotSent) && !sent.get());
}

/// Larger than all buffers between a gateway and a server.
const LARGE_BODY_BYTES: usize = 16 * 1024 * 1024;
/// A server that is busy with other work may not read for so long.
const NOT_READING: Duration = Duration::from_millis(1_500);

/// A server that reads nothing of a request until it is told to, and then answers it.
fn server_that_reads_late() -> (SocketAddrV4, Sender<()>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listens");
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else { panic!("an address") };
    let (go, wait) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        wait.recv().expect("told to read");
        let id = request(&mut stream).expect("a request");
        let body = std::io::copy(&mut (&stream).take(LARGE_BODY_BYTES as u64), &mut std::io::sink());
        assert_eq!(body.expect("the body"), LARGE_BODY_BYTES as u64);
        stream.write_all(OK.replace("ID", &id).as_bytes()).expect("answered");
    });
    (address, go)
}

#[test]
fn a_server_that_reads_a_large_body_late_is_waited_for() {
    let (address, go) = server_that_reads_late();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nLimeway-Request-Id: a\r\n";
    let request = UpstreamRequest {
        head: head.as_bytes().to_vec(),
        body: vec![b'x'; LARGE_BODY_BYTES].into(),
        id: b"a".to_vec(),
        idempotent: false,
    };
    let (pools, sent, server) = (ConnectionPools::new(16), Cell::new(false), Rc::from("i-1"));
    let target = ConnectTarget { address, max_connections: 8 };
    let result = runtime.block_on(async {
        let exchange = pools.exchange(&server, target, &request, now() + 20_000_000, &sent);
        tokio::pin!(exchange);
        let ended_early = tokio::time::timeout(NOT_READING, &mut exchange).await;
        assert!(ended_early.is_err(), "given up while the server was at work on something else");
        go.send(()).expect("the server");
        tokio::time::timeout(SOON, exchange).await
    });
    assert!(matches!(result, Ok(UpstreamResult::Response(_))));
}

/// Archives send answers of some megabytes: none may be lost for its size once the server has run the request.
#[rstest]
fn a_large_response_is_passed_on_whole() {
    const BODY_BYTES: usize = 5 * 1024 * 1024;
    let body = "x".repeat(BODY_BYTES);
    let head = format!("HTTP/1.1 200 OK\r\nLimeway-Request-Id: ID\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let large: &'static str = Box::leak((head + &body).into_boxed_str());
    let answers = play(&[Say(large), Say(OK)], &["a", "b"]);
    assert_eq!(answers[0].0.as_deref().map(str::len), Ok(BODY_BYTES));
    assert_eq!(answers[1], (Ok("body".to_owned()), 0));
}
