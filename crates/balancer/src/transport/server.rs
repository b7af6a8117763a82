//! The responding side: connections from other processes.

use super::socket::{idle_time, log_protocol_error, read, tune, write};
use crate::accept::{accept_connections, AcceptLimits};
use crate::clock;
use crate::messages::{Call, Reply};
use bytes::BytesMut;
use limeway_rpc::{Body, RpcServer};
use limeway_types::Timestamp;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Bounds on the connections from other processes.
const ACCEPT_LIMITS: AcceptLimits =
    AcceptLimits { max_connections: 1_024, retry_delay: Duration::from_millis(20) };
/// An idle connection is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Takes calls for ever, and has each handled by `handler`.
pub async fn listen<F, H>(listener: TcpListener, handler: H)
where
    F: Future<Output = Reply> + 'static,
    H: Fn(Call) -> F + Clone + 'static,
{
    accept_connections(listener, ACCEPT_LIMITS, |stream, from| {
        tune(&stream);
        Rc::new(InboundConnection::default()).run(stream, from, handler.clone())
    })
    .await;
}

/// One connection from a process.
#[derive(Default)]
struct InboundConnection {
    server: RefCell<RpcServer>,
    /// There is more to write.
    write_ready: Notify,
    /// When bytes came or went last.
    last_active: Cell<Timestamp>,
}

impl InboundConnection {
    async fn run<F, H>(self: Rc<Self>, stream: TcpStream, from: SocketAddr, handler: H)
    where
        F: Future<Output = Reply> + 'static,
        H: Fn(Call) -> F,
    {
        let (mut half, mut into) = stream.into_split();
        let next = |bytes: &mut Vec<u8>| {
            let wrote = self.server.borrow_mut().write_next(bytes);
            if wrote {
                self.last_active.set(clock::now());
            }
            wrote
        };
        tokio::select! {
            () = self.receive(&mut half, from, handler) => {}
            () = write(&mut into, &self.write_ready, next) => {}
        }
    }

    async fn receive<F, H>(self: &Rc<Self>, half: &mut OwnedReadHalf, from: SocketAddr, handler: H)
    where
        F: Future<Output = Reply> + 'static,
        H: Fn(Call) -> F,
    {
        let mut buffer = BytesMut::new();
        loop {
            match timeout(IDLE_TIMEOUT, read(half, &mut buffer)).await {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) if idle_time(&self.last_active) < IDLE_TIMEOUT => continue,
                Err(_) => return,
            }
            self.last_active.set(clock::now());
            loop {
                let (number, body) = match self.server.borrow_mut().next_call(&mut buffer) {
                    Ok(Some(call)) => call,
                    Ok(None) => break,
                    Err(e) => return log_protocol_error(from, e),
                };
                match body.decode::<Call>() {
                    Ok(call) => self.clone().respond(number, handler(call)),
                    // One that is malformed ends no other.
                    Err(e) => {
                        log_protocol_error(from, e);
                        self.server.borrow_mut().decline(number);
                    }
                }
            }
            // Cancellations and declined calls are acknowledged.
            self.write_ready.notify_one();
        }
    }

    /// Responds to a call once its reply is there.
    fn respond(self: Rc<Self>, number: u32, reply: impl Future<Output = Reply> + 'static) {
        tokio::task::spawn_local(async move {
            let reply = reply.await;
            let is_awaited = self.server.borrow().is_awaited(number);
            // What nobody waits for is not even encoded.
            let body = if is_awaited { Body::encode(&reply).ok() } else { None };
            let mut server = self.server.borrow_mut();
            match body {
                Some(body) => {
                    if let Err(e) = server.respond(number, body) {
                        log::debug!("response dropped: {e}");
                    }
                }
                None => server.decline(number),
            }
            drop(server);
            self.write_ready.notify_one();
        });
    }
}
