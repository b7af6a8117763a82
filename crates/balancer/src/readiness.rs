//! The readiness probe of the platform, and the directory that a limiter serves to clients.

use crate::accept::{accept_connections, AcceptLimits};
use crate::gateway::Gateway;
use limeway_http1::http;
use limeway_http1::inbound::{Bounds, Inbound};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Bounds on the connections.
const ACCEPT_LIMITS: AcceptLimits =
    AcceptLimits { max_connections: 400, retry_delay: Duration::from_millis(50) };
/// What a request may be.
const BOUNDS: Bounds =
    Bounds { body: 1024, read_timeout: Duration::from_secs(2), idle: Duration::from_secs(5) };

/// Answers probes and directory requests for ever.
pub(crate) async fn listen(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_connections(listener, ACCEPT_LIMITS, |stream, _| serve(gateway.clone(), Inbound::new(stream)))
        .await;
}

async fn serve(gateway: Rc<Gateway>, mut inbound: Inbound) {
    while let Ok(message) = inbound.read(BOUNDS).await {
        let (method, target) = message.line();
        let (status, body) = answer(&gateway, method, target);
        let close = !message.head.keep_alive;
        let mut out = Vec::new();
        let headers = b"Content-Type: application/json\r\n";
        http::write_answer(&mut out, status, headers, close, body.as_bytes());
        if !inbound.write(&out).await || close {
            return;
        }
    }
}

fn answer(gateway: &Gateway, method: &str, target: &str) -> (u16, String) {
    let (path, parameters) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", "/-/readiness") if gateway.is_ready() => (200, String::new()),
        ("GET", "/-/readiness") => (503, String::new()),
        ("GET", "/-/resolve") => gateway.resolve(parameters).map_or((503, String::new()), |body| (200, body)),
        _ => (404, String::new()),
    }
}
