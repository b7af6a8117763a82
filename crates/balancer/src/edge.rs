//! A limiter that clients reach: what it knows, where it gets it from, and what it tells those below it.

mod quotas;

use crate::clock::{self, now, Micros};
use crate::core::Core;
use crate::link::{self, Links};
use crate::messages::{Call, Reply};
use crate::outbound::Pools;
use limeway_distribution::follower::{Follower, FollowerAction};
use limeway_distribution::transfer::StateRequest;
use limeway_distribution::{ChangeSet, StateCache};
use limeway_load_balancing::{cold_share, Candidate, Near, Selector, Tries};
use limeway_membership::{rendezvous_weight, MemberHeartbeat, NodeId};
use limeway_quota::desk::{Desk, Ticket};
use limeway_quota::escrow::Take;
use limeway_quota::Rule;
use limeway_routing_config::RoutingSnapshot;
use limeway_service_registry::Phase;
use limeway_settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

/// A poll is held for so long where there is no news.
const HOLD: Micros = 600_000;
/// Beyond the hold, an answer is waited for this long.
const ANSWER: Duration = Duration::from_millis(700);
/// Longest that a poll from below is held.
const HOLD_MOST: Micros = 2_000_000;
/// And for so long in all, while pieces of it keep coming.
const FEED_MOST: Duration = Duration::from_secs(4);
/// What a clock may be off, and what it takes to act.
const REVOKE_MARGIN: Micros = 250_000;
/// Limiters that may send to one cold server, at most.
const SHARERS: usize = 4;
/// Part of the bound for cold servers that is used.
const COLD_USED: f64 = 0.95;

/// A server as requests see it.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its life.
    pub id: Rc<str>,
    /// Where.
    pub address: SocketAddrV4,
    /// Its region.
    pub region: Rc<str>,
    /// How far it is.
    pub near: Near,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Cold until then.
    pub cold_until: Micros,
    /// Requests a second that this limiter may send it while it is cold.
    pub cold_rate: f64,
    /// It has missed its reports.
    pub silent: bool,
    /// Connections that this limiter may have there: its part of those that the server takes from all.
    pub most: u32,
}

/// The servers by service: an immutable snapshot.
pub type Table = HashMap<Rc<str>, Vec<Place>>;

/// A limiter.
pub struct Edge {
    /// Its settings.
    pub settings: Settings,
    me: NodeId,
    board: RefCell<StateCache>,
    plan: RefCell<Rc<RoutingSnapshot>>,
    table: RefCell<Rc<Table>>,
    /// Which server a request goes to.
    pub selector: RefCell<Selector>,
    /// The budget of further tries.
    pub tries: RefCell<Tries>,
    /// Connections to servers.
    pub pools: Pools,
    desk: RefCell<Desk>,
    /// Requests that wait for a unit, by their tickets.
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Result<(), Micros>>>>,
    rule: Rule,
    links: Links,
    /// News for those below.
    news: Notify,
    /// Whom it asks, and what it believes.
    follower: RefCell<Follower>,
    short: Notify,
    /// How long a count takes to answer, about.
    far: Cell<Micros>,
    /// Requests that had to wait for a unit, since the last account.
    pub waited: Cell<u32>,
    /// It ends: it says so to the core.
    pub leaving: Cell<bool>,
    /// Wakes the poll to tell that this limiter leaves.
    pub hurry: Notify,
    /// Zones that were evacuated until not long ago: their servers may be cold without having said so.
    returned: RefCell<BTreeMap<String, Micros>>,
}

