//! Case `memory`: clients send long bodies, within `max-body-bytes`, a few at once. The platform kills a process whose memory is over
//! `limits.memory-mb`, and starts it again.

use crate::http::Connection;
use crate::record::Record;
use crate::server::Server;
use crate::system::{items, random, Machine, System, EDGE_MEMORY_MB};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

const GATEWAYS: usize = 3;
const SERVERS: usize = 12;
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(500);
const CLIENTS_PER_ZONE: usize = 10;
/// With the disruption, 15 MiB: under a quarter of `max-body-bytes`. Without, the mean of the site's posts.
const LONG_BODY_BYTES: usize = 15 * 1024 * 1024;
const SHORT_BODY_BYTES: usize = 1_200;
/// `contact`, and a little more: all machines are in touch then.
const SETTLING: Duration = Duration::from_millis(5_000);
const LOAD: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(500);
/// The short delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const WATCH_INTERVAL: Duration = Duration::from_millis(10);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(8);
/// What the rule names: ends in the day, and machines.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// How a post ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Outcome {
    Answered(u16),
    /// The connection ended after the whole request was sent.
    Cut,
    /// The request could not be sent whole.
    NotSent,
}

struct Shared {
    stop: AtomicBool,
    posts: Mutex<Vec<(String, Outcome)>>,
    ends: Mutex<Vec<(String, u64)>>,
    peaks: Mutex<HashMap<String, u64>>,
    body: Vec<u8>,
}

/// True if the rule was broken.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let system = Arc::new(System::start(folder, GATEWAYS, record.clone())?);
    let servers = (0..SERVERS)
        .map(|at| Server::start(&system, at, "intake", SLOTS, WORK))
        .collect::<io::Result<Vec<_>>>()?;
    let configuration = [
        items::route("post", "non_idempotent", "intake", 5_000, 2),
        items::route("page", "idempotent", "intake", 5_000, 2),
        items::service("intake"),
        items::tenant("station", "key-station", 0, 0),
        items::limits(),
    ];
    system.order("config.replace", &items::configuration(1, 0, &configuration))?;
    system.wait_ready()?;
    let length = if trouble { LONG_BODY_BYTES } else { SHORT_BODY_BYTES };
    record.say(&format!("{GATEWAYS} gateways are ready; bodies of {length} bytes"));
    let shared = Arc::new(Shared {
        stop: AtomicBool::new(false),
        posts: Mutex::default(),
        ends: Mutex::default(),
        peaks: Mutex::default(),
        body: (0..length).map(|at| b'a' + (at % 23) as u8).collect(),
    });
    let watching: Vec<_> = system
        .gateways()
        .map(|gateway| {
            let (system, gateway, shared) = (system.clone(), gateway.clone(), shared.clone());
            thread::spawn(move || watch(&system, &gateway, &shared))
        })
        .collect();
    sleep(SETTLING);
    let clients: Vec<_> = (0..3 * CLIENTS_PER_ZONE)
        .map(|at| {
            let (system, shared) = (system.clone(), shared.clone());
            thread::spawn(move || client(&system, &shared, at % 3))
        })
        .collect();
    sleep(LOAD);
    shared.stop.store(true, Ordering::Relaxed);
    for thread in clients.into_iter().chain(watching) {
        let _ = thread.join();
    }
    servers.iter().for_each(|server| server.stop());
    system.stop();
    Ok(judge(record, &shared, &servers))
}

