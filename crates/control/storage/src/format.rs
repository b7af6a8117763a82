//! Rows of the file, in this format and the one before it.

use crate::{Found, Record, VaultError, Votes};
use error_stack::{Report, ResultExt};
use limeway_consensus::{DiskIncarnation, NodeId, Slot, SlotState};
use redb::{ReadTransaction, ReadableTable, TableDefinition, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the file's format.
pub(crate) const FORMAT: u32 = 2;
/// The format that is read and converted: the whole state in one row, rewritten with each slot.
const FORMAT_BEFORE: u32 = 1;
/// Bytes of a value in one row, so that a page of the file has 64 KiB at most.
const PART: usize = 64 * 1024 - 128;

/// Rows by name: `identity`, `votes`, `snapshot` (its head). Format 1 had `state` here as well.
const ROWS: TableDefinition<'static, &'static str, &'static [u8]> = TableDefinition::new("state");
/// Parts of the snapshot, by number.
const SNAPSHOT: TableDefinition<'static, u32, &'static [u8]> = TableDefinition::new("snapshot");
/// Parts of operations, by slot and number.
const OPS: TableDefinition<'static, (u64, u32), &'static [u8]> = TableDefinition::new("ops");

/// Whose file this is.
#[derive(Serialize, Deserialize)]
pub(crate) struct Identity {
    pub format: u32,
    pub node: NodeId,
    pub own: DiskIncarnation,
    /// Grows with each file that takes the place of another.
    #[serde(default)]
    pub turn: u64,
}

#[derive(Serialize, Deserialize)]
struct Head {
    slot: Slot,
    len: u64,
}

#[derive(Deserialize)]
struct VotesBefore {
    applied: Slot,
    open: SlotState,
    votes: bool,
}

type Outcome<T> = Result<T, Report<VaultError>>;

fn pack(value: &impl Serialize) -> Outcome<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).change_context(VaultError::Write)?;
    Ok(bytes)
}

fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Outcome<T> {
    ciborium::from_reader(bytes).change_context(VaultError::Read)
}

/// A value in parts; an empty one has one, empty part.
fn parts(bytes: &[u8]) -> impl Iterator<Item = (u32, &[u8])> {
    let empty = bytes.is_empty().then_some(bytes);
    empty.into_iter().chain(bytes.chunks(PART)).enumerate().map(|(at, part)| (at as u32, part))
}

fn spoilt(why: &'static str) -> Report<VaultError> {
    Report::new(VaultError::Read).attach(why)
}

/// All that a file holds.
pub(crate) struct Contents {
    pub format: u32,
    pub turn: u64,
    pub found: Found,
}

/// Reads a file of this format or the one before it.
pub(crate) fn read(read: &ReadTransaction, node: NodeId) -> Outcome<Contents> {
    let rows = read.open_table(ROWS).change_context(VaultError::Read)?;
    let row = |name: &str| -> Outcome<Option<Vec<u8>>> {
        Ok(rows.get(name).change_context(VaultError::Read)?.map(|v| v.value().to_vec()))
    };
    let identity: Identity = unpack(&row("identity")?.ok_or_else(|| spoilt("no identity"))?)?;
    if identity.node != node {
        return Err(spoilt("another machine's file"));
    }
    let votes = row("votes")?;
    let mut found = Found { empty: true, ..Found::default() };
    found.votes.life = identity.own;
    match identity.format {
        FORMAT => {
            if let Some(votes) = votes {
                found.votes = unpack(&votes)?;
                found.empty = false;
            }
            found.snapshot = row("snapshot")?.map(|head| snapshot(read, &unpack(&head)?)).transpose()?;
            found.ops = ops(read)?;
            Ok(Contents { format: FORMAT, turn: identity.turn, found })
        }
        FORMAT_BEFORE => {
            let before: Option<VotesBefore> = votes.map(|votes| unpack(&votes)).transpose()?;
            // One that had no vote is as one that lost its disk.
            let Some(before) = before.filter(|b| b.votes) else {
                return Ok(Contents { format: FORMAT_BEFORE, turn: 0, found });
            };
            // Seats of that time named machines only: all disks that voted are of the first life.
            found.votes = Votes { life: 0, applied: before.applied, open: before.open };
            found.empty = false;
            found.snapshot = row("state")?.map(|state| (before.applied, state));
            if before.applied > 0 && found.snapshot.is_none() {
                return Err(spoilt("votes without a state"));
            }
            Ok(Contents { format: FORMAT_BEFORE, turn: 0, found })
        }
        _ => Err(spoilt("another format")),
    }
}

