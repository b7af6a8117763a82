//! Stand-ins for those whom core machines serve: operators, limiters, servers. They keep to the protocol and decide nothing.

use crate::chance::Chance;
use crate::world::{node, Ev, Origin, World, LIMITERS};
use crate::{Micros, Off, SECOND};
use limeway_control_plane::messages::{Call, Reply};
use limeway_control_plane::{ApiRequest, ApiResponse};
use limeway_distribution::{LongPoll, StateCache};
use limeway_membership::{MemberHeartbeat, SHARDS};
use limeway_quota::QuotaRequest;
use limeway_routing_config::ConfigUpdate;
use limeway_service_registry::{Phase, ServerReport};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Operators.
const OPERATORS: usize = 2;
/// Orders under way, at most, over all operators.
const UNDER_WAY: usize = 8;
/// Servers.
const SERVERS: usize = 2;
/// An operator tries another machine after so long without an answer.
const SILENCE: Micros = SECOND;
/// A limiter's poll is held for so long.
const HOLD: Micros = 600_000;
/// A limiter passes over a machine that failed for so long.
const PASSED_OVER: Micros = 1_500_000;
/// No new orders come so long after the last fault.
const QUIET: Micros = 8 * SECOND;
/// Evacuations are sent again for so long.
const AGAIN: Micros = 2 * SECOND;

/// Someone who waits for something, and for which of his tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Who {
    /// An operator's next order is due.
    Operator(usize),
    /// A flight's try.
    Flight(u64, u64),
    /// A limiter's next poll.
    Limiter(usize),
    /// A server's next report.
    Server(usize),
    /// A server's last word, and its try.
    Gone(usize, u64),
    /// A read at the end, of this machine.
    Reader(usize),
}

/// What an operator wants.
#[derive(Debug, Clone)]
pub enum Wanted {
    /// A change.
    Order(ConfigUpdate),
    /// The newest configuration.
    Read,
    /// A zone evacuated, or that taken back.
    Evacuate(&'static str, bool),
}

/// Something that an operator has sent and not had a clear answer to.
#[derive(Debug)]
pub struct Flight {
    operator: usize,
    /// What.
    pub wanted: Wanted,
    /// When it was sent first.
    pub begun: Micros,
    /// When it was sent last.
    pub sent: Micros,
    tries: u64,
}

/// A limiter.
#[derive(Debug)]
pub struct Limiter {
    /// What it knows.
    pub board: StateCache,
    /// Its clock shows so much more.
    pub offset: Micros,
    above: (u64, u64, u64),
    failed: BTreeMap<usize, Micros>,
    /// The poll under way: its number, whom, when, and the slot it was sent with.
    poll: (u64, usize, Micros, u64),
    told: [limeway_membership::Holder; SHARDS],
}

/// A server.
#[derive(Debug)]
struct Server {
    id: String,
    lives: u64,
    count: u64,
    ends: Micros,
    leaving: bool,
    sent: u64,
}

/// All of them.
#[derive(Debug)]
pub struct People {
    known: [u32; OPERATORS],
    /// What is under way.
    pub flights: BTreeMap<u64, Flight>,
    last: u64,
    /// The limiters.
    pub limiters: Vec<Limiter>,
    servers: Vec<Server>,
    /// Lives of servers whose end was acknowledged.
    pub gone: Vec<String>,
    /// Machines that read back well at the end.
    pub read: Vec<usize>,
}

impl People {
    /// Nobody has done anything yet.
    pub fn new(chance: &mut Chance) -> Self {
        let limiter = |at: usize, chance: &mut Chance| Limiter {
            board: StateCache::new(1_000 + at as u64),
            offset: chance.between(SECOND, 1_000_000 * SECOND),
            above: (0, 0, 0),
            failed: BTreeMap::new(),
            poll: (0, 0, 0, 0),
            told: [limeway_membership::Holder::default(); SHARDS],
        };
        let server = |at: usize, chance: &mut Chance| Server {
            id: format!("s{at}-0"),
            lives: 0,
            count: 0,
            ends: chance.between(5 * SECOND, 15 * SECOND),
            leaving: false,
            sent: 0,
        };
        People {
            known: [0; OPERATORS],
            flights: BTreeMap::new(),
            last: 0,
            limiters: (0..LIMITERS).map(|at| limiter(at, chance)).collect(),
            servers: (0..SERVERS).map(|at| server(at, chance)).collect(),
            gone: Vec::new(),
            read: Vec::new(),
        }
    }

