//! A limiter that clients reach: what it knows, where it gets it from, and what it tells those below it.

mod quotas;

use crate::clock::{self, now, Micros};
use crate::core::Core;
use crate::link::{self, Links};
use crate::messages::{Call, Reply};
use crate::outbound::Pools;
use limeway_jackfield::Settings;
use limeway_numbering::Plan;
use limeway_roster::{rank, Node, Presence};
use limeway_selector::{cold_share, Candidate, Near, Selector, Tries};
use limeway_tandem::{tree, Board, Feed, Poll};
use limeway_toll::escrow::{Escrow, Take};
use limeway_toll::Rule;
use limeway_watch::Phase;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// A poll is held for so long where there is no news.
const HOLD: Micros = 600_000;
/// Beyond the hold, an answer is waited for this long.
const ANSWER: Duration = Duration::from_millis(700);
/// And for so long in all, while pieces of it keep coming: a whole state over a thin way takes its time.
const FEED_MOST: Duration = Duration::from_secs(20);
/// Whoever has not answered, or was itself not sure of its state, is passed over for so long.
const PASSED_OVER: Micros = 1_500_000;
/// A teller that was last sure so long ago is passed over.
const UNSURE: Micros = 1_500_000;
/// What a clock may be off, and what it takes to act.
const REVOKE_MARGIN: Micros = 250_000;
/// Limiters that may send to one cold server, at most.
const SHARERS: usize = 4;
/// Part of the bound for cold servers that is used.
const COLD_USED: f64 = 0.95;
/// Limiters below one relay, at most.
const BELOW_MOST: usize = 4 * tree::FAN;

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
    me: Node,
    board: RefCell<Board>,
    plan: RefCell<Rc<Plan>>,
    table: RefCell<Rc<Table>>,
    /// Which server a request goes to.
    pub selector: RefCell<Selector>,
    /// The budget of further tries.
    pub tries: RefCell<Tries>,
    /// Connections to servers.
    pub pools: Pools,
    escrow: RefCell<Escrow>,
    rule: Rule,
    links: Links,
    /// News for those below.
    news: Notify,
    below: RefCell<BTreeMap<Node, Presence>>,
    seeds: RefCell<Vec<std::net::SocketAddr>>,
    /// What was last told from above: the life of its board, and the numbers of its changes.
    above: Cell<(u64, u64, u64)>,
    failed: RefCell<BTreeMap<Node, Micros>>,
    short: Notify,
    /// How long a count takes to answer, about.
    far: Cell<Micros>,
    /// Requests that had to wait for a unit, since the last account.
    pub waited: Cell<u32>,
    granted: Notify,
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
            me: Node::from(settings.ip),
            board: RefCell::new(Board::new(clock::draw() | 1)),
            plan: RefCell::default(),
            table: RefCell::default(),
            selector: RefCell::default(),
            tries: RefCell::new(Tries::new(b.retry_ratio, b.retry_window)),
            pools: Pools::new(settings.fds.saturating_sub(300) / 3),
            escrow: RefCell::new(Escrow::new(rule.length())),
            rule,
            links: Links::new(settings.inner.0),
            news: Notify::new(),
            below: RefCell::default(),
            seeds: RefCell::new(settings.seeds.clone()),
            above: Cell::new((0, 0, 0)),
            failed: RefCell::default(),
            short: Notify::new(),
            far: Cell::new(0),
            waited: Cell::new(0),
            granted: Notify::new(),
            leaving: Cell::new(false),
            hurry: Notify::new(),
            returned: RefCell::default(),
            settings,
        })
    }

    /// The configuration in force.
    pub fn plan(&self) -> Rc<Plan> {
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
        board.sure > 0 && now() < board.sure + lasts
    }

    /// As of when it is sure of the configuration.
    pub fn sure_since(&self) -> Micros {
        self.board.borrow().sure
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
            .watch
            .servers()
            .values()
            .filter(|s| s.phase == Phase::Ready && !s.silent && !s.doubted)
            .count();
        (board.members().len(), live)
    }

    fn presence(&self) -> Presence {
        let front = match self.settings.frontend {
            Some(std::net::SocketAddr::V4(front)) => front,
            _ => SocketAddrV4::new(self.settings.ip, 0),
        };
        Presence { node: self.me, front, zone: self.settings.zone.clone(), ready: self.ready(), age: 0 }
    }

    fn core(&self) -> Vec<Node> {
        let mut core = self.board.borrow().state.core.clone();
        // Should none of those that are known answer, the settings file may know better.
        let seeds = self.seeds();
        core.extend(seeds.into_iter().filter(|s| !self.board.borrow().state.core.contains(s)));
        core
    }

    fn seeds(&self) -> Vec<Node> {
        link::nodes(&self.seeds.borrow())
    }

    /// The settings file has changed: what it says of seeds counts from now on.
    pub fn reload(&self, settings: &Settings) {
        self.seeds.borrow_mut().clone_from(&settings.seeds);
    }

    /// Polls whoever is above, for ever.
    pub async fn follow(self: Rc<Self>) {
        loop {
            let t = now();
            self.failed.borrow_mut().retain(|_, until| *until > t);
            let failed: Vec<Node> = self.failed.borrow().keys().copied().collect();
            let order = tree::above(
                self.me,
                &self.settings.zone,
                self.board.borrow().members(),
                &self.core(),
                &failed,
            );
            let Some(above) = order.first().copied() else {
                sleep(Duration::from_millis(200)).await;
                continue;
            };
            let below: Vec<Presence> = {
                let mut below = self.below.borrow_mut();
                below.retain(|_, p| t.saturating_sub(p.age) < limeway_roster::LEASE);
                below.values().map(|p| Presence { age: t.saturating_sub(p.age), ..p.clone() }).collect()
            };
            let poll = {
                let board = self.board.borrow();
                let (epoch, servers, members) = self.above.get();
                let wait = if self.leaving.get() || !self.ready() { HOLD / 4 } else { HOLD };
                Poll { me: self.presence(), below, slot: board.state.slot, epoch, servers, members, wait }
            };
            let slot = poll.slot;
            let link = self.links.to(above);
            let call = Call::Poll(poll);
            let asked = now();
            let answer = tokio::select! {
                answer = link.call_patient(&call, Duration::from_micros(HOLD) + ANSWER, FEED_MOST) => Some(answer),
                () = self.hurry.notified() => None,
            };
            match answer {
                Some(Ok(Reply::Feed(feed))) => {
                    let unsure = feed.age.is_none_or(|a| a > UNSURE);
                    self.take(asked, slot, *feed);
                    if unsure {
                        self.failed.borrow_mut().insert(above, now() + PASSED_OVER);
                        sleep(Duration::from_millis(60)).await;
                    }
                }
                Some(other) => {
                    log::info!(above, error = format!("{:?}", other.err()).as_str(); "no news from above");
                    self.failed.borrow_mut().insert(above, now() + PASSED_OVER);
                    sleep(Duration::from_millis(40 + clock::draw() % 40)).await;
                }
                // It leaves: that is told at once.
                None => {}
            }
        }
    }

    fn take(&self, asked: Micros, slot: u64, feed: Feed) {
        let t = now();
        self.above.set((feed.epoch, feed.change, feed.members_change));
        let before = self.board.borrow().state.evacuated.clone();
        let changed = self.board.borrow_mut().take(t, asked, slot, feed);
        if changed.state {
            let board = self.board.borrow();
            if board.state.version != self.plan.borrow().version {
                match board.state.plan() {
                    Ok(plan) => *self.plan.borrow_mut() = Rc::new(plan),
                    Err(e) => log::error!("configuration in force cannot be read: {e}"),
                }
                log::info!(version = board.state.version; "configuration in force");
            }
            for zone in before.keys().filter(|z| !board.state.evacuated.contains_key(*z)) {
                self.returned.borrow_mut().insert(zone.clone(), t);
            }
        }
        if changed != limeway_tandem::Changed::default() {
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
        for (id, server) in board.watch.servers() {
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
            let cold_rate = service.map_or(0.0, |c| self.cold_rate(id, &server.zone, region, c.cold_rate));
            // Until it has reported again, a server of a zone that is taken back may be cold.
            let since = returned.get(&server.zone).copied().unwrap_or(0);
            let hidden = service.map_or(0, |c| c.cold);
            let cold_until =
                if since > 0 { server.cold_until.max(since + hidden) } else { server.cold_until };
            // Members are counted as they are known; a few more than those may be on their way.
            let members = board.members().len().max(3) as f64 + 1.0;
            let connections = service.map_or(0.0, |c| c.connections);
            let most =
                if connections > 0.0 { (connections / members).floor().max(1.0) as u32 } else { u32::MAX };
            let place = Place {
                id: Rc::from(id.as_str()),
                address: server.address,
                region: regions.entry(region).or_insert_with(|| Rc::from(region)).clone(),
                near,
                slots: server.slots,
                cold_until,
                cold_rate,
                silent: server.silent || server.doubted,
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
        self.pools.keep(|id| board.watch.servers().get(id).is_some_and(|s| s.phase == Phase::Ready));
        *self.table.borrow_mut() = Rc::new(table);
    }

    /// Requests a second that this limiter may send a cold server: few limiters share it, nearest ones.
    fn cold_rate(&self, id: &str, zone: &str, region: &str, rate: f64) -> f64 {
        let board = self.board.borrow();
        let b = &self.settings.bounds;
        let key = limeway_roster::hash(id.as_bytes());
        let zones = &self.settings.zones;
        let of = |near: &dyn Fn(&str) -> bool| -> Vec<Node> {
            board.members().iter().filter(|(_, z)| near(z)).map(|(n, _)| *n).collect()
        };
        let mut sharers = of(&|z| z == zone);
        if sharers.is_empty() {
            sharers = of(&|z| zones.get(z).is_some_and(|r| r == region));
        }
        if sharers.is_empty() {
            sharers = of(&|_| true);
        }
        sharers.sort_by_key(|n| std::cmp::Reverse(rank(key, *n)));
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
            board.members().iter().map(|(n, zone)| (zone.as_str(), SocketAddrV4::new((*n).into(), port)));
        crate::directory::resolve(&self.settings, fronts, rest)
    }

    /// Forgets what is old, for ever.
    pub async fn tidy(self: Rc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            self.pools.prune();
            self.selector.borrow_mut().sweep(now());
            self.board.borrow_mut().watch.sweep(now(), Micros::MAX);
        }
    }

    /// Answers a call of another process: this limiter relays.
    pub async fn answer(self: Rc<Self>, call: Call) -> Reply {
        let poll = match call {
            Call::Poll(poll) => poll,
            Call::Unit(tenant) => return self.lend(&tenant),
            Call::Fetch(slot) => return Reply::Steps(self.board.borrow().steps(slot)),
            _ => return Reply::Not,
        };
        let t = now();
        {
            let mut below = self.below.borrow_mut();
            for presence in std::iter::once(&poll.me).chain(&poll.below) {
                if below.len() < BELOW_MOST || below.contains_key(&presence.node) {
                    let age = t.saturating_sub(presence.age);
                    let new = below.insert(presence.node, Presence { age, ..presence.clone() });
                    if new.is_none_or(|p| p.ready != presence.ready) {
                        // Who comes or leaves is told at once.
                        self.hurry.notify_one();
                    }
                }
            }
        }
        let until = tokio::time::Instant::now() + Duration::from_micros(poll.wait.min(2_000_000));
        loop {
            let notified = self.news.notified();
            if self.board.borrow().has_news(&poll) || tokio::time::timeout_at(until, notified).await.is_err()
            {
                break;
            }
        }
        let end = now();
        Reply::Feed(Box::new(self.board.borrow().feed(end, &poll, end - t)))
    }
}
