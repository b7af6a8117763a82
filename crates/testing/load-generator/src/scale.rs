//! The whole system at a size that one machine cannot hold: real core machines, and hollow limiters and servers. A hollow
//! limiter is a limiter without clients: the same code over the same sockets, many in this process. A hollow server sends
//! reports and serves nothing.

use crate::slopes::configuration;
use crate::system::{call, settings, System};
use limeway_balancer::gateway::Gateway;
use limeway_balancer::{clock, transport};
use limeway_http1::conn::Conn;
use limeway_settings::Settings;
use limeway_settings_file::{Role, Zone};
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

/// Zones and regions of the target.
const ZONES: usize = 24;
const REGIONS: usize = 7;
/// Core machines.
const CORE: usize = 5;
/// Pause between two reports of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Connections over which servers report, a core machine.
const LINES: usize = 24;
/// What does not come about within it is said so.
const SOON: Duration = Duration::from_secs(60);

/// How large the run is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Limiters.
    pub limiters: usize,
    /// Servers.
    pub servers: usize,
    /// Routes of the configuration.
    pub routes: u64,
    /// Tenants of the configuration.
    pub tenants: u64,
}

/// A hollow limiter, with all that runs for it: it ends at once, connections and all, when this is dropped.
struct Hollow {
    edge: Rc<Gateway>,
    zone: usize,
    running: JoinHandle<()>,
}

impl Drop for Hollow {
    fn drop(&mut self) {
        self.running.abort();
    }
}

struct Run {
    system: System,
    seeds: Vec<Ipv4Addr>,
    net: u8,
    hollow: Vec<Option<Hollow>>,
}

impl Run {
    fn start(&mut self, n: usize) -> io::Result<()> {
        let ip = Ipv4Addr::new(127, self.net, 2 + (n / 200) as u8, 1 + (n % 200) as u8);
        let zone = n % ZONES;
        // An address for clients makes it a limiter; nobody listens there.
        let role = Role::Gateway { frontend: (ip, 1).into(), readiness: None, directory_api: None };
        let text = settings(ip, zone, &self.system.zones, &self.seeds, role, false).to_string();
        let settings = Settings::read(&text).map_err(|e| io::Error::other(format!("{e:?}")))?;
        let inner = SocketAddr::from((ip, settings.inner_ports.first));
        let edge = Gateway::new(settings);
        let listener = transport::bind(inner)?;
        let set = LocalSet::new();
        let answering = edge.clone();
        set.spawn_local(transport::listen(listener, move |call| answering.clone().answer(call)));
        set.spawn_local(edge.clone().follow());
        set.spawn_local(edge.clone().lease_quota());
        let running = spawn_local(set);
        self.hollow[n] = Some(Hollow { edge, zone, running });
        Ok(())
    }

    fn live(&self) -> impl Iterator<Item = &Hollow> {
        self.hollow.iter().flatten()
    }

    /// Waits until all live limiters are so far, and tells when each was: half of them, 99 in 100, and the last.
    async fn until(&self, what: &str, mut so: impl FnMut(&Gateway) -> bool) {
        let begun = Instant::now();
        let mut left: Vec<&Hollow> = self.live().collect();
        let mut times: Vec<f64> = Vec::with_capacity(left.len());
        while !left.is_empty() && begun.elapsed() < SOON {
            let now = begun.elapsed().as_secs_f64();
            left.retain(|h| {
                let done = so(&h.edge);
                if done {
                    times.push(now);
                }
                !done
            });
            sleep(Duration::from_millis(5)).await;
        }
        let at =
            |part: f64| times.get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1)));
        let (half, most, last) = (at(0.5), at(0.99), times.last());
        let show = |t: Option<&f64>| t.map_or("never".to_owned(), |t| format!("{t:.2} s"));
        println!(
            "{what:<52} half {:>8}  99% {:>8}  last {:>8}  not {}",
            show(half),
            show(most),
            show(last),
            left.len()
        );
    }

    fn versions(&self) -> (u32, u32) {
        let versions = || self.live().map(|h| h.edge.routing().version);
        (versions().min().unwrap_or(0), versions().max().unwrap_or(0))
    }

    /// What the core machines have used since the last time, and what they hold.
    fn core(&self, what: &str, last: &mut [f64], since: Instant) {
        let seconds = since.elapsed().as_secs_f64();
        let mut told = Vec::new();
        for (at, last) in last.iter_mut().enumerate() {
            let (spent, memory) = self.system.usage(at);
            told.push(format!("{:.3} cores {:.0} MB", (spent - *last).max(0.0) / seconds, memory / 1e6));
            *last = spent;
        }
        println!("{what:<52} core machines: {}", told.join(", "));
    }
}

/// Servers report over a few connections a core machine, as many as they are.
async fn beats(control: Vec<SocketAddr>, servers: usize, net: u8, count: Rc<Cell<u64>>) {
    for line in 0..LINES * control.len() {
        let (to, count) = (control[line % control.len()], count.clone());
        let lines = LINES * control.len();
        spawn_local(async move {
            let mut conn: Option<Conn> = None;
            let mine: Vec<usize> = (0..servers).filter(|n| n % lines == line).collect();
            for beat in 1u64.. {
                let begun = Instant::now();
                for (k, n) in mine.iter().enumerate() {
                    tokio::time::sleep_until(
                        begun + HEARTBEAT_INTERVAL.mul_f64(k as f64 / mine.len() as f64),
                    )
                    .await;
                    let body = format!(
                        "{{\"target-service\":\"s{}\",\"address\":\"127.{net}.{}.{}:{}\",\"zone\":\"z{}\",\"config-version\":\"v1\",\"capacity-slots\":6,\"state\":\"ready\",\"cold-left\":\"0ms\",\"call-count\":{beat}}}",
                        n % 170,
                        100 + n / 250,
                        n % 250,
                        8080,
                        n % ZONES
                    );
                    let message = format!(
                        "POST /-/rpc?call=instances.heartbeat&of=i-{n:08} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if conn.is_none() {
                        conn = Conn::open(to, &Rc::default()).await.ok();
                    }
                    let Some(open) = conn.as_mut() else { continue };
                    let answered = async {
                        open.write(message.as_bytes(), &Cell::new(false)).await.ok()?;
                        open.read().await.ok()
                    };
                    match tokio::time::timeout(Duration::from_secs(1), answered).await {
                        Ok(Some(reply)) if reply.head.status == 200 => count.set(count.get() + 1),
                        _ => conn = None,
                    }
                }
                tokio::time::sleep_until(begun + HEARTBEAT_INTERVAL).await;
            }
        });
    }
}