    /// Everyone who acts of himself.
    pub fn all(&self) -> Vec<Who> {
        let operators = (0..OPERATORS).map(Who::Operator);
        operators.chain((0..LIMITERS).map(Who::Limiter)).chain((0..SERVERS).map(Who::Server)).collect()
    }

    /// The flight that someone asks for, if it is one.
    pub fn asked_of(&self, who: Who) -> Option<&Flight> {
        match who {
            Who::Flight(number, _) => self.flights.get(&number),
            _ => None,
        }
    }
}

impl World {
    /// A machine that callers know of; now and then the list is old.
    fn any(&mut self) -> usize {
        let live: Vec<usize> = (0..self.machines.len()).filter(|m| self.machines[*m].exists).collect();
        self.chance.pick(&live).copied().unwrap_or(0)
    }

    fn send_ask(&mut self, to: usize, who: Who, ask: ApiRequest) {
        let at = self.t + self.chance.between(500, 20_000);
        self.push(at, Ev::Ask(to, who, ask));
    }

    pub(crate) fn wake(&mut self, who: Who) {
        match who {
            Who::Operator(operator) => self.order(operator),
            Who::Flight(number, tries) => {
                if self.people.flights.get(&number).is_some_and(|f| f.tries == tries) {
                    self.fly(number);
                }
            }
            Who::Limiter(limiter) => self.poll(limiter),
            Who::Server(server) => self.report(server),
            Who::Gone(server, sent) => {
                if self.people.servers[server].leaving && self.people.servers[server].sent == sent {
                    self.leave(server);
                }
            }
            Who::Reader(_) => {}
        }
    }

    pub(crate) fn told(&mut self, who: Who, told: Option<ApiResponse>) {
        match who {
            Who::Flight(number, tries) => self.answered(number, tries, told),
            Who::Gone(server, _) if told == Some(ApiResponse::Done) => {
                let server = &mut self.people.servers[server];
                if server.leaving {
                    self.people.gone.push(server.id.clone());
                    server.lives += 1;
                    let at = server.id.split('-').next().unwrap_or("s").to_owned();
                    (server.id, server.leaving) = (format!("{at}-{}", server.lives), false);
                    server.ends = self.t + self.chance.between(5 * SECOND, 15 * SECOND);
                }
            }
            Who::Reader(at) => {
                if let Some(ApiResponse::Document(_)) = told {
                    self.people.read.push(at);
                }
            }
            _ => {}
        }
    }

    /// An operator sends something new.
    fn order(&mut self, operator: usize) {
        if self.t > self.schedule.heal + QUIET {
            return;
        }
        let next = self.t + self.chance.between(30_000, 900_000);
        self.push(next, Ev::Wake(Who::Operator(operator)));
        if self.people.flights.len() >= UNDER_WAY {
            return;
        }
        let zone = ["z1", "z2"][self.chance.below(2) as usize];
        let known = self.people.known[operator];
        let wanted = match self.chance.below(20) {
            0..=2 => Wanted::Read,
            // None so late that it would be closed, as its caller has gone, just as all is looked at.
            3 if self.t < self.schedule.heal => Wanted::Evacuate(zone, self.chance.happens(500)),
            fate => {
                // Some are invalid: their version is no higher.
                let version = if fate == 4 { known } else { known + self.chance.between(1, 4) as u32 };
                let (set, drop) = (Vec::new(), Vec::new());
                let digest = u128::from(self.chance.draw());
                Wanted::Order(ConfigUpdate {
                    version,
                    base_version: known,
                    replace: false,
                    upserts: set,
                    removals: drop,
                    digest,
                })
            }
        };
        self.people.last += 1;
        let number = self.people.last;
        let flight = Flight { operator, wanted, begun: self.t, sent: self.t, tries: 0 };
        self.people.flights.insert(number, flight);
        self.fly(number);
    }

