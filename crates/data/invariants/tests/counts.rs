//! Checks are counted, violations are told.

use limeway_invariants::{check, counts, Counts, Invariant};
use rstest::rstest;
use std::collections::BTreeSet;

#[rstest]
fn checks_are_counted_by_how_close_they_were() {
    let invariant = Invariant::ResponseIdentity;
    check(invariant, false, true, || unreachable!("it holds"));
    check(invariant, true, true, || unreachable!("it holds"));
    assert_eq!(counts(invariant), Counts { checked: 2, near: 1, violated: 0 });
}

#[rstest]
fn a_violation_is_counted_and_ends_a_test() {
    let invariant = Invariant::FreshKeys;
    let violated = std::panic::catch_unwind(|| check(invariant, true, false, || "too old".to_owned()));
    assert_eq!(violated.is_err(), cfg!(debug_assertions));
    assert_eq!(counts(invariant), Counts { checked: 1, near: 1, violated: 1 });
}

#[rstest]
fn each_invariant_has_its_place_and_its_name() {
    let names: BTreeSet<&str> = Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    assert!(Invariant::ALL.iter().enumerate().all(|(at, invariant)| *invariant as usize == at));
}
