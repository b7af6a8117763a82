//! All stand-ins of a day, and the hands by which they are steered while they run.

use crate::book::{digest, lock, Book, Clock};
use crate::clients::{Clients, Seen};
use crate::counter::Counter;
use crate::discovery::{Discovery, Row};
use crate::link::Link;
use crate::node::{Common, Node};
use crate::peers::Peers;
use crate::ways::Ways;
use limeway_checker::ledger::{self, Health, Opening};
use limeway_fault_injection::Record as Fired;
use limeway_scenario::file::Effect;
use limeway_scenario::links::{Apart, LinkEvent, Side};
use limeway_scenario::{settings, Day, Micros};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// News of a process that has died comes later than that of one that leaves, by so much.
const DEATH_LATER: Micros = 3_000_000;
/// Time that a draining node is given to finish before it ends.
const MAX_DRAIN: Duration = Duration::from_secs(5);
/// The room in which the counter stands.
const COUNTER_ROOM: u32 = 0;

/// What is cut now.
#[derive(Debug, Default)]
struct Cuts {
    rooms: BTreeSet<u32>,
    /// Between limiters; one that is cut twice heals as both are over.
    apart: Vec<Apart>,
}

impl Cuts {
    /// Whether nothing passes between two rooms.
    fn between(&self, a: u32, b: u32) -> bool {
        a != b && (self.rooms.contains(&a) || self.rooms.contains(&b))
    }
}

/// A place in the fleet, and the node that is there now.
struct Slot {
    node: Arc<Node>,
    /// Where each limiter reaches whoever is there.
    addresses: Vec<SocketAddr>,
}

/// All stand-ins.
pub struct World {
    /// The ledger.
    pub book: Arc<Book>,
    /// The day that is played.
    pub day: Arc<Day>,
    /// The counter.
    pub counter: Arc<Counter>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// Clients and front.
    pub clients: Arc<Clients>,
    /// Where limiters listen for clients.
    pub limiters: Vec<SocketAddr>,
    /// Where they listen for each other.
    pub peer_listen: Vec<SocketAddr>,
    peers: Peers,
    slots: Mutex<Vec<Slot>>,
    common: Common,
    /// Links to counter and discovery, where the day has faults of them.
    ways: Ways,
    /// What fired on links, those between limiters among them.
    pub fired: Fired,
    /// Ways from each limiter to each place, to the counter, and from its agent's sources.
    node_links: Vec<Vec<Link>>,
    counter_links: Vec<Link>,
    news_links: Vec<Link>,
    cut: Mutex<Cuts>,
    next_node: AtomicU32,
    news: AtomicU64,
}

/// A loopback address that no other run on this machine uses, by the process's id.
pub fn own_ip() -> IpAddr {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NUMBER.fetch_add(1, Ordering::Relaxed) % 250;
    IpAddr::V4(Ipv4Addr::new(127, (high & 0x3f) | 0x40, low, number as u8 + 2))
}

/// A port at which nobody listens now.
fn free_port(ip: IpAddr, taken: &BTreeSet<u16>) -> io::Result<SocketAddr> {
    // Bounded: a system that gives the same port each time has no other.
    for _ in 0..64 {
        let at = std::net::TcpListener::bind((ip, 0))?.local_addr()?;
        if !taken.contains(&at.port()) {
            return Ok(at);
        }
    }
    Err(io::Error::other("no free port"))
}

fn free_ports(ip: IpAddr, many: usize, taken: &mut BTreeSet<u16>) -> io::Result<Vec<SocketAddr>> {
    let mut ports = Vec::new();
    for _ in 0..many {
        let at = free_port(ip, taken)?;
        taken.insert(at.port());
        ports.push(at);
    }
    Ok(ports)
}

