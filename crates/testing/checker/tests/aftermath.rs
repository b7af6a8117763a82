//! Histories by hand: each that breaks a promise about faults is convicted, and its twin that keeps it is not.

use limeway_checker::aftermath::{aftermath, agreement, Aftermath};
use limeway_checker::ledger::*;
use limeway_checker::run::Run;
use limeway_checker::{judge_run, rules::Judged};
use limeway_event_log::What;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn opening() -> Opening {
    let text = r#"{"ledger":1,"scenario":"by hand","seed":1,"began_unix_us":0,"limiters":2,
        "classes":[{"name":"look","effect":"safe","window_us":0,"aim_us":1000000,"worth":1.0}],
        "plans":[{"name":"p","rate":100.0,"burst":1000.0,"pays":1.0,"over_cost":0.0,"ceiling_rate":0.0,"ceiling_burst":0.0,"ceiling_slack":0.0}],
        "rules":{"answer_slack_us":16000,"socket_slack_us":50000,"drain_grace_us":1000000,"fall_us":2000000,"fall_multiple":4.0,"max_attempts":3,"second_copies":false},
        "service":{"whole":0.65,"worst_window":0.2,"worst_plan":0.15,"counter":0.005,"peer":0.02,"waste":0.03,"late_fail":0.05,"cross_room":0.005}}"#;
    serde_json::from_str(text).expect("an opening")
}

/// A run of 20 s at two limiters, 50 tries a second each; `answered` tells when one sent then is served, if it is.
fn run(fault: Option<(Micros, Micros)>, more: Vec<Record>, served: impl Fn(u32, Micros) -> bool) -> Run {
    let mut records = vec![];
    for limiter in 0..2 {
        records.push(Record::Limiter { t: 0, limiter, change: Change::Started });
    }
    for n in 0..2_000 {
        let (t, limiter) = (n * 10 * MS, (n % 2) as u32);
        records.push(Record::Arrive {
            t,
            due: t,
            id: n,
            first: n,
            class: 0,
            plan: 0,
            customer: n % 40,
            units: 1.0,
            limiter,
            patience_us: 2 * S,
            work_us: MS,
        });
        let status = if served(limiter, t) { 200 } else { 429 };
        records.push(Record::Answer { t: t + 5 * MS, id: n, status, sound: true });
    }
    if let Some((from, to)) = fault {
        for (t, on) in [(from, true), (to, false)] {
            records.push(Record::Trouble { t, name: "trouble".into(), on });
        }
    }
    records.extend(more);
    Run::gather(opening(), records)
}

fn after(fault: Option<(Micros, Micros)>, served: impl Fn(u32, Micros) -> bool) -> Aftermath {
    aftermath(&run(fault, vec![], served))
}

#[test]
fn service_that_is_back_late_or_never_is_convicted_and_one_in_time_is_not() {
    let fault = Some((5 * S, 8 * S));
    for (back, promised) in [(8 * S, true), (10 * S, true), (13 * S, false), (30 * S, false)] {
        let a = after(fault, |_, t| t < 5 * S || t >= back);
        assert_eq!(a.within(4 * S), Some(promised), "{a:?}");
        assert!(a.before > 0.99 && a.during < 0.01 && a.worst < 0.01, "{a:?}");
    }
    // One limiter never serves again: nine tenths of service would hide it in a larger fleet.
    let a = after(fault, |limiter, t| t < 5 * S || limiter == 0);
    assert_eq!((a.within(4 * S), a.slowest), (Some(false), None), "{a:?}");
    let a = after(fault, |limiter, t| t < 5 * S || limiter == 0 || t >= 11 * S);
    assert_eq!(a.slowest.map(|s| s.0), Some(1));
    assert_eq!((a.within(4 * S), a.within(2 * S)), (Some(true), Some(false)), "{a:?}");
}

#[test]
fn what_was_never_tested_is_no_pass() {
    assert_eq!(after(None, |_, _| true).within(S), None);
    assert_eq!(
        after(Some((S, 2 * S)), |_, _| true).within(S),
        None,
        "nothing was seen before the first fault"
    );
}

