//! The calling side: a channel to one process, over one connection at a time.

use super::socket::{idle_time, log_protocol_error, read, tune, write};
use crate::clock;
use crate::messages::{Call, Reply};
use bytes::BytesMut;
use limeway_rpc::{Body, ClientEvent, ConnectionHealth, QueueFull, RpcClient, Timeouts};
use limeway_types::{Micros, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::timeout;

/// How long a connection may take to open. A packet to a machine that is just starting is lost, and would be sent again by the system
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// An idle connection is closed after this: sooner than the server does, so that no call meets the close of the other side.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Upper bound on the connections to one process that take no new calls and still wait for responses.
const MAX_RETIRED_CONNECTIONS: usize = 4;
/// Random bits in the first call number of a channel.
const FIRST_NUMBER_MASK: u64 = 0xffff;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection can be had, or it broke.
    Disconnected,
    /// No response came in time.
    TimedOut,
    /// Too much is in flight, here or there, or waits to be sent.
    Overloaded,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallError::Disconnected => "no connection",
            CallError::TimedOut => "no response in time",
            CallError::Overloaded => "too many calls in flight",
        })
    }
}

impl std::error::Error for CallError {}

impl From<QueueFull> for CallError {
    fn from(_: QueueFull) -> Self {
        CallError::Overloaded
    }
}

type CallResult = Result<Reply, CallError>;

/// One connection to a process.
struct Connection {
    client: RefCell<RpcClient>,
    waiting: RefCell<HashMap<u32, oneshot::Sender<CallResult>>>,
    /// There is more to write.
    write_ready: Notify,
    closed: Cell<bool>,
    close: Notify,
    /// When bytes came or went last.
    last_active: Cell<Timestamp>,
}

impl Connection {
    fn new() -> Self {
        Connection {
            client: RefCell::default(),
            waiting: RefCell::default(),
            write_ready: Notify::new(),
            closed: Cell::new(false),
            close: Notify::new(),
            last_active: Cell::new(clock::now()),
        }
    }

    fn close(&self) {
        self.closed.set(true);
        self.close.notify_one();
        // Callers that wait learn that nothing will come.
        self.waiting.borrow_mut().clear();
    }

    async fn run(&self, stream: TcpStream, to: SocketAddr) {
        let (mut from, mut into) = stream.into_split();
        let next = |bytes: &mut Vec<u8>| {
            let wrote = self.client.borrow_mut().write_next(clock::now(), bytes);
            if wrote {
                self.last_active.set(clock::now());
            }
            wrote
        };
        tokio::select! {
            () = self.receive(&mut from, to) => {}
            () = write(&mut into, &self.write_ready, next) => {}
            () = self.close.notified() => {}
        }
        self.close();
    }

    async fn receive(&self, from: &mut OwnedReadHalf, to: SocketAddr) {
        let mut buffer = BytesMut::new();
        loop {
            match timeout(IDLE_TIMEOUT, read(from, &mut buffer)).await {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) if idle_time(&self.last_active) < IDLE_TIMEOUT => continue,
                Err(_) => return,
            }
            let now = clock::now();
            self.last_active.set(now);
            self.client.borrow_mut().bytes_received(now);
            if !self.deliver(now, &mut buffer, to) {
                return;
            }
        }
    }

    /// Delivers the responses that came. False if the bytes break the protocol.
    fn deliver(&self, now: Timestamp, buffer: &mut BytesMut, to: SocketAddr) -> bool {
        loop {
            let event = match self.client.borrow_mut().next_event(now, buffer) {
                Ok(Some(event)) => event,
                Ok(None) => return true,
                Err(e) => {
                    log_protocol_error(to, e);
                    return false;
                }
            };
            let (number, result) = match event {
                ClientEvent::Declined(number) => (number, Err(CallError::Overloaded)),
                ClientEvent::Response(number, body) => {
                    // One that is malformed ends no other.
                    let reply = body.decode().inspect_err(|e| log_protocol_error(to, *e));
                    (number, reply.map_err(|_| CallError::Disconnected))
                }
            };
            if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
                // The caller may be gone.
                let _ = waiting.send(result);
            }
        }
    }
}

/// A call in flight. If its caller goes away, it is cancelled.
struct PendingCall {
    connection: Rc<Connection>,
    number: u32,
}

impl PendingCall {
    fn cancel(&self) -> ConnectionHealth {
        self.connection.waiting.borrow_mut().remove(&self.number);
        let health = self.connection.client.borrow_mut().cancel(clock::now(), self.number);
        self.connection.write_ready.notify_one();
        health
    }

    async fn wait(&self, mut result: oneshot::Receiver<CallResult>) -> CallResult {
        loop {
            // Its response may be on its way from the reader to here: then it is pending no more.
            let deadline = self.connection.client.borrow().deadline(self.number).unwrap_or(Timestamp::MAX);
            let now = clock::now();
            if deadline <= now {
                return Err(CallError::TimedOut);
            }
            let left = Duration::from_micros((deadline - now).min(Micros::from(u32::MAX)));
            match timeout(left, &mut result).await {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) => return Err(CallError::Disconnected),
                // Progress may have moved the deadline.
                Err(_) => {}
            }
        }
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if self.connection.client.borrow().deadline(self.number).is_some() {
            self.cancel();
        }
    }
}

