//! The proxy: client connections, and a request from its first byte to its one response.

mod attempts;
mod connections;
mod headers;
mod local_response;
mod request;
pub mod upstream;

pub use connections::{log_traffic, ClientConnections};

use crate::clock::now;
use crate::gateway::Gateway;
use limeway_http1::conn::Reply;
use limeway_http1::inbound::{Bounds, Inbound, Message, Stop};
use limeway_routing_config::routing::Limits;
use local_response::LocalResponse;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Upper bound on a request body, whatever a configuration allows, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// An idle connection of this age makes room where none is left.
const EVICTABLE_IDLE_TIME: Duration = Duration::from_secs(1);
/// During shutdown, the first request of a connection that has just come may be on its way for so long.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// No connection stays idle for longer, whatever a configuration says.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of clients, for ever.
pub async fn listen(gateway: Rc<Gateway>, clients: Rc<ClientConnections>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            gateway.endpoints.pools.prune();
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if clients.is_full() {
            // Idle ones make room; this one learns by its close to try another gateway.
            clients.close_idle();
            continue;
        }
        let counted = clients.count_open();
        let (gateway, clients) = (gateway.clone(), clients.clone());
        tokio::task::spawn_local(async move {
            let _counted = counted;
            serve(&gateway, &clients, Inbound::new(stream)).await;
        });
    }
}

async fn serve(gateway: &Rc<Gateway>, clients: &ClientConnections, mut inbound: Inbound) {
    while next_request(gateway, clients, &mut inbound).await {
        // Until its response is sent, or its end: shutdown waits for it.
        let _busy = clients.count_busy();
        let limits = gateway.routing().limits.clone();
        inbound.limit_head(limits.max_header_bytes);
        let message = match inbound.read(bounds(&limits)).await {
            Ok(message) => message,
            Err(Stop::Closed) => return,
            Err(Stop::Status(status)) => {
                inbound.write(&LocalResponse::new(status).to_bytes(true)).await;
                return inbound.linger().await;
            }
        };
        match respond(gateway, clients, &mut inbound, &message).await {
            AfterResponse::Continue => {}
            AfterResponse::Linger => return inbound.linger().await,
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
    message: &Message,
) -> AfterResponse {
    let (started, server_time) = (now(), Cell::new(0));
    let response = {
        let handling = attempts::handle(gateway, message, &server_time);
        tokio::pin!(handling);
        tokio::select! {
            biased;
            response = &mut handling => Some(response),
            // Nobody waits for the response any more: the server may drop the request, too.
            () = inbound.gone() => None,
        }
    };
    let Some(response) = response else { return AfterResponse::Closed };
    // What has been read of a next request is owed a response, too.
    let close = !message.head.keep_alive || (clients.is_draining() && !inbound.begun());
    let local_status = response.as_ref().err().map(|local| local.status);
    clients.count_response(local_status);
    if !inbound.write(&to_bytes(response, close)).await {
        return AfterResponse::Closed;
    }
    if server_time.get() > 0 {
        clients.count_added_time((now() - started).saturating_sub(server_time.get()));
    }
    if close {
        AfterResponse::Linger
    } else {
        AfterResponse::Continue
    }
}

fn to_bytes(response: Result<Reply, LocalResponse>, close: bool) -> Vec<u8> {
    match response {
        Ok(reply) => headers::forward_response(reply, close),
        Err(local) => local.to_bytes(close),
    }
}

/// Waits for the first byte of the next request, as long as the configuration in force at the end of the wait allows. False if the
/// connection is to end with nothing read.
async fn next_request(gateway: &Gateway, clients: &ClientConnections, inbound: &mut Inbound) -> bool {
    while !inbound.begun() {
        let close_idle = clients.close_idle_notified();
        let routing = gateway.routing();
        let idle_timeout = idle_timeout(&routing.limits);
        let draining = clients.is_draining();
        let wait =
            if draining { DRAINING_IDLE_TIMEOUT } else { idle_timeout.saturating_sub(inbound.rested()) };
        tokio::select! {
            biased;
            ready = inbound.ready(bounds(&routing.limits)) => return ready.is_ok(),
            () = close_idle, if !draining => {
                if clients.is_draining() || inbound.rested() < EVICTABLE_IDLE_TIME {
                    continue;
                }
            }
            () = sleep(wait) => {
                // The limit may have been raised meanwhile.
                let limit = Duration::from_micros(gateway.routing().limits.idle_timeout);
                if !draining && inbound.rested() < limit {
                    continue;
                }
            }
        }
        // What has come at this very moment is still served.
        return !inbound.quiet() && inbound.ready(bounds(&routing.limits)).await.is_ok();
    }
    true
}

fn idle_timeout(limits: &Limits) -> Duration {
    Duration::from_micros(limits.idle_timeout).min(MAX_IDLE_TIMEOUT)
}

fn bounds(limits: &Limits) -> Bounds {
    Bounds {
        body: limits.max_body_bytes.min(MAX_BODY_BYTES),
        read_timeout: Duration::from_micros(limits.header_timeout),
        // The idle timeout may change while a connection is idle: `next_request` watches it.
        idle: MAX_IDLE_TIMEOUT,
    }
}
