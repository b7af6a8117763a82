//! Accepting connections within a bound.

use limeway_http1::conn::Counted;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Bounds on accepting.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AcceptLimits {
    /// Upper bound on the open connections; one more is closed at once.
    pub max_connections: usize,
    /// Pause after a connection could not be accepted, as when no file descriptor is left.
    pub retry_delay: Duration,
}

/// Accepts connections for ever, and has each served by a task of its own.
pub(crate) async fn accept_connections<F>(
    listener: TcpListener,
    limits: AcceptLimits,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(limits.retry_delay).await;
            continue;
        };
        if open.get() >= limits.max_connections {
            continue;
        }
        let counted = Counted::new(&open);
        let serving = serve(stream, from);
        tokio::task::spawn_local(async move {
            let _counted = counted;
            serving.await;
        });
    }
}
