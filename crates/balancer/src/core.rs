//! A core machine's sockets, disk and clock: what its [`Marker`] decides is done here, and what comes of it is told to it.

use crate::clock::{self, now};
use crate::disk::Disk;
use crate::link::{self, Links};
use limeway_consensus::{Acceptor, NodeId};
use limeway_control_plane::messages::{Call, Reply};
use limeway_control_plane::{
    Action, ApiRequest, ApiResponse, CallerId, ControlPlane, Event, StartOptions, WriteId,
};
use limeway_quota::Rule;
use limeway_routing_config::State;
use limeway_settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};

/// Writes under way, at most.
const WRITES_MOST: usize = 256;
/// Callers that wait for an answer, at most.
const WAITING_MOST: usize = 8_192;

enum Waiting {
    Call(oneshot::Sender<Reply>),
    Ask(oneshot::Sender<ApiResponse>),
}

/// A write under way, and whether it is on disk in the end.
type Write = (WriteId, Pin<Box<dyn Future<Output = bool>>>);

/// A core machine.
pub struct Core {
    /// Its settings.
    pub settings: Settings,
    marker: RefCell<ControlPlane>,
    disk: Disk,
    writes: (mpsc::Sender<Write>, Cell<Option<mpsc::Receiver<Write>>>),
    links: Links,
    waiting: RefCell<HashMap<CallerId, Waiting>>,
    last: Cell<CallerId>,
    /// When the next tick is wanted.
    wake: Cell<u64>,
    sooner: Notify,
    /// Its end: the state machine says when.
    pub ended: Notify,
}

impl Core {
    /// A core machine that starts with what was found on its disk.
    pub fn new(settings: Settings, acceptor: Acceptor, state: State, empty: bool, disk: Disk) -> Rc<Self> {
        let start = StartOptions {
            node: NodeId::from(settings.ip),
            incarnation: clock::draw() | 1,
            ack_timeout: settings.bounds.ack_timeout,
            loss_counted: settings.counted && settings.data.is_some(),
            tolerated_losses: settings.losses,
            quota_rule: Self::rule(&settings),
            server_heartbeat: settings.heartbeat,
            seeds: link::nodes(&settings.seeds),
            initial_start: empty && settings.first_start,
            acceptor,
            state,
        };
        let mut actions = Vec::new();
        let marker = ControlPlane::new(now(), start, &mut actions);
        let (send, writes) = mpsc::channel(WRITES_MOST);
        let core = Rc::new(Core {
            writes: (send, Cell::new(Some(writes))),
            marker: RefCell::new(marker),
            disk,
            links: Links::new(settings.inner.0),
            waiting: RefCell::default(),
            last: Cell::new(0),
            wake: Cell::new(0),
            sooner: Notify::new(),
            ended: Notify::new(),
            settings,
        });
        core.perform(actions);
        core
    }

    /// The quota rule's figures.
    pub fn rule(settings: &Settings) -> Rule {
        let b = &settings.bounds;
        Rule { window: b.quota_window, overshoot: b.quota_overshoot, slack: b.quota_slack }
    }

    /// What its state machine knows.
    pub fn marker(&self) -> std::cell::Ref<'_, ControlPlane> {
        self.marker.borrow()
    }

    /// Tells the state machine of an event, and does what it decides.
    pub fn tell(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        let wake = {
            let mut marker = self.marker.borrow_mut();
            marker.handle(now(), event, &mut actions);
            marker.next_tick()
        };
        self.perform(actions);
        if wake < self.wake.get() {
            self.wake.set(wake);
            self.sooner.notify_one();
        }
    }

    fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request: ticket, to, call, timeout: wait } => {
                    let (core, link) = (self.clone(), self.links.to(to));
                    tokio::task::spawn_local(async move {
                        let reply = link.call(&call, Duration::from_micros(wait)).await.ok();
                        core.tell(Event::Reply(ticket, reply));
                    });
                }
                Action::Reply(token, reply) => {
                    if let Some(Waiting::Call(tell)) = self.waiting.borrow_mut().remove(&token) {
                        let _ = tell.send(reply);
                    }
                }
                Action::Respond(token, told) => {
                    if let Some(Waiting::Ask(tell)) = self.waiting.borrow_mut().remove(&token) {
                        let _ = tell.send(told);
                    }
                }
                Action::Write(job, record) => {
                    let written = self.disk.write(record);
                    // More than the state machine has under way at once find room.
                    if let Err(e) = self.writes.0.try_send((job, Box::pin(written))) {
                        log::error!("writes under way: {e}");
                    }
                }
                Action::Exit => self.ended.notify_one(),
            }
        }
    }

    fn wait(&self, waiting: Waiting) -> Option<CallerId> {
        let mut all = self.waiting.borrow_mut();
        if all.len() >= WAITING_MOST {
            return None;
        }
        self.last.set(self.last.get() + 1);
        all.insert(self.last.get(), waiting);
        Some(self.last.get())
    }

    /// Answers a call of another process.
    pub async fn answer(self: Rc<Self>, call: Call) -> Reply {
        let (tell, told) = oneshot::channel();
        let Some(token) = self.wait(Waiting::Call(tell)) else { return Reply::Declined };
        self.tell(Event::Call(token, call));
        told.await.unwrap_or(Reply::Declined)
    }

    /// Answers a server or an operator.
    pub async fn ask(self: &Rc<Self>, ask: ApiRequest) -> ApiResponse {
        let (tell, told) = oneshot::channel();
        let Some(token) = self.wait(Waiting::Ask(tell)) else { return ApiResponse::Indeterminate };
        self.tell(Event::ApiCall(token, ask));
        told.await.unwrap_or(ApiResponse::Indeterminate)
    }

    /// Tells the state machine of time and of writes, for ever.
    pub async fn run(self: Rc<Self>) {
        let Some(mut writes) = self.writes.1.take() else { return };
        let core = self.clone();
        // In their order: what a record builds on is known before it is.
        tokio::task::spawn_local(async move {
            while let Some((job, written)) = writes.recv().await {
                let done = written.await;
                core.tell(Event::WriteCompleted(job, done));
            }
        });
        loop {
            let wake = self.marker.borrow().next_tick();
            self.wake.set(wake);
            let left = Duration::from_micros(wake.saturating_sub(now()));
            tokio::select! {
                () = self.sooner.notified() => {}
                () = tokio::time::sleep(left) => self.tell(Event::Tick),
            }
        }
    }
}
