//! Listening sockets of other processes: a look at them opens no connection.

use std::net::{Ipv4Addr, TcpListener};

/// Whether some process listens at an address. Connections that it has accepted there don't count.
pub(crate) fn is_listening(ip: Ipv4Addr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_err()
}
