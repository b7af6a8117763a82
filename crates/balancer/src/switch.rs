//! A client's request, from its first byte to its one answer.

use crate::clock::{now, Micros};
use crate::edge::Edge;
use crate::front::Front;
use crate::outbound::{Came, Parcel};
use crate::wanted::{pass_on, service, wanted, Own, Wanted, LATER};
use limeway_http1::conn::{Counted, Reply};
use limeway_http1::inbound::{Bounds, Inbound, Message, Stop};
use limeway_load_balancing::verdict::{nowhere, End, Head, Learnt, Next, Try};
use limeway_load_balancing::Outcome;
use limeway_routing_config::routing::Limits;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Longest body of a request that is held, whatever a configuration allows, in bytes.
const BODY_MOST: usize = 16 * 1024 * 1024;
/// Attempts at servers for one request, at most.
const ATTEMPTS_MOST: u32 = 4;
/// A repeatable request may leave a server for another after this many times its usual time.
const PATIENCE: f64 = 4.0;
/// The least of that.
const PATIENCE_LEAST: Micros = 350_000;
/// Part of its aim for which a request waits for a server with room.
const WAIT_PART: u64 = 5;
/// A connection that has rested for so long makes room where none is left.
const MAKES_ROOM: Duration = Duration::from_secs(1);
/// At the end of the process, the first request of a connection that has just come may be on its way for so long.
const LAST_REST: Duration = Duration::from_millis(300);
/// No connection rests longer, whatever a configuration says.
const REST_MOST: Duration = Duration::from_secs(3_600);

/// Takes connections of clients, for ever.
pub async fn listen(edge: Rc<Edge>, front: Rc<Front>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            edge.pools.prune();
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        if front.full() {
            // Idle ones make room; this one is told to try another limiter by its close.
            front.close.notify_waiters();
            continue;
        }
        let counted = Counted::new(&front.open);
        let (edge, front) = (edge.clone(), front.clone());
        tokio::task::spawn_local(async move {
            let _counted = counted;
            serve(&edge, &front, Inbound::new(stream)).await;
        });
    }
}

fn bounds(limits: &Limits) -> Bounds {
    Bounds {
        body: limits.max_body_bytes.min(BODY_MOST),
        whole: Duration::from_micros(limits.header_timeout),
        // See `rest`.
        idle: REST_MOST,
    }
}

/// Waits for the first byte of the next request, as long as the configuration in force at the end of the rest allows.
/// False if the connection is to end with nothing read.
async fn rest(edge: &Edge, front: &Front, inbound: &mut Inbound) -> bool {
    while !inbound.begun() {
        let told = front.close.notified();
        let plan = edge.plan();
        let idle = Duration::from_micros(plan.limits.idle_timeout).min(REST_MOST);
        let closing = front.closing.get();
        let wait = if closing { LAST_REST } else { idle.saturating_sub(inbound.rested()) };
        tokio::select! {
            biased;
            ready = inbound.ready(bounds(&plan.limits)) => return ready.is_ok(),
            () = told, if !closing => {
                if front.closing.get() || inbound.rested() < MAKES_ROOM {
                    continue;
                }
            }
            () = sleep(wait) => {
                // It may have been raised meanwhile.
                if !closing && inbound.rested() < Duration::from_micros(edge.plan().limits.idle_timeout) {
                    continue;
                }
            }
        }
        // What has come at this very moment is still served.
        return !inbound.quiet() && inbound.ready(bounds(&plan.limits)).await.is_ok();
    }
    true
}

