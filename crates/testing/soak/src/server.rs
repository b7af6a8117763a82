//! Stand-in servers: they work on requests, report themselves, and misbehave when they are told to.

use crate::addresses::zone_of;
use crate::control_caller::ControlCaller;
use crate::layout::SERVICE;
use crate::ledger::{Acknowledged, Execution, Ledger, RequestId, ServerInstance};
use crate::network::{server_address, server_link_address};
use crate::payload::{request_body, response_body};
use limeway_http1::http;
use limeway_http1::inbound::{Bounds, Inbound, Message};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Requests that a server works on at once.
const SLOTS: usize = 12;
/// Requests beyond those that it takes in.
const QUEUE: usize = 6;
/// Shortest and longest work on a request.
const WORK_MS: std::ops::Range<u64> = 5..60;
/// One request in so many takes this long.
const LONG_WORK: (u32, Duration) = (12, Duration::from_millis(1_200));
/// Work of at least so long is long.
const LONG: Duration = Duration::from_secs(1);
/// A request with at least so much time left may be a bulk request.
const BULK_DEADLINE: Duration = Duration::from_millis(2_500);
/// One bulk request in so many takes a time from this range, in milliseconds: a good part of a grace period.
const BULK_WORK: (u32, std::ops::Range<u64>) = (4, 1_500..4_500);
/// A slow server takes so many times as long.
const SLOW_FACTOR: u32 = 8;
/// Pause between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// One heartbeat in so many comes once more, late by a time from this range, in milliseconds.
const LATE_HEARTBEAT: (u32, std::ops::Range<u64>) = (10, 1_000..8_000);
/// What a request may be.
const BOUNDS: Bounds =
    Bounds { body: 16 << 20, read_timeout: Duration::from_secs(5), idle: Duration::from_secs(10) };
/// How a server treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// As it should.
    Sound,
    /// It takes several times as long.
    Slow,
    /// Some of its answers are cut short, belong to another request, or have bytes too many.
    Garbles,
    /// It takes no connections.
    Down,
}

/// What a server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Ready,
    Draining,
    /// It says nothing any more.
    Quiet,
}

/// A heartbeat as it is sent.
#[derive(Debug, Clone)]
pub struct HeartbeatCall {
    call: String,
    body: String,
}

/// A server.
pub struct Server {
    at: usize,
    net: u8,
    ledger: Rc<Ledger>,
    caller: ControlCaller,
    instances: Cell<u32>,
    calls: Cell<u64>,
    phase: Cell<Phase>,
    /// How it treats requests.
    pub manner: Cell<Manner>,
    working: Cell<usize>,
    instance: RefCell<String>,
    rng: RefCell<ChaCha8Rng>,
}

