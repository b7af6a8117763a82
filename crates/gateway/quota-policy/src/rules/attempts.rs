//! Requests: from their arrival over attempts at servers to the one final answer.

use super::*;

impl Gateway {
    pub(super) fn on_request(&mut self, demand: Demand, out: &mut Vec<Action>) {
        let Demand { id, class, plan, customer, left, units, doors, first } = demand;
        let (key, me) = (stable_hash(customer.as_bytes(), plan as u64), self.set.me);
        let home = (u64::from(first) + key % u64::from(doors.max(1))) % u64::from(self.set.gateways.max(1));
        let known = self.know(key, plan, Doors { first: Some(first), number: doors });
        known.home = (known.pooled && home as u32 != me).then_some(home as u32);
        let since = known.seen;
        known.units = units;
        known.waiting.push_back(Waiting { id, peer: None, units, since });
        self.holding.insert(key);
        self.arrivals += 1;
        let worth = (self.set.classes[class].worth * 1_000.0) as u64;
        let aim = self.set.classes[class].aim.min(left);
        let mut request = Request {
            class,
            customer: key,
            units,
            window: 0,
            taken: 0,
            arrived: self.now,
            deadline: self.now + left,
            stage: Stage::Waiting,
            rank: (u64::MAX - worth, self.arrivals, id),
            alarm: 0,
            attempts: Vec::new(),
        };
        set_alarm(&mut self.alarms, &mut request, id, self.now + (aim as f64 * PATIENCE) as u64);
        self.requests.insert(id, request);
        self.settle(key, out);
    }

    /// Sends what is ready while servers have room.
    pub(super) fn dispatch(&mut self, out: &mut Vec<Action>) {
        while let Some(&rank) = self.ready.first() {
            let Some(at) = self.choose(rank.2) else { break };
            self.ready.remove(&rank);
            if !self.stale(rank.2) {
                self.send(rank.2, at, out);
            }
        }
    }

