//! What the history tells, case by case, and properties over many limiters on one counter that is replaced.

use limeway_counter_recovery::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const END: Micros = 10_000_000;

fn count(name: u64) -> Count {
    Count { name, of: name + 100, window: 0, begins: 0, ends: END, budget: 100.0 }
}

fn fresh() -> Recovery {
    Recovery::new(0, 1, false, END, 0)
}

/// A call for new units alone, with the total that comes back.
fn add(r: &mut Recovery, now: Micros, name: u64, amount: f64, total: f64) -> Heard {
    r.answered(now, count(name), (amount, 0.0), Answer::Total(total), 0.1)
}

#[test]
fn a_counter_with_all_its_numbers_changes_nothing() {
    let mut r = fresh();
    for n in 1..=10 {
        let heard = add(&mut r, n * 1_000, 7, 2.0, n as f64 * 3.0);
        assert!(heard.grants && heard.verdict.is_none());
        assert_eq!(heard.before, n as f64 * 3.0 - 2.0);
    }
    assert_eq!((r.state(), r.losses(), r.debt(7)), (State::Well, 0, 0.0));
}

#[test]
fn one_that_came_back_empty_is_found_out_by_its_first_total() {
    let mut r = fresh();
    add(&mut r, 1_000, 7, 4.0, 12.0);
    add(&mut r, 2_000, 8, 3.0, 3.0);
    let heard = add(&mut r, 3_000, 7, 1.0, 1.0);
    assert!(!heard.grants, "nothing is granted by it");
    assert_eq!(heard.before, 12.0, "what was known stands");
    let verdict = heard.verdict.expect("told");
    assert_eq!((verdict.to, verdict.loss), (State::Settling, Some((Loss::Empty, 12.0, 0.0))));
    assert_eq!(r.debt(7), 4.0, "its own adds are to be entered again, but for the one that is there");
    assert_eq!(r.debt(8), 3.0, "also to names that have not been called since");
    assert!(r.settling(3_000, 0) && !r.settling(3_000 + SETTLE, 0));
    assert!(!r.settling(3_001, 3_001), "windows that begin later know nothing of it");
}

#[test]
fn debts_are_entered_once_and_the_count_is_trusted_after_settling() {
    let mut r = fresh();
    add(&mut r, 1_000, 7, 4.0, 12.0);
    add(&mut r, 2_000, 7, 1.0, 1.0);
    assert_eq!(r.debt(7), 4.0);
    // The debt alone; others have entered 8 by then.
    let heard = r.answered(3_000, count(7), (4.0, 4.0), Answer::Total(13.0), 0.1);
    assert!(!heard.grants && heard.verdict.is_none(), "still settling, told once");
    assert_eq!(r.debt(7), 0.0);
    let heard = add(&mut r, 3_000 + SETTLE, 7, 2.0, 15.0);
    assert!(heard.grants);
    assert_eq!((heard.before, r.state()), (13.0, State::Well));
}

#[test]
fn a_second_loss_within_the_settling_of_the_first_leaves_the_debts() {
    let mut r = fresh();
    add(&mut r, 1_000, 7, 4.0, 4.0);
    add(&mut r, 2_000, 7, 1.0, 1.0);
    // Replaced again before the debt was entered: the total is that of this call alone.
    let heard = r.answered(3_000, count(7), (4.0, 4.0), Answer::Total(4.0), 0.1);
    assert_eq!(heard.before, 1.0, "five in all, four of them just added");
    assert_eq!((r.losses(), r.debt(7)), (2, 1.0), "and one is owed");
}

#[test]
fn news_of_a_loss_counts_once_and_makes_all_adds_debts() {
    let mut r = fresh();
    add(&mut r, 1_000, 7, 4.0, 4.0);
    let verdict = r.hear(2_000, 500).expect("told");
    assert_eq!((verdict.to, r.debt(7), r.owing(2_000, 9)), (State::Settling, 4.0, vec![107]));
    assert!(r.hear(3_000, 0).is_none(), "the same loss, from another");
    assert_eq!(r.losses(), 1);
    assert!(r.hear(END, SETTLE + 1).is_none(), "one of long ago");
    assert!(r.owing(END, 9).is_empty(), "nothing is owed to a window that is over");
}

