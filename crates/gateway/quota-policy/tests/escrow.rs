//! The ordinary path: leases, local spending, forfeits, and what happens when the counter is away.

mod common;
use common::*;
use limeway_quota_policy::*;

/// A life after which a gateway has earned its whole split: one that has just started cannot know what it spent before.
const AGED: Micros = 30 * S;

/// First attempts sent so far.
fn total_sent(host: &Host) -> usize {
    host.sends.iter().filter(|s| s.2 == 0).count()
}

#[test]
fn a_request_is_sent_only_after_its_lease() {
    let mut host = Host::new(settings(), 4);
    host.ask(1, 0, 0, 4 * S);
    assert!(host.sent(1).is_empty());
    assert_eq!(host.calls.len(), 1);
    host.wait(5 * MS);
    assert_eq!(host.sent(1).len(), 1);
}

#[test]
fn one_lease_call_is_in_flight_for_a_customer() {
    let mut host = Host::new(settings(), 4);
    for id in 0..4 {
        host.ask(id, 0, 0, 4 * S);
    }
    assert_eq!(host.calls.len(), 1);
    host.wait(5 * MS);
    assert_eq!(host.calls.len(), 2, "what waited is leased with one further call");
    assert_eq!(host.calls[1].2, 3.0);
}

#[test]
fn a_budget_that_others_took_refuses_at_once() {
    let mut host = Host::new(settings(), 4);
    host.ask(1, 0, 0, 4 * S);
    let name = host.calls[0].1;
    *host.counts.borrow_mut().get_mut(&name).expect("a count") += 100.0;
    let counted = Event::Counted { name, status: Status::Ok, total: 101.0, latency: MS };
    host.give(counted);
    assert!(host.refused(1));
    assert!(host.sent(1).is_empty());
}

#[test]
fn use_stays_inside_the_quota_over_a_long_run() {
    let mut host = Host::new(settings(), 4);
    host.serve = (0..4).collect();
    let start = host.now;
    for id in 0..800 {
        host.ask(id, 0, 0, 4 * S);
        host.wait(25 * MS);
    }
    let passed = (host.now - start) as f64 / S as f64;
    let allowed = 8.0 + 4.0 * passed;
    assert!(total_sent(&host) as f64 <= allowed + 1.0, "{} of {allowed}", total_sent(&host));
    assert!(total_sent(&host) as f64 >= 0.7 * allowed, "{} of {allowed}", total_sent(&host));
}

#[test]
fn with_a_silent_counter_it_spends_its_even_split_and_then_refuses() {
    let mut host = Host::new(settings(), 4);
    host.wait(AGED);
    host.mode = CounterMode::Silent;
    // A window has to begin in which the others leave this gateway its share.
    host.wait(4 * S);
    for id in 0..10 {
        host.ask(id, 0, 0, 4 * S);
    }
    host.wait(S);
    // Half of a burst of eight, and two units a second for the 0.4 s that a request waits.
    assert!((4..=5).contains(&total_sent(&host)), "{}", total_sent(&host));
    assert_eq!((0..10).filter(|id| host.refused(*id)).count(), 10 - total_sent(&host));
}

/// Guards against a fresh share for each life: a gateway that is killed and started while the counter is away would
/// spend its even split anew each time.
#[test]
fn one_that_starts_while_the_counter_is_silent_spends_only_what_it_has_earned_since() {
    let mut host = Host::new(settings(), 4);
    host.mode = CounterMode::Silent;
    for id in 0..10 {
        host.ask(id, 0, 0, 4 * S);
    }
    host.wait(S);
    // Two units a second for the 0.4 s that a request waits.
    assert!(total_sent(&host) <= 1, "{}", total_sent(&host));
}

/// Guards against a second grant of what a counter has forgotten: the total that was known stands, the own adds are
/// entered again, and a window that begins later is leased as ever.
#[test]
fn a_counter_that_lost_its_numbers_grants_nothing_twice() {
    let mut host = Host::new(settings(), 4);
    host.serve = (0..4).collect();
    host.wait(AGED);
    // A window begins with the first call that has a new name.
    let mut id = 0;
    let mut ask = |host: &mut Host| {
        id += 1;
        host.ask(id, 0, 0, 4 * S);
        host.wait(300 * MS);
        host.calls.last().map(|c| c.1)
    };
    let first = ask(&mut host);
    while ask(&mut host) == first {}
    ask(&mut host);
    let sent = total_sent(&host);
    let name = host.calls.last().expect("a call").1;
    let known = host.counts.borrow()[&name];
    assert_eq!(known, 2.0);
    host.counts.borrow_mut().clear();
    ask(&mut host);
    ask(&mut host);
    assert!(
        host.counts.borrow()[&name] >= known + 1.0,
        "{} of {known} is entered again",
        host.counts.borrow()[&name]
    );
    host.wait(10 * S);
    for id in 30..34 {
        host.ask(id, 0, 0, 4 * S);
        host.wait(50 * MS);
    }
    assert!(total_sent(&host) >= sent + 4, "later windows are leased as ever");
}

