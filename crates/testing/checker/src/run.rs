//! A run put together from its ledger: tries with their attempts and answers, lives of limiters and nodes.

use crate::assembly::RunAssembly;
use crate::ledger::*;
use std::collections::BTreeMap;

/// Records of one ledger at most: what a run of some hours brings; beyond it memory would be the judge's limit.
pub const MAX_RECORDS: usize = 50_000_000;

/// An attempt, as its node saw it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// When its last byte came.
    pub t: Micros,
    /// When its first byte came.
    pub begun: Micros,
    /// Try that it belongs to.
    pub id: u64,
    /// The node.
    pub node: u32,
    /// The limiter.
    pub limiter: u32,
    /// Its work.
    pub work_us: Micros,
    /// As the client sent it.
    pub sound: bool,
    /// It crossed rooms.
    pub cross: bool,
    /// When and how it ended; nothing while it is out.
    pub end: Option<(Micros, Fate)>,
}

/// One try of a client.
#[derive(Debug, Clone)]
pub struct Try {
    /// When it was sent.
    pub t: Micros,
    /// Its id.
    pub id: u64,
    /// The first try.
    pub first: u64,
    /// Its class.
    pub class: usize,
    /// Its plan.
    pub plan: usize,
    /// Its customer.
    pub customer: u64,
    /// Its units.
    pub units: f64,
    /// Where it went.
    pub limiter: u32,
    /// How long its client waits.
    pub patience_us: Micros,
    /// Its work.
    pub work_us: Micros,
    /// Answers: when, status, and whether the body is sound.
    pub answers: Vec<(Micros, u16, bool)>,
    /// When and why the client stopped waiting.
    pub left: Option<(Micros, Left)>,
    /// Its attempts, by time, as places in [`Run::attempts`].
    pub attempts: Vec<usize>,
}

impl Try {
    /// When it was served, if so.
    pub fn served(&self) -> Option<Micros> {
        self.answers.first().filter(|a| a.1 == 200 && a.2).map(|a| a.0)
    }
}

/// What one life of a limiter used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Used {
    /// Processor time.
    pub cpu_us: Micros,
    /// Of it in the system.
    pub system_us: Micros,
    /// Resident memory at most, in KiB.
    pub rss_kb: u64,
    /// Descriptors at most.
    pub fds: u64,
}

/// One life of a limiter's process.
#[derive(Debug, Clone)]
pub struct Life {
    /// Which limiter.
    pub limiter: u32,
    /// What happened to it, by time.
    pub changes: Vec<(Micros, Change)>,
    /// What it used, as far as was seen.
    pub used: Used,
}

/// One life of a node.
#[derive(Debug, Clone)]
pub struct NodeLife {
    /// Which node.
    pub node: u32,
    /// Its room.
    pub room: u32,
    /// When it started.
    pub start: Micros,
    /// When it ended.
    pub end: Micros,
    /// Work a second when warm, in seconds.
    pub capacity: f64,
    /// Share of that at the start.
    pub cold_from: f64,
    /// Warm after so long.
    pub cold_us: Micros,
    /// It fell over by its own measure.
    pub fell: bool,
}

impl NodeLife {
    /// Work that it can do between two times while it lives, in microseconds of work.
    pub fn work_between(&self, from: Micros, to: Micros) -> f64 {
        // The integral of a ramp from `cold_from` to 1 over `cold_us`, and 1 from there on.
        let (cold, age) = (self.cold_us as f64, |t: Micros| t.saturating_sub(self.start) as f64);
        let up_to = |age: f64| {
            let ramp = age.min(cold);
            let grown = if cold > 0.0 { (1.0 - self.cold_from) * ramp * ramp / (2.0 * cold) } else { 0.0 };
            self.cold_from * ramp + grown + (age - ramp)
        };
        self.capacity * (up_to(age(to)) - up_to(age(from))).max(0.0)
    }
}

/// What a limiter was told of a node: when, state, and the node's start.
pub type Tellings = BTreeMap<(u32, u32), Vec<(Micros, Health, i64)>>;

/// A whole run.
#[derive(Debug, Clone)]
pub struct Run {
    /// The first line.
    pub opening: Opening,
    /// Tries by time.
    pub tries: Vec<Try>,
    /// Attempts by the time of their last byte.
    pub attempts: Vec<Attempt>,
    /// Attempts under an id that no client sent.
    pub strange: Vec<usize>,
    /// Lives of limiters, by limiter and time.
    pub lives: Vec<Life>,
    /// Lives of nodes.
    pub nodes: Vec<NodeLife>,
    /// What limiters were told, by limiter and node.
    pub told: Tellings,
    /// Calls to the counter: when, and whether they were added.
    pub counts: Vec<(Micros, bool)>,
    /// Bytes of messages that were delivered.
    pub message_bytes: u64,
    /// Messages that were delivered.
    pub messages: u64,
    /// What limiters wrote down themselves, by time: when, which, what.
    pub said: Vec<(Micros, u32, limeway_event_log::What)>,
    /// The timeline: when, what, and whether it begins.
    pub troubles: Vec<(Micros, String, bool)>,
    /// The last line, if the ledger has one.
    pub closing: Option<Closing>,
    /// The latest time in the ledger.
    pub end: Micros,
}

