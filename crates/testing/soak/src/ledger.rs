//! All that was seen, with its time since the start of the run. Written while a run goes on, read by the judge.

use crate::fault::Fault;
use crate::stalls::Stall;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Names a request: each try has an id of its own.
pub type RequestId = u64;

/// How a client's request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole response.
    Response {
        /// Its status.
        status: u16,
        /// It carries this request's id, a stamp, and the body that this server gives to this request.
        is_own: bool,
        /// It says that it is a server's: it carries a stamp.
        is_stamped: bool,
    },
    /// The connection could not be had: nothing was sent.
    NotSent,
    /// The connection ended without a whole response.
    Closed,
    /// Nothing came in time; the client closed.
    Silent,
    /// The client closed on purpose.
    GivenUp,
}

/// A client's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Idempotent, else it may run once.
    pub idempotent: bool,
    /// Its route, by the version that added it; 0 for one that is always there.
    pub route: u32,
    /// The key that it carries.
    pub key: String,
    /// The gateway.
    pub gateway: usize,
    /// When its last byte was sent.
    pub sent: Duration,
    /// How long the client waits for an answer, as it states.
    pub deadline: Duration,
    /// When and how it ended; None if the run ended first.
    pub end: Option<(Duration, End)>,
    /// It came on a connection that had been used.
    pub reused: bool,
    /// More bytes were sent after it, before the client closed.
    pub pipelined: bool,
    /// By how many bytes its body is longer than usual.
    pub padding: usize,
}

/// A server's work on a request.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The request; 0 if its id is none that a client sent.
    pub request: RequestId,
    /// The server's place and instance.
    pub server: String,
    /// When it began.
    pub begun: Duration,
    /// When it ended.
    pub ended: Option<Duration>,
    /// It was broken off, as its connection closed.
    pub broken_off: bool,
    /// It was to last for more than a second.
    pub is_long: bool,
    /// The request was what the client sent: method, path, body, tenant.
    pub is_unchanged: bool,
}

/// A configuration that was sent.
#[derive(Debug, Clone)]
pub struct ConfigVersion {
    /// Its number.
    pub version: u32,
    /// When it was sent first.
    pub sent: Duration,
    /// When it was acknowledged.
    pub acknowledged: Option<Duration>,
    /// It was refused for good.
    pub refused: bool,
    /// Routes by the versions that added them.
    pub routes: Vec<u32>,
    /// Keys that are in it.
    pub keys: Vec<String>,
}

/// Something that was acknowledged to a server or an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acknowledged {
    /// The instance drains or has deregistered.
    Leaving(String),
    /// The zone is to get nothing; the call was sent at that time.
    Evacuated(String, Duration),
    /// The zone may be used again; the call was sent at that time.
    Returned(String, Duration),
    /// The same was called for at that time, and nobody knows whether it is in force.
    MayBeReturned(String, Duration),
}

/// An instance of a server, until its next one begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInstance {
    /// The server.
    pub server: usize,
    /// Its id.
    pub instance: String,
    /// When it began.
    pub begun: Duration,
}

/// A read of the configuration.
#[derive(Debug, Clone)]
pub struct Read {
    /// The machine that was asked.
    pub machine: usize,
    /// When it was sent.
    pub sent: Duration,
    /// What it answered.
    pub version: u32,
    /// The routes of that answer, by the versions that added them.
    pub routes: Vec<u32>,
}

/// A look at a gateway's readiness.
#[derive(Debug, Clone, Copy)]
pub struct ReadinessProbe {
    /// The gateway.
    pub gateway: usize,
    /// When it was asked.
    pub at: Duration,
    /// It said that it is ready.
    pub is_ready: bool,
}

/// A fault as it was.
#[derive(Debug, Clone, Copy)]
pub struct Fired {
    /// The fault.
    pub fault: Fault,
    /// When it began.
    pub begun: Duration,
    /// When it had ended.
    pub ended: Duration,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests of clients.
    pub requests: BTreeMap<RequestId, Request>,
    /// What servers did.
    pub executions: Vec<Execution>,
    /// Configurations, in the order in which they were sent.
    pub configs: Vec<ConfigVersion>,
    /// Acknowledgements, with their times.
    pub acknowledged: Vec<(Duration, Acknowledged)>,
    /// Reads.
    pub reads: Vec<Read>,
    /// Standstills of the soak itself.
    pub stalls: Vec<Stall>,
    /// Looks at the readiness of gateways.
    pub probes: Vec<ReadinessProbe>,
    /// Faults.
    pub faults: Vec<Fired>,
    /// Lives of servers, in the order in which they began.
    pub server_instances: Vec<ServerInstance>,
    /// The zone of each instance.
    pub zones: BTreeMap<String, String>,
    /// The largest memory that each machine's processes were seen with, in bytes.
    pub memory_peaks: BTreeMap<usize, usize>,
    /// Processes that ended by themselves.
    pub own_ends: Vec<String>,
    /// When all machines lost power, and when they were started again.
    pub power_loss: Option<(Duration, Duration)>,
    /// A quarter or more of the requests were served before it.
    pub served_before: bool,
    /// What was read back first after it; None if nothing came within the bound on recovery.
    pub read_back: Option<u32>,
    /// The zone whose evacuation was acknowledged right before it, and was not taken back.
    pub evacuated_at_end: Option<String>,
    /// When all gateways were ready after it.
    pub ready_again: Option<Duration>,
    /// When a quarter or more of the requests were served again.
    pub served_again: Option<Duration>,
}

/// The ledger of a run.
#[derive(Debug)]
pub struct Ledger {
    started: Instant,
    last_request: Cell<RequestId>,
    /// What was seen.
    pub seen: RefCell<Seen>,
}

impl Ledger {
    /// An empty one, from now on.
    pub fn new() -> Rc<Self> {
        Rc::new(Ledger { started: Instant::now(), last_request: Cell::new(0), seen: RefCell::default() })
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// A new request's id.
    pub fn next_request(&self) -> RequestId {
        self.last_request.set(self.last_request.get() + 1);
        self.last_request.get()
    }

    /// A request has ended now.
    pub fn ended(&self, id: RequestId, end: End) {
        self.ended_at(id, end, self.now());
    }

    /// A request has ended at this time, and is seen to now.
    pub fn ended_at(&self, id: RequestId, end: End, at: Duration) {
        if let Some(request) = self.seen.borrow_mut().requests.get_mut(&id) {
            request.end = Some((at, end));
        }
    }

    /// The last bytes of a request were sent at this time.
    pub fn sent_at(&self, id: RequestId, at: Duration) {
        if let Some(request) = self.seen.borrow_mut().requests.get_mut(&id) {
            request.sent = at;
        }
    }

    /// Something was acknowledged.
    pub fn acknowledged(&self, what: Acknowledged) {
        let now = self.now();
        self.seen.borrow_mut().acknowledged.push((now, what));
    }
}
