//! A copy-on-write map: a clone shares its shards with the original until one of the two writes to them.

use std::collections::HashMap;
use std::rc::Rc;

/// Shards of a map: a write copies those that it touches.
const SHARDS: usize = 64;

/// A map by string, cheap to clone and to change a little.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardedMap<V> {
    shards: Vec<Rc<HashMap<Box<str>, V>>>,
    len: usize,
}

impl<V> Default for ShardedMap<V> {
    fn default() -> Self {
        let empty = Rc::new(HashMap::new());
        ShardedMap { shards: vec![empty; SHARDS], len: 0 }
    }
}

/// The shard of a key, by FNV-1a: the same in each map.
fn shard_index(key: &str) -> usize {
    let hash = key
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    (hash ^ (hash >> 32)) as usize % SHARDS
}

impl<V> ShardedMap<V> {
    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&V> {
        self.shards[shard_index(key)].get(key)
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
        self.shards.iter().flat_map(|shard| shard.values())
    }
}

impl<V: Clone> ShardedMap<V> {
    /// Sets a key's value. Returns the one that it had.
    pub fn insert(&mut self, key: &str, value: V) -> Option<V> {
        let shard = Rc::make_mut(&mut self.shards[shard_index(key)]);
        let old = match shard.get_mut(key) {
            Some(old) => Some(std::mem::replace(old, value)),
            None => shard.insert(key.into(), value),
        };
        self.len += usize::from(old.is_none());
        old
    }

    /// Removes a key. Returns the value that it had.
    pub fn remove(&mut self, key: &str) -> Option<V> {
        // A shard without it is not copied.
        if !self.contains_key(key) {
            return None;
        }
        let old = Rc::make_mut(&mut self.shards[shard_index(key)]).remove(key);
        self.len -= usize::from(old.is_some());
        old
    }

    /// A key's value, mutable.
    pub fn get_mut(&mut self, key: &str) -> Option<&mut V> {
        if !self.contains_key(key) {
            return None;
        }
        Rc::make_mut(&mut self.shards[shard_index(key)]).get_mut(key)
    }
}
