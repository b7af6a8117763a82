//! Which records are taken, what a file of the format before becomes, and that the file stays within its bounds.

use crate::script::{op, state, NODE};
use crate::sim::{Loss, Sim, Trouble};
use limeway_consensus::{ProposalNumber, SlotState};
use limeway_storage::{
    Acceptor, LogRecord, StateStore, StorageError, COMPACTION_MIN_BYTES, COMPACTION_RATIO,
    MAX_LOG_OPERATIONS, SNAPSHOT_AFTER_BYTES, SNAPSHOT_AFTER_OPERATIONS,
};
use redb::{Database, TableDefinition};
use rstest::rstest;
use serde::Serialize;
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

fn votes(applied: u64) -> Acceptor {
    Acceptor { disk: 42, applied, slot_state: SlotState::default() }
}

/// Operations from one slot to another.
fn ops(from: u64, to: u64, size: usize) -> LogRecord {
    LogRecord {
        acceptor: votes(to),
        operations: (from..=to).map(|s| (s, op(s, size))).collect(),
        ..LogRecord::default()
    }
}

fn snapshot(slot: u64, size: usize) -> LogRecord {
    LogRecord { acceptor: votes(slot), snapshot: Some((slot, state(slot, size))), ..LogRecord::default() }
}

/// A file with a snapshot of slot 10 and operations up to 15.
fn at_15(sim: &Sim) -> StateStore {
    let (mut store, _) = StateStore::open(sim.clone(), NODE, 42).expect("made");
    assert_eq!(store.write_all(&[snapshot(10, 100), ops(11, 15, 9)]), [Ok(()), Ok(())]);
    store
}

#[rstest]
#[case::a_gap(ops(17, 17, 9), StorageError::OutOfOrder)]
#[case::once_more(ops(15, 15, 9), StorageError::OutOfOrder)]
#[case::a_gap_inside(LogRecord { operations: vec![(16, vec![]), (18, vec![])], ..ops(16, 16, 9) }, StorageError::OutOfOrder)]
#[case::votes_past_the_log(LogRecord { acceptor: votes(16), ..LogRecord::default() }, StorageError::OutOfOrder)]
#[case::an_older_snapshot(snapshot(9, 100), StorageError::OutOfOrder)]
#[case::too_many(ops(16, 16 + MAX_LOG_OPERATIONS as u64, 1), StorageError::LimitExceeded)]
fn what_does_not_follow_is_refused_and_a_snapshot_mends_it(
    #[case] wrong: LogRecord,
    #[case] error: StorageError,
) {
    let sim = Sim::new(Trouble::None);
    let mut store = at_15(&sim);
    assert_eq!(store.write(&wrong), Err(error));
    // Nothing builds on a record that is missing.
    assert_eq!(store.write(&ops(16, 16, 9)), Err(StorageError::SnapshotRequired));
    assert_eq!(store.write(&snapshot(14, 100)), Err(StorageError::OutOfOrder), "less than all that counts");
    let answers = store.write_all(&[ops(16, 16, 9), snapshot(16, 100), ops(17, 17, 9)]);
    assert_eq!(answers, [Err(StorageError::SnapshotRequired), Ok(()), Ok(())]);
    drop(store);
    let (_, found) = StateStore::open(sim, NODE, 43).expect("opened");
    assert_eq!((found.snapshot, found.operations), (Some((16, state(16, 100))), vec![(17, op(17, 9))]));
}

#[rstest]
fn a_snapshot_takes_the_place_of_operations_up_to_its_slot() {
    let sim = Sim::new(Trouble::None);
    assert_eq!(at_15(&sim).write(&LogRecord { acceptor: votes(15), ..snapshot(13, 50) }), Ok(()));
    let (_, found) = StateStore::open(sim, NODE, 43).expect("opened");
    assert_eq!((found.acceptor, found.snapshot), (votes(15), Some((13, state(13, 50)))));
    assert_eq!(found.operations, [(14, op(14, 9)), (15, op(15, 9))]);
}

#[derive(Serialize)]
struct IdentityBefore {
    format: u32,
    node: u32,
    own: u64,
}

#[derive(Serialize)]
struct VotesBefore {
    applied: u64,
    open: SlotState,
    known: BTreeMap<u32, u64>,
    votes: bool,
}

fn pack(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("packed");
    bytes
}

