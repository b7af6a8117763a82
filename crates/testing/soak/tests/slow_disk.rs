//! A disk that takes its time does not hold up the soak's event loop. A named pipe stands for it: it takes nothing until it is read.

use limeway_soak::cluster::Cluster;
use limeway_soak::layout::Layout;
use rustix::fs::{mkfifoat, Mode, CWD};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::Duration;
use tokio::task::{spawn_local, yield_now, JoinHandle, LocalSet};

/// Turns of the event loop while the disk takes nothing.
const TURNS: usize = 1_000;
/// If the event loop has stood still for so long, it waits for the disk.
const HELD_UP: Duration = Duration::from_secs(10);
/// The second byte of addresses at which nothing listens.
const NET: u8 = 195;
/// The machine.
const MACHINE: usize = 0;

/// A cluster of processes that end at once; the settings file of [`MACHINE`] is a pipe. With its folder and that pipe.
fn cluster(name: &str) -> (Rc<Cluster>, PathBuf, PathBuf) {
    let folder = std::env::temp_dir().join(format!("limeway-soak-{name}-{}", std::process::id()));
    let cluster = Cluster::new(Path::new("true"), &folder, NET, Layout::SMALL, 1).expect("a folder");
    let pipe = folder.join(format!("settings-{MACHINE}"));
    mkfifoat(CWD, &pipe, Mode::RUSR | Mode::WUSR).expect("a pipe");
    (cluster, folder, pipe)
}

/// Begins something that waits for the disk, and something else that waits for that. Returns what was written.
fn play<First: 'static, Second: 'static>(
    pipe: PathBuf,
    first: impl FnOnce() -> JoinHandle<First>,
    second: impl FnOnce() -> JoinHandle<Second>,
) -> (First, Second, String) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let (turned, has_turned) = channel();
    let disk = std::thread::spawn(move || {
        let turned = has_turned.recv_timeout(HELD_UP).is_ok();
        (turned, std::fs::read_to_string(pipe).expect("settings"))
    });
    let ends = LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (first, second) = (first(), second());
        for _ in 0..TURNS {
            yield_now().await;
        }
        assert!(!first.is_finished() && !second.is_finished(), "they wait for the disk");
        let _ = turned.send(());
        (first.await.expect("no panic"), second.await.expect("no panic"))
    });
    let (turned, text) = disk.join().expect("a reader");
    assert!(turned, "the event loop stood still");
    (ends.0, ends.1, text)
}

#[test]
fn a_start_waits_for_the_disk_and_a_kill_for_the_start() {
    let (cluster, folder, pipe) = cluster("start");
    let (starting, killing) = (cluster.clone(), cluster.clone());
    let (started, (), text) = play(
        pipe,
        || spawn_local(async move { starting.start(MACHINE, true).await }),
        || spawn_local(async move { killing.kill_all(MACHINE..MACHINE + 1).await }),
    );
    started.expect("started");
    assert!(text.contains("initial-start=true"), "{text}");
    assert_eq!(cluster.starts().values().sum::<u64>(), 1);
    // The kill found the process that was being started: there is none left that could have ended by itself.
    assert_eq!(cluster.ended_by_itself(MACHINE), None);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_reload_waits_for_the_disk_and_a_pause_for_the_reload() {
    let (cluster, folder, pipe) = cluster("reload");
    let (reloading, pausing) = (cluster.clone(), cluster.clone());
    let (reloaded, (), text) = play(
        pipe,
        || spawn_local(async move { reloading.reload(MACHINE).await }),
        || spawn_local(async move { pausing.pause(MACHINE).await }),
    );
    reloaded.expect("written");
    assert!(text.contains("initial-start=false"), "{text}");
    let _ = std::fs::remove_dir_all(folder);
}
