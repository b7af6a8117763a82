//! Case `quota`: a tenant asks for many times its limit, while the gateways are killed at one moment, come back after a short delay, and
//! are killed again.

use crate::http::Connection;
use crate::record::Record;
use crate::server::Server;
use crate::system::{items, random, System};
use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
const SERVERS: usize = 12;
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(10);
/// The limit of the tenant that the pages print.
const RATE: u32 = 83;
const BURST: u32 = 83;
/// The bounds of the rule: `quota-window`, `quota-overshoot`, `quota-slack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// A tenant's usual is its limit by the site's `quota_x` of 1.6, and `hot_tenant` is 7.5 times that.
const ASKED_PER_SECOND: f64 = 7.5 * RATE as f64 / 1.6;
const CLIENTS: usize = 24;
const SETTLING: Duration = Duration::from_millis(5_000);
const BEFORE: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(6);
/// The crashes.
const KILLS: usize = 14;
const KILL_INTERVAL: Duration = Duration::from_millis(650);
const RESTART_DELAY: Duration = Duration::from_millis(100);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

struct Shared {
    stop: AtomicBool,
    /// When each request was sent.
    sent: Mutex<HashMap<String, Instant>>,
    answers: Mutex<HashMap<u16, u64>>,
}

/// True if the rule was broken.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let system = Arc::new(System::start(folder, GATEWAYS, record.clone())?);
    let servers = (0..SERVERS)
        .map(|at| Server::start(&system, at, "schedule", SLOTS, WORK))
        .collect::<io::Result<Vec<_>>>()?;
    let configuration = [
        items::route("page", "idempotent", "schedule", 1_000, 2),
        items::service("schedule"),
        items::tenant("station", "key-station", RATE, BURST),
        items::limits(),
    ];
    system.order("config.replace", &items::configuration(1, 0, &configuration))?;
    system.wait_ready()?;
    sleep(SETTLING);
    record.say(&format!(
        "{GATEWAYS} gateways are ready; the tenant asks for {ASKED_PER_SECOND:.0} requests a second"
    ));
    let shared =
        Arc::new(Shared { stop: AtomicBool::new(false), sent: Mutex::default(), answers: Mutex::default() });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let (system, shared) = (system.clone(), shared.clone());
            thread::spawn(move || client(&system, &shared, at))
        })
        .collect();
    sleep(BEFORE);
    let begun = Instant::now();
    for kill in 0..KILLS as u32 {
        if trouble {
            record.note("all gateways are killed");
            system.gateways().for_each(|gateway| gateway.kill());
            sleep(RESTART_DELAY);
            for gateway in system.gateways() {
                system.run(gateway, false)?;
            }
        }
        sleep((KILL_INTERVAL * (kill + 1)).saturating_sub(begun.elapsed()));
    }
    sleep(AFTER);
    shared.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    servers.iter().for_each(|server| server.stop());
    system.stop();
    Ok(judge(record, &shared, &servers))
}

fn judge(record: &Record, shared: &Shared, servers: &[Arc<Server>]) -> bool {
    let sent = shared.sent.lock().map(|sent| sent.clone()).unwrap_or_default();
    let mut requests = Vec::new();
    for server in servers {
        for run in server.runs.lock().map(|runs| runs.clone()).unwrap_or_default() {
            if let Some(sent) = sent.get(&run.id).filter(|_| run.tenant == "station") {
                requests.push((*sent, run.at));
            }
        }
    }
    requests.sort();
    // Both sent and run in one span of the window's length; the fullest one begins with the sending of a request.
    let in_span = |from: usize| {
        let begin = requests[from].0;
        requests[from..].iter().filter(|(_, ran)| *ran <= begin + WINDOW).count()
    };
    let most = (0..requests.len()).map(in_span).max().unwrap_or(0);
    let limit = f64::from(RATE) * WINDOW.as_secs_f64() + f64::from(BURST);
    let allowed = limit * (1.0 + OVERSHOOT) + SLACK;
    let answers = shared.answers.lock().map(|answers| answers.clone()).unwrap_or_default();
    let mut answers: Vec<_> = answers.into_iter().collect();
    answers.sort_unstable();
    record.say(&format!("answers by status, 0 for a connection that failed: {answers:?}"));
    record.say(&format!(
        "requests of the tenant that were sent and run in one span of 5 s: {most}; allowed: {allowed:.1}"
    ));
    most as f64 > allowed
}

fn client(system: &System, shared: &Shared, at: usize) {
    let gateways: Vec<_> = system.gateways().cloned().collect();
    let mut gateway = at % gateways.len();
    let interval = Duration::from_secs_f64(CLIENTS as f64 / ASKED_PER_SECOND);
    let mut next = Instant::now() + interval.mul_f64(at as f64 / CLIENTS as f64);
    let mut kept: Option<Connection> = None;
    while !shared.stop.load(Ordering::Relaxed) {
        sleep(next.saturating_duration_since(Instant::now()));
        // Half to one and a half of the interval; what could not be sent in time is not made up for.
        let part = 0.5 + random() as f64 / u64::MAX as f64;
        next = (next + interval.mul_f64(part)).max(Instant::now());
        let id = format!("{:016x}", random());
        let frontend = gateways[gateway].frontend();
        let connection = kept.take().map_or_else(|| Connection::open(frontend, CLIENT_TIMEOUT), Ok);
        let status = connection.and_then(|mut connection| {
            if let Ok(mut sent) = shared.sent.lock() {
                sent.insert(id.clone(), Instant::now());
            }
            let headers = [
                ("Host", "shop.example"),
                ("Authorization", "Bearer key-station"),
                ("Limeway-Request-Id", &id),
                ("Limeway-Deadline-Ms", "1000"),
            ];
            connection.request("GET /page/today", &headers, b"")?;
            let answer = connection.read(true)?;
            if !answer.closes() {
                kept = Some(connection);
            }
            Ok(answer.status())
        });
        let status = status.unwrap_or(0);
        system.record.note(&format!("request {id} to {}: {status}", gateways[gateway].name));
        if let Ok(mut answers) = shared.answers.lock() {
            *answers.entry(status).or_default() += 1;
        }
        if status == 0 {
            gateway = (gateway + 1) % gateways.len();
        }
    }
}
