//! Whether an update may be proposed on top of a state, and as which operation.

use crate::config_update::{MAX_CONFIG_BYTES, MAX_ITEMS};
use crate::items::{item_bytes, Changes};
use crate::{
    ConfigUpdate, InvalidConfig, Item, ItemKind, ItemRef, Operation, RoutingSnapshot, State, Version,
};

/// Why an update cannot be applied on top of a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// It builds on another version than the current one, given here. This update was never applied.
    VersionConflict(Version),
    /// The configuration would be invalid.
    Invalid(InvalidConfig),
    /// It is older than all updates that are remembered: it may have been applied or not.
    Forgotten,
}

impl State {
    /// The smallest operation that does to this state what an update does.
    pub fn minimal_operation(&self, update: &ConfigUpdate) -> Operation {
        minimal_operation(update, &self.items.changes(update.replace, &update.upserts, &update.removals))
    }

    /// The changes of an update, if its version and size allow it; what its items say is not checked.
    fn admissible_changes<'a>(&'a self, update: &'a ConfigUpdate) -> Result<Changes<'a>, Rejection> {
        if update.base_version != self.version {
            let forgotten = update.version != 0 && update.version <= self.forgotten_version;
            let conflict = Rejection::VersionConflict(self.version);
            return Err(if forgotten { Rejection::Forgotten } else { conflict });
        }
        if update.version <= self.version {
            let field = format!("config-version {:08x}", update.version);
            return Err(Rejection::Invalid(InvalidConfig::new(field, "does not exceed the current one")));
        }
        let changes = self.items.changes(update.replace, &update.upserts, &update.removals);
        if self.items.len_after(&changes) > MAX_ITEMS {
            return Err(Rejection::Invalid(InvalidConfig::new("resource-list", "makes too many items")));
        }
        let bytes_after = self.items.bytes_after(&changes);
        if bytes_after > MAX_CONFIG_BYTES && bytes_after > self.items.bytes() {
            return Err(Rejection::Invalid(InvalidConfig::new("resource-list", "makes too many bytes")));
        }
        Ok(changes)
    }

    /// The routing snapshot that an update would make, compiled from scratch. The state does not change.
    ///
    /// # Errors
    /// The update is rejected.
    pub fn check(&self, update: &ConfigUpdate) -> Result<RoutingSnapshot, Rejection> {
        let changes = self.admissible_changes(update)?;
        self.compile_with(update.version, &changes).map_err(Rejection::Invalid)
    }

    /// The operation to propose for an update, given the snapshot of the current configuration. It looks only at what the update
    /// changes.
    ///
    /// # Errors
    /// The update is rejected: exactly where [`State::check`] rejects it.
    pub fn admit(&self, update: &ConfigUpdate, current: &RoutingSnapshot) -> Result<Operation, Rejection> {
        let changes = self.admissible_changes(update)?;
        let item_changes = self.items.item_changes(&changes);
        let valid =
            current.version == self.version && current.apply_changes(update.version, &item_changes).is_ok();
        if !valid {
            self.compile_with(update.version, &changes).map_err(Rejection::Invalid)?;
        }
        Ok(minimal_operation(update, &changes))
    }

    fn compile_with(&self, version: Version, changes: &Changes) -> Result<RoutingSnapshot, InvalidConfig> {
        let mut after: Changes = self.items().map(|item| ((item.kind, item.name), Some(item.spec))).collect();
        after.extend(changes);
        let item =
            |((kind, name), spec): ((ItemKind, _), Option<_>)| spec.map(|spec| ItemRef { kind, name, spec });
        RoutingSnapshot::compile(version, after.into_iter().filter_map(item))
    }
}

fn minimal_operation(update: &ConfigUpdate, changes: &Changes) -> Operation {
    let changed_bytes: usize =
        changes.iter().map(|((_, name), spec)| item_bytes(name, spec.unwrap_or(""))).sum();
    let sent_bytes: usize = update.upserts.iter().map(|item| item_bytes(&item.name, &item.spec)).sum();
    if update.replace && sent_bytes <= changed_bytes {
        return Operation::from(update.clone());
    }
    let (mut upserts, mut removals) = (Vec::new(), Vec::new());
    for ((kind, name), spec) in changes {
        let name = (*name).to_owned();
        match spec {
            Some(spec) => upserts.push(Item { kind: *kind, name, spec: (*spec).to_owned() }),
            None => removals.push((*kind, name)),
        }
    }
    let ConfigUpdate { version, base_version, digest, .. } = *update;
    Operation::UpdateConfig { version, base_version, replace: false, upserts, removals, digest }
}
