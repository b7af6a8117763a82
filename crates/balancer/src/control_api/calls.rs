//! The table of all calls of the control API.

use limeway_routing_config::config_update::MAX_UPDATE_BYTES;

/// Upper bound on the body of any call, in bytes.
pub(super) const MAX_BODY_BYTES: usize = MAX_UPDATE_BYTES;
/// Upper bound on the body of a call that brings no configuration, in bytes.
const MAX_SMALL_BODY_BYTES: usize = 16 * 1024;

/// A call of the control API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ApiCall {
    Heartbeat,
    Deregister,
    ReplaceConfig,
    UpdateConfig,
    ReadConfig,
    StartEvacuation,
    EndEvacuation,
    Resolve,
}

/// How a call is made, and what it may hold.
pub(super) struct CallEntry {
    pub call: ApiCall,
    method: &'static str,
    path: &'static str,
    /// The value of the parameter `call`; empty where the path tells enough.
    name: &'static str,
    pub max_body_bytes: usize,
}

const fn rpc(call: ApiCall, name: &'static str, max_body_bytes: usize) -> CallEntry {
    CallEntry { call, method: "POST", path: "/-/rpc", name, max_body_bytes }
}

/// All calls of servers, operators and clients.
const CALLS: [CallEntry; 8] = [
    rpc(ApiCall::Heartbeat, "instances.heartbeat", MAX_SMALL_BODY_BYTES),
    rpc(ApiCall::Deregister, "instances.deregister", MAX_SMALL_BODY_BYTES),
    rpc(ApiCall::ReplaceConfig, "config.replace", MAX_UPDATE_BYTES),
    rpc(ApiCall::UpdateConfig, "config.update", MAX_UPDATE_BYTES),
    rpc(ApiCall::ReadConfig, "config.read", MAX_SMALL_BODY_BYTES),
    rpc(ApiCall::StartEvacuation, "evacuations.start", MAX_SMALL_BODY_BYTES),
    rpc(ApiCall::EndEvacuation, "evacuations.finish", MAX_SMALL_BODY_BYTES),
    CallEntry { call: ApiCall::Resolve, method: "GET", path: "/-/resolve", name: "", max_body_bytes: 0 },
];

/// The entry of a call.
pub(super) fn find(method: &str, path: &str, name: &str) -> Option<&'static CallEntry> {
    let is_it = |entry: &&CallEntry| {
        entry.path == path && entry.method == method && (entry.name.is_empty() || entry.name == name)
    };
    CALLS.iter().find(is_it)
}
