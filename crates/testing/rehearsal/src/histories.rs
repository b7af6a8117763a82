//! Limiters' own histories: asked for by the operators' file, and put into the ledger's time.

use crate::KitError;
use limeway_checker::ledger::Record;
use limeway_event_log::read;
use limeway_test_services::Clock;
use rustix::time::{clock_gettime, ClockId};
use std::fs;
use std::path::{Path, PathBuf};

fn error(path: &Path) -> impl Fn(std::io::Error) -> KitError + '_ {
    |e| KitError::File(path.display().to_string(), e)
}

/// Writes an operators' file that says what the given one says, and asks for histories in the folder.
pub(crate) fn ask_for(folder: &Path, given: Option<&Path>) -> Result<PathBuf, KitError> {
    let text = match given {
        Some(path) => fs::read_to_string(path).map_err(error(path))?,
        None => String::new(),
    };
    // One that asks for histories itself cannot have them here too.
    if text.lines().any(|l| l.trim() == "[history]") {
        return Err(KitError::Setup(
            "the operators' file has a section [history]: the kit keeps histories itself".into(),
        ));
    }
    let path = folder.join("operator.toml");
    // A basic string of TOML is worded as JSON's.
    let place = serde_json::Value::from(folder.display().to_string());
    fs::write(&path, format!("{text}\n[history]\nfolder = {place}\n")).map_err(error(&path))?;
    Ok(path)
}

/// Reads the histories of so many limiters.
pub(crate) fn gather(folder: &Path, clock: &Clock, limiters: u32) -> Result<Vec<Record>, KitError> {
    let now = clock_gettime(ClockId::Monotonic);
    let now = now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000;
    // The run's clock began so long after the machine's.
    let ahead = now.saturating_sub(clock.now());
    let mut records = Vec::new();
    for limiter in 0..limiters {
        let path = folder.join(format!("n{limiter}.jsonl"));
        // A program that keeps none is none the worse for it.
        let Ok(text) = fs::read_to_string(&path) else { continue };
        let lines = read(&text).map_err(|e| KitError::Setup(format!("{}: {e}", path.display())))?;
        records.extend(lines.into_iter().map(|line| Record::Said {
            t: line.t_us.saturating_sub(ahead),
            limiter,
            what: line.what,
        }));
    }
    Ok(records)
}
