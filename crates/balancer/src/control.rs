//! What servers, operators and clients without an address ask: one table of calls, and the machine that answers them.

use crate::clock::now;
use crate::core::Core;
use crate::directory::{self, query};
use limeway_control_plane::{ApiRequest, ApiResponse, Event};
use limeway_http1::http;
use limeway_http1::inbound::{Bounds, Inbound, Stop};
use limeway_routing_config::ConfigUpdate;
use limeway_service_registry::{Phase, ServerReport};
use miniserde::json::{self, Number, Value};
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Connections of callers, at most.
const CALLERS_MOST: usize = 1_500;
/// Longest name in a call, in bytes.
const NAME_MOST: usize = 256;
/// Longest report of a server, in bytes.
const REPORT_MOST: usize = 16 * 1024;
/// Longest time that a server may say that it stays cold.
const COLD_MOST: u64 = 120_000_000;

/// A caller waits a second for an answer: one that closes sooner has taken it.
const PATIENT: u64 = 850_000;
/// See [`PATIENT`].
const TAKEN: Duration = Duration::from_micros(PATIENT);

/// A call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Name {
    Beat,
    Leave,
    Replace,
    Update,
    Read,
    EvacuationStart,
    EvacuationFinish,
    Resolve,
}

/// A row of the table: how a call is made, and what it may hold.
struct Row {
    name: Name,
    method: &'static str,
    path: &'static str,
    call: &'static str,
    body_most: usize,
}

const fn rpc(name: Name, call: &'static str, body_most: usize) -> Row {
    Row { name, method: "POST", path: "/-/rpc", call, body_most }
}

/// All calls of servers, operators and clients.
const CALLS: [Row; 8] = [
    rpc(Name::Beat, "instances.heartbeat", REPORT_MOST),
    rpc(Name::Leave, "instances.deregister", REPORT_MOST),
    rpc(Name::Replace, "config.replace", limeway_routing_config::config_update::MAX_UPDATE_BYTES),
    rpc(Name::Update, "config.update", limeway_routing_config::config_update::MAX_UPDATE_BYTES),
    rpc(Name::Read, "config.read", REPORT_MOST),
    rpc(Name::EvacuationStart, "evacuations.start", REPORT_MOST),
    rpc(Name::EvacuationFinish, "evacuations.finish", REPORT_MOST),
    Row { name: Name::Resolve, method: "GET", path: "/-/resolve", call: "", body_most: 0 },
];

/// An answer: its status, and its body in JSON.
type Answer = (u16, String);

fn error(status: u16, text: impl std::fmt::Display) -> Answer {
    (status, format!("{{\"error-message\":{}}}", json::to_string(&text.to_string())))
}

/// Takes calls for ever.
pub async fn listen(core: Rc<Core>, listener: TcpListener) {
    let count = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if count.get() >= CALLERS_MOST {
            continue;
        }
        let counted = limeway_http1::conn::Counted::new(&count);
        let core = core.clone();
        tokio::task::spawn_local(async move {
            let _counted = counted;
            serve(core, Inbound::new(stream)).await;
        });
    }
}

async fn serve(core: Rc<Core>, mut inbound: Inbound) {
    let bounds = Bounds {
        body: limeway_routing_config::config_update::MAX_UPDATE_BYTES,
        whole: Duration::from_secs(15),
        idle: Duration::from_secs(30),
    };
    loop {
        let mut out = Vec::new();
        let message = match inbound.read(bounds).await {
            Ok(message) => message,
            Err(Stop::Closed) => return,
            Err(Stop::Status(status)) => {
                http::write_answer(&mut out, status, b"", true, b"");
                inbound.write(&out).await;
                return inbound.linger().await;
            }
        };
        let (method, target) = message.line();
        let (path, rest) = target.split_once('?').unwrap_or((target, ""));
        let call = query(rest, "call").unwrap_or("");
        let row = CALLS
            .iter()
            .find(|r| r.path == path && r.method == method && (r.call.is_empty() || r.call == call));
        let (begun, mark) = (now(), Cell::new(0));
        let (status, body) = match row {
            None => error(404, "no such call"),
            Some(row) if message.body.len() > row.body_most => error(413, "body is too long"),
            Some(row) => answer(&core, row.name, rest, &message.body, &mark).await,
        };
        let close = !message.head.keep_alive;
        http::write_answer(&mut out, status, b"Content-Type: application/json\r\n", close, body.as_bytes());
        if !inbound.write(&out).await {
            return;
        }
        // Who closes later than it waits for an answer may have given up.
        if mark.get() != 0 && now() < begun + PATIENT {
            let taken = tokio::time::timeout(TAKEN, inbound.taken()).await;
            if taken == Ok(true) && now() < begun + PATIENT {
                core.tell(Event::ResponseDelivered(mark.get()));
            }
        }
        if close {
            return;
        }
    }
}

