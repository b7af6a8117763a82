//! Classes of the time since the start of a process.

use std::fmt;
use std::time::Duration;

/// Upper bounds of the classes but the last, with their names.
const CLASSES: [(Duration, &str); 4] = [
    (Duration::from_millis(1), "under 1 ms"),
    (Duration::from_millis(10), "under 10 ms"),
    (Duration::from_millis(100), "under 100 ms"),
    (Duration::from_secs(1), "under 1 s"),
];

/// How old a process was, as a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessAge(usize);

impl From<Duration> for ProcessAge {
    fn from(age: Duration) -> Self {
        ProcessAge(CLASSES.iter().take_while(|(bound, _)| age >= *bound).count())
    }
}

impl fmt::Display for ProcessAge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(CLASSES.get(self.0).map_or("older", |(_, name)| name))
    }
}
