//! Two ends of a connection in virtual time: each call ends by itself, and what a silence means.

use bytes::BytesMut;
use limeway_rpc::{
    Body, ClientEvent, ConnectionHealth, Micros, RpcClient, RpcServer, Timeouts, DEAD_AFTER,
    MAX_CALLS_IN_FLIGHT, MAX_CHUNK_BYTES, SUSPECT_AFTER,
};
use rstest::rstest;
use std::collections::HashMap;

const MS: Micros = 1_000;

/// A text without a pattern: it does not shrink, and is one byte a letter.
fn noise(length: usize) -> String {
    let mut state = length as u64 | 1;
    let mut draw = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        char::from(32 + (state >> 33) as u8 % 95)
    };
    (0..length).map(|_| draw()).collect()
}

fn body(length: usize) -> Body {
    Body::encode(&noise(length)).expect("body")
}

fn named(n: u64) -> Body {
    Body::encode(&n).expect("body")
}

fn ask(caller: &mut RpcClient, t: Micros, number: u32, wait: Micros) {
    caller.start_call(t, number, named(number.into()), Timeouts::fixed(wait)).expect("asked");
}

/// All that waits at the caller's end goes over.
fn over(caller: &mut RpcClient, t: Micros, server: &mut RpcServer) -> Vec<u32> {
    let mut bytes = Vec::new();
    while caller.write_next(t, &mut bytes) {}
    let (mut buffer, mut calls) = (BytesMut::from(&bytes[..]), Vec::new());
    while let Some((number, _)) = server.next_call(&mut buffer).expect("sound") {
        calls.push(number);
    }
    calls
}

/// All that waits at the server's end comes back.
fn back(server: &mut RpcServer, t: Micros, caller: &mut RpcClient) -> Vec<ClientEvent> {
    let mut bytes = Vec::new();
    while server.write_next(&mut bytes) {}
    heard(caller, t, &bytes)
}

fn heard(caller: &mut RpcClient, t: Micros, bytes: &[u8]) -> Vec<ClientEvent> {
    if !bytes.is_empty() {
        caller.bytes_received(t);
    }
    let (mut buffer, mut events) = (BytesMut::from(bytes), Vec::new());
    while let Some(one) = caller.next_event(t, &mut buffer).expect("sound") {
        events.push(one);
    }
    events
}

#[rstest]
fn a_late_call_ends_no_other() {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    (1..=3).for_each(|n| ask(&mut caller, 0, n, 300 * MS));
    assert_eq!(over(&mut caller, 0, &mut server), [1, 2, 3]);
    server.respond(2, named(22)).expect("room");
    assert_eq!(back(&mut server, 100 * MS, &mut caller), [ClientEvent::Response(2, named(22))]);
    // Something came while it waited: the connection is well.
    assert_eq!(caller.cancel(300 * MS, 1), ConnectionHealth::Healthy);
    // Its answer comes after all, and is thrown away; the other call's is not.
    server.respond(1, named(11)).expect("room");
    server.respond(3, named(33)).expect("room");
    assert_eq!(back(&mut server, 301 * MS, &mut caller), [ClientEvent::Response(3, named(33))]);
    assert_eq!((caller.in_flight(), caller.late_responses()), (0, 1));
}

/// The word that it is given up is still on its way when a long answer begins to come: none of it is kept.
#[rstest]
fn a_late_answer_takes_no_room() {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    ask(&mut caller, 0, 1, 300 * MS);
    over(&mut caller, 0, &mut server);
    server.respond(1, body(MAX_CHUNK_BYTES * 3)).expect("room");
    caller.cancel(300 * MS, 1);
    let mut bytes = Vec::new();
    while server.write_next(&mut bytes) {
        assert_eq!(heard(&mut caller, 301 * MS, &bytes), []);
        assert_eq!(caller.partial_frames(), (0, 0));
        bytes.clear();
    }
    assert!(caller.late_responses() >= 3);
}

#[rstest]
fn an_answer_of_an_earlier_connection_reaches_no_new_caller() {
    let (mut old, mut server) = (RpcClient::default(), RpcServer::default());
    ask(&mut old, 0, 7, 300 * MS);
    over(&mut old, 0, &mut server);
    server.respond(7, named(1)).expect("room");
    old.cancel(300 * MS, 7);
    // The same number on a new connection: only its own other end can answer.
    let (mut new, mut other) = (RpcClient::default(), RpcServer::default());
    ask(&mut new, 300 * MS, 7, 300 * MS);
    assert_eq!(over(&mut new, 300 * MS, &mut other), [7]);
    assert_eq!(back(&mut server, 310 * MS, &mut old), []);
    assert_eq!(new.in_flight(), 1);
    other.respond(7, named(2)).expect("room");
    assert_eq!(back(&mut other, 320 * MS, &mut new), [ClientEvent::Response(7, named(2))]);
}

