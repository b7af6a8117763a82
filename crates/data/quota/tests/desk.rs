//! When a limiter asks, what it does with what comes back, and what it says where nothing does.

use limeway_quota::count::Count;
use limeway_quota::desk::{Desk, Errand, Outcome, Why, COMPLAINT, UNIT_WAIT};
use limeway_quota::escrow::{Holder, Take};
use limeway_quota::pace::{BURST, GAP, PAUSE_MOST};
use limeway_quota::{Answer, Micros, Phase, Rule, Span, BLOCK};
use rstest::rstest;
use std::collections::BTreeSet;

const RULE: Rule = Rule { window: 5_000_000, overshoot: 0.1, slack: 20.0 };
const START: Micros = 100_000_000;
const SECOND: Micros = 1_000_000;
const A: Holder = (9, 1);
const B: Holder = (8, 1);

fn span() -> Span {
    RULE.span(100.0, 100.0).expect("limited")
}

fn count(term: u64) -> Count {
    Count::new(START, term, RULE.length(), &BTreeSet::from([0, 1]), true)
}

fn desk(life: u64) -> Desk {
    Desk::new(RULE.length(), life)
}

/// What a holder of a count answers to an errand of a limiter.
fn answers(count: &mut Count, now: Micros, node: u32, errand: &Errand) -> Outcome {
    let answer = |r| count.answer(now, now + BLOCK, node, r, |_| Some(span()));
    Outcome::Answers(errand.requests.iter().filter_map(answer).collect())
}

/// What a holder says that is of no use.
#[derive(Debug, Clone, Copy)]
enum Says {
    NotHeld,
    NotAgreed,
    Nothing,
    NoConnection,
    NotBegun,
    Untold,
    /// It names another life of its count each time.
    OtherLives,
    /// It answers well, and leaves the tenant out.
    NoTenant,
}

impl Says {
    fn outcome(self, errand: &Errand, nth: u64) -> Outcome {
        let answer = |term: u64, phase: u64, unknown: bool| {
            let phase = Phase { term: phase, window: 1, left: 500_000 };
            Outcome::Answers(
                errand
                    .requests
                    .iter()
                    .map(|r| Answer { group: r.group, term, phase, unknown, grants: Vec::new() })
                    .collect(),
            )
        };
        match self {
            Says::NotHeld => Outcome::Answers(Vec::new()),
            Says::NotAgreed => Outcome::NotAgreed,
            Says::Nothing => Outcome::Silent,
            Says::NoConnection => Outcome::Unreachable,
            Says::NotBegun => answer(7, 0, false),
            Says::Untold => answer(7, 7, true),
            Says::OtherLives => answer(nth, nth, true),
            Says::NoTenant => answer(7, 7, false),
        }
    }
}

/// A limiter with two hundred requests a second asks a holder a millisecond away for ten seconds, woken whenever it may be.
#[rstest]
#[case::not_held(Says::NotHeld, PAUSE_MOST)]
#[case::not_agreed(Says::NotAgreed, PAUSE_MOST)]
#[case::silent(Says::Nothing, PAUSE_MOST)]
#[case::unreachable(Says::NoConnection, PAUSE_MOST)]
#[case::not_begun(Says::NotBegun, PAUSE_MOST)]
#[case::untold(Says::Untold, PAUSE_MOST)]
#[case::other_lives(Says::OtherLives, GAP)]
#[case::no_tenant(Says::NoTenant, GAP)]
fn a_holder_that_is_of_no_use_is_asked_at_a_bounded_rate(#[case] says: Says, #[case] gap: Micros) {
    for flips in [false, true] {
        let (mut desk, mut asked, mut under_way) = (desk(5), 0, Vec::<(Micros, Errand)>::new());
        for now in (START..START + 10 * SECOND).step_by(1_000) {
            let holder = Some(if flips && now / 170_000 % 2 == 1 { B } else { A });
            if now % 5_000 == 0 && desk.take(now, "t", 0, holder, span()) == Take::Wait {
                desk.queue(now, "t", span());
            }
            let (errands, _) = desk.look(now, &[holder], true);
            asked += errands.len() as u64;
            under_way.extend(errands.into_iter().map(|e| (now + 1_000, e)));
            for (_, errand) in under_way.extract_if(.., |(at, _)| *at <= now) {
                desk.heard(now, &errand, &says.outcome(&errand, asked + 10));
            }
        }
        let most = if flips { GAP } else { gap };
        assert!(asked <= 10 * SECOND / most + BURST + 1, "{says:?}, flips {flips}: {asked} asks in 10 s");
        assert!(asked >= 10, "{says:?}, flips {flips}: it gives up");
        let held = (UNIT_WAIT / 5_000) as usize + 1;
        assert!(desk.waiting() <= held, "{says:?}: {} requests are held", desk.waiting());
    }
}

