//! The ledger: what happened in a run, as NDJSON with one clock.
//!
//! The first line is an [`Opening`], every further one a [`Record`], told apart by `ev`. Times (`t`) are microseconds
//! since the run began, by one clock, which stands beside the sockets of clients and nodes; lines need not stand in
//! the order of their times. Classes, plans, nodes, rooms and limiters are numbers from 0, in the order of the
//! opening. A run that came to its end closes with `closing`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of the format.
pub const VERSION: u32 = 1;
/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Why a ledger cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong there.
    pub reason: String,
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ledger, line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for LedgerError {}

/// The first line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Opening {
    /// [`VERSION`].
    pub ledger: u32,
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Unix time at which the ledger's clock began, in microseconds; 0 where it is not told.
    #[serde(default)]
    pub began_unix_us: u64,
    /// Number of limiters.
    pub limiters: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Figures of the rules.
    pub rules: Rules,
    /// Weights and prices of service.
    pub service: Weights,
}

/// Whether a repeat of a request does harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// May be repeated at will.
    Safe,
    /// Carries a key; all nodes drop repeats for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// How long repeats of a keyed request are dropped, from the send of the attempt that may have run.
    pub window_us: Micros,
    /// An answer within this time of the first try earns its worth.
    pub aim_us: Micros,
    /// Worth of a request of one unit.
    pub worth: f64,
}

/// A plan: the quota of each of its customers, over all limiters together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second; 0 for no quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Factor on worth.
    pub pays: f64,
    /// Part of a try's worth that is taken off if it is sent on beyond the quota.
    pub over_cost: f64,
    /// Hard ceiling in units a second; 0 for none.
    pub ceiling_rate: f64,
    /// Units that the ceiling lets through at once.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be passed.
    pub ceiling_slack: f64,
}

/// Figures of the five rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Time beyond a try's patience in which an answer still counts.
    pub answer_slack_us: Micros,
    /// What each time limit is longer by on sockets.
    pub socket_slack_us: Micros,
    /// Time for which work may still go to a node after the limiter was told that it drains or is gone.
    pub drain_grace_us: Micros,
    /// A cold node sent more than [`Rules::fall_multiple`] times its present capacity for so long falls over.
    pub fall_us: Micros,
    /// See [`Rules::fall_us`].
    pub fall_multiple: f64,
    /// Attempts of one try at most.
    pub max_attempts: u32,
    /// Two attempts of one try may be out together.
    pub second_copies: bool,
}

/// Weights and prices of service, as parts of 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// The whole run.
    pub whole: f64,
    /// The worst ten seconds.
    pub worst_window: f64,
    /// The worst-served plan.
    pub worst_plan: f64,
    /// For one call to the counter a first try.
    pub counter: f64,
    /// For one full message between limiters a first try.
    pub peer: f64,
    /// For work that served no answer, as much as was asked for.
    pub waste: f64,
    /// For all worth ending unserved after its aim.
    pub late_fail: f64,
    /// For each first try crossing rooms once.
    pub cross_room: f64,
}

/// How a try ended at its client, where no answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Left {
    /// The time that it stated was up.
    Patience,
    /// Sooner, by its own choice.
    Early,
    /// No limiter took it: refused, never connected, or not written whole.
    Unreached,
    /// The limiter closed a new connection with nothing sent.
    ClosedNew,
    /// The connection ended, or what came was no whole answer.
    Broken,
}

/// How an attempt ended at its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Answered with 200.
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Declined,
    /// Its connection ended first; it may have run.
    Cut,
    /// Dropped as a repeat of a key seen: answered with what the first one brought.
    Repeat,
}

/// What a limiter was told of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// In service.
    Serving,
    /// Nothing new may go there.
    Draining,
    /// Removed, or no longer in the list.
    Gone,
}

/// What happened to a limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Its process was started.
    Started,
    /// It said that it is ready.
    Ready,
    /// It was told to end.
    Terminated,
    /// It was killed outright.
    Killed,
    /// Its process was stopped, and stands still.
    Stalled,
    /// It goes on.
    Resumed,
    /// It ended after it had been told to.
    Ended,
    /// It ended by itself.
    Crashed {
        /// Its exit code; nothing after a signal.
        code: Option<i32>,
    },
}

/// What happened to a call to the counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Counted {
    /// Added, and the total was written.
    Added,
    /// Turned away.
    Declined,
    /// Added, but nobody heard of it.
    Unheard,
}

