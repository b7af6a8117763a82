//! Links over loopback, against ends that are late, silent, cut off in the middle, or of another version.

use bytes::BytesMut;
use limeway_balancer::messages::{Call, Reply};
use limeway_balancer::transport::{self, CallError, Channel};
use limeway_distribution::transfer::StateRequest;
use limeway_rpc::{Body, RpcServer};
use rstest::rstest;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};

/// Whatever should come about does so within it, on a machine that is busy with other tests too.
const SOON: Duration = Duration::from_secs(20);
/// Longer than it takes to doubt a silent connection.
const SHORT: Duration = Duration::from_millis(250);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    LocalSet::new().block_on(&runtime, async { tokio::time::timeout(SOON, test).await.expect("in time") });
}

fn here() -> (TcpListener, SocketAddr) {
    let listener = transport::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bound");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

fn unit(name: &str) -> Call {
    Call::BorrowUnit(name.to_owned())
}

/// The other end of a connection, by hand.
struct End {
    stream: TcpStream,
    answerer: RpcServer,
    buffer: BytesMut,
}

impl End {
    async fn of(listener: &TcpListener) -> Self {
        let (stream, _) = listener.accept().await.expect("a connection");
        End { stream, answerer: RpcServer::default(), buffer: BytesMut::new() }
    }

    async fn call(&mut self) -> u32 {
        loop {
            if let Some((number, _)) = self.answerer.next_call(&mut self.buffer).expect("sound") {
                return number;
            }
            assert!(self.stream.read_buf(&mut self.buffer).await.expect("open") > 0);
        }
    }

    fn answer(&mut self, number: u32, reply: &Reply) -> Vec<u8> {
        self.answerer.respond(number, Body::encode(reply).expect("body")).expect("room");
        let mut bytes = Vec::new();
        while self.answerer.write_next(&mut bytes) {}
        bytes
    }
}

#[rstest]
fn a_late_call_ends_no_other() {
    run(async {
        let (listener, address) = here();
        let go = Rc::new(Notify::new());
        let held = go.clone();
        spawn_local(transport::listen(listener, move |call| {
            let go = held.clone();
            async move {
                match call {
                    Call::Fetch(_) => std::future::pending().await,
                    Call::BorrowUnit(name) if name == "held" => go.notified().await,
                    _ => {}
                }
                Reply::Done
            }
        }));
        let link = Channel::new(address);
        let asking = link.clone();
        let other = spawn_local(async move { asking.call(&unit("held"), SOON).await });
        assert!(matches!(
            link.call(&Call::Fetch(StateRequest { slot: 1, received: None, max_bytes: 0 }), SHORT).await,
            Err(CallError::TimedOut)
        ));
        assert!(matches!(link.call(&unit("at once"), SOON).await, Ok(Reply::Done)));
        go.notify_one();
        assert!(matches!(other.await.expect("runs"), Ok(Reply::Done)));
    });
}

#[rstest]
fn a_silent_connection_is_left_for_a_new_one_and_still_answers() {
    run(async {
        let (listener, address) = here();
        let link = Channel::new(address);
        let asking = link.clone();
        let first = spawn_local(async move { asking.call(&unit("first"), SOON).await });
        let mut old = End::of(&listener).await;
        let number = old.call().await;
        assert!(matches!(link.call(&unit("late"), SHORT).await, Err(CallError::TimedOut)));
        let asking = link.clone();
        let third = spawn_local(async move { asking.call(&unit("third"), SOON).await });
        let mut new = End::of(&listener).await;
        let third_number = new.call().await;
        // Answers on each connection reach the calls of that one. A number of the other means nothing there.
        let done = old.answer(number, &Reply::Done);
        new.stream.write_all(&done).await.expect("written");
        let not = new.answer(third_number, &Reply::Declined);
        new.stream.write_all(&not).await.expect("written");
        assert!(matches!(third.await.expect("runs"), Ok(Reply::Declined)));
        assert!(!first.is_finished());
        old.stream.write_all(&done).await.expect("written");
        assert!(matches!(first.await.expect("runs"), Ok(Reply::Done)));
    });
}

#[rstest]
fn a_half_written_answer_breaks_its_call_and_the_next_one_begins_anew() {
    run(async {
        let (listener, address) = here();
        let link = Channel::new(address);
        for half in [true, false] {
            let asking = link.clone();
            let call = spawn_local(async move { asking.call(&unit("one"), SOON).await });
            let mut end = End::of(&listener).await;
            let number = end.call().await;
            let bytes = end.answer(number, &Reply::Done);
            let sent = if half { bytes.len() - 1 } else { bytes.len() };
            end.stream.write_all(&bytes[..sent]).await.expect("written");
            drop(end);
            let answer = call.await.expect("runs");
            assert_eq!(half, matches!(answer, Err(CallError::Disconnected)));
            assert_eq!(!half, matches!(answer, Ok(Reply::Done)));
        }
    });
}

/// Counts what is logged of another version.
struct Lines;

static LINES: AtomicU32 = AtomicU32::new(0);

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        if record.args().to_string().contains("version 1 is not supported") {
            LINES.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn flush(&self) {}
}

/// A frame of version 1.
const OLD: [u8; 11] = [0, 0, 0, 7, 1, 0, 0, 0, 1, 0x61, 0x78];

#[rstest]
fn version_one_is_refused_both_ways_at_once_and_logged_once() {
    log::set_logger(&Lines).expect("the only logger");
    log::set_max_level(log::LevelFilter::Warn);
    run(async {
        // It calls.
        let (listener, address) = here();
        spawn_local(transport::listen(listener, |_| async { Reply::Done }));
        for _ in 0..3 {
            let mut stream = TcpStream::connect(address).await.expect("open");
            stream.write_all(&OLD).await.expect("written");
            let mut got = Vec::new();
            let _ = stream.read_to_end(&mut got).await;
            assert!(got.is_empty());
        }
        // It answers.
        let (listener, address) = here();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut got = [0; 16];
                let _ = stream.read(&mut got).await;
                let _ = stream.write_all(&OLD).await;
                let _ = stream.read(&mut got).await;
            }
        });
        let link = Channel::new(address);
        for _ in 0..3 {
            assert!(matches!(link.call(&unit("one"), SOON).await, Err(CallError::Disconnected)));
        }
    });
    assert_eq!(LINES.load(Ordering::SeqCst), 1);
}
