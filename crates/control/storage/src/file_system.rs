//! Where the state file is: a directory, or what a test puts in its place.

use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// A name in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileName {
    /// The file in use, or the one that replaces it.
    Primary,
    /// The same: a new file gets the name that the old one has not.
    Alternate,
    /// A corrupt file, kept for whoever looks into it.
    Quarantined,
}

impl FileName {
    /// The name of the file that replaces this one.
    pub(crate) fn other(self) -> Self {
        if self == FileName::Primary {
            FileName::Alternate
        } else {
            FileName::Primary
        }
    }
}

/// Access to the directory of the state file.
pub trait FileSystem: Send {
    /// Whether there is a file of this name with anything in it.
    fn exists(&self, name: FileName) -> io::Result<bool>;
    /// Opens a file; makes an empty one if there is none.
    fn open(&self, name: FileName) -> io::Result<Box<dyn StorageBackend>>;
    /// Renames a file to [`FileName::Quarantined`], replacing any other of that name.
    fn quarantine(&self, name: FileName) -> io::Result<()>;
    /// Removes a file, if it is there.
    fn remove(&self, name: FileName) -> io::Result<()>;
    /// Syncs the directory: all names are durable once it returns.
    fn sync_directory(&self) -> io::Result<()>;
}

/// A directory on disk.
#[derive(Debug, Clone)]
pub struct Directory(PathBuf);

impl Directory {
    /// The directory at a path; it is made when the file is.
    pub fn new(path: &Path) -> Self {
        Directory(path.to_owned())
    }

    fn path(&self, name: FileName) -> PathBuf {
        self.0.join(match name {
            FileName::Primary => "state.redb",
            FileName::Alternate => "state.redb.2",
            FileName::Quarantined => "state.redb.aside",
        })
    }
}

impl FileSystem for Directory {
    fn exists(&self, name: FileName) -> io::Result<bool> {
        match std::fs::metadata(self.path(name)) {
            Ok(file) => Ok(file.len() > 0),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
            Err(e) => Err(e),
        }
    }

    fn open(&self, name: FileName) -> io::Result<Box<dyn StorageBackend>> {
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

    fn quarantine(&self, name: FileName) -> io::Result<()> {
        std::fs::rename(self.path(name), self.path(FileName::Quarantined))
    }

    fn remove(&self, name: FileName) -> io::Result<()> {
        match std::fs::remove_file(self.path(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// What the database did to a file, as seen from outside of it.
#[derive(Debug, Default)]
pub(crate) struct FileStats {
    refused: AtomicBool,
    size: AtomicU64,
}

impl FileStats {
    /// The disk has refused something: without that, an error means that the file itself is corrupt.
    pub(crate) fn refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    /// The file's size, in bytes.
    pub(crate) fn size(&self) -> u64 {
        self.size.load(Ordering::Relaxed)
    }
}

/// A file as the database sees it; it notes what the disk refuses.
#[derive(Debug)]
pub(crate) struct ObservedFile {
    inner: Box<dyn StorageBackend>,
    stats: Arc<FileStats>,
}

impl ObservedFile {
    pub(crate) fn new(inner: Box<dyn StorageBackend>) -> (Self, Arc<FileStats>) {
        let stats = Arc::new(FileStats::default());
        (ObservedFile { inner, stats: stats.clone() }, stats)
    }

    fn observe<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if result.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::UnexpectedEof) {
            self.stats.refused.store(true, Ordering::Relaxed);
        }
        result
    }
}

impl StorageBackend for ObservedFile {
    fn len(&self) -> io::Result<u64> {
        let len = self.observe(self.inner.len())?;
        self.stats.size.store(len, Ordering::Relaxed);
        Ok(len)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.observe(self.inner.read(offset, len))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        // A length that is lost where a later write is kept makes a file that the database cannot open.
        self.observe(self.inner.set_len(len).and_then(|()| self.inner.sync_data(false)))?;
        self.stats.size.store(len, Ordering::Relaxed);
        Ok(())
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.observe(self.inner.sync_data(eventual))
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.observe(self.inner.write(offset, data))
    }
}
