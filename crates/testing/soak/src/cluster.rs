//! The processes of a run: core machines and gateways, each with an address of its own.

use crate::addresses::{machine_ip, METRICS, READINESS};
use crate::bounds;
use crate::invariant_counts::{parse_counts, InvariantCounts};
use crate::layout::Layout;
use crate::process_age::ProcessAge;
use crate::process_settings::ProcessSettings;
use crate::process_status::{ProcessStatus, StartupPhase};
use crate::sections::timed;
use crate::starter::{Starter, Starters};
use limeway_http1::conn::Conn;
use limeway_process_start::SignalBlock;
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

/// How long a process may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A process that shuts down gets SIGTERM once more after this time.
const SECOND_SIGNAL_DELAY: Duration = Duration::from_millis(700);
/// A process is killed so long after its grace period.
const KILL_DELAY: Duration = Duration::from_millis(500);

/// A throttled process runs for so long in each period, whatever it has to do,
const THROTTLED_RUN: Duration = Duration::from_millis(20);
/// and stands still for the rest of it.
const THROTTLED_REST: Duration = Duration::from_millis(80);

/// A process, or the place for one.
struct Machine {
    /// How its processes are started.
    starters: RefCell<Starters>,
    /// How its present process was started.
    starter: Cell<Starter>,
    child: RefCell<Option<Child>>,
    /// Its present process, until that has ended.
    pid: Cell<Option<Pid>>,
    /// When that was started.
    started: Cell<Option<Instant>>,
    /// What its present process counted when it was looked at last.
    counted: RefCell<BTreeMap<String, InvariantCounts>>,
    /// What its earlier processes had counted.
    earlier: RefCell<BTreeMap<String, InvariantCounts>>,
    /// Held while its files are written and its process is started, off the event loop: one after the other.
    starting: Mutex<()>,
    /// Its process has a part of the processor only.
    throttled: Cell<bool>,
    /// Fewer seeds than all: another settings file.
    reloads: Cell<u32>,
}

impl Machine {
    /// A place without a process.
    fn new(seed: u64, at: usize) -> Self {
        Machine {
            starters: RefCell::new(Starters::new(seed, at)),
            starter: Cell::new(Starter::Plain),
            child: RefCell::default(),
            pid: Cell::default(),
            started: Cell::default(),
            starting: Mutex::default(),
            counted: RefCell::default(),
            earlier: RefCell::default(),
            throttled: Cell::default(),
            reloads: Cell::default(),
        }
    }
}

/// How a process ended after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Termination {
    /// By itself, with success.
    Orderly,
    /// By itself or by a signal, without success.
    Failed(ExitStatus),
    /// It had to be killed, as it had not ended some time after its grace period.
    Outlived,
}

/// The processes.
pub struct Cluster {
    /// The second byte of all addresses.
    pub net: u8,
    layout: Layout,
    program: PathBuf,
    folder: PathBuf,
    machines: Vec<Machine>,
    /// How many processes each kind of starter has started.
    starts: RefCell<BTreeMap<Starter, u64>>,
    /// How far processes had come when a signal of this name was sent to them, by their starter.
    phases: RefCell<BTreeMap<(&'static str, Starter, StartupPhase), u64>>,
    /// How old processes were when a signal of this name was sent to them, by their starter.
    ages: RefCell<BTreeMap<(&'static str, Starter, ProcessAge), u64>>,
    /// Processes that had ended by themselves when they were to be killed.
    ended_before_kill: RefCell<Vec<String>>,
}

impl Cluster {
    /// Processes of a program, with their files in a folder; none runs yet. The seed determines who starts them.
    ///
    /// # Errors
    /// The folder cannot be made.
    pub fn new(program: &Path, folder: &Path, net: u8, layout: Layout, seed: u64) -> io::Result<Rc<Self>> {
        std::fs::create_dir_all(folder)?;
        let machines = (0..layout.machines()).map(|at| Machine::new(seed, at)).collect();
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Ok(Rc::new(Cluster {
            net,
            layout,
            program,
            folder,
            machines,
            starts: RefCell::default(),
            phases: RefCell::default(),
            ages: RefCell::default(),
            ended_before_kill: RefCell::default(),
        }))
    }

    /// All machines.
    pub fn all(&self) -> std::ops::Range<usize> {
        0..self.machines.len()
    }

    /// The gateways.
    pub fn gateways(&self) -> std::ops::Range<usize> {
        self.layout.gateway_numbers()
    }

    /// The process of a machine, while one runs.
    pub(crate) fn process_id(&self, at: usize) -> Option<Pid> {
        self.machines[at].pid.get()
    }

    fn settings(&self, at: usize, initial_start: bool) -> String {
        let settings = ProcessSettings {
            net: self.net,
            layout: &self.layout,
            machine: at,
            data_directory: &self.data_directory(at),
            initial_start,
            reloads: self.machines[at].reloads.get(),
        };
        settings.file().to_string()
    }

    fn settings_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("settings-{at}"))
    }

