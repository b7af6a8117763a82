//! Duties: the counts of groups of tenants, and what is granted of them.

use crate::messages::Reply;
use crate::{Marker, Micros};
use limeway_consensus::NodeId;
use limeway_membership::{Holder, LeaseRequest, SHARDS};
use limeway_quota::count::Count;
use limeway_quota::Request;
use std::collections::BTreeMap;

impl Marker {
    /// What to claim. Without contact nothing: the votes could not be heard.
    pub(crate) fn claims(&mut self, now: Micros) -> Vec<LeaseRequest> {
        if self.board.state.voters.is_empty()
            || self.seat().is_none()
            || !self.touch(now)
            || self.leaving.is_some()
        {
            return Vec::new();
        }
        let me = self.start.me;
        let seats = self.board.state.voters.iter();
        let live = seats.filter(|s| s.node == me || self.well(now, s)).map(|s| s.node);
        let live: Vec<NodeId> = live.collect();
        self.duties.requests(now, Holder { node: me, incarnation: self.start.boot }, &live, &self.votes)
    }

    /// A round has got these votes for its claims.
    pub(crate) fn win(
        &mut self,
        now: Micros,
        asked: Micros,
        claims: &[LeaseRequest],
        given: &BTreeMap<usize, usize>,
        majority: usize,
    ) {
        if self.leaving.is_some() {
            return;
        }
        let length = self.start.rule.length();
        for claim in claims.iter().filter(|c| given.get(&c.shard).copied().unwrap_or(0) >= majority) {
            if self.duties.acquire(now, asked, *claim) {
                // It begins a whole window after the last holding, which at the latest ended when this one began, or before
                // this process started. So does the very first one: who is first cannot be told from who has just come back.
                let young = now < self.started + limeway_membership::ROLE_LEASE;
                let begin = if young { now.max(self.started + length) } else { now + length };
                let term = self.start.boot ^ now.rotate_left(32);
                let doors = &self.board.state.gateways;
                self.counts[claim.shard] = Some(Count::new(begin, term, length, doors, false));
                log::info!(group = claim.shard; "holds a duty");
                self.news.look = true;
            }
        }
    }

    pub(crate) fn sweep_counts(&mut self, now: Micros) {
        let doors = self.board.state.gateways.len();
        for (group, slot) in self.counts.iter_mut().enumerate() {
            if !self.duties.holds(now, group) {
                *slot = None;
            } else if let Some(count) = slot {
                count.set_doors(doors);
                count.sweep(now);
            }
        }
    }

    pub(crate) fn grant(&mut self, now: Micros, node: NodeId, requests: &[Request]) -> Reply {
        // Who is not agreed to be a limiter would not be asked by the next holder of a count.
        if !self.board.state.gateways.contains(&node) {
            return Reply::Not;
        }
        let (rule, plan) = (self.start.rule, self.plan.clone());
        let mut answers = Vec::new();
        for request in requests.iter().filter(|r| r.group < SHARDS) {
            let group = request.group;
            let holds = self.duties.holds(now, group);
            let Some(count) = self.counts[group].as_mut().filter(|_| holds) else { continue };
            let span = |name: &str| {
                let tenant =
                    plan.tenants.get(name).filter(|_| limeway_membership::shard_of(name) == group)?;
                rule.span(tenant.rate_per_second, tenant.burst_size)
            };
            answers.extend(count.answer(now, now + limeway_quota::BLOCK, node, request, span));
        }
        Reply::Grants(answers)
    }

    /// What is known of members and duties goes onto the board. Without contact it is not known.
    pub(crate) fn refresh(&mut self, now: Micros) {
        if !self.touch(now) {
            return;
        }
        let live = self.roster.live(now).filter(|m| m.ready);
        let members = live.map(|m| (m.node, m.zone.to_owned()).into()).collect();
        let mut news = self.board.set_members(members);
        for group in 0..SHARDS {
            let holder = self.votes.holder(now, group).unwrap_or_default();
            news |= self.board.holders[group] != holder;
            self.board.holders[group] = holder;
        }
        self.news.fresh |= news;
    }
}
