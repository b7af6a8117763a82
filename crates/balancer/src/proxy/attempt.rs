//! One attempt of a request at a server, while it is in flight.

use super::request_record::{AttemptRecord, RequestRecord};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::upstream::{ServerResponse, UpstreamRequest, UpstreamResult};
use limeway_http1::conn::Reply;
use limeway_load_balancing::attempts::{AttemptResult, ResponseHead};
use limeway_load_balancing::Outcome;
use limeway_types::{Micros, Timestamp};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::timeout;

/// An idempotent request may go to another server as well after this many times the server's usual latency.
const HEDGE_LATENCY_FACTOR: f64 = 4.0;
/// The least time after which it may.
const MIN_HEDGE_DELAY: Micros = 350_000;
/// A server whose usual latency is not known may take one part in so many of the time left.
const UNKNOWN_LATENCY_DIVISOR: Micros = 3;

/// A server that was chosen for an attempt.
#[derive(Clone)]
pub(super) struct ChosenServer {
    /// Its id.
    pub id: Rc<str>,
    /// It is in slow start.
    pub in_slow_start: bool,
}

/// What all attempts of a request share.
#[derive(Clone, Copy)]
pub(super) struct AttemptContext<'a> {
    /// The gateway.
    pub gateway: &'a Gateway,
    /// The service.
    pub service: &'a Rc<str>,
    /// The request as it goes to a server.
    pub request: &'a UpstreamRequest,
    /// When the request's time is over.
    pub deadline: Timestamp,
    /// Where attempts are noted.
    pub record: &'a RequestRecord,
}

/// An attempt in flight. Dropped, it is cancelled.
pub(super) struct InFlightAttempt<'a> {
    context: AttemptContext<'a>,
    server: Rc<str>,
    started: Timestamp,
    hedge_delay: Micros,
    /// When the server has not responded for long.
    hedge_at: Timestamp,
    /// The server may have seen the request.
    sent: Rc<Cell<bool>>,
    report: OutcomeReport<'a>,
    exchange: Pin<Box<dyn Future<Output = UpstreamResult> + 'a>>,
}

impl<'a> InFlightAttempt<'a> {
    /// Begins an attempt. None if the server is gone meanwhile.
    pub(super) fn begin(context: AttemptContext<'a>, server: &ChosenServer) -> Option<Self> {
        let AttemptContext { gateway, service, request, deadline, record } = context;
        let id = server.id.clone();
        let target = gateway.endpoints.connect_target(service, &id)?;
        record.attempt_begun(&id);
        let started = now();
        gateway.endpoints.selector.borrow_mut().sent(started, &id, server.in_slow_start);
        let hedge_delay = hedge_delay(gateway, deadline.saturating_sub(started), &id);
        let sent = Rc::new(Cell::new(false));
        let (to, is_sent) = (id.clone(), sent.clone());
        let exchange = Box::pin(async move {
            gateway.endpoints.pools.exchange(&to, target, request, deadline, &is_sent).await
        });
        let report = OutcomeReport { gateway, id: id.clone(), reported: Cell::new(false) };
        let hedge_at = started + hedge_delay;
        Some(InFlightAttempt { context, server: id, started, hedge_delay, hedge_at, sent, report, exchange })
    }

    /// When it began.
    pub(super) fn started(&self) -> Timestamp {
        self.started
    }

    /// When another server may be tried as well.
    pub(super) fn hedge_at(&self) -> Timestamp {
        self.hedge_at
    }

    /// No other server could be tried: it is waited for again.
    pub(super) fn postpone_hedge(&mut self) {
        self.hedge_at = now() + self.hedge_delay;
    }

    /// Another attempt has prevailed: that counts against a server that had not responded for long by then.
    pub(super) fn supersede(self) {
        let attempt_result = if self.sent.get() { AttemptResult::Unknown } else { AttemptResult::NotSent };
        let outcome = if now() >= self.hedge_at { Outcome::Superseded } else { Outcome::Cancelled };
        self.end(attempt_result, outcome, now() - self.started);
    }

