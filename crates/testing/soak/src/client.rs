//! Clients: some keep a connection, some open new ones, some leave in the middle. Each try is a request with an id of its own.

use crate::addresses::frontend_address;
use crate::demand::Demand;
use crate::layout::Layout;
use crate::ledger::{End, Ledger, Request, RequestId};
use crate::payload::{request_body, response_body};
use limeway_http1::conn::{Conn, Reply};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a client waits for an answer, as it states.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// The same for a bulk request.
const BULK_DEADLINE: Duration = Duration::from_millis(5_000);
/// One request in so many is a bulk request.
const BULK_RATIO: u32 = 4;
/// How much longer than it states it keeps its connection: the system ends a request in time.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// One body in so many comes in two parts, this long after each other, in milliseconds.
const SLOW_BODY: (u32, std::ops::Range<u64>) = (8, 100..1_500);
/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two requests of a client, in milliseconds.
const THINK_MS: std::ops::Range<u64> = 20..120;
/// The same of an eager client, which hardly ever lets its connection rest.
const EAGER_THINK_MS: std::ops::Range<u64> = 0..5;
/// One client in so many is eager.
const EAGER_RATIO: usize = 6;
/// One time in so many an eager client sends two requests at once on a kept connection.
const PAIR_RATIO: u32 = 3;
/// One request in so many that may run once has a long body, where there are some;
const LONG_BODY_RATIO: u32 = 2;
/// it is longer by so many bytes.
const LONG_BODY_BYTES: usize = 15 * 1024 * 1024;
/// How long the response to a request that was not taken whole is waited for.
const REFUSED_PATIENCE: Duration = Duration::from_millis(500);
/// When a client leaves in the middle of a request, in milliseconds.
const LEAVE_AFTER_MS: std::ops::Range<u64> = 0..400;

/// A client.
pub struct Client {
    net: u8,
    layout: Layout,
    ledger: Rc<Ledger>,
    demand: Rc<Demand>,
    rng: ChaCha8Rng,
    /// It keeps its connections.
    keeps: bool,
    /// It asks on at once.
    eager: bool,
    /// It is one of the tenant whose quota is judged.
    tight: bool,
    /// Some of its bodies are of many megabytes.
    long_bodies: bool,
    conn: Option<(usize, Conn)>,
}

