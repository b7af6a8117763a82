//! The proxy: client connections, and a request from its first byte to its one response.

mod attempt;
mod attempts;
mod body_budget;
mod connections;
mod failure;
mod headers;
mod listener;
mod local_response;
mod request;
mod request_reader;
mod request_record;
mod response_writer;

pub use body_budget::BodyBudget;
pub use connections::{log_traffic, ClientConnections};
pub use failure::Failure;
pub use listener::listen;

use crate::clock::now;
use crate::gateway::Gateway;
use crate::upstream::ServerResponse;
use limeway_http1::inbound::{Bounds, Inbound, ERROR_LINGER};
use limeway_routing_config::routing::Limits;
use limeway_settings::RuleBounds;
use limeway_types::Timestamp;
use local_response::LocalResponse;
use request_reader::{read_request, NoRequest, ReadRequest};
use request_record::RequestRecord;
use response_writer::write_response;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// An idle connection of this age makes room where none is left.
const EVICTABLE_IDLE_TIME: Duration = Duration::from_secs(1);
/// During shutdown, the first request of a connection that has just come may be on its way for so long.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// No connection stays idle for longer, whatever a configuration says.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Part of the time within which an unanswered request may lose its connection for which one lingers after its last response.
const RESPONSE_LINGER_RATIO: f64 = 0.75;

async fn serve(gateway: &Rc<Gateway>, clients: &ClientConnections, mut inbound: Inbound) {
    while next_request(gateway, clients, &mut inbound).await {
        // Until its response is sent, or its end: shutdown waits for it.
        let _busy = clients.count_busy();
        let limits = gateway.routing().limits.clone();
        inbound.limit_head(limits.max_header_bytes);
        let bounds = request_bounds(gateway);
        let request = match read_request(gateway, clients, &mut inbound, bounds).await {
            Ok(request) => request,
            Err(NoRequest::Closed) => return,
            Err(NoRequest::Refused(response)) => {
                gateway.metrics.count_request(Some(response.failure));
                inbound.write(&response.to_bytes(true)).await;
                return inbound.linger(ERROR_LINGER).await;
            }
        };
        match respond(gateway, clients, &mut inbound, request).await {
            AfterResponse::Continue => {}
            AfterResponse::Linger => {
                return inbound.linger(response_linger(&gateway.settings.bounds)).await;
            }
            AfterResponse::Closed => return,
        }
    }
}

/// What becomes of a connection after a response.
enum AfterResponse {
    /// It takes the next request.
    Continue,
    /// It ends once the client has read the response.
    Linger,
    /// It has ended.
    Closed,
}

/// Serves one request.
async fn respond(
    gateway: &Rc<Gateway>,
    clients: &ClientConnections,
    inbound: &mut Inbound,
    request: ReadRequest,
) -> AfterResponse {
    let ReadRequest { message, arrived, reservation } = request;
    let keep_alive = message.head.keep_alive;
    let (started, record) = (now(), RequestRecord::default());
    let response = {
        let handling = attempts::handle(gateway, &message, arrived, &record);
        tokio::pin!(handling);
        tokio::select! {
            biased;
            response = &mut handling => Some(response),
            // Nobody waits for the response any more: the server may drop the request, too.
            () = inbound.gone() => None,
            () = clients.requests_aborted() => Some(Err(abort(gateway, clients, &record))),
        }
    };
    let Some(response) = response else {
        note_end(gateway, &record, 0, Some(Failure::ClientGone), started);
        return AfterResponse::Closed;
    };
    // The body is not needed any more, however long the client takes to read the response.
    drop((message, reservation));
    // What has been read of a next request is owed a response, too.
    let close = !keep_alive || (clients.is_draining() && !inbound.begun());
    let (status, failure) = result_of(&response);
    clients.count_response(response.as_ref().err().map(|local| local.status));
    let written = write_response(inbound, response, close).await;
    note_end(gateway, &record, status, failure.or(written.err()), started);
    if written.is_err() {
        return AfterResponse::Closed;
    }
    if record.server_time.get() > 0 {
        clients.count_added_time((now() - started).saturating_sub(record.server_time.get()));
    }
    if close {
        AfterResponse::Linger
    } else {
        AfterResponse::Continue
    }
}

