//! The simulated cluster: machines, their disks and clocks, the events in the order of their times.

use crate::clients::{Workload, LIMITERS};
use crate::disk::Disk;
use crate::event::{Actor, Origin, SimEvent};
use crate::invariants::Invariants;
use crate::machine::{Machine, Process};
use crate::network::{Fate, Network};
use crate::rng::Rng;
use crate::{DisabledGuard, Lateness, Micros, Schedule, SECOND};
use limeway_consensus::NodeId;
use limeway_control_plane::messages::{Call, Reply};
use limeway_control_plane::{Action, ApiRequest, CallerId, ControlPlane, Event, RequestId, StartOptions};
use limeway_quota::QuotaRule;
use std::collections::BTreeMap;

/// Upper bound on machines that join as replacements.
const REPLACEMENTS: usize = 2;
/// Time from SIGTERM to SIGKILL.
const GRACE: Micros = 6 * SECOND;
/// How long a run continues after the last fault.
pub const RUN_ON: Micros = 14 * SECOND;
/// Different machines that a settings file names, or all if there are fewer.
pub(crate) const SEED_NODES: usize = 3;
/// Interval between two checks of progress.
const CHECK_INTERVAL: Micros = 250_000;

/// Machines, network, workload and invariants, with the events in the order of their times.
#[derive(Debug)]
pub struct Cluster {
    /// The schedule that is run.
    pub schedule: Schedule,
    /// The guard that is disabled.
    pub disabled: DisabledGuard,
    /// The current virtual time.
    pub t: Micros,
    seq: u64,
    events: BTreeMap<(Micros, u64), SimEvent>,
    /// The replicas.
    pub machines: Vec<Machine>,
    pub(crate) network: Network<SimEvent>,
    callers: BTreeMap<CallerId, (Origin, usize)>,
    api_callers: BTreeMap<CallerId, Actor>,
    last_caller: CallerId,
    pub(crate) rng: Rng,
    pub(crate) workload: Workload,
    /// The invariants.
    pub invariants: Invariants,
    /// Events handled so far.
    pub event_count: u64,
}

/// A machine's node id.
pub fn node(at: usize) -> NodeId {
    at as NodeId + 1
}

fn bytes(call: &Call) -> u64 {
    match call {
        Call::Accept(_, _, value) | Call::Commit(_, value) => 60 + value.len() as u64,
        Call::Heartbeat(ping) => {
            100 + 60 * (ping.members.len() + ping.reports.len() + ping.held.len()) as u64
        }
        _ => 100,
    }
}

impl Cluster {
    /// A cluster before its first event.
    pub fn new(schedule: Schedule, disabled: DisabledGuard) -> Self {
        let mut rng = Rng(schedule.seed);
        let ends = schedule.machines + schedule.spares + REPLACEMENTS;
        let machine = |at: usize, rng: &mut Rng| Machine {
            process: None,
            disk: Disk::new(
                if at < schedule.machines { 0 } else { rng.draw() | 1 },
                rng.between(200, 8_000) * schedule.disks,
            ),
            exists: false,
            without_power: true,
            frozen: 0,
            offset: rng.between(SECOND, 1_000_000 * SECOND),
            lost: (0, 0),
            ends: None,
            down: false,
            first: at < schedule.machines,
            incarnations: 0,
        };
        let machines = (0..ends).map(|at| machine(at, &mut rng)).collect();
        let mut cluster = Cluster {
            disabled,
            t: 0,
            seq: 0,
            events: BTreeMap::new(),
            machines,
            network: Network::new(ends + LIMITERS, &mut rng),
            callers: BTreeMap::new(),
            api_callers: BTreeMap::new(),
            last_caller: 0,
            workload: Workload::new(&mut rng),
            rng,
            invariants: Invariants::new(disabled),
            event_count: 0,
            schedule,
        };
        cluster.begin();
        cluster
    }

    fn begin(&mut self) {
        for at in 0..self.schedule.machines {
            self.machines[at].exists = true;
            let start = self.rng.below(300_000);
            self.push(start, SimEvent::Start(at));
        }
        for spare in 0..self.schedule.spares {
            let start = self.rng.between(2 * SECOND, self.schedule.heal);
            self.push(start, SimEvent::Start(self.schedule.machines + spare));
        }
        for at in 0..self.schedule.faults.len() {
            let (begin, long) = (self.schedule.faults[at].at, self.schedule.faults[at].long);
            self.push(begin, SimEvent::Begin(at));
            self.push(begin + long, SimEvent::End(at));
        }
        self.push(CHECK_INTERVAL, SimEvent::Check);
        if self.schedule.lateness == Lateness::Orders {
            self.push(2 * SECOND, SimEvent::Wake(Actor::Alternating));
        }
        for who in self.workload.all() {
            let at = self.rng.below(2 * SECOND);
            self.push(at, SimEvent::Wake(who));
        }
    }

