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
//! Windows that begin later know nothing of the loss and are leased as ever. Free of I/O and clock; all times are
//! microseconds.
#![forbid(unsafe_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Time for which nothing new is leased after a loss. Guards against totals that lack what others have yet to enter
/// again: each makes tens of calls a second, most of them on names that it has added to, so that it finds out within
/// some 100 ms, and re-enters at the pace of its calls.
pub const SETTLE: Micros = 1_000_000;
/// Calls in a row without an answer after which the counter counts as gone, not as having lost one call.
pub const MISSES: u32 = 3;
/// Part of a call's time-out that an answer takes, on the mean, from which on the counter is slow.
pub const SLOW: f64 = 0.4;
/// Weight of a new answer's time in the mean.
const LEARN: f64 = 0.1;
/// Names remembered at most: beyond it those whose windows end first go. Some 100 bytes each.
pub const NAMES_MOST: usize = 100_000;
/// Totals are exact to seven digits: this part of one may be missing without meaning anything.
const ROUNDING: f64 = 1e-6;

/// How a call ended, as far as the history of the counter goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// Added; the total after it.
    Total(f64),
    /// Nothing was added: no connection, or turned away.
    Refused,
    /// It may have been added: no answer came.
    Silent,
}

/// What the counter is held to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum State {
    /// Answers, with all that it should know.
    #[default]
    Well,
    /// Answers late.
    Slow,
    /// Takes no calls.
    Refusing,
    /// Takes calls and does not answer.
    Silent,
    /// Answers, but has lost what it knew; debts are being entered again.
    Settling,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Well => "well",
            State::Slow => "slow",
            State::Refusing => "refusing",
            State::Silent => "silent",
            State::Settling => "settling",
        })
    }
}

/// What a total has told of a counter that lost its numbers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Loss {
    /// It knew nothing of the name: it came back empty, or is a fresh one.
    Empty,
    /// It knew less than it should: another, a half, or one to which others have already entered debts again.
    Less,
}

/// A change of what the counter is held to be, with its evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// What it was.
    pub from: State,
    /// What it is.
    pub to: State,
    /// For a loss: what kind, the total that was known, and the one that came, both before the call.
    pub loss: Option<(Loss, f64, f64)>,
    /// Times that the counter has lost its numbers since this limiter started.
    pub losses: u32,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counter {} -> {}", self.from, self.to)?;
        match self.loss {
            Some((Loss::Empty, known, _)) => write!(f, ": a count is empty that held {known:.1}"),
            Some((Loss::Less, known, came)) => write!(f, ": a count holds {came:.1} that held {known:.1}"),
            None => Ok(()),
        }
    }
}

/// What is known of one count.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Known {
    /// Whose count it is, as the caller names it.
    of: u64,
    /// When its window ends.
    ends: Micros,
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// Its name on the counter.
    pub name: u64,
    /// Whose it is, as the caller names it.
    pub of: u64,
    /// When its window begins.
    pub begins: Micros,
    /// When its window ends.
    pub ends: Micros,
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

/// The guards, each of which tests can take out to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    /// A total is never held to be less than what was known.
    pub memory: bool,
    /// What a counter lacks of own adds is entered again.
    pub debts: bool,
    /// Nothing new is leased while others find out.
    pub settling: bool,
    /// Limiters tell each other of a loss.
    pub news: bool,
    /// A limiter that has just started has earned no credit yet.
    pub start: bool,
}

impl Guards {
    /// All of them.
    pub const ALL: Guards = Guards { memory: true, debts: true, settling: true, news: true, start: true };
    /// None: as if every counter kept its numbers.
    pub const NONE: Guards =
        Guards { memory: false, debts: false, settling: false, news: false, start: false };
}

impl Default for Guards {
    fn default() -> Self {
        Self::ALL
    }
}

/// The history of the counter as one limiter knows it.
#[derive(Debug, Clone, Default)]
pub struct Recovery {
    guards: Guards,
    names: BTreeMap<u64, Known>,
    ends: BTreeSet<(Micros, u64)>,
    state: State,
    misses: u32,
    /// Mean part of the time-out that answers take.
    share: f64,
    losses: u32,
    /// When the last loss was seen; nothing before the first.
    lost_at: Option<Micros>,
    /// When the last window ends that was known at the last loss: later ones owe nothing.
    owing_until: Micros,
}

impl Recovery {
    /// What is known at a start: nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with some guards only.
    pub fn with(guards: Guards) -> Self {
        Recovery { guards, ..Self::default() }
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
            Answer::Refused | Answer::Silent => return self.missed(count.name, answer),
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
            ends: count.ends,
            added: own + fresh,
            debt: still,
            least,
            shown: total,
            losses: self.losses,
        };
        self.remember(count.name, known);
        Heard {
            before: least - amount,
            grants: !self.settling(now, count.begins),
            verdict: self.judge(now, loss),
        }
    }

    /// The counter has lost its numbers, as this limiter has found out.
    fn lose(&mut self, now: Micros) {
        self.losses += 1;
        self.lost_at = Some(now);
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

    fn missed(&mut self, name: u64, answer: Answer) -> Heard {
        self.misses = self.misses.saturating_add(1);
        let verdict = if self.misses < MISSES {
            None
        } else {
            let to = if answer == Answer::Refused { State::Refusing } else { State::Silent };
            self.change(to, None)
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
        self.change(to, loss)
    }

    /// Changes what the counter is held to be; told once for each change, and for each loss.
    fn change(&mut self, to: State, loss: Option<(Loss, f64, f64)>) -> Option<Verdict> {
        let from = std::mem::replace(&mut self.state, to);
        (from != to || loss.is_some()).then_some(Verdict { from, to, loss, losses: self.losses })
    }

    fn remember(&mut self, name: u64, known: Known) {
        if let Some(old) = self.names.insert(name, known) {
            self.ends.remove(&(old.ends, name));
        }
        self.ends.insert((known.ends, name));
        while self.names.len() > NAMES_MOST {
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
