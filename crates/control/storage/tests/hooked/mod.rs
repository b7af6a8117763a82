//! A real directory with a hook that runs before each call that changes it: to count, to hold up, or to refuse.

use limeway_storage::{Directory, FileName, FileSystem, StorageBackend};
use std::fmt::Debug;
use std::io;

/// What happens before a call. An error is the call's result, and nothing is done then.
pub(crate) trait Hook: Debug + Clone + Send + Sync + 'static {
    /// Before a file is opened, quarantined or removed, and before the directory is synced.
    fn before_directory_call(&self) -> io::Result<()> {
        Ok(())
    }

    /// Before a file gets a new length, in bytes.
    fn before_set_length(&self, _length: u64) -> io::Result<()> {
        Ok(())
    }

    /// Before a file is synced.
    fn before_sync(&self) -> io::Result<()> {
        Ok(())
    }

    /// Before so many bytes are written.
    fn before_write(&self, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
}

/// A directory and its hook.
pub(crate) struct Hooked<H>(pub Directory, pub H);

#[derive(Debug)]
struct HookedFile<H>(Box<dyn StorageBackend>, H);

impl<H: Hook> FileSystem for Hooked<H> {
    fn exists(&self, name: FileName) -> io::Result<bool> {
        self.0.exists(name)
    }

    fn open(&self, name: FileName) -> io::Result<Box<dyn StorageBackend>> {
        self.1.before_directory_call()?;
        Ok(Box::new(HookedFile(self.0.open(name)?, self.1.clone())))
    }

    fn quarantine(&self, name: FileName) -> io::Result<()> {
        self.1.before_directory_call()?;
        self.0.quarantine(name)
    }

    fn remove(&self, name: FileName) -> io::Result<()> {
        self.1.before_directory_call()?;
        self.0.remove(name)
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.1.before_directory_call()?;
        self.0.sync_directory()
    }
}

impl<H: Hook> StorageBackend for HookedFile<H> {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.1.before_set_length(len)?;
        self.0.set_len(len)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.1.before_sync()?;
        self.0.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.1.before_write(data.len())?;
        self.0.write(offset, data)
    }
}
