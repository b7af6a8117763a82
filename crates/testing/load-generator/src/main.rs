//! The load generator's command line.
#![forbid(unsafe_code)]

use limeway_load_generator::arrivals::{Arrivals, Shape};
use limeway_load_generator::client::{Class, Clients};
use limeway_load_generator::system::{System, ZONES};
use limeway_load_generator::tally::{Account, End};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until, Instant};

/// The command line.
mod flags {
    #![allow(missing_docs, reason = "what the macro writes has none")]
    use std::path::PathBuf;
    xflags::xflags! {
        /// Load for the whole system. An open loop: arrivals do not wait for answers, and times count from when a request was due.
        cmd limeway-load {
            /// Starts a small whole system on loopback, puts a load on it, and shows what is served.
            cmd demo {
                /// Seconds of load (20).
                optional --seconds seconds: u64
                /// Requests a second (150).
                optional --rate rate: f64
                /// Limiters (3).
                optional --edges edges: usize
                /// Kill a limiter and a core machine in the middle, and start them again 3 s later.
                optional --kill
                /// A rolling upgrade in the middle: all machines are restarted in turn with this program, and the configuration
                /// is changed beside it.
                optional --upgrade-to path: PathBuf
                /// The same seed draws the same arrivals (1).
                optional --seed seed: u64
                /// The program to start; else it is built.
                optional --program path: PathBuf
            }
            /// Measures what one more limiter, server, route or tenant costs, with the state machines of the system itself.
            cmd slopes {}
            /// Puts a load on a system that runs already.
            cmd load {
                /// Address of its directory.
                required directory: String
                /// Host of the route.
                required host: String
                /// Prefix of the route.
                required prefix: String
                /// The tenant's key.
                required key: String
                /// Region and zone of the clients, as region/zone.
                required place: String
                /// Seconds of load (20).
                optional --seconds seconds: u64
                /// Requests a second (100).
                optional --rate rate: f64
                /// The requests must not run twice: they are posts.
                optional --once
                /// The same seed draws the same arrivals (1).
                optional --seed seed: u64
            }
        }
    }
}
use flags::{Demo, LimewayLoad, LimewayLoadCmd, Load};

type Accounts = Rc<RefCell<BTreeMap<String, Account>>>;

/// Asks as arrivals come, for so many seconds.
async fn ring(
    clients: Vec<Rc<Clients>>,
    class: Class,
    rate: f64,
    shape: Shape,
    seconds: u64,
    seed: u64,
    accounts: Accounts,
) {
    let start = Instant::now();
    let mut running = Vec::new();
    for (n, due) in Arrivals::new(rate, shape, seed).take_while(|t| *t < seconds * 1_000_000).enumerate() {
        sleep_until(start + Duration::from_micros(due)).await;
        let (client, class, accounts) = (clients[n % clients.len()].clone(), class.clone(), accounts.clone());
        running.push(tokio::task::spawn_local(async move {
            let (end, tries) = client.ask(&class).await;
            let now = start.elapsed().as_micros() as u64;
            accounts.borrow_mut().entry(class.name).or_default().ended(due, now, end, tries);
        }));
    }
    for one in running {
        let _ = one.await;
    }
}

fn show(accounts: &Accounts) {
    for (name, account) in accounts.borrow().iter() {
        println!("{}", account.line(name));
    }
}

/// Says each second what has been served since the last.
async fn progress(accounts: Accounts) {
    let mut last: BTreeMap<End, u64> = BTreeMap::new();
    for second in 1.. {
        sleep(Duration::from_secs(1)).await;
        let mut now: BTreeMap<End, u64> = BTreeMap::new();
        for account in accounts.borrow().values() {
            account.ends.iter().for_each(|(end, n)| *now.entry(*end).or_default() += n);
        }
        let since = |end| now.get(&end).unwrap_or(&0) - last.get(&end).unwrap_or(&0);
        let (served, refused, failed) = (since(End::Served), since(End::Refused), since(End::Failed));
        println!("{second:>4} s  served {served:>5}  refused {refused:>5}  failed {failed:>5}");
        last = now;
    }
}

/// Pause between the restarts of a rolling upgrade: members' leases and votes have to be known again.
const RESTART_INTERVAL: Duration = Duration::from_millis(2_500);

/// The program to start: the one that is named, or a fresh build.
fn program(named: Option<PathBuf>) -> io::Result<PathBuf> {
    if let Some(path) = named {
        return Ok(path);
    }
    println!("building limeway-balancer ...");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let built = std::process::Command::new(cargo)
        .args(["build", "-q", "--release", "-p", "limeway-balancer"])
        .status()?;
    if !built.success() {
        return Err(io::Error::other("limeway-balancer was not built"));
    }
    Ok(PathBuf::from("target/release/limeway-balancer"))
}