#[rstest]
#[case::nothing_at_all(None, SUSPECT_AFTER, ConnectionHealth::Suspect)]
#[case::sooner_than_an_answer_can_be_there(None, SUSPECT_AFTER - 1, ConnectionHealth::Healthy)]
#[case::something_else_came(Some(10 * MS), SUSPECT_AFTER + 50 * MS, ConnectionHealth::Healthy)]
#[case::nothing_for_long(Some(0), DEAD_AFTER, ConnectionHealth::Dead)]
fn a_silence_is_told_from_a_late_answer(
    #[case] other: Option<Micros>,
    #[case] wait: Micros,
    #[case] sight: ConnectionHealth,
) {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    if other.is_some() {
        ask(&mut caller, 0, 1, 9_000 * MS);
    }
    ask(&mut caller, 0, 2, wait);
    over(&mut caller, 0, &mut server);
    if let Some(at) = other {
        server.respond(1, named(1)).expect("room");
        back(&mut server, at, &mut caller);
    }
    assert_eq!(caller.deadline(2), Some(wait));
    assert_eq!(caller.cancel(wait, 2), sight);
}

/// Calls that wait for less than [`DOUBT`] each find a cut together; one word from there, and the silence begins anew.
#[rstest]
#[case::cut(false, ConnectionHealth::Suspect)]
#[case::slow(true, ConnectionHealth::Healthy)]
fn short_waits_add_up(#[case] slow: bool, #[case] last: ConnectionHealth) {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    let mut sight = ConnectionHealth::Healthy;
    for n in 0..10u32 {
        let t = Micros::from(n) * 25 * MS;
        ask(&mut caller, t, n, 25 * MS);
        over(&mut caller, t, &mut server);
        sight = caller.cancel(t + 25 * MS, n);
        over(&mut caller, t + 25 * MS, &mut server);
        if slow {
            // That a number is given up is said back.
            assert_eq!(back(&mut server, t + 25 * MS, &mut caller), []);
        }
    }
    assert_eq!(sight, last);
}

/// Nothing is awaited for a long time, then one call is a little late: the rest before it tells nothing.
#[rstest]
fn a_rest_is_no_silence() {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    ask(&mut caller, 0, 1, 300 * MS);
    over(&mut caller, 0, &mut server);
    server.respond(1, named(1)).expect("room");
    back(&mut server, 10 * MS, &mut caller);
    let t = 2 * DEAD_AFTER;
    ask(&mut caller, t, 2, 25 * MS);
    over(&mut caller, t, &mut server);
    assert_eq!(caller.cancel(t + 25 * MS, 2), ConnectionHealth::Healthy);
    assert_eq!(back(&mut server, t + 26 * MS, &mut caller), []);
    over(&mut caller, t + 26 * MS, &mut server);
    back(&mut server, t + 27 * MS, &mut caller);
    // Nor does one before a call that did not even leave.
    ask(&mut caller, 2 * t, 3, 25 * MS);
    heard(&mut caller, 2 * t, &[0]);
    caller.cancel(2 * t + 25 * MS, 3);
    ask(&mut caller, 3 * t, 4, 25 * MS);
    over(&mut caller, 3 * t, &mut server);
    assert_eq!(caller.cancel(3 * t + 25 * MS, 4), ConnectionHealth::Healthy);
}

