//! What is on disk comes back; what is torn or foreign is set aside and never taken for an empty disk's fresh start.

use limeway_ballot::{Acceptor, Ballot};
use limeway_vault::Vault;
use rstest::rstest;
use serde_bytes::ByteBuf;
use std::path::PathBuf;

/// A folder of this test's own, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("limeway-vault-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn voted(vault: &mut Vault, own: u64) -> Acceptor {
    let mut acceptor = Acceptor { own, votes: true, ..Acceptor::default() };
    acceptor.advance(4);
    acceptor.accept(5, Ballot { round: 3, node: 1 }, ByteBuf::from(vec![1, 2, 3]));
    vault.keep_all(&acceptor, vec![9; 100]).expect("kept");
    acceptor
}

#[rstest]
fn votes_and_state_outlive_the_process() {
    let folder = Folder::new("outlive");
    let (mut vault, (acceptor, _, empty)) = Vault::open_former(&folder.0, 7, 42).expect("made");
    assert!(empty && acceptor.own == 42);
    let kept = voted(&mut vault, 42);
    drop(vault);
    let (_vault, (acceptor, state, empty)) = Vault::open_former(&folder.0, 7, 43).expect("opened");
    assert!(!empty);
    assert_eq!((acceptor.own, acceptor.applied), (42, 4));
    assert_eq!((acceptor.open, state), (kept.open, vec![9; 100]));
}

/// A machine that was killed before it was ever allowed to vote is empty still: it has to read others first.
#[rstest]
fn a_file_without_votes_counts_as_empty() {
    let folder = Folder::new("unvoted");
    drop(Vault::open_former(&folder.0, 7, 42).expect("made"));
    let (_vault, (acceptor, _, empty)) = Vault::open_former(&folder.0, 7, 43).expect("opened");
    assert!(empty && !acceptor.votes);
}

#[rstest]
#[case::torn(|path: &PathBuf| { let all = std::fs::read(path).expect("read"); std::fs::write(path, &all[..all.len() / 3]).expect("torn") })]
#[case::scribbled(|path: &PathBuf| { let mut all = std::fs::read(path).expect("read"); all[..4096].fill(0x5a); std::fs::write(path, all).expect("written") })]
#[case::not_ours(|path: &PathBuf| std::fs::write(path, b"something else").expect("written"))]
fn a_spoilt_file_is_set_aside_and_the_machine_has_lost_its_disk(#[case] spoil: fn(&PathBuf)) {
    let folder = Folder::new(&format!("spoilt-{:?}", spoil as usize));
    let (mut vault, _) = Vault::open_former(&folder.0, 7, 42).expect("made");
    voted(&mut vault, 42);
    drop(vault);
    spoil(&folder.0.join("state.redb"));
    let (_vault, (acceptor, _, empty)) = Vault::open_former(&folder.0, 7, 43).expect("opened");
    assert!(empty && !acceptor.votes, "it must read others before it votes");
    assert_eq!(acceptor.own, 43, "a new incarnation");
    assert!(folder.0.join("state.redb.aside").exists(), "kept for whoever looks into it");
}

#[rstest]
fn another_machines_file_is_not_used() {
    let folder = Folder::new("foreign");
    let (mut vault, _) = Vault::open_former(&folder.0, 7, 42).expect("made");
    voted(&mut vault, 42);
    drop(vault);
    let (_vault, (acceptor, _, empty)) = Vault::open_former(&folder.0, 8, 43).expect("opened");
    assert!(empty && acceptor.applied == 0);
}
