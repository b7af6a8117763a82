//! What must hold at every step, and what must have come about after a while.

use crate::people::{Flight, Limiter, Wanted};
use crate::world::{Ev, Machine, World};
use crate::{Micros, Off, SECOND};
use limeway_consensus::{Slot, Voter};
use limeway_control_plane::{ApiRequest, ApiResponse};
use limeway_membership::SHARDS;
use limeway_routing_config::ConfigUpdate;
use limeway_routing_config::State;
use limeway_service_registry::Phase;
use std::collections::BTreeMap;

/// A machine that nothing ails is in touch and up to date after so long.
const UP_TO_DATE: Micros = 3 * SECOND;
/// The seat of a lost disk has passed on by then.
const SEATED: Micros = 4 * SECOND;
/// An order has a clear answer within it while nothing ails anyone.
const ANSWERED: Micros = 2 * SECOND;
/// Events that a process takes in a second, at most.
const EVENTS_MOST: u32 = 4_000;
/// What a state machine has waiting, at most.
const QUEUED_MOST: usize = 2_000;
/// After the last fault all machines are read from then.
const READ_BACK: Micros = 10 * SECOND;

/// See the module.
#[derive(Debug)]
pub struct Judge {
    off: Off,
    /// The first thing that is broken.
    pub broken: Option<String>,
    /// The one state of each slot.
    states: BTreeMap<Slot, State>,
    /// Acknowledged: when, the slot in which it is, and the version.
    acks: Vec<(Micros, Slot, u32)>,
    done: Vec<ConfigUpdate>,
    refused: Vec<ConfigUpdate>,
    /// The groups that each machine's process held when it was last seen, and the slot that it had.
    held: BTreeMap<usize, (Vec<usize>, Slot)>,
    boards: BTreeMap<usize, (Slot, Micros)>,
    asked_back: bool,
    /// Orders told done, refused, and reads.
    pub tally: [usize; 3],
}

/// The version of a document.
pub fn version(text: &str) -> Option<u32> {
    u32::from_str_radix(text.split('"').nth(3)?, 16).ok()
}

impl Judge {
    /// Nothing has happened.
    pub fn new(off: Off) -> Self {
        Judge {
            off,
            broken: None,
            states: BTreeMap::new(),
            acks: Vec::new(),
            done: Vec::new(),
            refused: Vec::new(),
            held: BTreeMap::new(),
            boards: BTreeMap::new(),
            asked_back: false,
            tally: [0; 3],
        }
    }

