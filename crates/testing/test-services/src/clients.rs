//! Clients and their front: open-loop arrivals that never wait for answers, retries through another limiter, advice
//! followed in part, connections kept and used again.

use crate::book::{digest, lock, Book, Sent};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use limeway_checker::ledger::{Left, Record};
use limeway_scenario::file::Effect;
use limeway_scenario::{Arrival, Day, Micros};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Longest body of an answer that a client reads.
const MAX_BODY: usize = 2 * 1024 * 1024;
/// Time beyond its patience for which a client still listens, so that a late answer is seen as one.
const LISTEN_ON: Duration = Duration::from_millis(150);
/// Time that a connection is given to be ready for the next request after an answer.
const MAX_READY: Duration = Duration::from_millis(100);
/// Time for one call of `/_health`.
const MAX_HEALTH: Duration = Duration::from_millis(500);
/// Tries of one arrival at most: its id leaves four bits for them.
pub const MAX_TRIES: usize = 16;

/// How the front sees a limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Seen {
    /// Not in service, as far as the front knows.
    Down,
    /// In service.
    #[default]
    Up,
    /// About to end: connections that are open are used, no new ones are made.
    Closing,
}

/// A limiter, as clients reach it.
#[derive(Debug)]
pub struct Door {
    address: SocketAddr,
    idle: Mutex<Vec<Line>>,
    open: Arc<AtomicUsize>,
    most: usize,
    seen: Mutex<Seen>,
}

/// A connection to a limiter.
#[derive(Debug)]
struct Line {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    fresh: bool,
}

impl Drop for Line {
    fn drop(&mut self) {
        // Whoever gives a request up closes its connection.
        self.task.abort();
    }
}

struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Door {
    fn new(address: SocketAddr, most: usize) -> Self {
        let (idle, open, seen) = (Mutex::default(), Arc::default(), Mutex::new(Seen::Down));
        Door { address, idle, open, most, seen }
    }

    fn seen(&self) -> Seen {
        *lock(&self.seen)
    }

    /// A connection that is open, or a new one.
    async fn line(&self) -> Option<Line> {
        loop {
            let line = lock(&self.idle).pop();
            match line {
                Some(line) if line.sender.is_ready() => return Some(line),
                Some(_) => {}
                None if self.seen() == Seen::Closing => return None,
                None => return self.connect().await,
            }
        }
    }

    async fn connect(&self) -> Option<Line> {
        // Clients hold a part of a limiter's descriptors at most.
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        let open = Open(self.open.clone());
        if before >= self.most {
            return None;
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
            drop(open);
        });
        Some(Line { sender, task, fresh: true })
    }

    async fn give_back(&self, mut line: Line) {
        line.fresh = false;
        if let Ok(Ok(())) = timeout(MAX_READY, line.sender.ready()).await {
            lock(&self.idle).push(line);
        }
    }
}

/// How a try ended.
enum End {
    Served,
    Refused(Option<Micros>),
    Failed,
    Unreached,
    Early,
}

/// All clients with their front.
#[derive(Debug)]
pub struct Clients {
    book: Arc<Book>,
    day: Arc<Day>,
    doors: Vec<Door>,
    lateness: Mutex<Vec<u32>>,
    busy: AtomicUsize,
}

