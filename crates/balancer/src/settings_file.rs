//! The settings file of a process: read at the start, and again at SIGHUP or when it has changed without one.

use error_stack::{Report, ResultExt};
use limeway_settings::Settings;
use limeway_types::Micros;
use std::cell::Cell;
use std::fmt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;

/// The file may change without a signal: its content is looked at this often.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// How long a file that cannot be used is read again at the start.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before it is read again.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a settings file cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsFileError {
    /// It cannot be read.
    Unreadable,
    /// What it says is invalid.
    Invalid,
}

impl fmt::Display for SettingsFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SettingsFileError::Unreadable => "the settings file cannot be read",
            SettingsFileError::Invalid => "the settings cannot be used",
        })
    }
}

impl std::error::Error for SettingsFileError {}

/// Reads a settings file.
///
/// # Errors
/// It cannot be read, or is invalid.
pub fn read(path: &Path) -> Result<Settings, Report<SettingsFileError>> {
    parse(&std::fs::read_to_string(path).change_context(SettingsFileError::Unreadable)?)
}

fn parse(text: &str) -> Result<Settings, Report<SettingsFileError>> {
    Settings::read(text).change_context(SettingsFileError::Invalid)
}

/// A settings file, with its content as it was read last.
pub struct SettingsFile {
    path: PathBuf,
    /// None if it could not be read.
    content: Option<String>,
}

impl SettingsFile {
    /// Reads a settings file. Changes to it are told from what was read here. One that cannot be used may be being written at this
    /// moment: it is read again for a second.
    ///
    /// # Errors
    /// It cannot be read, or is invalid.
    pub fn open(path: PathBuf) -> Result<(Self, Settings), Report<SettingsFileError>> {
        let started = Instant::now();
        loop {
            match Self::open_once(&path) {
                Err(_) if started.elapsed() < OPEN_TIMEOUT => std::thread::sleep(OPEN_RETRY_DELAY),
                opened => return opened,
            }
        }
    }

    fn open_once(path: &Path) -> Result<(Self, Settings), Report<SettingsFileError>> {
        let content = std::fs::read_to_string(path).change_context(SettingsFileError::Unreadable)?;
        let settings = parse(&content)?;
        Ok((SettingsFile { path: path.to_owned(), content: Some(content) }, settings))
    }

    /// Reads the file again. None if it says what it said, unless that `must_be_told` all the same.
    fn read_again(&mut self, must_be_told: bool) -> Option<Result<Settings, Report<SettingsFileError>>> {
        let read = std::fs::read_to_string(&self.path).change_context(SettingsFileError::Unreadable);
        let content = read.as_ref().ok().cloned();
        // The content tells, not its time of change: two writes may have one time.
        let is_changed = content != self.content;
        self.content = content;
        (is_changed || must_be_told).then(|| parse(&read?))
    }
}

/// The grace period that a settings file states.
pub(crate) struct GracePeriod {
    path: PathBuf,
    last: Rc<Cell<Micros>>,
}

impl GracePeriod {
    /// What the file says now, told or not; what it said last if it cannot be used.
    pub(crate) fn read(&self) -> Micros {
        read(&self.path).map_or(self.last.get(), |settings| settings.bounds.grace_period)
    }
}

/// Watches the file from now on, and hands on what it says when that has changed. An invalid one changes nothing.
pub(crate) fn spawn_watch(
    file: SettingsFile,
    reload: Signal,
    current: &Settings,
    changed: impl Fn(Settings) + 'static,
) -> GracePeriod {
    let last = Rc::new(Cell::new(current.bounds.grace_period));
    let grace_period = GracePeriod { path: file.path.clone(), last: last.clone() };
    tokio::task::spawn_local(watch(file, reload, move |settings| {
        last.set(settings.bounds.grace_period);
        changed(settings);
    }));
    grace_period
}

async fn watch(mut file: SettingsFile, mut reload: Signal, changed: impl Fn(Settings)) {
    loop {
        let signalled = tokio::time::timeout(CHECK_INTERVAL, reload.recv()).await.is_ok();
        match file.read_again(signalled) {
            Some(Ok(settings)) => changed(settings),
            Some(Err(e)) => log::warn!("changed settings are invalid, kept the old ones: {e:?}"),
            None => {}
        }
    }
}
