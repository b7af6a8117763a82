//! Files and names in memory, with a step counted for each change: ended at any step, and brought back as a kill or a loss of
//! power may leave them.

use limeway_storage::{FileName, FileSystem};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// What a torn write keeps is whole sectors, in bytes.
const SECTOR: usize = 512;

/// What becomes of changes that were not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The process was killed: all of them are there.
    Killed,
    /// Power was lost, and all of them.
    All,
    /// Power was lost: each is there, missing or torn, as the seed has it.
    Some(u64),
}

/// What goes wrong at which steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    /// The process ends before this step.
    End(usize),
    /// These steps are refused.
    Refuse(usize, usize),
    /// One step is refused, and the process ends before a later one.
    RefuseAndEnd(usize, usize),
}

#[derive(Debug, Clone)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

fn change(file: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write(at, data) => {
            let end = *at as usize + data.len();
            if file.len() < end {
                file.resize(end, 0);
            }
            file[*at as usize..end].copy_from_slice(data);
        }
        Change::Length(len) => file.resize(*len as usize, 0),
    }
}

#[derive(Debug, Clone, Default)]
struct Content {
    live: Vec<u8>,
    synced: Vec<u8>,
    open: Vec<Change>,
}

#[derive(Debug)]
struct Inner {
    files: Vec<Content>,
    names: BTreeMap<FileName, usize>,
    synced: BTreeMap<FileName, usize>,
    open: Vec<(FileName, Option<usize>)>,
    steps: usize,
    ended: bool,
    trouble: Trouble,
}

impl Inner {
    fn step(&mut self) -> io::Result<()> {
        let at = self.steps;
        self.steps += 1;
        let (refused, end) = match self.trouble {
            Trouble::None => (false, false),
            Trouble::End(end) => (false, at == end),
            Trouble::Refuse(from, to) => ((from..to).contains(&at), false),
            Trouble::RefuseAndEnd(refused, end) => (at == refused, at == end),
        };
        self.ended |= end;
        if self.ended || refused {
            return Err(io::Error::other("refused"));
        }
        Ok(())
    }

    fn name(&mut self, name: FileName, to: Option<usize>) {
        match to {
            Some(id) => self.names.insert(name, id),
            None => self.names.remove(&name),
        };
        self.open.push((name, to));
    }
}

/// The folder.
#[derive(Debug, Clone)]
pub(crate) struct Sim(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Handle(Sim, usize);

/// Rng by a seed (xorshift).
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

impl Sim {
    pub(crate) fn new(trouble: Trouble) -> Self {
        Sim(Arc::new(Mutex::new(Inner {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced: BTreeMap::new(),
            open: Vec::new(),
            steps: 0,
            ended: false,
            trouble,
        })))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Steps so far.
    pub(crate) fn steps(&self) -> usize {
        self.inner().steps
    }

    /// The file in use, made if it is not there.
    pub(crate) fn file(&self) -> impl StorageBackend {
        let mut inner = self.inner();
        inner.files.push(Content::default());
        inner.names.insert(FileName::Primary, 0);
        inner.synced.insert(FileName::Primary, 0);
        Handle(self.clone(), 0)
    }

    /// Whether a spoilt file was kept.
    pub(crate) fn aside(&self) -> bool {
        self.inner().names.contains_key(&FileName::Quarantined)
    }

    /// Whether the process has ended.
    pub(crate) fn ended(&self) -> bool {
        self.inner().ended
    }

    /// The folder as the next process finds it.
    pub(crate) fn after(&self, loss: Loss, trouble: Trouble) -> Sim {
        let inner = self.inner();
        let mut dice = Dice(match loss {
            Loss::Some(seed) => seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            _ => 1,
        });
        let mut files = inner.files.clone();
        for file in &mut files {
            let mut kept = match loss {
                Loss::Killed => file.live.clone(),
                _ => file.synced.clone(),
            };
            if let Loss::Some(_) = loss {
                for one in &file.open {
                    match (dice.roll(3), one) {
                        (0, one) => change(&mut kept, one),
                        (1, Change::Write(at, data)) => {
                            // Torn: sectors by themselves.
                            for (n, part) in data.chunks(SECTOR).enumerate() {
                                if dice.roll(2) == 0 {
                                    let at = at + (n * SECTOR) as u64;
                                    change(&mut kept, &Change::Write(at, part.to_vec()));
                                }
                            }
                        }
                        _ => {}
                    }
                }
            }
            *file = Content { live: kept.clone(), synced: kept, open: Vec::new() };
        }
        let mut names = if loss == Loss::Killed { inner.names.clone() } else { inner.synced.clone() };
        if let Loss::Some(_) = loss {
            for (name, to) in &inner.open {
                match (dice.roll(2), to) {
                    (0, Some(id)) => drop(names.insert(*name, *id)),
                    (0, None) => drop(names.remove(name)),
                    _ => {}
                }
            }
        }
        let (synced, open) = (names.clone(), Vec::new());
        Sim(Arc::new(Mutex::new(Inner { files, names, synced, open, steps: 0, ended: false, trouble })))
    }
}

impl FileSystem for Sim {
    fn exists(&self, name: FileName) -> io::Result<bool> {
        let inner = self.inner();
        Ok(inner.names.get(&name).is_some_and(|id| !inner.files[*id].live.is_empty()))
    }

    fn open(&self, name: FileName) -> io::Result<Box<dyn StorageBackend>> {
        let mut inner = self.inner();
        let id = match inner.names.get(&name) {
            Some(id) => *id,
            None => {
                inner.step()?;
                inner.files.push(Content::default());
                let id = inner.files.len() - 1;
                inner.name(name, Some(id));
                id
            }
        };
        drop(inner);
        Ok(Box::new(Handle(self.clone(), id)))
    }

    fn quarantine(&self, name: FileName) -> io::Result<()> {
        let mut inner = self.inner();
        inner.step()?;
        let id = inner.names.get(&name).copied();
        inner.name(name, None);
        inner.name(FileName::Quarantined, id);
        Ok(())
    }

    fn remove(&self, name: FileName) -> io::Result<()> {
        let mut inner = self.inner();
        if inner.names.contains_key(&name) {
            inner.step()?;
            inner.name(name, None);
        }
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.step()?;
        inner.synced = inner.names.clone();
        inner.open.clear();
        Ok(())
    }
}

impl Handle {
    fn change(&self, one: Change) -> io::Result<()> {
        let mut inner = self.0.inner();
        inner.step()?;
        let file = &mut inner.files[self.1];
        change(&mut file.live, &one);
        file.open.push(one);
        Ok(())
    }
}

impl StorageBackend for Handle {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.inner().files[self.1].live.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let inner = self.0.inner();
        if inner.ended {
            return Err(io::Error::other("ended"));
        }
        let bytes = inner.files[self.1].live.get(offset as usize..offset as usize + len);
        bytes.map(<[u8]>::to_vec).ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(Change::Length(len))
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let mut inner = self.0.inner();
        inner.step()?;
        let file = &mut inner.files[self.1];
        for one in std::mem::take(&mut file.open) {
            change(&mut file.synced, &one);
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Write(offset, data.to_vec()))
    }
}
