//! Which homes of customers answer.

use limeway_quota_policy::homes::{Homes, WAIT};
use limeway_quota_policy::interface::Micros;

const S: Micros = 1_000_000;

/// Misses one question, asked at `at`.
fn miss(homes: &mut Homes, at: Micros) {
    homes.asked(1, at);
    homes.missed(1, at + WAIT);
}

#[test]
fn a_home_is_left_alone_ever_longer_until_it_answers_and_one_question_at_a_time_finds_out() {
    let mut homes = Homes::default();
    miss(&mut homes, S);
    assert!(homes.there(1, S + WAIT, false), "one message may be lost");
    miss(&mut homes, 2 * S);
    let mut at = 2 * S + WAIT;
    for rest in [1, 2, 4, 8, 8] {
        assert!(
            !homes.there(1, at + rest * S - 1, false) && homes.there(1, at + rest * S, false),
            "{rest} s"
        );
        homes.asked(1, at + rest * S);
        assert!(!homes.there(1, at + rest * S + WAIT - 1, false), "another goes on without it");
        assert!(homes.there(1, at + rest * S + WAIT - 1, true), "who asked waits");
        homes.missed(1, at + rest * S + WAIT);
        at += rest * S + WAIT;
    }
    homes.answered(1);
    assert!(homes.there(1, at, false));
    miss(&mut homes, at);
    assert!(homes.there(1, at + WAIT, false), "it begins anew");
}

#[test]
fn what_a_home_says_of_its_own_accord_is_no_answer_but_shortens_the_wait() {
    let mut homes = Homes::default();
    for _ in 0..2 {
        miss(&mut homes, S);
    }
    homes.spoke(1);
    assert!(!homes.there(1, 2 * S, false), "it may be heard and not hear");
    assert!(homes.there(1, 2 * S + WAIT, false));
    miss(&mut homes, 2 * S + WAIT);
    assert!(!homes.there(1, 4 * S, false));
    homes.spoke(1);
    assert!(homes.there(1, 4 * S, false), "it lives: a second after the last miss it is asked again");
}

#[test]
fn questions_that_were_out_together_are_one_sign() {
    let mut homes = Homes::default();
    (0..20).for_each(|n| homes.missed(1, S + n));
    assert!(homes.there(1, 2 * S + 20, false));
}
