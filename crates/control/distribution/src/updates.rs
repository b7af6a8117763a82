//! The serving side: what a process answers to long polls and fetches.

use crate::cache::StateCache;
use crate::freshness::MAX_STALENESS;
use crate::messages::{LongPoll, StateUpdate, UpdateResponse};
use crate::transfer::{Chunk, StateRequest, Transfer};
use limeway_types::{Micros, Timestamp};

/// Deltas of so many compressed bytes are sent as they are, whatever a snapshot would take.
const SMALL_DELTA_BYTES: usize = 8 * 1024;
/// Upper bound on the bytes of operations in one response of a relay.
const MAX_RELAY_DELTA_BYTES: usize = 4 * 1024;

impl StateCache {
    /// Whether there is an update for a poll.
    pub fn has_update(&self, poll: &LongPoll) -> bool {
        poll.incarnation != self.incarnation
            || poll.request.slot < self.state.slot
            || poll.registry_revision != self.registry.revision
            || poll.members_revision != self.members_revision
    }

    /// Whether the state of this process was confirmed lately.
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        self.confirmed_at > 0 && now.saturating_sub(self.confirmed_at) <= MAX_STALENESS
    }

    /// Until when a poll that came at `received` waits while there is no update. An upstream that becomes stale says so at once.
    pub fn long_poll_deadline(&self, received: Timestamp, poll: &LongPoll, timeout: Micros) -> Timestamp {
        let stale_from = if self.confirmed_at > 0 { self.confirmed_at + MAX_STALENESS } else { 0 };
        (received + poll.max_wait.min(timeout)).min(stale_from)
    }

    /// The response to a poll that has waited for so long.
    pub fn respond(&self, now: Timestamp, poll: &LongPoll, waited: Micros) -> UpdateResponse {
        let known = poll.incarnation == self.incarnation;
        let has_all = self.registry.has_all_since(poll.registry_revision);
        let since = if known && has_all { poll.registry_revision } else { 0 };
        // A full list is only for those who will take it: a stale upstream sends none.
        let sends_registry = self.is_confirmed(now) || since > 0;
        let up_to_date = known && since == self.registry.revision;
        UpdateResponse {
            waited,
            confirmed_age: (self.confirmed_at > 0).then(|| now.saturating_sub(self.confirmed_at)),
            slot: self.state.slot,
            state_update: self.polled_update(&poll.request),
            incarnation: self.incarnation,
            registry_revision: if sends_registry { self.registry.revision } else { 0 },
            servers: if !sends_registry || up_to_date {
                Vec::new()
            } else {
                self.registry.changed_since(now, since)
            },
            full_registry: sends_registry && since == 0,
            holders: self.holders.to_vec(),
            members_revision: self.members_revision,
            members: (!known || poll.members_revision != self.members_revision)
                .then(|| self.members().to_vec()),
        }
    }

    /// The state update in the response to a poll: a relay sends small ones only.
    fn polled_update(&self, request: &StateRequest) -> StateUpdate {
        if !self.is_relay {
            return self.state_update(request);
        }
        let max_bytes = request.bytes().min(MAX_RELAY_DELTA_BYTES) as u32;
        let small = StateRequest { max_bytes, received: None, ..*request };
        let first_size = self.transfers_after(request.slot).map(|mut t| t.next().map_or(0, Transfer::size));
        match first_size {
            Some(size) if size <= small.bytes() => match self.state_update(&small) {
                StateUpdate::Chunk(_) => StateUpdate::FetchFromCore(self.state.slot),
                delta => delta,
            },
            _ => StateUpdate::FetchFromCore(self.state.slot),
        }
    }

    /// What leads to this state, or the next chunk of it, within the size requested.
    pub fn state_update(&self, request: &StateRequest) -> StateUpdate {
        if request.slot >= self.state.slot {
            return StateUpdate::none();
        }
        if let Some(chunk) = self.resumed_snapshot(request) {
            return StateUpdate::Chunk(chunk);
        }
        let delta_bytes = self.delta_bytes(request.slot);
        if delta_bytes.is_none_or(|bytes| bytes > SMALL_DELTA_BYTES) {
            if let Some(chunk) = self.snapshot_chunk(request, delta_bytes) {
                return StateUpdate::Chunk(chunk);
            }
        }
        self.delta(request)
    }

    /// The next chunk of a snapshot that the requester has begun, if it is still kept here and the delta after it is.
    fn resumed_snapshot(&self, request: &StateRequest) -> Option<Chunk> {
        let transfer = request.received.map(|received| received.transfer)?;
        if !transfer.is_snapshot || transfer.slot <= request.slot {
            return None;
        }
        let snapshots = self.snapshots.borrow();
        let chunk = snapshots.iter().find(|snapshot| snapshot.id == transfer).map(|s| s.chunk(request));
        chunk.filter(|_| self.transfers_after(transfer.slot).is_some())
    }

    /// Compressed bytes of the operations after a slot, if all of them are kept.
    fn delta_bytes(&self, slot: u64) -> Option<usize> {
        self.transfers_after(slot).map(|transfers| transfers.map(Transfer::size).sum())
    }

    /// The next chunk of a snapshot, unless the delta, if there is one, is smaller.
    fn snapshot_chunk(&self, request: &StateRequest, delta_bytes: Option<usize>) -> Option<Chunk> {
        let (bytes, chunk) = self.newest_snapshot(request).or_else(|| {
            self.take_snapshot();
            self.newest_snapshot(request)
        })?;
        delta_bytes.is_none_or(|delta| bytes < delta).then_some(chunk)
    }

    /// The next chunk of the newest snapshot, and the bytes of it and the delta after it. None if that delta is larger than a new
    /// snapshot would be.
    fn newest_snapshot(&self, request: &StateRequest) -> Option<(usize, Chunk)> {
        let snapshots = self.snapshots.borrow();
        let newest = snapshots.back().filter(|snapshot| snapshot.id.slot > request.slot)?;
        let delta =
            self.delta_bytes(newest.id.slot).filter(|bytes| *bytes <= newest.size() + SMALL_DELTA_BYTES)?;
        Some((newest.size() + delta, newest.chunk(request)))
    }

    /// As many operations as fit, or the next chunk of the first one.
    fn delta(&self, request: &StateRequest) -> StateUpdate {
        let mut operations = Vec::new();
        let mut room = request.bytes();
        for transfer in self.transfers_after(request.slot).into_iter().flatten() {
            if transfer.size() > room {
                if operations.is_empty() {
                    return StateUpdate::Chunk(transfer.chunk(request));
                }
                break;
            }
            room -= transfer.size();
            operations.push(transfer.compressed());
        }
        StateUpdate::Operations(operations)
    }
}