    /// Sends, or sends again unchanged to another machine.
    fn fly(&mut self, number: u64) {
        let to = self.any();
        let Some(flight) = self.people.flights.get_mut(&number) else { return };
        if matches!(flight.wanted, Wanted::Evacuate(..)) && self.t > flight.begun + AGAIN {
            self.people.flights.remove(&number);
            return;
        }
        flight.tries += 1;
        flight.sent = self.t;
        let who = Who::Flight(number, flight.tries);
        let ask = match &flight.wanted {
            Wanted::Order(order) => ApiRequest::UpdateConfig(order.clone()),
            Wanted::Read => ApiRequest::ReadConfig,
            Wanted::Evacuate(zone, begun) => {
                ApiRequest::Evacuate { zone: (*zone).to_owned(), starts: *begun }
            }
        };
        self.send_ask(to, who, ask);
        self.push(self.t + SILENCE, Ev::Wake(who));
    }

    fn answered(&mut self, number: u64, tries: u64, told: Option<ApiResponse>) {
        let Some(flight) = self.people.flights.get_mut(&number).filter(|f| f.tries == tries) else { return };
        let known = &mut self.people.known[flight.operator];
        match told {
            None | Some(ApiResponse::Indeterminate) => {
                let pause = 30_000 << tries.min(4);
                let again = Ev::Wake(Who::Flight(number, tries));
                return self.push(self.t + pause, again);
            }
            Some(ApiResponse::Done | ApiResponse::EvacuationDone(_)) => {
                if let Wanted::Order(order) = &flight.wanted {
                    *known = (*known).max(order.version);
                }
            }
            Some(ApiResponse::Document(text)) => {
                *known = (*known).max(crate::judge::version(&text).unwrap_or(0))
            }
            // Someone else was first, or it is wrong: what is in place is read before the next.
            Some(ApiResponse::VersionConflict | ApiResponse::Invalid(_)) => {
                let operator = flight.operator;
                let (wanted, begun) = (Wanted::Read, self.t);
                self.people.flights.remove(&number);
                self.people.last += 1;
                let flight = Flight { operator, wanted, begun, sent: begun, tries: 0 };
                self.people.flights.insert(self.people.last, flight);
                return self.fly(self.people.last);
            }
        }
        self.people.flights.remove(&number);
    }

    fn presence(&self, at: usize) -> MemberHeartbeat {
        let ip = Ipv4Addr::new(10, 9, 0, at as u8 + 1);
        MemberHeartbeat {
            node: u32::from(ip),
            frontend: SocketAddrV4::new(ip, 80),
            zone: ["z1", "z2"][at % 2].into(),
            ready: true,
            age: 0,
        }
    }

    /// A limiter polls the first core machine of its order that has not failed.
    fn poll(&mut self, at: usize) {
        let (t, me) = (self.t, self.presence(at));
        let limiter = &mut self.people.limiters[at];
        limiter.failed.retain(|_, until| *until > t);
        let known = limiter.board.state.voter_nodes().into_iter().map(|n| n as usize - 1);
        let mut order: Vec<usize> = known.collect();
        order.extend((0..self.machines.len()).filter(|m| self.machines[*m].exists));
        order.sort_by_key(|m| {
            std::cmp::Reverse(limeway_membership::rendezvous_weight(u64::from(me.node), node(*m)))
        });
        let up = order.iter().find(|m| !limiter.failed.contains_key(m));
        let to = up.or(order.first()).copied().unwrap_or(0);
        let (epoch, servers, members) = limiter.above;
        let want = limiter.board.state_request();
        let number = limiter.poll.0 + 1;
        limiter.poll = (number, to, t, want.slot);
        let poll = LongPoll {
            sender: me,
            downstream: Vec::new(),
            request: want,
            incarnation: epoch,
            registry_revision: servers,
            members_revision: members,
            max_wait: HOLD,
        };
        self.ask_core(at, number, to, Call::LongPoll(Box::new(poll)));
        self.push(t + HOLD + 700_000, Ev::Answer(Origin::Limiter(at, number), None));
        self.ask_quota(at);
    }

