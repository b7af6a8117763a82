//! What the judge takes for a lost request around a stop.

use limeway_soak::fault::Fault;
use limeway_soak::judge::judge;
use limeway_soak::ledger::{End, Execution, Fired, Request, Seen};
use rstest::rstest;
use std::time::Duration;

const GATEWAY: usize = 3;
const STOP: Duration = Duration::from_secs(10);
const ID: u64 = 1;

fn answered(status: u16, is_stamped: bool) -> End {
    End::Response { status, is_own: is_stamped, is_stamped }
}

/// A stop of a gateway, and a request of 5 s to it that began and ended so long after SIGTERM.
fn seen(sent: u64, ended: u64, end: End, executed: bool, broken_off: bool) -> Seen {
    let after_stop = |ms| STOP + Duration::from_millis(ms);
    let mut seen = Seen::default();
    seen.faults.push(Fired { fault: Fault::Terminate(GATEWAY), begun: STOP, ended: after_stop(6_000) });
    let request = Request {
        idempotent: true,
        route: 0,
        key: "key-tight".to_owned(),
        gateway: GATEWAY,
        sent: after_stop(sent),
        deadline: Duration::from_secs(5),
        end: Some((after_stop(ended), end)),
        reused: false,
        padding: 0,
        pipelined: false,
    };
    seen.requests.insert(ID, request);
    if executed {
        seen.executions.push(Execution {
            request: ID,
            server: "i-0-1".to_owned(),
            begun: after_stop(sent),
            ended: Some(after_stop(ended)),
            broken_off,
            is_long: true,
            is_unchanged: true,
        });
    }
    seen
}

fn lost_after_stop(seen: &Seen) -> u64 {
    let findings = judge(seen);
    findings.iter().find(|finding| finding.rule == "LOST, taken after a stop").expect("judged").broken
}

#[rstest]
#[case::the_incident(seen(3_260, 5_632, End::Closed, true, true))]
#[case::read_and_not_passed_on(seen(500, 1_200, End::Closed, false, false))]
#[case::broken_off_for_an_answer_of_our_own(seen(3_260, 5_632, answered(504, false), true, true))]
fn is_lost(#[case] seen: Seen) {
    assert_eq!(lost_after_stop(&seen), 1);
}

#[rstest]
#[case::answered(seen(3_260, 3_900, answered(200, true), true, false))]
#[case::refused(seen(3_260, 3_262, answered(503, false), false, false))]
#[case::its_time_was_over(seen(400, 5_400, answered(504, false), true, true))]
#[case::it_crossed_the_close(seen(3_290, 3_301, End::Closed, false, false))]
#[case::no_connection(seen(3_500, 3_500, End::NotSent, false, false))]
#[case::the_client_left(seen(1_000, 1_200, End::GivenUp, true, true))]
fn is_not_lost(#[case] seen: Seen) {
    assert_eq!(lost_after_stop(&seen), 0);
}