    pub(crate) fn push(&mut self, at: Micros, ev: SimEvent) {
        self.seq += 1;
        self.events.insert((at, self.seq), ev);
    }

    /// Runs to the end, or to the first violation, which is returned.
    pub fn play(&mut self) -> Option<String> {
        let end = self.schedule.heal + RUN_ON;
        while let Some(((at, seq), ev)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.t = at;
            self.event_count += 1;
            if let Some(until) = self.waits_for(&ev) {
                self.events.insert((until, seq), ev);
                continue;
            }
            self.step(ev);
            if let Some(broken) = self.invariants.broken.take() {
                return Some(format!("at {:.6} s: {broken}", at as f64 / SECOND as f64));
            }
        }
        self.at_end()
    }

    /// A stalled process handles its events once it resumes.
    fn waits_for(&self, ev: &SimEvent) -> Option<Micros> {
        let at = match ev {
            SimEvent::Tick(at, ..)
            | SimEvent::Call(at, ..)
            | SimEvent::Ask(at, ..)
            | SimEvent::Delivery(at, ..)
            | SimEvent::Disk(at, _)
            | SimEvent::Leave(at) => *at,
            SimEvent::Answer(Origin::Machine(at, ..), _) => *at,
            _ => return None,
        };
        Some(self.machines[at].frozen).filter(|until| *until > self.t)
    }

    fn step(&mut self, ev: SimEvent) {
        match ev {
            SimEvent::Tick(at, incarnation, tick) => {
                if self.runs(at, incarnation)
                    && self.machines[at].process.as_ref().is_some_and(|p| p.tick == tick)
                {
                    self.handle(at, Event::Tick);
                }
            }
            SimEvent::Call(at, origin, call) => self.called(at, origin, call),
            SimEvent::Answer(Origin::Machine(at, incarnation, ticket), reply) => {
                let asked = match &mut self.machines[at].process {
                    Some(process) if process.incarnation == incarnation => process.open.remove(&ticket),
                    _ => None,
                };
                if let Some(asked) = asked {
                    let reply = self.tamper_answer(asked, reply);
                    self.handle(at, Event::Reply(ticket, reply));
                }
            }
            SimEvent::Answer(Origin::Limiter(limiter, number), reply) => {
                self.poll_answered(limiter, number, reply);
            }
            SimEvent::Disk(at, incarnation) => self.disk_ends(at, incarnation),
            SimEvent::Start(at) => self.start(at),
            SimEvent::Grace(at, incarnation) => {
                if self.runs(at, incarnation) {
                    self.ended(at);
                }
            }
            SimEvent::Begin(at) => self.fault_begins(at),
            SimEvent::End(at) => self.fault_ends(at),
            SimEvent::Leave(at) => {
                if let Some(incarnation) = self.machines[at].process.as_ref().map(|p| p.incarnation) {
                    self.push(self.t + GRACE, SimEvent::Grace(at, incarnation));
                    self.handle(at, Event::Shutdown { within: GRACE });
                }
            }
            SimEvent::Ask(at, who, ask, arrived) => self.asked(at, who, ask, arrived),
            SimEvent::Delivery(at, call_id, taken) => {
                let delivered = Event::ResponseDelivered(call_id);
                self.handle(at, if taken { delivered } else { Event::ResponseLost(call_id) });
            }
            SimEvent::Told(who, told) => self.api_answered(who, told),
            SimEvent::Wake(who) => self.wake(who),
            SimEvent::Check => {
                self.check();
                self.push(self.t + CHECK_INTERVAL, SimEvent::Check);
            }
        }
    }

    fn runs(&self, at: usize, incarnation: u64) -> bool {
        self.machines[at].process.as_ref().is_some_and(|p| p.incarnation == incarnation)
    }

