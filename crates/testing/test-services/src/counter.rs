//! The counter: named numbers on a few parts, each with a line, and what can go wrong with it.

use crate::book::{digest, lock, Book};
use crate::link::Link;
use crate::serve::{self, Asked, Hold};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use limeway_checker::ledger::{Counted, Record};
use limeway_scenario::day::Services;
use limeway_scenario::Micros;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Connections of one limiter at most, as the platform's.
const MAX_CONNECTIONS: usize = 32;
/// Idle connections are closed after so long.
const IDLE: Duration = Duration::from_secs(10);
/// Longest life of a name.
const MAX_LIFETIME_MS: u64 = 60_000;
/// Names that are kept at most: expired ones go first.
const MAX_NAMES: usize = 1_000_000;

/// How the counter is.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Mode {
    /// Well.
    #[default]
    Well,
    /// Takes no connections, and breaks those that are open.
    Refusing,
    /// Takes calls, adds nothing and says nothing.
    Silent,
    /// So many times slower.
    Slow(f64),
}

#[derive(Debug, Default)]
struct State {
    /// Totals of the counter, and of another one that limiters may be moved to.
    totals: [HashMap<String, (f64, Micros)>; 2],
    /// Limiters that talk to the other one.
    moved: BTreeSet<u32>,
    /// When each part is free.
    free_at: Vec<Micros>,
}

/// The counter.
#[derive(Debug)]
pub struct Counter {
    /// Where each limiter reaches it.
    pub addresses: Vec<SocketAddr>,
    book: Arc<Book>,
    services: Services,
    state: Mutex<State>,
    mode: watch::Sender<Mode>,
    links: Vec<Link>,
}

/// Writes down what happened to a call: unheard, unless something else is said first.
struct Ending<'a> {
    book: &'a Book,
    limiter: u32,
    name: String,
    amount: f64,
    total: Option<f64>,
    fate: Counted,
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        self.book.add(Record::Count {
            t: self.book.now(),
            limiter: self.limiter,
            name: std::mem::take(&mut self.name),
            amount: self.amount,
            total: self.total,
            fate: self.fate,
        });
    }
}

fn answer(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}

/// Name, amount and life of a call.
fn read(target: &str) -> Option<(String, f64, u64)> {
    let (name, query) = target.strip_prefix("/v1/count/")?.split_once('?')?;
    let value = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key));
    let amount: f64 = value("add=")?.parse().ok()?;
    let life: u64 = value("ttl_ms=")?.parse().ok()?;
    let sound = (1..=64).contains(&name.len()) && amount.is_finite() && amount.abs() <= 1e9 && life >= 1;
    sound.then(|| (name.to_owned(), amount, life.min(MAX_LIFETIME_MS)))
}

