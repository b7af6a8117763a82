//! Which server a request goes to, as one of many limiters that do not ask each other.
//!
//! - **Nearest first**: the own zone while it has room, then the region; another region only for what would else be lost.
//! - **Room** is judged by what this limiter has out at a server, by the time that the server's answers take, and by what
//!   its answers said of it. Servers that break off, fall silent or refuse connections are left alone for a while that
//!   grows; once it is over they are tried by one request.
//! - **Cold servers** ([`cold_share`]): a part for each of a few limiters, so that all together keep the bound.
//! - **Further tries** ([`Tries`]): a part of what this limiter itself has taken, and its part of the slack.
//! - **What follows from an attempt** ([`verdict`]): whether another server may be tried, and what the client is answered.
//!
//! Free of I/O and clock.
#![forbid(unsafe_code)]

use std::collections::HashMap;
use std::rc::Rc;

mod tries;
pub mod verdict;
pub use tries::Tries;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// How far away a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Near {
    /// In the own zone.
    Zone,
    /// In the own region.
    Region,
    /// In another region.
    Far,
}

/// A server that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its life.
    pub id: Rc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How far it is.
    pub near: Near,
    /// For a cold one: requests a second that this limiter may send it; none at 0.
    pub cold: Option<f64>,
    /// It has missed its reports.
    pub silent: bool,
    /// Requests that this limiter may have out there at once: its part of the connections that the server takes.
    pub most: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer, after so long.
    Answered(Micros),
    /// The server said that it is full.
    Full,
    /// It took no connection, broke off, or answered what cannot be read.
    Broke,
    /// It had not answered when it was given up, after so long.
    Silent(Micros),
    /// It is another server by now, or leaves.
    Moved,
    /// The client went away.
    Dropped,
}

/// What this limiter knows of a server.
#[derive(Debug, Clone, Default)]
struct Seat {
    out: u32,
    /// Running mean of its answers' time; 0 before the first.
    mean: f64,
    /// Failures in a row.
    failures: u32,
    /// Left alone until then.
    until: Micros,
    /// A single try is out, after a time of being left alone.
    probing: bool,
    /// It said that it is full; until then.
    full: Micros,
    /// What may be sent to it while it is cold.
    tokens: f64,
    earned: Micros,
    /// Since when nothing has come back while something is out.
    waiting: Micros,
    seen: Micros,
}

/// Part of a new answer's time in the running mean.
const FRESH: f64 = 0.2;
/// A server that broke is left alone for so long at first, doubling to the most.
const ALONE: (Micros, Micros) = (500_000, 8_000_000);
/// A full server is left alone for so long.
const FULL: Micros = 60_000;
/// What one more request in the own zone may cost before the region is taken, in requests a slot.
const REGION: f64 = 0.45;
/// What is out at a server, in requests a slot, at which it has no room left as seen from one limiter.
const CROWDED: f64 = 1.7;
/// With nothing back for so long, and for some multiples of its usual time, a server with something out is not used.
const STUCK: Micros = 700_000;
/// See [`STUCK`].
const STUCK_TIMES: f64 = 5.0;
/// The last class of servers that are well, full or not.
const WELL: u8 = 3;
/// A server that has not been used for so long is forgotten.
const FORGOTTEN: Micros = 60_000_000;

/// What one limiter knows of all servers.
#[derive(Debug, Clone, Default)]
pub struct Selector {
    seats: HashMap<Rc<str>, Seat>,
    turn: u64,
}

/// Requests a second that one limiter may send a cold server of which all together may get `most` in any second, where
/// `sharers` limiters may send to it. Each saves up one request at most, so that `sharers` + 1 of them (one more than
/// there should be, as they may see the fleet differently) send no more than `most` in a second.
pub fn cold_share(most: f64, sharers: usize) -> f64 {
    (most / (sharers as f64 + 1.0) - 1.0).max(0.0)
}

impl Selector {
    fn alone(seat: &Seat, now: Micros) -> bool {
        let stuck = f64::max(STUCK as f64, STUCK_TIMES * seat.mean) as Micros;
        let silent = seat.out > 0 && now.saturating_sub(seat.waiting) > stuck;
        now < seat.until || (seat.failures > 0 && seat.probing) || silent
    }

    /// Chooses among candidates; none of `tried`. Nothing where nobody has room or may be used.
    pub fn choose(&mut self, now: Micros, candidates: &[Candidate], tried: &[Rc<str>]) -> Option<Rc<str>> {
        self.best(now, candidates, tried).map(|(_, id)| id)
    }

    /// The same, for a request that has a server already: only one that is well is worth leaving that for.
    pub fn choose_instead(
        &mut self,
        now: Micros,
        candidates: &[Candidate],
        tried: &[Rc<str>],
    ) -> Option<Rc<str>> {
        self.best(now, candidates, tried).filter(|(class, _)| *class <= WELL).map(|(_, id)| id)
    }

