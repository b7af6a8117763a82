//! What a limiter knows of the counter's history, and what that tells when the counter is lost, split or replaced.
//!
//! A limiter adds amounts to named counts and gets totals back. A counter that keeps its numbers never shows a total
//! below one that it has shown, plus what was added since. One that does has lost them: it came back empty, it is
//! another, or it is a half of which this limiter saw the other. From that moment on, for the windows that had begun
//! before it:
//!
//! - the total is held to be no less than what was known: no unit is granted twice to those that saw it granted;
//! - this limiter's own adds, which the counter now lacks, are debts to be entered again before new leases;
//! - nothing new is leased for [`SETTLE`], in which the other limiters find out too and enter theirs.
//!
//! Windows that begin later know nothing of the loss and are leased as ever. Who else reaches the same counter, and what
//! may be leased and spent given that, is in [`presence`], [`standing`] and [`word`].
//!
//! Free of I/O and clock; all times are
//! microseconds.
#![forbid(unsafe_code)]

mod counter_state;
mod guards;
pub mod presence;
pub mod standing;
pub mod word;

pub use counter_state::{Answer, Loss, State, Verdict};
pub use guards::Guards;

use presence::Mark;
use standing::{Doors, Standing, Use};
use std::collections::{BTreeMap, BTreeSet};

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Time for which nothing new is leased after a loss. Guards against totals that lack what others have yet to enter
/// again: each makes tens of calls a second, most of them on names that it has added to, so that it finds out within
/// some 100 ms, and re-enters at the pace of its calls.
pub const SETTLE: Micros = 1_000_000;
/// Calls in a row without an answer after which the counter counts as gone, not as having lost one call.
pub const MISSES: u32 = 3;
/// Time between two calls without an answer that both count; a refusal always does, as it is proof. Guards against many
/// calls that were lost at one moment, by a counter that is only crowded, being taken for one that is gone.
pub const MISS_APART: Micros = 80_000;
/// Part of a call's time-out that an answer takes, on the mean, from which on the counter is slow.
pub const SLOW: f64 = 0.4;
/// Weight of a new answer's time in the mean.
const LEARN: f64 = 0.1;
/// Names remembered at most: beyond it those whose windows end first go. Some 100 bytes each.
pub const MAX_NAMES: usize = 100_000;
/// Totals are exact to seven digits: this part of one may be missing without meaning anything.
const ROUNDING: f64 = 1e-6;

/// What is known of one count.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Known {
    /// Whose count it is, as the caller names it.
    of: u64,
    /// Its window: number, begin, end and budget.
    window: u64,
    begins: Micros,
    ends: Micros,
    budget: f64,
    /// What this limiter has added, as far as it knows.
    added: f64,
    /// Of that, what the present counter lacks.
    debt: f64,
    /// The least that a counter with all its numbers holds.
    least: f64,
    /// The last total that the present counter has shown.
    shown: f64,
    /// Losses that had been seen when it last answered.
    losses: u32,
}

/// The count that a call went to: its name, whose it is, and its window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Count {
    /// Its name on the counter.
    pub name: u64,
    /// Whose it is, as the caller names it.
    pub of: u64,
    /// The window's number.
    pub window: u64,
    /// When its window begins.
    pub begins: Micros,
    /// When its window ends.
    pub ends: Micros,
    /// Units of the window.
    pub budget: f64,
}

/// What an answer is to be taken for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Heard {
    /// The total before the call, as it would be had nothing been lost; never below what was known.
    pub before: f64,
    /// New units may be granted by it.
    pub grants: bool,
    /// What the counter is held to be has changed.
    pub verdict: Option<Verdict>,
}

/// The history of the counter as one limiter knows it.
#[derive(Debug, Clone)]
pub struct Recovery {
    guards: Guards,
    /// Who else reaches the counter, and what that allows.
    standing: Standing,
    names: BTreeMap<u64, Known>,
    ends: BTreeSet<(Micros, u64)>,
    state: State,
    misses: u32,
    /// When the last of them was counted.
    missed_at: Micros,
    /// Mean part of the time-out that answers take.
    share: f64,
    losses: u32,
    /// When the last loss was seen; nothing before the first.
    lost_at: Option<Micros>,
    /// When the last window ends that was known at the last loss: later ones owe nothing.
    owing_until: Micros,
    /// When the counter was last away or settling.
    troubled_at: Micros,
}