/// A file as the format before had it.
fn before(format: u32, votes: bool) -> (Sim, SlotState) {
    const ROWS: TableDefinition<'static, &'static str, &'static [u8]> = TableDefinition::new("state");
    let sim = Sim::new(Trouble::None);
    let ballot = ProposalNumber { round: 3, proposer: 1, incarnation: 0 };
    let open = SlotState { promised: ballot, accepted: Some((ballot, ByteBuf::from(vec![1, 2, 3]))) };
    let known = BTreeMap::from([(9, 5)]);
    let rows = [
        ("identity", pack(&IdentityBefore { format, node: NODE, own: 77 })),
        ("votes", pack(&VotesBefore { applied: 4, open: open.clone(), known, votes })),
        ("state", vec![9; 100_000]),
    ];
    let db = Database::builder().create_with_backend(sim.file()).expect("made");
    let write = db.begin_write().expect("begun");
    {
        let mut table = write.open_table(ROWS).expect("table");
        rows.iter().for_each(|(n, v)| drop(table.insert(n, v.as_slice()).expect("put")));
    }
    write.commit().expect("written");
    drop(db);
    (sim, open)
}

#[rstest]
fn a_file_of_the_format_before_is_converted_whenever_the_process_ends() {
    let (sim, open) = before(1, true);
    let whole = sim.after(Loss::Killed, Trouble::None);
    drop(StateStore::open(whole.clone(), NODE, 43).expect("opened"));
    for at in 0..=whole.steps() {
        let next = sim.after(Loss::Killed, Trouble::End(at));
        drop(StateStore::open(next.clone(), NODE, 43));
        let next = next.after(Loss::Some(at as u64), Trouble::None);
        let (mut store, found) = StateStore::open(next, NODE, 43).expect("opened");
        assert!(!found.is_new);
        // Voters of that time named machines only: a disk that voted is of the first life.
        assert_eq!(
            found.acceptor,
            Acceptor { disk: 0, applied: 4, slot_state: open.clone() },
            "ended at {at}"
        );
        assert_eq!((found.snapshot, found.operations), (Some((4, vec![9; 100_000])), vec![]));
        assert_eq!(store.write(&ops(5, 6, 9)), Ok(()));
    }
}

#[rstest]
#[case::newer(3, true, true)]
#[case::without_a_vote(1, false, false)]
fn a_file_that_gives_no_vote_counts_as_empty(#[case] format: u32, #[case] votes: bool, #[case] aside: bool) {
    let (sim, _) = before(format, votes);
    let (_store, found) = StateStore::open(sim.clone(), NODE, 43).expect("opened");
    assert!(found.is_new);
    assert_eq!((sim.aside(), found.acceptor.disk), (aside, if aside { 43 } else { 77 }));
}

/// 5,000 records, with a snapshot whenever one is due, at three sizes of state; the last one shrinks.
#[rstest]
#[case::small(20_000, 20_000)]
#[case::large(2_000_000, 2_000_000)]
#[case::shrinks(4_000_000, 20_000)]
#[case::shrinks_much(16_000_000, 20_000)]
fn log_and_file_stay_within_their_bounds(#[case] first: usize, #[case] later: usize) {
    let sim = Sim::new(Trouble::None);
    let (mut store, _) = StateStore::open(sim.clone(), NODE, 42).expect("made");
    assert_eq!(store.write(&snapshot(1, first)), Ok(()));
    let (mut count, mut bytes, mut most) = (0, 0, 0);
    for group in (2..5_002).collect::<Vec<u64>>().chunks(8) {
        let (from, to) = (group[0], group[7]);
        let mut record = ops(from, to, 700);
        (count, bytes) = (count + 8, bytes + 8 * 700);
        if store.snapshot_due() {
            record = snapshot(to, later);
            (count, bytes) = (0, 0);
        }
        assert_eq!(store.write(&record), Ok(()));
        assert!(
            count < SNAPSHOT_AFTER_OPERATIONS + 8 && bytes < SNAPSHOT_AFTER_BYTES.max(first) + 8 * 700,
            "{count} operations"
        );
        most = most.max(store.size());
    }
    let holds = (first.max(later) + SNAPSHOT_AFTER_OPERATIONS * 700) as u64;
    assert!(most <= COMPACTION_MIN_BYTES.max(COMPACTION_RATIO * holds), "{most} bytes for {holds}");
    let end = COMPACTION_MIN_BYTES.max(COMPACTION_RATIO * (later + SNAPSHOT_AFTER_OPERATIONS * 700) as u64);
    assert!(store.size() <= end, "{} bytes at the end", store.size());
    eprintln!("most {most}, holds {holds}, end {}", store.size());
}
