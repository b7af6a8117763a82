//! An output that takes nothing, and one that goes on later.

use limeway_log_queue::LogQueue;
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};

/// More lines than wait in the queue.
const LINES: usize = 5_000;

/// Blocks each write until the test lets it go on, and passes on what is written.
struct Output {
    may_write: Receiver<()>,
    written: Sender<String>,
}

impl Write for Output {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let _ = self.may_write.recv();
        let _ = self.written.send(String::from_utf8_lossy(text).into_owned());
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn what_an_output_does_not_take_is_dropped_and_counted_and_nobody_waits() {
    let (go_on, may_write) = channel();
    let (written, lines) = channel();
    let (mut queue, guard) = LogQueue::start(Output { may_write, written }).expect("started");
    for number in 0..LINES {
        queue.write_all(format!("line {number}\n").as_bytes()).expect("taken");
    }
    // From here on each write is let through.
    drop(go_on);
    drop(guard);
    drop(queue);
    let text: String = lines.iter().collect();
    let dropped: usize = text
        .lines()
        .filter_map(|line| line.split("\"says\":\"").nth(1)?.split(' ').next()?.parse::<usize>().ok())
        .sum();
    let kept = text.lines().filter(|line| line.starts_with("line ")).count();
    assert!(dropped > 0 && kept > 0, "{dropped} dropped, {kept} kept");
    assert_eq!(dropped + kept, LINES);
}
