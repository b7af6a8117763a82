//! Synchronous sections of the event loop, by name: while one lasts, the soak sees nothing of clients and processes.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

thread_local! {
    /// The sections of this thread since they were asked for last.
    static SECTIONS: Cell<Sections> = const { Cell::new(Sections { longest: None, total: Duration::ZERO }) };
}

/// The synchronous sections of a while.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sections {
    /// The longest one.
    pub longest: Option<Section>,
    /// How long all took.
    pub total: Duration,
}

/// A synchronous section.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Section {
    /// What was done.
    pub name: &'static str,
    /// How long it took.
    pub length: Duration,
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:.1?}", self.name, self.length)
    }
}

/// Makes a call that may block, and notes how long it took.
pub fn timed<T>(name: &'static str, call: impl FnOnce() -> T) -> T {
    let begun = Instant::now();
    let result = call();
    let section = Section { name, length: begun.elapsed() };
    let mut sections = SECTIONS.get();
    sections.total += section.length;
    if sections.longest.is_none_or(|known| known.length < section.length) {
        sections.longest = Some(section);
    }
    SECTIONS.set(sections);
    result
}

/// The sections of this thread since this was asked last.
pub fn take_sections() -> Sections {
    SECTIONS.take()
}
