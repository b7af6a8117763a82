//! What a limiter may lease and what credit it may spend, given who else reaches the counter.
//!
//! Of a window's budget `B` with `D` doors, each door's even split is `B / D`. Two rules keep the sum of all that is sent
//! on within `B`, whatever becomes of the counter:
//!
//! - **Who leases leaves the others their share.** A door grants itself units only up to `B - u B / D`, where `u` is the
//!   number of the customer's other doors that it does not know to reach the same counter ([`Presence`], and words of
//!   those that have said that they do not).
//! - **Who spends credit does so only where its share is left to it.** Either the window began when no other limiter could
//!   hold it to be present any more: then `B / D` is its own. Or all other doors have answered in this very trouble that
//!   they leave it its share, and what they knew to be used: then it has an even split of what was left of the window.
//!
//! The derivation stands in `docs/design/counter-recovery.md`. Free of I/O and clock.

use crate::presence::{Mark, Presence};
use crate::word::{self, Entry, Word};
use crate::{Answer, Micros};
use std::collections::BTreeMap;

/// Limiters that talk in trouble at most: each tells each other. Larger fleets go by presence alone.
pub const MAX_TALK: u32 = 16;
/// When words are sent after trouble was found, counted from the one before, until all have answered: few may be lost,
/// and the last says so to those that were only just reached.
const ROUNDS: [Micros; 5] = [0, 30_000, 60_000, 120_000, 240_000];
/// Time from a start to the first mark: other limiters have said by then whether there was trouble. They are asked this
/// often, as few may be lost.
const ASKED: (Micros, usize) = (100_000, 2);
/// Words older than this say nothing: they may be from an earlier life.
const FRESH_MS: u32 = 250;
/// Words that want an answer get one so often at most.
const ANSWER_EVERY: Micros = 20_000;

/// The limiters that a customer's requests come in through.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Doors {
    /// The first of them, where known; the others follow it.
    pub first: Option<u32>,
    /// How many.
    pub number: u32,
}

/// What another limiter has said.
#[derive(Debug, Clone, Default)]
struct Heard {
    /// Its last word, and when it came.
    word: Word,
    at: Micros,
    /// It holds this limiter to spend credit, in the present trouble.
    notes: bool,
    /// It spends credit itself: since which slot, in which round, and whether anything was leased here since it said so.
    out: Option<(u64, u8, bool)>,
    answered_at: Micros,
}

/// What is used of a window, as one limiter knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Use {
    /// The customer's key and the window's number.
    pub key: u64,
    /// See `key`.
    pub window: u64,
    /// When the window began.
    pub begins: Micros,
    /// Its budget, in units.
    pub budget: f64,
    /// Units known to be used, all doors together.
    pub used: f64,
}

impl Use {
    /// As told to others.
    pub fn entry(&self) -> Entry {
        Entry { key: self.key as u32, window: self.window as u8, part: word::part(self.used, self.budget) }
    }
}

/// The standing of one limiter among the others.
#[derive(Debug, Clone)]
pub struct Standing {
    me: u32,
    all: u32,
    born: Micros,
    talks: bool,
    /// Length of the longest window.
    longest: Micros,
    /// Marks on the counter.
    pub presence: Presence,
    heard: BTreeMap<u32, Heard>,
    /// An earlier life may have spent its share of windows that had begun when this one started: nothing, until the counter
    /// has first been read, or met in trouble.
    heir: Option<bool>,
    /// The counter has answered in this life.
    met: bool,
    /// It had when the last trouble began: credit was spent that an earlier life of another limiter may have spent too.
    lived: bool,
    /// Spends credit; how often it has.
    trouble: bool,
    round: u8,
    /// Limiters whose share was being left to them as trouble began.
    held: u8,
    /// The same, as the counter was found to be another.
    moved: Option<u8>,
    /// When trouble last ended.
    ended: Option<Micros>,
    /// Words said in this trouble, and when the next are due.
    said: usize,
    say_at: Micros,
    /// Times that the others were asked at the start.
    asked: usize,
}

impl Standing {
    /// Limiter `me` of `all`, which starts now; `talks` where the site lets limiters send each other messages; no window
    /// is longer than `longest`.
    pub fn new(me: u32, all: u32, talks: bool, longest: Micros, now: Micros) -> Self {
        Standing {
            me,
            all,
            longest,
            born: now,
            talks: talks && all <= MAX_TALK,
            presence: Presence::new(me, all, now),
            heard: BTreeMap::new(),
            heir: None,
            met: false,
            lived: false,
            trouble: false,
            round: 0,
            held: 0,
            moved: None,
            ended: None,
            said: 0,
            say_at: now,
            asked: 0,
        }
    }

    /// When this limiter started: what an earlier life spent in windows that had begun is not known.
    pub fn born(&self) -> Micros {
        self.born
    }

    /// Whether credit is being spent.
    pub fn in_trouble(&self) -> bool {
        self.trouble
    }

