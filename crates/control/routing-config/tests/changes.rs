//! Orders as differences and snapshots made from the last one: the same as taking each whole, in any sequence of changes.

use limeway_routing_config::config_update::ConfigUpdate;
use limeway_routing_config::{Operation, RoutingSnapshot, State};
use rstest::rstest;
use std::rc::Rc;

/// A generator of numbers that any seed starts.
struct Draw(u64);

impl Draw {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((z ^ (z >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 32) % most
    }

    fn item(&mut self) -> String {
        let (kind, n) =
            (["routes", "routes", "services", "tenants", "limits"][self.below(5) as usize], self.below(6));
        let specification = match kind {
            "routes" => format!(
                "\"hostname\":\"h{}\",\"path-prefix\":\"/{}\",\"route-type\":\"idempotent\",\"timeout\":\"{}ms\",\"target-service\":\"n{}\"",
                self.below(2),
                ["", "a/", "a/b/", "b/"][self.below(4) as usize],
                self.below(12),
                self.below(6)
            ),
            "tenants" => format!("\"api-keys\":[\"k{}\",\"k{}\"],\"rate-per-s\":{}", n * 2, n * 2 + self.below(3), self.below(3)),
            "limits" => format!("\"max-body-bytes\":{}", self.below(4)),
            _ => format!("\"max-connections\":{}", self.below(3)),
        };
        // Limits may come under any name, and are one item all the same.
        format!("{{\"resource-kind\":\"{kind}\",\"metadata\":{{\"name\":\"n{n}\"}},\"specification\":{{{specification}}}}}")
    }

    fn order(&mut self, base: u32) -> ConfigUpdate {
        let version = base + 1 + self.below(3) as u32;
        let versions = format!("\"config-version\":\"{version:08x}\",\"base-version\":\"{base:08x}\"");
        let whole = self.below(3) == 0;
        let items: Vec<String> = (0..self.below(if whole { 14 } else { 4 })).map(|_| self.item()).collect();
        let list = format!("\"resource-list\":[{}]", items.join(","));
        let text = if whole {
            format!("{{{versions},{list}}}")
        } else {
            let kind = ["routes", "services", "tenants", "limits"][self.below(4) as usize];
            let remove = format!("\"remove\":{{\"{kind}\":[\"n{}\",\"n{}\"]}}", self.below(6), self.below(6));
            format!("{{{versions},\"upsert\":{{{list}}},{remove}}}")
        };
        ConfigUpdate::parse(text.as_bytes(), whole).expect("form")
    }
}

#[rstest]
fn any_sequence_of_changes_makes_what_each_makes_whole() {
    let (mut taken, mut refused) = (0, 0);
    for seed in 0..100 {
        let mut draw = Draw(seed);
        // By differences; whole; and one that looks seldom, and then takes the whole state.
        let (mut state, mut twin, mut late) = (State::default(), State::default(), State::default());
        let (mut snapshot, mut late_snapshot) = (RoutingSnapshot::default(), RoutingSnapshot::default());
        for _ in 0..30 {
            let order = draw.order(state.version);
            let (checked, admitted) = (state.check(&order), state.admit(&order, &snapshot));
            assert_eq!(checked.as_ref().err(), admitted.as_ref().err(), "seed {seed}");
            let (Ok(checked), Ok(op)) = (checked, admitted) else {
                refused += 1;
                continue;
            };
            taken += 1;
            state.apply(&op);
            twin.apply(&Operation::from(order));
            assert_eq!((&state, state.document()), (&twin, twin.document()), "seed {seed}");
            if draw.below(3) > 0 {
                // From another one than the last it is made anew.
                let last = if draw.below(9) == 0 { &RoutingSnapshot::default() } else { &snapshot };
                snapshot = state.snapshot_from(last).expect("plan");
                assert_eq!(snapshot, state.compile_snapshot().expect("anew"), "seed {seed}");
                assert_eq!(snapshot, checked, "seed {seed}");
            }
            if draw.below(6) == 0 {
                late.install(twin.clone());
                late_snapshot = late.snapshot_from(&late_snapshot).expect("plan");
                assert_eq!(late_snapshot, late.compile_snapshot().expect("anew"), "seed {seed}");
            }
        }
    }
    assert!(taken > 500 && refused > 500, "{taken} taken, {refused} refused");
}

const SERVICE: &str = r#"{"resource-kind":"services","metadata":{"name":"s"},"specification":{}}"#;

fn routes(version: u32, timeout: impl Fn(u32) -> u32) -> ConfigUpdate {
    let route = |n: u32| {
        let timeout = timeout(n);
        format!(",{{\"resource-kind\":\"routes\",\"metadata\":{{\"name\":\"r{n}\"}},\"specification\":{{\"hostname\":\"h\",\"path-prefix\":\"/{n}/\",\"route-type\":\"idempotent\",\"timeout\":\"{timeout}ms\",\"target-service\":\"s\"}}}}")
    };
    let list: String = (0..1_500).map(route).collect();
    let base = version - 1;
    let text = format!("{{\"config-version\":\"{version:08x}\",\"base-version\":\"{base:08x}\",\"resource-list\":[{SERVICE}{list}]}}");
    ConfigUpdate::parse(text.as_bytes(), true).expect("form")
}

fn parts(op: &Operation) -> (bool, usize, usize) {
    match op {
        Operation::UpdateConfig { replace: whole, upserts: set, removals: drop, .. } => {
            (*whole, set.len(), drop.len())
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
fn a_whole_order_of_1500_routes_goes_as_the_few_that_differ_and_shares_the_rest() {
    let mut state = State::default();
    let first = state.minimal_operation(&routes(1, |_| 900));
    assert_eq!(parts(&first), (true, 1_501, 0), "the first differs in all: it stays whole");
    state.apply(&first);
    let before = state.snapshot_from(&RoutingSnapshot::default()).expect("plan");
    let order = routes(2, |n| 900 + n / 1_498);
    let op = state.admit(&order, &before).expect("valid");
    assert_eq!(parts(&op), (false, 2, 0));
    state.apply(&op);
    assert!(state.has_applied(&order), "it is known by the order's own digest");
    let after = state.snapshot_from(&before).expect("plan");
    let same = |path: &str| {
        let of = |snapshot: &RoutingSnapshot| snapshot.route("h", path).expect("route").clone();
        Rc::ptr_eq(&of(&before), &of(&after))
    };
    assert!(same("/7/x") && !same("/1499/x"));
    assert!(Rc::ptr_eq(before.services.get("s").expect("s"), after.services.get("s").expect("s")));
}
