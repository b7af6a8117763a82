//! The sum over all limiters of what a cold server is sent: never near what knocks it over, and all that it can do.

use limeway_slow_start::{Micros, Start};
use proptest::prelude::*;

/// Sends of all limiters to one server that started at 0, of `servers` of which a part started with it; each limiter sends
/// `rate` a second, evenly from a moment of its own. A limiter goes there with the first request after it has earned one.
fn sends(start: &Start, limiters: usize, servers: usize, new: usize, rate: f64, end: Micros) -> Vec<Micros> {
    let mut all = Vec::new();
    for n in 0..limiters {
        let by = |step: u64| (n as u64 * 2_654_435_761 + step).wrapping_mul(0x9e37_79b9) % 1_000;
        let (mut level, gap) = (by(1) as f64 / 1_000.0, (1e6 / rate) as Micros);
        let (mut at, mut t) = (0, by(2) * gap / 1_000);
        while t < end {
            let warm = start.warmth(Some(0), t);
            let warmths = (0..servers).map(|s| if s < new { warm } else { 1.0 });
            let (earned, most) = start.earns(warm, start.part(rate, warmths));
            level = (level + earned * (t - at) as f64 / 1e6).min(most);
            at = t;
            if level >= 1.0 {
                level -= 1.0;
                all.push(t);
            }
            t += gap;
        }
    }
    all.sort_unstable();
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn no_fleet_pushes_a_cold_server_over_and_each_lets_it_work(
        limiters in 3usize..400,
        (servers, new) in (4usize..200).prop_flat_map(|n| (Just(n), 1..=n)),
        // What a warm server is sent a second by all: its capacity is at least that.
        capacity in 5.0f64..60.0,
        from in 0.17f64..0.5,
    ) {
        let start = Start { cold: 14_000_000, from, fall: 2_000_000, multiple: 4.0 };
        let rate = capacity * servers as f64 / limiters as f64;
        let all = sends(&start, limiters, servers, new, rate, start.cold);
        // Each window of the rule's length against what the server can do at its start, and what chance adds.
        for (n, t) in all.iter().enumerate() {
            let window = all[n..].iter().take_while(|u| **u < t + start.fall).count() as f64;
            let able = capacity * start.warmth(Some(0), *t) * start.fall as f64 / 1e6;
            prop_assert!(window <= 0.75 * start.multiple * able + 4.0, "{window} of {able} at {t}");
        }
        // Over the whole time its mean warmth is more than a half: at least half of that is sent.
        prop_assert!(all.len() as f64 >= 0.25 * capacity * 14.0 - 4.0, "{} of {capacity} a second", all.len());
    }
}

#[test]
fn warmth_runs_from_the_start_to_one_and_odd_figures_stay_in_range() {
    let start = Start { cold: 10_000_000, from: 0.2, fall: 2_000_000, multiple: 4.0 };
    assert_eq!(start.warmth(None, 5), 1.0);
    assert_eq!(start.warmth(Some(7), 7), 0.2);
    assert!((start.warmth(Some(0), 5_000_000) - 0.6).abs() < 1e-9);
    // A start that a clock ahead of ours tells, and a site without figures.
    assert_eq!(start.warmth(Some(9), 7), 0.2);
    let none = Start { cold: 0, from: 0.0, fall: 0, multiple: 0.0 };
    assert_eq!((none.warmth(Some(0), 0), none.warmth(Some(0), 1)), (0.05, 1.0));
    assert_eq!(none.part(3.0, std::iter::empty()), 0.0);
    // Half of the servers at a fifth: the warm ones take 5/6 of all, and no lift is beyond the budget.
    let part = start.part(60.0, [0.2, 0.2, 1.0, 1.0].into_iter());
    assert!((part - 25.0).abs() < 1e-9, "{part}");
    assert_eq!(start.part(60.0, [0.05; 4].into_iter()), 30.0);
}
