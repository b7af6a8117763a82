//! A core machine: its part in ballots, its round to the others, and what it tells limiters.

mod rounds;
mod votes;

use crate::clock::{self, now, Micros};
use crate::disk::Disk;
use crate::link::{self, Links};
use crate::messages::{Call, Ping, Pong, Reply};
use limeway_ballot::{Acceptor, Node, Recovery, Slot, Told, Word};
use limeway_jackfield::Settings;
use limeway_numbering::{Plan, State};
use limeway_roster::{Duties, Presence, Roster, Votes, GROUPS};
use limeway_tandem::{pack, Board, Feed, Poll};
use limeway_toll::count::Count;
use limeway_toll::{Answer, Request, Rule};
use limeway_watch::{Heard, Report};
use serde_bytes::ByteBuf;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};

/// A round's answers count for so long.
const ROUND_WAIT: Duration = Duration::from_millis(300);
/// Longest that a poll is held.
const HOLD_MOST: Micros = 2_000_000;
/// Core machines at most.
const CORE_MOST: usize = 9;

/// A core machine.
pub struct Core {
    /// Its settings.
    pub settings: Settings,
    /// Its address as a number.
    pub me: Node,
    /// What it knows.
    pub board: RefCell<Board>,
    /// Its part in ballots.
    pub acceptor: RefCell<Acceptor>,
    /// Where both are kept.
    pub disk: Disk,
    /// The ways to others.
    pub links: Links,
    /// Members that renew their lease here or at another core machine.
    pub roster: RefCell<Roster>,
    /// Members that renew it here.
    direct: RefCell<BTreeMap<Node, Presence>>,
    votes: RefCell<Votes>,
    duties: RefCell<Duties>,
    /// The counts of the groups that are held here.
    counts: RefCell<[Option<Count>; GROUPS]>,
    /// Members not heard of, since when.
    away: RefCell<BTreeMap<Node, Micros>>,
    /// The life of this process.
    pub boot: u64,
    /// Beats to be told in the next round.
    beats: RefCell<BTreeSet<String>>,
    /// Others that have pinged, and since when without a pause.
    shown: RefCell<BTreeMap<Node, (Micros, Micros, bool)>>,
    /// When the last round with a majority began.
    pub settled: Cell<Micros>,
    /// Others whose last round was not answered: they are asked for all they know.
    missed: RefCell<BTreeSet<Node>>,
    /// News for polls that are held.
    pub news: Notify,
    /// One ballot at a time from this machine.
    pub proposing: tokio::sync::Mutex<()>,
    /// The configuration, for the counts that are held here.
    plan: RefCell<Rc<Plan>>,
    evacuated: RefCell<BTreeMap<String, u32>>,
    /// Seeds as the settings file names them.
    named: RefCell<Vec<std::net::SocketAddr>>,
    /// When this machine learnt of the last evacuation, and the last end of one, of each zone.
    pub evacuations: RefCell<BTreeMap<(String, bool), Micros>>,
    /// The highest round that this machine lost against.
    pub outbid: Cell<u64>,
    /// When this process started.
    pub started: Micros,
    founder: bool,
}

impl Core {
    /// A core machine that starts with what was found on its disk.
    pub fn new(settings: Settings, acceptor: Acceptor, state: State, empty: bool, disk: Disk) -> Rc<Self> {
        let me = Node::from(settings.ip);
        let (boot, start) = (clock::draw() | 1, now());
        let mut board = Board::new(boot);
        board.jump(state);
        let evacuated = board.state.evacuated.clone();
        let board_plan = board.state.plan().unwrap_or_default();
        let founder = empty && settings.first_start;
        let links = Links::new(settings.inner.0);
        Rc::new(Core {
            me,
            board: RefCell::new(board),
            acceptor: RefCell::new(acceptor),
            disk,
            links,
            roster: RefCell::default(),
            direct: RefCell::default(),
            votes: RefCell::new(Votes::new(start, !founder)),
            duties: RefCell::default(),
            counts: RefCell::default(),
            away: RefCell::default(),
            boot,
            beats: RefCell::default(),
            shown: RefCell::default(),
            settled: Cell::new(0),
            missed: RefCell::default(),
            news: Notify::new(),
            proposing: tokio::sync::Mutex::new(()),
            plan: RefCell::new(Rc::new(board_plan)),
            evacuated: RefCell::new(evacuated),
            named: RefCell::new(settings.seeds.clone()),
            evacuations: RefCell::default(),
            outbid: Cell::new(0),
            started: start,
            founder,
            settings,
        })
    }

