//! The five rules and the guards of servers and attempts, by scripts.

mod common;
use common::*;
use limeway_quota_policy::*;

/// A request of a plan without quota is sent at once.
fn sent_one(host: &mut Host, id: RequestId, class: usize) -> ServerId {
    host.ask(id, class, 3, 4 * S);
    host.sent(id)[0]
}

#[test]
fn every_request_is_answered_before_its_deadline_with_attempts_out() {
    let mut host = Host::new(settings(), 3);
    for class in 0..4 {
        sent_one(&mut host, class as u64, class);
    }
    host.wait(4 * S);
    for id in 0..4 {
        assert!(host.failed(id), "request {id} may have run, so it fails");
        assert_eq!(host.answers.iter().filter(|a| a.0 == id).count(), 1);
    }
}

#[test]
fn unsafe_work_that_may_have_run_is_neither_repeated_nor_refused() {
    for status in [Status::Error, Status::Timeout, Status::Reset, Status::Cancelled] {
        let mut host = Host::new(settings(), 3);
        let server = sent_one(&mut host, 1, 2);
        host.done(1, 0, server, status);
        assert_eq!(host.sent(1).len(), 1, "{status:?}");
        assert!(host.failed(1), "{status:?}");
    }
}

#[test]
fn unsafe_work_that_never_ran_goes_elsewhere() {
    for status in [Status::Full, Status::ConnectFailed] {
        let mut host = Host::new(settings(), 3);
        let server = sent_one(&mut host, 1, 2);
        host.done(1, 0, server, status);
        assert_eq!(host.sent(1).len(), 2, "{status:?}");
        assert_ne!(host.sent(1)[1], server);
    }
}

#[test]
fn keyed_work_is_repeated_inside_its_zone_only() {
    let mut host = Host::new(settings(), 6);
    let server = sent_one(&mut host, 1, 3);
    host.done(1, 0, server, Status::Error);
    let second = host.sent(1)[1];
    assert_eq!(server % 2, second % 2);
}

#[test]
fn keyed_work_is_not_repeated_after_its_window() {
    let mut host = Host::new(settings(), 3);
    host.ask(1, 1, 3, 10 * S);
    let server = host.sent(1)[0];
    host.wait(4 * S);
    host.done(1, 0, server, Status::Error);
    assert_eq!(host.sent(1).len(), 1);
    assert!(host.failed(1));
}

#[test]
fn attempts_end_at_the_most_allowed() {
    let mut host = Host::new(settings(), 8);
    host.ask(1, 0, 3, 4 * S);
    for attempt in 0..3 {
        let server = host.sent(1)[attempt as usize];
        host.done(1, attempt, server, Status::Full);
    }
    assert_eq!(host.sent(1).len(), 3);
    assert!(host.refused(1), "none of them ran");
}

#[test]
fn where_copies_are_not_allowed_an_attempt_is_withdrawn_first() {
    let mut set = settings();
    set.permissions.second_copies = false;
    let mut host = Host::new(set, 4);
    let hung = sent_one(&mut host, 1, 0);
    // The others answer, the first stays silent.
    for id in 2..60 {
        host.ask(id, 0, 3, 4 * S);
        host.wait(30 * MS);
        if host.sent(id).first().is_some_and(|s| *s != hung) {
            host.done(id, 0, host.sent(id)[0], Status::Ok);
        }
        if host.all.contains(&Action::Cancel { id: 1, attempt: 0 }) {
            break;
        }
    }
    assert!(host.all.contains(&Action::Cancel { id: 1, attempt: 0 }), "silence was noticed");
    assert_eq!(host.sent(1).len(), 1, "no second attempt while the first is out");
    host.done(1, 0, hung, Status::Cancelled);
    assert_eq!(host.sent(1).len(), 2);
}

#[test]
fn a_hung_server_gets_little_after_it_falls_silent() {
    let mut host = Host::new(settings(), 4);
    host.serve = vec![1, 2, 3];
    let mut late = 0;
    for id in 0..400 {
        host.ask(id, 0, 3, 4 * S);
        host.wait(20 * MS);
        late += usize::from(id >= 200 && host.sent(id).first() == Some(&0));
    }
    assert!(late <= 8, "{late} of 200 went to the silent server first");
}

