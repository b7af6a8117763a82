//! A small whole system on loopback: core machines and limiters as real processes, each with an address of its own, and
//! stand-in servers in this one.

use crate::servers::Server;
use limeway_http1::conn::Conn;
use limeway_process_start::SignalBlock;
use limeway_settings_file::{Role, SettingsFile, Zone};
use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Ports of all machines.
const CONTROL: u16 = 29383;
const DIRECTORY: u16 = 29385;
const FRONT: u16 = 29389;
const READY: u16 = 29384;
const INNER: u16 = 29460;
const SERVERS: u16 = 29100;
/// Core machines.
const CORE: usize = 3;
/// Zones with core machines.
const CORE_ZONES: usize = 2;
/// Upper bound on limiters: each takes a byte of its address.
const MAX_LIMITERS: usize = 100;
/// Upper bound on servers.
const MAX_SERVERS: usize = 100;
/// Requests that a server works on at once.
const SERVER_SLOTS: usize = 4;
/// How long a server works on a request.
const SERVER_WORK: Duration = Duration::from_millis(40);
/// Pause between two reports of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The interval that settings files state.
const STATED_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Bounds of the rules, as settings files state them.
const BOUNDS: [(&str, &str); 12] = [
    ("contact", "4s"),
    ("revoke", "5s"),
    ("revocation-strict", "true"),
    ("grace-period", "6s"),
    ("quota-window", "5s"),
    ("quota-overshoot", "0.1"),
    ("quota-slack", "20"),
    ("retry-budget-ratio", "0.2"),
    ("retry-slack", "50"),
    ("cold-overshoot", "1.5"),
    ("cold-slack", "5"),
    ("ttl_max", "5s"),
];
/// The system is up within it, or something is wrong.
const UP: Duration = Duration::from_secs(20);

/// Zones of the small system, and their regions.
pub const ZONES: [(&str, &str); 3] = [("z1", "north"), ("z2", "north"), ("z3", "south")];

/// A machine's process.
pub struct Machine {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: usize,
    /// Clients reach it.
    pub edge: bool,
    child: Option<Child>,
}

/// The system.
pub struct System {
    /// The program that machines are started with.
    pub program: PathBuf,
    folder: PathBuf,
    /// Core machines, then limiters.
    pub machines: Vec<Machine>,
    /// Servers.
    pub servers: Vec<Rc<Server>>,
}

/// A stand-in server; the zones take turns.
fn new_server(n: usize, net: u8) -> Rc<Server> {
    let address = SocketAddr::from((Ipv4Addr::new(127, net, 1, n as u8 + 1), SERVERS));
    let (zone, _) = ZONES[n % ZONES.len()];
    Server::new(format!("i-{n:04}"), "orders", zone, address, SERVER_SLOTS, SERVER_WORK, n as u64)
}

/// Calls a machine; nothing where it does not answer within a second.
async fn call(to: SocketAddr, path: &str, body: &str) -> Option<(u16, String)> {
    let message = format!(
        "POST {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answered = timeout(Duration::from_secs(1), async {
        let mut conn = Conn::open(to, &Rc::default()).await.ok()?;
        conn.patient(Duration::from_secs(1));
        conn.write(message.as_bytes(), &Cell::new(false)).await.ok()?;
        conn.read().await.ok()
    });
    let reply = answered.await.ok()??;
    Some((reply.head.status, String::from_utf8_lossy(&reply.body).into_owned()))
}

