//! Servers: the list, silence, bounds on what is out, the choice of one, cold ones.

use super::*;

impl Gateway {
    pub(super) fn on_servers(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.watch_at = self.now + EJECT.0 / 2;
            return;
        }
        let first = self.servers.is_empty();
        if self.set.ask && first {
            out.push(Action::Watch);
        }
        if kind != ListKind::Delta {
            for (id, server) in self.servers.iter_mut().enumerate() {
                if let Some(server) = server.as_mut().filter(|_| !entries.iter().any(|e| e.server == id)) {
                    (server.ready, server.gone) = (false, true);
                }
            }
        }
        for entry in entries {
            let chance = self.draw();
            if self.servers.len() <= entry.server {
                self.servers.resize_with(entry.server + 1, || None);
            }
            let (now, gateways) = (self.now, f64::from(self.set.gateways));
            let known = self.servers[entry.server].is_some();
            let server = self.servers[entry.server].get_or_insert_with(|| Server {
                zone: entry.zone,
                cell: entry.cell,
                ready: entry.state == Lifecycle::Ready,
                weight: entry.weight.max(0.01),
                started: entry.started,
                eject: EJECT.0,
                answered: now,
                limit: LIMIT_FIRST / gateways,
                least: LIMIT_FIRST * MIN_LIMIT / gateways,
                busy: BUSY,
                slow: 1.0,
                ..Server::default()
            });
            let back = !server.ready && entry.state == Lifecycle::Ready;
            let restarted = entry.started > server.started;
            server.ready = entry.state == Lifecycle::Ready;
            server.gone = entry.state == Lifecycle::Gone;
            server.started = entry.started;
            let recent = entry.started > 0 && now < entry.started + self.set.rules.cold;
            if recent && (!known || restarted) || back || (!known && !first) {
                // Guards any fresh process, however discovery words it. The list comes seconds late, and to a
                // gateway that starts later still: it has warmed up since its start.
                server.chill(if recent { entry.started.min(now) } else { now }, now, chance);
                if restarted {
                    server.outs.clear();
                    server.health = Health::Up;
                }
            }
        }
        for server in 0..self.servers.len() {
            self.tidy(server);
        }
    }

    /// Forgets a server that is gone once nothing is out there: ids may be ever new.
    pub(super) fn tidy(&mut self, server: ServerId) {
        if let Some(slot) = self.servers.get_mut(server) {
            slot.take_if(|s| s.gone && s.outs.is_empty());
        }
    }

    /// Silence with work out is a symptom, before any time-out: a hung or vanished server, or a cut link.
    /// Only while others answer, since everything slow at once is no outlier.
    pub(super) fn check_silence(&mut self) {
        let (now, classes) = (self.now, self.latency.len().max(1) as f64);
        let mean = self.latency.iter().sum::<f64>() / classes;
        let quiet = |s: &Server| {
            let Some(oldest) = s.outs.values().min() else { return false };
            let patience = mean * s.slow.clamp(1.0, 3.0) * (SILENCE.0 + SILENCE.1 / s.outs.len() as f64);
            now.saturating_sub(s.answered.max(*oldest)) as f64 > patience
        };
        let aim = self.set.classes.iter().map(|c| c.aim as f64).sum::<f64>() / classes;
        let live = |s: &Server| s.health == Health::Up && now < s.answered + mean as u64;
        let live = self.servers.iter().flatten().any(live);
        let mut rescued = Vec::new();
        for server in self.servers.iter_mut().flatten() {
            if live && !matches!(server.health, Health::Suspect(_)) && quiet(server) {
                server.suspect(now);
                rescued.extend(server.outs.keys().map(|k| k.0));
            }
            // Work that grows old without an answer tells of a jam before any latency does.
            let age: f64 = server.outs.values().map(|sent| (now - sent) as f64).sum();
            if age > aim * BUSY * server.outs.len() as f64 && now > server.cut_at + (aim * CUT_EVERY) as u64 {
                server.cut(CUT, now);
            }
        }
        for id in rescued {
            if let Some(request) = self.requests.get_mut(&id) {
                set_alarm(&mut self.alarms, request, id, now);
            }
        }
    }

    /// The sum of the bounds of servers in use, and what is out there.
    pub(super) fn load(&self) -> (f64, f64) {
        let up = self.servers.iter().flatten().filter(|s| s.ready && s.health == Health::Up);
        up.fold((0.0, 0.0), |sum, s| (sum.0 + s.limit, sum.1 + s.outs.len() as f64))
    }

    /// The server with the least outstanding work for its learned speed, among those that may take this.
    pub(super) fn choose(&mut self, id: RequestId) -> Option<ServerId> {
        let draw = self.draw();
        let request = self.requests.get(&id)?;
        let class = &self.set.classes[request.class];
        let first = request.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        let group = first.and_then(|a| self.servers[a.server].as_ref()).map(|s| (s.zone, s.cell));
        let now = self.now;
        let start = self.set.rules.start();
        let usable = self.servers.iter().flatten().filter(|s| s.ready);
        let part = start.warm_rate(self.rate, usable.map(|s| start.warmth(s.cold_since, now)));
        // Bounds below one request a server hold too: many gateways share a small fleet.
        let (limits, outs) = self.load();
        let full = outs >= f64::max(limits.min(self.room), 1.0);
        let trial = class.effect != Effect::Unsafe && request.attempts.is_empty();
        let same = |server: &Server| match (class.effect, class.scope, group) {
            (Effect::Keyed, Scope::Zone, Some((zone, _))) => zone == server.zone,
            (Effect::Keyed, Scope::Cell, Some((_, cell))) => cell == server.cell,
            _ => true,
        };
        let mut best: Option<(f64, ServerId)> = None;
        let offset = draw as usize % self.servers.len().max(1);
        for n in 0..self.servers.len() {
            let at = (n + offset) % self.servers.len();
            let Some(server) = self.servers[at].as_mut() else { continue };
            let tried = request.attempts.iter().any(|a| a.server == at);
            if !server.ready || tried || !same(server) {
                continue;
            }
            let cold = server.earn(&start, now, part);
            let cost = match server.health {
                // One safe or keyed request at a time tries a suspect out.
                Health::Suspect(until) if trial && now >= until => -1.0,
                Health::Suspect(_) | Health::Trial => continue,
                Health::Up if full || server.outs.len() as f64 >= server.limit.ceil() => continue,
                // What a cold one may be sent it is sent at once: by cost it would get nothing.
                Health::Up if cold && server.tokens.level >= 1.0 => -0.5,
                Health::Up => (server.outs.len() as f64 + 1.0) * server.slow / server.weight,
            };
            if cold && server.tokens.level < 1.0 {
                continue;
            }
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, at));
            }
        }
        best.map(|b| b.1)
    }

    // ---- Attempts.
}

