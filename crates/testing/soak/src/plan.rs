//! The faults of a run and their times, drawn from a seed. Two or three begin together, of different groups, so that they overlap; in
//! runs of series, nearly all gateways are stopped one after the other, twice, beside other planned work.

use crate::fault::{subjects, Fault, Group};
use crate::layout::{Layout, CORE};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// When the first faults begin, in milliseconds.
const FIRST_FAULT_MS: std::ops::Range<u64> = 300..1_500;
/// Between two groups of faults that begin together, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 1_500..5_000;
/// No second disk is lost before the first one has been replaced for so long.
const DISK_LOSS_INTERVAL: Duration = Duration::from_secs(8);
/// A machine that has lost its disk is a voter again after so long in which nothing else keeps core machines apart.
const VOTER_REPLACEMENT_TIME: Duration = Duration::from_secs(4);
/// Series of stops that go on at one time.
const SERIES: usize = 2;
/// Between two stops of one series, in milliseconds.
const STOP_INTERVAL_MS: std::ops::Range<u64> = 250..900;
/// The same in a large run.
const LARGE_STOP_INTERVAL_MS: std::ops::Range<u64> = 100..400;
/// Between two stops of core machines, which follow each other in a series of their own, in milliseconds.
const CORE_STOP_INTERVAL_MS: std::ops::Range<u64> = 5_000..9_000;
/// One gateway in so many is passed over by a series.
const SPARED_RATIO: u32 = 10;
/// Between two reloads beside the stops, in milliseconds.
const RELOAD_INTERVAL_MS: std::ops::Range<u64> = 100..600;
/// How long a process that has ended stays down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 100..600;
/// A process that is terminated may take its whole grace period.
const TERMINATION_MARGIN: Duration = Duration::from_secs(7);
/// Between two times at which calls to a core machine are held back, in milliseconds.
const HELD_CALLS_INTERVAL_MS: std::ops::Range<u64> = 500..4_000;
/// How long they are held back, in milliseconds: for longer than a caller waits.
const HELD_CALLS_MS: std::ops::Range<u64> = 1_200..6_000;
/// Sets the draws of held calls apart from those of the other faults.
const HELD_CALLS_SEED: u64 = 0x4e1d;
/// Between the end of another fault and the next one of the same thing.
const FAULT_MARGIN: Duration = Duration::from_secs(1);

/// Of so many seeds in a row the first half have a zone evacuated when all machines lose power at the end.
const CLOSING_EVACUATION_CYCLE: u64 = 4;

/// Which faults a plan has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// All.
    Mixed,
    /// Planned work and misbehaving clients only: machines stay in touch, so that the rules with a time bound hold for them.
    Planned,
    /// Series of stops that overlap, beside reloads, changes, leaving servers and slow ones.
    Series,
}

impl Kind {
    /// The kind of a small run.
    pub fn of(seed: u64) -> Self {
        match seed % 3 {
            0 => Kind::Planned,
            1 => Kind::Mixed,
            _ => Kind::Series,
        }
    }
}

/// A fault and its time, from the start of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedFault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What it is.
    pub fault: Fault,
}

/// The faults of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Determines everything else.
    pub seed: u64,
    /// Which faults it has.
    pub kind: Kind,
    /// The machines.
    pub layout: Layout,
    /// How long faults begin.
    pub length: Duration,
    /// The faults, in order of their begin.
    pub faults: Vec<TimedFault>,
    /// The core machine that loses its disk when all machines lose power at the end.
    pub closing_wipe: usize,
}

impl Plan {
    /// Draws a plan of this length, of the kind that the seed stands for.
    pub fn draw(seed: u64, length: Duration) -> Self {
        match Kind::of(seed) {
            Kind::Series => Self::draw_series(seed, length, Layout::ROLLING, STOP_INTERVAL_MS),
            kind => Self::draw_groups(seed, length, kind),
        }
    }

