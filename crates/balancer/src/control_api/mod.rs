//! The control API: calls of servers, operators and clients to a control-plane replica, over HTTP.

mod calls;
mod server_report;

use crate::accept::{accept_connections, AcceptLimits};
use crate::clock::now;
use crate::directory::{self, query};
use crate::replica::Replica;
use calls::{ApiCall, MAX_BODY_BYTES};
use limeway_control_plane::{ApiRequest, ApiResponse, Event};
use limeway_http1::http;
use limeway_http1::inbound::{Bounds, Inbound, Message, Stop, ERROR_LINGER};
use limeway_routing_config::ConfigUpdate;
use limeway_types::{Micros, Timestamp};
use miniserde::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Bounds on the connections of callers.
const ACCEPT_LIMITS: AcceptLimits =
    AcceptLimits { max_connections: 1_500, retry_delay: Duration::from_millis(20) };
/// Upper bound on a name in a call, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// How long a call may take to arrive.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A caller waits a second for a response: one that closes its connection sooner than this has taken it.
const CALLER_PATIENCE: Micros = 850_000;

/// A response: its status, and its body in JSON.
struct HttpResponse {
    status: u16,
    body: String,
}

impl HttpResponse {
    fn ok(body: impl Into<String>) -> Self {
        HttpResponse { status: 200, body: body.into() }
    }

    fn error(status: u16, message: impl std::fmt::Display) -> Self {
        let message = json::to_string(&message.to_string());
        HttpResponse { status, body: format!("{{\"error-message\":{message}}}") }
    }
}

impl From<ApiResponse> for HttpResponse {
    fn from(response: ApiResponse) -> Self {
        match response {
            ApiResponse::Done | ApiResponse::EvacuationDone(_) => HttpResponse::ok("{}"),
            ApiResponse::Document(document) => HttpResponse::ok(document),
            ApiResponse::VersionConflict => HttpResponse::error(412, "another version is in place"),
            ApiResponse::Invalid(e) => HttpResponse::error(400, format!("invalid: {e}")),
            ApiResponse::Indeterminate => HttpResponse::error(503, "no majority of the core can be had"),
        }
    }
}

/// Takes calls for ever.
pub async fn listen(replica: Rc<Replica>, listener: TcpListener) {
    accept_connections(listener, ACCEPT_LIMITS, |stream, _| serve(replica.clone(), Inbound::new(stream)))
        .await;
}

async fn serve(replica: Rc<Replica>, mut inbound: Inbound) {
    let bounds = Bounds { body: MAX_BODY_BYTES, read_timeout: CALL_TIMEOUT, idle: IDLE_TIMEOUT };
    loop {
        let mut out = Vec::new();
        let message = match inbound.read(bounds).await {
            Ok(message) => message,
            Err(Stop::Closed) => return,
            Err(Stop::Status(status)) => {
                http::write_answer(&mut out, status, b"", true, b"");
                inbound.write(&out).await;
                return inbound.linger(ERROR_LINGER).await;
            }
        };
        let received = now();
        let unanswered = replica.count_unanswered();
        let (mut response, mut evacuation) = answer(&replica, &message).await;
        if let Some(call_id) = evacuation.take_if(|_| now() >= received + CALLER_PATIENCE) {
            // It would count as lost: its caller must not take it for an acknowledgement.
            replica.handle(Event::ResponseLost(call_id));
            response = HttpResponse::error(503, "agreed too late for its caller");
        }
        let close = !message.head.keep_alive;
        let headers = b"Content-Type: application/json\r\n";
        http::write_answer(&mut out, response.status, headers, close, response.body.as_bytes());
        let is_written = inbound.write(&out).await;
        if close {
            // A caller may read until the end before it closes in its turn.
            inbound.finish_writing().await;
        }
        drop(unanswered);
        if let Some(call_id) = evacuation {
            let is_delivered = is_written && is_taken_in_time(&inbound, received).await;
            replica.handle(if is_delivered {
                Event::ResponseDelivered(call_id)
            } else {
                Event::ResponseLost(call_id)
            });
        }
        if close || !is_written {
            return;
        }
    }
}

/// Whether the response to a call reaches its caller: one that closes its connection later than it waits for a response may have given
/// up and retry.
async fn is_taken_in_time(inbound: &Inbound, received: Timestamp) -> bool {
    let in_time = || now() < received + CALLER_PATIENCE;
    if !in_time() {
        return false;
    }
    let taken = tokio::time::timeout(Duration::from_micros(CALLER_PATIENCE), inbound.taken()).await;
    taken == Ok(true) && in_time()
}

/// Answers a call. With the response comes the id of an evacuation call that is done.
async fn answer(replica: &Rc<Replica>, message: &Message) -> (HttpResponse, Option<u64>) {
    let (method, target) = message.line();
    let (path, parameters) = target.split_once('?').unwrap_or((target, ""));
    let Some(entry) = calls::find(method, path, query(parameters, "call").unwrap_or("")) else {
        return (HttpResponse::error(404, "no such call"), None);
    };
    if message.body.len() > entry.max_body_bytes {
        return (HttpResponse::error(413, "body is too long"), None);
    }
    let request = match api_request(replica, entry.call, parameters, &message.body) {
        Ok(request) => request,
        Err(response) => return (response, None),
    };
    let response = replica.answer_api(request).await;
    let evacuation = match response {
        ApiResponse::EvacuationDone(call_id) => Some(call_id),
        _ => None,
    };
    (response.into(), evacuation)
}

/// The request that a call makes of the replica.
///
/// # Errors
/// The response to a call that makes none: it is malformed, or a read that needs none.
fn api_request(
    replica: &Replica,
    call: ApiCall,
    parameters: &str,
    body: &[u8],
) -> Result<ApiRequest, HttpResponse> {
    let of = query(parameters, "of").unwrap_or("");
    if of.len() > MAX_NAME_BYTES {
        return Err(HttpResponse::error(400, "of: is too long"));
    }
    let update = |replace| ConfigUpdate::parse(body, replace).map_err(|e| HttpResponse::error(400, e));
    Ok(match call {
        ApiCall::Heartbeat => {
            ApiRequest::Heartbeat(server_report::parse(of, body).map_err(|e| HttpResponse::error(400, e))?)
        }
        ApiCall::Deregister => ApiRequest::Deregister(of.to_owned()),
        ApiCall::ReplaceConfig => ApiRequest::UpdateConfig(update(true)?),
        ApiCall::UpdateConfig => ApiRequest::UpdateConfig(update(false)?),
        ApiCall::ReadConfig => ApiRequest::ReadConfig,
        ApiCall::Resolve => return Err(resolve(replica, parameters)),
        ApiCall::StartEvacuation | ApiCall::EndEvacuation => {
            if !replica.settings.zones.contains_key(of) {
                return Err(HttpResponse::error(404, "no such zone"));
            }
            ApiRequest::Evacuate { zone: of.to_owned(), starts: call == ApiCall::StartEvacuation }
        }
    })
}

fn resolve(replica: &Replica, parameters: &str) -> HttpResponse {
    let frontends = replica.control_plane().live_frontends(now()).unwrap_or_default();
    let frontends = frontends.iter().map(|frontend| (frontend.zone.as_str(), frontend.address));
    match directory::resolve(&replica.settings, frontends, parameters) {
        Some(body) => HttpResponse::ok(body),
        None => HttpResponse::error(503, "no limiter is known"),
    }
}
