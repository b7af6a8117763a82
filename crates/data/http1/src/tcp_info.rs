//! What the kernel knows of a TCP connection: when bytes came and went, whatever the process did meanwhile.

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, sockopt_impl};
use std::os::fd::AsFd;
use std::time::Duration;

sockopt_impl!(
    /// The socket option.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info
);

/// The kernel counts in ticks, of so long at most: the times that it tells may be longer by as much than they are.
pub const MAX_TICK: Duration = Duration::from_millis(10);

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// How long ago the last bytes came.
    pub since_received: Duration,
    /// How long ago the last bytes were sent.
    pub since_sent: Duration,
    /// The other side has not acknowledged all that was sent.
    pub has_unacknowledged: bool,
}

/// What the kernel knows of a connection, to a few milliseconds; none where it does not say.
pub fn connection_info(stream: &impl AsFd) -> Option<ConnectionInfo> {
    let info = getsockopt(stream, TcpInfo).ok()?;
    Some(ConnectionInfo {
        since_received: Duration::from_millis(u64::from(info.tcpi_last_data_recv)),
        since_sent: Duration::from_millis(u64::from(info.tcpi_last_data_sent)),
        has_unacknowledged: info.tcpi_unacked > 0,
    })
}
