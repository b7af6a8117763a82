//! Lines survive being written and read, deaths in the middle of one, and a full file.

use limeway_event_log::{read, History, What};
use std::io::{Error, Write};

fn all() -> Vec<What> {
    vec![
        What::Started { limiter: 3, pid: 77 },
        What::Ready,
        What::Counter { text: "counter: well -> silent: \"no answer\"\n".into() },
        What::List { version: 9, named: 4, serving: 3 },
        What::Reload { taken: false },
        What::Stood { ms: 3_000 },
        What::Ending { open: 2 },
        What::Ended { open: 0 },
    ]
}

fn written(most: usize) -> String {
    let mut history = History::new(Vec::new(), most);
    for (t, what) in (1..).zip(all()) {
        history.add(t, what).expect("memory takes all");
    }
    String::from_utf8(history.into_inner()).expect("text")
}

#[test]
fn what_is_written_is_read_and_a_full_file_says_so() {
    let read_back =
        |most| -> Vec<What> { read(&written(most)).expect("lines").into_iter().map(|l| l.what).collect() };
    assert_eq!(read_back(100), all());
    assert_eq!(read_back(3), [all()[0].clone(), all()[1].clone(), What::Full]);
    assert_eq!(read_back(0), []);
}

#[test]
fn a_line_cut_off_anywhere_by_a_death_costs_that_line_only() {
    let text = written(100);
    for cut in 0..text.len() {
        let whole = text[..cut].matches('\n').count();
        assert_eq!(
            read(&text[..cut]).expect("a death explains it").len(),
            whole + usize::from(ended(&text, cut))
        );
        // The next life begins right behind it.
        let both = read(&format!("{}{text}", &text[..cut])).expect("a death explains it");
        assert_eq!(both.len(), whole + all().len(), "{cut}");
    }
}

/// A line that lacks its end only is whole all the same.
fn ended(text: &str, cut: usize) -> bool {
    text[cut..].starts_with('\n')
}

#[test]
fn a_line_that_no_death_explains_is_an_error_that_names_it() {
    let text = written(100).replace("\"ready\"", "\"raedy\"");
    assert_eq!(read(&text).map_err(|e| e.line), Err(2));
}

#[test]
fn a_writer_that_fails_is_told_once_and_left_alone() {
    struct Fails(usize);
    impl Write for Fails {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            self.0 += 1;
            Err(Error::other("full"))
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut history = History::new(Fails(0), 9);
    assert!(history.add(1, What::Ready).is_err());
    assert!(history.add(2, What::Ready).is_ok());
    assert_eq!(history.into_inner().0, 1);
}

/// A file as landing 14 wrote it.
const HISTORY: &str = include_str!("data/history.jsonl");

#[test]
fn a_file_of_landing_14_is_read_and_written_byte_for_byte() {
    assert_eq!(written(100), HISTORY);
    let read: Vec<What> = read(HISTORY).expect("lines").into_iter().map(|line| line.what).collect();
    assert_eq!(read, all());
}
