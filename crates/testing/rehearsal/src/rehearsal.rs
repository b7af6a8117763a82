//! Plays a day: limiters up, load on, timeline, end; gives the ledger.

use crate::fleet::Fleet;
use crate::histories;
use crate::KitError;
use limeway_checker::ledger::{Closing, Micros, Opening, Record};
use limeway_checker::run::Run;
use limeway_fault_injection::Fired;
use limeway_scenario::{Day, Event, What};
use limeway_test_services::book::lock;
use limeway_test_services::world::{opening, World};
use limeway_test_services::Mode;
use std::collections::BTreeMap;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, Instant};

/// Time from the last limiter's readiness to the first arrival.
const LEAD: Micros = 200_000;
/// Time between two looks at what limiters use.
const MEASURE_EVERY: Duration = Duration::from_millis(500);
/// Time beyond the longest deadline for which the last clients are waited for.
const MAX_LAST: Duration = Duration::from_secs(5);

/// What is to be played.
pub struct Plan {
    /// The day.
    pub day: Day,
    /// The limiter's program.
    pub program: PathBuf,
    /// Where configurations and logs go; nothing for a folder that goes with the run.
    pub logs: Option<PathBuf>,
    /// Each limiter must be ready within this time.
    pub ready_timeout: Duration,
    /// The operators' file of all limiters, if they have one.
    pub operator: Option<PathBuf>,
    /// Limiters keep histories, which go into the ledger.
    pub history: bool,
}

/// How a run stands.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Seconds of the offered load so far.
    pub seconds: f64,
    /// Tries sent, answers 200, refusals, and other ends.
    pub counts: [u64; 4],
    /// What of the timeline is on.
    pub on: Vec<String>,
}

/// What came of a run.
pub struct Played {
    /// The ledger's first line.
    pub opening: Opening,
    /// The others.
    pub records: Vec<Record>,
    /// What faults of links did, by time.
    pub fired: Vec<Fired>,
}

impl Played {
    /// The ledger as NDJSON.
    pub fn ledger(&self) -> impl Iterator<Item = String> + '_ {
        std::iter::once(self.opening.line()).chain(self.records.iter().map(Record::line))
    }

    /// The run that the ledger tells of.
    pub fn run(&self) -> Run {
        Run::gather(self.opening.clone(), self.records.clone())
    }
}

/// What of the timeline is on, for the progress.
#[derive(Default)]
struct On(Mutex<BTreeMap<String, ()>>);

impl On {
    fn set(&self, name: &str, on: bool) {
        let mut names = lock(&self.0);
        if on {
            names.insert(name.to_owned(), ());
        } else {
            names.remove(name);
        }
    }

    fn names(&self) -> Vec<String> {
        lock(&self.0).keys().cloned().collect()
    }
}

struct Stage {
    world: Arc<World>,
    fleet: Arc<Fleet>,
    on: On,
    errors: Mutex<Vec<String>>,
}

/// Plays a day. `stop` ends it early, with what has happened until then; `tell` hears how it stands.
///
/// # Errors
/// It cannot be set up: addresses, the program, a limiter that does not get ready.
pub async fn rehearse(
    plan: Plan,
    stop: impl Future<Output = ()>,
    mut tell: impl FnMut(&Progress),
) -> Result<Played, KitError> {
    let folder = Folder::new(plan.logs.as_deref())?;
    let operator = match plan.history {
        true => Some(histories::ask_for(folder.path(), plan.operator.as_deref())?),
        false => plan.operator.clone(),
    };
    let world = World::start(plan.day).await.map_err(|e| KitError::Setup(format!("stand-ins: {e}")))?;
    let fleet = Fleet::new(world.clone(), &plan.program, folder.path(), plan.ready_timeout, operator);
    let opening = opening(&world.day, &world.book.clock);
    let stage = Arc::new(Stage {
        world: world.clone(),
        fleet: fleet.clone(),
        on: On::default(),
        errors: Mutex::default(),
    });
    tokio::pin!(stop);
    let stopped = tokio::select! {
        ready = stage.start_limiters() => { ready?; false }
        () = &mut stop => true,
    };
    let mut records = Vec::new();
    let complete = !stopped && stage.offer_load(stop, &mut tell, &mut records).await;
    let closing = closing(&world, complete);
    records.extend(world.book.take());
    records.push(Record::Closing(closing));
    fleet.stop();
    if plan.history {
        records.extend(histories::gather(folder.path(), &world.book.clock, world.limiters.len() as u32)?);
    }
    world.stop();
    let errors = std::mem::take(&mut *lock(&stage.errors));
    match errors.into_iter().next() {
        Some(error) => Err(KitError::Setup(error)),
        None => Ok(Played { opening, records, fired: world.fired.events() }),
    }
}

