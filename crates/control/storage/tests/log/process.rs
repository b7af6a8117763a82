//! A real process on a real folder is killed (SIGKILL) between any two of its writes.

use crate::hooked::{Hook, Hooked};
use crate::script::{self, Picture, NODE};
use limeway_storage::{Directory, StateStore};
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Tells the child where its folder is, and at which step it waits for its end.
const FOLDER: &str = "LIMEWAY_STORAGE_TEST_FOLDER";
const STEP: &str = "LIMEWAY_STORAGE_TEST_STEP";
/// Steps of the script, at most.
const MAX_STEPS: usize = 1_000;

/// Counts steps down; waits for the process's end at the last.
#[derive(Debug, Clone)]
struct Fuse(Arc<AtomicUsize>);

impl Fuse {
    fn step(&self) {
        if self.0.fetch_sub(1, Ordering::SeqCst) == 1 {
            println!("\nhere");
            loop {
                std::thread::park();
            }
        }
    }
}

impl Hook for Fuse {
    fn before_directory_call(&self) -> io::Result<()> {
        self.step();
        Ok(())
    }

    fn before_set_length(&self, _length: u64) -> io::Result<()> {
        self.step();
        Ok(())
    }

    fn before_sync(&self) -> io::Result<()> {
        self.step();
        Ok(())
    }

    fn before_write(&self, _bytes: usize) -> io::Result<()> {
        self.step();
        Ok(())
    }
}

/// Run by the test below in a process of its own; without its variables it has nothing to do.
#[test]
fn child() {
    let (Ok(folder), Ok(step)) = (std::env::var(FOLDER), std::env::var(STEP)) else { return };
    let fuse = Fuse(Arc::new(AtomicUsize::new(step.parse().expect("a number"))));
    let medium = Hooked(Directory::new(&PathBuf::from(folder)), fuse);
    let (mut store, found) = StateStore::open(medium, NODE, 42).expect("made");
    println!();
    script::run(&mut store, found.acceptor.disk, |group| println!("acknowledged {group}"), || false);
}

/// Runs the child to its step; the last group that it acknowledged as written, and whether it got there.
fn killed_at(folder: &Path, step: usize) -> (Option<usize>, bool) {
    let mut child = Command::new(std::env::current_exe().expect("this program"))
        .args(["process::child", "--exact", "--nocapture"])
        .env(FOLDER, folder)
        .env(STEP, step.to_string())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("starts");
    let (mut acknowledged, mut here) = (None, false);
    let out = BufReader::new(child.stdout.take().expect("piped"));
    for line in out.lines().map_while(Result::ok) {
        acknowledged = line.strip_prefix("acknowledged ").and_then(|n| n.parse().ok()).or(acknowledged);
        if line == "here" {
            here = true;
            break;
        }
    }
    child.kill().expect("killed");
    child.wait().expect("ended");
    (acknowledged, here)
}

#[test]
fn what_was_acknowledged_outlives_a_kill_between_any_two_writes() {
    let mut after = vec![Picture { life: 42, ..Picture::default() }];
    for group in script::groups() {
        let mut next = after.last().cloned().unwrap_or_default();
        group.iter().for_each(|step| drop(next.record(step, false)));
        after.push(next);
    }
    let folder = std::env::temp_dir().join(format!("limeway-storage-{}-kills", std::process::id()));
    let mut step = 1;
    loop {
        let _ = std::fs::remove_dir_all(&folder);
        let (acknowledged, here) = killed_at(&folder, step);
        let done = acknowledged.map_or(0, |group| group + 1);
        let (store, found) = StateStore::open(Directory::new(&folder), NODE, 42).expect("opened");
        let may = &after[done..after.len().min(done + 2)];
        assert!(may.iter().any(|p| p.fits(&found)), "killed at {step}: {done} acknowledged, found {found:?}");
        drop(store);
        if !here {
            assert_eq!(done, script::groups().len(), "the script runs to its end");
            break;
        }
        step += 1;
        assert!(step < MAX_STEPS, "the script has no end");
    }
    assert!(step > 100, "{step} steps are too few to mean anything");
    let _ = std::fs::remove_dir_all(&folder);
}
