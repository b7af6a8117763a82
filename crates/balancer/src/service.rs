//! Start, signals and end of a process.

use crate::clock;
use crate::core::Core;
use crate::disk::Disk;
use crate::edge::Edge;
use crate::front::{self, Front};
use crate::switch;
use crate::{control, link};
use error_stack::{Report, ResultExt};
use limeway_consensus::{Acceptor, NodeId};
use limeway_control_plane::Event;
use limeway_distribution::decode;
use limeway_distribution::transfer::decompress;
use limeway_http1::http;
use limeway_http1::inbound::{Bounds, Inbound};
use limeway_routing_config::{Operation, State};
use limeway_settings::{Settings, VARIABLE};
use limeway_storage::Recovered;
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, Instant};

/// The settings file may change without a signal: it is looked at this often.
const FILE_CHECK: Duration = Duration::from_secs(5);
/// Descriptors that are not for clients.
const FDS_ASIDE: usize = 700;
/// Connections of those who ask where to go, or whether this limiter is ready, at most.
const ASKERS_MOST: usize = 400;
/// New connections are taken for this long after SIGTERM, and the rest of the grace goes to what was begun.
const LEAVING: f64 = 0.55;
/// What is left of the grace when the process ends in any case.
const MARGIN: Duration = Duration::from_millis(400);

/// Why a process cannot start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// The settings file cannot be read or is wrong.
    Settings,
    /// An address cannot be listened at.
    Listen(SocketAddr),
    /// The disk cannot be used.
    Disk,
    /// Signals cannot be waited for.
    Signals,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Settings => f.write_str("the settings cannot be used"),
            StartError::Listen(address) => write!(f, "cannot listen at {address}"),
            StartError::Disk => f.write_str("the disk cannot be used"),
            StartError::Signals => f.write_str("signals cannot be waited for"),
        }
    }
}

impl std::error::Error for StartError {}

/// Reads a settings file.
pub fn settings(path: &Path) -> Result<Settings, Report<StartError>> {
    let text = std::fs::read_to_string(path).change_context(StartError::Settings)?;
    Settings::read(&text).change_context(StartError::Settings)
}

fn bind(address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    link::bind(address).change_context(StartError::Listen(address))
}

/// Runs the process that the settings describe, until it is told to end.
pub async fn run(settings: Settings) -> Result<(), Report<StartError>> {
    clock::seed(NodeId::from(settings.ip));
    let mut terminate = signal(SignalKind::terminate()).change_context(StartError::Signals)?;
    let reload = signal(SignalKind::hangup()).change_context(StartError::Signals)?;
    let inner = SocketAddr::from((settings.ip, settings.inner.0));
    if settings.frontend.is_some() {
        serve_edge(settings, inner, &mut terminate, reload).await
    } else {
        serve_core(settings, inner, &mut terminate, reload).await
    }
}

/// The state that a snapshot and the operations since make; nothing if they cannot be read.
fn state(found: Recovered) -> Option<State> {
    let mut state: State = match found.snapshot {
        Some((_, bytes)) => decode(&bytes)?,
        None => State::default(),
    };
    for (_, op) in found.operations.iter().filter(|(slot, _)| *slot <= found.acceptor.applied) {
        state.apply(&decode::<Operation>(&decompress(op)?)?);
    }
    (state.slot == found.acceptor.applied).then_some(state)
}

async fn serve_core(
    settings: Settings,
    inner: SocketAddr,
    terminate: &mut Signal,
    reload: Signal,
) -> Result<(), Report<StartError>> {
    let (acceptor, state, empty, disk) = match &settings.data {
        Some(folder) => {
            // All disks of the first start have one life; later ones are told apart.
            let life = if settings.first_start { 0 } else { clock::draw() | 1 };
            let (disk, found) = Disk::open(folder.clone(), NodeId::from(settings.ip), life)
                .await
                .change_context(StartError::Disk)?;
            let votes = found.acceptor.clone();
            let acceptor =
                Acceptor { disk: votes.disk, applied: votes.applied, slot_state: votes.slot_state };
            let empty = found.is_new;
            (acceptor, state(found).ok_or(StartError::Disk)?, empty, disk)
        }
        None => (Acceptor::default(), State::default(), true, Disk::none()),
    };
    let (control, directory) = (settings.control, settings.directory);
    let core = Core::new(settings, acceptor, state, empty, disk);
    let listener = bind(inner)?;
    let answering = core.clone();
    tokio::task::spawn_local(link::listen(listener, move |call| answering.clone().answer(call)));
    for address in [control, directory].into_iter().flatten() {
        tokio::task::spawn_local(control::listen(core.clone(), bind(address)?));
    }
    log::info!(slot = core.marker().state().slot, empty; "core machine starts");
    let told = core.clone();
    tokio::task::spawn_local(watch_file(reload, move |settings| {
        told.tell(Event::SeedsChanged(link::nodes(&settings.seeds)))
    }));
    tokio::task::spawn_local(core.clone().run());
    terminate.recv().await;
    // Calls under way end meanwhile, and a seat passes on; what was acknowledged is on disk.
    core.tell(Event::Shutdown);
    core.ended.notified().await;
    Ok(())
}

