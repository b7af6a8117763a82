//! The simulated network: delay, order, partitions in one or both directions, loss, slow and narrow links.

use crate::rng::Rng;
use crate::Micros;
use std::collections::BTreeMap;

/// Upper bound on the messages that a partition holds back.
const MAX_DELAYED_MESSAGES: usize = 2_000;

/// The fate of a message.
#[derive(Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives at that time.
    Arrives(Micros),
    /// It is lost silently.
    Lost,
    /// It arrives when the partition has ended.
    Held,
}

/// One direction between two ends.
#[derive(Debug, Clone, Default)]
struct Link {
    delay: Micros,
    partitions: u32,
    /// Added delay.
    slow: Micros,
    /// Bytes a millisecond; 0 for no bound.
    thin: u64,
    last: Micros,
}

/// All links.
#[derive(Debug)]
pub struct Network<M> {
    links: BTreeMap<(usize, usize), Link>,
    /// Messages lost, of a thousand.
    pub loss: u64,
    held: Vec<(usize, usize, M)>,
}

impl<M> Network<M> {
    /// A network with random delays: most links are short, some cross regions.
    pub fn new(ends: usize, rng: &mut Rng) -> Self {
        let mut links = BTreeMap::new();
        let regions: Vec<u64> = (0..ends).map(|_| rng.below(3)).collect();
        let far = rng.between(5_000, 60_000);
        for a in 0..ends {
            for b in 0..ends {
                let base = if regions[a] == regions[b] { 300 } else { far };
                let delay = base + rng.below(base / 4 + 1);
                links.insert((a, b), Link { delay, ..Link::default() });
            }
        }
        Network { links, loss: 0, held: Vec::new() }
    }

    fn way(&mut self, a: usize, b: usize) -> &mut Link {
        self.links.entry((a, b)).or_default()
    }

    /// Sends a message of so many bytes.
    pub fn pass(&mut self, t: Micros, (a, b): (usize, usize), bytes: u64, rng: &mut Rng) -> Fate {
        let lost = rng.with_permille(self.loss);
        let way = self.way(a, b);
        if way.partitions > 0 {
            return if rng.with_permille(500) { Fate::Held } else { Fate::Lost };
        }
        if lost {
            return Fate::Lost;
        }
        let takes = (bytes * 1_000).checked_div(way.thin).unwrap_or(0);
        let jitter = rng.below(way.delay / 8 + 50);
        // A connection keeps its order.
        way.last = way.last.max(t + way.delay + way.slow + jitter) + takes;
        Fate::Arrives(way.last)
    }

    /// Whether a direction is cut.
    pub fn is_partitioned(&mut self, a: usize, b: usize) -> bool {
        self.way(a, b).partitions > 0
    }

    /// Holds a message back until the partition has ended.
    pub fn hold(&mut self, (a, b): (usize, usize), message: M) {
        if self.held.len() < MAX_DELAYED_MESSAGES {
            self.held.push((a, b, message));
        }
    }

    /// Adds a cut to a direction.
    pub fn partition(&mut self, a: usize, b: usize) {
        self.way(a, b).partitions += 1;
    }

    /// Removes a cut, and returns the messages that are released.
    pub fn join(&mut self, a: usize, b: usize) -> Vec<(usize, usize, M)> {
        let way = self.way(a, b);
        way.partitions = way.partitions.saturating_sub(1);
        if way.partitions > 0 {
            return Vec::new();
        }
        let (free, held) =
            std::mem::take(&mut self.held).into_iter().partition(|(x, y, _)| (*x, *y) == (a, b));
        self.held = held;
        free
    }

    /// Adds delay to a direction, and limits it to so many bytes a millisecond (0: no limit).
    pub fn slow(&mut self, a: usize, b: usize, slow: Micros, thin: u64) {
        let way = self.way(a, b);
        (way.slow, way.thin) = (slow, thin);
    }
}
