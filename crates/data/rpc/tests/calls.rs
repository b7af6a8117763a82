//! Two ends of a connection in virtual time: each call ends by itself, and what a silence means.

use bytes::BytesMut;
use limeway_rpc::{Answerer, Body, Caller, Micros, Patience, Sight, Told, CALLS_MOST, DEAD, DOUBT, PIECE};
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
    Body::of(&noise(length)).expect("body")
}

fn named(n: u64) -> Body {
    Body::of(&n).expect("body")
}

fn ask(caller: &mut Caller, t: Micros, number: u32, wait: Micros) {
    caller.ask(t, number, named(number.into()), Patience::strict(wait)).expect("asked");
}

/// All that waits at the caller's end goes over.
fn over(caller: &mut Caller, t: Micros, answerer: &mut Answerer) -> Vec<u32> {
    let mut bytes = Vec::new();
    while caller.write(t, &mut bytes) {}
    let (mut buffer, mut calls) = (BytesMut::from(&bytes[..]), Vec::new());
    while let Some((number, _)) = answerer.take(&mut buffer).expect("sound") {
        calls.push(number);
    }
    calls
}

/// All that waits at the answerer's end comes back.
fn back(answerer: &mut Answerer, t: Micros, caller: &mut Caller) -> Vec<Told> {
    let mut bytes = Vec::new();
    while answerer.write(&mut bytes) {}
    heard(caller, t, &bytes)
}

fn heard(caller: &mut Caller, t: Micros, bytes: &[u8]) -> Vec<Told> {
    if !bytes.is_empty() {
        caller.heard(t);
    }
    let (mut buffer, mut told) = (BytesMut::from(bytes), Vec::new());
    while let Some(one) = caller.take(t, &mut buffer).expect("sound") {
        told.push(one);
    }
    told
}

#[rstest]
fn a_late_call_ends_no_other() {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    (1..=3).for_each(|n| ask(&mut caller, 0, n, 300 * MS));
    assert_eq!(over(&mut caller, 0, &mut answerer), [1, 2, 3]);
    answerer.answer(2, named(22)).expect("room");
    assert_eq!(back(&mut answerer, 100 * MS, &mut caller), [Told::Answer(2, named(22))]);
    // Something came while it waited: the connection is well.
    assert_eq!(caller.give_up(300 * MS, 1), Sight::Well);
    // Its answer comes after all, and is thrown away; the other call's is not.
    answerer.answer(1, named(11)).expect("room");
    answerer.answer(3, named(33)).expect("room");
    assert_eq!(back(&mut answerer, 301 * MS, &mut caller), [Told::Answer(3, named(33))]);
    assert_eq!((caller.under_way(), caller.late()), (0, 1));
}

/// The word that it is given up is still on its way when a long answer begins to come: none of it is kept.
#[rstest]
fn a_late_answer_takes_no_room() {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    ask(&mut caller, 0, 1, 300 * MS);
    over(&mut caller, 0, &mut answerer);
    answerer.answer(1, body(PIECE * 3)).expect("room");
    caller.give_up(300 * MS, 1);
    let mut bytes = Vec::new();
    while answerer.write(&mut bytes) {
        assert_eq!(heard(&mut caller, 301 * MS, &bytes), []);
        assert_eq!(caller.held(), (0, 0));
        bytes.clear();
    }
    assert!(caller.late() >= 3);
}

#[rstest]
fn an_answer_of_an_earlier_connection_reaches_no_new_caller() {
    let (mut old, mut answerer) = (Caller::default(), Answerer::default());
    ask(&mut old, 0, 7, 300 * MS);
    over(&mut old, 0, &mut answerer);
    answerer.answer(7, named(1)).expect("room");
    old.give_up(300 * MS, 7);
    // The same number on a new connection: only its own other end can answer.
    let (mut new, mut other) = (Caller::default(), Answerer::default());
    ask(&mut new, 300 * MS, 7, 300 * MS);
    assert_eq!(over(&mut new, 300 * MS, &mut other), [7]);
    assert_eq!(back(&mut answerer, 310 * MS, &mut old), []);
    assert_eq!(new.under_way(), 1);
    other.answer(7, named(2)).expect("room");
    assert_eq!(back(&mut other, 320 * MS, &mut new), [Told::Answer(7, named(2))]);
}

