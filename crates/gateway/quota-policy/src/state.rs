//! Plain types that the module keeps its state in, and what gateways tell each other. Nothing here decides.

use crate::interface::*;
use limeway_call_pacing::Bucket;
use limeway_counter_recovery::standing::{Doors, Use};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

/// A hash that is the same in every process and build: count names must agree between gateways.
pub(crate) fn stable_hash(name: &[u8], number: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name);
    hasher.write_u64(number);
    hasher.finish() >> 1
}

/// The name of the count of a customer's window.
pub(crate) fn window_name(key: u64, window: u64) -> u64 {
    stable_hash(&key.to_le_bytes(), window)
}

/// The name of the count on which gateways show themselves in a slot: as hosts see it among the names of windows.
pub fn presence_name(slot: u64) -> u64 {
    stable_hash(b"presence", slot)
}

/// The name of a count that only finds out whether the counter answers.
pub(crate) fn probe_name(me: u32, slot: u64) -> u64 {
    stable_hash(&me.to_le_bytes(), slot)
}

/// Seconds in a microsecond.
pub(crate) const SECOND: f64 = 1e-6;

/// A customer as this gateway knows it.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan: usize,
    pub doors: f64,
    /// One of them leases for all; which one, unless it is this gateway.
    pub pooled: bool,
    pub home: Option<u32>,
    /// Length of its windows, their shift, and the budget of one.
    pub length: Micros,
    pub phase: Micros,
    pub budget: f64,
    /// Units that its quota holds in one: beyond the budget, where a ceiling binds, they have a split of the ceiling.
    pub reach: f64,
    /// Such units held for the present window.
    pub beyond: f64,
    /// Units held, by window.
    pub escrow: BTreeMap<u64, f64>,
    pub window: u64,
    /// The customer's store as seen from here: less own sends and what others add to the count.
    pub store: Bucket,
    /// This gateway's even split of the store, less all it has sent on.
    pub split: Bucket,
    /// The total last seen on the window's count.
    pub total: f64,
    /// Units sent on in this window and in the one before.
    pub used: f64,
    pub past: f64,
    /// Units of this window that were spent without a lease, still to be added to the count.
    pub owed: f64,
    /// Size of the last request.
    pub units: f64,
    /// The last lease call was lost.
    pub lost: bool,
    /// Of that what was spent in trouble, in all of this window: its share of the window bounds it.
    pub lent: f64,
    /// The gateways that its requests come in through.
    pub through: Doors,
    pub seen: Micros,
    pub waiting: VecDeque<Waiting>,
    /// A lease call is out; until when an answer of its home is awaited.
    pub calling: bool,
    pub asking: Option<Micros>,
    /// Units that its home has granted for this window, and until when it has none.
    pub granted: f64,
    pub denied_until: Micros,
    pub ceiling: Bucket,
    pub open: f64,
}

impl Customer {
    /// What is known of the use of a window.
    pub(crate) fn used(&self, key: u64, window: u64) -> Use {
        let begins = (window * self.length).saturating_sub(self.phase);
        Use { key, window, begins, budget: self.budget, used: self.total }
    }

    /// The number and the end of its window at this time.
    pub(crate) fn window_at(&self, now: Micros) -> (u64, Micros) {
        let window = (now + self.phase) / self.length;
        (window, (window + 1) * self.length - self.phase)
    }

    /// Units that wait.
    pub(crate) fn wanted(&self) -> f64 {
        self.waiting.iter().map(|w| w.units).sum()
    }

    /// Units of escrow held for a window.
    pub(crate) fn held(&self, window: u64) -> f64 {
        self.escrow.get(&window).copied().unwrap_or(0.0)
    }
}

/// What waits for units: a request here, or another gateway that has asked.
pub(crate) struct Waiting {
    pub id: RequestId,
    pub peer: Option<u32>,
    pub units: f64,
    pub since: Micros,
}

