//! The tree of relays: whom a limiter polls.
//!
//! Limiters of one zone poll one of them, the zone's relay, which polls the core; so the core answers one poll a zone, and
//! what crosses zones and regions crosses them once. Every limiter works its place out from the members that it knows:
//! there is no one who builds the tree, and it forms anew as soon as they differ. Where zones are large, relays are
//! in tiers of [`FAN`].

use crate::{Member, NodeId};
use limeway_membership::{hash, rendezvous_weight};

/// Limiters that poll one relay, at most.
pub const FAN: usize = 16;

/// Whom to poll, first choice first: a relay of the own zone, if this limiter is not one itself; then the core machines.
pub fn above(me: NodeId, zone: &str, members: &[Member], core: &[NodeId], failed: &[NodeId]) -> Vec<NodeId> {
    let mut order = Vec::new();
    let mut zone_members: Vec<NodeId> = members.iter().filter(|(_, z)| z == zone).map(|(n, _)| *n).collect();
    if zone_members.contains(&me) {
        // Ranked alike by all; a limiter's place in the ranks tells who is above it.
        let key = hash(zone.as_bytes());
        zone_members.retain(|n| *n == me || !failed.contains(n));
        zone_members.sort_by_key(|n| std::cmp::Reverse(rendezvous_weight(key, *n)));
        if let Some(place) = zone_members.iter().position(|n| *n == me).filter(|p| *p > 0) {
            order.push(zone_members[(place - 1) / FAN]);
        }
    }
    let mut core: Vec<NodeId> = core.to_vec();
    // Spread over the core machines, each limiter in its own order.
    core.sort_by_key(|n| std::cmp::Reverse(rendezvous_weight(u64::from(me), *n)));
    let (down, up): (Vec<NodeId>, Vec<NodeId>) = core.into_iter().partition(|n| failed.contains(n));
    order.extend(up);
    order.extend(down);
    order
}
