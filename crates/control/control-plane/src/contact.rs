//! Rounds to the others: whether this machine is in touch and its state the newest, what others hold, gossip.
//!
//! A round that a majority of the seats has answered shows a slot by which all that was chosen before the round began is
//! applied: the newest that any of them has applied, and one more where a value is accepted there. Once this machine has
//! applied so much it is *sure* of its state as of the round's beginning, however many changes are under way meanwhile.

use crate::messages::{Call, Ping, Pong, Reply};
use crate::{Action, Asked, Marker, Micros, Shown, CORE_MOST, SHOWN_MOST, SHOWS};
use limeway_consensus::{NodeId, Slot, Voter};
use limeway_membership::{Holder, LeaseRequest, MemberHeartbeat};
use limeway_routing_config::Operation;
use limeway_service_registry::ServerReport;
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};

/// Pause between two rounds.
const ROUND: Micros = 250_000;
/// The pause in the first seconds of a process: the fleet may have ended as a whole, and waits for the core.
const ROUND_FIRST: Micros = 60_000;
/// See [`ROUND_FIRST`].
const FIRST: Micros = 3_000_000;
/// A round's answers count for so long.
const ROUND_WAIT: Micros = 300_000;
/// The least pause between two rounds that callers wait for.
const ROUND_LEAST: Micros = 10_000;
/// Rounds under way, at most.
const ROUNDS_MOST: usize = 8;
/// Servers that missed their reports for so many times the pause between two are held to be silent.
const MISSED: u64 = 3;

/// A round under way.
#[derive(Debug)]
struct Round {
    asked: Micros,
    claims: Vec<LeaseRequest>,
    given: BTreeMap<usize, usize>,
    /// Seats that have answered.
    words: usize,
    /// By which slot all is applied that may have been chosen before the round.
    target: Slot,
    /// The furthest machine, and whether it has something pending after that.
    newest: (Slot, NodeId),
    pending: bool,
    open: BTreeSet<NodeId>,
    concluded: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    pub(crate) next: Micros,
    last: u64,
    begun: Micros,
    rounds: BTreeMap<u64, Round>,
    /// Rounds that make this machine sure once it has applied a slot: when they began, and the slot.
    waiting: Vec<(Micros, Slot)>,
    /// The slot that was pending at the end of the last round.
    pending: Slot,
    /// Something is to be finished that nobody else may finish.
    pub(crate) finish: bool,
    /// Whether this machine held a seat when it last looked, and whether seats were agreed.
    pub(crate) seated: bool,
    pub(crate) founded: bool,
    /// Sets are to be looked at: who holds a seat, who may hold quota.
    pub(crate) sets: bool,
}

impl Contact {
    pub(crate) fn queued(&self) -> usize {
        self.rounds.len() + self.waiting.len()
    }

    /// The seats are others now. What a majority of the former ones said shows nothing of what the new ones choose.
    pub(crate) fn other_seats(&mut self) {
        self.waiting.clear();
        for round in self.rounds.values_mut() {
            round.concluded = true;
            round.given.clear();
        }
    }

    /// Whether a round has begun since, or is about to.
    fn asks_since(&self, since: Micros) -> bool {
        self.rounds.values().any(|r| r.asked >= since && !r.concluded)
            || self.waiting.iter().any(|(asked, _)| *asked >= since)
    }
}

impl Marker {
    /// Begins rounds when they are due, or waited for.
    pub(crate) fn rounds(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.tire(now);
        if now >= self.contact.next {
            self.sweep(now, out);
            self.round(now, out);
        } else if self.round_for_callers().is_some_and(|at| now >= at) {
            self.round(now, out);
        }
    }

    /// When a round is to begin because someone waits for one, if none is under way for them.
    pub(crate) fn round_for_callers(&self) -> Option<Micros> {
        let since = self.orders.needs_round(self.settled)?;
        let free = !self.contact.asks_since(since) && self.contact.rounds.len() < ROUNDS_MOST;
        free.then_some(self.contact.begun + ROUND_LEAST)
    }

    fn sweep(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.paper.retry() {
            // Once the disk takes writes again, this machine votes again.
            self.write(Vec::new(), out);
        }
        self.board.registry.expire(now, MISSED * self.start.heartbeat + 700_000);
        self.roster.expire(now);
        self.sweep_counts(now);
        self.refresh(now);
        self.contact.sets = true;
        self.news.look = true;
        self.contact.waiting.retain(|(asked, _)| now < asked + FIRST);
    }

