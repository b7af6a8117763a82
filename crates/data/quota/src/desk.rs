//! A limiter's asking: when which count is asked for what, which requests wait for the answers, and why it goes without.
//!
//! **Whose grants are used.** A count that doesn't know what this life of the limiter holds says so and names its own life;
//! it is told for that life alone, so only a count that lives is ever told. What was asked before the last telling of a
//! group is not used, as the count that was told would not know of it; and of a tenant only the last ask counts, once. What
//! comes late changes nothing on either side, whatever the order in which it comes. A holder that is taken for another
//! for a while and then found again is told anew only if it has forgotten.
//!
//! **When.** [`crate::pace`]: asks that bring nothing are made again after a pause that grows, and none faster than a
//! rate, whatever counts answer. Another holder ends the pause. Waiting requests get their units in the order in which they
//! came, when there are some; no answer wakes them otherwise.
//!
//! Events with the time in, asks to be made and requests that are settled out.

use crate::escrow::{Escrow, Holder, Take, LOST};
use crate::pace::Pace;
use crate::{Answer, Micros, Node, Request, Span};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;

/// Pause between two looks at all that is held.
pub const LOOK: Micros = 250_000;
/// Groups, at most.
pub const GROUPS_MOST: usize = 1_024;
/// A request waits for its unit for so long.
pub const UNIT_WAIT: Micros = 450_000;
/// Requests that wait at once, at most.
pub const WAITING_MOST: usize = 20_000;
/// A line about what is amiss comes no more often.
pub const COMPLAINT: Micros = 5_000_000;
/// A count that has brought nothing for so long is amiss.
const AMISS: Micros = 1_000_000;

/// Why a group's units can't be leased.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// No holder is known.
    NoHolder,
    /// No connection to the holder can be had.
    Unreachable,
    /// The holder doesn't answer in time.
    Silent,
    /// The holder says that it does not hold the group.
    NotHeld,
    /// The holder says that this limiter is not agreed to be one.
    NotAgreed,
    /// The holder's windows have not begun.
    NotBegun,
    /// The holder goes on saying that it does not know what is held here.
    Untold,
    /// The answers are too late to tell where windows stand.
    Late,
    /// The count has nothing left.
    Dry,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::NoHolder => "no holder known",
            Why::Unreachable => "holder unreachable",
            Why::Silent => "holder does not answer",
            Why::NotHeld => "holder says it does not hold",
            Why::NotAgreed => "not agreed as limiter",
            Why::NotBegun => "windows not begun",
            Why::Untold => "holder says it was not told",
            Why::Late => "answers late",
            Why::Dry => "budget dry",
        })
    }
}

/// What became of an errand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The holder answered; groups that it does not hold are left out.
    Answers(Vec<Answer>),
    /// It answered that this limiter is none.
    NotAgreed,
    /// No connection.
    Unreachable,
    /// No answer in time.
    Silent,
}

/// Requests to one holder, to be answered by [`Desk::heard`] in any case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Errand {
    /// The machine that is asked.
    pub node: Node,
    /// The life of its process, as it was known.
    pub boot: u64,
    /// When.
    pub at: Micros,
    /// What.
    pub requests: Vec<Request>,
}

/// A request that waits.
pub type Ticket = u64;
/// What a waiting request is told: it has its unit, or has none until so much later.
pub type Settled = (Ticket, Result<(), Micros>);

#[derive(Debug, Clone)]
struct Waiter {
    ticket: Ticket,
    span: Span,
    until: Micros,
}

/// The tie to one group's count.
#[derive(Debug, Clone, Default)]
struct Tie {
    holder: Option<Holder>,
    /// The last request that told any count what is held here: what was asked before is not used.
    told: u64,
    /// The life of its count, 0 if it isn't known yet, and whether it knows what is held here.
    term: u64,
    agreed: bool,
    /// A request is under way that nothing else is asked beside.
    alone: Option<(u64, Micros)>,
    pace: Pace,
    /// What was amiss last, and since when it has brought nothing.
    why: Option<(Why, Micros)>,
}

impl Tie {
    fn open(&self, now: Micros) -> bool {
        let free = self.alone.is_none_or(|(_, at)| now >= at + LOST);
        self.holder.is_some() && self.pace.open(now) && (self.agreed || free)
    }

    fn amiss(&mut self, now: Micros, why: Why) {
        let since = self.why.map_or(now, |(_, since)| since);
        self.why = Some((why, since));
    }

