//! Sockets of connections between processes: how they are set, read and written.

use crate::clock::{self, Micros};
use bytes::BytesMut;
use limeway_rpc::FrameError;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Data that nobody acknowledges ends a connection after so long: cuts are silent.
const UNHEARD: Duration = Duration::from_millis(2_500);
/// Bytes that the system takes ahead of what it can send: what waits there can no more be passed by anything shorter.
const AHEAD: u32 = 16 * 1024;
/// Bytes that are read at once.
const READ: usize = 16 * 1024;
/// Speakers of other versions that are remembered, at most.
const STRANGERS_MOST: usize = 256;

thread_local! {
    /// Where bytes are read to, for all connections: they keep only what is not whole.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
    /// Who spoke which other version.
    static STRANGERS: RefCell<HashSet<(IpAddr, u8)>> = RefCell::default();
}

/// Says in the log why a connection is ended: of another version once for each machine that speaks it.
pub(super) fn spoilt(from: SocketAddr, error: FrameError) {
    if let FrameError::Version(version) = error {
        let new = STRANGERS.with_borrow_mut(|strangers| {
            strangers.len() < STRANGERS_MOST && strangers.insert((from.ip(), version))
        });
        if !new {
            return;
        }
    }
    log::warn!(from:% = from; "link: {error}");
}

/// Sets what all of them have.
pub(super) fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNHEARD));
    let _ = socket.set_tcp_notsent_lowat(AHEAD);
}

/// Reads what has come, once something has; false once nothing will come any more.
pub(super) async fn read(half: &mut OwnedReadHalf, buffer: &mut BytesMut) -> bool {
    // What was read whole is not kept.
    if buffer.is_empty() {
        *buffer = BytesMut::new();
    }
    loop {
        if half.readable().await.is_err() {
            return false;
        }
        let got = SCRATCH.with_borrow_mut(|scratch| {
            let got = half.try_read(scratch);
            if let Ok(n) = got {
                buffer.extend_from_slice(&scratch[..n]);
            }
            got
        });
        match got {
            Ok(n) => return n > 0,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
}

/// Writes what `next` appends, for ever; ends when the connection does.
pub(super) async fn write(
    half: &mut OwnedWriteHalf,
    more: &Notify,
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
        more.notified().await;
    }
}

/// How long ago bytes came or went.
pub(super) fn rested(stirred: &Cell<Micros>) -> Duration {
    Duration::from_micros(clock::now().saturating_sub(stirred.get()))
}

/// Listens at an address.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}
