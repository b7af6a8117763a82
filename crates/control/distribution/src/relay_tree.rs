//! The relay tree: which upstream a limiter polls.
//!
//! Limiters of one zone poll one of them, the zone's relay, which polls the control plane; so the control plane answers one poll a
//! zone, and what crosses zones and regions crosses them once. Every limiter works its position out from the members that it
//! knows: nobody builds the tree, and it forms anew as soon as they differ. Where zones are large, relays are in tiers of
//! [`FAN_OUT`].

use crate::messages::Member;
use limeway_membership::{hash, rendezvous_weight};
use limeway_types::NodeId;
use std::cmp::Reverse;

/// Limiters that poll one relay.
pub const FAN_OUT: usize = 16;

/// The upstreams of a limiter, preferred first: a relay of its own zone, if it is not the first one itself; then the control plane,
/// nodes in backoff last.
pub fn upstreams(
    own: NodeId,
    zone: &str,
    members: &[Member],
    core: &[NodeId],
    in_backoff: &[NodeId],
) -> Vec<NodeId> {
    let mut upstreams: Vec<NodeId> = relay(own, zone, members, in_backoff).into_iter().collect();
    let mut core: Vec<NodeId> = core.to_vec();
    // Each limiter has its own order, which spreads them over the control plane.
    core.sort_by_key(|node| Reverse(rendezvous_weight(u64::from(own), *node)));
    let (later, first): (Vec<NodeId>, Vec<NodeId>) = core.into_iter().partition(|n| in_backoff.contains(n));
    upstreams.extend(first);
    upstreams.extend(later);
    upstreams
}

/// The relay that this limiter follows: the members of a zone are ranked alike by all, and a member's rank tells who is above it.
fn relay(own: NodeId, zone: &str, members: &[Member], in_backoff: &[NodeId]) -> Option<NodeId> {
    let mut ranked: Vec<NodeId> =
        members.iter().filter(|member| member.zone == zone).map(|member| member.node).collect();
    if !ranked.contains(&own) {
        return None;
    }
    let key = hash(zone.as_bytes());
    ranked.retain(|node| *node == own || !in_backoff.contains(node));
    ranked.sort_by_key(|node| Reverse(rendezvous_weight(key, *node)));
    let rank = ranked.iter().position(|node| *node == own).filter(|rank| *rank > 0)?;
    Some(ranked[(rank - 1) / FAN_OUT])
}
