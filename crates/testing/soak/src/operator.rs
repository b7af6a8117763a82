//! The operator: changes, races, evacuations and reads.

use crate::bounds::CONTACT;
use crate::control_caller::ControlCaller;
use crate::demand::Demand;
use crate::evacuations::ZoneCalls;
use crate::layout::{CORE, SERVICE};
use crate::ledger::{ConfigVersion, Ledger, Read};
use crate::plan::{Kind, Plan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between two orders, in milliseconds.
const ORDER_INTERVAL_MS: std::ops::Range<u64> = 200..1_400;
/// The same of an operator who sends hundreds.
const BUSY_ORDER_INTERVAL_MS: std::ops::Range<u64> = 20..160;
/// Idle timeouts of configurations, in milliseconds: no client lets a connection rest for four fifths of the shortest.
const IDLE_TIMEOUT_MS: std::ops::Range<u32> = 250..5_000;
/// Timeouts of the routes that are always there, in milliseconds: no client states a longer deadline.
const ROUTE_TIMEOUT_MS: std::ops::Range<u32> = 5_500..9_000;
/// Pause between two reads of what was acknowledged.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// One change in so many takes a key away and brings another.
const CHANGES_PER_KEY: u32 = 2;
/// Routes beside the first ones that are in force at once.
const MAX_ADDED_ROUTES: usize = 3;
/// Keys that were taken away and are still tried.
const MAX_REVOKED_KEYS: usize = 4;
/// How long a zone stays evacuated.
const EVACUATION_LENGTH: Duration = Duration::from_secs(7);

/// The zone that is evacuated at times.
const EVACUATED_ZONE: &str = "z3";

/// What is in force as far as the operator knows.
#[derive(Debug, Clone, Default)]
struct Config {
    version: u32,
    routes: Vec<u32>,
    keys: Vec<String>,
    idle_timeout_ms: u32,
    route_timeout_ms: u32,
}

/// The operator.
pub struct Operator {
    ledger: Rc<Ledger>,
    demand: Rc<Demand>,
    caller: ControlCaller,
    zones: ZoneCalls,
    rng: RefCell<ChaCha8Rng>,
    order_interval_ms: std::ops::Range<u64>,
    config: RefCell<Config>,
    /// Changes that were made.
    changes: Cell<u32>,
}

impl Operator {
    /// An operator who has sent nothing yet.
    pub fn new(net: u8, plan: &Plan, ledger: Rc<Ledger>, demand: Rc<Demand>) -> Rc<Self> {
        let is_busy = plan.kind == Kind::Series;
        Rc::new(Operator {
            zones: ZoneCalls::new(net, 0, ledger.clone()),
            ledger,
            demand,
            caller: ControlCaller::new(net, 0),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed ^ 0x0bed)),
            order_interval_ms: if is_busy { BUSY_ORDER_INTERVAL_MS } else { ORDER_INTERVAL_MS },
            config: RefCell::default(),
            changes: Cell::new(0),
        })
    }

    /// Sends the first configuration until it is taken.
    pub async fn begin(&self) -> bool {
        let config = Config {
            version: 1,
            routes: Vec::new(),
            keys: vec!["key-1".to_owned()],
            idle_timeout_ms: IDLE_TIMEOUT_MS.end,
            route_timeout_ms: ROUTE_TIMEOUT_MS.start,
        };
        self.send(config, 0).await == Some(200)
    }

    /// Sends orders until no more are to begin.
    pub async fn run(self: Rc<Self>) {
        while !self.demand.stopped.get() {
            let pause =
                Duration::from_millis(self.rng.borrow_mut().random_range(self.order_interval_ms.clone()));
            sleep(pause).await;
            let choice = self.rng.borrow_mut().random_range(0..12);
            match choice {
                0..=1 => self.read().await,
                2 => self.race().await,
                3 => self.evacuate().await,
                _ => self.change().await,
            }
        }
    }

    /// The next configuration: a route more, and one fewer where there are many; now and then another key.
    fn next_config(&self) -> (Config, u32) {
        let current = self.config.borrow().clone();
        let mut rng = self.rng.borrow_mut();
        let mut next = current.clone();
        next.version += rng.random_range(1..4);
        next.routes.push(next.version);
        if next.routes.len() > MAX_ADDED_ROUTES {
            next.routes.remove(0);
        }
        next.idle_timeout_ms = rng.random_range(IDLE_TIMEOUT_MS);
        next.route_timeout_ms = rng.random_range(ROUTE_TIMEOUT_MS);
        self.changes.set(self.changes.get() + 1);
        if self.changes.get().is_multiple_of(CHANGES_PER_KEY) {
            next.keys = vec![format!("key-{}", next.version)];
        }
        (next, current.version)
    }

    /// Sends a change; one more after an acknowledgement is sure to be lost in a closing fault that comes with it.
    pub async fn change(&self) {
        let (next, base) = self.next_config();
        self.send(next, base).await;
    }

    /// Two changes on one base at once: one of them prevails.
    async fn race(&self) {
        let (first, base) = self.next_config();
        let mut second = first.clone();
        second.version += 1;
        second.routes.retain(|route| *route != first.version);
        second.routes.push(second.version);
        let sent = tokio::join!(self.send(first, base), self.send(second, base));
        let acknowledged = [sent.0, sent.1].iter().filter(|status| **status == Some(200)).count();
        if acknowledged > 1 {
            self.ledger.seen.borrow_mut().own_ends.push(format!("both changes on {base} were acknowledged"));
        }
    }

    async fn send(&self, config: Config, base: u32) -> Option<u16> {
        let body = document(&config, base);
        let index = self.note_sent(&config);
        let status = self.caller.until_clear("config.replace", &body).await;
        let now = self.ledger.now();
        let mut seen = self.ledger.seen.borrow_mut();
        match status {
            Some(200) => {
                seen.configs[index].acknowledged = Some(now);
                self.take(config);
            }
            Some(_) => seen.configs[index].refused = true,
            None => {}
        }
        status
    }

    fn note_sent(&self, config: &Config) -> usize {
        let sent = self.ledger.now();
        let mut seen = self.ledger.seen.borrow_mut();
        seen.configs.push(ConfigVersion {
            version: config.version,
            sent,
            acknowledged: None,
            refused: false,
            routes: config.routes.clone(),
            keys: config.keys.clone(),
        });
        seen.configs.len() - 1
    }

    /// A configuration is in force: clients ask by it, and go on to try keys that were taken away.
    fn take(&self, config: Config) {
        if config.version <= self.config.borrow().version {
            return;
        }
        let last = self.config.replace(config.clone());
        let mut revoked = self.demand.revoked.borrow_mut();
        revoked.extend(last.keys.into_iter().filter(|key| !config.keys.contains(key)));
        let excess = revoked.len().saturating_sub(MAX_REVOKED_KEYS);
        revoked.drain(..excess);
        let mut routes = config.routes;
        routes.extend(last.routes.first());
        *self.demand.routes.borrow_mut() = routes;
        *self.demand.keys.borrow_mut() = config.keys;
    }

    async fn read(&self) {
        let machine = self.rng.borrow_mut().random_range(0..CORE);
        let sent = self.ledger.now();
        if let Some((200, text)) = self.caller.call_machine(machine, "config.read", "").await {
            self.note_read(machine, sent, &text);
        }
    }

    /// Notes the answer to a read that was sent at this time. Returns its version.
    fn note_read(&self, machine: usize, sent: Duration, text: &str) -> u32 {
        let version = version(text);
        let read = Read { machine, sent, version, routes: added_routes(text) };
        self.ledger.seen.borrow_mut().reads.push(read);
        version
    }

    /// Reads the configuration back from each core machine in turn, until it comes and for [`CONTACT`] more. Returns the first answer.
    pub async fn read_back(&self, within: Duration) -> Option<u32> {
        let mut until = self.ledger.now() + within;
        let (mut first, mut next) = (None, 0);
        while self.ledger.now() < until {
            let (machine, sent) = (next % CORE, self.ledger.now());
            next += 1;
            if let Some((200, text)) = self.caller.call_machine(machine, "config.read", "").await {
                let version = self.note_read(machine, sent, &text);
                if first.replace(first.unwrap_or(version)).is_none() {
                    until = self.ledger.now() + CONTACT;
                }
            }
            sleep(READ_INTERVAL).await;
        }
        first
    }

    /// Has a zone evacuated, and does not take that back.
    pub async fn evacuate_for_good(&self) {
        if self.caller.until_clear(&format!("evacuations.start&of={EVACUATED_ZONE}"), "").await == Some(200) {
            self.ledger.seen.borrow_mut().evacuated_at_end = Some(EVACUATED_ZONE.to_owned());
        }
    }

    /// Has a zone evacuated for a while.
    async fn evacuate(&self) {
        if self.zones.start(EVACUATED_ZONE).await {
            sleep(EVACUATION_LENGTH).await;
            self.zones.finish(EVACUATED_ZONE).await;
        }
    }
}

