//! Many limiters on one counter that bears a stated number of calls a second: what they send together, and how soon.

use limeway_call_pacing::*;
use std::collections::VecDeque;

const SECOND: Micros = 1_000_000;
/// How long a call is waited for: the site's.
const LIMIT: Micros = 80_000;
/// Parts of the counter, each with its own line, and the longest line of one, in calls.
const PARTS: usize = 3;
const LINE: usize = 400;

/// What became of the calls of a span of time, all limiters together.
#[derive(Debug, Default, Clone, Copy)]
struct Span {
    wanted: u64,
    sent: u64,
    answered: u64,
    lost: u64,
}

/// A counter: each part serves calls in turn, also those that nobody waits for, and turns some away when its line is long.
struct Counter {
    free_at: [Micros; PARTS],
    lines: [VecDeque<Micros>; PARTS],
}

impl Counter {
    /// When the call is answered or turned away, and whether it was answered.
    fn call(&mut self, now: Micros, part: usize, bears: f64) -> (Micros, bool) {
        let line = &mut self.lines[part];
        while line.front().is_some_and(|&done| done <= now) {
            line.pop_front();
        }
        if line.len() >= LINE || bears <= 0.0 {
            return (now + 2_000, false);
        }
        let work = (SECOND as f64 * PARTS as f64 / bears) as Micros;
        self.free_at[part] = self.free_at[part].max(now) + work;
        line.push_back(self.free_at[part]);
        let took = self.free_at[part] - now + 1_500;
        if took > LIMIT {
            (now + LIMIT, false)
        } else {
            (now + took, true)
        }
    }
}

/// Plays `seconds` with `limiters` of which each wants calls as `wants` (all together, a second) says, on a counter that
/// bears `bears`; both by the second. Gives a span for each second.
fn play(limiters: u32, seconds: u64, wants: impl Fn(u64) -> f64, bears: impl Fn(u64) -> f64) -> Vec<Span> {
    let mut random = 88_172_645_463_325_252u64;
    let mut draw = || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        (random >> 11) as f64 / (1u64 << 53) as f64
    };
    let mut pacers: Vec<Pacer> = (0..limiters).map(|_| Pacer::new(limiters, true, draw(), 0)).collect();
    let mut counter = Counter { free_at: [0; PARTS], lines: Default::default() };
    // Requests that wait for a call, by limiter: each is given up after 400 ms.
    let mut waits: Vec<VecDeque<Micros>> = vec![VecDeque::new(); limiters as usize];
    let mut ends: std::collections::BTreeSet<(Micros, u32, u64, bool)> = Default::default();
    let mut spans = vec![Span::default(); seconds as usize];
    let step = 4_000;
    for now in (0..seconds * SECOND).step_by(step) {
        let second = now / SECOND;
        let span = &mut spans[second as usize];
        while let Some(&(at, n, took, ok)) = ends.first().filter(|e| e.0 <= now) {
            ends.pop_first();
            pacers[n as usize].answered(at, ok, took, LIMIT);
            span.answered += u64::from(ok);
            span.lost += u64::from(!ok);
        }
        let part = wants(second) * step as f64 / SECOND as f64 / f64::from(limiters);
        let from = (draw() * f64::from(limiters)) as u32;
        for n in 0..limiters {
            let n = (n + from) % limiters;
            let (pacer, wait) = (&mut pacers[n as usize], &mut waits[n as usize]);
            let mut due = part;
            while due > 0.0 && draw() < due {
                wait.push_back(now);
                span.wanted += 1;
                due -= 1.0;
            }
            while wait.front().is_some_and(|&since| now > since + 400_000) {
                wait.pop_front();
            }
            while !wait.is_empty() && pacer.ready(now) {
                wait.pop_front();
                pacer.take();
                span.sent += 1;
                let (at, ok) = counter.call(now, (draw() * PARTS as f64) as usize, bears(second));
                ends.insert((at, n, at - now, ok));
            }
        }
    }
    spans
}

