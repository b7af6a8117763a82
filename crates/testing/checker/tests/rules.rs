//! For each rule, a ledger by hand that breaks it by the least possible, and its twin that just keeps it.

use limeway_checker::ledger::*;
use limeway_checker::{judge, Verdict};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// No rule is broken.
const NONE: [usize; 0] = [];
/// Slack of an answer: 16 ms of the rule and 50 ms of sockets.
const SLACK: Micros = 66 * MS;

fn class(name: &str, effect: Effect) -> Class {
    Class { name: name.into(), effect, window_us: 8 * S, aim_us: S, worth: 1.0 }
}

fn opening() -> Opening {
    let plan = |name: &str, rate, burst, ceiling_rate, ceiling_burst, ceiling_slack| Plan {
        name: name.into(),
        rate,
        burst,
        pays: 1.0,
        over_cost: 1.0,
        ceiling_rate,
        ceiling_burst,
        ceiling_slack,
    };
    Opening {
        began_unix_us: 0,
        ledger: VERSION,
        scenario: "by hand".into(),
        seed: 1,
        limiters: 2,
        classes: vec![
            class("look", Effect::Safe),
            class("book", Effect::Keyed),
            class("once", Effect::Unsafe),
        ],
        plans: vec![plan("small", 1.0, 4.0, 0.0, 0.0, 0.0), plan("capped", 10.0, 20.0, 20.0, 40.0, 4.0)],
        rules: Rules {
            answer_slack_us: 16 * MS,
            socket_slack_us: 50 * MS,
            drain_grace_us: S,
            fall_us: 2 * S,
            fall_multiple: 4.0,
            max_attempts: 3,
            second_copies: false,
        },
        service: Weights {
            whole: 0.65,
            worst_window: 0.2,
            worst_plan: 0.15,
            counter: 0.005,
            peer: 0.02,
            waste: 0.03,
            late_fail: 0.05,
            cross_room: 0.005,
        },
    }
}

/// A ledger in the making.
struct Ledger(Vec<Record>, u64);

impl Ledger {
    fn new() -> Self {
        Ledger(vec![limiter(0, 0, Change::Started), limiter(0, 1, Change::Started)], 0)
    }

    fn arrive(&mut self, t: Micros, id: u64, class: usize, plan: usize, units: f64) {
        let arrive = Record::Arrive {
            t,
            due: t,
            id,
            first: id,
            class,
            plan,
            customer: 7,
            units,
            limiter: 0,
            patience_us: 2 * S,
            work_us: 100 * MS,
        };
        self.0.push(arrive);
    }

    fn attempt(&mut self, t: Micros, id: u64, node: u32, end: Option<(Micros, Fate)>) {
        self.work(t, id, node, 100 * MS, 0);
        if let Some((t, fate)) = end {
            self.0.push(Record::AttemptEnd { t, n: self.1, fate });
        }
    }

    fn work(&mut self, t: Micros, id: u64, node: u32, work_us: Micros, limiter: u32) {
        self.1 += 1;
        let n = self.1;
        self.0.push(Record::Attempt {
            t,
            begun: t,
            n,
            id,
            node,
            limiter,
            work_us,
            sound: true,
            cross: false,
        });
    }

    fn answer(&mut self, t: Micros, id: u64, status: u16) {
        self.0.push(Record::Answer { t, id, status, sound: true });
    }

    fn left(&mut self, t: Micros, id: u64, why: Left) {
        self.0.push(Record::Left { t, id, why });
    }

    fn told(&mut self, t: Micros, node: u32, health: Health) {
        self.0.push(Record::Told { t, limiter: 0, node, health, started: -1 });
    }

    fn text(&self) -> String {
        let mut lines = vec![opening().line()];
        lines.extend(self.0.iter().map(Record::line));
        let closing = Closing {
            t: 60 * S,
            complete: true,
            planned: 1,
            late_p50_us: 0,
            late_p99_us: 0,
            late_p999_us: 0,
            late_max_us: 0,
        };
        lines.push(Record::Closing(closing).line());
        lines.join("\n")
    }

    fn judge(&self) -> Verdict {
        judge(self.text().lines()).expect("a ledger")
    }
}