    /// Whether a request took units too long ago for the ceiling's tolerance; it then waits for new ones.
    pub(super) fn stale(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return true };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return true };
        let most = self.set.plans[customer.plan].ceiling().max_wait();
        if !request.attempts.is_empty() || self.now.saturating_sub(request.taken) <= most {
            return false;
        }
        customer.restore(request);
        customer.open -= 1.0;
        request.stage = Stage::Waiting;
        let (units, since) = (request.units, request.arrived);
        customer.waiting.push_front(Waiting { id, peer: None, units, since });
        self.holding.insert(request.customer);
        true
    }

    pub(super) fn send(&mut self, id: RequestId, at: ServerId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(server) = self.servers[at].as_mut() else { return };
        if request.attempts.is_empty() {
            self.retries = (self.retries + RETRIES.0).min(RETRIES.1);
        }
        if matches!(server.health, Health::Suspect(_)) {
            server.health = Health::Trial;
        }
        if server.cold_since.is_some() {
            server.tokens.level -= 1.0;
        }
        server.outs.insert((id, request.attempts.len() as u32), self.now);
        request.attempts.push(Attempt { server: at, sent: self.now, fate: Fate::Out, cancelled: false });
        request.stage = Stage::Sent;
        let end = request.deadline.saturating_sub(MARGIN * SWEEP);
        set_alarm(&mut self.alarms, request, id, end.max(self.now));
        out.push(Action::Send { id, server: at, timeout: 0 });
    }

    pub(super) fn on_outcome(&mut self, outcome: &Outcome, out: &mut Vec<Action>) {
        let Outcome { id, attempt: number, server: at, status, latency, closed, .. } = *outcome;
        let class = self.requests.get(&id).map(|r| r.class);
        let (now, outs) = (self.now, self.load().1);
        let (usable, chance) = (self.servers.len() as f64, self.draw());
        if let Some(server) = self.servers.get_mut(at).and_then(Option::as_mut) {
            let was_out = server.outs.remove(&(id, number)).is_some();
            if matches!(status, Status::Ok | Status::Error | Status::Full) {
                server.answered = now;
                server.eject = EJECT.0;
                // Cold again only after signs of a restart: one connection that fell silent is none.
                if server.health == Health::Trial && server.broke {
                    server.chill(now, now, chance);
                }
                server.broke = false;
                server.health = Health::Up;
            }
            match status {
                Status::Ok => server.failures = 0,
                // A full server may have room for another plan or class: its bound is left alone.
                // A kept connection may have gone stale, so one reset tells little: a process that died
                // refuses the next connections, and these never ran.
                Status::Reset | Status::Error | Status::ConnectFailed | Status::Timeout => {
                    server.failures += 1;
                    server.broke |= status == Status::ConnectFailed;
                    if server.failures >= FAILURES || server.health == Health::Trial {
                        server.suspect(now);
                    }
                }
                // A trial that ended without an answer proves nothing: suspect as before.
                Status::Cancelled if server.health == Health::Trial => server.suspect(now),
                Status::Full | Status::Cancelled | Status::Moot => {}
            }
            if let (Status::Ok, true, Some(class)) = (status, was_out && self.woke != now, class) {
                let (aim, took) = (self.set.classes[class].aim.max(1) as f64, latency as f64);
                let least = server.least * usable;
                server.busy += LEARN * (took / aim - server.busy);
                server.slow += LEARN * ((took / self.latency[class].max(1.0)).min(10.0) - server.slow);
                self.latency[class] += LEARN / 5.0 * (took - self.latency[class]);
                if server.busy > BUSY && now > server.cut_at + (aim * CUT_EVERY) as u64 {
                    server.cut(BUSY / server.busy, now);
                } else if server.busy < BUSY && server.outs.len() as f64 + 1.0 >= server.limit * 0.75 {
                    server.limit += server.least / 2.0 / server.limit;
                }
                // The same over all servers: one of many gateways hears too little of each to bound it alone.
                self.busy += LEARN * (took / aim - self.busy);
                if self.busy > ROOM_BUSY && now > self.cut_at + (aim * CUT_EVERY) as u64 {
                    self.room = self.room.min(outs) * (ROOM_BUSY / self.busy).clamp(0.5, CUT);
                    self.room = self.room.max(least);
                    self.cut_at = now;
                } else if self.busy < ROOM_BUSY && outs >= self.room * 0.75 {
                    self.room += ROOM_GROW;
                }
            }
        }
        self.tidy(at);
        if closed {
            return self.close(id, out);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(number as usize) else { return };
        if attempt.fate != Fate::Out {
            return;
        }
        let proven = matches!(status, Status::Full | Status::ConnectFailed | Status::Moot);
        attempt.fate = if proven { Fate::NeverRan } else { Fate::MayHaveRun };
        if request.attempts.iter().all(|a| a.fate != Fate::Out) {
            self.again(id, proven, out);
        }
    }

    /// A stream is the client's once it has begun: no deadline runs, and other copies are withdrawn.
    pub(super) fn on_started(&mut self, id: RequestId, number: u32, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Streaming;
        for (other, attempt) in (0..).zip(&mut request.attempts) {
            if other == number {
                if let Some(server) = self.servers[attempt.server].as_mut() {
                    server.outs.remove(&(id, number));
                    server.answered = self.now;
                }
            } else if attempt.fate == Fate::Out && !attempt.cancelled && self.set.permissions.cancel {
                attempt.cancelled = true;
                out.push(Action::Cancel { id, attempt: other });
            }
        }
    }

    /// Sends a further attempt where class, site and retry budget allow; ends the request where none is left.
    pub(super) fn again(&mut self, id: RequestId, proven: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (class, allow) = (&self.set.classes[request.class], &self.set.permissions);
        let out_now = request.attempts.iter().any(|a| a.fate == Fate::Out);
        let effect = match (class.effect, request.attempts.iter().find(|a| a.fate != Fate::NeverRan)) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Keyed, Some(a)) => self.now + self.set.round < a.sent + class.window,
            (Effect::Unsafe, Some(_)) => false,
        };
        let allowed = effect
            && (allow.second_copies || !out_now)
            && (request.attempts.len() as u32) < allow.max_attempts
            && (proven || self.retries >= 1.0)
            && request.deadline > self.now + MARGIN * SWEEP;
        if let Some(at) = allowed.then(|| self.choose(id)).flatten() {
            self.retries -= if proven { 0.0 } else { 1.0 };
            self.send(id, at, out);
        } else if !out_now {
            self.finish(id, out);
        }
    }

    pub(super) fn on_alarm(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.alarm = 0;
        if request.stage == Stage::Streaming {
            return;
        } else if request.stage != Stage::Sent || self.now + MARGIN * SWEEP >= request.deadline {
            return self.finish(id, out);
        }
        // An attempt sits at a suspect server: move on, with a copy or by withdrawing it first.
        set_alarm(&mut self.alarms, request, id, request.deadline - MARGIN * SWEEP);
        let stuck = request.attempts.iter().enumerate().find(|(_, a)| {
            let server = self.servers[a.server].as_ref();
            a.fate == Fate::Out && !a.cancelled && server.is_some_and(|s| s.health != Health::Up)
        });
        let Some((number, _)) = stuck else { return };
        let safe = self.set.classes[request.class].effect != Effect::Unsafe;
        if self.set.permissions.second_copies {
            self.again(id, false, out);
        } else if safe && self.set.permissions.cancel && self.retries >= 1.0 {
            request.attempts[number].cancelled = true;
            out.push(Action::Cancel { id, attempt: number as u32 });
        }
    }

    // ---- Final answer.

    /// Ends a request: refused where a repeat is known to be harmless, failed otherwise.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.iter().all(|a| a.fate == Fate::NeverRan) {
            return self.refuse(id, 0, out);
        }
        out.push(Action::Fail { id });
        self.close(id, out);
    }

    pub(super) fn refuse(&mut self, id: RequestId, wait: Micros, out: &mut Vec<Action>) {
        let allow = &self.set.permissions;
        let retry_after = if allow.retry_after { wait.min(allow.max_retry_after) } else { 0 };
        out.push(Action::Refuse { id, retry_after });
        self.close(id, out);
    }

    /// Forgets a request; units that were never sent on go back.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.alarms.remove(&(request.alarm, id));
        self.ready.remove(&request.rank);
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.fate == Fate::Out && !attempt.cancelled && self.set.permissions.cancel {
                out.push(Action::Cancel { id, attempt: number as u32 });
            }
        }
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if request.stage == Stage::Waiting {
            customer.waiting.retain(|w| w.peer.is_some() || w.id != id);
            return;
        }
        customer.open -= 1.0;
        if request.attempts.is_empty() {
            customer.restore(&request);
        }
    }
}

pub(super) fn set_alarm(
    alarms: &mut BTreeSet<(Micros, RequestId)>,
    request: &mut Request,
    id: RequestId,
    at: Micros,
) {
    alarms.remove(&(request.alarm, id));
    request.alarm = at.min(request.deadline.saturating_sub(MARGIN * SWEEP));
    alarms.insert((request.alarm, id));
}
