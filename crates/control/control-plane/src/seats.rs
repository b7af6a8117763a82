//! Who holds a seat in the core: one change at a time, each a value that a majority of the seats chooses.
//!
//! A machine with a disk that holds no seat is a *newcomer*: it follows, and is given a seat only once all that was applied is
//! on its disk. It takes the place of
//! - the same machine's seat of an earlier life of its disk: that disk is gone;
//! - a seat whose machine says that it leaves, or has not shown itself for [`DEAD`];
//! - nobody, while there are fewer seats than the loss of as many disks as are to be borne asks for.
//!
//! So the set never grows by the dead, and no change leaves fewer copies of what was acknowledged. The next change is chosen by
//! the new set, so a majority of it has applied the last one. Any machine that holds a seat may propose; the lowest that is well
//! does. A machine that leaves goes on until its seat has passed on, or there is nobody to take it.

use crate::{Action, Marker, Micros, Shown, CORE_MOST, SHOWS, TOUCH};
use limeway_consensus::{NodeId, Voter};
use limeway_routing_config::Operation;
use std::collections::BTreeSet;

/// The first seats are those of the machines that the settings file of the first start names. The others of that start are
/// given theirs this long after it, when all have shown themselves.
const FOUNDING: Micros = 1_000_000;
/// The next seed founds so much later.
const FOUNDING_NEXT: Micros = 400_000;
/// The first start is over then.
const FOUNDED: Micros = 2_500_000;
/// A seat whose machine has not shown itself for so long is given to a newcomer, if there is one.
const DEAD: Micros = 3_000_000;
/// A newcomer has shown itself for so long.
const NEW: Micros = 300_000;
/// Those that held a seat may hold duties for this long.
const FORMER: Micros = limeway_membership::ROLE_LEASE + 2_000_000;
/// A machine that is told to end goes on for so long in any case.
pub(crate) const GOODBYE: Micros = 300_000;
/// The same where a newcomer is to take its seat.
pub(crate) const HANDED_OVER: Micros = 2_500_000;
/// A limiter that has been away for so long holds no quota, whoever granted it.
const FORGOTTEN: Micros = 120_000_000;

impl Marker {
    /// Whether this machine knows of no core yet, or its seat is one of an earlier life of its disk and is still to pass on.
    pub(crate) fn recovers(&self) -> bool {
        let core = &self.board.state.voters;
        self.seat().is_none() && (core.is_empty() || core.iter().any(|s| s.node == self.start.me))
    }

    pub(crate) fn leave(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.leaving.is_none() {
            log::info!("told to end");
            self.leaving = Some(now);
            // What it holds passes on at once, not when its term ends.
            self.duties.release_all();
            self.sweep_counts(now);
            self.votes.release_node(self.start.me);
            self.round(now, out);
        }
    }

    /// Whether this machine proposes what any may propose: the lowest that is well, or all would outbid each other.
    pub(crate) fn proposes(&self, now: Micros) -> bool {
        let me = self.start.me;
        let mut seats = self.board.state.voters.iter();
        self.seat().is_some()
            && self.touch(now)
            && self.leaving.is_none()
            && !seats.any(|s| s.node < me && self.well(now, s))
    }

    /// A machine that may be given a seat.
    pub(crate) fn newcomer(&self) -> Option<Voter> {
        let seats = &self.board.state.voters;
        let fits = |s: &&Shown| {
            s.standing.counted
                && s.standing.sound
                && !s.standing.leaving
                && (s.last >= s.first + NEW || seats.iter().any(|old| old.node == s.standing.node))
                && self.paper.now() < s.last + SHOWS
        };
        let seat = |s: &Shown| Voter { node: s.standing.node, disk: s.standing.life };
        let new = |s: &Voter| !seats.contains(s) && s.node != self.start.me;
        let of_old = |s: &Voter| seats.iter().any(|old| old.node == s.node);
        let mut all: Vec<&Shown> = self.shown.values().filter(fits).collect();
        // The one that has most.
        all.sort_by_key(|s| std::cmp::Reverse(s.standing.kept));
        let all: Vec<Voter> = all.into_iter().map(seat).filter(new).collect();
        all.iter().copied().find(of_old).or(all.first().copied())
    }

