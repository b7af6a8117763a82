//! An immutable snapshot of a configuration, compiled for answering requests.

pub use crate::compiled::{Limits, Route, Service, Tenant};
use crate::items::ItemChange;
use crate::sharded_map::ShardedMap;
use crate::{compile, InvalidConfig, ItemKind, ItemRef, Version};
use limeway_types::Micros;
use std::cmp::Ordering;
use std::rc::Rc;

/// A configuration, compiled for routing. Clones share whatever does not change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutingSnapshot {
    /// Its version.
    pub version: Version,
    /// Routes by host, the longest prefix first.
    hosts: ShardedMap<Vec<Rc<Route>>>,
    /// Services by name.
    pub services: ShardedMap<Rc<Service>>,
    /// Tenants by API key.
    keys: ShardedMap<Rc<Tenant>>,
    /// Tenants by name.
    pub tenants: ShardedMap<Rc<Tenant>>,
    /// What clients may send.
    pub limits: Limits,
}

/// Long prefixes go before short ones; of equal length there are no two that begin one path.
fn prefix_order(a: &str, b: &str) -> Ordering {
    b.len().cmp(&a.len()).then_with(|| a.cmp(b))
}

impl RoutingSnapshot {
    /// Compiles a snapshot of items, and checks what one item alone does not show.
    ///
    /// # Errors
    /// An item is invalid, or items contradict each other.
    pub fn compile<'a>(
        version: Version,
        items: impl Iterator<Item = ItemRef<'a>>,
    ) -> Result<Self, InvalidConfig> {
        let mut snapshot = RoutingSnapshot { version, ..RoutingSnapshot::default() };
        for item in items {
            snapshot.insert(item)?;
        }
        for route in snapshot.hosts.values().flatten() {
            snapshot.check_services(route)?;
        }
        Ok(snapshot)
    }

    /// The snapshot after changes, given in the order of kinds, to the items that this one was compiled from: it shares whatever they
    /// leave alone.
    ///
    /// # Errors
    /// Exactly where [`RoutingSnapshot::compile`] of the changed items fails; which of several faults is named may differ.
    pub fn apply_changes(&self, version: Version, changes: &[ItemChange]) -> Result<Self, InvalidConfig> {
        let mut snapshot = RoutingSnapshot { version, ..self.clone() };
        let mut to_check = snapshot.apply_route_changes(changes)?;
        for change in changes.iter().filter(|change| change.kind != ItemKind::Route) {
            if let Some(spec) = change.new {
                snapshot.insert(change.with_spec(spec))?;
            }
        }
        if changes.iter().any(|change| change.kind == ItemKind::Service && change.new.is_none()) {
            to_check.extend(snapshot.hosts.values().flatten().cloned());
        }
        to_check.iter().try_for_each(|route| snapshot.check_services(route))?;
        Ok(snapshot)
    }

    /// Removes old items and puts changed routes in. Returns the changed routes.
    fn apply_route_changes(&mut self, changes: &[ItemChange]) -> Result<Vec<Rc<Route>>, InvalidConfig> {
        let (mut changed, mut to_insert) = (Vec::new(), Vec::new());
        for change in changes {
            let route = match change.new {
                Some(spec) if change.kind == ItemKind::Route => {
                    Some(Rc::new(compile::route(change.with_spec(spec))?))
                }
                _ => None,
            };
            // Most changed routes keep their host and prefix: what they were need not be parsed.
            let replaced =
                change.old.is_some() && route.as_ref().is_some_and(|route| self.replace_route(route));
            if let Some(old) = change.old.filter(|_| !replaced) {
                self.remove(change.with_spec(old))?;
            }
            to_insert.extend(route.iter().filter(|_| !replaced).cloned());
            changed.extend(route);
        }
        // Only now: a host and prefix may pass from one route to another in either order.
        to_insert.into_iter().try_for_each(|route| self.insert_route(route))?;
        Ok(changed)
    }

    /// Inserts an item that is not there.
    fn insert(&mut self, item: ItemRef) -> Result<(), InvalidConfig> {
        match item.kind {
            ItemKind::Route => self.insert_route(Rc::new(compile::route(item)?))?,
            ItemKind::Service => drop(self.services.insert(item.name, Rc::new(compile::service(item)?))),
            ItemKind::Tenant => self.insert_tenant(item)?,
            ItemKind::Limits => self.limits = compile::limits(item)?,
        }
        Ok(())
    }

    fn insert_tenant(&mut self, item: ItemRef) -> Result<(), InvalidConfig> {
        let (tenant, keys) = compile::tenant(item)?;
        let tenant = Rc::new(tenant);
        for key in keys {
            let previous = self.keys.insert(&key, tenant.clone());
            if previous.is_some_and(|previous| previous.name != tenant.name) {
                return Err(InvalidConfig::new(item.name, "another tenant holds one of its keys"));
            }
        }
        self.tenants.insert(item.name, tenant);
        Ok(())
    }

    fn insert_route(&mut self, route: Rc<Route>) -> Result<(), InvalidConfig> {
        let Some(routes) = self.hosts.get_mut(&route.host) else {
            self.hosts.insert(&route.host.clone(), vec![route]);
            return Ok(());
        };
        match routes.binary_search_by(|r| prefix_order(&r.path_prefix, &route.path_prefix)) {
            Ok(_) => Err(InvalidConfig::new(&route.name, "another route has this host and prefix")),
            Err(at) => {
                routes.insert(at, route);
                Ok(())
            }
        }
    }

    /// Replaces the route of this name, if it has this very host and prefix.
    fn replace_route(&mut self, route: &Rc<Route>) -> bool {
        let Some(routes) = self.hosts.get_mut(&route.host) else { return false };
        let at = routes.binary_search_by(|r| prefix_order(&r.path_prefix, &route.path_prefix));
        let old = at.ok().and_then(|at| routes.get_mut(at)).filter(|r| r.name == route.name);
        old.map(|old| *old = route.clone()).is_some()
    }

    /// Removes an item, given as it was inserted.
    fn remove(&mut self, item: ItemRef) -> Result<(), InvalidConfig> {
        match item.kind {
            ItemKind::Route => self.remove_route(item)?,
            ItemKind::Service => drop(self.services.remove(item.name)),
            ItemKind::Tenant => {
                for key in compile::tenant_keys(item)? {
                    self.keys.remove(&key);
                }
                self.tenants.remove(item.name);
            }
            ItemKind::Limits => self.limits = Limits::default(),
        }
        Ok(())
    }

    fn remove_route(&mut self, item: ItemRef) -> Result<(), InvalidConfig> {
        let (host, path_prefix) = compile::route_match(item)?;
        let Some(routes) = self.hosts.get_mut(&host) else { return Ok(()) };
        if let Ok(at) = routes.binary_search_by(|r| prefix_order(&r.path_prefix, &path_prefix)) {
            routes.remove(at);
        }
        if routes.is_empty() {
            self.hosts.remove(&host);
        }
        Ok(())
    }

    /// Checks that the services of a route exist.
    fn check_services(&self, route: &Route) -> Result<(), InvalidConfig> {
        match route.traffic_split.iter().find(|(service, _)| !self.services.contains_key(service)) {
            None => Ok(()),
            Some((service, _)) => Err(InvalidConfig::new(
                format!("routes {} target-service {service}", route.name),
                "is no known service",
            )),
        }
    }

    /// The route of a host and a path: the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// The tenant that an API key belongs to.
    pub fn tenant_of_key(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.keys.get(key)
    }

    /// The longest time that a request of any route may take; 0 without routes.
    pub fn longest_timeout(&self) -> Micros {
        self.hosts.values().flatten().map(|route| route.timeout).max().unwrap_or(0)
    }

    /// Whether requests need API keys at all.
    pub fn requires_keys(&self) -> bool {
        !self.tenants.is_empty()
    }
}
