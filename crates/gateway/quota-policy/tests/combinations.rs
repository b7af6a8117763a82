//! Troubles that come together.

mod common;
use common::*;
use limeway_quota_policy::*;

#[test]
fn a_flood_while_the_counter_is_silent_leaves_the_others_their_reserve() {
    let mut host = Host::new(settings(), 6);
    host.serve = (0..6).collect();
    host.ask(1, 0, 0, 4 * S);
    host.wait(2 * S);
    host.mode = CounterMode::Silent;
    // A window has to begin in which the other gateway leaves this one its share.
    host.wait(4 * S);
    let mut served = 0;
    for n in 0..10 {
        for id in 0..100 {
            let id = 1_000 + n * 100 + id;
            let customer = "flood".to_owned();
            let (class, plan, left) = (0, 0, 4 * S);
            host.give(Event::Request(Demand {
                id,
                class,
                plan,
                customer,
                left,
                units: 1.0,
                doors: 2,
                first: 0,
            }));
        }
        host.ask(10 + n, 0, 0, 4 * S);
        host.wait(S);
        served += usize::from(!host.sent(10 + n).is_empty());
    }
    assert!(served >= 9, "{served} of 10 of the customer inside its quota");
}

#[test]
fn a_stale_list_a_hung_server_and_a_silent_counter_at_the_start() {
    let mut host = Host::new(settings(), 4);
    host.serve = vec![1, 2];
    host.mode = CounterMode::Refuses;
    host.list(ListKind::Full, vec![entry(0), entry(1), entry(2)]);
    for id in 0..300 {
        host.ask(id, (id % 3) as usize, (id % 4) as usize, 3 * S);
        host.wait(20 * MS);
    }
    host.wait(4 * S);
    assert!(host.sends.iter().all(|s| s.3 != 3), "the server that has left gets nothing");
    let late = host.sends.iter().filter(|s| s.3 == 0 && s.0 > 103 * S).count();
    assert!(late <= 6, "{late} to the hung server in the later half");
    let unsafe_tries = host.tries.iter().filter(|(id, _)| *id % 3 == 2).map(|(_, n)| *n).max();
    assert_eq!(unsafe_tries, Some(1), "unsafe work is never repeated");
}

#[test]
fn cold_servers_returning_under_overload_are_fed_gently() {
    let mut host = Host::new(settings(), 4);
    host.serve = (0..4).collect();
    for id in 0..500 {
        host.ask(id, 0, 3, 4 * S);
        host.wait(10 * MS);
    }
    let start = host.now;
    let fresh = |n| Entry { started: start, ..entry(n) };
    host.list(ListKind::Delta, vec![fresh(2), fresh(3)]);
    for id in 500..600 {
        for copy in 0..4 {
            host.ask(id * 10 + copy, 0, 3, 4 * S);
        }
        host.wait(10 * MS);
    }
    for server in [2, 3] {
        let sent = host.sends.iter().filter(|s| s.3 == server && s.0 >= start).count();
        // A warm one had 25 a second: twice a quarter of that, for one second, is the fall budget of all.
        assert!(sent <= 13, "{sent} to a cold server in its first second");
    }
}

#[test]
fn a_standstill_while_a_customer_floods_ends_every_request_once_and_inside_the_quota() {
    let mut host = Host::new(settings(), 4);
    host.serve = (0..4).collect();
    let start = host.now;
    let mut asked = 0;
    for round in 0..6 {
        for _ in 0..100 {
            asked += 1;
            host.ask(asked, 0, 0, 3 * S);
            host.wait(10 * MS);
        }
        // No turn for a second and a half; then all that came meanwhile, at once.
        host.now += 3 * S / 2;
        for _ in 0..50 {
            asked += 1;
            host.ask(asked, (round % 2) as usize, 0, S);
        }
    }
    host.wait(5 * S);
    let sent: std::collections::BTreeSet<RequestId> = host.sends.iter().map(|s| s.1).collect();
    let passed = (host.now - start) as f64 / S as f64;
    assert!(sent.len() as f64 <= 9.0 + 4.0 * passed, "{} in {passed} s", sent.len());
    assert!(sent.len() >= 30, "{} of {asked}", sent.len());
    let refused = host.answers.iter().filter(|a| matches!(a.1, Action::Refuse { .. })).count();
    assert_eq!(refused + sent.len(), asked as usize, "each is sent or refused, none both");
}

#[test]
fn servers_hung_while_all_others_are_slow_get_little_and_work_flows() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 6);
    let mut out: Vec<(Micros, RequestId, u32, ServerId)> = Vec::new();
    let (mut seen, mut answered) = (0, 0);
    for id in 0..1_000 {
        host.ask(id, 0, 3, 4 * S);
        host.wait(20 * MS);
        out.extend(host.sends[seen..].iter().filter(|s| s.3 >= 2));
        seen = host.sends.len();
        // Four servers take half of the aim for everything; the first two take work and answer nothing.
        while out.first().is_some_and(|o| o.0 + 500 * MS <= host.now) {
            let (_, id, attempt, server) = out.remove(0);
            let (status, latency, load) = (Status::Ok, 500 * MS, Load::default());
            host.give(Event::Outcome(Outcome { id, attempt, server, status, latency, closed: true, load }));
            answered += 1;
        }
    }
    let hung = host.sends.iter().filter(|s| s.3 < 2 && s.0 > 105 * S).count();
    assert!(hung <= 30, "{hung} to two hung servers in fifteen seconds");
    assert!(answered >= 400, "{answered} answered in twenty seconds");
}