#[rstest]
#[case::nothing_at_all(None, DOUBT, Sight::Doubtful)]
#[case::sooner_than_an_answer_can_be_there(None, DOUBT - 1, Sight::Well)]
#[case::something_else_came(Some(10 * MS), DOUBT + 50 * MS, Sight::Well)]
#[case::nothing_for_long(Some(0), DEAD, Sight::Dead)]
fn a_silence_is_told_from_a_late_answer(
    #[case] other: Option<Micros>,
    #[case] wait: Micros,
    #[case] sight: Sight,
) {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    if other.is_some() {
        ask(&mut caller, 0, 1, 9_000 * MS);
    }
    ask(&mut caller, 0, 2, wait);
    over(&mut caller, 0, &mut answerer);
    if let Some(at) = other {
        answerer.answer(1, named(1)).expect("room");
        back(&mut answerer, at, &mut caller);
    }
    assert_eq!(caller.deadline(2), Some(wait));
    assert_eq!(caller.give_up(wait, 2), sight);
}

/// Calls that wait for less than [`DOUBT`] each find a cut together; one word from there, and the silence begins anew.
#[rstest]
#[case::cut(false, Sight::Doubtful)]
#[case::slow(true, Sight::Well)]
fn short_waits_add_up(#[case] slow: bool, #[case] last: Sight) {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    let mut sight = Sight::Well;
    for n in 0..10u32 {
        let t = Micros::from(n) * 25 * MS;
        ask(&mut caller, t, n, 25 * MS);
        over(&mut caller, t, &mut answerer);
        sight = caller.give_up(t + 25 * MS, n);
        over(&mut caller, t + 25 * MS, &mut answerer);
        if slow {
            // That a number is given up is said back.
            assert_eq!(back(&mut answerer, t + 25 * MS, &mut caller), []);
        }
    }
    assert_eq!(sight, last);
}

/// Nothing is awaited for a long time, then one call is a little late: the rest before it tells nothing.
#[rstest]
fn a_rest_is_no_silence() {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    ask(&mut caller, 0, 1, 300 * MS);
    over(&mut caller, 0, &mut answerer);
    answerer.answer(1, named(1)).expect("room");
    back(&mut answerer, 10 * MS, &mut caller);
    let t = 2 * DEAD;
    ask(&mut caller, t, 2, 25 * MS);
    over(&mut caller, t, &mut answerer);
    assert_eq!(caller.give_up(t + 25 * MS, 2), Sight::Well);
    assert_eq!(back(&mut answerer, t + 26 * MS, &mut caller), []);
    over(&mut caller, t + 26 * MS, &mut answerer);
    back(&mut answerer, t + 27 * MS, &mut caller);
    // Nor does one before a call that did not even leave.
    ask(&mut caller, 2 * t, 3, 25 * MS);
    heard(&mut caller, 2 * t, &[0]);
    caller.give_up(2 * t + 25 * MS, 3);
    ask(&mut caller, 3 * t, 4, 25 * MS);
    over(&mut caller, 3 * t, &mut answerer);
    assert_eq!(caller.give_up(3 * t + 25 * MS, 4), Sight::Well);
}

