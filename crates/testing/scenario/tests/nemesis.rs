//! Schedules of faults are the same for the same seed, fit the scenario they are drawn for, and survive being written.

use limeway_scenario::nemesis::{draw, Schedule, CASES, QUIET};
use limeway_scenario::{builtin, draw as day, Scenario, What};
use std::collections::BTreeMap;

fn with(schedule: &Schedule, limiters: u32, seconds: f64) -> Scenario {
    let mut scenario = Scenario::parse(builtin("fleet").expect("built in")).expect("sound");
    (scenario.seconds, scenario.fleet.limiters) = (seconds, limiters);
    scenario.event = schedule.event.clone();
    scenario
}

#[test]
fn schedules_of_each_case_fit_and_leave_time_before_and_after() {
    for (limiters, seconds) in [(2, 12.0), (4, 20.0), (12, 30.0), (40, 20.0)] {
        for case in CASES {
            for seed in 0..4 {
                let schedule = draw(seed, limiters, seconds, 3, Some(case));
                let day = day(&with(&schedule, limiters, seconds), seed)
                    .unwrap_or_else(|e| panic!("{case} {seed}: {e}"));
                assert!(limiters < 4 || !day.events.is_empty(), "{case} {seed} of {limiters}");
                for event in &day.events {
                    assert!(event.at as f64 >= QUIET.0 * 1e6, "{event:?}");
                    let most = (seconds - QUIET.1 + 0.21) * 1e6;
                    assert!((event.at + event.lasts) as f64 <= most, "{case} {seed}: {event:?}");
                }
                // A process that is down or about to be is not killed again before it can be up.
                let kills: Vec<_> =
                    day.events.iter().filter(|e| matches!(e.what, What::LimiterKill(_))).collect();
                for (n, kill) in kills.iter().enumerate() {
                    let again = kills[..n]
                        .iter()
                        .filter(|k| k.what == kill.what && k.at + k.lasts + 400_000 > kill.at);
                    assert_eq!(again.count(), 0, "{case} {seed}: {kill:?}");
                }
            }
        }
    }
}

#[test]
fn the_same_seed_draws_the_same_schedule_and_all_cases_come_up() {
    assert_eq!(draw(5, 6, 20.0, 4, None), draw(5, 6, 20.0, 4, None));
    assert_ne!(draw(5, 6, 20.0, 4, None), draw(6, 6, 20.0, 4, None));
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..200 {
        for entry in draw(seed, 6, 20.0, 3, None).event {
            *kinds.entry(format!("{} {}", entry.what, entry.fault.unwrap_or_default())).or_default() += 1;
        }
    }
    let wanted = [
        "limiter-stall ",
        "limiter-kill ",
        "limiter-restart ",
        "limiter-reload half",
        "peers-cut ",
        "link hang",
        "link swallow",
        "link reset",
    ];
    for kind in wanted {
        assert!(kinds.contains_key(kind), "{kind} of {kinds:?}");
    }
}

#[test]
fn a_schedule_that_was_written_is_read_as_it_was_and_a_wrong_one_names_its_key() {
    for seed in 0..50 {
        let schedule = draw(seed, 6, 20.0, 3, None);
        assert_eq!(Schedule::parse(&schedule.toml().expect("TOML")), Ok(schedule));
    }
    let cases = [
        ("[[event]]\nat = 1\nwhat = \"link\"\nlimiter = 1\nto = \"counter\"\nfault = \"eat\"\nseconds = 1", "event[0].fault"),
        ("[[event]]\nat = 1\nwhat = \"link\"\nlimiter = 1\nto = \"moon\"\nfault = \"hold\"\nseconds = 1", "event[0].to"),
        ("[[event]]\nat = 1\nwhat = \"link\"\nlimiter = 1\nto = \"counter\"\nfault = \"late\"\nseconds = 1", "event[0].ms"),
        ("[[event]]\nat = 1\nwhat = \"peers-cut\"\nlimiter = 1\nother = 1\nseconds = 1", "event[0].other"),
        ("[[event]]\nat = 1\nwhat = \"peers-cut\"\nlimiter = 1\nway = \"up\"\nseconds = 1", "event[0].way"),
        ("[[event]]\nat = 1\nwhat = \"limiter-stall\"\nlimiter = 1", "event[0].seconds"),
        ("[[event]]\nat = 1\nwhat = \"limiter-stall\"\nlimiter = 60\nseconds = 1", "event[0].limiter"),
        ("[[event]]\nat = 1\nwhat = \"limiter-reload\"\nlimiter = 1\nfault = \"none\"", "event[0].fault"),
    ];
    for (text, key) in cases {
        let schedule = Schedule::parse(text).expect("TOML");
        let error = day(&with(&schedule, 6, 20.0), 1).expect_err("wrong");
        assert_eq!(error.key, key, "{error}");
    }
    assert!(Schedule::parse("[[event]]\nat = 1\nwhat = \"x\"\nlimitr = 1")
        .is_err_and(|e| e.reason.contains("limitr")));
    let once = "[[event]]\nat = 4\nwhat = \"link\"\nlimiter = 1\nto = \"counter\"\nfault = \"reset\"";
    let day = day(&with(&Schedule::parse(once).expect("TOML"), 6, 20.0), 1).expect("a reset needs no length");
    assert!(day.linked() && matches!(day.events[0].what, What::Link(_)));
}
