//! Differences add up to the whole state, ages only ever add up, and the tree forms again.

mod common;

use common::{poll, report};
use limeway_distribution::{encode, relay_tree, Member, StateCache};
use limeway_routing_config::Operation;
use limeway_service_registry::Phase;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

/// A limiter that is fed differences, one that misses most of them, and one that comes late all end with the same.
#[rstest]
fn differences_lead_to_the_same_as_the_whole() {
    let mut core = StateCache::new(7);
    let mut limiters: Vec<(StateCache, (u64, u64, u64), u64)> =
        [1, 13, 400].map(|every| (StateCache::new(every), (0, 0, 0), every)).into();
    for step in 1..=400u64 {
        let now = 1_000_000 * step;
        core.confirmed_at = now;
        core.apply_operation(&encode(&Operation::Evacuate {
            zone: format!("z{}", step % 7),
            starts: step % 3 > 0,
            call_id: 0,
            retry_of: 0,
            taken_by: None,
        }));
        core.registry
            .observe(now, &report(step % 40, step, if step % 11 == 0 { Phase::Gone } else { Phase::Ready }));
        core.set_members(vec![(step as u32 % 5, "z".to_owned()).into()]);
        for (cache, (epoch, servers, members), every) in &mut limiters {
            if step % *every == 0 {
                // What is not sent with one response is sent with the next ones.
                while cache.state.slot < core.state.slot {
                    let asked = poll(cache, *epoch, *servers, *members);
                    let response = core.respond(now, &asked, 0);
                    (*epoch, *servers, *members) =
                        (response.incarnation, response.registry_revision, response.members_revision);
                    cache.apply_response(now, now, asked.request.slot, response);
                }
            }
        }
    }
    let live = |b: &StateCache| -> BTreeMap<String, Phase> {
        let servers = b
            .registry
            .servers()
            .iter()
            .filter(|(_, s)| s.phase != Phase::Gone && !s.unresponsive && !s.unlisted);
        servers.map(|(id, s)| (id.clone(), s.phase)).collect()
    };
    for (cache, _, every) in &limiters {
        if 400 % every == 0 {
            assert_eq!(cache.state, core.state, "every {every}");
            assert_eq!(cache.members(), core.members());
            assert_eq!(live(cache), live(&core), "every {every}");
        }
    }
}

#[rstest]
fn nobody_is_surer_than_the_source_was() {
    let (mut core, mut relay, mut limiter) = (StateCache::new(1), StateCache::new(2), StateCache::new(3));
    core.confirmed_at = 50_000_000;
    // Each clock has its own origin; the relay asked at 10 s of its clock, was held 0.5 s, and has the answer at 10.6 s.
    let response = core.respond(50_900_000, &poll(&relay, 0, 0, 0), 500_000);
    relay.apply_response(10_600_000, 10_000_000, 0, response);
    assert_eq!(relay.confirmed_at, 10_500_000 - 900_000);
    let response = relay.respond(11_000_000, &poll(&limiter, 0, 0, 0), 0);
    limiter.apply_response(77_000_000, 76_900_000, 0, response);
    assert_eq!(limiter.confirmed_at, 76_900_000 - 1_400_000);
    // An older word does not take confirmation back.
    let response = StateCache::new(4).respond(0, &poll(&limiter, 0, 0, 0), 0);
    limiter.apply_response(78_000_000, 77_900_000, 0, response);
    assert_eq!(limiter.confirmed_at, 76_900_000 - 1_400_000);
}

#[rstest]
fn a_version_never_goes_back() {
    let (mut new, mut old) = (StateCache::new(1), StateCache::new(2));
    for n in 0..3 {
        new.apply_operation(&encode(&Operation::SetGateways { add: vec![n], remove: vec![] }));
    }
    old.apply_operation(&encode(&Operation::SetGateways { add: vec![0], remove: vec![] }));
    let before = new.state.clone();
    let response = old.respond(0, &poll(&new, 0, 0, 0), 0);
    new.apply_response(0, 0, 3, response);
    assert_eq!(new.state, before);
}

/// With any tenth of a zone gone, all others still reach the core, in few steps, and no relay has too many below it.
#[rstest]
#[case(1)]
#[case(9)]
#[case(96)]
#[case(200)]
fn the_tree_forms_without_any_tenth_of_it(#[case] limiters: u32) {
    let core = [1_000_001, 1_000_002, 1_000_003];
    let members: Vec<Member> = (0..limiters).map(|n| (n, "zone".to_owned()).into()).collect();
    for lost in [0u32, 3, 9] {
        let gone: BTreeSet<u32> = (0..limiters).filter(|n| n % 10 == lost && limiters > 1).collect();
        let failed: Vec<u32> = gone.iter().copied().collect();
        let mut below: BTreeMap<u32, usize> = BTreeMap::new();
        for me in (0..limiters).filter(|n| !gone.contains(n)) {
            let (mut at, mut steps) = (me, 0);
            while !core.contains(&at) {
                let above = relay_tree::upstreams(at, "zone", &members, &core, &failed)[0];
                if steps == 0 {
                    *below.entry(above).or_default() += 1;
                }
                (at, steps) = (above, steps + 1);
                assert!(steps <= 4, "{me} is {steps} steps and more from the core");
            }
        }
        assert!(below.values().all(|n| *n <= relay_tree::FAN_OUT), "{below:?}");
    }
}

/// Sixteen below a relay that all want all servers must not fill its link.
#[rstest]
fn a_full_list_goes_compressed_and_is_read_as_it_was() {
    let mut core = StateCache::new(7);
    core.confirmed_at = 1_000_000;
    for n in 1..=300 {
        core.registry.observe(1_000_000, &report(n, n, Phase::Ready));
    }
    let response = core.respond(1_000_000, &poll(&StateCache::relay(1), 0, 0, 0), 0);
    let bytes = encode(&response);
    assert!(bytes.len() < encode(&response.servers).len() / 4, "{} bytes", bytes.len());
    assert_eq!(limeway_distribution::decode::<limeway_distribution::UpdateResponse>(&bytes), Some(response));
}
