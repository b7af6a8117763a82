//! Which items have changed since the last routing snapshot was compiled.

use crate::{ItemKind, Version};
use std::collections::BTreeMap;

/// Upper bound on the number of items tracked; if more have changed, the next snapshot is compiled from scratch.
const MAX_TRACKED_ITEMS: usize = 8_192;

/// The items that have changed since the last snapshot, as they were then. It belongs to this machine and is no part of the
/// replicated state: two states are equal whatever is in it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChangedItems {
    /// The version of that snapshot; none if the next one has to be compiled from scratch.
    pub since: Option<Version>,
    /// The old specifications, none for items that did not exist.
    pub old: BTreeMap<(ItemKind, Box<str>), Option<Box<str>>>,
}

impl PartialEq for ChangedItems {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for ChangedItems {}

impl ChangedItems {
    /// Nothing has changed since the snapshot of this version.
    pub(crate) fn none_since(version: Version) -> Self {
        ChangedItems { since: Some(version), old: BTreeMap::new() }
    }

    /// Records an item's specification before a change.
    pub(crate) fn record(&mut self, kind: ItemKind, name: Box<str>, old: Option<Box<str>>) {
        if self.since.is_none() {
            return;
        }
        self.old.entry((kind, name)).or_insert(old);
        if self.old.len() > MAX_TRACKED_ITEMS {
            *self = ChangedItems::default();
        }
    }
}