#[rstest]
fn only_a_patient_call_waits_on_while_its_answer_comes() {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    let patient = Timeouts { idle: 700 * MS, total: 5_000 * MS };
    caller.start_call(0, 1, named(1), patient).expect("asked");
    ask(&mut caller, 0, 2, 700 * MS);
    over(&mut caller, 0, &mut server);
    server.respond(1, body(MAX_CHUNK_BYTES * 40)).expect("room");
    server.respond(2, body(MAX_CHUNK_BYTES * 40)).expect("room");
    let mut t = 0;
    let mut events = Vec::new();
    for piece in 1..=9 {
        // A piece of each every 600 ms.
        t = piece * 600 * MS;
        let mut bytes = Vec::new();
        assert!(server.write_next(&mut bytes) && server.write_next(&mut bytes));
        events.extend(heard(&mut caller, t, &bytes));
        // Steps count up to the bound of a patient call, and not at all for a strict one.
        assert_eq!(caller.deadline(1), Some((t + 700 * MS).min(5_000 * MS)));
        assert_eq!(caller.deadline(2), Some(700 * MS));
    }
    assert!(events.is_empty());
    // Given up half-way: what came is let go of, and the rest of it is not sent.
    assert_eq!(caller.partial_frames().0, 2);
    caller.cancel(t, 1);
    caller.cancel(t, 2);
    assert_eq!(caller.partial_frames(), (0, 0));
    over(&mut caller, t, &mut server);
    assert_eq!(server.queued_bytes(), 0);
    assert_eq!(back(&mut server, t, &mut caller), []);
}

#[rstest]
fn what_nobody_waits_for_is_not_sent() {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    ask(&mut caller, 0, 1, 300 * MS);
    ask(&mut caller, 0, 2, 300 * MS);
    assert_eq!(over(&mut caller, 0, &mut server), [1, 2]);
    server.respond(1, body(5_000)).expect("room");
    assert!(server.queued_bytes() >= 5_000 && server.is_awaited(2));
    caller.cancel(300 * MS, 1);
    caller.cancel(300 * MS, 2);
    over(&mut caller, 300 * MS, &mut server);
    assert!(server.queued_bytes() == 0 && !server.is_awaited(2));
    server.respond(2, body(5_000)).expect("dropped");
    assert_eq!((server.queued_bytes(), server.in_flight()), (0, 0));
    // A call that has not left yet goes nowhere.
    ask(&mut caller, 400 * MS, 3, 300 * MS);
    caller.cancel(700 * MS, 3);
    assert_eq!(over(&mut caller, 700 * MS, &mut server), []);
}

#[rstest]
fn too_many_calls_are_refused_one_by_one() {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    let most = MAX_CALLS_IN_FLIGHT as u32;
    (0..most).for_each(|n| ask(&mut caller, 0, n, 300 * MS));
    assert!(caller.start_call(0, most, named(0), Timeouts::fixed(1)).is_err());
    assert_eq!(over(&mut caller, 0, &mut server).len(), MAX_CALLS_IN_FLIGHT);
    // Given up here, but still answered there: the next one is refused at once, and those before it go on.
    caller.cancel(10 * MS, 5);
    ask(&mut caller, 10 * MS, most, 300 * MS);
    assert_eq!(over(&mut caller, 10 * MS, &mut server), []);
    assert_eq!(back(&mut server, 11 * MS, &mut caller), [ClientEvent::Declined(most)]);
    server.respond(6, named(6)).expect("room");
    assert_eq!(back(&mut server, 12 * MS, &mut caller), [ClientEvent::Response(6, named(6))]);
}

/// Cut anywhere, a frame is either whole or not there; what comes on the next connection begins anew.
#[rstest]
fn a_half_written_answer_is_no_answer() {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    ask(&mut caller, 0, 1, 300 * MS);
    over(&mut caller, 0, &mut server);
    server.respond(1, body(MAX_CHUNK_BYTES * 2 + 9)).expect("room");
    let mut bytes = Vec::new();
    while server.write_next(&mut bytes) {}
    for cut in (0..bytes.len()).step_by(113).chain([bytes.len() - 1]) {
        let mut caller = RpcClient::default();
        ask(&mut caller, 0, 1, 300 * MS);
        while caller.write_next(0, &mut Vec::new()) {}
        assert_eq!(heard(&mut caller, MS, &bytes[..cut]), []);
    }
    assert_eq!(heard(&mut caller, MS, &bytes), [ClientEvent::Response(1, body(MAX_CHUNK_BYTES * 2 + 9))]);
}

/// A thin way back: so many bytes a second, and what the system takes ahead of them.
const THIN: u64 = 250_000;
const AHEAD: usize = 16 * 1024;

