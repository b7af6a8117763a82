//! The one `Gateway` with its events, actions, timers, and the table of open requests and attempts.
//! Holds no policy: what the module asks for is carried out, within what the site permits.

use crate::config::{Config, Places};
use crate::counter::{Counted, Counter};
use crate::discovery::{Discovery, News};
use crate::history::Told;
use crate::members::List;
use crate::peers::Peers;
use crate::seldom::Seldom;
use crate::servers::{self, Ended, Forward, Pools, Served};
use limeway_event_log::What;
use limeway_operator_config::InTrouble;
use limeway_quota_policy::*;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;

/// Time before its deadline at which a request's attempts are ended: the module is done some 10 ms earlier,
/// so this only guards against one that is silent or a process that was held up.
const GUARD: Micros = 5_000;
/// Time that the module then has for its final answer.
const GUARD_WAIT: Micros = 2_000;

/// Timers beyond which, with four for each open request, those of requests that are over are dropped.
const TIMERS_KEPT: usize = 1_024;

/// The module's clock: Unix microseconds, which limiters agree on, carried on by a clock that never steps.
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Clock { base: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// A request's final answer.
#[derive(Debug)]
pub enum Answer {
    /// A server's 200.
    Served(Served),
    /// Trying again is harmless; when to come back, 0 for no advice.
    Refused(Micros),
    /// Nothing is promised.
    Failed,
    /// The client's time is up and the module has said nothing.
    Overdue,
}

struct Attempt {
    server: ServerId,
    sent: Micros,
    /// Ends the attempt with a status; nothing once it has been told to end.
    stop: Option<oneshot::Sender<Status>>,
    out: bool,
}

struct Open {
    /// The id that the client gave it.
    name: Rc<[u8]>,
    /// Where the final answer goes; nothing once it has been given.
    reply: Option<oneshot::Sender<Answer>>,
    forward: Rc<Forward>,
    deadline: Micros,
    attempts: Vec<Attempt>,
}

/// What is due at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Attempt(RequestId, u32),
    Guard(RequestId),
}

struct State {
    gateway: Gateway,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    open: HashMap<RequestId, Open>,
    /// Clients' ids of requests that are not answered yet.
    names: HashSet<Rc<[u8]>>,
    last_id: RequestId,
    timers: BinaryHeap<Reverse<(Micros, Due)>>,
}

/// The other sides. They take commands and give events; none of them knows the core.
pub struct Links {
    /// Connections to servers.
    pub pools: Rc<Pools>,
    /// The counter.
    pub counter: Option<Rc<Counter>>,
    /// Other limiters.
    pub peers: Option<Rc<Peers>>,
    /// The list of servers.
    pub discovery: Rc<Discovery>,
}

/// What all tasks share.
pub struct Core {
    /// What the program was told.
    pub config: Config,
    /// The module's clock.
    pub clock: Clock,
    /// The ways to the other sides.
    pub links: Links,
    /// Where discovery and the counter are at present.
    pub places: Cell<Places>,
    /// Clients may be sent here.
    pub ready: Cell<bool>,
    /// The process has been told to end.
    pub draining: Cell<bool>,
    /// For what could be told with each request.
    pub seldom: Seldom,
    /// What matters, for the operators.
    pub told: Told,
    state: RefCell<State>,
    timer: Notify,
}

impl Core {
    /// The core, with the servers that were known when it started.
    pub fn new(config: Config, links: Links, told: Told) -> Rc<Self> {
        let clock = Clock::new();
        let guards = match config.operator.counter.in_trouble {
            InTrouble::Credit => Guards::default(),
            InTrouble::Shares => Guards::ALL,
        };
        let settings = config.setup.settings.clone();
        let mut gateway = Gateway::with_guards(settings, config.seed, clock.now(), guards);
        gateway.lease_ahead(config.operator.counter.lease_ahead);
        let core = Rc::new(Core {
            clock,
            links,
            places: Cell::new(config.places),
            ready: Cell::new(false),
            draining: Cell::new(false),
            seldom: Seldom::default(),
            told,
            state: RefCell::new(State {
                gateway,
                events: VecDeque::new(),
                actions: Vec::new(),
                open: HashMap::new(),
                names: HashSet::new(),
                last_id: 0,
                timers: BinaryHeap::new(),
            }),
            timer: Notify::new(),
            config,
        });
        if let Some(known) = &core.config.known {
            core.learn(ListKind::Cached, known);
        }
        core
    }

    /// Starts what brings events in from the other sides, and the timers.
    pub fn start(self: &Rc<Self>) {
        spawn_local(self.clone().run_timers());
        let core = self.clone();
        spawn_local(async move { core.links.discovery.run(|news| core.news(news)).await });
        if let Some(peers) = self.links.peers.clone() {
            let core = self.clone();
            spawn_local(async move { peers.run(|from, data| core.feed(Event::Peer { from, data })).await });
        }
    }

    /// Goes over to other addresses of discovery and the counter.
    pub fn move_to(&self, places: Places) {
        self.places.set(places);
        if let (Some(counter), Some(address)) = (&self.links.counter, places.counter) {
            counter.move_to(address);
        }
        self.links.discovery.move_to(places.discovery);
    }