    /// Enters or leaves trouble.
    pub fn trouble(&mut self, now: Micros, trouble: bool) {
        if trouble == self.trouble {
            return;
        }
        // Who was missing as trouble began may be spending its share; so may those that have said so and were left it.
        self.held = if trouble { self.moved.take().unwrap_or_else(|| self.away_most(now)) } else { 0 };
        self.trouble = trouble;
        self.lived = if trouble { self.met } else { self.lived };
        self.heard.values_mut().for_each(|h| h.notes = false);
        if trouble {
            // A counter that is away at the start may have been so before: an earlier life spent credit then. Unless all
            // others say that they have lived through no trouble: a fleet that starts before its counter does not hold
            // back what nobody has spent.
            if !self.met {
                let mut others = (0..self.all).filter(|g| *g != self.me);
                let young = others.all(|g| self.heard.get(&g).is_some_and(|h| !h.word.recent));
                self.heir = self.heir.or(Some(!young));
            }
            (self.round, self.said, self.say_at) = (self.round.wrapping_add(1), 0, now);
        } else {
            self.ended = Some(now);
        }
    }

    /// The counter is not the one whose marks were read: they tell nothing of who reaches it. To be told before
    /// [`Self::trouble`].
    pub fn moved(&mut self, now: Micros) {
        if !self.trouble {
            self.moved = Some(self.away_most(now));
        }
        self.presence.void();
    }

    /// The call to make to the counter now, if any; see [`Presence::turn`].
    pub fn turn(&mut self, now: Micros, clean: bool, away: bool) -> Option<Mark> {
        // What an earlier life spent is on no count: the others leave its share to it until those windows are over.
        let heir = self.heir.is_none_or(|heir| heir && now < self.born + self.longest)
            || self.talks && now < self.born + ASKED.0;
        let mark = self.presence.turn(now, clean && !self.trouble && !heir, away)?;
        if mark.amount > 0.0 {
            // From here on the others may hold this limiter to be present again.
            self.heard.values_mut().for_each(|h| h.notes = false);
        }
        Some(mark)
    }

    /// Takes in how that call ended; tells whether the counter has lost its numbers.
    pub fn answered(&mut self, answer: Answer) -> bool {
        let lost = self.presence.answered(answer);
        self.met |= matches!(answer, Answer::Total(_));
        if self.heir.is_none() && self.presence.seen_slot().is_some() {
            // With nobody there the fleet has just started, or all were in trouble: that the others say, where they can.
            self.heir = Some(false);
            if self.presence.missing() >= self.all {
                self.presence.assume_all();
            }
        }
        for (limiter, heard) in &mut self.heard {
            let shown = self.presence.shown(*limiter) == Some(true);
            let slot = self.presence.seen_slot();
            // Seen in a slot that began after it said that it spends credit.
            heard.out = heard.out.filter(|out| !(shown && slot > Some(out.0)));
        }
        lost
    }

    /// Units have been leased here: what those that spend credit were told of what is used is no longer all.
    pub fn leased(&mut self) {
        self.met = true;
        self.heard.values_mut().filter_map(|h| h.out.as_mut()).for_each(|out| out.2 = true);
    }

