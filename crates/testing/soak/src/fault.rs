//! The faults, planned work among them, and what each of them is of.

use crate::layout::CORE;

/// A fault, or planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A process is killed, and started again at the end.
    Kill(usize),
    /// A process is stopped (SIGSTOP) until the end.
    Pause(usize),
    /// A process gets the processor for a part of each tenth of a second only, as under a quota. It may be stopped and reloaded meanwhile.
    Throttle(usize),
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
    /// Calls of servers and operators to a core machine are held back on their way: they come when their callers have given them up.
    HoldControlCalls(usize),
    /// A server resets all connections and takes none, and comes back as another instance.
    CrashServer(usize),
    /// A server takes several times as long.
    SlowServer(usize),
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
            Fault::Throttle(machine) if machine < CORE => "throttle a core machine",
            Fault::Throttle(_) => "throttle a gateway",
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
            Fault::HoldControlCalls(_) => "hold control calls",
            Fault::CrashServer(_) => "crash a server",
            Fault::SlowServer(_) => "slow server",
            Fault::GarbleServer(_) => "garble answers",
            Fault::LoseAnswers(_) => "lose answers",
            Fault::DrainServer(_) => "drain a server",
            Fault::DeregisterServer(_) => "deregister a server",
            Fault::HotTenant => "hot tenant",
            Fault::ImpatientClients => "impatient clients",
        }
    }

    /// Whether it is planned work, a machine's quota of the processor, or what clients and slow servers do: none of it costs other clients
    /// an answer.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Terminate(_)
                | Fault::Throttle(_)
                | Fault::Reload(_)
                | Fault::SlowServer(_)
                | Fault::DrainServer(_)
                | Fault::DeregisterServer(_)
                | Fault::HotTenant
                | Fault::ImpatientClients
        )
    }

    /// Whether it concerns processes of the core, or links between them.
    pub fn is_of_core(self) -> bool {
        !self.lost_core().is_empty() || matches!(self, Fault::CutPair(..))
    }

    /// The server that it is of, if it is of one.
    pub fn server(self) -> Option<usize> {
        match self {
            Fault::CrashServer(s)
            | Fault::SlowServer(s)
            | Fault::GarbleServer(s)
            | Fault::LoseAnswers(s)
            | Fault::DrainServer(s)
            | Fault::DeregisterServer(s) => Some(s),
            _ => None,
        }
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

/// What a fault is of, by numbers of machines, servers and links: the same thing has one fault at a time.
pub(crate) fn subjects(fault: Fault) -> Vec<usize> {
    const FIRST_SERVER: usize = 1_000;
    const FIRST_LINK: usize = 2_000;
    const FIRST_THROTTLE: usize = 3_000;
    const FIRST_HELD: usize = 4_000;
    match fault {
        Fault::Kill(m) | Fault::Pause(m) | Fault::Terminate(m) | Fault::Reload(m) | Fault::LoseDisk(m) => {
            vec![m]
        }
        Fault::Throttle(m) => vec![FIRST_THROTTLE + m],
        Fault::KillCore => (0..CORE).collect(),
        Fault::CutPair(..) | Fault::CutOff(_) => vec![FIRST_LINK],
        Fault::CutGateway(m) => vec![FIRST_LINK + m],
        Fault::LoseControlAnswers(m) => vec![FIRST_LINK + 500 + m],
        Fault::HoldControlCalls(m) => vec![FIRST_HELD + m],
        _ => fault.server().map(|server| FIRST_SERVER + server).into_iter().collect(),
    }
}
