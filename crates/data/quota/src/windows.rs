//! Windows of a quota: their length, and what they hold.

use limeway_types::Micros;

/// Upper bound on the windows that any span of `quota-window` touches.
pub const WINDOWS_PER_SPAN: u64 = 8;
/// By how much a gateway may see a window of the counter begin too early: half of a round trip, and more. Answers that took longer do
/// not tell where windows are.
pub const MAX_SKEW: Micros = 200_000;
/// Part of the bound that is used; the rest covers rounding and retries.
const BUDGET_UTILIZATION: f64 = 0.97;
/// Most units that a window may hold.
const MAX_BUDGET: f64 = 1e9;

/// The windows of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowBudget {
    /// Length of a window.
    pub length: Micros,
    /// Units that a window holds; one unit is one request.
    pub budget: u32,
}

/// The figures of the quota rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRule {
    /// Any span of this length counts (`quota-window`).
    pub span: Micros,
    /// Part by which a quota may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded beside that.
    pub slack: f64,
}

impl QuotaRule {
    /// Length of the windows: [`WINDOWS_PER_SPAN`] of them, seen [`MAX_SKEW`] too early, cover any span of the rule.
    pub fn window_length(&self) -> Micros {
        (self.span + MAX_SKEW) / (WINDOWS_PER_SPAN - 1) + 1
    }

    /// The windows of a tenant, by its rate in requests a second and its burst; none for one without a limit.
    pub fn window_budget(&self, rate: f64, burst: f64) -> Option<WindowBudget> {
        if rate <= 0.0 {
            return None;
        }
        let allowed = (rate * self.span as f64 / 1e6 + burst) * (1.0 + self.overshoot) + self.slack;
        let budget = BUDGET_UTILIZATION * allowed / WINDOWS_PER_SPAN as f64;
        let budget = budget.floor().clamp(1.0, MAX_BUDGET) as u32;
        Some(WindowBudget { length: self.window_length(), budget })
    }
}