    /// Draws a plan of series for a large run.
    pub fn draw_large(seed: u64, length: Duration, gateways: usize) -> Self {
        Self::draw_series(seed, length, Layout::large(gateways), LARGE_STOP_INTERVAL_MS)
    }

    fn draw_groups(seed: u64, length: Duration, kind: Kind) -> Self {
        let layout = Layout::SMALL;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let first = Duration::from_millis(rng.random_range(FIRST_FAULT_MS));
        let mut disk_lost_until = Duration::ZERO;
        for at in draw_times(first, length, FAULT_INTERVAL_MS, &mut rng) {
            let groups = [Group::Core, Group::Gateway, Group::Links, Group::Outside];
            let count = rng.random_range(2..=3);
            let together: Vec<Group> = groups.choose_multiple(&mut rng, count).copied().collect();
            for group in together {
                let begin = at + Duration::from_millis(rng.random_range(0..700));
                let mut fault = match kind {
                    Kind::Mixed => draw_fault(group, layout, &mut rng),
                    Kind::Planned | Kind::Series => draw_planned(group, layout, &mut rng),
                };
                if matches!(fault, Fault::LoseDisk(_)) && begin < disk_lost_until {
                    fault = Fault::KillCore;
                }
                let length = draw_length(fault, &mut rng);
                if matches!(fault, Fault::LoseDisk(_)) {
                    disk_lost_until = begin + length + DISK_LOSS_INTERVAL;
                }
                faults.push(TimedFault { at: begin, length, fault });
            }
        }
        if kind == Kind::Mixed {
            faults.extend(draw_held_calls(seed, length));
        }
        Self::new(seed, kind, layout, length, faults, rng.random_range(0..CORE))
    }

    /// Series of stops, each over its part of the gateways and then once more, one over the core machines, and other planned work beside
    /// them.
    fn draw_series(
        seed: u64,
        length: Duration,
        layout: Layout,
        stop_interval_ms: std::ops::Range<u64>,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut gateways: Vec<usize> = layout.gateway_numbers().collect();
        gateways.shuffle(&mut rng);
        let mut faults = Vec::new();
        for part in gateways.chunks(gateways.len().div_ceil(SERIES)) {
            faults.extend(draw_stops(part, length, stop_interval_ms.clone(), &mut rng));
        }
        let core: Vec<usize> = (0..CORE).collect();
        faults.extend(draw_stops(&core, length, CORE_STOP_INTERVAL_MS, &mut rng));
        for at in draw_times(Duration::ZERO, length, RELOAD_INTERVAL_MS, &mut rng) {
            // Also to processes that are shutting down.
            let gateway = rng.random_range(layout.gateway_numbers());
            faults.push(TimedFault { at, length: Duration::ZERO, fault: Fault::Reload(gateway) });
            let beside = draw_beside_stops(layout, &mut rng);
            faults.push(TimedFault { at, length: draw_length(beside, &mut rng), fault: beside });
        }
        Self::new(seed, Kind::Series, layout, length, faults, rng.random_range(0..CORE))
    }

    fn new(
        seed: u64,
        kind: Kind,
        layout: Layout,
        length: Duration,
        mut faults: Vec<TimedFault>,
        closing_wipe: usize,
    ) -> Self {
        faults.sort_by_key(|timed| timed.at);
        drop_clashes(&mut faults);
        keep_second_disks(&mut faults);
        Plan { seed, kind, layout, length, faults, closing_wipe }
    }

    /// Whether a zone is evacuated when all machines lose power at the end.
    pub fn closes_evacuated(&self) -> bool {
        self.seed % CLOSING_EVACUATION_CYCLE < CLOSING_EVACUATION_CYCLE / 2
    }

    /// The server that leaves right before all machines lose power.
    pub fn closing_leaver(&self) -> usize {
        self.closing_wipe % self.layout.servers
    }

    /// When the last fault has ended.
    pub fn end(&self) -> Duration {
        self.faults.iter().map(|timed| timed.at + timed.length).max().unwrap_or(self.length).max(self.length)
    }
}

