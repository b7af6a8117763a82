//! Role leases: every shard has one holder, and changes hands only once the last lease has expired.

use crate::cluster::{Cluster, GRACE, MS, SECOND};
use limeway_control_plane::Event;
use limeway_membership::{ROLE_LEASE, SHARDS};
use rstest::rstest;

/// The replicas that hold a shard, each by its own clock.
fn holders(cluster: &Cluster, nodes: &[u32], shard: usize) -> Vec<u32> {
    let holds = |node: &u32| cluster.replica(*node).held_shards(cluster.now).contains(&shard);
    nodes.iter().copied().filter(holds).collect()
}

fn assert_one_holder_each(cluster: &Cluster, nodes: &[u32]) {
    for shard in 0..SHARDS {
        assert_eq!(holders(cluster, nodes, shard).len(), 1, "shard {shard}");
    }
}

#[rstest]
fn every_shard_has_one_holder() {
    let mut cluster = Cluster::start(3);
    cluster.run(2 * SECOND);
    assert_one_holder_each(&cluster, &[1, 2, 3]);
}

/// Cut off from the majority, it goes on until its lease ends; nobody else holds its shards before.
#[rstest]
fn two_replicas_never_hold_a_shard_at_one_time() {
    let mut cluster = Cluster::start(3);
    cluster.run(2 * SECOND);
    let held = cluster.replica(2).held_shards(cluster.now);
    assert!(!held.is_empty(), "the case is tested");
    cluster.set_cut(2, true);
    for _ in 0..(2 * ROLE_LEASE / (50 * MS)) {
        cluster.run(50 * MS);
        for shard in &held {
            assert!(holders(&cluster, &[1, 2, 3], *shard).len() <= 1, "shard {shard}");
        }
    }
    assert!(cluster.replica(2).held_shards(cluster.now).is_empty(), "its leases have expired");
    assert_one_holder_each(&cluster, &[1, 3]);
}

/// It says so, so nobody has to wait for its leases to expire.
#[rstest]
fn a_replica_that_shuts_down_hands_its_shards_over_at_once() {
    let mut cluster = Cluster::start(3);
    cluster.run(2 * SECOND);
    cluster.handle(2, Event::Shutdown { within: GRACE });
    cluster.run(SECOND);
    assert!(cluster.replica(2).held_shards(cluster.now).is_empty());
    assert_one_holder_each(&cluster, &[1, 3]);
}

#[rstest]
fn without_a_majority_leases_are_not_renewed() {
    let mut cluster = Cluster::start(3);
    cluster.run(2 * SECOND);
    cluster.kill(2);
    cluster.kill(3);
    cluster.run(ROLE_LEASE + SECOND);
    assert!(cluster.replica(1).held_shards(cluster.now).is_empty());
}
