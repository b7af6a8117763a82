//! A control-plane replica's sockets, disk and clock: the actions of its [`ControlPlane`] are performed here, and their results are
//! its events.

use crate::clock::{self, now};
use crate::messages::{Call, Reply};
use crate::metrics::ReplicaMetrics;
use crate::state_writer::StateWriter;
use crate::transport::{self, Channels};
use limeway_consensus::{Acceptor, NodeId};
use limeway_control_plane::{
    Action, ApiRequest, ApiResponse, CallerId, ControlPlane, Event, RequestId, StartOptions, WriteId,
};
use limeway_http1::conn::Counted;
use limeway_quota::QuotaRule;
use limeway_routing_config::State;
use limeway_service_registry::ServerReport;
use limeway_settings::Settings;
use limeway_types::{Micros, Timestamp};
use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};

/// Upper bound on the writes under way; more than the state machine ever has.
const MAX_WRITES: usize = 256;
/// Upper bound on the callers that wait for an answer.
const MAX_CALLERS: usize = 8_192;

/// A caller that waits for an answer.
enum Caller {
    Process(oneshot::Sender<Reply>),
    Api(oneshot::Sender<ApiResponse>),
}

/// A write under way, and whether it is on disk in the end.
struct PendingWrite {
    id: WriteId,
    started: Timestamp,
    result: Pin<Box<dyn Future<Output = bool>>>,
}

/// What was found on disk.
pub struct InitialState {
    /// The acceptor.
    pub acceptor: Acceptor,
    /// The agreed state.
    pub state: State,
    /// Evacuation calls that an earlier process has answered, or was about to.
    pub answered_calls: Vec<u64>,
    /// Instances that leave or have ended.
    pub leaving: Vec<ServerReport>,
    /// The disk was empty.
    pub is_new: bool,
}

impl InitialState {
    /// That of a machine that has no disk.
    pub fn without_disk() -> Self {
        InitialState {
            acceptor: Acceptor::default(),
            state: State::default(),
            answered_calls: Vec::new(),
            leaving: Vec::new(),
            is_new: true,
        }
    }
}

/// A replica of the control plane.
pub struct Replica {
    /// Its settings.
    pub settings: Settings,
    control_plane: RefCell<ControlPlane>,
    writer: StateWriter,
    writes: mpsc::Sender<PendingWrite>,
    pending_writes: Cell<Option<mpsc::Receiver<PendingWrite>>>,
    channels: Channels,
    callers: RefCell<HashMap<CallerId, Caller>>,
    /// Calls of servers and operators that were read and are not answered yet.
    unanswered: Rc<Cell<usize>>,
    last_caller: Cell<CallerId>,
    /// When the next tick is due.
    next_tick: Cell<Timestamp>,
    tick_moved: Notify,
    /// The process exits: no caller waits any more.
    exiting: Cell<bool>,
    /// The process may exit: the state machine says when.
    pub exited: Notify,
    metrics: ReplicaMetrics,
}

impl Replica {
    /// A replica that starts with what was found on its disk.
    pub fn new(settings: Settings, initial: InitialState, writer: StateWriter) -> Rc<Self> {
        let options = StartOptions {
            node: NodeId::from(settings.ip),
            incarnation: clock::random() | 1,
            ack_timeout: settings.bounds.ack_timeout,
            loss_counted: settings.loss_counted && settings.data_directory.is_some(),
            tolerated_losses: settings.tolerated_losses,
            quota_rule: quota_rule(&settings),
            server_heartbeat: settings.heartbeat,
            seeds: transport::nodes(&settings.seeds),
            initial_start: initial.is_new && settings.initial_start,
            acceptor: initial.acceptor,
            state: initial.state,
            answered_calls: initial.answered_calls,
            leaving: initial.leaving,
        };
        let mut actions = Vec::new();
        let control_plane = ControlPlane::new(now(), options, &mut actions);
        let (writes, pending_writes) = mpsc::channel(MAX_WRITES);
        let replica = Rc::new(Replica {
            writes,
            pending_writes: Cell::new(Some(pending_writes)),
            control_plane: RefCell::new(control_plane),
            writer,
            channels: Channels::new(settings.inner_ports.first),
            callers: RefCell::default(),
            unanswered: Rc::default(),
            last_caller: Cell::new(0),
            next_tick: Cell::new(0),
            tick_moved: Notify::new(),
            exiting: Cell::new(false),
            exited: Notify::new(),
            metrics: ReplicaMetrics::default(),
            settings,
        });
        replica.perform(actions);
        replica
    }