impl Recovery {
    /// What limiter `me` of `all` knows at its start: nothing. `talks` where limiters may send each other messages.
    /// No window is longer than `longest`.
    pub fn new(me: u32, all: u32, talks: bool, longest: Micros, now: Micros) -> Self {
        Recovery {
            guards: Guards::default(),
            standing: Standing::new(me, all, talks, longest, now),
            names: BTreeMap::new(),
            ends: BTreeSet::new(),
            state: State::Well,
            misses: 0,
            missed_at: 0,
            share: 0.0,
            losses: 0,
            lost_at: None,
            owing_until: 0,
            // What was before its start it does not know.
            troubled_at: now,
        }
    }

    /// The same with some guards only.
    pub fn with(self, guards: Guards) -> Self {
        Recovery { guards, ..self }
    }

    /// The guards that are on.
    pub fn guards(&self) -> Guards {
        self.guards
    }

    /// What the counter is held to be.
    pub fn state(&self) -> State {
        self.state
    }

    /// Times that the counter has lost its numbers.
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// Names that are remembered.
    pub fn names(&self) -> usize {
        self.names.len()
    }

    /// Whether new leases must wait for a window that began at a time, since the counter lacks what was added to it.
    pub fn settling(&self, now: Micros, begins: Micros) -> bool {
        self.guards.settling && self.lost_at.is_some_and(|at| begins <= at && now < at + SETTLE)
    }

    /// What the present counter lacks of this limiter's adds to a name: to be added again with the next call.
    pub fn debt(&self, name: u64) -> f64 {
        self.names.get(&name).map_or(0.0, |k| self.lacks(k))
    }

    fn lacks(&self, known: &Known) -> f64 {
        if !self.guards.debts {
            0.0
        } else if known.losses == self.losses {
            known.debt
        } else {
            known.added
        }
    }

    /// Whose counts lack something that this limiter has added, `most` of them.
    pub fn owing(&self, now: Micros, most: usize) -> Vec<u64> {
        // Debts outlive the time of settling where calls are few, but not the windows of then. Guards against a look at
        // all names with each sweep for good after one loss.
        if now >= self.owing_until {
            return Vec::new();
        }
        let owes = |k: &&Known| k.ends > now && self.lacks(k) > 0.0;
        self.names.values().filter(owes).take(most).map(|k| k.of).collect()
    }

    /// The least that a count holds, had nothing been lost; 0 where nothing is known.
    pub fn least(&self, name: u64) -> f64 {
        self.names.get(&name).map_or(0.0, |k| k.least)
    }

    /// Takes in how a call ended that added `amount` to a count, `debt` of it a second time. `share` is the part of the
    /// time-out that it took.
    pub fn answered(
        &mut self,
        now: Micros,
        count: Count,
        (amount, debt): (f64, f64),
        answer: Answer,
        share: f64,
    ) -> Heard {
        self.forget(now);
        let total = match answer {
            Answer::Total(total) => total,
            Answer::Refused | Answer::Silent => return self.missed(now, count.name, answer),
        };
        self.misses = 0;
        self.share += LEARN * (share.clamp(0.0, 1.0) - self.share);
        let (before, fresh) = (total - amount, amount - debt);
        let known = self.names.get(&count.name).copied();
        // What was shown by the counter of before a loss says nothing of the present one.
        let shown = known.filter(|k| k.losses == self.losses).map_or(0.0, |k| k.shown);
        let mut loss = None;
        if shown - before > ROUNDING * shown.abs().max(1.0) {
            loss = Some((if before.abs() <= ROUNDING { Loss::Empty } else { Loss::Less }, shown, before));
            self.lose(now);
        }
        let (own, least) = known.map_or((0.0, 0.0), |k| (k.added, k.least));
        let least = if self.guards.memory { least } else { 0.0 };
        let still = match known {
            // Of all that was added, this counter holds what has just been.
            Some(k) if k.losses < self.losses => (k.added - debt).max(0.0),
            Some(k) => (k.debt - debt).max(0.0),
            None => 0.0,
        };
        let least = total.max(least + fresh);
        let known = Known {
            of: count.of,
            window: count.window,
            begins: count.begins,
            ends: count.ends,
            budget: count.budget,
            added: own + fresh,
            debt: still,
            least,
            shown: total,
            losses: self.losses,
        };
        self.remember(count.name, known);
        let grants = !self.settling(now, count.begins);
        if grants && fresh > 0.0 {
            self.standing.leased();
        }
        Heard { before: least - amount, grants, verdict: self.judge(now, loss) }
    }

