//! The simulated world: machines, their disks and clocks, the events in the order of their times.

use crate::chance::Chance;
use crate::disk::Disk;
use crate::judge::Judge;
use crate::net::{Fate, Net};
use crate::people::{People, Who};
use crate::{Micros, Off, Schedule, SECOND};
use limeway_consensus::NodeId;
use limeway_control_plane::messages::{Call, Reply};
use limeway_control_plane::{
    Action, ApiRequest, ApiResponse, CallerId, ControlPlane, Event, RequestId, StartOptions,
};
use limeway_quota::QuotaRule;
use std::collections::BTreeMap;

/// Limiters.
pub const LIMITERS: usize = 2;
/// Machines that may come as the replacement of others, at most.
const REPLACEMENTS: usize = 2;
/// A process that is told to end is killed after so long.
const GRACE: Micros = 6 * SECOND;
/// The play goes on for so long after the last fault.
pub const AFTER: Micros = 14 * SECOND;
/// Pause between two looks at what should have come about.
const LOOK: Micros = 250_000;

/// Who asked.
#[derive(Debug, Clone, Copy)]
pub enum Origin {
    /// A core machine, in a life of its process, by this ticket.
    Machine(usize, u64, RequestId),
    /// A limiter: its number, and that of the call.
    Limiter(usize, u64),
}

/// What happens.
#[derive(Debug)]
pub enum Ev {
    /// A machine's process wanted to be woken.
    Tick(usize, u64, u64),
    /// A call arrives.
    Call(usize, Origin, Call),
    /// An answer arrives, or the time for it is over.
    Answer(Origin, Option<Reply>),
    /// The first write under way on a machine's disk ends.
    Disk(usize, u64),
    /// A machine's process starts.
    Start(usize),
    /// A process that was told to end is killed.
    Grace(usize, u64),
    /// A fault begins.
    Begin(usize),
    /// A fault ends.
    End(usize),
    /// A process is told to end.
    Leave(usize),
    /// An operator or a server asks a machine.
    Ask(usize, Who, ApiRequest),
    /// It is told.
    Told(Who, Option<ApiResponse>),
    /// Someone's time has come.
    Wake(Who),
    /// What should have come about is looked at.
    Look,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    /// Its state machine.
    pub marker: ControlPlane,
    /// Which of the machine's processes it is.
    pub life: u64,
    /// Calls without an answer: whom, and whether it is a round.
    open: BTreeMap<RequestId, (usize, bool)>,
    tick: u64,
    /// The second of virtual time, and events in it.
    pub busy: (Micros, u32),
}

/// A core machine.
#[derive(Debug)]
pub struct Machine {
    /// Its process, while one runs.
    pub process: Option<Process>,
    /// Its disk.
    pub disk: Disk,
    /// It has been there, and is not gone for good.
    pub exists: bool,
    /// It is without power: it answers nothing, and refuses nothing.
    pub dark: bool,
    /// Its process does nothing until then.
    pub frozen: Micros,
    /// Its clock shows so much more.
    pub offset: Micros,
    /// Faults that it is lost by, and when the last of them ended.
    pub lost: (u32, Micros),
    /// It has to come back, or to go for good, once its process has ended.
    pub ends: Option<bool>,
    /// A fault keeps its process from running.
    pub down: bool,
    /// It has not been started yet, and is part of the first start of the whole system.
    pub first: bool,
    lives: u64,
}

impl Machine {
    /// Whether nothing has ailed it for so long.
    pub fn fine(&self, t: Micros, long: Micros) -> bool {
        self.exists && self.lost.0 == 0 && t >= self.lost.1 + long
    }
}

/// See the module.
#[derive(Debug)]
pub struct World {
    /// What is played.
    pub schedule: Schedule,
    /// Which guard is off.
    pub off: Off,
    /// The time.
    pub t: Micros,
    seq: u64,
    events: BTreeMap<(Micros, u64), Ev>,
    /// The core machines.
    pub machines: Vec<Machine>,
    pub(crate) net: Net<Ev>,
    tokens: BTreeMap<CallerId, (Origin, usize)>,
    asks: BTreeMap<CallerId, Who>,
    last_token: CallerId,
    pub(crate) chance: Chance,
    pub(crate) people: People,
    /// What is checked.
    pub judge: Judge,
    /// Events played.
    pub steps: u64,
}

/// A machine's name among the others.
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

