//! Datagrams between limiters.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Longest datagram that may be sent, in bytes.
const MAX_DATAGRAM: usize = 256;

/// The socket and the address of each limiter, by number.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    me: usize,
}

impl Peers {
    /// Listens for datagrams, as number `me` of these limiters.
    pub async fn bind(listen: SocketAddr, addresses: Vec<SocketAddr>, me: u32) -> io::Result<Self> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, addresses, me: me as usize })
    }

    /// Sends a message; one that cannot go at once is lost, as any may be.
    pub fn tell(&self, peer: u32, data: &[u8]) {
        if data.len() > MAX_DATAGRAM {
            log::warn!("message of {} bytes to limiter {peer} is too long to send", data.len());
            return;
        }
        if let Some(&address) = self.addresses.get(peer as usize) {
            if let Err(e) = self.socket.try_send_to(data, address) {
                log::debug!("message to limiter {peer} is lost: {e}");
            }
        }
    }

    /// Takes in messages, for ever, and passes on each with its sender's number. One from an address that is no
    /// other limiter's, or that is too long, is dropped.
    pub async fn run(&self, tell: impl Fn(u32, Vec<u8>)) {
        let mut data = [0; MAX_DATAGRAM + 1];
        loop {
            let (len, from) = match self.socket.recv_from(&mut data).await {
                Ok(received) => received,
                Err(e) => {
                    // An earlier message may have found nobody listening; not to spin on what stays is enough.
                    log::debug!("receiving from limiters: {e}");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    continue;
                }
            };
            let number = self.addresses.iter().position(|a| *a == from);
            if let Some(number) = number.filter(|n| *n != self.me && len <= MAX_DATAGRAM) {
                tell(number as u32, data[..len].to_vec());
            }
        }
    }
}