fn limiter(t: Micros, limiter: u32, change: Change) -> Record {
    Record::Limiter { t, limiter, change }
}

/// The rules that are broken.
fn broken(ledger: &Ledger) -> Vec<usize> {
    let verdict = ledger.judge();
    assert_eq!(verdict.void, None);
    verdict.rules.iter().filter(|r| r.broken > 0).map(|r| r.rule).collect()
}

/// A ledger of one try that was served at its first attempt.
fn one(id: u64, class: usize, answered: Micros) -> Ledger {
    let mut ledger = Ledger::new();
    ledger.arrive(S, id, class, 0, 1.0);
    ledger.attempt(S + MS, id, 3, Some((S + 2 * MS, Fate::Served)));
    ledger.answer(answered, id, 200);
    ledger
}

#[test]
fn an_answer_may_come_until_its_slack_is_over() {
    assert_eq!(broken(&one(1, 0, 3 * S + SLACK)), NONE);
    assert_eq!(broken(&one(1, 0, 3 * S + SLACK + 1)), [1]);
}

#[test]
fn a_try_gets_one_answer_and_not_two() {
    let mut ledger = one(1, 0, S + 3 * MS);
    assert_eq!(broken(&ledger), NONE);
    ledger.answer(S + 4 * MS, 1, 429);
    assert_eq!(broken(&ledger), [1]);
}

#[test]
fn a_body_that_no_node_made_is_a_loss() {
    for (sound, rules) in [(true, vec![]), (false, vec![1])] {
        let mut ledger = Ledger::new();
        ledger.arrive(S, 1, 0, 0, 1.0);
        ledger.0.push(Record::Answer { t: S + MS, id: 1, status: 200, sound });
        assert_eq!(broken(&ledger), rules);
    }
}

#[test]
fn a_try_without_answer_is_lost_unless_its_client_left_or_its_limiter_was_killed() {
    let cases = [
        (Left::Patience, vec![1]),
        (Left::Broken, vec![1]),
        (Left::Early, vec![]),
        (Left::Unreached, vec![]),
        (Left::ClosedNew, vec![]),
    ];
    for (why, rules) in cases {
        let mut ledger = Ledger::new();
        ledger.arrive(S, 1, 0, 0, 1.0);
        ledger.left(2 * S, 1, why);
        assert_eq!(broken(&ledger), rules, "{why:?}");
    }
    // Closed anew, but sent on before: taken and lost.
    let mut ledger = Ledger::new();
    ledger.arrive(S, 1, 0, 0, 1.0);
    ledger.attempt(S + MS, 1, 0, None);
    ledger.left(2 * S, 1, Left::ClosedNew);
    assert_eq!(broken(&ledger), [1]);
    let kill = |t, which| {
        let mut ledger = Ledger::new();
        ledger.arrive(S, 1, 0, 0, 1.0);
        ledger.left(t, 1, Left::Broken);
        ledger.0.push(limiter(t, which, Change::Killed));
        broken(&ledger)
    };
    assert_eq!(kill(2 * S, 0), NONE);
    assert_eq!(kill(2 * S, 1), [1], "another limiter's death is no excuse");
    assert_eq!(kill(S - 1, 0), [1], "nor one before the try");
    // Told to end first: what it had taken is to be answered.
    let mut ledger = Ledger::new();
    ledger.arrive(S, 1, 0, 0, 1.0);
    ledger.0.push(limiter(S + MS, 0, Change::Terminated));
    ledger.left(2 * S, 1, Left::Broken);
    ledger.0.push(limiter(2 * S, 0, Change::Ended));
    assert_eq!(broken(&ledger), [1]);
}

#[test]
fn a_try_whose_time_runs_beyond_the_run_is_not_judged() {
    for (t, rules) in [(60 * S - 2 * S - SLACK, vec![1]), (60 * S - 2 * S - SLACK + 1, vec![])] {
        let mut ledger = Ledger::new();
        ledger.arrive(t, 1, 0, 0, 1.0);
        assert_eq!(broken(&ledger), rules);
    }
}