    /// The call to make now to show this limiter to the others, or to see them; `owes`: some credit was spent that the
    /// counter does not know of.
    pub fn turn(&mut self, now: Micros, owes: bool) -> Option<Mark> {
        if !self.guards.leave {
            return None;
        }
        let well = self.state.ordinary();
        let clean = well && !owes && self.owing(now, 1).is_empty();
        self.standing.turn(now, clean, self.away())
    }

    /// When [`Self::turn`] or [`Self::words`] has something new at the latest. Guards against a limiter that has nothing to
    /// do at its start asking the others only once the time for their answers is over.
    pub fn next(&self, now: Micros) -> Micros {
        let slot = self.standing.presence.next(now);
        if self.guards.share {
            slot.min(self.standing.says_at())
        } else {
            slot
        }
    }

    /// Takes in how that call ended.
    pub fn turned(&mut self, now: Micros, answer: Answer) -> Option<Verdict> {
        let lost = self.standing.answered(answer);
        if let Answer::Total(total) = answer {
            self.misses = 0;
            if lost {
                self.lose(now);
            }
            return self.judge(now, lost.then_some((Loss::Mark, 1.0, total)));
        }
        self.missed(now, 0, answer).verdict
    }

    /// Units of a window that may be leased by all that reach the counter; `begins` is when the window began.
    pub fn limit(&self, now: Micros, doors: Doors, begins: Micros, budget: f64) -> f64 {
        if self.guards.leave {
            let begins = if self.guards.start { begins } else { Micros::MAX };
            self.standing.limit(now, doors, begins, budget)
        } else {
            budget
        }
    }

    /// The same with what is beyond the budget, up to all that the quota holds, `reach` units: nothing is left then to pay for
    /// credit that is told late, or for what another counter has counted. So it is leased only in windows that began after
    /// the last trouble, and where nobody is known to reach another counter; else `limit` of them.
    pub fn reach(&self, begins: Micros, budget: f64, limit: f64, reach: f64) -> f64 {
        let well = self.state.ordinary() && begins >= self.troubled_at;
        if well && limit >= budget {
            reach
        } else {
            limit
        }
    }

    /// Whether it is known who else reaches the counter.
    pub fn sees(&self, now: Micros) -> bool {
        self.standing.presence.read(now).is_some()
    }

    /// Whether the counter is away. Readings of marks then find out that it is back: an amount would be added by one that
    /// only does not answer, and be nobody's.
    pub fn away(&self) -> bool {
        matches!(self.state, State::Refusing | State::Silent)
    }

    /// Whether the counter is away, or has lost its numbers: credit is spent, as far as [`Self::credit`] allows.
    pub fn in_trouble(&self) -> bool {
        self.standing.in_trouble()
    }

    /// Units of a window that may be spent here as credit, in all, while in trouble.
    pub fn credit(&self, doors: Doors, name: u64, used: Use) -> f64 {
        if !self.guards.share {
            return f64::MAX;
        }
        let born = if self.guards.start { self.standing.born() } else { 0 };
        if used.begins < born {
            return 0.0;
        }
        self.standing.share(doors, &Use { used: self.least(name).max(used.used), ..used })
    }

