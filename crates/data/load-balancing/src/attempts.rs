//! What may be done with one request after each attempt at a server, and what its client gets in the end.
//!
//! - **Two promises.** 408, 421, 429 and 503 say that a request has not been executed and never will be: none of them is given once any
//!   server may have executed it, whoever wrote it. A request that is not idempotent is sent to another server only after a server
//!   said itself that it did not execute it, or if no byte was written.
//! - **What counts as not executed**: 421, and a failure that carries `Limeway-Not-Executed`. A success that says so contradicts
//!   itself and is taken for the worst of both: it may have been executed, and it is no response.
//!
//! Free of I/O and clock.

/// Attempts of a request, with those that did not reach a server, if the route allows fewer servers. Not more: each may take as long as
/// a connection is waited for.
const MIN_ATTEMPTS: u32 = 2;

/// A server's complete response to this very request, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// It carries `Limeway-Not-Executed`.
    pub not_executed: bool,
    /// It carries the server's stamp.
    pub stamped: bool,
    /// It carries a `Content-Encoding`: its body is not the server's.
    pub encoded: bool,
}

/// The result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// Nothing was written: no server has seen the request.
    NotSent,
    /// The server did not execute it: it is full, or is draining.
    NotExecuted,
    /// The same, and it is another server by now.
    Moved,
    /// The server's own final response, a success or a refusal: it goes to the client.
    Final,
    /// The server failed at it, and said so.
    Failed,
    /// It may have been executed, and there is no response that can be forwarded: a reset, a time-out, a response that is incomplete or
    /// malformed.
    Unknown,
}

impl AttemptResult {
    /// All of them, in the order of their declaration.
    pub const ALL: [AttemptResult; 6] = [
        AttemptResult::NotSent,
        AttemptResult::NotExecuted,
        AttemptResult::Moved,
        AttemptResult::Final,
        AttemptResult::Failed,
        AttemptResult::Unknown,
    ];

    /// Whether a server may have executed the request in this attempt.
    pub const fn may_have_executed(self) -> bool {
        matches!(self, AttemptResult::Final | AttemptResult::Failed | AttemptResult::Unknown)
    }

    /// Its name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            AttemptResult::NotSent => "not-sent",
            AttemptResult::NotExecuted => "not-executed",
            AttemptResult::Moved => "moved",
            AttemptResult::Final => "final",
            AttemptResult::Failed => "failed",
            AttemptResult::Unknown => "unknown",
        }
    }
}

impl ResponseHead {
    /// The result of an attempt that had this response.
    pub fn result(self) -> AttemptResult {
        match self.status {
            421 => AttemptResult::Moved,
            400..=599 if self.not_executed => AttemptResult::NotExecuted,
            200..=299 if self.stamped && !self.encoded && !self.not_executed => AttemptResult::Final,
            // Forwarded, it would be a promise, and the server did not make it.
            408 | 429 | 503 => AttemptResult::Unknown,
            300..=499 => AttemptResult::Final,
            500..=599 => AttemptResult::Failed,
            _ => AttemptResult::Unknown,
        }
    }
}

/// What follows from an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The response that has just come goes to the client.
    Forward,
    /// Another server may be tried.
    Retry,
    /// No further attempt: see [`RequestAttempts::conclude`].
    Stop,
}

/// What a client gets if no response was forwarded at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conclusion {
    /// The newest response of a server that failed.
    Failure,
    /// 502: it may have been executed.
    Unknown,
    /// 504: it may have been executed, and its time is over.
    TimedOut,
    /// 503: it has not been executed, and never will be.
    NotExecuted,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct RequestAttempts {
    idempotent: bool,
    max_servers: u32,
    sent: u32,
    not_sent: u32,
    failed: bool,
    unknown: bool,
}

impl RequestAttempts {
    /// A request that may go to `max_servers`.
    pub fn new(idempotent: bool, max_servers: u32) -> Self {
        RequestAttempts { idempotent, max_servers, sent: 0, not_sent: 0, failed: false, unknown: false }
    }

    /// Whether any server may have executed it.
    pub fn may_have_executed(&self) -> bool {
        self.failed || self.unknown
    }

    /// Servers that it was sent to.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether another server may be tried now.
    pub fn may_continue(&self) -> bool {
        let max_attempts = self.max_servers.max(MIN_ATTEMPTS);
        self.sent < self.max_servers
            && self.sent + self.not_sent < max_attempts
            && (self.idempotent || !self.may_have_executed())
    }

    /// Whether a server that does not respond may be left for another, while one attempt is under way.
    pub fn may_hedge(&self) -> bool {
        self.idempotent && self.sent + self.not_sent + 1 < self.max_servers
    }

    /// An attempt has ended.
    pub fn record(&mut self, result: AttemptResult) -> NextStep {
        match result {
            AttemptResult::NotSent => self.not_sent += 1,
            _ => self.sent += 1,
        }
        match result {
            AttemptResult::Final => return NextStep::Forward,
            AttemptResult::Failed => self.failed = true,
            AttemptResult::Unknown => self.unknown = true,
            AttemptResult::NotSent | AttemptResult::NotExecuted | AttemptResult::Moved => {}
        }
        if self.may_continue() {
            NextStep::Retry
        } else {
            NextStep::Stop
        }
    }

    /// What the client gets if nothing more is tried.
    pub fn conclude(&self, deadline_passed: bool) -> Conclusion {
        match (self.failed, self.unknown) {
            (true, _) => Conclusion::Failure,
            (false, true) if deadline_passed => Conclusion::TimedOut,
            (false, true) => Conclusion::Unknown,
            (false, false) => Conclusion::NotExecuted,
        }
    }
}

/// Whether the allowed regions of a route and of a tenant have none in common; a list that is empty allows all.
pub fn have_no_common_region(allowed: [&[String]; 2]) -> bool {
    let [route, tenant] = allowed;
    !route.is_empty() && !tenant.is_empty() && !route.iter().any(|region| tenant.contains(region))
}
