//! The short form of the soak: a few seconds of overlapping faults, planned ones, all, and series of stops, that end with a loss of all power and of
//! one disk. The long form is `cargo run --release -p limeway-soak -- run`.

use limeway_soak::plan::{Kind, Plan};
use limeway_soak::report::Report;
use limeway_soak::run::{run, Options};
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;

/// How long faults begin.
const LENGTH: Duration = Duration::from_secs(6);
/// Few, so that a machine that is busy with other tests keeps up.
const CLIENTS: usize = 8;
/// Enough for several long bodies at one gateway.
const CLIENTS_WITH_LONG_BODIES: usize = 24;

fn play(seed: u64, net: u8, long_bodies: bool) -> Report {
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_limeway-balancer")),
        folder: std::env::temp_dir().join(format!("limeway-soak-{}", std::process::id())),
        net,
        length: LENGTH,
        clients: if long_bodies { CLIENTS_WITH_LONG_BODIES } else { CLIENTS },
        gateways: None,
        long_bodies,
    };
    let report = run(&options, seed).expect("it can be run");
    if report.holds() {
        let _ = std::fs::remove_dir_all(options.folder.join(format!("seed-{seed}")));
    }
    report
}

/// What every run comes near to, whatever its faults: a rule that nothing approached has not passed.
const ALWAYS_NEAR: [&str; 4] = ["UNASKED", "CONFIG, revoked keys", "LOST after a loss of power", "RECOVER"];
/// What a run with series of stops comes near to as well.
const NEAR_IN_SERIES: [&str; 2] = ["LOST, in flight at a stop", "LOST, taken after a stop"];

#[rstest]
#[case::planned_work(3, 196)]
#[case::all_faults(1, 197)]
#[case::series_of_stops(2, 198)]
fn overlapping_faults_break_no_rule(#[case] seed: u64, #[case] net: u8) {
    let report = play(seed, net, false);
    assert!(report.holds(), "{}", report.to_text());
    let planned = Plan::draw(seed, LENGTH).faults.len() as u64;
    assert_eq!(report.faults.values().sum::<u64>(), planned, "all fired: {}", report.to_text());
    assert!(report.overlap >= 2, "{}", report.to_text());
    let near_in_series = if Kind::of(seed) == Kind::Series { &NEAR_IN_SERIES[..] } else { &[] };
    for rule in ALWAYS_NEAR.iter().chain(near_in_series) {
        let finding = report.findings.iter().find(|finding| finding.rule == *rule).expect("judged");
        assert!(finding.near > 0, "{rule}: {}", report.to_text());
    }
}

/// Guards against review/2: processes end over their memory while clients send long bodies.
#[test]
fn long_bodies_beside_planned_work_break_no_rule() {
    let report = play(6, 199, true);
    assert!(report.holds(), "{}", report.to_text());
    let memory = report.findings.iter().find(|finding| finding.rule == "memory").expect("judged");
    assert!(memory.near > 0, "{}", report.to_text());
}
