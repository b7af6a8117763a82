//! Where a client should go: the limiters near it that can serve.

use limeway_settings::Settings;
use std::net::SocketAddrV4;

/// Addresses in an answer, at most.
const ADDRESSES_MOST: usize = 64;
/// An answer may be kept for so long, in microseconds.
const TTL: u64 = 2_000_000;

/// The value of a name in a query.
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// Answers `/-/resolve` from limiters that can serve, by their zones. Nothing where none is known.
pub fn resolve<'a>(
    settings: &Settings,
    members: impl Iterator<Item = (&'a str, SocketAddrV4)>,
    rest: &str,
) -> Option<String> {
    let (zone, region) = (query(rest, "zone").unwrap_or(""), query(rest, "region").unwrap_or(""));
    let zones = &settings.zones;
    let distance = |at: &str| {
        let region_of = zones.get(at).map_or("", String::as_str);
        if at == zone {
            0
        } else if region_of == region || zones.get(zone).is_some_and(|r| r == region_of) {
            1
        } else {
            2
        }
    };
    let mut all: Vec<(u8, SocketAddrV4)> = members.map(|(at, front)| (distance(at), front)).collect();
    all.sort_unstable();
    // The client's region, where it has any: with one limiter there lost, others are left.
    let most = if all.first()?.0 <= 1 { 1 } else { 2 };
    let near = all.iter().filter(|(d, _)| *d <= most).take(ADDRESSES_MOST);
    let addresses: Vec<String> = near.map(|(_, a)| format!("\"{a}\"")).collect();
    let ttl = TTL.min(settings.bounds.ttl_most) / 1_000;
    Some(format!("{{\"addresses\":[{}],\"ttl\":\"{ttl}ms\"}}", addresses.join(",")))
}