/// The final response to a request that lasts longer than the process may.
fn abort(gateway: &Gateway, clients: &ClientConnections, record: &RequestRecord) -> LocalResponse {
    if gateway.admits_until(record.deadline.get()) {
        clients.count_aborted_early();
    }
    if record.may_have_executed() {
        LocalResponse::new(504, Failure::ShuttingDown)
    } else {
        LocalResponse::shutting_down()
    }
}

/// The status of a response, and why it is no success of a server's.
fn result_of(response: &Result<ServerResponse, LocalResponse>) -> (u16, Option<Failure>) {
    match response {
        Ok(response) => {
            let status = response.reply.head.status;
            (status, (status >= 500).then_some(Failure::ServerFailed))
        }
        Err(local) => (local.status, Some(local.failure)),
    }
}

/// Counts how a request ended, and logs why if it failed.
fn note_end(
    gateway: &Gateway,
    record: &RequestRecord,
    status: u16,
    failure: Option<Failure>,
    begun: Timestamp,
) {
    gateway.metrics.count_request(failure);
    if let Some(failure) = failure {
        record.log(gateway, status, failure, begun);
    }
}

/// Waits for the first byte of the next request, as long as the configuration in force at the end of the wait allows. False if the
/// connection is to end with nothing read.
async fn next_request(gateway: &Gateway, clients: &ClientConnections, inbound: &mut Inbound) -> bool {
    while !inbound.begun() {
        let close_idle = clients.close_idle_notified();
        let routing = gateway.routing();
        let idle_timeout = idle_timeout(&routing.limits, inbound);
        let draining = clients.is_draining();
        let wait =
            if draining { DRAINING_IDLE_TIMEOUT } else { idle_timeout.saturating_sub(inbound.rested()) };
        tokio::select! {
            biased;
            ready = inbound.ready(request_bounds(gateway)) => return ready.is_ok(),
            () = close_idle, if !draining => {
                if clients.is_draining() || inbound.rested() < EVICTABLE_IDLE_TIME {
                    continue;
                }
            }
            () = sleep(wait) => {
                // The limit may have been raised meanwhile.
                if !draining && inbound.rested() < self::idle_timeout(&gateway.routing().limits, inbound) {
                    continue;
                }
            }
        }
        // What has come at this very moment is still served.
        return !inbound.quiet() && inbound.ready(request_bounds(gateway)).await.is_ok();
    }
    true
}

/// How long a connection lingers after its last response. A client that has not read the response yet may send a whole next request,
/// which is read and gets none: its connection must not end later than such a request may be lost.
pub fn response_linger(bounds: &RuleBounds) -> Duration {
    Duration::from_micros(bounds.loss_slack).mul_f64(RESPONSE_LINGER_RATIO).min(ERROR_LINGER)
}

/// How long a connection may rest. A new one is not idle while its first request may be on its way.
fn idle_timeout(limits: &Limits, inbound: &Inbound) -> Duration {
    let first_request = if inbound.has_answered() { 0 } else { limits.header_timeout };
    Duration::from_micros(limits.idle_timeout.max(first_request)).min(MAX_IDLE_TIMEOUT)
}

/// What a request may be by the configuration in force. Without one nothing is known of bodies: none is too long.
fn request_bounds(gateway: &Gateway) -> Bounds {
    let routing = gateway.routing();
    Bounds {
        body: if routing.version == 0 { usize::MAX } else { routing.limits.max_body_bytes },
        read_timeout: Duration::from_micros(routing.limits.header_timeout),
        // The idle timeout may change while a connection is idle: `next_request` watches it.
        idle: MAX_IDLE_TIMEOUT,
    }
}
