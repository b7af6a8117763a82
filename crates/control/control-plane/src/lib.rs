//! A core machine's decisions, free of I/O and clock: events with the time go in, actions come out.
//!
//! - [`Marker`] is the whole of it. [`Marker::handle`] takes an [`Event`] and appends [`Action`]s; [`Marker::wake`] tells when the
//!   next [`Event::Tick`] is wanted. The disk is an action whose completion is an event.
//! - Its parts: rounds to the others and what they show (`contact`), its part in ballots and those that it holds (`ballots`),
//!   orders of operators (`orders`), who holds a seat (`seats`), who holds a duty (`duties`), what limiters are told (`news`),
//!   what servers report (`servers`), what is on disk (`paper`).
//!
//! **Contact.** A machine is *in touch* while its last round that a majority of the seats answered began within [`TOUCH`].
//! Without it, it confirms nothing, refuses nothing for good, claims no duty, takes no report of a server, and says so at once.
//! What it tells limiters carries how old its last surety is; they turn to others.
//!
//! The same state machines run in the program, in tests and in the simulator.
#![forbid(unsafe_code)]

mod ballots;
mod contact;
mod duties;
pub mod messages;
mod news;
mod orders;
mod paper;
mod seats;
mod servers;

use limeway_consensus::{Acceptor, DiskIncarnation, NodeId, Slot, Voter};
use limeway_distribution::transfer::StateRequest;
use limeway_distribution::StateCache;
use limeway_membership::{HeldLeases, LeaseVoter, MemberHeartbeat, Membership, SHARDS};
use limeway_quota::count::Count;
use limeway_quota::Rule;
use limeway_routing_config::{ConfigUpdate, InvalidConfig, RoutingSnapshot, State};
use limeway_service_registry::ServerReport;
use messages::{Call, Reply, Standing};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// A time or a length of time, in microseconds.
pub type Micros = u64;
/// Names a caller that waits for an answer.
pub type Token = u64;
/// Names a call that this machine made.
pub type Ticket = u64;
/// Names a write.
pub type Job = u64;

/// A majority must have answered a round that began within it.
pub const TOUCH: Micros = 1_000_000;
/// Core machines at most.
pub const CORE_MOST: usize = 9;
/// Another machine has shown itself lately if within it.
const SHOWS: Micros = 1_500_000;
/// Others that are remembered, at most.
const SHOWN_MOST: usize = 4 * CORE_MOST;

/// What a core machine is told at its start.
#[derive(Debug, Clone)]
pub struct Start {
    /// Its address as a number.
    pub me: NodeId,
    /// The life of its process, drawn by chance; never 0.
    pub boot: u64,
    /// How long an operator sends a call again.
    pub ack_timeout: Micros,
    /// It has a disk whose loss counts.
    pub counted: bool,
    /// How many machines with a disk may be lost at once.
    pub losses: usize,
    /// The quota rule's figures.
    pub rule: Rule,
    /// Pause between two reports of a server.
    pub heartbeat: Micros,
    /// Machines that the settings file names.
    pub seeds: Vec<NodeId>,
    /// The whole system starts for the first time, and its disk is empty.
    pub founder: bool,
    /// Its part in ballots, from disk.
    pub acceptor: Acceptor,
    /// The state, from disk.
    pub state: State,
}

/// What happens.
#[derive(Debug)]
pub enum Event {
    /// Another process asks.
    Call(Token, Call),
    /// A call of this machine was answered, or failed, or had no answer in its time.
    Reply(Ticket, Option<Reply>),
    /// A server or an operator asks.
    Ask(Token, Ask),
    /// A write has reached the disk, or has failed.
    Written(Job, bool),
    /// The answer [`Told::Taken`] with this mark has reached its caller.
    Arrived(u64),
    /// Time has passed.
    Tick,
    /// The settings file names these machines now.
    Seeds(Vec<NodeId>),
    /// The process is told to end.
    Leave,
}