#[test]
fn nothing_is_sent_after_the_final_answer() {
    for (after, rules) in [(SLACK, vec![]), (SLACK + 1, vec![1])] {
        let mut ledger = Ledger::new();
        ledger.arrive(S, 1, 0, 0, 1.0);
        ledger.answer(S + 10 * MS, 1, 429);
        ledger.attempt(S + 10 * MS + after, 1, 0, None);
        assert_eq!(broken(&ledger), rules);
    }
}

#[test]
fn two_attempts_are_never_out_together() {
    for (overlap, rules) in [(50 * MS, vec![]), (50 * MS + 1, vec![2])] {
        let mut ledger = Ledger::new();
        ledger.arrive(S, 1, 0, 0, 1.0);
        ledger.attempt(S, 1, 0, Some((S + 300 * MS, Fate::Cut)));
        ledger.attempt(S + 300 * MS - overlap, 1, 1, Some((S + 500 * MS, Fate::Served)));
        ledger.answer(S + 501 * MS, 1, 200);
        assert_eq!(broken(&ledger), rules);
    }
    let mut ledger = Ledger::new();
    ledger.arrive(S, 1, 0, 0, 1.0);
    ledger.attempt(S, 1, 0, None);
    ledger.attempt(S + S, 1, 1, Some((2 * S + MS, Fate::Served)));
    ledger.answer(2 * S + 2 * MS, 1, 200);
    assert_eq!(broken(&ledger), [2], "one that never ends is out for good");
}

#[test]
fn an_unsafe_try_goes_on_only_where_nothing_can_have_run() {
    for (fate, rules) in [(Fate::Declined, vec![]), (Fate::Error, vec![2]), (Fate::Cut, vec![2])] {
        let mut ledger = Ledger::new();
        ledger.arrive(S, 1, 2, 0, 1.0);
        ledger.attempt(S, 1, 0, Some((S + MS, fate)));
        ledger.attempt(S + 2 * MS, 1, 1, Some((S + 3 * MS, Fate::Served)));
        ledger.answer(S + 4 * MS, 1, 200);
        assert_eq!(broken(&ledger), rules, "{fate:?}");
        for (status, rules) in [(429, rules.clone()), (503, rules), (502, vec![])] {
            let mut ledger = Ledger::new();
            ledger.arrive(S, 1, 2, 0, 1.0);
            ledger.attempt(S, 1, 0, Some((S + MS, fate)));
            ledger.answer(S + 4 * MS, 1, status);
            assert_eq!(broken(&ledger), rules, "{fate:?} {status}");
        }
    }
}

#[test]
fn a_key_goes_out_again_only_while_it_is_remembered() {
    for (after, rules) in [(8 * S + 50 * MS, vec![]), (8 * S + 50 * MS + 1, vec![2])] {
        for (class, rules) in [(1, rules), (0, vec![])] {
            let mut ledger = Ledger::new();
            ledger.arrive(S, 1, class, 0, 1.0);
            ledger.attempt(S, 1, 0, Some((S + MS, Fate::Error)));
            ledger.attempt(S + after, 1, 1, Some((S + after + MS, Fate::Served)));
            ledger.answer(S + 2 * MS, 1, 502);
            // The answer above ends the try; only what concerns the key is looked at here.
            let seen: Vec<usize> = broken(&ledger).into_iter().filter(|r| *r == 2).collect();
            assert_eq!(seen, rules);
        }
    }
}

#[test]
fn attempts_are_counted_and_ids_and_bytes_are_the_clients() {
    let tries = |many: u64| {
        let mut ledger = Ledger::new();
        ledger.arrive(S, 1, 0, 0, 1.0);
        for n in 0..many {
            ledger.attempt(S + n * MS, 1, 0, Some((S + n * MS, Fate::Error)));
        }
        ledger.answer(S + 10 * MS, 1, 502);
        broken(&ledger)
    };
    assert_eq!((tries(3), tries(4)), (vec![], vec![2]));
    let mut ledger = one(1, 0, S + 3 * MS);
    ledger.attempt(S, 99, 0, Some((S, Fate::Error)));
    assert_eq!(broken(&ledger), [2], "an id that no client sent");
    let mut ledger = one(1, 0, S + 3 * MS);
    if let Some(Record::Attempt { sound, .. }) =
        ledger.0.iter_mut().find(|r| matches!(r, Record::Attempt { .. }))
    {
        *sound = false;
    }
    assert_eq!(broken(&ledger), [2], "other bytes than the client's");
}

