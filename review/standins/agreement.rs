//! Case `agreement`: two operators change the configuration on the same version, both at a core machine that was added. The processes of
//! the other core machines are killed while the first change is on its way, and all processes right after the second change is
//! acknowledged. They come back within a second, with their disks.

use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::system::{items, random, Machine, System, VRCP_CLEAR};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 30;
/// No round begins later than this after the start.
const LAST_ROUND: Duration = Duration::from_secs(95);
/// Routes that the first change alters: `big_config` adds 350 to 410 on the small site `vrcp-clear`.
const ALTERED_ROUTES: usize = 350;
/// Changes like the first one whose time to their acknowledgement is taken before each round.
const MEASURED_CHANGES: u32 = 3;
/// The part of that time after which the processes are killed: drawn anew for each round.
const MIN_PART: f64 = 0.55;
const PART_SPREAD: f64 = 0.45;
/// The last of three processes is killed so much later than the first two.
const KILL_SPREAD: Duration = Duration::from_millis(25);
/// All processes come back within a second.
const BACK_AFTER: Duration = Duration::from_millis(930);
const FIRST_BACK_AFTER: Duration = Duration::from_millis(100);
const SECOND_BACK_AFTER: Duration = Duration::from_millis(130);
/// An operator goes on to another limiter after a second of silence.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long the second operator sends its change again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the configuration is asked for.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
const SETTLING: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(1_000);

/// True if the rule was broken.
pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let begun = Instant::now();
    let system = System::start_with_spare(folder, VRCP_CLEAR, 0, 1, record.clone())?;
    let core: Vec<_> = system.core().cloned().collect();
    let all = [
        items::route("first", "idempotent", "charge-query", 1_000, 2),
        items::service("charge-query"),
        items::tenant("partner", "key-partner", 0, 0),
        items::limits(),
    ];
    system.order("config.replace", &items::configuration(1, 0, &all))?;
    system.run(&core[3], false)?;
    record.say(&format!("three core machines run, and {} was added", core[3].name));
    sleep(SETTLING);
    let mut version = 1;
    for round in 1..=ROUNDS {
        if begun.elapsed() > LAST_ROUND {
            break;
        }
        let usual = measure(&system, &core[3], &mut version);
        let (before, acknowledged) = (version, play_round(&system, &core, version, usual, trouble)?);
        let read =
            read_version(&system, &core).ok_or_else(|| io::Error::other("no configuration is read"))?;
        record.say(&format!(
            "round {round}: built on {before:08x}, newest acknowledged {acknowledged:08x}, read back {read:08x}"
        ));
        // A change without a clear answer may be in force, but not in place of one that was acknowledged.
        if acknowledged > before && read != acknowledged {
            record.say("an acknowledged configuration is gone");
            sleep(PAUSE);
            for machine in &core {
                let version = ask(&system, machine, "config.read", "").as_ref().and_then(version_of);
                record.say(&format!("{} reads {:08x}", machine.name, version.unwrap_or(0)));
            }
            return Ok(true);
        }
        version = read;
        sleep(PAUSE);
    }
    Ok(false)
}

/// The body of a change of one route, or of many.
fn change(version: u32, base: u32, routes: &[String]) -> String {
    let list = routes.join(",");
    format!("{{\"config-version\":\"{version:08x}\",\"upsert\":{{\"resource-list\":[{list}]}},\"remove\":{{}},\"base-version\":\"{base:08x}\"}}")
}

/// A change of many routes.
fn large_change(base: u32) -> String {
    let timeout = 1_000 + u64::from(base % 500);
    let route = |at| items::route(&format!("many-{at}"), "idempotent", "charge-query", timeout, 2);
    change(base + 1, base, &(0..ALTERED_ROUTES).map(route).collect::<Vec<_>>())
}

/// How long a change of many routes usually takes.
fn measure(system: &System, machine: &Machine, version: &mut u32) -> Duration {
    let mut times = Vec::new();
    for _ in 0..MEASURED_CHANGES {
        let begun = Instant::now();
        let answer = ask(system, machine, "config.update", &large_change(*version));
        if answer.is_some_and(|answer| answer.status() == 200) {
            times.push(begun.elapsed());
            *version += 1;
        }
        sleep(RETRY_INTERVAL);
    }
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or(Duration::from_millis(8))
}

