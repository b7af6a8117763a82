//! What fired when, on all links that share a record.

use crate::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Events that are kept; later ones are counted only.
const MAX_KEPT: usize = 100_000;

/// What a fault did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum What {
    /// Bytes of a stream, or a datagram, were taken and lost.
    Swallowed,
    /// A stream waited, as nothing passed.
    Held,
    /// Something was handed on late on purpose.
    Delayed,
    /// A datagram came twice.
    Doubled,
    /// A datagram came later than its turn.
    Reordered,
    /// A connection was reset.
    Reset,
    /// A connection was ended, in both directions or in one.
    Closed,
    /// Connections are refused from now on.
    Refusing,
    /// Connections do not come up from now on.
    Hanging,
}

/// One thing that a fault did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fired {
    /// When, since the record's start.
    pub t: Duration,
    /// The name of the way.
    pub way: Arc<str>,
    /// What.
    pub what: What,
}

#[derive(Debug, Default)]
struct Kept {
    events: Vec<Fired>,
    /// How often, by way and kind: also those that are not kept.
    counts: BTreeMap<(Arc<str>, What), u64>,
}

/// A record that any number of links share.
#[derive(Debug, Clone)]
pub struct Record(Arc<(Instant, Mutex<Kept>, watch::Sender<u64>)>);

impl Default for Record {
    fn default() -> Self {
        Record(Arc::new((Instant::now(), Mutex::default(), watch::Sender::new(0))))
    }
}

impl Record {
    pub(crate) fn add(&self, way: &Arc<str>, what: What) {
        let mut kept = lock(&self.0 .1);
        *kept.counts.entry((way.clone(), what)).or_default() += 1;
        if kept.events.len() < MAX_KEPT {
            kept.events.push(Fired { t: self.0 .0.elapsed(), way: way.clone(), what });
        }
        drop(kept);
        self.0 .2.send_modify(|n| *n += 1);
    }

    /// How often a kind of fault has fired on a way.
    pub fn count(&self, way: &str, what: What) -> u64 {
        lock(&self.0 .1).counts.get(&(Arc::from(way), what)).copied().unwrap_or_default()
    }

    /// All that fired, by time.
    pub fn events(&self) -> Vec<Fired> {
        lock(&self.0 .1).events.clone()
    }

    /// Waits until a kind of fault has fired so often on a way; whether it did within the time.
    pub async fn fired(&self, way: &str, what: What, times: u64, within: Duration) -> bool {
        let mut seen = self.0 .2.subscribe();
        let done = async {
            while self.count(way, what) < times {
                if seen.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(within, done).await.is_ok()
    }
}
