//! Schedules of faults between several limiters, drawn from a seed: each is a timeline that a scenario can hold, so that
//! it can be written down, changed by hand and played again.

use crate::error::ScenarioError;
use crate::file::Entry;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What schedules draw from: the hard cases, each by the name that `only` of [`draw`] takes.
pub const CASES: [&str; 14] = [
    "stall",
    "kill",
    "kill-thrice",
    "restart",
    "restart-stalled",
    "reload",
    "one-way",
    "ring",
    "flap",
    "halves",
    "counter-of-one",
    "counter-link",
    "late-news",
    "counter-away",
];

/// Seconds before the first fault and after the last: what is normal has to be seen first, and again in the end.
pub const QUIET: (f64, f64) = (3.0, 5.0);
/// Longest fault, in seconds.
const LONGEST: f64 = 3.0;
/// Time from a fault of one limiter's process to its next one, in seconds: it has to be up again.
const APART: f64 = 3.5;

/// A schedule as a file holds it.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// What happens, by time.
    pub event: Vec<Entry>,
}

impl Schedule {
    /// Reads one that was written down. Whether its entries fit is checked where a scenario holds them.
    ///
    /// # Errors
    /// The text is no TOML, or has a key that is not known.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        toml::from_str(text).map_err(|e| ScenarioError { key: String::new(), reason: e.to_string() })
    }

    /// As TOML, to be kept and played again.
    ///
    /// # Errors
    /// It cannot be worded, which no drawn schedule is expected to bring.
    pub fn toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

struct Drawing {
    rng: ChaCha8Rng,
    limiters: u32,
    events: Vec<Entry>,
    /// When each limiter's process was last touched.
    touched: Vec<f64>,
    latest: f64,
}

/// Draws `many` cases for `limiters` limiters within `seconds`: of all kinds, or of one. A case takes one to several
/// events, and cases overlap; only one limiter's process is not touched again before it can be up.
pub fn draw(seed: u64, limiters: u32, seconds: f64, many: usize, only: Option<&str>) -> Schedule {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(23);
    let latest = (seconds - QUIET.1).max(QUIET.0 + 1.0);
    let mut drawing =
        Drawing { rng, limiters, events: Vec::new(), touched: vec![-APART; limiters as usize], latest };
    for number in 0..many {
        // In order of time, so that a limiter that was touched is known to be.
        let span = (latest - QUIET.0) / many as f64;
        let at = QUIET.0 + span * number as f64 + drawing.rng.random_range(0.0..span);
        let case = only.unwrap_or_else(|| CASES.choose(&mut drawing.rng).copied().unwrap_or("stall"));
        drawing.case(case, at);
    }
    let mut event = drawing.events;
    event.sort_by(|a, b| a.at.total_cmp(&b.at));
    Schedule { event }
}

impl Drawing {
    fn add(&mut self, at: f64, seconds: f64, what: &str) -> &mut Entry {
        let tidy = |t: f64| (t * 1e3).round() / 1e3;
        let at = at.min(self.latest);
        let seconds = if seconds > 0.0 { seconds.min(self.latest - at).max(0.2) } else { 0.0 };
        let entry = Entry { at: tidy(at), seconds: tidy(seconds), what: what.into(), ..Entry::default() };
        self.events.push(entry);
        let last = self.events.len() - 1;
        &mut self.events[last]
    }

    fn lasts(&mut self) -> f64 {
        self.rng.random_range(0.4..LONGEST)
    }

    fn any(&mut self) -> u32 {
        self.rng.random_range(0..self.limiters)
    }

    /// A limiter whose process may be touched from `at` on for `lasts`; nothing where all have been lately.
    fn process(&mut self, at: f64, lasts: f64) -> Option<u32> {
        let free: Vec<u32> = (0..self.limiters).filter(|l| self.touched[*l as usize] + APART <= at).collect();
        // Never all at once: the front has to have somebody to send to.
        if free.len() < 2 {
            return None;
        }
        let limiter = free.choose(&mut self.rng).copied()?;
        self.touched[limiter as usize] = at + lasts;
        Some(limiter)
    }