    /// The next set of seats, if there is to be one.
    pub(crate) fn next_seats(&mut self, now: Micros) -> Option<Operation> {
        if self.start.founder && now < self.started + FOUNDED {
            return self.founding(now);
        }
        if !self.proposes(now) {
            return None;
        }
        let mut seats = self.board.state.voters.clone();
        let Some(new) = self.newcomer() else { return self.forget(now) };
        // All that was applied is on the newcomer's disk.
        let shown = self.shown.get(&new.node)?;
        if shown.standing.kept < self.board.state.slot {
            return None;
        }
        let before = seats.iter().position(|s| s.node == new.node);
        let gone = |s: &Voter| {
            s.node != self.start.me
                && match self.shown.get(&s.node) {
                    Some(shown) => shown.standing.leaving || now > shown.last + DEAD,
                    None => now > self.started + DEAD,
                }
        };
        let place = before.or_else(|| seats.iter().position(gone));
        let former = match place {
            Some(at) => Some(std::mem::replace(&mut seats[at], new).node),
            None if seats.len() < 2 * self.start.losses + 1 && seats.len() < CORE_MOST => {
                seats.push(new);
                None
            }
            None => return self.forget(now),
        };
        seats.sort_unstable();
        let mut all: BTreeSet<NodeId> = self.board.state.former_voters.iter().copied().collect();
        all.extend(former);
        log::info!(node = new.node; "a newcomer is to have a seat");
        self.orders.former_since = None;
        Some(Operation::SetVoters { voters: seats, former_voters: all.into_iter().collect() })
    }

    fn founding(&self, now: Micros) -> Option<Operation> {
        let seats = self.seats();
        let place = seats.iter().position(|s| s.node == self.start.me)?;
        if self.seat().is_none() || now < self.started + FOUNDING + place as u64 * FOUNDING_NEXT {
            return None;
        }
        let slot = self.board.state.slot;
        let fresh = |s: &&Shown| {
            let first = s.standing.counted && s.standing.life == 0;
            first && s.standing.kept >= slot && now < s.last + TOUCH
        };
        let shown = self.shown.values().filter(fresh);
        let shown = shown.map(|s| Voter { node: s.standing.node, disk: s.standing.life });
        let mut all: BTreeSet<Voter> = seats.iter().copied().collect();
        all.extend(shown.filter(|new| !seats.iter().any(|s| s.node == new.node)));
        let all: Vec<Voter> = all.into_iter().take(CORE_MOST).collect();
        (all != seats).then_some(Operation::SetVoters { voters: all, former_voters: Vec::new() })
    }

    /// Those that held a seat hold no duty any more.
    fn forget(&mut self, now: Micros) -> Option<Operation> {
        if self.board.state.former_voters.is_empty() {
            self.orders.former_since = None;
            return None;
        }
        let since = *self.orders.former_since.get_or_insert(now);
        let seats = self.board.state.voters.clone();
        (now > since + FORMER).then_some(Operation::SetVoters { voters: seats, former_voters: Vec::new() })
    }

    /// Limiters that have come and may hold quota, and those that have been away for long.
    pub(crate) fn next_doors(&mut self, now: Micros) -> Option<Operation> {
        let live: BTreeSet<NodeId> = self.roster.live(now).map(|m| m.node).collect();
        let doors = &self.board.state.gateways;
        self.away.retain(|n, _| doors.contains(n) && !live.contains(n));
        for node in doors.difference(&live) {
            self.away.entry(*node).or_insert(now);
        }
        let add: Vec<NodeId> = live.difference(doors).copied().collect();
        let gone = self.away.iter().filter(|(_, since)| now > **since + FORGOTTEN);
        let drop: Vec<NodeId> = gone.map(|(n, _)| *n).collect();
        let news = !add.is_empty() || !drop.is_empty();
        (news && self.proposes(now)).then_some(Operation::SetGateways { add, remove: drop })
    }
}
