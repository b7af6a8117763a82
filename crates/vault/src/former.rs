//! Calls for a core machine that still writes its whole state with each slot. They go once it writes records.

use crate::{Folder, Record, Vault, VaultError, Votes};
use error_stack::Report;
use limeway_ballot::{Acceptor, Incarnation, Node};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// What the part in ballots held besides [`Votes`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Former {
    /// The lives that others were found in, after they lost their disks.
    pub known: BTreeMap<Node, Incarnation>,
    /// Whether this machine may vote.
    pub votes: bool,
}

impl Former {
    /// Takes a part in ballots apart; a state becomes a snapshot at the slot applied.
    pub fn split(acceptor: &Acceptor, state: Option<Vec<u8>>) -> (Record, Self) {
        let votes = Votes { life: acceptor.own, applied: acceptor.applied, open: acceptor.open.clone() };
        let record = Record { votes, ops: Vec::new(), snapshot: state.map(|s| (acceptor.applied, s)) };
        (record, Former { known: acceptor.known.clone(), votes: acceptor.votes })
    }
}

/// A part in ballots, the state of the slots applied, and whether the disk was empty.
pub type FormerFound = (Acceptor, Vec<u8>, bool);

impl Vault {
    /// [`Vault::open`] for such a machine. It cannot use a log: a file with operations in it is an error.
    pub fn open_former(
        folder: &Path,
        node: Node,
        fresh: Incarnation,
    ) -> Result<(Self, FormerFound), Report<VaultError>> {
        let (vault, found) = Vault::open(Folder::new(folder), node, fresh)?;
        if !found.ops.is_empty() {
            return Err(Report::new(VaultError::Read).attach("a log"));
        }
        let former = vault.former.clone().unwrap_or_default();
        let acceptor = Acceptor {
            applied: found.votes.applied,
            open: found.votes.open,
            own: found.votes.life,
            known: former.known,
            votes: former.votes,
        };
        Ok((vault, (acceptor, found.snapshot.map(|s| s.1).unwrap_or_default(), found.empty)))
    }

    /// Writes the part in ballots.
    pub fn keep_votes(&mut self, acceptor: &Acceptor) -> Result<(), Report<VaultError>> {
        let (record, former) = Former::split(acceptor, None);
        self.write_former(&[(record, Some(former))]).pop().unwrap_or(Ok(())).map_err(Report::new)
    }

    /// Writes the part in ballots and the state of the slots applied, together.
    pub fn keep_all(&mut self, acceptor: &Acceptor, state: Vec<u8>) -> Result<(), Report<VaultError>> {
        let (record, former) = Former::split(acceptor, Some(state));
        self.write_former(&[(record, Some(former))]).pop().unwrap_or(Ok(())).map_err(Report::new)
    }

    /// [`Vault::write_all`] with what the part in ballots held besides.
    pub fn write_former(&mut self, records: &[(Record, Option<Former>)]) -> Vec<Result<(), VaultError>> {
        let rows: Vec<_> = records.iter().map(|(record, former)| (record, former.as_ref())).collect();
        self.write_rows(&rows)
    }
}