impl World {
    /// Starts all stand-ins of a day on loopback addresses of their own. Must run within a runtime.
    ///
    /// # Errors
    /// An address or port cannot be had.
    pub async fn start(day: Day) -> io::Result<Arc<Self>> {
        let day = Arc::new(day);
        // Limiters listen at an address of their own: ports that are free now are not given to a stand-in meanwhile.
        let (ip, limiter_ip, seed) = (own_ip(), own_ip(), day.seed);
        let book = Arc::new(Book::new(digest(6, seed, b"secret")));
        let count = day.scenario.fleet.limiters;
        let mut taken = BTreeSet::new();
        let limiters = free_ports(limiter_ip, count as usize, &mut taken)?;
        let peer_listen = free_ports(limiter_ip, count as usize, &mut taken)?;
        let ways = |many: usize| -> Vec<Vec<Link>> {
            (0..count).map(|_| (0..many).map(|_| Link::default()).collect()).collect()
        };
        let node_links = ways(day.nodes.len());
        let fired = Fired::default();
        let counter_links: Vec<Link> = (0..count).map(|_| Link::default()).collect();
        let news_links: Vec<Link> = (0..count).map(|_| Link::default()).collect();
        let any = SocketAddr::new(ip, 0);
        let counter = Counter::start(
            book.clone(),
            day.services.clone(),
            counter_links.iter().map(|l| (any, l.clone())).collect(),
        )?;
        let rules = &day.scenario.rules;
        let common = Common {
            book: book.clone(),
            key_us: (rules.key_seconds * 1e6) as Micros,
            fall: (rules.fall_multiple, (rules.fall_seconds * 1e6) as Micros),
            noise: day.services.attempt_noise,
            keys: Arc::default(),
        };
        let mut slots = Vec::new();
        for (number, spec) in (0..).zip(&day.nodes) {
            let at: Vec<_> = (0..count)
                .map(|l| (any, node_links[l as usize][number as usize].clone(), day.room_of(l) != spec.room))
                .collect();
            let node =
                Node::start(common.clone(), (number, spec.clone()), day.scenario.fleet.cold_start, &at)?;
            slots.push(Slot { addresses: node.addresses.clone(), node });
        }
        let lists = (0..count).map(|l| slots.iter().map(|s| row(s, l, Health::Serving, &day)).collect());
        let discovery = Discovery::start(book.clone(), &vec![any; count as usize], lists.collect())?;
        let peers = Peers::start(book.clone(), &day.services, &peer_listen, ip, seed, &fired).await?;
        let to = [(Side::Counter, &counter.addresses[..]), (Side::Discovery, &discovery.addresses[..])];
        let linked = if day.linked() { &to[..] } else { &[] };
        let ways = Ways::start(ip, seed, &fired, linked)?;
        let clients = Clients::new(book.clone(), day.clone(), &limiters);
        Ok(Arc::new(World {
            book,
            counter,
            discovery,
            clients,
            limiters,
            peer_listen,
            peers,
            next_node: AtomicU32::new(slots.len() as u32),
            slots: Mutex::new(slots),
            common,
            ways,
            fired,
            node_links,
            counter_links,
            news_links,
            cut: Mutex::default(),
            news: AtomicU64::new(0),
            day,
        }))
    }

    /// The configuration of a limiter, as the platform would write it now.
    pub fn config(&self, limiter: u32) -> Value {
        let at = limiter as usize;
        let limits = &self.day.scenario.limits;
        let life = self.news.fetch_add(1, Ordering::Relaxed);
        let seed = digest(7, self.day.seed.wrapping_add(life), &limiter.to_le_bytes());
        json!({
            "name": format!("n{limiter}"),
            "listen": self.limiters[at].to_string(),
            "discovery": self.ways.address(limiter, Side::Discovery).unwrap_or(self.discovery.addresses[at]).to_string(),
            "counter": self.ways.address(limiter, Side::Counter).unwrap_or(self.counter.addresses[at]).to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "peer_listen": self.peer_listen[at].to_string(),
            "peers": self.peers.seen()[at].iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
            "known": self.discovery.list(limiter),
            "settings": settings::settings(&self.day, limiter),
        })
    }

    /// The node at a place now.
    pub fn node(&self, slot: u32) -> Option<Arc<Node>> {
        lock(&self.slots).get(slot as usize).map(|s| s.node.clone())
    }

