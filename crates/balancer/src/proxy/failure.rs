//! Why a request was not answered with a server's success: the label of its metric, and a field of its log line.

/// Why a request has no success of a server's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Failure {
    /// The request, a header or its body is malformed, too long or not supported.
    Malformed,
    /// Its rest did not come in time.
    ReadTimedOut,
    /// No configuration is known yet.
    NoConfig,
    /// The configuration has not been confirmed for so long that no key and no lack of a route can be told by it.
    StaleConfig,
    /// There is no such route.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The regions allowed by route and tenant have none in common.
    NoCommonRegion,
    /// The tenant has no unit of its quota left in this window.
    QuotaExhausted,
    /// No server could be tried in time, and none had executed it.
    NoServer,
    /// Servers were tried, and none executed it.
    NotExecuted,
    /// A server failed at it, and said so.
    ServerFailed,
    /// A server may have executed it, and gave no response that could be forwarded.
    Unknown,
    /// The same, until its time was over.
    TimedOut,
    /// Its time was over before it was read: it was not begun.
    Expired,
    /// The client closed its connection before there was a response.
    ClientGone,
    /// The client did not take its response.
    NotTaken,
    /// The process shuts down: it could not be ended in time, or was not begun as it might not have been.
    ShuttingDown,
    /// The memory for bodies is taken, and its body had to wait too long.
    BodyBudgetExhausted,
}

impl Failure {
    /// All of them.
    pub const ALL: [Failure; 18] = [
        Failure::Malformed,
        Failure::ReadTimedOut,
        Failure::NoConfig,
        Failure::StaleConfig,
        Failure::NoRoute,
        Failure::UnknownKey,
        Failure::NoCommonRegion,
        Failure::QuotaExhausted,
        Failure::NoServer,
        Failure::NotExecuted,
        Failure::ServerFailed,
        Failure::Unknown,
        Failure::TimedOut,
        Failure::Expired,
        Failure::ClientGone,
        Failure::NotTaken,
        Failure::ShuttingDown,
        Failure::BodyBudgetExhausted,
    ];

    /// Its name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Failure::Malformed => "malformed",
            Failure::ReadTimedOut => "read-timed-out",
            Failure::NoConfig => "no-config",
            Failure::StaleConfig => "stale-config",
            Failure::NoRoute => "no-route",
            Failure::UnknownKey => "unknown-key",
            Failure::NoCommonRegion => "no-common-region",
            Failure::QuotaExhausted => "quota-exhausted",
            Failure::NoServer => "no-server",
            Failure::NotExecuted => "not-executed",
            Failure::ServerFailed => "server-failed",
            Failure::Unknown => "unknown",
            Failure::TimedOut => "timed-out",
            Failure::Expired => "expired",
            Failure::ClientGone => "client-gone",
            Failure::NotTaken => "not-taken",
            Failure::ShuttingDown => "shutting-down",
            Failure::BodyBudgetExhausted => "no-room",
        }
    }
}
