//! Sockets of connections between processes: how they are set up, read and written.

use crate::clock;
use bytes::BytesMut;
use limeway_rpc::FrameError;
use limeway_types::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Data that is not acknowledged ends a connection after so long: network partitions are silent.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bytes that the system buffers ahead of what it can send: what waits there cannot be passed by anything shorter any more.
const SEND_BUFFER_LOW_WATER: u32 = 16 * 1024;
/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// Connections that the system queues until they are accepted.
const BACKLOG: u32 = 1_024;
/// Upper bound on the peers of other protocol versions that are remembered.
const MAX_LOGGED_VERSIONS: usize = 256;

thread_local! {
    /// Where bytes are read to, for all connections: each keeps only what is not complete.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
    /// Peers of other protocol versions that were logged.
    static LOGGED_VERSIONS: RefCell<HashSet<(IpAddr, u8)>> = RefCell::default();
}

/// Logs why a connection is closed: another protocol version once for each machine that uses it.
pub(super) fn log_protocol_error(from: SocketAddr, error: FrameError) {
    if let FrameError::Version(version) = error {
        let is_new = LOGGED_VERSIONS.with_borrow_mut(|logged| {
            logged.len() < MAX_LOGGED_VERSIONS && logged.insert((from.ip(), version))
        });
        if !is_new {
            return;
        }
    }
    log::warn!(from:% = from; "protocol error: {error}");
}

/// Sets the options that all connections have.
pub(super) fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let _ = socket.set_tcp_notsent_lowat(SEND_BUFFER_LOW_WATER);
}

/// Reads what has come, once something has; false once nothing will come any more.
pub(super) async fn read(half: &mut OwnedReadHalf, buffer: &mut BytesMut) -> bool {
    // The memory of what was consumed is not kept.
    if buffer.is_empty() {
        *buffer = BytesMut::new();
    }
    loop {
        if half.readable().await.is_err() {
            return false;
        }
        let read = READ_BUFFER.with_borrow_mut(|scratch| {
            let read = half.try_read(scratch);
            if let Ok(length) = read {
                buffer.extend_from_slice(&scratch[..length]);
            }
            read
        });
        match read {
            Ok(length) => return length > 0,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
}

/// Writes what `next` appends, for ever; returns when the connection breaks.
pub(super) async fn write(
    half: &mut OwnedWriteHalf,
    ready: &Notify,
    mut next: impl FnMut(&mut Vec<u8>) -> bool,
) {
    let mut bytes = Vec::new();
    loop {
        while next(&mut bytes) {
            if half.write_all(&bytes).await.is_err() {
                return;
            }
            bytes.clear();
        }
        bytes = Vec::new();
        ready.notified().await;
    }
}

/// How long ago bytes came or went.
pub(super) fn idle_time(last_active: &Cell<Timestamp>) -> Duration {
    Duration::from_micros(clock::now().saturating_sub(last_active.get()))
}

/// Listens at an address.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
