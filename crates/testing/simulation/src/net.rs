//! The simulated network: delay, order, cuts of one way or both, loss, slow and thin links.

use crate::chance::Chance;
use crate::Micros;
use std::collections::BTreeMap;

/// Messages that a cut holds up, at most.
const HELD_MOST: usize = 2_000;

/// What becomes of a message.
#[derive(Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives then.
    Arrives(Micros),
    /// It never arrives, and nobody is told.
    Lost,
    /// It arrives when the cut has ended.
    Held,
}

/// One way from one end to another.
#[derive(Debug, Clone, Default)]
struct Way {
    delay: Micros,
    cuts: u32,
    /// Added delay.
    slow: Micros,
    /// Bytes a millisecond; 0 for no bound.
    thin: u64,
    last: Micros,
}

/// All ways.
#[derive(Debug)]
pub struct Net<M> {
    ways: BTreeMap<(usize, usize), Way>,
    /// Messages lost, of a thousand.
    pub loss: u64,
    held: Vec<(usize, usize, M)>,
}

impl<M> Net<M> {
    /// A network whose delays are drawn: most links are short, some cross regions.
    pub fn new(ends: usize, chance: &mut Chance) -> Self {
        let mut ways = BTreeMap::new();
        let regions: Vec<u64> = (0..ends).map(|_| chance.below(3)).collect();
        let far = chance.between(5_000, 60_000);
        for a in 0..ends {
            for b in 0..ends {
                let base = if regions[a] == regions[b] { 300 } else { far };
                let delay = base + chance.below(base / 4 + 1);
                ways.insert((a, b), Way { delay, ..Way::default() });
            }
        }
        Net { ways, loss: 0, held: Vec::new() }
    }

    fn way(&mut self, a: usize, b: usize) -> &mut Way {
        self.ways.entry((a, b)).or_default()
    }

    /// A message of so many bytes sets out.
    pub fn pass(&mut self, t: Micros, (a, b): (usize, usize), bytes: u64, chance: &mut Chance) -> Fate {
        let lost = chance.happens(self.loss);
        let way = self.way(a, b);
        if way.cuts > 0 {
            return if chance.happens(500) { Fate::Held } else { Fate::Lost };
        }
        if lost {
            return Fate::Lost;
        }
        let takes = (bytes * 1_000).checked_div(way.thin).unwrap_or(0);
        let jitter = chance.below(way.delay / 8 + 50);
        // A connection keeps its order.
        way.last = way.last.max(t + way.delay + way.slow + jitter) + takes;
        Fate::Arrives(way.last)
    }

    /// Whether a way is cut.
    pub fn is_cut(&mut self, a: usize, b: usize) -> bool {
        self.way(a, b).cuts > 0
    }

    /// Keeps a message until its way is whole again.
    pub fn hold(&mut self, (a, b): (usize, usize), message: M) {
        if self.held.len() < HELD_MOST {
            self.held.push((a, b, message));
        }
    }

    /// Cuts a way once more.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.way(a, b).cuts += 1;
    }

    /// Takes one cut back, and returns the messages that may set out again.
    pub fn join(&mut self, a: usize, b: usize) -> Vec<(usize, usize, M)> {
        let way = self.way(a, b);
        way.cuts = way.cuts.saturating_sub(1);
        if way.cuts > 0 {
            return Vec::new();
        }
        let (free, held) =
            std::mem::take(&mut self.held).into_iter().partition(|(x, y, _)| (*x, *y) == (a, b));
        self.held = held;
        free
    }

    /// Slows a way by so much, and bounds it to so many bytes a millisecond (0: no bound).
    pub fn slow(&mut self, a: usize, b: usize, slow: Micros, thin: u64) {
        let way = self.way(a, b);
        (way.slow, way.thin) = (slow, thin);
    }
}