    /// Takes what discovery tells.
    fn news(self: &Rc<Self>, news: News) {
        match news {
            News::List(kind, list) => self.learn(kind, &list),
            News::Same => {}
            News::Failed => {
                return self.feed(Event::Servers { kind: ListKind::Failed, entries: Vec::new() });
            }
        }
        self.be_ready();
    }

    /// Clients may be sent here from now on.
    pub fn be_ready(&self) {
        if !self.ready.replace(true) {
            self.told.tell(What::Ready);
        }
    }

    /// Takes news of the servers: pools first, so that nothing more goes where it should not.
    fn learn(self: &Rc<Self>, kind: ListKind, list: &List) {
        let entries = self.links.pools.learn(kind, list);
        let serving = entries.iter().filter(|e| e.state == Lifecycle::Ready).count();
        self.told.tell(What::List { version: list.seq, named: entries.len(), serving });
        self.feed(Event::Servers { kind, entries });
    }

    /// Gives the module an event and carries out what it wants done before the next one.
    pub fn feed(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.run(&mut state);
    }

    fn run(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.gateway.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(state, action);
            }
            state.actions = actions;
        }
    }

    fn act(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(state, id, server, timeout),
            Action::Cancel { id, attempt } => {
                let attempt = state.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt as usize));
                if let Some(stop) = attempt.and_then(|a| a.stop.take()) {
                    let _ = stop.send(Status::Cancelled);
                }
            }
            Action::Refuse { id, retry_after } => state.answer(id, Answer::Refused(retry_after)),
            Action::Fail { id } => state.answer(id, Answer::Failed),
            Action::Timer { at, token } => self.set(state, at, Due::Module(token)),
            Action::Count { name, amount, ttl } => match &self.links.counter {
                Some(counter) => {
                    let (core, counter) = (self.clone(), counter.clone());
                    spawn_local(async move {
                        let Counted { status, total, latency } = counter.call(name, amount, ttl).await;
                        core.feed(Event::Counted { name, status, total, latency });
                    });
                }
                None => {
                    let status = Status::ConnectFailed;
                    state.events.push_back(Event::Counted { name, status, total: 0.0, latency: 0 });
                }
            },
            Action::Tell { peer, data } => {
                if let Some(peers) = &self.links.peers {
                    peers.tell(peer, &data);
                }
            }
            Action::Watch => self.links.discovery.watch(),
            Action::Note { text } => {
                self.seldom.warn(format_args!("{text}"));
                self.told.tell(What::Counter { text });
            }
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, id: RequestId, server: ServerId, timeout: Micros) {
        let now = self.clock.now();
        let allow = &self.config.setup.settings.permissions;
        let moot = |number: usize, closed: bool| {
            self.seldom.warn(format_args!(
                "attempt {number} of request {id} is not sent: the request is over or the site forbids it"
            ));
            Event::Outcome(Outcome {
                id,
                attempt: number as u32,
                server,
                status: Status::Moot,
                latency: 0,
                closed,
                load: Load::default(),
            })
        };
        let Some(open) = state.open.get_mut(&id) else {
            state.events.push_back(moot(0, true));
            return;
        };
        let number = open.attempts.len();
        let over = open.reply.is_none() || now >= open.deadline;
        let copies = !allow.second_copies && open.attempts.iter().any(|a| a.out);
        if over || copies || number >= allow.max_attempts as usize {
            let closed = open.reply.is_none();
            open.attempts.push(Attempt { server, sent: now, stop: None, out: false });
            state.events.push_back(moot(number, closed));
            return;
        }
        let (stop, stopped) = oneshot::channel();
        open.attempts.push(Attempt { server, sent: now, stop: Some(stop), out: true });
        let (forward, number, deadline) = (open.forward.clone(), number as u32, open.deadline);
        if timeout > 0 && now + timeout < deadline {
            self.set(state, now + timeout, Due::Attempt(id, number));
        }
        let left = deadline.saturating_sub(now);
        let left = if timeout > 0 { left.min(timeout) } else { left };
        let attempt = servers::attempt(&self.links.pools, servers::Start { server, forward, left }, stopped);
        let core = self.clone();
        spawn_local(async move { core.ended(id, number, attempt.await) });
    }

    /// A client's request has come whole. Gives its number and where its answer will come; nothing where another
    /// request of this id is open: nobody could tell their answers apart.
    pub fn request(
        self: &Rc<Self>,
        name: &[u8],
        mut demand: Demand,
        forward: Forward,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let (reply, answer) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if state.names.contains(name) {
            return None;
        }
        let name: Rc<[u8]> = name.into();
        state.names.insert(name.clone());
        // Numbered here and not by the client's own id, which nobody can vouch for being new.
        state.last_id += 1;
        demand.id = state.last_id;
        let deadline = self.clock.now() + demand.left;
        let open =
            Open { name, reply: Some(reply), forward: Rc::new(forward), deadline, attempts: Vec::new() };
        state.open.insert(demand.id, open);
        self.set(state, deadline.saturating_sub(GUARD), Due::Guard(demand.id));
        let id = demand.id;
        state.events.push_back(Event::Request(demand));
        self.run(state);
        Some((id, answer))
    }

    /// The client has left; nothing more is owed.
    pub fn gone(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        if state.take_reply(id).is_none() {
            return;
        }
        state.tidy(id);
        state.events.push_back(Event::Gone { id });
        self.run(&mut state);
    }

    /// An attempt has ended; its connection is closed or back in its pool.
    fn ended(self: &Rc<Self>, id: RequestId, number: u32, mut ended: Ended) {
        let (status, served) = (ended.status, ended.served.take());
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(open) = state.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(number as usize) else { return };
        attempt.out = false;
        attempt.stop = None;
        let (server, latency) = (attempt.server, self.clock.now().saturating_sub(attempt.sent));
        log::debug!("request {id} attempt {number} at server {server}: {status:?} after {latency} us");
        if let Some(served) = served {
            // The first good answer goes to the client; a later one finds the request closed.
            if let Some(reply) = state.take_reply(id) {
                let _ = reply.send(Answer::Served(served));
            }
        }
        let closed = state.open.get(&id).is_none_or(|o| o.reply.is_none());
        state.tidy(id);
        let load = Load::default();
        let outcome = Outcome { id, attempt: number, server, status, latency, closed, load };
        state.events.push_back(Event::Outcome(outcome));
        self.run(state);
    }

    /// Requests that are not answered yet.
    pub fn unanswered(&self) -> usize {
        self.state.borrow().open.values().filter(|o| o.reply.is_some()).count()
    }

    fn set(&self, state: &mut State, at: Micros, due: Due) {
        // Timers of requests that are over would stay until their clients' time is up, which may be minutes.
        if state.timers.len() > TIMERS_KEPT + 4 * state.open.len() {
            let open = &state.open;
            state.timers.retain(|Reverse((_, due))| match due {
                Due::Module(_) => true,
                Due::Attempt(id, _) | Due::Guard(id) => open.contains_key(id),
            });
        }
        let sooner = state.timers.peek().is_none_or(|Reverse((first, _))| at < *first);
        state.timers.push(Reverse((at, due)));
        if sooner {
            self.timer.notify_one();
        }
    }

    /// Runs the one queue of timers, for ever.
    async fn run_timers(self: Rc<Self>) {
        let sleep = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(sleep);
        loop {
            let next = self.state.borrow().timers.peek().map(|Reverse((at, _))| *at);
            let at =
                next.map_or_else(|| Instant::now() + Duration::from_secs(1), |at| self.clock.instant(at));
            sleep.as_mut().reset(at.into());
            tokio::select! {
                () = &mut sleep => self.run_due(),
                () = self.timer.notified() => {}
            }
        }
    }

    fn run_due(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let now = self.clock.now();
        while let Some(&Reverse((at, due))) = state.timers.peek() {
            if at > now {
                break;
            }
            state.timers.pop();
            match due {
                Due::Module(token) => {
                    state.events.push_back(Event::Timer { token });
                    self.run(state);
                }
                Due::Attempt(id, number) => {
                    let open = state.open.get_mut(&id);
                    let attempt = open.and_then(|o| o.attempts.get_mut(number as usize));
                    if let Some(stop) = attempt.and_then(|a| a.stop.take()) {
                        let _ = stop.send(Status::Timeout);
                    }
                }
                Due::Guard(id) => self.guard(state, id, now),
            }
        }
    }

    /// The client's time is nearly up: attempts time out, which gives the module its last word; if that does
    /// not come either, the request fails here.
    fn guard(self: &Rc<Self>, state: &mut State, id: RequestId, now: Micros) {
        let Some(open) = state.open.get_mut(&id) else { return };
        let mut stopped = false;
        for stop in open.attempts.iter_mut().filter_map(|a| a.stop.take()) {
            stopped |= stop.send(Status::Timeout).is_ok();
        }
        if open.reply.is_none() {
            return;
        }
        if stopped {
            return self.set(state, now + GUARD_WAIT, Due::Guard(id));
        }
        self.seldom.warn(format_args!("request {id} ends at its deadline without the module's answer"));
        state.answer(id, Answer::Overdue);
        state.events.push_back(Event::Gone { id });
        self.run(state);
    }
}

impl State {
    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.take_reply(id) {
            let _ = reply.send(answer);
        }
        self.tidy(id);
    }

    /// The way to the client, once; from then on the request's id is free.
    fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer>> {
        let open = self.open.get_mut(&id)?;
        let reply = open.reply.take()?;
        self.names.remove(&open.name);
        Some(reply)
    }

    /// Forgets a request that is answered and has nothing out.
    fn tidy(&mut self, id: RequestId) {
        let done = |o: &Open| o.reply.is_none() && o.attempts.iter().all(|a| !a.out);
        if self.open.get(&id).is_some_and(done) {
            self.open.remove(&id);
        }
    }
}
