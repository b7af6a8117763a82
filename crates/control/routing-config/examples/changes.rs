//! What a change costs: time to check an order, to apply it and to make the snapshot, and bytes of its operation.
//!
//!     cargo run --release -p limeway-routing-config --example changes
//!     cargo run --release -p limeway-routing-config --example changes -- 2000 47000    memory instead

use limeway_routing_config::config_update::ConfigUpdate;
use limeway_routing_config::{Operation, RoutingSnapshot, State};
use std::time::{Duration, Instant};

/// Changes measured for each size.
const CHANGES: u32 = 20;

fn route(n: usize, timeout: u32) -> String {
    format!("{{\"resource-kind\":\"routes\",\"metadata\":{{\"name\":\"r-{n:07}\"}},\"specification\":{{\"hostname\":\"h{}.example\",\"path-prefix\":\"/p{n}/\",\"route-type\":\"idempotent\",\"timeout\":\"{timeout}ms\",\"target-latency\":\"500ms\",\"priority\":2,\"target-service\":\"s{}\",\"max-attempts\":2,\"public\":false,\"allowed-regions\":[]}}}}", n % 5, n % 170)
}

fn whole(version: u32, routes: usize, tenants: usize, timeout: impl Fn(usize) -> u32) -> String {
    let service = |n| {
        format!("{{\"resource-kind\":\"services\",\"metadata\":{{\"name\":\"s{n}\"}},\"specification\":{{\"health-path\":\"/health\",\"max-connections\":110,\"cold-start\":\"3s\",\"cold-per-s\":22.0}}}}")
    };
    let tenant = |n| {
        format!("{{\"resource-kind\":\"tenants\",\"metadata\":{{\"name\":\"t{n:06}\"}},\"specification\":{{\"api-keys\":[\"key{n:017}\",\"yek{n:017}\"],\"priority\":0,\"rate-per-s\":5,\"burst-size\":5,\"allowed-regions\":[]}}}}")
    };
    let items: Vec<String> = (0..170)
        .map(service)
        .chain((0..routes).map(|n| route(n, timeout(n))))
        .chain((0..tenants).map(tenant))
        .collect();
    format!(
        "{{\"config-version\":\"{version:08x}\",\"base-version\":\"{:08x}\",\"resource-list\":[{}]}}",
        version - 1,
        items.join(",")
    )
}

fn update(version: u32, item: &str) -> String {
    format!(
        "{{\"config-version\":\"{version:08x}\",\"base-version\":\"{:08x}\",\"upsert\":{{\"resource-list\":[{item}]}}}}",
        version - 1
    )
}

fn timed<T>(sum: &mut Duration, work: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let done = work();
    *sum += start.elapsed();
    done
}

/// Memory of the process in KB: now, and at most so far.
fn memory() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|l| l.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    (field("VmRSS").unwrap_or(0), field("VmHWM").unwrap_or(0))
}

/// A state as a machine reads it, its snapshot, and changes of one route each.
fn held(routes: usize, tenants: usize) {
    let before = memory().0;
    let op = Operation::from(
        ConfigUpdate::parse(whole(1, routes, tenants, |_| 1_200).as_bytes(), true).expect("form"),
    );
    let mut state = State::default();
    state.apply(&op);
    drop(op);
    let mut plan = state.snapshot_from(&RoutingSnapshot::default()).expect("plan");
    let first = memory();
    for version in 2..2 + CHANGES {
        let order = update(version, &route(version as usize, 1_200 + version));
        state.apply(&Operation::from(ConfigUpdate::parse(order.as_bytes(), false).expect("form")));
        plan = state.snapshot_from(&plan).expect("plan");
    }
    println!(
        "{routes} routes, {tenants} tenants: KB before, with the first (at most), after changes (at most)"
    );
    println!("{before} {first:?} {:?} of version {}", memory(), plan.version);
}

fn main() {
    let args: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    if let [routes, tenants] = args[..] {
        return held(routes, tenants);
    }
    println!(
        "routes tenants | order          | read us | check us | apply us | plan us | bytes of the operation"
    );
    for (routes, tenants) in [(100, 20), (1_500, 20), (2_000, 47_000)] {
        for (is_whole, changed) in [(false, 1), (true, 20), (true, routes)] {
            let mut state = State::default();
            let first =
                ConfigUpdate::parse(whole(1, routes, tenants, |_| 1_200).as_bytes(), true).expect("form");
            state.check(&first).expect("valid");
            state.apply(&Operation::from(first));
            let mut plan = state.snapshot_from(&RoutingSnapshot::default()).expect("plan");
            let (mut read, mut check, mut apply, mut make) = Default::default();
            let mut bytes = 0;
            for version in 2..2 + CHANGES {
                let (n, timeout) = (version as usize, 1_200 + version);
                let text = if is_whole {
                    whole(version, routes, tenants, |r| if r < changed { timeout } else { 1_200 })
                } else {
                    update(version, &route(n, timeout))
                };
                let order =
                    timed(&mut read, || ConfigUpdate::parse(text.as_bytes(), is_whole)).expect("form");
                let op = timed(&mut check, || state.admit(&order, &plan)).expect("valid");
                if let Operation::UpdateConfig { upserts: set, removals: drop, .. } = &op {
                    bytes += set.iter().map(|i| i.name.len() + i.spec.len()).sum::<usize>() + drop.len() * 20;
                }
                timed(&mut apply, || state.apply(&op));
                plan = timed(&mut make, || state.snapshot_from(&plan)).expect("plan");
            }
            let us = |sum: Duration| sum.as_micros() / u128::from(CHANGES);
            println!(
                "{routes:6} {tenants:7} | {:14} | {:7} | {:8} | {:8} | {:7} | {}",
                format!("{changed} {}", if is_whole { "by whole" } else { "alone" }),
                us(read),
                us(check),
                us(apply),
                us(make),
                bytes / CHANGES as usize
            );
            assert_eq!(plan, state.compile_snapshot().expect("anew"));
        }
    }
}