    /// The quota rule's figures.
    pub fn rule(settings: &Settings) -> Rule {
        let b = &settings.bounds;
        Rule { window: b.quota_window, overshoot: b.quota_overshoot, slack: b.quota_slack }
    }

    /// The machines that vote on the next slot.
    pub fn voters(&self) -> Vec<Node> {
        let core = self.board.borrow().state.core.clone();
        if core.is_empty() {
            self.seeds()
        } else {
            core
        }
    }

    /// The settings file has changed: what it says of seeds counts from now on, where no core machines are agreed yet.
    pub fn reload(&self, settings: &Settings) {
        // The founding set is the same for all, as it was at the first start.
        if !self.founder {
            self.named.borrow_mut().clone_from(&settings.seeds);
        }
    }

    fn seeds(&self) -> Vec<Node> {
        let mut seeds: Vec<Node> = link::nodes(&self.named.borrow());
        seeds.sort_unstable();
        seeds.dedup();
        seeds
    }

    /// The other core machines.
    pub fn others(&self) -> Vec<Node> {
        let mut all = self.voters();
        all.retain(|n| *n != self.me);
        all
    }

    /// Asks many at once; answers come on the channel as they arrive.
    pub fn ask_all(
        self: &Rc<Self>,
        to: &[Node],
        call: &Call,
        wait: Duration,
    ) -> mpsc::Receiver<(Node, Option<Reply>)> {
        let (tell, told) = mpsc::channel(to.len().max(1));
        for node in to {
            let (link, call, tell, node) = (self.links.to(*node), call.clone(), tell.clone(), *node);
            tokio::task::spawn_local(async move {
                let _ = tell.send((node, link.call(&call, wait).await.ok())).await;
            });
        }
        told
    }

    /// Answers a call of another process.
    pub async fn answer(self: Rc<Self>, call: Call) -> Reply {
        match call {
            Call::Prepare(slot, ballot) => Reply::Word(self.vote(slot, ballot, None).await),
            Call::Accept(slot, ballot, value) => Reply::Word(self.vote(slot, ballot, Some(value)).await),
            Call::Chosen(slot, value) => {
                self.learn(slot, &value).await;
                Reply::Done
            }
            Call::Fetch(want) => Reply::Steps(self.board.borrow().steps(&want)),
            Call::Read(node, incarnation) => {
                let read = self.acceptor.borrow_mut().read_by(node, incarnation);
                if !read || !self.keep(!self.disk.sound.get()).await {
                    return Reply::Told(None);
                }
                let acceptor = self.acceptor.borrow();
                Reply::Told(Some(Told {
                    applied: acceptor.applied,
                    open: acceptor.open.clone(),
                    known: acceptor.known.clone(),
                }))
            }
            Call::Ping(ping) => Reply::Pong(self.pong(ping)),
            Call::Push(reports) => {
                self.hear_all(&reports, false);
                Reply::Done
            }
            Call::Poll(poll) => Reply::Feed(Box::new(self.feed(poll).await)),
            Call::Ask(node, asks) => self.grant(node, &asks),
            Call::Unit(_) => Reply::Not,
        }
    }

    fn pong(&self, ping: Ping) -> Pong {
        let t = now();
        {
            let mut shown = self.shown.borrow_mut();
            if shown.len() < 4 * CORE_MOST || shown.contains_key(&ping.node) {
                let entry = shown.entry(ping.node).or_insert((t, t, ping.counted));
                if t - entry.1 > 1_500_000 {
                    entry.0 = t;
                }
                (entry.1, entry.2) = (t, ping.counted);
            }
        }
        self.hear_all(&ping.beats, false);
        let mut changed = false;
        for member in &ping.members {
            changed |= self.roster.borrow_mut().hear(t, member);
        }
        if changed {
            self.refresh();
        }
        let mut votes = self.votes.borrow_mut();
        let claims =
            ping.claims.into_iter().filter(|c| votes.claim(t, ping.node, *c)).map(|c| c.group).collect();
        let acceptor = self.acceptor.borrow();
        Pong {
            slot: acceptor.applied,
            pending: acceptor.open.accepted.is_some(),
            votes: acceptor.votes,
            boot: self.boot,
            held: self.duties.borrow().held(t),
            given: claims,
            servers: if ping.all { self.board.borrow().watch.all(t) } else { Vec::new() },
        }
    }

