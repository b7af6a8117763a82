//! What of a teller's word is taken: all that only goes forward, and the rest only from one who is sure, as of no earlier.

mod common;

use common::{core, poll, report};
use limeway_distribution::{pack, Board, Trust, UNSURE};
use limeway_routing_config::Operation;
use limeway_service_registry::Phase;
use rstest::rstest;

const NOW: u64 = 100_000_000;

/// A limiter that was told by a core machine in touch: members 1 to 3, holder 1, servers 1 and 2.
fn told() -> Board {
    let mut teller = core(1, NOW, &[1, 2, 3], 0);
    teller.set_members((1..=3).map(|n| (n, "z".to_owned())).collect());
    teller.holders[0] = (1, 11).into();
    for id in [1, 2] {
        teller.watch.observe(NOW, &report(id, 1, Phase::Ready));
    }
    let mut limiter = Board::relay(9);
    let feed = teller.feed(NOW, &poll(&limiter, 0, 0, 0), 0);
    limiter.take(NOW, NOW, 0, feed);
    assert_eq!((limiter.members().len(), limiter.holders[0]), (3, (1, 11).into()));
    limiter
}

/// A machine with other members and holders; it knows server 1's end, not server 2, and an operation more.
fn other(sure: u64) -> Board {
    let mut teller = core(2, sure, &[1, 2, 3], 0);
    teller.step(&pack(&Operation::Evacuate { zone: "y".into(), starts: true, call_id: 0, retry_of: 0 }));
    teller.set_members(vec![(7, "z".to_owned())]);
    teller.holders[0] = (2, 22).into();
    teller.watch.observe(NOW, &report(1, 2, Phase::Draining));
    teller
}

#[rstest]
#[case::never_sure(None)]
#[case::sure_too_long_ago(Some(NOW - UNSURE - 1))]
fn an_unsure_teller_is_believed_only_in_what_goes_forward(#[case] sure: Option<u64>) {
    let (mut limiter, teller) = (told(), other(sure.unwrap_or(0)));
    let asked = poll(&limiter, teller.epoch, 1, 0);
    let mut feed = teller.feed(NOW, &asked, 0);
    assert_eq!(limiter.trust(NOW, &feed), Trust::Unsure);
    feed.servers = teller.watch.full_report(NOW);
    // One of an older program may say that its list is full.
    feed.full = true;
    limiter.take(NOW, NOW, asked.want.slot, feed);
    assert_eq!((limiter.members().len(), limiter.holders[0]), (3, (1, 11).into()));
    assert!(
        !limiter.watch.servers()["i-2"].unlisted,
        "an unsure teller's list says nothing of whom it does not name"
    );
    assert_eq!(limiter.watch.servers()["i-1"].phase, Phase::Draining);
    assert_eq!(limiter.state, teller.state);
}

#[rstest]
fn an_unsure_teller_keeps_its_list_to_itself() {
    let feed = other(0).feed(NOW, &poll(&Board::relay(9), 0, 0, 0), 0);
    assert!(feed.servers.is_empty() && !feed.full && feed.change == 0);
}

#[rstest]
#[case::older(1, false)]
#[case::as_new(0, true)]
fn an_older_word_does_not_replace_a_newer_one(#[case] older: u64, #[case] taken: bool) {
    let (mut limiter, teller) = (told(), other(NOW - older));
    let asked = poll(&limiter, 0, 0, 0);
    let feed = teller.feed(NOW, &asked, 0);
    limiter.take(NOW, NOW, asked.want.slot, feed);
    assert_eq!((limiter.members().len() == 1, limiter.holders[0] == (2, 22).into()), (taken, taken));
    assert_eq!(limiter.sure, NOW);
}

#[rstest]
fn a_poll_is_held_no_longer_than_the_teller_is_sure() {
    let teller = core(1, NOW, &[1], 0);
    let asked = poll(&teller, 1, 0, 0);
    let came = NOW + UNSURE - 1_000;
    assert_eq!(teller.hold_until(came, &asked, 2_000_000), NOW + UNSURE);
    assert_eq!(teller.hold_until(NOW, &asked, 2_000_000), NOW + 600_000);
}
