//! The agreed state: what the chosen operations have made, one after the other, alike on every replica.

pub use crate::admission::Rejection;
use crate::changed_items::ChangedItems;
use crate::items::{ConfigItems, ItemChange};
use crate::{
    document, ConfigUpdate, InvalidConfig, Item, ItemKind, ItemRef, Operation, RoutingSnapshot, Version,
};
use limeway_consensus::{Slot, Voter};
use limeway_types::NodeId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Updates that are remembered, so that a retry is recognized. An older one is neither confirmed nor rejected.
pub const MAX_APPLIED_UPDATES: usize = 1_024;
/// Upper bound on the number of zones evacuated at once.
const MAX_EVACUATED_ZONES: usize = 256;
/// Upper bound on the number of gateways that may lease quota at once.
const MAX_GATEWAYS: usize = 10_000;
/// Upper bound on the number of open evacuation calls; beyond it, the oldest is taken to be answered.
const MAX_OPEN_CALLS: usize = 64;
/// Ids of calls that are remembered after they were closed.
const MAX_CLOSED_CALLS: usize = 64;

/// The identity of an update that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct AppliedUpdate {
    #[serde(rename = "v", alias = "version")]
    version: Version,
    #[serde(rename = "d", alias = "digest")]
    digest: u128,
}

/// An evacuation call whose answer is not known to have arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// The evacuation starts; otherwise it ends.
    #[serde(rename = "b")]
    pub starts: bool,
    /// The id of the call.
    #[serde(rename = "m")]
    pub call_id: u64,
    /// The machine that answers it, with the disk on which it records that; none if it has no disk.
    #[serde(rename = "by", default, skip_serializing_if = "Option::is_none")]
    pub taken_by: Option<Voter>,
}

/// The agreed state. Fields keep the names that state files and messages have.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The last slot that is applied.
    pub slot: Slot,
    /// The configuration's version; 0 before the first.
    pub version: Version,
    /// The version that it was built on.
    #[serde(rename = "base")]
    pub base_version: Version,
    pub(crate) items: ConfigItems,
    /// Evacuated zones, with how many evacuations of each are in force: two operators may each have started one, and the first to
    /// end theirs must not end the other's.
    pub evacuated: BTreeMap<String, u32>,
    /// The voters; empty before they are agreed.
    #[serde(rename = "core")]
    pub voters: Vec<Voter>,
    /// Machines that were voters not long ago.
    #[serde(rename = "former", default)]
    pub former_voters: Vec<NodeId>,
    /// The gateways that may lease quota: a new holder of a counter knows whom it has to ask.
    #[serde(rename = "doors")]
    pub gateways: BTreeSet<NodeId>,
    #[serde(rename = "taken")]
    applied_updates: VecDeque<AppliedUpdate>,
    /// The highest version whose update is no longer remembered.
    #[serde(rename = "forgotten", default)]
    pub(crate) forgotten_version: Version,
    #[serde(rename = "open", default)]
    open_calls: Vec<OpenCall>,
    #[serde(rename = "spent", default)]
    closed_calls: VecDeque<u64>,
    #[serde(skip)]
    changed_items: ChangedItems,
}