    fn data_directory(&self, at: usize) -> PathBuf {
        self.folder.join(format!("data-{at}"))
    }

    /// Starts a machine's process; `first` only when the whole system starts on empty disks. Until it is started, whoever kills, stops,
    /// pauses or reloads it waits.
    ///
    /// # Errors
    /// It cannot be started.
    pub async fn start(&self, at: usize, first: bool) -> io::Result<()> {
        let _starting = self.machines[at].starting.lock().await;
        let path = self.settings_path(at);
        let settings = self.settings(at, first);
        let log = self.folder.join(format!("log-{at}"));
        let settings_path = path.clone();
        let log = off_the_event_loop(move || {
            std::fs::write(settings_path, settings)?;
            std::fs::File::options().create(true).append(true).open(log)
        })
        .await?;
        let mut command = Command::new(&self.program);
        command
            .args(["serve", "--log", "info", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        let starter = self.machines[at].starters.borrow_mut().draw();
        let child = match starter {
            Starter::Blocking => {
                let _blocked = SignalBlock::new()?;
                timed("starting a process", || command.spawn())?
            }
            Starter::Plain => timed("starting a process", || command.spawn())?,
        };
        self.machines[at].starter.set(starter);
        *self.starts.borrow_mut().entry(starter).or_default() += 1;
        let id = child.id().and_then(|id| i32::try_from(id).ok());
        self.machines[at].pid.set(id.and_then(Pid::from_raw));
        self.machines[at].started.set(Some(Instant::now()));
        *self.machines[at].child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Gives a machine's process, and those that follow it, a part of the processor only.
    pub fn throttle(self: &Rc<Self>, at: usize) {
        let cluster = self.clone();
        cluster.machines[at].throttled.set(true);
        tokio::task::spawn_local(async move {
            while cluster.machines[at].throttled.get() {
                cluster.signal(at, Signal::STOP);
                sleep(THROTTLED_REST).await;
                cluster.signal(at, Signal::CONT);
                sleep(THROTTLED_RUN).await;
            }
        });
    }

    /// Ends what [`Cluster::throttle`] began, with the present period.
    pub fn end_throttle(&self, at: usize) {
        self.machines[at].throttled.set(false);
    }

    /// Sends a signal to a machine's process, by its id.
    pub fn signal(&self, at: usize, signal: Signal) {
        if let Some(pid) = self.machines[at].pid.get() {
            // It may have ended by itself: that shows elsewhere.
            let _ = timed("sending a signal", || kill_process(pid, signal));
        }
    }

    /// Waits until a start of a machine's process that is under way has ended.
    async fn start_ended(&self, at: usize) {
        drop(self.machines[at].starting.lock().await);
    }

    /// Stops a machine's process, until SIGCONT.
    pub async fn pause(&self, at: usize) {
        self.start_ended(at).await;
        self.signal(at, Signal::STOP);
    }

    /// Kills a machine's process, and waits until it is gone.
    pub async fn kill(&self, at: usize) {
        self.refresh_counts(at).await;
        self.start_ended(at).await;
        self.note_end_before_kill(at);
        let child = self.machines[at].child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
        self.process_ended(at);
    }

    /// Kills these processes at one moment, stopped ones too.
    pub async fn kill_all(&self, machines: impl Iterator<Item = usize> + Clone) {
        // None of them is being started, and none begins to be, at that moment.
        let mut starts_held = Vec::new();
        for at in machines.clone() {
            starts_held.push(self.machines[at].starting.lock().await);
        }
        let mut children = Vec::new();
        for at in machines {
            self.note_end_before_kill(at);
            self.signal(at, Signal::KILL);
            // Whoever watches over processes must not take this end for their own.
            children.push((at, self.machines[at].child.borrow_mut().take()));
        }
        drop(starts_held);
        for (at, child) in children {
            if let Some(mut child) = child {
                let _ = child.wait().await;
            }
            self.process_ended(at);
        }
    }

    /// Sends a signal whose handler a process may not have yet, and notes how far the process had come.
    fn signal_noting_phase(&self, at: usize, name: &'static str, signal: Signal) {
        let pid = self.machines[at].pid.get();
        let status = timed("reading a status", || pid.and_then(ProcessStatus::read));
        self.signal(at, signal);
        if let Some(status) = status {
            let starter = self.machines[at].starter.get();
            *self.phases.borrow_mut().entry((name, starter, status.phase(signal))).or_default() += 1;
            let age = self.machines[at].started.get().map_or(Duration::MAX, |started| started.elapsed());
            *self.ages.borrow_mut().entry((name, starter, ProcessAge::from(age))).or_default() += 1;
        }
    }

    /// How many processes each kind of starter has started.
    pub fn starts(&self) -> BTreeMap<Starter, u64> {
        self.starts.borrow().clone()
    }

    /// How far processes had come when they were sent a signal, by its name and their starter.
    pub fn signal_phases(&self) -> BTreeMap<(&'static str, Starter, StartupPhase), u64> {
        self.phases.borrow().clone()
    }

    /// How old processes were when they were sent a signal, by its name and their starter.
    pub fn signal_ages(&self) -> BTreeMap<(&'static str, Starter, ProcessAge), u64> {
        self.ages.borrow().clone()
    }

    /// Sends a process SIGTERM, and waits for its end.
    pub async fn terminate(&self, at: usize) -> Termination {
        self.refresh_counts(at).await;
        self.start_ended(at).await;
        self.signal_noting_phase(at, "SIGTERM", Signal::TERM);
        let child = self.machines[at].child.borrow_mut().take();
        let Some(mut child) = child else { return Termination::Orderly };
        if timeout(SECOND_SIGNAL_DELAY, child.wait()).await.is_err() {
            // Platforms repeat themselves: it goes on as it has begun.
            self.signal(at, Signal::TERM);
        }
        let ended = timeout(bounds::GRACE + KILL_DELAY - SECOND_SIGNAL_DELAY, child.wait()).await;
        let termination = match ended {
            Ok(Ok(status)) if status.success() => Termination::Orderly,
            Ok(Ok(status)) => Termination::Failed(status),
            Ok(Err(_)) | Err(_) => Termination::Outlived,
        };
        if termination != Termination::Orderly {
            let _ = child.kill().await;
        }
        self.process_ended(at);
        termination
    }

    /// Gives a machine another settings file, and tells its process.
    ///
    /// # Errors
    /// The file cannot be written.
    pub async fn reload(&self, at: usize) -> io::Result<()> {
        let machine = &self.machines[at];
        let _starting = machine.starting.lock().await;
        machine.reloads.set(machine.reloads.get() + 1);
        let (path, settings) = (self.settings_path(at), self.settings(at, false));
        off_the_event_loop(move || std::fs::write(path, settings)).await?;
        self.signal_noting_phase(at, "SIGHUP", Signal::HUP);
        Ok(())
    }

    /// A machine's disk is lost. Its process must not run.
    pub async fn lose_disk(&self, at: usize) {
        let data_directory = self.data_directory(at);
        // There may be none yet.
        let _ = off_the_event_loop(move || std::fs::remove_dir_all(data_directory)).await;
    }

    /// Looks for an end that would be taken for that of the kill which follows.
    fn note_end_before_kill(&self, at: usize) {
        self.ended_before_kill.borrow_mut().extend(self.ended_by_itself(at));
    }

    /// Processes that had ended by themselves when they were to be killed, since this was asked last.
    pub fn take_ended_before_kill(&self) -> Vec<String> {
        self.ended_before_kill.take()
    }

    /// Whether a machine's process has ended though nobody ended it; with how, and how far it had come.
    pub fn ended_by_itself(&self, at: usize) -> Option<String> {
        // Of a process that has ended it can be read until somebody waits for it.
        let pid = self.machines[at].pid.get();
        let last = timed("reading a status", || pid.and_then(ProcessStatus::read));
        let status = self.machines[at].child.borrow_mut().as_mut()?.try_wait().ok()??;
        self.machines[at].child.take();
        self.process_ended(at);
        let phase = last.map_or("unknown".to_owned(), |last| last.phase(Signal::HUP).to_string());
        let starter = self.machines[at].starter.get();
        Some(format!("machine {at}: {status}, SIGHUP {phase}, started with {starter}"))
    }

    fn process_ended(&self, at: usize) {
        let machine = &self.machines[at];
        machine.pid.set(None);
        let counted = machine.counted.take();
        let mut earlier = machine.earlier.borrow_mut();
        for (name, counts) in counted {
            *earlier.entry(name).or_default() += counts;
        }
    }

    /// Whether a gateway says that it is ready.
    pub async fn is_ready(&self, at: usize) -> bool {
        let to = SocketAddr::from((machine_ip(self.net, at), READINESS));
        get(to, "/-/readiness").await.is_some_and(|(status, _)| status == 200)
    }

    /// Figures of a machine's process, if it answers.
    pub async fn figures(&self, at: usize) -> Option<String> {
        let to = SocketAddr::from((machine_ip(self.net, at), METRICS));
        get(to, "/metrics").await.filter(|(status, _)| *status == 200).map(|(_, text)| text)
    }

    /// Fetches what a process has counted of its invariants.
    pub async fn refresh_counts(&self, at: usize) {
        if let Some(text) = self.figures(at).await {
            *self.machines[at].counted.borrow_mut() = timed("reading figures", || parse_counts(&text));
        }
    }

    /// What all processes have counted of their invariants, as far as it was fetched before they ended.
    pub fn invariant_counts(&self) -> BTreeMap<String, InvariantCounts> {
        let mut all: BTreeMap<String, InvariantCounts> = BTreeMap::new();
        for machine in &self.machines {
            for (name, counts) in machine.counted.borrow().iter().chain(machine.earlier.borrow().iter()) {
                *all.entry(name.clone()).or_default() += *counts;
            }
        }
        *all.entry("clean-shutdown".to_owned()).or_default() += self.shutdowns();
        all
    }

    /// Lines of all logs that tell of a violated invariant or a panic: they outlive the process.
    pub fn violations_in_logs(&self) -> Vec<String> {
        self.log_lines(|line| line.contains("invariant violated") || line.contains("panicked at"))
    }

    /// Ends of gateways in order. What a process counts at its end is told by its log only.
    fn shutdowns(&self) -> InvariantCounts {
        let lines = self.log_lines(|line| line.contains("\"says\":\"shut down\""));
        let without = |what: &str| lines.iter().filter(|line| !line.contains(what)).count() as u64;
        InvariantCounts {
            checked: lines.len() as u64,
            near: without("\"in_flight\":\"0\""),
            violated: without("\"aborted_early\":\"0\""),
        }
    }

    fn log_lines(&self, tells: impl Fn(&str) -> bool) -> Vec<String> {
        let mut found = Vec::new();
        for at in self.all() {
            let log = std::fs::read(self.folder.join(format!("log-{at}"))).unwrap_or_default();
            let log = String::from_utf8_lossy(&log);
            found.extend(log.lines().filter(|line| tells(line)).map(|line| format!("machine {at}: {line}")));
        }
        found
    }
}

/// Makes a call that waits for a disk, on a thread of its own: meanwhile the event loop goes on.
async fn off_the_event_loop<T: Send + 'static>(
    call: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    spawn_blocking(call).await.unwrap_or_else(|e| Err(io::Error::other(e)))
}

async fn get(to: SocketAddr, path: &str) -> Option<(u16, String)> {
    let message = format!("GET {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
    call(to, &message, CALL_TIMEOUT).await
}

/// One HTTP call on a connection of its own; None without a whole answer in time.
pub async fn call(to: SocketAddr, message: &str, patience: Duration) -> Option<(u16, String)> {
    let answered = timeout(patience, async {
        let mut conn = Conn::open(to, &Rc::default()).await.ok()?;
        conn.patient(patience);
        conn.write(message.as_bytes(), &Cell::new(false)).await.ok()?;
        conn.read().await.ok()
    });
    let reply = answered.await.ok()??;
    Some((reply.head.status, String::from_utf8_lossy(&reply.body).into_owned()))
}