    /// Begins a round.
    pub(crate) fn round(&mut self, now: Micros, out: &mut Vec<Action>) {
        let young = now < self.started + FIRST;
        self.contact.next = now + if young { ROUND_FIRST } else { ROUND };
        self.contact.begun = now;
        let others = self.others();
        let claims = self.claims(now);
        let held = self.duties.held(now);
        let beats: Vec<ServerReport> = {
            let ids = std::mem::take(&mut self.beats);
            ids.iter().filter_map(|id| self.board.registry.report(now, id)).collect()
        };
        self.direct.retain(|_, p| now.saturating_sub(p.age) < limeway_membership::MEMBER_LEASE);
        let age = |p: &MemberHeartbeat| MemberHeartbeat { age: now.saturating_sub(p.age), ..p.clone() };
        let members: Vec<MemberHeartbeat> = self.direct.values().map(age).collect();
        let mut given = BTreeMap::new();
        for claim in &claims {
            if self.votes.vote(now, self.start.me, *claim) {
                *given.entry(claim.shard).or_default() += 1;
            }
        }
        let sound = self.seat().is_some() && self.paper.sound(now);
        let pending = sound && self.acceptor.slot_state.accepted.is_some();
        self.contact.last += 1;
        let number = self.contact.last;
        let slot = self.board.state.slot;
        self.contact.rounds.insert(
            number,
            Round {
                asked: now,
                claims: claims.clone(),
                given,
                words: usize::from(sound),
                target: slot + u64::from(pending),
                newest: (slot, self.start.me),
                pending,
                open: others.iter().copied().collect(),
                concluded: false,
            },
        );
        let me = self.standing(now);
        for node in others {
            let ping = Ping {
                me,
                beats: beats.clone(),
                members: members.clone(),
                held: held.clone(),
                claims: claims.clone(),
                all: self.missed.contains(&node),
            };
            self.send(node, Call::Ping(Box::new(ping)), ROUND_WAIT, Asked::Round(number, node), out);
        }
        self.conclude(now, number);
        self.end_round(now, number, out);
    }

    pub(crate) fn round_reply(
        &mut self,
        now: Micros,
        number: u64,
        node: NodeId,
        reply: Option<Reply>,
        out: &mut Vec<Action>,
    ) {
        let Some(Reply::Pong(pong)) = reply else {
            self.missed.insert(node);
            if let Some(round) = self.contact.rounds.get_mut(&number) {
                round.open.remove(&node);
            }
            return self.end_round(now, number, out);
        };
        self.missed.remove(&node);
        self.show(now, pong.me);
        self.votes.observe_holder(now, Holder { node, incarnation: pong.me.boot }, &pong.held);
        let mut heard: Vec<NodeId> = self.seats().iter().map(|s| s.node).collect();
        heard.extend(&self.board.state.former_voters);
        heard.retain(|n| *n != self.start.me);
        self.votes.complete_recovery(&heard);
        self.hear_all(now, &pong.servers, false);
        let seated = self.seats().contains(&Voter { node, disk: pong.me.life });
        let Some(round) = self.contact.rounds.get_mut(&number) else { return };
        round.open.remove(&node);
        if seated {
            if pong.me.sound {
                round.words += 1;
                for group in pong.given {
                    *round.given.entry(group).or_default() += 1;
                }
            }
            round.target = round.target.max(pong.me.slot + u64::from(pong.pending));
            if pong.me.slot > round.newest.0 {
                (round.newest, round.pending) = ((pong.me.slot, node), pong.pending);
            } else if pong.me.slot == round.newest.0 {
                round.pending |= pong.pending;
            }
        }
        self.conclude(now, number);
        self.end_round(now, number, out);
        if pong.me.slot > self.board.state.slot {
            self.fetch(now, node, out);
        }
    }

    /// A majority is enough: who is silent holds nothing up.
    fn conclude(&mut self, now: Micros, number: u64) {
        let majority = self.majority();
        let Some(round) = self.contact.rounds.get_mut(&number) else { return };
        if round.words >= majority && !round.concluded {
            round.concluded = true;
            self.contact.waiting.push((round.asked, round.target));
        }
        let (asked, claims, given) = (round.asked, round.claims.clone(), round.given.clone());
        self.win(now, asked, &claims, &given, majority);
        self.sure(now);
    }

    /// What has been applied may make this machine sure.
    pub(crate) fn sure(&mut self, now: Micros) {
        let slot = self.board.state.slot;
        let best = self.contact.waiting.iter().filter(|(_, target)| *target <= slot).map(|(asked, _)| *asked);
        let Some(asked) = best.max() else { return };
        self.contact.waiting.retain(|(a, _)| *a > asked);
        if asked > self.settled {
            let was = self.touch(now);
            self.settled = asked;
            self.board.confirmed_at = self.board.confirmed_at.max(asked);
            if !was && self.touch(now) {
                // Polls that came meanwhile were answered at once; members and servers may be news.
                self.news.look = true;
            }
        }
    }