#[test]
fn nothing_goes_to_a_drained_node_after_the_grace() {
    let sent = |after: Micros, health| {
        let mut ledger = Ledger::new();
        ledger.told(5 * S, 3, health);
        ledger.arrive(5 * S + after, 1, 0, 0, 1.0);
        ledger.attempt(5 * S + after, 1, 3, Some((5 * S + after + MS, Fate::Served)));
        ledger.answer(5 * S + after + 2 * MS, 1, 200);
        ledger
    };
    let grace = S + 50 * MS;
    for health in [Health::Draining, Health::Gone] {
        assert_eq!(broken(&sent(grace, health)), NONE);
        assert_eq!(broken(&sent(grace + 1, health)), [3]);
        // Draining, then gone: the first word counts.
        let mut ledger = sent(grace + 1, Health::Draining);
        ledger.told(5 * S + MS, 3, Health::Gone);
        assert_eq!(broken(&ledger), [3]);
        // In service again, or a limiter that started anew and has not been told.
        let mut ledger = sent(grace + 1, health);
        ledger.told(5 * S + MS, 3, Health::Serving);
        assert_eq!(broken(&ledger), NONE);
        let mut ledger = sent(grace + 1, health);
        ledger.0.push(limiter(5 * S + MS, 0, Change::Killed));
        ledger.0.push(limiter(5 * S + 2 * MS, 0, Change::Started));
        assert_eq!(broken(&ledger), NONE);
    }
    assert_eq!(broken(&sent(grace + 1, Health::Serving)), NONE);
}

#[test]
fn a_cold_node_gets_no_more_than_its_budget() {
    // Capacity 4, cold from 0.25 and never warming in these two seconds to speak of: 1 s of work a second, times 4,
    // over 2 s: 8 s of work and what the slow ramp adds.
    let sent = |work: Micros, informed: u32| {
        let mut ledger = Ledger::new();
        let (cold_from, cold_us) = (0.25, 1_000_000_000_000);
        ledger.0.push(Record::NodeStart { t: S, node: 3, room: 0, capacity: 4.0, cold_from, cold_us });
        ledger.0.push(Record::Told { t: S, limiter: 0, node: 3, health: Health::Serving, started: S as i64 });
        for n in 0..10 {
            let (t, id) = (2 * S + u64::from(n) * 50 * MS, u64::from(n) + 1);
            ledger.arrive(t, id, 0, 0, 1.0);
            ledger.work(t, id, 3, work / 10, u32::from(n >= informed));
            let n = ledger.1;
            ledger.0.push(Record::AttemptEnd { t: t + MS, n, fate: Fate::Served });
            ledger.answer(t + 2 * MS, id, 200);
        }
        ledger
    };
    assert_eq!(broken(&sent(8 * S, 10)), NONE);
    assert_eq!(broken(&sent(8 * S + 1_000, 10)), [4]);
    // Two thirds must come from limiters that knew of its start.
    assert_eq!(broken(&sent(8 * S + 1_000, 7)), [4]);
    assert_eq!(broken(&sent(8 * S + 1_000, 6)), NONE);
}

#[test]
fn a_ceiling_is_passed_by_its_slack_and_no_more() {
    // 40 at once, 4 of slack, and 20 a second for 150 ms: 47 units at one moment.
    let sent = |units: f64, id: u64| {
        let mut ledger = Ledger::new();
        for n in 0..47 {
            let units = if n == 46 { units } else { 1.0 };
            ledger.arrive(S, id + n, 0, 1, units);
            ledger.attempt(S, id + n, 0, Some((S + MS, Fate::Served)));
            // Further attempts take nothing.
            ledger.attempt(S + 2 * MS, id + n, 1, Some((S + 3 * MS, Fate::Served)));
            ledger.answer(S + 4 * MS, id + n, 200);
        }
        ledger
    };
    assert_eq!(broken(&sent(1.0, 1)), NONE);
    assert_eq!(broken(&sent(1.001, 1)), [5]);
    let mut ledger = sent(1.0, 1);
    ledger.arrive(S + 100 * MS, 90, 0, 1, 2.0);
    ledger.attempt(S + 100 * MS, 90, 0, Some((S + 101 * MS, Fate::Served)));
    ledger.answer(S + 102 * MS, 90, 200);
    assert_eq!(broken(&ledger), NONE, "it fills at its rate");
}

