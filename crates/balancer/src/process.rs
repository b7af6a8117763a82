//! Start and signals of a process.

use crate::clock::{self, now};
use crate::control_api;
use crate::gateway::Gateway;
use crate::metrics;
use crate::proxy::{self, ClientConnections};
use crate::readiness;
use crate::replica::{InitialState, Replica};
use crate::settings_file::{self, SettingsFile};
use crate::shutdown::{drain, shut_down_replica};
use crate::signals::ProcessSignals;
use crate::state_writer::StateWriter;
use crate::transport;
use error_stack::{Report, ResultExt};
use limeway_consensus::NodeId;
use limeway_control_plane::Event;
use limeway_distribution::decode;
use limeway_distribution::transfer::decompress;
use limeway_routing_config::{Operation, State};
use limeway_service_registry::ServerReport;
use limeway_settings::Settings;
use limeway_storage::Recovered;
use limeway_types::{Micros, MILLISECOND, SECOND};
use std::fmt;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;

/// File descriptors that are not for clients.
const RESERVED_FILE_DESCRIPTORS: usize = 700;

/// A disk that takes longer to open is reported.
const SLOW_DISK_OPEN: Micros = SECOND;

/// Why a process cannot start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
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
            StartError::Listen(address) => write!(f, "cannot listen at {address}"),
            StartError::Disk => f.write_str("the disk cannot be used"),
            StartError::Signals => f.write_str("signals cannot be waited for"),
        }
    }
}

impl std::error::Error for StartError {}

type StartResult<T> = Result<T, Report<StartError>>;

/// Runs the process that the settings of a file describe, until it is shut down. The file is watched.
///
/// # Errors
/// It cannot start.
pub async fn run(settings: Settings, file: SettingsFile, signals: ProcessSignals) -> StartResult<()> {
    clock::seed(NodeId::from(settings.ip));
    let ProcessSignals { mut terminate, reload } = signals;
    if settings.frontend.is_some() {
        run_gateway(settings, file, &mut terminate, reload).await
    } else {
        run_replica(settings, file, &mut terminate, reload).await
    }
}

fn bind(address: SocketAddr) -> StartResult<TcpListener> {
    transport::bind(address).change_context(StartError::Listen(address))
}

/// Serves the figures of this process, if the settings say where. A port that cannot be had is no reason not to serve clients.
fn serve_metrics(settings: &Settings, figures: impl Fn() -> String + Clone + 'static) {
    let Some(endpoint) = &settings.metrics else { return };
    let address = SocketAddr::from((settings.ip, endpoint.port));
    match transport::bind(address) {
        Ok(listener) => {
            tokio::task::spawn_local(metrics::listen(listener, endpoint.path.clone(), figures));
        }
        Err(e) => log::warn!("no figures at {address}: {e}"),
    }
}

/// Where the other processes call this one.
fn inner_address(settings: &Settings) -> SocketAddr {
    SocketAddr::from((settings.ip, settings.inner_ports.first))
}

async fn run_replica(
    settings: Settings,
    file: SettingsFile,
    terminate: &mut Signal,
    reload: Signal,
) -> StartResult<()> {
    let opening = now();
    let opened = tokio::select! {
        opened = open_disk(&settings) => opened?,
        _ = terminate.recv() => {
            // Nothing has been taken yet, and a file that is being opened outlasts a kill at any moment.
            log::info!("shut down while the disk was being opened");
            return Ok(());
        }
    };
    let (initial, writer) = opened;
    report_disk_opened(now().saturating_sub(opening));
    let (inner, is_new) = (inner_address(&settings), initial.is_new);
    let api_addresses = [settings.control, settings.directory];
    let replica = Replica::new(settings, initial, writer);
    let answering = replica.clone();
    tokio::task::spawn_local(transport::listen(bind(inner)?, move |call| answering.clone().answer(call)));
    for address in api_addresses.into_iter().flatten() {
        tokio::task::spawn_local(control_api::listen(replica.clone(), bind(address)?));
    }
    let figures = replica.clone();
    serve_metrics(&replica.settings, move || figures.render_metrics());
    log::info!(slot = replica.control_plane().state().slot, is_new; "control-plane replica started");
    let reloaded = replica.clone();
    let grace_period = settings_file::spawn_watch(file, reload, &replica.settings, move |settings| {
        reloaded.handle(Event::SeedsChanged(transport::nodes(&settings.seeds)));
    });
    tokio::task::spawn_local(replica.clone().run());
    terminate.recv().await;
    shut_down_replica(&replica, grace_period.read()).await;
    Ok(())
}