/// A line after the first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum Record {
    /// A client sends a try.
    Arrive {
        /// When.
        t: Micros,
        /// When it was to be sent, by the schedule.
        due: Micros,
        /// Id of the try, new with each.
        id: u64,
        /// Id of the first try that it repeats; its own for a first one.
        first: u64,
        /// Its class.
        class: usize,
        /// Its customer's plan.
        plan: usize,
        /// Its customer.
        customer: u64,
        /// Units that it counts.
        units: f64,
        /// The limiter that it goes to.
        limiter: u32,
        /// How long the client waits for the answer.
        patience_us: Micros,
        /// Work that it asks for.
        work_us: Micros,
    },
    /// A client has read an answer to its end.
    Answer {
        /// When its last byte came.
        t: Micros,
        /// The try.
        id: u64,
        /// HTTP status.
        status: u16,
        /// For 200: the body is the one that a node made for this try.
        sound: bool,
    },
    /// A client stops waiting for an answer.
    Left {
        /// When.
        t: Micros,
        /// The try.
        id: u64,
        /// Why.
        why: Left,
    },
    /// An attempt has come whole to a node.
    Attempt {
        /// When its last byte came.
        t: Micros,
        /// When its first byte came.
        begun: Micros,
        /// Number of the attempt, over all nodes.
        n: u64,
        /// The try's id, as it came.
        id: u64,
        /// The node.
        node: u32,
        /// The limiter.
        limiter: u32,
        /// Work that it brings.
        work_us: Micros,
        /// Method, path, key and body are those that the client sent.
        sound: bool,
        /// It crossed rooms.
        cross: bool,
    },
    /// An attempt is over at its node.
    AttemptEnd {
        /// When.
        t: Micros,
        /// The attempt.
        n: u64,
        /// How.
        fate: Fate,
    },
    /// A call has come to the counter.
    Count {
        /// When it was dealt with.
        t: Micros,
        /// The limiter.
        limiter: u32,
        /// The count's name.
        name: String,
        /// What was added.
        amount: f64,
        /// The total after it, if it was added.
        total: Option<f64>,
        /// What happened.
        fate: Counted,
    },
    /// A message between limiters was delivered.
    Message {
        /// When.
        t: Micros,
        /// Sender.
        from: u32,
        /// Receiver.
        to: u32,
        /// Bytes.
        bytes: usize,
    },
    /// A limiter was told of a node.
    Told {
        /// When discovery had written it.
        t: Micros,
        /// The limiter.
        limiter: u32,
        /// The node.
        node: u32,
        /// Its state.
        health: Health,
        /// When it last started, as told; below 0 for before the run.
        started: i64,
    },
    /// A node starts to serve.
    NodeStart {
        /// When.
        t: Micros,
        /// The node.
        node: u32,
        /// Its room.
        room: u32,
        /// Work that it does when warm, in seconds of work a second.
        capacity: f64,
        /// Share of that at its start.
        cold_from: f64,
        /// It is warm after this time; 0 if it is from the start.
        cold_us: Micros,
    },
    /// A node serves no more.
    NodeEnd {
        /// When.
        t: Micros,
        /// The node.
        node: u32,
        /// It fell over, by its own measure.
        fell: bool,
    },
    /// Something happened to a limiter.
    Limiter {
        /// When.
        t: Micros,
        /// Which.
        limiter: u32,
        /// What.
        change: Change,
    },
    /// What a limiter wrote down itself, where it keeps a history.
    Said {
        /// When, by its own clock, which is the machine's.
        t: Micros,
        /// Which.
        limiter: u32,
        /// What.
        what: limeway_event_log::What,
    },
    /// What a limiter has used since its process was started.
    Usage {
        /// When.
        t: Micros,
        /// Which.
        limiter: u32,
        /// Processor time.
        cpu_us: Micros,
        /// Of it spent in the system on its behalf.
        #[serde(default)]
        system_us: Micros,
        /// Resident memory.
        rss_kb: u64,
        /// Descriptors.
        fds: u64,
    },
    /// Something of the timeline begins or ends.
    Trouble {
        /// When.
        t: Micros,
        /// What.
        name: String,
        /// It begins.
        on: bool,
    },
    /// The end of the run.
    Closing(Closing),
}

/// The last line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Closing {
    /// When.
    pub t: Micros,
    /// The run came to its planned end.
    pub complete: bool,
    /// First tries that the schedule held.
    pub planned: u64,
    /// Lateness of the kit's own sends against the schedule: median.
    pub late_p50_us: Micros,
    /// 99th percentile.
    pub late_p99_us: Micros,
    /// 99.9th percentile.
    pub late_p999_us: Micros,
    /// The worst.
    pub late_max_us: Micros,
}

impl Record {
    /// The record as a line, without its end.
    pub fn line(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Opening {
    /// The opening as a line, without its end.
    pub fn line(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
