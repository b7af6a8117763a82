//! A client's request, from its first byte to its one answer.

use crate::clock::{draw, now, Micros};
use crate::edge::Edge;
use crate::front::Front;
use crate::outbound::{Came, Parcel};
use limeway_line::conn::Reply;
use limeway_line::http;
use limeway_line::inbound::{Bounds, Inbound, Message, Stop};
use limeway_numbering::plan::{Route, Tenant};
use limeway_selector::Outcome;
use std::cell::Cell;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Longest body of a request that is held, whatever a configuration allows, in bytes.
const BODY_MOST: usize = 16 * 1024 * 1024;
/// Longest id of a request, in bytes.
const ID_MOST: usize = 128;
/// Longest wait that a client may state, in milliseconds.
const DEADLINE_MOST_MS: u64 = 600_000;
/// A deadline for requests that state none.
const DEADLINE: Micros = 10_000_000;
/// Attempts at servers for one request, at most.
const ATTEMPTS_MOST: u32 = 4;
/// A repeatable request is given up at a server after this many times its usual time, and tried elsewhere.
const PATIENCE: f64 = 4.0;
/// The least of that.
const PATIENCE_LEAST: Micros = 350_000;
/// Part of its aim for which a request waits for a server with room.
const WAIT_PART: u64 = 5;
/// When to come back where nothing can be served now.
const LATER: f64 = 0.25;

/// An answer of our own.
struct Own {
    status: u16,
    /// Seconds until it is worth trying again.
    later: Option<f64>,
    close: bool,
}

impl Own {
    fn new(status: u16) -> Self {
        Own { status, later: None, close: false }
    }

    fn later(status: u16, seconds: f64) -> Self {
        Own { status, later: Some(seconds), close: false }
    }