    fn follow(&mut self, now: Micros, holder: Option<Holder>) {
        if self.holder != holder {
            let mut pace = self.pace;
            pace.well();
            let why = self.why.filter(|(why, _)| *why != Why::NoHolder);
            *self = Tie { holder, pace, told: self.told, why, ..Tie::default() };
        }
        if holder.is_none() {
            self.amiss(now, Why::NoHolder);
        }
    }
}

/// A limiter's asking.
#[derive(Debug, Clone)]
pub struct Desk {
    life: u64,
    number: u64,
    tickets: u64,
    chance: u64,
    escrow: Escrow,
    ties: Vec<Tie>,
    waiting: HashMap<String, VecDeque<Waiter>>,
    tenants: HashMap<Ticket, String>,
    looked: Option<Micros>,
    complained: Micros,
    refused: BTreeMap<Why, u32>,
}

impl Desk {
    /// A desk that holds nothing, for windows of this length. `life` tells this process from others at its machine.
    pub fn new(length: Micros, life: u64) -> Self {
        Desk {
            life,
            number: 0,
            tickets: 0,
            chance: life | 1,
            escrow: Escrow::new(length),
            ties: Vec::new(),
            waiting: HashMap::new(),
            tenants: HashMap::new(),
            looked: None,
            complained: 0,
            refused: BTreeMap::new(),
        }
    }

    /// Takes a unit for a request of a tenant whose count `holder` holds. One that is told to wait is queued by
    /// [`Desk::queue`], or [`Desk::spared`].
    pub fn take(
        &mut self,
        now: Micros,
        tenant: &str,
        group: usize,
        holder: Option<Holder>,
        span: Span,
    ) -> Take {
        let taken = self.escrow.take(now, tenant, group, holder, span);
        let why = self.ties.get(group).and_then(|t| t.why.map(|(why, _)| why));
        match taken {
            Take::Yes => Take::Yes,
            Take::Dry(left) => {
                let why = if holder.is_none() { Why::NoHolder } else { Why::Dry };
                self.refuse(why, left)
            }
            Take::Wait => {
                let futile = self.ties.get(group).and_then(|t| t.pace.futile(now));
                let full = (self.tenants.len() >= WAITING_MOST).then_some(LOOK);
                let Some(left) = futile.or(full) else { return Take::Wait };
                self.escrow.spared(tenant);
                self.refuse(why.unwrap_or(Why::Silent), left)
            }
        }
    }

    fn refuse(&mut self, why: Why, left: Micros) -> Take {
        *self.refused.entry(why).or_default() += 1;
        Take::Dry(left)
    }

    /// Takes a unit for a request that a neighbour has. See [`Escrow::lend`].
    pub fn lend(
        &mut self,
        now: Micros,
        tenant: &str,
        group: usize,
        holder: Option<Holder>,
        span: Span,
    ) -> bool {
        self.escrow.lend(now, tenant, group, holder, span)
    }

    /// A request that was told to wait has got its unit elsewhere.
    pub fn spared(&mut self, tenant: &str) {
        self.escrow.spared(tenant);
    }

    /// A request that was told to wait waits for its unit, [`UNIT_WAIT`] at most.
    pub fn queue(&mut self, now: Micros, tenant: &str, span: Span) -> Ticket {
        self.tickets += 1;
        let ticket = self.tickets;
        self.waiting.entry(tenant.to_owned()).or_default().push_back(Waiter {
            ticket,
            span,
            until: now + UNIT_WAIT,
        });
        self.tenants.insert(ticket, tenant.to_owned());
        ticket
    }

    /// A request that waits is dropped, as its client has gone.
    pub fn leave(&mut self, ticket: Ticket) {
        let Some(tenant) = self.tenants.remove(&ticket) else { return };
        self.escrow.spared(&tenant);
        if let Some(queue) = self.waiting.get_mut(&tenant) {
            queue.retain(|w| w.ticket != ticket);
            if queue.is_empty() {
                self.waiting.remove(&tenant);
            }
        }
    }

