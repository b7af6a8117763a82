//! The whole path over loopback, with real processes: three core machines, three limiters, servers and an operator.
//!
//! Every machine has an address of its own in 127.0.0.0/8, as in the system every machine has the same ports.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Ports of all machines.
const CONTROL: u16 = 28383;
const DIRECTORY: u16 = 28385;
const FRONT: u16 = 28389;
const READY: u16 = 28384;
const INNER: u16 = 27460;
/// Whatever should come about does so within it, on a machine that is busy with other tests too.
const SOON: Duration = Duration::from_secs(25);

struct Machine {
    ip: Ipv4Addr,
    edge: bool,
    child: Option<Child>,
}

struct System {
    folder: PathBuf,
    machines: Vec<Machine>,
}

impl System {
    /// Addresses 127.`net`.0.1 and up: three core machines, then three limiters.
    fn start(net: u8) -> Self {
        let folder = std::env::temp_dir().join(format!("limeway-whole-{}-{net}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let machine = |n: u8| Machine { ip: Ipv4Addr::new(127, net, 0, n), edge: n > 3, child: None };
        let mut system = System { folder, machines: (1..=6).map(machine).collect() };
        (0..6).for_each(|at| system.run(at, true));
        system
    }

    fn run(&mut self, at: usize, first: bool) {
        let seeds: Vec<String> = self.machines[..3].iter().map(|m| format!("{}:{CONTROL}", m.ip)).collect();
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
             internal-ports={INNER},{INNER}\nseed-nodes={}\ninitial-start={first}\n\
             fault-tolerance.machine-losses=1\nheartbeat=500ms\n\
             bounds=contact=4s,revoke=5s,revocation-strict=true,grace-period=6s,quota-window=5s,quota-overshoot=0.1,quota-slack=20,retry-budget-ratio=0.2,retry-slack=50\n",
            seeds.join(",")
        );
        let path = self.folder.join(format!("settings-{at}"));
        std::fs::write(&path, text).expect("settings");
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.join("log")).expect("log");
        let child = Command::new(env!("CARGO_BIN_EXE_exchange"))
            .args(["serve", "--log", "warn", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("starts");
        self.machines[at].child = Some(child);
    }

    fn kill(&mut self, at: usize) {
        let mut child = self.machines[at].child.take().expect("runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    fn control(&self, at: usize, call: &str, body: &str) -> Option<(u16, String)> {
        ask((self.machines[at].ip, CONTROL).into(), "POST", &format!("/-/rpc?call={call}"), &[], body)
    }

    /// As an operator does: to any core machine, until there is a clear answer.
    fn order(&self, call: &str, body: &str) -> (u16, String) {
        let (begun, mut at) = (Instant::now(), 0);
        loop {
            if let Some((status, text)) = self.control(at % 3, call, body).filter(|(s, _)| *s < 500) {
                return (status, text);
            }
            at += 1;
            assert!(begun.elapsed() < SOON, "no clear answer to {call}: {}", self.log());
        }
    }

    fn get(&self, at: usize, path: &str, key: &str, id: &str) -> Option<(u16, String)> {
        let key = format!("Bearer {key}");
        let headers = [
            ("Host", "a.example"),
            ("Limeway-Request-Id", id),
            ("Limeway-Deadline-Ms", "2000"),
            ("Authorization", key.as_str()),
        ];
        ask((self.machines[at].ip, FRONT).into(), "GET", path, &headers, "")
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    fn until(&self, what: &str, mut so: impl FnMut(&Self) -> bool) {
        let begun = Instant::now();
        while !so(self) {
            assert!(begun.elapsed() < SOON, "{what} did not come about: {}", self.log());
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.machines.iter_mut().filter_map(|m| m.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One request on a connection of its own.
fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500))).ok()?;
    let mut text =
        format!("{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(n, v)| text.push_str(&format!("{n}: {v}\r\n")));
    stream.write_all(format!("{text}\r\n{body}").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.get(9..12)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n")?.1.to_owned()))
}

/// A server that counts what it runs, and checks that it is meant.
fn server(ip: Ipv4Addr, port: u16, life: &'static str) -> Arc<AtomicU32> {
    let listener = TcpListener::bind((ip, port)).expect("listens");
    let count = Arc::new(AtomicU32::new(0));
    let ran = count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ran = ran.clone();
            std::thread::spawn(move || serve(stream, life, &ran));
        }
    });
    count
}

fn serve(stream: TcpStream, life: &str, ran: &AtomicU32) {
    let mut out = stream.try_clone().expect("clone");
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    loop {
        let head: Vec<String> = lines.by_ref().take_while(|l| !l.is_empty()).collect();
        if head.is_empty() {
            return;
        }
        let value = |name: &str| {
            let line = head.iter().find(|l| l.to_ascii_lowercase().starts_with(name));
            line.and_then(|l| l.split_once(": ")).map_or("", |(_, v)| v)
        };
        let id = value("limeway-request-id");
        let text = if value("limeway-expect-instance") == life {
            ran.fetch_add(1, Ordering::SeqCst);
            let body = format!("{life} {} {}", value("limeway-tenant"), value("authorization"));
            format!("200 OK\r\nLimeway-Server-Stamp: s\r\nLimeway-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        } else {
            format!("421 Misdirected Request\r\nLimeway-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        };
        if out.write_all(format!("HTTP/1.1 {text}").as_bytes()).is_err() {
            return;
        }
    }
}

fn config(version: u32, base: u32, prefix: &str, keys: &str) -> String {
    format!(
        r#"{{"config-version":"{version:08x}","base-version":"{base:08x}","resource-list":[{{"resource-kind":"routes","metadata":{{"name":"r"}},"specification":{{"hostname":"a.example","path-prefix":"{prefix}","route-type":"idempotent","timeout":"2s","target-service":"s","max-attempts":3}}}},{{"resource-kind":"services","metadata":{{"name":"s"}},"specification":{{"health-path":"/health"}}}},{{"resource-kind":"tenants","metadata":{{"name":"t"}},"specification":{{"api-keys":[{keys}],"rate-per-s":200,"burst-size":200}}}}]}}"#
    )
}

fn beat(system: &System, life: &str, address: (Ipv4Addr, u16), state: &str, count: u32) -> u16 {
    let body = format!(
        r#"{{"target-service":"s","address":"{}:{}","zone":"z1","config-version":"v1","capacity-slots":4,"state":"{state}","cold-left":"0ms","call-count":{count}}}"#,
        address.0, address.1
    );
    system.order(&format!("instances.heartbeat&of={life}"), &body).0
}

#[test]
fn the_whole_path_serves_and_outlives_a_kill_of_each() {
    let net = 80 + (std::process::id() % 100) as u8;
    let mut system = System::start(net);
    let address = (Ipv4Addr::new(127, net, 0, 99), 28100);
    let ran = server(address.0, address.1, "i-1");
    let mut beats = 0;
    let mut alive = |system: &System| {
        beats += 1;
        assert_eq!(beat(system, "i-1", address, "ready", beats), 200);
    };
    // The first configuration, a wrong one, and two on one base.
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1","k2""#)).0, 200);
    assert_eq!(system.order("config.replace", &config(1, 0, "/x/", r#""k1","k2""#)).0, 200, "the same again");
    assert_eq!(system.order("config.replace", &config(2, 1, "x/", r#""k1""#)).0, 400);
    assert_eq!(system.order("config.replace", &config(3, 0, "/x/", r#""k1""#)).0, 412);
    alive(&system);
    let served = |system: &System, at: usize, path: &str, key: &str| {
        system.get(at, path, key, "id-1").is_some_and(|(s, body)| s == 200 && body == "i-1 t ")
    };
    for at in 3..6 {
        system.until("service", |s| served(s, at, "/x/1", "k1"));
        assert_eq!(system.get(at, "/x/1", "nobody", "id-2").map(|a| a.0), Some(401));
        assert_eq!(system.get(at, "/y/1", "k1", "id-3").map(|a| a.0), Some(404));
    }
    // Clients find all three.
    let found =
        ask((system.machines[0].ip, DIRECTORY).into(), "GET", "/-/resolve?name=a&region=r1&zone=z2", &[], "");
    let found = found.expect("an answer").1;
    assert_eq!(found.matches(&format!(":{FRONT}")).count(), 3, "{found}");
    // Each machine is killed in turn, and a change is taken and in force while it is gone.
    let mut version = 1;
    for at in 0..6 {
        system.kill(at);
        let (next, path) = (version + 1, format!("/v{}/", version + 1));
        assert_eq!(system.order("config.replace", &config(next, version, &path, r#""k1""#)).0, 200);
        version = next;
        alive(&system);
        for edge in (3..6).filter(|e| *e != at) {
            system.until("the change", |s| served(s, edge, &format!("{path}1"), "k1"));
            assert_eq!(
                system.get(edge, &format!("{path}1"), "k2", "id-4").map(|a| a.0),
                Some(401),
                "taken away"
            );
        }
        system.run(at, false);
    }
    // All core machines at once: what was acknowledged is there.
    (0..3).for_each(|at| system.kill(at));
    (0..3).for_each(|at| system.run(at, false));
    let (_, read) = system.order("config.read", "");
    assert!(read.contains(&format!("\"config-version\":\"{version:08x}\"")), "{read}");
    alive(&system);
    for at in 3..6 {
        system.until("service after it", |s| served(s, at, &format!("/v{version}/1"), "k1"));
    }
    // A core machine loses its disk, and takes part again.
    system.kill(1);
    std::fs::remove_dir_all(system.folder.join("data-1")).expect("removed");
    system.run(1, false);
    system.until("a vote of the machine that lost its disk", |s| {
        s.control(1, "config.read", "").is_some_and(|a| a.0 == 200)
    });
    system.kill(0);
    assert_eq!(system.order("config.replace", &config(version + 1, version, "/last/", r#""k1""#)).0, 200);
    // The server leaves: it is told so, and gets nothing more.
    assert_eq!(beat(&system, "i-1", address, "draining", 1_000), 200);
    for at in 3..6 {
        system.until("the end of service", |s| !served(s, at, "/last/1", "k1"));
    }
    let before = ran.load(Ordering::SeqCst);
    assert!((3..6).all(|at| !served(&system, at, "/last/1", "k1")));
    assert_eq!(ran.load(Ordering::SeqCst), before);
}
