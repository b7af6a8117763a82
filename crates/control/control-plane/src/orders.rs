//! Orders of operators: each becomes the value of a slot, is refused for good by a state that is surely the newest, or has no
//! clear answer.
//!
//! What an answer promises: *done* means that a majority has the order on disk; *stale* and *invalid* that it is not in force and
//! never will be by this sending, judged by a state that a majority confirmed after the order came; *unclear* nothing.

use crate::{Action, Ask, Marker, Micros, Token, Told};
use limeway_consensus::Slot;
use limeway_routing_config::evacuation::{CallStep as Call, EvacuationCalls};
use limeway_routing_config::{ConfigUpdate, Operation, Rejection, RoutingSnapshot, State};
use serde_bytes::ByteBuf;
use std::collections::VecDeque;

/// An order is tried for so long: its sender tries another machine after a second of silence.
const ORDER_WAIT: Micros = 900_000;
/// The same on a machine without contact: it says so at once, once a round had its time.
const CUT_WAIT: Micros = 330_000;
/// Orders under way, at most.
const ORDERS_MOST: usize = 64;
/// Calls about zones whose answers have arrived, and that are still to be closed, at most.
const ARRIVED_MOST: usize = 64;

#[derive(Debug)]
enum Wanted {
    Order(Box<ConfigUpdate>),
    Evacuate { zone: String, begun: bool, mark: u64 },
    Read,
}

#[derive(Debug)]
struct Waiting {
    token: Token,
    wanted: Wanted,
    since: Micros,
    until: Micros,
    /// Another call of its like is being answered until then.
    after: Micros,
    /// What the state of this slot makes of an order.
    admitted: Option<(Slot, Result<Operation, Rejection>)>,
}

impl Waiting {
    /// What the state makes of an order: looked at once a slot.
    fn admit(&mut self, state: &State, plan: &RoutingSnapshot) {
        let Wanted::Order(order) = &self.wanted else { return };
        if self.admitted.as_ref().is_none_or(|(slot, _)| *slot != state.slot) {
            self.admitted = Some((state.slot, state.admit(order, plan)));
        }
    }

    fn op(&mut self) -> Option<Operation> {
        self.admitted.take().and_then(|(_, admitted)| admitted.ok())
    }
}

/// What is to be done for an order now.
enum Next {
    Tell(Told),
    Propose,
    Wait,
}

/// See the module.
#[derive(Debug)]
pub(crate) struct Orders {
    waiting: VecDeque<Waiting>,
    /// Calls about zones whose answers are not known to have arrived.
    calls: EvacuationCalls,
    /// Marks of those whose answers have.
    arrived: VecDeque<u64>,
    pub(crate) former_since: Option<Micros>,
}

impl Orders {
    pub(crate) fn new() -> Self {
        Orders {
            waiting: VecDeque::new(),
            calls: EvacuationCalls::default(),
            arrived: VecDeque::new(),
            former_since: None,
        }
    }

