//! Every sequence of up to three attempts: whether the next one may follow, and what the client is told.

use limeway_load_balancing::attempts::{
    have_no_common_region, AttemptResult, Conclusion, NextStep, RequestAttempts, ResponseHead,
};
use rstest::rstest;
use AttemptResult::{Failed, Final, Moved, NotExecuted, NotSent, Unknown};

const ALL: [AttemptResult; 6] = [NotSent, NotExecuted, Moved, Final, Failed, Unknown];

/// Plays outcomes for as long as the try goes on: those that were played, and whether the last answer went to the client.
fn play(
    outcomes: &[AttemptResult],
    repeatable: bool,
    most: u32,
) -> (RequestAttempts, Vec<AttemptResult>, bool) {
    let mut request = RequestAttempts::new(repeatable, most);
    let mut played = Vec::new();
    for learnt in outcomes {
        if !request.may_continue() {
            break;
        }
        played.push(*learnt);
        match request.record(*learnt) {
            NextStep::Forward => return (request, played, true),
            NextStep::Retry => assert!(request.may_continue()),
            NextStep::Stop => assert!(!request.may_continue()),
        }
    }
    (request, played, false)
}

#[rstest]
fn every_sequence_of_three_keeps_both_promises(
    #[values(true, false)] repeatable: bool,
    #[values(1, 2, 3, 4)] most: u32,
    #[values(true, false)] over: bool,
) {
    let runs = |l: &AttemptResult| matches!(l, Final | Failed | Unknown);
    let mut seen = 0;
    for (a, b, c) in
        ALL.iter().flat_map(|a| ALL.iter().flat_map(move |b| ALL.iter().map(move |c| (*a, *b, *c))))
    {
        let (request, played, passed) = play(&[a, b, c], repeatable, most);
        let of = format!("{played:?} of {a:?} {b:?} {c:?}, most {most}");
        seen += 1;
        // Sent to no more servers than the route allows, and only once where it may have run and must not twice.
        assert!(played.iter().filter(|l| **l != NotSent).count() as u32 <= most, "{of}");
        if !repeatable {
            assert!(!played[..played.len() - 1].iter().any(runs), "sent again: {of}");
        }
        assert_eq!(passed, played.last() == Some(&Final), "{of}");
        if passed {
            continue;
        }
        let ran = played.iter().any(runs);
        assert_eq!(request.may_have_executed(), ran, "{of}");
        let expected = if played.contains(&Failed) {
            Conclusion::Failure
        } else if ran && over {
            Conclusion::TimedOut
        } else if ran {
            Conclusion::Unknown
        } else {
            Conclusion::NotExecuted
        };
        assert_eq!(request.conclude(over), expected, "{of}");
    }
    assert_eq!(seen, 216);
}

#[rstest]
// Two attempts at least while no server has seen it, and none beyond the route's number.
#[case(&[NotSent, NotExecuted], true, 1, 2, false)]
#[case(&[NotSent, NotSent, NotSent], true, 1, 2, false)]
#[case(&[NotSent, NotSent, NotSent, NotSent], true, 3, 3, false)]
#[case(&[NotSent, Unknown, Final], true, 2, 2, false)]
// A server that did not run it may be followed, also by what must not run twice.
#[case(&[NotExecuted, Moved, Final], false, 4, 3, false)]
#[case(&[NotExecuted, Unknown, Final], false, 4, 2, false)]
#[case(&[Unknown, Final], false, 4, 1, false)]
#[case(&[Failed, Final], false, 4, 1, false)]
#[case(&[Unknown, Final], true, 4, 2, true)]
// Left for another only where that would be within the route's attempts.
#[case(&[], true, 2, 0, true)]
#[case(&[NotExecuted], true, 2, 1, false)]
#[case(&[], false, 2, 0, false)]
#[case(&[], true, 1, 0, false)]
fn attempts_go_as_far_as_they_may(
    #[case] outcomes: &[AttemptResult],
    #[case] repeatable: bool,
    #[case] most: u32,
    #[case] played: usize,
    #[case] may_leave: bool,
) {
    let (request, so, _) = play(outcomes, repeatable, most);
    assert_eq!((so.len(), request.may_hedge()), (played, may_leave), "{so:?}");
}

fn head(status: u16, marks: &str) -> ResponseHead {
    ResponseHead {
        status,
        not_executed: marks.contains('n'),
        stamped: marks.contains('s'),
        encoded: marks.contains('e'),
    }
}

/// Marks: `n` for `Limeway-Not-Executed`, `s` for the stamp, `e` for an encoding.
#[rstest]
#[case(200, "s", Final)]
#[case(204, "s", Final)]
#[case(200, "", Unknown)]
#[case(200, "se", Unknown)]
// It contradicts itself: neither an answer nor a leave to send it again.
#[case(200, "sn", Unknown)]
#[case(200, "n", Unknown)]
#[case(302, "", Final)]
#[case(404, "s", Final)]
#[case(400, "n", NotExecuted)]
#[case(408, "s", Unknown)]
#[case(421, "", Moved)]
#[case(421, "n", Moved)]
#[case(429, "s", Unknown)]
#[case(429, "n", NotExecuted)]
#[case(500, "s", Failed)]
#[case(500, "n", NotExecuted)]
#[case(503, "s", Unknown)]
#[case(503, "n", NotExecuted)]
#[case(504, "s", Failed)]
#[case(0, "s", Unknown)]
#[case(101, "s", Unknown)]
#[case(302, "n", Final)]
#[case(600, "sn", Unknown)]
#[case(999, "s", Unknown)]
fn an_answer_teaches(#[case] status: u16, #[case] marks: &str, #[case] learnt: AttemptResult) {
    assert_eq!(head(status, marks).result(), learnt);
}

/// Whatever a server answers: it is passed on as a promise only if it is the server's own, and never sent again otherwise.
#[rstest]
fn no_status_is_passed_on_as_a_promise(#[values("", "s", "n", "sn", "se", "sne")] marks: &str) {
    for status in 0..1_000 {
        let learnt = head(status, marks).result();
        if matches!(learnt, Final | Failed) {
            assert!(![408, 421, 429, 503].contains(&status), "{status} {marks}");
        }
        if matches!(learnt, NotExecuted | Moved) {
            assert!(status == 421 || marks.contains('n') && status >= 400, "{status} {marks}");
        }
    }
}

/// A request that no region may serve is refused at once, with no advice to come back (vrcp-clear fresh-775c).
#[rstest]
#[case(&[], &[], false)]
#[case(&["a", "b"], &[], false)]
#[case(&[], &["c"], false)]
#[case(&["a", "b"], &["b", "c"], false)]
#[case(&["a", "b"], &["c"], true)]
fn homes_without_a_region_in_common_lead_nowhere(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] so: bool,
) {
    let owned = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    assert_eq!(have_no_common_region([&owned(route), &owned(tenant)]), so);
}
