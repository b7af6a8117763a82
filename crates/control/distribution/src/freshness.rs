//! The following side: what a process takes from an upstream's response.

use crate::cache::StateCache;
use crate::messages::UpdateResponse;
use limeway_membership::{Holder, SHARDS};
use limeway_types::{Micros, Timestamp};
use std::collections::BTreeSet;

/// Members, holders and ends of servers are ignored if the upstream's last quorum confirmation is older than this. A relay whose poll
/// waits hears of a confirmation that is up to a heartbeat round and a long poll old itself, some 1.1 s.
pub const MAX_STALENESS: Micros = 1_500_000;
/// Upper bound on the confirmations of slots to come that are remembered.
const MAX_PENDING_CONFIRMATIONS: usize = 16;

/// Whether an upstream's members, holders and ends of servers are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Its state is not confirmed: it may be cut off from the others.
    Stale,
    /// It is confirmed, but as of earlier than what is known.
    Superseded,
    /// They are taken.
    Current,
}

/// What a response changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChangeSet {
    /// The agreed state.
    pub state: bool,
    /// The servers.
    pub servers: bool,
    /// The members or the holders of roles.
    pub members: bool,
}

/// As of when an upstream was confirmed, on this machine's clock: `confirmed_age` before it answered, which was no sooner than
/// `waited` after the poll was sent.
fn confirmed_at(polled: Timestamp, waited: Micros, confirmed_age: Micros) -> Timestamp {
    (polled + waited).saturating_sub(confirmed_age)
}

impl StateCache {
    /// How fresh the response to a poll that was sent at `polled` is.
    pub fn freshness(&self, polled: Timestamp, response: &UpdateResponse) -> Freshness {
        match response.confirmed_age {
            Some(age) if age <= MAX_STALENESS => {
                if confirmed_at(polled, response.waited, age)
                    >= self.members_confirmed_at.max(self.confirmed_at)
                {
                    Freshness::Current
                } else {
                    Freshness::Superseded
                }
            }
            _ => Freshness::Stale,
        }
    }

    /// Applies the response to a poll that was sent at `polled`, from slot `requested_slot`.
    pub fn apply_response(
        &mut self,
        now: Timestamp,
        polled: Timestamp,
        requested_slot: u64,
        response: UpdateResponse,
    ) -> ChangeSet {
        let freshness = self.freshness(polled, &response);
        let confirmation = response.confirmed_age.map(|age| confirmed_at(polled, response.waited, age));
        let upstream_slot = response.slot;
        let state = self.apply_update(requested_slot, response.state_update);
        let revision = self.registry.revision;
        for report in &response.servers {
            self.registry.observe(now, report);
        }
        if response.full_registry && freshness != Freshness::Stale {
            // A server that is not named may be gone, or the upstream may have just started.
            let listed: BTreeSet<&str> = response.servers.iter().map(|report| report.id.as_str()).collect();
            self.registry.flag_unlisted(|id| !listed.contains(id));
        }
        let servers = self.registry.revision != revision;
        let mut members = false;
        if freshness == Freshness::Current {
            members |= response.members.is_some_and(|list| self.set_members(list));
            members |= self.set_holders(&response.holders);
        }
        if let Some(confirmed_at) = confirmation {
            self.note_confirmation(upstream_slot, confirmed_at, freshness);
        }
        ChangeSet { state, servers, members }
    }

    fn set_holders(&mut self, listed: &[Holder]) -> bool {
        let mut holders = [Holder::default(); SHARDS];
        holders.iter_mut().zip(listed).for_each(|(to, from)| *to = *from);
        let changed = holders != self.holders;
        self.holders = holders;
        changed
    }

    /// The upstream's confirmation is of its own slot: it counts here once this cache has reached that slot, be it by later responses.
    fn note_confirmation(&mut self, slot: u64, confirmed_at: Timestamp, freshness: Freshness) {
        if freshness == Freshness::Current {
            self.members_confirmed_at = self.members_confirmed_at.max(confirmed_at);
        }
        if self.pending_confirmations.len() >= MAX_PENDING_CONFIRMATIONS {
            self.pending_confirmations.pop_front();
        }
        self.pending_confirmations.push_back((slot, confirmed_at));
        self.apply_confirmations();
    }
}
