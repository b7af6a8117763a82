//! The gateway's interface: settings, events and actions as plain types.
//!
//! All times are microseconds on the host's monotonic clock. Nothing here decides.

/// A time or a length of time, in microseconds.
pub type Micros = u64;
/// A request's identifier, chosen by the host and never reused.
pub type RequestId = u64;
/// A server's index, chosen by the host; the same for as long as the server keeps its address.
pub type ServerId = usize;

/// Whether a repeat of a request does harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated at will.
    Safe,
    /// Carries a key; servers of one scope drop repeats for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which servers share the knowledge of keys seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time earns full worth.
    pub aim: Micros,
    /// What a repeat does.
    pub effect: Effect,
    /// Who drops repeats of a keyed request.
    pub scope: Scope,
    /// How long repeats of a keyed request are dropped, from its first send that may have run.
    pub window: Micros,
    /// Worth of one request.
    pub worth: f64,
}

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Units per second; 0 for no such quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Requests open at once; 0 for no such quota.
    pub open: f64,
    /// Factor on worth.
    pub price: f64,
    /// Hard ceiling in units per second; 0 for none.
    pub ceiling_rate: f64,
    /// Units the hard ceiling lets through at once.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be passed before the rule is broken.
    pub ceiling_slack: f64,
}

impl Plan {
    /// What the quota allows at most within a time: units.
    pub fn within(&self, time: Micros) -> f64 {
        self.rate * time as f64 * 1e-6 + self.burst
    }

    /// The hard ceiling.
    pub fn ceiling(&self) -> limeway_rate_limit::RateLimit {
        let (rate, burst, tolerance) = (self.ceiling_rate, self.ceiling_burst, self.ceiling_slack);
        limeway_rate_limit::RateLimit { rate, burst, tolerance }
    }
}

/// What the site allows a gateway to do.
#[derive(Debug, Clone, PartialEq)]
pub struct Permissions {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Longest retry advice that clients obey.
    pub max_retry_after: Micros,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// Gateways may send each other messages.
    pub peers: bool,
}

/// The counter service.
#[derive(Debug, Clone, PartialEq)]
pub struct CounterSettings {
    /// A call with no answer after this time is lost.
    pub limit: Micros,
}

/// Figures of the rules that the gateway must keep.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// A cold server is warm after this time at the latest.
    pub cold: Micros,
    /// Share of its capacity that a server starts with, at least.
    pub cold_from: f64,
    /// A cold server falls when overfed for this long.
    pub fall: Micros,
    /// Multiple of present capacity that makes a cold server fall.
    pub fall_multiple: f64,
    /// Where discovery must be asked: the longest time between asking.
    pub ask_within: Micros,
}

impl Rules {
    /// What they say of servers that have just started.
    pub fn start(&self) -> limeway_slow_start::Start {
        let Rules { cold, cold_from: from, fall, fall_multiple: multiple, .. } = *self;
        limeway_slow_start::Start { cold, from, fall, multiple }
    }
}

/// All that a gateway is told at start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Gateways in service.
    pub gateways: u32,
    /// Number of this gateway among them, from 0.
    pub me: u32,
    /// Zone this gateway stands in.
    pub zone: usize,
    /// Least time between two events.
    pub round: Micros,
    /// Discovery has to be asked for changes.
    pub ask: bool,
    /// Classes of requests, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Units of the largest request.
    pub max_units: f64,
    /// What is allowed.
    pub permissions: Permissions,
    /// The counter, where there is one.
    pub counter: Option<CounterSettings>,
    /// Figures of the rules.
    pub rules: Rules,
}

/// What discovery says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    Ready,
    /// Finishing its work.
    Draining,
    /// Removed.
    Gone,
}

/// One server as discovery lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: Lifecycle,
    /// Relative size, 1 where unknown.
    pub weight: f64,
    /// Its latest start; 0 for long past.
    pub started: Micros,
}

/// How a list of servers is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held; may be out of date.
    Cached,
    /// The call to discovery failed; no entries.
    Failed,
}

/// How an attempt, a probe or a count ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Done.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// Load report of a server; what it does not tell is absent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests it holds.
    pub inflight: Option<f64>,
    /// Share of its processors in use.
    pub util: Option<f64>,
    /// Its recent service time in milliseconds.
    pub latency_ms: Option<f64>,
}

/// A client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Its identifier.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    /// Its customer.
    pub customer: String,
    /// Time until the client gives up.
    pub left: Micros,
    /// Units it counts.
    pub units: f64,
    /// Gateways through which the customer's requests may come.
    pub doors: u32,
    /// Number of the first of them; the others follow it, counted round.
    pub first: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Time since it was sent.
    pub latency: Micros,
    /// The request has its final answer.
    pub closed: bool,
    /// The server's load report.
    pub load: Load,
}

/// What happens to a gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the servers.
    Servers {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client's request: it is owed exactly one final answer.
    Request(Demand),
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed answer has begun: the attempt is the client's now.
    Started {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client has left; nothing more is owed.
    Gone {
        /// The request.
        id: RequestId,
    },
    /// The answer to a count.
    Counted {
        /// Name of the count.
        name: u64,
        /// Whether it was added.
        status: Status,
        /// The total after the call.
        total: f64,
        /// Time since the call.
        latency: Micros,
    },
    /// The answer to a probe.
    Probed {
        /// Which server.
        server: ServerId,
        /// How it ended.
        status: Status,
    },
    /// A message from another gateway.
    Peer {
        /// Its number.
        from: u32,
        /// What it says.
        data: Vec<u8>,
    },
}

/// What a gateway wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// To which server.
        server: ServerId,
        /// Time-out of the attempt; 0 for the client's own.
        timeout: Micros,
    },
    /// Withdraw an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for a timer event.
    Timer {
        /// When it is due.
        at: Micros,
        /// Token to give back.
        token: u64,
    },
    /// Add to a count and get the total back.
    Count {
        /// Name of the count.
        name: u64,
        /// Amount to add; may be negative.
        amount: f64,
        /// A new name is forgotten after this time.
        ttl: Micros,
    },
    /// Send a message to another gateway; it may be lost.
    Tell {
        /// Its number.
        peer: u32,
        /// What to say.
        data: Vec<u8>,
    },
    /// Subscribe to discovery's changes.
    Watch,
    /// Tell the operator something, once.
    Note {
        /// What.
        text: String,
    },
}
