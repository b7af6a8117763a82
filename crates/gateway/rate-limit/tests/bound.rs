//! The sum over all doors stays under the ceiling, whatever each of them does with what it may take.

use limeway_rate_limit::{Micros, RateLimit, Span};
use proptest::prelude::*;
use std::collections::BTreeMap;

const S: f64 = 1e6;

/// One taking: by which door, after how long, how many units, whether out of a lease, and how long it then waits to be sent.
type Take = (usize, Micros, f64, bool, f64);

/// What all doors send, as one store that sees them all would keep it: the most that it lacks of its burst, in units.
fn most(ceiling: &RateLimit, doors: usize, span: Span, max_wait: Micros, takes: &[Take]) -> f64 {
    let (rate, burst) = ceiling.split(doors as f64);
    let mut buckets = vec![(burst, 0); doors];
    let mut windows: BTreeMap<u64, f64> = BTreeMap::new();
    let (mut now, mut sends) = (0, Vec::new());
    for &(door, after, units, leased, wait) in takes {
        now += after;
        let taken = if leased {
            let total = windows.entry(now / span.length).or_default();
            let fits = *total + units <= span.budget;
            *total += if fits { units } else { 0.0 };
            fits
        } else {
            let (level, at) = &mut buckets[door % doors];
            *level = (*level + rate * (now - *at) as f64 / S).min(burst);
            *at = now;
            let fits = *level >= units;
            *level -= if fits { units } else { 0.0 };
            fits
        };
        if taken {
            sends.push((now + (wait * max_wait as f64) as Micros, units));
        }
    }
    sends.sort_by_key(|s| s.0);
    let (mut level, mut at, mut lacks) = (ceiling.burst, 0, 0.0f64);
    for (t, units) in sends {
        level = (level + ceiling.rate * (t - at) as f64 / S).min(ceiling.burst) - units;
        (at, lacks) = (t, lacks.max(ceiling.burst - level));
    }
    lacks
}

/// As much as there is, at the end of one window and the start of the next, from all doors.
fn edge(span: Span, doors: usize) -> Vec<Take> {
    let tries = 4 * span.budget as usize + 8;
    let first = span.length * 9 - 1_000;
    let at = |n: usize, after| (n % doors, after, 1.0, !n.is_multiple_of(3), 0.0);
    let before = (0..tries).map(|n| at(n, if n == 0 { first } else { 0 }));
    let after = (0..tries).map(|n| at(n, if n == 0 { 2_000 } else { 0 }));
    before.chain(after).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn no_order_of_leases_and_splits_passes_the_ceiling(
        (rate, seconds) in (2.0f64..60.0, 0.3f64..60.0),
        doors in 1usize..40,
        takes in prop::collection::vec((0usize..40, 0u64..400_000, 0.5f64..4.0, any::<bool>(), 0.0f64..1.0), 1..400),
    ) {
        let ceiling = RateLimit { rate, burst: rate * seconds, tolerance: 0.1 * rate * seconds };
        let span = ceiling.span(500_000, 25_000_000).expect("a ceiling");
        let all = most(&ceiling, doors, span, ceiling.max_wait(), &takes);
        prop_assert!(all <= ceiling.burst + ceiling.tolerance + 1e-6, "{all} of {ceiling:?}");
        let at_once: Vec<Take> = takes.iter().map(|t| (t.0, t.1, t.2, t.3, 0.0)).collect();
        let all = most(&ceiling, doors, span, 0, &at_once);
        prop_assert!(all <= ceiling.burst + 1e-6, "{all} of {ceiling:?} without any wait");
    }
}

#[test]
fn a_rush_at_a_windows_edge_comes_up_to_the_ceiling_and_each_figure_is_needed() {
    for (rate, burst, doors) in [(50.0, 131.0, 32), (35.0, 65.0, 20), (8.0, 16.0, 2), (10.0, 12.0, 2)] {
        let ceiling = RateLimit { rate, burst, tolerance: 0.1 * burst };
        let span = ceiling.span(100_000, 25_000_000).expect("a ceiling");
        let drawn =
            |span: Span, takes: &[Take]| most(&ceiling, doors, span, ceiling.max_wait(), takes) / burst;
        let near = drawn(span, &edge(span, doors));
        assert!((0.6..=1.0).contains(&near), "{near} of {ceiling:?}");
        // Windows as long, with the budget that the ceiling refills in one and holds: passed at the edge.
        let full = Span { budget: burst, ..span };
        assert!(drawn(full, &edge(full, doors)) > 1.3, "{ceiling:?}");
    }
    // Shorter windows of the same budget let it through more often than it refills.
    let ceiling = RateLimit { rate: 50.0, burst: 100.0, tolerance: 0.0 };
    let span = ceiling.span(0, 25_000_000).expect("a ceiling");
    let short = Span { length: span.length / 4, ..span };
    let takes: Vec<Take> = (0..4_000).map(|_| (0, 1_000, 1.0, true, 0.0)).collect();
    assert!(most(&ceiling, 1, short, 0, &takes) > 100.0 && most(&ceiling, 1, span, 0, &takes) <= 100.0);
}

#[test]
fn windows_cut_short_or_drawn_out_hold_less_than_they_refill() {
    let ceiling = RateLimit { rate: 1.0, burst: 120.0, tolerance: 0.0 };
    let cut = ceiling.span(500_000, 25_000_000).expect("a ceiling");
    assert_eq!((cut.length, cut.budget), (25_000_000, 12.5));
    let small = RateLimit { rate: 100.0, burst: 10.0, tolerance: 1.0 };
    let long = small.span(500_000, 25_000_000).expect("a ceiling");
    assert_eq!((long.length, long.budget, small.max_wait()), (500_000, 2.5, 10_000));
    let none = RateLimit { rate: 0.0, burst: 0.0, tolerance: 0.0 };
    assert_eq!((none.span(1, 2), none.max_wait()), (None, Micros::MAX));
}