    fn others(&self, doors: Doors) -> Option<impl Iterator<Item = u32> + '_> {
        let first = doors.first?;
        Some((0..doors.number).map(move |n| (first + n) % self.all.max(1)).filter(|g| *g != self.me))
    }

    fn out(&self, limiter: u32) -> bool {
        self.heard.get(&limiter).is_some_and(|h| h.out.is_some())
    }

    /// How many of a customer's other doors may be spending their share: it is to be left to them.
    pub fn away(&self, now: Micros, doors: Doors) -> u32 {
        let most = doors.number.min(self.all).saturating_sub(1);
        if self.presence.read(now).is_none() {
            return most;
        }
        let away = |g: &u32| self.presence.present(*g) != Some(true) || self.out(*g);
        match self.others(doors) {
            Some(others) if self.presence.shown(self.me).is_some() => others.filter(away).count() as u32,
            _ => {
                let said = self.heard.values().filter(|h| h.out.is_some()).count() as u32;
                (self.presence.missing() + said).min(most)
            }
        }
    }

    /// Limiters whose share is being left to them and is no part of what was told to them as used.
    fn away_most(&self, now: Micros) -> u8 {
        if self.presence.read(now).is_none() {
            return u8::MAX;
        }
        let used = |g: &u32| {
            let out = self.heard.get(g).and_then(|h| h.out);
            // One that is told and missing counts by what it was told.
            out.map_or(self.presence.present(*g) != Some(true), |out| out.2)
        };
        (0..self.all).filter(|g| *g != self.me).filter(used).count().min(255) as u8
    }

    /// Units of a window that may be leased by all that reach the counter; `begins` is when the window began.
    pub fn limit(&self, now: Micros, doors: Doors, begins: Micros, budget: f64) -> f64 {
        let inherited = begins < self.born && self.heir == Some(true) && self.all > 1;
        let left = self.away(now, doors) + u32::from(inherited);
        (budget - f64::from(left) * budget / f64::from(doors.number.max(1))).max(0.0)
    }

    /// Units of a window that may be spent here as credit, in all; nothing where none may be.
    pub fn share(&self, doors: Doors, used: &Use) -> f64 {
        let split = used.budget / f64::from(doors.number.max(1));
        if used.begins >= self.presence.alone_from() {
            return split;
        }
        let noted = |g: u32| self.heard.get(&g).filter(|h| h.notes);
        let Some(mut others) = self.others(doors).filter(|_| self.trouble) else { return 0.0 };
        let (mut known, mut held) = (used.used, self.held);
        if !others.all(|g| noted(g).is_some()) {
            return 0.0;
        }
        for heard in self.heard.values().filter(|h| h.notes) {
            known = known.max(heard.part(used) * used.budget);
            held = held.max(heard.word.held);
        }
        let held = f64::from(held).min(f64::from(doors.number.max(1)) - 1.0);
        ((used.budget - known - held * split) / f64::from(doors.number.max(1))).max(0.0)
    }

    /// What others have said to be used of a window, where they named it.
    pub fn told(&self, used: &Use) -> f64 {
        let named = |h: &Heard| h.word.entries.iter().any(|e| e.key == used.key as u32);
        let told = self.heard.values().filter(|h| used.begins <= h.at && named(h)).map(|h| h.part(used));
        told.fold(0.0, f64::max) * used.budget
    }

    /// When [`Self::due`] has someone to tell at the earliest.
    pub fn says_at(&self) -> Micros {
        if self.talks {
            self.say_at
        } else {
            Micros::MAX
        }
    }

    /// Whom to tell now, if anyone; `word` then says what.
    pub fn due(&mut self, now: Micros) -> Vec<u32> {
        if !self.talks || now < self.say_at {
            return Vec::new();
        }
        if !self.trouble {
            // At the start: was there trouble, in which an earlier life may have spent credit?
            self.asked += 1;
            self.say_at = if self.asked < ASKED.1 { now + ASKED.0 / 2 } else { Micros::MAX };
            return (0..self.all).filter(|g| *g != self.me).collect();
        }
        let Some(gap) = ROUNDS.get(self.said + 1) else {
            self.say_at = Micros::MAX;
            return Vec::new();
        };
        (self.said, self.say_at) = (self.said + 1, now + gap);
        let missing = |g: &u32| *g != self.me && !self.heard.get(g).is_some_and(|h| h.notes);
        (0..self.all).filter(missing).collect()
    }

    /// What to tell another limiter, given all that is known to be used of windows that are open.
    pub fn word(&mut self, now: Micros, to: u32, uses: impl Iterator<Item = Use>) -> Vec<u8> {
        let held = if self.trouble { self.held } else { self.away_most(now) };
        let noted = self.heard.get(&to).and_then(|h| h.out).map(|out| out.1);
        let wants = if self.trouble {
            !self.heard.get(&to).is_some_and(|h| h.notes)
        } else {
            now < self.born + ASKED.0
        };
        let recent = self.lived
            && (self.trouble || self.ended.is_some_and(|ended| now < ended + self.longest))
            || noted.is_some()
            || self.heir == Some(true) && now < self.born + self.longest;
        let (out, round, sent) = (self.trouble, self.round, word::stamp(now));
        let mut word = Word { out, noted, wants, recent, round, held, sent, ..Word::default() };
        word.list(uses.map(|u| u.entry()).filter(|e| e.part > 0).collect());
        word.encode()
    }

    /// Takes in a word; tells whether it is to be answered at once. What is late, from itself, or none is passed over.
    pub fn hear(&mut self, now: Micros, from: u32, data: &[u8]) -> bool {
        let Some(word) = Word::decode(data).filter(|_| self.talks && from < self.all && from != self.me)
        else {
            return false;
        };
        let age = word::stamp(now).wrapping_sub(word.sent);
        // From a clock that is a little ahead, or so old.
        if age > FRESH_MS && age < u32::MAX - FRESH_MS {
            return false;
        }
        let (slot, ours) = (self.presence.slot_of(now), self.trouble.then_some(self.round));
        let heard = self.heard.entry(from).or_default();
        if word.out {
            let leased = heard.out.is_some_and(|out| out.1 == word.round && out.2);
            heard.out = Some((slot, word.round, leased));
        }
        if word.recent && now < self.born + ASKED.0 {
            self.heir = Some(true);
            self.presence.void();
        }
        heard.notes |= ours.is_some() && word.noted == ours;
        let answer = word.wants && now >= heard.answered_at + ANSWER_EVERY;
        if answer {
            heard.answered_at = now;
        }
        (heard.word, heard.at) = (word, now);
        answer
    }
}

impl Heard {
    /// Part of a window's budget that it has said to be used, at most.
    fn part(&self, used: &Use) -> f64 {
        // Of a window that began later it said nothing, and whatever it leases there leaves others their share.
        if used.begins > self.at {
            return 0.0;
        }
        let own = used.entry();
        let named = self.word.entries.iter().filter(|e| e.key == own.key && e.window == own.window);
        let part = named.map(|e| e.part).max().unwrap_or(self.word.floor);
        f64::from(part) / 255.0
    }
}