/// The version of a configuration as it is read.
fn version(text: &str) -> u32 {
    let after = text.split("\"config-version\":\"").nth(1).unwrap_or("");
    u32::from_str_radix(after.split('"').next().unwrap_or(""), 16).unwrap_or(0)
}

/// The routes of a configuration as it is read, by the versions that added them, in order.
fn added_routes(text: &str) -> Vec<u32> {
    let names = text.split("\"name\":\"read-").skip(1);
    let mut routes: Vec<u32> = names.filter_map(|rest| rest.split('"').next()?.parse().ok()).collect();
    routes.sort_unstable();
    routes
}

fn document(config: &Config, base: u32) -> String {
    let timeout = config.route_timeout_ms;
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"resource-kind\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"specification\":{{\"hostname\":\"soak.example\",\
             \"path-prefix\":\"/{name}/\",\"route-type\":\"{kind}\",\"timeout\":\"{timeout}ms\",\"target-latency\":\"400ms\",\
             \"target-service\":\"{SERVICE}\",\"max-attempts\":3}}}}"
        )
    };
    let mut items = vec![route("read", "idempotent"), route("post", "non_idempotent")];
    for added in &config.routes {
        items.push(route(&format!("read-{added}"), "idempotent"));
        items.push(route(&format!("post-{added}"), "non_idempotent"));
    }
    let tenant = |name: &str, keys: &[String], rate: f64| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            "{{\"resource-kind\":\"tenants\",\"metadata\":{{\"name\":\"{name}\"}},\"specification\":{{\"api-keys\":[{}],\
             \"rate-per-s\":{rate},\"burst-size\":{rate}}}}}",
            keys.join(",")
        )
    };
    items.push(format!(
        "{{\"resource-kind\":\"limits\",\"metadata\":{{\"name\":\"limits\"}},\"specification\":{{\"max-body-bytes\":67108864,\"idle-timeout\":\"{}ms\"}}}}",
        config.idle_timeout_ms
    ));
    items.push(tenant("ample", &config.keys, 2_000.0));
    items.push(tenant("tight", &["key-tight".to_owned()], crate::bounds::TIGHT_RATE));
    items.push(format!(
        "{{\"resource-kind\":\"services\",\"metadata\":{{\"name\":\"{SERVICE}\"}},\"specification\":{{\"health-path\":\"/health\",\
         \"max-connections\":200}}}}"
    ));
    format!(
        "{{\"config-version\":\"{:08x}\",\"base-version\":\"{base:08x}\",\"resource-list\":[{}]}}",
        config.version,
        items.join(",")
    )
}
