//! The bound of quotas over any span, with limiters, counts that change hands, and answers that are late or lost.

use limeway_toll::count::Count;
use limeway_toll::escrow::{Escrow, Take};
use limeway_toll::{Answer, Micros, Request, Rule, Span, BLOCK};
use rstest::rstest;
use std::collections::BTreeSet;

const RULE: Rule = Rule { window: 5_000_000, overshoot: 0.1, slack: 20.0 };
const DOORS: usize = 6;

struct Chance(u64);

impl Chance {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }
}

/// What happens beside the traffic.
#[derive(Debug, Clone, Copy, Default)]
struct Day {
    /// The holder dies about each so many milliseconds; 0 for never.
    holder_dies: u64,
    /// Limiters die, and start anew with nothing.
    doors_die: bool,
    /// Two limiters cannot reach the next holder for some seconds, and go on with what they have.
    cut: bool,
    /// With the holder all limiters end, and start anew.
    all: bool,
    /// Guard off: a new holder takes all limiters to hold nothing.
    forgets: bool,
    /// Guard off: a new holder begins at once.
    at_once: bool,
}

/// Plays a minute of one tenant at some multiple of its rate. The most that any span of the rule's window let in, and the
/// share of the tenant's requests that were let in.
fn play(seed: u64, rate: f64, load: f64, day: Day) -> (u32, f64) {
    let span: Span = RULE.span(rate, rate).expect("limited");
    let mut chance = Chance(seed);
    // Each limiter's clock is off by its own amount.
    let offset: Vec<Micros> = (0..DOORS).map(|_| 1_000_000_000 + chance.below(5_000_000)).collect();
    let doors: BTreeSet<u32> = (0..DOORS as u32).collect();
    let mut now: Micros = 2_000_000_000;
    let mut boot = 1u64;
    let mut count = Count::new(now, boot, RULE.length(), &doors, true);
    let mut escrows: Vec<Escrow> = (0..DOORS).map(|_| Escrow::new(RULE.length())).collect();
    // Requests and answers under way, with the time at which they arrive.
    let mut asks: Vec<(Micros, usize, Micros, u64, Request)> = Vec::new();
    let mut answers: Vec<(Micros, usize, Micros, u64, Request, Answer)> = Vec::new();
    let mut waiting: Vec<(Micros, usize)> = Vec::new();
    let mut passed: Vec<Micros> = Vec::new();
    let (mut wanted, mut holder_gone, mut cut_until) = (0u32, 0, 0);
    let end = now + 60_000_000;
    let gap = (1e6 / (rate * load)) as u64;
    let mut next = now;
    while now < end {
        now += 2_000;
        if day.holder_dies > 0 && chance.below(day.holder_dies / 2) == 0 && holder_gone == 0 {
            // The next holder starts once the last one has surely ended, and one window later.
            boot += 1;
            let start = if day.at_once { now } else { now + RULE.length() };
            count = Count::new(start, boot, RULE.length(), &doors, day.forgets);
            asks.clear();
            holder_gone = 200;
            if day.all {
                escrows.iter_mut().for_each(|e| *e = Escrow::new(RULE.length()));
                waiting.clear();
                answers.clear();
            }
            cut_until = if day.cut { now + 6_000_000 } else { 0 };
        }
        holder_gone = u64::saturating_sub(holder_gone, 1);
        if day.doors_die && chance.below(3_000) == 0 {
            let at = chance.below(DOORS as u64) as usize;
            escrows[at] = Escrow::new(RULE.length());
            waiting.retain(|(_, d)| *d != at);
            answers.retain(|a| a.1 != at);
        }
        while next <= now {
            next += gap / 2 + chance.below(gap.max(1));
            wanted += 1;
            let at = chance.below(DOORS as u64) as usize;
            match escrows[at].take(now + offset[at], "t", 0, Some((9, boot)), span) {
                Take::Yes => passed.push(now),
                Take::Wait => waiting.push((now + 400_000, at)),
                Take::Dry(_) => {}
            }
        }
        for (at, escrow) in escrows.iter_mut().enumerate() {
            for (_, requests) in escrow.asks(now + offset[at], &[Some((9, boot))], at == 0) {
                for request in requests {
                    if chance.below(20) > 0 && !(at < 2 && now < cut_until) {
                        asks.push((now + 500 + chance.below(60_000), at, now, boot, request));
                    }
                }
            }
        }
        let (due, later) = asks.drain(..).partition(|a| a.0 <= now);
        asks = later;
        for (_, at, asked, to, request) in due {
            if to != boot || !doors.contains(&(at as u32)) {
                continue;
            }
            if let Some(blocks) = &request.holds {
                count.tell(now, at as u32, blocks);
            }
            let unknown = !count.knows(at as u32);
            let open = count.start() <= now;
            let grants = request.asks.iter().filter(|_| !unknown && open);
            let grants = grants.map(|ask| count.ask(now, now + BLOCK, at as u32, ask, span)).collect();
            let phase = if open {
                count.phase(now)
            } else {
                limeway_toll::Phase { term: 0, window: 0, left: count.start() - now }
            };
            let answer = Answer { group: 0, phase, unknown, grants };
            if chance.below(20) > 0 {
                answers.push((now + 500 + chance.below(160_000), at, asked, to, request, answer));
            }
        }
        let (due, later) = answers.drain(..).partition(|a| a.0 <= now);
        answers = later;
        for (_, at, asked, to, request, answer) in due {
            let (here, asked) = (now + offset[at], asked + offset[at]);
            escrows[at].granted(here, asked, (9, to), &request, &answer);
            escrows[at].lost(&request.asks);
        }
        let mut left = Vec::new();
        for (until, at) in waiting.drain(..) {
            match escrows[at].waited(now + offset[at], "t", span, until <= now) {
                Take::Yes => passed.push(now),
                Take::Wait => left.push((until, at)),
                Take::Dry(_) => {}
            }
        }
        waiting = left;
    }
    passed.sort_unstable();
    let (mut most, mut from) = (0, 0);
    for to in 0..passed.len() {
        while passed[to] - passed[from] > RULE.window {
            from += 1;
        }
        most = most.max((to - from + 1) as u32);
    }
    (most, passed.len() as f64 / f64::from(wanted.max(1)))
}