impl System {
    /// Starts `edges` limiters and three core machines of a program, with their files in `folder`.
    ///
    /// # Errors
    /// A file cannot be written, or a process cannot be started.
    pub fn start(program: &Path, folder: &Path, edges: usize, servers: usize, net: u8) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let machine = |n: usize| Machine {
            ip: Ipv4Addr::new(127, net, 0, n as u8 + 1),
            zone: if n < CORE { n % CORE_ZONES } else { n % ZONES.len() },
            edge: n >= CORE,
            child: None,
        };
        let mut system = System {
            program: program.to_owned(),
            folder: folder.to_owned(),
            machines: (0..CORE + edges.min(MAX_LIMITERS)).map(machine).collect(),
            servers: (0..servers.min(MAX_SERVERS)).map(|n| new_server(n, net)).collect(),
        };
        for at in 0..system.machines.len() {
            system.run(at, true)?;
        }
        Ok(system)
    }

    fn settings(&self, at: usize, initial_start: bool) -> SettingsFile {
        let Machine { ip, zone, .. } = self.machines[at];
        SettingsFile {
            node_name: format!("m-{ip}"),
            ip_address: ip,
            zone: ZONES[zone].into(),
            zones: ZONES.into_iter().map(Zone::from).collect(),
            role: self.role(at),
            internal_port: INNER,
            metrics_port: None,
            seed_nodes: self.control(),
            initial_start,
            machine_losses: 1,
            heartbeat: STATED_HEARTBEAT_INTERVAL,
            max_file_descriptors: None,
            memory_mb: None,
            bounds: BOUNDS.map(|(name, value)| (name, value.to_owned())).to_vec(),
        }
    }

    fn role(&self, at: usize) -> Role {
        let Machine { ip, edge, .. } = self.machines[at];
        let directory_api = Some((ip, DIRECTORY).into());
        if edge {
            Role::Gateway { frontend: (ip, FRONT).into(), readiness: Some((ip, READY).into()), directory_api }
        } else {
            let data_directory = self.folder.join(format!("data-{at}"));
            Role::Core { control_plane: (ip, CONTROL).into(), directory_api, data_directory }
        }
    }

    /// Starts a machine's process, for the first time or again.
    pub fn run(&mut self, at: usize, first: bool) -> io::Result<()> {
        let path = self.folder.join(format!("settings-{at}"));
        std::fs::write(&path, self.settings(at, first).to_string())?;
        let log = std::fs::File::options().create(true).append(true).open(self.folder.join("log"))?;
        let _blocked = SignalBlock::new()?;
        let child = Command::new(&self.program)
            .args(["serve", "--log", "info", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.machines[at].child = Some(child);
        Ok(())
    }

    /// Processor time in seconds and resident memory in bytes of a machine's process, as the system tells.
    pub fn usage(&self, at: usize) -> (f64, f64) {
        let Some(pid) = self.machines.get(at).and_then(|m| m.child.as_ref()).and_then(Child::id) else {
            return (0.0, 0.0);
        };
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // After the name, which ends with the last bracket: state is the first field, times are the 12th and 13th.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let field = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        ((field(11) + field(12)) / 100.0, field(21) * 4096.0)
    }

    /// Kills a machine's process.
    pub async fn kill(&mut self, at: usize) -> io::Result<()> {
        match self.machines.get_mut(at).and_then(|m| m.child.take()) {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Where clients ask where to go, nearest first for a zone.
    pub fn directory(&self, zone: usize) -> Vec<SocketAddr> {
        let mut all: Vec<&Machine> = self.machines.iter().collect();
        all.sort_by_key(|m| (m.zone != zone, !m.edge));
        all.iter().map(|m| SocketAddr::from((m.ip, DIRECTORY))).collect()
    }

    /// Where operators and servers call.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.machines.iter().filter(|m| !m.edge).map(|m| SocketAddr::from((m.ip, CONTROL))).collect()
    }

    /// Listens as all servers, and reports them for ever.
    pub async fn serve(&self) -> io::Result<()> {
        for server in &self.servers {
            let listener = TcpListener::bind(server.address).await?;
            tokio::task::spawn_local(server.clone().run(listener));
            let (server, control) = (server.clone(), self.control());
            tokio::task::spawn_local(async move {
                for count in 1.. {
                    let path = format!("/-/rpc?call=instances.heartbeat&of={}", server.id);
                    for to in control.iter().cycle().skip(count as usize % 3).take(3) {
                        if call(*to, &path, &server.report(count)).await.is_some_and(|(s, _)| s == 200) {
                            break;
                        }
                    }
                    sleep(HEARTBEAT_INTERVAL).await;
                }
            });
        }
        Ok(())
    }

    /// Sends an order to one core machine after the other until one takes it.
    pub async fn order(&self, name: &str, body: &str) -> io::Result<()> {
        let begun = Instant::now();
        while begun.elapsed() < UP {
            for to in self.control() {
                match call(to, &format!("/-/rpc?call={name}"), body).await {
                    Some((200, _)) => return Ok(()),
                    Some((status, text)) if status < 500 => {
                        return Err(io::Error::other(format!("{name}: {status} {text}")));
                    }
                    _ => sleep(Duration::from_millis(100)).await,
                }
            }
        }
        Err(io::Error::other(format!("{name}: no clear answer")))
    }

    /// The first configuration of the small system: one service, two routes, two tenants.
    pub fn configuration() -> String {
        let route = |name: &str, kind: &str| {
            format!("{{\"resource-kind\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"specification\":{{\"hostname\":\"shop.example\",\"path-prefix\":\"/{name}/\",\"route-type\":\"{kind}\",\"timeout\":\"1500ms\",\"target-latency\":\"400ms\",\"target-service\":\"orders\",\"max-attempts\":2}}}}")
        };
        let tenant = |name: &str, rate: u32| {
            format!("{{\"resource-kind\":\"tenants\",\"metadata\":{{\"name\":\"{name}\"}},\"specification\":{{\"api-keys\":[\"key-{name}\"],\"rate-per-s\":{rate},\"burst-size\":{rate}}}}}")
        };
        format!(
            "{{\"config-version\":\"00000001\",\"base-version\":\"00000000\",\"resource-list\":[{},{},{},{},{{\"resource-kind\":\"services\",\"metadata\":{{\"name\":\"orders\"}},\"specification\":{{\"health-path\":\"/health\",\"max-connections\":200,\"cold-start\":\"3s\",\"cold-per-s\":20}}}}]}}",
            route("read", "idempotent"),
            route("post", "non_idempotent"),
            tenant("ample", 500),
            tenant("tight", 20)
        )
    }

    /// Waits until all limiters are ready.
    pub async fn ready(&self) -> io::Result<()> {
        let begun = Instant::now();
        for machine in self.machines.iter().filter(|m| m.edge) {
            loop {
                let to = SocketAddr::from((machine.ip, READY));
                let answered = timeout(Duration::from_secs(1), async {
                    let mut conn = Conn::open(to, &Rc::default()).await.ok()?;
                    let ask = b"GET /-/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
                    conn.write(ask, &Cell::new(false)).await.ok()?;
                    conn.read().await.ok()
                });
                if answered.await.ok().flatten().is_some_and(|r| r.head.status == 200) {
                    break;
                }
                if begun.elapsed() > UP {
                    return Err(io::Error::other(format!("limiter {} is not ready", machine.ip)));
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}
