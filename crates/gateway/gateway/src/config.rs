//! The JSON configuration and the environment, checked; each error names its key.

use crate::members::List;
use limeway_operator_config::Operator;
use limeway_quota_policy::Setup;
use serde::Deserialize;
use std::fmt;
use std::io::Read;
use std::net::SocketAddr;

/// Why the configuration cannot be used.
#[derive(Debug)]
pub struct ConfigError {
    key: String,
    reason: String,
    /// The file is not there, or is no JSON: it may be being written.
    may_be_incomplete: bool,
}

impl ConfigError {
    fn new(key: &str, reason: impl fmt::Display) -> Self {
        // One plain line, whatever the library's message holds.
        let reason = reason.to_string().replace('\n', " ");
        ConfigError { key: key.to_owned(), reason, may_be_incomplete: false }
    }

    fn of_file(reason: impl fmt::Display) -> Self {
        ConfigError { may_be_incomplete: true, ..ConfigError::new("ROUTER_CONFIG", reason) }
    }

    /// Whether the file may be being written at this moment.
    pub fn may_be_incomplete(&self) -> bool {
        self.may_be_incomplete
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for ConfigError {}

/// The file as it stands.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    counter: Option<String>,
    known: Option<List>,
    settings: Option<serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024 }
    }
}

/// What may change while the program runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Places {
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the counter answers, if there is one.
    pub counter: Option<SocketAddr>,
    /// What the file says of discovery, where the environment went before it.
    file: Option<SocketAddr>,
}

impl Places {
    /// Reads the whole configuration again. The environment cannot change while the program runs, so what the
    /// file newly says of discovery goes before it; what it said already does not.
    pub fn again(self, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let read = Config::load(env)?.places;
        let discovery = match read.file {
            Some(file) if read.file != self.file => file,
            _ => self.discovery,
        };
        Ok(Places { discovery, ..read })
    }
}

/// What the program is told, ready for use.
pub struct Config {
    /// Name of this limiter.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery and the counter answer.
    pub places: Places,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Where messages of other limiters arrive, and the address of each limiter.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    /// The servers as last known.
    pub known: Option<List>,
    /// The settings object.
    pub setup: Setup,
    /// What the operators set beside it.
    pub operator: Operator,
}

fn address(key: &str, text: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(|| ConfigError::new(key, "is missing"))?;
    text.parse().map_err(|_| ConfigError::new(key, format!("is no address and port: {text}")))
}

/// The variable that names the operators' file; where it is not set, there is none.
const OPERATOR: &str = "LIMEWAY_OPERATOR";

/// Reads the operators' file.
fn operator(path: &str) -> Result<Operator, ConfigError> {
    let bad = |e: &dyn fmt::Display| ConfigError::new(OPERATOR, format!("{path}: {e}"));
    // One byte beyond what may be: guards against reading a file without end.
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(|e| bad(&e))?;
    file.take(limeway_operator_config::MAX_BYTES as u64 + 1)
        .read_to_string(&mut text)
        .map_err(|e| bad(&e))?;
    Operator::read(&text).map_err(|e| bad(&e))
}

/// Least number of descriptors with which the limiter can work at all.
const MIN_SOCKETS: usize = 64;

impl Config {
    /// Reads the environment and the file that it names.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = env("ROUTER_CONFIG").ok_or_else(|| ConfigError::new("ROUTER_CONFIG", "is not set"))?;
        let text = std::fs::read_to_string(&path)
            .map_err(|e| ConfigError::of_file(format!("cannot read {path}: {e}")))?;
        let operator = match env(OPERATOR) {
            Some(path) => operator(&path)?,
            None => Operator::default(),
        };
        Self::parse(&text, operator, env)
    }

    /// Reads the text of the file; what the environment says goes before it.
    fn parse(
        text: &str,
        operator: Operator,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_str(text).map_err(ConfigError::of_file)?;
        let named = |variable: &str, key: &str, value: &Option<String>| match env(variable) {
            Some(text) => address(variable, Some(&text)),
            None => address(key, value.as_deref()),
        };
        let listen = named("ROUTER_LISTEN", "listen", &file.listen)?;
        let discovery = named("ROUTER_DISCOVERY", "discovery", &file.discovery)?;
        let in_file = file.discovery.as_deref().map(|text| address("discovery", Some(text))).transpose()?;
        let seed = file.seed.ok_or_else(|| ConfigError::new("seed", "is missing"))?;
        let seed = u64::from_str_radix(&seed, 16)
            .map_err(|_| ConfigError::new("seed", "is no hexadecimal number"))?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::new("limits.sockets", format!("is below {MIN_SOCKETS}")));
        }
        let settings = file.settings.ok_or_else(|| ConfigError::new("settings", "is missing"))?;
        let setup =
            Setup::read(&settings).map_err(|e| ConfigError::new(&format!("settings.{}", e.key), e.reason))?;
        check(&setup)?;
        let peers = if setup.settings.permissions.peers {
            let listen = address("peer_listen", file.peer_listen.as_deref())?;
            let peers: Result<Vec<_>, _> = file.peers.iter().map(|p| address("peers", Some(p))).collect();
            Some((listen, peers?))
        } else {
            None
        };
        let counter = match setup.settings.counter {
            Some(_) => Some(address("counter", file.counter.as_deref())?),
            None => None,
        };
        Ok(Config {
            name: env("ROUTER_NAME").or(file.name).unwrap_or_default(),
            listen,
            places: Places { discovery, counter, file: in_file },
            seed,
            sockets: file.limits.sockets,
            peers,
            known: file.known,
            setup,
            operator,
        })
    }
}

/// What the adapter may leave open but a limiter cannot work without.
fn check(setup: &Setup) -> Result<(), ConfigError> {
    let settings = &setup.settings;
    let bad = |key: &str, reason: &str| Err(ConfigError::new(key, reason));
    if settings.classes.is_empty() || setup.classes.iter().any(String::is_empty) {
        return bad("settings.profiles", "is missing, empty or has a class without a name");
    }
    if settings.plans.is_empty() || setup.plans.iter().any(String::is_empty) {
        return bad("settings.plans", "is missing, empty or has a plan without a name");
    }
    if settings.me >= settings.gateways {
        return bad("settings.me", "is not below settings.balancers");
    }
    if settings.permissions.max_attempts == 0 {
        return bad("settings.permissions.max-attempts", "is missing or nought");
    }
    if setup.dial_timeout == 0 {
        return bad("settings.permissions.dial-timeout", "is missing or nought");
    }
    if setup.keepalive == 0 {
        return bad("settings.permissions.keepalive", "is missing or nought");
    }
    if settings.max_units <= 0.0 {
        return bad("settings.family-info.max-units", "is missing or nought");
    }
    if settings.counter.as_ref().is_some_and(|c| c.limit == 0) {
        return bad("settings.family-info.count-limit", "is missing or nought");
    }
    Ok(())
}
