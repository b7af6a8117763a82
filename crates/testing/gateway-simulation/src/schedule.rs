//! What fails in a day, and when: drawn by a seed, or written by hand.

use crate::{Micros, SECOND};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Kinds of days.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Nothing fails.
    Calm,
    /// The counter refuses for a while, and is back with its numbers.
    Refusing,
    /// The same, silent; what it is sent it adds or not.
    Silent,
    /// It is so slow that most calls are given up, though they are added.
    Slow,
    /// It is swapped for one without history.
    Replaced,
    /// Twice within a window.
    ReplacedTwice,
    /// Half of the gateways see another counter for a while, an empty one, and come back to the first.
    Halves,
    /// Some gateways cannot reach it.
    Partition,
    /// Replaced while some cannot see it.
    ReplacedUnseen,
    /// It comes and goes each second, now and then without its numbers.
    Flapping,
    /// Gateways are killed and start from nothing while the counter is silent.
    Restarts,
    /// All go over to another counter, an empty one, each at its own time and for good, as when `SIGHUP` names a new address.
    Moved,
    /// Clocks that differ by up to an eighth of a second, a limiter that stands still for 3 s, and an emptied counter.
    Clocks,
    /// Any of these, at any time.
    Mixed,
}

/// How far two clocks may differ: a quarter of a slot of marks, which is what the module allows for.
const CLOCK_OFF: i64 = 125_000;
/// Of [`Kind::ALL`], those that mixed days draw from come before this place: clocks are off for a whole day or not at all,
/// and a move for good would leave the other faults a counter that nobody uses.
const MIXED: usize = 11;

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 14] = [
        Kind::Calm,
        Kind::Refusing,
        Kind::Silent,
        Kind::Slow,
        Kind::Replaced,
        Kind::ReplacedTwice,
        Kind::Halves,
        Kind::Partition,
        Kind::ReplacedUnseen,
        Kind::Flapping,
        Kind::Restarts,
        Kind::Moved,
        Kind::Clocks,
        Kind::Mixed,
    ];

    /// The kind of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|k| k.name() == name)
    }

    /// Whether two counters may answer at one time.
    pub fn two_counters(self) -> bool {
        matches!(self, Kind::Halves | Kind::Moved | Kind::Mixed)
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Calm => "calm",
            Kind::Refusing => "refusing",
            Kind::Silent => "silent",
            Kind::Slow => "slow",
            Kind::Replaced => "replaced",
            Kind::ReplacedTwice => "replaced-twice",
            Kind::Halves => "halves",
            Kind::Partition => "partition",
            Kind::ReplacedUnseen => "replaced-unseen",
            Kind::Flapping => "flapping",
            Kind::Restarts => "restarts",
            Kind::Moved => "moved",
            Kind::Clocks => "clocks",
            Kind::Mixed => "mixed",
        }
    }
}

/// One thing that happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Counter `n` takes no calls.
    Refuse(usize),
    /// Counter `n` takes calls and says nothing; it adds them, or not.
    Silence {
        /// Which counter.
        counter: usize,
        /// It adds what it is sent.
        adds: bool,
    },
    /// Counter `n` answers so late.
    Slow(usize, Micros),
    /// Counter `n` is well again, with its numbers.
    Well(usize),
    /// Counter `n` has forgotten all.
    Empty(usize),
    /// A gateway talks to counter `n` from now on.
    Use(u32, usize),
    /// A gateway reaches no counter; or does again.
    Cut(u32, bool),
    /// A gateway dies and starts from nothing at once.
    Restart(u32),
    /// A gateway stands still for so long.
    Pause(u32, Micros),
    /// Two gateways hear nothing of each other; or do again.
    Apart(u32, u32, bool),
    /// All of a customer's requests come through its n-th door from now on.
    Door(usize, u32),
    /// A gateway's clock goes ahead of the others' by so much, or behind them: from the day's begin on.
    Clock(u32, i64),
}

impl Fault {
    /// Whether it is about the counter or the way to it, and not only about load, a limiter or its clock.
    pub fn of_counter(&self) -> bool {
        !matches!(
            self,
            Fault::Door(..) | Fault::Clock(..) | Fault::Pause(..) | Fault::Restart(_) | Fault::Apart(..)
        )
    }
}

/// A day: its gateways and customers by the seed, and its faults.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Schedule {
    /// Draws gateways, customers, requests, delays and losses.
    pub seed: u64,
    /// What kind of day it is.
    pub kind: Kind,
    /// Gateways.
    pub gateways: u32,
    /// Customers.
    pub customers: usize,
    /// Length of the day.
    pub length: Micros,
    /// Share of messages between gateways that is lost.
    pub loss: f64,
    /// Gateways lease ahead of need.
    pub ahead: bool,
    /// What happens, by time.
    pub faults: Vec<(Micros, Fault)>,
}

