//! Membership by lease: limiters that have lately shown themselves.

use limeway_types::{Micros, NodeId, Timestamp, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A member that has not renewed its lease for so long is none.
pub const MEMBER_LEASE: Micros = 1_800_000;
/// Upper bound on the number of concurrent members.
pub const MAX_MEMBERS: usize = 10_000;
/// A member is remembered for so long after its lease, so that a late heartbeat is known as one.
const MEMBER_RETENTION: Micros = 30 * SECOND;

/// A member's heartbeat: it renews the member's lease. Relays and replicas pass it on with its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHeartbeat {
    /// Its machine.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// Where clients reach it.
    #[serde(rename = "f")]
    pub frontend: SocketAddrV4,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// It can serve clients.
    #[serde(rename = "r")]
    pub ready: bool,
    /// Time since it was sent.
    #[serde(rename = "t")]
    pub age: Micros,
}

/// A member whose lease has not expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LiveMember<'a> {
    /// Its machine.
    pub node: NodeId,
    /// Where clients reach it.
    pub frontend: SocketAddrV4,
    /// Its zone.
    pub zone: &'a str,
    /// It can serve clients.
    pub ready: bool,
}

#[derive(Debug, Clone)]
struct Member {
    frontend: SocketAddrV4,
    zone: String,
    ready: bool,
    last_heartbeat: Timestamp,
}

impl Member {
    fn new(heartbeat: &MemberHeartbeat, last_heartbeat: Timestamp) -> Self {
        let MemberHeartbeat { frontend, ref zone, ready, .. } = *heartbeat;
        Member { frontend, zone: zone.clone(), ready, last_heartbeat }
    }
}

/// The members, as one machine knows them.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    members: BTreeMap<NodeId, Member>,
}

impl Membership {
    /// Takes a heartbeat, from the member itself or passed on. True if it changes which members can be sent clients.
    pub fn observe(&mut self, now: Timestamp, heartbeat: &MemberHeartbeat) -> bool {
        let sent = now.saturating_sub(heartbeat.age);
        let full = self.members.len() >= MAX_MEMBERS;
        match self.members.get_mut(&heartbeat.node) {
            // Passed on later than a newer one.
            Some(member) if member.last_heartbeat > sent => false,
            Some(member) => {
                let expired = member.last_heartbeat + MEMBER_LEASE < now;
                let changed = member.ready != heartbeat.ready || expired;
                *member = Member::new(heartbeat, sent);
                changed
            }
            None if full => false,
            None => {
                self.members.insert(heartbeat.node, Member::new(heartbeat, sent));
                true
            }
        }
    }

    /// The heartbeats of the members whose lease has not expired, with their ages, to be passed on.
    pub fn heartbeats(&self, now: Timestamp) -> Vec<MemberHeartbeat> {
        let heartbeat = |(node, member): (&NodeId, &Member)| MemberHeartbeat {
            node: *node,
            frontend: member.frontend,
            zone: member.zone.clone(),
            ready: member.ready,
            age: now.saturating_sub(member.last_heartbeat),
        };
        let is_live = |member: &Member| now.saturating_sub(member.last_heartbeat) <= MEMBER_LEASE;
        self.members.iter().filter(|(_, member)| is_live(member)).map(heartbeat).collect()
    }

    /// Forgets members whose lease expired long ago.
    pub fn expire(&mut self, now: Timestamp) {
        let retention = MEMBER_LEASE + MEMBER_RETENTION;
        self.members.retain(|_, member| now.saturating_sub(member.last_heartbeat) < retention);
    }

    /// The members whose lease has not expired.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = LiveMember<'_>> {
        let is_live = move |member: &Member| now.saturating_sub(member.last_heartbeat) <= MEMBER_LEASE;
        self.members.iter().filter(move |(_, member)| is_live(member)).map(|(node, member)| LiveMember {
            node: *node,
            frontend: member.frontend,
            zone: &member.zone,
            ready: member.ready,
        })
    }
}