    /// Takes reports in. `direct` ones came from the servers themselves and are told on. True if any is news.
    pub fn hear_all(&self, reports: &[Report], direct: bool) -> bool {
        let (t, mut news) = (now(), false);
        {
            let mut board = self.board.borrow_mut();
            for report in reports {
                let heard = board.watch.hear(t, report);
                news |= heard == Heard::News;
                if direct && heard != Heard::Late {
                    self.beats.borrow_mut().insert(report.id.clone());
                }
            }
        }
        if news {
            self.news.notify_waiters();
        }
        news
    }

    /// Tells the others of a server's step, and waits until a majority of the core knows it. False if it does not.
    pub async fn spread(self: &Rc<Self>, report: Report) -> bool {
        let others = self.others();
        let need = others.len().div_ceil(2) + 1;
        let mut have = 1;
        let mut told = self.ask_all(&others, &Call::Push(vec![report]), Duration::from_millis(500));
        while let Some((_, reply)) = told.recv().await {
            have += usize::from(matches!(reply, Some(Reply::Done)));
        }
        have >= need
    }

    /// What is known of members and duties goes onto the board.
    fn refresh(&self) {
        let t = now();
        let members: Vec<_> = {
            let roster = self.roster.borrow();
            roster
                .live(t)
                .filter(|(_, _, _, ready)| *ready)
                .map(|(n, _, zone, _)| (n, zone.to_owned()))
                .collect()
        };
        let mut board = self.board.borrow_mut();
        let mut news = board.set_members(members);
        let votes = self.votes.borrow();
        for group in 0..GROUPS {
            let holder = votes.holder(t, group).unwrap_or((0, 0));
            news |= board.holders[group] != holder;
            board.holders[group] = holder;
        }
        if news {
            drop(board);
            self.news.notify_waiters();
        }
    }

    async fn feed(&self, poll: Poll) -> Feed {
        let t = now();
        let mut changed = false;
        for presence in std::iter::once(&poll.me).chain(&poll.below).filter(|p| p.front.port() != 0) {
            changed |= self.roster.borrow_mut().hear(t, presence);
            let mut direct = self.direct.borrow_mut();
            if direct.len() < limeway_roster::MEMBERS_MOST || direct.contains_key(&presence.node) {
                let mut seen = presence.clone();
                // Kept with the moment at which it was heard.
                seen.age = t.saturating_sub(presence.age);
                direct.insert(presence.node, seen);
            }
        }
        if changed {
            self.refresh();
        }
        loop {
            let notified = self.news.notified();
            let left = self.board.borrow().hold_until(t, &poll, HOLD_MOST).saturating_sub(now());
            if left == 0 || self.board.borrow().has_news(&poll) {
                break;
            }
            let _ = tokio::time::timeout(Duration::from_micros(left), notified).await;
        }
        let end = now();
        self.board.borrow().feed(end, &poll, end - t)
    }

    fn grant(&self, node: Node, requests: &[Request]) -> Reply {
        let t = now();
        // Who is not agreed to be a limiter would not be asked by the next holder of a count.
        if !self.board.borrow().state.doors.contains(&node) {
            return Reply::Grants(Vec::new());
        }
        let (duties, mut counts) = (self.duties.borrow(), self.counts.borrow_mut());
        let (rule, plan) = (Self::rule(&self.settings), self.plan.borrow());
        let mut answers = Vec::new();
        for request in requests.iter().filter(|r| r.group < GROUPS) {
            let group = request.group;
            let Some(count) = counts[group].as_mut().filter(|_| duties.holds(t, group)) else { continue };
            if let Some(blocks) = &request.holds {
                count.tell(t, node, blocks);
            }
            if count.start() > t {
                // Told, and nothing granted yet: the windows have not begun.
                let phase = limeway_toll::Phase { term: 0, window: 0, left: count.start() - t };
                answers.push(Answer { group, phase, unknown: !count.knows(node), grants: Vec::new() });
                continue;
            }
            let unknown = !count.knows(node);
            let mut grants = Vec::new();
            for ask in request.asks.iter().filter(|a| !unknown && limeway_roster::group(&a.tenant) == group) {
                let tenant = plan.tenants.get(&ask.tenant);
                if let Some(span) = tenant.and_then(|t| rule.span(t.rate, t.burst)) {
                    grants.push(count.ask(t, t + limeway_toll::BLOCK, node, ask, span));
                }
            }
            answers.push(Answer { group, phase: count.phase(t), unknown, grants });
        }
        Reply::Grants(answers)
    }
}
