//! Reads a scenario file and checks it all through; each error names its key.

use crate::day::What;
use crate::error::ScenarioError;
use crate::file::*;

fn bad<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, ScenarioError> {
    Err(ScenarioError { key: key.into(), reason: reason.into() })
}

/// A number within bounds.
fn number(key: &str, value: f64, least: f64, most: f64) -> Result<(), ScenarioError> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    bad(key, format!("{value} does not lie between {least} and {most}"))
}

/// A range within bounds, its ends in order.
fn span(key: &str, span: Span, least: f64, most: f64) -> Result<(), ScenarioError> {
    number(key, span.0, least, most)?;
    number(key, span.1, least, most)?;
    if span.0 > span.1 {
        return bad(key, format!("{} is above {}", span.0, span.1));
    }
    Ok(())
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// The text is no TOML, a key is not known, or a value makes no sense; the error names the key.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            // The library tells line, column and key in several lines.
            let reason = e.to_string().lines().map(str::trim).collect::<Vec<_>>().join(" ");
            ScenarioError { key: String::new(), reason }
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks the values, also after some of them were replaced.
    ///
    /// # Errors
    /// A value makes no sense; the error names its key.
    pub fn check(&self) -> Result<(), ScenarioError> {
        if self.name.is_empty() {
            return bad("name", "is empty");
        }
        number("seconds", self.seconds, 1.0, MAX_SECONDS)?;
        self.check_fleet()?;
        self.check_clients()?;
        self.check_services()?;
        self.check_classes()?;
        self.check_plans()?;
        if self.event.len() > MAX_EVENTS {
            return bad("event", format!("more than {MAX_EVENTS} entries"));
        }
        for (at, entry) in self.event.iter().enumerate() {
            What::read(self, entry)
                .map_err(|(key, reason)| ScenarioError { key: format!("event[{at}].{key}"), reason })?;
        }
        Ok(())
    }

    fn check_fleet(&self) -> Result<(), ScenarioError> {
        let f = &self.fleet;
        number("fleet.limiters", f64::from(f.limiters), 1.0, f64::from(MAX_LIMITERS))?;
        number("fleet.nodes", f64::from(f.nodes), 1.0, f64::from(MAX_NODES))?;
        number("fleet.rooms", f64::from(f.rooms), 1.0, 16.0)?;
        number("fleet.cores", f64::from(f.cores), 1.0, 256.0)?;
        span("fleet.speed", f.speed, 0.01, 1_000.0)?;
        span("fleet.slots_per_core", f.slots_per_core, 1.0, 10_000.0)?;
        span("fleet.queue_per_core", f.queue_per_core, 0.0, 10_000.0)?;
        span("fleet.thrash", f.thrash, 0.0, 10.0)?;
        span("fleet.thrash_at", f.thrash_at, 1.0, 10_000.0)?;
        span("fleet.cold_from", f.cold_from, 0.01, 1.0)?;
        span("fleet.cold_seconds", f.cold_seconds, 0.0, 600.0)?;
        span("fleet.error_share", f.error_share, 0.0, 1.0)?;
        span("fleet.handshake_ms", f.handshake_ms, 0.0, 1_000.0)?;
        span("fleet.connections_per_core", f.connections_per_core, 1.0, 10_000.0)?;
        span("fleet.idle_seconds", f.idle_seconds, 0.1, 3_600.0)?;
        span("load.inside", self.load.inside, 1e-6, 3.0)?;
        span("load.ramp_from", self.load.ramp_from, 0.01, 1.0)?;
        number("load.most_excess", self.load.most_excess, 0.0, 10.0)?;
        number("limits.sockets", f64::from(self.limits.sockets), 64.0, 65_536.0)?;
        number("limits.memory_mb", f64::from(self.limits.memory_mb), 1.0, 65_536.0)
    }

    fn check_clients(&self) -> Result<(), ScenarioError> {
        let c = &self.customers;
        span("customers.calm_use", c.calm_use, 0.0, 1.0)?;
        for (key, value) in [
            ("customers.full", c.full),
            ("customers.heavy", c.heavy),
            ("customers.spiky", c.spiky),
            ("customers.spread", c.spread),
            ("customers.elsewhere", c.elsewhere),
            ("clients.honour", self.clients.honour),
            ("clients.early", self.clients.early),
        ] {
            span(key, value, 0.0, 1.0)?;
        }
        if c.full.1 + c.heavy.1 + c.spiky.1 > 1.0 {
            return bad("customers.spiky", "full, heavy and spiky together are more than all customers");
        }
        span("customers.heavy_times", c.heavy_times, 1.0, 100.0)?;
        span("customers.spike_times", c.spike_times, 1.0, 100.0)?;
        span("customers.spike_seconds", c.spike_seconds, 0.01, 600.0)?;
        span("customers.spike_every_seconds", c.spike_every_seconds, 0.1, 3_600.0)?;
        span("customers.skew", c.skew, 0.0, 10.0)?;
        span("customers.shift_seconds", c.shift_seconds, 0.1, 3_600.0)?;
        let c = &self.clients;
        number("clients.retries", f64::from(c.retries), 0.0, 10.0)?;
        span("clients.backoff_ms", c.backoff_ms, 0.0, 60_000.0)?;
        span("clients.patience", c.patience, 0.01, 1.0)?;
        number("clients.advice_most_ms", c.advice_most_ms, 0.0, 60_000.0)?;
        span("clients.notice_seconds", c.notice_seconds, 0.0, 600.0)
    }

    fn check_services(&self) -> Result<(), ScenarioError> {
        span("discovery.late_seconds", self.discovery.late_seconds, 0.0, 60.0)?;
        span("counter.per_second", self.counter.per_second, 1.0, 1e6)?;
        span("counter.parts", self.counter.parts, 1.0, 64.0)?;
        span("counter.call_ms", self.counter.call_ms, 0.0, 10_000.0)?;
        number("counter.limit_ms", self.counter.limit_ms, 1.0, 60_000.0)?;
        span("counter.line", self.counter.line, 0.01, 1_000.0)?;
        span("peers.late_ms", self.peers.late_ms, 0.0, 60_000.0)?;
        span("peers.loss", self.peers.loss, 0.0, 1.0)?;
        number("peers.per_second", self.peers.per_second, 1.0, 1e6)?;
        let r = &self.rules;
        number("rules.drain_grace_seconds", r.drain_grace_seconds, 0.0, 600.0)?;
        number("rules.fall_multiple", r.fall_multiple, 1.0, 1_000.0)?;
        number("rules.fall_seconds", r.fall_seconds, 0.1, 600.0)?;
        number("rules.max_attempts", f64::from(r.max_attempts), 1.0, 10.0)?;
        number("rules.key_seconds", r.key_seconds, 0.0, 600.0)
    }

    fn check_classes(&self) -> Result<(), ScenarioError> {
        if self.class.is_empty() || self.class.len() > 16 {
            return bad("class", "there must be 1 to 16");
        }
        for (at, class) in self.class.iter().enumerate() {
            let key = |name: &str| format!("class[{at}].{name}");
            let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            if class.name.is_empty() || !class.name.chars().all(plain) {
                return bad(key("name"), "must be letters, digits, '-' and '_': it stands in paths");
            }
            if self.class[..at].iter().any(|c| c.name == class.name) {
                return bad(key("name"), format!("{} stands twice", class.name));
            }
            number(&key("share"), class.share, 0.0, 1e6)?;
            span(&key("work_ms"), class.work_ms, 0.001, 600_000.0)?;
            span(&key("uneven"), class.uneven, 0.0, 10.0)?;
            number(&key("aim_seconds"), class.aim_seconds, 0.001, 600.0)?;
            number(&key("deadline_seconds"), class.deadline_seconds, class.aim_seconds, 600.0)?;
            number(&key("worth"), class.worth, 0.0, 1e6)?;
            let [least, most] = class.units;
            if least < 1 || least > most || most > 1_000 {
                return bad(key("units"), "must be [least, most] from 1 to 1000");
            }
            number(&key("body_bytes"), f64::from(class.body_bytes), 0.0, 65_536.0)?;
            if class.effect == Effect::Safe && class.body_bytes > 0 {
                return bad(key("body_bytes"), "a safe class is asked with GET, which has no body");
            }
        }
        if self.class.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            return bad("class[0].share", "all shares are nought");
        }
        Ok(())
    }

    fn check_plans(&self) -> Result<(), ScenarioError> {
        if self.plan.is_empty() || self.plan.len() > 64 {
            return bad("plan", "there must be 1 to 64");
        }
        for (at, plan) in self.plan.iter().enumerate() {
            let key = |name: &str| format!("plan[{at}].{name}");
            if plan.name.is_empty() || !plan.name.chars().all(|c| c.is_ascii_graphic()) {
                return bad(key("name"), "must be plain letters: it stands in a header");
            }
            if self.plan[..at].iter().any(|p| p.name == plan.name) {
                return bad(key("name"), format!("{} stands twice", plan.name));
            }
            number(&key("share"), plan.share, 0.0, 1e6)?;
            span(&key("rate"), plan.rate, 0.001, 1e6)?;
            span(&key("burst_seconds"), plan.burst_seconds, 0.01, 3_600.0)?;
            number(&key("pays"), plan.pays, 0.0, 1e6)?;
            number(&key("over_cost"), plan.over_cost, 0.0, 1e3)?;
            if let Some(ceiling) = plan.ceiling {
                span(&key("ceiling"), ceiling, 1.0, 1_000.0)?;
            }
            number(&key("ceiling_slack"), plan.ceiling_slack, 0.0, 10.0)?;
        }
        if self.plan.iter().map(|p| p.share).sum::<f64>() <= 0.0 {
            return bad("plan[0].share", "all shares are nought");
        }
        Ok(())
    }
}
