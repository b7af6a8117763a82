//! The items of a configuration, by kind and name, and what an update changes of them.

use crate::{Item, ItemKind, ItemRef};
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt;

/// Bytes of an item beside its name and specification, in an operation and a state file, about.
const ITEM_OVERHEAD_BYTES: usize = 12;

/// The kinds, in the order in which items are read back.
const KINDS: [ItemKind; 4] = [ItemKind::Route, ItemKind::Service, ItemKind::Tenant, ItemKind::Limits];

/// One item before and after a change; nothing where it does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemChange<'a> {
    /// Its kind.
    pub kind: ItemKind,
    /// Its name.
    pub name: &'a str,
    /// Its specification before.
    pub old: Option<&'a str>,
    /// Its specification after.
    pub new: Option<&'a str>,
}

impl<'a> ItemChange<'a> {
    /// The item with one of the two specifications.
    pub fn with_spec(&self, spec: &'a str) -> ItemRef<'a> {
        ItemRef { kind: self.kind, name: self.name, spec }
    }
}

/// What becomes of items: their new specification, or nothing if they are removed. Only items that differ are in it.
pub type Changes<'a> = BTreeMap<(ItemKind, &'a str), Option<&'a str>>;

/// All items of a configuration. There is one `limits` at most, whatever its name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigItems([BTreeMap<Box<str>, Box<str>>; KINDS.len()]);

impl ConfigItems {
    /// All items, by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = ItemRef<'_>> {
        let of_kind = |kind: ItemKind| {
            self.0[kind as usize].iter().map(move |(name, spec)| ItemRef { kind, name, spec })
        };
        KINDS.into_iter().flat_map(of_kind)
    }

    /// The specification of an item.
    pub fn get(&self, kind: ItemKind, name: &str) -> Option<&str> {
        self.0[kind as usize].get(name).map(|spec| &**spec)
    }

    /// Sets an item, or removes it. Returns the specification that it had.
    pub fn put(&mut self, kind: ItemKind, name: &str, spec: Option<&str>) -> Option<Box<str>> {
        let items = &mut self.0[kind as usize];
        match (spec, items.get_mut(name)) {
            (Some(spec), Some(old)) => Some(std::mem::replace(old, spec.into())),
            (Some(spec), None) => items.insert(name.into(), spec.into()),
            (None, Some(_)) => items.remove(name),
            (None, None) => None,
        }
    }

    /// What an update changes: `removals` are removed first (all items, if `replace`), then `upserts` are set; of one name the last
    /// counts.
    pub fn changes<'a>(
        &'a self,
        replace: bool,
        upserts: &'a [Item],
        removals: &'a [(ItemKind, String)],
    ) -> Changes<'a> {
        let mut changes = Changes::new();
        let no_limits = || {
            let limits = self.0[ItemKind::Limits as usize].keys();
            limits.map(|name| ((ItemKind::Limits, &**name), None))
        };
        if replace {
            changes.extend(self.iter().map(|item| ((item.kind, item.name), None)));
        }
        for (kind, name) in removals {
            match kind {
                ItemKind::Limits => changes.extend(no_limits()),
                _ => drop(changes.insert((*kind, name), None)),
            }
        }
        for item in upserts {
            if item.kind == ItemKind::Limits {
                changes.extend(no_limits());
                changes.range_mut((ItemKind::Limits, "")..).for_each(|(_, spec)| *spec = None);
            }
            changes.insert((item.kind, &item.name), Some(&item.spec));
        }
        changes.retain(|(kind, name), spec| self.get(*kind, name) != *spec);
        changes
    }

    /// Each change with the specification before it.
    pub fn item_changes<'a>(&'a self, changes: &Changes<'a>) -> Vec<ItemChange<'a>> {
        let item_change = |((kind, name), new): (&(ItemKind, &'a str), &Option<&'a str>)| ItemChange {
            kind: *kind,
            name,
            old: self.get(*kind, name),
            new: *new,
        };
        changes.iter().map(item_change).collect()
    }

    /// How many items there are after changes.
    pub fn len_after(&self, changes: &Changes) -> usize {
        let len = self.0.iter().map(BTreeMap::len).sum::<usize>() + changes.values().flatten().count();
        len - changes.keys().filter(|(kind, name)| self.get(*kind, name).is_some()).count()
    }

    /// How many bytes all items have, as a state file has them, about.
    pub fn bytes(&self) -> usize {
        self.iter().map(|item| item_bytes(item.name, item.spec)).sum()
    }

    /// The same after changes.
    pub fn bytes_after(&self, changes: &Changes) -> usize {
        let added: usize =
            changes.iter().filter_map(|((_, name), spec)| Some(item_bytes(name, (*spec)?))).sum();
        let old = |(kind, name): &(ItemKind, &str)| self.get(*kind, name).map(|spec| item_bytes(name, spec));
        let dropped: usize = changes.keys().filter_map(old).sum();
        self.bytes() + added - dropped
    }

    /// The changes that lead from these items to others.
    pub fn changes_to<'a>(&'a self, others: &'a ConfigItems) -> Changes<'a> {
        let mut changes: Changes = self.iter().map(|item| ((item.kind, item.name), None)).collect();
        changes.extend(others.iter().map(|item| ((item.kind, item.name), Some(item.spec))));
        changes.retain(|(kind, name), spec| self.get(*kind, name) != *spec);
        changes
    }
}

/// Bytes of an item, about.
pub(crate) fn item_bytes(name: &str, spec: &str) -> usize {
    ITEM_OVERHEAD_BYTES + name.len() + spec.len()
}

/// An item as it is stored and sent between replicas.
#[derive(Serialize)]
struct StoredItem<'a> {
    #[serde(rename = "k")]
    kind: ItemKind,
    #[serde(rename = "n")]
    name: &'a str,
    #[serde(rename = "s")]
    spec: &'a str,
}

impl Serialize for ConfigItems {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter().map(|item| StoredItem {
            kind: item.kind,
            name: item.name,
            spec: item.spec,
        }))
    }
}

/// An item as this build stores it, or as earlier builds did: a pair of a number and the item.
struct AnyStoredItem(Item);

impl<'de> Deserialize<'de> for AnyStoredItem {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ItemVisitor)
    }
}

struct ItemVisitor;

impl<'de> Visitor<'de> for ItemVisitor {
    type Value = AnyStoredItem;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an item, or a pair of a number and an item")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<AnyStoredItem, A::Error> {
        Item::deserialize(serde::de::value::MapAccessDeserializer::new(map)).map(AnyStoredItem)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<AnyStoredItem, A::Error> {
        let too_short = || serde::de::Error::invalid_length(1, &ItemVisitor);
        seq.next_element::<u64>()?.ok_or_else(too_short)?;
        seq.next_element::<Item>()?.map(AnyStoredItem).ok_or_else(too_short)
    }
}

impl<'de> Deserialize<'de> for ConfigItems {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ItemsVisitor)
    }
}

struct ItemsVisitor;

impl<'de> Visitor<'de> for ItemsVisitor {
    type Value = ConfigItems;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ConfigItems, A::Error> {
        let mut items = ConfigItems::default();
        while let Some(AnyStoredItem(item)) = seq.next_element()? {
            items.0[item.kind as usize].insert(item.name.into(), item.spec.into());
        }
        Ok(items)
    }
}
