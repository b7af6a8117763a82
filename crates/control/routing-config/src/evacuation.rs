//! Which call about a zone is a new one, and which is the same one sent again.
//!
//! A start and a finish have no body and no number, and callers cannot be told apart: what is known of a call is whether its
//! answer has **arrived**. Whoever takes a call gives it a mark by lot; the state holds the mark as open until its machine has
//! seen the caller take the answer ([`Op::Answered`]) or until nobody sends it again. A caller without an answer sends its
//! call again, one with an answer does not. So each open call is followed by one of its like that is the same call again,
//! and takes its place; any other one is new. Which of several operators sent which makes no difference to the count.
//!
//! Free of I/O and clock: [`Calls`] is told the time of the machine's own steady clock.

use crate::state::{Op, State};
use crate::Micros;
use std::collections::BTreeMap;

/// The answer of a call that is just being given is waited for so long before a like one is held to be the same again.
const UNDER_WAY: Micros = 500_000;
/// How long after `ack-timeout` a call is held to be open: what a caller that gave up may have had on its way.
const LATE: Micros = 2_000_000;

/// What a machine does with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// It is in force, or there is nothing to take back: 200.
    Done,
    /// This operation is to be chosen, as long as it fits the state ([`State::fits`]); then ask again.
    Propose(Op),
    /// Another call of its like is being answered: ask again then, or once the state has changed.
    Wait(Micros),
}

/// What a core machine knows of open calls: since when it has seen them.
#[derive(Debug, Clone, Default)]
pub struct Calls {
    seen: BTreeMap<u64, Micros>,
}

impl Calls {
    /// Takes a look at the state: after each operation, or at least once a second.
    pub fn see(&mut self, now: Micros, state: &State) {
        self.seen.retain(|mark, _| state.open_calls().iter().any(|c| c.mark == *mark));
        for call in state.open_calls() {
            self.seen.entry(call.mark).or_insert(now);
        }
    }

    /// What to do with the call that was given this mark, not 0, on a state that is as new as the call.
    pub fn next(&mut self, now: Micros, state: &State, zone: &str, begun: bool, mark: u64) -> Next {
        self.see(now, state);
        let in_force = state.evacuated.contains_key(zone);
        let Some(op) = state.evacuate(zone, begun, mark) else { return Next::Done };
        let again = match &op {
            Op::Evacuate { again, .. } => *again,
            _ => 0,
        };
        // It may still be answered by the machine that took it. With nothing in force, both mean the same.
        let until = self.seen.get(&again).map_or(0, |seen| seen + UNDER_WAY);
        if in_force && now < until {
            return Next::Wait(until);
        }
        Next::Propose(op)
    }

    /// A call that nobody will send again, to be closed with [`Op::Answered`].
    pub fn due(&self, now: Micros, ack_timeout: Micros) -> Option<u64> {
        let old = |seen: &Micros| now >= seen.saturating_add(ack_timeout + LATE);
        self.seen.iter().find(|(_, seen)| old(seen)).map(|(mark, _)| *mark)
    }
}
