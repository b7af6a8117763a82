//! What is drawn of a scenario: plain types, and the timeline's events.

use crate::file::{Entry, Scenario};
use crate::links::{self, Apart, LinkEvent};
use crate::Micros;

/// One call node, as drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSpec {
    /// Its room.
    pub room: u32,
    /// Its cores.
    pub cores: u32,
    /// Seconds of work that a core does in a second.
    pub speed: f64,
    /// Requests worked on at once.
    pub slots: usize,
    /// Requests that wait beside these.
    pub queue: usize,
    /// Part of its speed that is lost with each request held a core beyond `thrash_at`.
    pub thrash: f64,
    /// See `thrash`.
    pub thrash_at: f64,
    /// Share of its capacity at a start.
    pub cold_from: f64,
    /// Warm after so long.
    pub cold_us: Micros,
    /// Share of requests that end with an error.
    pub error_share: f64,
    /// Work of a new connection.
    pub handshake_us: Micros,
    /// Connections that it holds.
    pub connections: usize,
    /// Idle connections are closed after so long.
    pub idle_us: Micros,
}

impl NodeSpec {
    /// Seconds of work that it does in a second when warm.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}

/// One customer, as drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its number, below 2^33.
    pub number: u64,
    /// Its plan.
    pub plan: usize,
    /// Limiters of its set.
    pub spread: u32,
    /// The first of them; the others follow, counted round.
    pub first: u32,
    /// What it asks for inside its quota, in units a second.
    pub inside: f64,
    /// What it asks for in all, outside of spikes, in units a second.
    pub asks: f64,
}

/// One first try, with all that its client will do drawn ahead.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it is sent, in microseconds from the start.
    pub at: Micros,
    /// Its id; retries have ids that follow from it.
    pub id: u64,
    /// Its class.
    pub class: usize,
    /// Its customer, as a place in [`Day::customers`].
    pub customer: usize,
    /// Units that it counts.
    pub units: u32,
    /// Work that it asks for.
    pub work_us: Micros,
    /// The limiter of each try, first and retries.
    pub doors: Vec<u32>,
    /// Time for which each try is waited for.
    pub patience_us: Vec<Micros>,
    /// Wait before each retry.
    pub backoff_us: Vec<Micros>,
    /// Its client comes back when it is told to.
    pub honours: bool,
    /// Its client leaves after this time, if at all.
    pub early_us: Option<Micros>,
    /// Its key, for classes that carry one; also what its body is made of.
    pub key: u128,
    /// Length of its body.
    pub body: u32,
}

/// What the timeline may hold.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// The counter takes no connections.
    CounterRefuse,
    /// It takes calls and says nothing.
    CounterSilent,
    /// It is so many times slower.
    CounterSlow(f64),
    /// It has forgotten all names.
    CounterEmpty,
    /// A limiter cannot reach it.
    CounterCut(u32),
    /// A limiter talks to another one, which was empty as the run began.
    CounterOther(u32),
    /// So many customers add this share of all traffic, far beyond their quotas.
    HotCustomers(u32, f64),
    /// All customers of a plan send so many times their traffic.
    PlanBurst(usize, f64),
    /// A room is cut off from the others.
    RoomCut(u32),
    /// A node drains, and is back where it lasts.
    NodeDrain(u32),
    /// A node's process dies, and starts anew where it lasts.
    NodeKill(u32),
    /// A node drains, ends, and another takes its address under a new id.
    NodeReplace(u32),
    /// A node is so many times slower.
    NodeSlow(u32, f64),
    /// A limiter is killed, and starts anew after the time.
    LimiterKill(u32),
    /// A limiter is told to end, and starts anew once it has.
    LimiterRestart(u32),
    /// A limiter's process stands still for a while, and goes on.
    LimiterStall(u32),
    /// A limiter is told to read its configuration again, which was written whole, or half as a writer that dies leaves it.
    LimiterReload(u32, bool),
    /// Messages between limiters are lost.
    PeersCut(Apart),
    /// A limiter's link to another side fails.
    Link(LinkEvent),
}