#[test]
fn a_silent_counter_is_ridden_out_on_the_even_split_across_window_edges() {
    let mut host = Host::new(settings(), 4);
    host.serve = (0..4).collect();
    host.ask(1, 0, 0, 4 * S);
    host.wait(S);
    for mode in [CounterMode::Silent, CounterMode::Refuses] {
        host.mode = mode;
        let before = total_sent(&host);
        let start = host.now;
        for id in 0..200 {
            host.ask(1_000 + start + id, 0, 0, 4 * S);
            host.wait(50 * MS);
        }
        // Ten seconds at two units a second, the even split between two doors, and its burst of four.
        let sent = total_sent(&host) - before;
        assert!(sent >= 8, "served from the split: {sent}");
        assert!(sent <= 25, "no more than the split: {sent}");
    }
}

#[test]
fn count_names_are_the_same_at_every_gateway_and_in_every_build() {
    let mut one = Host::new(settings(), 2);
    let mut other = Host::new(Settings { gateways: 5, ..settings() }, 3);
    one.ask(1, 0, 0, 4 * S);
    other.ask(9, 1, 0, 4 * S);
    assert_eq!(one.calls[0].1, other.calls[0].1);
    assert!(one.calls[0].1 < 1 << 63);
}

#[test]
fn a_site_without_a_counter_makes_no_calls_and_keeps_a_share() {
    let mut host = Host::new(Settings { counter: None, ..settings() }, 4);
    for id in 0..100 {
        host.ask(id, 0, 0, 4 * S);
    }
    host.wait(S);
    assert!(host.calls.is_empty());
    assert!((1..=8).contains(&total_sent(&host)), "{}", total_sent(&host));
}

#[test]
fn idle_customers_are_forgotten() {
    let mut host = Host::new(settings(), 2);
    host.ask(1, 0, 0, 2 * S);
    host.wait(MS * 10);
    host.done(1, 0, host.sent(1)[0], Status::Ok);
    host.wait(120 * S);
    let (woken, from) = (host.all.len(), host.now);
    host.wait(10 * S);
    let calls = host.calls.iter().filter(|c| c.0 > from).count();
    // A timer, a mark and a reading for each half second.
    assert!(calls == 0 && host.all.len() - woken <= 60, "nothing held: {}", host.all.len() - woken);
    let mut alone = Host::new(Settings { gateways: 1, ..settings() }, 2);
    alone.wait(S);
    assert!(alone.timers.is_empty() && alone.calls.is_empty(), "nobody to show itself to");
}

#[test]
fn hundreds_of_gateways_keep_their_calls_within_what_a_small_counter_takes() {
    let set = Settings { gateways: 200, ..settings() };
    let mut hosts: Vec<Host> = (0..200).map(|n| Host::seeded(set.clone(), 4, n * 77)).collect();
    let (mut offered, mut answered) = (0, 0);
    for step in 0..2_000u64 {
        // The counter answers three calls in ten milliseconds; what comes on top is lost.
        let mut room = 3;
        for n in 0..200 {
            let host = &mut hosts[(n + step as usize * 7) % 200];
            if (step + n as u64).is_multiple_of(20) {
                let (customer, units, doors) = (format!("club{}", step % 90), 1.0, 50);
                let id = step;
                let (class, plan, left) = (0, 0, S);
                host.give(Event::Request(Demand { id, class, plan, customer, left, units, doors, first: 0 }));
            }
            let before = host.calls.len();
            host.mode = if room > 0 { CounterMode::Answers } else { CounterMode::Silent };
            host.wait(10 * MS);
            let calls = host.calls.len() - before;
            room -= calls.min(room);
            if step >= 500 {
                offered += calls;
                answered += if host.mode == CounterMode::Answers { calls } else { 0 };
            }
        }
    }
    // Fifteen seconds of a thousand requests a second against 300 calls a second.
    assert!(offered <= 15 * 450, "{offered} calls");
    assert!(answered >= 15 * 120, "{answered} answered of {offered}");
}

