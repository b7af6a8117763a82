//! What matters at one limiter, as JSON lines with the machine's monotonic clock: written by the daemon, read back by whoever
//! puts the histories of several limiters together.
//!
//! Typed on both sides, which is why it is no logging library: those write text or fields by name, and a reader would have
//! to hold a second definition of each. Free of I/O but for the writer that it is given, and of clocks.
//!
//! ```
//! use limeway_event_log::{read, History, What};
//!
//! let mut history = History::new(Vec::new(), 10);
//! history.add(5, What::Ready).unwrap();
//! assert_eq!(read(&String::from_utf8(history.into_inner()).unwrap()).unwrap()[0].what, What::Ready);
//! ```
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{self, Write};

/// Something that matters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum What {
    /// A process begins; each life of a limiter does so in the same file.
    Started {
        /// Its number among the limiters.
        limiter: u32,
        /// Its process.
        pid: u32,
    },
    /// It may be sent requests.
    Ready,
    /// What it holds the counter to be has changed.
    Counter {
        /// From which state to which, with the evidence.
        text: String,
    },
    /// It has taken in a list of servers.
    List {
        /// Discovery's number of it.
        version: u64,
        /// Servers that it names, and of them those that may be sent requests.
        named: usize,
        /// See `named`.
        serving: usize,
    },
    /// It was told to read its configuration again.
    Reload {
        /// It could be used.
        taken: bool,
    },
    /// It has stood still, or nearly so.
    Stood {
        /// For so long beyond its turn, in milliseconds.
        ms: u64,
    },
    /// It was told to end.
    Ending {
        /// Requests that are not answered.
        open: usize,
    },
    /// It ends.
    Ended {
        /// Requests that are not answered.
        open: usize,
    },
    /// The file is full: nothing more follows.
    Full,
}

/// A line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// When, in microseconds of the machine's monotonic clock.
    pub t_us: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// Writes lines, up to a bound.
#[derive(Debug)]
pub struct History<W> {
    out: W,
    /// Lines that may still be written; the last is [`What::Full`].
    left: usize,
}

impl<W: Write> History<W> {
    /// Writes `most` lines at most.
    pub fn new(out: W, most: usize) -> Self {
        History { out, left: most }
    }

    /// Writes a line, in one piece: a process that is killed leaves whole lines, but for the last one perhaps.
    ///
    /// # Errors
    /// The writer's. Nothing more is written then.
    pub fn add(&mut self, t_us: u64, what: What) -> io::Result<()> {
        if self.left == 0 {
            return Ok(());
        }
        self.left -= 1;
        let what = if self.left == 0 { What::Full } else { what };
        let mut text = serde_json::to_string(&Line { t_us, what })?;
        text.push('\n');
        let written = self.out.write_all(text.as_bytes()).and_then(|()| self.out.flush());
        if written.is_err() {
            self.left = 0;
        }
        written
    }

    /// What it writes to.
    pub fn into_inner(self) -> W {
        self.out
    }
}

/// A line that is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryError {
    /// Its number, from 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for HistoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for HistoryError {}

/// Reads what was written. A line that a killed process left half, before another life's first one or at the end, is
/// passed over.
///
/// # Errors
/// A line that is none, and that no death explains.
pub fn read(text: &str) -> Result<Vec<Line>, HistoryError> {
    let mut lines = Vec::new();
    for (number, line) in (1..).zip(text.split_inclusive('\n')) {
        match serde_json::from_str::<Line>(line) {
            Ok(line) => lines.push(line),
            Err(_) if !line.ends_with('\n') => {}
            // The next life has begun behind the half line of the one before.
            Err(e) => {
                match line.rfind("{\"t_us\"").filter(|at| *at > 0).map(|at| serde_json::from_str(&line[at..]))
                {
                    Some(Ok(begun @ Line { what: What::Started { .. }, .. })) => lines.push(begun),
                    _ => return Err(HistoryError { line: number, reason: e.to_string() }),
                }
            }
        }
    }
    Ok(lines)
}
