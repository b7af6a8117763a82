//! One run: the system starts, traffic and faults go on, all machines lose power right after an acknowledgement and one of them its
//! disk, and everything comes back.

use crate::bounds::{CONTACT, DRAIN, EVACUATION, RECOVERY};
use crate::client::Client;
use crate::cluster::Cluster;
use crate::demand::Demand;
use crate::evacuations::AlternatingOperator;
use crate::faults::Stage;
use crate::judge::{is_served_since, is_served_so_far, judge};
use crate::layout::Layout;
use crate::ledger::{Ledger, ReadinessProbe};
use crate::memory;
use crate::network::Network;
use crate::operator::Operator;
use crate::plan::Plan;
use crate::report::Report;
use crate::sections::timed;
use crate::server::Server;
use crate::stalls;
use crate::thread_times::Threads;
use std::fmt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::sleep;

/// The system is up within it, or something is wrong.
const UP: Duration = Duration::from_secs(25);
/// Between two looks at a condition that is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Between two looks at processes and their figures.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// All faults have ended for so long before power is lost: the machines that may be lost then are none of those just lost.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Traffic goes on so long once all is ready again.
const AFTERWARDS: Duration = Duration::from_secs(3);
/// A heartbeat from before the loss of power comes so long after all have started: gateways are in touch by then.
const LATE_HEARTBEAT: Duration = CONTACT.saturating_add(Duration::from_millis(500));
/// Service is judged by the requests of so long.
const SERVICE_WINDOW: Duration = Duration::from_secs(1);
/// Threads for the links.
const LINK_THREADS: usize = 2;

/// What a run is.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program of the system.
    pub program: PathBuf,
    /// Where files and logs of runs go, a folder each.
    pub folder: PathBuf,
    /// The second byte of all addresses: runs at one time differ.
    pub net: u8,
    /// How long faults begin.
    pub length: Duration,
    /// Clients.
    pub clients: usize,
    /// A large run with so many gateways, in place of a small one.
    pub gateways: Option<usize>,
    /// Some requests have bodies of many megabytes.
    pub long_bodies: bool,
}

/// Why a run could not be made.
#[derive(Debug)]
pub enum RunError {
    /// Folder, address or process could not be had.
    Io(std::io::Error),
    /// The system did not come up.
    NotUp(&'static str),
    /// SIGTERM or SIGINT came: all processes of the run were killed.
    Interrupted,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Io(e) => write!(f, "{e}"),
            RunError::NotUp(what) => write!(f, "the system did not come up: {what}"),
            RunError::Interrupted => f.write_str("interrupted"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<std::io::Error> for RunError {
    fn from(e: std::io::Error) -> Self {
        RunError::Io(e)
    }
}

/// Makes one run.
///
/// # Errors
/// It could not be made: nothing was tested.
pub fn run(options: &Options, seed: u64) -> Result<Report, RunError> {
    let threads = Threads::new(LINK_THREADS);
    let joining = threads.clone();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(LINK_THREADS)
        .on_thread_start(move || joining.join())
        .enable_all()
        .build()?;
    let folder = options.folder.join(format!("seed-{seed}"));
    let _ = std::fs::remove_dir_all(&folder);
    // What is dropped kills its processes.
    let report = LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            report = play(options, &folder, seed, threads) => report,
            interrupted = interrupted() => Err(interrupted.map_or_else(RunError::Io, |()| RunError::Interrupted)),
        }
    })?;
    std::fs::write(folder.join("report.txt"), report.to_text())?;
    Ok(report)
}

/// Waits for SIGTERM or SIGINT.
async fn interrupted() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

async fn play(options: &Options, folder: &Path, seed: u64, threads: Threads) -> Result<Report, RunError> {
    let plan = match options.gateways {
        Some(gateways) => Plan::draw_large(seed, options.length, gateways),
        None => Plan::draw(seed, options.length),
    };
    let layout = plan.layout;
    let cluster = Cluster::new(&options.program, folder, options.net, layout, seed)?;
    let (ledger, demand) = (Ledger::new(), Rc::new(Demand::default()));
    let network = Network::start(layout, options.net, seed)?;
    for at in cluster.all() {
        cluster.start(at, true).await?;
    }
    let mut servers = Vec::new();
    for at in 0..layout.servers {
        servers.push(Server::start(at, options.net, seed, ledger.clone()).await?);
    }
    let operator = Operator::new(options.net, &plan, ledger.clone(), demand.clone());
    if !operator.begin().await {
        return Err(RunError::NotUp("the first configuration was not taken"));
    }
    if !all_ready(&cluster, UP).await {
        return Err(RunError::NotUp("a gateway is not ready"));
    }
    let stage = Rc::new(Stage { cluster: cluster.clone(), network, servers, demand: demand.clone(), ledger });
    let watching = tokio::task::spawn_local(watch(stage.clone()));
    let watching_memory = tokio::task::spawn_local(memory::watch(stage.clone()));
    let watching_stalls = tokio::task::spawn_local(stalls::watch(stage.ledger.clone(), threads));
    let mut callers = start_clients(options, layout, seed, &stage);
    callers.push(tokio::task::spawn_local(operator.clone().run()));
    let alternating = AlternatingOperator::new(options.net, seed, stage.ledger.clone());
    let alternation = layout.has_links.then(|| tokio::task::spawn_local(alternating.clone().run()));
    perform(&stage, &plan).await;
    alternating.stop();
    sleep(SETTLING_TIME).await;
    if let Some(alternation) = alternation {
        let _ = alternation.await;
    }
    lose_power(&stage, &operator, &plan).await;
    demand.stopped.set(true);
    for caller in callers {
        let _ = caller.await;
    }
    watching.abort();
    watching_stalls.abort();
    watching_memory.abort();
    finish(&stage, seed).await
}

