//! Following the control plane: polls to the upstream, and what their responses change here. What to ask whom is decided by
//! [`limeway_distribution::Follower`].

use super::Gateway;
use crate::clock::{self, now};
use crate::drain_schedule::DrainSchedule;
use crate::messages::{Call, Reply};
use crate::transport::{self, CallError};
use limeway_distribution::transfer::StateRequest;
use limeway_distribution::{ChangeSet, Follower, FollowerAction, StateCache};
use limeway_invariants::{check, Invariant};
use limeway_membership::NodeId;
use limeway_routing_config::RoutingSnapshot;
use limeway_settings::Settings;
use limeway_types::{Micros, Timestamp, MILLISECOND};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// How long a poll waits at the upstream while there is no update.
const LONG_POLL_WAIT: Micros = 600_000;
/// The same while this gateway is not ready: its upstream hears soon when it is.
const SHORT_POLL_WAIT: Micros = LONG_POLL_WAIT / 4;
/// How long a response may take beyond that without progress.
const IDLE_TIMEOUT: Duration = Duration::from_micros(LONG_POLL_WAIT + 700_000);
/// And how long in all, while chunks of it keep coming.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Shortest pause between two looks at what to do.
const MIN_DELAY: Micros = 1_000;

/// What this gateway knows of the system, and how it follows it.
pub(super) struct Following {
    pub cache: RefCell<StateCache>,
    /// The configuration in force, compiled.
    pub routing: RefCell<Rc<RoutingSnapshot>>,
    /// The longest timeout of a route, and the grace period, that were compared last.
    compared: Cell<(Micros, Micros)>,
    pub follower: RefCell<Follower>,
    /// The cache has changed: polls of downstream gateways may be answered.
    pub updated: Notify,
    /// The upstream is to hear of a change here at once.
    pub poll_now: Notify,
}

impl Following {
    pub(super) fn new(settings: &Settings) -> Self {
        let seeds = transport::nodes(&settings.seeds);
        let follower = Follower::new(NodeId::from(settings.ip), &settings.zone, seeds);
        Following {
            cache: RefCell::new(StateCache::relay(clock::random() | 1)),
            routing: RefCell::default(),
            compared: Cell::default(),
            follower: RefCell::new(follower),
            updated: Notify::new(),
            poll_now: Notify::new(),
        }
    }
}

impl Gateway {
    /// Follows the control plane, for ever.
    pub async fn follow(self: Rc<Self>) {
        loop {
            let started = now();
            let action = {
                let cache = self.following.cache.borrow();
                self.following.follower.borrow_mut().next_action(started, &cache)
            };
            match action {
                FollowerAction::Wait(until) => {
                    sleep(Duration::from_micros(until.saturating_sub(started).max(MIN_DELAY))).await;
                }
                FollowerAction::Poll(upstream) => self.poll(upstream).await,
                FollowerAction::Fetch(upstream, request) => self.fetch(upstream, request).await,
            }
        }
    }

    async fn poll(&self, upstream: NodeId) {
        let polled = now();
        let wait = if self.is_draining() || !self.is_ready() { SHORT_POLL_WAIT } else { LONG_POLL_WAIT };
        let poll = {
            let cache = self.following.cache.borrow();
            self.following.follower.borrow_mut().poll(polled, &cache, self.heartbeat(), wait)
        };
        let (request, channel) = (poll.request, self.channels.to(upstream));
        let call = Call::LongPoll(Box::new(poll));
        let result = tokio::select! {
            result = channel.call_while_progressing(&call, IDLE_TIMEOUT, TOTAL_TIMEOUT) => result,
            // The next poll tells the upstream of the change.
            () = self.following.poll_now.notified() => return,
        };
        match result {
            Ok(Reply::Update(response)) => self.apply(|now, follower, cache| {
                follower.handle_response(now, polled, &request, upstream, *response, cache)
            }),
            other => self.upstream_failed(upstream, other.err()),
        }
    }

    async fn fetch(&self, upstream: NodeId, request: StateRequest) {
        let channel = self.channels.to(upstream);
        let call = Call::Fetch(request);
        match channel.call_while_progressing(&call, IDLE_TIMEOUT, TOTAL_TIMEOUT).await {
            Ok(Reply::StateUpdate(update)) => {
                self.apply(|now, follower, cache| follower.handle_fetched(now, &request, update, cache));
            }
            other => self.upstream_failed(upstream, other.err()),
        }
    }

    fn upstream_failed(&self, upstream: NodeId, error: Option<CallError>) {
        self.metrics.upstream_failures.inc();
        log::info!(upstream, error = format!("{error:?}").as_str(); "no update from upstream");
        self.following.follower.borrow_mut().handle_failure(now(), upstream);
    }

    /// Applies what came, and makes routing snapshot and endpoint table once for all of it.
    fn apply(&self, update: impl FnOnce(Timestamp, &mut Follower, &mut StateCache) -> ChangeSet) {
        let now = now();
        let (evacuated, slot_before) = {
            let cache = self.following.cache.borrow();
            (cache.state.evacuated.clone(), cache.state.slot)
        };
        let changes = {
            let mut cache = self.following.cache.borrow_mut();
            update(now, &mut self.following.follower.borrow_mut(), &mut cache)
        };
        let slot = self.slot();
        check(Invariant::StateForward, changes.state, slot >= slot_before, || {
            format!("slot {slot} after {slot_before}")
        });
        if changes.state {
            self.update_routing();
            let cache = self.following.cache.borrow();
            let returned = evacuated.keys().filter(|zone| !cache.state.evacuated.contains_key(*zone));
            self.endpoints.zones_returned(now, returned);
        }
        if changes != ChangeSet::default() {
            self.rebuild_endpoints();
        }
        self.following.updated.notify_waiters();
    }

    /// Swaps in the routing snapshot of a new version.
    fn update_routing(&self) {
        let mut cache = self.following.cache.borrow_mut();
        if cache.state.version == self.following.routing.borrow().version {
            return;
        }
        let snapshot = cache.state.snapshot_from(&self.following.routing.borrow());
        match snapshot {
            Ok(snapshot) => *self.following.routing.borrow_mut() = Rc::new(snapshot),
            Err(e) => log::error!("the configuration in force is invalid: {e}"),
        }
        log::info!(version = cache.state.version; "configuration in force");
        self.compare_timeouts_with_grace_period();
    }

    /// Says once of each longest timeout and grace period if a shutdown refuses, or cuts short, requests that take as long as their
    /// route allows.
    pub(super) fn compare_timeouts_with_grace_period(&self) {
        let longest = self.following.routing.borrow().longest_timeout();
        let grace = self.grace_period.get();
        if self.following.compared.replace((longest, grace)) == (longest, grace) {
            return;
        }
        let answered = DrainSchedule::longest_request(grace);
        if longest > answered {
            let (longest_ms, answered_ms) = (longest / MILLISECOND, answered / MILLISECOND);
            log::warn!(longest_ms, answered_ms; "routes allow requests to last longer than the grace period");
        }
    }
}
