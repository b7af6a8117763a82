//! What a client asks for, as it goes to a server, and the answers: a server's, and those of our own.

use crate::clock::{draw, Micros};
use crate::edge::Edge;
use crate::outbound::Parcel;
use limeway_http1::conn::Reply;
use limeway_http1::http;
use limeway_http1::inbound::Message;
use limeway_routing_config::routing::{Route, Tenant};
use std::io::Write;
use std::rc::Rc;

/// Longest id of a request, in bytes.
const ID_MOST: usize = 128;
/// Longest wait that a client may state, in milliseconds.
const DEADLINE_MOST_MS: u64 = 600_000;
/// A deadline for requests that state none.
const DEADLINE: Micros = 10_000_000;
/// When to come back where nothing can be served now, in seconds.
pub const LATER: f64 = 0.25;

/// An answer of our own.
pub struct Own {
    /// Its status.
    pub status: u16,
    /// Seconds until it is worth trying again.
    pub later: Option<f64>,
}

impl Own {
    /// With no advice to come back.
    pub fn new(status: u16) -> Self {
        Own { status, later: None }
    }

    /// With the advice to come back after so many seconds.
    pub fn later(status: u16, seconds: f64) -> Self {
        Own { status, later: Some(seconds) }
    }

    /// As bytes; `close` ends the connection.
    pub fn write(&self, close: bool) -> Vec<u8> {
        let mut headers = Vec::new();
        if let Some(seconds) = self.later {
            // Writing to memory does not fail.
            let _ = write!(headers, "Retry-After: {seconds:.3}\r\n");
        }
        let mut out = Vec::new();
        http::write_answer(&mut out, self.status, &headers, close, b"");
        out
    }
}

/// Headers that concern one connection only, or that we write ourselves.
const HOP: [&[u8]; 10] = [
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
];

/// Headers of clients that do not go to servers beside those: the key, what we set ourselves, and what has been answered.
const OURS: [&[u8]; 5] =
    [b"authorization", b"limeway-deadline-ms", b"limeway-expect-instance", b"limeway-tenant", b"expect"];

/// Headers that go on even where `Connection` names them: without them neither side knows what it is about.
const KEPT: [&[u8]; 3] = [b"host", b"limeway-request-id", b"limeway-server-stamp"];

/// Copies headers but for those named, and for those that `Connection` names.
fn copy(head: &http::Head, bytes: &[u8], leave: &[&[&[u8]]], to: &mut Vec<u8>) {
    let named = head.header(bytes, "connection").unwrap_or(b"");
    for (name, value) in &head.headers {
        let name = &bytes[name.clone()];
        let is = |other: &[u8]| name.eq_ignore_ascii_case(other.trim_ascii());
        let hop = !KEPT.iter().any(|n| is(n)) && named.split(|b| *b == b',').any(is);
        if hop || leave.iter().any(|l| l.iter().any(|n| is(n))) {
            continue;
        }
        to.extend_from_slice(name);
        to.extend_from_slice(b": ");
        to.extend_from_slice(&bytes[value.clone()]);
        to.extend_from_slice(b"\r\n");
    }
}

/// A server's answer as it goes to the client.
pub fn pass_on(reply: Reply, close: bool) -> Vec<u8> {
    let mut headers = Vec::with_capacity(reply.bytes.len());
    copy(&reply.head, &reply.bytes, &[&HOP], &mut headers);
    let mut out = Vec::with_capacity(headers.len() + reply.body.len() + 128);
    http::write_answer(&mut out, reply.head.status, &headers, close, &reply.body);
    out
}

/// What a client asks for.
pub struct Wanted {
    /// Its route.
    pub route: Rc<Route>,
    /// Whose key it carries.
    pub tenant: Option<Rc<Tenant>>,
    /// What goes to a server.
    pub parcel: Parcel,
    /// How long the client waits, and the route allows, in microseconds.
    pub left: Micros,
}

/// Reads what a client asks for; an answer of our own where it may not be served.
pub fn wanted(edge: &Edge, message: &Message) -> Result<Wanted, Own> {
    let bad = |_| Own::new(400);
    let (head, bytes) = (&message.head, &message.bytes);
    let (method, target) = message.line();
    if !target.starts_with('/') || method.is_empty() {
        return Err(Own::new(400));
    }
    if method.eq_ignore_ascii_case("connect") || method.eq_ignore_ascii_case("head") {
        return Err(Own::new(501));
    }
    let id = head.only(bytes, "limeway-request-id").map_err(bad)?.unwrap_or(b"");
    if id.is_empty() || id.len() > ID_MOST || !id.iter().all(u8::is_ascii_graphic) {
        return Err(Own::new(400));
    }
    let host = head.only(bytes, "host").map_err(bad)?.and_then(|h| std::str::from_utf8(h).ok());
    let host = host.ok_or_else(|| Own::new(400))?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let left = match head.only(bytes, "limeway-deadline-ms").map_err(bad)? {
        None => DEADLINE,
        Some(text) => {
            let ms = std::str::from_utf8(text).ok().and_then(|t| t.parse::<u64>().ok());
            ms.filter(|ms| (1..=DEADLINE_MOST_MS).contains(ms)).ok_or_else(|| Own::new(400))? * 1_000
        }
    };
    let plan = edge.plan();
    if plan.version == 0 {
        return Err(Own::later(503, LATER));
    }
    let path = target.split('?').next().unwrap_or(target);
    let sure = edge.sure();
    let route = plan.route(host, path).cloned();
    // What is not sure to be the newest must not end a request for good.
    let route = match route {
        Some(route) => route,
        None if sure => return Err(Own::new(404)),
        None => return Err(Own::later(503, LATER)),
    };
    let key = head.only(bytes, "authorization").map_err(bad)?.and_then(|a| std::str::from_utf8(a).ok());
    let key = key.and_then(|a| a.split_once(' ')).filter(|(s, _)| s.eq_ignore_ascii_case("bearer"));
    let owner = key.and_then(|(_, key)| plan.tenant_of_key(key.trim())).cloned();
    let keyed = plan.requires_keys() && !route.public;
    // Without a sure configuration no key is good, on machines that are cut off too.
    if (keyed || owner.is_some()) && !sure {
        return Err(Own::later(503, LATER));
    }
    if keyed && owner.is_none() {
        return Err(Own::new(401));
    }
    let mut to = Vec::with_capacity(bytes.len() + 64);
    to.extend_from_slice(method.as_bytes());
    to.push(b' ');
    to.extend_from_slice(target.as_bytes());
    to.extend_from_slice(b" HTTP/1.1\r\n");
    copy(head, bytes, &[&HOP, &OURS], &mut to);
    if let Some(tenant) = &owner {
        to.extend_from_slice(b"Limeway-Tenant: ");
        to.extend_from_slice(tenant.name.as_bytes());
        to.extend_from_slice(b"\r\n");
    }
    let parcel =
        Parcel { head: to, body: message.body.clone(), id: id.to_vec(), repeatable: route.idempotent };
    Ok(Wanted { left: left.min(route.timeout), route, tenant: owner, parcel })
}

/// One of a route's services, by their weights.
pub fn service(route: &Route) -> Rc<str> {
    let sum: f64 = route.traffic_split.iter().map(|(_, w)| w).sum();
    let mut at = (draw() >> 11) as f64 / (1u64 << 53) as f64 * sum;
    for (name, weight) in &route.traffic_split {
        if at < *weight {
            return Rc::from(name.as_str());
        }
        at -= weight;
    }
    Rc::from(route.traffic_split.last().map_or("", |(name, _)| name.as_str()))
}
