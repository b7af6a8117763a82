//! What a core machine keeps on disk: its part in ballots, and the state that the ballots have made.
//!
//! One `redb` file with one table of blobs. Each write is one transaction that is on disk when the call returns. A file of
//! another format or one that cannot be opened is set aside under another name and **never** taken for an empty one: the
//! machine then counts as one that lost its disk.
#![forbid(unsafe_code)]

use error_stack::{Report, ResultExt};
use limeway_ballot::{Acceptor, Life, Node, Open, Slot};
use redb::{Database, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::{Path, PathBuf};

/// Version of the file's format.
const FORMAT: u32 = 1;
/// Name of the file.
const FILE: &str = "state.redb";
/// Memory that the file's pages may take, in bytes: memory is dear, the state is small.
const CACHE: usize = 256 * 1024;
const TABLE: TableDefinition<'static, &'static str, &'static [u8]> = TableDefinition::new("state");

/// Why the disk cannot be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VaultError {
    /// The file cannot be opened or made.
    Open,
    /// A write did not reach the disk.
    Write,
    /// What is there cannot be read.
    Read,
}

impl fmt::Display for VaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VaultError::Open => "the state file cannot be opened",
            VaultError::Write => "a write did not reach the disk",
            VaultError::Read => "the state file cannot be read",
        })
    }
}

impl std::error::Error for VaultError {}

#[derive(Serialize, Deserialize)]
struct Identity {
    format: u32,
    node: Node,
    own: Life,
}

#[derive(Serialize, Deserialize)]
struct Votes {
    applied: Slot,
    open: Open,
}

/// The open file.
pub struct Vault {
    db: Database,
    path: PathBuf,
}

/// What was found on disk at the start.
pub struct Found {
    /// The machine's part in ballots.
    pub acceptor: Acceptor,
    /// The state that the slots up to `acceptor.applied` have made; empty before the first.
    pub state: Vec<u8>,
    /// Nothing was there: a new machine, or one that lost its disk.
    pub empty: bool,
}

fn pack(value: &impl Serialize) -> Result<Vec<u8>, Report<VaultError>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).change_context(VaultError::Write)?;
    Ok(bytes)
}

fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Report<VaultError>> {
    ciborium::from_reader(bytes).change_context(VaultError::Read)
}

impl Vault {
    /// Opens the file in `folder`, or makes one for `node` with the incarnation `fresh`.
    pub fn open(folder: &Path, node: Node, fresh: Life) -> Result<(Self, Found), Report<VaultError>> {
        std::fs::create_dir_all(folder).change_context(VaultError::Open)?;
        let path = folder.join(FILE);
        // The library ends the process on some torn files, which would end every later start as well.
        let loaded = std::panic::catch_unwind(|| Self::load(&path, node))
            .unwrap_or_else(|_| Err(Report::new(VaultError::Read).attach("torn")));
        match loaded {
            Ok(Some(all)) => return Ok(all),
            Ok(None) => {}
            Err(e) => {
                // Torn or foreign: kept for whoever looks into it, and not used.
                let aside = folder.join(format!("{FILE}.aside"));
                log::error!("state file set aside: {e:?}");
                std::fs::rename(&path, aside).change_context(VaultError::Open)?;
            }
        }
        let db = Self::builder().create(&path).change_context(VaultError::Open)?;
        let vault = Vault { db, path };
        let acceptor = Acceptor { life: fresh, ..Acceptor::default() };
        vault.put(&[("identity", pack(&Identity { format: FORMAT, node, own: fresh })?)])?;
        // The new name lasts once its folder is on disk.
        if let Ok(folder) = std::fs::File::open(folder) {
            folder.sync_all().change_context(VaultError::Write)?;
        }
        Ok((vault, Found { acceptor, state: Vec::new(), empty: true }))
    }

    fn builder() -> redb::Builder {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE);
        builder
    }

    fn load(path: &Path, node: Node) -> Result<Option<(Self, Found)>, Report<VaultError>> {
        if !path.exists() {
            return Ok(None);
        }
        let db = Self::builder().open(path).change_context(VaultError::Open)?;
        let read = db.begin_read().change_context(VaultError::Read)?;
        let table = match read.open_table(TABLE) {
            Ok(table) => table,
            // Made, but its first write did not reach the disk.
            Err(redb::TableError::TableDoesNotExist(_)) => return Err(Report::new(VaultError::Read)),
            Err(e) => return Err(Report::new(e).change_context(VaultError::Read)),
        };
        let get = |name: &str| -> Result<Option<Vec<u8>>, Report<VaultError>> {
            Ok(table.get(name).change_context(VaultError::Read)?.map(|v| v.value().to_vec()))
        };
        let identity: Identity =
            unpack(&get("identity")?.ok_or_else(|| Report::new(VaultError::Read).attach("no identity"))?)?;
        if identity.format != FORMAT || identity.node != node {
            return Err(Report::new(VaultError::Read).attach("another format or another machine's file"));
        }
        let mut acceptor = Acceptor { life: identity.own, ..Acceptor::default() };
        let mut empty = true;
        if let Some(votes) = get("votes")? {
            let votes: Votes = unpack(&votes)?;
            acceptor.applied = votes.applied;
            acceptor.open = votes.open;
            empty = false;
        }
        let state = get("state")?.unwrap_or_default();
        drop(table);
        drop(read);
        Ok(Some((Vault { db, path: path.to_owned() }, Found { acceptor, state, empty })))
    }

    fn put(&self, rows: &[(&str, Vec<u8>)]) -> Result<(), Report<VaultError>> {
        let write = self.db.begin_write().change_context(VaultError::Write)?;
        {
            let mut table = write.open_table(TABLE).change_context(VaultError::Write)?;
            for (name, bytes) in rows {
                table.insert(*name, bytes.as_slice()).change_context(VaultError::Write)?;
            }
        }
        write.commit().change_context(VaultError::Write)
    }

    fn votes(acceptor: &Acceptor) -> Result<Vec<u8>, Report<VaultError>> {
        pack(&Votes { applied: acceptor.applied, open: acceptor.open.clone() })
    }

    /// Writes the part in ballots.
    pub fn keep_votes(&self, acceptor: &Acceptor) -> Result<(), Report<VaultError>> {
        self.put(&[("votes", Self::votes(acceptor)?)])
    }

    /// Writes the part in ballots and the state of the slots applied, together.
    pub fn keep_all(&self, acceptor: &Acceptor, state: Vec<u8>) -> Result<(), Report<VaultError>> {
        self.put(&[("votes", Self::votes(acceptor)?), ("state", state)])
    }

    /// Opens the file anew after a write that failed: `redb` takes no more writes then.
    pub fn again(&mut self) -> Result<(), Report<VaultError>> {
        // Two handles on one file must not be open at once; a placeholder in memory takes its place meanwhile.
        let memory = Self::builder().create_with_backend(redb::backends::InMemoryBackend::new());
        self.db = memory.change_context(VaultError::Open)?;
        self.db = Self::builder().open(&self.path).change_context(VaultError::Open)?;
        Ok(())
    }
}
