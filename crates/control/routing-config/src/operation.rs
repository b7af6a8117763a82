//! The operations of the replicated state machine.

use crate::{ConfigUpdate, Item, ItemKind, Version};
use limeway_consensus::Voter;
use limeway_types::NodeId;
use serde::{Deserialize, Serialize};

/// One chosen operation. Variants and fields keep the names that state files and messages have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// A change of the voters, from the next slot on.
    #[serde(rename = "Core")]
    SetVoters {
        /// The new voters.
        #[serde(rename = "seats")]
        voters: Vec<Voter>,
        /// Machines that were voters not long ago: they may still hold role leases.
        #[serde(rename = "former")]
        former_voters: Vec<NodeId>,
    },
    /// A change of the configuration; its fields are those of [`ConfigUpdate`].
    #[serde(rename = "Config")]
    UpdateConfig {
        /// The version that it creates.
        version: Version,
        /// The version that it builds on.
        #[serde(rename = "base")]
        base_version: Version,
        /// It replaces the whole configuration.
        #[serde(rename = "whole")]
        replace: bool,
        /// The items to create or change.
        #[serde(rename = "set")]
        upserts: Vec<Item>,
        /// The items to remove.
        #[serde(rename = "drop")]
        removals: Vec<(ItemKind, String)>,
        /// Digest of the update as the operator sent it, whatever form the operation has.
        digest: u128,
    },
    /// A change of the gateways that may lease quota.
    #[serde(rename = "Doors")]
    SetGateways {
        /// Gateways that may lease quota from now on.
        add: Vec<NodeId>,
        /// Gateways that have been away for too long to hold any.
        #[serde(rename = "drop")]
        remove: Vec<NodeId>,
    },
    /// A call about a zone: nothing more is sent to its servers, or that is taken back.
    Evacuate {
        /// The zone.
        zone: String,
        /// The evacuation starts; otherwise it ends.
        #[serde(rename = "begun")]
        starts: bool,
        /// The id of the call; 0 for a call that carries none.
        #[serde(rename = "mark", default)]
        call_id: u64,
        /// The open call that this one is taken to be a retry of; 0 for a new one.
        #[serde(rename = "again", default)]
        retry_of: u64,
        /// The machine that answers the call, with the disk on which it records that; none if it has no disk.
        #[serde(rename = "by", default, skip_serializing_if = "Option::is_none")]
        taken_by: Option<Voter>,
    },
    /// The evacuation call with this id has been answered, or is not retried any more.
    #[serde(rename = "Answered")]
    CloseCall(u64),
}

impl From<ConfigUpdate> for Operation {
    fn from(update: ConfigUpdate) -> Self {
        Operation::UpdateConfig {
            version: update.version,
            base_version: update.base_version,
            replace: update.replace,
            upserts: update.upserts,
            removals: update.removals,
            digest: update.digest,
        }
    }
}