    /// All have answered, or had their time.
    fn end_round(&mut self, now: Micros, number: u64, out: &mut Vec<Action>) {
        if self.contact.rounds.get(&number).is_none_or(|r| !r.open.is_empty()) {
            return;
        }
        let Some(round) = self.contact.rounds.remove(&number) else { return };
        for claim in round.claims.iter().filter(|c| !c.renewal && !self.duties.holds(now, c.shard)) {
            // Another round under way may count the own vote, and win by it.
            let counted = |r: &Round| r.claims.iter().any(|c| c.shard == claim.shard);
            if !self.contact.rounds.values().any(counted) {
                self.votes.release_vote(self.start.me, *claim);
            }
        }
        if round.newest.0 > self.board.state.slot {
            self.fetch(now, round.newest.1, out);
        } else if round.concluded && round.pending && round.newest.0 == self.board.state.slot {
            // Whoever proposed it may have gone: what is still there a round later is finished, whatever it is.
            let slot = self.board.state.slot + 1;
            self.contact.finish = self.contact.pending == slot;
            self.contact.pending = slot;
        } else {
            self.contact.pending = 0;
        }
    }

    /// Finishes what was found pending, or closes its slot with a change of nothing: a ballot that finds nothing at a majority would
    /// leave the value pending where it is, and everyone unsure. True if a ballot was begun.
    pub(crate) fn finish(&mut self, now: Micros, out: &mut Vec<Action>) -> bool {
        let due =
            std::mem::take(&mut self.contact.finish) && self.contact.pending == self.board.state.slot + 1;
        if due {
            let nothing = Operation::SetGateways { add: Vec::new(), remove: Vec::new() };
            self.hold(now, ByteBuf::from(limeway_distribution::encode(&nothing)), out);
        }
        due
    }

    /// Another machine has shown itself.
    fn show(&mut self, now: Micros, standing: crate::messages::Standing) {
        if self.shown.len() >= SHOWN_MOST && !self.shown.contains_key(&standing.node) {
            return;
        }
        let shown = self.shown.entry(standing.node).or_insert(Shown { first: now, last: now, standing });
        if now > shown.last + SHOWS || shown.standing.life != standing.life {
            shown.first = now;
        }
        if shown.standing.boot == standing.boot && shown.standing.kept > standing.kept {
            // Older than what is known.
            shown.last = now;
            return;
        }
        (shown.last, shown.standing) = (now, standing);
        let seat = Voter { node: standing.node, disk: standing.life };
        if standing.kept >= self.board.state.slot && !self.board.state.voters.contains(&seat) {
            // A newcomer that has all.
            self.contact.sets = true;
        }
        if standing.leaving {
            self.votes.release_node(standing.node);
        }
        let (seats, me) = (self.seats(), self.start.me);
        let gone = |n: &NodeId, s: &Shown| {
            *n != me && now > s.last + 40 * SHOWS && !seats.iter().any(|seat| seat.node == *n)
        };
        self.shown.retain(|n, s| !gone(n, s));
        debug_assert!(seats.len() <= CORE_MOST);
    }

    /// Answers another machine's round.
    pub(crate) fn pong(&mut self, now: Micros, ping: Ping, out: &mut Vec<Action>) -> Pong {
        self.show(now, ping.me);
        self.hear_all(now, &ping.beats, false);
        let mut changed = false;
        for member in &ping.members {
            changed |= self.roster.observe(now, member);
        }
        if changed {
            self.refresh(now);
        }
        // Who has no contact could not hear the vote, and would keep everyone else from it.
        let votes = self.seat().is_some() && ping.me.touch && !ping.me.leaving;
        let claims = ping.claims.into_iter().filter(|_| votes);
        let given: Vec<usize> =
            claims.filter(|c| self.votes.vote(now, ping.me.node, *c)).map(|c| c.shard).collect();
        if ping.me.slot > self.board.state.slot {
            self.fetch(now, ping.me.node, out);
        }
        Pong {
            me: self.standing(now),
            pending: self.acceptor.slot_state.accepted.is_some(),
            held: self.duties.held(now),
            given,
            servers: if ping.all { self.board.registry.full_report(now) } else { Vec::new() },
        }
    }

    /// Whether the holder of a seat has shown itself lately, and is in touch itself. A machine that has lost the disk that its
    /// seat is of holds it no more.
    pub(crate) fn well(&self, now: Micros, seat: &Voter) -> bool {
        self.shown.get(&seat.node).is_some_and(|s| {
            now < s.last + SHOWS
                && s.standing.life == seat.disk
                && s.standing.touch
                && s.standing.sound
                && !s.standing.leaving
        })
    }
}