    /// The state machine, to be read.
    pub fn control_plane(&self) -> Ref<'_, ControlPlane> {
        self.control_plane.borrow()
    }

    /// Hands the state machine an event, and performs its actions.
    pub fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        let next_tick = {
            let mut control_plane = self.control_plane.borrow_mut();
            control_plane.handle(now(), event, &mut actions);
            control_plane.next_tick()
        };
        self.perform(actions);
        if next_tick < self.next_tick.get() {
            self.next_tick.set(next_tick);
            self.tick_moved.notify_one();
        }
    }

    fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, to, call, timeout } => self.send(request, to, call, timeout),
                Action::Reply(caller, reply) => {
                    if let Some(Caller::Process(waiting)) = self.callers.borrow_mut().remove(&caller) {
                        // The caller may be gone.
                        let _ = waiting.send(reply);
                    }
                }
                Action::Respond(caller, response) => {
                    if let Some(Caller::Api(waiting)) = self.callers.borrow_mut().remove(&caller) {
                        // The caller may be gone.
                        let _ = waiting.send(response);
                    }
                }
                Action::Write(id, record) => {
                    let result = Box::pin(self.writer.write(record));
                    if let Err(e) = self.writes.try_send(PendingWrite { id, started: now(), result }) {
                        log::error!("too many writes under way: {e}");
                    }
                }
                Action::Exit => self.exited.notify_one(),
            }
        }
    }

    fn send(self: &Rc<Self>, request: RequestId, to: NodeId, call: Call, timeout: Micros) {
        let (replica, channel) = (self.clone(), self.channels.to(to));
        tokio::task::spawn_local(async move {
            let reply = channel.call(&call, Duration::from_micros(timeout)).await.ok();
            replica.handle(Event::Reply(request, reply));
        });
    }

    fn add_caller(&self, caller: Caller) -> Option<CallerId> {
        let mut callers = self.callers.borrow_mut();
        if self.exiting.get() || callers.len() >= MAX_CALLERS {
            return None;
        }
        self.last_caller.set(self.last_caller.get() + 1);
        callers.insert(self.last_caller.get(), caller);
        Some(self.last_caller.get())
    }

    /// Counts a call of a server or an operator as unanswered until the value is dropped.
    pub(crate) fn count_unanswered(&self) -> Counted {
        Counted::new(&self.unanswered)
    }

    /// Number of calls of servers and operators that were read and are not answered yet.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered.get()
    }

    /// Nothing more comes of calls: each gets the answer that its outcome is not known here.
    pub fn release_callers(&self) {
        self.exiting.set(true);
        self.callers.borrow_mut().clear();
    }

    /// Answers a call of another process.
    pub async fn answer(self: Rc<Self>, call: Call) -> Reply {
        let (sender, reply) = oneshot::channel();
        let Some(caller) = self.add_caller(Caller::Process(sender)) else { return Reply::Declined };
        self.handle(Event::Call(caller, call));
        reply.await.unwrap_or(Reply::Declined)
    }

    /// Answers a server or an operator, whose call came to this machine at this time.
    pub async fn answer_api(self: &Rc<Self>, request: ApiRequest, received: Timestamp) -> ApiResponse {
        let (sender, response) = oneshot::channel();
        let Some(caller) = self.add_caller(Caller::Api(sender)) else { return ApiResponse::Indeterminate };
        self.handle(Event::ApiCall { caller, request, age: now().saturating_sub(received) });
        let response = response.await.unwrap_or(ApiResponse::Indeterminate);
        self.metrics.count_response(&response);
        response
    }

    /// Counts an order that was not begun, as its caller has given it up.
    pub(crate) fn count_abandoned_call(&self) {
        self.metrics.count_abandoned_call();
    }

    /// The figures of this process, as text.
    pub fn render_metrics(&self) -> String {
        self.metrics.render(self)
    }

    /// Hands the state machine ticks and results of writes, for ever.
    pub async fn run(self: Rc<Self>) {
        let Some(pending_writes) = self.pending_writes.take() else { return };
        tokio::task::spawn_local(self.clone().complete_writes(pending_writes));
        loop {
            let next_tick = self.control_plane.borrow().next_tick();
            self.next_tick.set(next_tick);
            let left = Duration::from_micros(next_tick.saturating_sub(now()));
            tokio::select! {
                () = self.tick_moved.notified() => {}
                () = tokio::time::sleep(left) => self.handle(Event::Tick),
            }
        }
    }

    /// Waits for writes in their order: the result of a record is known before that of one that builds on it.
    async fn complete_writes(self: Rc<Self>, mut pending: mpsc::Receiver<PendingWrite>) {
        while let Some(PendingWrite { id, started, result }) = pending.recv().await {
            let done = result.await;
            self.metrics.observe_write(now().saturating_sub(started));
            self.handle(Event::WriteCompleted(id, done));
        }
    }
}

/// The figures of the quota rule.
pub fn quota_rule(settings: &Settings) -> QuotaRule {
    let bounds = &settings.bounds;
    QuotaRule { span: bounds.quota_window, overshoot: bounds.quota_overshoot, slack: bounds.quota_slack }
}
