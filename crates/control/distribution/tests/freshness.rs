//! What of a upstream's word is taken: all that only goes forward, and the rest only from one who is confirmed, as of no earlier.

mod common;

use common::{core, poll, report};
use limeway_distribution::{encode, Freshness, StateCache, MAX_STALENESS};
use limeway_routing_config::Operation;
use limeway_service_registry::{Phase, INSTANCE_RETENTION};
use rstest::rstest;

const NOW: u64 = 100_000_000;

/// A gateway that follows a core replica with a quorum: members 1 to 3, holder 1, servers 1 and 2.
fn following() -> StateCache {
    let mut upstream = core(1, NOW, &[1, 2, 3], 0);
    upstream.set_members((1..=3).map(|n| (n, "z".to_owned()).into()).collect());
    upstream.holders[0] = (1, 11).into();
    for id in [1, 2] {
        upstream.registry.observe(NOW, &report(id, 1, Phase::Ready));
    }
    let mut limiter = StateCache::relay(9);
    let response = upstream.respond(NOW, &poll(&limiter, 0, 0, 0), 0);
    limiter.apply_response(NOW, NOW, 0, response);
    assert_eq!((limiter.members().len(), limiter.holders[0]), (3, (1, 11).into()));
    limiter
}

/// A machine with other members and holders; it knows server 1's end, not server 2, and an operation more.
fn other(confirmed: u64) -> StateCache {
    let mut upstream = core(2, confirmed, &[1, 2, 3], 0);
    upstream.apply_operation(&encode(&Operation::Evacuate {
        zone: "y".into(),
        starts: true,
        call_id: 0,
        retry_of: 0,
        taken_by: None,
    }));
    upstream.set_members(vec![(7, "z".to_owned()).into()]);
    upstream.holders[0] = (2, 22).into();
    upstream.registry.observe(NOW, &report(1, 2, Phase::Draining));
    upstream
}

#[rstest]
#[case::never_confirmed(None)]
#[case::confirmed_too_long_ago(Some(NOW - MAX_STALENESS - 1))]
fn a_stale_upstream_is_believed_only_in_what_goes_forward(#[case] confirmed: Option<u64>) {
    let (mut limiter, upstream) = (following(), other(confirmed.unwrap_or(0)));
    let asked = poll(&limiter, upstream.incarnation, 1, 0);
    let mut response = upstream.respond(NOW, &asked, 0);
    assert_eq!(limiter.freshness(NOW, &response), Freshness::Stale);
    response.servers = upstream.registry.full_report(NOW);
    // One of an older program may say that its list is full.
    response.full_registry = true;
    limiter.apply_response(NOW, NOW, asked.request.slot, response);
    assert_eq!((limiter.members().len(), limiter.holders[0]), (3, (1, 11).into()));
    assert!(
        !limiter.registry.servers()["i-2"].unlisted,
        "a stale upstream's list says nothing of whom it does not name"
    );
    assert_eq!(limiter.registry.servers()["i-1"].phase, Phase::Draining);
    assert_eq!(limiter.state, upstream.state);
}

#[rstest]
fn a_stale_upstream_keeps_its_list_to_itself() {
    let response = other(0).respond(NOW, &poll(&StateCache::relay(9), 0, 0, 0), 0);
    assert!(response.servers.is_empty() && !response.full_registry && response.registry_revision == 0);
}

#[rstest]
#[case::older(1, false)]
#[case::as_new(0, true)]
fn an_older_word_does_not_replace_a_newer_one(#[case] older: u64, #[case] taken: bool) {
    let (mut limiter, upstream) = (following(), other(NOW - older));
    let asked = poll(&limiter, 0, 0, 0);
    let response = upstream.respond(NOW, &asked, 0);
    limiter.apply_response(NOW, NOW, asked.request.slot, response);
    assert_eq!((limiter.members().len() == 1, limiter.holders[0] == (2, 22).into()), (taken, taken));
    assert_eq!(limiter.confirmed_at, NOW);
}

#[rstest]
fn a_poll_is_held_no_longer_than_the_upstream_is_confirmed() {
    let upstream = core(1, NOW, &[1], 0);
    let asked = poll(&upstream, 1, 0, 0);
    let came = NOW + MAX_STALENESS - 1_000;
    assert_eq!(upstream.long_poll_deadline(came, &asked, 2_000_000), NOW + MAX_STALENESS);
    assert_eq!(upstream.long_poll_deadline(NOW, &asked, 2_000_000), NOW + 600_000);
}

/// A gateway was cut off for longer than anyone remembers what has ended: it is sent the full list, and not a delta without a word of it.
#[rstest]
fn who_was_away_for_long_hears_what_was_forgotten_meanwhile() {
    let mut upstream = core(1, NOW, &[1, 2, 3], 0);
    upstream.registry.observe(NOW, &report(1, 1, Phase::Ready));
    upstream.registry.observe(NOW, &report(2, 1, Phase::Ready));
    let mut limiter = StateCache::relay(9);
    let response = upstream.respond(NOW, &poll(&limiter, 0, 0, 0), 0);
    let revision = response.registry_revision;
    limiter.apply_response(NOW, NOW, 0, response);
    upstream.registry.deregister(NOW, "i-1");
    let later = NOW + INSTANCE_RETENTION + 1_000_000;
    upstream.registry.observe(later, &report(2, 90, Phase::Ready));
    upstream.registry.expire(later, u64::MAX);
    upstream.confirmed_at = later;
    assert!(!upstream.registry.servers().contains_key("i-1"), "it is forgotten");
    let asked = poll(&limiter, upstream.incarnation, revision, 0);
    let response = upstream.respond(later, &asked, 0);
    limiter.apply_response(later, later, asked.request.slot, response);
    assert!(limiter.registry.servers()["i-1"].unlisted, "{:?}", limiter.registry.servers());
    assert!(!limiter.registry.servers()["i-2"].unlisted);
}
