//! An immutable snapshot of a configuration, made for answering requests.

use crate::document::{BadConfig, Kind, Spec};
use crate::items::{Entry, Step};
use crate::shards::Shards;
use crate::{Micros, Version};
use miniserde::json::Value;
use std::cmp::Ordering;
use std::rc::Rc;

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its host, in lower case.
    pub host: String,
    /// Paths that begin so are its.
    pub prefix: String,
    /// Its requests may run more than once.
    pub repeatable: bool,
    /// The longest that a request is held.
    pub timeout: Micros,
    /// An answer within it earns its full worth.
    pub aim: Micros,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// Its services, with their weights.
    pub split: Vec<(String, f64)>,
    /// Most servers that one try is sent to.
    pub attempts: u32,
    /// It needs no key.
    pub public: bool,
    /// Only there it may be served; empty for everywhere.
    pub homes: Vec<String>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of its health answer.
    pub health: String,
    /// Connections that one of its servers takes, from all together; 0 for any number.
    pub connections: f64,
    /// A server stays cold so long after its start.
    pub cold: Micros,
    /// Requests a second that a cold server bears; 0 where it says nothing.
    pub cold_rate: f64,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Goes before the route's.
    pub priority: Option<u32>,
    /// Requests a second over all limiters; 0 for no limit.
    pub rate: f64,
    /// Requests on top.
    pub burst: f64,
    /// Only there it may be served; empty for everywhere.
    pub homes: Vec<String>,
}

/// What clients may send.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request to come whole.
    pub header_time: Micros,
    /// Longest time that a connection stands idle.
    pub idle_time: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { header_bytes: 16_384, body_bytes: 1 << 20, header_time: 3_000_000, idle_time: 15_000_000 }
    }
}

/// A whole configuration, ready for use. A copy shares all that does not change.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Its version.
    pub version: Version,
    /// Routes by host, the longest prefix first.
    hosts: Shards<Vec<Rc<Route>>>,
    /// Services by name.
    pub services: Shards<Rc<Service>>,
    keys: Shards<Rc<Tenant>>,
    /// Tenants by name.
    pub tenants: Shards<Rc<Tenant>>,
    /// What clients may send.
    pub limits: Limits,
}

/// The host, in lower case, and the prefix of a route.
fn place(spec: &Spec) -> Result<(String, String), BadConfig> {
    Ok((spec.text("hostname")?.to_ascii_lowercase(), spec.text("path-prefix")?.to_owned()))
}

/// Long prefixes go before short ones; of equal length there are no two that begin one path.
fn order(a: &str, b: &str) -> Ordering {
    b.len().cmp(&a.len()).then_with(|| a.cmp(b))
}

fn route(item: Entry) -> Result<Route, BadConfig> {
    let spec = Spec::of(item)?;
    let (host, prefix) = place(&spec)?;
    if host.is_empty() {
        return Err(spec.bad("hostname", "is empty"));
    }
    if !prefix.starts_with('/') {
        return Err(spec.bad("path-prefix", "does not begin with a slash"));
    }
    let repeatable = match spec.text("route-type")? {
        "idempotent" => true,
        "non_idempotent" => false,
        _ => return Err(spec.bad("route-type", "is not known")),
    };
    let timeout = spec.time("timeout")?.ok_or_else(|| spec.bad("timeout", "is missing"))?;
    if timeout == 0 {
        return Err(spec.bad("timeout", "is 0"));
    }
    let split = match spec.get("traffic-split") {
        Some(Value::Array(parts)) if !parts.is_empty() => {
            let mut split = Vec::with_capacity(parts.len());
            for part in parts {
                let Value::Object(part) = part else {
                    return Err(spec.bad("traffic-split", "holds no object"));
                };
                let Some(Value::String(service)) = part.get("target-service") else {
                    return Err(spec.bad("traffic-split.target-service", "is missing"));
                };
                let weight = match part.get("weight") {
                    Some(Value::Number(n)) => {
                        crate::document::number(n).ok_or_else(|| spec.bad("weight", "is out of range"))?
                    }
                    _ => return Err(spec.bad("traffic-split.weight", "is missing")),
                };
                split.push((service.clone(), weight));
            }
            if split.iter().all(|(_, weight)| *weight == 0.0) {
                return Err(spec.bad("traffic-split.weight", "is 0 for every service"));
            }
            split
        }
        None | Some(Value::Array(_)) => vec![(spec.text("target-service")?.to_owned(), 1.0)],
        Some(_) => return Err(spec.bad("traffic-split", "is no list")),
    };
    Ok(Route {
        name: item.name.to_owned(),
        host,
        prefix,
        repeatable,
        timeout,
        aim: spec.time("target-latency")?.unwrap_or(timeout),
        priority: spec.number("priority", 0.0)? as u32,
        split,
        attempts: (spec.number("max-attempts", 1.0)? as u32).max(1),
        public: spec.flag("public")?,
        homes: spec.texts("allowed-regions")?,
    })
}

