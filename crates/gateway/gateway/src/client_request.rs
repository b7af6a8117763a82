//! Checks a client's request all through, free of I/O.

use crate::http::{Framing, Head};
use crate::servers::Forward;
use limeway_quota_policy::{Demand, Effect, Setup};

/// Longest wait that a client may state, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Longest id of a request, in bytes.
const MAX_ID: usize = 128;
/// Headers of a request that go on to servers, beside its length and the time that is left.
const FORWARDED_HEADERS: [&str; 13] = [
    "host",
    "req-id",
    "req-kind",
    "plan",
    "quota-info",
    "req-retry",
    "idempotency-key",
    "content-type",
    "content-encoding",
    "accept",
    "accept-encoding",
    "user-agent",
    "traceparent",
];
/// Customers' numbers lie below this.
const CUSTOMERS: u64 = 1 << 33;

/// Why a request gets no further than the connection: a status, and a line to say what is wrong.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Reject(pub u16, pub &'static str);

/// What a client may ask for.
pub(crate) enum Ask {
    /// Whether this limiter is ready.
    Health,
    /// A request for the module, under the client's own id.
    Demand(Vec<u8>, Demand, Forward),
}

fn text(value: Option<&[u8]>) -> Option<&str> {
    value.and_then(|v| std::str::from_utf8(v).ok()).filter(|v| !v.is_empty())
}

/// Checks a request all through; what passes is fit for the module and for servers.
pub(crate) fn read_request(setup: &Setup, head: &Head, bytes: &[u8], body: Vec<u8>) -> Result<Ask, Reject> {
    let method = &bytes[head.method.clone()];
    let target = text(Some(&bytes[head.target.clone()])).ok_or(Reject(400, "malformed target\n"))?;
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    if path == "/_health" {
        return if method == b"GET" { Ok(Ask::Health) } else { Err(Reject(405, "only GET\n")) };
    }
    let no_path = Reject(404, "no such path\n");
    let Some((kind, rest)) = path.strip_prefix('/').and_then(|p| p.split_once('/')) else {
        return Err(no_path);
    };
    let Some(class) = setup.classes.iter().position(|c| c == kind) else { return Err(no_path) };
    let customer = rest.rsplit('/').next().unwrap_or_default();
    let hex = customer.len() == 16 && customer.bytes().all(|b| b.is_ascii_hexdigit());
    if !hex || u64::from_str_radix(customer, 16).map_or(true, |number| number >= CUSTOMERS) {
        return Err(no_path);
    }
    // Who reads the first of two may not read what a server reads: none of these may stand twice.
    let header = |name| head.only(bytes, name).map_err(|_| Reject(400, "a header stands twice\n"));
    header("host")?;
    if header("req-kind")? != Some(kind.as_bytes()) {
        return Err(Reject(400, "Req-Kind is missing or not the path's class\n"));
    }
    let effect = setup.settings.classes[class].effect;
    let wanted: &[u8] = if effect == Effect::Safe { b"GET" } else { b"POST" };
    if method != wanted {
        return Err(Reject(405, "not the method of this class\n"));
    }
    if effect == Effect::Safe && head.framing != Framing::Length(0) {
        return Err(Reject(400, "a body where there is none\n"));
    }
    let key = header("idempotency-key")?;
    if effect == Effect::Keyed && key.is_none_or(<[u8]>::is_empty) {
        return Err(Reject(400, "Idempotency-Key is missing\n"));
    }
    let id = header("req-id")?.filter(|id| (1..=MAX_ID).contains(&id.len()));
    let id = id.ok_or(Reject(400, "Req-Id is missing or too long\n"))?;
    let plan = text(header("plan")?).and_then(|plan| setup.plans.iter().position(|p| p == plan));
    let plan = plan.ok_or(Reject(400, "Plan is missing or unknown\n"))?;
    let left = text(header("req-deadline-ms")?).and_then(whole);
    let left = left.filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let left = left.ok_or(Reject(400, "Req-Deadline-Ms is missing, no whole number or out of range\n"))?;
    let info = text(header("quota-info")?).and_then(|info| quota_info(setup, info));
    let (units, doors, first) = info.ok_or(Reject(400, "Quota-Info is missing or not valid\n"))?;
    let mut forward = Vec::with_capacity(head.len + 64);
    forward.extend_from_slice(method);
    forward.push(b' ');
    forward.extend_from_slice(target.as_bytes());
    forward.extend_from_slice(b" HTTP/1.1\r\n");
    head.copy_headers(bytes, &FORWARDED_HEADERS, &mut forward);
    let demand = Demand {
        id: 0,
        class,
        plan,
        // Limiters must agree on a customer's name, so one spelling stands for all.
        customer: customer.to_ascii_lowercase(),
        left: left * 1_000,
        units,
        doors,
        first,
    };
    Ok(Ask::Demand(id.to_vec(), demand, Forward { head: forward, body }))
}

/// A whole number in plain digits, without a sign.
fn whole(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Units, doors and the first door, each given once and within its bounds.
fn quota_info(setup: &Setup, info: &str) -> Option<(f64, u32, u32)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in info.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let repeated = match name {
            "units" => units.replace(whole(value)?).is_some(),
            "spread" => spread.replace(u32::try_from(whole(value)?).ok()?).is_some(),
            "first" => first.replace(u32::try_from(whole(value)?).ok()?).is_some(),
            _ => false,
        };
        if repeated {
            return None;
        }
    }
    let (units, spread, first) = (units? as f64, spread?, first?);
    let gateways = setup.settings.gateways;
    let sound = units >= 1.0 && units <= setup.settings.max_units && (1..=gateways).contains(&spread);
    (sound && first < gateways).then_some((units, spread, first))
}
