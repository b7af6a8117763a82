//! Parses the wire's lines into events and writes actions back; it decides nothing.

use base64::prelude::*;
use limeway_quota_policy::*;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;
use std::str::FromStr;

/// One gateway with the names that its wire uses for indices.
struct Instance {
    gateway: Gateway,
    classes: Vec<String>,
    plans: Vec<String>,
    zones: Vec<String>,
    servers: Vec<String>,
    index: HashMap<String, ServerId>,
}

struct Row {
    server: String,
    zone: String,
    cell: u64,
    state: Lifecycle,
    weight: f64,
    started: Micros,
}

/// All instances of this process, and the batch being read.
#[derive(Default)]
pub(crate) struct Host {
    now: Micros,
    in_batch: bool,
    instances: HashMap<String, Instance>,
    lists: HashMap<u64, Rc<Vec<Row>>>,
    reading: Option<(u64, usize, Vec<Row>)>,
    actions: Vec<Action>,
    reply: String,
}

type Parsed<T> = Result<T, String>;

struct Words<'a>(&'a str);

impl<'a> Words<'a> {
    fn word(&mut self, what: &str) -> Parsed<&'a str> {
        let (head, rest) = self.0.split_once(' ').unwrap_or((self.0, ""));
        self.0 = rest;
        if head.is_empty() {
            return Err(format!("{what} is missing"));
        }
        Ok(head)
    }

    fn value<T: FromStr>(&mut self, what: &str) -> Parsed<T> {
        let word = self.word(what)?;
        word.parse().map_err(|_| format!("{what} is not valid: {word}"))
    }

    fn value_or<T: FromStr>(&mut self, what: &str, absent: T) -> Parsed<T> {
        match self.word(what)? {
            "-" => Ok(absent),
            word => word.parse().map_err(|_| format!("{what} is not valid: {word}")),
        }
    }

    fn number(&mut self, what: &str) -> Parsed<f64> {
        let value: f64 = self.value_or(what, 0.0)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{what} is not finite"))
        }
    }
}

fn status(word: &str) -> Parsed<Status> {
    Ok(match word {
        "OK" => Status::Ok,
        "INTERNAL" => Status::Error,
        "RESOURCE_EXHAUSTED" => Status::Full,
        "DEADLINE_EXCEEDED" => Status::Timeout,
        "UNAVAILABLE" => Status::ConnectFailed,
        "ABORTED" => Status::Reset,
        "CANCELLED" => Status::Cancelled,
        "TOO_LATE" => Status::Moot,
        _ => return Err(format!("unknown outcome: {word}")),
    })
}

fn load(word: &str) -> Parsed<Load> {
    let mut load = Load::default();
    for pair in word.split(',').filter(|p| !p.is_empty() && *p != "-") {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| format!("load report is not valid: {pair}"))?;
        let value: f64 = value.parse().map_err(|_| format!("load report is not valid: {pair}"))?;
        match name {
            "busy_reqs" => load.inflight = Some(value),
            "cpu_share" => load.util = Some(value),
            "svc_ms" => load.latency_ms = Some(value),
            _ => {}
        }
    }
    Ok(load)
}

fn find(names: &[String], name: &str, what: &str) -> Parsed<usize> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("unknown {what}: {name}"))
}

impl Instance {
    fn server(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.index.get(name) {
            return id;
        }
        self.servers.push(name.to_owned());
        self.index.insert(name.to_owned(), self.servers.len() - 1);
        self.servers.len() - 1
    }

