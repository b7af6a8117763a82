//! Stand-ins keep their own promises, over sockets.

use limeway_checker::ledger::{Fate, Health, Record};
use limeway_scenario::file::Span;
use limeway_scenario::{draw, Day, Scenario};
use limeway_test_services::book::{digest, Sent};
use limeway_test_services::{Mode, World};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bound on every wait: far above what a loaded machine needs.
const LONG: Duration = Duration::from_secs(20);

fn day(change: impl FnOnce(&mut Scenario)) -> Day {
    let text =
        "name = \"x\"\nseconds = 5\n[fleet]\nlimiters = 2\nnodes = 2\nrooms = 2\nerror_share = 0\nthrash = 0";
    let mut scenario = Scenario::parse(text).expect("sound");
    change(&mut scenario);
    draw(&scenario, 4).expect("a day")
}

async fn read(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let reading = async {
        loop {
            let mut part = [0; 4096];
            let got = stream.read(&mut part).await.unwrap_or(0);
            text.extend_from_slice(&part[..got]);
            let so_far = String::from_utf8_lossy(&text).into_owned();
            if let Some((head, body)) = so_far.split_once("\r\n\r\n") {
                let length = head.to_lowercase();
                let length =
                    length.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
                if body.len() >= length.unwrap_or(0) {
                    return so_far;
                }
            }
            if got == 0 {
                return so_far;
            }
        }
    };
    timeout(LONG, reading).await.expect("an answer or an end")
}

async fn ask(to: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("written");
    read(&mut stream).await
}

fn sent(world: &World, id: u64, key: Option<&str>, work_us: u64) -> String {
    let (method, target) = (if key.is_some() { "POST" } else { "GET" }, "/x/1".to_owned());
    let sent = Sent { method, target, key: key.map(str::to_owned), digest: digest(0, 0, b""), work_us };
    world.book.sending(id, sent);
    let key = key.map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\nContent-Length: 0\r\n"));
    format!("{method} /x/1 HTTP/1.1\r\nHost: x\r\nReq-Id: {id:x}\r\n{key}\r\n")
}

fn fates(records: &[Record]) -> Vec<Fate> {
    records
        .iter()
        .filter_map(|r| if let Record::AttemptEnd { fate, .. } = r { Some(*fate) } else { None })
        .collect()
}