/// Calls answered a second over some seconds, as a share of the less of what is wanted and what the counter bears, and the
/// share of the calls sent that was lost.
fn judge(spans: &[Span], wants: f64, bears: f64) -> (f64, f64) {
    let sum = |f: fn(&Span) -> u64| spans.iter().map(f).sum::<u64>() as f64;
    let due = wants.min(bears).min(MAX_PACE) * spans.len() as f64;
    (sum(|s| s.answered) / due, sum(|s| s.lost) / sum(|s| s.sent).max(1.0))
}

/// Guards against growth by the same step for each answer, which with 300 limiters passes what the counter bears before any
/// of them hears of it (a fifth of all calls lost on 800), and against a pace that only losses cut.
#[test]
fn a_fleet_that_starts_all_at_once_finds_what_the_counter_bears() {
    for limiters in [3, 40, 300] {
        for bears in [800.0, 1_600.0] {
            let spans = play(limiters, 12, |_| 4_000.0, |_| bears);
            let (first, lost_first) = judge(&spans[..3], 4_000.0, bears);
            let (later, lost) = judge(&spans[3..], 4_000.0, bears);
            println!("start {limiters} on {bears}: {first:.2} {lost_first:.3}, then {later:.2} {lost:.3}");
            // Few limiters go by losses, and take longer to a large counter.
            let (least, most) = if limiters == 300 { (0.85, 0.02) } else { (0.7, 0.05) };
            assert!(
                first > 0.3 && later > least && lost < most,
                "{limiters} on {bears}: {first} {later} {lost}"
            );
        }
    }
}

/// What the fleet does through a fault, and what is asked of it from a second after the fault's end on: the least share
/// answered of what is due, and the most that is lost.
#[test]
fn after_a_herd_and_on_a_counter_that_gets_slower_goes_and_comes_back_calls_get_through_again() {
    type Rate = fn(u64) -> f64;
    let steady: Rate = |_| 4_000.0;
    let cases: [(&str, Rate, Rate, u64, f64, f64); 4] = [
        ("herd", |s| if (5..8).contains(&s) { 9_000.0 } else { 500.0 }, |_| 900.0, 9, 0.9, 0.02),
        ("slower", steady, |s| if s < 6 { 1_600.0 } else { 700.0 }, 9, 0.7, 0.08),
        ("away", steady, |s| if (5..8).contains(&s) { 0.0 } else { 1_000.0 }, 11, 0.7, 0.05),
        ("faster", steady, |s| if s < 6 { 700.0 } else { 1_600.0 }, 11, 0.75, 0.02),
    ];
    for (name, wants, bears, from, least, most) in cases {
        for limiters in [3, 40, 300] {
            let spans = play(limiters, 16, wants, bears);
            let (answered, lost) = judge(&spans[from as usize..], wants(15), bears(15));
            println!("{name} {limiters}: {answered:.2} {lost:.3}");
            let least = if limiters == 300 { least } else { least - 0.2 };
            assert!(answered > least && lost < most, "{name} {limiters}: {answered} answered, {lost} lost");
        }
    }
}

/// A counter that takes half of the time-out for each call, and has no line: guards against taking the way there for one.
#[test]
fn a_far_counter_is_not_a_crowded_one() {
    let mut pacer = Pacer::new(300, true, 0.0, 0);
    for n in 1..=400u64 {
        pacer.answered(n * 100_000, true, 39_000 + n % 7 * 500, LIMIT);
    }
    assert!(pacer.pace() > 0.99 * MAX_PACE / 300.0, "{}", pacer.pace());
    // The same time as a line on top of two milliseconds.
    pacer.answered(50_000_000, true, 2_000, LIMIT);
    for n in 1..=40u64 {
        pacer.answered(50_000_000 + n * 100_000, true, 39_000, LIMIT);
    }
    assert!(pacer.pace() < 0.2 * MAX_PACE / 300.0, "{}", pacer.pace());
}