async fn serve(edge: &Rc<Edge>, front: &Front, mut inbound: Inbound) {
    while rest(edge, front, &mut inbound).await {
        // Until its answer is out, or its end: the process waits for it.
        let _busy = Counted::new(&front.busy);
        let limits = edge.plan().limits.clone();
        inbound.limit_head(limits.max_header_bytes);
        let message = match inbound.read(bounds(&limits)).await {
            Ok(message) => message,
            Err(Stop::Closed) => return,
            Err(Stop::Status(status)) => {
                inbound.write(&Own::new(status).write(true)).await;
                return inbound.linger().await;
            }
        };
        let (begun, at_server) = (now(), Cell::new(0));
        let answer = {
            let work = handle(edge, &message, &at_server);
            tokio::pin!(work);
            tokio::select! {
                biased;
                answer = &mut work => Some(answer),
                // Nobody waits for the answer any more: the server may drop the request, too.
                () = inbound.gone() => None,
            }
        };
        let Some(answer) = answer else { return };
        // What has been read of a next request is owed an answer, too.
        let close = !message.head.keep_alive || (front.closing.get() && !inbound.begun());
        front.answered(answer.as_ref().err().map_or(0, |own| own.status));
        let out = match answer {
            Ok(reply) => pass_on(reply, close),
            Err(own) => own.write(close),
        };
        if !inbound.write(&out).await {
            return;
        }
        if at_server.get() > 0 {
            front.added((now() - begun).saturating_sub(at_server.get()));
        }
        if close {
            return inbound.linger().await;
        }
    }
}

/// Serves a request: a server's answer, or one of our own.
async fn handle(edge: &Rc<Edge>, message: &Message, at_server: &Cell<Micros>) -> Result<Reply, Own> {
    let start = now();
    let Wanted { route, tenant, parcel, left } = wanted(edge, message)?;
    let service = service(&route);
    let homes: [&[String]; 2] = [&route.allowed_regions, tenant.as_ref().map_or(&[], |t| &t.allowed_regions)];
    if nowhere(homes) {
        // Both bind, and have no region in common: no try at any time can be served, and no unit is spent on it.
        return Err(Own::new(503));
    }
    edge.tries.borrow_mut().first(start, &service);
    if let Some(tenant) = &tenant {
        if let Err(wait) = edge.unit(&tenant.name, tenant.rate_per_second, tenant.burst_size).await {
            return Err(Own::later(429, wait as f64 / 1e6));
        }
    }
    let mut request = Try::new(parcel.repeatable, route.max_attempts.min(ATTEMPTS_MOST));
    let end = start + left;
    let mut hunt =
        Hunt { edge, service: &service, homes, parcel: &parcel, end, tried: Vec::new(), instead: None };
    let mut failure = None;
    while request.may_go_on() && now() < end {
        let Some((id, cold)) = hunt.next(&request, start + route.target_latency / WAIT_PART).await else {
            break;
        };
        hunt.tried.push(id.clone());
        let Some(place) = edge.address(&service, &id) else { continue };
        let t = now();
        let (learnt, reply) = hunt.attempt(&request, &id, cold, place).await;
        match (request.learn(learnt), reply) {
            (Next::Pass, Some(reply)) => {
                // Where it took more than one attempt, the time is not ours alone.
                at_server.set(if hunt.tried.len() == 1 { now() - t } else { 0 });
                return Ok(reply);
            }
            (_, Some(reply)) if learnt == Learnt::Failed => failure = Some(reply),
            _ => {}
        }
    }
    match (request.end(now() >= end), failure) {
        (End::Failure, Some(reply)) => Ok(reply),
        (End::Failure | End::Unknown, _) => Err(Own::new(502)),
        (End::Late, _) => Err(Own::new(504)),
        (End::Promise, _) => Err(Own::later(503, LATER)),
    }
}

/// The search of one request for a server that answers it.
struct Hunt<'a> {
    edge: &'a Edge,
    service: &'a Rc<str>,
    homes: [&'a [String]; 2],
    parcel: &'a Parcel,
    end: Micros,
    tried: Vec<Rc<str>>,
    /// Chosen and paid for while the last one was silent.
    instead: Option<(Rc<str>, bool)>,
}

