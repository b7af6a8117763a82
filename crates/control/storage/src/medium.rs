//! Where the files lie: a folder, or what a test puts in its place.

use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// A name in the folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Name {
    /// The file in use, or the one that takes its place.
    First,
    /// The same: a new file gets the name that the old one has not.
    Second,
    /// A spoilt one, kept for whoever looks into it.
    Aside,
}

impl Name {
    /// The name of the file that takes this one's place.
    pub(crate) fn other(self) -> Self {
        if self == Name::First {
            Name::Second
        } else {
            Name::First
        }
    }
}

/// Where the files lie.
pub trait Medium: Send {
    /// Whether there is a file of this name with anything in it.
    fn exists(&self, name: Name) -> io::Result<bool>;
    /// Opens a file; makes an empty one if there is none.
    fn open(&self, name: Name) -> io::Result<Box<dyn StorageBackend>>;
    /// Renames a file to [`Name::Aside`], in the place of any other of that name.
    fn set_aside(&self, name: Name) -> io::Result<()>;
    /// Removes a file, if it is there.
    fn remove(&self, name: Name) -> io::Result<()>;
    /// Syncs the folder: all names last once it returns.
    fn settle(&self) -> io::Result<()>;
}

/// A folder on disk.
#[derive(Debug, Clone)]
pub struct Folder(PathBuf);

impl Folder {
    /// The folder at a path; it is made when the file is.
    pub fn new(path: &Path) -> Self {
        Folder(path.to_owned())
    }

    fn path(&self, name: Name) -> PathBuf {
        self.0.join(match name {
            Name::First => "state.redb",
            Name::Second => "state.redb.2",
            Name::Aside => "state.redb.aside",
        })
    }
}

impl Medium for Folder {
    fn exists(&self, name: Name) -> io::Result<bool> {
        match std::fs::metadata(self.path(name)) {
            Ok(file) => Ok(file.len() > 0),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
            Err(e) => Err(e),
        }
    }

    fn open(&self, name: Name) -> io::Result<Box<dyn StorageBackend>> {
        if !self.0.try_exists()? {
            std::fs::create_dir_all(&self.0)?;
            if let Some(above) = self.0.parent().filter(|p| !p.as_os_str().is_empty()) {
                File::open(above)?.sync_all()?;
            }
        }
        let path = self.path(name);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        Ok(Box::new(FileBackend::new(file).map_err(io::Error::other)?))
    }

    fn set_aside(&self, name: Name) -> io::Result<()> {
        std::fs::rename(self.path(name), self.path(Name::Aside))
    }

    fn remove(&self, name: Name) -> io::Result<()> {
        match std::fs::remove_file(self.path(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn settle(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// What the database did to a file.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    refused: AtomicBool,
    size: AtomicU64,
}

impl Seen {
    /// The disk has refused something: without that, an error means that the file itself is spoilt.
    pub fn refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    /// The file's size, in bytes.
    pub fn size(&self) -> u64 {
        self.size.load(Ordering::Relaxed)
    }
}

/// A file as the database sees it.
#[derive(Debug)]
pub(crate) struct Watched {
    inner: Box<dyn StorageBackend>,
    seen: Arc<Seen>,
}

impl Watched {
    pub fn new(inner: Box<dyn StorageBackend>) -> (Self, Arc<Seen>) {
        let seen = Arc::new(Seen::default());
        (Watched { inner, seen: seen.clone() }, seen)
    }

    fn note<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if result.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::UnexpectedEof) {
            self.seen.refused.store(true, Ordering::Relaxed);
        }
        result
    }
}

impl StorageBackend for Watched {
    fn len(&self) -> io::Result<u64> {
        let len = self.note(self.inner.len())?;
        self.seen.size.store(len, Ordering::Relaxed);
        Ok(len)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.note(self.inner.read(offset, len))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        // A length that is lost where a later write is kept makes a file that the library cannot open.
        self.note(self.inner.set_len(len).and_then(|()| self.inner.sync_data(false)))?;
        self.seen.size.store(len, Ordering::Relaxed);
        Ok(())
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.note(self.inner.sync_data(eventual))
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.note(self.inner.write(offset, data))
    }
}