/// The trap of issue 40: another machine was taken for the holder for a moment, and from then on no grant was used.
#[rstest]
fn a_holder_that_is_found_again_is_used() {
    let (mut desk, mut count) = (desk(5), count(3));
    for step in 0..1_000u64 {
        let now = START + step * 10_000;
        // The other one is believed in for a tenth of a second.
        let holder = if (50..60).contains(&step) { B } else { A };
        if desk.take(now, "t", 0, Some(holder), span()) == Take::Wait {
            desk.queue(now, "t", span());
        }
        for errand in desk.look(now, &[Some(holder)], true).0 {
            let outcome = match (errand.node, errand.boot) {
                A => answers(&mut count, now, 0, &errand),
                _ => Outcome::Answers(Vec::new()),
            };
            desk.heard(now, &errand, &outcome);
        }
    }
    let held = desk.account(START + 10 * SECOND);
    assert!(!held.contains("left 0 ms"), "{held}");
    assert_eq!(desk.waiting(), 0);
}

/// What limiters see of two core machines while one is cut off.
#[derive(Debug, Clone, Copy)]
struct Cut {
    outcome: fn() -> Outcome,
    flips: u64,
    moves: bool,
}

/// Eight limiters, 20 s without a count, then one on another machine or the same, as far as another region: all lease
/// within 2 s.
#[rstest]
#[case::silent(Cut { outcome: || Outcome::Silent, flips: 0, moves: true })]
#[case::refused(Cut { outcome: || Outcome::Unreachable, flips: 0, moves: true })]
#[case::not_held(Cut { outcome: || Outcome::Answers(Vec::new()), flips: 0, moves: true })]
#[case::not_agreed(Cut { outcome: || Outcome::NotAgreed, flips: 0, moves: true })]
#[case::same_holder(Cut { outcome: || Outcome::Silent, flips: 0, moves: false })]
#[case::two_views(Cut { outcome: || Outcome::Answers(Vec::new()), flips: 170, moves: true })]
fn all_lease_within_two_seconds_of_the_heal(#[case] cut: Cut) {
    const LIMITERS: u32 = 8;
    let doors: BTreeSet<u32> = (0..LIMITERS).collect();
    let mut first = Count::new(START, 3, RULE.length(), &doors, true);
    let mut second = None;
    let (cut_at, heal) = (START + 3 * SECOND, START + 23 * SECOND);
    let mut desks: Vec<Desk> = (0..LIMITERS).map(|n| desk(100 + u64::from(n))).collect();
    let mut leased = vec![None; LIMITERS as usize];
    let mut under_way: Vec<(Micros, u32, Errand)> = Vec::new();
    for now in (START..heal + 3 * SECOND).step_by(2_000) {
        if cut.moves && now == cut_at + 9 * SECOND {
            second = Some(Count::new(now + RULE.length(), 4, RULE.length(), &doors, false));
        }
        let held = if second.is_some() { B } else { A };
        let is_cut = (cut_at..heal).contains(&now);
        let flip = is_cut && cut.flips > 0 && now / 1_000 / cut.flips.max(1) % 2 == 1;
        let holder = if is_cut && !flip { A } else { held };
        for (n, desk) in (0..).zip(&mut desks) {
            if (now / 2_000 + u64::from(n)) % 50 == 0 {
                match desk.take(now, "t", 0, Some(holder), span()) {
                    Take::Wait => {
                        desk.queue(now, "t", span());
                    }
                    Take::Yes if now >= heal => {
                        leased[n as usize].get_or_insert(now - heal);
                    }
                    _ => {}
                }
            }
            let (errands, settled) = desk.look(now, &[Some(holder)], n == 0);
            if now >= heal && settled.iter().any(|(_, r)| r.is_ok()) {
                leased[n as usize].get_or_insert(now - heal);
            }
            let far = if is_cut { 1_000 } else { 1_000 + 20_000 * Micros::from(n) };
            under_way.extend(errands.into_iter().map(|e| (now + far, n, e)));
        }
        for (_, n, errand) in under_way.extract_if(.., |(at, ..)| *at <= now) {
            let count = if held == A { Some(&mut first) } else { second.as_mut() };
            let outcome = match count {
                Some(count) if !is_cut && (errand.node, errand.boot) == held => {
                    answers(count, now, n, &errand)
                }
                _ => (cut.outcome)(),
            };
            let settled = desks[n as usize].heard(now, &errand, &outcome);
            if now >= heal && settled.iter().any(|(_, r)| r.is_ok()) {
                leased[n as usize].get_or_insert(now - heal);
            }
        }
    }
    for (n, after) in leased.iter().enumerate() {
        assert!(after.is_some_and(|t| t <= 2 * SECOND), "{cut:?}: limiter {n} leases after {after:?} us");
    }
}

