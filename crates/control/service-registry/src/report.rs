//! What servers and replicas say of an instance.

use limeway_types::Micros;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Where an instance stands in its life cycle; it only goes forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Takes requests.
    #[serde(rename = "r")]
    Ready,
    /// Is shutting down: no new requests go there.
    #[serde(rename = "d")]
    Draining,
    /// Has ended.
    #[serde(rename = "g")]
    Gone,
}

/// What is known of an instance, with times relative to the moment at which the report is sent or passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Its id, unique to one run of the server's process.
    #[serde(rename = "i")]
    pub id: String,
    /// The service that it serves.
    #[serde(rename = "s")]
    pub service: String,
    /// Where it listens.
    #[serde(rename = "a")]
    pub address: SocketAddrV4,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Requests that it works on at once.
    #[serde(rename = "n")]
    pub capacity_slots: u32,
    /// Where it stands.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// For how much longer it is in slow start.
    #[serde(rename = "c")]
    pub slow_start_left: Micros,
    /// Rises with each of its calls.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Time since its last heartbeat.
    #[serde(rename = "t")]
    pub age: Micros,
    /// It has missed its heartbeats for long.
    #[serde(rename = "m", default)]
    pub unresponsive: bool,
}

impl ServerReport {
    /// Nothing but that an instance has ended, of which nothing else is known.
    pub(crate) fn ended(id: &str) -> Self {
        ServerReport {
            id: id.to_owned(),
            service: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            capacity_slots: 0,
            phase: Phase::Gone,
            slow_start_left: 0,
            sequence: 0,
            age: 0,
            unresponsive: false,
        }
    }
}
