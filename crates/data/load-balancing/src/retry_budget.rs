//! The retry budget, kept by construction: the sum over gateways holds as each keeps its share.

use limeway_types::{Micros, Timestamp};
use std::collections::HashMap;
use std::rc::Rc;

/// Buckets that the window is cut into.
const BUCKETS: u64 = 10;
/// Part of the bound that is used; the rest covers what gateways cannot know of each other.
const UTILIZATION: f64 = 0.8;

/// Requests and retries of one service over the window, in buckets.
#[derive(Debug, Clone, Default)]
struct ServiceWindow {
    bucket: u64,
    requests: [u32; BUCKETS as usize],
    retries: [u32; BUCKETS as usize],
}

impl ServiceWindow {
    /// Goes on to a bucket, and empties those in between.
    fn roll(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.bucket);
        for step in 1..=passed.min(BUCKETS) {
            let at = ((self.bucket + step) % BUCKETS) as usize;
            (self.requests[at], self.retries[at]) = (0, 0);
        }
        self.bucket = self.bucket.max(bucket);
    }

    fn at(&self) -> usize {
        (self.bucket % BUCKETS) as usize
    }
}

/// What a gateway has sent each service, and sent again.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    window: Micros,
    services: HashMap<Rc<str>, ServiceWindow>,
}

impl RetryBudget {
    /// `ratio` retries for each request over `window`.
    pub fn new(ratio: f64, window: Micros) -> Self {
        RetryBudget { ratio, window: window.max(BUCKETS), services: HashMap::new() }
    }

    fn window(&mut self, now: Timestamp, service: &Rc<str>) -> &mut ServiceWindow {
        let bucket = now / (self.window / BUCKETS);
        let window = self.services.entry(service.clone()).or_default();
        window.roll(bucket);
        window
    }

    /// A client's request goes to a server of a service for the first time.
    pub fn count_request(&mut self, now: Timestamp, service: &Rc<str>) {
        let window = self.window(now, service);
        let at = window.at();
        window.requests[at] += 1;
    }

    /// Whether one more retry is in the budget; if so it is spent. `slack` is this gateway's share of the slack of all.
    pub fn take_retry(&mut self, now: Timestamp, service: &Rc<str>, slack: f64) -> bool {
        let ratio = self.ratio;
        let window = self.window(now, service);
        let requests: u32 = window.requests.iter().sum();
        let retries: u32 = window.retries.iter().sum();
        let allowed = UTILIZATION * (ratio * f64::from(requests) + slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        let at = window.at();
        window.retries[at] += 1;
        true
    }
}