#[rstest]
fn another_holder_ends_the_pause() {
    let mut desk = desk(5);
    let mut now = START;
    while now < START + 5 * SECOND {
        for errand in desk.look(now, &[Some(A)], true).0 {
            desk.heard(now, &errand, &Outcome::Unreachable);
            // The pause has just begun.
            if now > START + 4 * SECOND {
                assert_eq!(desk.look(now, &[Some(A)], true).0, []);
                let errands = desk.look(now + 1_000, &[Some(B)], true).0;
                assert_eq!(errands.iter().map(|e| e.node).collect::<Vec<_>>(), [B.0]);
                return;
            }
        }
        now += 1_000;
    }
    panic!("it gives up");
}

/// A holder that says no for a second: requests are refused, and one in a while finds out whether that has changed.
#[rstest]
fn requests_are_not_held_for_asks_in_vain() {
    let (mut desk, mut held) = (desk(5), 0);
    for now in (START..START + 5 * SECOND).step_by(5_000) {
        if desk.take(now, "t", 0, Some(A), span()) == Take::Wait {
            desk.queue(now, "t", span());
        }
        for errand in desk.look(now, &[Some(A)], true).0 {
            desk.heard(now, &errand, &Outcome::Answers(Vec::new()));
        }
        if now > START + SECOND {
            held = held.max(desk.waiting());
        }
    }
    assert_eq!(held, 0);
}

/// Five seconds of steady use. When they end.
fn used(desk: &mut Desk, count: &mut Count) -> Micros {
    for now in (START..START + 5 * SECOND).step_by(20_000) {
        if desk.take(now, "t", 0, Some(A), span()) == Take::Wait {
            desk.queue(now, "t", span());
        }
        for errand in desk.look(now, &[Some(A)], true).0 {
            let outcome = answers(count, now, 0, &errand);
            desk.heard(now, &errand, &outcome);
        }
    }
    START + 5 * SECOND
}

