//! Persistence: what is on disk, and what waits for it. Nothing that depends on a write leaves this replica before the write is done.
//!
//! After a write that failed, memory may hold more than the disk does. Nothing more is promised until a snapshot has been written.
//! A disk that hangs is no better: while a write takes longer than [`WRITE_TIMEOUT`] this replica says that its disk is unhealthy.

use super::ControlPlane;
use crate::api::{Action, CallerId, WriteId};
use crate::messages::Reply;
use limeway_consensus::{AcceptorReply, LogRecord, Slot};
use limeway_distribution::encode;
use limeway_invariants::{check, Invariant};
use limeway_types::{Micros, Timestamp, MILLISECOND, SECOND};
use serde_bytes::ByteBuf;
use std::collections::VecDeque;

/// Upper bound on the writes under way.
const MAX_WRITES: usize = 64;
/// A disk whose write takes longer is unhealthy.
const WRITE_TIMEOUT: Micros = SECOND;
/// A write that takes longer is reported.
const SLOW_WRITE: Micros = 200_000;
/// Writes by which the next ones are judged.
const RECENT_WRITES: usize = 8;
/// Operations after which a snapshot is written.
const SNAPSHOT_AFTER_OPERATIONS: usize = 256;
/// Bytes of operations after which a snapshot is written.
const SNAPSHOT_AFTER_BYTES: usize = 1024 * 1024;

/// What follows once a write is done.
#[derive(Debug)]
pub(crate) enum AfterWrite {
    /// The acceptor's vote goes to a proposer.
    Reply(CallerId, AcceptorReply),
    /// The acceptor's vote counts in this replica's own ballot.
    OwnVote(u64, AcceptorReply),
    /// A chosen value is on disk here.
    Committed(CallerId),
    /// An evacuation call is answered.
    AnswerRecorded(u64),
    /// Reports of instances that leave, from another replica, are on disk here.
    ReportsRecorded(CallerId),
    /// The report of an instance that leaves is on disk here, in this replication.
    OwnReportRecorded(u64),
    /// Departures are on disk: the next ones may be written.
    LeavingWritten,
}

#[derive(Debug)]
struct PendingWrite {
    id: WriteId,
    started: Timestamp,
    slot: Slot,
    after: Vec<AfterWrite>,
}

impl PendingWrite {
    fn report_if_slow(&self, now: Timestamp) {
        let took = now.saturating_sub(self.started);
        if took >= SLOW_WRITE {
            let is_vote =
                |after: &&AfterWrite| matches!(after, AfterWrite::Reply(..) | AfterWrite::OwnVote(..));
            let votes = self.after.iter().filter(is_vote).count();
            log::warn!(took_ms = took / MILLISECOND, votes; "slow write to the state file held back what follows it");
        }
    }
}

/// The state of this replica's disk.
#[derive(Debug)]
pub(crate) struct Persistence {
    pending: VecDeque<PendingWrite>,
    last_write: WriteId,
    /// Operations applied and not yet handed to the disk, compressed.
    unwritten: Vec<(Slot, ByteBuf)>,
    /// Operations handed to the disk since the last snapshot.
    logged_operations: usize,
    /// Their bytes.
    logged_bytes: usize,
    durable_slot: Slot,
    /// How long the last writes took, their time in the queue included.
    recent_durations: VecDeque<Micros>,
    failed: bool,
    needs_snapshot: bool,
    /// As last reported.
    reported_healthy: bool,
}

impl Persistence {
    pub(crate) fn new(durable_slot: Slot) -> Self {
        Persistence {
            pending: VecDeque::new(),
            last_write: 0,
            unwritten: Vec::new(),
            logged_operations: 0,
            logged_bytes: 0,
            durable_slot,
            recent_durations: VecDeque::new(),
            failed: false,
            // The log that was found may have any length.
            needs_snapshot: true,
            reported_healthy: true,
        }
    }

    /// Whether the disk takes writes.
    pub(crate) fn is_healthy(&self, now: Timestamp) -> bool {
        !self.failed && self.pending.front().is_none_or(|write| now < write.started + WRITE_TIMEOUT)
    }

    /// How long a write may take, by the slowest of the last ones and the one under way.
    pub(crate) fn write_time(&self, now: Timestamp) -> Micros {
        let under_way = self.pending.front().map(|write| now.saturating_sub(write.started));
        let slowest = self.recent_durations.iter().copied().chain(under_way).max();
        slowest.unwrap_or(0).min(WRITE_TIMEOUT)
    }

    fn note_duration(&mut self, duration: Micros) {
        self.recent_durations.truncate(RECENT_WRITES - 1);
        self.recent_durations.push_front(duration);
    }

    /// Logs that the disk takes no writes any more, or takes them again.
    pub(crate) fn report_health(&mut self, now: Timestamp) {
        let is_healthy = self.is_healthy(now);
        if is_healthy == std::mem::replace(&mut self.reported_healthy, is_healthy) {
            return;
        }
        if is_healthy {
            log::warn!("the disk takes writes again: this replica votes");
        } else {
            let waits_ms = self.pending.front().map_or(0, |write| (now - write.started) / MILLISECOND);
            log::warn!(waits_ms, failed = self.failed; "the disk takes no writes: this replica does not vote");
        }
    }

    /// The last slot that is on disk.
    pub(crate) fn durable_slot(&self) -> Slot {
        self.durable_slot
    }

