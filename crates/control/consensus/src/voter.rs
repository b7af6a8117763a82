//! What identifies a voter, a slot and a proposal.

use limeway_types::{NodeId, ProcessIncarnation};
use serde::{Deserialize, Serialize};

/// Index of a value in the replicated log, counted from 1.
pub type Slot = u64;
/// One incarnation of a machine's disk: 0 from the first start of the whole system, drawn at random when a disk is found empty
/// later.
pub type DiskIncarnation = u64;

/// A voter: a machine, as long as it has the disk that its promises are on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(from = "StoredVoter")]
pub struct Voter {
    /// The machine.
    #[serde(rename = "n")]
    pub node: NodeId,
    /// The incarnation of its disk.
    #[serde(rename = "l")]
    pub disk: DiskIncarnation,
}

/// A voter as it is written now, or by builds that stored machines only: their disks are of incarnation 0.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredVoter {
    Voter { n: NodeId, l: DiskIncarnation },
    Node(NodeId),
}

impl From<StoredVoter> for Voter {
    fn from(stored: StoredVoter) -> Self {
        match stored {
            StoredVoter::Voter { n, l } => Voter { node: n, disk: l },
            StoredVoter::Node(node) => Voter { node, disk: 0 },
        }
    }
}

/// The number of a proposal, unique to its proposer. Of two, the greater one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Grows with each attempt.
    pub round: u64,
    /// Who proposes.
    #[serde(rename = "node")]
    pub proposer: NodeId,
    /// The proposer's process: a restarted one may not know which numbers the last one used.
    #[serde(rename = "boot", default)]
    pub incarnation: ProcessIncarnation,
}
