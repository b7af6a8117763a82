//! The control API: calls of servers, operators and clients to a control-plane replica, over HTTP.

mod caller;
mod calls;
mod server_report;

use crate::accept::{accept_connections, AcceptLimits};
use crate::clock::{before, now};
use crate::directory::{self, query};
use crate::replica::Replica;
use caller::CallerState;
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
/// A caller waits a second for a response: one that is sent sooner than this reaches it.
const CALLER_PATIENCE: Micros = 850_000;
/// A caller that closes its connection sooner than this has its response: one that gives up closes a second after its call.
const GIVE_UP_TIME: Micros = 980_000;

/// A response: its status, and its body in JSON.
struct HttpResponse {
    status: u16,
    body: String,
    /// Where the call is to be made instead.
    location: Option<String>,
}

impl HttpResponse {
    fn ok(body: impl Into<String>) -> Self {
        HttpResponse { status: 200, body: body.into(), location: None }
    }

    fn error(status: u16, message: impl std::fmt::Display) -> Self {
        let message = json::to_string(&message.to_string());
        HttpResponse { status, body: format!("{{\"error-message\":{message}}}"), location: None }
    }

    fn redirect(location: String) -> Self {
        HttpResponse {
            location: Some(location),
            ..HttpResponse::error(307, "call again on a new connection")
        }
    }

    fn headers(&self) -> String {
        let location = self.location.as_ref().map(|location| format!("Location: {location}\r\n"));
        format!("Content-Type: application/json\r\n{}", location.unwrap_or_default())
    }
}

/// A call that was read, and the response to it.
struct Answered {
    response: HttpResponse,
    /// The id of an evacuation call that is done.
    evacuation: Option<u64>,
    /// How many bytes of the response were sent already.
    sent_bytes: usize,
}

impl From<HttpResponse> for Answered {
    fn from(response: HttpResponse) -> Self {
        Answered { response, evacuation: None, sent_bytes: 0 }
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
    // A call that came on a connection at rest may have rested itself.
    let mut opened = Some(now());
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
        let received = before(inbound.since_received());
        let unanswered = replica.count_unanswered();
        let call =
            Call { message, received, opened: opened.take(), is_followed: inbound.has_further_bytes() };
        let Some(Answered { mut response, mut evacuation, sent_bytes }) =
            answer(&replica, &mut inbound, &call).await
        else {
            return;
        };
        if let Some(call_id) = evacuation.take_if(|_| now() >= call.sent_by() + CALLER_PATIENCE) {
            // It would count as lost: its caller must not take it for an acknowledgement.
            replica.handle(Event::ResponseLost(call_id));
            response = HttpResponse::error(503, "agreed too late for its caller");
        }
        let close = !call.message.head.keep_alive || response.location.is_some();
        let headers = response.headers();
        http::write_answer(&mut out, response.status, headers.as_bytes(), close, response.body.as_bytes());
        let is_written = inbound.write(&out[sent_bytes..]).await;
        if close {
            // A caller may read until the end before it closes in its turn.
            inbound.finish_writing().await;
        }
        drop(unanswered);
        if let Some(call_id) = evacuation {
            let is_delivered = is_written && is_taken_by(&inbound, call.given_up_from()).await;
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

/// A call that was read.
struct Call {
    message: Message,
    /// When its last bytes came to this machine.
    received: Timestamp,
    /// When its connection was accepted, if it is the first call there.
    opened: Option<Timestamp>,
    /// Bytes of a further call came behind it: these are the ones whose age is known.
    is_followed: bool,
}

impl Call {
    /// Since when its caller may wait, at the earliest: the network may have held the first call on a connection back since that was
    /// accepted. A later call may come after any rest.
    fn sent_by(&self) -> Timestamp {
        self.opened.map_or(self.received, |opened| opened.min(self.received))
    }

    /// When its caller may give it up, at the earliest. What the network may have held back on the way is not known of a later call.
    fn given_up_from(&self) -> Timestamp {
        let patience = if self.opened.is_some() { GIVE_UP_TIME } else { CALLER_PATIENCE };
        self.sent_by() + patience
    }

    /// Whether the network may have held it back for longer than a caller waits.
    fn may_be_stale(&self) -> bool {
        self.received >= self.sent_by() + CALLER_PATIENCE
    }
}

/// Whether the response to a call reaches its caller: one that closes its connection from this time on may have given up and retry.
async fn is_taken_by(inbound: &Inbound, given_up_from: Timestamp) -> bool {
    let left = given_up_from.saturating_sub(now());
    let taken = tokio::time::timeout(Duration::from_micros(left), inbound.taken()).await;
    taken == Ok(true) && now() < given_up_from
}

/// Answers a call. None if its caller has closed the connection before it was begun.
async fn answer(replica: &Rc<Replica>, inbound: &mut Inbound, call: &Call) -> Option<Answered> {
    let (method, target) = call.message.line();
    let (path, parameters) = target.split_once('?').unwrap_or((target, ""));
    let Some(entry) = calls::find(method, path, query(parameters, "call").unwrap_or("")) else {
        return Some(HttpResponse::error(404, "no such call").into());
    };
    let body = &call.message.body;
    if body.len() > entry.max_body_bytes {
        return Some(HttpResponse::error(413, "body is too long").into());
    }
    let request = match api_request(replica, entry.call, parameters, body) {
        Ok(request) => request,
        Err(response) => return Some(response.into()),
    };
    if !matches!(request, ApiRequest::Evacuate { .. }) {
        return Some(HttpResponse::from(replica.answer_api(request, call.received).await).into());
    }
    if call.is_followed {
        return Some(HttpResponse::error(503, "another call came before the response to this one").into());
    }
    if call.may_be_stale() {
        let address = inbound.stream().local_addr().ok()?;
        return Some(HttpResponse::redirect(format!("http://{address}{target}")).into());
    }
    let sent_bytes = match caller::state(inbound).await {
        CallerState::Open => 0,
        CallerState::HalfClosed => caller::RESPONSE_START.len(),
        CallerState::Gone => {
            replica.count_abandoned_call();
            return None;
        }
    };
    let response = replica.answer_api(request, call.sent_by()).await;
    let evacuation = match response {
        ApiResponse::EvacuationDone(call_id) => Some(call_id),
        _ => None,
    };
    Some(Answered { response: response.into(), evacuation, sent_bytes })
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