    /// Something is broken.
    pub fn fail(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// The newest slot that any machine has applied.
    pub fn newest(&self) -> Slot {
        self.states.keys().next_back().copied().unwrap_or(0)
    }

    /// The seats of the newest state.
    pub fn seats(&self) -> &[Voter] {
        self.states.values().next_back().map_or(&[], |s| &s.voters)
    }

    /// The last slot, and the highest version, of what was acknowledged before a moment.
    fn acked(&self, before: Micros) -> (Slot, u32) {
        let acks = self.acks.iter().filter(|(at, ..)| *at < before);
        acks.fold((0, 0), |(slot, version), (_, s, v)| (slot.max(*s), version.max(*v)))
    }

    /// A slot has one state, whoever shows it.
    fn state(&mut self, whose: String, state: &State) {
        let mut state = state.clone();
        if self.off == Off::Former {
            state.former_voters.clear();
        }
        let slot = state.slot;
        if slot == 0 {
            return;
        }
        let known = self.states.entry(slot).or_insert_with(|| state.clone());
        if *known != state {
            let (a, b) = (known.version, state.version);
            return self.fail(format!("slot {slot} has two values: {whose} has version {b}, not {a}"));
        }
        let refused = self.refused.iter().find(|o| o.version == state.version && state.has_applied(o));
        if let Some(order) = refused {
            let version = order.version;
            self.fail(format!("{whose} has version {version} in force, which was refused"));
        }
    }

    /// A machine has taken an event in.
    pub fn after(&mut self, t: Micros, at: usize, machines: &mut [Machine]) {
        let machine = &mut machines[at];
        let now = t + machine.offset;
        let Some(process) = &mut machine.process else { return };
        let second = t / SECOND;
        process.busy = if process.busy.0 == second { (second, process.busy.1 + 1) } else { (second, 1) };
        if process.busy.1 > EVENTS_MOST {
            let tick = process.marker.next_tick() <= now;
            return self.fail(format!(
                "machine {at} takes more than {EVENTS_MOST} events in a second (wake in the past: {tick})"
            ));
        }
        if process.marker.pending_count() > QUEUED_MOST {
            return self.fail(format!("machine {at} has {} things waiting", process.marker.pending_count()));
        }
        let state = process.marker.state();
        let before = self.held.get(&at).map_or(0, |(_, slot)| *slot);
        let (slot, held) = (state.slot, process.marker.held_shards(now));
        if slot < before {
            self.fail(format!("machine {at} goes back from slot {before} to {slot}"));
        }
        if slot != before {
            self.state(format!("machine {at}"), &state.clone());
        }
        self.held.insert(at, (held.clone(), slot));
        if held.is_empty() {
            return;
        }
        for (other, machine) in machines.iter().enumerate().filter(|(other, _)| *other != at) {
            let Some(process) = &machine.process else { continue };
            let theirs = process.marker.held_shards(t + machine.offset);
            if let Some(group) = held.iter().find(|g| theirs.contains(g)) {
                self.fail(format!("machines {at} and {other} hold group {group} at one moment"));
            }
        }
    }

    /// A machine's process has ended: a new one begins anew.
    pub fn ended(&mut self, at: usize) {
        self.held.remove(&at);
    }

    /// A machine answers an operator.
    pub fn told(
        &mut self,
        t: Micros,
        at: usize,
        machines: &[Machine],
        flight: Option<&Flight>,
        told: &ApiResponse,
    ) {
        let Some(process) = &machines[at].process else { return };
        let (slot, newest) = (process.marker.state().slot, process.marker.state().version);
        match (flight.map(|f| (&f.wanted, f.sent)), told) {
            (Some((Wanted::Order(order), _)), ApiResponse::Done) => {
                if !process.marker.state().has_applied(order) {
                    self.fail(format!("machine {at} acknowledges version {} that it has not", order.version));
                }
                self.tally[0] += 1;
                self.acks.push((t, slot, order.version));
                self.done.push(order.clone());
            }
            (Some((Wanted::Order(order), _)), ApiResponse::VersionConflict | ApiResponse::Invalid(_)) => {
                self.tally[1] += 1;
                if self.states.values().next_back().is_some_and(|s| s.has_applied(order)) {
                    self.fail(format!("machine {at} refuses version {} that is in force", order.version));
                }
                self.refused.push(order.clone());
            }
            (asked, ApiResponse::Document(text)) => {
                self.tally[2] += 1;
                let read = version(text).unwrap_or(0);
                let due = asked.map_or(0, |(_, sent)| self.acked(sent).1);
                if read < due || read != newest {
                    self.fail(format!(
                        "machine {at} reads back version {read}, and {due} was acknowledged before"
                    ));
                }
            }
            _ => {}
        }
    }

    /// A limiter has taken a feed in.
    pub fn board(&mut self, t: Micros, at: usize, limiter: &Limiter) {
        let (slot, sure) =
            (limiter.board.state.slot, limiter.board.confirmed_at.saturating_sub(limiter.offset));
        let (before, _) = self.boards.insert(at, (slot, sure)).unwrap_or_default();
        if slot < before {
            self.fail(format!("limiter {at} goes back from slot {before} to {slot}"));
        }
        self.state(format!("limiter {at}"), &limiter.board.state);
        let due = self.acked(sure).0;
        if sure > t || slot < due {
            self.fail(format!(
                "limiter {at} is sure of slot {slot} as of {sure}, before which slot {due} was acknowledged"
            ));
        }
    }
}

impl World {
    /// How each machine stands, in words.
    pub fn account(&self) -> Vec<String> {
        let line = |(at, m): (usize, &Machine)| {
            let standing =
                m.process.as_ref().map(|p| (p.marker.status(self.t + m.offset), p.marker.pending_count()));
            let open = m.process.as_ref().map(|p| &p.marker.acceptor().slot_state);
            let open = open.map(|o| (o.promised, o.accepted.as_ref().map(|(b, _)| b)));
            format!(
                "machine {at}: lost {:?}, disk of slot {}, {standing:?}, {open:?}",
                m.lost, m.disk.state.slot
            )
        };
        let seats = std::iter::once(format!("seats: {:?}", self.judge.seats()));
        self.machines.iter().enumerate().filter(|(_, m)| m.exists).map(line).chain(seats).collect()
    }

    fn seats_fine(&self, long: Micros) -> bool {
        let seats = self.judge.seats();
        let fine = |s: &&Voter| {
            let machine = &self.machines[s.node as usize - 1];
            machine.disk.votes.disk == s.disk && machine.process.is_some() && machine.fine(self.t, long)
        };
        !seats.is_empty() && seats.iter().filter(fine).count() > seats.len() / 2
    }

    /// Nothing has ailed anyone for so long.
    fn calm(&self, long: Micros) -> bool {
        let fine = |m: &crate::world::Machine| !m.exists || m.fine(self.t, long);
        self.t > long && self.machines.iter().all(fine)
    }

