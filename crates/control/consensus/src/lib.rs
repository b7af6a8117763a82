//! Single-decree Paxos, once per slot of a replicated log, without a standing leader.
//!
//! Each slot is decided by its own Paxos instance. A [`Proposer`] asks a majority of the voters to prepare, adopts the value
//! that it finds accepted under the highest proposal number, and has a majority accept it; an [`Acceptor`] is one voter's
//! part. Slot `n + 1` opens on a replica once it has applied slot `n`, so each value is checked against the state that it
//! changes, and the voters of a slot are those that the slots before it have left.
//!
//! **Voters** are a machine together with the incarnation of its disk ([`Voter`]). A machine that lost its disk comes back
//! with a new incarnation: it is no voter, its replies are counted nowhere, and it is taken in again as a new voter by a value
//! that a majority of the voters chooses. So an acceptor never forgets: whatever a voter has promised or accepted it still
//! has, or the voter is gone for good.
//!
//! **Proposal numbers** carry the incarnation of the proposer's process. A process that ends before its own disk knew of its
//! proposal would otherwise use the same number again for another value. Within a process a [`RoundAllocator`] gives each
//! proposal for a slot a round of its own.
//!
//! **Two values under one number** may still be on disks that earlier releases have written. An acceptor abstains from a second
//! value, and a proposer that is promised both waits until it knows which one a majority can have accepted.
//!
//! Free of I/O and clock. No reply of an [`Acceptor`] may leave the machine before [`Acceptor::slot_state`] is on disk.
#![forbid(unsafe_code)]

mod acceptor;
mod proposer;
mod record;
mod rounds;
mod voter;

pub use acceptor::{Acceptor, AcceptorReply, SlotState};
pub use limeway_types::{NodeId, ProcessIncarnation};
pub use proposer::{Proposer, ProposerStep};
pub use record::{LeavingReport, LeavingReports, LogRecord};
pub use rounds::RoundAllocator;
pub use voter::{DiskIncarnation, ProposalNumber, Slot, Voter};
