//! Heartbeats that are passed on keep their age, and the newest one counts.

use limeway_membership::{HeartbeatBuffer, MemberHeartbeat, MEMBER_LEASE};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddrV4};

const NOW: u64 = 1_000_000_000;

fn heartbeat(node: u32, ready: bool, age: u64) -> MemberHeartbeat {
    MemberHeartbeat {
        node,
        frontend: SocketAddrV4::new(Ipv4Addr::from(node), 80),
        zone: "z".into(),
        ready,
        age,
    }
}

#[rstest]
fn ages_grow_and_leases_end() {
    let mut buffer = HeartbeatBuffer::new(8);
    assert!(buffer.observe(NOW, &heartbeat(1, true, 200)), "it is new");
    assert!(!buffer.observe(NOW, &heartbeat(1, true, 100)), "it has only renewed its lease");
    assert_eq!(buffer.pass_on(NOW + 50), [heartbeat(1, true, 150)]);
    assert_eq!(buffer.pass_on(NOW + MEMBER_LEASE), []);
}

/// Two relays pass on one member's heartbeats, one of them late.
#[rstest]
fn an_older_heartbeat_that_comes_later_changes_nothing() {
    let mut buffer = HeartbeatBuffer::new(8);
    buffer.observe(NOW, &heartbeat(1, false, 0));
    assert!(!buffer.observe(NOW + 10, &heartbeat(1, true, 500_000)));
    assert_eq!(buffer.pass_on(NOW + 10), [heartbeat(1, false, 10)]);
    assert!(buffer.observe(NOW + 20, &heartbeat(1, true, 0)), "its readiness has changed");
}

#[rstest]
fn there_is_room_for_so_many_members() {
    let mut buffer = HeartbeatBuffer::new(1);
    assert!(buffer.observe(NOW, &heartbeat(1, true, 0)));
    assert!(!buffer.observe(NOW, &heartbeat(2, true, 0)));
    assert_eq!(buffer.pass_on(NOW).len(), 1);
}