    /// A machine's process starts with what is on its disk.
    fn start(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        if machine.process.is_none() && machine.ends == Some(false) {
            // It was to leave for good, and was killed before its SIGTERM.
            (machine.exists, machine.without_power) = (false, true);
        }
        if machine.process.is_some() || machine.ends == Some(false) || machine.down {
            return;
        }
        let drawn = self.rng.draw() | 1;
        let (first, disabled) = (self.machines[at].first, self.disabled);
        let live: Vec<usize> = (0..self.machines.len()).filter(|m| self.machines[*m].exists).collect();
        let seeds: Vec<usize> = if first {
            (0..self.schedule.machines.min(SEED_NODES)).collect()
        } else {
            self.rng.sample(&live, SEED_NODES)
        };
        let machine = &mut self.machines[at];
        if !machine.exists {
            // A new machine gets time to catch up, as a returning one does.
            machine.lost.1 = self.t;
        }
        (machine.exists, machine.without_power, machine.first, machine.ends) = (true, false, false, None);
        machine.incarnations += 1;
        let mut state = machine.disk.state.clone();
        if disabled == DisabledGuard::FormerVoters {
            state.former_voters.clear();
        }
        let start = StartOptions {
            node: node(at),
            incarnation: if disabled == DisabledGuard::OneProcessIncarnation {
                u64::from(node(at))
            } else {
                drawn
            },
            ack_timeout: 6 * SECOND,
            loss_counted: true,
            tolerated_losses: self.schedule.losses,
            quota_rule: QuotaRule { span: 5 * SECOND, overshoot: 0.1, slack: 20.0 },
            server_heartbeat: SECOND / 2,
            seeds: seeds.into_iter().map(node).collect(),
            initial_start: first,
            acceptor: machine.disk.acceptor.clone(),
            state,
            answered_calls: machine.disk.answered_calls.clone(),
            leaving: if disabled == DisabledGuard::LeavingOnDisk {
                Vec::new()
            } else {
                machine.disk.leaving()
            },
        };
        let mut out = Vec::new();
        let replica = ControlPlane::new(self.t + machine.offset, start, &mut out);
        let incarnation = machine.incarnations;
        machine.process =
            Some(Process { replica, incarnation, open: BTreeMap::new(), tick: 0, busy: (0, 0) });
        self.perform(at, out);
    }

    /// Hands an event to a machine's process and carries out its actions.
    pub(crate) fn handle(&mut self, at: usize, event: Event) {
        let (t, machine) = (self.t, &mut self.machines[at]);
        let now = t + machine.offset;
        let Some(process) = &mut machine.process else { return };
        let mut out = Vec::new();
        process.replica.handle(now, event, &mut out);
        self.perform(at, out);
    }

    fn perform(&mut self, at: usize, out: Vec<Action>) {
        let Some(incarnation) = self.machines[at].process.as_ref().map(|p| p.incarnation) else { return };
        self.invariants.after(self.t, at, &mut self.machines);
        let mut at_once = Vec::new();
        for action in out {
            match action {
                Action::Send { request: ticket, to, call, timeout: wait } => {
                    self.send(at, (incarnation, ticket), to, call, wait);
                }
                Action::Reply(caller, reply) => self.reply(at, caller, reply),
                Action::Respond(caller, told) => match self.api_callers.remove(&caller) {
                    Some(who) => {
                        self.invariants.check_response(
                            self.t,
                            at,
                            &self.machines,
                            self.workload.asked_of(who),
                            &told,
                        );
                        let back = self.t + self.rng.between(500, 20_000);
                        self.push(back, SimEvent::Told(who, Some(told)));
                    }
                    None => self.invariants.fail(format!("machine {at} answers an ask twice")),
                },
                Action::Write(job, record) => {
                    let disk = &mut self.machines[at].disk;
                    if disk.push(job, record) {
                        let end = self.t + disk.sync;
                        self.push(end, SimEvent::Disk(at, incarnation));
                    }
                    if self.disabled == DisabledGuard::RepliesBeforeWrites {
                        at_once.push(job);
                    }
                }
                Action::Exit => {
                    self.ended(at);
                    return;
                }
            }
        }
        for job in at_once {
            self.handle(at, Event::WriteCompleted(job, true));
        }
        let (t, late) = (self.t, self.rng.between(20, 1_200));
        let machine = &mut self.machines[at];
        let Some(process) = machine.process.as_mut().filter(|p| p.incarnation == incarnation) else { return };
        process.tick += 1;
        let (tick, wake) = (process.tick, process.replica.next_tick().saturating_sub(machine.offset));
        self.push(wake.max(t) + late, SimEvent::Tick(at, incarnation, tick));
    }

    fn send(
        &mut self,
        at: usize,
        (incarnation, ticket): (u64, RequestId),
        to: NodeId,
        call: Call,
        wait: Micros,
    ) {
        let (origin, to) = (Origin::Machine(at, incarnation, ticket), to as usize - 1);
        if let Some(process) = &mut self.machines[at].process {
            process.open.insert(ticket, (to, matches!(call, Call::Heartbeat(_))));
        }
        self.push(self.t + wait, SimEvent::Answer(origin, None));
        if to < self.machines.len() {
            let (size, call) = (bytes(&call), self.tamper_call(at, call));
            self.post((at, to), size, SimEvent::Call(to, origin, call));
        }
    }