    fn case(&mut self, case: &str, at: f64) {
        let lasts = self.lasts();
        match case {
            "stall" | "kill" => {
                let Some(limiter) = self.process(at, lasts) else { return };
                let what = if case == "stall" { "limiter-stall" } else { "limiter-kill" };
                self.add(at, lasts, what).limiter = Some(limiter);
            }
            "kill-thrice" => {
                // Within a window of a quota: each life has leased and spent something.
                let at = at.min(self.latest - 2.4);
                let Some(limiter) = self.process(at, 2.4) else { return };
                for n in 0..3 {
                    self.add(at + 0.8 * f64::from(n), 0.25, "limiter-kill").limiter = Some(limiter);
                }
            }
            "restart" => {
                let Some(limiter) = self.process(at, 2.0) else { return };
                self.add(at, 0.0, "limiter-restart").limiter = Some(limiter);
            }
            "restart-stalled" => {
                let Some(limiter) = self.process(at, 2.0) else { return };
                self.add(at, 1.0, "limiter-stall").limiter = Some(limiter);
                self.add(at + 0.3, 0.0, "limiter-restart").limiter = Some(limiter);
            }
            "reload" => {
                let Some(limiter) = self.process(at, 0.5) else { return };
                let half = self.rng.random::<bool>();
                let entry = self.add(at, 0.0, "limiter-reload");
                (entry.limiter, entry.fault) =
                    (Some(limiter), Some(if half { "half" } else { "whole" }.into()));
            }
            "one-way" => {
                let (limiter, way) = (self.any(), if self.rng.random() { "in" } else { "out" });
                let entry = self.add(at, lasts, "peers-cut");
                (entry.limiter, entry.way) = (Some(limiter), Some(way.into()));
            }
            "ring" => _ = self.add(at, lasts, "peers-ring"),
            "halves" => _ = self.add(at, lasts, "peers-halves"),
            "flap" => {
                let limiter = self.any();
                for n in 0..6 {
                    self.add(at + 0.6 * f64::from(n), 0.3, "peers-cut").limiter = Some(limiter);
                }
                for n in 0..6 {
                    self.link(at + 0.6 * f64::from(n), 0.3, limiter, "counter", "swallow");
                }
            }
            "counter-of-one" => {
                let one = self.any();
                for limiter in (0..self.limiters).filter(|l| *l != one) {
                    self.link(at, lasts, limiter, "counter", "swallow");
                }
            }
            "counter-link" => {
                let (limiter, kinds) =
                    (self.any(), ["hold", "swallow", "late", "refuse", "hang", "reset", "close"]);
                let fault = kinds.choose(&mut self.rng).copied().unwrap_or("hold");
                let way = ["both", "in", "out"].choose(&mut self.rng).copied().unwrap_or("both");
                self.link(at, lasts, limiter, "counter", fault).way = Some(way.into());
            }
            "late-news" => {
                let (limiter, fault) = (self.any(), if self.rng.random() { "hold" } else { "reset" });
                self.link(at, lasts, limiter, "discovery", fault);
            }
            _ => {
                let what = if self.rng.random() { "counter-silent" } else { "counter-refuse" };
                self.add(at, lasts, what);
            }
        }
    }

    fn link(&mut self, at: f64, lasts: f64, limiter: u32, to: &str, fault: &str) -> &mut Entry {
        let once = matches!(fault, "reset" | "close");
        let entry = self.add(at, if once { 0.0 } else { lasts }, "link");
        entry.limiter = Some(limiter);
        (entry.to, entry.fault) = (Some(to.into()), Some(fault.into()));
        entry.ms = (fault == "late").then_some(30.0);
        entry
    }
}
