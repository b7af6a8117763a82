//! The safety checks, which tests can switch off one by one.

/// The guards, each of which tests can take out to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    /// A total is never held to be less than what was known.
    pub memory: bool,
    /// What a counter lacks of own adds is entered again.
    pub debts: bool,
    /// Nothing new is leased while others find out.
    pub settling: bool,
    /// Limiters tell each other of a loss.
    pub news: bool,
    /// A limiter spends no credit in windows that began before it started.
    pub start: bool,
    /// Who leases leaves those their share that may be spending credit.
    pub leave: bool,
    /// Credit is spent only where a share is left for it, and of that alone.
    pub share: bool,
}

impl Guards {
    /// All of them.
    pub const ALL: Guards = Guards {
        memory: true,
        debts: true,
        settling: true,
        news: true,
        start: true,
        leave: true,
        share: true,
    };
    /// None: as if every counter kept its numbers.
    pub const NONE: Guards = Guards {
        memory: false,
        debts: false,
        settling: false,
        news: false,
        start: false,
        leave: false,
        share: false,
    };

    /// Names of all of them.
    pub const NAMES: [&'static str; 7] = ["memory", "debts", "settling", "news", "start", "leave", "share"];

    /// The same without the one of this name; nothing where none is called so.
    pub fn without(mut self, name: &str) -> Option<Self> {
        let guard = match name {
            "memory" => &mut self.memory,
            "debts" => &mut self.debts,
            "settling" => &mut self.settling,
            "news" => &mut self.news,
            "start" => &mut self.start,
            "leave" => &mut self.leave,
            "share" => &mut self.share,
            _ => return None,
        };
        *guard = false;
        Some(self)
    }
}

impl Default for Guards {
    /// What the daemon runs with: all but `leave` and `share`. On a counter that is slow and loses calls those cost more
    /// service than they save (`docs/measurements/counter-recovery.md`).
    fn default() -> Self {
        Guards { leave: false, share: false, ..Self::ALL }
    }
}
