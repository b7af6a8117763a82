//! What must hold after every event.

use crate::alternating::{ZoneSettled, ZONE};
use crate::clients::{Attempt, Limiter, OperatorRequest};
use crate::machine::Machine;
use crate::{DisabledGuard, Micros, SECOND};
use limeway_consensus::{Acceptor, ProposalNumber, Slot, Voter};
use limeway_control_plane::ApiResponse;
use limeway_routing_config::ConfigUpdate;
use limeway_routing_config::State;
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;

/// Upper bound on the events that a process handles in a second.
const MAX_EVENTS_PER_SECOND: u32 = 4_000;
/// Upper bound on what a state machine has pending.
const MAX_PENDING: usize = 2_000;

/// What has been observed, and the first violation.
#[derive(Debug)]
pub struct Invariants {
    disabled: DisabledGuard,
    /// The first violation.
    pub broken: Option<String>,
    /// The one state of each slot.
    pub(crate) states: BTreeMap<Slot, State>,
    /// Acknowledged: when, the slot in which it is, and the version.
    acks: Vec<(Micros, Slot, u32)>,
    pub(crate) done: Vec<ConfigUpdate>,
    pub(crate) refused: Vec<ConfigUpdate>,
    /// The shards that each machine's process held when it was last seen, and the slot that it had.
    held: BTreeMap<usize, (Vec<usize>, Slot)>,
    boards: BTreeMap<usize, (Slot, Micros)>,
    /// The value that was accepted under each proposal number.
    accepted: BTreeMap<(Slot, ProposalNumber), ByteBuf>,
    pub(crate) asked_back: bool,
    /// How the zone stands that one operator evacuates alone, while it has sent no newer order.
    pub(crate) zone_settled: Option<ZoneSettled>,
    /// Updates answered as done, updates rejected, and reads.
    pub tally: [usize; 3],
}

/// The version that a document carries.
pub fn version(text: &str) -> Option<u32> {
    u32::from_str_radix(text.split('"').nth(3)?, 16).ok()
}

impl Invariants {
    /// Nothing observed yet.
    pub fn new(disabled: DisabledGuard) -> Self {
        Invariants {
            disabled,
            broken: None,
            states: BTreeMap::new(),
            acks: Vec::new(),
            done: Vec::new(),
            refused: Vec::new(),
            held: BTreeMap::new(),
            boards: BTreeMap::new(),
            accepted: BTreeMap::new(),
            asked_back: false,
            zone_settled: None,
            tally: [0; 3],
        }
    }

