//! Updates of operators: one number, one update; what was confirmed is on disk at a majority.

use crate::cluster::{update, Cluster, MS, SECOND};
use crate::snapshots::restore;
use crate::voters::newcomer;
use limeway_control_plane::messages::Call;
use limeway_control_plane::{ApiRequest, ApiResponse};
use rstest::rstest;
use std::collections::BTreeMap;

#[rstest]
fn a_confirmed_update_is_on_disk_at_a_majority() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    assert_eq!(cluster.ask(2, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Done);
    let on_disk = (1..=3).filter(|node| restore(cluster.records(*node)).version == 1).count();
    assert!(on_disk >= 2, "on {on_disk} disks");
}

/// With every other disk hanging nothing can be confirmed.
#[rstest]
fn no_update_is_confirmed_before_a_majority_has_written_it() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    cluster.set_disk_hangs(2, true);
    cluster.set_disk_hangs(3, true);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Indeterminate);
    cluster.set_disk_hangs(2, false);
    cluster.set_disk_hangs(3, false);
    cluster.run(2 * SECOND);
    assert_eq!(
        cluster.ask(1, ApiRequest::UpdateConfig(update(1, 0))),
        ApiResponse::Done,
        "the same call, again"
    );
}

#[rstest]
fn of_two_updates_on_one_base_one_is_confirmed_and_the_other_conflicts() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    let one = cluster.call_api(1, ApiRequest::UpdateConfig(update(7, 0)));
    let two = cluster.call_api(2, ApiRequest::UpdateConfig(update(8, 0)));
    cluster.run(900 * MS);
    let mut responses = [cluster.response(one).cloned(), cluster.response(two).cloned()];
    responses.sort_by_key(|response| *response != Some(ApiResponse::Done));
    assert_eq!(responses, [Some(ApiResponse::Done), Some(ApiResponse::VersionConflict)]);
}

/// The answer was lost: the call comes again unchanged, to any replica, also after later updates.
#[rstest]
#[case(1)]
#[case(3)]
fn a_retry_of_a_confirmed_update_is_confirmed_again(#[case] node: u32) {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Done);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(2, 1))), ApiResponse::Done);
    assert_eq!(cluster.ask(node, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Done);
    cluster.run(SECOND);
    assert_eq!(cluster.replica(node).state().version, 2, "it is not applied a second time");
}

#[rstest]
fn an_invalid_update_is_rejected_and_changes_nothing() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(5, 0))), ApiResponse::Done);
    let response = cluster.ask(2, ApiRequest::UpdateConfig(update(4, 5)));
    assert!(matches!(response, ApiResponse::Invalid(_)), "{response:?}");
    assert_eq!(cluster.replica(2).state().version, 5);
}

/// Its proposer is gone before anyone heard that the value is chosen: the others complete it.
#[rstest]
fn an_accepted_value_is_completed_by_others() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    let (slot, version) = (cluster.replica(2).state().slot, 9);
    cluster.call_api(1, ApiRequest::UpdateConfig(update(version, 0)));
    // Both others accept, and the proposer ends before it can say so.
    cluster.set_cut(1, true);
    cluster.kill(1);
    cluster.run(3 * SECOND);
    let state = cluster.replica(2).state().clone();
    assert!(state.version == 0 || state.version == version);
    assert_eq!(state.version, cluster.replica(3).state().version, "the others agree");
    assert_eq!(cluster.ask(2, ApiRequest::UpdateConfig(update(version, 0))), ApiResponse::Done);
    assert!(cluster.replica(2).state().slot > slot);
}

#[rstest]
fn evacuations_are_counted_and_a_retry_is_not_counted_twice() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    let evacuate = |starts| ApiRequest::Evacuate { zone: "north".into(), starts };
    let ApiResponse::EvacuationDone(first) = cluster.ask(1, evacuate(true)) else { panic!("not done") };
    // Its answer did not arrive: the same caller calls again, elsewhere.
    cluster.run(SECOND);
    assert!(matches!(cluster.ask(2, evacuate(true)), ApiResponse::EvacuationDone(_)));
    cluster.run(200 * MS);
    assert_eq!(cluster.replica(1).state().evacuated.get("north"), Some(&1), "call {first}");
    let ApiResponse::EvacuationDone(second) = cluster.ask(3, evacuate(true)) else { panic!("not done") };
    cluster.handle(3, limeway_control_plane::Event::ResponseDelivered(second));
    cluster.run(SECOND);
    // The answer of the last one has arrived, so this is another operator's.
    assert!(matches!(cluster.ask(1, evacuate(true)), ApiResponse::EvacuationDone(_)));
    cluster.run(200 * MS);
    assert_eq!(cluster.replica(3).state().evacuated.get("north"), Some(&2));
}