#[test]
fn all_servers_silent_at_once_is_no_outlier() {
    let mut host = Host::new(settings(), 3);
    for id in 0..3 {
        sent_one(&mut host, id, 0);
    }
    host.wait(3 * S);
    host.ask(9, 0, 3, 4 * S);
    assert_eq!(host.sent(9).len(), 1, "work still flows");
}

#[test]
fn nothing_goes_to_a_server_that_drains_or_is_gone() {
    let mut host = Host::new(settings(), 3);
    let draining = Entry { state: Lifecycle::Draining, ..entry(0) };
    host.list(ListKind::Delta, vec![draining]);
    host.list(ListKind::Full, vec![entry(2)]);
    for id in 0..8 {
        host.ask(id, 0, 3, 4 * S);
    }
    assert!(!host.sends.is_empty());
    assert!(host.sends.iter().all(|s| s.3 == 2));
}

#[test]
fn an_empty_list_holds_requests_and_answers_them() {
    let mut host = Host::new(settings(), 0);
    host.ask(1, 0, 3, 2 * S);
    host.wait(2 * S);
    assert!(host.refused(1));
    host.ask(2, 0, 3, 0);
    host.wait(20 * MS);
    assert_eq!(host.answers.iter().filter(|a| a.0 == 2).count(), 1, "no time at all is answered too");
}

#[test]
fn a_restarted_server_is_fed_within_its_fall_budget() {
    let mut host = Host::new(settings(), 2);
    host.serve = vec![0, 1];
    for id in 0..300 {
        host.ask(id, 0, 3, 4 * S);
        host.wait(20 * MS);
        if id == 150 {
            host.list(ListKind::Delta, vec![Entry { started: host.now, ..entry(1) }]);
        }
    }
    let start = host.now - 149 * 20 * MS;
    // Fifty a second over two servers: a warm one gets 25. Twice a quarter of that, over one second.
    let first = host.sends.iter().filter(|s| s.3 == 1 && s.0 >= start && s.0 < start + S).count();
    assert!(first <= 12, "{first} in the first second");
    let gets = host.sends.iter().filter(|s| s.3 == 1 && s.0 >= start).count();
    assert!(gets >= 1, "it is tried at all");
}

#[test]
fn the_ceiling_holds_over_gateways_that_restart_and_a_counter_that_forgets() {
    let mut sent = 0;
    let mut gateways: Vec<Host> = (0..2).map(|_| Host::new(settings(), 4)).collect();
    let start = gateways[0].now;
    for id in 0..1_000 {
        for host in &mut gateways {
            host.ask(id, 0, 1, S);
            host.wait(10 * MS);
            host.counts.borrow_mut().clear();
        }
        if id == 500 {
            sent += gateways[0].sends.len();
            let now = gateways[0].now;
            let mut fresh = Host::new(settings(), 0);
            fresh.now = now;
            fresh.gateway = Gateway::new(settings(), 5, now);
            fresh.list(ListKind::Cached, (0..4).map(entry).collect());
            gateways[0] = fresh;
        }
    }
    sent += gateways.iter().map(|h| h.sends.iter().filter(|s| s.2 == 0).count()).sum::<usize>();
    let passed = (gateways[1].now - start) as f64 / S as f64;
    assert!(sent as f64 <= 16.0 + 8.0 * passed, "{sent} in {passed} s");
    assert!(sent > 20);
}

#[test]
fn a_quota_on_requests_open_at_once_is_split_over_the_doors() {
    let mut host = Host::new(settings(), 4);
    for id in 0..3 {
        host.ask(id, 0, 2, 4 * S);
    }
    assert_eq!(host.sends.len(), 1);
    host.done(0, 0, host.sent(0)[0], Status::Ok);
    host.ask(9, 0, 2, 4 * S);
    assert_eq!(host.sent(9).len(), 1);
}

#[test]
fn a_request_larger_than_its_quota_is_refused() {
    let mut host = Host::new(settings(), 2);
    let customer = "large".to_owned();
    let left = 2 * S;
    host.give(Event::Request(Demand {
        id: 1,
        class: 0,
        plan: 0,
        customer,
        left,
        units: 900.0,
        doors: 2,
        first: 0,
    }));
    host.wait(2 * S);
    assert!(host.refused(1));
    assert!(host.sends.is_empty());
}

