//! A map that is copied by its parts: a copy shares all parts with the first until one of the two writes to them.

use std::collections::HashMap;
use std::rc::Rc;

/// Parts of a map: a change copies those that it touches, and shares the others.
const SHARDS: usize = 64;

/// A map by text, cheap to copy and to change a little.
#[derive(Debug, Clone, PartialEq)]
pub struct Shards<V> {
    of: Vec<Rc<HashMap<Box<str>, V>>>,
    len: usize,
}

impl<V> Default for Shards<V> {
    fn default() -> Self {
        let empty = Rc::new(HashMap::new());
        Shards { of: vec![empty; SHARDS], len: 0 }
    }
}

/// The part of a key: FNV-1a, the same in each map.
fn shard(key: &str) -> usize {
    let hash = key
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    (hash ^ (hash >> 32)) as usize % SHARDS
}

impl<V> Shards<V> {
    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&V> {
        self.of[shard(key)].get(key)
    }

    /// Whether it has a value.
    pub fn contains_key(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Keys in it.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All values, in no order.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.of.iter().flat_map(|part| part.values())
    }
}

impl<V: Clone> Shards<V> {
    /// Sets a key's value. Returns the one that it had.
    pub fn insert(&mut self, key: &str, value: V) -> Option<V> {
        let part = Rc::make_mut(&mut self.of[shard(key)]);
        let old = match part.get_mut(key) {
            Some(old) => Some(std::mem::replace(old, value)),
            None => part.insert(key.into(), value),
        };
        self.len += usize::from(old.is_none());
        old
    }

    /// Takes a key out. Returns the value that it had.
    pub fn remove(&mut self, key: &str) -> Option<V> {
        // A part without it is not copied.
        if !self.contains_key(key) {
            return None;
        }
        let old = Rc::make_mut(&mut self.of[shard(key)]).remove(key);
        self.len -= usize::from(old.is_some());
        old
    }

    /// A key's value, to be changed; nothing where it has none.
    pub fn get_mut(&mut self, key: &str) -> Option<&mut V> {
        if !self.contains_key(key) {
            return None;
        }
        Rc::make_mut(&mut self.of[shard(key)]).get_mut(key)
    }
}