/// What a server or an operator asks.
#[derive(Debug)]
pub enum Ask {
    /// A change of the configuration.
    Order(ConfigUpdate),
    /// The newest configuration.
    Read,
    /// A zone is to get nothing, or that is taken back.
    Evacuate {
        /// The zone.
        zone: String,
        /// Begun, or taken back.
        begun: bool,
    },
    /// A server reports itself.
    Beat(ServerReport),
    /// A server has ended: its id.
    Gone(String),
}

/// What a server or an operator is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// Done: on disk at a majority, where it is an order.
    Done,
    /// A call about a zone is done. Once this answer has surely reached the caller, [`Event::Arrived`] tells so.
    Taken(u64),
    /// The newest configuration.
    Document(String),
    /// Another version is in place.
    Stale,
    /// It is invalid.
    Invalid(InvalidConfig),
    /// No majority can be had now; an order may or may not be in force later.
    Unclear,
}

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Ask another process; what comes of it is an [`Event::Reply`] within `wait`.
    Send {
        /// Comes back with the answer.
        ticket: Ticket,
        /// Whom.
        to: NodeId,
        /// What.
        call: Call,
        /// How long an answer counts.
        wait: Micros,
    },
    /// Answer [`Event::Call`].
    Reply(Token, Reply),
    /// Answer [`Event::Ask`].
    Tell(Token, Told),
    /// Write to disk; [`Event::Written`] follows, in the order of the jobs.
    Write(Job, LogRecord),
    /// The process may end.
    End,
}

pub use limeway_consensus::LogRecord;

/// Another core machine as it shows itself.
#[derive(Debug, Clone, Copy)]
struct Shown {
    /// Without a pause since then.
    first: Micros,
    last: Micros,
    standing: Standing,
}

/// A core machine.
#[derive(Debug)]
pub struct Marker {
    start: Start,
    started: Micros,
    /// What it knows, and tells limiters.
    board: StateCache,
    acceptor: Acceptor,
    plan: Rc<RoutingSnapshot>,
    /// The seats when this machine last looked.
    core: Vec<Voter>,
    roster: Membership,
    /// Members that renew their lease here; `age` is the moment at which they were heard.
    direct: BTreeMap<NodeId, MemberHeartbeat>,
    votes: LeaseVoter,
    duties: HeldLeases,
    counts: [Option<Count>; SHARDS],
    /// Members not heard of, since when.
    away: BTreeMap<NodeId, Micros>,
    /// Servers whose beats are to be told in the next round.
    beats: BTreeSet<String>,
    shown: BTreeMap<NodeId, Shown>,
    /// Others whose last round was not answered: they are asked for all they know.
    missed: BTreeSet<NodeId>,
    /// When the last round began that made this machine sure of its state.
    settled: Micros,
    leaving: Option<Micros>,
    ended: bool,
    chance: u64,
    last_ticket: u64,
    contact: contact::Contact,
    ballots: ballots::Ballots,
    orders: orders::Orders,
    news: news::News,
    paper: paper::Paper,
    spreads: BTreeMap<u64, servers::Spread>,
    asked: BTreeMap<Ticket, Asked>,
}

/// What an answer is to.
#[derive(Debug, Clone, Copy)]
enum Asked {
    Round(u64, NodeId),
    Ballot(u64, NodeId),
    Fetch(NodeId, StateRequest),
    Chosen(NodeId, Slot),
    Spread(u64),
}

