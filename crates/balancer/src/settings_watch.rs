//! Watches the settings file: it is read again at SIGHUP, and when it has changed without one.

use crate::process;
use limeway_settings::{Settings, VARIABLE};
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::Signal;

/// The file may change without a signal: its time of change is looked at this often.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Watches the file for ever, and hands on what it says. An invalid one changes nothing.
pub(crate) async fn watch_settings(mut reload: Signal, changed: impl Fn(Settings)) {
    let Some(path) = std::env::var_os(VARIABLE).map(PathBuf::from) else { return };
    let modified = || std::fs::metadata(&path).and_then(|m| m.modified()).ok();
    let mut last = modified();
    loop {
        let signalled = tokio::time::timeout(FILE_CHECK_INTERVAL, reload.recv()).await.is_ok();
        let current = modified();
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
