//! Instances that leave or have ended, on disk: that one leaves is acknowledged once a majority of the voters has it there. A kill of all
//! processes must not take it, or a late heartbeat brings the instance back.
//!
//! Departures come by hundreds where a service is replaced or a zone is given up: what comes while a write is under way shares the next one.

use super::persistence::AfterWrite;
use super::ControlPlane;
use limeway_consensus::{LeavingReport, LeavingReports};
use limeway_distribution::encode;
use limeway_service_registry::{Phase, ServerReport, ServiceRegistry};
use limeway_types::Timestamp;
use std::collections::BTreeSet;

/// Reports on disk beyond twice those that are known after which a record replaces them all.
const MAX_FORGOTTEN_REPORTS: usize = 256;

/// What of the departures is not on disk yet.
#[derive(Debug, Default)]
pub(crate) struct LeavingRecords {
    /// Instances whose reports go into the next record.
    unwritten: BTreeSet<String>,
    /// Reports on disk, those of forgotten instances too.
    written_count: usize,
    /// A write of departures is under way.
    is_writing: bool,
    /// What follows the next one.
    waiting: Vec<AfterWrite>,
}

impl LeavingRecords {
    /// Those that were found on disk.
    pub(crate) fn recovered(count: usize) -> Self {
        LeavingRecords { written_count: count, ..LeavingRecords::default() }
    }

    pub(crate) fn pending_count(&self) -> usize {
        self.waiting.len()
    }

    /// What the next record says of them; nothing if the last one still holds.
    pub(crate) fn take_unwritten(
        &mut self,
        now: Timestamp,
        registry: &ServiceRegistry,
        is_snapshot: bool,
    ) -> Option<LeavingReports> {
        if !is_snapshot && self.unwritten.is_empty() {
            return None;
        }
        let unwritten = std::mem::take(&mut self.unwritten);
        let leaving = registry.leaving(now);
        let count_after = self.written_count + unwritten.len();
        let replaces_all = is_snapshot || count_after > 2 * leaving.len() + MAX_FORGOTTEN_REPORTS;
        let is_due = |report: &&ServerReport| replaces_all || unwritten.contains(&report.id);
        let changed: Vec<LeavingReport> = leaving.iter().filter(is_due).map(encoded).collect();
        self.written_count = if replaces_all { changed.len() } else { count_after };
        Some(LeavingReports { replaces_all, changed })
    }
}

fn encoded(report: &ServerReport) -> LeavingReport {
    LeavingReport { id: report.id.clone(), report: encode(report) }
}

/// Whether a report says that its instance leaves, or has ended.
pub(crate) fn is_leaving(report: &ServerReport) -> bool {
    report.phase != Phase::Ready
}

impl ControlPlane {
    /// Notes that an instance leaves, for the next record.
    pub(crate) fn note_leaving(&mut self, id: &str) {
        self.leaving.unwritten.insert(id.to_owned());
    }

    /// Has the departures that were noted written to disk, and this done after that.
    pub(crate) fn record_leaving(&mut self, after: AfterWrite) {
        self.leaving.waiting.push(after);
        self.write_leaving();
    }

    /// Writes what was heard from other replicas and nobody waits for, once a round.
    pub(crate) fn write_noted_leaving(&mut self) {
        if !self.leaving.unwritten.is_empty() && self.options.loss_counted {
            self.write_leaving();
        }
    }

    fn write_leaving(&mut self) {
        if self.leaving.is_writing {
            return;
        }
        self.leaving.is_writing = true;
        let mut after = std::mem::take(&mut self.leaving.waiting);
        after.push(AfterWrite::LeavingWritten);
        self.persist(after);
    }

    /// A write of departures is done: what has come meanwhile goes with the next one.
    pub(crate) fn leaving_written(&mut self) {
        self.leaving.is_writing = false;
        if !self.leaving.waiting.is_empty() {
            self.write_leaving();
        }
    }

    /// A write of departures came to nothing: neither does what waits for the next one.
    pub(crate) fn leaving_not_written(&mut self) {
        self.leaving.is_writing = false;
        let waiting = std::mem::take(&mut self.leaving.waiting);
        self.give_up(waiting);
    }
}