impl Marker {
    /// A core machine that starts with what was found on its disk.
    pub fn new(now: Micros, start: Start, out: &mut Vec<Action>) -> Self {
        let mut board = StateCache::new(start.boot);
        board.state = start.state.clone();
        if start.founder && board.state.voters.is_empty() {
            // The same list for all at the first start, and never again: what the settings file says later decides nothing.
            let seeds: BTreeSet<NodeId> = start.seeds.iter().copied().collect();
            board.state.voters = seeds.into_iter().map(|node| Voter { node, disk: 0 }).collect();
        }
        let plan = board.state.snapshot_from(&RoutingSnapshot::default()).unwrap_or_default();
        let mut marker = Marker {
            started: now,
            acceptor: start.acceptor.clone(),
            plan: Rc::new(plan),
            core: board.state.voters.clone(),
            roster: Membership::default(),
            direct: BTreeMap::new(),
            votes: LeaseVoter::new(now, !start.founder),
            duties: HeldLeases::default(),
            counts: Default::default(),
            away: BTreeMap::new(),
            beats: BTreeSet::new(),
            shown: BTreeMap::new(),
            missed: BTreeSet::new(),
            settled: 0,
            leaving: None,
            ended: false,
            chance: start.boot,
            last_ticket: 0,
            contact: contact::Contact::default(),
            ballots: ballots::Ballots::default(),
            orders: orders::Orders::new(),
            news: news::News::default(),
            paper: paper::Paper::new(board.state.slot),
            spreads: BTreeMap::new(),
            asked: BTreeMap::new(),
            board,
            start,
        };
        marker.paper.time(now);
        (marker.contact.seated, marker.contact.founded) =
            (marker.seat().is_some(), !marker.board.state.voters.is_empty());
        marker.missed.extend(marker.others());
        if marker.start.founder {
            marker.write(Vec::new(), out);
        }
        marker.round(now, out);
        marker
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.paper.time(now);
        match event {
            Event::Call(token, call) => self.call(now, token, call, out),
            Event::Reply(ticket, reply) => self.reply(now, ticket, reply, out),
            Event::Ask(token, ask) => self.ask(now, token, ask, out),
            Event::Written(job, done) => self.written(now, job, done, out),
            Event::Arrived(mark) => self.arrived(mark),
            Event::Tick => {}
            Event::Seeds(seeds) => self.start.seeds = seeds,
            Event::Leave => self.leave(now, out),
        }
        self.turn(now, out);
    }

    fn call(&mut self, now: Micros, token: Token, call: Call, out: &mut Vec<Action>) {
        let reply = match call {
            Call::Prepare(slot, ballot) => return self.vote(now, token, slot, ballot, None, out),
            Call::Accept(slot, ballot, value) => {
                return self.vote(now, token, slot, ballot, Some(value), out)
            }
            Call::Chosen(slot, value) => return self.chosen_elsewhere(now, token, slot, &value, out),
            Call::Poll(poll) => return self.poll(now, token, *poll, out),
            Call::Fetch(want) => Reply::Steps(self.board.state_update(&want)),
            Call::Ping(ping) => Reply::Pong(self.pong(now, *ping, out)),
            Call::Push(reports) => {
                self.hear_all(now, &reports, false);
                Reply::Done
            }
            Call::Ask(node, asks) => self.grant(now, node, &asks),
            Call::Unit(_) => Reply::Not,
        };
        out.push(Action::Reply(token, reply));
    }

    fn reply(&mut self, now: Micros, ticket: Ticket, reply: Option<Reply>, out: &mut Vec<Action>) {
        match self.asked.remove(&ticket) {
            Some(Asked::Round(round, node)) => self.round_reply(now, round, node, reply, out),
            Some(Asked::Ballot(ballot, node)) => self.ballot_reply(now, ballot, node, reply, out),
            Some(Asked::Fetch(node, want)) => self.fetched(now, (node, want), reply, out),
            Some(Asked::Chosen(node, slot)) => {
                if let (Some(Reply::Done), Some(shown)) = (reply, self.shown.get_mut(&node)) {
                    shown.standing.kept = shown.standing.kept.max(slot);
                }
            }
            Some(Asked::Spread(spread)) => self.spread_reply(spread, matches!(reply, Some(Reply::Done)), out),
            // An answer that nothing waits for any more.
            None => {}
        }
    }

    /// All that time and what has changed make due.
    fn turn(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.rounds(now, out);
        self.drive(now, out);
        self.release(now, out);
        if let Some(since) = self.leaving.filter(|_| !self.ended) {
            let seated = self.seat().is_some();
            let waits = if seated && self.newcomer().is_some() { seats::HANDED_OVER } else { seats::GOODBYE };
            if now >= since + waits || (!seated && now >= since + seats::GOODBYE) {
                self.ended = true;
                out.push(Action::End);
            }
        }
    }

