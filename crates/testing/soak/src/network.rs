//! Links of a run: between each two processes in each direction, before each server, and before each control API.
//!
//! A process listens for others at its own inner port and calls all others at that same port, so each machine has an inner port of its
//! own: whoever listens at the address of machine `y` with the port of machine `x` is on the way from `x` to `y`.

use crate::addresses::{control_address, inner_address, machine_ip};
use crate::layout::{Layout, CORE};
use limeway_fault_injection::{Conditions, Record, Streams};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Port of servers and of the links before them.
const SERVER_PORT: u16 = 30100;

/// Where a server listens.
pub fn server_address(net: u8, server: usize) -> SocketAddr {
    (Ipv4Addr::new(127, net, 1, server as u8 + 1), SERVER_PORT).into()
}

/// Where a server is reached.
pub fn server_link_address(net: u8, server: usize) -> SocketAddr {
    (Ipv4Addr::new(127, net, 2, server as u8 + 1), SERVER_PORT).into()
}

/// Where servers and operators reach a core machine.
pub fn control_link_address(net: u8, machine: usize) -> SocketAddr {
    (Ipv4Addr::new(127, net, 3, machine as u8 + 1), control_address(net, machine).port()).into()
}

/// All links of a run.
pub struct Network {
    /// From a machine to another one.
    between: BTreeMap<(usize, usize), Streams>,
    servers: Vec<Streams>,
    controls: Vec<Streams>,
    /// What fired on them.
    pub record: Record,
}

impl Network {
    /// Starts all links. Must run within a runtime.
    ///
    /// # Errors
    /// An address cannot be listened at.
    pub fn start(layout: Layout, net: u8, seed: u64) -> io::Result<Self> {
        let record = Record::default();
        // Without links processes call each other directly.
        let machines = if layout.has_links { layout.machines() } else { 0 };
        let mut between = BTreeMap::new();
        for from in 0..machines {
            for to in (0..machines).filter(|to| *to != from) {
                let at = SocketAddr::from((machine_ip(net, to), inner_address(net, from).port()));
                let name = format!("{from} to {to}");
                let link = Streams::start_at(&name, at, inner_address(net, to), seed, &record)?;
                between.insert((from, to), link);
            }
        }
        let server = |n: usize| {
            let (at, target) = (server_link_address(net, n), server_address(net, n));
            Streams::start_at(&format!("server {n}"), at, target, seed ^ n as u64, &record)
        };
        let control = |n: usize| {
            let (at, target) = (control_link_address(net, n), control_address(net, n));
            Streams::start_at(&format!("control {n}"), at, target, seed ^ n as u64, &record)
        };
        let servers = (0..layout.servers).map(server).collect::<io::Result<_>>()?;
        let controls = (0..CORE).map(control).collect::<io::Result<_>>()?;
        Ok(Network { between, servers, controls, record })
    }

    fn set(&self, from: usize, to: usize, conditions: Conditions) {
        if let Some(link) = self.between.get(&(from, to)) {
            link.forward.set(conditions);
            link.back.set(conditions);
        }
    }

    /// Nothing passes between these machines any more, or all does again.
    pub fn partition(&self, one: usize, others: &[usize], is_cut: bool) {
        let conditions = if is_cut { Conditions::swallowed() } else { Conditions::default() };
        for other in others {
            self.set(one, *other, conditions);
            self.set(*other, one, conditions);
        }
    }

    /// Resets all connections between processes.
    pub fn reset(&self) {
        self.between.values().for_each(Streams::reset);
    }

    /// Answers of a server are lost, or come again.
    pub fn lose_server_answers(&self, server: usize, lost: bool) {
        let conditions = if lost { Conditions::swallowed() } else { Conditions::default() };
        self.servers[server].back.set(conditions);
    }

    /// Answers of a core machine to servers and operators are lost, or come again.
    pub fn lose_control_answers(&self, machine: usize, lost: bool) {
        let conditions = if lost { Conditions::swallowed() } else { Conditions::default() };
        self.controls[machine].back.set(conditions);
    }

    /// Calls to a core machine are held back, or come.
    pub fn hold_control_calls(&self, machine: usize, held: bool) {
        let conditions = if held { Conditions::held() } else { Conditions::default() };
        self.controls[machine].forward.set(conditions);
    }

    /// Resets all connections to a server.
    pub fn reset_server(&self, server: usize) {
        self.servers[server].reset();
    }
}
