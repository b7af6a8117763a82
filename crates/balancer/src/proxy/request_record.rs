//! What is remembered of one request, so that a failure can be explained afterwards: its log line.

use super::failure::Failure;
use crate::clock::now;
use crate::gateway::Gateway;
use limeway_load_balancing::attempts::AttemptResult;
use limeway_routing_config::routing::Tenant;
use limeway_routing_config::Version;
use limeway_types::{Micros, Timestamp, MILLISECOND};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;

/// Upper bound on the attempts that are remembered of one request.
const MAX_RECORDED_ATTEMPTS: usize = 8;

/// One attempt at a server.
#[derive(Debug, Clone)]
pub(super) struct AttemptRecord {
    /// The server.
    pub server: Rc<str>,
    /// What it taught.
    pub result: AttemptResult,
    /// How long it took.
    pub took: Micros,
}

/// What is remembered of a request while it is served.
#[derive(Debug, Default)]
pub(super) struct RequestRecord {
    /// Its id.
    id: RefCell<Vec<u8>>,
    /// Its tenant.
    tenant: RefCell<Option<Rc<Tenant>>>,
    /// Its service.
    service: RefCell<Option<Rc<str>>>,
    /// The version that it was routed by.
    pub version: Cell<Version>,
    /// How long it waited for a unit of quota.
    pub unit_wait: Cell<Micros>,
    /// Time at the server, if its first attempt was answered.
    pub server_time: Cell<Micros>,
    /// When its time is over; 0 as long as that is not known.
    pub deadline: Cell<Timestamp>,
    /// The servers that have it and have not responded yet.
    in_flight: RefCell<Vec<Rc<str>>>,
    attempts: RefCell<Vec<AttemptRecord>>,
}

impl RequestRecord {
    /// Its id has been read.
    pub(super) fn identified(&self, id: &[u8]) {
        self.id.replace(id.to_vec());
    }

    /// It is known where it goes.
    pub(super) fn routed(&self, service: &Rc<str>, tenant: Option<&Rc<Tenant>>) {
        self.service.replace(Some(service.clone()));
        self.tenant.replace(tenant.cloned());
    }

    /// An attempt has begun.
    pub(super) fn attempt_begun(&self, server: &Rc<str>) {
        self.in_flight.borrow_mut().push(server.clone());
    }

    /// An attempt has ended.
    pub(super) fn attempt_ended(&self, attempt: AttemptRecord) {
        self.in_flight.borrow_mut().retain(|server| *server != attempt.server);
        let mut attempts = self.attempts.borrow_mut();
        if attempts.len() < MAX_RECORDED_ATTEMPTS {
            attempts.push(attempt);
        }
    }

    /// Whether a server may have executed it, as far as is known while it is served.
    pub(super) fn may_have_executed(&self) -> bool {
        let executed = |attempt: &AttemptRecord| attempt.result.may_have_executed();
        !self.in_flight.borrow().is_empty() || self.attempts.borrow().iter().any(executed)
    }

    /// The attempts in their order, as text: server, result, milliseconds.
    fn describe_attempts(&self) -> String {
        let mut text = String::new();
        for attempt in &*self.attempts.borrow() {
            // Writing to memory does not fail.
            let _ = write!(
                text,
                "{}:{}:{}ms ",
                attempt.server,
                attempt.result.name(),
                attempt.took / MILLISECOND
            );
        }
        for server in &*self.in_flight.borrow() {
            let _ = write!(text, "{server}:no-response ");
        }
        text.truncate(text.trim_end().len());
        text
    }

    /// Logs why the request failed. One line at `info`, as there may be as many as requests; figures by cause are always kept.
    pub(super) fn log(&self, gateway: &Gateway, status: u16, failure: Failure, begun: Timestamp) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let now = now();
        let (id, tenant, service) = (self.id.borrow(), self.tenant.borrow(), self.service.borrow());
        let id = String::from_utf8_lossy(&id);
        let confirmed_ms = now.saturating_sub(gateway.confirmed_at()) / MILLISECOND;
        log::info!(
            request = id.as_ref(),
            status,
            cause = failure.name(),
            took_ms = (now - begun) / MILLISECOND,
            service = service.as_deref().unwrap_or(""),
            tenant = tenant.as_ref().map_or("", |tenant| tenant.name.as_str()),
            version = self.version.get(),
            confirmed_ms,
            unit_wait_ms = self.unit_wait.get() / MILLISECOND,
            attempts = self.describe_attempts().as_str(),
            draining = gateway.is_draining(),
            draining_ms = gateway.draining_for() / MILLISECOND;
            "request failed"
        );
    }
}