/// A call that had to wait for the answer to a like one until its own time was nearly over is not proposed any more: its caller would
/// not hear of it, and the retry would wait for an answer that never comes.
#[rstest]
fn a_call_that_has_waited_for_too_long_leaves_nothing_for_its_retry_to_wait_for() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    let start = || ApiRequest::Evacuate { zone: "z".into(), starts: true };
    (1..=3).for_each(|node| cluster.set_disk_hangs(node, true));
    let first = cluster.call_api(1, start());
    let second = cluster.call_api(1, start());
    cluster.run(300 * MS);
    (1..=3).for_each(|node| cluster.set_disk_hangs(node, false));
    cluster.run(SECOND);
    assert!(matches!(cluster.response(first), Some(ApiResponse::EvacuationDone(_))));
    assert_eq!(cluster.response(second), Some(&ApiResponse::Indeterminate));
    let ApiResponse::EvacuationDone(first_call) = cluster.response(first).expect("answered") else {
        panic!("not done")
    };
    let open: Vec<u64> = cluster.replica(1).state().open_calls().iter().map(|call| call.call_id).collect();
    assert_eq!(open, [*first_call], "the second one left nothing behind");
    let sent = cluster.now;
    assert!(matches!(cluster.ask(2, start()), ApiResponse::EvacuationDone(_)));
    assert!(cluster.now - sent < 300 * MS, "the retry waits for nobody");
}

/// Guards against review/1: a replica that is no voter gave two values one proposal number, and an acknowledged update was lost.
#[rstest]
fn a_replica_that_is_no_voter_uses_a_proposal_number_for_one_value_only() {
    let mut cluster = Cluster::start(3);
    cluster.run(4 * SECOND);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Done);
    cluster.add(newcomer(4, 88));
    cluster.run(2 * SECOND);
    cluster.set_delay(10 * MS);
    let lost = cluster.call_api(4, ApiRequest::UpdateConfig(update(2, 1)));
    for _ in 0..100 {
        if cluster.sent(4, 1, is_accept) > 0 {
            break;
        }
        cluster.run(5 * MS);
    }
    assert_eq!(cluster.sent(4, 1, is_accept), 1);
    // One voter accepts the value, and nobody hears of it.
    cluster.set_cut(2, true);
    cluster.set_cut(3, true);
    cluster.run(15 * MS);
    cluster.set_cut(1, true);
    cluster.run(950 * MS);
    assert_eq!(cluster.response(lost), Some(&ApiResponse::Indeterminate));
    cluster.set_cut(2, false);
    cluster.set_cut(3, false);
    cluster.run(300 * MS);
    assert_eq!(cluster.ask(4, ApiRequest::UpdateConfig(update(3, 1))), ApiResponse::Done);
    assert_one_value_per_number(&cluster);
    // Only the voter with the lost value and one with the acknowledged one are left.
    cluster.set_cut(3, true);
    cluster.set_cut(4, true);
    cluster.set_cut(1, false);
    cluster.run(3 * SECOND);
    for node in [1, 2] {
        assert_eq!(cluster.replica(node).state().version, 3, "replica {node}");
    }
}

fn is_accept(call: &Call) -> bool {
    matches!(call, Call::Accept(..))
}

fn assert_one_value_per_number(cluster: &Cluster) {
    for node in cluster.nodes() {
        let mut values = BTreeMap::new();
        for (slot, number, value) in cluster.accepts_of(node) {
            let known = values.entry((slot, number)).or_insert_with(|| value.clone());
            assert_eq!(*known, value, "slot {slot}, {number:?}");
        }
    }
}
