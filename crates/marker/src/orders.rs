//! Orders of operators: each becomes the value of a slot, is refused for good by a state that is surely the newest, or has no
//! clear answer.
//!
//! What an answer promises: *done* means that a majority has the order on disk; *stale* and *invalid* that it is not in force and
//! never will be by this sending, judged by a state that a majority confirmed after the order came; *unclear* nothing.

use crate::{Action, Ask, Marker, Micros, Token, Told};
use limeway_ballot::Slot;
use limeway_numbering::{Op, Order, Refusal, State};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An order is tried for so long: its sender tries another machine after a second of silence.
const ORDER_WAIT: Micros = 900_000;
/// The same on a machine without contact: it says so at once, once a round had its time.
const CUT_WAIT: Micros = 330_000;
/// Orders under way, at most.
const ORDERS_MOST: usize = 64;
/// An evacuation, or its end, that comes this soon after the last of its kind for a zone is the same call sent again.
const AGAIN: Micros = 2_500_000;

#[derive(Debug)]
enum Wanted {
    Order(Box<Order>),
    Evacuate { zone: String, begun: bool },
    Read,
}

#[derive(Debug)]
struct Waiting {
    token: Token,
    wanted: Wanted,
    since: Micros,
    until: Micros,
    /// What the state of this slot makes of an order.
    checked: Option<(Slot, Option<Refusal>)>,
}

impl Waiting {
    fn op(&self) -> Option<Op> {
        match &self.wanted {
            Wanted::Order(order) => Some(Op::from((**order).clone())),
            Wanted::Evacuate { zone, begun } => Some(Op::Evacuate { zone: zone.clone(), begun: *begun }),
            Wanted::Read => None,
        }
    }

    fn refusal(&mut self, state: &State) -> Option<Refusal> {
        let Wanted::Order(order) = &self.wanted else { return None };
        match &self.checked {
            Some((slot, refusal)) if *slot == state.slot => refusal.clone(),
            _ => {
                let refusal = state.check(order).err();
                self.checked = Some((state.slot, refusal.clone()));
                refusal
            }
        }
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
    evacuated: BTreeMap<String, u32>,
    /// When this machine learnt of the last evacuation, and the last end of one, of each zone.
    learnt: BTreeMap<(String, bool), Micros>,
    pub(crate) former_since: Option<Micros>,
}

impl Orders {
    pub(crate) fn new(state: &State) -> Self {
        Orders {
            waiting: VecDeque::new(),
            evacuated: state.evacuated.clone(),
            learnt: BTreeMap::new(),
            former_since: None,
        }
    }

    pub(crate) fn any(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn queued(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn wake(&self) -> Option<Micros> {
        self.waiting.iter().map(|w| w.until).min()
    }

    /// Since when a round has to have begun for someone who waits; nothing if `settled` is enough for all.
    pub(crate) fn needs_round(&self, settled: Micros) -> Option<Micros> {
        self.waiting.iter().map(|w| w.since).filter(|since| *since > settled).max()
    }

    pub(crate) fn evacuations(&mut self, now: Micros, zones: &BTreeSet<String>, state: &State) {
        for zone in zones {
            let count = |m: &BTreeMap<String, u32>| m.get(zone).copied().unwrap_or(0);
            let (was, is) = (count(&self.evacuated), count(&state.evacuated));
            if was != is {
                self.learnt.insert((zone.clone(), is > was), now);
            }
        }
        self.evacuated.clone_from(&state.evacuated);
    }
}

impl Marker {
    pub(crate) fn ask(&mut self, now: Micros, token: Token, ask: Ask, out: &mut Vec<Action>) {
        let wanted = match ask {
            Ask::Beat(report) => return self.beat(now, token, report, out),
            Ask::Gone(id) => return self.gone(now, token, &id, out),
            Ask::Order(order) => Wanted::Order(Box::new(order)),
            Ask::Evacuate { zone, begun } => Wanted::Evacuate { zone, begun },
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
            checked: None,
        });
    }

    fn next(&self, now: Micros, waiting: &mut Waiting) -> Next {
        let state = &self.board.state;
        // Sure of the state as of a moment after the call came.
        let sure = self.settled >= waiting.since;
        if self.recovers() {
            return Next::Wait;
        }
        let refusal = waiting.refusal(state);
        match &waiting.wanted {
            Wanted::Read if sure => Next::Tell(Told::Document(state.document())),
            Wanted::Read => Next::Wait,
            // It is applied here, so a majority has it on disk.
            Wanted::Order(order) if state.has_taken(order) => Next::Tell(Told::Done),
            Wanted::Order(_) => match refusal {
                None if self.touch(now) => Next::Propose,
                // A machine that is behind must not refuse by an old state.
                Some(refusal) if sure => Next::Tell(match refusal {
                    Refusal::Stale(_) => Told::Stale,
                    Refusal::Invalid(e) => Told::Invalid(e),
                }),
                _ => Next::Wait,
            },
            Wanted::Evacuate { zone, begun } => {
                let count = state.evacuated.get(zone).copied().unwrap_or(0);
                let seen = self.orders.learnt.get(&(zone.clone(), *begun)).copied().unwrap_or(self.started);
                let again = now.saturating_sub(seen) < AGAIN;
                if *begun && count > 0 && again {
                    return Next::Tell(Told::Done);
                }
                if !*begun && (count == 0 || again) {
                    return if sure || again { Next::Tell(Told::Done) } else { Next::Wait };
                }
                if !sure {
                    return Next::Wait;
                }
                Next::Propose
            }
        }
    }

    /// Answers what can be answered, and begins the next ballot.
    pub(crate) fn drive(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            let mut free = self.ballots.free(now);
            if free && self.finish(now, out) {
                free = self.ballots.free(now);
            }
            if free && std::mem::take(&mut self.contact.sets) {
                if let Some(op) = self.next_seats(now).or_else(|| self.next_doors(now)) {
                    self.hold(now, ByteBuf::from(limeway_tandem::pack(&op)), out);
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
            self.hold(now, ByteBuf::from(limeway_tandem::pack(&op)), out);
            // Where one seat is all there are, its word may have come at once.
            if self.board.state.slot == slot {
                return;
            }
        }
    }
}
