//! The items of a configuration, by kind and name, and what an order changes of them.

use crate::document::{Item, Kind};
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt;

/// The kinds, in the order in which items are read back.
const KINDS: [Kind; 4] = [Kind::Route, Kind::Service, Kind::Tenant, Kind::Limits];

/// One item as it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// What it is.
    pub kind: Kind,
    /// Its name.
    pub name: &'a str,
    /// Its `specification`, as JSON.
    pub spec: &'a str,
}

/// One item before and after a change; nothing where it is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step<'a> {
    /// What it is.
    pub kind: Kind,
    /// Its name.
    pub name: &'a str,
    /// Its specification before.
    pub old: Option<&'a str>,
    /// Its specification after.
    pub new: Option<&'a str>,
}

impl<'a> Step<'a> {
    /// The item with one of the two specifications.
    pub fn after(&self, spec: &'a str) -> Entry<'a> {
        Entry { kind: self.kind, name: self.name, spec }
    }
}

/// What becomes of items: their new specification, or nothing where they go. Only items that differ are in it.
pub type Changes<'a> = BTreeMap<(Kind, &'a str), Option<&'a str>>;

/// All items of a configuration. There is one `limits` at most, whatever its name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Items([BTreeMap<Box<str>, Box<str>>; KINDS.len()]);

impl Items {
    /// All, by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = Entry<'_>> {
        let of =
            |kind: Kind| self.0[kind as usize].iter().map(move |(name, spec)| Entry { kind, name, spec });
        KINDS.into_iter().flat_map(of)
    }

    /// The specification of an item.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&str> {
        self.0[kind as usize].get(name).map(|spec| &**spec)
    }

    /// Sets an item, or takes it out. Returns the specification that it had.
    pub fn put(&mut self, kind: Kind, name: &str, spec: Option<&str>) -> Option<Box<str>> {
        let of = &mut self.0[kind as usize];
        match (spec, of.get_mut(name)) {
            (Some(spec), Some(old)) => Some(std::mem::replace(old, spec.into())),
            (Some(spec), None) => of.insert(name.into(), spec.into()),
            (None, Some(_)) => of.remove(name),
            (None, None) => None,
        }
    }

    /// What an order changes: first `gone` goes (all items, if `whole`), then `set` comes; of one name the last counts.
    pub fn changes<'a>(&'a self, whole: bool, set: &'a [Item], gone: &'a [(Kind, String)]) -> Changes<'a> {
        let mut to = Changes::new();
        let limits = || self.0[Kind::Limits as usize].keys().map(|name| ((Kind::Limits, &**name), None));
        if whole {
            to.extend(self.iter().map(|e| ((e.kind, e.name), None)));
        }
        for (kind, name) in gone {
            match kind {
                Kind::Limits => to.extend(limits()),
                _ => drop(to.insert((*kind, name), None)),
            }
        }
        for item in set {
            if item.kind == Kind::Limits {
                to.extend(limits());
                to.range_mut((Kind::Limits, "")..).for_each(|(_, spec)| *spec = None);
            }
            to.insert((item.kind, &item.name), Some(&item.spec));
        }
        to.retain(|(kind, name), spec| self.get(*kind, name) != *spec);
        to
    }

    /// The steps that changes are.
    pub fn steps<'a>(&'a self, changes: &Changes<'a>) -> Vec<Step<'a>> {
        let step = |((kind, name), new): (&(Kind, &'a str), &Option<&'a str>)| Step {
            kind: *kind,
            name,
            old: self.get(*kind, name),
            new: *new,
        };
        changes.iter().map(step).collect()
    }

    /// How many there are after changes.
    pub fn len_after(&self, changes: &Changes) -> usize {
        let len = self.0.iter().map(BTreeMap::len).sum::<usize>() + changes.values().flatten().count();
        len - changes.keys().filter(|(kind, name)| self.get(*kind, name).is_some()).count()
    }

    /// What leads from these items to others.
    pub fn until<'a>(&'a self, others: &'a Items) -> Changes<'a> {
        let mut to: Changes = self.iter().map(|e| ((e.kind, e.name), None)).collect();
        to.extend(others.iter().map(|e| ((e.kind, e.name), Some(e.spec))));
        to.retain(|(kind, name), spec| self.get(*kind, name) != *spec);
        to
    }
}

/// An item as it is told and kept on disk. Earlier builds wrote a pair of a number and the item: those are read too.
#[derive(Serialize)]
struct Told<'a> {
    #[serde(rename = "k")]
    kind: Kind,
    #[serde(rename = "n")]
    name: &'a str,
    #[serde(rename = "s")]
    spec: &'a str,
}

impl Serialize for Items {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter().map(|e| Told { kind: e.kind, name: e.name, spec: e.spec }))
    }
}

struct Heard(Item);

impl<'de> Deserialize<'de> for Heard {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Either;
        impl<'de> Visitor<'de> for Either {
            type Value = Heard;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an item, or a pair of a number and an item")
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Heard, A::Error> {
                Item::deserialize(serde::de::value::MapAccessDeserializer::new(map)).map(Heard)
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Heard, A::Error> {
                let short = || serde::de::Error::invalid_length(1, &Either);
                seq.next_element::<u64>()?.ok_or_else(short)?;
                seq.next_element::<Item>()?.map(Heard).ok_or_else(short)
            }
        }
        deserializer.deserialize_any(Either)
    }
}

impl<'de> Deserialize<'de> for Items {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct All;
        impl<'de> Visitor<'de> for All {
            type Value = Items;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a list of items")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Items, A::Error> {
                let mut items = Items::default();
                while let Some(Heard(item)) = seq.next_element()? {
                    items.0[item.kind as usize].insert(item.name.into(), item.spec.into());
                }
                Ok(items)
            }
        }
        deserializer.deserialize_seq(All)
    }
}
