//! Reads the settings object that a gateway is given at start; the adapter and the program share it.
//! No I/O and no decisions.

use crate::interface::*;
use serde_json::Value;
use std::fmt;

/// Why a settings object cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetupError {
    /// Where in the object.
    pub key: String,
    /// What is wrong there.
    pub reason: String,
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for SetupError {}

/// The settings object: what the module needs, the names behind its indices, and figures for sockets.
#[derive(Debug, Clone, PartialEq)]
pub struct Setup {
    /// What the module is told.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// A connection to a server that is not made by then has failed.
    pub dial_timeout: Micros,
    /// A server closes idle connections after this time at the latest.
    pub keepalive: Micros,
}

fn num(v: &Value, key: &str) -> f64 {
    v.get(key).and_then(Value::as_f64).unwrap_or_default()
}

fn time(v: &Value, key: &str) -> Micros {
    num(v, key).max(0.0) as Micros
}

fn flag(v: &Value, key: &str) -> bool {
    v.get(key).and_then(Value::as_bool).unwrap_or_default()
}

fn text<'a>(v: &'a Value, key: &str) -> &'a str {
    v.get(key).and_then(Value::as_str).unwrap_or_default()
}

fn rows<'a>(v: &'a Value, key: &str) -> &'a [Value] {
    v.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn names(v: &Value, key: &str) -> Vec<String> {
    rows(v, key).iter().map(|r| text(r, "name").to_owned()).collect()
}

fn class(v: &Value) -> Result<Class, SetupError> {
    let effect = match text(v, "effect") {
        "pure" => Effect::Safe,
        "token" => Effect::Keyed,
        "side_effect" => Effect::Unsafe,
        other => {
            let reason = format!("unknown effect: {other}");
            return Err(SetupError { key: "profiles[].effect".into(), reason });
        }
    };
    let scope = match text(v, "key-scope") {
        "zone" => Scope::Zone,
        "cell" => Scope::Cell,
        _ => Scope::All,
    };
    Ok(Class { aim: time(v, "goal-time"), effect, scope, window: time(v, "window"), worth: num(v, "worth") })
}

impl Setup {
    /// Reads the object. Keys that are absent stand for nought; those that are not known are passed over.
    pub fn read(v: &Value) -> Result<Self, SetupError> {
        let zones: Vec<String> =
            rows(v, "failure-domains").iter().filter_map(Value::as_str).map(str::to_owned).collect();
        let (allow, rules, info) = (&v["permissions"], &v["rules"], &v["family-info"]);
        let settings = Settings {
            gateways: num(v, "balancers").max(1.0) as u32,
            me: num(v, "me") as u32,
            zone: zones.iter().position(|z| z == text(v, "zone")).unwrap_or_default(),
            round: time(v, "round"),
            ask: text(v, "discovery") == "ask",
            classes: rows(v, "profiles").iter().map(class).collect::<Result<_, _>>()?,
            plans: rows(v, "plans")
                .iter()
                .map(|p| Plan {
                    rate: num(p, "per-second"),
                    burst: num(p, "store-size"),
                    open: num(p, "at-once"),
                    price: num(p, "pays"),
                    ceiling_rate: num(p, "cap-rate"),
                    ceiling_burst: num(p, "hard-burst"),
                    ceiling_slack: num(p, "tolerance"),
                })
                .collect(),
            max_units: num(info, "max-units"),
            permissions: Permissions {
                cancel: flag(allow, "cancel"),
                second_copies: flag(allow, "may-duplicate"),
                max_attempts: num(allow, "max-attempts") as u32,
                max_retry_after: time(allow, "max-retry-after"),
                retry_after: flag(allow, "retry-after"),
                peers: flag(allow, "may-tell"),
            },
            counter: flag(info, "may-count").then(|| CounterSettings { limit: time(info, "count-limit") }),
            rules: Rules {
                cold: time(rules, "cold"),
                cold_from: num(rules, "cold-from"),
                fall: time(rules, "fall"),
                fall_multiple: num(rules, "fall-multiple"),
                ask_within: time(rules, "must-ask-in"),
            },
        };
        Ok(Setup {
            settings,
            classes: names(v, "profiles"),
            plans: names(v, "plans"),
            zones,
            dial_timeout: time(allow, "dial-timeout"),
            keepalive: time(allow, "keepalive"),
        })
    }
}
