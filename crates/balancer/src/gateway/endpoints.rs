//! The endpoints of services: an immutable table, swapped as a whole, and the connections to its servers.

use super::Gateway;
use crate::clock::now;
use crate::upstream::{ConnectTarget, ConnectionPools};
use limeway_distribution::StateCache;
use limeway_load_balancing::{slow_start_share, Candidate, Locality, Selector};
use limeway_membership::{hash, rendezvous_weight, NodeId};
use limeway_routing_config::{RoutingSnapshot, Service};
use limeway_service_registry::{Phase, Server};
use limeway_types::{Micros, Timestamp, SECOND};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// File descriptors that are not for connections to servers.
const RESERVED_FILE_DESCRIPTORS: usize = 300;
/// One in so many of the other descriptors is for connections to servers.
const UPSTREAM_DESCRIPTOR_SHARE: usize = 3;
/// Upper bound on the gateways that send to one server in slow start.
const MAX_SLOW_START_SENDERS: usize = 4;
/// Part of the bound for servers in slow start that is used.
const SLOW_START_UTILIZATION: f64 = 0.95;
/// How long a zone is remembered after its evacuation ended.
const RETURNED_ZONE_RETENTION: Micros = 20 * SECOND;
/// Members that connections to a server are divided by, at least.
const MIN_SHARING_MEMBERS: usize = 3;

/// A server as requests see it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The id of the instance.
    pub id: Rc<str>,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its region.
    pub region: Rc<str>,
    /// How far it is.
    pub locality: Locality,
    /// Requests that it works on at once.
    pub capacity_slots: u32,
    /// In slow start until then.
    pub slow_start_until: Timestamp,
    /// Requests a second that this gateway may send it during slow start.
    pub slow_start_rate: f64,
    /// It has missed its heartbeats.
    pub unresponsive: bool,
    /// Upper bound on the connections of this gateway: its share of those that the server takes from all.
    pub max_connections: u32,
}

impl Endpoint {
    /// Whether it is in the regions that all of these lists allow, each of which may be empty for all.
    fn is_in(&self, allowed_regions: [&[String]; 2]) -> bool {
        let allows =
            |regions: &&[String]| regions.is_empty() || regions.iter().any(|region| **region == *self.region);
        allowed_regions.iter().all(allows)
    }
}

/// The endpoints by service: an immutable snapshot. A service whose servers are all leaving or evacuated has an empty list.
pub type EndpointTable = HashMap<Rc<str>, Vec<Endpoint>>;

/// The endpoints of services, and the connections to them.
pub struct Endpoints {
    table: RefCell<Rc<EndpointTable>>,
    /// Which endpoint a request goes to.
    pub selector: RefCell<Selector>,
    /// Connections to servers.
    pub pools: ConnectionPools,
    /// Zones whose evacuation ended not long ago, and when: their servers may be in slow start without having said so.
    returned_zones: RefCell<BTreeMap<String, Timestamp>>,
    /// Servers are known that are leaving, or whose zone is evacuated.
    knows_leaving: Cell<bool>,
}

impl Endpoints {
    pub(super) fn new(file_descriptors: usize) -> Self {
        let for_all = file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS);
        Endpoints {
            table: RefCell::default(),
            selector: RefCell::default(),
            pools: ConnectionPools::new(for_all / UPSTREAM_DESCRIPTOR_SHARE),
            returned_zones: RefCell::default(),
            knows_leaving: Cell::new(false),
        }
    }

    /// The present table.
    pub fn table(&self) -> Rc<EndpointTable> {
        self.table.borrow().clone()
    }

    /// Whether servers are known that no request may go to any more.
    pub(super) fn knows_leaving(&self) -> bool {
        self.knows_leaving.get()
    }

    /// The evacuations of zones have ended.
    pub(super) fn zones_returned<'a>(&self, now: Timestamp, zones: impl Iterator<Item = &'a String>) {
        let mut returned = self.returned_zones.borrow_mut();
        for zone in zones {
            returned.insert(zone.clone(), now);
        }
    }

    /// The endpoints of a service that a request may go to: in the regions that both lists allow, each of which may be empty for all.
    pub fn candidates(&self, service: &str, allowed_regions: [&[String]; 2]) -> Vec<Candidate> {
        let (now, table) = (now(), self.table());
        let candidate = |endpoint: &Endpoint| Candidate {
            id: endpoint.id.clone(),
            capacity_slots: endpoint.capacity_slots,
            locality: endpoint.locality,
            slow_start_rate: (endpoint.slow_start_until > now).then_some(endpoint.slow_start_rate),
            unresponsive: endpoint.unresponsive,
            max_outstanding: endpoint.max_connections,
        };
        let endpoints = table.get(service).map_or(&[][..], Vec::as_slice);
        endpoints.iter().filter(|endpoint| endpoint.is_in(allowed_regions)).map(candidate).collect()
    }

    /// Whether servers of a service are known, and none of them may get a request: they are leaving, evacuated, or elsewhere.
    pub fn excludes_all(&self, service: &str, allowed_regions: [&[String]; 2]) -> bool {
        let table = self.table.borrow();
        table.get(service).is_some_and(|endpoints| !endpoints.iter().any(|one| one.is_in(allowed_regions)))
    }

    /// Where to connect to an endpoint.
    pub fn connect_target(&self, service: &str, id: &str) -> Option<ConnectTarget> {
        let table = self.table.borrow();
        let endpoint = table.get(service)?.iter().find(|endpoint| &*endpoint.id == id)?;
        Some(ConnectTarget { address: endpoint.address, max_connections: endpoint.max_connections })
    }
}