/// Waits until the book holds what is looked for; all that it held.
async fn until(world: &World, mut found: impl FnMut(&[Record]) -> bool) -> Vec<Record> {
    let (mut all, end) = (Vec::new(), Instant::now() + LONG);
    while Instant::now() < end {
        all.extend(world.book.take());
        if found(&all) {
            return all;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("not seen: {all:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_does_the_work_that_the_scenario_says_within_five_percent() {
    let world = World::start(day(|s| s.fleet.speed = Span(1.0, 1.0))).await.expect("a world");
    let node = world.node(0).expect("a node");
    // 16 callers, each with one request after the other, keep its four cores busy for some seconds.
    let (start, end) = (Instant::now(), Duration::from_secs(3));
    let mut callers = Vec::new();
    for caller in 0..16u64 {
        let (world, to) = (world.clone(), node.addresses[0]);
        callers.push(tokio::spawn(async move {
            let (mut done, mut number) = (0, 0);
            let mut stream = TcpStream::connect(to).await.expect("a connection");
            while start.elapsed() < end {
                number += 1;
                let text = sent(&world, caller << 20 | number, None, 20_000);
                stream.write_all(text.as_bytes()).await.expect("written");
                done += u64::from(read(&mut stream).await.starts_with("HTTP/1.1 200"));
            }
            done
        }));
    }
    let mut done = 0;
    for caller in callers {
        done += caller.await.expect("a caller");
    }
    let records = world.book.take();
    let works: u64 = records
        .iter()
        .filter_map(|r| if let Record::Attempt { work_us, .. } = r { Some(*work_us) } else { None })
        .sum();
    let (seconds, capacity) = (start.elapsed().as_secs_f64(), node.spec.capacity());
    let share = works as f64 / 1e6 / seconds / capacity;
    assert!(done > 400 && (share - 1.0).abs() < 0.05, "{done} done, {share} of the capacity");
}

#[tokio::test]
async fn repeats_of_a_key_are_dropped_at_all_nodes_until_it_is_forgotten() {
    let world = World::start(day(|s| s.rules.key_seconds = 1.0)).await.expect("a world");
    let at = |slot| world.node(slot).expect("a node").addresses[0];
    let own = |id| sent(&world, id, Some("k"), 1_000);
    assert!(ask(at(0), &own(1)).await.starts_with("HTTP/1.1 200"));
    let body = ask(at(1), &own(2)).await;
    assert!(body.starts_with("HTTP/1.1 200") && body.contains(&world.book.answer_body(2)), "{body}");
    // Its life is over once so much time has passed by the book's own clock.
    world.book.clock.until(world.book.now() + 1_100_000).await;
    assert!(ask(at(1), &own(3)).await.starts_with("HTTP/1.1 200"));
    let records = until(&world, |r| fates(r).len() == 3).await;
    assert_eq!(fates(&records), [Fate::Served, Fate::Repeat, Fate::Served]);
}

#[tokio::test]
async fn what_a_client_did_not_send_is_told_apart() {
    let world = World::start(day(|_| {})).await.expect("a world");
    let at = world.node(0).expect("a node").addresses[1];
    assert!(ask(at, "GET /x/1 HTTP/1.1\r\nHost: x\r\n\r\n").await.starts_with("HTTP/1.1 404"));
    assert!(ask(at, "GET /x/1 HTTP/1.1\r\nHost: x\r\nReq-Id: 99\r\n\r\n").await.starts_with("HTTP/1.1 400"));
    let text = sent(&world, 5, None, 1_000).replace("/x/1", "/x/2");
    assert!(ask(at, &text).await.starts_with("HTTP/1.1 200"));
    let seen = |r: &[Record]| {
        r.iter().filter(|r| matches!(r, Record::Attempt { sound: false, limiter: 1, .. })).count() == 2
    };
    until(&world, seen).await;
}

#[tokio::test]
async fn a_node_turns_away_unseen_while_it_drains_and_a_given_up_attempt_is_cut() {
    // A new connection is work too, which its node holds for a millisecond or two beside the request.
    let world = World::start(day(|s| s.fleet.handshake_ms = Span(0.0, 0.0))).await.expect("a world");
    let node = world.node(0).expect("a node");
    let text = sent(&world, 1, None, 60_000_000);
    let mut stream = TcpStream::connect(node.addresses[0]).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("written");
    until(&world, |r| r.iter().any(|r| matches!(r, Record::Attempt { id: 1, .. }))).await;
    assert_eq!(node.held(), 1);
    drop(stream);
    let records = until(&world, |r| !fates(r).is_empty()).await;
    assert_eq!((fates(&records), node.held()), (vec![Fate::Cut], 0), "its work stops");
    node.drain(true);
    let answer = ask(node.addresses[0], &sent(&world, 2, None, 1_000)).await.to_lowercase();
    assert!(answer.starts_with("http/1.1 503") && answer.contains("srv-declined: 1"), "{answer}");
    node.drain(false);
    assert!(ask(node.addresses[0], &sent(&world, 3, None, 1_000)).await.starts_with("HTTP/1.1 200"));
    node.kill();
    let gone = |_: ()| async { TcpStream::connect(node.addresses[0]).await.is_err() };
    let end = Instant::now() + LONG;
    while !gone(()).await {
        assert!(Instant::now() < end, "it takes no more connections");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_cut_way_is_silent_and_its_connections_are_reset_when_it_heals() {
    // Limiters 0 and 1 stand in rooms 0 and 1, as nodes 0 and 1 do.
    let world = World::start(day(|_| {})).await.expect("a world");
    let far = world.node(1).expect("a node").addresses[0];
    let mut stream = TcpStream::connect(far).await.expect("a connection");
    stream.write_all(sent(&world, 1, None, 300_000).as_bytes()).await.expect("written");
    until(&world, |r| r.iter().any(|r| matches!(r, Record::Attempt { id: 1, cross: true, .. }))).await;
    world.cut_room(1, true);
    let mut byte = [0; 1];
    let mut other =
        TcpStream::connect(far).await.expect("it comes up, as a machine that is cut off would not");
    other.write_all(sent(&world, 9, None, 1_000).as_bytes()).await.expect("written");
    let silent = timeout(Duration::from_millis(600), stream.read(&mut byte)).await;
    assert!(silent.is_err(), "nothing comes while it is cut");
    let came = |r: &Record| matches!(r, Record::Attempt { id: 9, .. });
    assert!(!world.book.take().iter().any(came), "and nothing gets there");
    let near = world.node(0).expect("a node").addresses[0];
    assert!(
        ask(near, &sent(&world, 2, None, 1_000)).await.starts_with("HTTP/1.1 200"),
        "its own room is there"
    );
    world.cut_room(1, false);
    let end = timeout(LONG, stream.read(&mut byte)).await.expect("an end");
    assert!(matches!(end, Ok(0) | Err(_)));
    assert!(ask(far, &sent(&world, 3, None, 1_000)).await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn a_node_closes_idle_connections_early_and_holds_only_so_many() {
    let world = World::start(day(|s| {
        s.fleet.idle_seconds = Span(2.0, 2.0);
        s.fleet.connections_per_core = Span(1.0, 1.0);
    }));
    let world = world.await.expect("a world");
    let to = world.node(0).expect("a node").addresses[0];
    let mut streams = Vec::new();
    for _ in 0..4 {
        streams.push(TcpStream::connect(to).await.expect("a connection"));
    }
    // Those that are held are busy, so that only their number closes the next one.
    for (id, stream) in (1..).zip(&mut streams) {
        stream.write_all(sent(&world, id, None, 1_500_000).as_bytes()).await.expect("written");
    }
    until(&world, |r| r.iter().filter(|r| matches!(r, Record::Attempt { .. })).count() == 4).await;
    let mut fifth = TcpStream::connect(to).await.expect("it comes up, and is closed");
    let end = timeout(Duration::from_millis(700), fifth.read(&mut [0; 1])).await.expect("closed at once");
    assert!(matches!(end, Ok(0) | Err(_)));
    for stream in &mut streams {
        assert!(read(stream).await.starts_with("HTTP/1.1 200"), "a busy one is not idle");
        let end = timeout(LONG, stream.read(&mut [0; 1])).await.expect("closed when idle");
        assert!(matches!(end, Ok(0) | Err(_)));
    }
}

fn call(name: &str, add: f64) -> String {
    format!("POST /v1/count/{name}?add={add}&ttl_ms=20000 HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_counters_totals_are_exact_under_pipelining() {
    let quick = |s: &mut Scenario| {
        s.counter.per_second = Span(1e6, 1e6);
        s.counter.call_ms = Span(0.0, 0.0);
        s.counter.line = Span(100.0, 100.0);
    };
    let world = World::start(day(quick)).await.expect("a world");
    let mut callers = Vec::new();
    for caller in 0..8usize {
        let to = world.counter.addresses[caller % 2];
        callers.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(to).await.expect("a connection");
            let text: String = (0..200).map(|n| call(&format!("n{}", n % 5), 0.5)).collect();
            stream.write_all(text.as_bytes()).await.expect("written");
            let (mut seen, mut answers) = (String::new(), 0);
            let mut part = [0; 65_536];
            while answers < 200 {
                let got = timeout(LONG, stream.read(&mut part)).await.expect("in time").expect("read");
                assert!(got > 0, "all are answered");
                seen.push_str(&String::from_utf8_lossy(&part[..got]));
                answers = seen.matches("HTTP/1.1 200").count();
            }
        }));
    }
    for caller in callers {
        caller.await.expect("a caller");
    }
    for n in 0..5 {
        assert_eq!(world.counter.total(&format!("n{n}")), Some(8.0 * 40.0 * 0.5));
    }
}

#[tokio::test]
async fn the_counter_refuses_falls_silent_turns_away_and_forgets_when_told_to() {
    let world = World::start(day(|_| {})).await.expect("a world");
    let to = world.counter.addresses[0];
    assert!(ask(to, &call("a", 2.0)).await.ends_with("\r\n\r\n2"));
    world.counter.set(Mode::Refusing);
    let end = Instant::now() + LONG;
    while TcpStream::connect(to).await.is_ok() {
        assert!(Instant::now() < end, "it refuses");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    world.counter.set(Mode::Silent);
    let mut stream = loop {
        match TcpStream::connect(to).await {
            Ok(stream) => break stream,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
        assert!(Instant::now() < end, "it is there again");
    };
    stream.write_all(call("a", 2.0).as_bytes()).await.expect("written");
    assert!(timeout(Duration::from_millis(300), stream.read(&mut [0; 1])).await.is_err());
    world.counter.set(Mode::Well);
    assert_eq!(world.counter.total("a"), Some(2.0), "what it was silent to it has not added");
    assert!(ask(to, &call("a", 1.0)).await.ends_with("\r\n\r\n3"), "it has its numbers");
    world.counter.forget();
    assert!(ask(to, &call("a", 1.0)).await.ends_with("\r\n\r\n1"));
    assert!(ask(to, "POST /v1/count/a?add=x&ttl_ms=1 HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")
        .await
        .starts_with("HTTP/1.1 400"));
    // A part so slow that its line is full at once.
    world.counter.set(Mode::Slow(1_000.0));
    let mut declined = 0;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(to).await.expect("a connection");
        stream.write_all(call("b", 1.0).as_bytes()).await.expect("written");
        if let Ok(Ok(got @ 1..)) = timeout(Duration::from_millis(300), stream.read(&mut [0; 64])).await {
            declined += usize::from(got > 0);
        }
        streams.push(stream);
    }
    assert!(declined >= 1, "it turns away what finds its line too long");
}

#[tokio::test]
async fn news_comes_late_within_its_bounds_and_a_watch_hears_of_it() {
    let world: Arc<World> =
        World::start(day(|s| s.discovery.late_seconds = Span(0.5, 1.0))).await.expect("a world");
    let to = world.discovery.addresses[0];
    let whole = ask(to, "GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n").await;
    assert!(
        whole.contains("\"whole\":true") && whole.contains("\"no0\"") && whole.contains("\"no1\""),
        "{whole}"
    );
    let start = Instant::now();
    world.drain(1);
    let news = ask(to, "GET /catalog/members?from=1&hold_ms=10000 HTTP/1.1\r\nHost: d\r\n\r\n").await;
    let late = start.elapsed();
    assert!(news.contains("DRAINING") && news.contains("\"no1\"") && !news.contains("\"no0\""), "{news}");
    assert!(late >= Duration::from_millis(500), "{late:?}");
    let told = |r: &Record| matches!(r, Record::Told { limiter: 0, node: 1, health: Health::Draining, .. });
    let records = until(&world, |r| r.iter().any(told)).await;
    let at = records.iter().find(|r| told(r)).map(Record::t).expect("told");
    assert!(at <= world.book.now());
    // A node that has gone is in no whole list any more.
    world.kill(0);
    let gone = ask(to, "GET /catalog/members?from=2&hold_ms=10000 HTTP/1.1\r\nHost: d\r\n\r\n").await;
    assert!(gone.contains("DELETED"), "{gone}");
    assert!(!ask(to, "GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n").await.contains("\"no0\""));
}
