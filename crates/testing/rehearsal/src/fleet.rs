//! The limiters' processes: start, signals, unexpected ends, what they use.

use crate::KitError;
use limeway_checker::ledger::{Change, Micros, Record};
use limeway_process_start::SignalBlock;
use limeway_test_services::book::lock;
use limeway_test_services::clients::Seen;
use limeway_test_services::World;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// Time in which a limiter must be ready, where nothing else is said.
pub const MAX_READY: Duration = Duration::from_secs(20);
/// Time between two looks at its readiness.
const READY_EVERY: Duration = Duration::from_millis(20);
/// After SIGTERM, new connections go on coming for so long.
const COMING_ON: Duration = Duration::from_millis(300);
/// SIGKILL follows the longest deadline by so much.
const KILL_LATER: Duration = Duration::from_millis(1_200);
/// Lines of a limiter's log that an error quotes.
const QUOTED: usize = 5;

/// One life of a limiter's process.
struct Life {
    pid: Pid,
    /// It has been told to end, or was killed.
    expected: Arc<AtomicBool>,
    /// It has been stopped, and has not been told to go on.
    stalled: bool,
    /// Becomes true once it has ended.
    ended: watch::Receiver<bool>,
}

/// The present life of a limiter, unless it has ended.
fn running(lives: &mut [Option<Life>], limiter: u32) -> Option<&mut Life> {
    lives.get_mut(limiter as usize)?.as_mut().filter(|l| !*l.ended.borrow())
}

/// All limiters.
pub struct Fleet {
    world: Arc<World>,
    program: PathBuf,
    folder: PathBuf,
    ready_timeout: Duration,
    operator: Option<PathBuf>,
    lives: Mutex<Vec<Option<Life>>>,
    /// A limiter has ended by itself.
    crashed: watch::Sender<bool>,
}

impl Fleet {
    /// A fleet of none yet, whose configurations and logs go into a folder, and each of whose limiters must be ready
    /// within `ready_timeout`; `operator` is their operators' file.
    pub fn new(
        world: Arc<World>,
        program: &Path,
        folder: &Path,
        ready_timeout: Duration,
        operator: Option<PathBuf>,
    ) -> Arc<Self> {
        let lives = (0..world.limiters.len()).map(|_| None).collect();
        Arc::new(Fleet {
            world,
            program: program.to_owned(),
            folder: folder.to_owned(),
            ready_timeout,
            operator,
            lives: Mutex::new(lives),
            crashed: watch::Sender::new(false),
        })
    }

    fn change(&self, limiter: u32, change: Change) {
        self.world.book.add(Record::Limiter { t: self.world.book.now(), limiter, change });
    }

    /// Where a limiter's log goes.
    pub fn log(&self, limiter: u32) -> PathBuf {
        self.folder.join(format!("limiter-{limiter}.log"))
    }

