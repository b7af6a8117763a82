//! An immutable snapshot of a configuration, made for answering requests.

use crate::document::{BadConfig, Item, Kind, Spec};
use crate::{Micros, Version};
use miniserde::json::Value;
use std::collections::{HashMap, HashSet};
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

/// A whole configuration, ready for use.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Its version.
    pub version: Version,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Rc<Service>>,
    keys: HashMap<String, Rc<Tenant>>,
    /// Tenants by name.
    pub tenants: HashMap<String, Rc<Tenant>>,
    /// What clients may send.
    pub limits: Limits,
}

fn route(item: &Item) -> Result<Route, BadConfig> {
    let spec = Spec::of(item)?;
    let host = spec.text("hostname")?.to_ascii_lowercase();
    if host.is_empty() {
        return Err(spec.bad("hostname", "is empty"));
    }
    let prefix = spec.text("path-prefix")?.to_owned();
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
            split
        }
        None | Some(Value::Array(_)) => vec![(spec.text("target-service")?.to_owned(), 1.0)],
        Some(_) => return Err(spec.bad("traffic-split", "is no list")),
    };
    Ok(Route {
        name: item.name.clone(),
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

fn service(item: &Item) -> Result<Service, BadConfig> {
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

fn tenant(item: &Item) -> Result<(Tenant, Vec<String>), BadConfig> {
    let spec = Spec::of(item)?;
    let priority = match spec.get("priority") {
        None => None,
        Some(_) => Some(spec.number("priority", 0.0)? as u32),
    };
    // The name goes into a header to servers: nothing may end that header early.
    if !item.name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(BadConfig::new(&item.name, "is no name that a header can carry"));
    }
    let tenant = Tenant {
        name: item.name.clone(),
        priority,
        rate: spec.number("rate-per-s", 0.0)?,
        burst: spec.number("burst-size", 0.0)?,
        homes: spec.texts("allowed-regions")?,
    };
    Ok((tenant, spec.texts("api-keys")?))
}

fn limits(item: &Item) -> Result<Limits, BadConfig> {
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
    pub fn of<'a>(version: Version, items: impl Iterator<Item = &'a Item>) -> Result<Self, BadConfig> {
        let mut plan = Plan { version, ..Plan::default() };
        let mut places: HashSet<(String, String)> = HashSet::new();
        for item in items {
            match item.kind {
                Kind::Route => {
                    let route = route(item)?;
                    if !places.insert((route.host.clone(), route.prefix.clone())) {
                        return Err(BadConfig::new(&item.name, "another route has this host and prefix"));
                    }
                    plan.hosts.entry(route.host.clone()).or_default().push(Rc::new(route));
                }
                Kind::Service => {
                    plan.services.insert(item.name.clone(), Rc::new(service(item)?));
                }
                Kind::Tenant => {
                    let (tenant, keys) = tenant(item)?;
                    let tenant = Rc::new(tenant);
                    for key in keys {
                        if plan
                            .keys
                            .insert(key, tenant.clone())
                            .is_some_and(|other| other.name != tenant.name)
                        {
                            return Err(BadConfig::new(&item.name, "another tenant holds one of its keys"));
                        }
                    }
                    plan.tenants.insert(item.name.clone(), tenant);
                }
                Kind::Limits => plan.limits = limits(item)?,
            }
        }
        for route in plan.hosts.values().flatten() {
            if let Some((service, _)) = route.split.iter().find(|(s, _)| !plan.services.contains_key(s)) {
                return Err(BadConfig::new(
                    format!("routes {} target-service {service}", route.name),
                    "is no known service",
                ));
            }
        }
        for routes in plan.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Ok(plan)
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
