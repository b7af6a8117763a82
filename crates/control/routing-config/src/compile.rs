//! Items, parsed from their specifications.

use crate::compiled::{Limits, Route, Service, Tenant};
use crate::specification::{finite_number, Specification};
use crate::{InvalidConfig, ItemRef};
use miniserde::json::{Array, Object, Value};

/// The host, in lower case, and the path prefix of a route.
pub(crate) fn route_match(item: ItemRef) -> Result<(String, String), InvalidConfig> {
    parse_match(&Specification::parse(item)?)
}

fn parse_match(spec: &Specification) -> Result<(String, String), InvalidConfig> {
    Ok((spec.string("hostname")?.to_ascii_lowercase(), spec.string("path-prefix")?.to_owned()))
}

/// Parses a route.
pub(crate) fn route(item: ItemRef) -> Result<Route, InvalidConfig> {
    let spec = Specification::parse(item)?;
    let (host, path_prefix) = parse_match(&spec)?;
    if host.is_empty() {
        return Err(spec.invalid("hostname", "is empty"));
    }
    if !path_prefix.starts_with('/') {
        return Err(spec.invalid("path-prefix", "does not begin with a slash"));
    }
    let idempotent = match spec.string("route-type")? {
        "idempotent" => true,
        "non_idempotent" => false,
        _ => return Err(spec.invalid("route-type", "is not known")),
    };
    let timeout = spec.duration("timeout")?.ok_or_else(|| spec.invalid("timeout", "is missing"))?;
    if timeout == 0 {
        return Err(spec.invalid("timeout", "is 0"));
    }
    Ok(Route {
        name: item.name.to_owned(),
        host,
        path_prefix,
        idempotent,
        timeout,
        traffic_split: traffic_split(&spec)?,
        target_latency: spec.duration("target-latency")?.unwrap_or(timeout),
        priority: spec.number("priority", 0.0)? as u32,
        max_attempts: (spec.number("max-attempts", 1.0)? as u32).max(1),
        public: spec.boolean("public")?,
        allowed_regions: spec.strings("allowed-regions")?,
    })
}

/// The services of a route with their weights: `traffic-split`, or else `target-service`.
fn traffic_split(spec: &Specification) -> Result<Vec<(String, f64)>, InvalidConfig> {
    match spec.get("traffic-split") {
        Some(Value::Array(targets)) if !targets.is_empty() => weighted_services(spec, targets),
        None | Some(Value::Array(_)) => Ok(vec![(spec.string("target-service")?.to_owned(), 1.0)]),
        Some(_) => Err(spec.invalid("traffic-split", "is no list")),
    }
}

fn weighted_services(spec: &Specification, targets: &Array) -> Result<Vec<(String, f64)>, InvalidConfig> {
    let mut split = Vec::with_capacity(targets.len());
    for target in targets {
        let Value::Object(target) = target else {
            return Err(spec.invalid("traffic-split", "holds no object"));
        };
        split.push(weighted_service(spec, target)?);
    }
    if split.iter().all(|(_, weight)| *weight == 0.0) {
        return Err(spec.invalid("traffic-split.weight", "is 0 for every service"));
    }
    Ok(split)
}

fn weighted_service(spec: &Specification, target: &Object) -> Result<(String, f64), InvalidConfig> {
    let Some(Value::String(service)) = target.get("target-service") else {
        return Err(spec.invalid("traffic-split.target-service", "is missing"));
    };
    let weight = match target.get("weight") {
        Some(Value::Number(n)) => {
            finite_number(n).ok_or_else(|| spec.invalid("weight", "is out of range"))?
        }
        _ => return Err(spec.invalid("traffic-split.weight", "is missing")),
    };
    Ok((service.clone(), weight))
}

/// Parses a service.
pub(crate) fn service(item: ItemRef) -> Result<Service, InvalidConfig> {
    let spec = Specification::parse(item)?;
    Ok(Service {
        health_path: match spec.get("health-path") {
            None => String::new(),
            Some(_) => spec.string("health-path")?.to_owned(),
        },
        max_connections: spec.number("max-connections", 0.0)?,
        slow_start: spec.duration("cold-start")?.unwrap_or(0),
        slow_start_rate: spec.number("cold-per-s", 0.0)?,
    })
}

/// Parses a tenant, with its API keys.
pub(crate) fn tenant(item: ItemRef) -> Result<(Tenant, Vec<String>), InvalidConfig> {
    let spec = Specification::parse(item)?;
    let priority = match spec.get("priority") {
        None => None,
        Some(_) => Some(spec.number("priority", 0.0)? as u32),
    };
    // The name goes into a header to servers: nothing may end that header early.
    if !item.name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(InvalidConfig::new(item.name, "is no name that a header can carry"));
    }
    let tenant = Tenant {
        name: item.name.to_owned(),
        priority,
        rate_per_second: spec.number("rate-per-s", 0.0)?,
        burst_size: spec.number("burst-size", 0.0)?,
        allowed_regions: spec.strings("allowed-regions")?,
    };
    Ok((tenant, spec.strings("api-keys")?))
}

/// The API keys of a tenant.
pub(crate) fn tenant_keys(item: ItemRef) -> Result<Vec<String>, InvalidConfig> {
    Specification::parse(item)?.strings("api-keys")
}

/// Parses what clients may send.
pub(crate) fn limits(item: ItemRef) -> Result<Limits, InvalidConfig> {
    let (spec, default) = (Specification::parse(item)?, Limits::default());
    Ok(Limits {
        max_header_bytes: spec.number("max-header-bytes", default.max_header_bytes as f64)? as usize,
        max_body_bytes: spec.number("max-body-bytes", default.max_body_bytes as f64)? as usize,
        header_timeout: spec.duration("header-timeout")?.unwrap_or(default.header_timeout),
        idle_timeout: spec.duration("idle-timeout")?.unwrap_or(default.idle_timeout),
    })
}
