//! The agreed state: what the chosen operations have made, one after the other, alike on every machine.

use crate::document::{self, BadConfig, Item, Kind, Order, ITEMS_MOST};
use crate::items::{Changes, Entry, Items, Step};
use crate::plan::Plan;
use crate::Version;
use limeway_consensus::Voter;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Orders that are remembered, so that one that comes again is known. An older one is neither confirmed nor refused.
pub const TAKEN_MOST: usize = 1_024;
/// Zones that can be evacuated at once.
const ZONES_MOST: usize = 256;
/// Limiters that may hold blocks at once, at most.
const DOORS_MOST: usize = 10_000;
/// Calls about zones without a known answer, at most; beyond, the oldest is held to be answered.
const OPEN_MOST: usize = 64;
/// Marks of calls that are remembered after they were answered or sent again.
const SPENT_MOST: usize = 64;
/// Items whose last form is kept for the next snapshot; where more have changed, it is made anew.
const LATELY_MOST: usize = 8_192;

/// One chosen operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// The seats of the core from the next slot on, and the machines that held one not long ago: they may still hold duties.
    Core {
        /// Who votes.
        seats: Vec<Voter>,
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
        /// Of the order as it came, whatever form the operation has.
        digest: u128,
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
        /// The call's own mark; 0 for a call that is not told from others.
        #[serde(default)]
        mark: u64,
        /// The open call that it is held to be, sent again; 0 for a new one.
        #[serde(default)]
        again: u64,
    },
    /// The call with this mark has its answer, or is sent no more.
    Answered(u64),
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
    /// Another version is in place: its number. This order was never taken.
    Stale(Version),
    /// The configuration is invalid.
    Invalid(BadConfig),
    /// It is older than all orders that are remembered: it may have been taken or not.
    Forgotten,
}

/// An order that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Taken {
    #[serde(rename = "v", alias = "version")]
    version: Version,
    #[serde(rename = "d", alias = "digest")]
    digest: u128,
}

/// A call about a zone whose answer is not known to have arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Begun, or taken back.
    #[serde(rename = "b")]
    pub begun: bool,
    /// Its mark.
    #[serde(rename = "m")]
    pub mark: u64,
}

/// What items were when the last snapshot was made. It belongs to this machine and is no part of the state: two states are
/// equal whatever is in it.
#[derive(Debug, Clone, Default)]
struct Lately {
    /// The version of that snapshot; nothing if the snapshot has to be made anew.
    since: Option<Version>,
    old: BTreeMap<(Kind, Box<str>), Option<Box<str>>>,
}

impl PartialEq for Lately {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Lately {}

impl Lately {
    fn note(&mut self, kind: Kind, name: Box<str>, old: Option<Box<str>>) {
        if self.since.is_none() {
            return;
        }
        self.old.entry((kind, name)).or_insert(old);
        if self.old.len() > LATELY_MOST {
            *self = Lately::default();
        }
    }
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
    items: Items,
    /// Zones that get nothing, with how many evacuations of each are in force: two operators may each have begun one, and
    /// the first to take theirs back must not end the other's.
    pub evacuated: BTreeMap<String, u32>,
    /// The seats of the core; empty before they are agreed.
    pub core: Vec<Voter>,
    /// Machines that held a seat not long ago.
    #[serde(default)]
    pub former: Vec<u32>,
    /// The limiters that may hold blocks of quotas: a new holder of a count knows whom it has to ask.
    pub doors: BTreeSet<u32>,
    taken: VecDeque<Taken>,
    /// The highest version whose order is no longer among `taken`.
    #[serde(default)]
    forgotten: Version,
    #[serde(default)]
    open: Vec<OpenCall>,
    #[serde(default)]
    spent: VecDeque<u64>,
    #[serde(skip)]
    lately: Lately,
}

impl State {
    /// The items, by kind and name.
    pub fn items(&self) -> impl Iterator<Item = Entry<'_>> {
        self.items.iter()
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

    /// The smallest operation that does to this state what an order does.
    pub fn difference(&self, order: &Order) -> Op {
        let changes = self.items.changes(order.whole, &order.set, &order.drop);
        Self::smallest(order, &changes)
    }

