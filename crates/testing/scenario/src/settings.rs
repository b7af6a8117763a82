//! The day as the platform words it: the settings object and the configuration of one limiter.

use crate::day::Day;
use crate::draw::most_units;
use crate::file::Effect;
use serde_json::{json, Value};

/// Time in which a connection to a node must come up, in microseconds.
pub const DIAL_US: u64 = 250_000;
/// Time beyond a try's patience in which an answer still counts, in microseconds.
pub const ANSWER_SLACK_US: u64 = 16_000;
/// Least time between two events of the module, in microseconds.
const ROUND_US: u64 = 4_000;

/// Name of a room.
pub fn room(number: u32) -> String {
    match u8::try_from(number) {
        Ok(n) if n < 26 => format!("sala-{}", char::from(b'a' + n)),
        _ => format!("sala-{number}"),
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// The settings object of a limiter.
pub fn settings(day: &Day, limiter: u32) -> Value {
    let s = &day.scenario;
    let rooms: Vec<String> = (0..s.fleet.rooms).map(room).collect();
    let classes: Vec<Value> = s
        .class
        .iter()
        .map(|c| {
            let effect = match c.effect {
                Effect::Safe => "pure",
                Effect::Keyed => "token",
                Effect::Unsafe => "side_effect",
            };
            json!({
                "name": c.name, "effect": effect, "key-scope": "all", "streamed": false,
                "goal-time": micros(c.aim_seconds), "deadline": micros(c.deadline_seconds),
                "window": micros(s.rules.key_seconds), "worth": c.worth, "late-worth": 0.0,
            })
        })
        .collect();
    let plans: Vec<Value> = s
        .plan
        .iter()
        .zip(&day.plans)
        .map(|(p, f)| {
            json!({
                "name": p.name, "per-second": f.rate, "store-size": f.burst, "pays": p.pays,
                "over-cost": p.over_cost, "extra-worth": 0.0, "at-once": 0,
                "cap-rate": f.ceiling_rate, "hard-burst": f.ceiling_burst, "tolerance": f.ceiling_slack,
            })
        })
        .collect();
    let cold_from = day.nodes.iter().map(|n| n.cold_from).fold(1.0, f64::min);
    let cold = day.nodes.iter().map(|n| n.cold_us).max().unwrap_or(0);
    let idle = day.nodes.iter().map(|n| n.idle_us).min().unwrap_or(0);
    json!({
        "balancers": s.fleet.limiters, "me": limiter, "family": "gate", "discovery": "push",
        "failure-domains": rooms, "zone": room(day.room_of(limiter)),
        "clients": {"marks-retry": true}, "round": ROUND_US, "tier": 0, "tiers": ["nodes"],
        "weight-kind": "rough", "shapes": ["node"], "telemetry": {"fields": [], "how": "silent"},
        "family-info": {
            "may-count": true, "count-limit": micros(s.counter.limit_ms / 1e3), "count-fee": 0.005,
            "max-units": most_units(s), "peer-intake": s.peers.per_second, "post-paid": false, "use-period": 0,
        },
        "permissions": {
            "cancel": true, "dial-timeout": DIAL_US, "keepalive": idle,
            "max-attempts": s.rules.max_attempts, "max-retry-after": micros(s.clients.advice_most_ms / 1e3),
            "may-duplicate": false, "may-tell": s.fleet.limiters > 1, "open-cap": 20_000, "probing": false,
            "retry-after": true, "streams-per-conn": 1,
        },
        "plans": plans, "profiles": classes,
        "rules": {
            "answer-slack": ANSWER_SLACK_US, "cold": cold, "cold-from": cold_from,
            "drain-grace": micros(s.rules.drain_grace_seconds), "fall": micros(s.rules.fall_seconds),
            "fall-multiple": s.rules.fall_multiple, "must-ask-in": 10_000_000,
        },
    })
}