fn service(item: Entry) -> Result<Service, BadConfig> {
    let spec = Spec::of(item)?;
    Ok(Service {
        health: match spec.get("health-path") {
            None => String::new(),
            Some(_) => spec.text("health-path")?.to_owned(),
        },
        connections: spec.number("max-connections", 0.0)?,
        cold: spec.time("cold-start")?.unwrap_or(0),
        cold_rate: spec.number("cold-per-s", 0.0)?,
    })
}

fn tenant(item: Entry) -> Result<(Tenant, Vec<String>), BadConfig> {
    let spec = Spec::of(item)?;
    let priority = match spec.get("priority") {
        None => None,
        Some(_) => Some(spec.number("priority", 0.0)? as u32),
    };
    // The name goes into a header to servers: nothing may end that header early.
    if !item.name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(BadConfig::new(item.name, "is no name that a header can carry"));
    }
    let tenant = Tenant {
        name: item.name.to_owned(),
        priority,
        rate: spec.number("rate-per-s", 0.0)?,
        burst: spec.number("burst-size", 0.0)?,
        homes: spec.texts("allowed-regions")?,
    };
    Ok((tenant, spec.texts("api-keys")?))
}

fn limits(item: Entry) -> Result<Limits, BadConfig> {
    let (spec, usual) = (Spec::of(item)?, Limits::default());
    Ok(Limits {
        header_bytes: spec.number("max-header-bytes", usual.header_bytes as f64)? as usize,
        body_bytes: spec.number("max-body-bytes", usual.body_bytes as f64)? as usize,
        header_time: spec.time("header-timeout")?.unwrap_or(usual.header_time),
        idle_time: spec.time("idle-timeout")?.unwrap_or(usual.idle_time),
    })
}

