//! Datagrams between limiters.

use crate::core::Core;
use pondgw::Event;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Longest datagram that may be sent, in bytes.
const DATAGRAM_MOST: usize = 256;

/// The socket and the address of each limiter, by number.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
}

impl Peers {
    /// Listens for datagrams.
    pub async fn bind(listen: SocketAddr, addresses: Vec<SocketAddr>) -> io::Result<Self> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, addresses })
    }

    /// Sends a message; one that cannot go at once is lost, as any may be.
    pub fn tell(&self, peer: u32, data: &[u8]) {
        if data.len() > DATAGRAM_MOST {
            log::warn!("message of {} bytes to limiter {peer} is too long to send", data.len());
            return;
        }
        if let Some(&address) = self.addresses.get(peer as usize) {
            if let Err(e) = self.socket.try_send_to(data, address) {
                log::debug!("message to limiter {peer} is lost: {e}");
            }
        }
    }
}

/// Takes in messages, for ever. One from an address that is no limiter's, or of no sense, is dropped.
pub async fn run(core: Rc<Core>) {
    let Some(peers) = &core.peers else { return };
    let mut data = [0; DATAGRAM_MOST + 1];
    loop {
        let (len, from) = match peers.socket.recv_from(&mut data).await {
            Ok(received) => received,
            Err(e) => {
                // An earlier message may have found nobody listening; not to spin on what stays is enough.
                log::debug!("receiving from limiters: {e}");
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        let number = peers.addresses.iter().position(|a| *a == from);
        let me = core.config.setup.settings.me as usize;
        if let Some(number) = number.filter(|n| *n != me && len <= DATAGRAM_MOST) {
            core.feed(Event::Peer { from: number as u32, data: data[..len].to_vec() });
        }
    }
}
