//! Connections between processes of the system.
//!
//! A [`Channel`] leads to one process: calls go out over one kept connection and are matched by their numbers, responses come in
//! any order. What a number, a timeout, a silence and a chunk mean is decided in `limeway-rpc`; here are sockets and timers. A
//! call that times out ends no other. One that received nothing at all makes the next call open a new connection; what is in flight
//! on the old one may still be answered there. [`listen`] takes calls. All of it as a table: `docs/design/calls.md`.

mod channel;
mod server;
mod socket;

pub use channel::{CallError, Channel};
pub use server::listen;
pub use socket::bind;

use limeway_types::NodeId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// Upper bound on the channels that are kept.
const MAX_CHANNELS: usize = 2_048;

/// The channels to all processes that this one calls.
pub struct Channels {
    port: u16,
    channels: RefCell<HashMap<NodeId, Rc<Channel>>>,
}

impl Channels {
    /// All processes listen for each other at one port.
    pub fn new(port: u16) -> Self {
        Channels { port, channels: RefCell::default() }
    }

    /// The channel to a machine.
    pub fn to(&self, node: NodeId) -> Rc<Channel> {
        let mut channels = self.channels.borrow_mut();
        if channels.len() >= MAX_CHANNELS {
            channels.clear();
        }
        let address = SocketAddr::from((Ipv4Addr::from(node), self.port));
        channels.entry(node).or_insert_with(|| Channel::new(address)).clone()
    }
}

/// The machines of some addresses.
pub fn nodes(addresses: &[SocketAddr]) -> Vec<NodeId> {
    let node = |address: &SocketAddr| match address {
        SocketAddr::V4(address) => Some(NodeId::from(*address.ip())),
        SocketAddr::V6(_) => None,
    };
    addresses.iter().filter_map(node).collect()
}