    /// Starts a limiter and waits until it is ready; from then on the front sends to it.
    ///
    /// # Errors
    /// It cannot be started, ends, or does not get ready in time.
    pub async fn start(self: &Arc<Self>, limiter: u32) -> Result<(), KitError> {
        if running(&mut lock(&self.lives), limiter).is_some() {
            // Two entries of a timeline that touch one limiter at a time: the first to start it has done so.
            return Ok(());
        }
        let config = self.config(limiter);
        let text = self.world.config(limiter).to_string();
        fs::write(&config, text).map_err(|e| KitError::File(config.display().to_string(), e))?;
        let path = self.log(limiter);
        let log = OpenOptions::new().create(true).append(true).open(&path);
        let log = log.map_err(|e| KitError::File(path.display().to_string(), e))?;
        let child = self.spawn(&config, log)?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| {
            KitError::Setup(format!("limiter {limiter} ended at once: {}", self.quote(limiter)))
        })?;
        self.change(limiter, Change::Started);
        let (tell, ended) = watch::channel(false);
        let expected = Arc::new(AtomicBool::new(false));
        lock(&self.lives)[limiter as usize] =
            Some(Life { pid, expected: expected.clone(), stalled: false, ended: ended.clone() });
        tokio::spawn(self.clone().watch(limiter, child, expected, tell));
        let end = Instant::now() + self.ready_timeout;
        while !self.world.clients.healthy(limiter).await {
            if *ended.borrow() {
                return Err(KitError::Setup(format!("limiter {limiter} ended: {}", self.quote(limiter))));
            }
            if Instant::now() > end {
                let (within, said) = (self.ready_timeout.as_secs(), self.quote(limiter));
                return Err(KitError::Setup(format!(
                    "limiter {limiter} is not ready within {within} s: {said}"
                )));
            }
            sleep(READY_EVERY).await;
        }
        self.change(limiter, Change::Ready);
        self.world.clients.see(limiter, Seen::Up);
        Ok(())
    }

    fn spawn(&self, config: &Path, log: File) -> Result<Child, KitError> {
        let out = log.try_clone().map_err(|e| KitError::Setup(e.to_string()))?;
        let mut command = Command::new(&self.program);
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
            command.env_remove(name);
        }
        match &self.operator {
            Some(path) => command.env("LIMEWAY_OPERATOR", path),
            None => command.env_remove("LIMEWAY_OPERATOR"),
        };
        let _blocked = SignalBlock::new().map_err(|e| KitError::Setup(e.to_string()))?;
        command
            .env("ROUTER_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(log)
            // Ctrl-C is the kit's, which ends its children itself.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| KitError::Daemon(format!("{}: {e}", self.program.display())))
    }

    /// The last lines of a limiter's log.
    fn quote(&self, limiter: u32) -> String {
        let text = fs::read_to_string(self.log(limiter)).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let last = lines[lines.len().saturating_sub(QUOTED)..].join(" | ");
        if last.is_empty() {
            "it said nothing".into()
        } else {
            last
        }
    }

    async fn watch(
        self: Arc<Self>,
        limiter: u32,
        mut child: Child,
        expected: Arc<AtomicBool>,
        tell: watch::Sender<bool>,
    ) {
        let status = child.wait().await;
        if expected.load(Ordering::Relaxed) {
            self.change(limiter, Change::Ended);
        } else {
            self.change(limiter, Change::Crashed { code: status.ok().and_then(|s| s.code()) });
            self.world.limiter_died(limiter);
            self.crashed.send_replace(true);
        }
        tell.send_replace(true);
    }

    /// Waits until a limiter has ended by itself.
    pub async fn crash(&self) {
        let _ = self.crashed.subscribe().wait_for(|crashed| *crashed).await;
    }

    fn signal(&self, limiter: u32, signal: Signal) -> Option<watch::Receiver<bool>> {
        let mut lives = lock(&self.lives);
        let life = running(&mut lives, limiter)?;
        life.expected.store(true, Ordering::Relaxed);
        let change = if signal == Signal::KILL { Change::Killed } else { Change::Terminated };
        self.change(limiter, change);
        // It may have ended just now, which its watch tells.
        let _ = kill_process(life.pid, signal);
        Some(life.ended.clone())
    }

    /// Stops a limiter's process where it stands, or lets it go on; nothing where it has ended or is to end.
    pub fn stall(&self, limiter: u32, stalled: bool) {
        let mut lives = lock(&self.lives);
        let Some(life) = running(&mut lives, limiter).filter(|l| l.stalled != stalled) else { return };
        life.stalled = stalled;
        let (signal, change) =
            if stalled { (Signal::STOP, Change::Stalled) } else { (Signal::CONT, Change::Resumed) };
        // Written down before it stands still and before it goes on: it must not be blamed for the time between.
        self.change(limiter, change);
        let _ = kill_process(life.pid, signal);
    }

    /// Writes a limiter's configuration anew, whole or broken off in the middle, and has it read that.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn reload(&self, limiter: u32, half: bool) -> Result<(), KitError> {
        let text = self.world.config(limiter).to_string();
        let text = if half { &text[..text.len() / 2] } else { &text };
        let config = self.config(limiter);
        fs::write(&config, text).map_err(|e| KitError::File(config.display().to_string(), e))?;
        if let Some(life) = running(&mut lock(&self.lives), limiter) {
            let _ = kill_process(life.pid, Signal::HUP);
        }
        Ok(())
    }

    fn config(&self, limiter: u32) -> PathBuf {
        self.folder.join(format!("limiter-{limiter}.json"))
    }

    /// Kills a limiter outright; the front notices late.
    pub fn kill(&self, limiter: u32) {
        if self.signal(limiter, Signal::KILL).is_some() {
            self.world.limiter_died(limiter);
        }
    }

    /// Tells a limiter to end, as at a planned restart, and waits for that; one that does not end is killed.
    pub async fn terminate(&self, limiter: u32) {
        let Some(mut ended) = self.signal(limiter, Signal::TERM) else { return };
        let classes = &self.world.day.scenario.class;
        let longest = classes.iter().map(|c| c.deadline_seconds).fold(0.0, f64::max);
        let over = async {
            let _ = ended.wait_for(|e| *e).await;
        };
        tokio::pin!(over);
        if timeout(COMING_ON, &mut over).await.is_err() {
            self.world.clients.see(limiter, Seen::Closing);
            let most = Duration::from_secs_f64(longest) + KILL_LATER;
            if timeout(most, &mut over).await.is_err() {
                self.signal(limiter, Signal::KILL);
                over.await;
            }
        }
        self.world.clients.see(limiter, Seen::Down);
    }

    /// Kills all that run; their ends are expected.
    pub fn stop(&self) {
        for life in lock(&self.lives).iter().flatten().filter(|l| !*l.ended.borrow()) {
            life.expected.store(true, Ordering::Relaxed);
            let _ = kill_process(life.pid, Signal::KILL);
        }
    }

    /// Writes down what each limiter uses.
    pub fn measure(&self) {
        let running: Vec<(u32, Pid)> = (0..)
            .zip(lock(&self.lives).iter())
            .filter_map(|(n, l)| Some((n, l.as_ref().filter(|l| !*l.ended.borrow())?.pid)))
            .collect();
        for (limiter, pid) in running {
            if let Some((cpu_us, system_us, rss_kb, fds)) = used(pid) {
                let t = self.world.book.now();
                self.world.book.add(Record::Usage { t, limiter, cpu_us, system_us, rss_kb, fds });
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Ticks of the system's coarse clock in a second, as /proc words times.
const TICKS: u64 = 100;

/// Processor time and that of the system in microseconds, resident memory in KiB and descriptors of a process; nothing
/// once it is gone.
fn used(pid: Pid) -> Option<(Micros, Micros, u64, u64)> {
    let folder = PathBuf::from(format!("/proc/{}", pid.as_raw_nonzero()));
    let mut cpu = 0;
    for task in fs::read_dir(folder.join("task")).ok()?.flatten() {
        let times = fs::read_to_string(task.path().join("schedstat")).ok()?;
        cpu += times.split(' ').next()?.parse::<u64>().ok()? / 1_000;
    }
    // The name in brackets may hold spaces; after it, the system's time is the 13th field.
    let stat = fs::read_to_string(folder.join("stat")).ok()?;
    let system: u64 = stat.rsplit(')').next()?.split_whitespace().nth(12)?.parse().ok()?;
    let status = fs::read_to_string(folder.join("status")).ok()?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let rss = rss.trim().trim_end_matches("kB").trim().parse().ok()?;
    let fds = fs::read_dir(folder.join("fd")).ok()?.count() as u64;
    Some((cpu, system * 1_000_000 / TICKS, rss, fds))
}