impl World {
    /// A world before its first event.
    pub fn new(schedule: Schedule, off: Off) -> Self {
        let mut chance = Chance(schedule.seed);
        let ends = schedule.machines + schedule.spares + REPLACEMENTS;
        let machine = |at: usize, chance: &mut Chance| Machine {
            process: None,
            disk: Disk::new(
                if at < schedule.machines { 0 } else { chance.draw() | 1 },
                chance.between(200, 8_000) * schedule.disks,
            ),
            exists: false,
            dark: true,
            frozen: 0,
            offset: chance.between(SECOND, 1_000_000 * SECOND),
            lost: (0, 0),
            ends: None,
            down: false,
            first: at < schedule.machines,
            lives: 0,
        };
        let machines = (0..ends).map(|at| machine(at, &mut chance)).collect();
        let mut world = World {
            off,
            t: 0,
            seq: 0,
            events: BTreeMap::new(),
            machines,
            net: Net::new(ends + LIMITERS, &mut chance),
            tokens: BTreeMap::new(),
            asks: BTreeMap::new(),
            last_token: 0,
            people: People::new(&mut chance),
            chance,
            judge: Judge::new(off),
            steps: 0,
            schedule,
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for at in 0..self.schedule.machines {
            self.machines[at].exists = true;
            let start = self.chance.below(300_000);
            self.push(start, Ev::Start(at));
        }
        for spare in 0..self.schedule.spares {
            let start = self.chance.between(2 * SECOND, self.schedule.heal);
            self.push(start, Ev::Start(self.schedule.machines + spare));
        }
        for at in 0..self.schedule.faults.len() {
            let (begin, long) = (self.schedule.faults[at].at, self.schedule.faults[at].long);
            self.push(begin, Ev::Begin(at));
            self.push(begin + long, Ev::End(at));
        }
        self.push(LOOK, Ev::Look);
        for who in self.people.all() {
            let at = self.chance.below(2 * SECOND);
            self.push(at, Ev::Wake(who));
        }
    }

    pub(crate) fn push(&mut self, at: Micros, ev: Ev) {
        self.seq += 1;
        self.events.insert((at, self.seq), ev);
    }

    /// Plays to the end, or to the first thing that is broken: what that is, if any.
    pub fn play(&mut self) -> Option<String> {
        let end = self.schedule.heal + AFTER;
        while let Some(((at, seq), ev)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.t = at;
            self.steps += 1;
            if let Some(until) = self.waits_for(&ev) {
                self.events.insert((until, seq), ev);
                continue;
            }
            self.step(ev);
            if let Some(broken) = self.judge.broken.take() {
                return Some(format!("at {:.6} s: {broken}", at as f64 / SECOND as f64));
            }
        }
        self.at_end()
    }

    /// A process that stands still takes its events in when it goes on.
    fn waits_for(&self, ev: &Ev) -> Option<Micros> {
        let at = match ev {
            Ev::Tick(at, ..) | Ev::Call(at, ..) | Ev::Ask(at, ..) | Ev::Disk(at, _) | Ev::Leave(at) => *at,
            Ev::Answer(Origin::Machine(at, ..), _) => *at,
            _ => return None,
        };
        Some(self.machines[at].frozen).filter(|until| *until > self.t)
    }

    fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Tick(at, life, tick) => {
                if self.runs(at, life) && self.machines[at].process.as_ref().is_some_and(|p| p.tick == tick) {
                    self.handle(at, Event::Tick);
                }
            }
            Ev::Call(at, origin, call) => self.called(at, origin, call),
            Ev::Answer(Origin::Machine(at, life, ticket), reply) => {
                let asked = match &mut self.machines[at].process {
                    Some(process) if process.life == life => process.open.remove(&ticket),
                    _ => None,
                };
                if let Some(asked) = asked {
                    let reply = self.tamper_answer(asked, reply);
                    self.handle(at, Event::Reply(ticket, reply));
                }
            }
            Ev::Answer(Origin::Limiter(limiter, number), reply) => self.fed(limiter, number, reply),
            Ev::Disk(at, life) => self.disk_ends(at, life),
            Ev::Start(at) => self.start(at),
            Ev::Grace(at, life) => {
                if self.runs(at, life) {
                    self.ended(at);
                }
            }
            Ev::Begin(at) => self.fault_begins(at),
            Ev::End(at) => self.fault_ends(at),
            Ev::Leave(at) => {
                if let Some(life) = self.machines[at].process.as_ref().map(|p| p.life) {
                    self.push(self.t + GRACE, Ev::Grace(at, life));
                    self.handle(at, Event::Shutdown);
                }
            }
            Ev::Ask(at, who, ask) => self.asked(at, who, ask),
            Ev::Told(who, told) => self.told(who, told),
            Ev::Wake(who) => self.wake(who),
            Ev::Look => {
                self.look();
                self.push(self.t + LOOK, Ev::Look);
            }
        }
    }

    fn runs(&self, at: usize, life: u64) -> bool {
        self.machines[at].process.as_ref().is_some_and(|p| p.life == life)
    }

    /// A machine's process starts with what is on its disk.
    fn start(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        if machine.process.is_none() && machine.ends == Some(false) {
            // It was to go, and was killed before it was told.
            (machine.exists, machine.dark) = (false, true);
        }
        if machine.process.is_some() || machine.ends == Some(false) || machine.down {
            return;
        }
        let drawn = self.chance.draw() | 1;
        let (first, off) = (self.machines[at].first, self.off);
        let live: Vec<usize> = (0..self.machines.len()).filter(|m| self.machines[*m].exists).collect();
        let seeds: Vec<usize> = if first {
            (0..self.schedule.machines.min(3)).collect()
        } else {
            (0..3).filter_map(|_| self.chance.pick(&live).copied()).collect()
        };
        let machine = &mut self.machines[at];
        if !machine.exists {
            // One that comes for the first time has its time to catch up, as one that comes back.
            machine.lost.1 = self.t;
        }
        (machine.exists, machine.dark, machine.first, machine.ends) = (true, false, false, None);
        machine.lives += 1;
        let mut state = machine.disk.state.clone();
        if off == Off::Former {
            state.former_voters.clear();
        }
        let start = StartOptions {
            node: node(at),
            incarnation: if off == Off::OneBoot { u64::from(node(at)) } else { drawn },
            ack_timeout: 6 * SECOND,
            loss_counted: true,
            tolerated_losses: self.schedule.losses,
            quota_rule: QuotaRule { span: 5 * SECOND, overshoot: 0.1, slack: 20.0 },
            server_heartbeat: SECOND / 2,
            seeds: seeds.into_iter().map(node).collect(),
            initial_start: first,
            acceptor: machine.disk.votes.clone(),
            state,
        };
        let mut out = Vec::new();
        let marker = ControlPlane::new(self.t + machine.offset, start, &mut out);
        let life = machine.lives;
        machine.process = Some(Process { marker, life, open: BTreeMap::new(), tick: 0, busy: (0, 0) });
        self.perform(at, out);
    }

    /// A machine's process takes an event in, and what it decides is done.
    pub(crate) fn handle(&mut self, at: usize, event: Event) {
        let (t, machine) = (self.t, &mut self.machines[at]);
        let now = t + machine.offset;
        let Some(process) = &mut machine.process else { return };
        let mut out = Vec::new();
        process.marker.handle(now, event, &mut out);
        self.perform(at, out);
    }

    fn perform(&mut self, at: usize, out: Vec<Action>) {
        let Some(life) = self.machines[at].process.as_ref().map(|p| p.life) else { return };
        self.judge.after(self.t, at, &mut self.machines);
        let mut at_once = Vec::new();
        for action in out {
            match action {
                Action::Send { request: ticket, to, call, timeout: wait } => {
                    self.send(at, (life, ticket), to, call, wait)
                }
                Action::Reply(token, reply) => self.reply(at, token, reply),
                Action::Respond(token, told) => match self.asks.remove(&token) {
                    Some(who) => {
                        self.judge.told(self.t, at, &self.machines, self.people.asked_of(who), &told);
                        let back = self.t + self.chance.between(500, 20_000);
                        self.push(back, Ev::Told(who, Some(told)));
                    }
                    None => self.judge.fail(format!("machine {at} answers an ask twice")),
                },
                Action::Write(job, record) => {
                    let disk = &mut self.machines[at].disk;
                    if disk.push(job, record) {
                        let end = self.t + disk.sync;
                        self.push(end, Ev::Disk(at, life));
                    }
                    if self.off == Off::WordsEarly {
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
        let (t, late) = (self.t, self.chance.between(20, 1_200));
        let machine = &mut self.machines[at];
        let Some(process) = machine.process.as_mut().filter(|p| p.life == life) else { return };
        process.tick += 1;
        let (tick, wake) = (process.tick, process.marker.next_tick().saturating_sub(machine.offset));
        self.push(wake.max(t) + late, Ev::Tick(at, life, tick));
    }

    fn send(&mut self, at: usize, (life, ticket): (u64, RequestId), to: NodeId, call: Call, wait: Micros) {
        let (origin, to) = (Origin::Machine(at, life, ticket), to as usize - 1);
        if let Some(process) = &mut self.machines[at].process {
            process.open.insert(ticket, (to, matches!(call, Call::Heartbeat(_))));
        }
        self.push(self.t + wait, Ev::Answer(origin, None));
        if to < self.machines.len() {
            let (size, call) = (bytes(&call), self.tamper_call(at, call));
            self.post((at, to), size, Ev::Call(to, origin, call));
        }
    }

    /// A message sets out.
    pub(crate) fn post(&mut self, way: (usize, usize), size: u64, ev: Ev) {
        match self.net.pass(self.t, way, size, &mut self.chance) {
            Fate::Arrives(at) => self.push(at, ev),
            Fate::Held => self.net.hold(way, ev),
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
            if !self.machines[at].dark {
                // A port that nobody listens on resets.
                self.post((at, self.end_of(origin)), 40, Ev::Answer(origin, None));
            }
            return;
        }
        self.last_token += 1;
        self.tokens.insert(self.last_token, (origin, at));
        self.handle(at, Event::Call(self.last_token, call));
    }

    fn reply(&mut self, at: usize, token: CallerId, reply: Reply) {
        let Some((origin, _)) = self.tokens.remove(&token).filter(|(_, by)| *by == at) else {
            return self.judge.fail(format!("machine {at} answers a call twice"));
        };
        let reply = self.tamper_reply(at, reply);
        self.post((at, self.end_of(origin)), 200, Ev::Answer(origin, Some(reply)));
    }

    fn asked(&mut self, at: usize, who: Who, ask: ApiRequest) {
        if self.machines[at].process.is_none() {
            if !self.machines[at].dark {
                self.push(self.t + 1_000, Ev::Told(who, None));
            }
            return;
        }
        self.last_token += 1;
        self.asks.insert(self.last_token, who);
        self.handle(at, Event::ApiCall(self.last_token, ask));
    }

    fn disk_ends(&mut self, at: usize, life: u64) {
        if !self.runs(at, life) {
            return;
        }
        let disk = &mut self.machines[at].disk;
        if disk.hangs > self.t {
            let later = disk.hangs + disk.sync;
            return self.push(later, Ev::Disk(at, life));
        }
        let Some((job, done)) = disk.end() else { return };
        if disk.waits() > 0 {
            let later = self.t + disk.sync;
            self.push(later, Ev::Disk(at, life));
        }
        match done {
            Err(e) => self.judge.fail(format!("disk of machine {at}: {e}")),
            Ok(_) if self.off == Off::WordsEarly => {}
            Ok(done) => self.handle(at, Event::WriteCompleted(job, done || self.off == Off::FailedWrites)),
        }
    }

    /// A machine's process ends at once; some of what was on its way to the disk is written.
    pub(crate) fn kill(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let Some(process) = machine.process.take() else { return };
        machine.frozen = 0;
        if let Err(e) = machine.disk.cut_short(&mut self.chance) {
            self.judge.fail(format!("disk of machine {at} after a kill: {e}"));
        }
        self.judge.ended(at);
        self.tokens.retain(|_, (_, by)| *by != at);
        let dark = self.machines[at].dark;
        // What waited for an answer of it is reset, where the machine still has power.
        if !dark {
            self.reset(at, None);
        }
        drop(process);
        if self.machines[at].ends == Some(false) {
            (self.machines[at].exists, self.machines[at].dark) = (false, true);
        }
    }

    /// All calls to a machine, from one or from all, end without an answer.
    pub(crate) fn reset(&mut self, at: usize, from: Option<usize>) {
        let mut ends = Vec::new();
        for (other, machine) in self.machines.iter().enumerate().filter(|(o, _)| from.is_none_or(|f| f == *o))
        {
            let Some(process) = &machine.process else { continue };
            let open = process.open.iter().filter(|(_, (to, _))| *to == at);
            ends.extend(open.map(|(ticket, _)| (other, Origin::Machine(other, process.life, *ticket))));
        }
        for (other, origin) in ends {
            if !self.net.is_cut(at, other) {
                let soon = self.t + self.chance.between(100, 30_000);
                self.push(soon, Ev::Answer(origin, None));
            }
        }
    }

    /// A process that was told to end has ended.
    fn ended(&mut self, at: usize) {
        self.kill(at);
        if self.machines[at].ends != Some(false) {
            let back = self.t + self.chance.between(50_000, 400_000);
            self.push(back, Ev::Start(at));
        }
    }
}