    /// What is to be asked now, and the requests that have their units. `holders` tells who holds each group's count.
    pub fn look(
        &mut self,
        now: Micros,
        holders: &[Option<Holder>],
        near: bool,
    ) -> (Vec<Errand>, Vec<Settled>) {
        let groups = holders.len().min(GROUPS_MOST);
        self.ties.resize_with(groups, Tie::default);
        self.ties.iter_mut().zip(holders).for_each(|(tie, holder)| tie.follow(now, *holder));
        let whole = self.looked.is_none_or(|at| now >= at + LOOK);
        if !whole && self.waiting.is_empty() && !self.ties.iter().any(|t| !t.agreed && t.open(now)) {
            return Default::default();
        }
        let settled = self.settle(now, None);
        let open: Vec<bool> = self.ties.iter().map(|t| t.open(now)).collect();
        if !whole && !open.contains(&true) {
            return (Vec::new(), settled);
        }
        let short: Option<Vec<String>> = (!whole).then(|| self.waiting.keys().cloned().collect());
        self.number += 1;
        let (number, ties) = (self.number, &mut self.ties);
        let is_open = |group: usize| open.get(group).copied().unwrap_or(false);
        let mut asks = self.escrow.asks(now, number, near, short.as_deref(), is_open);
        for (group, _) in ties.iter().enumerate().filter(|(g, t)| is_open(*g) && !t.agreed) {
            asks.entry(group).or_default();
        }
        let mut errands: BTreeMap<Holder, Errand> = BTreeMap::new();
        for (group, asks) in asks {
            let Some(tie) = ties.get_mut(group) else { continue };
            let Some((node, boot)) = tie.holder else { continue };
            tie.pace.asked(now);
            let holds = (!tie.agreed && tie.term != 0).then(|| self.escrow.blocks(now, group));
            if holds.is_some() {
                tie.told = number;
            }
            if !tie.agreed {
                tie.alone = Some((number, now));
            }
            let request = Request { group, asks, holds, term: tie.term, life: self.life, number };
            let empty = || Errand { node, boot, at: now, requests: Vec::new() };
            errands.entry((node, boot)).or_insert_with(empty).requests.push(request);
        }
        if whole {
            self.looked = Some(now);
            let terms: Vec<u64> = self.ties.iter().map(|t| t.term).collect();
            self.escrow.sweep(now, &terms);
        }
        (errands.into_values().collect(), settled)
    }

    /// How long after a look the next one is due, if nothing happens before.
    pub fn next(&self, now: Micros) -> Micros {
        let short = |group: usize| self.waiting.keys().any(|t| self.escrow.group(t) == Some(group));
        let due = |(group, tie): (usize, &Tie)| {
            let at = tie.pace.next();
            (at > now && tie.holder.is_some() && (!tie.agreed || short(group))).then_some(at)
        };
        let look = self.looked.map_or(now, |at| at + LOOK);
        let over = self.waiting.values().filter_map(|q| q.front().map(|w| w.until));
        let asks = self.ties.iter().enumerate().filter_map(due);
        asks.chain(over).fold(look, Micros::min).saturating_sub(now)
    }

    /// An errand has come to its end. Returns the requests that have their units, or will have none.
    pub fn heard(&mut self, now: Micros, errand: &Errand, outcome: &Outcome) -> Vec<Settled> {
        let mut touched = Vec::new();
        for request in &errand.requests {
            let Some(tie) = self.ties.get_mut(request.group) else { continue };
            touched.extend(request.asks.iter().map(|a| a.tenant.clone()));
            tie.alone = tie.alone.filter(|(number, _)| *number != request.number);
            let answer = match outcome {
                Outcome::Answers(answers) => {
                    answers.iter().find(|a| a.group == request.group).ok_or(Why::NotHeld)
                }
                Outcome::NotAgreed => Err(Why::NotAgreed),
                Outcome::Unreachable => Err(Why::Unreachable),
                Outcome::Silent => Err(Why::Silent),
            };
            let current = tie.holder == Some((errand.node, errand.boot));
            let result = match answer {
                _ if request.number < tie.told => Ok(()),
                Ok(answer) if current => used(tie, &mut self.escrow, now, errand.at, request, answer),
                // Another is held to be the holder by now, and has not been told: what this one granted will be.
                Ok(answer) => taken(&mut self.escrow, now, errand.at, request, answer).or(Ok(())),
                Err(why) if current => Err(why),
                Err(_) => Ok(()),
            };
            self.escrow.lost(request.number, &request.asks);
            if let Err(why) = result {
                tie.amiss(now, why);
                if why != Why::NotBegun {
                    self.chance =
                        self.chance.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
                    tie.pace.vain(now, self.chance >> 33);
                }
            }
        }
        self.settle(now, Some(&touched))
    }