impl Client {
    /// A client; every second keeps connections, every fourth is of the tenant `tight`.
    pub fn new(
        number: usize,
        net: u8,
        layout: Layout,
        seed: u64,
        ledger: Rc<Ledger>,
        demand: Rc<Demand>,
        long_bodies: bool,
    ) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64) << 32);
        Client {
            net,
            layout,
            ledger,
            demand,
            rng,
            keeps: number.is_multiple_of(2),
            eager: number.is_multiple_of(EAGER_RATIO),
            tight: number % 4 == 3,
            long_bodies,
            conn: None,
        }
    }

    /// Sends requests until no more are to begin.
    pub async fn run(mut self) {
        while !self.demand.stopped.get() {
            let think = Duration::from_millis(self.rng.random_range(if self.eager {
                EAGER_THINK_MS
            } else {
                THINK_MS
            }));
            sleep(if self.tight && self.demand.is_hot.get() { think / 8 } else { think }).await;
            self.request().await;
        }
    }

    /// What to ask for: a key and a route.
    fn draw_target(&mut self) -> (String, u32) {
        if self.tight {
            return ("key-tight".to_owned(), 0);
        }
        let mut pick = |from: &[String]| {
            let at = self.rng.random_range(0..from.len().max(1));
            from.get(at).cloned()
        };
        let revoked = pick(&self.demand.revoked.borrow());
        let key = pick(&self.demand.keys.borrow()).unwrap_or_default();
        let key = revoked.filter(|_| self.rng.random_ratio(1, 4)).unwrap_or(key);
        let routes = self.demand.routes.borrow();
        let route = match routes.len() {
            0 => 0,
            many => routes[self.rng.random_range(0..many)],
        };
        (key, if self.rng.random_ratio(1, 3) { route } else { 0 })
    }

    async fn request(&mut self) {
        let gateway = self.rng.random_range(self.layout.gateway_numbers());
        let kept = self.conn.take().filter(|(_, conn)| conn.quiet());
        let (gateway, conn, reused) = match kept {
            Some((gateway, conn)) => (gateway, Some(conn), true),
            None => (gateway, self.connect(gateway).await, false),
        };
        let (id, message, deadline) = self.new_request(gateway, reused);
        let Some(conn) = conn else { return self.ledger.ended(id, End::NotSent) };
        let leaves = self.demand.impatient.get() && self.rng.random_ratio(1, 2);
        if leaves {
            self.leave(id, conn, message).await;
        } else if reused && self.eager && self.rng.random_ratio(1, PAIR_RATIO) {
            let second = self.new_request(gateway, reused);
            self.wait_for_pair(gateway, conn, [(id, message, deadline), second]).await;
        } else {
            self.wait(id, gateway, conn, message, deadline + PATIENCE).await;
        }
    }

    /// Draws a request and notes it as sent now. Returns its id, its bytes, and the deadline that it states.
    fn new_request(&mut self, gateway: usize, reused: bool) -> (RequestId, Vec<u8>, Duration) {
        let (key, route) = self.draw_target();
        let idempotent = self.rng.random_ratio(3, 5);
        let deadline = if self.rng.random_ratio(1, BULK_RATIO) { BULK_DEADLINE } else { DEADLINE };
        let is_long = self.long_bodies && !idempotent && self.rng.random_ratio(1, LONG_BODY_RATIO);
        let padding = if is_long { LONG_BODY_BYTES } else { 0 };
        let id = self.ledger.next_request();
        let sent = self.ledger.now();
        let request = Request {
            idempotent,
            route,
            key,
            gateway,
            sent,
            deadline,
            end: None,
            reused,
            pipelined: false,
            padding,
        };
        let message = message(id, &request);
        self.ledger.seen.borrow_mut().requests.insert(id, request);
        (id, message, deadline)
    }

    /// Sends two requests at once, and waits for both answers, also if the first one says that the connection ends.
    async fn wait_for_pair(
        &mut self,
        gateway: usize,
        mut conn: Conn,
        pair: [(RequestId, Vec<u8>, Duration); 2],
    ) {
        // Copied as slices: byte by byte a long body holds up the whole soak.
        let bytes = [pair[0].1.as_slice(), pair[1].1.as_slice()].concat();
        // A connection that takes none ends both.
        let _ = conn.write(&bytes, &Cell::new(false)).await;
        let mut keep = true;
        // The time of the second one begins once the first one is answered.
        let mut begins = self.sent_time(&conn);
        for (id, _, deadline) in pair {
            self.begin_deadline(id, deadline, begins);
            match timeout(deadline + BULK_DEADLINE + PATIENCE, conn.read()).await {
                Ok(Ok(reply)) => {
                    keep &= reply.keep;
                    begins = self.arrival_time(&conn);
                    self.ledger.ended_at(id, response(id, &reply), begins);
                }
                Ok(Err(_)) => self.ledger.ended(id, End::Closed),
                Err(_) => self.ledger.ended(id, End::Silent),
            }
        }
        if self.keeps && keep {
            conn.rest();
            self.conn = Some((gateway, conn));
        }
    }

    /// The deadline that a request states begins at this time.
    fn begin_deadline(&self, id: RequestId, deadline: Duration, begins: Duration) {
        if let Some(request) = self.ledger.seen.borrow_mut().requests.get_mut(&id) {
            request.deadline = begins.saturating_sub(request.sent) + deadline;
        }
    }

    /// When the last bytes of an answer came, by the kernel: the soak itself may have stood still since.
    fn arrival_time(&self, conn: &Conn) -> Duration {
        let age = conn.info().map_or(Duration::ZERO, |info| info.since_received);
        self.ledger.now().saturating_sub(age)
    }

    /// When the last bytes of a request were sent, by the kernel.
    fn sent_time(&self, conn: &Conn) -> Duration {
        let age = conn.info().map_or(Duration::ZERO, |info| info.since_sent);
        self.ledger.now().saturating_sub(age)
    }

    async fn connect(&self, gateway: usize) -> Option<Conn> {
        let to = frontend_address(self.net, gateway);
        let mut conn = timeout(CONNECT_TIMEOUT, Conn::open(to, &Rc::default())).await.ok()?.ok()?;
        conn.patient(BULK_DEADLINE + PATIENCE);
        conn.strict();
        Some(conn)
    }

    /// Sends a request, and leaves before its answer; some send the first byte of a next request before.
    async fn leave(&mut self, id: RequestId, mut conn: Conn, mut message: Vec<u8>) {
        let pipelined = self.rng.random_ratio(1, 2);
        if pipelined {
            message.push(b'G');
        }
        let after = Duration::from_millis(self.rng.random_range(LEAVE_AFTER_MS));
        let _ = conn.write(&message, &Cell::new(false)).await;
        if let Some(request) = self.ledger.seen.borrow_mut().requests.get_mut(&id) {
            request.pipelined = pipelined;
        }
        match timeout(after, conn.read()).await {
            Ok(Ok(reply)) => {
                let arrived = self.arrival_time(&conn);
                self.ledger.ended_at(id, response(id, &reply), arrived);
            }
            Ok(Err(_)) => self.ledger.ended(id, End::Closed),
            Err(_) => {
                drop(conn);
                self.ledger.ended(id, End::GivenUp);
            }
        }
    }

    async fn wait(
        &mut self,
        id: RequestId,
        gateway: usize,
        mut conn: Conn,
        message: Vec<u8>,
        patience: Duration,
    ) {
        // A request that is refused may not be taken whole: its response is read all the same.
        let patience = if self.send(id, &mut conn, &message).await { patience } else { REFUSED_PATIENCE };
        match timeout(patience, conn.read()).await {
            Ok(Ok(reply)) => {
                let arrived = self.arrival_time(&conn);
                self.ledger.ended_at(id, response(id, &reply), arrived);
                if self.keeps && reply.keep {
                    conn.rest();
                    self.conn = Some((gateway, conn));
                }
            }
            Ok(Err(_)) => self.ledger.ended(id, End::Closed),
            Err(_) => self.ledger.ended(id, End::Silent),
        }
    }
}