    /// Units of a window that are known to be used by a call to a counter which had lost its numbers before.
    pub fn told(&self, used: &Use) -> f64 {
        if self.lost_at.is_some_and(|at| used.begins <= at) {
            self.standing.told(used)
        } else {
            0.0
        }
    }

    /// What to tell other limiters now: whom, and the bytes.
    pub fn words(&mut self, now: Micros) -> Vec<(u32, Vec<u8>)> {
        if !self.guards.share {
            return Vec::new();
        }
        let due = self.standing.due(now);
        due.into_iter().map(|to| (to, self.word(now, to))).collect()
    }

    fn word(&mut self, now: Micros, to: u32) -> Vec<u8> {
        let open = self.names.values().filter(|k| k.begins <= now && now < k.ends && k.least > 0.0);
        let uses = open.map(|k| Use {
            key: k.of,
            window: k.window,
            begins: k.begins,
            budget: k.budget,
            used: k.least,
        });
        self.standing.word(now, to, uses)
    }

    /// Takes in a word of another limiter; gives the answer that it wants.
    pub fn hear_word(&mut self, now: Micros, from: u32, data: &[u8]) -> Option<Vec<u8>> {
        let wants = self.guards.share && self.standing.hear(now, from, data);
        wants.then(|| self.word(now, from))
    }

    /// The counter has lost its numbers, as this limiter has found out.
    fn lose(&mut self, now: Micros) {
        self.losses += 1;
        self.lost_at = Some(now);
        self.standing.moved(now);
        self.owing_until = self.ends.last().map_or(0, |e| e.0);
    }

    /// Another limiter has found out, some time ago. News of a loss that is known already changes nothing.
    pub fn hear(&mut self, now: Micros, ago: Micros) -> Option<Verdict> {
        let at = now.saturating_sub(ago);
        if !self.guards.news || ago > SETTLE || self.lost_at.is_some_and(|lost| at <= lost + SETTLE) {
            return None;
        }
        self.lose(now);
        self.judge(now, None)
    }

    fn missed(&mut self, now: Micros, name: u64, answer: Answer) -> Heard {
        if self.misses == 0 || answer == Answer::Refused || now >= self.missed_at + MISS_APART {
            (self.misses, self.missed_at) = (self.misses.saturating_add(1), now);
        }
        let verdict = if self.misses < MISSES {
            None
        } else {
            let to = if answer == Answer::Refused { State::Refusing } else { State::Silent };
            self.change(now, to, None)
        };
        Heard { before: self.least(name), grants: false, verdict }
    }

    fn judge(&mut self, now: Micros, loss: Option<(Loss, f64, f64)>) -> Option<Verdict> {
        let settling = self.lost_at.is_some_and(|at| now < at + SETTLE);
        let to = match (settling, self.share > SLOW) {
            (true, _) => State::Settling,
            (false, true) => State::Slow,
            (false, false) => State::Well,
        };
        self.change(now, to, loss)
    }

    /// Changes what the counter is held to be; told once for each change, and for each loss.
    fn change(&mut self, now: Micros, to: State, loss: Option<(Loss, f64, f64)>) -> Option<Verdict> {
        self.standing.trouble(now, !to.ordinary());
        let from = std::mem::replace(&mut self.state, to);
        if !(from.ordinary() && to.ordinary()) {
            self.troubled_at = now;
        }
        (from != to || loss.is_some()).then_some(Verdict { from, to, loss, losses: self.losses })
    }

    fn remember(&mut self, name: u64, known: Known) {
        if let Some(old) = self.names.insert(name, known) {
            self.ends.remove(&(old.ends, name));
        }
        self.ends.insert((known.ends, name));
        while self.names.len() > MAX_NAMES {
            let Some((_, first)) = self.ends.pop_first() else { return };
            self.names.remove(&first);
        }
    }

    /// Forgets names whose windows are over: nothing more is added to them.
    pub fn forget(&mut self, now: Micros) {
        while let Some(&(ends, name)) = self.ends.first().filter(|e| e.0 <= now) {
            self.ends.remove(&(ends, name));
            self.names.remove(&name);
        }
    }
}