fn start_clients(options: &Options, layout: Layout, seed: u64, stage: &Stage) -> Vec<JoinHandle<()>> {
    let client = |n| {
        let (ledger, demand) = (stage.ledger.clone(), stage.demand.clone());
        Client::new(n, options.net, layout, seed, ledger, demand, options.long_bodies)
    };
    (0..options.clients).map(|n| tokio::task::spawn_local(client(n).run())).collect()
}

/// Brings all faults about, and waits until they have ended.
async fn perform(stage: &Rc<Stage>, plan: &Plan) {
    let performing: Vec<JoinHandle<()>> = plan
        .faults
        .iter()
        .map(|timed| {
            let (stage, timed) = (stage.clone(), *timed);
            tokio::task::spawn_local(async move { stage.perform(timed).await })
        })
        .collect();
    sleep(plan.length).await;
    for one in performing {
        let _ = one.await;
    }
}

/// Right after an acknowledgement all machines lose power at one moment, those that do not count too; one core machine loses its disk.
async fn lose_power(stage: &Stage, operator: &Operator, plan: &Plan) {
    let leaver = &stage.servers[plan.closing_leaver()];
    let late_heartbeat = leaver.heartbeat_call("ready");
    leaver.deregister().await;
    if plan.closes_evacuated() {
        operator.evacuate_for_good().await;
    } else {
        operator.change().await;
    }
    let lost = stage.ledger.now();
    {
        let mut seen = stage.ledger.seen.borrow_mut();
        seen.served_before = timed("judging", || is_served_so_far(&seen));
    }
    stage.cluster.kill_all(stage.cluster.all()).await;
    stage.cluster.lose_disk(plan.closing_wipe).await;
    for at in stage.cluster.all() {
        // One that cannot be started shows as not ready.
        let _ = stage.cluster.start(at, false).await;
    }
    let restarted = stage.ledger.now();
    stage.ledger.seen.borrow_mut().power_loss = Some((lost, restarted));
    let late = tokio::task::spawn_local(leaver.clone().send_late(late_heartbeat, LATE_HEARTBEAT));
    let (read_back, ()) = tokio::join!(operator.read_back(RECOVERY), wait_for_recovery(stage, restarted));
    stage.ledger.seen.borrow_mut().read_back = read_back;
    // One that is not acknowledged in time is given up.
    let _ = late.await;
    sleep(if plan.closes_evacuated() { EVACUATION + AFTERWARDS } else { DRAIN + AFTERWARDS }).await;
}

/// Waits until all gateways are ready and requests are served after a loss of power, or for as long as that may take.
async fn wait_for_recovery(stage: &Stage, restarted: Duration) {
    let ready = all_ready(&stage.cluster, RECOVERY).await;
    let now = stage.ledger.now();
    stage.ledger.seen.borrow_mut().ready_again = ready.then_some(now);
    wait_for_service(stage, restarted + RECOVERY).await;
}

/// Waits until requests are served again, or until then at most.
async fn wait_for_service(stage: &Stage, until: Duration) {
    while stage.ledger.now() < until {
        sleep(CHECK_INTERVAL).await;
        let now = stage.ledger.now();
        let mut seen = stage.ledger.seen.borrow_mut();
        if timed("judging", || is_served_since(&seen, now.saturating_sub(SERVICE_WINDOW))) {
            seen.served_again = Some(now);
            return;
        }
    }
}

async fn all_ready(cluster: &Cluster, within: Duration) -> bool {
    let begun = Instant::now();
    for at in cluster.gateways() {
        while !cluster.is_ready(at).await {
            if begun.elapsed() > within {
                return false;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
    true
}

/// Looks for processes that have ended by themselves, and fetches figures, for ever.
async fn watch(stage: Rc<Stage>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        for at in stage.cluster.all() {
            if let Some(end) = stage.cluster.ended_by_itself(at) {
                stage.ledger.seen.borrow_mut().own_ends.push(end);
                let _ = stage.cluster.start(at, false).await;
            }
            stage.cluster.refresh_counts(at).await;
            if stage.cluster.gateways().contains(&at) {
                let asked = stage.ledger.now();
                let is_ready = stage.cluster.is_ready(at).await;
                let probe = ReadinessProbe { gateway: at, at: asked, is_ready };
                stage.ledger.seen.borrow_mut().probes.push(probe);
            }
        }
    }
}

/// Ends all processes in order, and judges.
async fn finish(stage: &Stage, seed: u64) -> Result<Report, RunError> {
    for at in stage.cluster.all() {
        stage.cluster.refresh_counts(at).await;
    }
    stage.cluster.kill_all(stage.cluster.all()).await;
    stage.ledger.seen.borrow_mut().own_ends.extend(stage.cluster.take_ended_before_kill());
    let seen = stage.ledger.seen.borrow();
    let (invariants, logs) = (stage.cluster.invariant_counts(), stage.cluster.violations_in_logs());
    let mut report = Report::new(seed, &seen, judge(&seen), invariants, logs);
    report.starts = stage.cluster.starts();
    report.signal_phases = stage.cluster.signal_phases();
    report.signal_ages = stage.cluster.signal_ages();
    Ok(report)
}
