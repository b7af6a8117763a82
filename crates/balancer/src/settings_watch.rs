//! Watches the settings file: it is read again at SIGHUP, and when it has changed without one.

use crate::process;
use limeway_settings::Settings;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::Signal;

/// The file may change without a signal: its content is looked at this often.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Watches the file for ever, and hands on what it says when that has changed. An invalid one changes nothing.
pub(crate) async fn watch_settings(path: PathBuf, mut reload: Signal, changed: impl Fn(Settings)) {
    // The content tells, not its time of change: two writes may have one time.
    let mut last = std::fs::read(&path).ok();
    loop {
        let signalled = tokio::time::timeout(FILE_CHECK_INTERVAL, reload.recv()).await.is_ok();
        let current = std::fs::read(&path).ok();
        if !signalled && current == last {
            continue;
        }
        last = current;
        match process::settings(&path) {
            Ok(settings) => changed(settings),
            Err(e) => log::warn!("changed settings are invalid, kept the old ones: {e:?}"),
        }
    }
}
