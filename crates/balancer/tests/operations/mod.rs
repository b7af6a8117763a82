//! What tests do with a running system: calls to its machines, and configurations to send.

use crate::http_call::ask;
use crate::system::{System, CONTROL, SOON};
use std::time::Instant;

impl System {
    pub(crate) fn control(&self, at: usize, call: &str, body: &str) -> Option<(u16, String)> {
        ask((self.machines[at].ip, CONTROL).into(), "POST", &format!("/-/rpc?call={call}"), &[], body)
    }

    /// As an operator does: to any core machine, until there is a clear answer.
    pub(crate) fn order(&self, call: &str, body: &str) -> (u16, String) {
        let (begun, mut at) = (Instant::now(), 0);
        loop {
            if let Some((status, text)) = self.control(at % 3, call, body).filter(|(s, _)| *s < 500) {
                return (status, text);
            }
            at += 1;
            assert!(begun.elapsed() < SOON, "no clear answer to {call}: {}", self.log());
        }
    }
}

/// A configuration with one route, service and tenant.
pub(crate) fn config(version: u32, base: u32, prefix: &str, keys: &str) -> String {
    config_with_tenants(version, base, prefix, &[tenant("t", keys, 200)])
}

/// A configuration with one route and service, and these tenants.
pub(crate) fn config_with_tenants(version: u32, base: u32, prefix: &str, tenants: &[String]) -> String {
    let tenants = tenants.join(",");
    format!(
        r#"{{"config-version":"{version:08x}","base-version":"{base:08x}","resource-list":[{{"resource-kind":"routes","metadata":{{"name":"r"}},"specification":{{"hostname":"a.example","path-prefix":"{prefix}","route-type":"idempotent","timeout":"2s","target-service":"s","max-attempts":3}}}},{{"resource-kind":"services","metadata":{{"name":"s"}},"specification":{{"health-path":"/health"}}}},{tenants}]}}"#
    )
}

/// A tenant with these keys and a quota of so many requests a second, as many at once.
pub(crate) fn tenant(name: &str, keys: &str, rate: u32) -> String {
    format!(
        r#"{{"resource-kind":"tenants","metadata":{{"name":"{name}"}},"specification":{{"api-keys":[{keys}],"rate-per-s":{rate},"burst-size":{rate}}}}}"#
    )
}