impl Edge {
    /// A limiter that knows nothing yet.
    pub fn new(settings: Settings) -> Rc<Self> {
        let rule = Core::rule(&settings);
        let b = &settings.bounds;
        Rc::new(Edge {
            me: NodeId::from(settings.ip),
            board: RefCell::new(StateCache::relay(clock::draw() | 1)),
            plan: RefCell::default(),
            table: RefCell::default(),
            selector: RefCell::default(),
            tries: RefCell::new(Tries::new(b.retry_ratio, b.retry_window)),
            pools: Pools::new(settings.fds.saturating_sub(300) / 3),
            desk: RefCell::new(Desk::new(rule.length(), clock::draw() | 1)),
            waiters: RefCell::default(),
            rule,
            links: Links::new(settings.inner.0),
            news: Notify::new(),
            follower: RefCell::new(Follower::new(
                NodeId::from(settings.ip),
                &settings.zone,
                link::nodes(&settings.seeds),
            )),
            short: Notify::new(),
            far: Cell::new(0),
            waited: Cell::new(0),
            leaving: Cell::new(false),
            hurry: Notify::new(),
            returned: RefCell::default(),
            settings,
        })
    }

    /// The configuration in force.
    pub fn plan(&self) -> Rc<RoutingSnapshot> {
        self.plan.borrow().clone()
    }

    /// The servers.
    pub fn table(&self) -> Rc<Table> {
        self.table.borrow().clone()
    }

    /// Whether the configuration is sure enough to admit keys by: keys that were taken away are refused in time, on
    /// machines that are cut off too.
    pub fn sure(&self) -> bool {
        let board = self.board.borrow();
        let bounds = &self.settings.bounds;
        let lasts = if bounds.strict { bounds.revoke.saturating_sub(REVOKE_MARGIN) } else { 60_000_000 };
        board.confirmed_at > 0 && now() < board.confirmed_at + lasts
    }

    /// As of when it is sure of the configuration.
    pub fn sure_since(&self) -> Micros {
        self.board.borrow().confirmed_at
    }

    /// Whether it can serve.
    pub fn ready(&self) -> bool {
        !self.leaving.get() && self.plan.borrow().version > 0 && self.sure()
    }

    /// This limiter's part of what belongs to all.
    pub fn part(&self, of: f64) -> f64 {
        of / self.board.borrow().members().len().max(3) as f64
    }

    /// Members and servers that are known here.
    pub fn known(&self) -> (usize, usize) {
        let board = self.board.borrow();
        let live = board
            .registry
            .servers()
            .values()
            .filter(|s| s.phase == Phase::Ready && !s.unresponsive && !s.unlisted)
            .count();
        (board.members().len(), live)
    }

    fn presence(&self) -> MemberHeartbeat {
        let front = match self.settings.frontend {
            Some(std::net::SocketAddr::V4(front)) => front,
            _ => SocketAddrV4::new(self.settings.ip, 0),
        };
        MemberHeartbeat {
            node: self.me,
            frontend: front,
            zone: self.settings.zone.clone(),
            ready: self.ready(),
            age: 0,
        }
    }

    /// The settings file has changed: what it says of seeds counts from now on.
    pub fn reload(&self, settings: &Settings) {
        self.follower.borrow_mut().seeds = link::nodes(&settings.seeds);
    }

    /// Asks for news, for ever.
    pub async fn follow(self: Rc<Self>) {
        loop {
            let t = now();
            let next = self.follower.borrow_mut().next_action(t, &self.board.borrow());
            match next {
                FollowerAction::Wait(until) => {
                    sleep(Duration::from_micros(until.saturating_sub(t).max(1_000))).await
                }
                FollowerAction::Poll(above) => self.poll(above).await,
                FollowerAction::Fetch(from, want) => self.fetch(from, want).await,
            }
        }
    }

    async fn poll(&self, above: NodeId) {
        let asked = now();
        let wait = if self.leaving.get() || !self.ready() { HOLD / 4 } else { HOLD };
        let poll = self.follower.borrow_mut().poll(asked, &self.board.borrow(), self.presence(), wait);
        let (want, link) = (poll.request, self.links.to(above));
        let call = Call::LongPoll(Box::new(poll));
        let answer = tokio::select! {
            answer = link.call_patient(&call, Duration::from_micros(HOLD) + ANSWER, FEED_MOST) => answer,
            // It leaves: that is told at once.
            () = self.hurry.notified() => return,
        };
        match answer {
            Ok(Reply::Update(feed)) => {
                self.take(|t, follower, board| {
                    follower.handle_response(t, asked, &want, above, *feed, board)
                });
            }
            other => self.failed(above, other.err()),
        }
    }

