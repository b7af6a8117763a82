//! The budget of further tries at servers, kept by construction: the sum over limiters holds as each keeps its part.

use crate::Micros;
use std::collections::HashMap;
use std::rc::Rc;

/// Steps that the window is cut into.
const STEPS: u64 = 10;
/// Part of the bound that is used; the rest covers what limiters cannot know of each other.
const USED: f64 = 0.8;

#[derive(Debug, Clone, Default)]
struct Ring {
    step: u64,
    firsts: [u32; STEPS as usize],
    more: [u32; STEPS as usize],
}

impl Ring {
    fn roll(&mut self, step: u64) {
        let passed = step.saturating_sub(self.step);
        for past in 1..=passed.min(STEPS) {
            let at = ((self.step + past) % STEPS) as usize;
            (self.firsts[at], self.more[at]) = (0, 0);
        }
        self.step = self.step.max(step);
    }
}

/// What a limiter has sent each service, and sent again.
#[derive(Debug, Clone)]
pub struct Tries {
    ratio: f64,
    window: Micros,
    services: HashMap<Rc<str>, Ring>,
}

impl Tries {
    /// Further tries of `ratio` for each request over `window`.
    pub fn new(ratio: f64, window: Micros) -> Self {
        Tries { ratio, window: window.max(STEPS), services: HashMap::new() }
    }

    fn ring(&mut self, now: Micros, service: &Rc<str>) -> &mut Ring {
        let step = now / (self.window / STEPS);
        let ring = self.services.entry(service.clone()).or_default();
        ring.roll(step);
        ring
    }

    /// A client's request is taken for a service.
    pub fn first(&mut self, now: Micros, service: &Rc<str>) {
        let at = self.ring(now, service);
        at.firsts[(at.step % STEPS) as usize] += 1;
    }

    /// Whether one more try at another server is in the budget; if so it is spent. `slack` is this limiter's part of the
    /// slack of all.
    pub fn again(&mut self, now: Micros, service: &Rc<str>, slack: f64) -> bool {
        let ratio = self.ratio;
        let ring = self.ring(now, service);
        let firsts: u32 = ring.firsts.iter().sum();
        let more: u32 = ring.more.iter().sum();
        // One step more than the window may be touched by any span of its length.
        let most = USED * (ratio * f64::from(firsts) + slack);
        if f64::from(more) + 1.0 > most {
            return false;
        }
        let at = (ring.step % STEPS) as usize;
        ring.more[at] += 1;
        true
    }
}