#[test]
fn a_ledger_that_is_cut_off_is_judged_up_to_there_and_void() {
    let whole = one(1, 0, S + 3 * MS).text();
    let cut = &whole[..whole.len() - 20];
    let verdict = judge(cut.lines()).expect("it stands up to there");
    assert!(verdict.void.as_deref().is_some_and(|v| v.contains("cut off")), "{:?}", verdict.void);
    assert!(!verdict.passes());
    assert!(verdict.rules.iter().all(|r| r.broken == 0));
    let mut lines: Vec<&str> = whole.lines().collect();
    lines[2] = "{\"ev\":\"arrive\"";
    assert_eq!(judge(lines.into_iter()).expect_err("in the middle").line, 3);
    assert_eq!(judge("".lines()).expect_err("empty").line, 1);
    assert_eq!(judge("{\"ledger\":2}".lines()).expect_err("no opening").line, 1);
    let strange = whole.replace("\"class\":0", "\"class\":9");
    assert!(judge(strange.lines()).expect_err("no such class").reason.contains("class 9"));
}

#[test]
fn a_crash_or_a_late_kit_voids_the_run() {
    let mut ledger = one(1, 0, S + 3 * MS);
    ledger.0.push(limiter(5 * S, 1, Change::Crashed { code: Some(101) }));
    assert!(ledger.judge().void.is_some_and(|v| v.contains("limiter 1") && v.contains("101")));
    let late = one(1, 0, S + 3 * MS).text().replace("\"late_p999_us\":0", "\"late_p999_us\":50001");
    let verdict = judge(late.lines()).expect("a ledger");
    assert!(verdict.void.as_deref().is_some_and(|v| v.contains("kit itself ran late")), "{:?}", verdict.void);
}

#[test]
fn service_folds_retries_and_counts_what_lies_inside_the_quota() {
    // A store of 4 and 1 a second: of six first tries at once four lie inside.
    let mut ledger = Ledger::new();
    for id in 1..=6 {
        ledger.arrive(S, id, 0, 0, 1.0);
    }
    // 1 served, 2 served by its retry in time, 3 by its retry too late, 4 refused for good.
    ledger.attempt(S, 1, 0, Some((S + MS, Fate::Served)));
    ledger.answer(S + 2 * MS, 1, 200);
    for (id, retry, end) in [(2, 12, 500 * MS), (3, 13, 1_001 * MS)] {
        ledger.answer(S + 2 * MS, id, 429);
        ledger.arrive(S + 100 * MS, retry, 0, 0, 1.0);
        if let Some(Record::Arrive { first, .. }) = ledger.0.last_mut() {
            *first = id;
        }
        ledger.attempt(S + 100 * MS, retry, 0, Some((S + end, Fate::Served)));
        ledger.answer(S + end, retry, 200);
    }
    for id in 4..=6 {
        ledger.answer(S + 2 * MS, id, 429);
    }
    let service = ledger.judge().service;
    assert_eq!(service.plans[0].inside, 4);
    assert_eq!((service.ends.in_time, service.ends.late, service.ends.refused), (2, 1, 3));
    assert!((service.whole - 0.5).abs() < 1e-9, "{service:?}");
    assert_eq!(service.prices.over_quota, 0.0);
    // A fifth try sent on at once is beyond the quota and costs its worth.
    for id in 4..=6 {
        ledger.attempt(S + 100 * MS, id, 0, Some((S + 110 * MS, Fate::Served)));
    }
    let service = ledger.judge().service;
    // The store held 4 and a tenth: two of six tries sent on are beyond it, of four units' worth asked for.
    assert!((service.prices.over_quota - 0.5).abs() < 1e-9, "{:?}", service.prices);
}
