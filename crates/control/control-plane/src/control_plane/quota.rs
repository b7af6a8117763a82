//! The authoritative counters of the shards held here, and what is leased of them.

use super::ControlPlane;
use crate::messages::Reply;
use limeway_consensus::NodeId;
use limeway_invariants::{check, Invariant};
use limeway_membership::{shard_of, ROLE_LEASE, SHARDS};
use limeway_quota::counter::Counter;
use limeway_quota::QuotaRequest;

impl ControlPlane {
    /// Starts the counter of a shard that is newly held. It begins a whole window after the last lease, which expired at the latest when
    /// this one began, or before this process started. So does the very first one: the first holder cannot be told from one that has
    /// just come back.
    pub(crate) fn start_counter(&mut self, shard: usize) {
        let window = self.options.quota_rule.window_length();
        let starting = self.now < self.started + ROLE_LEASE;
        let begins = if starting { self.now.max(self.started + window) } else { self.now + window };
        let counter_incarnation = self.options.incarnation ^ self.now.rotate_left(32);
        let gateways = &self.cache.state.gateways;
        self.gateway_counts.observe(self.now, gateways.len());
        let mut counter = Counter::new(begins, counter_incarnation, window, gateways, false);
        counter.assume_fewest_gateways(self.gateway_counts.minimum());
        self.counters[shard] = Some(counter);
    }

    /// Drops the counters of shards that are held no more.
    pub(crate) fn expire_counters(&mut self) {
        let gateways = self.cache.state.gateways.len();
        self.gateway_counts.observe(self.now, gateways);
        for (shard, slot) in self.counters.iter_mut().enumerate() {
            if !self.held_leases.holds(self.now, shard) {
                *slot = None;
            } else if let Some(counter) = slot {
                counter.set_gateways(gateways);
                counter.expire(self.now);
            }
        }
    }

    /// Answers a gateway's requests for quota of the shards held here.
    pub(crate) fn lease_quota(&mut self, gateway: NodeId, requests: &[QuotaRequest]) -> Reply {
        // The next holder of a counter would not ask a gateway that is not agreed on.
        if !self.cache.state.gateways.contains(&gateway) {
            return Reply::Declined;
        }
        let (now, rule, routing) = (self.now, self.options.quota_rule, self.routing.clone());
        let mut answers = Vec::new();
        for request in requests.iter().filter(|request| request.shard < SHARDS) {
            let shard = request.shard;
            let held = self.held_leases.holds(now, shard);
            let Some(counter) = self.counters[shard].as_mut().filter(|_| held) else { continue };
            let lease_left = self.held_leases.remaining(now, shard);
            let is_ending = 4 * lease_left <= ROLE_LEASE;
            check(Invariant::LeasedCounter, is_ending, lease_left > 0, || format!("shard {shard}"));
            let windows = |name: &str| {
                let tenant = routing.tenants.get(name).filter(|_| shard_of(name) == shard)?;
                rule.window_budget(tenant.rate_per_second, tenant.burst_size)
            };
            answers.extend(counter.handle(
                now,
                now + limeway_quota::BLOCK_LIFETIME,
                gateway,
                request,
                windows,
            ));
        }
        Reply::QuotaGrants(answers)
    }
}