pub(crate) struct Call {
    pub customer: u64,
    pub window: u64,
    pub amount: f64,
    /// The part of it that was spent before, and the part that the counter had before it lost its numbers.
    pub owed: f64,
    pub debt: f64,
    /// Its answer could not be read, and the total is being asked for.
    pub asked: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

pub(crate) struct Attempt {
    pub server: ServerId,
    pub sent: Micros,
    pub fate: Fate,
    pub cancelled: bool,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Stage {
    Waiting,
    Ready,
    Sent,
    Streaming,
}

pub(crate) struct Request {
    pub class: usize,
    pub customer: u64,
    pub units: f64,
    /// The window that its units were leased in; 0 where they were not.
    pub window: u64,
    /// When it took its units.
    pub taken: Micros,
    pub arrived: Micros,
    pub deadline: Micros,
    pub stage: Stage,
    pub rank: (u64, u64, RequestId),
    pub alarm: Micros,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Health {
    #[default]
    Up,
    Suspect(Micros),
    Trial,
}

#[derive(Default)]
pub(crate) struct Server {
    pub zone: usize,
    pub cell: u64,
    pub ready: bool,
    /// Removed, or no longer listed.
    pub gone: bool,
    pub weight: f64,
    pub started: Micros,
    pub health: Health,
    pub eject: Micros,
    pub failures: u32,
    /// It refused or broke a connection since its last answer: it may have restarted.
    pub broke: bool,
    pub answered: Micros,
    pub outs: BTreeMap<(RequestId, u32), Micros>,
    pub limit: f64,
    pub least: f64,
    pub cut_at: Micros,
    pub busy: f64,
    pub slow: f64,
    pub cold_since: Option<Micros>,
    pub tokens: Bucket,
}

/// What one gateway tells another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Message {
    /// Asks the customer's home for units.
    Ask { customer: u64, plan: u8, doors: u16, units: f32 },
    /// Units leased on to the gateway that asked.
    Grant { customer: u64, units: f32 },
    /// Nothing is left for this time.
    Deny { customer: u64, wait: u32 },
    /// The counter has lost its numbers, so long ago.
    Lost { ago: u32 },
}

impl Message {
    /// The bytes of a message: its kind, the customer, and what follows.
    pub(crate) fn encode(self) -> Vec<u8> {
        let (kind, customer, rest) = match self {
            Message::Ask { customer, plan, doors, units } => {
                let mut rest = units.to_le_bytes().to_vec();
                rest.push(plan);
                rest.extend(doors.to_le_bytes());
                (0, customer, rest)
            }
            Message::Grant { customer, units } => (1, customer, units.to_le_bytes().to_vec()),
            Message::Deny { customer, wait } => (2, customer, wait.to_le_bytes().to_vec()),
            Message::Lost { ago } => (3, 0, ago.to_le_bytes().to_vec()),
        };
        let mut bytes = vec![kind];
        bytes.extend(customer.to_le_bytes());
        bytes.extend(rest);
        bytes
    }

    /// Reads a message; nothing where the bytes are none.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let customer = u64::from_le_bytes(bytes.get(1..9)?.try_into().ok()?);
        let figure: [u8; 4] = bytes.get(9..13)?.try_into().ok()?;
        let units = f32::from_le_bytes(figure);
        let sound = units.is_finite() && units > 0.0;
        match (bytes[0], bytes.len()) {
            (0, 16) if sound => {
                let doors = u16::from_le_bytes([bytes[14], bytes[15]]);
                Some(Message::Ask { customer, plan: bytes[13], doors, units })
            }
            (1, 13) if sound => Some(Message::Grant { customer, units }),
            (3, 13) => Some(Message::Lost { ago: u32::from_le_bytes(figure) }),
            (2, 13) => Some(Message::Deny { customer, wait: u32::from_le_bytes(figure) }),
            _ => None,
        }
    }
}
