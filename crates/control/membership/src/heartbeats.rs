//! Heartbeats of members that a process passes on, with their ages.

use crate::members::{MemberHeartbeat, MEMBER_LEASE};
use limeway_types::{NodeId, Timestamp};
use std::collections::BTreeMap;

/// A heartbeat, and when it was sent.
#[derive(Debug, Clone)]
struct ReceivedHeartbeat {
    heartbeat: MemberHeartbeat,
    sent: Timestamp,
}

/// The newest heartbeat of each member that renews its lease here, to be passed on while the lease lasts.
#[derive(Debug, Clone)]
pub struct HeartbeatBuffer {
    received: BTreeMap<NodeId, ReceivedHeartbeat>,
    max_members: usize,
}

impl HeartbeatBuffer {
    /// An empty one for so many members.
    pub fn new(max_members: usize) -> Self {
        HeartbeatBuffer { received: BTreeMap::new(), max_members }
    }

    /// Takes a heartbeat, from the member itself or passed on. True if others should hear of it soon: the member is new, or its
    /// readiness has changed. One that is older than what is known changes nothing.
    pub fn observe(&mut self, now: Timestamp, heartbeat: &MemberHeartbeat) -> bool {
        let sent = now.saturating_sub(heartbeat.age);
        let known = self.received.get(&heartbeat.node);
        if known.is_some_and(|known| known.sent > sent) {
            return false;
        }
        if known.is_none() && self.received.len() >= self.max_members {
            return false;
        }
        let changed = known.is_none_or(|known| known.heartbeat.ready != heartbeat.ready);
        self.received.insert(heartbeat.node, ReceivedHeartbeat { heartbeat: heartbeat.clone(), sent });
        changed
    }

    /// Drops members whose lease has expired, and returns the heartbeats of the others with their ages.
    pub fn pass_on(&mut self, now: Timestamp) -> Vec<MemberHeartbeat> {
        self.received.retain(|_, received| now.saturating_sub(received.sent) < MEMBER_LEASE);
        let aged = |received: &ReceivedHeartbeat| MemberHeartbeat {
            age: now.saturating_sub(received.sent),
            ..received.heartbeat.clone()
        };
        self.received.values().map(aged).collect()
    }
}
