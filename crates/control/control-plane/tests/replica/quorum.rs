//! Quorum contact: without it a replica confirms nothing, rejects nothing for good, and says so at once.

use crate::cluster::{is_prepare, update, Cluster, MS, SECOND};
use limeway_consensus::NodeId;
use limeway_control_plane::{ApiRequest, ApiResponse, QUORUM_LEASE};
use rstest::rstest;

/// One way between two regions: the longest of the simulation.
const DELAY: u64 = 75 * MS;
/// How long before the reply to a heartbeat its connection is reset.
const RESET_BEFORE_REPLY: u64 = 10 * MS;

/// Three replicas on the longest links, at the time at which a proposal has to begin for the others to accept its value so long before a
/// round of one of them.
fn on_longest_links(round_of: NodeId, accepted_before_round: u64) -> Cluster {
    let mut cluster = Cluster::start(3);
    cluster.run(4 * SECOND);
    cluster.set_delay(DELAY);
    cluster.run(2 * SECOND);
    let round = cluster.replica(round_of).next_tick() + 250 * MS;
    cluster.run(round - accepted_before_round - 3 * DELAY - cluster.now);
    cluster
}

/// Runs until two seconds after a fault: these replicas have quorum contact all the while.
fn expect_quorum_contact(cluster: &mut Cluster, nodes: &[NodeId], fault: u64) {
    while cluster.now < fault + 2 * SECOND {
        cluster.run(5 * MS);
        for node in nodes {
            let after = (cluster.now - fault) / MS;
            assert!(cluster.replica(*node).has_quorum(cluster.now), "replica {node}, after {after} ms");
        }
    }
}

#[rstest]
fn replicas_of_an_initial_start_get_quorum_contact() {
    let mut cluster = Cluster::start(3);
    assert!(!cluster.replica(1).has_quorum(cluster.now), "nobody has answered yet");
    cluster.run(200 * MS);
    for node in 1..=3 {
        assert!(cluster.replica(node).has_quorum(cluster.now), "replica {node}");
    }
}

#[rstest]
fn a_replica_that_is_cut_off_loses_contact_within_the_lease_and_gets_it_again() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    cluster.set_cut(3, true);
    cluster.run(QUORUM_LEASE + 300 * MS);
    assert!(!cluster.replica(3).has_quorum(cluster.now));
    assert!(cluster.replica(1).has_quorum(cluster.now), "the majority goes on");
    cluster.set_cut(3, false);
    cluster.run(600 * MS);
    assert!(cluster.replica(3).has_quorum(cluster.now));
}

#[rstest]
fn without_contact_the_answer_is_indeterminate_and_comes_at_once() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    cluster.set_cut(3, true);
    cluster.run(2 * SECOND);
    let asked = cluster.now;
    assert_eq!(cluster.ask(3, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Indeterminate);
    assert!(cluster.now - asked < 400 * MS, "after {} ms", (cluster.now - asked) / MS);
    assert_eq!(cluster.ask(3, ApiRequest::ReadConfig), ApiResponse::Indeterminate);
    assert_eq!(cluster.ask(3, ApiRequest::Deregister("s".into())), ApiResponse::Indeterminate);
    assert_eq!(cluster.replica(3).live_frontends(cluster.now), None);
}

/// Seed 75 of the simulation: of four voters one is cut off, and the connection on which another one's vote and a heartbeat's reply come
/// back is reset. The value is on the disks of a majority, and its proposer does not learn it; no round confirms the state before.
#[rstest]
#[case::before_the_call_arrives(DELAY)]
#[case::before_the_vote_is_back(2 * DELAY - RESET_BEFORE_REPLY)]
fn a_vote_lost_with_its_connection_costs_no_quorum_contact(#[case] proposed_before_round: u64) {
    let mut cluster = Cluster::start(4);
    cluster.run(4 * SECOND);
    assert_eq!(cluster.replica(1).state().voters.len(), 4);
    cluster.set_delay(DELAY);
    cluster.set_cut(2, true);
    cluster.run(2 * SECOND);
    let slot = cluster.replica(1).state().slot;
    let round = cluster.replica(4).next_tick();
    cluster.run(round - proposed_before_round - cluster.now);
    let caller = cluster.call_api(1, ApiRequest::UpdateConfig(update(1, 0)));
    cluster.run(round + 2 * DELAY - RESET_BEFORE_REPLY - cluster.now);
    cluster.reset(1, 4);
    assert_eq!(cluster.replica(1).state().slot, slot, "not chosen yet");
    let reset = cluster.now;
    expect_quorum_contact(&mut cluster, &[1, 3, 4], reset);
    assert_eq!(cluster.response(caller), Some(&ApiResponse::Done));
}

