//! Rows of the file, in this format and the one before it.

use crate::{Acceptor, LogRecord, Recovered, StorageError};
use error_stack::{Report, ResultExt};
use limeway_consensus::{DiskIncarnation, LeavingReports, NodeId, Slot, SlotState};
use redb::{ReadTransaction, ReadableTable, TableDefinition, TableError, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the file's format.
pub(crate) const FORMAT: u32 = 2;
/// The format that is read and converted: the whole state in one row, rewritten with each slot.
const FORMAT_V1: u32 = 1;
/// Bytes of a value in one row, so that a page of the file has 64 KiB at most.
const MAX_ROW_BYTES: usize = 64 * 1024 - 128;

/// Rows by name: `identity`, `votes`, `snapshot` (its head), `answered` (calls; none in files of earlier builds). Format 1 had `state`
/// here as well.
const ROWS: TableDefinition<'static, &'static str, &'static [u8]> = TableDefinition::new("state");
/// Chunks of the snapshot, by number.
const SNAPSHOT: TableDefinition<'static, u32, &'static [u8]> = TableDefinition::new("snapshot");
/// Chunks of operations, by slot and number.
const OPERATIONS: TableDefinition<'static, (u64, u32), &'static [u8]> = TableDefinition::new("ops");
/// Reports of instances that leave or have ended, by id. Files of earlier builds have no such table.
const LEAVING: TableDefinition<'static, &'static str, &'static [u8]> = TableDefinition::new("leaving");

/// Whose file this is.
#[derive(Serialize, Deserialize)]
pub(crate) struct Identity {
    pub format: u32,
    pub node: NodeId,
    #[serde(rename = "own")]
    pub disk: DiskIncarnation,
    /// Grows with each file that replaces another.
    #[serde(rename = "turn", default)]
    pub generation: u64,
}

/// Slot and length of the snapshot.
#[derive(Serialize, Deserialize)]
struct SnapshotHead {
    slot: Slot,
    len: u64,
}

#[derive(Deserialize)]
struct AcceptorV1 {
    applied: Slot,
    #[serde(rename = "open")]
    slot_state: SlotState,
    #[serde(rename = "votes")]
    has_voted: bool,
}

pub(crate) type StorageResult<T> = Result<T, Report<StorageError>>;

fn encode(value: &impl Serialize) -> StorageResult<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).change_context(StorageError::Write)?;
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> StorageResult<T> {
    ciborium::from_reader(bytes).change_context(StorageError::Read)
}

/// A value in chunks; an empty one has one, empty chunk.
fn chunks(bytes: &[u8]) -> impl Iterator<Item = (u32, &[u8])> {
    let empty = bytes.is_empty().then_some(bytes);
    empty.into_iter().chain(bytes.chunks(MAX_ROW_BYTES)).enumerate().map(|(at, chunk)| (at as u32, chunk))
}

fn corrupt(why: &'static str) -> Report<StorageError> {
    Report::new(StorageError::Read).attach(why)
}

/// All that a file holds.
pub(crate) struct Contents {
    pub format: u32,
    pub generation: u64,
    pub found: Recovered,
}

/// Reads a file of this format or the one before it.
pub(crate) fn read(read: &ReadTransaction, node: NodeId) -> StorageResult<Contents> {
    let rows = read.open_table(ROWS).change_context(StorageError::Read)?;
    let row = |name: &str| -> StorageResult<Option<Vec<u8>>> {
        Ok(rows.get(name).change_context(StorageError::Read)?.map(|v| v.value().to_vec()))
    };
    let identity: Identity = decode(&row("identity")?.ok_or_else(|| corrupt("no identity"))?)?;
    if identity.node != node {
        return Err(corrupt("another machine's file"));
    }
    let acceptor = row("votes")?;
    let mut found = Recovered { is_new: true, ..Recovered::default() };
    found.acceptor.disk = identity.disk;
    match identity.format {
        FORMAT => {
            if let Some(acceptor) = acceptor {
                found.acceptor = decode(&acceptor)?;
                found.is_new = false;
            }
            found.snapshot = row("snapshot")?.map(|head| snapshot(read, &decode(&head)?)).transpose()?;
            found.operations = operations(read)?;
            found.answered_calls =
                row("answered")?.map(|calls| decode(&calls)).transpose()?.unwrap_or_default();
            found.leaving = leaving(read)?;
            Ok(Contents { format: FORMAT, generation: identity.generation, found })
        }
        FORMAT_V1 => read_v1(row, acceptor, found),
        _ => Err(corrupt("another format")),
    }
}

/// Reads a file of format 1.
fn read_v1(
    row: impl Fn(&str) -> StorageResult<Option<Vec<u8>>>,
    acceptor: Option<Vec<u8>>,
    mut found: Recovered,
) -> StorageResult<Contents> {
    let before: Option<AcceptorV1> = acceptor.map(|acceptor| decode(&acceptor)).transpose()?;
    // A machine that has not voted is as one that lost its disk.
    let Some(before) = before.filter(|b| b.has_voted) else {
        return Ok(Contents { format: FORMAT_V1, generation: 0, found });
    };
    // Voters of that time were machines only: all disks that voted are of incarnation 0.
    found.acceptor = Acceptor { disk: 0, applied: before.applied, slot_state: before.slot_state };
    found.is_new = false;
    found.snapshot = row("state")?.map(|state| (before.applied, state));
    if before.applied > 0 && found.snapshot.is_none() {
        return Err(corrupt("an acceptor without a state"));
    }
    Ok(Contents { format: FORMAT_V1, generation: 0, found })
}

