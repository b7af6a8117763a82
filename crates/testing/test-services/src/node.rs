//! A call node: HTTP/1.1 in front of an engine, keys remembered for a while.

use crate::book::{digest, lock, Book};
use crate::engine::{Engine, Pressure};
use crate::link::Link;
use crate::serve::{self, Asked, Hold};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use limeway_checker::ledger::{Fate, Record};
use limeway_scenario::{Micros, NodeSpec};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{oneshot, watch, Notify};

/// Longest body that a node reads, in bytes.
const MAX_BODY: usize = 64 * 1024;
/// Keys that a node remembers at most: beyond it the oldest go, as they would with the time.
const MAX_KEYS: usize = 1_000_000;

/// What is the same for all nodes.
#[derive(Debug, Clone)]
pub struct Common {
    /// The ledger.
    pub book: Arc<Book>,
    /// Repeats of a key are dropped for so long.
    pub key_us: Micros,
    /// The rule on cold nodes: multiple and window.
    pub fall: (f64, Micros),
    /// How uneven the work of two attempts of one try is.
    pub noise: f64,
    /// Keys seen by all nodes together: the group of all of them drops repeats.
    pub keys: Arc<Keys>,
}

/// Keys that were seen.
#[derive(Debug, Default)]
pub struct Keys(Mutex<Seen>);

#[derive(Debug, Default)]
struct Seen {
    at: HashMap<String, Micros>,
    /// The same by time; a key that was forgotten may stand here still.
    order: VecDeque<(Micros, String)>,
}

impl Keys {
    /// Whether a key has been seen within its life.
    fn seen(&self, key: &str, now: Micros, life: Micros) -> bool {
        lock(&self.0).at.get(key).is_some_and(|t| t + life >= now)
    }

    /// Remembers a key.
    fn remember(&self, key: &str, now: Micros, life: Micros) {
        let mut seen = lock(&self.0);
        let seen = &mut *seen;
        while seen.order.front().is_some_and(|(t, _)| t + life < now) || seen.order.len() >= MAX_KEYS {
            let Some((t, key)) = seen.order.pop_front() else { break };
            if seen.at.get(&key) == Some(&t) {
                seen.at.remove(&key);
            }
        }
        seen.at.insert(key.to_owned(), now);
        seen.order.push_back((now, key.to_owned()));
    }

    /// Forgets a key whose request did not run to its end.
    fn forget(&self, key: &str) {
        lock(&self.0).at.remove(key);
    }
}

/// One life of a node, from its start to its end.
#[derive(Debug)]
pub struct Node {
    /// Its number in the ledger.
    pub number: u32,
    /// Its room.
    pub room: u32,
    /// What it is.
    pub spec: NodeSpec,
    /// When it started.
    pub start: Micros,
    /// Where each limiter reaches it.
    pub addresses: Vec<SocketAddr>,
    common: Common,
    state: Mutex<State>,
    jobs: AtomicU64,
    draining: watch::Sender<bool>,
    end: watch::Sender<bool>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    engine: Engine,
    pressure: Pressure,
    done: HashMap<u64, oneshot::Sender<()>>,
    over: bool,
}

/// A job that is cancelled when nobody waits for it any more.
struct Job {
    node: Arc<Node>,
    job: u64,
    /// Its key, until it has run.
    key: Option<String>,
}

impl Drop for Job {
    fn drop(&mut self) {
        let now = self.node.common.book.now();
        let mut state = lock(&self.node.state);
        if state.done.remove(&self.job).is_some() {
            state.engine.cancel(now, self.job);
            if let Some(key) = &self.key {
                self.node.common.keys.forget(key);
            }
        }
    }
}

/// Writes down how an attempt ended: cut, unless something else is said first.
struct Ending<'a> {
    book: &'a Book,
    n: u64,
    fate: Fate,
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        self.book.add(Record::AttemptEnd { t: self.book.now(), n: self.n, fate: self.fate });
    }
}