    /// Records a violation; the first one counts.
    pub fn fail(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// The newest slot that any machine has applied.
    pub fn newest(&self) -> Slot {
        self.states.keys().next_back().copied().unwrap_or(0)
    }

    /// The voters of the newest state.
    pub fn voters(&self) -> &[Voter] {
        self.states.values().next_back().map_or(&[], |s| &s.voters)
    }

    /// Whether the newest state has an open evacuation call of this kind.
    pub(crate) fn has_open_call(&self, zone: &str, starts: bool) -> bool {
        self.states.values().next_back().is_some_and(|state| state.like_open_call(zone, starts).is_some())
    }

    /// The last slot, and the highest version, of what was acknowledged before a moment.
    pub(crate) fn acked(&self, before: Micros) -> (Slot, u32) {
        let acks = self.acks.iter().filter(|(at, ..)| *at < before);
        acks.fold((0, 0), |(slot, version), (_, s, v)| (slot.max(*s), version.max(*v)))
    }

    /// A slot has one state on all machines.
    fn state(&mut self, whose: String, state: &State) {
        let mut state = state.clone();
        if self.disabled == DisabledGuard::FormerVoters {
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
        let is_evacuated = state.evacuated.contains_key(ZONE);
        if self.zone_settled.is_some_and(|zone| slot > zone.slot && is_evacuated != zone.evacuated) {
            return self.fail(format!(
                "slot {slot}: zone {ZONE} is evacuated: {is_evacuated}, against the newest order, which was acknowledged"
            ));
        }
        let refused = self.refused.iter().find(|o| o.version == state.version && state.has_applied(o));
        if let Some(order) = refused {
            let version = order.version;
            self.fail(format!("{whose} has version {version} in force, which was refused"));
        }
    }

    /// Acceptors hold one value under one proposal number.
    fn check_accepted(&mut self, at: usize, acceptor: &Acceptor) {
        let Some((number, value)) = &acceptor.slot_state.accepted else { return };
        let key = (acceptor.applied + 1, *number);
        let known = self.accepted.entry(key).or_insert_with(|| value.clone());
        if known != value {
            self.fail(format!("machine {at} accepts a second value for slot {} under {number:?}", key.0));
        }
    }

    /// A machine has handled an event.
    pub fn after(&mut self, t: Micros, at: usize, machines: &mut [Machine]) {
        let machine = &mut machines[at];
        let now = t + machine.offset;
        let Some(process) = &mut machine.process else { return };
        let second = t / SECOND;
        process.busy = if process.busy.0 == second { (second, process.busy.1 + 1) } else { (second, 1) };
        if process.busy.1 > MAX_EVENTS_PER_SECOND {
            let tick = process.replica.next_tick() <= now;
            return self.fail(format!(
                "machine {at} takes more than {MAX_EVENTS_PER_SECOND} events in a second (wake in the past: {tick})"
            ));
        }
        if process.replica.pending_count() > MAX_PENDING {
            return self
                .fail(format!("machine {at} has {} entries pending", process.replica.pending_count()));
        }
        self.check_accepted(at, process.replica.acceptor());
        let state = process.replica.state();
        let before = self.held.get(&at).map_or(0, |(_, slot)| *slot);
        let (slot, held) = (state.slot, process.replica.held_shards(now));
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
            let theirs = process.replica.held_shards(t + machine.offset);
            if let Some(group) = held.iter().find(|g| theirs.contains(g)) {
                self.fail(format!("machines {at} and {other} hold shard {group} at one moment"));
            }
        }
    }

    /// A gateway has started again, and knows nothing.
    pub fn limiter_restarted(&mut self, at: usize) {
        self.boards.remove(&at);
    }

    /// A machine's process has ended: the next one starts from nothing.
    pub fn ended(&mut self, at: usize) {
        self.held.remove(&at);
    }

    /// A machine answers an operator.
    pub fn check_response(
        &mut self,
        t: Micros,
        at: usize,
        machines: &[Machine],
        attempt: Option<Attempt<'_>>,
        told: &ApiResponse,
    ) {
        let Some(process) = &machines[at].process else { return };
        let (slot, newest) = (process.replica.state().slot, process.replica.state().version);
        match (attempt.map(|attempt| (attempt.request, attempt.sent)), told) {
            (Some((OperatorRequest::Order(order), _)), ApiResponse::Done) => {
                if !process.replica.state().has_applied(order) {
                    self.fail(format!("machine {at} acknowledges version {} that it has not", order.version));
                }
                self.tally[0] += 1;
                self.acks.push((t, slot, order.version));
                self.done.push(order.clone());
            }
            (
                Some((OperatorRequest::Order(order), _)),
                ApiResponse::VersionConflict | ApiResponse::Invalid(_),
            ) => {
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

    /// A gateway has applied a response.
    pub fn check_limiter(&mut self, t: Micros, at: usize, limiter: &Limiter) {
        let (slot, sure) =
            (limiter.cache.state.slot, limiter.cache.confirmed_at.saturating_sub(limiter.offset));
        let (before, _) = self.boards.insert(at, (slot, sure)).unwrap_or_default();
        if slot < before {
            self.fail(format!("limiter {at} goes back from slot {before} to {slot}"));
        }
        self.state(format!("limiter {at}"), &limiter.cache.state);
        let due = self.acked(sure).0;
        if sure > t || slot < due {
            self.fail(format!(
                "limiter {at} has slot {slot} confirmed as of {sure}, before which slot {due} was acknowledged"
            ));
        }
    }
}