    fn smallest(order: &Order, changes: &Changes) -> Op {
        // Beside the words of an item, a few bytes for its form.
        const FORM: usize = 12;
        let bytes =
            |((_, name), spec): (&(Kind, &str), &Option<&str>)| FORM + name.len() + spec.map_or(0, str::len);
        let whole: usize = order.set.iter().map(|i| FORM + i.name.len() + i.spec.len()).sum();
        if order.whole && whole <= changes.iter().map(bytes).sum() {
            return Op::from(order.clone());
        }
        let (mut set, mut drop) = (Vec::new(), Vec::new());
        for ((kind, name), spec) in changes {
            match spec {
                Some(spec) => {
                    set.push(Item { kind: *kind, name: (*name).to_owned(), spec: (*spec).to_owned() });
                }
                None => drop.push((*kind, (*name).to_owned())),
            }
        }
        let Order { version, base, digest, .. } = *order;
        Op::Config { version, base, whole: false, set, drop, digest }
    }

    /// What an order changes, if it may be taken at all; what its items say is not looked at.
    fn changes<'a>(&'a self, order: &'a Order) -> Result<Changes<'a>, Refusal> {
        if order.base != self.version {
            let forgotten = order.version != 0 && order.version <= self.forgotten;
            return Err(if forgotten { Refusal::Forgotten } else { Refusal::Stale(self.version) });
        }
        if order.version <= self.version {
            let at = format!("config-version {:08x}", order.version);
            return Err(Refusal::Invalid(BadConfig::new(at, "does not exceed the current one")));
        }
        let changes = self.items.changes(order.whole, &order.set, &order.drop);
        if self.items.len_after(&changes) > ITEMS_MOST {
            return Err(Refusal::Invalid(BadConfig::new("resource-list", "makes too many items")));
        }
        Ok(changes)
    }

    /// The snapshot that an order would make, made anew. Nothing is changed.
    pub fn check(&self, order: &Order) -> Result<Plan, Refusal> {
        let changes = self.changes(order)?;
        self.anew(order.version, &changes).map_err(Refusal::Invalid)
    }

    /// The operation to propose for an order, with `plan` the snapshot of what is in place. It refuses just what
    /// [`State::check`] refuses, and looks only at what the order changes.
    pub fn admit(&self, order: &Order, plan: &Plan) -> Result<Op, Refusal> {
        let changes = self.changes(order)?;
        let fits =
            plan.version == self.version && plan.next(order.version, &self.items.steps(&changes)).is_ok();
        if !fits {
            self.anew(order.version, &changes).map_err(Refusal::Invalid)?;
        }
        Ok(Self::smallest(order, &changes))
    }

    fn anew(&self, version: Version, changes: &Changes) -> Result<Plan, BadConfig> {
        let mut after: Changes = self.items().map(|e| ((e.kind, e.name), Some(e.spec))).collect();
        after.extend(changes);
        let entry =
            |((kind, name), spec): ((Kind, _), Option<_>)| spec.map(|spec| Entry { kind, name, spec });
        Plan::of(version, after.into_iter().filter_map(entry))
    }

    /// The snapshot of what is in place, made anew.
    pub fn plan(&self) -> Result<Plan, BadConfig> {
        Plan::of(self.version, self.items())
    }

    /// The snapshot of what is in place, made from the last one that was taken from here: what has not changed is shared.
    /// From any other one it is made anew.
    pub fn plan_from(&mut self, last: &Plan) -> Result<Plan, BadConfig> {
        let next = (self.lately.since == Some(last.version)).then(|| {
            let mut steps = Vec::with_capacity(self.lately.old.len());
            for ((kind, name), old) in &self.lately.old {
                let (old, new) = (old.as_deref(), self.items.get(*kind, name));
                if old != new {
                    steps.push(Step { kind: *kind, name, old, new });
                }
            }
            last.next(self.version, &steps)
        });
        let plan = match next {
            Some(Ok(plan)) => plan,
            _ => self.plan()?,
        };
        self.lately = Lately { since: Some(self.version), old: BTreeMap::new() };
        Ok(plan)
    }

    /// Takes a newer state in its place. The next snapshot shares with the last one what is alike in both.
    pub fn jump(&mut self, mut newer: State) {
        let mut lately = std::mem::take(&mut self.lately);
        if lately.since.is_some() {
            for (kind, name) in self.items.until(&newer.items).keys() {
                lately.note(*kind, (*name).into(), self.items.get(*kind, name).map(Into::into));
            }
        }
        newer.lately = lately;
        *self = newer;
    }

    /// Calls about zones whose answer is not known to have arrived, the oldest first.
    pub fn open_calls(&self) -> &[OpenCall] {
        &self.open
    }

    fn knows(&self, mark: u64) -> bool {
        mark != 0 && (self.spent.contains(&mark) || self.open.iter().any(|c| c.mark == mark))
    }

