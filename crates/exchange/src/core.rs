//! A core machine: its part in ballots, its round to the others, and what it tells limiters.

use crate::clock::{self, now, Micros};
use crate::disk::Disk;
use crate::link::Links;
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

/// Pause between two rounds to the other core machines.
const ROUND: Duration = Duration::from_millis(250);
/// The pause in the first seconds of a process: the fleet may have ended as a whole, and waits for the core.
const ROUND_FIRST: Duration = Duration::from_millis(60);
/// See [`ROUND_FIRST`].
const FIRST: Micros = 3_000_000;
/// A round's answers count for so long.
const ROUND_WAIT: Duration = Duration::from_millis(300);
/// Longest that a poll is held.
const HOLD_MOST: Micros = 2_000_000;
/// The first set of core machines is agreed this long after the start, when all have shown themselves.
const FOUNDING: Micros = 1_000_000;
/// A machine that shows itself for so long is taken into the core.
const SHOWN: Micros = 2_500_000;
/// Servers that missed their reports for so many times the pause between two are held to be silent.
const MISSED: u64 = 3;
/// A limiter that has been away for so long holds no quota, whoever granted it.
const FORGOTTEN: Micros = 120_000_000;
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
    /// When a change that takes keys away was learnt here.
    pub revoked: Cell<Micros>,
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
            revoked: Cell::new(start),
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
        let ip = |s: &std::net::SocketAddr| match s {
            std::net::SocketAddr::V4(a) => Some(Node::from(*a.ip())),
            std::net::SocketAddr::V6(_) => None,
        };
        let mut seeds: Vec<Node> = self.named.borrow().iter().filter_map(ip).collect();
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

    /// Writes the part in ballots, and the state if it is given. Without a sound disk this machine does not vote.
    async fn keep(&self, with_state: bool) -> bool {
        let acceptor = self.acceptor.borrow().clone();
        let state = with_state.then(|| pack(&self.board.borrow().state));
        self.disk.keep(acceptor, state).await
    }

    /// Votes in a ballot; the word is given once it is on disk.
    pub async fn vote(&self, slot: Slot, ballot: limeway_ballot::Ballot, value: Option<ByteBuf>) -> Word {
        // After a write that failed, what is in memory may be more than what is on disk.
        let whole = !self.disk.sound.get();
        let word = {
            let mut acceptor = self.acceptor.borrow_mut();
            match value {
                None => acceptor.prepare(slot, ballot),
                Some(value) => acceptor.accept(slot, ballot, value),
            }
        };
        match word {
            Word::Promise { .. } | Word::Accepted if !self.keep(whole).await => Word::Abstains,
            word => word,
        }
    }

    /// A chosen value is applied, if its slot is the next.
    pub async fn learn(self: &Rc<Self>, slot: Slot, value: &[u8]) {
        {
            let mut board = self.board.borrow_mut();
            if board.state.slot + 1 != slot || !board.step(value) {
                return;
            }
        }
        self.applied().await;
    }

    async fn applied(self: &Rc<Self>) {
        {
            let board = self.board.borrow();
            let mut known = self.evacuated.borrow_mut();
            for zone in self.settings.zones.keys() {
                let count = |m: &BTreeMap<String, u32>| m.get(zone).copied().unwrap_or(0);
                let (was, is) = (count(&known), count(&board.state.evacuated));
                if was != is {
                    self.evacuations.borrow_mut().insert((zone.clone(), is > was), now());
                }
            }
            known.clone_from(&board.state.evacuated);
            let mut acceptor = self.acceptor.borrow_mut();
            if acceptor.applied < board.state.revoked_at && board.state.revoked_at <= board.state.slot {
                self.revoked.set(now());
            }
            acceptor.advance(board.state.slot);
            if self.plan.borrow().version != board.state.version {
                match board.state.plan() {
                    Ok(plan) => *self.plan.borrow_mut() = Rc::new(plan),
                    Err(e) => log::error!("configuration in force cannot be read: {e}"),
                }
            }
        }
        self.news.notify_waiters();
        self.keep(true).await;
    }

    /// Fetches what a machine has that this one lacks.
    pub async fn catch_up(self: &Rc<Self>, from: Node) {
        let slot = self.board.borrow().state.slot;
        if let Ok(Reply::Steps(steps)) =
            self.links.to(from).call(&Call::Fetch(slot), Duration::from_millis(700)).await
        {
            if self.board.borrow_mut().walk(slot, steps) {
                self.applied().await;
            }
        }
    }

    /// A machine whose disk is empty reads intact ones until it may vote again.
    async fn recover(self: &Rc<Self>) {
        let voters = self.voters();
        if !voters.contains(&self.me) || self.board.borrow().state.core.is_empty() {
            return;
        }
        let own = self.acceptor.borrow().own;
        let mut recovery = Recovery::new(voters.len(), self.settings.losses);
        let others = self.others();
        let mut told = self.ask_all(&others, &Call::Read(self.me, own), ROUND_WAIT);
        let mut best: Option<(Slot, Node)> = None;
        while let Some((node, reply)) = told.recv().await {
            if let Some(Reply::Told(Some(told))) = reply {
                best = best.max(Some((told.applied, node)));
                recovery.hear(node, told);
            }
        }
        let Some(slot) = recovery.enough() else { return };
        if let Some((_, node)) = best.filter(|_| slot > self.board.borrow().state.slot) {
            self.catch_up(node).await;
        }
        if self.board.borrow().state.slot != slot {
            return;
        }
        recovery.rejoin(&mut self.acceptor.borrow_mut());
        if self.keep(true).await {
            log::info!(slot; "read from enough intact machines: votes again");
        } else {
            self.acceptor.borrow_mut().votes = false;
        }
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
            Call::Fetch(slot) => Reply::Steps(self.board.borrow().steps(slot)),
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
        let until = tokio::time::Instant::now() + Duration::from_micros(poll.wait.min(HOLD_MOST));
        loop {
            let notified = self.news.notified();
            if self.board.borrow().has_news(&poll) {
                break;
            }
            if tokio::time::timeout_at(until, notified).await.is_err() {
                break;
            }
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

    /// One round to the others: what is the newest state, who is there, who holds what. Returns whether a majority answered
    /// and this machine's state was the newest as of the round's start.
    pub async fn round(self: &Rc<Self>) -> bool {
        let asked = now();
        let others = self.others();
        let live: Vec<Node> = {
            let shown = self.shown.borrow();
            let recent = |n: &Node| shown.get(n).is_some_and(|(_, last, _)| asked - last < 1_500_000);
            others.iter().copied().filter(recent).chain([self.me]).collect()
        };
        let claims = if self.board.borrow().state.core.contains(&self.me) {
            self.duties.borrow().claims(asked, self.me, self.boot, &live, &self.votes.borrow())
        } else {
            Vec::new()
        };
        let held = self.duties.borrow().held(asked);
        let beats: Vec<Report> = {
            let ids = std::mem::take(&mut *self.beats.borrow_mut());
            let board = self.board.borrow();
            ids.iter().filter_map(|id| board.watch.report(asked, id)).collect()
        };
        let members: Vec<Presence> = {
            let mut direct = self.direct.borrow_mut();
            direct.retain(|_, p| asked.saturating_sub(p.age) < limeway_roster::LEASE);
            direct.values().map(|p| Presence { age: asked.saturating_sub(p.age), ..p.clone() }).collect()
        };
        let ping = |all: bool| Ping {
            node: self.me,
            counted: self.settings.counted && self.settings.data.is_some(),
            votes: self.acceptor.borrow().votes,
            slot: self.board.borrow().state.slot,
            beats: beats.clone(),
            members: members.clone(),
            boot: self.boot,
            held: held.clone(),
            claims: claims.clone(),
            all,
        };
        let (tell, mut told) = mpsc::channel(others.len().max(1));
        for node in &others {
            let all = self.missed.borrow().contains(node);
            let (link, call, tell, node) = (self.links.to(*node), Call::Ping(ping(all)), tell.clone(), *node);
            tokio::task::spawn_local(async move {
                let _ = tell.send((node, link.call(&call, ROUND_WAIT).await.ok())).await;
            });
        }
        drop(tell);
        let own = self.acceptor.borrow().clone();
        let voters = self.voters();
        let majority = voters.len() / 2 + 1;
        let mut words = usize::from(own.votes && voters.contains(&self.me));
        let (mut newest, mut pending) = ((own.applied, self.me), own.open.accepted.is_some());
        let mut given = BTreeMap::<usize, usize>::new();
        {
            let mut votes = self.votes.borrow_mut();
            for claim in &claims {
                if votes.claim(asked, self.me, *claim) {
                    *given.entry(claim.group).or_default() += 1;
                }
            }
        }
        let (mut sure, mut concluded) = (false, false);
        while let Some((node, reply)) = told.recv().await {
            let Some(Reply::Pong(pong)) = reply else {
                self.missed.borrow_mut().insert(node);
                continue;
            };
            self.missed.borrow_mut().remove(&node);
            {
                let mut votes = self.votes.borrow_mut();
                votes.hear(now(), node, pong.boot, &pong.held);
                votes.complete(&others);
            }
            self.hear_all(&pong.servers, false);
            if pong.votes {
                words += 1;
            }
            if pong.slot > newest.0 {
                newest = (pong.slot, node);
                pending = pong.pending;
            } else if pong.slot == newest.0 {
                pending |= pong.pending;
            }
            for group in pong.given {
                *given.entry(group).or_default() += 1;
            }
            // A majority is enough: who is silent holds nothing up.
            if words >= majority && !concluded {
                concluded = true;
                sure = newest.0 <= self.board.borrow().state.slot && !pending;
                if sure {
                    self.settled.set(asked);
                    let mut board = self.board.borrow_mut();
                    board.sure = board.sure.max(asked);
                }
            }
            self.win(asked, &claims, &given, majority);
        }
        if voters.len() == 1 && words == 1 && !pending {
            sure = true;
            self.settled.set(asked);
            self.board.borrow_mut().sure = asked;
        }
        self.win(asked, &claims, &given, majority);
        for claim in claims.iter().filter(|c| !c.holds && !self.duties.borrow().holds(now(), c.group)) {
            self.votes.borrow_mut().release(self.me, *claim);
        }
        if newest.0 > self.board.borrow().state.slot {
            self.catch_up(newest.1).await;
        } else if pending && words >= majority {
            // Whoever proposed it may have gone: it is finished, whatever it is, so that the state can be sure again.
            self.finish().await;
        }
        sure
    }

    fn win(
        &self,
        asked: Micros,
        claims: &[limeway_roster::Claim],
        given: &BTreeMap<usize, usize>,
        majority: usize,
    ) {
        let t = now();
        let length = Self::rule(&self.settings).length();
        for claim in claims.iter().filter(|c| given.get(&c.group).copied().unwrap_or(0) >= majority) {
            if self.duties.borrow_mut().won(t, asked, *claim) {
                // The very first holder of all has no one before it. Any other begins a whole window after the last one,
                // which at the latest ended when this holding began, or before this process started.
                let first = self.founder && t - self.started < limeway_roster::TERM;
                let young = t - self.started < limeway_roster::TERM;
                let start = if first {
                    t
                } else if young {
                    t.max(self.started + length)
                } else {
                    t + length
                };
                let term = self.boot ^ t.rotate_left(32);
                let doors = &self.board.borrow().state.doors;
                self.counts.borrow_mut()[claim.group] = Some(Count::new(start, term, length, doors, first));
                log::info!(group = claim.group; "holds a duty");
            }
        }
    }

    /// Runs for ever: rounds, repair, sweeps.
    pub async fn run(self: Rc<Self>) {
        if self.founder {
            if self.seeds().contains(&self.me) {
                self.acceptor.borrow_mut().votes = true;
            }
            self.keep(true).await;
        }
        self.missed.borrow_mut().extend(self.others());
        loop {
            self.round().await;
            if !self.acceptor.borrow().votes {
                self.recover().await;
            } else if !self.disk.sound.get() {
                // Once the disk takes writes again, this machine votes again.
                self.keep(true).await;
            }
            self.found().await;
            self.board.borrow_mut().watch.sweep(now(), MISSED * self.settings.heartbeat + 700_000);
            self.roster.borrow_mut().sweep(now());
            self.sweep_counts();
            self.doors().await;
            self.refresh();
            let young = now() - self.started < FIRST;
            tokio::time::sleep(if young { ROUND_FIRST } else { ROUND }).await;
        }
    }

    fn sweep_counts(&self) {
        let (t, duties) = (now(), self.duties.borrow());
        let doors = self.board.borrow().state.doors.len();
        for (group, slot) in self.counts.borrow_mut().iter_mut().enumerate() {
            if !duties.holds(t, group) {
                *slot = None;
            } else if let Some(count) = slot {
                count.set_doors(doors);
                count.sweep(t);
            }
        }
    }

    /// Agrees on the limiters that may hold quota: those that have come, and those that have been away for long.
    async fn doors(self: &Rc<Self>) {
        let t = now();
        let live: BTreeSet<Node> = self.roster.borrow().live(t).map(|(n, ..)| n).collect();
        let state_doors = self.board.borrow().state.doors.clone();
        let add: Vec<Node> = live.difference(&state_doors).copied().collect();
        let drop: Vec<Node> = {
            let mut away = self.away.borrow_mut();
            away.retain(|n, _| state_doors.contains(n) && !live.contains(n));
            for node in state_doors.difference(&live) {
                away.entry(*node).or_insert(t);
            }
            away.iter().filter(|(_, since)| t - **since > FORGOTTEN).map(|(n, _)| *n).collect()
        };
        // One machine does it, or all would outbid each other.
        let first =
            self.board.borrow().state.core.iter().copied().filter(|n| *n == self.me || self.shows(*n)).min();
        if (add.is_empty() && drop.is_empty()) || first != Some(self.me) {
            return;
        }
        let op = limeway_numbering::Op::Doors { add, drop };
        let fits = move |state: &State| state.doors == state_doors;
        if let Err(e) = self.propose(&op, fits).await {
            log::debug!("limiters: {e:?}");
        }
    }

    /// Whether another core machine has shown itself lately.
    fn shows(&self, node: Node) -> bool {
        self.shown.borrow().get(&node).is_some_and(|(_, last, _)| now() - last < 1_500_000)
    }

    /// Agrees on the set of core machines: the first one, and those that have come since.
    async fn found(self: &Rc<Self>) {
        let t = now();
        let core = self.board.borrow().state.core.clone();
        let next: Vec<Node> = {
            let shown = self.shown.borrow();
            let fresh = |last: &Micros| t - last < 1_000_000;
            if core.is_empty() {
                let seeds = self.seeds();
                let place = seeds.iter().position(|n| *n == self.me);
                let Some(place) = place.filter(|_| self.founder || self.acceptor.borrow().votes) else {
                    return;
                };
                if t - self.started < FOUNDING + place as u64 * 400_000 {
                    return;
                }
                let others =
                    shown.iter().filter(|(_, (_, last, counted))| *counted && fresh(last)).map(|(n, _)| *n);
                seeds.into_iter().chain(others).collect()
            } else {
                if core.iter().min() != Some(&self.me) || core.len() >= CORE_MOST {
                    return;
                }
                let new = shown.iter().find(|(n, (first, last, counted))| {
                    *counted && fresh(last) && t - first > SHOWN && !core.contains(n)
                });
                let Some((new, _)) = new else { return };
                core.iter().copied().chain([*new]).collect()
            }
        };
        let set: BTreeSet<Node> = next.into_iter().take(CORE_MOST).collect();
        let before = core;
        let op = limeway_numbering::Op::Core(set.into_iter().collect());
        let fits = move |state: &State| state.core == before;
        if let Err(e) = self.propose(&op, fits).await {
            log::debug!("core set: {e:?}");
        }
    }
}