async fn serve_edge(
    settings: Settings,
    inner: SocketAddr,
    terminate: &mut Signal,
    reload: Signal,
) -> Result<(), Report<StartError>> {
    let (frontend, readiness, grace) = (settings.frontend, settings.readiness, settings.bounds.grace);
    let directory = settings.directory;
    let clients = Front::new(settings.fds.saturating_sub(FDS_ASIDE));
    let edge = Edge::new(settings);
    let answering = edge.clone();
    tokio::task::spawn_local(link::listen(bind(inner)?, move |call| answering.clone().answer(call)));
    if let Some(address) = readiness {
        tokio::task::spawn_local(ask(edge.clone(), bind(address)?));
    }
    if let Some(address) = directory {
        tokio::task::spawn_local(ask(edge.clone(), bind(address)?));
    }
    let told = edge.clone();
    tokio::task::spawn_local(watch_file(reload, move |settings| told.reload(&settings)));
    tokio::task::spawn_local(edge.clone().follow());
    tokio::task::spawn_local(edge.clone().lease());
    tokio::task::spawn_local(edge.clone().tidy());
    tokio::task::spawn_local(front::account(edge.clone(), clients.clone()));
    let mut taking = None;
    if let Some(address) = frontend {
        taking =
            Some(tokio::task::spawn_local(switch::listen(edge.clone(), clients.clone(), bind(address)?)));
    }
    terminate.recv().await;
    let (begun, grace) = (Instant::now(), Duration::from_micros(grace));
    log::info!("told to end");
    edge.leaving.set(true);
    edge.hurry.notify_one();
    clients.closing.set(true);
    clients.close.notify_waiters();
    sleep(grace.mul_f64(LEAVING)).await;
    if let Some(taking) = taking {
        taking.abort();
    }
    clients.close.notify_waiters();
    while clients.busy.get() > 0 && begun.elapsed() < grace.saturating_sub(MARGIN) {
        sleep(Duration::from_millis(25)).await;
    }
    Ok(())
}

/// Reads the settings file again at SIGHUP, and when it has changed without one. One that cannot be used changes nothing.
async fn watch_file(mut reload: Signal, told: impl Fn(Settings)) {
    let Some(path) = std::env::var_os(VARIABLE).map(PathBuf::from) else { return };
    let stamp = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut last = stamp();
    loop {
        let signalled = tokio::time::timeout(FILE_CHECK, reload.recv()).await.is_ok();
        let now = stamp();
        if !signalled && now == last {
            continue;
        }
        last = now;
        match settings(&path) {
            Ok(settings) => told(settings),
            Err(e) => log::warn!("settings that have changed cannot be used: {e:?}"),
        }
    }
}

/// Tells the platform whether this limiter can serve, and clients where to go.
async fn ask(edge: Rc<Edge>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        if open.get() >= ASKERS_MOST {
            continue;
        }
        let counted = limeway_http1::conn::Counted::new(&open);
        let edge = edge.clone();
        tokio::task::spawn_local(async move {
            let _counted = counted;
            let mut inbound = Inbound::new(stream);
            let bounds = Bounds { body: 1024, whole: Duration::from_secs(2), idle: Duration::from_secs(5) };
            while let Ok(message) = inbound.read(bounds).await {
                let (method, target) = message.line();
                let (path, rest) = target.split_once('?').unwrap_or((target, ""));
                let (status, body) = match (method, path) {
                    ("GET", "/-/readiness") if edge.ready() => (200, String::new()),
                    ("GET", "/-/readiness") => (503, String::new()),
                    ("GET", "/-/resolve") => {
                        edge.resolve(rest).map_or((503, String::new()), |body| (200, body))
                    }
                    _ => (404, String::new()),
                };
                let close = !message.head.keep_alive;
                let mut out = Vec::new();
                http::write_answer(
                    &mut out,
                    status,
                    b"Content-Type: application/json\r\n",
                    close,
                    body.as_bytes(),
                );
                if !inbound.write(&out).await || close {
                    return;
                }
            }
        });
    }
}
