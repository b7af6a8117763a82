//! What a gateway takes during a shutdown ends before the process does, whatever the grace period.

use limeway_balancer::shutdown::DrainSchedule;
use limeway_types::{Micros, Timestamp, MILLISECOND, SECOND};
use rstest::rstest;

const BEGUN: Timestamp = 7 * SECOND;

#[rstest]
#[case::none(0)]
#[case::very_short(100 * MILLISECOND)]
#[case::short(SECOND)]
#[case::usual(6 * SECOND)]
#[case::long(10 * SECOND)]
#[case::very_long(600 * SECOND)]
fn steps_come_in_order_within_the_grace_period(#[case] grace: Micros) {
    let schedule = DrainSchedule::new(BEGUN, grace);
    let steps = [
        BEGUN,
        schedule.listener_closes_at,
        schedule.latest_deadline,
        schedule.requests_abort_at,
        schedule.exits_at,
        BEGUN + grace,
    ];
    assert!(steps.is_sorted(), "{schedule:?}");
    if grace > 0 {
        assert!(
            schedule.latest_deadline < schedule.requests_abort_at && schedule.exits_at < BEGUN + grace,
            "{schedule:?}"
        );
    }
}

#[test]
fn a_request_is_taken_if_it_ends_before_requests_are_aborted() {
    let schedule = DrainSchedule::new(BEGUN, 6 * SECOND);
    assert!(schedule.admits(schedule.latest_deadline));
    assert!(!schedule.admits(schedule.latest_deadline + 1));
    // A tariff pull of the incident: 5 s, sent 3.26 s after SIGTERM.
    assert!(!schedule.admits(BEGUN + 3_260 * MILLISECOND + 5 * SECOND));
    assert!(schedule.admits(BEGUN + 300 * MILLISECOND + 5 * SECOND));
}
