//! Standstills of the soak itself: that they are noted, and where their time went.

use limeway_soak::ledger::Ledger;
use limeway_soak::report::Report;
use limeway_soak::sections::{take_sections, timed, Section, Sections};
use limeway_soak::stalls::{watch, Stall, StallCause};
use limeway_soak::thread_times::{ThreadTimes, Threads};
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// How long the event loop is held up.
const HELD_UP: Duration = Duration::from_millis(300);

/// Uses the processor for so long.
fn be_busy(length: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < length {
        std::hint::spin_loop();
    }
}

/// Notes standstills until there is one, held up by a call of this name.
fn stalls_with(name: &'static str) -> Vec<Stall> {
    let threads = Threads::new(1);
    let joining = threads.clone();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .on_thread_start(move || joining.join())
        .enable_all()
        .build()
        .expect("a runtime");
    let ledger = Ledger::new();
    LocalSet::new().block_on(&runtime, async {
        let watching = tokio::task::spawn_local(watch(ledger.clone(), threads));
        tokio::task::yield_now().await;
        timed("a short call", || ());
        timed(name, || be_busy(HELD_UP));
        while ledger.seen.borrow().stalls.is_empty() {
            tokio::task::yield_now().await;
        }
        watching.abort();
    });
    let stalls = ledger.seen.borrow().stalls.clone();
    stalls
}

#[test]
fn a_standstill_names_its_longest_call_and_the_time_on_the_processor() {
    let stalls = stalls_with("a long call");
    let stall = stalls.iter().max_by_key(|stall| stall.length).expect("a standstill");
    let section = stall.cause.sections.longest.expect("a call");
    assert_eq!(section.name, "a long call");
    assert!(section.length >= HELD_UP, "{stall}");
    // The thread was busy but for what it waited for a processor.
    let own = stall.cause.own;
    assert!(own.on_processor + own.queued >= HELD_UP / 2, "{stall}");
}

#[test]
fn the_longest_section_is_kept_until_it_is_asked_for() {
    assert_eq!(take_sections(), Sections::default());
    assert_eq!(timed("short", || 1), 1);
    timed("long", || be_busy(Duration::from_millis(5)));
    timed("short", || ());
    let sections = take_sections();
    let longest = sections.longest.expect("a section");
    assert_eq!(longest.name, "long");
    assert!(longest.length >= Duration::from_millis(5));
    assert!(sections.total >= longest.length);
    assert_eq!(take_sections(), Sections::default());
}

#[test]
fn times_of_a_thread_are_read_as_the_kernel_writes_them() {
    let millis = Duration::from_millis;
    let times = ThreadTimes { on_processor: millis(185), queued: millis(6) };
    assert_eq!(ThreadTimes::parse("185000000 6000000 2\n"), Some(times));
    assert_eq!(ThreadTimes::parse("185000000\n"), None);
    assert_eq!(ThreadTimes::parse("some 6000000 2\n"), None);
    let earlier = ThreadTimes { on_processor: millis(100), queued: millis(5) };
    assert_eq!(times.since(&earlier), ThreadTimes { on_processor: millis(85), queued: millis(1) });
    let before = ThreadTimes::read_own().expect("a thread");
    be_busy(millis(50));
    let spent = ThreadTimes::read_own().expect("a thread").since(&before);
    assert!(spent.on_processor + spent.queued >= millis(25), "{spent:?}");
}

#[test]
fn a_report_tells_of_the_longest_standstills_with_their_causes() {
    let millis = Duration::from_millis;
    let stall = |length: u64, longest: Option<Section>| Stall {
        ended: millis(9_000),
        length: millis(length),
        cause: StallCause {
            own: ThreadTimes { on_processor: millis(10), queued: millis(100) },
            runtime: ThreadTimes { on_processor: millis(1), queued: millis(70) },
            sections: Sections { longest, total: millis(2_000) },
        },
    };
    let section = Some(Section { name: "writing settings", length: millis(1_900) });
    let report = Report { stalls: vec![stall(150, None), stall(2_000, section)], ..Report::default() };
    let text = report.to_text();
    let lines: Vec<&str> =
        text.lines().skip_while(|line| !line.starts_with("the soak itself")).take(3).collect();
    assert_eq!(
        lines,
        [
            "the soak itself stood still 2 times",
            "  2.0s until 9.000s: it ran 10.0ms and waited 100.0ms for a processor, its runtime 70.0ms, calls took 2.0s, the longest: writing settings 1.9s",
            "  150.0ms until 9.000s: it ran 10.0ms and waited 100.0ms for a processor, its runtime 70.0ms, no call",
        ]
    );
}
