//! The service as a whole: start, signals, end.

use crate::clients::{self, Clients, Closing};
use crate::config::Config;
use crate::core::{Core, Links};
use crate::counter::{self, Counter};
use crate::discovery::Discovery;
use crate::history::Told;
use crate::peers::Peers;
use crate::servers::Pools;
use limeway_event_log::What;
use nix::sys::signal::SigSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Descriptors set aside: standard streams, runtime and signals, listener, datagrams, discovery (8), those that
/// are just closing (8), and the counter's.
const SOCKETS_ASIDE: usize = 16 + counter::MAX_CONNECTIONS;
/// Connections to servers beyond the open requests: clients hold a third of all descriptors at most for requests,
/// each of these has one attempt out, and the rest stands idle to be used again.
const SERVERS_MORE: usize = 8;
/// Discovery has so long to answer; then what was known must do.
const MAX_READY: Duration = Duration::from_secs(2);
/// Time between two looks at idle connections.
const PRUNE_EVERY: Duration = Duration::from_secs(1);
/// A turn that comes later than this is a standstill of the process, or of the machine.
const STOOD: Duration = Duration::from_millis(200);
/// How long a configuration file that may be incomplete is read again at the start.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before it is read again.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(20);
/// After SIGTERM, idle connections are closed after this time; new ones go on coming till then and a bit on.
const CLOSE_IDLE: Duration = Duration::from_millis(450);
/// The listener closes once so much time has passed without a new connection, and at the latest then.
const LISTEN_ON: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(1_200));
/// Time for what has been taken, in all.
const MAX_FINISH: Duration = Duration::from_millis(9_000);

fn env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn listen_for(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|e| format!("signals: {e}"))
}

/// Reads the configuration. A file that may be being written at this moment is read again for as long as [`CONFIG_TIMEOUT`].
async fn load_config() -> Result<Config, String> {
    let started = Instant::now();
    loop {
        match Config::load(env) {
            Err(e) if e.may_be_incomplete() && started.elapsed() < CONFIG_TIMEOUT => {
                sleep(CONFIG_RETRY_DELAY).await;
            }
            loaded => return loaded.map_err(|e| e.to_string()),
        }
    }
}

/// Serves until it is told to end. The signals that are blocked are let through once they have handlers.
///
/// # Errors
/// One line that says why the service cannot start.
pub async fn serve(blocked: SigSet) -> Result<(), String> {
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    let mut hangup = listen_for(SignalKind::hangup())?;
    blocked.thread_unblock().map_err(|e| format!("signals: {e}"))?;
    let config = load_config().await?;
    let listener = clients::listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let settings = &config.setup.settings;
    let peers = match &config.peers {
        Some((address, all)) => Some(Rc::new(
            Peers::bind(*address, all.clone(), settings.me)
                .await
                .map_err(|e| format!("peer_listen: {address}: {e}"))?,
        )),
        None => None,
    };
    let limit = settings.counter.as_ref().map_or(0, |c| c.limit);
    let counter = config.places.counter.map(|address| Rc::new(Counter::new(address, limit)));
    let discovery = Rc::new(Discovery::new(config.places.discovery, settings.ask));
    let sockets = config.sockets.saturating_sub(SOCKETS_ASIDE).max(8);
    let to_servers = (config.sockets / 3 + SERVERS_MORE).min(sockets / 2);
    let pools = Rc::new(Pools::new(&config.setup, to_servers));
    let clients = Clients::new(sockets - to_servers);
    log::info!("limiter {} listens at {}", config.name, config.listen);
    let told = Told::open(&config.operator.history, &config.name)?;
    told.tell(What::Started { limiter: config.setup.settings.me, pid: std::process::id() });
    let core = Core::new(config, Links { pools, counter, peers, discovery }, told);
    core.start();
    spawn_local(housekeeping(core.clone()));
    let accepting = spawn_local(clients::run(core.clone(), clients.clone(), listener));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&core),
        }
    }
    log::info!("ending: {} requests are open", core.unanswered());
    core.told.tell(What::Ending { open: core.unanswered() });
    core.draining.set(true);
    let told = Instant::now();
    sleep(CLOSE_IDLE).await;
    clients.close_idle(Closing::Used);
    while told.elapsed() < LISTEN_ON.1 && clients.quiet_for() < LISTEN_ON.0 {
        sleep(Duration::from_millis(10)).await;
    }
    accepting.abort();
    clients.close_idle(Closing::All);
    while clients.open() > 0 && told.elapsed() < MAX_FINISH {
        sleep(Duration::from_millis(5)).await;
    }
    log::info!("ended: {} requests are open", core.unanswered());
    core.told.tell(What::Ended { open: core.unanswered() });
    Ok(())
}

/// Takes in the file anew; one that cannot be used changes nothing.
fn reload(core: &Core) {
    match core.places.get().again(env) {
        Ok(places) => {
            log::warn!("reloaded: discovery {}, counter {:?}", places.discovery, places.counter);
            core.move_to(places);
            core.told.tell(What::Reload { taken: true });
        }
        Err(e) => {
            log::error!("the configuration stays as it was: {e}");
            core.told.tell(What::Reload { taken: false });
        }
    }
}

/// Lets go of idle connections in time, and makes do with the known servers where discovery is silent.
async fn housekeeping(core: Rc<Core>) {
    let start = Instant::now();
    loop {
        let slept = Instant::now();
        sleep(PRUNE_EVERY).await;
        let late = slept.elapsed().saturating_sub(PRUNE_EVERY);
        if late > STOOD {
            core.told.tell(What::Stood { ms: late.as_millis() as u64 });
        }
        core.links.pools.prune();
        if let Some(counter) = &core.links.counter {
            counter.prune();
        }
        if start.elapsed() >= MAX_READY && core.config.known.as_ref().is_some_and(|k| !k.hosts.is_empty()) {
            core.be_ready();
        }
    }
}