    /// What should have come about by now.
    pub(crate) fn look(&mut self) {
        let (t, off) = (self.t, self.off);
        if off == Off::Nothing {
            self.look_at_progress();
        }
        if t >= self.schedule.heal + READ_BACK && !std::mem::replace(&mut self.judge.asked_back, true) {
            for at in 0..self.machines.len() {
                if self.machines[at].process.is_some() {
                    self.push(t, Ev::Ask(at, crate::people::Who::Reader(at), ApiRequest::ReadConfig));
                }
            }
        }
    }

    fn look_at_progress(&mut self) {
        let t = self.t;
        if self.seats_fine(UP_TO_DATE) && t > UP_TO_DATE {
            let due = self.judge.acked(t - UP_TO_DATE).0;
            for (at, machine) in self.machines.iter().enumerate() {
                let Some(process) = machine.process.as_ref().filter(|_| machine.fine(t, UP_TO_DATE)) else {
                    continue;
                };
                // One that has just come has its time, too.
                let young = process.marker.status(t + machine.offset).slot == 0;
                let (touch, slot) =
                    (process.marker.has_quorum(t + machine.offset), process.marker.state().slot);
                if !young && (!touch || slot < due) {
                    let broken =
                        format!("machine {at} is not up to date: in touch {touch}, slot {slot} of {due}");
                    return self.judge.fail(broken);
                }
            }
        }
        if self.seats_fine(SEATED) {
            let gone = |s: &&Voter| {
                let machine = &self.machines[s.node as usize - 1];
                machine.fine(t, SEATED) && machine.process.is_some() && machine.disk.votes.disk != s.disk
            };
            if let Some(seat) = self.judge.seats().iter().find(gone) {
                let broken =
                    format!("the seat of a lost disk of machine {} has not passed on", seat.node - 1);
                return self.judge.fail(broken);
            }
        }
        // Where all disks are slow nothing is promised of times.
        if self.schedule.disks == 1 && self.calm(UP_TO_DATE + ANSWERED) {
            let late = self.people.flights.values().find(|f| t > f.begun + ANSWERED);
            if let Some(flight) = late {
                let broken = format!("no clear answer in {ANSWERED} us to {:?}", flight.wanted);
                self.judge.fail(broken);
            }
        }
    }

    /// Everything is served again, and nothing that was acknowledged is lost.
    pub(crate) fn at_end(&mut self) -> Option<String> {
        let newest = self.judge.states.values().next_back().cloned().unwrap_or_default();
        if let Some(lost) = self.judge.done.iter().find(|o| !newest.has_applied(o)) {
            return Some(format!("version {} was acknowledged and is lost", lost.version));
        }
        if let Some(order) = self.judge.refused.iter().find(|o| newest.has_applied(o)) {
            return Some(format!("version {} was refused and is in force", order.version));
        }
        if self.off != Off::Nothing {
            return None;
        }
        let t = self.t;
        for (at, machine) in self.machines.iter().enumerate().filter(|(_, m)| m.exists) {
            let Some(process) = &machine.process else { return Some(format!("machine {at} does not run")) };
            let (touch, slot) = (process.marker.has_quorum(t + machine.offset), process.marker.state().slot);
            if !touch || slot != newest.slot || !self.people.read.contains(&at) {
                let read = self.people.read.contains(&at);
                return Some(format!("machine {at} at the end: in touch {touch}, slot {slot}, read {read}"));
            }
        }
        let running = self.machines.iter().filter_map(|m| Some((m.process.as_ref()?, m.offset)));
        let held: Vec<usize> = running.flat_map(|(p, offset)| p.marker.held_shards(t + offset)).collect();
        if let Some(group) = (0..SHARDS).find(|g| !held.contains(g)) {
            return Some(format!("nobody holds group {group} at the end"));
        }
        let seats = |s: &Voter| self.machines[s.node as usize - 1].disk.votes.disk == s.disk;
        if let Some(seat) = newest.voters.iter().find(|s| !seats(s)) {
            return Some(format!("at the end machine {} sits with a disk that is gone", seat.node - 1));
        }
        for (at, limiter) in self.people.limiters.iter().enumerate() {
            if limiter.board.state.slot != newest.slot
                || limiter.board.confirmed_at + SECOND * 2 < t + limiter.offset
            {
                let (slot, sure) =
                    (limiter.board.state.slot, t + limiter.offset - limiter.board.confirmed_at);
                return Some(format!(
                    "limiter {at} is not up to date at the end: slot {slot} of {}, sure {sure} us ago",
                    newest.slot
                ));
            }
            let back = |id: &&String| {
                limiter
                    .board
                    .registry
                    .servers()
                    .get(*id)
                    .is_some_and(|s| s.phase == Phase::Ready && !s.unlisted)
            };
            if let Some(id) = self.people.gone.iter().find(back) {
                return Some(format!("limiter {at} takes server {id} for ready, whose end was acknowledged"));
            }
        }
        None
    }
}
