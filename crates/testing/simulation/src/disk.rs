//! A simulated disk: what is queued when a write ends goes with the next one, as in the process's state writer; what is under way at a
//! kill is kept or lost.

use crate::rng::Rng;
use crate::Micros;
use limeway_consensus::Acceptor;
use limeway_control_plane::{LogRecord, WriteId};
use limeway_routing_config::State;
use limeway_service_registry::ServerReport;
use std::collections::{BTreeMap, VecDeque};

/// What a machine has on disk, and its writes in flight.
#[derive(Debug, Clone)]
pub struct Disk {
    /// The acceptor.
    pub acceptor: Acceptor,
    /// The agreed state.
    pub state: State,
    /// Evacuation calls that are answered.
    pub answered_calls: Vec<u64>,
    /// Instances that leave or have ended, by id.
    leaving: BTreeMap<String, Vec<u8>>,
    queue: VecDeque<(WriteId, LogRecord)>,
    /// Records of the queue that the write under way takes.
    under_way: usize,
    failed: bool,
    /// Whether it refuses writes.
    pub full: bool,
    /// Until when it is stalled.
    pub hangs: Micros,
    /// Duration of a write.
    pub sync: Micros,
}

impl Disk {
    /// An empty disk of this incarnation.
    pub fn new(incarnation: u64, sync: Micros) -> Self {
        Disk {
            acceptor: Acceptor { disk: incarnation, ..Acceptor::default() },
            state: State::default(),
            answered_calls: Vec::new(),
            leaving: BTreeMap::new(),
            queue: VecDeque::new(),
            under_way: 0,
            failed: false,
            full: false,
            hangs: 0,
            sync,
        }
    }

    /// The instances that leave or have ended, as a process finds them.
    pub fn leaving(&self) -> Vec<ServerReport> {
        self.leaving.values().filter_map(|report| limeway_distribution::decode(report)).collect()
    }

    /// Queues a record. True if none was in flight, so that the end of this one has to be scheduled.
    pub fn push(&mut self, job: WriteId, record: LogRecord) -> bool {
        self.queue.push_back((job, record));
        let is_first = self.queue.len() == 1;
        if is_first {
            self.under_way = 1;
        }
        is_first
    }

    /// Ends the write under way: the ids of its records, and whether each is on disk. The next one takes all that is queued.
    pub fn end(&mut self) -> Vec<(WriteId, Result<bool, String>)> {
        let count = self.under_way.min(self.queue.len());
        let records: Vec<(WriteId, LogRecord)> = self.queue.drain(..count).collect();
        self.under_way = self.queue.len();
        records.into_iter().map(|(job, record)| (job, self.write(record))).collect()
    }

    fn write(&mut self, record: LogRecord) -> Result<bool, String> {
        if self.full || (self.failed && record.snapshot.is_none()) {
            self.failed = true;
            return Ok(false);
        }
        self.failed = false;
        self.apply(record).map(|()| true)
    }

    /// Writes in flight.
    pub fn waits(&self) -> usize {
        self.queue.len()
    }

    fn apply(&mut self, record: LogRecord) -> Result<(), String> {
        if record.acceptor.disk != self.acceptor.disk {
            return Err(format!(
                "a record of incarnation {} on a disk of incarnation {}",
                record.acceptor.disk, self.acceptor.disk
            ));
        }
        if let Some((slot, bytes)) = record.snapshot {
            let state: Option<State> = limeway_distribution::decode(&bytes);
            self.state = state.filter(|s| s.slot == slot).ok_or("a snapshot that cannot be read")?;
        }
        for (slot, op) in record.operations {
            if slot != self.state.slot + 1 {
                return Err(format!("operation {slot} written on a state of slot {}", self.state.slot));
            }
            let op = limeway_distribution::transfer::decompress(&op)
                .and_then(|op| limeway_distribution::decode(&op));
            self.state.apply(&op.ok_or("an operation that cannot be read")?);
        }
        if record.acceptor.applied != self.state.slot {
            let (acceptor, state) = (record.acceptor.applied, self.state.slot);
            return Err(format!("acceptor of slot {acceptor} beside a state of slot {state}"));
        }
        if let Some(leaving) = record.leaving {
            if leaving.replaces_all {
                self.leaving.clear();
            }
            self.leaving.extend(leaving.changed.into_iter().map(|report| (report.id, report.report)));
        }
        self.acceptor = record.acceptor;
        self.answered_calls = record.answered_calls.unwrap_or(std::mem::take(&mut self.answered_calls));
        Ok(())
    }

    /// The process or the power fails: a prefix of the writes in flight still reaches the disk.
    pub fn interrupt(&mut self, rng: &mut Rng) -> Result<(), String> {
        let kept = rng.below(self.queue.len() as u64 + 1);
        let writes = !self.full && !self.failed;
        for (_, record) in std::mem::take(&mut self.queue).into_iter().take(kept as usize) {
            if writes {
                self.apply(record)?;
            }
        }
        self.failed = false;
        Ok(())
    }
}