/// Two of three voters have accepted a value whose proposer is gone, on the longest links: they complete it before their contact ends.
/// Each round that was answered before waits for the proposer, and both would propose at once after two of them.
#[rstest]
fn an_accepted_value_whose_proposer_is_gone_costs_no_quorum_contact(
    #[values(0, 50, 100, 150, 200)] accepted_before_round: u64,
) {
    let mut cluster = on_longest_links(2, accepted_before_round * MS);
    let slot = cluster.replica(2).state().slot;
    cluster.call_api(1, ApiRequest::UpdateConfig(update(1, 0)));
    cluster.run(3 * DELAY);
    cluster.set_cut(1, true);
    for node in [2, 3] {
        let acceptor = cluster.replica(node).acceptor();
        assert!(acceptor.slot_state.accepted.is_some() && acceptor.applied == slot, "replica {node}");
    }
    let cut = cluster.now;
    expect_quorum_contact(&mut cluster, &[2, 3], cut);
    assert_eq!(cluster.replica(2).state().version, 1);
}

/// Seed 59433 of the simulation: a proposer is cut off in one direction once its value is on its way to the others, who accept it.
/// It hears of that no more. Its next proposal would preempt the one by which another voter completes the value.
#[rstest]
fn a_proposer_that_hears_nobody_preempts_nobody(#[values(0, 50, 100, 150, 200)] proposed_before_round: u64) {
    let mut cluster = on_longest_links(1, proposed_before_round * MS);
    cluster.call_api(3, ApiRequest::UpdateConfig(update(1, 0)));
    cluster.run(2 * DELAY);
    cluster.set_deaf(3);
    let (deaf, proposals) = (cluster.now, cluster.sent(3, 2, is_prepare));
    cluster.run(DELAY);
    for node in [1, 2] {
        let acceptor = cluster.replica(node).acceptor();
        assert!(acceptor.slot_state.accepted.is_some(), "replica {node}");
    }
    expect_quorum_contact(&mut cluster, &[1, 2], deaf);
    assert_eq!(cluster.sent(3, 2, is_prepare), proposals, "no proposal that nobody can answer");
    assert_eq!(cluster.replica(1).state().version, 1);
}

/// A replica that is behind must not reject by its old state: what it takes for a conflict may be the newest.
#[rstest]
fn a_stale_replica_rejects_nothing() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    cluster.set_cut(3, true);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Done);
    assert_eq!(cluster.ask(3, ApiRequest::UpdateConfig(update(2, 1))), ApiResponse::Indeterminate);
    cluster.set_cut(3, false);
    cluster.run(SECOND);
    assert_eq!(cluster.ask(3, ApiRequest::UpdateConfig(update(2, 1))), ApiResponse::Done);
}

/// A read is answered by a state that a majority confirmed after the call came, whoever is asked.
#[rstest]
fn a_read_sees_every_update_that_was_confirmed_before() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    for version in 1..=5 {
        let writer = version % 3 + 1;
        assert_eq!(
            cluster.ask(writer, ApiRequest::UpdateConfig(update(version, version - 1))),
            ApiResponse::Done
        );
        for reader in 1..=3 {
            let ApiResponse::Document(document) = cluster.ask(reader, ApiRequest::ReadConfig) else {
                panic!("no document from {reader}");
            };
            assert!(
                document.contains(&format!("\"config-version\":\"{version:08x}\"")),
                "{reader}: {document}"
            );
        }
    }
}