impl What {
    /// Reads an entry of the timeline.
    ///
    /// # Errors
    /// The key within the entry, and what is wrong there.
    pub(crate) fn read(of: &Scenario, entry: &Entry) -> Result<Self, (&'static str, String)> {
        let number = |key: &'static str, value: Option<u32>, below: u32| match value {
            Some(n) if n < below => Ok(n),
            Some(n) => Err((key, format!("{n} is none: there are {below}, counted from 0"))),
            None => Err((key, "is missing".into())),
        };
        let node = || number("node", entry.node, of.fleet.nodes);
        let limiter = || number("limiter", entry.limiter, of.fleet.limiters);
        let times = || match entry.times {
            Some(n) if n.is_finite() && (1.0..=1_000.0).contains(&n) => Ok(n),
            _ => Err(("times", "must be given, from 1 to 1000".to_owned())),
        };
        let what = match entry.what.as_str() {
            "counter-refuse" => What::CounterRefuse,
            "counter-silent" => What::CounterSilent,
            "counter-slow" => What::CounterSlow(times()?),
            "counter-empty" => What::CounterEmpty,
            "counter-cut" => What::CounterCut(limiter()?),
            "counter-other" => What::CounterOther(limiter()?),
            "hot-customers" => {
                let share = entry.share.filter(|s| (0.0..=10.0).contains(s));
                let share = share.ok_or(("share", "must be given, from 0 to 10".to_owned()))?;
                What::HotCustomers(number("customers", entry.customers, 1_000)?.max(1), share)
            }
            "plan-burst" => {
                let name = entry.plan.as_deref().unwrap_or_default();
                let plan = of.plan.iter().position(|p| p.name == name);
                What::PlanBurst(plan.ok_or_else(|| ("plan", format!("no plan is named '{name}'")))?, times()?)
            }
            "room-cut" => What::RoomCut(number("room", entry.room, of.fleet.rooms)?),
            "node-drain" => What::NodeDrain(node()?),
            "node-kill" => What::NodeKill(node()?),
            "node-replace" => What::NodeReplace(node()?),
            "node-slow" => What::NodeSlow(node()?, times()?),
            "limiter-kill" => What::LimiterKill(limiter()?),
            "limiter-restart" => What::LimiterRestart(limiter()?),
            "limiter-stall" => What::LimiterStall(limiter()?),
            "limiter-reload" => match entry.fault.as_deref() {
                None | Some("whole") => What::LimiterReload(limiter()?, false),
                Some("half") => What::LimiterReload(limiter()?, true),
                Some(other) => return Err(("fault", format!("'{other}' is none of whole, half"))),
            },
            "peers-cut" => {
                let limiter = limiter()?;
                let other = entry.other.map(|n| number("other", Some(n), of.fleet.limiters)).transpose()?;
                if other == Some(limiter) {
                    return Err(("other", "is the limiter itself".into()));
                }
                What::PeersCut(Apart::One { limiter, other, way: links::directions(entry)? })
            }
            "peers-ring" => What::PeersCut(Apart::Ring),
            "peers-halves" => What::PeersCut(Apart::Halves),
            "link" => What::Link(links::link(entry, limiter()?)?),
            other => return Err(("what", format!("'{other}' is not known"))),
        };
        if !entry.at.is_finite() || entry.at < 0.0 || entry.at > of.seconds {
            return Err(("at", format!("{} does not lie within the run of {} s", entry.at, of.seconds)));
        }
        let lasts = match what {
            What::CounterEmpty | What::NodeReplace(_) | What::LimiterRestart(_) | What::LimiterReload(..) => {
                false
            }
            What::Link(link) => !link.fault.at_once(),
            _ => true,
        };
        let may_stay = matches!(what, What::NodeDrain(_) | What::NodeKill(_));
        if !entry.seconds.is_finite() || entry.seconds < 0.0 || lasts && !may_stay && entry.seconds == 0.0 {
            return Err(("seconds", "must say how long it lasts".into()));
        }
        Ok(what)
    }

    /// What it is called in reports.
    pub fn name(&self) -> String {
        match self {
            What::CounterRefuse => "counter refuses".into(),
            What::CounterSilent => "counter silent".into(),
            What::CounterSlow(times) => format!("counter {times:.1} times slower"),
            What::CounterEmpty => "counter emptied".into(),
            What::CounterCut(limiter) => format!("counter out of reach of limiter {limiter}"),
            What::CounterOther(limiter) => format!("another counter for limiter {limiter}"),
            What::HotCustomers(many, _) => format!("{many} customers far beyond their quotas"),
            What::PlanBurst(plan, times) => format!("plan {plan} asks {times:.1} times as much"),
            What::RoomCut(room) => format!("room {room} cut off"),
            What::NodeDrain(node) => format!("node {node} drains"),
            What::NodeKill(node) => format!("node {node} dies"),
            What::NodeReplace(node) => format!("node {node} is replaced"),
            What::NodeSlow(node, times) => format!("node {node} {times:.1} times slower"),
            What::LimiterKill(limiter) => format!("limiter {limiter} killed"),
            What::LimiterRestart(limiter) => format!("limiter {limiter} restarts"),
            What::LimiterStall(limiter) => format!("limiter {limiter} stalls"),
            What::LimiterReload(limiter, false) => format!("limiter {limiter} reads its file again"),
            What::LimiterReload(limiter, true) => format!("limiter {limiter} reads half a file"),
            What::PeersCut(Apart::One { limiter, other: Some(other), way }) => {
                format!("messages between limiters {limiter} and {other} lost, {}", way.name())
            }
            What::PeersCut(Apart::One { limiter, other: None, way }) => {
                format!("messages of limiter {limiter} lost, {}", way.name())
            }
            What::PeersCut(Apart::Ring) => "each limiter hears the one before it only".into(),
            What::PeersCut(Apart::Halves) => "two halves of the limiters do not hear each other".into(),
            What::Link(LinkEvent { limiter, to, fault, way }) => {
                format!("limiter {limiter} to {}: {}, {}", to.name(), fault.name(), way.name())
            }
        }
    }
}