    /// News of a node goes to each limiter's agent, late; it waits where a limiter is cut off.
    fn publish(self: &Arc<Self>, slot: u32, health: Health, later: Micros) {
        let (least, most) = self.day.services.news_late_us;
        for limiter in 0..self.limiters.len() as u32 {
            let Some(row) = lock(&self.slots).get(slot as usize).map(|s| row(s, limiter, health, &self.day))
            else {
                return;
            };
            let n = self.news.fetch_add(1, Ordering::Relaxed);
            let part = digest(8, self.day.seed, &n.to_le_bytes()) as f64 / u64::MAX as f64;
            let at = self.book.now() + later + least + ((most - least) as f64 * part) as Micros;
            let (world, link) = (self.clone(), self.news_links[limiter as usize].clone());
            tokio::spawn(async move {
                world.book.clock.until(at).await;
                link.up().await;
                world.discovery.tell(limiter, row);
            });
        }
    }

    /// A node drains: it turns new requests away and finishes what it has. Limiters hear of it late.
    pub fn drain(self: &Arc<Self>, slot: u32) {
        if let Some(node) = self.node(slot) {
            node.drain(true);
            self.publish(slot, Health::Draining, 0);
        }
    }

    /// A draining node takes requests again.
    pub fn undrain(self: &Arc<Self>, slot: u32) {
        if let Some(node) = self.node(slot) {
            node.drain(false);
            self.publish(slot, Health::Serving, 0);
        }
    }

    /// A node's process dies; limiters hear of it later still.
    pub fn kill(self: &Arc<Self>, slot: u32) {
        if let Some(node) = self.node(slot) {
            node.kill();
            self.publish(slot, Health::Gone, DEATH_LATER);
        }
    }

    /// A node starts at a place whose last one has ended: the same node, or a new one under a new id. It is cold.
    ///
    /// # Errors
    /// The addresses are not free.
    pub fn start_node(self: &Arc<Self>, slot: u32, new: bool) -> io::Result<()> {
        let Some(old) = self.node(slot) else { return Ok(()) };
        let addresses = lock(&self.slots)[slot as usize].addresses.clone();
        let at: Vec<_> = (0..)
            .zip(addresses)
            .map(|(l, a)| {
                (a, self.node_links[l as usize][slot as usize].clone(), self.day.room_of(l) != old.room)
            })
            .collect();
        let number = if new { self.next_node.fetch_add(1, Ordering::Relaxed) } else { old.number };
        let node = Node::start(self.common.clone(), (number, old.spec.clone()), true, &at)?;
        lock(&self.slots)[slot as usize].node = node;
        self.publish(slot, Health::Serving, 0);
        Ok(())
    }

    /// A node drains and ends, and another takes its place at the same addresses under a new id.
    ///
    /// # Errors
    /// The addresses are not free.
    pub async fn replace(self: &Arc<Self>, slot: u32) -> io::Result<()> {
        let Some(node) = self.node(slot) else { return Ok(()) };
        self.drain(slot);
        // All limiters must have heard of it before its process goes.
        let heard = Duration::from_micros(self.day.services.news_late_us.1);
        tokio::time::sleep(heard).await;
        let emptied = async {
            while node.held() > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = tokio::time::timeout(MAX_DRAIN, emptied).await;
        node.kill();
        self.publish(slot, Health::Gone, 0);
        // Its sockets are let go by tasks that hear of the end on their own.
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(10)).await;
            if self.start_node(slot, true).is_ok() {
                return Ok(());
            }
        }
        self.start_node(slot, true)
    }

    /// Cuts a room off from the others, or lets it be reached again.
    pub fn cut_room(&self, room: u32, cut: bool) {
        let mut cuts = lock(&self.cut);
        if cut {
            cuts.rooms.insert(room);
        } else {
            cuts.rooms.remove(&room);
        }
        for limiter in 0..self.limiters.len() {
            let here = self.day.room_of(limiter as u32);
            for (link, spec) in self.node_links[limiter].iter().zip(&self.day.nodes) {
                link.cut(cuts.between(here, spec.room));
            }
            self.counter_links[limiter].cut(cuts.between(here, COUNTER_ROOM));
            self.news_links[limiter].cut(cuts.rooms.contains(&here));
        }
        self.cut_peers(&cuts);
    }

    /// Cuts or heals the ways between limiters as it is said now.
    fn cut_peers(&self, cuts: &Cuts) {
        let rooms = |a, b| cuts.between(self.day.room_of(a), self.day.room_of(b));
        let count = self.limiters.len() as u32;
        let told = |from, to| cuts.apart.iter().any(|c| c.cuts(from, to, count));
        self.peers.cut(|from, to| rooms(from, to) || told(from, to));
    }

    /// Has messages between limiters be lost, or come again.
    pub fn cut_apart(&self, apart: Apart, cut: bool) {
        let mut cuts = lock(&self.cut);
        if cut {
            cuts.apart.push(apart);
        } else if let Some(at) = cuts.apart.iter().position(|a| *a == apart) {
            cuts.apart.remove(at);
        }
        self.cut_peers(&cuts);
    }

    /// Lets a fault of a link begin, or be over.
    pub fn link_fault(&self, event: LinkEvent, on: bool) {
        self.ways.fault(event, on);
    }

    /// Cuts a limiter off from the counter alone, or ends it. The cut of a room at the same time goes before it.
    pub fn cut_counter(&self, limiter: u32, cut: bool) {
        if let Some(link) = self.counter_links.get(limiter as usize) {
            link.cut(cut);
        }
    }

    /// The front hears that a limiter is dead, late; unless it is up again by then.
    pub fn limiter_died(self: &Arc<Self>, limiter: u32) {
        let (least, most) = self.day.services.notice_us;
        let n = self.news.fetch_add(1, Ordering::Relaxed);
        let part = digest(9, self.day.seed, &n.to_le_bytes()) as f64 / u64::MAX as f64;
        let at = self.book.now() + least + ((most - least) as f64 * part) as Micros;
        let world = self.clone();
        tokio::spawn(async move {
            world.book.clock.until(at).await;
            if !world.clients.healthy(limiter).await {
                world.clients.see(limiter, Seen::Down);
            }
        });
    }

    /// Ends all nodes: their tasks and sockets go.
    pub fn stop(&self) {
        for slot in lock(&self.slots).iter() {
            slot.node.kill();
        }
    }
}

