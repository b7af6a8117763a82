//! A request that a server did not execute goes to another one, within the retry budget of its service.

mod http_call;
mod operations;
mod raw_http;
mod servers;
mod stand_in;
mod system;
mod tenant_request;
mod waiting;

use operations::{config, config_with_tenants, tenant};
use servers::heartbeat;
use stand_in::{Gate, StandIn, SERVER_PORT};
use std::net::Ipv4Addr;
use system::{address, System, GRACE};
use tenant_request::TenantRequest;

const GATEWAY: usize = 3;
/// Servers, all of them full.
const SERVERS: u8 = 3;
/// A response of a server that did not execute the request.
const NOT_EXECUTED: &str = "503 Service Unavailable\r\nLimeway-Not-Executed: 1";
/// `retry-budget-ratio` and `retry-slack` of the settings.
const RETRY_BUDGET_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 50.0;
/// Requests within one `retry-window`, each of which would be sent to all servers if no budget held it.
const REQUESTS: usize = 150;
/// Requests of a tenant far beyond its quota, and how many of them are refused at least: if they paid for retries, all others would be
/// sent to all servers.
const FLOOD: usize = 2_500;
const FLOOD_REFUSED: usize = 2_000;

fn send(system: &System, id: &str) -> Option<u16> {
    TenantRequest { method: "GET", path: "/x/1", id, deadline_ms: 1_000 }.send(system, GATEWAY)
}

/// Full servers, and what they say of themselves.
struct FullServers(Vec<(Ipv4Addr, StandIn)>);

impl FullServers {
    /// Starts them, and sends each its first request.
    fn start(system: &System, net: u8) -> Self {
        let start = |n: u8| {
            let ip = address(net, 90 + n);
            (ip, StandIn::start(ip, NOT_EXECUTED, &Gate::new(true)))
        };
        let servers = FullServers((0..SERVERS).map(start).collect());
        servers.report(system, 1);
        system.until("a request at each server", |system| {
            send(system, "first");
            servers.0.iter().all(|(_, server)| !server.received().is_empty())
        });
        servers
    }

    fn report(&self, system: &System, count: u32) {
        for (ip, _) in &self.0 {
            assert_eq!(heartbeat(system, &format!("i-{ip}"), (*ip, SERVER_PORT), "ready", count), 200);
        }
    }

    /// Sends them requests, and checks what arrives beyond the first of each.
    fn check_retries(&self, system: &System) {
        for n in 0..REQUESTS {
            // Servers that say nothing of themselves for long would count as gone.
            self.report(system, n as u32 + 2);
            send(system, &format!("id-{n}"));
        }
        let arrivals: usize = self.0.iter().map(|(_, server)| server.received().len()).sum();
        let first_ones = self.0.len();
        let budget = REQUESTS as f64 * RETRY_BUDGET_RATIO + RETRY_SLACK;
        let retries = (arrivals - first_ones).saturating_sub(REQUESTS);
        assert!(retries > 0, "{arrivals} arrivals of {REQUESTS} requests: nothing was retried");
        assert!(retries as f64 <= budget, "{retries} retries of {REQUESTS} requests, {budget} allowed");
    }
}

/// Guards against retries that nobody counts: full servers would get each request several times.
#[test]
fn retries_are_held_to_the_budget_of_their_service() {
    let system = System::start(88, 1, GRACE);
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1""#)).0, 200);
    FullServers::start(&system, 88).check_retries(&system);
}

/// Guards against a budget that requests refused by the gateway pay into: a tenant far beyond its quota would buy the retries of all
/// others.
#[test]
fn requests_that_no_server_gets_pay_for_no_retries() {
    let system = System::start(189, 1, GRACE);
    let tenants = [tenant("t", r#""k1""#, 2_000), tenant("beyond-its-quota", r#""k2""#, 1)];
    assert_eq!(system.order("config.replace", &config_with_tenants(1, 0, "/x/", &tenants)).0, 200);
    let servers = FullServers::start(&system, 189);
    // Those that get a unit have the id of the first request, which servers note once.
    let request = TenantRequest { method: "GET", path: "/x/1", id: "first", deadline_ms: 1_000 };
    let statuses = (0..FLOOD).map(|_| request.send_with_key(&system, GATEWAY, "k2"));
    let refused = statuses.filter(|status| *status == Some(429)).count();
    assert!(refused >= FLOOD_REFUSED, "{refused} of {FLOOD} refused");
    servers.check_retries(&system);
}