#[rstest]
fn only_a_patient_call_waits_on_while_its_answer_comes() {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    let patient = Patience { silence: 700 * MS, most: 5_000 * MS };
    caller.ask(0, 1, named(1), patient).expect("asked");
    ask(&mut caller, 0, 2, 700 * MS);
    over(&mut caller, 0, &mut answerer);
    answerer.answer(1, body(PIECE * 40)).expect("room");
    answerer.answer(2, body(PIECE * 40)).expect("room");
    let mut t = 0;
    let mut told = Vec::new();
    for piece in 1..=9 {
        // A piece of each every 600 ms.
        t = piece * 600 * MS;
        let mut bytes = Vec::new();
        assert!(answerer.write(&mut bytes) && answerer.write(&mut bytes));
        told.extend(heard(&mut caller, t, &bytes));
        // Steps count up to the bound of a patient call, and not at all for a strict one.
        assert_eq!(caller.deadline(1), Some((t + 700 * MS).min(5_000 * MS)));
        assert_eq!(caller.deadline(2), Some(700 * MS));
    }
    assert!(told.is_empty());
    // Given up half-way: what came is let go of, and the rest of it is not sent.
    assert_eq!(caller.held().0, 2);
    caller.give_up(t, 1);
    caller.give_up(t, 2);
    assert_eq!(caller.held(), (0, 0));
    over(&mut caller, t, &mut answerer);
    assert_eq!(answerer.queued(), 0);
    assert_eq!(back(&mut answerer, t, &mut caller), []);
}

#[rstest]
fn what_nobody_waits_for_is_not_sent() {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    ask(&mut caller, 0, 1, 300 * MS);
    ask(&mut caller, 0, 2, 300 * MS);
    assert_eq!(over(&mut caller, 0, &mut answerer), [1, 2]);
    answerer.answer(1, body(5_000)).expect("room");
    assert!(answerer.queued() >= 5_000 && answerer.wanted(2));
    caller.give_up(300 * MS, 1);
    caller.give_up(300 * MS, 2);
    over(&mut caller, 300 * MS, &mut answerer);
    assert!(answerer.queued() == 0 && !answerer.wanted(2));
    answerer.answer(2, body(5_000)).expect("dropped");
    assert_eq!((answerer.queued(), answerer.under_way()), (0, 0));
    // A call that has not left yet goes nowhere.
    ask(&mut caller, 400 * MS, 3, 300 * MS);
    caller.give_up(700 * MS, 3);
    assert_eq!(over(&mut caller, 700 * MS, &mut answerer), []);
}

#[rstest]
fn too_many_calls_are_refused_one_by_one() {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    let most = CALLS_MOST as u32;
    (0..most).for_each(|n| ask(&mut caller, 0, n, 300 * MS));
    assert!(caller.ask(0, most, named(0), Patience::strict(1)).is_err());
    assert_eq!(over(&mut caller, 0, &mut answerer).len(), CALLS_MOST);
    // Given up here, but still answered there: the next one is refused at once, and those before it go on.
    caller.give_up(10 * MS, 5);
    ask(&mut caller, 10 * MS, most, 300 * MS);
    assert_eq!(over(&mut caller, 10 * MS, &mut answerer), []);
    assert_eq!(back(&mut answerer, 11 * MS, &mut caller), [Told::Refused(most)]);
    answerer.answer(6, named(6)).expect("room");
    assert_eq!(back(&mut answerer, 12 * MS, &mut caller), [Told::Answer(6, named(6))]);
}

/// Cut anywhere, a frame is either whole or not there; what comes on the next connection begins anew.
#[rstest]
fn a_half_written_answer_is_no_answer() {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    ask(&mut caller, 0, 1, 300 * MS);
    over(&mut caller, 0, &mut answerer);
    answerer.answer(1, body(PIECE * 2 + 9)).expect("room");
    let mut bytes = Vec::new();
    while answerer.write(&mut bytes) {}
    for cut in (0..bytes.len()).step_by(113).chain([bytes.len() - 1]) {
        let mut caller = Caller::default();
        ask(&mut caller, 0, 1, 300 * MS);
        while caller.write(0, &mut Vec::new()) {}
        assert_eq!(heard(&mut caller, MS, &bytes[..cut]), []);
    }
    assert_eq!(heard(&mut caller, MS, &bytes), [Told::Answer(1, body(PIECE * 2 + 9))]);
}

/// A thin way back: so many bytes a second, and what the system takes ahead of them.
const THIN: u64 = 250_000;
const AHEAD: usize = 16 * 1024;

