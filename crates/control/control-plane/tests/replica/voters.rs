//! Changes of the voters: one at a time, never by a replica that lacks what was acknowledged.

use crate::cluster::{options, update, Cluster, GRACE, MS, SECOND};
use limeway_consensus::{Acceptor, Voter};
use limeway_control_plane::{ApiRequest, ApiResponse, Event, StartOptions};
use rstest::rstest;

fn voters(cluster: &Cluster, node: u32) -> Vec<Voter> {
    cluster.replica(node).state().voters.clone()
}

fn voter(node: u32, disk: u64) -> Voter {
    Voter { node, disk }
}

/// A replica that comes later, with an empty disk of this incarnation.
pub(crate) fn newcomer(node: u32, disk: u64) -> StartOptions {
    let acceptor = Acceptor { disk, ..Acceptor::default() };
    StartOptions { initial_start: false, acceptor, incarnation: 5_000 + disk, ..options(node, &[1, 2, 3]) }
}

#[rstest]
fn all_replicas_of_the_initial_start_become_voters() {
    let mut cluster = Cluster::start(5);
    cluster.run(4 * SECOND);
    let expected: Vec<Voter> = (1..=5).map(|node| voter(node, 0)).collect();
    for node in 1..=5 {
        assert_eq!(voters(&cluster, node), expected, "replica {node}");
    }
}

#[rstest]
fn a_machine_with_a_new_disk_replaces_its_own_voter_once_it_has_caught_up() {
    let mut cluster = Cluster::start(3);
    cluster.run(4 * SECOND);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Done);
    cluster.kill(3);
    cluster.run(500 * MS);
    cluster.add(newcomer(3, 77));
    cluster.run(3 * SECOND);
    assert_eq!(voters(&cluster, 1), [voter(1, 0), voter(2, 0), voter(3, 77)]);
    assert_eq!(cluster.replica(3).state().version, 1, "it has what was acknowledged");
    assert_eq!(cluster.replica(1).state().former_voters, [3]);
}

/// A machine without its disk has no vote: with one other replica left, nothing can be confirmed.
#[rstest]
fn a_lost_disk_does_not_vote() {
    let mut cluster = Cluster::start(3);
    cluster.run(4 * SECOND);
    cluster.kill(2);
    cluster.kill(3);
    cluster.add(newcomer(3, 77));
    cluster.run(3 * SECOND);
    assert!(!cluster.replica(1).has_quorum(cluster.now));
    assert_eq!(voters(&cluster, 1), [voter(1, 0), voter(2, 0), voter(3, 0)]);
    assert_eq!(cluster.ask(1, ApiRequest::UpdateConfig(update(1, 0))), ApiResponse::Indeterminate);
}

#[rstest]
fn a_dead_voter_is_replaced_by_a_spare() {
    let mut cluster = Cluster::start(3);
    cluster.run(4 * SECOND);
    cluster.add(newcomer(4, 88));
    cluster.run(2 * SECOND);
    assert_eq!(voters(&cluster, 1).len(), 3, "three tolerate one loss: a spare has no place");
    cluster.kill(2);
    cluster.run(6 * SECOND);
    assert_eq!(voters(&cluster, 1), [voter(1, 0), voter(3, 0), voter(4, 88)]);
}

#[rstest]
fn a_replica_that_shuts_down_passes_its_vote_on_first() {
    let mut cluster = Cluster::start(3);
    cluster.run(4 * SECOND);
    cluster.add(newcomer(4, 88));
    cluster.run(2 * SECOND);
    cluster.handle(3, Event::Shutdown { within: GRACE });
    assert!(!cluster.has_exited(3));
    cluster.run(3 * SECOND);
    assert!(cluster.has_exited(3));
    assert_eq!(voters(&cluster, 1), [voter(1, 0), voter(2, 0), voter(4, 88)]);
}

#[rstest]
fn a_replica_that_shuts_down_without_a_spare_exits_soon_and_keeps_its_vote() {
    let mut cluster = Cluster::start(3);
    cluster.run(4 * SECOND);
    cluster.handle(3, Event::Shutdown { within: GRACE });
    cluster.run(600 * MS);
    assert!(cluster.has_exited(3));
    assert_eq!(voters(&cluster, 1), [voter(1, 0), voter(2, 0), voter(3, 0)]);
}

#[rstest]
fn a_replica_that_nobody_can_replace_exits_within_its_time() {
    let mut cluster = Cluster::start(3);
    cluster.run(4 * SECOND);
    cluster.add(newcomer(4, 88));
    cluster.run(2 * SECOND);
    // Without a majority no change of voters is agreed; the spare is heard all the same.
    cluster.kill(1);
    cluster.kill(2);
    cluster.handle(3, Event::Shutdown { within: SECOND });
    cluster.run(900 * MS);
    assert!(!cluster.has_exited(3), "it waits for the spare as long as it may");
    cluster.run(200 * MS);
    assert!(cluster.has_exited(3));
}