    async fn fetch(&self, from: NodeId, want: StateRequest) {
        let link = self.links.to(from);
        match link.call_patient(&Call::Fetch(want), Duration::from_micros(HOLD) + ANSWER, FEED_MOST).await {
            Ok(Reply::StateUpdate(steps)) => {
                self.take(|t, follower, board| follower.handle_fetched(t, &want, steps, board));
            }
            other => self.failed(from, other.err()),
        }
    }

    fn failed(&self, node: NodeId, error: Option<link::LinkError>) {
        log::info!(node, error = format!("{error:?}").as_str(); "no news from above");
        self.follower.borrow_mut().handle_failure(now(), node);
    }

    /// Takes in what came, and makes plan and table anew once for all of it.
    fn take(&self, told: impl FnOnce(Micros, &mut Follower, &mut StateCache) -> ChangeSet) {
        let t = now();
        let before = self.board.borrow().state.evacuated.clone();
        let changed = told(t, &mut self.follower.borrow_mut(), &mut self.board.borrow_mut());
        if changed.state {
            let mut board = self.board.borrow_mut();
            if board.state.version != self.plan.borrow().version {
                let plan = board.state.snapshot_from(&self.plan.borrow());
                match plan {
                    Ok(plan) => *self.plan.borrow_mut() = Rc::new(plan),
                    Err(e) => log::error!("configuration in force cannot be read: {e}"),
                }
                log::info!(version = board.state.version; "configuration in force");
            }
            for zone in before.keys().filter(|z| !board.state.evacuated.contains_key(*z)) {
                self.returned.borrow_mut().insert(zone.clone(), t);
            }
        }
        if changed != ChangeSet::default() {
            self.rebuild();
        }
        self.news.notify_waiters();
    }

    /// Makes the table of servers anew.
    fn rebuild(&self) {
        let (t, board, plan) = (now(), self.board.borrow(), self.plan.borrow());
        let s = &self.settings;
        let mut table = Table::new();
        let mut returned = self.returned.borrow_mut();
        let mut regions: HashMap<&str, Rc<str>> = HashMap::new();
        for (id, server) in board.registry.servers() {
            if server.phase != Phase::Ready || board.state.evacuated.contains_key(&server.zone) {
                continue;
            }
            let region = s.zones.get(&server.zone).map_or("", String::as_str);
            let near = if server.zone == s.zone {
                Near::Zone
            } else if region == s.region {
                Near::Region
            } else {
                Near::Far
            };
            let service = plan.services.get(&server.service);
            // Until it has reported again, a server of a zone that is taken back may be cold.
            let since = returned.get(&server.zone).copied().unwrap_or(0);
            let hidden = service.map_or(0, |c| c.slow_start);
            let cold_until =
                if since > 0 { server.slow_start_until.max(since + hidden) } else { server.slow_start_until };
            // A server that is warm gets no share: it turns cold only by news, which brings a new table.
            let cold = service.filter(|_| cold_until > t);
            let cold_rate = cold.map_or(0.0, |c| self.cold_rate(id, &server.zone, region, c.slow_start_rate));
            // Members are counted as they are known; a few more than those may be on their way.
            let members = board.members().len().max(3) as f64 + 1.0;
            let connections = service.map_or(0.0, |c| c.max_connections);
            let most =
                if connections > 0.0 { (connections / members).floor().max(1.0) as u32 } else { u32::MAX };
            let place = Place {
                id: Rc::from(id.as_str()),
                address: server.address,
                region: regions.entry(region).or_insert_with(|| Rc::from(region)).clone(),
                near,
                slots: server.capacity_slots,
                cold_until,
                cold_rate,
                silent: server.unresponsive || server.unlisted,
                most,
            };
            match table.get_mut(server.service.as_str()) {
                Some(places) => places.push(place),
                None => {
                    table.insert(Rc::from(server.service.as_str()), vec![place]);
                }
            }
        }
        returned.retain(|_, since| t < *since + 20_000_000);
        drop(returned);
        self.pools.keep(|id| board.registry.servers().get(id).is_some_and(|s| s.phase == Phase::Ready));
        *self.table.borrow_mut() = Rc::new(table);
    }