    pub(crate) fn any(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn queued(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn wake(&self, now: Micros) -> Option<Micros> {
        self.waiting.iter().map(|w| w.until.min(if w.after > now { w.after } else { Micros::MAX })).min()
    }

    /// Since when a round has to have begun for someone who waits; nothing if `settled` is enough for all.
    pub(crate) fn needs_round(&self, settled: Micros) -> Option<Micros> {
        self.waiting.iter().map(|w| w.since).filter(|since| *since > settled).max()
    }
}

impl Marker {
    pub(crate) fn ask(&mut self, now: Micros, token: Token, ask: Ask, out: &mut Vec<Action>) {
        let wanted = match ask {
            Ask::Beat(report) => return self.beat(now, token, report, out),
            Ask::Gone(id) => return self.gone(now, token, &id, out),
            Ask::Order(order) => Wanted::Order(Box::new(order)),
            Ask::Evacuate { zone, begun } => Wanted::Evacuate { zone, begun, mark: self.draw() | 1 },
            Ask::Read => Wanted::Read,
        };
        if self.orders.waiting.len() >= ORDERS_MOST || self.recovers() {
            return out.push(Action::Tell(token, Told::Unclear));
        }
        let wait = if self.touch(now) { ORDER_WAIT } else { CUT_WAIT };
        self.orders.waiting.push_back(Waiting {
            token,
            wanted,
            since: now,
            until: now + wait,
            after: 0,
            admitted: None,
        });
    }

    fn next(&mut self, now: Micros, waiting: &mut Waiting) -> Next {
        let (state, touch) = (&self.board.state, self.touch(now));
        // Sure of the state as of a moment after the call came.
        let sure = self.settled >= waiting.since;
        if self.recovers() {
            return Next::Wait;
        }
        waiting.admit(state, &self.plan);
        match &waiting.wanted {
            Wanted::Read if sure => Next::Tell(Told::Document(state.document())),
            Wanted::Read => Next::Wait,
            // It is applied here, so a majority has it on disk.
            Wanted::Order(order) if state.has_applied(order) => Next::Tell(Told::Done),
            Wanted::Order(_) => match &waiting.admitted {
                Some((_, Ok(_))) if touch => Next::Propose,
                // A machine that is behind must not refuse by an old state.
                Some((_, Err(refusal))) if sure => Next::Tell(match refusal {
                    Rejection::VersionConflict(_) => Told::Stale,
                    Rejection::Invalid(e) => Told::Invalid(e.clone()),
                    Rejection::Forgotten => Told::Unclear,
                }),
                _ => Next::Wait,
            },
            Wanted::Evacuate { zone, begun, mark } if sure => {
                match self.orders.calls.next_step(now, state, zone, *begun, *mark) {
                    Call::Done => Next::Tell(Told::Taken(*mark)),
                    Call::Wait(until) => {
                        waiting.after = until;
                        Next::Wait
                    }
                    Call::Propose(op) => {
                        waiting.admitted = Some((state.slot, Ok(op)));
                        Next::Propose
                    }
                }
            }
            Wanted::Evacuate { .. } => Next::Wait,
        }
    }

    /// The answer to a call about a zone has reached its caller, who does not send it again.
    pub(crate) fn arrived(&mut self, mark: u64) {
        if self.orders.arrived.len() < ARRIVED_MOST {
            self.orders.arrived.push_back(mark);
            self.contact.sets = true;
        }
    }

    /// A call about a zone that is to be closed.
    pub(crate) fn next_answered(&mut self, now: Micros) -> Option<Operation> {
        let state = &self.board.state;
        self.orders.calls.observe(now, state);
        self.orders.arrived.retain(|mark| state.applies(&Operation::CloseCall(*mark)));
        let old = self.orders.calls.expired(now, self.start.ack_timeout).filter(|_| self.proposes(now));
        self.orders.arrived.front().copied().or(old).map(Operation::CloseCall)
    }

    /// Answers what can be answered, and begins the next ballot.
    pub(crate) fn drive(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            let mut free = self.ballots.free(now);
            if free && self.finish(now, out) {
                free = self.ballots.free(now);
            }
            if free && std::mem::take(&mut self.contact.sets) {
                let next = self.next_seats(now).or_else(|| self.next_answered(now));
                if let Some(op) = next.or_else(|| self.next_doors(now)) {
                    self.hold(now, ByteBuf::from(limeway_distribution::encode(&op)), out);
                    free = self.ballots.free(now);
                }
            }
            let slot = self.board.state.slot;
            let mut first = None;
            for mut waiting in std::mem::take(&mut self.orders.waiting) {
                match self.next(now, &mut waiting) {
                    Next::Tell(told) => {
                        if let (Wanted::Order(order), Told::Done) = (&waiting.wanted, &told) {
                            log::info!(version = order.version; "configuration taken");
                        }
                        out.push(Action::Tell(waiting.token, told));
                        continue;
                    }
                    _ if now >= waiting.until => {
                        out.push(Action::Tell(waiting.token, Told::Unclear));
                        continue;
                    }
                    Next::Propose if free && first.is_none() => first = waiting.op(),
                    _ => {}
                }
                self.orders.waiting.push_back(waiting);
            }
            let Some(op) = first else { return };
            self.hold(now, ByteBuf::from(limeway_distribution::encode(&op)), out);
            // Where one seat is all there are, its word may have come at once.
            if self.board.state.slot == slot {
                return;
            }
        }
    }
}