/// What is given up is the count's to grant as soon as it hears of it, whether it is heard again or not.
#[rstest]
fn what_is_given_up_is_not_spent() {
    let (mut desk, mut count) = (desk(5), count(3));
    let now = used(&mut desk, &mut count) + 4 * RULE.length();
    let ask = desk.look(now, &[Some(A)], true).0[0].requests[0].asks[0].clone();
    assert_eq!((ask.want, ask.held), (0, 0));
    assert_eq!(desk.take(now, "t", 0, Some(A), span()), Take::Wait);
}

/// The limiter may be in a window that begins only later where the count is: what it has had of it is not free.
#[rstest]
fn what_was_had_of_a_window_is_told_when_less_is_asked_for() {
    let (mut desk, mut count) = (desk(5), count(3));
    let now = used(&mut desk, &mut count) + 4 * RULE.length();
    // Some windows without a request and without a look, and then many at once.
    let taken = (0..60).map(|_| desk.take(now, "t", 0, Some(A), span()));
    let had = taken.filter(|t| *t == Take::Yes).count() as u32;
    let (errands, _) = desk.look(now, &[Some(A)], true);
    let ask = &errands[0].requests[0].asks[0];
    assert!(ask.want > 0 && ask.want < had && ask.held >= had, "{had} had, {ask:?}");
}

#[rstest]
fn a_request_that_is_dropped_is_asked_for_no_more() {
    let (mut desk, mut count) = (desk(5), count(3));
    assert_eq!(desk.take(START, "t", 0, Some(A), span()), Take::Wait);
    let ticket = desk.queue(START, "t", span());
    desk.leave(ticket);
    let mut extra = 0;
    for step in 0..500u64 {
        let now = START + step * 1_000;
        for errand in desk.look(now, &[Some(A)], true).0 {
            extra += errand.requests.iter().flat_map(|r| &r.asks).map(|a| a.extra).sum::<u32>();
            let outcome = answers(&mut count, now, 0, &errand);
            desk.heard(now, &errand, &outcome);
        }
    }
    assert_eq!((extra, desk.waiting()), (0, 0));
}

/// Asks a count until it knows the limiter and has granted what it wants. What the last errand was.
fn lease(desk: &mut Desk, count: &mut Count, now: Micros, node: u32) -> Errand {
    let mut last = None;
    for step in 0..4 {
        let now = now + step * 1_000;
        if desk.take(now, "t", 0, Some(A), span()) == Take::Wait {
            desk.queue(now, "t", span());
        }
        for errand in desk.look(now, &[Some(A)], true).0 {
            let outcome = answers(count, now, node, &errand);
            desk.heard(now, &errand, &outcome);
            last = Some(errand);
        }
    }
    last.expect("it asks")
}

#[rstest]
#[case::windows_are_known(true)]
#[case::windows_are_not_known(false)]
fn a_late_answer_counts_where_windows_are_known(#[case] known: bool) {
    let (mut desk, mut count, mut now) = (desk(5), count(3), START);
    if known {
        lease(&mut desk, &mut count, now, 0);
        now += BLOCK + SECOND;
    }
    desk.take(now, "t", 0, Some(A), span());
    desk.queue(now, "t", span());
    let mut units = 0;
    for _ in 0..3 {
        let (errands, settled) = desk.look(now, &[Some(A)], true);
        units += settled.iter().filter(|(_, r)| r.is_ok()).count();
        let asked = now;
        now += 310_000;
        for errand in errands {
            let outcome = answers(&mut count, asked, 0, &errand);
            units += desk.heard(now, &errand, &outcome).iter().filter(|(_, r)| r.is_ok()).count();
        }
    }
    assert_eq!(units > 0, known);
}

