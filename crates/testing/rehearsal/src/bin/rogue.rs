//! A limiter that breaks one rule on purpose, so that tests can show that the kit convicts it of that rule and no
//! other. `ROGUE` names the fault; without one it keeps all five, plainly and without any cleverness.
#![forbid(unsafe_code)]

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::net::{TcpListener, TcpStream};

/// A node counts as cold for so long after its start.
const COLD: Duration = Duration::from_secs(20);
/// Every so many requests meet the fault.
const EVERY: u64 = 10;

type Error = Box<dyn std::error::Error + Send + Sync>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Never answers.
    Loses,
    /// Sends each attempt to two nodes at once.
    Repeats,
    /// Pays no heed to news of drains.
    Undrained,
    /// Sends all to whoever has just started.
    Floods,
    /// Lets through whatever comes.
    Unbounded,
    /// Ends by itself after a while.
    Crashes,
    /// Never says that it is ready.
    Unready,
    /// Answers with what no node made.
    Invents,
}

impl Fault {
    fn read() -> Result<Self, Error> {
        Ok(match std::env::var("ROGUE").as_deref() {
            Err(_) | Ok("none") => Fault::None,
            Ok("loses") => Fault::Loses,
            Ok("repeats") => Fault::Repeats,
            Ok("undrained") => Fault::Undrained,
            Ok("floods") => Fault::Floods,
            Ok("unbounded") => Fault::Unbounded,
            Ok("crashes") => Fault::Crashes,
            Ok("unready") => Fault::Unready,
            Ok("invents") => Fault::Invents,
            Ok(other) => return Err(format!("ROGUE: no fault is named {other}").into()),
        })
    }
}

struct Node {
    dial: SocketAddr,
    serving: bool,
    born_ms: u64,
}

#[derive(Default)]
struct State {
    nodes: BTreeMap<String, Node>,
    /// Ceilings by customer: what is left, and when it was looked at.
    stores: HashMap<String, (f64, Option<Instant>)>,
}

