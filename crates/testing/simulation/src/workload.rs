//! What the clients of the control plane do: operators, gateways, servers. They keep to the protocol.

use crate::clients::{OperatorRequest, PendingRequest};
use crate::cluster::{node, Cluster};
use crate::event::{Actor, Origin, SimEvent};
use crate::{DisabledGuard, Lateness, Micros, SECOND};
use limeway_control_plane::messages::{Call, Reply};
use limeway_control_plane::{ApiRequest, ApiResponse};
use limeway_distribution::{LongPoll, StateCache};
use limeway_membership::{MemberHeartbeat, SHARDS};
use limeway_quota::QuotaRequest;
use limeway_routing_config::ConfigUpdate;
use limeway_service_registry::{Phase, ServerReport};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Upper bound on the requests in flight of all operators.
const MAX_PENDING_REQUESTS: usize = 8;
/// An operator retries at another machine after this.
const REQUEST_TIMEOUT: Micros = SECOND;
/// Long-poll time-out of gateways.
const LONG_POLL_WAIT: Micros = 600_000;
/// How long a gateway skips a replica that failed.
const BACKOFF: Micros = 1_500_000;
/// New updates are sent until this long after the last fault.
const NO_NEW_REQUESTS_AFTER: Micros = 8 * SECOND;
/// How long a server that has crashed is down: an address is given to another no sooner.
const CRASH_LENGTH: Micros = 2 * SECOND;
/// Heartbeats that come late, of a thousand.
const LATE_HEARTBEATS_PERMILLE: u64 = 100;
/// The latest that one comes.
const MAX_LATENESS: Micros = 8 * SECOND;
/// How long evacuation calls are retried.
const EVACUATION_RETRY_TIME: Micros = 2 * SECOND;

impl Cluster {
    /// A machine that clients know of; now and then their list is old.
    pub(crate) fn any(&mut self) -> usize {
        let live: Vec<usize> = (0..self.machines.len()).filter(|m| self.machines[*m].exists).collect();
        self.rng.pick(&live).copied().unwrap_or(0)
    }

    pub(crate) fn send_ask(&mut self, to: usize, who: Actor, ask: ApiRequest) {
        let at = self.t + self.rng.between(500, 20_000);
        self.push(at, SimEvent::Ask(to, who, ask, at));
    }

    pub(crate) fn wake(&mut self, who: Actor) {
        match who {
            Actor::Operator(operator) => self.new_request(operator),
            Actor::PendingRequest(number, attempts) => {
                if self.workload.pending_requests.get(&number).is_some_and(|f| f.attempts == attempts) {
                    self.send_request(number);
                }
            }
            Actor::Limiter(limiter) => self.poll(limiter),
            Actor::Server(server) => self.report(server),
            Actor::Gone(server, sent) => {
                if self.workload.servers[server].leaving && self.workload.servers[server].sent == sent {
                    self.leave(server);
                }
            }
            Actor::Alternating => self.wake_alternating(None),
            Actor::Order(sent) => self.wake_alternating(Some(sent)),
            Actor::Reader(_) => {}
        }
    }

    pub(crate) fn api_answered(&mut self, who: Actor, told: Option<ApiResponse>) {
        match who {
            Actor::PendingRequest(number, attempts) => self.answered(number, attempts, told),
            Actor::Order(sent) => self.order_answered(sent, told),
            Actor::Gone(server, _) if told == Some(ApiResponse::Done) => {
                let server = &mut self.workload.servers[server];
                if server.leaving {
                    self.workload.gone.push(server.id.clone());
                    let ends = self.t + self.rng.between(5 * SECOND, 15 * SECOND);
                    server.start(ends);
                }
            }
            Actor::Server(server) => {
                self.workload.servers[server].is_acknowledged |= told == Some(ApiResponse::Done);
            }
            Actor::Reader(at) => {
                if let Some(ApiResponse::Document(_)) = told {
                    self.workload.read.push(at);
                }
            }
            _ => {}
        }
    }

    /// An operator sends a new request.
    fn new_request(&mut self, operator: usize) {
        if self.t > self.schedule.heal + NO_NEW_REQUESTS_AFTER {
            return;
        }
        let next = self.t + self.rng.between(30_000, 900_000);
        self.push(next, SimEvent::Wake(Actor::Operator(operator)));
        if self.workload.pending_requests.len() >= MAX_PENDING_REQUESTS {
            return;
        }
        let zone = ["z1", "z2"][self.rng.below(2) as usize];
        let known = self.workload.known[operator];
        let request = match self.rng.below(20) {
            0..=2 => OperatorRequest::Read,
            // None so late that it would be closed, as its caller has gone, just as all is looked at.
            3 if self.t < self.schedule.heal => OperatorRequest::Evacuate(zone, self.rng.with_permille(500)),
            fate => {
                // Some are invalid: their version is no higher.
                let version = if fate == 4 { known } else { known + self.rng.between(1, 4) as u32 };
                let (set, drop) = (Vec::new(), Vec::new());
                let digest = u128::from(self.rng.draw());
                OperatorRequest::Order(ConfigUpdate {
                    version,
                    base_version: known,
                    replace: false,
                    upserts: set,
                    removals: drop,
                    digest,
                })
            }
        };
        self.workload.last += 1;
        let number = self.workload.last;
        let pending = PendingRequest { operator, request, begun: self.t, sent: Vec::new(), attempts: 0 };
        self.workload.pending_requests.insert(number, pending);
        self.send_request(number);
    }

