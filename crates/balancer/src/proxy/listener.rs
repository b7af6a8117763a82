//! Accepting connections of clients, up to the close of the listener.

use super::{serve, ClientConnections};
use crate::gateway::Gateway;
use limeway_http1::inbound::Inbound;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of clients until the listener is to close, and then those that the kernel has accepted by that time: the kernel
/// resets what is left, and a process that stood still may find whole requests there.
pub async fn listen(gateway: Rc<Gateway>, clients: Rc<ClientConnections>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = clients.listener_closes() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            gateway.endpoints.pools.prune();
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if clients.is_full() {
            // Idle ones make room; this one learns by its close to try another gateway.
            clients.close_idle();
            continue;
        }
        spawn_serving(&gateway, &clients, stream);
    }
    if let Err(error) = accept_backlog(&gateway, &clients, listener) {
        log::warn!("connections left in the backlog of the listener: {error}");
    }
}

/// Accepts what is in the listener's backlog, as far as there is room, and closes it.
fn accept_backlog(
    gateway: &Rc<Gateway>,
    clients: &Rc<ClientConnections>,
    listener: TcpListener,
) -> io::Result<()> {
    // Asks the kernel itself: the runtime may not have learned yet of the latest connections.
    let listener = listener.into_std()?;
    while !clients.is_full() {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        spawn_serving(gateway, clients, TcpStream::from_std(stream)?);
    }
    Ok(())
}

fn spawn_serving(gateway: &Rc<Gateway>, clients: &Rc<ClientConnections>, stream: TcpStream) {
    let counted = clients.count_open();
    let (gateway, clients) = (gateway.clone(), clients.clone());
    tokio::task::spawn_local(async move {
        let _counted = counted;
        serve(&gateway, &clients, Inbound::new(stream)).await;
    });
}
