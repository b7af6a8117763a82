//! Rendezvous hashing: which node is preferred for a key, alike on every machine.

use limeway_types::NodeId;

/// Shards that the tenants are cut into, each a singleton role of its own.
pub const SHARDS: usize = 8;

/// The shard of a key.
pub fn shard_of(key: &str) -> usize {
    (hash(key.as_bytes()) % SHARDS as u64) as usize
}

/// FNV-1a with a final mix (that of MurmurHash3), so that close inputs part. Part of the wire format: it must not change.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut h =
        bytes.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    h = (h ^ (h >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    h = (h ^ (h >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}

/// The weight of a node for a key: the node with the highest is preferred. When a node goes, only its keys move.
pub fn rendezvous_weight(key: u64, node: NodeId) -> u64 {
    hash(&[key.to_le_bytes().as_slice(), node.to_le_bytes().as_slice()].concat())
}

/// The preferred node for a key, if there is any node.
pub fn preferred_node(key: u64, nodes: impl Iterator<Item = NodeId>) -> Option<NodeId> {
    nodes.max_by_key(|node| rendezvous_weight(key, *node))
}