impl Hunt<'_> {
    /// The next server, and whether it is cold. Waits a little for one with room while no server may have run the request.
    async fn next(&mut self, request: &Try, until: Micros) -> Option<(Rc<str>, bool)> {
        if let Some(chosen) = self.instead.take() {
            return Some(chosen);
        }
        let until = if request.sent() == 0 { until.min(self.end) } else { 0 };
        let chosen = loop {
            match self.choose(true) {
                Some(chosen) => break chosen,
                None if now() >= until => return None,
                None => sleep(Duration::from_millis(15)).await,
            }
        };
        // What has reached no server is no further try.
        (request.sent() == 0 || self.pay()).then_some(chosen)
    }

    fn choose(&self, any: bool) -> Option<(Rc<str>, bool)> {
        let candidates = self.edge.candidates(self.service, self.homes);
        let mut selector = self.edge.selector.borrow_mut();
        let id = if any {
            selector.choose(now(), &candidates, &self.tried)
        } else {
            selector.choose_instead(now(), &candidates, &self.tried)
        }?;
        let cold = candidates.iter().any(|c| c.id == id && c.cold.is_some());
        Some((id, cold))
    }

    fn pay(&self) -> bool {
        let slack = self.edge.part(self.edge.settings.bounds.retry_slack);
        self.edge.tries.borrow_mut().again(now(), self.service, slack)
    }

    /// Whether to leave a server that is silent: only for one that is well, within the budget. Not at the end of the
    /// process: what a server works on is not broken off then.
    fn leaves(&mut self) -> bool {
        if self.edge.leaving.get() {
            return false;
        }
        self.instead = self.choose(false).filter(|_| self.pay());
        self.instead.is_some()
    }

    /// One attempt at a server: what it teaches, and the answer, if there is one.
    async fn attempt(
        &mut self,
        request: &Try,
        id: &Rc<str>,
        cold: bool,
        place: (std::net::SocketAddrV4, u32),
    ) -> (Learnt, Option<Reply>) {
        let (edge, t) = (self.edge, now());
        let most = self.end.saturating_sub(t);
        edge.selector.borrow_mut().sent(t, id, cold);
        let guard = Ending { edge, id, done: Cell::new(false) };
        let usual = edge.selector.borrow().usual(id).unwrap_or(most / 3);
        let patience = ((PATIENCE * usual as f64) as Micros).max(PATIENCE_LEAST);
        let sent = Cell::new(false);
        let exchange = edge.pools.exchange(id, place, self.parcel, self.end, &sent);
        tokio::pin!(exchange);
        let came = loop {
            let left = self.end.saturating_sub(now());
            let pause = if request.may_leave() { patience.min(left) } else { left };
            match timeout(Duration::from_micros(pause), &mut exchange).await {
                Ok(came) => break Some(came),
                Err(_) if now() >= self.end || self.leaves() => break None,
                Err(_) => {}
            }
        };
        let took = now() - t;
        let (learnt, reply, outcome) = match came {
            Some(Came::Answer(reply)) => {
                let learnt = head(&reply).learnt();
                let outcome = match learnt {
                    Learnt::Answer | Learnt::Failed => Outcome::Answered(took),
                    Learnt::NotRun => Outcome::Full,
                    Learnt::Moved => Outcome::Moved,
                    Learnt::Unsent | Learnt::Lost => Outcome::Broke,
                };
                (learnt, Some(reply), outcome)
            }
            Some(Came::NotSent) => (Learnt::Unsent, None, Outcome::Broke),
            Some(Came::Broke) => (Learnt::Lost, None, Outcome::Broke),
            None if sent.get() => (Learnt::Lost, None, Outcome::Silent(took)),
            None => (Learnt::Unsent, None, Outcome::Silent(took)),
        };
        guard.end(outcome);
        (learnt, reply)
    }
}

fn head(reply: &Reply) -> Head {
    let has = |name| reply.head.header(&reply.bytes, name).is_some();
    Head {
        status: reply.head.status,
        not_executed: has("limeway-not-executed"),
        stamped: has("limeway-server-stamp"),
        encoded: has("content-encoding"),
    }
}

/// Tells the selector how an attempt ended, also where the client went away in the middle of it.
struct Ending<'a> {
    edge: &'a Edge,
    id: &'a Rc<str>,
    done: Cell<bool>,
}

impl Ending<'_> {
    fn end(&self, outcome: Outcome) {
        self.done.set(true);
        self.edge.selector.borrow_mut().ended(now(), self.id, outcome);
    }
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        if !self.done.get() {
            self.edge.selector.borrow_mut().ended(now(), self.id, Outcome::Dropped);
        }
    }
}
