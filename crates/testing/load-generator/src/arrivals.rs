//! When requests arrive: an open loop, so that a system that is slow gets no less to do.

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Numbers by chance, the same for a seed.
#[derive(Debug, Clone)]
pub struct Rng(u64);

impl Rng {
    /// From a seed.
    pub fn new(seed: u64) -> Self {
        Rng(seed)
    }

    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Between 0 and 1, neither of them.
    pub fn share(&mut self) -> f64 {
        ((self.draw() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }
}

/// How the rate moves with time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Shape {
    /// It does not.
    Steady,
    /// Up and down by a part of the mean, once in a period.
    Wave {
        /// Part of the mean, 0 to 1.
        swing: f64,
        /// In microseconds.
        period: Micros,
    },
    /// Some times the mean from a moment on, for a while.
    Burst {
        /// Times the mean.
        times: f64,
        /// When, in microseconds.
        from: Micros,
        /// For how long, in microseconds.
        length: Micros,
    },
}

impl Shape {
    /// Times the mean at a moment.
    pub fn at(self, t: Micros) -> f64 {
        match self {
            Shape::Steady => 1.0,
            Shape::Wave { swing, period } => {
                1.0 + swing * (std::f64::consts::TAU * t as f64 / period.max(1) as f64).sin()
            }
            Shape::Burst { times, from, length } if (from..from + length).contains(&t) => times,
            Shape::Burst { .. } => 1.0,
        }
    }

    fn most(self) -> f64 {
        match self {
            Shape::Steady => 1.0,
            Shape::Wave { swing, .. } => 1.0 + swing,
            Shape::Burst { times, .. } => times.max(1.0),
        }
    }
}

/// Arrivals by chance at a rate that moves.
#[derive(Debug, Clone)]
pub struct Arrivals {
    rate: f64,
    shape: Shape,
    chance: Rng,
    now: f64,
}

impl Arrivals {
    /// So many a second in the mean.
    pub fn new(rate: f64, shape: Shape, seed: u64) -> Self {
        Arrivals { rate: rate.max(1e-3), shape, chance: Rng::new(seed), now: 0.0 }
    }
}

impl Iterator for Arrivals {
    type Item = Micros;

    /// The next arrival's time since the start: drawn at the highest rate, and kept by the part that is due.
    fn next(&mut self) -> Option<Micros> {
        let most = self.shape.most();
        loop {
            self.now += -self.chance.share().ln() / (self.rate * most) * 1e6;
            if self.chance.share() * most <= self.shape.at(self.now as Micros) {
                return Some(self.now as Micros);
            }
        }
    }
}
