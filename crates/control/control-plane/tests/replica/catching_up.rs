//! A replica that is behind, and whose requests for what it lacks are lost.

use crate::cluster::{is_prepare, update, Cluster, MS, SECOND};
use limeway_control_plane::messages::Call;
use limeway_control_plane::{ApiRequest, ApiResponse};
use rstest::rstest;

/// One way between two machines.
const DELAY: u64 = 20 * MS;
/// When a fetch without an answer is given up.
const FETCH_TIMEOUT: u64 = 700 * MS;
/// Shorter than a proposal of another replica is waited for.
const SHORT: u64 = 200 * MS;

fn is_fetch(call: &Call) -> bool {
    matches!(call, Call::Fetch(_))
}

/// Runs until replica 3 asks another one for what it lacks.
fn run_until_fetch(cluster: &mut Cluster, from: u32) {
    let end = cluster.now + SECOND;
    while cluster.sent(3, from, is_fetch) == 0 {
        assert!(cluster.now < end, "no fetch from replica {from}");
        cluster.run(5 * MS);
    }
}

/// Three replicas, of which 3 does not reach 1: it has missed the update at 1, and asks 2 for it.
fn behind_and_fetching() -> Cluster {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    cluster.set_delay(DELAY);
    cluster.cut_pair(1, 3);
    cluster.call_api(1, ApiRequest::UpdateConfig(update(1, 0)));
    run_until_fetch(&mut cluster, 2);
    cluster
}

/// Seed 1622 of the simulation: the answer to the fetch is lost with its sender, and another acceptor answers that the slot is decided.
/// The replica proposed again with each such answer, thousands of times a second.
#[rstest]
fn a_replica_that_is_behind_proposes_nothing_until_it_has_caught_up() {
    let mut cluster = behind_and_fetching();
    cluster.cut_pair(2, 3);
    let before = cluster.sent(3, 1, is_prepare);
    let caller = cluster.call_api(3, ApiRequest::UpdateConfig(update(2, 0)));
    cluster.run(SHORT);
    assert_eq!(cluster.sent(3, 1, is_prepare) - before, 1, "no answer of the acceptor lets it succeed");
    assert_eq!(cluster.replica(3).state().version, 0, "it has not caught up");
    cluster.run(SECOND);
    assert_eq!(cluster.replica(3).state().version, 1, "from the other acceptor");
    assert_eq!(cluster.response(caller), Some(&ApiResponse::VersionConflict));
}

/// The one that it waits for is silent: another one that shows itself ahead is asked before the call times out.
#[rstest]
fn a_silent_replica_holds_up_no_fetch_from_another() {
    let mut cluster = behind_and_fetching();
    let asked = cluster.now;
    cluster.cut_pair(2, 3);
    run_until_fetch(&mut cluster, 1);
    assert!(cluster.now - asked < FETCH_TIMEOUT, "after {} ms", (cluster.now - asked) / MS);
}

#[rstest]
fn a_fetch_lost_with_its_connection_goes_to_another_replica_at_once() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    cluster.set_cut(3, true);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Done);
    cluster.run(SECOND);
    cluster.set_delay(DELAY);
    cluster.set_cut(3, false);
    run_until_fetch(&mut cluster, 1);
    assert_eq!(cluster.sent(3, 2, is_fetch), 0, "one at a time");
    cluster.reset(1, 3);
    assert_eq!(cluster.sent(3, 2, is_fetch), 1);
    cluster.run(3 * DELAY);
    assert_eq!(cluster.replica(3).state().version, 1);
}
