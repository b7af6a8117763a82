//! A system of real processes over loopback, as tests start it.
//!
//! Every machine has an address of its own in 127.0.0.0/8, as in the system every machine has the same ports.

use std::net::Ipv4Addr;
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

impl System {
    /// Addresses 127.`net`.0.1 and up: three core machines, then limiters.
    pub(crate) fn start(net: u8, limiters: u8, grace: Duration) -> Self {
        let folder = std::env::temp_dir().join(format!("limeway-whole-{}-{net}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let machine =
            |n: u8| Machine { ip: Ipv4Addr::new(127, net, 0, n), edge: n > 3, child: Mutex::default() };
        let machines = (1..=3 + limiters).map(machine).collect();
        let system = System { folder, machines, grace };
        (0..system.machines.len()).for_each(|at| system.run(at, true));
        system
    }

    pub(crate) fn run(&self, at: usize, first: bool) {
        self.write_settings(at, first, &self.seeds());
        self.spawn(at);
    }

    /// The addresses of the core machines, as a settings file names them.
    pub(crate) fn seeds(&self) -> String {
        let seeds: Vec<String> = self.machines[..3].iter().map(|m| format!("{}:{CONTROL}", m.ip)).collect();
        seeds.join(",")
    }

    pub(crate) fn settings_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("settings-{at}"))
    }

    pub(crate) fn write_settings(&self, at: usize, first: bool, seeds: &str) {
        let (ip, edge) = (self.machines[at].ip, self.machines[at].edge);
        let zone = ["z1", "z1", "z2", "z1", "z1", "z2"][at];
        let listens = if edge {
            format!("listen-addresses.frontend={ip}:{FRONT}\nlisten-addresses.readiness={ip}:{READY}\n")
        } else {
            let data = self.folder.join(format!("data-{at}"));
            let data = data.display();
            format!(
                "listen-addresses.control-plane={ip}:{CONTROL}\nlisten-addresses.directory-api={ip}:{DIRECTORY}\n\
                 data-directory={data}\nloss-counted=true\n"
            )
        };
        let text = format!(
            "node-name=m{at}\nip-address={ip}\nzone={zone}\nregion=r1\nzones.z1=r1\nzones.z2=r1\n{listens}\
             internal-ports={INNER},{INNER}\nmetrics={METRICS}/metrics\nseed-nodes={}\ninitial-start={first}\n\
             fault-tolerance.machine-losses=1\nheartbeat=500ms\n\
             bounds=contact=4s,revoke=5s,revocation-strict=true,grace-period={}ms,quota-window=5s,quota-overshoot=0.1,quota-slack=20,retry-budget-ratio=0.2,retry-slack=50\n",
            seeds,
            self.grace.as_millis()
        );
        std::fs::write(self.settings_path(at), text).expect("settings");
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
