//! Which call about a zone is a new one, and which is a retry.
//!
//! A start and an end of an evacuation have no body and no number, and callers cannot be distinguished: what is known of a call is
//! whether its answer has **arrived**. Whoever takes a call gives it a random id; the state holds the call as open until its
//! machine has seen the caller take the answer ([`Operation::CloseCall`]) or until nobody retries it. A caller without an answer
//! retries, one with an answer does not. So the first like call after an open one is its retry and takes its place; any other is
//! new. Which of several operators sent which makes no difference to the count.
//!
//! Free of I/O and clock: [`EvacuationCalls`] takes the time of the machine's own monotonic clock.

use crate::{Operation, State};
use limeway_types::{Micros, Timestamp, SECOND};
use std::collections::BTreeMap;

/// The machine that took a call may still be answering it for so long: until then a like call waits.
const RESPONSE_GRACE: Micros = 500_000;
/// How long after `ack-timeout` a call stays open: a caller that gave up may have had a last retry on its way.
const LATE_RETRY_MARGIN: Micros = 2 * SECOND;

/// What a replica does with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallStep {
    /// It is in force, or there is nothing to end: confirm it.
    Done,
    /// Propose this operation, as long as it applies to the state ([`State::applies`]); then ask again.
    Propose(Operation),
    /// A like call is being answered: ask again at this time, or once the state has changed.
    Wait(Timestamp),
}

/// When this replica has first seen each open call.
#[derive(Debug, Clone, Default)]
pub struct EvacuationCalls {
    first_seen: BTreeMap<u64, Timestamp>,
}

impl EvacuationCalls {
    /// Looks at the state: after each operation, or at least once a second.
    pub fn observe(&mut self, now: Timestamp, state: &State) {
        self.first_seen.retain(|call_id, _| state.open_calls().iter().any(|c| c.call_id == *call_id));
        for call in state.open_calls() {
            self.first_seen.entry(call.call_id).or_insert(now);
        }
    }

    /// When this replica has first seen an open call.
    pub fn first_seen(&self, call_id: u64) -> Option<Timestamp> {
        self.first_seen.get(&call_id).copied()
    }

    /// What to do with the call that was given this id, which is not 0, on a state that is confirmed as of the call's arrival.
    pub fn next_step(
        &mut self,
        now: Timestamp,
        state: &State,
        zone: &str,
        starts: bool,
        call_id: u64,
    ) -> CallStep {
        self.observe(now, state);
        let in_force = state.evacuated.contains_key(zone);
        let Some(operation) = state.evacuation(zone, starts, call_id) else { return CallStep::Done };
        let retry_of = match &operation {
            Operation::Evacuate { retry_of, .. } => *retry_of,
            _ => 0,
        };
        // The open call may still be answered by the machine that took it. With nothing in force, both mean the same.
        let answered_by = self.first_seen.get(&retry_of).map_or(0, |seen| seen + RESPONSE_GRACE);
        if in_force && now < answered_by {
            return CallStep::Wait(answered_by);
        }
        CallStep::Propose(operation)
    }

    /// An open call that nobody will retry, to be closed with [`Operation::CloseCall`].
    pub fn expired(&self, now: Timestamp, ack_timeout: Micros) -> Option<u64> {
        let expired = |seen: &Timestamp| now >= seen.saturating_add(ack_timeout + LATE_RETRY_MARGIN);
        self.first_seen.iter().find(|(_, seen)| expired(seen)).map(|(call_id, _)| *call_id)
    }
}