/// Times from the first on, at random intervals, until the length is reached.
fn draw_times(
    first: Duration,
    length: Duration,
    interval_ms: std::ops::Range<u64>,
    rng: &mut ChaCha8Rng,
) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = first;
    while at < length {
        times.push(at);
        at += Duration::from_millis(rng.random_range(interval_ms.clone()));
    }
    times
}

/// A series of stops that goes over the machines again and again, but for some that it spares.
fn draw_stops(
    machines: &[usize],
    length: Duration,
    interval_ms: std::ops::Range<u64>,
    rng: &mut ChaCha8Rng,
) -> Vec<TimedFault> {
    let first = Duration::from_millis(rng.random_range(FIRST_FAULT_MS));
    let times = draw_times(first, length, interval_ms, rng);
    let mut stops = Vec::new();
    for (at, machine) in times.into_iter().zip(machines.iter().cycle()) {
        if !rng.random_ratio(1, SPARED_RATIO) {
            let down = Duration::from_millis(rng.random_range(DOWN_MS));
            stops.push(TimedFault { at, length: down, fault: Fault::Terminate(*machine) });
        }
    }
    stops
}

/// Times at which calls to a core machine are held back, to one at a time.
fn draw_held_calls(seed: u64, length: Duration) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ HELD_CALLS_SEED);
    let mut held = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(HELD_CALLS_INTERVAL_MS));
    while at < length {
        let long = Duration::from_millis(rng.random_range(HELD_CALLS_MS));
        let fault = Fault::HoldControlCalls(rng.random_range(0..CORE));
        held.push(TimedFault { at, length: long, fault });
        at += long + Duration::from_millis(rng.random_range(HELD_CALLS_INTERVAL_MS));
    }
    held
}

/// What else happens beside series of stops.
fn draw_beside_stops(layout: Layout, rng: &mut ChaCha8Rng) -> Fault {
    let server = rng.random_range(0..layout.servers);
    let machine = rng.random_range(0..layout.machines());
    match rng.random_range(0..8) {
        0 => Fault::DrainServer(server),
        1 => Fault::DeregisterServer(server),
        2 | 3 => Fault::SlowServer(server),
        4 => Fault::ImpatientClients,
        5 | 6 => Fault::Throttle(machine),
        _ => Fault::HotTenant,
    }
}

fn draw_fault(group: Group, layout: Layout, rng: &mut ChaCha8Rng) -> Fault {
    let core = rng.random_range(0..CORE);
    let other = (core + rng.random_range(1..CORE)) % CORE;
    let gateway = rng.random_range(layout.gateway_numbers());
    let server = rng.random_range(0..layout.servers);
    match (group, rng.random_range(0..6)) {
        (Group::Core, 0) => Fault::Kill(core),
        (Group::Core, 1) => Fault::Pause(core),
        (Group::Core, 2) => Fault::Terminate(core),
        (Group::Core, 3) => Fault::LoseDisk(core),
        (Group::Core, 4) => Fault::KillCore,
        (Group::Core, _) => Fault::CutOff(core),
        (Group::Gateway, 0) => Fault::Kill(gateway),
        (Group::Gateway, 1) => Fault::Pause(gateway),
        (Group::Gateway, 2 | 3) => Fault::Terminate(gateway),
        (Group::Gateway, 4) => Fault::Reload(gateway),
        (Group::Gateway, _) => Fault::CutGateway(gateway),
        (Group::Links, 0..=2) => Fault::CutPair(core, other),
        (Group::Links, 3) => Fault::ResetLinks,
        (Group::Links, _) => Fault::LoseControlAnswers(core),
        (Group::Outside, 0) => Fault::CrashServer(server),
        (Group::Outside, 1) => {
            [Fault::GarbleServer(server), Fault::LoseAnswers(server), Fault::SlowServer(server)][core]
        }
        (Group::Outside, 2) => Fault::DrainServer(server),
        (Group::Outside, 3) => Fault::DeregisterServer(server),
        (Group::Outside, 4) => Fault::HotTenant,
        (Group::Outside, _) => Fault::ImpatientClients,
    }
}