#[test]
fn a_customer_of_whom_some_is_refused_by_right_says_nothing() {
    // One customer asks for all it can, and is refused: the others count.
    let mut flood = vec![];
    for n in 0..6_000 {
        let t = n * 3 * MS;
        flood.push(Record::Arrive {
            t,
            due: t,
            id: 10_000 + n,
            first: 10_000 + n,
            class: 0,
            plan: 0,
            customer: 99,
            units: 1.0,
            limiter: 0,
            patience_us: 2 * S,
            work_us: MS,
        });
        flood.push(Record::Answer { t: t + MS, id: 10_000 + n, status: 429, sound: true });
    }
    let a = aftermath(&run(Some((5 * S, 6 * S)), flood, |_, _| true));
    assert!(a.before > 0.99 && a.within(S) == Some(true), "{a:?}");
}

fn rule(run: &Run, number: usize) -> Judged {
    judge_run(run).rules.swap_remove(number - 1)
}

#[test]
fn a_process_that_stands_still_owes_no_answer_then_but_all_others_do() {
    let lost = |stall: Option<(Micros, Micros)>, at: u32| {
        let mut more: Vec<Record> = vec![];
        if let Some((from, to)) = stall {
            more.push(Record::Limiter { t: from, limiter: at, change: Change::Stalled });
            more.push(Record::Limiter { t: to, limiter: at, change: Change::Resumed });
        }
        more.push(Record::Arrive {
            t: 4 * S,
            due: 4 * S,
            id: 9_999,
            first: 9_999,
            class: 0,
            plan: 0,
            customer: 1,
            units: 1.0,
            limiter: 0,
            patience_us: 2 * S,
            work_us: MS,
        });
        more.push(Record::Left { t: 6 * S, id: 9_999, why: Left::Patience });
        rule(&run(None, more, |_, _| true), 1).broken
    };
    assert_eq!(lost(None, 0), 1);
    assert_eq!(lost(Some((5 * S, 7 * S)), 0), 0);
    assert_eq!(lost(Some((5 * S, 7 * S)), 1), 1, "another's standstill is no excuse");
    assert_eq!(lost(Some((S, 4 * S - 1)), 0), 1, "nor one before the try");
    assert_eq!(lost(Some((6 * S + 67 * MS, 8 * S)), 0), 1, "nor one after its end");
}

#[test]
fn news_that_comes_during_a_standstill_is_known_from_its_end_on() {
    let sent = |at: Micros| {
        let more = vec![
            Record::Limiter { t: 3 * S, limiter: 0, change: Change::Stalled },
            Record::Limiter { t: 7 * S, limiter: 0, change: Change::Resumed },
            Record::Told { t: 4 * S, limiter: 0, node: 2, health: Health::Draining, started: -1 },
            Record::Attempt {
                t: at,
                begun: at,
                n: 1,
                id: 0,
                node: 2,
                limiter: 0,
                work_us: MS,
                sound: true,
                cross: false,
            },
        ];
        rule(&run(None, more, |_, _| true), 3).broken
    };
    // A second and the slack of sockets from the moment that it could know.
    assert_eq!((sent(8 * S + 50 * MS), sent(8 * S + 51 * MS)), (0, 1));
}

#[test]
fn limiters_that_stay_apart_over_the_counter_are_convicted_and_those_that_come_back_are_not() {
    let text = |to: &str| What::Counter { text: format!("counter well -> {to}") };
    let of = |said: Vec<(Micros, u32, What)>| {
        let more = said.into_iter().map(|(t, limiter, what)| Record::Said { t, limiter, what }).collect();
        agreement(&run(Some((5 * S, 8 * S)), more, |_, _| true))
    };
    assert!(of(vec![]).not_tested.is_some(), "no history");
    assert!(of(vec![(S, 0, What::Ready)]).not_tested.is_some(), "nobody noticed anything");
    let back = of(vec![
        (6 * S, 0, text("silent")),
        (9 * S, 0, text("settling")),
        (10 * S, 0, text("well")),
        (6 * S, 1, text("slow")),
    ]);
    assert_eq!((back.not_tested, back.after, back.last, back.changes), (None, Some(2 * S), Some(0), 4));
    let never = of(vec![(6 * S, 0, text("silent")), (9 * S, 0, text("well")), (7 * S, 1, text("refusing"))]);
    assert_eq!((never.after, never.last), (None, Some(1)));
    // A new life starts from nothing.
    let died = of(vec![(6 * S, 1, text("refusing")), (7 * S, 1, What::Started { limiter: 1, pid: 4 })]);
    assert_eq!(died.after, Some(0));
}