    fn write(&self, close: bool) -> Vec<u8> {
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

/// Takes connections of clients, for ever.
pub async fn listen(edge: Rc<Edge>, front: Rc<Front>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            edge.pools.prune();
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        if front.full() {
            // Idle ones make room; this one is told to try another limiter by its close.
            front.close.notify_waiters();
            continue;
        }
        let counted = limeway_line::conn::Counted::new(&front.open);
        let (edge, front) = (edge.clone(), front.clone());
        tokio::task::spawn_local(async move {
            let _counted = counted;
            serve(&edge, &front, Inbound::new(stream)).await;
        });
    }
}

async fn serve(edge: &Rc<Edge>, front: &Front, mut inbound: Inbound) {
    loop {
        let limits = edge.plan().limits.clone();
        let bounds = Bounds {
            body: limits.body_bytes.min(BODY_MOST),
            whole: Duration::from_micros(limits.header_time),
            idle: Duration::from_micros(limits.idle_time),
        };
        let told = front.close.notified();
        if front.closing.get() && !inbound.begun() {
            // One that has just come may have its first request on the way.
            if timeout(Duration::from_millis(300), inbound.ready(bounds)).await.is_err() {
                return;
            }
        }
        let first = tokio::select! {
            biased;
            first = inbound.ready(bounds) => first,
            () = told => continue,
        };
        let read = match first {
            Ok(()) => inbound.read(bounds).await,
            Err(stop) => Err(stop),
        };
        let message = match read {
            Ok(message) => message,
            Err(Stop::Closed) => return,
            Err(Stop::Status(status)) => {
                inbound.write(&Own::new(status).write(true)).await;
                return inbound.linger().await;
            }
        };
        front.busy.set(front.busy.get() + 1);
        let (begun, at_server) = (now(), Cell::new(0));
        let answer = {
            let work = handle(edge, &message, &at_server);
            tokio::pin!(work);
            tokio::select! {
                biased;
                answer = &mut work => Some(answer),
                // Nobody waits for the answer any more: the server may drop the request, too.
                () = inbound.gone() => None,
            }
        };
        front.busy.set(front.busy.get() - 1);
        let Some(answer) = answer else { return };
        let close = !message.head.keep_alive || front.closing.get();
        let status = match &answer {
            Ok(_) => 0,
            Err(own) => own.status,
        };
        front.answered(status);
        let (out, close) = match answer {
            Ok(reply) => (pass_on(reply, close), close),
            Err(own) => (own.write(close || own.close), close || own.close),
        };
        if !inbound.write(&out).await {
            return;
        }
        if at_server.get() > 0 {
            front.added((now() - begun).saturating_sub(at_server.get()));
        }
        if close {
            return inbound.linger().await;
        }
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

/// Copies headers but for those named, and for those that `Connection` names.
fn copy(head: &http::Head, bytes: &[u8], leave: &[&[&[u8]]], to: &mut Vec<u8>) {
    let named = head.header(bytes, "connection").unwrap_or(b"");
    for (name, value) in &head.headers {
        let name = &bytes[name.clone()];
        let is = |other: &[u8]| name.eq_ignore_ascii_case(other.trim_ascii());
        if leave.iter().any(|l| l.iter().any(|n| is(n))) || named.split(|b| *b == b',').any(is) {
            continue;
        }
        to.extend_from_slice(name);
        to.extend_from_slice(b": ");
        to.extend_from_slice(&bytes[value.clone()]);
        to.extend_from_slice(b"\r\n");
    }
}

/// A server's answer as it goes to the client.
fn pass_on(reply: Reply, close: bool) -> Vec<u8> {
    let mut headers = Vec::with_capacity(reply.bytes.len());
    copy(&reply.head, &reply.bytes, &[&HOP], &mut headers);
    let mut out = Vec::with_capacity(headers.len() + reply.body.len() + 128);
    http::write_answer(&mut out, reply.head.status, &headers, close, &reply.body);
    out
}

/// What a client asks for.
struct Wanted {
    route: Rc<Route>,
    tenant: Option<Rc<Tenant>>,
    parcel: Parcel,
    /// The client's own patience.
    left: Micros,
}

fn wanted(edge: &Edge, message: &Message) -> Result<Wanted, Own> {
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
    let owner = key.and_then(|(_, key)| plan.owner(key.trim())).cloned();
    let keyed = plan.keyed() && !route.public;
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
        Parcel { head: to, body: message.body.clone(), id: id.to_vec(), repeatable: route.repeatable };
    Ok(Wanted { left: left.min(route.timeout), route, tenant: owner, parcel })
}

/// One of a route's services, by their weights.
fn service(route: &Route) -> Rc<str> {
    let sum: f64 = route.split.iter().map(|(_, w)| w).sum();
    let mut at = (draw() >> 11) as f64 / (1u64 << 53) as f64 * sum;
    for (name, weight) in &route.split {
        if at < *weight {
            return Rc::from(name.as_str());
        }
        at -= weight;
    }
    Rc::from(route.split.last().map_or("", |(name, _)| name.as_str()))
}

/// Whether the homes of a route and of a tenant have no region in common; one that names none allows all.
fn nowhere(homes: [&[String]; 2]) -> bool {
    let [route, tenant] = homes;
    !route.is_empty() && !tenant.is_empty() && !route.iter().any(|r| tenant.contains(r))
}

/// Serves a request: a server's answer, or one of our own.
async fn handle(edge: &Rc<Edge>, message: &Message, at_server: &Cell<Micros>) -> Result<Reply, Own> {
    let start = now();
    let wanted = wanted(edge, message)?;
    let Wanted { route, tenant, parcel, left } = wanted;
    let end = start + left;
    let service = service(&route);
    let homes: [&[String]; 2] = [&route.homes, tenant.as_ref().map_or(&[], |t| &t.homes)];
    if nowhere(homes) {
        // Both bind, and have no region in common: no try at any time can be served, and no unit is spent on it.
        return Err(Own::new(503));
    }
    edge.tries.borrow_mut().first(start, &service);
    if let Some(tenant) = &tenant {
        if let Err(wait) = edge.unit(&tenant.name, tenant.rate, tenant.burst).await {
            return Err(Own::later(429, wait as f64 / 1e6));
        }
    }
    let mut tried: Vec<Rc<str>> = Vec::new();
    // What has been learnt so far, should nothing better come: whether it may have run, and an answer of a server.
    let mut may_have_run = false;
    let mut best: Option<Reply> = None;
    for attempt in 0..route.attempts.min(ATTEMPTS_MOST) {
        let t = now();
        if t >= end {
            break;
        }
        let wait_until = if attempt == 0 { start + route.aim / WAIT_PART } else { t };
        let Some((id, cold)) = choose(edge, &service, homes, &tried, wait_until.min(end)).await else {
            break;
        };
        if attempt > 0 {
            let slack = edge.part(edge.settings.bounds.retry_slack);
            if !edge.tries.borrow_mut().again(now(), &service, slack) {
                break;
            }
        }
        let Some(place) = edge.address(&service, &id) else { continue };
        tried.push(id.clone());
        let t = now();
        let rest = end.saturating_sub(t);
        if rest == 0 {
            break;
        }
        edge.selector.borrow_mut().sent(t, &id, cold);
        let guard = Ending { edge, id: &id, done: Cell::new(false) };
        let usual = edge.selector.borrow().usual(&id).unwrap_or(rest / 3);
        let patience = if parcel.repeatable && attempt + 1 < route.attempts {
            ((PATIENCE * usual as f64) as Micros).max(PATIENCE_LEAST).min(rest)
        } else {
            rest
        };
        let sent = Cell::new(false);
        let exchange = edge.pools.exchange(&id, place, &parcel, rest, &sent);
        let came = timeout(Duration::from_micros(patience), exchange).await;
        let took = now() - t;
        match came {
            Ok(Came::Answer(reply)) => {
                let not_run = reply.head.header(&reply.bytes, "limeway-not-executed").is_some();
                let status = reply.head.status;
                if status == 421 || not_run {
                    guard.end(if status == 421 { Outcome::Moved } else { Outcome::Full });
                    continue;
                }
                let whole = (200..300).contains(&status)
                    && reply.head.header(&reply.bytes, "limeway-server-stamp").is_some()
                    && reply.head.header(&reply.bytes, "content-encoding").is_none();
                if whole {
                    // Where it took more than one try, the time is not ours alone.
                    at_server.set(if attempt == 0 { took } else { 0 });
                    guard.end(Outcome::Answered(took));
                    return Ok(reply);
                }
                may_have_run = true;
                if (200..300).contains(&status) {
                    guard.end(Outcome::Broke);
                } else {
                    guard.end(Outcome::Answered(took));
                    best = Some(reply);
                }
            }
            Ok(Came::NotSent) => {
                guard.end(Outcome::Broke);
                continue;
            }
            Ok(Came::Broke) => {
                guard.end(Outcome::Broke);
                may_have_run = true;
            }
            Err(_) => {
                guard.end(Outcome::Silent(took));
                may_have_run |= sent.get();
            }
        }
        if !parcel.repeatable && may_have_run {
            break;
        }
    }
    if let Some(reply) = best {
        return Ok(reply);
    }
    if may_have_run {
        return Err(Own::new(if now() >= end { 504 } else { 502 }));
    }
    Err(Own::later(503, LATER))
}

/// Chooses a server, and waits a little for one with room.
async fn choose(
    edge: &Rc<Edge>,
    service: &str,
    homes: [&[String]; 2],
    tried: &[Rc<str>],
    until: Micros,
) -> Option<(Rc<str>, bool)> {
    loop {
        let candidates = edge.candidates(service, homes);
        let chosen = edge.selector.borrow_mut().choose(now(), &candidates, tried);
        if let Some(id) = chosen {
            let cold = candidates.iter().any(|c| c.id == id && c.cold.is_some());
            return Some((id, cold));
        }
        if now() >= until {
            return None;
        }
        sleep(Duration::from_millis(15)).await;
    }
}

/// Tells the selector how an attempt ended, also where the client went away in the middle of it.
struct Ending<'a> {
    edge: &'a Edge,
    id: &'a Rc<str>,
    done: Cell<bool>,
}

impl Ending<'_> {
    fn end(&self, outcome: Outcome) {
        self.done.set(true);
        self.edge.selector.borrow_mut().ended(now(), self.id, outcome);
    }
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        if !self.done.get() {
            self.edge.selector.borrow_mut().ended(now(), self.id, Outcome::Dropped);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::nowhere;
    use rstest::rstest;

    /// A request that no region may serve is refused at once, with no advice to come back (vrcp-clear fresh-775c).
    #[rstest]
    #[case(&[], &[], false)]
    #[case(&["a", "b"], &[], false)]
    #[case(&[], &["c"], false)]
    #[case(&["a", "b"], &["b", "c"], false)]
    #[case(&["a", "b"], &["c"], true)]
    fn homes_without_a_region_in_common_lead_nowhere(
        #[case] route: &[&str],
        #[case] tenant: &[&str],
        #[case] so: bool,
    ) {
        let owned = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
        assert_eq!(nowhere([&owned(route), &owned(tenant)]), so);
    }
}
