//! What a process knows of the whole system.

use crate::codec::{decode, encode};
use crate::messages::{Member, StateUpdate};
use crate::transfer::{
    compress, decompress, Chunk, Reassembly, ReassemblyStep, StateRequest, Transfer, TransferId,
    MAX_CHUNK_BYTES,
};
use limeway_membership::{Holder, SHARDS};
use limeway_routing_config::{Operation, State};
use limeway_service_registry::ServiceRegistry;
use limeway_types::{ProcessIncarnation, Timestamp};
use serde_bytes::ByteBuf;
use std::cell::RefCell;
use std::collections::VecDeque;

/// Upper bound on the operations kept to be sent as deltas; who lacks more gets a snapshot.
const MAX_RECENT_OPERATIONS: usize = 256;
/// Upper bound on their compressed bytes.
const MAX_RECENT_BYTES: usize = 2 * 1024 * 1024;
/// Snapshots are taken at multiples of so many slots, so that all upstreams have the same bytes.
const SNAPSHOT_INTERVAL: u64 = 64;
/// Snapshots kept: who has begun with one has some 128 slots' time to finish it.
const MAX_SNAPSHOTS: usize = 3;

/// The agreed state and what goes with it, as this process knows them.
#[derive(Debug)]
pub struct StateCache {
    /// The incarnation of this process; sent with each response.
    pub incarnation: ProcessIncarnation,
    /// The agreed state.
    pub state: State,
    /// The last operations, compressed.
    recent: VecDeque<Transfer>,
    recent_bytes: usize,
    /// Snapshots that are sent, oldest first.
    pub(crate) snapshots: RefCell<VecDeque<Transfer>>,
    /// A large update that is being received in chunks.
    reassembly: Option<Reassembly>,
    /// It answers over a thin link, and leaves large updates to the control plane.
    pub(crate) is_relay: bool,
    /// The servers.
    pub registry: ServiceRegistry,
    /// The live members.
    members: Vec<Member>,
    pub(crate) members_revision: u64,
    /// Who holds each shard.
    pub holders: [Holder; SHARDS],
    /// As of when `state` was last confirmed to be the newest; 0 for never.
    pub confirmed_at: Timestamp,
    /// As of when members and holders were confirmed.
    pub(crate) members_confirmed_at: Timestamp,
    /// Confirmations of slots that this cache has not reached yet, with the time as of which they hold.
    pub(crate) pending_confirmations: VecDeque<(u64, Timestamp)>,
}

impl StateCache {
    /// An empty cache of a new process, of a control-plane replica.
    pub fn new(incarnation: ProcessIncarnation) -> Self {
        StateCache {
            incarnation,
            state: State::default(),
            recent: VecDeque::new(),
            recent_bytes: 0,
            snapshots: RefCell::default(),
            reassembly: None,
            is_relay: false,
            registry: ServiceRegistry::default(),
            members: Vec::new(),
            members_revision: 0,
            holders: [Holder::default(); SHARDS],
            confirmed_at: 0,
            members_confirmed_at: 0,
            pending_confirmations: VecDeque::new(),
        }
    }

    /// An empty cache of a new process, of a limiter.
    pub fn relay(incarnation: ProcessIncarnation) -> Self {
        StateCache { is_relay: true, ..StateCache::new(incarnation) }
    }

    /// The live members as this process knows them.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Sets the live members. True if they changed.
    pub fn set_members(&mut self, members: Vec<Member>) -> bool {
        if members == self.members {
            return false;
        }
        self.members = members;
        self.members_revision += 1;
        true
    }

    /// Applies the encoded operation of the next slot. False if it is malformed.
    pub fn apply_operation(&mut self, encoded: &[u8]) -> bool {
        let Some(operation) = decode::<Operation>(encoded) else { return false };
        self.apply(&operation, compress(encoded));
        true
    }

    fn apply_compressed(&mut self, compressed: Vec<u8>) -> bool {
        let operation = decompress(&compressed).and_then(|encoded| decode::<Operation>(&encoded));
        let Some(operation) = operation else { return false };
        self.apply(&operation, compressed);
        true
    }

