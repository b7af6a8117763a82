//! The operators' file: what operators set beside the platform's configuration, as TOML.
//!
//! Nothing in it is on unless it says so, and no file at all is the same as an empty one. It is taken whole or not at
//! all; an [`Error`] names line and key, says what was expected, and suggests the nearest key that is known. Each
//! subsystem has a section of its own and hangs it in [`Operator`].
//!
//! ```
//! use limeway_operator_config::{InTrouble, Operator};
//!
//! let file = "version = 1\n[counter]\nin-trouble = \"shares\"\n";
//! assert_eq!(Operator::read(file).unwrap().counter.in_trouble, InTrouble::Shares);
//! assert_eq!(Operator::read("").unwrap(), Operator::default());
//! let wrong = Operator::read("[counter]\nin-truoble = \"shares\"\n").unwrap_err();
//! assert_eq!(wrong.to_string(), "line 2: counter.in-truoble: is not known; did you mean `in-trouble`?");
//! ```
//!
//! Free of I/O.
#![forbid(unsafe_code)]

mod error;

pub use error::Error;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// The version of the file's form that is read here.
pub const VERSION: u32 = 1;
/// Bytes of a file at most: one that is larger is no settings file but a mistake, and is not parsed.
pub const MAX_BYTES: usize = 1 << 20;

/// All sections.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Operator {
    /// Form of the file, [`VERSION`]; may be left out.
    version: Option<u32>,
    /// The counter.
    pub counter: Counter,
    /// The limiter's own history.
    pub history: History,
}

/// `[counter]`: how limiters use the counter, and what they do when it fails.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Counter {
    /// What is spent while the counter is in trouble.
    pub in_trouble: InTrouble,
    /// Units are leased ahead of need, out of what is spare: fewer calls and shorter waits for them.
    pub lease_ahead: bool,
}

/// `[history]`: what matters at a limiter, as JSON lines in a file of its own.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct History {
    /// Folder of the file, which is named by the limiter; nothing for no history.
    pub folder: Option<String>,
    /// Lines that one life of a limiter writes at most.
    #[serde(deserialize_with = "lines")]
    pub lines: u32,
}

impl Default for History {
    fn default() -> Self {
        History { folder: None, lines: LINES }
    }
}

/// Lines of a history where nothing is said: some megabytes, and days of a limiter in trouble each second.
const LINES: u32 = 100_000;
/// Lines that may be asked for.
const MAX_LINES: u32 = 10_000_000;

fn lines<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    let lines = u32::deserialize(from)?;
    if (1..=MAX_LINES).contains(&lines) {
        return Ok(lines);
    }
    Err(D::Error::custom(format!("{lines} does not lie between 1 and {MAX_LINES}")))
}

/// What a limiter spends of a quota while the counter does not answer, or has lost its numbers. All limiters of a site
/// must be set alike: one that leaves nothing to the others may spend what they hold to be theirs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InTrouble {
    /// The even split of the quota, whatever others have leased before: serves most, and may pass a window's budget.
    #[default]
    Credit,
    /// Only a share that those who still lease have left to it: keeps windows within their budgets, and costs two calls
    /// a limiter in each half second and, where the counter is slow rather than gone, service.
    Shares,
}

impl Operator {
    /// Reads the text of a file.
    ///
    /// # Errors
    /// The first thing that is wrong: no TOML, a key that is not known, a value of the wrong kind or out of range, a
    /// version that is not [`VERSION`].
    pub fn read(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_BYTES {
            return Err(Error::whole(format!("has {} bytes, and may have {MAX_BYTES}", text.len())));
        }
        let table = toml::Deserializer::parse(text).map_err(|e| Error::at(text, ".", &e))?;
        let read: Operator = serde_path_to_error::deserialize(table)
            .map_err(|e| Error::at(text, &e.path().to_string(), e.inner()))?;
        match read.version {
            None | Some(VERSION) => Ok(read),
            Some(other) => Err(Error::key(
                text,
                "version",
                format!("{other} is not known here; this reads version {VERSION}"),
            )),
        }
    }
}
