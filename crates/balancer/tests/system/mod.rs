//! A system of real processes over loopback, as tests start it.
//!
//! Every machine has an address of its own in 127.0.0.0/8, as in the system every machine has the same ports.

use limeway_settings_file::{milliseconds, Role, SettingsFile, Zone};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

/// The program under test.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_limeway-balancer");
/// Ports of all machines.
pub(crate) const CONTROL: u16 = 28383;
pub(crate) const DIRECTORY: u16 = 28385;
pub(crate) const FRONT: u16 = 28389;
pub(crate) const READY: u16 = 28384;
const INNER: u16 = 27460;
pub(crate) const METRICS: u16 = 28464;
/// Memory that each process may use, in megabytes.
pub(crate) const MEMORY_MB: usize = 160;
/// Interval between two heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Zones, all of one region.
const ZONES: [(&str, &str); 2] = [("z1", "r1"), ("z2", "r1")];
/// The index of each machine's zone.
const ZONE_OF_MACHINE: [usize; 6] = [0, 0, 1, 0, 0, 1];
/// Whatever should come about does so within it, on a machine that is busy with other tests too.
pub(crate) const SOON: Duration = Duration::from_secs(25);

pub(crate) struct Machine {
    pub ip: Ipv4Addr,
    edge: bool,
    pub child: Mutex<Option<Child>>,
}

/// The grace period of processes, unless a test needs another one.
#[allow(dead_code, reason = "a test may need another one")]
pub(crate) const GRACE: Duration = Duration::from_secs(6);

pub(crate) struct System {
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    /// The grace period in the settings that are written next.
    pub grace: Duration,
}

/// The address of a machine in a test's own network. It depends on the process too, so that another copy of a test that runs on the same
/// machine gets addresses of its own.
pub(crate) fn address(net: u8, host: u8) -> Ipv4Addr {
    let [.., process] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, net, process, host)
}

impl System {
    /// The addresses 1 and up of a network: three core machines, then limiters.
    pub(crate) fn start(net: u8, limiters: u8, grace: Duration) -> Self {
        let folder = std::env::temp_dir().join(format!("limeway-whole-{}-{net}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let machine = |n: u8| Machine { ip: address(net, n), edge: n > 3, child: Mutex::default() };
        let machines = (1..=3 + limiters).map(machine).collect();
        let system = System { folder, machines, grace };
        (0..system.machines.len()).for_each(|at| system.run(at, true));
        system
    }

    pub(crate) fn run(&self, at: usize, first: bool) {
        self.write_settings(at, first, &self.seeds());
        self.spawn(at);
    }

    /// Where the core machines listen for servers and operators.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.machines[..3].iter().map(|machine| (machine.ip, CONTROL).into()).collect()
    }

    pub(crate) fn settings_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("settings-{at}"))
    }

    pub(crate) fn write_settings(&self, at: usize, first: bool, seeds: &[SocketAddr]) {
        let file = SettingsFile {
            node_name: format!("m{at}"),
            ip_address: self.machines[at].ip,
            zone: ZONES[ZONE_OF_MACHINE[at]].into(),
            zones: ZONES.into_iter().map(Zone::from).collect(),
            role: self.role(at),
            internal_port: INNER,
            metrics_port: Some(METRICS),
            seed_nodes: seeds.to_vec(),
            initial_start: first,
            machine_losses: 1,
            heartbeat: HEARTBEAT_INTERVAL,
            max_file_descriptors: None,
            memory_mb: Some(MEMORY_MB),
            bounds: self.bounds(),
        };
        std::fs::write(self.settings_path(at), file.to_string()).expect("settings");
    }

    fn role(&self, at: usize) -> Role {
        let ip = self.machines[at].ip;
        if self.machines[at].edge {
            let readiness = Some((ip, READY).into());
            return Role::Gateway { frontend: (ip, FRONT).into(), readiness, directory_api: None };
        }
        Role::Core {
            control_plane: (ip, CONTROL).into(),
            directory_api: Some((ip, DIRECTORY).into()),
            data_directory: self.folder.join(format!("data-{at}")),
        }
    }

    fn bounds(&self) -> Vec<(&'static str, String)> {
        vec![
            ("contact", "4s".into()),
            ("revoke", "5s".into()),
            ("revocation-strict", "true".into()),
            ("grace-period", milliseconds(self.grace)),
            ("quota-window", "5s".into()),
            ("quota-overshoot", "0.1".into()),
            ("quota-slack", "20".into()),
            ("retry-budget-ratio", "0.2".into()),
            ("retry-slack", "50".into()),
        ]
    }

    /// Starts a machine's process with the settings that were written last.
    pub(crate) fn spawn(&self, at: usize) {
        let mut command = Command::new(PROGRAM);
        command.stdin(Stdio::null());
        self.spawn_by(at, command);
    }

    /// Starts a machine's process by a command that runs the program with the arguments that are added to it.
    pub(crate) fn spawn_by(&self, at: usize, mut command: Command) {
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.join("log")).expect("log");
        let child = command
            .args(["serve", "--log", "info", "--settings"])
            .arg(self.settings_path(at))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("starts");
        *self.machines[at].child.lock().expect("lock") = Some(child);
    }
}

impl System {
    /// What its processes have logged.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.machines.iter_mut().filter_map(|m| m.child.get_mut().ok()?.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
