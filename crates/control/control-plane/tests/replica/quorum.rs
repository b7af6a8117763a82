//! Quorum contact: without it a replica confirms nothing, rejects nothing for good, and says so at once.

use crate::cluster::{update, Cluster, MS, SECOND};
use limeway_control_plane::{ApiRequest, ApiResponse, QUORUM_LEASE};
use rstest::rstest;

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
