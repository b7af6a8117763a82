//! Random numbers from a seed: SplitMix64.

/// A generator: the same numbers for the same seed.
#[derive(Debug, Clone)]
pub struct Rng(pub u64);

impl Rng {
    /// A random number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.draw() % n.max(1)
    }

    /// A number from `low` on, below `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high.saturating_sub(low))
    }

    /// True in so many of a thousand cases.
    pub fn with_permille(&mut self, permille: u64) -> bool {
        self.below(1_000) < permille
    }

    /// A random one of these.
    pub fn pick<'a, T>(&mut self, all: &'a [T]) -> Option<&'a T> {
        all.get(self.below(all.len() as u64) as usize)
    }

    /// So many different ones of these, in random order; all if there are fewer.
    pub fn sample<T: Copy>(&mut self, all: &[T], count: usize) -> Vec<T> {
        let mut left = all.to_vec();
        (0..count.min(all.len())).map(|_| left.swap_remove(self.below(left.len() as u64) as usize)).collect()
    }
}