fn row(slot: &Slot, limiter: u32, health: Health, day: &Day) -> Row {
    let node = &slot.node;
    // Those that were there before the run began started long ago, unless the whole fleet is cold.
    let old =
        node.number < day.nodes.len() as u32 && !day.scenario.fleet.cold_start && node.start < 1_000_000;
    Row {
        node: node.number,
        dial: slot.addresses[limiter as usize],
        room: node.room,
        health,
        share: 1.0,
        started: if old { -1 } else { node.start as i64 },
    }
}

/// The opening of a day's ledger.
pub fn opening(day: &Day, clock: &Clock) -> Opening {
    let s = &day.scenario;
    let micros = |seconds: f64| (seconds * 1e6) as Micros;
    Opening {
        ledger: ledger::VERSION,
        scenario: s.name.clone(),
        seed: day.seed,
        began_unix_us: clock.unix_us(),
        limiters: s.fleet.limiters,
        classes: s
            .class
            .iter()
            .map(|c| ledger::Class {
                name: c.name.clone(),
                effect: match c.effect {
                    Effect::Safe => ledger::Effect::Safe,
                    Effect::Keyed => ledger::Effect::Keyed,
                    Effect::Unsafe => ledger::Effect::Unsafe,
                },
                window_us: micros(s.rules.key_seconds),
                aim_us: micros(c.aim_seconds),
                worth: c.worth,
            })
            .collect(),
        plans: s
            .plan
            .iter()
            .zip(&day.plans)
            .map(|(p, f)| ledger::Plan {
                name: p.name.clone(),
                rate: f.rate,
                burst: f.burst,
                pays: p.pays,
                over_cost: p.over_cost,
                ceiling_rate: f.ceiling_rate,
                ceiling_burst: f.ceiling_burst,
                ceiling_slack: f.ceiling_slack,
            })
            .collect(),
        rules: ledger::Rules {
            answer_slack_us: settings::ANSWER_SLACK_US,
            socket_slack_us: 50_000,
            drain_grace_us: micros(s.rules.drain_grace_seconds),
            fall_us: micros(s.rules.fall_seconds),
            fall_multiple: s.rules.fall_multiple,
            max_attempts: s.rules.max_attempts,
            second_copies: false,
        },
        // As the users weigh service: see the operator page.
        service: ledger::Weights {
            whole: 0.65,
            worst_window: 0.2,
            worst_plan: 0.15,
            counter: 0.005,
            peer: 0.02,
            waste: 0.03,
            late_fail: 0.05,
            cross_room: 0.005,
        },
    }
}
