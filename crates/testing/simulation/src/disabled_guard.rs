//! Guards that can be disabled. The state machines have no switches: their inputs and outputs are tampered with.

use crate::cluster::{node, Cluster};
use limeway_consensus::ProposalNumber;
use limeway_control_plane::messages::{Call, HeartbeatReply, PeerStatus, Reply};

/// The guard that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledGuard {
    /// None.
    None,
    /// Replies leave a machine before its write is done.
    RepliesBeforeWrites,
    /// Failed writes are reported as done.
    FailedWrites,
    /// A machine that lost its disk votes with the incarnation of the old one.
    OldDiskIncarnation,
    /// All incarnations of a process use the same proposal numbers.
    OneProcessIncarnation,
    /// Former voters are not remembered for their role leases.
    FormerVoters,
    /// A replica that does not answer a heartbeat round counts as one that has nothing newer.
    QuorumContact,
    /// Heartbeats do not say that a value is accepted and not applied yet.
    AcceptedValues,
    /// A candidate becomes a voter before the state is on its disk.
    CandidateCatchUp,
    /// Gateways take a response to be as old as its arrival.
    ResponseAges,
    /// A replica that is no voter uses one round for all proposals.
    UniqueRounds,
    /// A call counts as new when it is read, however long it has waited.
    CallAges,
    /// Disks do not keep which instances leave.
    LeavingOnDisk,
}

/// All guards.
pub const ALL: [DisabledGuard; 12] = [
    DisabledGuard::RepliesBeforeWrites,
    DisabledGuard::FailedWrites,
    DisabledGuard::OldDiskIncarnation,
    DisabledGuard::OneProcessIncarnation,
    DisabledGuard::FormerVoters,
    DisabledGuard::QuorumContact,
    DisabledGuard::AcceptedValues,
    DisabledGuard::CandidateCatchUp,
    DisabledGuard::ResponseAges,
    DisabledGuard::UniqueRounds,
    DisabledGuard::CallAges,
    DisabledGuard::LeavingOnDisk,
];

impl Cluster {
    /// The status of a machine that has not been heard.
    fn forged_status(&self, at: usize) -> PeerStatus {
        PeerStatus {
            node: node(at),
            disk: self.machines[at].disk.acceptor.disk,
            incarnation: 1,
            loss_counted: true,
            disk_healthy: true,
            has_quorum: true,
            shutting_down: false,
            slot: 0,
            durable_slot: 0,
        }
    }

    pub(crate) fn tamper_answer(&self, (to, round): (usize, bool), reply: Option<Reply>) -> Option<Reply> {
        if self.disabled == DisabledGuard::QuorumContact && round && reply.is_none() {
            return Some(Reply::Heartbeat(HeartbeatReply {
                answered_calls: Vec::new(),
                relayed: None,
                status: self.forged_status(to),
                has_accepted: false,
                held: Vec::new(),
                granted: Vec::new(),
                servers: Vec::new(),
                non_voters: Vec::new(),
            }));
        }
        reply
    }

    fn ahead(&self, standing: &mut PeerStatus) {
        let is_voter =
            self.invariants.voters().iter().any(|s| s.node == standing.node && s.disk == standing.disk);
        if !is_voter {
            standing.durable_slot = standing.durable_slot.max(self.invariants.newest());
        }
    }

    pub(crate) fn tamper_reply(&self, _at: usize, reply: Reply) -> Reply {
        match reply {
            Reply::Heartbeat(mut pong) => {
                pong.has_accepted &= self.disabled != DisabledGuard::AcceptedValues;
                if self.disabled == DisabledGuard::CandidateCatchUp {
                    self.ahead(&mut pong.status);
                }
                Reply::Heartbeat(pong)
            }
            other => other,
        }
    }

    fn is_voter(&self, at: usize) -> bool {
        let disk = self.machines[at].disk.acceptor.disk;
        self.invariants.voters().iter().any(|voter| voter.node == node(at) && voter.disk == disk)
    }

    pub(crate) fn tamper_call(&self, at: usize, call: Call) -> Call {
        let reuses_rounds = self.disabled == DisabledGuard::UniqueRounds && !self.is_voter(at);
        match call {
            Call::Prepare(slot, number) if reuses_rounds => {
                Call::Prepare(slot, ProposalNumber { round: 1, ..number })
            }
            Call::Accept(slot, number, value) if reuses_rounds => {
                Call::Accept(slot, ProposalNumber { round: 1, ..number }, value)
            }
            Call::Heartbeat(mut ping) if self.disabled == DisabledGuard::CandidateCatchUp => {
                self.ahead(&mut ping.status);
                Call::Heartbeat(ping)
            }
            other => other,
        }
    }
}