/// Planned work, and what clients do.
fn draw_planned(group: Group, layout: Layout, rng: &mut ChaCha8Rng) -> Fault {
    let server = rng.random_range(0..layout.servers);
    let gateway = rng.random_range(layout.gateway_numbers());
    match (group, rng.random_range(0..2)) {
        (Group::Core, 0) => Fault::DrainServer(server),
        (Group::Core, _) => Fault::DeregisterServer(server),
        (Group::Gateway, 0) => Fault::Terminate(gateway),
        (Group::Gateway, _) => Fault::Reload(gateway),
        (Group::Links, 0) => Fault::Throttle(rng.random_range(0..layout.machines())),
        (Group::Links, _) => Fault::ImpatientClients,
        (Group::Outside, 0) => [Fault::HotTenant, Fault::SlowServer(server)][server % 2],
        (Group::Outside, _) => Fault::ImpatientClients,
    }
}

fn draw_length(fault: Fault, rng: &mut ChaCha8Rng) -> Duration {
    let millis = match fault {
        Fault::Reload(_) | Fault::ResetLinks => 0,
        Fault::KillCore => rng.random_range(50..900),
        // Long enough for the others to be in touch again meanwhile.
        Fault::CutPair(..) => rng.random_range(3_000..14_000),
        // Longer than a configuration may go unconfirmed where keys are admitted.
        Fault::CutGateway(_) => rng.random_range(3_000..12_000),
        Fault::DrainServer(_) | Fault::DeregisterServer(_) => rng.random_range(5_000..8_000),
        Fault::Throttle(_) => rng.random_range(1_000..7_000),
        Fault::Pause(_) => rng.random_range(200..6_000),
        _ => rng.random_range(100..4_000),
    };
    Duration::from_millis(millis)
}

/// Drops faults of something that has one already. A reload reaches a process whatever happens to it.
fn drop_clashes(faults: &mut Vec<TimedFault>) {
    let mut busy: BTreeMap<usize, Duration> = BTreeMap::new();
    faults.retain(|timed| {
        if matches!(timed.fault, Fault::Reload(_)) {
            return true;
        }
        let subjects = subjects(timed.fault);
        let is_free = subjects.iter().all(|s| busy.get(s).is_none_or(|until| *until <= timed.at));
        if is_free {
            let is_stop = matches!(timed.fault, Fault::Terminate(_));
            let margin = if is_stop { TERMINATION_MARGIN } else { FAULT_MARGIN };
            let until = timed.at + timed.length + margin;
            busy.extend(subjects.into_iter().map(|s| (s, until)));
        }
        is_free
    });
}

/// A machine whose disk would be lost before the voter of the last lost disk can have been replaced is killed instead: two disks are more
/// than the core is to bear.
fn keep_second_disks(faults: &mut [TimedFault]) {
    let mut lost_until = None;
    for at in 0..faults.len() {
        let (earlier, rest) = faults.split_at_mut(at);
        let Some(timed) = rest.first_mut() else { return };
        let Fault::LoseDisk(machine) = timed.fault else { continue };
        if lost_until.is_some_and(|from| !has_calm_core(earlier, from, timed.at)) {
            timed.fault = Fault::Kill(machine);
        } else {
            lost_until = Some(timed.at + timed.length);
        }
    }
}

/// Whether there is a span of [`VOTER_REPLACEMENT_TIME`] without trouble of the core. The faults are in order of their begin.
fn has_calm_core(faults: &[TimedFault], from: Duration, until: Duration) -> bool {
    let mut calm_from = from;
    for timed in faults.iter().filter(|timed| timed.fault.is_of_core()) {
        if timed.at >= calm_from + VOTER_REPLACEMENT_TIME {
            return true;
        }
        calm_from = calm_from.max(timed.at + timed.length);
    }
    until >= calm_from + VOTER_REPLACEMENT_TIME
}