/// A grant that was asked for before another count was told what is held is none that this one knows of.
#[rstest]
fn a_grant_from_before_the_last_telling_is_not_used() {
    let (mut desk, mut old, mut new) = (desk(5), count(3), count(4));
    lease(&mut desk, &mut old, START, 0);
    let now = START + 4 * SECOND;
    // An ask to renew is under way when the count goes to another machine, which is told what is held.
    let (errands, _) = desk.look(now, &[Some(A)], true);
    let outcome = answers(&mut old, now, 0, &errands[0]);
    let mut told = 0;
    for step in 1..4 {
        for errand in desk.look(now + step * 1_000, &[Some(B)], true).0 {
            let outcome = answers(&mut new, now, 0, &errand);
            told += errand.requests.iter().filter(|r| r.holds.is_some()).count();
            desk.heard(now + step * 1_000, &errand, &outcome);
        }
    }
    let before = desk.account(now + 5_000);
    desk.heard(now + 5_000, &errands[0], &outcome);
    assert_eq!((told, desk.account(now + 5_000)), (1, before));
}

#[rstest]
fn an_answer_to_an_ask_before_the_last_is_not_used() {
    let (mut desk, mut count) = (desk(5), count(3));
    lease(&mut desk, &mut count, START, 0);
    let now = START + 4 * SECOND;
    desk.take(now, "t", 0, Some(A), span());
    let first = desk.look(now, &[Some(A)], true).0;
    let late = answers(&mut count, now, 0, &first[0]);
    // It is held to be lost, and is made again.
    let now = now + SECOND / 2;
    desk.take(now, "t", 0, Some(A), span());
    let second = desk.look(now, &[Some(A)], true).0;
    let outcome = answers(&mut count, now, 0, &second[0]);
    desk.heard(now, &second[0], &outcome);
    let before = desk.account(now);
    desk.heard(now, &first[0], &late);
    assert_eq!(desk.account(now), before);
}

#[rstest]
#[case::no_holder(None, None, Why::NoHolder)]
#[case::unreachable(Some(A), Some(Outcome::Unreachable), Why::Unreachable)]
#[case::silent(Some(A), Some(Outcome::Silent), Why::Silent)]
#[case::not_held(Some(A), Some(Outcome::Answers(Vec::new())), Why::NotHeld)]
#[case::not_agreed(Some(A), Some(Outcome::NotAgreed), Why::NotAgreed)]
fn why_it_cannot_lease_is_told_now_and_then(
    #[case] holder: Option<Holder>,
    #[case] outcome: Option<Outcome>,
    #[case] why: Why,
) {
    let (mut desk, mut lines) = (desk(5), Vec::new());
    for now in (START..START + 2 * COMPLAINT).step_by(10_000) {
        if desk.take(now, "t", 0, holder, span()) == Take::Wait {
            desk.queue(now, "t", span());
        }
        for errand in desk.look(now, &[holder], true).0 {
            desk.heard(now, &errand, outcome.as_ref().expect("asked"));
        }
        lines.extend(desk.complaint(now));
    }
    assert!((1..=3).contains(&lines.len()), "{lines:?}");
    let worst = lines.iter().filter(|(line, worse)| *worse && line.contains(&why.to_string()));
    assert!(worst.count() >= 1, "{lines:?}");
}

#[rstest]
fn a_budget_that_is_used_up_is_told() {
    let (mut desk, mut count, mut lines) = (desk(5), count(3), Vec::new());
    for now in (START..START + COMPLAINT + SECOND).step_by(1_000) {
        if desk.take(now, "t", 0, Some(A), span()) == Take::Wait {
            desk.queue(now, "t", span());
        }
        for errand in desk.look(now, &[Some(A)], true).0 {
            let outcome = answers(&mut count, now, 0, &errand);
            desk.heard(now, &errand, &outcome);
        }
        // Those that come before the next ask may be made, and no others.
        assert!(desk.waiting() <= 2 * (GAP / 1_000) as usize, "{} are held", desk.waiting());
        lines.extend(desk.complaint(now));
    }
    assert!(lines.iter().any(|(line, worse)| line.contains(&Why::Dry.to_string()) && !worse), "{lines:?}");
}