fn judge(record: &Record, shared: &Shared, servers: &[Arc<Server>]) -> bool {
    let mut ran = HashSet::new();
    for server in servers {
        let runs = server.runs.lock().map(|runs| runs.clone()).unwrap_or_default();
        ran.extend(runs.into_iter().map(|run| run.id));
    }
    let posts = shared.posts.lock().map(|posts| posts.clone()).unwrap_or_default();
    let mut outcomes: HashMap<Outcome, u64> = HashMap::new();
    for (_, outcome) in &posts {
        *outcomes.entry(*outcome).or_default() += 1;
    }
    let mut outcomes: Vec<_> = outcomes.into_iter().collect();
    outcomes.sort();
    let lost = posts.iter().filter(|(id, outcome)| *outcome == Outcome::Cut && ran.contains(id)).count();
    let ends = shared.ends.lock().map(|ends| ends.clone()).unwrap_or_default();
    let machines: BTreeSet<&String> = ends.iter().map(|(name, _)| name).collect();
    let peaks = shared.peaks.lock().map(|peaks| peaks.clone()).unwrap_or_default();
    record.say(&format!("posts: {outcomes:?}"));
    record.say(&format!(
        "posts that a server ran and whose client's connection was cut without an answer: {lost}"
    ));
    record.say(&format!("peak memory of processes, in MiB, with {EDGE_MEMORY_MB} allowed: {peaks:?}"));
    record.say(&format!(
        "processes that ended over their memory: {} on {} machines",
        ends.len(),
        machines.len()
    ));
    ends.len() >= ENDS && machines.len() >= MACHINES
}

/// The platform: kills a process over its memory, and starts it again.
fn watch(system: &System, gateway: &Machine, shared: &Shared) {
    while !shared.stop.load(Ordering::Relaxed) {
        sleep(WATCH_INTERVAL);
        let memory = gateway.process_id().and_then(memory_mib).unwrap_or(0);
        if let Ok(mut peaks) = shared.peaks.lock() {
            let peak = peaks.entry(gateway.name.clone()).or_default();
            *peak = memory.max(*peak);
        }
        let over = memory > EDGE_MEMORY_MB;
        if !over && !gateway.has_ended() {
            continue;
        }
        gateway.kill();
        system.record.note(&format!("{} ends with {memory} MiB", gateway.name));
        if let Ok(mut ends) = shared.ends.lock() {
            ends.push((gateway.name.clone(), system.record.now()));
        }
        sleep(RESTART_DELAY);
        if let Err(e) = system.run(gateway, false) {
            system.record.note(&format!("{} does not start: {e}", gateway.name));
        }
    }
}

/// The memory of a process itself: pages of files, and bytes in sockets, are not counted.
fn memory_mib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? / 1024)
}

fn client(system: &System, shared: &Shared, zone: usize) {
    while !shared.stop.load(Ordering::Relaxed) {
        let frontends = system.resolve(zone);
        let Some(frontend) = frontends.get(random() as usize % frontends.len().max(1)) else {
            sleep(PAUSE);
            continue;
        };
        // A connection that is kept, until it fails.
        if let Ok(mut connection) = Connection::open(*frontend, CLIENT_TIMEOUT) {
            while !shared.stop.load(Ordering::Relaxed) && exchange(system, shared, *frontend, &mut connection)
            {
                sleep(PAUSE);
            }
        }
        sleep(PAUSE);
    }
}

/// A short read, and a post on the same connection. False if the connection ends.
fn exchange(system: &System, shared: &Shared, frontend: SocketAddr, connection: &mut Connection) -> bool {
    let page = request(connection, "GET /page/today", &format!("{:016x}", random()), b"");
    if !matches!(page, Outcome::Answered(_)) {
        return false;
    }
    let id = format!("{:016x}", random());
    let gateway = system.name_of(frontend);
    system.record.note(&format!("client sends post {id} to {gateway}"));
    let outcome = request(connection, "POST /post/pledge", &id, &shared.body);
    system.record.note(&format!("client of post {id}: {outcome:?}"));
    if let Ok(mut posts) = shared.posts.lock() {
        posts.push((id, outcome));
    }
    matches!(outcome, Outcome::Answered(_))
}

fn request(connection: &mut Connection, line: &str, id: &str, body: &[u8]) -> Outcome {
    let headers = [
        ("Host", "shop.example"),
        ("Authorization", "Bearer key-station"),
        ("Limeway-Request-Id", id),
        ("Limeway-Deadline-Ms", "5000"),
    ];
    if connection.request(line, &headers, body).is_err() {
        return Outcome::NotSent;
    }
    match connection.read(true) {
        Ok(answer) => Outcome::Answered(answer.status()),
        Err(_) => Outcome::Cut,
    }
}
