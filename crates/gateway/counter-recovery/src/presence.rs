//! Who has shown itself on the counter of late: an epoch mark that all limiters share.
//!
//! Time is cut into slots. In the first three quarters of each, a limiter that owes the counter nothing adds its mark to the slot's
//! count; in the next slot it reads that count, which by then holds the marks of all that reach the same counter. Who is
//! missing may be spending credit that the counter does not know of. A limiter that does not find a mark of its own which
//! was answered for knows that the counter is not the one that answered: a loss that no customer's total need show.
//!
//! Clocks may differ by a quarter of a slot; the names of windows assume the same.

use crate::{Answer, Micros};

/// Length of a slot, at least.
pub const SLOT: Micros = 500_000;
/// The same for each limiter: at two calls a slot, all together make 80 calls a second at most.
const SLOT_EACH: Micros = 25_000;
/// A mark in slot `s` counts until slot `s + HOLDS` begins: neither one lost mark nor one lost reading changes anything.
const HOLDS: u64 = 4;
/// A reading of slot `s` holds until slot `s + READS` begins; the one before it counts with it.
const READS: u64 = HOLDS - 1;
/// Limiters told apart by a bit each; a total is exact to seven digits. Beyond it, marks are only counted.
const BITS: u32 = 20;
/// Time between two readings of a slot after one without an answer, and how many there are at most.
const AGAIN: (Micros, u32) = (100_000, 4);

/// Doublings of the time between two probes of a counter that is away, at most.
const PROBES: u32 = 2;

/// One call to the counter: the slot whose count it goes to, and what it adds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mark {
    /// The slot.
    pub slot: u64,
    /// What is added: 0 to read.
    pub amount: f64,
    /// Only to find out whether the counter answers, on a count of this limiter's own: that of the marks is the same for
    /// all, and a part of a counter which is only slow would be crowded by them.
    pub probe: bool,
    /// For how long the count is needed.
    pub ttl: Micros,
}

/// What was read of a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Marks {
    /// A bit for each limiter.
    Bits(u64),
    /// How many.
    Number(u32),
}

impl Marks {
    /// Whether a limiter's is among them; nothing where they are only counted.
    fn has(self, limiter: u32) -> Option<bool> {
        match self {
            Marks::Bits(bits) => Some(bits & (1u64 << limiter.min(63)) != 0),
            Marks::Number(_) => None,
        }
    }
}

/// The marks of one limiter and what it has read of the others'.
#[derive(Debug, Clone)]
pub struct Presence {
    me: u32,
    all: u32,
    born: Micros,
    slot: Micros,
    /// The call that is out.
    out: Option<Mark>,
    /// The last slot that may hold this limiter's mark; the one before it; the last that surely does.
    marked: Option<u64>,
    before: Option<u64>,
    sure: Option<u64>,
    /// The last slot that was read whole, and the marks of that before it.
    seen: Option<(u64, Marks)>,
    last: Option<(u64, Marks)>,
    /// Readings tried in a slot, and when the next may be.
    tried: (u64, u32),
    again: Micros,
    /// Probes since the counter was last not away.
    probes: u32,
}

impl Presence {
    /// Limiter `me` of `all`, which starts now.
    pub fn new(me: u32, all: u32, now: Micros) -> Self {
        Presence {
            me,
            all,
            born: now,
            slot: SLOT.max(SLOT_EACH * Micros::from(all)),
            out: None,
            marked: None,
            before: None,
            sure: None,
            seen: None,
            last: None,
            tried: (0, 0),
            again: 0,
            probes: 0,
        }
    }

    /// When the next slot begins.
    pub fn next(&self, now: Micros) -> Micros {
        (now / self.slot + 1) * self.slot
    }

    /// The number of a time's slot.
    pub fn slot_of(&self, now: Micros) -> u64 {
        now / self.slot
    }

    fn weight(&self) -> f64 {
        if self.all <= BITS {
            f64::from(1u32 << self.me.min(BITS - 1))
        } else {
            1.0
        }
    }

