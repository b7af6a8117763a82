//! What stand-in servers say of themselves.

use crate::system::System;
use std::net::Ipv4Addr;

/// A server of the service `s` reports itself.
pub(crate) fn heartbeat(
    system: &System,
    life: &str,
    address: (Ipv4Addr, u16),
    state: &str,
    count: u32,
) -> u16 {
    let body = format!(
        r#"{{"target-service":"s","address":"{}:{}","zone":"z1","config-version":"v1","capacity-slots":4,"state":"{state}","cold-left":"0ms","call-count":{count}}}"#,
        address.0, address.1
    );
    system.order(&format!("instances.heartbeat&of={life}"), &body).0
}