    fn best(&mut self, now: Micros, candidates: &[Candidate], tried: &[Rc<str>]) -> Option<(u8, Rc<str>)> {
        self.turn = self.turn.wrapping_add(1);
        let offset = (self.turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize;
        // Of all that answer, the usual time: who is slower is held to be fuller.
        let (mut sum, mut count) = (0.0, 0.0f64);
        for c in candidates {
            if let Some(seat) = self.seats.get(&c.id).filter(|s| s.mean > 0.0) {
                (sum, count) = (sum + seat.mean, count + 1.0);
            }
        }
        let usual = if count > 0.0 { sum / count } else { 0.0 };
        let mut best: Option<(u8, f64, usize)> = None;
        for step in 0..candidates.len() {
            let at = (step + offset) % candidates.len();
            let c = &candidates[at];
            if tried.contains(&c.id) {
                continue;
            }
            let seat = self.seats.entry(c.id.clone()).or_default();
            seat.seen = now;
            if let Some(rate) = c.cold {
                if seat.earned == 0 {
                    seat.earned = now;
                }
                seat.tokens = (seat.tokens + rate * now.saturating_sub(seat.earned) as f64 / 1e6).min(1.0);
                seat.earned = now;
                if seat.tokens < 1.0 {
                    continue;
                }
            }
            if seat.out >= c.most {
                continue;
            }
            let crowd = f64::from(seat.out) / f64::from(c.slots.max(1));
            let bad = Self::alone(seat, now) || c.silent;
            let full = now < seat.full || crowd >= CROWDED;
            // Good and near, then good and far, then those that are full, then those that may be down.
            let class = match (bad, full, c.near) {
                (false, false, Near::Zone | Near::Region) => 0,
                (false, false, Near::Far) => 1,
                (false, true, Near::Zone | Near::Region) => 2,
                (false, true, Near::Far) => 3,
                (true, _, _) => 4,
            };
            let slow = if usual > 0.0 && seat.mean > 0.0 { (seat.mean / usual).clamp(0.5, 4.0) } else { 1.0 };
            let cost = (f64::from(seat.out) + 0.5) / f64::from(c.slots.max(1)) * slow
                + if c.near == Near::Zone { 0.0 } else { REGION };
            if best.is_none_or(|(k, b, _)| (class, cost) < (k, b)) {
                best = Some((class, cost, at));
            }
        }
        best.map(|(class, _, at)| (class, candidates[at].id.clone()))
    }

    /// A request goes to a server.
    pub fn sent(&mut self, now: Micros, id: &Rc<str>, cold: bool) {
        let seat = self.seats.entry(id.clone()).or_default();
        if seat.out == 0 {
            seat.waiting = now;
        }
        seat.out += 1;
        seat.seen = now;
        seat.probing = seat.failures > 0;
        if cold {
            seat.tokens -= 1.0;
        }
    }

    /// An attempt has ended.
    pub fn ended(&mut self, now: Micros, id: &Rc<str>, outcome: Outcome) {
        let Some(seat) = self.seats.get_mut(id) else { return };
        seat.out = seat.out.saturating_sub(1);
        seat.probing = false;
        match outcome {
            Outcome::Answered(took) => {
                seat.mean =
                    if seat.mean > 0.0 { seat.mean + FRESH * (took as f64 - seat.mean) } else { took as f64 };
                (seat.failures, seat.until, seat.waiting) = (0, 0, now);
            }
            Outcome::Full => (seat.full, seat.waiting) = (now + FULL, now),
            Outcome::Broke | Outcome::Moved => {
                seat.waiting = now;
                seat.failures = (seat.failures + 1).min(16);
                // One answer of many that breaks off says little; the next one in a row does.
                if seat.failures > 1 || seat.mean == 0.0 || outcome == Outcome::Moved {
                    let alone = ALONE.0 << (seat.failures - 1).min(4);
                    seat.until = now + alone.min(ALONE.1);
                }
            }
            Outcome::Silent(took) => {
                if took >= STUCK {
                    seat.failures = (seat.failures + 1).min(16);
                    seat.until = now + (ALONE.0 << (seat.failures - 1).min(4)).min(ALONE.1);
                }
            }
            Outcome::Dropped => {}
        }
    }

    /// The usual time of a server's answers, if it is known.
    pub fn usual(&self, id: &Rc<str>) -> Option<Micros> {
        self.seats.get(id).filter(|s| s.mean > 0.0).map(|s| s.mean as Micros)
    }

    /// Forgets servers not seen for long.
    pub fn sweep(&mut self, now: Micros) {
        self.seats.retain(|_, s| s.out > 0 || now.saturating_sub(s.seen) < FORGOTTEN);
    }
}