impl Counter {
    /// Starts the counter at one address for each limiter.
    ///
    /// # Errors
    /// An address cannot be listened at.
    pub fn start(book: Arc<Book>, services: Services, at: Vec<(SocketAddr, Link)>) -> io::Result<Arc<Self>> {
        let mut listeners = Vec::new();
        for (address, _) in &at {
            listeners.push(serve::listen(*address)?);
        }
        let addresses = listeners.iter().map(|l| l.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let state = State { free_at: vec![0; services.counter_parts.max(1)], ..State::default() };
        let counter = Arc::new(Counter {
            addresses: addresses.clone(),
            book,
            services,
            state: Mutex::new(state),
            mode: watch::Sender::default(),
            links: at.iter().map(|a| a.1.clone()).collect(),
        });
        for (limiter, (listener, address)) in (0..).zip(listeners.into_iter().zip(addresses)) {
            tokio::spawn(counter.clone().listen(limiter, Some(listener), address));
        }
        Ok(counter)
    }

    /// Serves one limiter's address, except while connections are refused.
    async fn listen(
        self: Arc<Self>,
        limiter: u32,
        mut listener: Option<tokio::net::TcpListener>,
        at: SocketAddr,
    ) {
        let mut mode = self.mode.subscribe();
        loop {
            if mode.wait_for(|m| *m != Mode::Refusing).await.is_err() {
                return;
            }
            let open = match listener.take().map_or_else(|| serve::listen(at), Ok) {
                Ok(open) => open,
                Err(_) => {
                    // The address is still being let go.
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            let ended = watch::Sender::new(false);
            let hold = Hold {
                most: MAX_CONNECTIONS,
                open: Arc::new(AtomicUsize::new(0)),
                idle: IDLE,
                end: ended.subscribe(),
            };
            let (clock, counter) = (self.book.clock, self.clone());
            let answer = move |a: Asked| counter.clone().call(limiter, a);
            let link = self.links[limiter as usize].clone();
            let served = serve::serve(open, link, hold, move || clock.now(), || {}, answer);
            tokio::select! {
                () = served => {}
                () = serve::until(&mut mode, |m| *m == Mode::Refusing) => {}
            }
            ended.send_replace(true);
        }
    }

    async fn call(self: Arc<Self>, limiter: u32, asked: Asked) -> Response<Full<Bytes>> {
        let uri = asked.request.uri();
        let Some((name, amount, life)) = uri.path_and_query().and_then(|t| read(t.as_str())) else {
            return answer(StatusCode::BAD_REQUEST, "no such call\n".into());
        };
        if asked.request.method() != hyper::Method::POST {
            return answer(StatusCode::NOT_FOUND, "only POST\n".into());
        }
        let mode = *self.mode.borrow();
        let mut ending =
            Ending { book: &self.book, limiter, name, amount, total: None, fate: Counted::Unheard };
        if mode == Mode::Silent {
            std::future::pending::<()>().await;
        }
        let Some((total, until)) = self.add(limiter, &ending.name, amount, life, mode) else {
            ending.fate = Counted::Declined;
            return answer(StatusCode::SERVICE_UNAVAILABLE, String::new());
        };
        ending.total = Some(total);
        self.book.clock.until(until).await;
        if *self.mode.borrow() == Mode::Silent {
            std::future::pending::<()>().await;
        }
        ending.fate = Counted::Added;
        answer(StatusCode::OK, total.to_string())
    }

    /// Adds, and tells the total and when the answer is due; nothing where the line of its part is too long.
    fn add(&self, limiter: u32, name: &str, amount: f64, life: u64, mode: Mode) -> Option<(f64, Micros)> {
        let now = self.book.now();
        let slow = if let Mode::Slow(times) = mode { times } else { 1.0 };
        let mut state = lock(&self.state);
        let state = &mut *state;
        let part = digest(3, 0, name.as_bytes()) as usize % state.free_at.len();
        let start = state.free_at[part].max(now);
        if start - now > self.services.counter_line_us {
            return None;
        }
        let turn = (slow * 1e6 / self.services.counter_part_per_second) as Micros;
        state.free_at[part] = start + turn;
        let totals = &mut state.totals[usize::from(state.moved.contains(&limiter))];
        if totals.len() >= MAX_NAMES {
            totals.retain(|_, v| v.1 > now);
        }
        let fresh = (0.0, now + life * 1_000);
        let total = totals.entry(name.to_owned()).or_insert(fresh);
        if total.1 <= now {
            *total = fresh;
        }
        total.0 += amount;
        let rest = (slow * self.services.counter_call_us as f64) as Micros;
        Some((total.0, start + turn + rest))
    }

    /// Changes how it is.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Forgets all names.
    pub fn forget(&self) {
        lock(&self.state).totals[0].clear();
    }

    /// Has a limiter talk to the other counter, or to the first one again.
    pub fn move_limiter(&self, limiter: u32, other: bool) {
        let mut state = lock(&self.state);
        if other {
            state.moved.insert(limiter);
        } else {
            state.moved.remove(&limiter);
        }
    }

    /// The total of a name.
    pub fn total(&self, name: &str) -> Option<f64> {
        let now = self.book.now();
        lock(&self.state).totals[0].get(name).filter(|t| t.1 > now).map(|t| t.0)
    }
}