    /// Requests a second that this limiter may send a cold server: few limiters share it, nearest ones.
    fn cold_rate(&self, id: &str, zone: &str, region: &str, rate: f64) -> f64 {
        let board = self.board.borrow();
        let b = &self.settings.bounds;
        let key = limeway_membership::hash(id.as_bytes());
        let zones = &self.settings.zones;
        let of = |near: &dyn Fn(&str) -> bool| -> Vec<NodeId> {
            board.members().iter().filter(|m| near(&m.zone)).map(|m| m.node).collect()
        };
        let mut sharers = of(&|z| z == zone);
        if sharers.is_empty() {
            sharers = of(&|z| zones.get(z).is_some_and(|r| r == region));
        }
        if sharers.is_empty() {
            sharers = of(&|_| true);
        }
        sharers.sort_by_key(|n| std::cmp::Reverse(rendezvous_weight(key, *n)));
        sharers.truncate(SHARERS);
        if !sharers.contains(&self.me) {
            return 0.0;
        }
        let most = if rate > 0.0 { rate * b.cold_overshoot + b.cold_slack } else { f64::MAX };
        if most == f64::MAX {
            return most;
        }
        cold_share(COLD_USED * most, sharers.len())
    }

    /// The servers of a service that a request may go to: in all homes that are named.
    pub fn candidates(&self, service: &str, homes: [&[String]; 2]) -> Vec<Candidate> {
        let (t, table) = (now(), self.table());
        let home =
            |place: &&Place| homes.iter().all(|h| h.is_empty() || h.iter().any(|r| **r == *place.region));
        let candidate = |place: &Place| Candidate {
            id: place.id.clone(),
            slots: place.slots,
            near: place.near,
            cold: (place.cold_until > t).then_some(place.cold_rate),
            silent: place.silent,
            most: place.most,
        };
        let places = table.get(service).map_or(&[][..], Vec::as_slice);
        places.iter().filter(home).map(candidate).collect()
    }

    /// Where a server is reached, and how many connections there may be.
    pub fn address(&self, service: &str, id: &str) -> Option<(SocketAddrV4, u32)> {
        self.table.borrow().get(service)?.iter().find(|p| &*p.id == id).map(|p| (p.address, p.most))
    }

    /// Answers where a client should go.
    pub fn resolve(&self, rest: &str) -> Option<String> {
        let board = self.board.borrow();
        let port = self.settings.frontend.map_or(0, |f| f.port());
        // All machines have the same ports.
        let fronts =
            board.members().iter().map(|m| (m.zone.as_str(), SocketAddrV4::new(m.node.into(), port)));
        crate::directory::resolve(&self.settings, fronts, rest)
    }

    /// Forgets what is old, for ever.
    pub async fn tidy(self: Rc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            self.pools.prune();
            self.selector.borrow_mut().sweep(now());
            self.board.borrow_mut().registry.expire(now(), Micros::MAX);
        }
    }

    /// Answers a call of another process: this limiter relays.
    pub async fn answer(self: Rc<Self>, call: Call) -> Reply {
        let poll = match call {
            Call::LongPoll(poll) => *poll,
            Call::BorrowUnit(tenant) => return self.lend(&tenant),
            Call::Fetch(want) => return Reply::StateUpdate(self.board.borrow().state_update(&want)),
            _ => return Reply::Declined,
        };
        let t = now();
        if self.follower.borrow_mut().observe_downstream(t, &poll) {
            // Who comes or leaves is told at once.
            self.hurry.notify_one();
        }
        loop {
            let notified = self.news.notified();
            let left = self.board.borrow().long_poll_deadline(t, &poll, HOLD_MOST).saturating_sub(now());
            if left == 0 || self.board.borrow().has_update(&poll) {
                break;
            }
            let _ = timeout(Duration::from_micros(left), notified).await;
        }
        let end = now();
        Reply::Update(Box::new(self.board.borrow().respond(end, &poll, end - t)))
    }
}