    /// When the next [`Event::Tick`] is wanted, at the latest.
    pub fn wake(&self) -> Micros {
        let now = self.paper.now();
        let leaving = self.leaving.map(|since| since + seats::GOODBYE).filter(|at| *at > now);
        let asks = self.round_for_callers().map(|at| at.max(now));
        let ballots = self.ballots.wake(now, self.orders.any());
        let all = [Some(self.contact.next), leaving, asks, ballots, self.orders.wake(now), self.news.wake()];
        all.into_iter().flatten().min().unwrap_or(self.contact.next)
    }

    fn send(&mut self, to: NodeId, call: Call, wait: Micros, asked: Asked, out: &mut Vec<Action>) {
        self.last_ticket += 1;
        self.asked.insert(self.last_ticket, asked);
        out.push(Action::Send { ticket: self.last_ticket, to, call, wait });
    }

    /// A number drawn by chance.
    fn draw(&mut self) -> u64 {
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        limeway_membership::hash(&self.chance.to_le_bytes())
    }

    /// The seats that vote on the next slot; none on a machine that has heard of no core yet.
    fn seats(&self) -> Vec<Voter> {
        self.board.state.voters.clone()
    }

    fn majority(&self) -> usize {
        self.seats().len() / 2 + 1
    }

    fn life(&self) -> DiskIncarnation {
        self.acceptor.disk
    }

    /// This machine's seat, if it holds one.
    fn seat(&self) -> Option<Voter> {
        let own = Voter { node: self.start.me, disk: self.life() };
        self.seats().into_iter().find(|s| *s == own)
    }

    /// The other machines that this one talks to: those that hold a seat, and newcomers that have shown themselves. A newcomer
    /// that has heard of no core begins with those that its settings file names.
    fn others(&self) -> Vec<NodeId> {
        let mut all: BTreeSet<NodeId> = self.seats().iter().map(|s| s.node).collect();
        if all.is_empty() {
            all.extend(&self.start.seeds);
        }
        all.extend(self.shown.iter().filter(|(_, s)| s.standing.counted).map(|(n, _)| *n));
        all.remove(&self.start.me);
        all.into_iter().collect()
    }

    /// Whether a majority has lately answered.
    pub fn touch(&self, now: Micros) -> bool {
        self.settled > 0 && now < self.settled + TOUCH
    }

    /// How this machine stands, for others and for operators.
    pub fn standing(&self, now: Micros) -> Standing {
        Standing {
            node: self.start.me,
            life: self.life(),
            boot: self.start.boot,
            counted: self.start.counted,
            sound: self.paper.sound(now),
            touch: self.touch(now),
            leaving: self.leaving.is_some(),
            slot: self.board.state.slot,
            kept: self.paper.kept(),
        }
    }

    /// The agreed state as this machine knows it.
    pub fn state(&self) -> &State {
        &self.board.state
    }

    /// The part in ballots.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// What waits here for answers, writes or time, all queues together: bounded, whatever happens.
    pub fn queued(&self) -> usize {
        let paper = self.paper.queued();
        self.asked.len()
            + self.spreads.len()
            + self.orders.queued()
            + self.news.queued()
            + paper
            + self.contact.queued()
    }

    /// The groups whose counts are held here at this moment.
    pub fn held(&self, now: Micros) -> Vec<usize> {
        (0..SHARDS).filter(|g| self.duties.holds(now, *g)).collect()
    }

    /// Limiters that can serve: their zones and where clients reach them. Nothing without contact: others know better.
    pub fn fronts(&self, now: Micros) -> Option<Vec<(String, SocketAddrV4)>> {
        let live = self.roster.live(now).filter(|m| m.ready);
        self.touch(now).then(|| live.map(|m| (m.zone.to_owned(), m.frontend)).collect())
    }
}