    fn ask_core(&mut self, at: usize, number: u64, to: usize, call: Call) {
        let end = self.machines.len() + at;
        self.post((end, to), 200, Ev::Call(to, Origin::Limiter(at, number), call));
    }

    /// Tells every new holder of a group what is held of it: nothing.
    fn ask_quota(&mut self, at: usize) {
        let me = self.presence(at).node;
        for group in 0..SHARDS {
            let limiter = &mut self.people.limiters[at];
            let holder = limiter.board.holders[group];
            if holder.node == 0 || holder == limiter.told[group] {
                continue;
            }
            limiter.told[group] = holder;
            let (term, life, number) = (0, u64::from(me) + 1, 0);
            let request = QuotaRequest {
                shard: group,
                tenants: Vec::new(),
                blocks: Some(Vec::new()),
                counter: term,
                incarnation: life,
                sequence: number,
            };
            self.ask_core(at, 0, holder.node as usize - 1, Call::LeaseQuota(me, vec![request]));
        }
    }

    /// A limiter's poll is answered.
    pub(crate) fn fed(&mut self, at: usize, number: u64, reply: Option<Reply>) {
        let (t, off) = (self.t, self.off);
        let limiter = &mut self.people.limiters[at];
        let (last, above, mut asked, slot) = limiter.poll;
        if number != last || number == 0 {
            return;
        }
        limiter.poll.0 += 1;
        let mut pause = 500;
        match reply {
            Some(Reply::Update(mut feed)) => {
                if off == Off::Ages {
                    (feed.confirmed_age, feed.waited, asked) = (feed.confirmed_age.map(|_| 0), 0, t);
                }
                let now = t + limiter.offset;
                limiter.above = (feed.incarnation, feed.registry_revision, feed.members_revision);
                let unsure = feed.confirmed_age.is_none_or(|a| a > PASSED_OVER);
                limiter.board.apply_response(now, asked + limiter.offset, slot, *feed);
                self.judge.board(t, at, limiter);
                if unsure {
                    limiter.failed.insert(above, t + PASSED_OVER);
                    pause = 60_000;
                }
            }
            _ => {
                limiter.failed.insert(above, t + PASSED_OVER);
                pause = 60_000;
            }
        }
        self.push(t + pause, Ev::Wake(Who::Limiter(at)));
    }

    fn report(&mut self, at: usize) {
        self.push(self.t + SECOND / 2, Ev::Wake(Who::Server(at)));
        let server = &mut self.people.servers[at];
        if server.leaving {
            return;
        }
        if self.t >= server.ends && self.t < self.schedule.heal + QUIET {
            server.leaving = true;
            return self.leave(at);
        }
        server.count += 1;
        let report = ServerReport {
            id: server.id.clone(),
            service: "a".into(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 8, 0, at as u8 + 1), 80),
            zone: "z1".into(),
            capacity_slots: 1,
            phase: Phase::Ready,
            slow_start_left: 0,
            sequence: server.count,
            age: 0,
            unresponsive: false,
        };
        let to = self.any();
        self.send_ask(to, Who::Server(at), ApiRequest::Heartbeat(report));
    }

    /// A server says that it has ended, until that is acknowledged.
    fn leave(&mut self, at: usize) {
        let server = &mut self.people.servers[at];
        server.sent += 1;
        let (id, who) = (server.id.clone(), Who::Gone(at, server.sent));
        let to = self.any();
        self.send_ask(to, who, ApiRequest::Deregister(id));
        self.push(self.t + SECOND, Ev::Wake(who));
    }
}