    pub(crate) fn pending_count(&self) -> usize {
        self.pending.len() + self.unwritten.len()
    }

    /// Whether the last write failed, and none is under way that may succeed.
    pub(crate) fn should_retry(&self) -> bool {
        self.failed && self.pending.is_empty()
    }

    /// Queues an operation for the next write.
    pub(crate) fn append(&mut self, slot: Slot, operation: ByteBuf) {
        self.unwritten.push((slot, operation));
    }

    /// The next write brings a snapshot.
    pub(crate) fn require_snapshot(&mut self) {
        self.unwritten.clear();
        self.needs_snapshot = true;
    }

    /// The operations of the next record; none if it brings a snapshot instead.
    fn take_operations(&mut self) -> Option<Vec<(Slot, Vec<u8>)>> {
        let operations = std::mem::take(&mut self.unwritten);
        self.logged_operations += operations.len();
        self.logged_bytes += operations.iter().map(|(_, operation)| operation.len()).sum::<usize>();
        let too_long =
            self.logged_operations > SNAPSHOT_AFTER_OPERATIONS || self.logged_bytes > SNAPSHOT_AFTER_BYTES;
        if self.needs_snapshot || too_long {
            (self.logged_operations, self.logged_bytes, self.needs_snapshot) = (0, 0, false);
            return None;
        }
        Some(operations.into_iter().map(|(slot, operation)| (slot, operation.into_vec())).collect())
    }
}

impl ControlPlane {
    /// Writes all that is not on disk; `after` follows.
    pub(crate) fn persist(&mut self, after: Vec<AfterWrite>) {
        if self.persistence.pending.len() >= MAX_WRITES {
            self.persistence.require_snapshot();
            return self.give_up(after);
        }
        let state = &self.cache.state;
        let (operations, snapshot) = match self.persistence.take_operations() {
            Some(operations) => (operations, None),
            None => (Vec::new(), Some((state.slot, encode(state)))),
        };
        self.persistence.last_write += 1;
        let id = self.persistence.last_write;
        let write = PendingWrite { id, started: self.now, slot: state.slot, after };
        self.persistence.pending.push_back(write);
        let answered_calls = self.answered_calls.take_unwritten(snapshot.is_some());
        let leaving = self.leaving.take_unwritten(self.now, &self.cache.registry, snapshot.is_some());
        let record =
            LogRecord { acceptor: self.acceptor.clone(), operations, snapshot, answered_calls, leaving };
        self.actions.push(Action::Write(id, record));
    }

    /// A write is done, or failed, and so are all before it.
    pub(crate) fn write_completed(&mut self, id: WriteId, done: bool) {
        while self.persistence.pending.front().is_some_and(|write| write.id <= id) {
            let Some(write) = self.persistence.pending.pop_front() else { return };
            write.report_if_slow(self.now);
            self.persistence.note_duration(self.now.saturating_sub(write.started));
            self.persistence.failed = !done;
            if done {
                self.persistence.durable_slot = self.persistence.durable_slot.max(write.slot);
                self.follow_up(write.after);
            } else {
                self.persistence.require_snapshot();
                self.give_up(write.after);
            }
        }
    }

    fn follow_up(&mut self, after: Vec<AfterWrite>) {
        for after in after {
            match after {
                AfterWrite::Reply(caller, reply) => {
                    self.check_durable_vote();
                    self.yield_to_other();
                    self.actions.push(Action::Reply(caller, Reply::Acceptor(reply)));
                }
                AfterWrite::OwnVote(ballot, reply) => {
                    self.check_durable_vote();
                    self.handle_vote(ballot, self.options.node, reply);
                    self.reply_counted(ballot);
                }
                AfterWrite::Committed(caller) => self.actions.push(Action::Reply(caller, Reply::Done)),
                AfterWrite::AnswerRecorded(call_id) => self.answer_recorded(call_id),
                AfterWrite::ReportsRecorded(caller) => self.actions.push(Action::Reply(caller, Reply::Done)),
                AfterWrite::OwnReportRecorded(number) => self.handle_report_replicated(number, true),
                AfterWrite::LeavingWritten => self.leaving_written(),
            }
        }
    }

    /// A vote leaves: what it promises is on disk.
    fn check_durable_vote(&self) {
        let others_pending = !self.persistence.pending.is_empty();
        check(Invariant::DurableVote, others_pending, !self.persistence.failed, || {
            "a write has failed".into()
        });
    }

    /// What was to follow a write that cannot be made.
    pub(crate) fn give_up(&mut self, after: Vec<AfterWrite>) {
        for after in after {
            match after {
                AfterWrite::Reply(caller, _) => {
                    self.actions.push(Action::Reply(caller, Reply::Acceptor(AcceptorReply::Abstained)));
                }
                AfterWrite::OwnVote(ballot, _) => self.reply_counted(ballot),
                AfterWrite::Committed(caller) => self.actions.push(Action::Reply(caller, Reply::Declined)),
                AfterWrite::AnswerRecorded(call_id) => self.release_call(call_id),
                AfterWrite::ReportsRecorded(caller) => {
                    self.actions.push(Action::Reply(caller, Reply::Declined));
                }
                AfterWrite::OwnReportRecorded(number) => self.handle_report_replicated(number, false),
                AfterWrite::LeavingWritten => self.leaving_not_written(),
            }
        }
    }
}
