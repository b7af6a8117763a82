//! Snapshots and the log: what is written when, and how a replica that was away catches up.

use crate::cluster::{update, Cluster, MS, SECOND};
use limeway_control_plane::{ApiRequest, ApiResponse, LogRecord};
use limeway_distribution::{decode, transfer::decompress};
use limeway_routing_config::{Operation, State};
use rstest::rstest;

/// The state that a disk with these records gives back.
pub(crate) fn restore(records: &[LogRecord]) -> State {
    let mut state = State::default();
    for record in records {
        if let Some((slot, encoded)) = &record.snapshot {
            state = decode(encoded).expect("a snapshot");
            assert_eq!(state.slot, *slot);
        }
        for (slot, operation) in &record.operations {
            assert_eq!(*slot, state.slot + 1, "no gap in the log");
            let encoded = decompress(operation).expect("an operation");
            state.apply(&decode::<Operation>(&encoded).expect("an operation"));
        }
    }
    state
}

fn apply_updates(cluster: &mut Cluster, versions: std::ops::RangeInclusive<u32>) {
    for version in versions {
        let request = ApiRequest::UpdateConfig(update(version, version - 1));
        assert_eq!(cluster.ask(1, request), ApiResponse::Done, "version {version}");
    }
}

#[rstest]
fn the_first_records_are_snapshots_and_later_ones_are_operations() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    apply_updates(&mut cluster, 1..=5);
    let records = cluster.records(1);
    assert!(records[0].snapshot.is_some(), "the log that was found may have any length");
    // The first operation builds on the initial voters, which no operation names.
    let slots: Vec<u64> = records.iter().filter_map(|r| r.snapshot.as_ref()).map(|(slot, _)| *slot).collect();
    assert_eq!(slots, [0, 1]);
    let operations: Vec<u64> = records.iter().flat_map(|r| &r.operations).map(|(slot, _)| *slot).collect();
    assert_eq!(operations, [2, 3, 4, 5]);
}

#[rstest]
fn a_snapshot_follows_after_many_operations() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    apply_updates(&mut cluster, 1..=300);
    let snapshots = cluster.records(1).iter().filter_map(|record| record.snapshot.as_ref());
    let slots: Vec<u64> = snapshots.map(|(slot, _)| *slot).collect();
    assert_eq!(slots, [0, 1, 258], "one more after 256 operations");
}

#[rstest]
#[case(10)]
#[case(300)]
fn every_disk_gives_back_the_state_in_memory(#[case] updates: u32) {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    apply_updates(&mut cluster, 1..=updates);
    cluster.run(SECOND);
    for node in 1..=3 {
        assert_eq!(&restore(cluster.records(node)), cluster.replica(node).state(), "replica {node}");
    }
}

/// After a few updates by the operations it lacks, after hundreds by a snapshot.
#[rstest]
#[case(5)]
#[case(400)]
fn a_replica_that_was_cut_off_catches_up(#[case] updates: u32) {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    apply_updates(&mut cluster, 1..=3);
    cluster.set_cut(3, true);
    apply_updates(&mut cluster, 4..=3 + updates);
    assert!(cluster.replica(3).state().version < 3 + updates);
    cluster.set_cut(3, false);
    cluster.run(SECOND);
    assert_eq!(cluster.replica(3).state(), cluster.replica(1).state());
    assert_eq!(&restore(cluster.records(3)), cluster.replica(1).state(), "on its disk, too");
}

/// Nothing is promised by a disk that hangs, and what was written meanwhile elsewhere comes to it once it goes on.
#[rstest]
fn a_disk_that_hangs_is_unhealthy_until_it_goes_on() {
    let mut cluster = Cluster::start(3);
    cluster.run(SECOND);
    cluster.set_disk_hangs(3, true);
    apply_updates(&mut cluster, 1..=3);
    cluster.run(1_200 * MS);
    assert!(!cluster.replica(3).status(cluster.now).disk_healthy);
    cluster.set_disk_hangs(3, false);
    cluster.run(SECOND);
    assert!(cluster.replica(3).status(cluster.now).disk_healthy);
    assert_eq!(&restore(cluster.records(3)), cluster.replica(1).state());
}
