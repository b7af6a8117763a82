//! The figures of the rules in force.

use crate::error::{invalid, SettingsError};
use crate::fields::{boolean, time};
use error_stack::Report;
use limeway_types::Micros;

/// The figures of the rules in force (`bounds` in the settings file).
#[derive(Debug, Clone, PartialEq)]
pub struct RuleBounds {
    /// Time without faults after which rules with a time bound hold for a machine.
    pub contact: Micros,
    /// A call of the operator is acknowledged within it.
    pub ack_timeout: Micros,
    /// So long after an acknowledged drain a server gets no new requests any more.
    pub drain: Micros,
    /// From SIGTERM to SIGKILL.
    pub grace_period: Micros,
    /// A request that was read and not passed on may lose its connection no later than this after its last byte.
    pub loss_slack: Micros,
    /// A configuration is in force everywhere within it.
    pub config_apply: Micros,
    /// Revoked keys are refused after it, on machines that are cut off too.
    pub revocation: Micros,
    /// Whether `revocation` binds.
    pub revocation_strict: bool,
    /// Retries per request, over `retry_window`.
    pub retry_ratio: f64,
    /// The window that retries are counted over.
    pub retry_window: Micros,
    /// Retries beyond the ratio, all gateways together.
    pub retry_slack: f64,
    /// Any span of this length counts for quotas.
    pub quota_window: Micros,
    /// Part by which a quota may be exceeded.
    pub quota_overshoot: f64,
    /// Requests by which a quota may be exceeded beside it.
    pub quota_slack: f64,
    /// Multiple of `cold-per-s` that a server in slow start may get in a second.
    pub slow_start_overshoot: f64,
    /// Requests beside it.
    pub slow_start_slack: f64,
    /// Longest `ttl` of a directory response that counts.
    pub max_ttl: Micros,
}

impl Default for RuleBounds {
    /// Conservative values for bounds that a file leaves out.
    fn default() -> Self {
        RuleBounds {
            contact: 4_000_000,
            ack_timeout: 6_000_000,
            drain: 2_500_000,
            grace_period: 6_000_000,
            loss_slack: 200_000,
            config_apply: 2_500_000,
            revocation: 5_000_000,
            revocation_strict: true,
            retry_ratio: 0.1,
            retry_window: 10_000_000,
            retry_slack: 0.0,
            quota_window: 5_000_000,
            quota_overshoot: 0.0,
            quota_slack: 0.0,
            slow_start_overshoot: 1.0,
            slow_start_slack: 0.0,
            max_ttl: 2_000_000,
        }
    }
}

impl RuleBounds {
    pub(crate) fn parse(text: &str) -> Result<Self, Report<SettingsError>> {
        let mut bounds = RuleBounds::default();
        for item in text.split(',').filter(|i| !i.is_empty()) {
            let (name, value) =
                item.split_once('=').ok_or_else(|| invalid("bounds", "an item without '='"))?;
            let duration = || time(value).ok_or_else(|| invalid(name, "is no time with a unit"));
            let number = || {
                let number = value.parse::<f64>().ok().filter(|f| f.is_finite() && *f >= 0.0);
                number.ok_or_else(|| invalid(name, "is no figure"))
            };
            match name {
                "contact" => bounds.contact = duration()?,
                "ack-timeout" => bounds.ack_timeout = duration()?,
                "drain" => bounds.drain = duration()?,
                "grace-period" => bounds.grace_period = duration()?,
                "loss-slack" => bounds.loss_slack = duration()?,
                "config-apply" => bounds.config_apply = duration()?,
                "revoke" => bounds.revocation = duration()?,
                "revocation-strict" => {
                    bounds.revocation_strict =
                        boolean(value).ok_or_else(|| invalid(name, "is neither true nor false"))?;
                }
                "retry-budget-ratio" => bounds.retry_ratio = number()?,
                "retry-window" => bounds.retry_window = duration()?,
                "retry-slack" => bounds.retry_slack = number()?,
                "quota-window" => bounds.quota_window = duration()?,
                "quota-overshoot" => bounds.quota_overshoot = number()?,
                "quota-slack" => bounds.quota_slack = number()?,
                "cold-overshoot" => bounds.slow_start_overshoot = number()?,
                "cold-slack" => bounds.slow_start_slack = number()?,
                "ttl_max" => bounds.max_ttl = duration()?,
                _ => {}
            }
        }
        Ok(bounds)
    }
}
