//! Addresses, ports and zones of the machines.

use std::net::{Ipv4Addr, SocketAddr};

/// Port for servers and operators, on core machines.
const CONTROL: u16 = 30383;
/// Port for clients, on gateways.
const FRONTEND: u16 = 30389;
/// Port of readiness probes, on gateways.
pub(crate) const READINESS: u16 = 30384;
/// Port of the figures.
pub(crate) const METRICS: u16 = 30464;
/// The inner port of machine 0; the others follow.
pub(crate) const FIRST_INNER: u16 = 30420;

/// Zones, all of one region but the last.
pub const ZONES: [(&str, &str); 3] = [("z1", "north"), ("z2", "north"), ("z3", "south")];

/// The address of a machine.
pub fn machine_ip(net: u8, machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, 0, machine as u8 + 1)
}

/// Where other processes reach a machine whose links are steered: by a port of its own.
pub fn inner_address(net: u8, machine: usize) -> SocketAddr {
    (machine_ip(net, machine), FIRST_INNER + machine as u16).into()
}

/// Where a core machine listens for servers and operators.
pub fn control_address(net: u8, machine: usize) -> SocketAddr {
    (machine_ip(net, machine), CONTROL).into()
}

/// Where a gateway listens for clients.
pub fn frontend_address(net: u8, machine: usize) -> SocketAddr {
    (machine_ip(net, machine), FRONTEND).into()
}

/// The zone of a machine or a server.
pub fn zone_of(at: usize) -> (&'static str, &'static str) {
    ZONES[at % ZONES.len()]
}