impl Schedule {
    /// Draws a day of a kind.
    pub fn draw(kind: Kind, seed: u64) -> Self {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(7);
        let gateways = rng.random_range(2..=4);
        let customers = rng.random_range(4..=9);
        let length = 14 * SECOND;
        let loss = rng.random_range(0.0..0.1);
        let mut day =
            Schedule { seed, kind, gateways, customers, length, loss, ahead: false, faults: Vec::new() };
        // Moves of load between doors come on every day.
        for _ in 0..rng.random_range(0..3) {
            let (customer, door) = (rng.random_range(0..customers), rng.random_range(0..4));
            day.at(rng.random_range(0..length), Fault::Door(customer, door));
        }
        if kind == Kind::Mixed {
            for _ in 0..rng.random_range(1..=3) {
                let one = Kind::ALL[rng.random_range(1..MIXED)];
                day.add(one, rng);
            }
        } else {
            day.add(kind, rng);
        }
        day.faults.sort_by_key(|f| f.0);
        day
    }

    fn at(&mut self, t: Micros, fault: Fault) {
        self.faults.push((t, fault));
    }

    fn add(&mut self, kind: Kind, rng: &mut ChaCha8Rng) {
        let from = rng.random_range(3 * SECOND..6 * SECOND);
        let to = from + rng.random_range(SECOND..5 * SECOND);
        let some: Vec<u32> = (0..self.gateways).filter(|_| rng.random::<bool>()).collect();
        match kind {
            Kind::Calm | Kind::Mixed => {}
            Kind::Refusing => {
                self.at(from, Fault::Refuse(0));
                self.at(to, Fault::Well(0));
            }
            Kind::Silent => {
                self.at(from, Fault::Silence { counter: 0, adds: rng.random() });
                self.at(to, Fault::Well(0));
            }
            Kind::Slow => {
                self.at(from, Fault::Slow(0, rng.random_range(60_000..200_000)));
                self.at(to, Fault::Well(0));
            }
            Kind::Replaced => {
                if rng.random() {
                    self.at(from.saturating_sub(rng.random_range(0..2 * SECOND)), Fault::Refuse(0));
                }
                self.at(from, Fault::Empty(0));
                self.at(from, Fault::Well(0));
            }
            Kind::ReplacedTwice => {
                self.at(from, Fault::Empty(0));
                self.at(from + rng.random_range(10_000..1_500_000), Fault::Empty(0));
            }
            Kind::Halves => {
                for gateway in some {
                    self.at(from, Fault::Use(gateway, 1));
                    self.at(to, Fault::Use(gateway, 0));
                }
            }
            Kind::Partition => {
                for gateway in some {
                    self.at(from, Fault::Cut(gateway, true));
                    self.at(to, Fault::Cut(gateway, false));
                }
            }
            Kind::ReplacedUnseen => {
                for gateway in some {
                    self.at(from.saturating_sub(500_000), Fault::Cut(gateway, true));
                    self.at(to, Fault::Cut(gateway, false));
                }
                self.at(from, Fault::Empty(0));
            }
            Kind::Flapping => {
                for second in 0..4 {
                    let t = from + second * SECOND;
                    self.at(t, Fault::Refuse(0));
                    if rng.random_range(0..3) == 0 {
                        self.at(t + 400_000, Fault::Empty(0));
                    }
                    self.at(t + 500_000, Fault::Well(0));
                }
            }
            Kind::Restarts => {
                self.at(from, Fault::Silence { counter: 0, adds: rng.random() });
                self.at(to, Fault::Well(0));
                for gateway in some {
                    self.at(rng.random_range(from..to), Fault::Restart(gateway));
                }
                if rng.random() {
                    self.at(from, Fault::Pause(0, 3 * SECOND));
                }
            }
            Kind::Moved => {
                for gateway in 0..self.gateways {
                    self.at(from + rng.random_range(0..1_500_000), Fault::Use(gateway, 1));
                }
            }
            Kind::Clocks => {
                for gateway in 0..self.gateways {
                    self.at(0, Fault::Clock(gateway, rng.random_range(-CLOCK_OFF / 2..=CLOCK_OFF / 2)));
                }
                let gateway = rng.random_range(0..self.gateways);
                self.at(from.saturating_sub(rng.random_range(0..SECOND)), Fault::Pause(gateway, 3 * SECOND));
                self.at(from, Fault::Empty(0));
            }
        }
    }
}
