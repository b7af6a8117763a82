//! Discovery: an agent beside each limiter, to which news comes late; whole lists, and watches.

use crate::book::{lock, Book};
use crate::link::Link;
use crate::serve::{self, Asked, Hold};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use limeway_checker::ledger::{Health, Record};
use limeway_scenario::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Connections that an agent holds at most.
const MAX_CONNECTIONS: usize = 64;
/// Idle connections are closed after so long.
const IDLE: Duration = Duration::from_secs(60);
/// Longest wait of a watch, in milliseconds.
const MAX_HOLD_MS: u64 = 60_000;

/// A node as discovery names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Its number in the ledger.
    pub node: u32,
    /// Where this limiter reaches it.
    pub dial: SocketAddr,
    /// Its room.
    pub room: u32,
    /// Its state.
    pub health: Health,
    /// Its size, roughly.
    pub share: f64,
    /// When it last started, by the clock of the run; below 0 for long ago.
    pub started: i64,
}

/// Name of a node.
pub fn host(node: u32) -> String {
    format!("no{node}")
}

/// Rows by node, each with the version at which it last changed.
type Rows = BTreeMap<u32, (u64, Row)>;

struct Agent {
    /// Version and rows.
    state: Mutex<(u64, Rows)>,
    version: watch::Sender<u64>,
}

/// Discovery.
pub struct Discovery {
    /// Where each limiter finds its agent.
    pub addresses: Vec<SocketAddr>,
    book: Arc<Book>,
    agents: Vec<Arc<Agent>>,
    end: watch::Sender<bool>,
}

impl Discovery {
    /// Starts an agent for each limiter with its list.
    ///
    /// # Errors
    /// An address cannot be listened at.
    pub fn start(book: Arc<Book>, at: &[SocketAddr], lists: Vec<Vec<Row>>) -> io::Result<Arc<Self>> {
        let mut listeners = Vec::new();
        for address in at {
            listeners.push(serve::listen(*address)?);
        }
        let addresses = listeners.iter().map(|l| l.local_addr()).collect::<io::Result<Vec<_>>>()?;
        let agents: Vec<Arc<Agent>> = lists
            .into_iter()
            .map(|list| {
                let rows = list.into_iter().map(|row| (row.node, (1, row))).collect();
                Arc::new(Agent { state: Mutex::new((1, rows)), version: watch::Sender::new(1) })
            })
            .collect();
        let end = watch::Sender::new(false);
        let discovery = Arc::new(Discovery { addresses, book, agents, end });
        for (limiter, listener) in (0..).zip(listeners) {
            let hold = Hold {
                most: MAX_CONNECTIONS,
                open: Arc::new(AtomicUsize::new(0)),
                idle: IDLE,
                end: discovery.end.subscribe(),
            };
            let (clock, asked) = (discovery.book.clock, discovery.clone());
            let answer = move |a: Asked| asked.clone().call(limiter, a);
            tokio::spawn(serve::serve(listener, Link::default(), hold, move || clock.now(), || {}, answer));
        }
        Ok(discovery)
    }

    /// Tells a limiter's agent of a node; what it is told it passes on at once.
    pub fn tell(&self, limiter: u32, row: Row) {
        let Some(agent) = self.agents.get(limiter as usize) else { return };
        let mut state = lock(&agent.state);
        state.0 += 1;
        let version = state.0;
        state.1.insert(row.node, (version, row));
        agent.version.send_replace(version);
    }

    /// The list of a limiter's agent as it stands, in discovery's form.
    pub fn list(&self, limiter: u32) -> Value {
        self.list_since(limiter, None).1
    }

    /// The list, or what has changed since a version; with the rows that it holds.
    fn list_since(&self, limiter: u32, since: Option<u64>) -> (Vec<Row>, Value) {
        let Some(agent) = self.agents.get(limiter as usize) else { return (Vec::new(), Value::Null) };
        let state = lock(&agent.state);
        // Nobody can tell what has changed since a version of another life.
        let since = since.filter(|s| *s <= state.0);
        let told: Vec<Row> = state
            .1
            .values()
            .filter(|(version, row)| since.map_or(row.health != Health::Gone, |s| *version > s))
            .map(|(_, row)| row.clone())
            .collect();
        let hosts: Vec<Value> = told
            .iter()
            .map(|row| {
                let health = match row.health {
                    Health::Serving => "SERVING",
                    Health::Draining => "DRAINING",
                    Health::Gone => "DELETED",
                };
                let born = Micros::try_from(row.started).map_or(0, |t| self.book.clock.unix_ms(t));
                let site = limeway_scenario::settings::room(row.room);
                json!({
                    "host": host(row.node), "dial": row.dial.to_string(), "site": site, "class": "node",
                    "block": 0, "health": health, "share": row.share, "born_ms": born,
                })
            })
            .collect();
        (told, json!({"seq": state.0, "whole": since.is_none(), "hosts": hosts}))
    }

    async fn call(self: Arc<Self>, limiter: u32, asked: Asked) -> Response<Full<Bytes>> {
        let uri = asked.request.uri();
        let query = uri.query().unwrap_or_default();
        let value =
            |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)).and_then(|v| v.parse().ok());
        if uri.path() != "/catalog/members" {
            let mut answer = Response::new(Full::default());
            *answer.status_mut() = StatusCode::NOT_FOUND;
            return answer;
        }
        let since: Option<u64> = value("from=");
        if let (Some(since), Some(agent)) = (since, self.agents.get(limiter as usize)) {
            let most = Duration::from_millis(value("hold_ms=").unwrap_or(0).min(MAX_HOLD_MS));
            let mut version = agent.version.subscribe();
            let _ = tokio::time::timeout(most, version.wait_for(|v| *v != since)).await;
        }
        let (told, list) = self.list_since(limiter, since);
        let t = self.book.now();
        for Row { node, health, started, .. } in told {
            self.book.add(Record::Told { t, limiter, node, health, started });
        }
        // A whole list says of those that it does not name that they are gone.
        if list["whole"] == true {
            if let Some(agent) = self.agents.get(limiter as usize) {
                for (_, row) in lock(&agent.state).1.values().filter(|r| r.1.health == Health::Gone) {
                    let (node, health, started) = (row.node, row.health, row.started);
                    self.book.add(Record::Told { t, limiter, node, health, started });
                }
            }
        }
        Response::new(Full::new(Bytes::from(list.to_string())))
    }
}