/// Returns the newest version that was acknowledged.
fn play_round(
    system: &System,
    core: &[Arc<Machine>],
    version: u32,
    usual: Duration,
    trouble: bool,
) -> io::Result<u32> {
    let record = &system.record;
    let (a, b, c, added) = (&core[0], &core[1], &core[2], &core[3]);
    let mut connection = Connection::open(added.control(), CALL_TIMEOUT)?;
    let part = MIN_PART + PART_SPREAD * (random() % 1_000) as f64 / 1_000.0;
    let under_way = usual.mul_f64(part);
    let sent = Instant::now();
    let headers = [("Host", "core"), ("Connection", "close")];
    connection.request("POST /-/rpc?call=config.update", &headers, large_change(version).as_bytes())?;
    if trouble {
        while sent.elapsed() < under_way {
            std::hint::spin_loop();
        }
        kill(&[b, c]);
        sleep(KILL_SPREAD);
        kill(&[a]);
    }
    let answer = connection.read(true).map_or(0, |answer| answer.status());
    if trouble {
        record.note(&format!(
            "{} us after the first change was sent, two core processes were killed, and a third {} ms later",
            under_way.as_micros(),
            KILL_SPREAD.as_millis()
        ));
    }
    record.note(&format!(
        "first operator, change {:08x}: {answer} after {} ms, 0 for no answer",
        version + 1,
        sent.elapsed().as_millis()
    ));
    if trouble {
        sleep(BACK_AFTER.saturating_sub(sent.elapsed()));
        system.run(b, false)?;
        system.run(c, false)?;
        record.note("two core processes are back");
    }
    // The second operator sends its change until there is a clear answer.
    let small = items::route("other", "idempotent", "charge-query", 1_000, 2);
    let second = change(version + 2, version, &[small]);
    let begun = Instant::now();
    let mut status = 0;
    while !(200..500).contains(&status) && begun.elapsed() < ORDER_TIMEOUT {
        status = ask(system, added, "config.update", &second).map_or(0, |answer| answer.status());
        if !(200..500).contains(&status) {
            sleep(RETRY_INTERVAL);
        }
    }
    if trouble {
        // Right after the acknowledgement.
        kill(&[b, c, added]);
    }
    let killed = Instant::now();
    record.note(&format!("second operator, change {:08x}: {status}", version + 2));
    if trouble {
        record.note("all core processes were killed");
        sleep(FIRST_BACK_AFTER.saturating_sub(killed.elapsed()));
        system.run(b, false)?;
        sleep(SECOND_BACK_AFTER.saturating_sub(killed.elapsed()));
        system.run(a, false)?;
        sleep(BACK_AFTER.saturating_sub(killed.elapsed()));
        system.run(c, false)?;
        system.run(added, false)?;
        record.note("all core processes are back");
    }
    Ok(match (answer, status) {
        (_, 200) => version + 2,
        (200, _) => version + 1,
        _ => version,
    })
}

/// Kills processes at one moment.
fn kill(machines: &[&Arc<Machine>]) {
    machines.iter().for_each(|machine| machine.send_kill());
    machines.iter().for_each(|machine| machine.kill());
}

fn ask(system: &System, machine: &Machine, name: &str, body: &str) -> Option<Message> {
    let line = format!("POST /-/rpc?call={name}");
    let headers = [("Content-Type", "application/json")];
    let answer = http::call(machine.control(), &line, &headers, body.as_bytes(), CALL_TIMEOUT);
    let status = answer.as_ref().map_or(0, Message::status);
    system.record.note(&format!("{name} at {}: {status}", machine.name));
    answer.ok()
}

/// The version of a configuration that was read.
fn version_of(answer: &Message) -> Option<u32> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let digits = text.split("\"config-version\":\"").nth(1)?.get(..8)?;
    u32::from_str_radix(digits, 16).ok()
}

/// The version that the operator reads back, from the first machine that answers.
fn read_version(system: &System, core: &[Arc<Machine>]) -> Option<u32> {
    let begun = Instant::now();
    while begun.elapsed() < READ_TIMEOUT {
        for machine in core {
            let answer = ask(system, machine, "config.read", "").filter(|answer| answer.status() == 200);
            if let Some(version) = answer.as_ref().and_then(version_of) {
                return Some(version);
            }
        }
        sleep(RETRY_INTERVAL);
    }
    None
}