#[test]
fn unknown_and_repeated_events_are_passed_over() {
    let mut host = Host::new(settings(), 2);
    host.give(Event::Gone { id: 77 });
    host.give(Event::Started { id: 77, attempt: 0 });
    host.give(Event::Counted { name: 5, status: Status::Ok, total: 1.0, latency: 1 });
    host.done(77, 3, 99, Status::Ok);
    let server = sent_one(&mut host, 1, 2);
    host.done(1, 0, server, Status::Error);
    host.done(1, 0, server, Status::Error);
    host.done(1, 5, server, Status::Ok);
    host.wait(5 * S);
    assert_eq!(host.answers.len(), 1);
}

#[test]
fn a_started_stream_has_no_deadline() {
    let mut host = Host::new(settings(), 2);
    sent_one(&mut host, 1, 0);
    host.give(Event::Started { id: 1, attempt: 0 });
    host.wait(10 * S);
    assert!(host.answers.is_empty());
    assert!(!host.all.contains(&Action::Cancel { id: 1, attempt: 0 }));
}

#[test]
fn a_trial_that_ends_without_an_answer_does_not_lock_the_server_out() {
    let mut host = Host::new(settings(), 1);
    let server = sent_one(&mut host, 1, 0);
    host.done(1, 0, server, Status::Reset);
    host.wait(S + 100 * MS);
    host.ask(2, 0, 3, 4 * S);
    assert_eq!(host.sent(2), vec![0], "one request tries it out");
    host.give(Event::Gone { id: 2 });
    host.done(2, 0, 0, Status::Cancelled);
    host.wait(3 * S);
    host.ask(3, 0, 3, 4 * S);
    assert_eq!(host.sent(3), vec![0], "and another one later");
}

#[test]
fn many_gateways_share_a_small_fleet_without_a_jam() {
    let mut host = Host::new(Settings { gateways: 24, ..settings() }, 10);
    for id in 0..500 {
        host.ask(id, 0, 3, 4 * S);
    }
    assert!(host.sends.len() <= 12, "{} out from one of 24 gateways", host.sends.len());
}

#[test]
fn a_fleet_that_is_slow_at_any_load_is_not_starved_and_not_driven_harder() {
    let mut host = Host::new(settings(), 4);
    let mut out: Vec<(Micros, RequestId, u32, ServerId)> = Vec::new();
    let (mut seen, mut most, mut answered) = (0, 0, 0);
    for id in 0..2_000 {
        host.ask(id, 0, 3, 4 * S);
        host.wait(10 * MS);
        out.extend_from_slice(&host.sends[seen..]);
        seen = host.sends.len();
        most = most.max(out.len());
        // Every answer takes 0.6 of the aim, whatever is out.
        while out.first().is_some_and(|o| o.0 + 600 * MS <= host.now) {
            let (_, id, attempt, server) = out.remove(0);
            let (latency, load) = (600 * MS, Load::default());
            let status = Status::Ok;
            let done = Outcome { id, attempt, server, status, latency, closed: true, load };
            host.give(Event::Outcome(done));
            answered += 1;
        }
    }
    assert!(most <= 20, "{most} out at four servers from one of two gateways");
    assert!(answered >= 150, "{answered} answered in 20 s: two a server stay allowed");
}

#[test]
fn bounds_do_not_grow_before_fast_answers_were_seen() {
    let mut host = Host::new(Settings { gateways: 24, ..settings() }, 10);
    let (mut out, mut seen, mut most) = (Vec::new(), 0, 0);
    for id in 0..400 {
        host.ask(id, 0, 3, 4 * S);
        host.wait(10 * MS);
        out.extend_from_slice(&host.sends[seen..]);
        seen = host.sends.len();
        most = most.max(out.len());
        while out.first().is_some_and(|o: &(Micros, u64, u32, usize)| o.0 + 800 * MS <= host.now) {
            let (_, id, attempt, server) = out.remove(0);
            let (latency, load) = (800 * MS, Load::default());
            let status = Status::Ok;
            let done = Outcome { id, attempt, server, status, latency, closed: true, load };
            host.give(Event::Outcome(done));
        }
    }
    assert!(most <= 4, "{most} out from one of 24 gateways, whose share of the first bound is 3.3");
}

