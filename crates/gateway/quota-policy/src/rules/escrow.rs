//! What customers may use: windows, leases, credit, the ceiling, and what the counter answers.

use super::*;

impl Gateway {
    /// Shows this gateway to the others on the counter, and in trouble tells them by messages.
    pub(super) fn show(&mut self, out: &mut Vec<Action>) {
        if self.set.counter.is_none() {
            return;
        }
        if let Some(mark) = self.recovery.turn(self.now, !self.indebted.is_empty()) {
            let name = if mark.probe { probe_name(self.set.me, mark.slot) } else { presence_name(mark.slot) };
            // Beside the pace of calls: a few a second, without which less of each window could be leased.
            self.showing = Some(name);
            out.push(Action::Count { name, amount: mark.amount, ttl: mark.ttl.min(MAX_WINDOW) });
        }
        out.extend(self.recovery.words(self.now).into_iter().map(|(peer, data)| Action::Tell { peer, data }));
    }

    // ---- Escrow: leases from the window's count, spent locally, forfeit at the window edge.

    /// Lets waiting requests through as far as the escrow and the ceiling allow; leases when it runs dry.
    pub(super) fn settle(&mut self, key: u64, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&key) else { return };
        let plan = &self.set.plans[customer.plan];
        let (window, end) = customer.window_at(self.now);
        customer.roll(window);
        customer.fill(plan, self.now);
        let asked = customer.asking.is_some();
        let here = customer.home.filter(|home| self.homes.there(*home, self.now, asked)).is_none();
        // Credit: where no lease is to be had, the even split of the store is spent without one. Guards
        // against a counter that is down, cut off, slow or too small for the number of gateways. Could hurt
        // where a customer far over its quota comes in through many gateways: each lets one request through.
        // The same where the counter takes fewer calls than there are requests: customers within their even
        // split leave the calls to those beyond it. What is spent so is owed, and added with the next call.
        // So too while a counter that has lost its numbers is told what it should know.
        // With the counter away a door may be ahead of its even split by its burst, one request at most: busy
        // doors have spent theirs out of leases. Over all doors that is one largest request a door on top.
        let away = customer.lost || self.recovery.away();
        let ahead = if away { (plan.burst / customer.doors).min(self.set.max_units) } else { 0.0 };
        // In trouble no more than the share that all who lease leave to it: no window's budget is passed.
        let trouble = self.recovery.guards().share && self.recovery.in_trouble();
        let scarce = self.counter.scarce(self.now);
        let few = self.counter.few();
        let begins = end.saturating_sub(customer.length);
        let settling = self.recovery.settling(self.now, begins);
        let silent = here && !customer.calling && (trouble || settling || customer.lost || scarce);
        let limit = self.recovery.limit(self.now, customer.through, begins, customer.budget);
        let share = if trouble && silent {
            self.recovery.credit(customer.through, window_name(key, window), customer.used(key, window))
        } else if self.recovery.guards().share && (customer.lost || scarce) {
            // No call came, others' may: what is owed at once is an even split of what was left by the last
            // total. Guards against all doors spending their even split beside what is leased.
            (limit - customer.total).max(0.0) / customer.doors
        } else {
            f64::MAX
        };
        // While it is not known who reaches the counter, what is left to them may be let go any moment.
        let limit = if self.recovery.sees(self.now) { limit } else { customer.budget };
        let limited = plan.rate > 0.0;
        let reach = self.recovery.reach(begins, customer.budget, limit, customer.reach);
        let (mut kept, mut refused) = (VecDeque::new(), Vec::new());
        while let Some(item) = customer.waiting.pop_front() {
            let (units, remote) = (item.units, item.peer.is_some());
            let held = customer.held(window);
            let granted = !remote && customer.granted >= units;
            let open = (plan.open / customer.doors).floor().max(1.0);
            let over_open = !remote && plan.open > 0.0 && customer.open >= open;
            let drained = limited && here && customer.store.level < units;
            let escrowed = held >= units;
            // What is leased is bounded by the window's count; the rest has a split of the ceiling.
            let under_ceiling =
                !plan.ceiling().binds() || granted || escrowed || customer.ceiling.level >= units;
            // A share smaller than a request lets one request in.
            let lent = if trouble { customer.lent } else { customer.owed };
            let lent = lent == 0.0 && share > 0.0 || lent + units <= share;
            // Where a ceiling keeps leases below the quota, the rest of it is leased too and has a split of
            // the ceiling at each door. Where it may not be, an even split of what is left is used, and told.
            let spent = here && !escrowed && customer.total >= limit;
            let apart = spent && !trouble && plan.ceiling().binds() && under_ceiling;
            let beyond = apart && held + customer.beyond >= units;
            let part = (customer.reach - customer.total) / customer.doors;
            let blind = apart && reach <= limit && customer.owed + units <= part;
            let credited = (silent || blind) && lent && customer.split.level + ahead >= units;
            let asks = apart && customer.total + units <= reach;
            let gone = spent && !(apart && credited || beyond || asks) || self.now < customer.denied_until;
            if remote && self.now > item.since + homes::WAIT {
                continue;
            } else if over_open || !granted && (drained || limited && gone) {
                let lack = (units - customer.store.level).max(0.0) / plan.rate.max(SECOND) / SECOND;
                refused.push((item, if drained { lack as Micros } else { end - self.now }));
            } else if !under_ceiling
                || limited && !granted && (!kept.is_empty() || !(escrowed || beyond || credited))
            {
                kept.push_back(item);
            } else {
                if granted {
                    customer.granted -= units;
                } else if limited && escrowed {
                    customer.escrow.insert(window, held - units);
                } else if limited && beyond {
                    customer.escrow.remove(&window);
                    customer.beyond -= units - held;
                } else if limited {
                    customer.owed += units;
                    if self.recovery.guards().share && (trouble || customer.lost && !few) {
                        customer.lent += units;
                        self.indebted.insert(key);
                    }
                }
                customer.used += units;
                if !granted && !escrowed {
                    customer.ceiling.level -= units;
                }
                customer.store.level -= units;
                let least = if credited { -ahead } else { customer.split.level.min(0.0) };
                customer.split.level = (customer.split.level - units).max(least);
                if let Some(peer) = item.peer {
                    let message = Message::Grant { customer: key, units: units as f32 };
                    out.push(Action::Tell { peer, data: message.encode() });
                    continue;
                }
                let Some(request) = self.requests.get_mut(&item.id) else { continue };
                customer.open += 1.0;
                request.window = if escrowed && !granted { window } else { 0 };
                request.taken = self.now;
                request.stage = Stage::Ready;
                // The rate of what should go on, not of what does: where all servers count as cold, their
                // shares would shrink with the sends, and the sends with the shares.
                let passed = (self.now - self.rate_at) as f64;
                self.rate = self.rate * (-passed / RATE_SPAN).exp() + 1.0 / (RATE_SPAN * SECOND);
                self.rate_at = self.now;
                let patience = request.arrived + self.set.classes[request.class].aim;
                let alarm = patience.saturating_sub(self.latency[request.class] as u64);
                set_alarm(&mut self.alarms, request, item.id, alarm);
                self.ready.insert(request.rank);
            }
        }
        customer.waiting = kept;
        let wanted = customer.wanted();
        if customer.waiting.is_empty() {
            self.holding.remove(&key);
        }
        if here && limited && !customer.calling {
            let untold = customer.owed > 0.0 && customer.total >= limit;
            if wanted > customer.held(window) + customer.beyond || untold || self.ahead(key) > 0.0 {
                self.lease(key, out);
            }
        } else if !here && wanted > customer.granted && customer.asking.is_none() && limited {
            self.ask(key, out);
        }
        for (item, wait) in refused {
            let Some(peer) = item.peer else {
                self.refuse(item.id, wait, out);
                continue;
            };
            let wait = wait.min(HOME_DENIES) as u32;
            out.push(Action::Tell { peer, data: Message::Deny { customer: key, wait }.encode() });
        }
    }

    /// Units to lease beyond what waits. None where calls must be kept for those who wait, or the counter is
    /// not well: what is leased is then forfeit sooner than used.
    pub(super) fn ahead(&mut self, key: u64) -> f64 {
        let Some(c) = self.customers.get(&key).filter(|_| self.leases_ahead) else { return 0.0 };
        let (window, end) = c.window_at(self.now);
        let begins = end.saturating_sub(c.length);
        let plan = &self.set.plans[c.plan];
        // At home whole blocks are leased; what is known of another window tells nothing of this one.
        let whole = c.pooled || window != c.window;
        // A lost call may have been added, and is then nobody's: no more is put at risk than what waits.
        let sound = self.recovery.state() == State::Well && self.now >= self.counter.last_loss_at() + SOUND;
        if whole || !sound || self.counter.few() {
            return 0.0;
        }
        let limit = self.recovery.limit(self.now, c.through, begins, c.budget);
        let sizing = TenantWindow {
            limiters: c.doors,
            waiting: c.wanted(),
            escrow: c.held(window),
            size: c.units,
            used: c.used,
            used_before: c.past,
            elapsed: self.now - begins,
            length: c.length,
            leasable: limit - c.total,
            store: c.store.level,
            burst: plan.burst.max(c.units),
        };
        sizing.ahead()
    }

    /// One add to the customer's window count: what waits here and is leased ahead, or a block at its home.
    pub(super) fn lease(&mut self, key: u64, out: &mut Vec<Action>) {
        let probed = self.recovery.guards().leave && self.recovery.away() && self.set.gateways > 1;
        if probed || !self.counter.ready(self.now) {
            return;
        }
        let ahead = self.ahead(key);
        let Some(customer) = self.customers.get_mut(&key) else { return };
        let (window, end) = customer.window_at(self.now);
        let name = window_name(key, window);
        let begins = end.saturating_sub(customer.length);
        let (debt, settling) = (self.recovery.debt(name), self.recovery.settling(self.now, begins));
        if customer.calling || settling && debt <= 0.0 {
            return;
        }
        let limit = self.recovery.limit(self.now, customer.through, begins, customer.budget);
        let left = (limit - customer.total).max(0.0);
        let reach = self.recovery.reach(begins, customer.budget, limit, customer.reach);
        let beyond = (reach - customer.total).max(0.0);
        // More than is left to lease would only fill up the count.
        if !settling && beyond <= 0.0 && customer.owed + debt <= 0.0 && customer.total > 0.0 {
            return;
        }
        let needed = if settling || beyond <= 0.0 { 0.0 } else { customer.wanted() + ahead };
        let at_home = customer.pooled && customer.home.is_none();
        // As the source has it, a lease grows with the use in the last window, up to the even split; but only
        // where calls are scarce: what is leased and not spent is forfeit.
        let block = if settling {
            0.0
        } else if at_home {
            (customer.budget * HOME_LEASE).min(left)
        } else if self.counter.scarce(self.now) {
            (customer.past - customer.used).clamp(0.0, (customer.budget / customer.doors).min(left)).floor()
        } else {
            0.0
        };
        let owed = customer.owed;
        let amount = needed.max(block).min(customer.budget.max(1.0).ceil()) + owed + debt;
        customer.calling = true;
        self.counter.take();
        self.calls.insert(name, Call { customer: key, window, amount, owed, debt, asked: false });
        let ttl = 2 * (end - self.now) + MIN_WINDOW;
        out.push(Action::Count { name, amount, ttl });
    }

    pub(super) fn on_counted(
        &mut self,
        name: u64,
        status: Status,
        total: f64,
        took: Micros,
        out: &mut Vec<Action>,
    ) {
        let showing = self.showing.take_if(|shown| *shown == name).is_some();
        let call = self.calls.remove(&name);
        if !showing && call.is_none() {
            return;
        }
        let limit = self.set.counter.as_ref().map_or(0, |c| c.limit);
        let ok = status == Status::Ok;
        if self.woke != self.now && call.is_some() {
            // An answer that cannot be read is an answer: it tells of no line.
            let answered = ok || status == Status::Error;
            self.counter.answered(self.now, answered, took, limit);
        }
        let answer = match status {
            Status::Ok => Answer::Total(total),
            Status::Full | Status::ConnectFailed | Status::Moot => Answer::Refused,
            _ => Answer::Silent,
        };
        let away = self.recovery.away();
        let Some(mut call) = call else {
            let verdict = self.recovery.turned(self.now, answer);
            if away && !self.recovery.away() {
                self.counter.restart(self.now);
            }
            return self.tell_verdict(verdict, out);
        };
        let Some(customer) = self.customers.get_mut(&call.customer) else { return };
        // The amount was added, only the total is not known: adding nothing tells it, once. What others have
        // added meanwhile counts as if it were there before, so the escrow is never more than was leased.
        if status == Status::Error && !call.asked {
            call.asked = true;
            self.calls.insert(name, call);
            return out.push(Action::Count { name, amount: 0.0, ttl: MAX_WINDOW });
        }
        customer.calling = false;
        customer.lost = !ok;
        let used = customer.used(call.customer, call.window);
        let (begins, budget) = (used.begins, customer.budget);
        let ends = begins + customer.length;
        let count = Count { name, of: call.customer, window: call.window, begins, ends, budget };
        let share = took as f64 / limit.max(1) as f64;
        let heard = self.recovery.answered(self.now, count, (call.amount, call.debt), answer, share);
        if ok && call.window == customer.window {
            let before = heard.before.max(self.recovery.told(&used));
            let total = before + call.amount;
            customer.store.level -= (before - customer.total).max(0.0);
            customer.total = total;
            customer.owed = (customer.owed - call.owed).max(0.0);
            let (known, fresh) = (before + call.owed + call.debt, call.amount - call.owed - call.debt);
            let limit = self.recovery.limit(self.now, customer.through, begins, customer.budget);
            let granted = if heard.grants { (limit - known).clamp(0.0, fresh.max(0.0)) } else { 0.0 };
            *customer.escrow.entry(call.window).or_insert(0.0) += granted;
            let reach = self.recovery.reach(begins, customer.budget, limit, customer.reach);
            let beyond = (reach - known - granted).clamp(0.0, (fresh - granted).max(0.0));
            customer.beyond += if heard.grants { beyond } else { 0.0 };
        }
        self.tell_verdict(heard.verdict, out);
        self.settle(call.customer, out);
    }

    /// Tells the operator of a change of what the counter is held to be, and the other gateways of a loss:
    /// one that shows in marks alone, before any customer's total, is news to them too.
    pub(super) fn tell_verdict(&self, verdict: Option<Verdict>, out: &mut Vec<Action>) {
        if verdict.is_some_and(|v| v.loss.is_some()) && self.set.permissions.peers {
            let others = (0..self.set.gateways).filter(|g| *g != self.set.me);
            out.extend(others.map(|peer| Action::Tell { peer, data: Message::Lost { ago: 0 }.encode() }));
        }
        note(verdict, out);
    }

    // ---- Servers: what discovery says, and what their answers say.

    /// The customer of this key, with what its plan and its doors make of it.
    pub(super) fn know(&mut self, key: u64, plan: usize, through: Doors) -> &mut Customer {
        let (now, born, max_units) = (self.now, self.born, self.set.max_units);
        let peers = self.set.permissions.peers;
        let guards = self.recovery.guards();
        let earned = guards.start && !guards.share && self.set.counter.is_some();
        let (p, forget) = (&self.set.plans[plan], &mut self.forget);
        let known = self.customers.entry(key).or_insert_with(|| {
            let Windows { length, phase, budget, reach } = Windows::keyed(p, max_units, key);
            forget.insert((now + REMEMBER, key));
            Customer {
                phase,
                budget,
                reach,
                plan,
                length,
                store: Bucket { level: f64::MAX, at: now },
                // One that has just started cannot know what it spent before.
                // A share smaller than a request lets one in: at hundreds of doors it earns none in minutes.
                split: if earned {
                    let small = p.burst / f64::from(through.number.max(1)) < max_units;
                    Bucket { level: if small { max_units } else { 0.0 }, at: born }
                } else {
                    Bucket { level: f64::MAX, at: now }
                },
                ceiling: Bucket { level: 0.0, at: born },
                units: max_units,
                ..Customer::default()
            }
        });
        known.doors = f64::from(through.number.max(1));
        known.through = through;
        known.pooled = peers && p.ceiling_rate <= 0.0 && known.budget / known.doors < HOME_SPLIT;
        known.seen = now;
        known
    }
}