fn answer(status: StatusCode, declined: bool, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    if declined {
        answer.headers_mut().insert("Srv-Declined", hyper::header::HeaderValue::from_static("1"));
    }
    answer
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

impl Node {
    /// Starts a node at one address for each limiter. `cold` if it has just been put up; `works_on` if work goes on
    /// when its request is given up.
    ///
    /// # Errors
    /// An address cannot be listened at.
    pub fn start(
        common: Common,
        (number, spec): (u32, NodeSpec),
        cold: bool,
        at: &[(SocketAddr, Link, bool)],
    ) -> io::Result<Arc<Self>> {
        let book = common.book.clone();
        let start = book.now();
        let engine = Engine::new(spec.clone(), start, cold);
        let pressure = Pressure::new(common.fall.0, common.fall.1);
        let mut listeners = Vec::new();
        for (address, ..) in at {
            listeners.push(serve::listen(*address)?);
        }
        let addresses = listeners.iter().map(|l| l.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let end = watch::Sender::new(false);
        let node = Arc::new(Node {
            number,
            room: spec.room,
            start,
            addresses,
            state: Mutex::new(State { engine, pressure, done: HashMap::new(), over: false }),
            jobs: AtomicU64::new(0),
            draining: watch::Sender::new(false),
            changed: Notify::new(),
            end,
            common,
            spec,
        });
        let (cold_from, cold_us) = if cold { (node.spec.cold_from, node.spec.cold_us) } else { (1.0, 0) };
        book.add(Record::NodeStart {
            t: start,
            node: number,
            room: node.room,
            capacity: node.spec.capacity(),
            cold_from,
            cold_us,
        });
        let open = Arc::new(AtomicUsize::new(0));
        for (limiter, (listener, (_, link, cross))) in (0..).zip(listeners.into_iter().zip(at)) {
            let hold = Hold {
                most: node.spec.connections,
                open: open.clone(),
                idle: Duration::from_micros(node.spec.idle_us),
                end: node.end.subscribe(),
            };
            let (clock, shaken, asked, cross) = (book.clock, node.clone(), node.clone(), *cross);
            let opened = move || shaken.handshake();
            let answer = move |a: Asked| asked.clone().serve(limiter, cross, a);
            tokio::spawn(serve::serve(listener, link.clone(), hold, move || clock.now(), opened, answer));
        }
        tokio::spawn(node.clone().work());
        Ok(node)
    }

    /// Finishes jobs as they are due, until the node ends.
    async fn work(self: Arc<Self>) {
        let mut end = self.end.subscribe();
        loop {
            let now = self.common.book.now();
            let next = {
                let mut state = lock(&self.state);
                for job in state.engine.finished(now) {
                    if let Some(done) = state.done.remove(&job) {
                        let _ = done.send(());
                    }
                }
                state.engine.next()
            };
            let next = next.unwrap_or(now + 1_000_000);
            tokio::select! {
                () = serve::until(&mut end, |end| *end) => return,
                () = self.changed.notified() => {}
                () = self.common.book.clock.until(next) => {}
            }
        }
    }

    /// A new connection costs work.
    fn handshake(&self) {
        let work = self.spec.handshake_us;
        if work > 0 {
            let job = self.jobs.fetch_add(1, Ordering::Relaxed);
            lock(&self.state).engine.submit(self.common.book.now(), job, work);
            self.changed.notify_one();
        }
    }

    async fn serve(self: Arc<Self>, limiter: u32, cross: bool, asked: Asked) -> Response<Full<Bytes>> {
        let book = &self.common.book;
        let (head, body) = asked.request.into_parts();
        let begun = asked.traffic.begun();
        let body = match Limited::new(body, MAX_BODY).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return answer(StatusCode::BAD_REQUEST, false, String::new()),
        };
        let Some(id) = text(&head.headers, "req-id") else {
            return answer(StatusCode::NOT_FOUND, false, String::new());
        };
        let id = u64::from_str_radix(id, 16).unwrap_or(u64::MAX);
        let sent = book.sent(id);
        let key = text(&head.headers, "idempotency-key").map(str::to_owned);
        let target = head.uri.path_and_query().map(|t| t.as_str());
        let sound = sent.as_ref().is_some_and(|s| {
            head.method.as_str() == s.method
                && target == Some(s.target.as_str())
                && key == s.key
                && digest(0, 0, &body) == s.digest
        });
        let n = book.attempt();
        let asked_work = sent.as_ref().map_or(0, |s| s.work_us);
        let work_us = (asked_work as f64 * self.noise(n)) as Micros;
        let t = book.now();
        let begun = begun.unwrap_or(t).min(t);
        book.add(Record::Attempt { t, begun, n, id, node: self.number, limiter, work_us, sound, cross });
        let mut ending = Ending { book, n, fate: Fate::Cut };
        if sent.is_none() {
            ending.fate = Fate::Declined;
            return answer(StatusCode::BAD_REQUEST, false, String::new());
        }
        let job = self.jobs.fetch_add(1, Ordering::Relaxed);
        let (keys, life) = (&self.common.keys, self.common.key_us);
        let repeat = key.as_deref().is_some_and(|key| keys.seen(key, t, life));
        let Some(done) = self.submit(job, work_us, repeat) else {
            ending.fate = Fate::Declined;
            return answer(StatusCode::SERVICE_UNAVAILABLE, true, String::new());
        };
        if !repeat {
            if let Some(key) = &key {
                keys.remember(key, t, life);
            }
            let mut held = Job { node: self.clone(), job, key };
            if done.await.is_err() {
                // The node has ended: it says no more, and its connections break.
                std::future::pending::<()>().await;
            }
            let key = held.key.take();
            if self.fails(n) {
                key.iter().for_each(|key| keys.forget(key));
                ending.fate = Fate::Error;
                return answer(StatusCode::INTERNAL_SERVER_ERROR, false, String::new());
            }
        }
        ending.fate = if repeat { Fate::Repeat } else { Fate::Served };
        answer(StatusCode::OK, false, book.answer_body(id))
    }

    /// Takes work; nothing where it is turned away unseen. A repeat is no work.
    fn submit(&self, job: u64, work: Micros, repeat: bool) -> Option<oneshot::Receiver<()>> {
        let now = self.common.book.now();
        let mut state = lock(&self.state);
        let state = &mut *state;
        if state.pressure.push(&state.engine, now, work) && !state.over {
            state.over = true;
            self.common.book.add(Record::NodeEnd { t: now, node: self.number, fell: true });
            self.end.send_replace(true);
        }
        let (tell, done) = oneshot::channel();
        if *self.draining.borrow() {
            return None;
        }
        if !repeat {
            if !state.engine.submit(now, job, work) {
                return None;
            }
            state.done.insert(job, tell);
            self.changed.notify_one();
        }
        Some(done)
    }

    /// Factor on the work of an attempt: uneven, with mean 1, the same for the same number.
    fn noise(&self, n: u64) -> f64 {
        let part = digest(1, n, b"noise") as f64 / u64::MAX as f64;
        1.0 + self.common.noise * (2.0 * part - 1.0) * 3f64.sqrt()
    }

    fn fails(&self, n: u64) -> bool {
        (digest(2, n, b"error") as f64 / u64::MAX as f64) < self.spec.error_share
    }

    /// Work that it holds: requests, and connections that are being opened where that costs it something.
    pub fn held(&self) -> usize {
        lock(&self.state).engine.held()
    }

    /// Turns new requests away and finishes what it has; or takes new ones again.
    pub fn drain(&self, drain: bool) {
        self.draining.send_replace(drain);
    }

    /// Makes it so many times slower; 1 for as it was.
    pub fn slow(&self, times: f64) {
        lock(&self.state).engine.set_slow(self.common.book.now(), times);
        self.changed.notify_one();
    }

    /// Its process ends at once: connections break, new ones are refused.
    pub fn kill(&self) {
        let mut state = lock(&self.state);
        if !state.over {
            state.over = true;
            self.common.book.add(Record::NodeEnd {
                t: self.common.book.now(),
                node: self.number,
                fell: false,
            });
            self.end.send_replace(true);
        }
    }

    /// Whether it has ended.
    pub fn over(&self) -> bool {
        *self.end.borrow()
    }
}