impl State {
    /// The items of the configuration, by kind and name.
    pub fn items(&self) -> impl Iterator<Item = ItemRef<'_>> {
        self.items.iter()
    }

    /// The machines that are voters.
    pub fn voter_nodes(&self) -> Vec<NodeId> {
        self.voters.iter().map(|voter| voter.node).collect()
    }

    /// The configuration as operators read it back.
    pub fn document(&self) -> String {
        document::render(self.version, self.base_version, self.items())
    }

    /// Whether this very update has been applied already.
    pub fn has_applied(&self, update: &ConfigUpdate) -> bool {
        self.applied_updates.iter().any(|a| a.version == update.version && a.digest == update.digest)
    }

    /// Evacuation calls whose answer is not known to have arrived, the oldest first.
    pub fn open_calls(&self) -> &[OpenCall] {
        &self.open_calls
    }

    /// The open call with this id.
    pub fn open_call(&self, call_id: u64) -> Option<&OpenCall> {
        self.open_calls.iter().find(|call| call.call_id == call_id)
    }

    /// The oldest open call for this zone of the same kind: the next one is its retry.
    pub fn like_open_call(&self, zone: &str, starts: bool) -> Option<&OpenCall> {
        self.open_calls.iter().find(|call| call.zone == zone && call.starts == starts)
    }

    /// The operation that an evacuation call asks for, whoever takes it; none if it has been applied, or there is nothing to end.
    pub fn evacuation(&self, zone: &str, starts: bool, call_id: u64) -> Option<Operation> {
        let open = self.like_open_call(zone, starts);
        let nothing_to_end = !starts && open.is_none() && !self.evacuated.contains_key(zone);
        let retry_of = open.map_or(0, |call| call.call_id);
        let operation =
            Operation::Evacuate { zone: zone.to_owned(), starts, call_id, retry_of, taken_by: None };
        (!nothing_to_end && !self.knows_call(call_id)).then_some(operation)
    }

    /// Whether the call with this id was applied: it is open, or was closed not long ago.
    pub fn knows_call(&self, call_id: u64) -> bool {
        call_id != 0 && (self.closed_calls.contains(&call_id) || self.open_call(call_id).is_some())
    }

    /// Whether an operation that was made for an earlier state has the same meaning on this one.
    pub fn applies(&self, operation: &Operation) -> bool {
        match operation {
            Operation::UpdateConfig { version, base_version, .. } => {
                *base_version == self.version && *version > self.version
            }
            Operation::Evacuate { zone, starts, call_id, retry_of, .. } => {
                let now = self.evacuation(zone, *starts, *call_id);
                matches!(now, Some(Operation::Evacuate { retry_of: open, .. }) if open == *retry_of)
            }
            Operation::CloseCall(call_id) => self.open_call(*call_id).is_some(),
            Operation::SetVoters { .. } | Operation::SetGateways { .. } => true,
        }
    }

    /// Applies the operation chosen for the next slot. Its proposer has checked it against this very state; an update that builds on
    /// another version changes nothing.
    pub fn apply(&mut self, operation: &Operation) {
        self.slot += 1;
        match operation {
            Operation::SetVoters { voters, former_voters } => {
                self.voters.clone_from(voters);
                self.former_voters.clone_from(former_voters);
            }
            Operation::UpdateConfig { version, base_version, replace, upserts, removals, digest } => {
                if self.applies(operation) {
                    self.update_items(*replace, upserts, removals);
                    (self.version, self.base_version) = (*version, *base_version);
                    self.remember_update(AppliedUpdate { version: *version, digest: *digest });
                }
            }
            Operation::SetGateways { add, remove } => {
                self.gateways.retain(|gateway| !remove.contains(gateway));
                let room = MAX_GATEWAYS.saturating_sub(self.gateways.len());
                self.gateways.extend(add.iter().take(room));
            }
            Operation::Evacuate { zone, starts, call_id, retry_of, taken_by } => {
                let (zone, starts, call_id) = (zone.clone(), *starts, *call_id);
                let call = OpenCall { zone, starts, call_id, taken_by: *taken_by };
                self.apply_evacuation(call, *retry_of);
            }
            Operation::CloseCall(call_id) => self.close_call(*call_id),
        }
    }

    fn update_items(&mut self, replace: bool, upserts: &[Item], removals: &[(ItemKind, String)]) {
        let changes = self.items.changes(replace, upserts, removals);
        let owned = |((kind, name), spec): ((ItemKind, &str), Option<&str>)| {
            (kind, Box::<str>::from(name), spec.map(Box::<str>::from))
        };
        let changes: Vec<_> = changes.into_iter().map(owned).collect();
        for (kind, name, spec) in changes {
            let old = self.items.put(kind, &name, spec.as_deref());
            self.changed_items.record(kind, name, old);
        }
    }

    fn remember_update(&mut self, update: AppliedUpdate) {
        self.applied_updates.push_back(update);
        while self.applied_updates.len() > MAX_APPLIED_UPDATES {
            let oldest = self.applied_updates.pop_front();
            self.forgotten_version = oldest.map_or(self.forgotten_version, |update| update.version);
        }
    }

    fn apply_evacuation(&mut self, call: OpenCall, retry_of: u64) {
        if self.knows_call(call.call_id) {
            return;
        }
        let retried = |open: &OpenCall| {
            open.call_id == retry_of && open.zone == call.zone && open.starts == call.starts
        };
        if retry_of != 0 && self.open_calls.iter().any(retried) {
            return self.replace_call(retry_of, call);
        }
        let changed =
            if call.starts { self.start_evacuation(&call.zone) } else { self.end_evacuation(&call.zone) };
        if changed && call.call_id != 0 {
            self.remember_open(call);
        }
    }

    /// False if there is no room for another zone.
    fn start_evacuation(&mut self, zone: &str) -> bool {
        let count = self.evacuated.get(zone).copied().unwrap_or(0);
        if count == 0 && self.evacuated.len() >= MAX_EVACUATED_ZONES {
            return false;
        }
        self.evacuated.insert(zone.to_owned(), count + 1);
        true
    }

    /// False if there is nothing to end.
    fn end_evacuation(&mut self, zone: &str) -> bool {
        match self.evacuated.get(zone).copied().unwrap_or(0) {
            0 => return false,
            1 => {
                self.evacuated.remove(zone);
                // Nothing is in force that a start could be a retry of.
                let starts = self.open_calls.iter().filter(|call| call.zone == zone && call.starts);
                for call_id in starts.map(|call| call.call_id).collect::<Vec<_>>() {
                    self.close_call(call_id);
                }
            }
            count => {
                self.evacuated.insert(zone.to_owned(), count - 1);
            }
        }
        true
    }

    fn remember_open(&mut self, call: OpenCall) {
        self.open_calls.push(call);
        if self.open_calls.len() > MAX_OPEN_CALLS {
            let oldest = self.open_calls[0].call_id;
            self.close_call(oldest);
        }
    }

    fn close_call(&mut self, call_id: u64) {
        let Some(at) = self.open_calls.iter().position(|call| call.call_id == call_id) else { return };
        self.open_calls.remove(at);
        self.remember_closed(call_id);
    }

    /// A retry takes the place of an open call.
    fn replace_call(&mut self, call_id: u64, retry: OpenCall) {
        if retry.call_id == 0 {
            return self.close_call(call_id);
        }
        let Some(call) = self.open_calls.iter_mut().find(|call| call.call_id == call_id) else { return };
        *call = retry;
        self.remember_closed(call_id);
    }

    fn remember_closed(&mut self, call_id: u64) {
        self.closed_calls.push_back(call_id);
        if self.closed_calls.len() > MAX_CLOSED_CALLS {
            self.closed_calls.pop_front();
        }
    }

    /// The routing snapshot of the current configuration, compiled from scratch.
    ///
    /// # Errors
    /// The configuration is invalid, which updates that were admitted are not.
    pub fn compile_snapshot(&self) -> Result<RoutingSnapshot, InvalidConfig> {
        RoutingSnapshot::compile(self.version, self.items())
    }

    /// The routing snapshot of the current configuration, made from the last one that was made here: it shares with it whatever has
    /// not changed. From any other snapshot it is compiled from scratch.
    ///
    /// # Errors
    /// See [`State::compile_snapshot`].
    pub fn snapshot_from(&mut self, last: &RoutingSnapshot) -> Result<RoutingSnapshot, InvalidConfig> {
        let shared = (self.changed_items.since == Some(last.version))
            .then(|| last.apply_changes(self.version, &self.item_changes()));
        let snapshot = match shared {
            Some(Ok(snapshot)) => snapshot,
            _ => self.compile_snapshot()?,
        };
        self.changed_items = ChangedItems::none_since(self.version);
        Ok(snapshot)
    }

    /// The items that differ from those of the last snapshot.
    fn item_changes(&self) -> Vec<ItemChange<'_>> {
        let mut changes = Vec::with_capacity(self.changed_items.old.len());
        for ((kind, name), old) in &self.changed_items.old {
            let (old, new) = (old.as_deref(), self.items.get(*kind, name));
            if old != new {
                changes.push(ItemChange { kind: *kind, name, old, new });
            }
        }
        changes
    }

    /// Installs a newer state in place of this one. The next routing snapshot shares with the last one what is alike in both.
    pub fn install(&mut self, mut newer: State) {
        let mut changed_items = std::mem::take(&mut self.changed_items);
        if changed_items.since.is_some() {
            for (kind, name) in self.items.changes_to(&newer.items).keys() {
                changed_items.record(*kind, (*name).into(), self.items.get(*kind, name).map(Into::into));
            }
        }
        newer.changed_items = changed_items;
        *self = newer;
    }
}