    fn apply(&mut self, operation: &Operation, compressed: Vec<u8>) {
        self.state.apply(operation);
        self.recent_bytes += compressed.len();
        self.recent.push_back(Transfer::operation(self.state.slot, compressed));
        while self.recent.len() > MAX_RECENT_OPERATIONS || self.recent_bytes > MAX_RECENT_BYTES {
            self.recent_bytes -= self.recent.pop_front().map_or(0, |oldest| oldest.size());
        }
        if !self.is_relay && self.state.slot.is_multiple_of(SNAPSHOT_INTERVAL) {
            self.take_snapshot();
        }
    }

    /// Compresses the state as it is, to be sent.
    pub(crate) fn take_snapshot(&self) {
        let mut snapshots = self.snapshots.borrow_mut();
        if snapshots.len() >= MAX_SNAPSHOTS {
            snapshots.pop_front();
        }
        snapshots.push_back(Transfer::snapshot(self.state.slot, compress(&encode(&self.state))));
    }

    /// Installs a state, if it is newer.
    pub fn install(&mut self, state: State) -> bool {
        if state.slot <= self.state.slot {
            return false;
        }
        self.state.install(state);
        self.recent.clear();
        self.recent_bytes = 0;
        self.snapshots.borrow_mut().clear();
        true
    }

    /// What this cache lacks, for a response of any size.
    pub fn state_request(&self) -> StateRequest {
        let still_useful = |reassembly: &&Reassembly| {
            let transfer = reassembly.received().transfer;
            let next_operation = transfer.slot == self.state.slot + 1;
            next_operation || (transfer.is_snapshot && transfer.slot > self.state.slot)
        };
        let received = self.reassembly.as_ref().filter(still_useful).map(Reassembly::received);
        StateRequest { slot: self.state.slot, received, max_bytes: MAX_CHUNK_BYTES as u32 }
    }

    /// The compressed operations after a slot, if all of them are kept. A process at slot 0 also lacks what the first operation builds
    /// on, so it gets none.
    pub(crate) fn transfers_after(&self, slot: u64) -> Option<impl Iterator<Item = &Transfer>> {
        let missing = usize::try_from(self.state.slot.saturating_sub(slot)).ok()?;
        let kept = slot > 0 && missing <= self.recent.len();
        kept.then(|| self.recent.iter().skip(self.recent.len() - missing))
    }

    /// The compressed operations after a slot, if all of them are kept.
    pub fn compressed_after(&self, slot: u64) -> Option<Vec<ByteBuf>> {
        self.transfers_after(slot).map(|transfers| transfers.map(Transfer::compressed).collect())
    }

    /// Applies an update that was requested when this cache was at slot `requested_slot`. True if the state changed.
    pub fn apply_update(&mut self, requested_slot: u64, update: StateUpdate) -> bool {
        let before = self.state.slot;
        match update {
            StateUpdate::Operations(operations) => {
                // The cache may have gone on since the request.
                let known = usize::try_from(before.saturating_sub(requested_slot)).unwrap_or(usize::MAX);
                for operation in operations.into_iter().skip(known) {
                    if !self.apply_compressed(operation.into_vec()) {
                        break;
                    }
                }
            }
            StateUpdate::Chunk(chunk) => self.receive_chunk(chunk),
            StateUpdate::FetchFromCore(_) => {}
        }
        self.apply_confirmations();
        self.state.slot > before
    }

    fn receive_chunk(&mut self, chunk: Chunk) {
        let ReassemblyStep::Complete(transfer, compressed) = Reassembly::receive(&mut self.reassembly, chunk)
        else {
            return;
        };
        if transfer.is_snapshot {
            self.install_snapshot(transfer, compressed);
        } else if transfer.slot == self.state.slot + 1 {
            self.apply_compressed(compressed);
        }
    }

    fn install_snapshot(&mut self, transfer: TransferId, compressed: Vec<u8>) {
        let Some(state) = decompress(&compressed).and_then(|encoded| decode::<State>(&encoded)) else {
            return;
        };
        if state.slot == transfer.slot && self.install(state) {
            // It is passed on as it came.
            self.snapshots.borrow_mut().push_back(Transfer::snapshot(transfer.slot, compressed));
        }
    }

    /// Takes over the confirmations of slots that are reached now.
    pub(crate) fn apply_confirmations(&mut self) {
        let slot = self.state.slot;
        let reached = self.pending_confirmations.iter().filter(|(s, _)| *s <= slot);
        let newest = reached.map(|(_, confirmed_at)| *confirmed_at).max().unwrap_or(0);
        self.confirmed_at = newest.max(self.confirmed_at);
        self.pending_confirmations.retain(|(s, _)| *s > slot);
    }
}