impl Server {
    /// Starts a server, which listens and reports itself for ever.
    ///
    /// # Errors
    /// Its address cannot be listened at.
    pub async fn start(at: usize, net: u8, seed: u64, ledger: Rc<Ledger>) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind(server_address(net, at)).await?;
        let server = Rc::new(Server {
            at,
            net,
            caller: ControlCaller::new(net, at),
            instances: Cell::new(0),
            calls: Cell::new(0),
            phase: Cell::new(Phase::Ready),
            manner: Cell::new(Manner::Sound),
            working: Cell::new(0),
            instance: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ at as u64)),
            ledger,
        });
        server.start_instance();
        tokio::task::spawn_local(server.clone().listen(listener));
        tokio::task::spawn_local(server.clone().report());
        Ok(server)
    }

    /// The id of its present instance.
    pub fn instance(&self) -> String {
        self.instance.borrow().clone()
    }

    /// It comes back as another instance.
    pub fn start_instance(&self) {
        self.instances.set(self.instances.get() + 1);
        let instance = format!("i-{}-{}", self.at, self.instances.get());
        let zone = zone_of(self.at).0.to_owned();
        let started =
            ServerInstance { server: self.at, instance: instance.clone(), begun: self.ledger.now() };
        let mut seen = self.ledger.seen.borrow_mut();
        seen.zones.insert(instance.clone(), zone);
        seen.server_instances.push(started);
        drop(seen);
        *self.instance.borrow_mut() = instance;
        self.calls.set(0);
        self.phase.set(Phase::Ready);
        self.manner.set(Manner::Sound);
    }

    fn heartbeat(&self, state: &str) -> String {
        self.calls.set(self.calls.get() + 1);
        format!(
            "{{\"target-service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"config-version\":\"v1\",\"capacity-slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold-left\":\"0ms\",\"call-count\":{}}}",
            server_link_address(self.net, self.at),
            zone_of(self.at).0,
            self.calls.get()
        )
    }

    async fn report(self: Rc<Self>) {
        loop {
            let state = match self.phase.get() {
                Phase::Ready if self.manner.get() != Manner::Down => Some("ready"),
                Phase::Draining => Some("draining"),
                _ => None,
            };
            if let Some(state) = state {
                let heartbeat = self.heartbeat_call(state);
                if self.rng.borrow_mut().random_ratio(1, LATE_HEARTBEAT.0) {
                    tokio::task::spawn_local(self.clone().repeat_late(heartbeat.clone()));
                }
                self.caller.call(&heartbeat.call, &heartbeat.body).await;
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// A heartbeat of its present instance.
    pub fn heartbeat_call(&self, state: &str) -> HeartbeatCall {
        HeartbeatCall {
            call: format!("instances.heartbeat&of={}", self.instance()),
            body: self.heartbeat(state),
        }
    }

    /// The server ends while a heartbeat of its present instance is under way: it comes seconds late.
    pub fn leave_heartbeat_under_way(self: &Rc<Self>) {
        let heartbeat = self.heartbeat_call("ready");
        tokio::task::spawn_local(self.clone().repeat_late(heartbeat));
    }

    /// A heartbeat comes seconds late.
    async fn repeat_late(self: Rc<Self>, heartbeat: HeartbeatCall) {
        let late = Duration::from_millis(self.rng.borrow_mut().random_range(LATE_HEARTBEAT.1));
        self.send_late(heartbeat, late).await;
    }

    /// A heartbeat comes so late: the instance may have left meanwhile, and all processes may have been killed.
    pub async fn send_late(self: Rc<Self>, heartbeat: HeartbeatCall, late: Duration) {
        sleep(late).await;
        self.caller.call(&heartbeat.call, &heartbeat.body).await;
    }

    /// It drains: says so until that is acknowledged.
    pub async fn drain(&self) {
        self.phase.set(Phase::Draining);
        let instance = self.instance();
        let HeartbeatCall { call, body } = self.heartbeat_call("draining");
        if self.caller.until_clear(&call, &body).await == Some(200) {
            self.ledger.acknowledged(Acknowledged::Leaving(instance));
        }
    }

    /// It deregisters, without having drained or after it.
    pub async fn deregister(&self) {
        self.phase.set(Phase::Quiet);
        let instance = self.instance();
        if self.caller.until_clear(&format!("instances.deregister&of={instance}"), "").await == Some(200) {
            self.ledger.acknowledged(Acknowledged::Leaving(instance));
        }
    }

    async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            if self.manner.get() == Manner::Down {
                continue;
            }
            tokio::task::spawn_local(self.clone().serve(Inbound::new(stream)));
        }
    }

    async fn serve(self: Rc<Self>, mut inbound: Inbound) {
        while let Ok(message) = inbound.read(BOUNDS).await {
            let Some(answer) = self.answer(&message, &mut inbound).await else { return };
            if self.manner.get() == Manner::Down || !inbound.write(&answer).await || !message.head.keep_alive
            {
                return;
            }
        }
    }

    /// The answer to a request; None to end the connection.
    async fn answer(&self, message: &Message, inbound: &mut Inbound) -> Option<Vec<u8>> {
        let value = |name| message.head.header(&message.bytes, name).unwrap_or(b"");
        let id = String::from_utf8_lossy(value("limeway-request-id")).into_owned();
        let mut headers = format!("Limeway-Request-Id: {id}\r\n").into_bytes();
        let mut out = Vec::new();
        let instance = self.instance();
        if value("limeway-expect-instance") != instance.as_bytes() {
            http::write_answer(&mut out, 421, &headers, false, b"");
            return Some(out);
        }
        if self.working.get() >= SLOTS + QUEUE {
            headers.extend_from_slice(b"Limeway-Not-Executed: 1\r\n");
            http::write_answer(&mut out, 503, &headers, false, b"");
            return Some(out);
        }
        let number = u64::from_str_radix(&id, 16).unwrap_or(0);
        let left = String::from_utf8_lossy(value("limeway-deadline-ms")).parse().unwrap_or(0);
        let work = self.draw_work(Duration::from_millis(left));
        let execution = self.begin(number, &instance, message, work);
        self.working.set(self.working.get() + 1);
        let finished = tokio::select! {
            () = sleep(work) => true,
            () = inbound.gone() => false,
        };
        self.working.set(self.working.get() - 1);
        self.end(execution, !finished);
        if !finished {
            return None;
        }
        headers.extend_from_slice(b"Limeway-Server-Stamp: soak\r\n");
        http::write_answer(&mut out, 200, &headers, false, response_body(&instance, number).as_bytes());
        if self.manner.get() == Manner::Garbles {
            garble(&mut out, &mut self.rng.borrow_mut());
        }
        Some(out)
    }

    /// How long the work on a request with so much time left takes.
    fn draw_work(&self, left: Duration) -> Duration {
        let mut rng = self.rng.borrow_mut();
        if left >= BULK_DEADLINE && rng.random_ratio(1, BULK_WORK.0) {
            return Duration::from_millis(rng.random_range(BULK_WORK.1));
        }
        if rng.random_ratio(1, LONG_WORK.0) {
            return LONG_WORK.1;
        }
        let work = Duration::from_millis(rng.random_range(WORK_MS));
        match self.manner.get() {
            Manner::Slow => work * SLOW_FACTOR,
            _ => work,
        }
    }

    fn begin(&self, number: RequestId, instance: &str, message: &Message, work: Duration) -> usize {
        let begun = self.ledger.now();
        let mut seen = self.ledger.seen.borrow_mut();
        let request = if seen.requests.contains_key(&number) { number } else { 0 };
        let padding = seen.requests.get(&number).map_or(0, |request| request.padding);
        let is_unchanged = is_unchanged(number, padding, message);
        seen.executions.push(Execution {
            request,
            server: instance.to_owned(),
            begun,
            ended: None,
            broken_off: false,
            is_long: work >= LONG,
            is_unchanged,
        });
        seen.executions.len() - 1
    }

    fn end(&self, execution: usize, broken_off: bool) {
        let now = self.ledger.now();
        if let Some(execution) = self.ledger.seen.borrow_mut().executions.get_mut(execution) {
            (execution.ended, execution.broken_off) = (Some(now), broken_off);
        }
    }
}

/// Whether a request is as its client sent it.
fn is_unchanged(number: RequestId, padding: usize, message: &Message) -> bool {
    let (method, target) = message.line();
    let names_itself = target.ends_with(&format!("/{number:016x}?q=%0d%0a"));
    let has_body = match method {
        "POST" => message.body == request_body(number, padding),
        _ => message.body.is_empty(),
    };
    let tenant = message.head.header(&message.bytes, "limeway-tenant").unwrap_or(b"");
    names_itself && has_body && (tenant == b"ample" || tenant == b"tight")
}

/// Spoils a whole answer in one of three ways.
fn garble(answer: &mut Vec<u8>, rng: &mut ChaCha8Rng) {
    match rng.random_range(0..4) {
        0 => answer.truncate(answer.len() / 2),
        1 => answer.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        2 => answer.splice(0..4, *b"\0\0\0\0").for_each(drop),
        _ => {}
    }
}
