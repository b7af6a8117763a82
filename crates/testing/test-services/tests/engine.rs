//! The inside of a call node: sharing, waiting, thrash, warming up.

use limeway_scenario::{Micros, NodeSpec};
use limeway_test_services::engine::{Engine, Pressure};

fn spec() -> NodeSpec {
    NodeSpec {
        room: 0,
        cores: 4,
        speed: 0.5,
        slots: 8,
        queue: 2,
        thrash: 0.0,
        thrash_at: 100.0,
        cold_from: 0.25,
        cold_us: 10_000_000,
        error_share: 0.0,
        handshake_us: 0,
        connections: 10,
        idle_us: 1,
    }
}

/// Runs a node from one end to the next; jobs that finish with their times.
fn run(engine: &mut Engine, until: Micros) -> Vec<(Micros, u64)> {
    let mut over = Vec::new();
    while let Some(t) = engine.next().filter(|t| *t <= until) {
        over.extend(engine.finished(t).into_iter().map(|job| (t, job)));
    }
    over
}

#[test]
fn a_lone_job_has_one_core_and_many_share_all() {
    let mut engine = Engine::new(spec(), 0, false);
    assert!(engine.submit(0, 1, 100_000));
    assert_eq!(run(&mut engine, 1_000_000), [(200_000, 1)]);
    let mut engine = Engine::new(spec(), 0, false);
    (0..8).for_each(|job| assert!(engine.submit(0, job, 100_000)));
    let over = run(&mut engine, 1_000_000);
    assert!(over.iter().all(|(t, _)| t.abs_diff(400_000) < 10), "{over:?}");
}

#[test]
fn what_finds_no_slot_waits_and_what_finds_no_room_is_turned_away() {
    let mut engine = Engine::new(spec(), 0, false);
    let taken: Vec<bool> = (0..12).map(|job| engine.submit(0, job, 100_000)).collect();
    assert_eq!(taken.iter().filter(|t| **t).count(), 10);
    assert!(!taken[10] && !taken[11]);
    engine.cancel(0, 0);
    assert_eq!(engine.held(), 9);
    assert!(engine.submit(0, 20, 100_000));
    assert_eq!(run(&mut engine, 10_000_000).len(), 10);
}

#[test]
fn work_done_under_load_is_the_capacity() {
    for thrash in [0.0, 0.2] {
        let mut engine = Engine::new(NodeSpec { thrash, thrash_at: 2.0, ..spec() }, 0, false);
        let (mut job, mut over) = (0, 0);
        let mut t = 0;
        while t < 60_000_000 {
            while engine.held() < 9 && engine.submit(t, job, 50_000) {
                job += 1;
            }
            t = engine.next().expect("work");
            over += engine.finished(t).len();
        }
        let did = over as f64 * 0.05 / 60.0;
        let wanted = 4.0 * 0.5 / (1.0 + thrash * 0.25);
        assert!((did / wanted - 1.0).abs() < 0.05, "{did} of {wanted}");
    }
}

#[test]
fn a_cold_node_warms_up_evenly() {
    let mut engine = Engine::new(spec(), 0, true);
    // Over its first ten seconds it does the mean of a quarter and the whole.
    assert!(engine.submit(0, 1, 3_125_000));
    let over = run(&mut engine, 20_000_000);
    assert!(over[0].0.abs_diff(10_000_000) < 50_000, "{over:?}");
}

#[test]
fn a_cold_node_falls_by_one_piece_too_much() {
    let engine = Engine::new(spec(), 0, true);
    // A quarter of its speed at first and all after ten seconds: after one, a tenth of the way.
    let budget = 4.0 * 2.0 * (0.25 + 0.75 * 0.1) * 2e6;
    let mut pressure = Pressure::new(4.0, 2_000_000);
    assert!(!pressure.push(&engine, 1_000_000, budget as Micros));
    assert!(pressure.push(&engine, 1_000_000, 2));
    let mut pressure = Pressure::new(4.0, 2_000_000);
    assert!(!pressure.push(&engine, 10_000_000, Micros::MAX / 2), "a warm one bears anything");
}
