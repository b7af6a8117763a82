//! Requests of the tenant of [`config`](crate::operations::config) to a gateway.

use crate::http_call::ask;
use crate::system::{System, FRONT};

/// A request that carries the tenant's key.
pub(crate) struct TenantRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u32,
}

impl TenantRequest<'_> {
    /// Sends it to a gateway on a connection of its own. The status of its answer, if there is one.
    pub(crate) fn send(&self, system: &System, gateway: usize) -> Option<u16> {
        self.send_with_key(system, gateway, "k1")
    }

    /// The same with another key.
    pub(crate) fn send_with_key(&self, system: &System, gateway: usize, key: &str) -> Option<u16> {
        let deadline = self.deadline_ms.to_string();
        let authorization = format!("Bearer {key}");
        let headers = [
            ("Host", "a.example"),
            ("Limeway-Request-Id", self.id),
            ("Limeway-Deadline-Ms", deadline.as_str()),
            ("Authorization", authorization.as_str()),
        ];
        let to = (system.machines[gateway].ip, FRONT).into();
        ask(to, self.method, self.path, &headers, "").map(|(status, _)| status)
    }
}
