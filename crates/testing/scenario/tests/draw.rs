//! Days are drawn the same each time, ask for what the scenario says, and bad scenarios name their key.

use limeway_scenario::{builtin, builtins, draw, settings, Scenario, What};

fn scenario(name: &str) -> Scenario {
    Scenario::parse(builtin(name).expect("built in")).expect("sound")
}

#[test]
fn every_built_in_scenario_is_sound_and_can_be_drawn() {
    for (name, text) in builtins() {
        let scenario = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(scenario.name, *name);
        assert!(!scenario.about.is_empty());
        assert!(draw(&scenario, 1).is_ok_and(|d| d.arrivals.len() > 1_000), "{name}");
    }
}

#[test]
fn the_same_seed_gives_the_same_day_to_the_byte_and_another_seed_another() {
    let scenario = scenario("worst-quarter");
    let text = |seed| format!("{:?}", draw(&scenario, seed).expect("a day"));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

#[test]
fn work_inside_the_quotas_is_the_wanted_share_of_the_fleet() {
    let mut scenario = scenario("quiet");
    scenario.seconds = 300.0;
    scenario.load.inside = limeway_scenario::file::Span(0.5, 0.5);
    scenario.customers.heavy = limeway_scenario::file::Span(0.0, 0.0);
    scenario.customers.spiky = limeway_scenario::file::Span(0.0, 0.0);
    let mut shares = Vec::new();
    for seed in 1..=4 {
        let day = draw(&scenario, seed).expect("a day");
        let work: u64 = day.arrivals.iter().map(|a| a.work_us).sum();
        shares.push(work as f64 / day.length as f64 / day.capacity());
    }
    let mean = shares.iter().sum::<f64>() / 4.0;
    assert!((mean - 0.5).abs() < 0.03, "{shares:?}");
}

#[test]
fn ids_are_apart_and_doors_lie_in_the_customers_set() {
    let day = draw(&scenario("worst-quarter"), 3).expect("a day");
    let mut ids: Vec<u64> = day.arrivals.iter().map(|a| a.id).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), day.arrivals.len());
    let limiters = day.scenario.fleet.limiters;
    for a in &day.arrivals {
        let c = &day.customers[a.customer];
        for door in &a.doors {
            assert!((door + limiters - c.first) % limiters < c.spread);
        }
        assert_eq!(a.doors.len(), a.patience_us.len());
        assert_eq!(a.key != 0, a.body > 0);
    }
    assert!(day.arrivals.windows(2).all(|w| w[0].at <= w[1].at));
}

#[test]
fn troubles_of_the_load_show_in_the_arrivals() {
    let mut scenario = scenario("quiet");
    scenario.customers.spiky = limeway_scenario::file::Span(0.0, 0.0);
    let calm = draw(&scenario, 5).expect("a day");
    let entry = |text: &str| {
        let text = format!("name = \"x\"\nseconds = 40\n[[event]]\nat = 10\nseconds = 10\n{text}");
        Scenario::parse(&text).expect("sound").event
    };
    let many = |day: &limeway_scenario::Day, plan: usize, from: u64, to: u64| {
        let within = |a: &&limeway_scenario::Arrival| (from * 1_000_000..to * 1_000_000).contains(&a.at);
        day.arrivals.iter().filter(within).filter(|a| day.customers[a.customer].plan == plan).count() as f64
    };
    scenario.event = entry("what = \"plan-burst\"\nplan = \"basico\"\ntimes = 4");
    let burst = draw(&scenario, 5).expect("a day");
    let ratio = many(&burst, 0, 10, 20) / many(&calm, 0, 10, 20);
    assert!((3.3..4.7).contains(&ratio), "{ratio}");
    assert_eq!(many(&burst, 1, 10, 20), many(&calm, 1, 10, 20), "other plans are as they were");
    scenario.event = entry("what = \"hot-customers\"\ncustomers = 2\nshare = 0.5");
    let hot = draw(&scenario, 5).expect("a day");
    let (was, is) = (calm.arrivals.len() as f64, hot.arrivals.len() as f64);
    assert!(
        (0.08..0.17).contains(&(is / was - 1.0)),
        "half as much again for a quarter of the run: {was} {is}"
    );
}