/// Makes the run, and tells each step.
pub async fn run(program: &Path, size: Size) -> io::Result<()> {
    let folder = std::env::temp_dir().join(format!("limeway-load-scale-{}", std::process::id()));
    let net = 100 + (std::process::id() % 100) as u8;
    clock::seed(u32::from(net));
    let zones = (0..ZONES).map(|z| Zone::new(format!("z{z}"), format!("region{}", z % REGIONS))).collect();
    let system = System::of(program, &folder, CORE, 0, 0, net, zones)?;
    let seeds: Vec<Ipv4Addr> = system.machines[..3].iter().map(|m| m.ip).collect();
    let mut run = Run { system, seeds, net, hollow: (0..size.limiters).map(|_| None).collect() };
    println!(
        "{CORE} core machines; hollow: {} limiters in {ZONES} zones, {} servers; {} routes, {} tenants",
        size.limiters, size.servers, size.routes, size.tenants
    );
    run.system.order("config.replace", &configuration(size.routes, size.tenants)).await?;
    let (mut used, mut since) = (vec![0.0; CORE], Instant::now());
    let counted = Rc::new(Cell::new(0));
    beats(run.system.control(), size.servers, net, counted.clone()).await;
    for n in 0..size.limiters {
        run.start(n)?;
    }
    run.until("start of all: sure of the configuration", Gateway::is_ready).await;
    let (limiters, servers) = (size.limiters, size.servers);
    run.until("start of all: every limiter and server known", |e| e.known() == (limiters, servers)).await;
    run.core("starting", &mut used, since);
    (since, _) = (Instant::now(), counted.replace(0));
    sleep(Duration::from_secs(10)).await;
    run.core("ten quiet seconds", &mut used, since);
    println!("{:<52} {:.0} a second answered", "reports of servers", counted.get() as f64 / 10.0);
    for change in 2u32..7 {
        let body = format!(
            "{{\"config-version\":\"{change:08x}\",\"base-version\":\"{:08x}\",\"upsert\":{{\"resource-list\":[{{\"resource-kind\":\"tenants\",\"metadata\":{{\"name\":\"t000001\"}},\"specification\":{{\"api-keys\":[\"key-of-change-{change}\"],\"rate-per-s\":5,\"burst-size\":5}}}}]}}}}",
            change - 1
        );
        let begun = Instant::now();
        run.system.order("config.update", &body).await?;
        let acked = begun.elapsed().as_secs_f64();
        run.until(&format!("change {change}: in force (acknowledged in {acked:.3} s)"), |e| {
            e.routing().version == change
        })
        .await;
    }
    run.core("five changes", &mut used, since);
    since = Instant::now();
    (0..size.limiters).step_by(10).for_each(|n| run.hollow[n] = None);
    // Their listeners close with their tasks, in the next turn.
    sleep(Duration::from_millis(200)).await;
    for n in (0..size.limiters).step_by(10) {
        run.start(n)?;
    }
    run.until("a tenth starts anew at once: sure", Gateway::is_ready).await;
    run.core("a tenth starting anew", &mut used, since);
    since = Instant::now();
    let lost: Vec<usize> = (0..size.limiters).filter(|n| n % ZONES == 5).collect();
    lost.iter().for_each(|n| run.hollow[*n] = None);
    let left = size.limiters - lost.len();
    run.until("a zone is lost: all others know", |e| e.known().0 == left).await;
    for n in lost {
        run.start(n)?;
    }
    run.until("the zone is back: all know", |e| e.known().0 == limiters).await;
    run.core("a zone lost and back", &mut used, since);
    for at in 0..CORE {
        run.system.kill(at).await?;
    }
    sleep(Duration::from_secs(1)).await;
    for at in 0..CORE {
        run.system.run(at, false)?;
    }
    let back = clock::now();
    run.until("all of the core restarted: sure again", |e| e.confirmed_at() > back).await;
    let body = format!("{{\"config-version\":\"{:08x}\",\"base-version\":\"{:08x}\",\"remove\":{{\"tenants\":[\"t000001\"]}}}}", 7, 6);
    run.system.order("config.update", &body).await?;
    run.until("a change after it: in force", |e| e.routing().version == 7).await;
    let (least, most) = run.versions();
    let agreed = call(run.system.control()[0], "/-/rpc?call=config.read", "").await;
    let read = agreed
        .is_some_and(|(status, text)| status == 200 && text.contains("\"config-version\":\"00000007\""));
    println!("versions in force {least} to {most}, read back: {}", if read { "7" } else { "not 7" });
    let zones: std::collections::BTreeSet<usize> = run.live().map(|h| h.zone).collect();
    println!(
        "{} limiters in {} zones at the end; logs under {}",
        run.live().count(),
        zones.len(),
        folder.display()
    );
    Ok(())
}