fn snapshot(read: &ReadTransaction, head: &SnapshotHead) -> StorageResult<(Slot, Vec<u8>)> {
    let table = read.open_table(SNAPSHOT).change_context(StorageError::Read)?;
    let len = usize::try_from(head.len).ok().filter(|l| *l <= crate::MAX_SNAPSHOT_BYTES);
    let mut state = Vec::with_capacity(len.ok_or_else(|| corrupt("the snapshot's length"))?);
    for (at, row) in table.iter().change_context(StorageError::Read)?.enumerate() {
        let (key, part) = row.change_context(StorageError::Read)?;
        if key.value() as usize != at || state.len() + part.value().len() > state.capacity() {
            return Err(corrupt("the snapshot's chunks"));
        }
        state.extend_from_slice(part.value());
    }
    if state.len() as u64 != head.len {
        return Err(corrupt("the snapshot's length"));
    }
    Ok((head.slot, state))
}

fn operations(read: &ReadTransaction) -> StorageResult<Vec<(Slot, Vec<u8>)>> {
    let table = read.open_table(OPERATIONS).change_context(StorageError::Read)?;
    let mut operations: Vec<(Slot, Vec<u8>)> = Vec::new();
    for row in table.iter().change_context(StorageError::Read)? {
        let (key, part) = row.change_context(StorageError::Read)?;
        match (key.value(), operations.last_mut()) {
            ((slot, 0), _) => operations.push((slot, part.value().to_vec())),
            ((slot, _), Some((last, operation))) if *last == slot => {
                operation.extend_from_slice(part.value());
            }
            _ => return Err(corrupt("an operation's chunks")),
        }
    }
    Ok(operations)
}

fn leaving(read: &ReadTransaction) -> StorageResult<Vec<Vec<u8>>> {
    let table = match read.open_table(LEAVING) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
        Err(e) => return Err(Report::new(e).change_context(StorageError::Read)),
    };
    let mut reports = Vec::new();
    for row in table.iter().change_context(StorageError::Read)? {
        reports.push(row.change_context(StorageError::Read)?.1.value().to_vec());
    }
    Ok(reports)
}

fn put_rows(write: &WriteTransaction, rows: &[(&str, Option<Vec<u8>>)]) -> StorageResult<()> {
    let mut table = write.open_table(ROWS).change_context(StorageError::Write)?;
    for (name, value) in rows {
        match value {
            Some(bytes) => table.insert(*name, bytes.as_slice()),
            None => table.remove(*name),
        }
        .change_context(StorageError::Write)?;
    }
    Ok(())
}

/// Writes whose file this is, and makes all tables.
pub(crate) fn put_identity(
    write: &WriteTransaction,
    node: NodeId,
    disk: DiskIncarnation,
    generation: u64,
) -> StorageResult<()> {
    put_rows(write, &[("identity", Some(encode(&Identity { format: FORMAT, node, disk, generation })?))])?;
    write.open_table(SNAPSHOT).change_context(StorageError::Write)?;
    write.open_table(OPERATIONS).change_context(StorageError::Write).map(drop)
}

/// Brings a file of the format before to this one, in one transaction with whatever else is in it.
pub(crate) fn convert(write: &WriteTransaction, node: NodeId, contents: &Contents) -> StorageResult<()> {
    put_identity(write, node, contents.found.acceptor.disk, 0)?;
    put_rows(write, &[("state", None)])?;
    let acceptor = (!contents.found.is_new).then(|| encode(&contents.found.acceptor)).transpose()?;
    put_rows(write, &[("votes", acceptor)])?;
    contents.found.snapshot.as_ref().map_or(Ok(()), |(slot, state)| put_snapshot(write, *slot, state))
}

/// Writes the acceptor.
pub(crate) fn put_acceptor(write: &WriteTransaction, acceptor: &Acceptor) -> StorageResult<()> {
    put_rows(write, &[("votes", Some(encode(acceptor)?))])
}

/// Writes the ids of the calls that are answered.
pub(crate) fn put_answered_calls(write: &WriteTransaction, calls: &Vec<u64>) -> StorageResult<()> {
    put_rows(write, &[("answered", Some(encode(calls)?))])
}

/// Writes reports of instances that leave or have ended.
pub(crate) fn put_leaving(write: &WriteTransaction, leaving: &LeavingReports) -> StorageResult<()> {
    let mut table = write.open_table(LEAVING).change_context(StorageError::Write)?;
    if leaving.replaces_all {
        table.retain(|_, _| false).change_context(StorageError::Write)?;
    }
    for report in &leaving.changed {
        table.insert(report.id.as_str(), report.report.as_slice()).change_context(StorageError::Write)?;
    }
    Ok(())
}

/// Writes the operations of a record.
pub(crate) fn put_operations(write: &WriteTransaction, record: &LogRecord) -> StorageResult<()> {
    let mut table = write.open_table(OPERATIONS).change_context(StorageError::Write)?;
    for (slot, op) in &record.operations {
        for (at, chunk) in chunks(op) {
            table.insert((*slot, at), chunk).change_context(StorageError::Write)?;
        }
    }
    Ok(())
}

/// Writes a snapshot, and drops the operations that it covers.
pub(crate) fn put_snapshot(write: &WriteTransaction, slot: Slot, state: &[u8]) -> StorageResult<()> {
    put_rows(write, &[("snapshot", Some(encode(&SnapshotHead { slot, len: state.len() as u64 })?))])?;
    let mut table = write.open_table(SNAPSHOT).change_context(StorageError::Write)?;
    let mut count = 0;
    for (at, chunk) in chunks(state) {
        table.insert(at, chunk).change_context(StorageError::Write)?;
        count = at + 1;
    }
    table.retain_in(count.., |_, _| false).change_context(StorageError::Write)?;
    let mut ops = write.open_table(OPERATIONS).change_context(StorageError::Write)?;
    ops.retain_in(..=(slot, u32::MAX), |_, _| false).change_context(StorageError::Write)
}