impl Server {
    pub(super) fn suspect(&mut self, now: Micros) {
        self.health = Health::Suspect(now + self.eject);
        self.eject = (self.eject * 2).min(EJECT.1);
        self.failures = 0;
    }

    /// Lowers the bound on what is out. The floor guards against starving a server that is slow at any load.
    pub(super) fn cut(&mut self, factor: f64, now: Micros) {
        let limit = self.limit.min(self.outs.len() as f64 + 1.0);
        self.limit = (limit * factor.clamp(0.5, CUT)).max(self.least);
        self.cut_at = now;
    }

    /// Counts as cold, as one that started at `since`. A part of a first token by chance: hundreds of
    /// gateways that all start at nought would all send at one moment, or none before it is warm.
    pub(super) fn chill(&mut self, since: Micros, now: Micros, chance: u64) {
        self.cold_since = Some(since);
        self.tokens = Bucket { level: (chance % 1_000) as f64 / 1_000.0, at: now };
    }

    /// Whether it is cold, which ends with time; earns what it may be sent, where a warm one gets `part`.
    pub(super) fn earn(&mut self, start: &Start, now: Micros, part: f64) -> bool {
        self.cold_since = self.cold_since.filter(|since| now < since + start.cold);
        if self.cold_since.is_none() {
            return false;
        }
        let (budget, most) = start.rate_and_burst(start.warmth(self.cold_since, now), part);
        self.tokens.fill(budget, most, now);
        true
    }
}