    /// Gives waiting requests of these tenants, or of all, the units that are there, and an end to those for which none will
    /// come soon.
    fn settle(&mut self, now: Micros, tenants: Option<&[String]>) -> Vec<Settled> {
        let mut settled = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting);
        match tenants {
            None => {
                for (tenant, queue) in &mut waiting {
                    self.serve(now, tenant, queue, &mut settled);
                }
            }
            Some(tenants) => {
                for tenant in tenants {
                    if let Some(queue) = waiting.get_mut(tenant) {
                        self.serve(now, tenant, queue, &mut settled);
                    }
                }
            }
        }
        if !settled.is_empty() {
            waiting.retain(|_, queue| !queue.is_empty());
        }
        self.waiting = waiting;
        settled
    }

    fn serve(&mut self, now: Micros, tenant: &str, queue: &mut VecDeque<Waiter>, settled: &mut Vec<Settled>) {
        let tie = self.escrow.group(tenant).and_then(|g| self.ties.get(g));
        let futile = tie.and_then(|t| t.pace.futile(now));
        while let Some(waiter) = queue.front() {
            let over = futile.is_some() || waiter.until <= now;
            let result = match self.escrow.waited(now, tenant, waiter.span, over) {
                Take::Yes => Ok(()),
                Take::Dry(left) => {
                    let why = tie.and_then(|t| t.why).filter(|_| over);
                    *self.refused.entry(why.map_or(Why::Dry, |(why, _)| why)).or_default() += 1;
                    Err(futile.unwrap_or(left))
                }
                Take::Wait => break,
            };
            self.tenants.remove(&waiter.ticket);
            settled.push((waiter.ticket, result));
            queue.pop_front();
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.tenants.len()
    }

    /// What is held, in words. See [`Escrow::account`].
    pub fn account(&self, now: Micros) -> String {
        self.escrow.account(now)
    }

    /// Why units can't be had, in one line, from time to time; with it whether more than budgets that are used up is amiss.
    pub fn complaint(&mut self, now: Micros) -> Option<(String, bool)> {
        if now < self.complained + COMPLAINT {
            return None;
        }
        let mut amiss: BTreeMap<(Why, Node), (Vec<usize>, Micros, u32)> = BTreeMap::new();
        for (group, tie) in self.ties.iter().enumerate() {
            if let Some((why, since)) = tie.why.filter(|(_, since)| now >= since + AMISS) {
                let one = amiss.entry((why, tie.holder.map_or(0, |h| h.0))).or_default();
                one.0.push(group);
                (one.1, one.2) = (one.1.max(now - since), one.2.max(tie.pace.tries()));
            }
        }
        let words = |((why, node), (groups, span, tries)): (&(Why, Node), &(Vec<usize>, Micros, u32))| {
            let at =
                if *node == 0 { String::new() } else { format!(" at {}", std::net::Ipv4Addr::from(*node)) };
            format!("groups {groups:?}{at}: {why}, for {} ms, {tries} asks in vain", span / 1_000)
        };
        let mut words: Vec<String> = amiss.iter().map(words).collect();
        let worse = !words.is_empty();
        words.extend(self.refused.iter().map(|(why, n)| format!("{n} requests refused: {why}")));
        if words.is_empty() {
            return None;
        }
        self.complained = now;
        self.refused.clear();
        Some((words.join("; "), worse))
    }
}

/// Uses what a count has answered within a tie, or tells why it can't be used.
fn used(
    tie: &mut Tie,
    escrow: &mut Escrow,
    now: Micros,
    asked: Micros,
    request: &Request,
    answer: &Answer,
) -> Result<(), Why> {
    let news = tie.term != answer.term;
    (tie.term, tie.agreed) = (answer.term, !answer.unknown);
    if answer.unknown {
        // It is told at once, now that the life of its count is known, or that it has forgotten.
        return if news || request.holds.is_none() { Ok(()) } else { Err(Why::Untold) };
    }
    if answer.phase.term == 0 {
        tie.pace.rest(now, answer.phase.left);
    }
    taken(escrow, now, asked, request, answer)?;
    tie.pace.well();
    tie.why = None;
    Ok(())
}

/// Takes what a count has granted.
fn taken(
    escrow: &mut Escrow,
    now: Micros,
    asked: Micros,
    request: &Request,
    answer: &Answer,
) -> Result<(), Why> {
    if answer.unknown || answer.phase.term == 0 {
        return Err(Why::NotBegun);
    }
    if !escrow.learn(now, asked, answer.phase) {
        return Err(Why::Late);
    }
    for grant in &answer.grants {
        if let Some(ask) = request.asks.iter().find(|a| a.tenant == grant.tenant) {
            escrow.granted(now, (request.number, asked), ask, answer.phase, grant);
        }
    }
    Ok(())
}
