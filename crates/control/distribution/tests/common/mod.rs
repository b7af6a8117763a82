//! Boards, polls and operations for the tests of this package.
#![allow(dead_code)]

use limeway_distribution::{encode, LongPoll, Micros, StateCache};
use limeway_membership::MemberHeartbeat;
use limeway_routing_config::Operation;
use limeway_routing_config::{Item, ItemKind};
use limeway_service_registry::{Phase, ServerReport};
use std::net::SocketAddrV4;

pub(crate) fn presence(node: u32) -> MemberHeartbeat {
    let front = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
    MemberHeartbeat { node, frontend: front, zone: "z".into(), ready: true, age: 0 }
}

/// A poll of one who knows so much of the upstream's cache.
pub(crate) fn poll(cache: &StateCache, epoch: u64, servers: u64, members: u64) -> LongPoll {
    LongPoll {
        sender: presence(1),
        downstream: Vec::new(),
        request: cache.state_request(),
        incarnation: epoch,
        registry_revision: servers,
        members_revision: members,
        max_wait: 600_000,
    }
}

pub(crate) fn report(id: u64, count: u64, phase: Phase) -> ServerReport {
    ServerReport {
        id: format!("i-{id}"),
        service: "s".into(),
        address: SocketAddrV4::new([127, 0, (id / 250) as u8, (id % 250) as u8].into(), 80),
        zone: "z".into(),
        capacity_slots: 3,
        phase,
        slow_start_left: 0,
        sequence: count,
        age: 0,
        unresponsive: false,
    }
}

/// Some routes with names that do not compress well: the same ones for the same `seed`.
pub(crate) fn routes(seed: u64, count: u64) -> Vec<u8> {
    let route = |n: u64| {
        let draw = |salt: u64| limeway_membership::hash(&[seed, n, salt].map(u64::to_le_bytes).concat());
        let spec = format!(
            "{{\"hostname\":\"{:x}.example\",\"path-prefix\":\"/{:x}{:x}{:x}/\"}}",
            draw(1),
            draw(2),
            draw(3),
            draw(4)
        );
        Item { kind: ItemKind::Route, name: format!("r-{seed}-{n}"), spec }
    };
    let version = seed as u32;
    let set = (0..count).map(route).collect();
    encode(&Operation::UpdateConfig {
        version,
        base_version: version.saturating_sub(1),
        replace: false,
        upserts: set,
        removals: vec![],
        digest: u128::from(seed),
    })
}

/// A core machine that is confirmed at `now`, with so many operations and a big one among them.
pub(crate) fn core(epoch: u64, now: Micros, machines: &[u32], big: u64) -> StateCache {
    let mut cache = StateCache::new(epoch);
    cache.apply_operation(&encode(&voters(machines)));
    if big > 0 {
        cache.apply_operation(&routes(1, big));
    }
    cache.confirmed_at = now;
    cache
}

/// The operation that makes these machines the voters.
pub(crate) fn voters(machines: &[u32]) -> Operation {
    let voters = machines.iter().map(|node| limeway_consensus::Voter { node: *node, disk: 0 });
    Operation::SetVoters { voters: voters.collect(), former_voters: Vec::new() }
}