    /// Sends a request, or retries it unchanged at another machine.
    fn send_request(&mut self, number: u64) {
        let to = self.any();
        let Some(pending) = self.workload.pending_requests.get_mut(&number) else { return };
        if matches!(pending.request, OperatorRequest::Evacuate(..))
            && self.t > pending.begun + EVACUATION_RETRY_TIME
        {
            self.workload.pending_requests.remove(&number);
            return;
        }
        pending.attempts += 1;
        pending.sent.push(self.t);
        let who = Actor::PendingRequest(number, pending.attempts);
        let ask = match &pending.request {
            OperatorRequest::Order(order) => ApiRequest::UpdateConfig(order.clone()),
            OperatorRequest::Read => ApiRequest::ReadConfig,
            OperatorRequest::Evacuate(zone, begun) => {
                ApiRequest::Evacuate { zone: (*zone).to_owned(), starts: *begun }
            }
        };
        self.send_ask(to, who, ask);
        self.push(self.t + REQUEST_TIMEOUT, SimEvent::Wake(who));
    }

    fn answered(&mut self, number: u64, attempts: u64, told: Option<ApiResponse>) {
        let Some(pending) =
            self.workload.pending_requests.get_mut(&number).filter(|f| f.attempts == attempts)
        else {
            return;
        };
        let known = &mut self.workload.known[pending.operator];
        match told {
            None | Some(ApiResponse::Indeterminate) => {
                let pause = 30_000 << attempts.min(4);
                let again = SimEvent::Wake(Actor::PendingRequest(number, attempts));
                return self.push(self.t + pause, again);
            }
            Some(ApiResponse::Done | ApiResponse::EvacuationDone(_)) => {
                if let OperatorRequest::Order(order) = &pending.request {
                    *known = (*known).max(order.version);
                }
            }
            Some(ApiResponse::Document(text)) => {
                *known = (*known).max(crate::invariants::version(&text).unwrap_or(0));
            }
            // Another update was first, or it is invalid: the version in place is read before the next one.
            Some(ApiResponse::VersionConflict | ApiResponse::Invalid(_)) => {
                let operator = pending.operator;
                let (request, begun) = (OperatorRequest::Read, self.t);
                self.workload.pending_requests.remove(&number);
                self.workload.last += 1;
                let pending = PendingRequest { operator, request, begun, sent: Vec::new(), attempts: 0 };
                self.workload.pending_requests.insert(self.workload.last, pending);
                return self.send_request(self.workload.last);
            }
        }
        self.workload.pending_requests.remove(&number);
    }

    fn member_heartbeat(&self, at: usize) -> MemberHeartbeat {
        let ip = Ipv4Addr::new(10, 9, 0, at as u8 + 1);
        MemberHeartbeat {
            node: u32::from(ip),
            frontend: SocketAddrV4::new(ip, 80),
            zone: ["z1", "z2"][at % 2].into(),
            ready: true,
            age: 0,
        }
    }

    /// A gateway polls the first replica of its order that has not failed.
    fn poll(&mut self, at: usize) {
        let (t, me) = (self.t, self.member_heartbeat(at));
        let limiter = &mut self.workload.limiters[at];
        limiter.failed.retain(|_, until| *until > t);
        let known = limiter.cache.state.voter_nodes().into_iter().map(|n| n as usize - 1);
        let mut order: Vec<usize> = known.collect();
        order.extend((0..self.machines.len()).filter(|m| self.machines[*m].exists));
        order.sort_by_key(|m| {
            std::cmp::Reverse(limeway_membership::rendezvous_weight(u64::from(me.node), node(*m)))
        });
        let up = order.iter().find(|m| !limiter.failed.contains_key(m));
        let to = up.or(order.first()).copied().unwrap_or(0);
        let (epoch, servers, members) = limiter.above;
        let want = limiter.cache.state_request();
        let number = limiter.poll.0 + 1;
        limiter.poll = (number, to, t, want.slot);
        let poll = LongPoll {
            sender: me,
            downstream: Vec::new(),
            request: want,
            incarnation: epoch,
            registry_revision: servers,
            members_revision: members,
            max_wait: LONG_POLL_WAIT,
        };
        self.ask_core(at, number, to, Call::LongPoll(Box::new(poll)));
        self.push(t + LONG_POLL_WAIT + 700_000, SimEvent::Answer(Origin::Limiter(at, number), None));
        self.ask_quota(at);
    }

    fn ask_core(&mut self, at: usize, number: u64, to: usize, call: Call) {
        let end = self.machines.len() + at;
        self.post((end, to), 200, SimEvent::Call(to, Origin::Limiter(at, number), call));
    }

