//! A limiter's units of quotas: what it takes, leases, asks of neighbours and lends. What is asked when is decided by
//! [`limeway_quota::desk`]; here are its sockets and its clock.

use super::*;
use crate::link::LinkError;
use limeway_quota::desk::{Errand, Outcome, Settled, Ticket};

/// A count's answer is waited for this long; later ones are not used.
const COUNT_WAIT: Duration = Duration::from_millis(320);
/// A count that takes longer to answer is far away.
const FAR: Micros = 4_000;
/// A neighbour is asked for a unit for so long.
const NEIGHBOUR_WAIT: Duration = Duration::from_millis(25);
/// Sets apart the ranks by which neighbours are chosen.
const NEIGHBOURS: u64 = 0x6e65_6967_6862_0000;
/// Least time between two looks at what is to be leased, however often it is woken.
const LOOKS: Duration = Duration::from_millis(1);

/// A request that waits for its unit. Dropped with its client, it waits no longer.
struct Waits<'a> {
    edge: &'a Edge,
    tenant: &'a str,
    ticket: Option<Ticket>,
    over: bool,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        match self.ticket {
            _ if self.over => {}
            None => self.edge.desk.borrow_mut().spared(self.tenant),
            Some(ticket) => {
                self.edge.desk.borrow_mut().leave(ticket);
                self.edge.waiters.borrow_mut().remove(&ticket);
            }
        }
    }
}

impl Edge {
    pub(super) fn holders(&self) -> Vec<Option<(NodeId, u64)>> {
        self.board.borrow().holders.iter().map(|h| (h.node != 0).then_some((h.node, h.incarnation))).collect()
    }

    fn holder(&self, group: usize) -> Option<(NodeId, u64)> {
        self.board.borrow().holders.get(group).filter(|h| h.node != 0).map(|h| (h.node, h.incarnation))
    }

    /// A unit of a tenant's quota for one request. An error tells when the next window begins.
    pub async fn unit(&self, tenant: &str, rate: f64, burst: f64) -> Result<(), Micros> {
        let Some(span) = self.rule.span(rate, burst) else { return Ok(()) };
        let group = limeway_membership::shard_of(tenant);
        let holder = self.holder(group);
        match self.desk.borrow_mut().take(now(), tenant, group, holder, span) {
            Take::Yes => return Ok(()),
            Take::Dry(left) => return Err(left),
            Take::Wait => self.waited.set(self.waited.get() + 1),
        }
        let mut waits = Waits { edge: self, tenant, ticket: None, over: false };
        // The count may be regions away: a neighbour that holds units is asked first.
        if self.far.get() > FAR {
            for neighbour in self.neighbours(group) {
                let call = Call::BorrowUnit(tenant.to_owned());
                if let Ok(Reply::Done) = self.links.to(neighbour).call(&call, NEIGHBOUR_WAIT).await {
                    return Ok(());
                }
            }
        }
        let (tell, told) = oneshot::channel();
        let ticket = self.desk.borrow_mut().queue(now(), tenant, span);
        self.waiters.borrow_mut().insert(ticket, tell);
        waits.ticket = Some(ticket);
        self.short.notify_one();
        let settled = told.await;
        waits.over = true;
        settled.unwrap_or(Err(self.rule.length()))
    }

    /// Tells waiting requests what has become of them.
    fn settle(&self, settled: Vec<Settled>) {
        let mut waiters = self.waiters.borrow_mut();
        for (ticket, result) in settled {
            if let Some(tell) = waiters.remove(&ticket) {
                let _ = tell.send(result);
            }
        }
    }

    /// The limiters of the own region that others there ask for units of a group of tenants: the first two by rank.
    pub(super) fn neighbours(&self, group: usize) -> Vec<NodeId> {
        let board = self.board.borrow();
        let s = &self.settings;
        let near = board.members().iter().filter(|m| s.zones.get(&m.zone) == Some(&s.region)).map(|m| m.node);
        let key = NEIGHBOURS ^ group as u64;
        let first = limeway_membership::preferred_node(key, near.clone());
        let second = limeway_membership::preferred_node(key, near.filter(|n| Some(*n) != first));
        first.into_iter().chain(second).filter(|n| *n != self.me).collect()
    }

    /// A neighbour has a request and no unit for it.
    pub(super) fn lend(&self, tenant: &str) -> Reply {
        let plan = self.plan();
        let span = plan.tenants.get(tenant).and_then(|t| self.rule.span(t.rate_per_second, t.burst_size));
        let group = limeway_membership::shard_of(tenant);
        let holder = self.holder(group);
        match span {
            Some(span) if self.desk.borrow_mut().lend(now(), tenant, group, holder, span) => Reply::Done,
            _ => Reply::Declined,
        }
    }

    /// What is held of quotas, in words.
    pub fn quotas(&self) -> String {
        self.desk.borrow().account(now())
    }

    /// Leases units, for ever.
    pub async fn lease(self: Rc<Self>) {
        loop {
            let begun = tokio::time::Instant::now();
            let (errands, settled) =
                self.desk.borrow_mut().look(now(), &self.holders(), self.far.get() <= FAR);
            self.settle(settled);
            for errand in errands {
                tokio::task::spawn_local(self.clone().run(errand));
            }
            if let Some((words, worse)) = self.desk.borrow_mut().complaint(now()) {
                let level = if worse { log::Level::Warn } else { log::Level::Info };
                log::log!(level, "quotas: {words}");
            }
            let next = Duration::from_micros(self.desk.borrow().next(now()));
            let _ = timeout(next, self.short.notified()).await;
            if begun.elapsed() < LOOKS {
                tokio::time::sleep_until(begun + LOOKS).await;
            }
        }
    }

    /// Runs an errand to a holder, and uses what comes of it.
    async fn run(self: Rc<Self>, errand: Errand) {
        let call = Call::LeaseQuota(self.me, errand.requests.clone());
        let outcome = match self.links.to(errand.node).call(&call, COUNT_WAIT).await {
            Ok(Reply::QuotaGrants(answers)) => Outcome::Answers(answers),
            Ok(_) => Outcome::NotAgreed,
            Err(LinkError::Broken) => Outcome::Unreachable,
            Err(LinkError::Late | LinkError::Busy) => Outcome::Silent,
        };
        let took = now() - errand.at;
        let far = self.far.get();
        self.far.set(if took < far { took } else { (7 * far + took) / 8 });
        let settled = self.desk.borrow_mut().heard(now(), &errand, &outcome);
        self.settle(settled);
        self.short.notify_one();
    }
}