impl Run {
    /// Reads a ledger.
    ///
    /// # Errors
    /// See [`crate::judge`].
    pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> Result<Self, LedgerError> {
        let mut lines = lines.enumerate().filter(|(_, l)| !l.trim().is_empty()).peekable();
        let fault = |line: usize, reason: String| LedgerError { line: line + 1, reason };
        let (at, first) = lines.next().ok_or_else(|| fault(0, "is empty".into()))?;
        let opening: Opening =
            serde_json::from_str(first).map_err(|e| fault(at, format!("no opening: {e}")))?;
        if opening.ledger != VERSION {
            return Err(fault(at, format!("version {} is not {VERSION}", opening.ledger)));
        }
        let mut records = Vec::new();
        while let Some((at, line)) = lines.next() {
            if records.len() >= MAX_RECORDS {
                return Err(fault(at, format!("more than {MAX_RECORDS} records")));
            }
            match serde_json::from_str::<Record>(line) {
                Ok(record) => {
                    check(&opening, &record).map_err(|reason| fault(at, reason))?;
                    records.push(record);
                }
                // A ledger that was cut off in the middle of its last line stands up to there.
                Err(e) if e.is_eof() && lines.peek().is_none() => break,
                Err(e) => return Err(fault(at, e.to_string())),
            }
        }
        Ok(Self::gather(opening, records))
    }

    /// Puts a run together from records in any order.
    pub fn gather(opening: Opening, records: Vec<Record>) -> Self {
        let mut assembly = RunAssembly::new(Run::without_records(opening));
        records.into_iter().for_each(|record| assembly.add(record));
        assembly.finish()
    }

    fn without_records(opening: Opening) -> Self {
        Run {
            opening,
            tries: Vec::new(),
            attempts: Vec::new(),
            strange: Vec::new(),
            lives: Vec::new(),
            nodes: Vec::new(),
            told: BTreeMap::new(),
            counts: Vec::new(),
            message_bytes: 0,
            messages: 0,
            said: Vec::new(),
            troubles: Vec::new(),
            closing: None,
            end: 0,
        }
    }

    /// What a process is told while it stands still it can know only from then on that it goes on.
    pub(crate) fn tell_later(&mut self) {
        let stalls: Vec<(u32, Micros, Micros)> = self.stalls().collect();
        for ((limiter, _), told) in &mut self.told {
            for (t, ..) in told.iter_mut() {
                let stall = stalls.iter().find(|s| s.0 == *limiter && (s.1..s.2).contains(t));
                *t = stall.map_or(*t, |s| s.2);
            }
            told.sort_by_key(|t| t.0);
        }
    }

    /// Times in which a limiter's process stood still: which, from, to.
    pub fn stalls(&self) -> impl Iterator<Item = (u32, Micros, Micros)> + '_ {
        self.lives.iter().flat_map(|life| {
            let stalled = life.changes.iter().filter(|c| c.1 == Change::Stalled);
            stalled.map(|(from, _)| {
                let over = |c: &&(Micros, Change)| {
                    c.0 >= *from && !matches!(c.1, Change::Stalled | Change::Terminated)
                };
                let to = life.changes.iter().find(over).map_or(Micros::MAX, |c| c.0);
                (life.limiter, *from, to)
            })
        })
    }

    pub(crate) fn gather_lives(
        &mut self,
        mut changes: Vec<(u32, Micros, Change)>,
        uses: Vec<(u32, Micros, Used)>,
    ) {
        changes.sort_by_key(|c| (c.0, c.1));
        for (limiter, t, change) in changes {
            let new = change == Change::Started || self.lives.last().is_none_or(|l| l.limiter != limiter);
            if new {
                self.lives.push(Life { limiter, changes: Vec::new(), used: Used::default() });
            }
            if let Some(life) = self.lives.last_mut() {
                life.changes.push((t, change));
            }
        }
        for (limiter, t, used) in uses {
            let life = self.lives.iter_mut().rfind(|l| l.limiter == limiter && l.changes[0].0 <= t);
            if let Some(life) = life {
                let was = life.used;
                life.used = Used {
                    cpu_us: was.cpu_us.max(used.cpu_us),
                    system_us: was.system_us.max(used.system_us),
                    rss_kb: was.rss_kb.max(used.rss_kb),
                    fds: was.fds.max(used.fds),
                };
            }
        }
    }

    /// The time up to which all that should have happened has had time to happen.
    pub fn judged_until(&self) -> Micros {
        self.closing.as_ref().map_or(self.end, |c| c.t)
    }
}

/// Whether the numbers of a record lie within what the opening names.
fn check(opening: &Opening, record: &Record) -> Result<(), String> {
    let limiter = |n: u32| if n < opening.limiters { Ok(()) } else { Err(format!("limiter {n} is none")) };
    match record {
        Record::Arrive { class, plan, limiter: to, .. } => {
            if *class >= opening.classes.len() || *plan >= opening.plans.len() {
                return Err(format!("class {class} or plan {plan} is none"));
            }
            limiter(*to)
        }
        Record::Attempt { limiter: from, .. } => limiter(*from),
        Record::Told { limiter: to, .. } => limiter(*to),
        _ => Ok(()),
    }
}

impl Record {
    /// Its time.
    pub fn t(&self) -> Micros {
        match self {
            Record::Arrive { t, .. }
            | Record::Answer { t, .. }
            | Record::Left { t, .. }
            | Record::Attempt { t, .. }
            | Record::AttemptEnd { t, .. }
            | Record::Count { t, .. }
            | Record::Message { t, .. }
            | Record::Told { t, .. }
            | Record::NodeStart { t, .. }
            | Record::NodeEnd { t, .. }
            | Record::Limiter { t, .. }
            | Record::Said { t, .. }
            | Record::Usage { t, .. }
            | Record::Trouble { t, .. }
            | Record::Closing(Closing { t, .. }) => *t,
        }
    }
}
