//! The directory: which limiters a client should go to.

use limeway_settings::Settings;
use limeway_types::{Micros, SECOND};
use std::net::SocketAddrV4;

/// Upper bound on the addresses in a response.
const MAX_ADDRESSES: usize = 64;
/// How long a response may be cached.
const TTL: Micros = 2 * SECOND;

/// How far a limiter is from a client; less is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// The value of a parameter in a query string.
pub(crate) fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Answers `/-/resolve` from the limiters that can serve, given by their zones. Nothing if none is known.
pub(crate) fn resolve<'a>(
    settings: &Settings,
    frontends: impl Iterator<Item = (&'a str, SocketAddrV4)>,
    parameters: &str,
) -> Option<String> {
    let zone = query(parameters, "zone").unwrap_or("");
    let region = query(parameters, "region").unwrap_or("");
    let zones = &settings.zones;
    let distance = |at: &str| {
        let region_of = zones.get(at).map_or("", String::as_str);
        if at == zone {
            Distance::SameZone
        } else if region_of == region || zones.get(zone).is_some_and(|r| r == region_of) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    };
    let mut all: Vec<(Distance, SocketAddrV4)> =
        frontends.map(|(zone, address)| (distance(zone), address)).collect();
    all.sort_unstable();
    // All of the client's region if it has any, not just its zone: should one limiter be lost, others are left.
    let farthest = all.first()?.0.max(Distance::SameRegion);
    let near = all.iter().filter(|(distance, _)| *distance <= farthest).take(MAX_ADDRESSES);
    let addresses: Vec<String> = near.map(|(_, address)| format!("\"{address}\"")).collect();
    let ttl = TTL.min(settings.bounds.max_ttl) / 1_000;
    Some(format!("{{\"addresses\":[{}],\"ttl\":\"{ttl}ms\"}}", addresses.join(",")))
}
