//! A table of faulty files with what is said of each, and bytes that may not harm.

use limeway_operator_config::{InTrouble, Operator, MAX_BYTES};
use proptest::prelude::*;

#[test]
fn each_fault_names_line_and_key_and_a_way_out() {
    let cases = [
        ("version = 2", "line 1: version: 2 is not known here; this reads version 1"),
        ("\n\nversion = \"1\"", "line 3: version: invalid type: string \"1\", expected u32"),
        ("version = -1", "line 1: version: invalid value: integer `-1`, expected u32"),
        ("[conter]", "line 1: conter: is not known; did you mean `counter`?"),
        ("[zebra]", "line 1: zebra: is not known; known here: version, counter, history"),
        ("counter = 3", "line 1: counter: invalid type: integer `3`, expected struct Counter"),
        (
            "[counter]\nin_trouble = \"credit\"",
            "line 2: counter.in_trouble: is not known; did you mean `in-trouble`?",
        ),
        (
            "[counter]\nin-trouble = \"share\"",
            "line 2: counter.in-trouble: `share` is none of its values; did you mean `shares`?",
        ),
        (
            "[counter]\nin-trouble = \"open\"",
            "line 2: counter.in-trouble: `open` is none of its values; known here: credit, shares",
        ),
        (
            "[counter]\nlease-ahead = 1",
            "line 2: counter.lease-ahead: invalid type: integer `1`, expected a boolean",
        ),
        (
            "[counter]\nlease-ahaed = true",
            "line 2: counter.lease-ahaed: is not known; did you mean `lease-ahead`?",
        ),
        ("[counter]\nin-trouble = true", "line 2: counter.in-trouble: "),
        ("[counter]\n[counter]", "line 2: "),
        ("[counter]\nin-trouble = \"credit\"\nin-trouble = \"shares\"", "line 3: "),
        ("version", "line 1: "),
        ("[history]\nfoldr = \"x\"", "line 2: history.foldr: is not known; did you mean `folder`?"),
        ("[history]\nlines = 0", "line 2: history.lines: 0 does not lie between 1 and 10000000"),
        ("[history]\nfolder = 1", "line 2: history.folder: invalid type: integer `1`, expected a string"),
    ];
    for (text, said) in cases {
        let error = Operator::read(text).expect_err(text).to_string();
        assert!(error.starts_with(said), "{text:?}: {error}");
        assert!(!error.contains('\n'), "one line: {error:?}");
    }
    let large = "#".repeat(MAX_BYTES + 1);
    assert!(Operator::read(&large).expect_err("too large").to_string().contains("bytes"));
}

#[test]
fn nothing_is_on_unless_the_file_says_so() {
    for text in ["", "version = 1", "[counter]", "# all left out\n[counter]\nin-trouble = \"credit\""] {
        let read = Operator::read(text).expect(text);
        assert_eq!(
            (read.counter.in_trouble, read.counter.lease_ahead),
            (InTrouble::Credit, false),
            "{text:?}"
        );
    }
    let shipped = include_str!("../../../../deploy/limeway.toml");
    assert_eq!(Operator::read(shipped).expect("the file that ships").counter, Operator::default().counter);
}

proptest! {
    /// A file that is cut off while it is written is read as what it says up to there, or turned down; never a third.
    #[test]
    fn a_cut_off_file_is_never_read_as_something_else(at in 0usize..60) {
        let whole = "version = 1\n[counter]\nin-trouble = \"shares\"\n";
        let cut = &whole[..at.min(whole.len())];
        if let Ok(read) = Operator::read(cut) {
            let said = cut.contains("\"shares\"");
            prop_assert_eq!(read.counter.in_trouble == InTrouble::Shares, said);
        }
    }

    #[test]
    fn no_bytes_do_harm(text in "\\PC{0,200}") {
        let _ = Operator::read(&text);
    }
}

#[test]
fn a_file_of_landing_14_means_what_it_meant() {
    let read = Operator::read(include_str!("data/limeway.toml")).expect("a file in use");
    assert_eq!((read.counter.in_trouble, read.counter.lease_ahead), (InTrouble::Shares, true));
    assert_eq!((read.history.folder.as_deref(), read.history.lines), (Some("/var/log/limeway"), 2_500));
}