impl Client {
    /// Sends a request; some of those with a body in two parts. False if the connection takes no more.
    async fn send(&mut self, id: RequestId, conn: &mut Conn, message: &[u8]) -> bool {
        let is_slow = message.starts_with(b"POST ") && self.rng.random_ratio(1, SLOW_BODY.0);
        let first = if is_slow { message.len() - request_body(id, 0).len() / 2 } else { message.len() };
        if conn.write(&message[..first], &Cell::new(false)).await.is_err() {
            return false;
        }
        if is_slow {
            sleep(Duration::from_millis(self.rng.random_range(SLOW_BODY.1))).await;
        }
        let is_taken = !is_slow || conn.write(&message[first..], &Cell::new(false)).await.is_ok();
        self.ledger.sent_at(id, self.sent_time(conn));
        is_taken
    }
}

/// The path of a route.
fn prefix(idempotent: bool, route: u32) -> String {
    match (route, idempotent) {
        (0, true) => "/read/".to_owned(),
        (0, false) => "/post/".to_owned(),
        (route, true) => format!("/read-{route}/"),
        (route, false) => format!("/post-{route}/"),
    }
}

fn message(id: RequestId, request: &Request) -> Vec<u8> {
    let path = prefix(request.idempotent, request.route);
    let (method, body) = match request.idempotent {
        true => ("GET", Vec::new()),
        false => ("POST", request_body(id, request.padding)),
    };
    let mut message = format!(
        "{method} {path}{id:016x}?q=%0d%0a HTTP/1.1\r\nHost: soak.example\r\nLimeway-Request-Id: {id:016x}\r\n\
         Limeway-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
        request.deadline.as_millis(),
        request.key,
        body.len()
    )
    .into_bytes();
    message.extend_from_slice(&body);
    message
}

/// Judges a whole response by itself.
fn response(id: RequestId, reply: &Reply) -> End {
    let has = |name| reply.head.header(&reply.bytes, name);
    let own_id = has("limeway-request-id") == Some(format!("{id:016x}").as_bytes());
    let body = String::from_utf8_lossy(&reply.body);
    let instance = body.split(' ').next().unwrap_or("");
    let is_own = own_id && response_body(instance, id) == body;
    let is_stamped = has("limeway-server-stamp").is_some();
    End::Response { status: reply.head.status, is_own, is_stamped }
}
