//! The faults of a run and their times, drawn from a seed. Two or three begin together, of different groups, so that they overlap.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Core machines of the small system; their numbers come first.
pub const CORE: usize = 3;
/// Gateways of the small system.
pub const GATEWAYS: usize = 3;
/// Servers of the small system.
pub const SERVERS: usize = 6;

/// A fault, or planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A process is killed, and started again at the end.
    Kill(usize),
    /// A process is stopped (SIGSTOP) until the end.
    Pause(usize),
    /// A process gets SIGTERM, and is started again once it has ended.
    Terminate(usize),
    /// A process gets SIGHUP, and another settings file.
    Reload(usize),
    /// A core machine is killed, loses its disk, and is started again at the end.
    LoseDisk(usize),
    /// All core machines are killed, and started again at the end.
    KillCore,
    /// Two core machines do not reach each other; the third reaches both.
    CutPair(usize, usize),
    /// A core machine reaches no other one; all else reaches it.
    CutOff(usize),
    /// A gateway reaches no core machine.
    CutGateway(usize),
    /// All connections between processes are reset.
    ResetLinks,
    /// Answers of a core machine to servers and operators are lost.
    LoseControlAnswers(usize),
    /// A server resets all connections and takes none, and comes back as another instance.
    CrashServer(usize),
    /// A server breaks off or spoils its answers.
    GarbleServer(usize),
    /// Answers of a server are lost on their way.
    LoseAnswers(usize),
    /// A server says that it drains, and leaves; another instance comes.
    DrainServer(usize),
    /// A server deregisters without having drained, serves on for a while, and leaves; another instance comes.
    DeregisterServer(usize),
    /// A tenant asks for many times its quota.
    HotTenant,
    /// Clients close their connections in the middle of requests.
    ImpatientClients,
}

/// Faults that do not begin together belong to one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// The control plane.
    Core,
    /// Gateways.
    Gateway,
    /// Links.
    Links,
    /// Servers and clients.
    Outside,
}

impl Fault {
    /// Its name in reports, without its figures.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Kill(machine) if machine < CORE => "kill a core machine",
            Fault::Kill(_) => "kill a gateway",
            Fault::Pause(machine) if machine < CORE => "pause a core machine",
            Fault::Pause(_) => "pause a gateway",
            Fault::Terminate(machine) if machine < CORE => "terminate a core machine",
            Fault::Terminate(_) => "terminate a gateway",
            Fault::Reload(_) => "reload",
            Fault::LoseDisk(_) => "lose a disk",
            Fault::KillCore => "kill the core",
            Fault::CutPair(..) => "cut a pair of core machines",
            Fault::CutOff(_) => "cut off a core machine",
            Fault::CutGateway(_) => "cut off a gateway",
            Fault::ResetLinks => "reset links",
            Fault::LoseControlAnswers(_) => "lose control answers",
            Fault::CrashServer(_) => "crash a server",
            Fault::GarbleServer(_) => "garble answers",
            Fault::LoseAnswers(_) => "lose answers",
            Fault::DrainServer(_) => "drain a server",
            Fault::DeregisterServer(_) => "deregister a server",
            Fault::HotTenant => "hot tenant",
            Fault::ImpatientClients => "impatient clients",
        }
    }

    /// Whether it is planned work, or what clients do: neither costs other clients anything.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Terminate(_)
                | Fault::Reload(_)
                | Fault::DrainServer(_)
                | Fault::DeregisterServer(_)
                | Fault::HotTenant
                | Fault::ImpatientClients
        )
    }

    /// The core machines whose processes do not run, or are not reached by the others, meanwhile.
    pub fn lost_core(self) -> Vec<usize> {
        match self {
            Fault::Kill(m)
            | Fault::Pause(m)
            | Fault::Terminate(m)
            | Fault::LoseDisk(m)
            | Fault::CutOff(m)
                if m < CORE =>
            {
                vec![m]
            }
            Fault::KillCore => (0..CORE).collect(),
            _ => Vec::new(),
        }
    }
}

/// Which faults a plan has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// All.
    Mixed,
    /// Planned work and misbehaving clients only: machines stay in touch, so that the rules with a time bound hold for them.
    Planned,
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
    /// How long faults begin.
    pub length: Duration,
    /// The faults, in order of their begin.
    pub faults: Vec<TimedFault>,
    /// The core machine that loses its disk when all machines lose power at the end.
    pub closing_wipe: usize,
}

