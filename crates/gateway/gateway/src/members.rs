//! The list of servers in discovery's form, read row by row.

use serde::Deserialize;
use std::net::SocketAddr;

/// State of a server in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Health {
    /// In service.
    #[serde(rename = "SERVING")]
    Serving,
    /// Removed.
    #[serde(rename = "DELETED")]
    Deleted,
    /// Finishing its work. A state of another name is taken for this one: nothing new goes there.
    #[serde(rename = "DRAINING", other)]
    Draining,
}

/// One server in the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Row {
    /// Its name, the same everywhere.
    pub host: String,
    /// Where this limiter reaches it.
    #[serde(default)]
    pub dial: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its cell.
    #[serde(default)]
    pub block: u64,
    /// Its state.
    pub health: Health,
    /// Its relative size.
    #[serde(default = "one")]
    pub share: f64,
    /// When it last started, Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// A list of servers, or the changes to one.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "Raw")]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// The whole list rather than changes.
    pub whole: bool,
    /// The servers.
    pub hosts: Vec<Row>,
    /// Rows that make no sense.
    pub spoilt: usize,
}

/// A list as it comes, its rows not yet judged.
#[derive(Deserialize)]
struct Raw {
    seq: u64,
    whole: bool,
    hosts: Vec<serde_json::Value>,
}

impl From<Raw> for List {
    /// Judges each row by itself: one that makes no sense must not take the others with it.
    fn from(raw: Raw) -> Self {
        let rows = raw.hosts.len();
        let sound = |row: &Row| row.health != Health::Serving || row.dial.parse::<SocketAddr>().is_ok();
        let hosts: Vec<Row> =
            raw.hosts.into_iter().filter_map(|row| serde_json::from_value(row).ok()).filter(sound).collect();
        List { seq: raw.seq, whole: raw.whole, spoilt: rows - hosts.len(), hosts }
    }
}
