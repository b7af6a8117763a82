//! Stand-in servers: so many requests at once, a short queue, work that takes time by chance, and life ids.

use crate::arrivals::Rng;
use limeway_http1::http;
use limeway_http1::inbound::{Bounds, Inbound, Message};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Requests that wait for a slot, at most.
const QUEUE: usize = 6;

/// A server.
pub struct Server {
    /// Its life.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Mean of its work.
    pub work: Duration,
    /// Requests that it has run.
    pub ran: Cell<u64>,
    room: Semaphore,
    waiting: Cell<usize>,
    chance: RefCell<Rng>,
}

impl Server {
    /// A server that is ready.
    pub fn new(
        id: String,
        service: &str,
        zone: &str,
        address: SocketAddr,
        slots: usize,
        work: Duration,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Server {
            id,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            work,
            ran: Cell::new(0),
            room: Semaphore::new(slots),
            waiting: Cell::new(0),
            chance: RefCell::new(Rng::new(seed)),
        })
    }

    /// Its report, as the protocol has it.
    pub fn report(&self, count: u64) -> String {
        format!(
            "{{\"target-service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config-version\":\"v1\",\"capacity-slots\":{},\"state\":\"ready\",\"cold-left\":\"0ms\",\"call-count\":{count}}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    /// Serves for ever.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let server = self.clone();
            tokio::task::spawn_local(async move {
                let mut inbound = Inbound::new(stream);
                let bounds = Bounds {
                    body: 1 << 20,
                    read_timeout: Duration::from_secs(5),
                    idle: Duration::from_secs(10),
                };
                while let Ok(message) = inbound.read(bounds).await {
                    let answer = server.answer(&message).await;
                    if !inbound.write(&answer).await || !message.head.keep_alive {
                        return;
                    }
                }
            });
        }
    }

    async fn answer(&self, message: &Message) -> Vec<u8> {
        let value = |name| message.head.header(&message.bytes, name).unwrap_or(b"");
        let mut headers = b"Limeway-Request-Id: ".to_vec();
        headers.extend_from_slice(value("limeway-request-id"));
        headers.extend_from_slice(b"\r\n");
        let mut out = Vec::new();
        if value("limeway-expect-instance") != self.id.as_bytes() {
            http::write_answer(&mut out, 421, &headers, false, b"");
            return out;
        }
        if self.waiting.get() >= QUEUE {
            headers.extend_from_slice(b"Limeway-Not-Executed: 1\r\n");
            http::write_answer(&mut out, 503, &headers, false, b"");
            return out;
        }
        self.waiting.set(self.waiting.get() + 1);
        let room = self.room.acquire().await;
        self.waiting.set(self.waiting.get() - 1);
        let part = 0.5 + self.chance.borrow_mut().share();
        sleep(self.work.mul_f64(part)).await;
        drop(room);
        self.ran.set(self.ran.get() + 1);
        headers.extend_from_slice(b"Limeway-Server-Stamp: ringer\r\n");
        http::write_answer(&mut out, 200, &headers, false, self.id.as_bytes());
        out
    }
}