#[test]
fn bad_scenarios_name_their_key() {
    let cases = [
        ("seconds = 0", "seconds"),
        ("seconds = 1e9", "seconds"),
        ("seconds = nan", "seconds"),
        ("[fleet]\nlimiters = 0", "fleet.limiters"),
        ("[fleet]\nspeed = [2, 1]", "fleet.speed"),
        ("[load]\ninside = -1", "load.inside"),
        ("[load]\ninside = [0.5, inf]", "load.inside"),
        ("[customers]\nfull = 0.6\nheavy = 0.3\nspiky = 0.2", "customers.spiky"),
        ("[[class]]\nname = \"a/b\"\nshare = 1\nwork_ms = 1\naim_seconds = 1\ndeadline_seconds = 2\nworth = 1\neffect = \"safe\"\nunits = [1, 1]", "class[0].name"),
        ("[[class]]\nname = \"a\"\nshare = 1\nwork_ms = 1\naim_seconds = 3\ndeadline_seconds = 2\nworth = 1\neffect = \"safe\"\nunits = [1, 1]", "class[0].deadline_seconds"),
        ("[[plan]]\nname = \"p\"\nshare = 0\nrate = 1\nburst_seconds = 1\npays = 1", "plan[0].share"),
        ("[[event]]\nat = 1\nwhat = \"rain\"", "event[0].what"),
        ("[[event]]\nat = 99\nwhat = \"counter-empty\"", "event[0].at"),
        ("[[event]]\nat = 1\nwhat = \"counter-refuse\"", "event[0].seconds"),
        ("[[event]]\nat = 1\nwhat = \"node-drain\"\nnode = 9", "event[0].node"),
        ("[[event]]\nat = 1\nseconds = 1\nwhat = \"counter-slow\"", "event[0].times"),
        ("[[event]]\nat = 1\nseconds = 1\nwhat = \"plan-burst\"\nplan = \"x\"\ntimes = 2", "event[0].plan"),
    ];
    for (text, key) in cases {
        let whole = if text.starts_with("seconds") { String::new() } else { "seconds = 40\n".into() };
        let error = Scenario::parse(&format!("name = \"x\"\n{whole}{text}")).expect_err(text);
        assert_eq!(error.key, key, "{text}: {error}");
    }
    for text in ["name = ", "name = \"x\"", "name = \"x\"\nseconds = 40\nspeed = 1", "[fleet]\nspeed = [1]"] {
        assert!(Scenario::parse(text).is_err(), "{text}");
    }
    let unknown = Scenario::parse("name = \"x\"\nseconds = 40\n[fleet]\nsped = 1").expect_err("unknown");
    assert!(unknown.reason.contains("sped"), "{unknown}");
}

#[test]
fn quotas_beyond_the_fleet_are_no_error_but_told() {
    let mut scenario = scenario("quiet");
    scenario.load.inside = limeway_scenario::file::Span(1.4, 1.4);
    let day = draw(&scenario, 1).expect("a day");
    assert!(day.quotas > 1.4, "{}", day.quotas);
}

#[test]
fn settings_hold_what_a_limiter_needs() {
    let day = draw(&scenario("worst-quarter"), 1).expect("a day");
    let told = settings::settings(&day, 2);
    assert_eq!(told["me"], 2);
    assert_eq!(told["zone"], "sala-c");
    assert_eq!(told["profiles"][1]["effect"], "token");
    assert!(told["plans"][2]["cap-rate"].as_f64().is_some_and(|r| r > 0.0));
    assert!(day.events.iter().any(|e| e.what == What::CounterRefuse));
}