/// The ledger's last line of the kit itself.
fn closing(world: &World, complete: bool) -> Closing {
    let late = world.clients.lateness();
    let at = |part: f64| late.get(((late.len() as f64 * part) as usize).min(late.len().saturating_sub(1)));
    let at = |part: f64| at(part).map_or(0, |l| Micros::from(*l));
    Closing {
        t: world.book.now(),
        complete: complete && world.book.lost() == 0,
        planned: world.day.arrivals.len() as u64,
        late_p50_us: at(0.5),
        late_p99_us: at(0.99),
        late_p999_us: at(0.999),
        late_max_us: at(1.0),
    }
}

impl Progress {
    fn count(&mut self, news: &[Record]) {
        for record in news {
            match record {
                Record::Arrive { .. } => self.counts[0] += 1,
                Record::Answer { status: 200, .. } => self.counts[1] += 1,
                Record::Answer { status: 429 | 503, .. } => self.counts[2] += 1,
                Record::Answer { .. } | Record::Left { .. } => self.counts[3] += 1,
                _ => {}
            }
        }
    }
}

impl Stage {
    /// Starts all limiters, one after the other.
    async fn start_limiters(&self) -> Result<(), KitError> {
        for limiter in 0..self.world.limiters.len() as u32 {
            self.fleet.start(limiter).await?;
        }
        Ok(())
    }

    /// Offers the day's load and plays its timeline. Whether it came to its end.
    async fn offer_load(
        self: &Arc<Self>,
        stop: Pin<&mut impl Future<Output = ()>>,
        tell: &mut impl FnMut(&Progress),
        records: &mut Vec<Record>,
    ) -> bool {
        let start = self.world.book.now() + LEAD;
        let sending = tokio::spawn(self.world.clients.clone().run(start));
        let events = self.world.day.events.clone().into_iter();
        let playing: Vec<_> = events.map(|event| tokio::spawn(self.clone().play(event, start))).collect();
        let complete = self.watch(start, &sending, stop, tell, records).await;
        sending.abort();
        self.fleet.measure();
        playing.iter().for_each(JoinHandle::abort);
        complete
    }

    /// Tells how the run stands until it is over, is stopped, or a limiter has crashed. Whether it came to its end.
    async fn watch(
        &self,
        start: Micros,
        sending: &JoinHandle<()>,
        mut stop: Pin<&mut impl Future<Output = ()>>,
        tell: &mut impl FnMut(&Progress),
        records: &mut Vec<Record>,
    ) -> bool {
        let (world, fleet) = (&self.world, &self.fleet);
        let end = start + world.day.length;
        let last = Instant::from_std(world.book.clock.instant(end)) + longest_deadline(&world.day) + MAX_LAST;
        let mut every = interval(MEASURE_EVERY);
        let mut progress = Progress::default();
        loop {
            tokio::select! {
                biased;
                () = &mut stop => return false,
                () = fleet.crash() => {
                    // What clients saw of it still comes; the run is void all the same.
                    sleep(MEASURE_EVERY).await;
                    return false;
                }
                _ = every.tick() => {
                    fleet.measure();
                    let taken = world.book.take();
                    progress.count(&taken);
                    progress.seconds = world.book.now().saturating_sub(start) as f64 / 1e6;
                    progress.on = self.on.names();
                    tell(&progress);
                    records.extend(taken);
                }
            }
            let is_over = sending.is_finished() && world.clients.busy() == 0 && world.book.now() >= end;
            if is_over || Instant::now() > last {
                return is_over;
            }
        }
    }

    /// Plays one event of the timeline.
    async fn play(self: Arc<Self>, event: Event, start: Micros) {
        let world = &self.world;
        world.book.clock.until(start + event.at).await;
        let name = event.what.name();
        self.mark(&name, true);
        if let Err(e) = self.act(&event).await {
            let mut errors = lock(&self.errors);
            errors.push(format!("{name}: {e}"));
        }
        self.mark(&name, false);
    }

