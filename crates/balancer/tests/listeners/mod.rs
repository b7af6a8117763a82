//! Listening sockets, as the kernel lists them: a look at them opens no connection.

use std::net::Ipv4Addr;

/// The state of a listening socket in the kernel's table of TCP sockets.
const LISTENING: &str = "0A";

/// Whether some process listens at an address.
pub(crate) fn is_listening(ip: Ipv4Addr, port: u16) -> bool {
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table");
    // The table has an address as the number that its bytes make in memory.
    let local = format!("{:08X}:{port:04X}", u32::from_ne_bytes(ip.octets()));
    sockets.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(1);
        fields.next() == Some(&local) && fields.nth(1) == Some(LISTENING)
    })
}