/// A disk that takes long to open holds back this replica's vote.
fn report_disk_opened(took: Micros) {
    let level = if took >= SLOW_DISK_OPEN { log::Level::Warn } else { log::Level::Info };
    log::log!(level, took_ms = took / MILLISECOND; "disk opened");
}

/// Opens the disk, if the machine has one, and restores the state from it.
async fn open_disk(settings: &Settings) -> StartResult<(InitialState, StateWriter)> {
    let Some(directory) = &settings.data_directory else {
        return Ok((InitialState::without_disk(), StateWriter::none()));
    };
    // All disks of the initial start have one incarnation; later ones differ.
    let fresh = if settings.initial_start { 0 } else { clock::random() | 1 };
    let opened = StateWriter::open(directory.clone(), NodeId::from(settings.ip), fresh).await;
    let (writer, recovered) = opened.change_context(StartError::Disk)?;
    let (acceptor, is_new) = (recovered.acceptor.clone(), recovered.is_new);
    let answered_calls = recovered.answered_calls.clone();
    let leaving =
        recovered.leaving.iter().map(|report| decode::<ServerReport>(report)).collect::<Option<_>>();
    let leaving = leaving.ok_or(StartError::Disk)?;
    let state = restore(recovered).ok_or(StartError::Disk)?;
    Ok((InitialState { acceptor, state, answered_calls, leaving, is_new }, writer))
}

/// The state that a snapshot and the operations since make; nothing if they are malformed.
fn restore(recovered: Recovered) -> Option<State> {
    let mut state: State = match recovered.snapshot {
        Some((_, encoded)) => decode(&encoded)?,
        None => State::default(),
    };
    let applied = recovered.acceptor.applied;
    for (_, compressed) in recovered.operations.iter().filter(|(slot, _)| *slot <= applied) {
        state.apply(&decode::<Operation>(&decompress(compressed)?)?);
    }
    (state.slot == applied).then_some(state)
}

async fn run_gateway(
    settings: Settings,
    file: SettingsFile,
    terminate: &mut Signal,
    reload: Signal,
) -> StartResult<()> {
    let (inner, frontend) = (inner_address(&settings), settings.frontend);
    let probe_addresses = [settings.readiness, settings.directory];
    let clients =
        ClientConnections::new(settings.max_file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS));
    let gateway = Gateway::new(settings);
    let answering = gateway.clone();
    tokio::task::spawn_local(transport::listen(bind(inner)?, move |call| answering.clone().answer(call)));
    for address in probe_addresses.into_iter().flatten() {
        tokio::task::spawn_local(readiness::listen(gateway.clone(), bind(address)?));
    }
    let reloaded = gateway.clone();
    let grace_period = settings_file::spawn_watch(file, reload, &gateway.settings, move |settings| {
        reloaded.reload(&settings);
    });
    gateway.spawn_tasks();
    tokio::task::spawn_local(proxy::log_traffic(gateway.clone(), clients.clone()));
    let figures = (gateway.clone(), clients.clone());
    serve_metrics(&gateway.settings, move || figures.0.metrics.render(&figures.0, &figures.1));
    let mut accepting = None;
    if let Some(address) = frontend {
        let listening = proxy::listen(gateway.clone(), clients.clone(), bind(address)?);
        accepting = Some(tokio::task::spawn_local(listening));
    }
    terminate.recv().await;
    drain(&gateway, &clients, accepting, grace_period.read()).await;
    Ok(())
}