/// Counts a client as busy for as long as it lives.
struct Busy(Arc<Clients>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Clients {
    /// Clients of a day, in front of limiters at these addresses.
    pub fn new(book: Arc<Book>, day: Arc<Day>, limiters: &[SocketAddr]) -> Arc<Self> {
        let most = (day.scenario.limits.sockets / 3) as usize;
        let doors = limiters.iter().map(|a| Door::new(*a, most.max(1))).collect();
        Arc::new(Clients { book, day, doors, lateness: Mutex::default(), busy: AtomicUsize::new(0) })
    }

    /// Tells the front how a limiter is.
    pub fn see(&self, limiter: u32, seen: Seen) {
        if let Some(door) = self.doors.get(limiter as usize) {
            *lock(&door.seen) = seen;
            if seen == Seen::Down {
                lock(&door.idle).clear();
            }
        }
    }

    /// Whether a limiter answers `/_health` with 200.
    pub async fn healthy(&self, limiter: u32) -> bool {
        let Some(door) = self.doors.get(limiter as usize) else { return false };
        let ask = async {
            let stream = TcpStream::connect(door.address).await.ok()?;
            let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::spawn(async move {
                let _ = connection.await;
            });
            let request =
                Request::get("/_health").header("Host", "limiter").body(Full::<Bytes>::default()).ok()?;
            let answer = sender.send_request(request).await.ok()?;
            task.abort();
            Some(answer.status().as_u16() == 200)
        };
        timeout(MAX_HEALTH, ask).await.ok().flatten().unwrap_or(false)
    }

    /// Clients that have not come to an end.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Lateness of the sends so far against the schedule, in microseconds, sorted.
    pub fn lateness(&self) -> Vec<u32> {
        let mut all = lock(&self.lateness).clone();
        all.sort_unstable();
        all
    }

    /// Sends all arrivals when they are due, counted from `start` by the book's clock; the last clients may still be
    /// busy when it ends.
    pub async fn run(self: Arc<Self>, start: Micros) {
        for at in 0..self.day.arrivals.len() {
            let due = start + self.day.arrivals[at].at;
            if due > self.book.now() {
                self.book.clock.until(due).await;
            }
            self.busy.fetch_add(1, Ordering::Relaxed);
            let busy = Busy(self.clone());
            let clients = self.clone();
            tokio::spawn(async move {
                clients.arrival(&clients.day.arrivals[at], due).await;
                drop(busy);
            });
        }
    }

    async fn arrival(&self, arrival: &Arrival, due: Micros) {
        let late = self.book.now().saturating_sub(due);
        lock(&self.lateness).push(u32::try_from(late).unwrap_or(u32::MAX));
        let class = &self.day.scenario.class[arrival.class];
        let deadline = due + (class.deadline_seconds * 1e6) as Micros;
        let key_us = (self.day.scenario.rules.key_seconds * 1e6) as Micros;
        for number in 0..arrival.doors.len().min(MAX_TRIES) {
            let now = self.book.now();
            let patience = arrival.patience_us[number].min(deadline.saturating_sub(now));
            let late_key = class.effect == Effect::Keyed && now + patience > due + key_us;
            if number > 0 && (patience < 1_000 || late_key) {
                return;
            }
            let end = self.attempt(arrival, number, due, patience.max(1_000)).await;
            let again = match end {
                End::Served | End::Early => return,
                // An unsafe try that may have run is not the client's to repeat.
                End::Failed if class.effect == Effect::Unsafe => return,
                End::Failed | End::Unreached => None,
                End::Refused(advice) => advice,
            };
            let Some(backoff) = arrival.backoff_us.get(number) else { return };
            let most = (self.day.scenario.clients.advice_most_ms * 1e3) as Micros;
            let wait = match again.filter(|_| arrival.honours) {
                Some(advice) => (*backoff).max(advice.min(most)),
                None => *backoff,
            };
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }

    /// The limiter to which the front sends a try: the one that was drawn, or another of the set that is up.
    fn route(&self, arrival: &Arrival, number: usize) -> u32 {
        let (wanted, customer) = (arrival.doors[number], &self.day.customers[arrival.customer]);
        let limiters = self.doors.len() as u32;
        let set = (0..customer.spread).map(|n| (customer.first + n) % limiters);
        let up = |l: &u32| self.doors[*l as usize].seen() == Seen::Up;
        let usable = |l: &u32| {
            let door = &self.doors[*l as usize];
            door.seen() == Seen::Up || door.seen() == Seen::Closing && !lock(&door.idle).is_empty()
        };
        if usable(&wanted) {
            return wanted;
        }
        set.into_iter().find(up).or_else(|| (0..limiters).find(up)).unwrap_or(wanted)
    }

    async fn attempt(&self, arrival: &Arrival, number: usize, due: Micros, patience: Micros) -> End {
        let (id, limiter) = (arrival.id | number as u64, self.route(arrival, number));
        let door = &self.doors[limiter as usize];
        // What the client states is whole milliseconds; so long it waits.
        let patience = patience / 1_000 * 1_000;
        let request = self.request(arrival, id, number, patience);
        let line = timeout(Duration::from_micros(patience), door.line()).await.ok().flatten();
        let customer = &self.day.customers[arrival.customer];
        let t = self.book.now();
        self.book.add(Record::Arrive {
            t,
            due,
            id,
            first: arrival.id,
            class: arrival.class,
            plan: customer.plan,
            customer: customer.number,
            units: f64::from(arrival.units),
            limiter,
            patience_us: patience,
            work_us: arrival.work_us,
        });
        let left = |why| self.book.add(Record::Left { t: self.book.now(), id, why });
        let Some(line) = line else {
            left(Left::Unreached);
            return End::Unreached;
        };
        let end = Instant::from_std(self.book.clock.instant(t + patience)) + LISTEN_ON;
        let early = arrival.early_us.filter(|_| number == 0).map(|after| t + after.min(patience));
        let early = early.map(|at| Instant::from_std(self.book.clock.instant(at)));
        let gone = async {
            match early {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            ended = timeout_at(end, self.exchange(door, line, request, id)) => match ended {
                Ok(Ok(end)) => end,
                Ok(Err(why)) => {
                    left(why);
                    if why == Left::Unreached { End::Unreached } else { End::Failed }
                }
                Err(_) => {
                    left(Left::Patience);
                    End::Failed
                }
            },
            () = gone => {
                left(Left::Early);
                End::Early
            }
        }
    }

    /// Sends a request and reads its answer. One that crosses the closing of a kept connection goes once more on a new
    /// one.
    async fn exchange(
        &self,
        door: &Door,
        line: Line,
        request: Request<Full<Bytes>>,
        id: u64,
    ) -> Result<End, Left> {
        let (mut line, again) = (line, request.clone());
        let fresh = line.fresh;
        let answer = match line.sender.send_request(request).await {
            Ok(answer) => answer,
            Err(_) if !fresh => {
                line = door.connect().await.ok_or(Left::Unreached)?;
                line.sender.send_request(again).await.map_err(broken)?
            }
            Err(e) => return Err(broken(e)),
        };
        let status = answer.status().as_u16();
        let advice = answer.headers().get("Retry-After").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let body = Limited::new(answer.into_body(), MAX_BODY).collect().await.map_err(|_| Left::Broken)?;
        let sound = body.to_bytes() == self.book.answer_body(id).as_bytes();
        self.book.add(Record::Answer { t: self.book.now(), id, status, sound });
        door.give_back(line).await;
        Ok(match status {
            200 => End::Served,
            429 | 503 => End::Refused(advice.filter(|a| *a >= 0.0).map(|a| (a * 1e6) as Micros)),
            _ => End::Failed,
        })
    }

    fn request(&self, arrival: &Arrival, id: u64, number: usize, patience: Micros) -> Request<Full<Bytes>> {
        let (s, customer) = (&self.day.scenario, &self.day.customers[arrival.customer]);
        let class = &s.class[arrival.class];
        let method = if class.effect == Effect::Safe { "GET" } else { "POST" };
        let target = format!("/{}/{:016x}", class.name, customer.number);
        let key = (class.effect == Effect::Keyed).then(|| format!("{:032x}", arrival.key));
        // A body that is its own for each first try, and the same for its retries.
        let body: Vec<u8> = (0..arrival.body)
            .map(|n| b"0123456789abcdef"[(digest(5, u64::from(n), &arrival.key.to_le_bytes()) & 15) as usize])
            .collect();
        self.book.sending(
            id,
            Sent {
                method,
                target: target.clone(),
                key: key.clone(),
                digest: digest(0, 0, &body),
                work_us: arrival.work_us,
            },
        );
        let info = format!("units={},spread={},first={}", arrival.units, customer.spread, customer.first);
        let mut request = Request::builder()
            .method(method)
            .uri(target)
            .header("Host", "nodes")
            .header("Req-Id", format!("{id:016x}"))
            .header("Req-Kind", &class.name)
            .header("Plan", &s.plan[customer.plan].name)
            .header("Req-Deadline-Ms", (patience / 1_000).to_string())
            .header("Quota-Info", info);
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        if number > 0 {
            request = request.header("Req-Retry", "1");
        }
        // All parts were checked with the scenario.
        request.body(Full::new(Bytes::from(body))).unwrap_or_default()
    }
}

/// What a request that failed on a new connection means.
fn broken(e: hyper::Error) -> Left {
    if e.is_canceled() {
        Left::Unreached
    } else if e.is_incomplete_message() {
        Left::ClosedNew
    } else {
        Left::Broken
    }
}