    /// It has ended, or its time is over if there is no result: what it teaches, and the response, if there is one.
    pub(super) fn finish(self, result: Option<UpstreamResult>) -> (AttemptResult, Option<ServerResponse>) {
        let took = now() - self.started;
        let (attempt_result, reply, outcome) = assess(result, took, self.sent.get());
        self.end(attempt_result, outcome, took);
        (attempt_result, reply)
    }

    /// Tells the choice of servers, the metrics and the request's record how it ended.
    fn end(&self, result: AttemptResult, outcome: Outcome, took: Micros) {
        self.report.report(outcome);
        self.context.gateway.metrics.count_attempt(result);
        self.context.record.attempt_ended(AttemptRecord { server: self.server.clone(), result, took });
    }
}

/// Waits until one of the attempts ends, or until then: its place among them, and its result.
pub(super) async fn first_to_end(
    in_flight: &mut [InFlightAttempt<'_>],
    until: Timestamp,
) -> Option<(usize, UpstreamResult)> {
    let ended = poll_fn(|context| {
        for (index, attempt) in in_flight.iter_mut().enumerate() {
            if let Poll::Ready(result) = attempt.exchange.as_mut().poll(context) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    });
    timeout(Duration::from_micros(until.saturating_sub(now())), ended).await.ok()
}

/// How long a server may take before the request goes to another one as well.
fn hedge_delay(gateway: &Gateway, left: Micros, server: &Rc<str>) -> Micros {
    let usual = gateway.endpoints.selector.borrow().usual_latency(server);
    let delay = match usual {
        Some(usual) => (HEDGE_LATENCY_FACTOR * usual as f64) as Micros,
        None => left / UNKNOWN_LATENCY_DIVISOR,
    };
    delay.max(MIN_HEDGE_DELAY)
}

/// What an attempt teaches, for the request and for the choice of servers.
fn assess(
    result: Option<UpstreamResult>,
    took: Micros,
    sent: bool,
) -> (AttemptResult, Option<ServerResponse>, Outcome) {
    match result {
        Some(UpstreamResult::Response(response)) => {
            let attempt_result = response_head(&response.reply).result();
            let outcome = match attempt_result {
                AttemptResult::Final | AttemptResult::Failed => Outcome::Answered(took),
                AttemptResult::NotExecuted => Outcome::Full,
                AttemptResult::Moved => Outcome::Moved,
                AttemptResult::NotSent | AttemptResult::Unknown => Outcome::Broken,
            };
            (attempt_result, Some(*response), outcome)
        }
        Some(UpstreamResult::NotSent) => (AttemptResult::NotSent, None, Outcome::Broken),
        Some(UpstreamResult::Broken) => (AttemptResult::Unknown, None, Outcome::Broken),
        None if sent => (AttemptResult::Unknown, None, Outcome::TimedOut(took)),
        None => (AttemptResult::NotSent, None, Outcome::TimedOut(took)),
    }
}

fn response_head(reply: &Reply) -> ResponseHead {
    let has = |name| reply.head.header(&reply.bytes, name).is_some();
    ResponseHead {
        status: reply.head.status,
        not_executed: has("limeway-not-executed"),
        stamped: has("limeway-server-stamp"),
        encoded: has("content-encoding"),
    }
}

/// Reports to the selector how an attempt ended, also if the client goes away in the middle of it or another attempt prevails.
struct OutcomeReport<'a> {
    gateway: &'a Gateway,
    id: Rc<str>,
    reported: Cell<bool>,
}

impl OutcomeReport<'_> {
    fn report(&self, outcome: Outcome) {
        self.reported.set(true);
        self.gateway.endpoints.selector.borrow_mut().ended(now(), &self.id, outcome);
    }
}

impl Drop for OutcomeReport<'_> {
    fn drop(&mut self) {
        if !self.reported.get() {
            self.report(Outcome::Cancelled);
        }
    }
}