/// A channel to one process.
pub struct Channel {
    to: SocketAddr,
    connection: RefCell<Option<Rc<Connection>>>,
    /// Connections that take no new calls, while calls on them may still be answered.
    retired: RefCell<Vec<Rc<Connection>>>,
    next_number: Cell<u32>,
    connecting: tokio::sync::Mutex<()>,
}

impl Channel {
    /// A channel to an address; nothing is opened yet.
    pub fn new(to: SocketAddr) -> Rc<Self> {
        Rc::new(Channel {
            to,
            connection: RefCell::default(),
            retired: RefCell::default(),
            next_number: Cell::new((clock::random() & FIRST_NUMBER_MASK) as u32),
            connecting: tokio::sync::Mutex::new(()),
        })
    }

    /// Calls, and waits for so long and no longer.
    ///
    /// # Errors
    /// No response came, for the reason given.
    pub async fn call(&self, call: &Call, timeout: Duration) -> Result<Reply, CallError> {
        self.call_with(call, Timeouts::fixed(micros(timeout))).await
    }

    /// Calls for what may be long: waits while chunks of the call are sent or chunks of its response come in, up to `idle` between two
    /// of them, and for `total` in all.
    ///
    /// # Errors
    /// No response came, for the reason given.
    pub async fn call_while_progressing(
        &self,
        call: &Call,
        idle: Duration,
        total: Duration,
    ) -> Result<Reply, CallError> {
        self.call_with(call, Timeouts { idle: micros(idle), total: micros(total) }).await
    }

    async fn call_with(&self, call: &Call, timeouts: Timeouts) -> CallResult {
        let started = clock::now();
        let body = Body::encode(call).map_err(|_| CallError::Disconnected)?;
        let connect_timeout = Duration::from_micros(timeouts.idle.min(timeouts.total));
        let connected = timeout(connect_timeout, self.connection()).await;
        let connection = connected.map_err(|_| CallError::TimedOut)??;
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let now = clock::now();
        let timeouts = after_connecting(timeouts, now - started);
        connection.client.borrow_mut().start_call(now, number, body, timeouts)?;
        let (sender, receiver) = oneshot::channel();
        connection.waiting.borrow_mut().insert(number, sender);
        let pending = PendingCall { connection: connection.clone(), number };
        connection.write_ready.notify_one();
        let result = pending.wait(receiver).await;
        if matches!(result, Err(CallError::TimedOut)) {
            match pending.cancel() {
                ConnectionHealth::Healthy => {}
                ConnectionHealth::Suspect => self.retire(&connection),
                ConnectionHealth::Dead => connection.close(),
            }
        }
        drop(pending);
        self.close_retired();
        result
    }

    async fn connection(&self) -> Result<Rc<Connection>, CallError> {
        let current = || self.connection.borrow().as_ref().filter(|c| !c.closed.get()).cloned();
        if let Some(connection) = current() {
            return Ok(connection);
        }
        let _one_at_a_time = self.connecting.lock().await;
        if let Some(connection) = current() {
            return Ok(connection);
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.to)).await;
        let stream = connected.map_err(|_| CallError::TimedOut)?.map_err(|_| CallError::Disconnected)?;
        tune(&stream);
        let (connection, to) = (Rc::new(Connection::new()), self.to);
        let running = connection.clone();
        tokio::task::spawn_local(async move { running.run(stream, to).await });
        *self.connection.borrow_mut() = Some(connection.clone());
        Ok(connection)
    }

    /// A connection takes no new calls any more.
    fn retire(&self, connection: &Rc<Connection>) {
        let mut current = self.connection.borrow_mut();
        if current.as_ref().is_some_and(|c| Rc::ptr_eq(c, connection)) {
            self.retired.borrow_mut().extend(current.take());
        }
    }

    /// Closes retired connections that nobody waits on, and the oldest if there are too many.
    fn close_retired(&self) {
        let mut retired = self.retired.borrow_mut();
        let excess = retired.len().saturating_sub(MAX_RETIRED_CONNECTIONS);
        for (age, connection) in retired.iter().enumerate() {
            if age < excess || connection.client.borrow().in_flight() == 0 {
                connection.close();
            }
        }
        retired.retain(|connection| !connection.closed.get());
    }

    /// Retires the connection: a new one is opened for the next call.
    pub fn reconnect(&self) {
        let connection = self.connection.borrow_mut().take();
        self.retired.borrow_mut().extend(connection);
        self.close_retired();
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        let retired = self.retired.take();
        retired.iter().chain(self.connection.take().iter()).for_each(|connection| connection.close());
    }
}

/// What is left of the timeouts after connecting. Progress is counted from the call on, where it has a timeout of its own.
fn after_connecting(timeouts: Timeouts, elapsed: Micros) -> Timeouts {
    let total = timeouts.total.saturating_sub(elapsed);
    let idle = timeouts.idle.saturating_sub(elapsed);
    Timeouts { idle: if total > idle { timeouts.idle } else { idle }, total }
}

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}