    fn zone(&mut self, name: &str) -> usize {
        self.zones.iter().position(|z| z == name).unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        })
    }

    fn event(
        &mut self,
        kind: &str,
        w: &mut Words,
        lists: &HashMap<u64, Rc<Vec<Row>>>,
    ) -> Parsed<Option<Event>> {
        Ok(Some(match kind {
            "FLEET" => {
                let kind = match w.word("how")? {
                    "0" => ListKind::Delta,
                    "1" => ListKind::Full,
                    "2" => ListKind::Cached,
                    "3" => ListKind::Failed,
                    other => return Err(format!("unknown kind of list: {other}")),
                };
                w.word("revision")?;
                let mut entries = Vec::new();
                if kind != ListKind::Failed {
                    let number = w.value("ref")?;
                    let list = lists.get(&number).ok_or_else(|| format!("no list {number}"))?.clone();
                    for row in list.iter() {
                        entries.push(Entry {
                            server: self.server(&row.server),
                            zone: self.zone(&row.zone),
                            cell: row.cell,
                            state: row.state,
                            weight: row.weight,
                            started: row.started,
                        });
                    }
                }
                Event::Servers { kind, entries }
            }
            "DEMAND" => Event::Request(Demand {
                id: w.value("call")?,
                class: find(&self.classes, w.word("priority")?, "class")?,
                plan: find(&self.plans, w.word("contract")?, "plan")?,
                customer: w.word("member")?.to_owned(),
                left: w.value("budget")?,
                units: w.number("units")?,
                doors: w.value_or("doors", 1)?,
                first: w.value_or("set-from", 0)?,
            }),
            "BELL" => Event::Timer { token: w.value("tag")? },
            "DONE" => {
                let (id, attempt) = (w.value("call")?, w.value("attempt")?);
                let server = match self.index.get(w.word("server")?) {
                    Some(&server) => server,
                    None => return Ok(None),
                };
                let (status, latency) = (status(w.word("reason")?)?, w.value_or("spent", 0)?);
                let closed = w.word("last")? == "1";
                w.word("usage")?;
                w.word("billed")?;
                Event::Outcome(Outcome { id, attempt, server, status, latency, closed, load: load(w.0)? })
            }
            "STARTED" => Event::Started { id: w.value("call")?, attempt: w.value("attempt")? },
            "VANISHED" => Event::Gone { id: w.value("call")? },
            "SUM" => Event::Counted {
                name: w.value("tally-id")?,
                status: status(w.word("reason")?)?,
                total: w.number("value")?,
                latency: w.value_or("spent", 0)?,
            },
            "HEALTH_RESULT" => {
                w.word("spent")?;
                let status = status(w.word("reason")?)?;
                match self.index.get(w.word("server")?) {
                    Some(&server) => Event::Probed { server, status },
                    None => return Ok(None),
                }
            }
            "PEER" => {
                let from = w.value("sender")?;
                let data = match w.word("payload")? {
                    "-" => Vec::new(),
                    text => {
                        BASE64_STANDARD.decode(text).map_err(|e| format!("payload is not base64: {e}"))?
                    }
                };
                Event::Peer { from, data }
            }
            other => return Err(format!("unknown message: {other}")),
        }))
    }

    fn write(&self, name: &str, action: &Action, to: &mut String) {
        let done = match *action {
            Action::Send { id, server, timeout } => {
                writeln!(to, "SUBMIT_TO {name} {id} {} {timeout}", self.servers[server])
            }
            Action::Cancel { id, attempt } => writeln!(to, "ABANDON {name} {id} {attempt}"),
            Action::Refuse { id, retry_after } => writeln!(to, "NOT_NOW {name} {id} {retry_after}"),
            Action::Fail { id } => writeln!(to, "DROP_REQUEST {name} {id}"),
            Action::Timer { at, token } => writeln!(to, "WAKE_AT {name} {at} {token}"),
            Action::Count { name: count, amount, ttl } => writeln!(to, "BUMP {name} {count} {amount} {ttl}"),
            Action::Tell { peer, ref data } => {
                writeln!(to, "SIGNAL {name} {peer} {}", BASE64_STANDARD.encode(data))
            }
            Action::Watch => writeln!(to, "TRACK {name} 1"),
            Action::Note { ref text } => writeln!(to, "REMARK {name} {text}"),
        };
        debug_assert!(done.is_ok(), "writing to a string cannot fail");
    }
}

impl Host {
    /// Takes one line; gives the reply once a batch is complete.
    pub(crate) fn line(&mut self, line: &str) -> Parsed<Option<String>> {
        let mut w = Words(line.trim_end_matches('\r'));
        let kind = w.word("message")?;
        if let Some((number, left, mut list)) = self.reading.take() {
            if kind != "SERVER" {
                return Err(format!("list {number} lacks {left} entries"));
            }
            list.push(row(&mut w)?);
            if left > 1 {
                self.reading = Some((number, left - 1, list));
            } else {
                self.lists.insert(number, Rc::new(list));
            }
            return Ok(None);
        }
        if kind == "BEGIN_BATCH" {
            if self.in_batch {
                return Err("a batch begins within a batch".into());
            }
            self.now = w.value("clock")?;
            self.in_batch = true;
            return Ok(None);
        }
        if !self.in_batch {
            return Err(format!("outside a batch: {kind}"));
        }
        match kind {
            "OVER_TO_YOU" => {
                self.in_batch = false;
                self.reply.push_str("END\n");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            "LEDGER" => {
                let (number, count) = (w.value("ref")?, w.value("entries")?);
                if count == 0 {
                    self.lists.insert(number, Rc::default());
                } else {
                    self.reading = Some((number, count, Vec::new()));
                }
                return Ok(None);
            }
            _ => {}
        }
        let name = w.word("limiter-id")?;
        match kind {
            "BEGIN" => {
                let seed = w.value("init-seed")?;
                let json: Value =
                    serde_json::from_str(w.0).map_err(|e| format!("setup is not valid: {e}"))?;
                let setup = Setup::read(&json).map_err(|e| e.reason)?;
                let instance = Instance {
                    gateway: Gateway::new(setup.settings, seed, self.now),
                    classes: setup.classes,
                    plans: setup.plans,
                    zones: setup.zones,
                    servers: Vec::new(),
                    index: HashMap::new(),
                };
                self.instances.insert(name.to_owned(), instance);
            }
            "DETACH" => {
                self.instances.remove(name);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(name) else { return Ok(None) };
                if let Some(event) = instance.event(kind, &mut w, &self.lists)? {
                    instance.gateway.handle(self.now, event, &mut self.actions);
                    for action in self.actions.drain(..) {
                        instance.write(name, &action, &mut self.reply);
                    }
                }
            }
        }
        Ok(None)
    }
}

fn row(w: &mut Words) -> Parsed<Row> {
    let (server, zone) = (w.word("server")?.to_owned(), w.word("zone")?.to_owned());
    w.word("generation-hw")?;
    let cell = w.value_or("bay", 0)?;
    let state = match w.word("lifecycle")? {
        "0" => Lifecycle::Gone,
        "1" => Lifecycle::Ready,
        "2" => Lifecycle::Draining,
        other => return Err(format!("unknown lifecycle: {other}")),
    };
    Ok(Row {
        server,
        zone,
        cell,
        state,
        weight: w.value_or("power-hint", 1.0)?,
        started: w.value_or("launched", 0)?,
    })
}
