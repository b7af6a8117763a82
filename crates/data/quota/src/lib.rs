//! Quotas of tenants over all limiters.
//!
//! The design in this system: a quota is a budget per fixed window; a limiter leases a **block** of it from the tenant's
//! count, so many units for each of the coming windows, spends them locally and forfeits what a window leaves at its edge.
//! Without units and without a count it refuses.
//!
//! - [`Span`]: how long a window is and what it holds, so that no span of `quota-window`, wherever it begins, can touch
//!   more than the rule allows;
//! - [`count::Count`]: the holder's side, for the tenants whose count it holds;
//! - [`escrow::Escrow`]: a limiter's side.
//!
//! **The bound.** A span of `quota-window` touches at most [`TOUCHED`] windows, as seen by limiters, since one that sees a
//! window begin too early does so by [`SKEW`] at most, and none sees it late. So it is enough that of each window no more
//! than its budget is spent:
//!
//! - a count grants what is left of the budget after the most that each limiter may have had of the window (`peak`), the
//!   single units, and what limiters that have not told may hold;
//! - a limiter holds what it held when it asked last ([`Ask::held`]) until that ask is answered, then what it was granted.
//!   The count takes it to hold the larger of both until it is asked again: a lost answer frees nothing. Lowered units are
//!   free from the next window on; what the limiter has already had of a window that it sees early stands in `held`;
//! - only the answer to a tenant's last ask is used, once, and none from before the last telling. A count passes over
//!   requests that were overtaken, of an earlier life of the limiter, or told to another life of the count. So both sides
//!   see one order of asks, whatever the way does with them, and a view of holders that flips changes nothing;
//! - units that are lost on their way (a grant, or one lent by a neighbour) are spent for the count, and are not given again.
//!
//! **A new holder** of a count does not know what its forerunner granted. It asks all limiters that may hold blocks, which
//! are agreed by ballots; until one has told, the most that it could hold is kept back, and after [`BLOCK`] nothing of it
//! lives. Its windows begin one whole window after the last holder surely ended.
//!
//! Free of I/O; times are those of each machine's own steady clock.
#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};

pub mod count;
pub mod desk;
pub mod escrow;
pub mod pace;

/// A time or a length of time, in microseconds.
pub type Micros = u64;
/// A machine, by its IPv4 address as a number.
pub type Node = u32;

/// Windows that any span of `quota-window` touches, at most.
pub const TOUCHED: u64 = 8;
/// By how much a limiter may hold that a window of the count begins too early: half of an answer's way, and more. Answers
/// that took longer do not tell where windows stand.
pub const SKEW: Micros = 200_000;
/// Part of the bound that is used; the rest covers rounding and repeats.
const USED: f64 = 0.97;

/// The windows of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Length of a window.
    pub length: Micros,
    /// Units that one holds; one is a request.
    pub budget: u32,
}

/// The figures of the quota rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    /// Any span of this length counts.
    pub window: Micros,
    /// Part by which a quota may be passed.
    pub overshoot: f64,
    /// Requests by which it may be passed beside that.
    pub slack: f64,
}

impl Rule {
    /// Length of the windows: [`TOUCHED`] of them, seen [`SKEW`] too early, cover any span of the rule.
    pub fn length(&self) -> Micros {
        (self.window + SKEW) / (TOUCHED - 1) + 1
    }

    /// The windows of a tenant; nothing for one without a limit.
    pub fn span(&self, rate: f64, burst: f64) -> Option<Span> {
        if rate <= 0.0 {
            return None;
        }
        let most = (rate * self.window as f64 / 1e6 + burst) * (1.0 + self.overshoot) + self.slack;
        let budget = (USED * most / TOUCHED as f64).floor().clamp(1.0, 1e9) as u32;
        Some(Span { length: self.length(), budget })
    }
}

/// What a limiter asks of a tenant's count.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Units for each window that are surely used; what was leased beyond is given back.
    #[serde(rename = "b")]
    pub base: u32,
    /// Units for each window that would be good to have.
    #[serde(rename = "w")]
    pub want: u32,
    /// Units for the present window alone.
    #[serde(rename = "e")]
    pub extra: u32,
    /// Units of each window that the limiter still holds, or has had of the one under way. It may go on with them should the
    /// answer be lost.
    #[serde(rename = "h")]
    pub held: u32,
}

/// A block that a limiter holds, for a count that does not know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Units for each window.
    #[serde(rename = "u")]
    pub units: u32,
    /// Units that the window under way has used: more than `units` where those were lowered in it.
    #[serde(rename = "s")]
    pub spent: u32,
    /// For how much longer.
    #[serde(rename = "l")]
    pub left: Micros,
}

/// What a limiter asks of the holder of a group of tenants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The group.
    #[serde(rename = "g")]
    pub group: usize,
    /// What it asks.
    #[serde(rename = "a")]
    pub asks: Vec<Ask>,
    /// All blocks of the group that it holds, where it has not told this count yet.
    #[serde(rename = "i")]
    pub holds: Option<Vec<Block>>,
    /// The life of the count that `holds` is meant for: no other one takes it.
    #[serde(rename = "c")]
    pub term: u64,
    /// The life of the limiter's process.
    #[serde(rename = "l")]
    pub life: u64,
    /// Rises with each request of that life: one that was overtaken counts for nothing.
    #[serde(rename = "n")]
    pub number: u64,
}

/// A count's answer for one tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Units for each window, in place of those of the grant before.
    #[serde(rename = "u")]
    pub units: u32,
    /// Units for the present window alone, on top of what it got before.
    #[serde(rename = "e")]
    pub extra: u32,
    /// What a window held when this was granted.
    #[serde(rename = "b")]
    pub budget: u32,
}

/// Where a count's windows stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Phase {
    /// The life of the count: another one has other windows.
    #[serde(rename = "t")]
    pub term: u64,
    /// The present window's number.
    #[serde(rename = "n")]
    pub window: u64,
    /// What is left of it.
    #[serde(rename = "l")]
    pub left: Micros,
}

/// A holder's answer for a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The group.
    #[serde(rename = "g")]
    pub group: usize,
    /// The life of the count that answers, whether its windows have begun or not.
    #[serde(rename = "c")]
    pub term: u64,
    /// Its windows; those of life 0 have not begun, and will after `left`.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// It does not know what this limiter holds: it has to be told before it grants anything.
    #[serde(rename = "u")]
    pub unknown: bool,
    /// What is granted.
    #[serde(rename = "a")]
    pub grants: Vec<Grant>,
}

/// How long a block lives. Long, as it has to outlast a core that is silent for some seconds.
pub const BLOCK: Micros = 8_000_000;
