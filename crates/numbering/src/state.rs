//! The agreed state: what the chosen operations have made, one after the other, alike on every machine.

use crate::document::{self, BadConfig, Item, Items, Kind, Order};
use crate::plan::Plan;
use crate::Version;
use limeway_ballot::Seat;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Orders that are remembered, so that one that comes again is known.
const TAKEN_MOST: usize = 1_024;
/// Zones that can be evacuated at once.
const ZONES_MOST: usize = 256;

/// Limiters that may hold blocks at once, at most.
const DOORS_MOST: usize = 10_000;

/// One chosen operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// The seats of the core from the next slot on, and the machines that held one not long ago: they may still hold duties.
    Core {
        /// Who votes.
        seats: Vec<Seat>,
        /// Who did.
        former: Vec<u32>,
    },
    /// A change of the configuration.
    Config {
        /// See [`Order`].
        version: Version,
        /// See [`Order`].
        base: Version,
        /// See [`Order`].
        whole: bool,
        /// See [`Order`].
        set: Vec<Item>,
        /// See [`Order`].
        drop: Vec<(Kind, String)>,
        /// See [`Order`].
        digest: u64,
    },
    /// Limiters that may be granted quota from now on, and those that have been away too long to hold any.
    Doors {
        /// Taken in.
        add: Vec<u32>,
        /// Taken out.
        drop: Vec<u32>,
    },
    /// Nothing more goes to a zone's servers, or that is taken back.
    Evacuate {
        /// The zone.
        zone: String,
        /// Begun, or taken back.
        begun: bool,
    },
}

impl From<Order> for Op {
    fn from(o: Order) -> Self {
        Op::Config {
            version: o.version,
            base: o.base,
            whole: o.whole,
            set: o.set,
            drop: o.drop,
            digest: o.digest,
        }
    }
}

/// Why an operation cannot be taken on top of a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Another version is in place: its number.
    Stale(Version),
    /// The configuration is invalid.
    Invalid(BadConfig),
}

/// An order that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Taken {
    version: Version,
    digest: u64,
}

/// The agreed state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The last slot in it.
    pub slot: u64,
    /// The configuration's version; 0 before the first.
    pub version: Version,
    /// The version on which it was built.
    pub base: Version,
    items: Vec<(u64, Item)>,
    next: u64,
    /// Zones that get nothing, with how many evacuations of each are in force: two operators may each have begun one, and
    /// the first to take theirs back must not end the other's.
    pub evacuated: BTreeMap<String, u32>,
    /// The seats of the core; empty before they are agreed.
    pub core: Vec<Seat>,
    /// Machines that held a seat not long ago.
    #[serde(default)]
    pub former: Vec<u32>,
    /// The limiters that may hold blocks of quotas: a new holder of a count knows whom it has to ask.
    pub doors: BTreeSet<u32>,
    taken: VecDeque<Taken>,
}

impl State {
    /// The items, in the order in which they were first set.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.iter().map(|(_, item)| item)
    }

    /// The machines of the core.
    pub fn core_nodes(&self) -> Vec<u32> {
        self.core.iter().map(|s| s.node).collect()
    }

    /// The configuration as it is read back.
    pub fn document(&self) -> String {
        document::write(self.version, self.base, self.items())
    }

    /// Whether this very order has been taken already.
    pub fn has_taken(&self, order: &Order) -> bool {
        self.taken.iter().any(|t| t.version == order.version && t.digest == order.digest)
    }

    /// The snapshot that a change would make. Nothing is changed.
    pub fn check(&self, order: &Order) -> Result<Plan, Refusal> {
        if order.base != self.version {
            return Err(Refusal::Stale(self.version));
        }
        if order.version <= self.version {
            let at = format!("config-version {:08x}", order.version);
            return Err(Refusal::Invalid(BadConfig::new(at, "does not exceed the current one")));
        }
        let after = self.changed(order.whole, &order.set, &order.drop);
        Plan::of(order.version, after.iter().map(|(_, item)| item)).map_err(Refusal::Invalid)
    }

    /// The snapshot of what is in place.
    pub fn plan(&self) -> Result<Plan, BadConfig> {
        Plan::of(self.version, self.items())
    }

    fn changed(&self, whole: bool, set: &[Item], drop: &[(Kind, String)]) -> Vec<(u64, Item)> {
        let mut next = self.next;
        let mut items = Items::new();
        if !whole {
            items.extend(self.items.iter().map(|(at, i)| ((i.kind, i.name.clone()), (*at, i.clone()))));
        }
        for (kind, name) in drop {
            items.remove(&(*kind, name.clone()));
        }
        for item in set {
            let at = items.get(&(item.kind, item.name.clone())).map_or_else(
                || {
                    next += 1;
                    next
                },
                |(at, _)| *at,
            );
            items.insert((item.kind, item.name.clone()), (at, item.clone()));
        }
        let mut items: Vec<_> = items.into_values().collect();
        items.sort_by_key(|(at, _)| *at);
        items
    }

    /// Takes in the operation chosen for the next slot. Whoever proposed it has checked it against this very state.
    pub fn apply(&mut self, op: &Op) {
        self.slot += 1;
        match op {
            Op::Core { seats, former } => (self.core, self.former) = (seats.clone(), former.clone()),
            Op::Config { version, base, whole, set, drop, digest } => {
                self.items = self.changed(*whole, set, drop);
                self.next = self.items.iter().map(|(at, _)| *at).max().unwrap_or(0);
                (self.version, self.base) = (*version, *base);
                self.taken.push_back(Taken { version: *version, digest: *digest });
                while self.taken.len() > TAKEN_MOST {
                    self.taken.pop_front();
                }
            }
            Op::Doors { add, drop } => {
                self.doors.retain(|d| !drop.contains(d));
                self.doors.extend(add.iter().take(DOORS_MOST.saturating_sub(self.doors.len())));
            }
            Op::Evacuate { zone, begun: true } => {
                if self.evacuated.len() < ZONES_MOST || self.evacuated.contains_key(zone) {
                    *self.evacuated.entry(zone.clone()).or_default() += 1;
                }
            }
            Op::Evacuate { zone, begun: false } => {
                let left = self.evacuated.get(zone).map_or(0, |n| n.saturating_sub(1));
                if left == 0 {
                    self.evacuated.remove(zone);
                } else {
                    self.evacuated.insert(zone.clone(), left);
                }
            }
        }
    }
}
