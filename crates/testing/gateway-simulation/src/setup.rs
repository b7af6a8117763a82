//! Who takes part in a day: the settings of the gateways, and the customers.

use crate::judge::{Account, Quota, BEYOND, CLOSE};
use crate::{Micros, SECOND};
use limeway_quota_policy::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Time after which a call to the counter is given up.
pub(crate) const CALL_LIMIT: Micros = 80_000;
/// Units of the largest request.
pub(crate) const MAX_UNITS: u32 = 2;
/// From one spell of a customer that asks in spells to the next.
pub(crate) const SPELL: Micros = 4 * SECOND;
/// The time at which a day begins: the module's clock is far from 0.
pub(crate) const BEGIN: Micros = 1_000 * SECOND;

/// A customer, and what it may have.
pub(crate) struct Customer {
    pub name: String,
    pub plan: usize,
    pub first: u32,
    pub doors: u32,
    /// Requests a second.
    pub asks: f64,
    /// Part of its requests that comes through its first door; the others share the rest.
    pub lean: f64,
    /// Asks for one second in [`SPELL`] only, and then through all its doors alike: its quota and its ceiling have filled
    /// up by then, and are drawn on at once.
    pub spells: bool,
    /// All come through this door, by a fault.
    pub door: Option<u32>,
    pub account: Account,
    /// Within its quota, close to it, or far beyond it.
    pub group: usize,
}

/// Ceilings over quotas that days draw from. With those under 1 the ceiling binds before the quota does, so that
/// customers press it; the last is as sites have it.
pub(crate) const CEILINGS: [f64; 3] = [0.6, 2.0, 2.0];

/// A plan of one or two units a window, two usual ones, and one with a ceiling.
fn plans(ceiling: f64) -> Vec<Plan> {
    let plan = |rate: f64, burst: f64, ceiling: f64| Plan {
        rate,
        burst,
        open: 0.0,
        price: 1.0,
        ceiling_rate: rate * ceiling,
        ceiling_burst: burst * ceiling,
        ceiling_slack: 0.1 * burst * ceiling,
    };
    vec![
        plan(0.4, 1.0, 0.0),
        plan(1.3, 5.0, 0.0),
        plan(4.0, 16.0, 0.0),
        plan(16.0, 32.0, ceiling),
        plan(16.0, 32.0, ceiling),
    ]
}

pub(crate) fn settings(gateways: u32, ceiling: f64) -> Settings {
    let class = |effect, window| Class { aim: 500_000, effect, scope: Scope::All, window, worth: 1.0 };
    Settings {
        gateways,
        me: 0,
        zone: 0,
        round: 4_000,
        ask: false,
        classes: vec![class(Effect::Safe, 0), class(Effect::Keyed, 8 * SECOND)],
        plans: plans(ceiling),
        max_units: f64::from(MAX_UNITS),
        permissions: Permissions {
            cancel: true,
            second_copies: false,
            max_attempts: 3,
            max_retry_after: SECOND,
            retry_after: true,
            peers: true,
        },
        counter: Some(CounterSettings { limit: CALL_LIMIT }),
        rules: Rules {
            cold: 10 * SECOND,
            cold_from: 0.2,
            fall: 2 * SECOND,
            fall_multiple: 4.0,
            ask_within: 0,
        },
    }
}

pub(crate) fn customer(number: usize, gateways: u32, settings: &Settings, rng: &mut ChaCha8Rng) -> Customer {
    let plan = rng.random_range(0..settings.plans.len());
    let p = &settings.plans[plan];
    let name = format!("{:016x}", rng.random::<u64>() >> 31);
    let windows = Windows::of(p, settings.max_units, &name, plan);
    let mean = f64::from(1 + MAX_UNITS) / 2.0;
    let group = 2 - number % 3;
    let times = match group {
        BEYOND => rng.random_range(2.0..6.0),
        CLOSE => rng.random_range(0.85..1.0),
        _ => rng.random_range(0.2..0.6),
    };
    let ceiling = if p.ceiling_rate > 0.0 {
        // As the site words it: a tenth of the burst or the largest request, and what 150 ms bring.
        let slack = (0.1 * p.ceiling_burst).max(f64::from(MAX_UNITS)) + 0.15 * p.ceiling_rate;
        (p.ceiling_rate, p.ceiling_burst, slack)
    } else {
        (0.0, 0.0, 0.0)
    };
    // Under a ceiling less is leased of a window than the quota allows.
    let Windows { length, phase, reach: budget, .. } = windows;
    let quota = Quota { rate: p.rate, burst: p.burst, window: length, phase, budget, ceiling };
    let mut account = Account::new(quota);
    // The account's clock begins with the day's.
    account.asks(BEGIN, 0.0);
    let spells = group == BEYOND && rng.random();
    let (first, doors) = (rng.random_range(0..gateways), rng.random_range(2.min(gateways)..=gateways));
    let lean = rng.random_range(0.3..1.0);
    Customer {
        name,
        plan,
        first,
        doors,
        asks: p.rate / mean * times * if spells { 2.0 } else { 1.0 },
        lean: if spells { 1.0 / f64::from(doors) } else { lean },
        spells,
        door: None,
        account,
        group,
    }
}