/// One event of the timeline.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When it begins.
    pub at: Micros,
    /// How long it lasts; 0 where it has no end.
    pub lasts: Micros,
    /// What happens.
    pub what: What,
}

/// A plan's figures, as drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanFigures {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Ceiling in units a second; 0 for none.
    pub ceiling_rate: f64,
    /// Units that it lets through at once.
    pub ceiling_burst: f64,
    /// Units by which it may be passed.
    pub ceiling_slack: f64,
}

/// Figures of the services beside the nodes, as drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct Services {
    /// Parts of the counter.
    pub counter_parts: usize,
    /// Calls a second that one part takes.
    pub counter_part_per_second: f64,
    /// Time of a call beside its turn.
    pub counter_call_us: Micros,
    /// Longest line of a part, in time.
    pub counter_line_us: Micros,
    /// How late messages come: least and most.
    pub peer_late_us: (Micros, Micros),
    /// Share of messages that is lost.
    pub peer_loss: f64,
    /// Messages that a limiter takes in a second.
    pub peer_per_second: f64,
    /// How late news of nodes comes: least and most.
    pub news_late_us: (Micros, Micros),
    /// Time after which the front notices a dead limiter: least and most.
    pub notice_us: (Micros, Micros),
    /// How uneven the work of two attempts of one try is, as standard deviation over mean.
    pub attempt_noise: f64,
}

/// A whole day, drawn of a scenario by a seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// Length of the offered load.
    pub length: Micros,
    /// Nodes.
    pub nodes: Vec<NodeSpec>,
    /// Plans.
    pub plans: Vec<PlanFigures>,
    /// Customers.
    pub customers: Vec<Customer>,
    /// First tries by time.
    pub arrivals: Vec<Arrival>,
    /// The timeline by time.
    pub events: Vec<Event>,
    /// The services.
    pub services: Services,
    /// Work asked for inside quotas, as a share of what the fleet can do, as it came out.
    pub inside: f64,
    /// Sum of all quotas, as the same share.
    pub quotas: f64,
}

impl Day {
    /// Room of a limiter.
    pub fn room_of(&self, limiter: u32) -> u32 {
        limiter % self.scenario.fleet.rooms
    }

    /// Whether limiters reach counter and discovery through links that may fail.
    pub fn linked(&self) -> bool {
        self.events.iter().any(|e| matches!(e.what, What::Link(_)))
    }

    /// Seconds of work that all nodes do in a second when warm.
    pub fn capacity(&self) -> f64 {
        self.nodes.iter().map(NodeSpec::capacity).sum()
    }
}