fn allowed(rate: f64) -> u32 {
    ((rate * 5.0 + rate) * 1.1 + 20.0) as u32
}

#[rstest]
#[case::calm(0.7, Day::default())]
#[case::hot(6.0, Day::default())]
#[case::hot_with_new_limiters(6.0, Day { doors_die: true, ..Day::default() })]
#[case::hot_with_new_holders(6.0, Day { holder_dies: 9_000, ..Day::default() })]
#[case::hot_with_all_ending_together(6.0, Day { holder_dies: 4_000, all: true, ..Day::default() })]
#[case::hot_with_cut_limiters(6.0, Day { holder_dies: 9_000, cut: true, ..Day::default() })]
#[case::hot_with_all(6.0, Day { holder_dies: 9_000, doors_die: true, cut: true, ..Day::default() })]
fn no_span_lets_in_more_than_the_rule(#[case] load: f64, #[case] day: Day) {
    for (seed, rate) in (0..12).flat_map(|s| [(s, 4.0), (s, 40.0)]) {
        let (most, _) = play(seed, rate, load, day);
        assert!(most <= allowed(rate), "seed {seed}, rate {rate}: {most} of {}", allowed(rate));
    }
}

#[rstest]
fn nearly_all_below_the_quota_is_let_in() {
    for seed in 0..6 {
        let (_, share) = play(seed, 40.0, 0.6, Day::default());
        assert!(share > 0.98, "seed {seed}: {share}");
    }
}

#[rstest]
fn most_is_let_in_while_holders_change() {
    let day = Day { holder_dies: 15_000, ..Day::default() };
    let shares: Vec<f64> = (0..6).map(|seed| play(seed, 40.0, 0.6, day).1).collect();
    assert!(shares.iter().sum::<f64>() / 6.0 > 0.93, "{shares:?}");
}

/// Each guard is needed: without it, days pass the bound.
#[rstest]
#[case::a_holder_that_takes_nothing_to_be_out(Day { forgets: true, cut: true, holder_dies: 9_000, ..Day::default() })]
#[case::a_holder_that_begins_at_once(Day { at_once: true, all: true, holder_dies: 2_000, ..Day::default() })]
fn without_its_guard_a_new_holder_grants_twice(#[case] day: Day) {
    let over = (0..12).filter(|seed| play(*seed, 40.0, 6.0, day).0 > allowed(40.0)).count();
    assert!(over > 0, "no day passes the bound");
}
