//! Invariants that are checked where they could break, in every build.
//!
//! Each check counts three things: that it was made, that it was *near* (the situation that it guards against had come about), and
//! that it was violated. A run in which a check was never near says nothing about it. A violation is logged as an error. Builds with
//! debug assertions, which is what tests are, then panic; a release build goes on, as ending the process would only add to the fault.
//!
//! The counts are of the whole process, and cost an atomic addition each.
#![forbid(unsafe_code)]

use std::sync::atomic::{AtomicU64, Ordering};

/// An invariant. What each one protects is in `docs/design/promises.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// 408, 421, 429 and 503 of our own are given only while no server may have executed the request. Near: it had been sent.
    NoPromiseAfterExecution,
    /// A request that is not idempotent is sent only while no server may have executed it. Near: an attempt came before.
    SingleExecution,
    /// A server's response that is forwarded carries the request's own id. Near: it came on a connection that was used before.
    ResponseIdentity,
    /// A key is admitted only under a configuration confirmed within the bound on revocation. Near: over half of that has passed.
    FreshKeys,
    /// The agreed state that a process knows only goes forward. Near: an update came from a state that is older.
    StateForward,
    /// No attempt goes to a server that is known to be draining or gone, or whose zone is evacuated. Near: the gateway knows such a
    /// server.
    NoLeavingServer,
    /// What a counter grants of a window does not exceed the budget. Near: nine tenths of it are granted.
    WindowBudget,
    /// Operators get a read, a conflict or a rejection only from a state confirmed after their call. Near: the call had to wait.
    ConfirmedResponse,
    /// An update is acknowledged only by a voter's applied state. Near: it was sent before, and is known.
    AcknowledgedApplied,
    /// A vote leaves only once it is on disk. Near: other writes were under way.
    DurableVote,
    /// A counter grants only under a role lease. Near: a quarter of the lease or less is left.
    LeasedCounter,
    /// A gateway that shuts down ends no request before its deadline. Near: there were some when it was told to end.
    CleanShutdown,
    /// What a replica has pending stays within its bounds. Near: half of them.
    BoundedQueues,
    /// Under one proposal number all voters hold one value. Near: a value was accepted under the number before.
    OneValuePerNumber,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; 14] = [
        Invariant::NoPromiseAfterExecution,
        Invariant::SingleExecution,
        Invariant::ResponseIdentity,
        Invariant::FreshKeys,
        Invariant::StateForward,
        Invariant::NoLeavingServer,
        Invariant::WindowBudget,
        Invariant::ConfirmedResponse,
        Invariant::AcknowledgedApplied,
        Invariant::DurableVote,
        Invariant::LeasedCounter,
        Invariant::CleanShutdown,
        Invariant::BoundedQueues,
        Invariant::OneValuePerNumber,
    ];

    /// Its name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Invariant::NoPromiseAfterExecution => "no-promise-after-execution",
            Invariant::SingleExecution => "single-execution",
            Invariant::ResponseIdentity => "response-identity",
            Invariant::FreshKeys => "fresh-keys",
            Invariant::StateForward => "state-forward",
            Invariant::NoLeavingServer => "no-leaving-server",
            Invariant::WindowBudget => "window-budget",
            Invariant::ConfirmedResponse => "confirmed-response",
            Invariant::AcknowledgedApplied => "acknowledged-applied",
            Invariant::DurableVote => "durable-vote",
            Invariant::LeasedCounter => "leased-counter",
            Invariant::CleanShutdown => "clean-shutdown",
            Invariant::BoundedQueues => "bounded-queues",
            Invariant::OneValuePerNumber => "one-value-per-number",
        }
    }
}

/// How often an invariant was checked, since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Checks.
    pub checked: u64,
    /// Checks in the situation that the invariant guards against.
    pub near: u64,
    /// Checks that found it violated.
    pub violated: u64,
}

struct AtomicCounts {
    checked: AtomicU64,
    near: AtomicU64,
    violated: AtomicU64,
}

static COUNTS: [AtomicCounts; Invariant::ALL.len()] = [const {
    AtomicCounts { checked: AtomicU64::new(0), near: AtomicU64::new(0), violated: AtomicU64::new(0) }
}; Invariant::ALL.len()];

/// Checks an invariant. `near` tells that the situation has come about which it guards against; `detail` is called for a violation
/// only.
///
/// # Panics
/// On a violation, in builds with debug assertions.
pub fn check(invariant: Invariant, near: bool, holds: bool, detail: impl FnOnce() -> String) {
    let counts = &COUNTS[invariant as usize];
    counts.checked.fetch_add(1, Ordering::Relaxed);
    if near {
        counts.near.fetch_add(1, Ordering::Relaxed);
    }
    if !holds {
        counts.violated.fetch_add(1, Ordering::Relaxed);
        let detail = detail();
        log::error!(invariant = invariant.name(); "invariant violated: {detail}");
        debug_assert!(holds, "invariant {} violated: {detail}", invariant.name());
    }
}

/// How often an invariant was checked.
pub fn counts(invariant: Invariant) -> Counts {
    let counts = &COUNTS[invariant as usize];
    Counts {
        checked: counts.checked.load(Ordering::Relaxed),
        near: counts.near.load(Ordering::Relaxed),
        violated: counts.violated.load(Ordering::Relaxed),
    }
}