    /// Reports to each new holder of a shard that no blocks are leased.
    fn ask_quota(&mut self, at: usize) {
        let me = self.member_heartbeat(at).node;
        for group in 0..SHARDS {
            let limiter = &mut self.workload.limiters[at];
            let holder = limiter.cache.holders[group];
            if holder.node == 0 || holder == limiter.reported_to[group] {
                continue;
            }
            limiter.reported_to[group] = holder;
            let (term, incarnation, number) = (0, u64::from(me) + 1, 0);
            let request = QuotaRequest {
                shard: group,
                tenants: Vec::new(),
                blocks: Some(Vec::new()),
                counter: term,
                incarnation,
                sequence: number,
            };
            self.ask_core(at, 0, holder.node as usize - 1, Call::LeaseQuota(me, vec![request]));
        }
    }

    /// A gateway's poll is answered.
    pub(crate) fn poll_answered(&mut self, at: usize, number: u64, reply: Option<Reply>) {
        let (t, disabled) = (self.t, self.disabled);
        let limiter = &mut self.workload.limiters[at];
        let (last, above, mut asked, slot) = limiter.poll;
        if number != last || number == 0 {
            return;
        }
        limiter.poll.0 += 1;
        let mut pause = 500;
        match reply {
            Some(Reply::Update(mut feed)) => {
                if disabled == DisabledGuard::ResponseAges {
                    (feed.confirmed_age, feed.waited, asked) = (feed.confirmed_age.map(|_| 0), 0, t);
                }
                let now = t + limiter.offset;
                limiter.above = (feed.incarnation, feed.registry_revision, feed.members_revision);
                let stale = feed.confirmed_age.is_none_or(|a| a > BACKOFF);
                limiter.cache.apply_response(now, asked + limiter.offset, slot, *feed);
                self.invariants.check_limiter(t, at, limiter);
                if stale {
                    limiter.failed.insert(above, t + BACKOFF);
                    pause = 60_000;
                }
            }
            _ => {
                limiter.failed.insert(above, t + BACKOFF);
                pause = 60_000;
            }
        }
        self.push(t + pause, SimEvent::Wake(Actor::Limiter(at)));
    }

    fn report(&mut self, at: usize) {
        self.push(self.t + SECOND / 2, SimEvent::Wake(Actor::Server(at)));
        let (t, heartbeats_late) = (self.t, self.schedule.lateness == Lateness::Heartbeats);
        let server = &mut self.workload.servers[at];
        if server.leaving || t < server.down_until {
            return;
        }
        if heartbeats_late && t >= server.ends && t < self.schedule.heal && self.rng.with_permille(500) {
            // It crashes, says nothing, and is started again at its address.
            let ends = t + self.rng.between(5 * SECOND, 15 * SECOND);
            server.start(ends);
            server.down_until = t + CRASH_LENGTH;
            return;
        }
        if self.t >= server.ends && self.t < self.schedule.heal + NO_NEW_REQUESTS_AFTER {
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
        let to = self.heartbeat_target(at);
        if heartbeats_late && self.t < self.schedule.heal && self.rng.with_permille(LATE_HEARTBEATS_PERMILLE)
        {
            // It is under way for seconds. Its sender calls another machine meanwhile.
            let late = self.t + self.rng.between(SECOND, MAX_LATENESS);
            let other = self.any();
            self.push(
                late,
                SimEvent::Ask(other, Actor::Server(at), ApiRequest::Heartbeat(report.clone()), late),
            );
        }
        self.send_ask(to, Actor::Server(at), ApiRequest::Heartbeat(report));
    }

    /// The machine that a server's next heartbeat goes to: the same one for as long as it acknowledges them.
    fn heartbeat_target(&mut self, at: usize) -> usize {
        let any = self.any();
        let server = &mut self.workload.servers[at];
        let keeps = std::mem::take(&mut server.is_acknowledged) && self.machines[server.machine].exists;
        if !keeps {
            server.machine = any;
        }
        server.machine
    }

    /// All gateways are killed, and start again with nothing.
    pub(crate) fn restart_limiters(&mut self) {
        for at in 0..self.workload.limiters.len() {
            let incarnation = self.rng.draw() | 1;
            let limiter = &mut self.workload.limiters[at];
            limiter.cache = StateCache::new(incarnation);
            (limiter.above, limiter.poll.0) = ((0, 0, 0), limiter.poll.0 + 1);
            limiter.failed.clear();
            limiter.reported_to = Default::default();
            self.invariants.limiter_restarted(at);
            self.push(self.t + SECOND / 2, SimEvent::Wake(Actor::Limiter(at)));
        }
    }

    /// A server deregisters, until that is acknowledged.
    fn leave(&mut self, at: usize) {
        let server = &mut self.workload.servers[at];
        server.sent += 1;
        let (id, who) = (server.id.clone(), Actor::Gone(at, server.sent));
        let to = self.any();
        self.send_ask(to, who, ApiRequest::Deregister(id));
        self.push(self.t + SECOND, SimEvent::Wake(who));
    }
}