struct Rogue {
    fault: Fault,
    /// Ceiling rate and burst by plan, each limiter's part of it.
    ceilings: HashMap<String, (f64, f64)>,
    discovery: SocketAddr,
    state: Mutex<State>,
    number: AtomicU64,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

async fn ask(to: SocketAddr, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Error> {
    let stream = TcpStream::connect(to).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    task.abort();
    Ok(Response::from_parts(head, body))
}

impl Rogue {
    fn new(fault: Fault, config: &Value) -> Result<Self, Error> {
        let limiters = config["settings"]["balancers"].as_f64().unwrap_or(1.0);
        let plans = config["settings"]["plans"].as_array().cloned().unwrap_or_default();
        let ceilings = plans.iter().filter_map(|p| {
            let (rate, burst) = (p["cap-rate"].as_f64()?, p["hard-burst"].as_f64()?);
            Some((p["name"].as_str()?.to_owned(), (rate / limiters, burst / limiters)))
        });
        let discovery = config["discovery"].as_str().unwrap_or_default().parse()?;
        let ceilings = ceilings.filter(|c| c.1 .0 > 0.0).collect();
        Ok(Rogue { fault, ceilings, discovery, state: Mutex::default(), number: AtomicU64::new(0) })
    }

    fn learn(&self, list: &Value) {
        let mut state = lock(&self.state);
        for row in list["hosts"].as_array().into_iter().flatten() {
            let (Some(host), Some(dial)) = (row["host"].as_str(), row["dial"].as_str()) else { continue };
            let Ok(dial) = dial.parse() else { continue };
            let serving = row["health"] == "SERVING";
            let born_ms = row["born_ms"].as_u64().unwrap_or(0);
            let known = state.nodes.get(host).is_some_and(|n| n.serving);
            if self.fault == Fault::Undrained && known && !serving {
                continue;
            }
            state.nodes.insert(host.to_owned(), Node { dial, serving, born_ms });
        }
    }

    async fn follow(self: Arc<Self>) {
        let mut from = String::new();
        loop {
            let request = Request::get(format!("/catalog/members{from}")).body(Full::default());
            let list = match request {
                Ok(request) => ask(self.discovery, request).await,
                Err(e) => Err(e.into()),
            };
            match list.and_then(|l| Ok(serde_json::from_slice::<Value>(l.body())?)) {
                Ok(list) => {
                    self.learn(&list);
                    from = format!("?from={}&hold_ms=2000", list["seq"]);
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Nodes in the order in which they are to be tried.
    fn choose(&self, number: u64) -> Vec<SocketAddr> {
        let unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as u64;
        let state = lock(&self.state);
        let serving: Vec<&Node> = state.nodes.values().filter(|n| n.serving).collect();
        let cold = |n: &&&Node| n.born_ms + COLD.as_millis() as u64 > unix;
        let mut wanted: Vec<SocketAddr> = match self.fault {
            Fault::Floods => serving.iter().filter(cold).map(|n| n.dial).collect(),
            _ => serving.iter().filter(|n| !cold(n)).map(|n| n.dial).collect(),
        };
        if wanted.is_empty() {
            wanted = serving.iter().map(|n| n.dial).collect();
        }
        let turn = number as usize % wanted.len().max(1);
        wanted.rotate_left(turn);
        wanted
    }

    /// Whether a customer's ceiling lets a request through.
    fn under_ceiling(&self, request: &Request<Incoming>) -> bool {
        let text = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let Some((rate, burst)) = self.ceilings.get(text("plan")).filter(|_| self.fault != Fault::Unbounded)
        else {
            return true;
        };
        let units = text("quota-info").split(',').find_map(|p| p.strip_prefix("units=")?.parse::<f64>().ok());
        let (units, now) = (units.unwrap_or(1.0), Instant::now());
        let mut state = lock(&self.state);
        let store =
            state.stores.entry(request.uri().path().rsplit('/').next().unwrap_or_default().to_owned());
        let store = store.or_insert((*burst, None));
        let passed = store.1.map_or(0.0, |t| (now - t).as_secs_f64());
        *store = ((store.0 + passed * rate).min(*burst), Some(now));
        let room = store.0 >= units;
        store.0 -= if room { units } else { 0.0 };
        room
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> std::io::Result<Response<Full<Bytes>>> {
        if request.uri().path() == "/_health" {
            let ready = self.fault != Fault::Unready && !lock(&self.state).nodes.is_empty();
            return Ok(answer(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
        }
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let unlucky = number % EVERY == EVERY - 1;
        if !self.under_ceiling(&request) {
            return Ok(answer(StatusCode::TOO_MANY_REQUESTS));
        }
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
        match self.fault {
            Fault::Loses if unlucky => std::future::pending().await,
            Fault::Crashes if number > 20 => std::process::exit(7),
            Fault::Invents if unlucky => return Ok(Response::new(Full::new("made up".into()))),
            _ => {}
        }
        let text = head.headers.get("req-deadline-ms").and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        let patience = Duration::from_millis(text.unwrap_or(1_000).saturating_sub(100));
        let attempt = |to: SocketAddr| {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = head.method.clone();
            *request.uri_mut() = head.uri.clone();
            *request.headers_mut() = head.headers.clone();
            tokio::time::timeout(patience, ask(to, request))
        };
        let order = self.choose(number);
        let Some(first) = order.first() else { return Ok(answer(StatusCode::SERVICE_UNAVAILABLE)) };
        let got = match order.get(1).filter(|_| self.fault == Fault::Repeats && unlucky) {
            Some(second) => tokio::join!(attempt(*first), attempt(*second)).0,
            None => attempt(*first).await,
        };
        Ok(match got {
            Ok(Ok(got)) if got.status() == StatusCode::OK => Response::new(Full::new(got.into_body())),
            Ok(Ok(got)) if got.headers().contains_key("srv-declined") => {
                answer(StatusCode::TOO_MANY_REQUESTS)
            }
            // Nothing is promised: it may have run.
            _ => answer(StatusCode::BAD_GATEWAY),
        })
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Error> {
    let path = std::env::var("ROUTER_CONFIG")?;
    let config: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let rogue = Arc::new(Rogue::new(Fault::read()?, &config)?);
    let listener = TcpListener::bind(config["listen"].as_str().unwrap_or_default()).await?;
    tokio::spawn(rogue.clone().follow());
    loop {
        let (stream, _) = listener.accept().await?;
        let rogue = rogue.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let rogue = rogue.clone();
                async move {
                    // Only what is asked for in the platform's form.
                    match *request.method() {
                        Method::GET | Method::POST => rogue.serve(request).await,
                        _ => Ok(answer(StatusCode::METHOD_NOT_ALLOWED)),
                    }
                }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
