//! A limiter's units of quotas: what it takes, leases, asks of neighbours and lends.

use super::*;

/// A count's answer is waited for this long; later ones are not used.
const COUNT_WAIT: Duration = Duration::from_millis(320);
/// A request waits for its unit for so long.
const UNIT_WAIT: Duration = Duration::from_millis(450);
/// A count that takes longer to answer is far away.
const FAR: Micros = 4_000;
/// A neighbour is asked for a unit for so long.
const NEIGHBOUR_WAIT: Duration = Duration::from_millis(25);
/// Sets apart the ranks by which neighbours are chosen.
const NEIGHBOURS: u64 = 0x6e65_6967_6862_0000;
/// Pause between two looks at what is to be leased.
const LEASING: Duration = Duration::from_millis(250);

impl Edge {
    pub(super) fn holders(&self) -> Vec<Option<(Node, u64)>> {
        self.board.borrow().holders.iter().map(|h| Some(*h).filter(|(n, _)| *n != 0)).collect()
    }

    /// A unit of a tenant's quota for one request. An error tells when the next window begins.
    pub async fn unit(&self, tenant: &str, rate: f64, burst: f64) -> Result<(), Micros> {
        let Some(span) = self.rule.span(rate, burst) else { return Ok(()) };
        let group = limeway_roster::group(tenant);
        let holder = self.holders().get(group).copied().flatten();
        match self.escrow.borrow_mut().take(now(), tenant, group, holder, span) {
            Take::Yes => return Ok(()),
            Take::Dry(left) => return Err(left),
            Take::Wait => self.waited.set(self.waited.get() + 1),
        }
        // The count may be regions away: a neighbour that holds units is asked first.
        if self.far.get() > FAR {
            for neighbour in self.neighbours(group) {
                let call = Call::Unit(tenant.to_owned());
                if let Ok(Reply::Done) = self.links.to(neighbour).call(&call, NEIGHBOUR_WAIT).await {
                    self.escrow.borrow_mut().spared(tenant);
                    return Ok(());
                }
            }
        }
        let until = tokio::time::Instant::now() + UNIT_WAIT;
        loop {
            let granted = self.granted.notified();
            self.short.notify_one();
            let late = tokio::time::timeout_at(until, granted).await.is_err();
            match self.escrow.borrow_mut().waited(now(), tenant, span, late) {
                Take::Yes => return Ok(()),
                Take::Dry(left) => return Err(left),
                // The grant was another's, or went to those who waited longer.
                Take::Wait => {}
            }
        }
    }

    /// The limiters of the own region that others there ask for units of a group of tenants: the first two by rank.
    pub(super) fn neighbours(&self, group: usize) -> Vec<Node> {
        let board = self.board.borrow();
        let s = &self.settings;
        let near = board.members().iter().filter(|(_, z)| s.zones.get(z) == Some(&s.region)).map(|(n, _)| *n);
        let key = NEIGHBOURS ^ group as u64;
        let first = limeway_roster::first(key, near.clone());
        let second = limeway_roster::first(key, near.filter(|n| Some(*n) != first));
        first.into_iter().chain(second).filter(|n| *n != self.me).collect()
    }

    /// A neighbour has a request and no unit for it.
    pub(super) fn lend(&self, tenant: &str) -> Reply {
        let plan = self.plan();
        let span = plan.tenants.get(tenant).and_then(|t| self.rule.span(t.rate, t.burst));
        let group = limeway_roster::group(tenant);
        let holder = self.holders().get(group).copied().flatten();
        match span {
            Some(span) if self.escrow.borrow_mut().lend(now(), tenant, group, holder, span) => Reply::Done,
            _ => Reply::Not,
        }
    }

    /// What is held of quotas, in words.
    pub fn quotas(&self) -> String {
        self.escrow.borrow().account(now())
    }

    /// Leases units, for ever.
    pub async fn lease(self: Rc<Self>) {
        loop {
            let holders = self.holders();
            let requests = self.escrow.borrow_mut().asks(now(), &holders, self.far.get() <= FAR);
            for (node, requests) in requests {
                let (edge, holders) = (self.clone(), holders.clone());
                tokio::task::spawn_local(async move {
                    let asked = now();
                    let call = Call::Ask(edge.me, requests);
                    let answer = edge.links.to(node).call(&call, COUNT_WAIT).await;
                    let took = now() - asked;
                    edge.far.set(if took < edge.far.get() { took } else { (7 * edge.far.get() + took) / 8 });
                    let Call::Ask(_, requests) = call else { return };
                    let mut escrow = edge.escrow.borrow_mut();
                    if let Ok(Reply::Grants(answers)) = answer {
                        for answer in &answers {
                            let request = requests.iter().find(|r| r.group == answer.group);
                            let holder = holders.get(answer.group).copied().flatten();
                            if let (Some(request), Some(holder)) = (request, holder) {
                                escrow.granted(now(), asked, holder, request, answer);
                            }
                        }
                    }
                    for request in &requests {
                        escrow.lost(&request.asks);
                    }
                    drop(escrow);
                    edge.granted.notify_waiters();
                });
            }
            let _ = timeout(LEASING, self.short.notified()).await;
        }
    }
}