    /// The call to make now, if any. `clean`: this limiter spends no credit, and the counter knows all that it has spent.
    /// `away`: the counter is; all there is to find out is when it is back.
    pub fn turn(&mut self, now: Micros, clean: bool, away: bool) -> Option<Mark> {
        if self.all <= 1 || self.out.is_some() {
            return None;
        }
        let slot = self.slot_of(now);
        let ttl = self.slot * (HOLDS + 1);
        let read = self.seen.is_some_and(|s| s.0 + 1 >= slot);
        if self.tried.0 != slot {
            self.tried = (slot, 0);
            self.again = if away { self.again } else { now };
        }
        self.probes = if away { self.probes } else { 0 };
        // One limiter after the other: all calls of a slot go to one part of the counter, and a part that is slow takes no
        // more than a few at once.
        let into = now % self.slot;
        let turn = self.slot / 2 * Micros::from(self.me) / Micros::from(self.all);
        if !away && self.seen.is_some() && into < turn {
            return None;
        }
        if away {
            if now >= self.again {
                self.again = now + (AGAIN.0 << self.probes.min(PROBES));
                self.probes += 1;
                self.out = Some(Mark { slot, amount: 0.0, ttl, probe: true });
            }
        } else if slot > 0 && !read && now >= self.again && self.tried.1 < AGAIN.1 {
            // Before the mark: one that finds its last mark gone has debts to enter first.
            self.tried.1 += 1;
            self.again = now + AGAIN.0;
            self.out = Some(Mark { slot: slot - 1, amount: 0.0, ttl, probe: false });
        } else if clean && self.marked != Some(slot) && into < self.slot / 4 * 3 {
            (self.before, self.marked) = (self.marked, Some(slot));
            self.out = Some(Mark { slot, amount: self.weight(), ttl, probe: false });
        }
        self.out
    }

    /// Takes in how the call that was out ended. Tells whether a mark that was answered for is gone.
    pub fn answered(&mut self, answer: Answer) -> bool {
        let Some(mark) = self.out.take().filter(|mark| !mark.probe) else { return false };
        match answer {
            Answer::Total(_) if mark.amount > 0.0 => self.sure = Some(mark.slot),
            Answer::Total(total) => {
                let marks = if self.all <= BITS {
                    Marks::Bits(total as u64)
                } else {
                    Marks::Number(total.clamp(0.0, f64::from(u32::MAX)) as u32)
                };
                self.last = self.seen.filter(|seen| seen.0 + 1 == mark.slot);
                self.seen = Some((mark.slot, marks));
                let missing = match marks {
                    Marks::Bits(bits) => bits & (1 << self.me) == 0,
                    Marks::Number(number) => number == 0,
                };
                // Told once: what is read again shows nothing new.
                return missing && self.sure.take_if(|sure| *sure == mark.slot).is_some();
            }
            // Proven not added: nobody has seen it.
            Answer::Refused if mark.amount > 0.0 && self.marked == Some(mark.slot) => {
                self.marked = self.before;
            }
            Answer::Refused | Answer::Silent => {}
        }
        false
    }

    /// Forgets what was read: it tells nothing of what others do from now on. Own marks of before are held to be gone: that
    /// they are is no further loss.
    pub fn void(&mut self) {
        (self.seen, self.last, self.sure, self.tried.1) = (None, None, None, 0);
    }

    /// Holds all to be present until the next readings: at the start of a fleet there is nobody to have shown itself yet.
    pub fn assume_all(&mut self) {
        if let Some((_, marks)) = &mut self.seen {
            *marks = match marks {
                Marks::Bits(_) => Marks::Bits(u64::MAX),
                Marks::Number(_) => Marks::Number(self.all),
            };
        }
    }

    /// The last slot that was read, while that holds.
    pub fn read(&self, now: Micros) -> Option<u64> {
        self.seen.map(|s| s.0).filter(|s| self.slot_of(now) < s + READS)
    }

    /// The last slot that was read.
    pub fn seen_slot(&self) -> Option<u64> {
        self.seen.map(|s| s.0)
    }

    /// Whether a limiter has shown itself in the last slot read; nothing where that is not known of single ones.
    pub fn shown(&self, limiter: u32) -> Option<bool> {
        self.seen?.1.has(limiter)
    }

    /// The same for the last two slots read.
    pub fn present(&self, limiter: u32) -> Option<bool> {
        let before = self.last.and_then(|last| last.1.has(limiter)).unwrap_or(false);
        self.shown(limiter).map(|shown| shown || before)
    }

    /// How many have not shown themselves in the last two slots read.
    pub fn missing(&self) -> u32 {
        let shown = match (self.seen, self.last) {
            (Some((_, Marks::Bits(a))), Some((_, Marks::Bits(b)))) => self.known(a | b),
            (Some((_, Marks::Bits(a))), _) => self.known(a),
            (Some((_, Marks::Number(a))), Some((_, Marks::Number(b)))) => a.max(b),
            (Some((_, Marks::Number(a))), _) => a,
            (None, _) => 0,
        };
        self.all - shown.min(self.all)
    }

    fn known(&self, bits: u64) -> u32 {
        (bits & !(u64::MAX << self.all)).count_ones()
    }

    /// From when on no other limiter can hold this one to be present: all that lease leave it its share by then.
    pub fn alone_from(&self) -> Micros {
        self.marked.map_or(self.born, |slot| (slot + HOLDS) * self.slot).max(self.born)
    }
}