    /// Sends a message.
    pub(crate) fn post(&mut self, way: (usize, usize), size: u64, ev: SimEvent) {
        match self.network.pass(self.t, way, size, &mut self.rng) {
            Fate::Arrives(at) => self.push(at, ev),
            Fate::Held => self.network.hold(way, ev),
            Fate::Lost => {}
        }
    }

    fn end_of(&self, origin: Origin) -> usize {
        match origin {
            Origin::Machine(at, ..) => at,
            Origin::Limiter(at, _) => self.machines.len() + at,
        }
    }

    fn called(&mut self, at: usize, origin: Origin, call: Call) {
        if self.machines[at].process.is_none() {
            if !self.machines[at].without_power {
                // A port that nobody listens on resets.
                self.post((at, self.end_of(origin)), 40, SimEvent::Answer(origin, None));
            }
            return;
        }
        self.last_caller += 1;
        self.callers.insert(self.last_caller, (origin, at));
        self.handle(at, Event::Call(self.last_caller, call));
    }

    fn reply(&mut self, at: usize, caller: CallerId, reply: Reply) {
        let Some((origin, _)) = self.callers.remove(&caller).filter(|(_, by)| *by == at) else {
            return self.invariants.fail(format!("machine {at} answers a call twice"));
        };
        let reply = self.tamper_reply(at, reply);
        self.post((at, self.end_of(origin)), 200, SimEvent::Answer(origin, Some(reply)));
    }

    fn asked(&mut self, at: usize, who: Actor, request: ApiRequest, arrived: Micros) {
        if self.machines[at].process.is_none() {
            if !self.machines[at].without_power {
                self.push(self.t + 1_000, SimEvent::Told(who, None));
            }
            return;
        }
        self.last_caller += 1;
        self.api_callers.insert(self.last_caller, who);
        let age = if self.disabled == DisabledGuard::CallAges { 0 } else { self.t - arrived };
        self.handle(at, Event::ApiCall { caller: self.last_caller, request, age });
    }

    fn disk_ends(&mut self, at: usize, incarnation: u64) {
        if !self.runs(at, incarnation) {
            return;
        }
        let disk = &mut self.machines[at].disk;
        if disk.hangs > self.t {
            let later = disk.hangs + disk.sync;
            return self.push(later, SimEvent::Disk(at, incarnation));
        }
        let ended = disk.end();
        if disk.waits() > 0 {
            let later = self.t + disk.sync;
            self.push(later, SimEvent::Disk(at, incarnation));
        }
        for (job, done) in ended {
            match done {
                Err(e) => self.invariants.fail(format!("disk of machine {at}: {e}")),
                Ok(_) if self.disabled == DisabledGuard::RepliesBeforeWrites => {}
                Ok(done) => {
                    let done = done || self.disabled == DisabledGuard::FailedWrites;
                    self.handle(at, Event::WriteCompleted(job, done));
                }
            }
        }
    }

    /// Ends a machine's process at once; some of its writes in flight reach the disk.
    pub(crate) fn kill(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let Some(process) = machine.process.take() else { return };
        machine.frozen = 0;
        if let Err(e) = machine.disk.interrupt(&mut self.rng) {
            self.invariants.fail(format!("disk of machine {at} after a kill: {e}"));
        }
        self.invariants.ended(at);
        self.callers.retain(|_, (_, by)| *by != at);
        let without_power = self.machines[at].without_power;
        // Calls to it are reset if the machine still has power.
        if !without_power {
            self.reset(at, None);
        }
        drop(process);
        if self.machines[at].ends == Some(false) {
            (self.machines[at].exists, self.machines[at].without_power) = (false, true);
        }
    }

    /// Fails all calls to a machine, from one machine or from all.
    pub(crate) fn reset(&mut self, at: usize, from: Option<usize>) {
        let mut ends = Vec::new();
        for (other, machine) in self.machines.iter().enumerate().filter(|(o, _)| from.is_none_or(|f| f == *o))
        {
            let Some(process) = &machine.process else { continue };
            let open = process.open.iter().filter(|(_, (to, _))| *to == at);
            ends.extend(
                open.map(|(ticket, _)| (other, Origin::Machine(other, process.incarnation, *ticket))),
            );
        }
        for (other, origin) in ends {
            if !self.network.is_partitioned(at, other) {
                let soon = self.t + self.rng.between(100, 30_000);
                self.push(soon, SimEvent::Answer(origin, None));
            }
        }
    }

    /// A process has exited after SIGTERM.
    fn ended(&mut self, at: usize) {
        self.kill(at);
        if self.machines[at].ends != Some(false) {
            let back = self.t + self.rng.between(50_000, 400_000);
            self.push(back, SimEvent::Start(at));
        }
    }
}