impl Windows {
    /// The windows of a customer, by its name and the index of its plan.
    pub fn of(plan: &Plan, max_units: f64, customer: &str, index: usize) -> Self {
        Self::keyed(plan, max_units, stable_hash(customer.as_bytes(), index as u64))
    }

    /// A window holds what the quota allows at most within it. Windows of different customers end at
    /// different times, so that the counter sees no rush.
    pub(super) fn keyed(p: &Plan, max_units: f64, key: u64) -> Self {
        let length = (p.burst.max(max_units) / p.rate.max(SECOND) / SECOND) as u64;
        let span = p.ceiling().span(MIN_WINDOW, MAX_WINDOW);
        let length = span.map_or(length.clamp(MIN_WINDOW, MAX_WINDOW), |s| s.length);
        let reach = p.within(length);
        let budget = span.map_or(f64::MAX, |s| s.budget).min(reach);
        Windows { length, phase: key % length, budget, reach }
    }
}

/// Tells the operator of a change of what the counter is held to be.
pub(super) fn note(verdict: Option<Verdict>, out: &mut Vec<Action>) {
    out.extend(verdict.map(|v| Action::Note { text: v.to_string() }));
}

impl Customer {
    /// Moves on to a window; escrow of earlier ones is forfeit.
    pub(super) fn roll(&mut self, window: u64) {
        if window > self.window {
            self.total = 0.0;
            (self.granted, self.beyond) = (0.0, 0.0);
            self.past = if window == self.window + 1 { self.used } else { 0.0 };
            (self.used, self.owed, self.lent) = (0.0, 0.0, 0.0);
            self.window = window;
            self.escrow.retain(|w, _| *w >= window);
        }
    }

    /// Gives back what a request took that was never sent on; leases of a window that is over stay forfeit.
    pub(super) fn restore(&mut self, request: &Request) {
        self.store.level += request.units;
        if request.window == 0 {
            self.ceiling.level += request.units;
        } else if let Some(held) = self.escrow.get_mut(&request.window) {
            *held += request.units;
        }
    }

    /// Fills the stores; what of the ceiling is not leased is split evenly over the customer's gateways.
    pub(super) fn fill(&mut self, plan: &Plan, now: Micros) {
        // A home spends for all doors: its split of the store is the whole.
        let split = if self.pooled && self.home.is_none() { 1.0 } else { 1.0 / self.doors };
        self.store.fill(plan.rate, plan.burst.max(self.units), now);
        self.split.fill(plan.rate * split, (plan.burst * split).max(self.units), now);
        let (rate, burst) = plan.ceiling().split(self.doors);
        self.ceiling.fill(rate, burst, now);
    }
}