/// An answer of 8 MB is on its way at 250 KB/s, and every 250 ms a ping is answered meanwhile.
#[rstest]
fn a_ping_passes_a_long_answer() {
    let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
    let patient = Timeouts { idle: 700 * MS, total: 60_000 * MS };
    caller.start_call(0, 0, named(0), patient).expect("asked");
    over(&mut caller, 0, &mut server);
    server.respond(0, body(8 * 1024 * 1024)).expect("room");
    let (mut pipe, mut at, mut worst, mut whole) = (Vec::new(), HashMap::new(), 0, None);
    let mut buffer = BytesMut::new();
    for t in (0..60_000 * MS).step_by(MS as usize) {
        if t % (250 * MS) == 0 && whole.is_none() {
            let number = 1 + (t / (250 * MS)) as u32;
            ask(&mut caller, t, number, 300 * MS);
            over(&mut caller, t, &mut server);
            server.respond(number, named(9)).expect("room");
            at.insert(number, t);
        }
        while pipe.len() < AHEAD && server.write_next(&mut pipe) {}
        let go = pipe.len().min((THIN / 1_000) as usize);
        buffer.extend_from_slice(&pipe[..go]);
        pipe.drain(..go);
        caller.bytes_received(t);
        while let Some(event) = caller.next_event(t, &mut buffer).expect("sound") {
            match event {
                ClientEvent::Response(0, long) => whole = Some((t, long.len())),
                ClientEvent::Response(n, _) => worst = worst.max(t - at.remove(&n).expect("asked once")),
                ClientEvent::Declined(n) => panic!("{n} refused"),
            }
        }
        if whole.is_none() {
            assert!(caller.deadline(0).expect("waits") > t);
        }
    }
    let (t, length) = whole.expect("the long answer comes whole");
    assert!(length > 8 * 1024 * 1024 && t < 36_000 * MS, "{t}");
    // Two pieces: one that waits ahead, and the one that was begun.
    assert!(worst <= 140 * MS, "{worst} us");
    assert!(at.is_empty());
}

/// Calls of all sizes by chance, given up by chance, over a connection that carries some bytes at a time. Each that is not
/// given up gets its own answer, whole; no other gets one.
#[rstest]
fn each_gets_its_own_answer_or_none() {
    for seed in 1..=60u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut draw = move |below: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % below
        };
        let (mut caller, mut server) = (RpcClient::default(), RpcServer::default());
        let (mut pipes, mut ends) = ([Vec::new(), Vec::new()], [BytesMut::new(), BytesMut::new()]);
        let (mut waiting, mut serving) = (HashMap::new(), Vec::new());
        let bodies: Vec<Body> = [1, 500, 3_000, 20_000, 70_000].map(body).into();
        for t in 0..1_500u64 {
            if t < 1_000 && draw(4) == 0 {
                let (number, kind) = (t as u32, draw(5) as usize);
                if caller.start_call(t, number, bodies[kind].clone(), Timeouts::fixed(1_000_000)).is_ok() {
                    waiting.insert(number, kind);
                }
            }
            if t < 1_000 && draw(9) == 0 {
                let number = waiting.keys().copied().min_by_key(|_| draw(50));
                if let Some(number) = number {
                    waiting.remove(&number);
                    caller.cancel(t, number);
                }
            }
            while pipes[0].len() < AHEAD && caller.write_next(t, &mut pipes[0]) {}
            while pipes[1].len() < AHEAD && server.write_next(&mut pipes[1]) {}
            for (pipe, end) in pipes.iter_mut().zip(&mut ends) {
                let go = pipe.len().min(if t < 1_000 { draw(30_000) as usize } else { usize::MAX });
                end.extend_from_slice(&pipe[..go]);
                pipe.drain(..go);
            }
            while let Some((number, call)) = server.next_call(&mut ends[0]).expect("sound") {
                serving.push((number, call));
            }
            if !serving.is_empty() && draw(3) == 0 {
                let (number, call) = serving.swap_remove(draw(serving.len() as u64) as usize);
                server.respond(number, call).expect("room");
            }
            while let Some(event) = caller.next_event(t, &mut ends[1]).expect("sound") {
                let ClientEvent::Response(number, answer) = event else { panic!("seed {seed}: refused") };
                let kind = waiting.remove(&number).expect("waits");
                assert_eq!(answer, bodies[kind], "seed {seed}");
            }
        }
        while let Some((number, call)) = serving.pop() {
            server.respond(number, call).expect("room");
            for event in back(&mut server, 2_000, &mut caller) {
                let ClientEvent::Response(number, answer) = event else { panic!("seed {seed}: refused") };
                assert_eq!(answer, bodies[waiting.remove(&number).expect("waits")], "seed {seed}");
            }
        }
        assert!(waiting.is_empty() && caller.in_flight() == 0 && server.in_flight() == 0, "seed {seed}");
        assert_eq!(caller.partial_frames(), (0, 0));
    }
}