    fn mark(&self, name: &str, on: bool) {
        let book = &self.world.book;
        book.add(Record::Trouble { t: book.now(), name: name.to_owned(), on });
        self.on.set(name, on);
    }

    async fn act(&self, event: &Event) -> Result<(), KitError> {
        let (world, fleet) = (&self.world, &self.fleet);
        let io = |e: std::io::Error| KitError::Setup(e.to_string());
        match event.what {
            What::CounterRefuse => self.counter(event, Mode::Refusing).await,
            What::CounterSilent => self.counter(event, Mode::Silent).await,
            What::CounterSlow(times) => self.counter(event, Mode::Slow(times)).await,
            What::CounterEmpty => world.counter.forget(),
            What::CounterCut(limiter) => while_on(event, |on| world.cut_counter(limiter, on)).await,
            What::CounterOther(limiter) => {
                while_on(event, |on| world.counter.move_limiter(limiter, on)).await;
            }
            // Drawn into the arrivals already.
            What::HotCustomers(..) | What::PlanBurst(..) => lasting(event).await,
            What::RoomCut(room) => while_on(event, |on| world.cut_room(room, on)).await,
            What::NodeDrain(node) => {
                world.drain(node);
                if event.lasts > 0 {
                    lasting(event).await;
                    world.undrain(node);
                }
            }
            What::NodeKill(node) => {
                world.kill(node);
                if event.lasts > 0 {
                    lasting(event).await;
                    world.start_node(node, false).map_err(io)?;
                }
            }
            What::NodeReplace(node) => world.replace(node).await.map_err(io)?,
            What::NodeSlow(node, times) => {
                let slow = |times| world.node(node).iter().for_each(|n| n.slow(times));
                while_on(event, |on| slow(if on { times } else { 1.0 })).await;
            }
            What::LimiterKill(limiter) => {
                fleet.kill(limiter);
                lasting(event).await;
                fleet.start(limiter).await?;
            }
            What::LimiterRestart(limiter) => {
                fleet.terminate(limiter).await;
                fleet.start(limiter).await?;
            }
            What::LimiterStall(limiter) => while_on(event, |on| fleet.stall(limiter, on)).await,
            What::LimiterReload(limiter, half) => fleet.reload(limiter, half)?,
            What::PeersCut(apart) => while_on(event, |on| world.cut_apart(apart, on)).await,
            What::Link(link) if link.fault.at_once() => world.link_fault(link, true),
            What::Link(link) => while_on(event, |on| world.link_fault(link, on)).await,
        }
        Ok(())
    }

    async fn counter(&self, event: &Event, mode: Mode) {
        while_on(event, |on| self.world.counter.set(if on { mode } else { Mode::Well })).await;
    }
}

/// Waits for as long as an event lasts.
async fn lasting(event: &Event) {
    sleep(Duration::from_micros(event.lasts)).await;
}

/// Switches something on for as long as an event lasts.
async fn while_on(event: &Event, switch: impl Fn(bool)) {
    switch(true);
    lasting(event).await;
    switch(false);
}

/// The longest time that a client waits for its answer.
fn longest_deadline(day: &Day) -> Duration {
    Duration::from_secs_f64(day.scenario.class.iter().map(|c| c.deadline_seconds).fold(0.0, f64::max))
}

/// Where configurations and logs go.
enum Folder {
    Kept(PathBuf),
    Passing(tempfile::TempDir),
}

impl Folder {
    fn new(kept: Option<&Path>) -> Result<Self, KitError> {
        match kept {
            Some(path) => {
                let error = |e| KitError::File(path.display().to_string(), e);
                std::fs::create_dir_all(path).map_err(error)?;
                Ok(Folder::Kept(path.to_owned()))
            }
            None => {
                let made = tempfile::Builder::new().prefix("limeway-rehearsal-").tempdir();
                made.map(Folder::Passing).map_err(|e| KitError::File("a temporary folder".into(), e))
            }
        }
    }

    fn path(&self) -> &Path {
        match self {
            Folder::Kept(path) => path,
            Folder::Passing(folder) => folder.path(),
        }
    }
}

/// Waits for Ctrl-C or a request to end.
pub async fn interrupted() {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}
