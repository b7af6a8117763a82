//! Arrivals follow their law, and a stall is not hidden.

use limeway_load_generator::arrivals::{Arrivals, Shape};
use limeway_load_generator::tally::{Account, End};
use rstest::rstest;

const SECOND: u64 = 1_000_000;

/// Arrivals by chance at a steady rate: the mean gap is 1/rate, and gaps spread as much as their mean.
#[rstest]
#[case(20.0)]
#[case(400.0)]
fn gaps_have_the_mean_and_the_spread_of_chance(#[case] rate: f64) {
    let times: Vec<u64> = Arrivals::new(rate, Shape::Steady, 7).take(20_000).collect();
    let gaps: Vec<f64> = times.windows(2).map(|w| (w[1] - w[0]) as f64 / 1e6 * rate).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let spread = (gaps.iter().map(|g| (g - mean).powi(2)).sum::<f64>() / gaps.len() as f64).sqrt();
    // Four standard errors of 20,000 gaps.
    assert!((mean - 1.0).abs() < 0.03 && (spread - 1.0).abs() < 0.06, "mean {mean}, spread {spread}");
}

#[rstest]
fn a_wave_and_a_burst_move_the_rate_as_they_say() {
    let count = |shape, from: u64, to: u64| {
        let all = Arrivals::new(1_000.0, shape, 3).take_while(|t| *t < 20 * SECOND);
        all.filter(|t| (from * SECOND..to * SECOND).contains(t)).count() as f64 / (to - from) as f64
    };
    let wave = Shape::Wave { swing: 0.5, period: 20 * SECOND };
    let (up, down) = (count(wave, 0, 10), count(wave, 10, 20));
    // Half a period of a sine has 2/pi of its swing in the mean.
    assert!((up - 1_318.0).abs() < 60.0 && (down - 682.0).abs() < 60.0, "{up} and {down}");
    let burst = Shape::Burst { times: 4.0, from: 5 * SECOND, length: 2 * SECOND };
    let (within, without) = (count(burst, 5, 7), count(burst, 8, 20));
    assert!((within - 4_000.0).abs() < 250.0 && (without - 1_000.0).abs() < 50.0, "{within} and {without}");
}

#[rstest]
fn a_seed_repeats_its_arrivals() {
    let times = |seed| Arrivals::new(50.0, Shape::Steady, seed).take(100).collect::<Vec<_>>();
    assert_eq!(times(1), times(1));
    assert_ne!(times(1), times(2));
}

/// A system that stands still for two seconds of ten and answers all at once afterwards: a fifth of the requests waited, a
/// tenth of them longer than a second.
#[rstest]
fn a_stall_shows_in_all_that_were_due_in_it() {
    let mut account = Account::default();
    for due in (0..10 * SECOND).step_by(10_000) {
        let stalled = (4 * SECOND..6 * SECOND).contains(&due);
        account.ended(due, if stalled { 6 * SECOND } else { due + 1_000 }, End::Served, 1);
    }
    assert!(account.within(0.75) < 2.0);
    assert!((account.within(0.9) - 1_000.0).abs() < 30.0, "{}", account.within(0.9));
    assert!(account.within(0.99) > 1_850.0);
}