async fn demo(flags: Demo) -> io::Result<()> {
    let program = program(flags.program)?;
    let (seconds, rate, seed) =
        (flags.seconds.unwrap_or(20), flags.rate.unwrap_or(150.0), flags.seed.unwrap_or(1));
    let folder = std::env::temp_dir().join(format!("limeway-load-{}", std::process::id()));
    let net = 100 + (std::process::id() % 100) as u8;
    let mut system = System::start(&program, &folder, flags.edges.unwrap_or(3), 9, net)?;
    system.serve().await?;
    system.order("config.replace", &System::configuration()).await?;
    system.ready().await?;
    println!(
        "3 core machines, {} limiters, 9 servers of 4 slots; logs and disks under {}",
        system.machines.len() - 3,
        folder.display()
    );
    let clients: Vec<Rc<Clients>> = ZONES
        .iter()
        .enumerate()
        .map(|(n, (zone, region))| Clients::new(system.directory(n), region, zone, seed + n as u64))
        .collect();
    let accounts = Accounts::default();
    let class = |name: &str, prefix: &str, key: &str| Class {
        name: name.into(),
        host: "shop.example".into(),
        path: prefix.into(),
        key: key.into(),
        repeatable: prefix == "/read/",
        deadline: Duration::from_millis(1_500),
    };
    let ask = |class, rate, shape, seed| {
        tokio::task::spawn_local(ring(clients.clone(), class, rate, shape, seconds, seed, accounts.clone()))
    };
    let wave = Shape::Wave { swing: 0.3, period: 10_000_000 };
    let load = [
        ask(class("read", "/read/", "key-ample"), rate * 0.6, wave, seed),
        ask(class("post", "/post/", "key-ample"), rate * 0.25, Shape::Steady, seed + 1),
        // A tenant that asks for more than its quota of 20 a second.
        ask(class("tight", "/read/", "key-tight"), (rate * 0.15).max(30.0), Shape::Steady, seed + 2),
    ];
    let telling = tokio::task::spawn_local(progress(accounts.clone()));
    if flags.kill {
        sleep(Duration::from_secs(seconds / 3)).await;
        println!("        a limiter and a core machine are killed");
        let (core, edge) = (1, system.machines.len() - 1);
        system.kill(core).await?;
        system.kill(edge).await?;
        sleep(Duration::from_secs(3)).await;
        println!("        they start again");
        system.run(core, false)?;
        system.run(edge, false)?;
    }
    if let Some(new_program) = flags.upgrade_to {
        sleep(Duration::from_secs(seconds / 6)).await;
        system.program = new_program;
        roll(&mut system).await?;
    }
    for one in load {
        one.await.map_err(io::Error::other)?;
    }
    telling.abort();
    show(&accounts);
    let ran: u64 = system.servers.iter().map(|s| s.ran.get()).sum();
    println!("servers ran {ran} requests");
    Ok(())
}

/// Restarts all machines in turn, and changes the configuration after each.
async fn roll(system: &mut System) -> io::Result<()> {
    for at in 0..system.machines.len() {
        system.kill(at).await?;
        system.run(at, false)?;
        sleep(RESTART_INTERVAL).await;
        let (base, version) = (at + 1, at + 2);
        let update = format!(
            "{{\"config-version\":\"{version:08x}\",\"base-version\":\"{base:08x}\",\"upsert\":{{\"resource-list\":[{{\"resource-kind\":\"services\",\"metadata\":{{\"name\":\"spare-{at}\"}},\"specification\":{{}}}}]}}}}"
        );
        system.order("config.update", &update).await?;
        println!("        machine {at} runs the new program; configuration {version} is acknowledged");
    }
    Ok(())
}

async fn load(flags: Load) -> io::Result<()> {
    let directory: SocketAddr = flags.directory.parse().map_err(io::Error::other)?;
    let (region, zone) =
        flags.place.split_once('/').ok_or_else(|| io::Error::other("place: is no region/zone"))?;
    let seed = flags.seed.unwrap_or(1);
    let clients = vec![Clients::new(vec![directory], region, zone, seed)];
    let class = Class {
        name: "load".into(),
        host: flags.host,
        path: flags.prefix,
        key: flags.key,
        repeatable: !flags.once,
        deadline: Duration::from_millis(1_500),
    };
    let accounts = Accounts::default();
    let telling = tokio::task::spawn_local(progress(accounts.clone()));
    ring(
        clients,
        class,
        flags.rate.unwrap_or(100.0),
        Shape::Steady,
        flags.seconds.unwrap_or(20),
        seed,
        accounts.clone(),
    )
    .await;
    telling.abort();
    show(&accounts);
    Ok(())
}

fn main() -> ExitCode {
    let flags = LimewayLoad::from_env_or_exit();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("limeway-load: runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let done = LocalSet::new().block_on(&runtime, async {
        match flags.subcommand {
            LimewayLoadCmd::Demo(flags) => demo(flags).await,
            LimewayLoadCmd::Load(flags) => load(flags).await,
            LimewayLoadCmd::Slopes(_) => {
                limeway_load_generator::slopes::measure().iter().for_each(|row| println!("{row}"));
                Ok(())
            }
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("limeway-load: {e}");
            ExitCode::FAILURE
        }
    }
}
