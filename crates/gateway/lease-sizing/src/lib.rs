//! How many units of a window a limiter leases at once, and when.
//!
//! A limiter that leases only what waits pays one call to the counter, and a wait for it, for nearly each request. One that
//! leases far more leaves crumbs of the window in escrow that nobody uses: they are forfeit at the window's edge, and the
//! other limiters hold them to be used. So units are leased ahead
//!
//! - **by recent use**: what this limiter should let in until the window ends, by its use in this window and the last one;
//! - **only out of what is spare**: a customer's store, as all limiters see it, stays half full even if each limiter lets all
//!   that it leased ahead be forfeit. One that is close to its quota leases as it asks, unit by unit;
//! - **in time**: when what is held no longer covers the next request, beside the answer to this one.
//!
//! Free of I/O and clock; all times are microseconds.
#![forbid(unsafe_code)]

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Part of its burst that a customer's store keeps, whatever is leased ahead and forfeit. Guards customers in a spell: what
/// idle limiters hold ahead is refused to the busy one.
pub const RESERVED_SHARE: f64 = 0.6;
/// Part of what is to be expected that is leased: requests come by chance, and what is not used is forfeit.
pub const LEASED_DEMAND_SHARE: f64 = 0.7;
/// Part of what is left of a window that one limiter leases ahead at most, over an even split: others may lease at this moment.
pub const LEASED_WINDOW_SHARE: f64 = 0.5;

/// What one limiter knows of a customer in the present window, in units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantWindow {
    /// How many limiters the customer has.
    pub limiters: f64,
    /// Waiting here.
    pub waiting: f64,
    /// Held in escrow.
    pub escrow: f64,
    /// Size of the last request: the next is held to be as large.
    pub size: f64,
    /// Sent on here in this window, and in the one before.
    pub used: f64,
    /// See `used`.
    pub used_before: f64,
    /// Time since the window began, and its length.
    pub elapsed: Micros,
    /// See `elapsed`.
    pub length: Micros,
    /// What may still be leased of the window by all that reach the counter.
    pub leasable: f64,
    /// The customer's store as seen from here, and what it holds at most.
    pub store: f64,
    /// See `store`.
    pub burst: f64,
}

impl TenantWindow {
    /// Units that should be asked for here until the window ends.
    pub fn expected(&self) -> f64 {
        let seen = (self.length + self.elapsed) as f64;
        let rest = self.length.saturating_sub(self.elapsed) as f64;
        (self.used_before + self.used + self.waiting) / seen.max(1.0) * rest
    }

    /// Units that this limiter may lease and let be forfeit.
    pub fn spare(&self) -> f64 {
        let kept = self.store - self.waiting - RESERVED_SHARE * self.burst;
        let limiters = self.limiters.max(1.0);
        (kept.min(LEASED_WINDOW_SHARE * (self.leasable - self.waiting)) / limiters).max(0.0)
    }

    /// Units to lease beyond those that wait; whole ones, none where the next request is covered or not to be expected.
    pub fn ahead(&self) -> f64 {
        let after = (self.escrow - self.waiting).max(0.0);
        if after >= self.size {
            return 0.0;
        }
        let units = ((LEASED_DEMAND_SHARE * self.expected()).min(self.spare()) - after).floor();
        // Less than a request covers nothing.
        if units + after >= self.size {
            units
        } else {
            0.0
        }
    }
}
