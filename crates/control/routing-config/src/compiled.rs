//! Items as requests need them: parsed, checked, with their defaults.

use limeway_types::Micros;

/// A route: requests of a host and a path prefix, and where they go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its host, in lower case.
    pub host: String,
    /// It serves the paths that begin with this.
    pub path_prefix: String,
    /// Its requests may be executed more than once.
    pub idempotent: bool,
    /// Longest time that a request may take.
    pub timeout: Micros,
    /// Latency target: a response within it has its full value.
    pub target_latency: Micros,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// The services that its requests go to, with their weights.
    pub traffic_split: Vec<(String, f64)>,
    /// Upper bound on the servers that one client attempt is sent to.
    pub max_attempts: u32,
    /// Requests need no API key.
    pub public: bool,
    /// Regions that may serve it; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A service: a set of servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one of its servers takes from all gateways together; 0 for any number.
    pub max_connections: f64,
    /// Length of slow start after a server's start.
    pub slow_start: Micros,
    /// Requests a second that a server in slow start takes; 0 for no limit.
    pub slow_start_rate: f64,
}

/// A tenant, who is known by API keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Priority of its requests, in place of the route's.
    pub priority: Option<u32>,
    /// Rate limit over all gateways, in requests a second; 0 for none.
    pub rate_per_second: f64,
    /// Burst on top of the rate, in requests.
    pub burst_size: f64,
    /// Regions that may serve it; empty for all.
    pub allowed_regions: Vec<String>,
}

/// What clients may send.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub max_header_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request to arrive completely.
    pub header_timeout: Micros,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 1 << 20,
            header_timeout: 3_000_000,
            idle_timeout: 15_000_000,
        }
    }
}