fn snapshot(read: &ReadTransaction, head: &Head) -> Outcome<(Slot, Vec<u8>)> {
    let table = read.open_table(SNAPSHOT).change_context(VaultError::Read)?;
    let len = usize::try_from(head.len).ok().filter(|l| *l <= crate::SNAPSHOT_MOST);
    let mut state = Vec::with_capacity(len.ok_or_else(|| spoilt("the snapshot's length"))?);
    for (at, row) in table.iter().change_context(VaultError::Read)?.enumerate() {
        let (key, part) = row.change_context(VaultError::Read)?;
        if key.value() as usize != at || state.len() + part.value().len() > state.capacity() {
            return Err(spoilt("the snapshot's parts"));
        }
        state.extend_from_slice(part.value());
    }
    if state.len() as u64 != head.len {
        return Err(spoilt("the snapshot's length"));
    }
    Ok((head.slot, state))
}

fn ops(read: &ReadTransaction) -> Outcome<Vec<(Slot, Vec<u8>)>> {
    let table = read.open_table(OPS).change_context(VaultError::Read)?;
    let mut ops: Vec<(Slot, Vec<u8>)> = Vec::new();
    for row in table.iter().change_context(VaultError::Read)? {
        let (key, part) = row.change_context(VaultError::Read)?;
        match (key.value(), ops.last_mut()) {
            ((slot, 0), _) => ops.push((slot, part.value().to_vec())),
            ((slot, _), Some((last, op))) if *last == slot => op.extend_from_slice(part.value()),
            _ => return Err(spoilt("an operation's parts")),
        }
    }
    Ok(ops)
}

fn put_rows(write: &WriteTransaction, rows: &[(&str, Option<Vec<u8>>)]) -> Outcome<()> {
    let mut table = write.open_table(ROWS).change_context(VaultError::Write)?;
    for (name, value) in rows {
        match value {
            Some(bytes) => table.insert(*name, bytes.as_slice()),
            None => table.remove(*name),
        }
        .change_context(VaultError::Write)?;
    }
    Ok(())
}

/// Writes whose file this is, and makes all tables.
pub(crate) fn put_identity(
    write: &WriteTransaction,
    node: NodeId,
    own: DiskIncarnation,
    turn: u64,
) -> Outcome<()> {
    put_rows(write, &[("identity", Some(pack(&Identity { format: FORMAT, node, own, turn })?))])?;
    write.open_table(SNAPSHOT).change_context(VaultError::Write)?;
    write.open_table(OPS).change_context(VaultError::Write).map(drop)
}

/// Brings a file of the format before to this one, in one transaction with whatever else is in it.
pub(crate) fn convert(write: &WriteTransaction, node: NodeId, contents: &Contents) -> Outcome<()> {
    put_identity(write, node, contents.found.votes.life, 0)?;
    put_rows(write, &[("state", None)])?;
    let votes = (!contents.found.empty).then(|| pack(&contents.found.votes)).transpose()?;
    put_rows(write, &[("votes", votes)])?;
    contents.found.snapshot.as_ref().map_or(Ok(()), |(slot, state)| put_snapshot(write, *slot, state))
}

/// Writes the part in ballots.
pub(crate) fn put_votes(write: &WriteTransaction, votes: &Votes) -> Outcome<()> {
    put_rows(write, &[("votes", Some(pack(votes)?))])
}

/// Writes the operations of a record.
pub(crate) fn put_ops(write: &WriteTransaction, record: &Record) -> Outcome<()> {
    let mut table = write.open_table(OPS).change_context(VaultError::Write)?;
    for (slot, op) in &record.ops {
        for (at, part) in parts(op) {
            table.insert((*slot, at), part).change_context(VaultError::Write)?;
        }
    }
    Ok(())
}

/// Writes a snapshot, and drops the operations that it stands for.
pub(crate) fn put_snapshot(write: &WriteTransaction, slot: Slot, state: &[u8]) -> Outcome<()> {
    put_rows(write, &[("snapshot", Some(pack(&Head { slot, len: state.len() as u64 })?))])?;
    let mut table = write.open_table(SNAPSHOT).change_context(VaultError::Write)?;
    let mut count = 0;
    for (at, part) in parts(state) {
        table.insert(at, part).change_context(VaultError::Write)?;
        count = at + 1;
    }
    table.retain_in(count.., |_, _| false).change_context(VaultError::Write)?;
    let mut ops = write.open_table(OPS).change_context(VaultError::Write)?;
    ops.retain_in(..=(slot, u32::MAX), |_, _| false).change_context(VaultError::Write)
}