impl Plan {
    /// Draws a plan of this length: every third one of planned work only.
    pub fn draw(seed: u64, length: Duration) -> Self {
        let kind = if seed.is_multiple_of(3) { Kind::Planned } else { Kind::Mixed };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(rng.random_range(300..1_500));
        let mut disk_lost_until = Duration::ZERO;
        while at < length {
            let groups = [Group::Core, Group::Gateway, Group::Links, Group::Outside];
            let count = rng.random_range(2..=3);
            let together: Vec<Group> = groups.choose_multiple(&mut rng, count).copied().collect();
            for group in together {
                let begin = at + Duration::from_millis(rng.random_range(0..700));
                let mut fault = match kind {
                    Kind::Mixed => draw_fault(group, &mut rng),
                    Kind::Planned => draw_planned(group, &mut rng),
                };
                if matches!(fault, Fault::LoseDisk(_)) && begin < disk_lost_until {
                    fault = Fault::KillCore;
                }
                let length = draw_length(fault, &mut rng);
                if matches!(fault, Fault::LoseDisk(_)) {
                    disk_lost_until = begin + length + Duration::from_secs(8);
                }
                faults.push(TimedFault { at: begin, length, fault });
            }
            at += Duration::from_millis(rng.random_range(1_500..5_000));
        }
        faults.sort_by_key(|timed| timed.at);
        drop_clashes(&mut faults);
        Plan { seed, length, faults, closing_wipe: rng.random_range(0..CORE) }
    }

    /// When the last fault has ended.
    pub fn end(&self) -> Duration {
        self.faults.iter().map(|timed| timed.at + timed.length).max().unwrap_or(self.length).max(self.length)
    }
}

fn draw_fault(group: Group, rng: &mut ChaCha8Rng) -> Fault {
    let core = rng.random_range(0..CORE);
    let other = (core + rng.random_range(1..CORE)) % CORE;
    let gateway = CORE + rng.random_range(0..GATEWAYS);
    let server = rng.random_range(0..SERVERS);
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
        (Group::Outside, 1) => [Fault::GarbleServer(server), Fault::LoseAnswers(server)][core % 2],
        (Group::Outside, 2) => Fault::DrainServer(server),
        (Group::Outside, 3) => Fault::DeregisterServer(server),
        (Group::Outside, 4) => Fault::HotTenant,
        (Group::Outside, _) => Fault::ImpatientClients,
    }
}

/// Planned work, and what clients do.
fn draw_planned(group: Group, rng: &mut ChaCha8Rng) -> Fault {
    let server = rng.random_range(0..SERVERS);
    let gateway = CORE + rng.random_range(0..GATEWAYS);
    match (group, rng.random_range(0..2)) {
        (Group::Core, 0) => Fault::DrainServer(server),
        (Group::Core, _) => Fault::DeregisterServer(server),
        (Group::Gateway, 0) => Fault::Terminate(gateway),
        (Group::Gateway, _) => Fault::Reload(gateway),
        (Group::Links, _) => Fault::ImpatientClients,
        (Group::Outside, 0) => Fault::HotTenant,
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
        Fault::Pause(_) => rng.random_range(200..6_000),
        _ => rng.random_range(100..4_000),
    };
    Duration::from_millis(millis)
}

/// What a fault is of: the same thing has one fault at a time.
fn subject(fault: Fault) -> Vec<usize> {
    const FIRST_SERVER: usize = 100;
    const FIRST_LINK: usize = 200;
    match fault {
        Fault::Kill(m) | Fault::Pause(m) | Fault::Terminate(m) | Fault::Reload(m) | Fault::LoseDisk(m) => {
            vec![m]
        }
        Fault::KillCore => (0..CORE).collect(),
        Fault::CutPair(..) | Fault::CutOff(_) => vec![FIRST_LINK],
        Fault::CutGateway(m) => vec![FIRST_LINK + m],
        Fault::LoseControlAnswers(m) => vec![FIRST_LINK + 50 + m],
        Fault::CrashServer(s)
        | Fault::GarbleServer(s)
        | Fault::LoseAnswers(s)
        | Fault::DrainServer(s)
        | Fault::DeregisterServer(s) => vec![FIRST_SERVER + s],
        Fault::ResetLinks | Fault::HotTenant | Fault::ImpatientClients => Vec::new(),
    }
}

/// Drops faults of something that has one already.
fn drop_clashes(faults: &mut Vec<TimedFault>) {
    let mut busy: BTreeMap<usize, Duration> = BTreeMap::new();
    // A process that is terminated may take its whole grace period.
    let margin = |fault: Fault| if matches!(fault, Fault::Terminate(_)) { 7 } else { 1 };
    faults.retain(|timed| {
        let subjects = subject(timed.fault);
        let is_free = subjects.iter().all(|s| busy.get(s).is_none_or(|until| *until <= timed.at));
        if is_free {
            let until = timed.at + timed.length + Duration::from_secs(margin(timed.fault));
            busy.extend(subjects.into_iter().map(|s| (s, until)));
        }
        is_free
    });
}
