//! What a client asks for: its route, its tenant, its deadline, and the request as it goes to a server.

use super::failure::Failure;
use super::headers::append_request_headers;
use super::local_response::LocalResponse;
use super::request_record::RequestRecord;
use crate::clock::random;
use crate::gateway::Gateway;
use crate::upstream::UpstreamRequest;
use limeway_http1::http::Head;
use limeway_http1::inbound::Message;
use limeway_routing_config::routing::{Route, Tenant};
use limeway_routing_config::RoutingSnapshot;
use limeway_types::{Micros, MILLISECOND, SECOND};
use std::rc::Rc;

/// Upper bound on the id of a request, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Longest deadline that a client may state, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;
/// The deadline of requests that state none.
const DEFAULT_DEADLINE: Micros = 10 * SECOND;
/// Room for what is added to a request's headers, in bytes.
const ADDED_HEADER_BYTES: usize = 64;
/// Bits of a random number that make a fraction.
const FRACTION_BITS: u32 = 53;

/// What a client asks for.
pub(super) struct RoutedRequest {
    /// Its route.
    pub route: Rc<Route>,
    /// Whose key it carries.
    pub tenant: Option<Rc<Tenant>>,
    /// What goes to a server.
    pub upstream: UpstreamRequest,
    /// How long the client waits, and the route allows.
    pub time_left: Micros,
}

/// Routes a client's request.
///
/// # Errors
/// The response of our own to one that may not be served.
pub(super) fn route(
    gateway: &Gateway,
    message: &Message,
    record: &RequestRecord,
) -> Result<RoutedRequest, LocalResponse> {
    let (head, bytes) = (&message.head, &message.bytes[..]);
    let (method, target) = message.line();
    check_request_line(method, target)?;
    let id = request_id(head, bytes)?;
    record.identified(id);
    let host = host(head, bytes)?;
    let deadline = deadline(head, bytes)?;
    let routing = gateway.routing();
    record.version.set(routing.version);
    if routing.version == 0 {
        return Err(LocalResponse::unavailable(Failure::NoConfig));
    }
    let is_fresh = gateway.is_config_fresh();
    let path = target.split('?').next().unwrap_or(target);
    let route = match routing.route(host, path).cloned() {
        Some(route) => route,
        None if is_fresh => return Err(LocalResponse::new(404, Failure::NoRoute)),
        // What may not be the newest must not end a request for good.
        None => return Err(LocalResponse::unavailable(Failure::StaleConfig)),
    };
    let tenant = authorize(gateway, &routing, &route, head, bytes)?;
    let upstream = UpstreamRequest {
        head: upstream_head(method, target, head, bytes, tenant.as_deref()),
        body: message.body.clone(),
        id: id.to_vec(),
        idempotent: route.idempotent,
    };
    Ok(RoutedRequest { time_left: deadline.min(route.timeout), route, tenant, upstream })
}

fn bad_request() -> LocalResponse {
    LocalResponse::new(400, Failure::Malformed)
}

/// The value of a header that may be there once.
fn single<'a>(head: &Head, bytes: &'a [u8], name: &str) -> Result<Option<&'a [u8]>, LocalResponse> {
    head.only(bytes, name).map_err(|_| bad_request())
}

fn check_request_line(method: &str, target: &str) -> Result<(), LocalResponse> {
    if !target.starts_with('/') || method.is_empty() {
        return Err(bad_request());
    }
    if method.eq_ignore_ascii_case("connect") || method.eq_ignore_ascii_case("head") {
        return Err(LocalResponse::new(501, Failure::Malformed));
    }
    Ok(())
}

fn request_id<'a>(head: &Head, bytes: &'a [u8]) -> Result<&'a [u8], LocalResponse> {
    let id = single(head, bytes, "limeway-request-id")?.unwrap_or(b"");
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.iter().all(u8::is_ascii_graphic) {
        return Err(bad_request());
    }
    Ok(id)
}

/// The host without its port.
fn host<'a>(head: &Head, bytes: &'a [u8]) -> Result<&'a str, LocalResponse> {
    let host = single(head, bytes, "host")?.and_then(|host| std::str::from_utf8(host).ok());
    let host = host.ok_or_else(bad_request)?;
    Ok(host.rsplit_once(':').map_or(host, |(name, _)| name))
}

/// How long a client waits.
///
/// # Errors
/// What it states is malformed.
pub(super) fn deadline(head: &Head, bytes: &[u8]) -> Result<Micros, LocalResponse> {
    let Some(text) = single(head, bytes, "limeway-deadline-ms")? else { return Ok(DEFAULT_DEADLINE) };
    let ms = std::str::from_utf8(text).ok().and_then(|text| text.parse::<u64>().ok());
    let ms = ms.filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms)).ok_or_else(bad_request)?;
    Ok(ms * MILLISECOND)
}

/// The tenant whose key the request carries. A public route lets in requests without a key, but none with a key that is not known.
fn authorize(
    gateway: &Gateway,
    routing: &RoutingSnapshot,
    route: &Route,
    head: &Head,
    bytes: &[u8],
) -> Result<Option<Rc<Tenant>>, LocalResponse> {
    let is_fresh = gateway.is_config_fresh();
    let authorization = single(head, bytes, "authorization")?.and_then(|a| std::str::from_utf8(a).ok());
    let credentials = authorization.and_then(|authorization| authorization.split_once(' '));
    let key = credentials.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    let tenant = key.and_then(|(_, key)| routing.tenant_of_key(key.trim())).cloned();
    let needs_tenant = routing.requires_keys() && (key.is_some() || !route.public);
    if !needs_tenant {
        return Ok(None);
    }
    // Without a fresh configuration no key is good, on machines that are cut off too.
    if !is_fresh {
        return Err(LocalResponse::unavailable(Failure::StaleConfig));
    }
    let Some(tenant) = tenant else { return Err(LocalResponse::new(401, Failure::UnknownKey)) };
    gateway.check_fresh_keys();
    Ok(Some(tenant))
}

/// Request line and headers as they go to a server, without what depends on the attempt.
fn upstream_head(method: &str, target: &str, head: &Head, bytes: &[u8], tenant: Option<&Tenant>) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() + ADDED_HEADER_BYTES);
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    append_request_headers(head, bytes, &mut out);
    if let Some(tenant) = tenant {
        out.extend_from_slice(b"Limeway-Tenant: ");
        out.extend_from_slice(tenant.name.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// One of a route's services, at random by their weights.
pub(super) fn pick_service(route: &Route) -> Rc<str> {
    let total: f64 = route.traffic_split.iter().map(|(_, weight)| weight).sum();
    let fraction = (random() >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64;
    let mut position = fraction * total;
    for (name, weight) in &route.traffic_split {
        if position < *weight {
            return Rc::from(name.as_str());
        }
        position -= weight;
    }
    Rc::from(route.traffic_split.last().map_or("", |(name, _)| name.as_str()))
}
