//! Guards that can be taken away. Nothing is switched in the state machines: what goes in or out of them is tampered with.

use crate::world::{node, World};
use limeway_control_plane::messages::{Call, HeartbeatReply, PeerStatus, Reply};

/// Which guard is off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Off {
    /// None.
    Nothing,
    /// A word leaves a machine before its write is done.
    WordsEarly,
    /// A write that failed is told as done.
    FailedWrites,
    /// A machine that lost its disk votes with the life of the old one.
    OldLife,
    /// All lives of a process hold ballots under one number.
    OneBoot,
    /// Machines that held a seat are not remembered for their duties.
    Former,
    /// Who does not answer a round counts as one that has nothing newer.
    Contact,
    /// Nobody says that a value is accepted and not applied yet.
    Pending,
    /// A newcomer is given a seat before its disk has the state.
    Newcomer,
    /// What a limiter is told is taken to be as old as its arrival.
    Ages,
}

/// All of them.
pub const ALL: [Off; 9] = [
    Off::WordsEarly,
    Off::FailedWrites,
    Off::OldLife,
    Off::OneBoot,
    Off::Former,
    Off::Contact,
    Off::Pending,
    Off::Newcomer,
    Off::Ages,
];

impl World {
    /// How a machine stands, as one would have it that nobody asked.
    fn feigned(&self, at: usize) -> PeerStatus {
        let (node, life) = (node(at), self.machines[at].disk.votes.disk);
        let (counted, sound, touch, leaving) = (true, true, true, false);
        PeerStatus {
            node,
            disk: life,
            incarnation: 1,
            loss_counted: counted,
            disk_healthy: sound,
            has_quorum: touch,
            shutting_down: leaving,
            slot: 0,
            durable_slot: 0,
        }
    }

    pub(crate) fn tamper_answer(&self, (to, round): (usize, bool), reply: Option<Reply>) -> Option<Reply> {
        if self.off == Off::Contact && round && reply.is_none() {
            let (me, pending) = (self.feigned(to), false);
            let (held, given, servers) = (Vec::new(), Vec::new(), Vec::new());
            return Some(Reply::Heartbeat(HeartbeatReply {
                status: me,
                has_accepted: pending,
                held,
                granted: given,
                servers,
            }));
        }
        reply
    }

    fn ahead(&self, standing: &mut PeerStatus) {
        let seated = self.judge.seats().iter().any(|s| s.node == standing.node && s.disk == standing.disk);
        if !seated {
            standing.durable_slot = standing.durable_slot.max(self.judge.newest());
        }
    }

    pub(crate) fn tamper_reply(&self, _at: usize, reply: Reply) -> Reply {
        match reply {
            Reply::Heartbeat(mut pong) => {
                pong.has_accepted &= self.off != Off::Pending;
                if self.off == Off::Newcomer {
                    self.ahead(&mut pong.status);
                }
                Reply::Heartbeat(pong)
            }
            other => other,
        }
    }

    pub(crate) fn tamper_call(&self, _at: usize, call: Call) -> Call {
        match call {
            Call::Heartbeat(mut ping) if self.off == Off::Newcomer => {
                self.ahead(&mut ping.status);
                Call::Heartbeat(ping)
            }
            other => other,
        }
    }
}