/// Guards against units that the count never hears of: what was spent while the counter was silent is added with
/// the next call, and no escrow is taken from it.
#[test]
fn what_was_spent_without_a_lease_is_owed_to_the_count() {
    let mut host = Host::new(settings(), 4);
    host.wait(AGED);
    host.mode = CounterMode::Silent;
    host.wait(4 * S);
    host.ask(1, 0, 0, 4 * S);
    host.wait(60 * MS);
    assert_eq!(host.sent(1).len(), 1, "the even split is spent without the counter");
    host.mode = CounterMode::Answers;
    for id in 2..12 {
        host.ask(id, 0, 0, 4 * S);
        host.wait(20 * MS);
    }
    let last = host.calls.last().expect("a call").1;
    let first = host.calls.iter().position(|c| c.1 == last && c.2 > 1.0).expect("a call that adds a debt");
    assert!(host.calls[first].2 >= 2.0, "{:?}", host.calls);
    assert_eq!(host.counts.borrow()[&last], total_sent(&host) as f64, "all that was sent on is on the count");
}

/// Guards against a pace that a counter with room for less than a call for three requests can never follow: most
/// calls were lost, and each took its turn all the same.
#[test]
fn a_counter_that_loses_calls_is_asked_ever_less() {
    let mut host = Host::new(settings(), 4);
    (host.mode, host.serve) = (CounterMode::Silent, (0..4).collect());
    for id in 0..2_000 {
        let customer = format!("choir {}", id % 29);
        let (class, plan, left, units, doors, first) = (0, 0, 4 * S, 1.0, 2, 0);
        host.give(Event::Request(Demand { id, class, plan, customer, left, units, doors, first }));
        host.wait(10 * MS);
    }
    let late = host.now - 10 * S;
    let calls = host.calls.iter().filter(|c| c.0 > late).count();
    assert!((20..=150).contains(&calls), "{calls} calls in 10 s");
}

/// Guards against a call to the counter, and a wait for it, with each request of a customer that comes steadily and is well
/// within its quota; and against units leased ahead that one close to its quota would miss.
#[test]
fn units_are_leased_ahead_for_those_well_within_their_quotas() {
    let steady = |host: &mut Host, ids: std::ops::Range<u64>, gap: u64| {
        let before = host.calls.len();
        for id in ids {
            host.ask(id, 0, 0, 4 * S);
            host.wait(gap);
        }
        host.calls.len() - before
    };
    // Without it, each request pays a call.
    for (ahead, most) in [(true, 22), (false, 30)] {
        let mut host = Host::new(settings(), 1);
        host.gateway.lease_ahead(ahead);
        host.serve = (0..4).collect();
        host.wait(AGED);
        // One unit a second of two that the quota gives: the store stays full.
        let within = steady(&mut host, 100..130, S);
        assert!(within <= most && (ahead || within == 30), "{within} calls for 30 requests within the quota");
        host.wait(10 * S);
        // Four a second: the store is empty, and what is let in is leased unit by unit.
        let held = total_sent(&host);
        let beyond = steady(&mut host, 200..260, 250 * MS);
        let sent = total_sent(&host) - held;
        assert!(beyond + 6 >= sent, "{beyond} calls for {sent} that were sent on beyond the quota");
    }
}

/// Guards against units being lost in numbers: a call that has no answer may have been added, and what it held is nobody's.
#[test]
fn nothing_is_leased_ahead_for_a_while_after_a_lost_call() {
    let mut host = Host::new(settings(), 1);
    host.gateway.lease_ahead(true);
    host.serve = (0..4).collect();
    host.wait(AGED);
    let largest = |host: &mut Host, ids: std::ops::Range<u64>| {
        let before = host.calls.len();
        for id in ids {
            host.ask(id, 0, 0, 4 * S);
            host.wait(300 * MS);
        }
        host.calls[before..].iter().map(|c| c.2).fold(0.0, f64::max)
    };
    assert!(largest(&mut host, 100..106) >= 2.0, "units are leased ahead");
    // What is held ahead goes with its window, while nothing is asked for.
    host.wait(5 * S);
    host.mode = CounterMode::Silent;
    let customer = "band".to_owned();
    let (id, class, plan, left) = (1, 0, 0, 4 * S);
    host.give(Event::Request(Demand { id, class, plan, customer, left, units: 1.0, doors: 2, first: 0 }));
    host.wait(100 * MS);
    host.mode = CounterMode::Answers;
    assert_eq!(largest(&mut host, 200..206), 1.0, "none within two seconds of a lost call");
    assert!(largest(&mut host, 300..306) >= 2.0, "and again later");
}