async fn answer(core: &Rc<Core>, name: Name, rest: &str, body: &[u8], mark: &Cell<u64>) -> Answer {
    let of = query(rest, "of").unwrap_or("");
    if of.len() > NAME_MOST {
        return error(400, "of: is too long");
    }
    match name {
        Name::Beat => match report(of, body) {
            Ok(report) => told(core.ask(ApiRequest::Heartbeat(report)).await),
            Err(e) => error(400, e),
        },
        Name::Leave => told(core.ask(ApiRequest::Deregister(of.to_owned())).await),
        Name::Replace | Name::Update => match ConfigUpdate::parse(body, name == Name::Replace) {
            Ok(order) => told(core.ask(ApiRequest::UpdateConfig(order)).await),
            Err(e) => error(400, e),
        },
        Name::Read => told(core.ask(ApiRequest::ReadConfig).await),
        Name::EvacuationStart | Name::EvacuationFinish => {
            evacuate(core, of, name == Name::EvacuationStart, mark).await
        }
        Name::Resolve => resolve(core, rest),
    }
}

fn told(told: ApiResponse) -> Answer {
    match told {
        ApiResponse::Done | ApiResponse::EvacuationDone(_) => (200, "{}".into()),
        ApiResponse::Document(document) => (200, document),
        ApiResponse::VersionConflict => error(412, "another version is in place"),
        ApiResponse::Invalid(e) => error(400, format!("invalid: {e}")),
        ApiResponse::Indeterminate => error(503, "no majority of the core can be had"),
    }
}

async fn evacuate(core: &Rc<Core>, zone: &str, begun: bool, mark: &Cell<u64>) -> Answer {
    if !core.settings.zones.contains_key(zone) {
        return error(404, "no such zone");
    }
    let answer = core.ask(ApiRequest::Evacuate { zone: zone.to_owned(), starts: begun }).await;
    if let ApiResponse::EvacuationDone(its) = answer {
        mark.set(its);
    }
    told(answer)
}

fn report(id: &str, body: &[u8]) -> Result<ServerReport, &'static str> {
    let text = std::str::from_utf8(body).map_err(|_| "body: is not UTF-8")?;
    let Ok(Value::Object(fields)) = json::from_str::<Value>(text) else {
        return Err("body: is no JSON object");
    };
    let text = |field: &str| match fields.get(field) {
        Some(Value::String(text)) if text.len() <= NAME_MOST => Some(text.as_str()),
        _ => None,
    };
    let number = |field: &str| match fields.get(field) {
        Some(Value::Number(Number::U64(n))) => Some(*n),
        _ => None,
    };
    if id.is_empty() {
        return Err("of: is missing");
    }
    let cold_left = match fields.get("cold-left") {
        None => 0,
        Some(_) => {
            text("cold-left").and_then(limeway_settings::time).ok_or("cold-left: is no time with a unit")?
        }
    };
    Ok(ServerReport {
        id: id.to_owned(),
        service: text("target-service").ok_or("target-service: is missing")?.to_owned(),
        address: text("address")
            .and_then(|a| a.parse::<SocketAddrV4>().ok())
            .ok_or("address: is no IPv4 and port")?,
        zone: text("zone").ok_or("zone: is missing")?.to_owned(),
        capacity_slots: number("capacity-slots").unwrap_or(1).clamp(1, 100_000) as u32,
        phase: match text("state") {
            Some("ready") => Phase::Ready,
            Some("draining") => Phase::Draining,
            _ => return Err("state: is neither ready nor draining"),
        },
        slow_start_left: cold_left.min(COLD_MOST),
        sequence: number("call-count").ok_or("call-count: is missing")?,
        age: 0,
        unresponsive: false,
    })
}

fn resolve(core: &Rc<Core>, rest: &str) -> Answer {
    let fronts = core.marker().live_frontends(now()).unwrap_or_default();
    let ready = fronts.iter().map(|f| (f.zone.as_str(), f.address));
    match directory::resolve(&core.settings, ready, rest) {
        Some(body) => (200, body),
        None => error(503, "no limiter is known"),
    }
}
