//! The limiter's own history in a file, where the operators want one: what matters, with the machine's monotonic clock,
//! so that the histories of several limiters of one machine can be put together.

use limeway_event_log::{History, What};
use limeway_operator_config::History as Settings;
use rustix::time::{clock_gettime, ClockId};
use std::cell::RefCell;
use std::fs::{File, OpenOptions};

/// The file, if there is one. A write is one short line into the system's cache: it does not hold the one thread up.
#[derive(Debug, Default)]
pub struct Told(RefCell<Option<History<File>>>);

impl Told {
    /// Opens the file of a limiter of this name, behind what earlier lives wrote.
    ///
    /// # Errors
    /// One line that says which file cannot be opened.
    pub fn open(settings: &Settings, name: &str) -> Result<Self, String> {
        let Some(folder) = &settings.folder else { return Ok(Self::default()) };
        // The platform chooses the name: it must not lead out of the folder.
        let sound = |c: char| if c.is_ascii_alphanumeric() || "-_".contains(c) { c } else { '_' };
        let name: String = name.chars().map(sound).collect();
        let path = std::path::Path::new(folder).join(format!("{name}.jsonl"));
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = file.map_err(|e| format!("history.folder: {}: {e}", path.display()))?;
        Ok(Told(RefCell::new(Some(History::new(file, settings.lines as usize)))))
    }

    /// Writes down what has happened; a file that cannot be written to is said once, and left alone.
    pub fn tell(&self, what: What) {
        let mut file = self.0.borrow_mut();
        let Some(history) = file.as_mut() else { return };
        if let Err(e) = history.add(now_us(), what) {
            log::error!("the history ends here: {e}");
            *file = None;
        }
    }
}

/// Microseconds of the machine's monotonic clock, which all processes share.
fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