#[test]
fn a_name_of_a_new_window_is_no_loss() {
    let mut r = fresh();
    add(&mut r, 1_000, 7, 4.0, 12.0);
    let next = Count { name: 8, of: 107, window: 1, begins: END, ends: 2 * END, budget: 100.0 };
    let heard = r.answered(END + 5, next, (1.0, 0.0), Answer::Total(1.0), 0.1);
    assert!(heard.grants && heard.verdict.is_none());
    assert_eq!(r.names(), 1, "the old one is forgotten at its end");
}

#[test]
fn silence_and_refusals_are_told_apart_and_told_once() {
    for (answer, state) in [(Answer::Silent, State::Silent), (Answer::Refused, State::Refusing)] {
        let mut r = fresh();
        let told: Vec<_> = (0..10)
            .filter_map(|n| r.answered(n * MISS_APART, count(7), (1.0, 0.0), answer, 1.0).verdict)
            .collect();
        assert_eq!(told.len(), 1);
        assert_eq!((told[0].from, told[0].to), (State::Well, state));
        let back = add(&mut r, 10 * MISS_APART, 7, 1.0, 1.0);
        assert_eq!(back.verdict.map(|v| v.to), Some(State::Well));
    }
    // Calls that are lost together say no more than one: a counter that is only crowded loses many at a time.
    let mut r = fresh();
    let burst =
        (0..40).filter_map(|n| r.answered(n, count(7), (1.0, 0.0), Answer::Silent, 1.0).verdict).count();
    assert_eq!((burst, r.state()), (0, State::Well));
    let mut r = fresh();
    let mut told = 0;
    for n in 0..100u32 {
        let total = f64::from(n + 1);
        let heard = r.answered(u64::from(n), count(7), (1.0, 0.0), Answer::Total(total), 0.9);
        told += usize::from(heard.verdict.is_some());
    }
    assert_eq!((r.state(), told), (State::Slow, 1));
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut r = fresh();
    for name in 0..(MAX_NAMES as u64 + 500) {
        r.answered(
            1,
            Count { name, of: 0, window: 0, begins: 0, ends: 1_000_000 + name, budget: 100.0 },
            (1.0, 0.0),
            Answer::Total(1.0),
            0.1,
        );
    }
    assert_eq!(r.names(), MAX_NAMES);
    r.forget(u64::MAX);
    assert_eq!(r.names(), 0);
}

proptest! {
    /// Limiters add to one count in any order; it is emptied somewhere, and who finds out tells the others. None that
    /// has history ever takes the total before its call for less than it knew, and once all have entered their debts
    /// the count lacks nothing. (A loss may hide behind what others add to this one count meanwhile; other counts show
    /// it then.)
    #[test]
    fn nothing_known_is_granted_again_and_debts_make_the_count_whole(
        steps in prop::collection::vec((0usize..4, 1u32..5), 5..60),
        lost in 0usize..60,
    ) {
        let mut limiters: Vec<Recovery> = (0..4).map(|_| fresh()).collect();
        let (mut total, mut truth, mut known) = (0.0, 0.0, BTreeMap::new());
        let (mut now, mut calls, mut found) = (0, steps.clone(), false);
        // Each calls twice more: to find out, and to enter what it owes.
        calls.extend((0..8).map(|n| (n % 4, 0)));
        for (at, (who, fresh)) in calls.iter().enumerate() {
            if at == lost {
                total = 0.0;
            }
            now += 1_000;
            let r = &mut limiters[*who];
            let (debt, fresh) = (r.debt(9), f64::from(*fresh));
            total += fresh + debt;
            truth += fresh;
            let heard = r.answered(now, count(9), (fresh + debt, debt), Answer::Total(total), 0.1);
            if let Some(before) = known.insert(*who, r.least(9)) {
                prop_assert!(heard.before + debt >= before - 1e-6, "{} after {}", heard.before, before);
            }
            if heard.verdict.is_some_and(|v| v.loss.is_some()) {
                limiters.iter_mut().for_each(|r| { r.hear(now, 0); });
                found = true;
            }
        }
        prop_assert!(lost >= steps.len() || !found || total >= truth - 1e-6, "{total} of {truth}");
    }
}
