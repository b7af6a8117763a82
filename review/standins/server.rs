//! Stand-in servers: sound ones, which keep to the pages.

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::system::{random, System, ZONES};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PORT: u16 = 8520;
/// Requests that wait for a slot, at most.
const QUEUE: usize = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that a server has begun to work on.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub tenant: String,
}

pub struct Server {
    pub id: String,
    pub zone: usize,
    service: String,
    address: SocketAddr,
    slots: usize,
    work: Duration,
    free: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    calls: AtomicU64,
    stopped: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server, and its reports to the system.
    pub fn start(
        system: &Arc<System>,
        at: usize,
        service: &str,
        slots: usize,
        work: Duration,
    ) -> std::io::Result<Arc<Self>> {
        let (a, b) = system.network;
        let address = SocketAddr::from((Ipv4Addr::new(127, a, b + 1, at as u8 + 1), PORT));
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Server {
            id: format!("i-{:08x}{at:02x}", random() as u32),
            zone: at % ZONES.len(),
            service: service.to_owned(),
            address,
            slots,
            work,
            free: Mutex::new(slots),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            calls: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            runs: Mutex::default(),
            record: system.record.clone(),
        });
        let (accepting, reporting, system) = (server.clone(), server.clone(), system.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        thread::spawn(move || {
            while !reporting.stopped.load(Ordering::Relaxed) {
                reporting.report(&system);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    /// No more reports.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn report(&self, system: &System) {
        let count = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"target-service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config-version\":\"v1\",\"capacity-slots\":{},\"state\":\"ready\",\"cold-left\":\"0ms\",\"call-count\":{count}}}",
            self.service, self.address, ZONES[self.zone].0, self.slots
        );
        let line = format!("POST /-/rpc?call=instances.heartbeat&of={}", self.id);
        let headers = [("Content-Type", "application/json")];
        for core in system.core() {
            let answer = crate::http::call(core.control(), &line, &headers, body.as_bytes(), CALL_TIMEOUT);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read(false) {
            let id = request.header("limeway-request-id").to_owned();
            let answer = self.answer(&request, &id);
            if connection.write(answer.as_bytes()).is_err() {
                self.record.note(&format!("server {} cannot answer {id}: its connection has ended", self.id));
                return;
            }
        }
    }

    fn answer(&self, request: &Message, id: &str) -> String {
        if request.header("limeway-expect-instance") != self.id {
            return format!("HTTP/1.1 421 Misdirected Request\r\nLimeway-Request-Id: {id}\r\nLimeway-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        if !self.take_slot() {
            return format!("HTTP/1.1 503 Service Unavailable\r\nLimeway-Request-Id: {id}\r\nLimeway-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        let tenant = request.header("limeway-tenant").to_owned();
        self.record.note(&format!("server {} runs {id} of {tenant}, {} bytes", self.id, request.body_bytes));
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(Run { at: Instant::now(), id: id.to_owned(), tenant });
        }
        thread::sleep(self.work);
        if let Ok(mut free) = self.free.lock() {
            *free += 1;
        }
        self.freed.notify_one();
        let body = format!("{} has run {id}", self.id);
        format!("HTTP/1.1 200 OK\r\nLimeway-Request-Id: {id}\r\nLimeway-Server-Stamp: stamp-{}\r\nContent-Length: {}\r\n\r\n{body}", self.id, body.len())
    }

    /// Waits for a slot; false if the queue is full.
    fn take_slot(&self) -> bool {
        let Ok(mut free) = self.free.lock() else { return false };
        if *free == 0 {
            if self.waiting.load(Ordering::Relaxed) >= QUEUE {
                return false;
            }
            self.waiting.fetch_add(1, Ordering::Relaxed);
            while *free == 0 {
                match self.freed.wait(free) {
                    Ok(guard) => free = guard,
                    Err(_) => return false,
                }
            }
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        *free -= 1;
        true
    }
}