/// An answer of 8 MB is on its way at 250 KB/s, and every 250 ms a ping is answered meanwhile.
#[rstest]
fn a_ping_passes_a_long_answer() {
    let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
    let patient = Patience { silence: 700 * MS, most: 60_000 * MS };
    caller.ask(0, 0, named(0), patient).expect("asked");
    over(&mut caller, 0, &mut answerer);
    answerer.answer(0, body(8 * 1024 * 1024)).expect("room");
    let (mut pipe, mut at, mut worst, mut whole) = (Vec::new(), HashMap::new(), 0, None);
    let mut buffer = BytesMut::new();
    for t in (0..60_000 * MS).step_by(MS as usize) {
        if t % (250 * MS) == 0 && whole.is_none() {
            let number = 1 + (t / (250 * MS)) as u32;
            ask(&mut caller, t, number, 300 * MS);
            over(&mut caller, t, &mut answerer);
            answerer.answer(number, named(9)).expect("room");
            at.insert(number, t);
        }
        while pipe.len() < AHEAD && answerer.write(&mut pipe) {}
        let go = pipe.len().min((THIN / 1_000) as usize);
        buffer.extend_from_slice(&pipe[..go]);
        pipe.drain(..go);
        caller.heard(t);
        while let Some(told) = caller.take(t, &mut buffer).expect("sound") {
            match told {
                Told::Answer(0, long) => whole = Some((t, long.len())),
                Told::Answer(n, _) => worst = worst.max(t - at.remove(&n).expect("asked once")),
                Told::Refused(n) => panic!("{n} refused"),
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
        let (mut caller, mut answerer) = (Caller::default(), Answerer::default());
        let (mut pipes, mut ends) = ([Vec::new(), Vec::new()], [BytesMut::new(), BytesMut::new()]);
        let (mut waiting, mut serving) = (HashMap::new(), Vec::new());
        let bodies: Vec<Body> = [1, 500, 3_000, 20_000, 70_000].map(body).into();
        for t in 0..1_500u64 {
            if t < 1_000 && draw(4) == 0 {
                let (number, kind) = (t as u32, draw(5) as usize);
                if caller.ask(t, number, bodies[kind].clone(), Patience::strict(1_000_000)).is_ok() {
                    waiting.insert(number, kind);
                }
            }
            if t < 1_000 && draw(9) == 0 {
                let number = waiting.keys().copied().min_by_key(|_| draw(50));
                if let Some(number) = number {
                    waiting.remove(&number);
                    caller.give_up(t, number);
                }
            }
            while pipes[0].len() < AHEAD && caller.write(t, &mut pipes[0]) {}
            while pipes[1].len() < AHEAD && answerer.write(&mut pipes[1]) {}
            for (pipe, end) in pipes.iter_mut().zip(&mut ends) {
                let go = pipe.len().min(if t < 1_000 { draw(30_000) as usize } else { usize::MAX });
                end.extend_from_slice(&pipe[..go]);
                pipe.drain(..go);
            }
            while let Some((number, call)) = answerer.take(&mut ends[0]).expect("sound") {
                serving.push((number, call));
            }
            if !serving.is_empty() && draw(3) == 0 {
                let (number, call) = serving.swap_remove(draw(serving.len() as u64) as usize);
                answerer.answer(number, call).expect("room");
            }
            while let Some(told) = caller.take(t, &mut ends[1]).expect("sound") {
                let Told::Answer(number, answer) = told else { panic!("seed {seed}: refused") };
                let kind = waiting.remove(&number).expect("waits");
                assert_eq!(answer, bodies[kind], "seed {seed}");
            }
        }
        while let Some((number, call)) = serving.pop() {
            answerer.answer(number, call).expect("room");
            for told in back(&mut answerer, 2_000, &mut caller) {
                let Told::Answer(number, answer) = told else { panic!("seed {seed}: refused") };
                assert_eq!(answer, bodies[waiting.remove(&number).expect("waits")], "seed {seed}");
            }
        }
        assert!(waiting.is_empty() && caller.under_way() == 0 && answerer.under_way() == 0, "seed {seed}");
        assert_eq!(caller.held(), (0, 0));
    }
}