    /// The operation that a call about a zone asks for; nothing if it has been taken, or there is nothing to take back.
    pub fn evacuate(&self, zone: &str, begun: bool, mark: u64) -> Option<Op> {
        let open = self.open.iter().find(|c| c.zone == zone && c.begun == begun);
        let idle = !begun && open.is_none() && !self.evacuated.contains_key(zone);
        let again = open.map_or(0, |c| c.mark);
        (!idle && !self.knows(mark)).then(|| Op::Evacuate { zone: zone.to_owned(), begun, mark, again })
    }

    /// Whether an operation that was made for an earlier state has the same meaning on this one.
    pub fn fits(&self, op: &Op) -> bool {
        match op {
            Op::Config { version, base, .. } => *base == self.version && *version > self.version,
            Op::Evacuate { zone, begun, mark, .. } => self.evacuate(zone, *begun, *mark).as_ref() == Some(op),
            Op::Answered(mark) => self.open.iter().any(|c| c.mark == *mark),
            Op::Core { .. } | Op::Doors { .. } => true,
        }
    }

    /// Takes in the operation chosen for the next slot. Whoever proposed it has checked it against this very state; a change
    /// on top of another version would be no change at all.
    pub fn apply(&mut self, op: &Op) {
        self.slot += 1;
        match op {
            Op::Core { seats, former } => (self.core, self.former) = (seats.clone(), former.clone()),
            Op::Config { version, base, whole, set, drop, digest } => {
                if !self.fits(op) {
                    return;
                }
                let changes = self.items.changes(*whole, set, drop);
                let own = |((kind, name), spec): ((Kind, &str), Option<&str>)| {
                    (kind, Box::<str>::from(name), spec.map(Box::<str>::from))
                };
                let changes: Vec<_> = changes.into_iter().map(own).collect();
                for (kind, name, spec) in changes {
                    let old = self.items.put(kind, &name, spec.as_deref());
                    self.lately.note(kind, name, old);
                }
                (self.version, self.base) = (*version, *base);
                self.taken.push_back(Taken { version: *version, digest: *digest });
                while self.taken.len() > TAKEN_MOST {
                    self.forgotten = self.taken.pop_front().map_or(self.forgotten, |t| t.version);
                }
            }
            Op::Doors { add, drop } => {
                self.doors.retain(|d| !drop.contains(d));
                self.doors.extend(add.iter().take(DOORS_MOST.saturating_sub(self.doors.len())));
            }
            Op::Evacuate { zone, begun, mark, again } => self.take_call(zone, *begun, *mark, *again),
            Op::Answered(mark) => self.close(*mark, 0),
        }
    }

    /// An open call ends, or another one takes its place.
    fn close(&mut self, mark: u64, by: u64) {
        let Some(at) = self.open.iter().position(|c| c.mark == mark) else { return };
        if by == 0 {
            self.open.remove(at);
        } else {
            self.open[at].mark = by;
        }
        self.spend(mark);
    }

    fn spend(&mut self, mark: u64) {
        self.spent.push_back(mark);
        if self.spent.len() > SPENT_MOST {
            self.spent.pop_front();
        }
    }

    fn take_call(&mut self, zone: &str, begun: bool, mark: u64, again: u64) {
        if self.knows(mark) {
            return;
        }
        if again != 0 && self.open.iter().any(|c| c.mark == again && c.zone == zone && c.begun == begun) {
            return self.close(again, mark);
        }
        let count = self.evacuated.get(zone).copied().unwrap_or(0);
        let full = count == 0 && self.evacuated.len() >= ZONES_MOST;
        match (begun, count) {
            (true, _) if full => return,
            (true, _) => drop(self.evacuated.insert(zone.to_owned(), count + 1)),
            (false, 0) => return,
            (false, 1) => {
                self.evacuated.remove(zone);
                // Nothing is in force that a start could be again.
                let ended = |c: &OpenCall| c.zone == zone && c.begun;
                for call in self.open.iter().filter(|c| ended(c)).map(|c| c.mark).collect::<Vec<_>>() {
                    self.close(call, 0);
                }
            }
            (false, _) => drop(self.evacuated.insert(zone.to_owned(), count - 1)),
        }
        if mark != 0 {
            self.open.push(OpenCall { zone: zone.to_owned(), begun, mark });
            if self.open.len() > OPEN_MOST {
                let oldest = self.open[0].mark;
                self.close(oldest, 0);
            }
        }
    }
}