#[test]
fn work_that_grows_old_lowers_the_bounds_before_any_answer() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 4);
    for id in 0..32 {
        host.ask(id, 0, 3, 4 * S);
    }
    assert_eq!(host.sends.len(), 32, "the first bound of eight at each of four servers");
    // No answer for a second, then all at once: less room is left for what comes next.
    host.wait(S);
    for &(_, id, attempt, server) in &host.sends.clone() {
        host.done(id, attempt, server, Status::Ok);
    }
    let before = host.sends.len();
    for id in 100..140 {
        host.ask(id, 1, 3, 4 * S);
    }
    let out = host.sends.len() - before;
    assert!(out <= 30, "{out} sent after a second of silence");
}

#[test]
fn units_under_a_ceiling_are_taken_anew_after_a_wait_that_the_slack_does_not_pay_for() {
    // Eight units a second and 1.6 of slack: 0.2 s. Windows last a second, so that in 0.7 s most of them end.
    let calls = |slack: f64, wait: Micros| {
        let (mut calls, mut sent) = (0, 0);
        for n in 0..10 {
            let mut set = settings();
            set.plans[1].ceiling_slack = slack;
            let mut host = Host::seeded(set, 0, 100 + n);
            let customer = format!("club{n}");
            let (id, class, plan, left, units, doors, first) = (1, 0, 1, 3 * S, 1.0, 2, 0);
            host.give(Event::Request(Demand { id, class, plan, customer, left, units, doors, first }));
            host.wait(wait);
            host.list(ListKind::Full, (0..4).map(entry).collect());
            host.wait(80 * MS);
            calls += host.calls.len();
            sent += host.sends.len();
        }
        (calls, sent)
    };
    assert_eq!(calls(1.6, 150 * MS), (10, 10), "what went in time is leased once");
    let (anew, sent) = calls(1.6, 700 * MS);
    assert!((14..=20).contains(&anew) && sent == 10, "{anew} leases, {sent} sent");
    assert_eq!(calls(1e9, 700 * MS), (10, 10), "with no bound on waits, units of one window go in the next");
}

#[test]
fn a_share_below_a_request_lets_one_in_at_each_of_hundreds_of_doors_when_the_counter_is_away() {
    // Four a second over 300 doors: at each it would take 75 s to earn one. With few doors nothing is lent before it is
    // earned.
    for (doors, sent) in [(300, 1), (2, 0)] {
        let mut host = Host::new(Settings { gateways: 300, ..settings() }, 4);
        host.mode = CounterMode::Refuses;
        for id in 0..3 {
            let (customer, class, plan, left, units, first) = ("choir".to_owned(), 0, 0, S, 1.0, 0);
            host.give(Event::Request(Demand { id, class, plan, customer, left, units, doors, first }));
        }
        host.wait(100 * MS);
        assert_eq!(host.sends.len(), sent, "through {doors} doors");
    }
}

#[test]
fn a_door_that_has_spent_its_split_out_of_leases_lets_one_in_ahead_when_the_counter_goes() {
    let mut host = Host::new(Settings { gateways: 4, ..settings() }, 4);
    host.serve = (0..4).collect();
    let ask = |host: &mut Host, id: RequestId| {
        let (customer, class, plan, left, units, doors, first) = ("choir".to_owned(), 0, 0, S, 1.0, 4, 0);
        host.give(Event::Request(Demand { id, class, plan, customer, left, units, doors, first }));
    };
    // Three a second through a door whose even split is one a second, all leased.
    for id in 0..12 {
        ask(&mut host, id);
        host.wait(300 * MS);
    }
    host.mode = CounterMode::Refuses;
    let before = host.sends.len();
    for id in 12..16 {
        ask(&mut host, id);
        host.wait(10 * MS);
    }
    host.wait(90 * MS);
    assert_eq!(host.sends.len() - before, 1, "one ahead of what it earns, and no more");
}