impl Gateway {
    /// Makes the table of endpoints from what is known now.
    pub(super) fn rebuild_endpoints(&self) {
        let now = now();
        let (cache, routing) = (self.following.cache.borrow(), self.following.routing.borrow());
        let mut table = EndpointTable::new();
        let mut regions: HashMap<&str, Rc<str>> = HashMap::new();
        let mut knows_leaving = false;
        for (id, server) in cache.registry.servers() {
            if server.superseded {
                continue;
            }
            if server.phase != Phase::Ready || cache.state.evacuated.contains_key(&server.zone) {
                knows_leaving = true;
                table.entry(Rc::from(server.service.as_str())).or_default();
                continue;
            }
            let region = self.settings.zones.get(&server.zone).map_or("", String::as_str);
            let region = regions.entry(region).or_insert_with(|| Rc::from(region)).clone();
            let endpoint = self.endpoint(now, &cache, &routing, id, server, region);
            match table.get_mut(server.service.as_str()) {
                Some(endpoints) => endpoints.push(endpoint),
                None => {
                    table.insert(Rc::from(server.service.as_str()), vec![endpoint]);
                }
            }
        }
        self.endpoints.returned_zones.borrow_mut().retain(|_, since| now < *since + RETURNED_ZONE_RETENTION);
        let is_ready = |id: &str| cache.registry.servers().get(id).is_some_and(|s| s.phase == Phase::Ready);
        self.endpoints.pools.retain(is_ready);
        self.endpoints.knows_leaving.set(knows_leaving);
        *self.endpoints.table.borrow_mut() = Rc::new(table);
    }

    fn endpoint(
        &self,
        now: Timestamp,
        cache: &StateCache,
        routing: &RoutingSnapshot,
        id: &str,
        server: &Server,
        region: Rc<str>,
    ) -> Endpoint {
        let service = routing.services.get(&server.service).map(|service| &**service);
        let slow_start_until = self.slow_start_until(server, service);
        // A server that is not in slow start gets no share: it enters it only by an update, which brings a new table.
        let slow_starting = service.filter(|_| slow_start_until > now);
        let slow_start_rate = slow_starting
            .map_or(0.0, |service| self.slow_start_rate(cache, id, &server.zone, &region, service));
        Endpoint {
            id: Rc::from(id),
            address: server.address,
            locality: self.locality(&server.zone, &region),
            region,
            capacity_slots: server.capacity_slots,
            slow_start_until,
            slow_start_rate,
            unresponsive: server.unresponsive || server.unlisted,
            max_connections: max_connections(cache, service),
        }
    }

    fn locality(&self, zone: &str, region: &str) -> Locality {
        if zone == self.settings.zone {
            Locality::Zone
        } else if region == self.settings.region {
            Locality::Region
        } else {
            Locality::OtherRegion
        }
    }

    /// Until a server of a zone whose evacuation has ended reports again, it may be in slow start without having said so.
    fn slow_start_until(&self, server: &Server, service: Option<&Service>) -> Timestamp {
        match self.endpoints.returned_zones.borrow().get(&server.zone) {
            Some(since) => {
                let unreported = since + service.map_or(0, |service| service.slow_start);
                server.slow_start_until.max(unreported)
            }
            None => server.slow_start_until,
        }
    }

    /// Requests a second that this gateway may send a server in slow start: few gateways share it, the nearest ones.
    fn slow_start_rate(
        &self,
        cache: &StateCache,
        id: &str,
        zone: &str,
        region: &str,
        service: &Service,
    ) -> f64 {
        let zones = &self.settings.zones;
        let members = |is_near: &dyn Fn(&str) -> bool| -> Vec<NodeId> {
            cache.members().iter().filter(|member| is_near(&member.zone)).map(|member| member.node).collect()
        };
        let mut senders = members(&|z| z == zone);
        if senders.is_empty() {
            senders = members(&|z| zones.get(z).is_some_and(|r| r == region));
        }
        if senders.is_empty() {
            senders = members(&|_| true);
        }
        let key = hash(id.as_bytes());
        senders.sort_by_key(|node| Reverse(rendezvous_weight(key, *node)));
        senders.truncate(MAX_SLOW_START_SENDERS);
        if !senders.contains(&self.node) {
            return 0.0;
        }
        if service.slow_start_rate <= 0.0 {
            return f64::MAX;
        }
        let bounds = &self.settings.bounds;
        let total = service.slow_start_rate * bounds.slow_start_overshoot + bounds.slow_start_slack;
        slow_start_share(SLOW_START_UTILIZATION * total, senders.len())
    }
}

/// This gateway's share of the connections that a server of a service takes. Members are counted as they are known, and one more that
/// may be on its way.
fn max_connections(cache: &StateCache, service: Option<&Service>) -> u32 {
    let total = service.map_or(0.0, |service| service.max_connections);
    if total <= 0.0 {
        return u32::MAX;
    }
    let members = cache.members().len().max(MIN_SHARING_MEMBERS) as f64 + 1.0;
    (total / members).floor().max(1.0) as u32
}