impl Plan {
    /// Makes a snapshot of items, and checks all that one item alone does not show.
    pub fn of<'a>(version: Version, items: impl Iterator<Item = Entry<'a>>) -> Result<Self, BadConfig> {
        let mut plan = Plan { version, ..Plan::default() };
        for item in items {
            plan.put(item)?;
        }
        for route in plan.hosts.values().flatten() {
            plan.reaches(route)?;
        }
        Ok(plan)
    }

    /// The snapshot after steps from the items that this one was made of, in the order of kinds: all that they leave alone
    /// is shared. It is refused where [`Plan::of`] of the items after them is refused; which of several faults is named may
    /// differ.
    pub fn next(&self, version: Version, steps: &[Step]) -> Result<Self, BadConfig> {
        let mut plan = Plan { version, ..self.clone() };
        // Routes that the steps set, and those among them that still have to be put in.
        let (mut routes, mut new) = (Vec::new(), Vec::new());
        for step in steps {
            let set = match step.new {
                Some(spec) if step.kind == Kind::Route => Some(Rc::new(route(step.after(spec))?)),
                _ => None,
            };
            // Most changed routes keep their place: what they were need not be read.
            let kept = step.old.is_some() && set.as_ref().is_some_and(|route| plan.swap(route));
            if let Some(old) = step.old.filter(|_| !kept) {
                plan.take(step.after(old))?;
            }
            new.extend(set.iter().filter(|_| !kept).cloned());
            routes.extend(set);
        }
        new.into_iter().try_for_each(|route| plan.put_route(route))?;
        for step in steps.iter().filter(|s| s.kind != Kind::Route) {
            if let Some(spec) = step.new {
                plan.put(step.after(spec))?;
            }
        }
        if steps.iter().any(|s| s.kind == Kind::Service && s.new.is_none()) {
            routes.extend(plan.hosts.values().flatten().cloned());
        }
        routes.iter().try_for_each(|route| plan.reaches(route))?;
        Ok(plan)
    }

    /// Puts an item in that is not there.
    fn put(&mut self, item: Entry) -> Result<(), BadConfig> {
        match item.kind {
            Kind::Route => self.put_route(Rc::new(route(item)?))?,
            Kind::Service => drop(self.services.insert(item.name, Rc::new(service(item)?))),
            Kind::Tenant => {
                let (tenant, keys) = tenant(item)?;
                let tenant = Rc::new(tenant);
                for key in keys {
                    let other = self.keys.insert(&key, tenant.clone());
                    if other.is_some_and(|other| other.name != tenant.name) {
                        return Err(BadConfig::new(item.name, "another tenant holds one of its keys"));
                    }
                }
                self.tenants.insert(item.name, tenant);
            }
            Kind::Limits => self.limits = limits(item)?,
        }
        Ok(())
    }

    fn put_route(&mut self, route: Rc<Route>) -> Result<(), BadConfig> {
        match self.hosts.get_mut(&route.host) {
            None => drop(self.hosts.insert(&route.host.clone(), vec![route])),
            Some(routes) => match routes.binary_search_by(|r| order(&r.prefix, &route.prefix)) {
                Ok(_) => return Err(BadConfig::new(&route.name, "another route has this host and prefix")),
                Err(at) => routes.insert(at, route),
            },
        }
        Ok(())
    }

    /// Puts a route in the place of the one of its name, if that one has this very host and prefix.
    fn swap(&mut self, route: &Rc<Route>) -> bool {
        let Some(routes) = self.hosts.get_mut(&route.host) else { return false };
        let at = routes.binary_search_by(|r| order(&r.prefix, &route.prefix));
        let old = at.ok().and_then(|at| routes.get_mut(at)).filter(|r| r.name == route.name);
        old.map(|old| *old = route.clone()).is_some()
    }

    /// Takes an item out, as it was put in.
    fn take(&mut self, item: Entry) -> Result<(), BadConfig> {
        match item.kind {
            Kind::Route => {
                let (host, prefix) = place(&Spec::of(item)?)?;
                let Some(routes) = self.hosts.get_mut(&host) else { return Ok(()) };
                if let Ok(at) = routes.binary_search_by(|r| order(&r.prefix, &prefix)) {
                    routes.remove(at);
                }
                if routes.is_empty() {
                    self.hosts.remove(&host);
                }
            }
            Kind::Service => drop(self.services.remove(item.name)),
            Kind::Tenant => {
                for key in Spec::of(item)?.texts("api-keys")? {
                    self.keys.remove(&key);
                }
                self.tenants.remove(item.name);
            }
            Kind::Limits => self.limits = Limits::default(),
        }
        Ok(())
    }

    /// Checks that the services of a route are known.
    fn reaches(&self, route: &Route) -> Result<(), BadConfig> {
        match route.split.iter().find(|(service, _)| !self.services.contains_key(service)) {
            None => Ok(()),
            Some((service, _)) => Err(BadConfig::new(
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
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// The tenant that owns a key.
    pub fn owner(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.keys.get(key)
    }

    /// Whether requests need keys at all.
    pub fn keyed(&self) -> bool {
        !self.tenants.is_empty()
    }
}
