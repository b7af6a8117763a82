//! The settings file that a process of the whole system is told by the variable [`VARIABLE`].
//!
//! Lines of the form `a.b=value`; a list has its items joined by commas; a time is a number and its unit, `ms` or `s`.
//! Fields that are not known are passed over, as the pages ask. Free of I/O: [`Settings::read`] takes the text.
#![forbid(unsafe_code)]

use error_stack::{Report, ResultExt};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// The variable that holds the path of the settings file.
pub const VARIABLE: &str = "LIMEWAY_BOOT";
/// Longest settings file that is read, in bytes.
pub const MAX_FILE: usize = 1024 * 1024;
/// Longest time that a setting may give: an hour, in microseconds.
const MAX_TIME: f64 = 3_600e6;

/// What is wrong with a settings file: the field and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    field: String,
    reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

fn wrong(field: &str, reason: &'static str) -> Report<SettingsError> {
    Report::new(SettingsError { field: field.to_owned(), reason })
}

/// The figures of the rules in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time of calm after which rules with a time bound hold for a machine.
    pub contact: Micros,
    /// An order of the operator is acknowledged within it.
    pub ack_timeout: Micros,
    /// After an acknowledged drain a server gets nothing more from then on.
    pub drain: Micros,
    /// From SIGTERM to SIGKILL.
    pub grace: Micros,
    /// A configuration is in force everywhere within it.
    pub config_apply: Micros,
    /// Keys that were taken away are refused after it, on machines that are cut off too.
    pub revoke: Micros,
    /// Whether `revoke` binds.
    pub strict: bool,
    /// Further tries per request, over `retry_window`.
    pub retry_ratio: f64,
    /// See `retry_ratio`.
    pub retry_window: Micros,
    /// Further tries beyond the ratio, all limiters together.
    pub retry_slack: f64,
    /// Any span of this length counts for quotas.
    pub quota_window: Micros,
    /// Part by which a quota may be passed.
    pub quota_overshoot: f64,
    /// Requests by which a quota may be passed beside it.
    pub quota_slack: f64,
    /// Multiple of `cold-per-s` that a cold server may get in a second.
    pub cold_overshoot: f64,
    /// Requests beside it.
    pub cold_slack: f64,
    /// Longest `ttl` of a resolve answer that counts.
    pub max_ttl: Micros,
}

impl Default for Bounds {
    /// Careful values for bounds that a file leaves out.
    fn default() -> Self {
        Bounds {
            contact: 4_000_000,
            ack_timeout: 6_000_000,
            drain: 2_500_000,
            grace: 6_000_000,
            config_apply: 2_500_000,
            revoke: 5_000_000,
            strict: true,
            retry_ratio: 0.1,
            retry_window: 10_000_000,
            retry_slack: 0.0,
            quota_window: 5_000_000,
            quota_overshoot: 0.0,
            quota_slack: 0.0,
            cold_overshoot: 1.0,
            cold_slack: 0.0,
            max_ttl: 2_000_000,
        }
    }
}

/// A process's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the machine's process, for logs.
    pub name: String,
    /// The machine's address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where clients call.
    pub frontend: Option<SocketAddr>,
    /// Where the platform asks whether this process is ready.
    pub readiness: Option<SocketAddr>,
    /// Where servers and operators call.
    pub control: Option<SocketAddr>,
    /// Where clients ask where to go.
    pub directory: Option<SocketAddr>,
    /// Ports left for what limiters say to each other, first and last.
    pub inner: (u16, u16),
    /// `control-plane` addresses of some machines.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time, on empty disks.
    pub first_start: bool,
    /// The loss of this machine counts among those to be borne.
    pub counted: bool,
    /// Machines whose loss is borne at once.
    pub losses: usize,
    /// Descriptors that the process may hold.
    pub fds: usize,
    /// Folder on the machine's disk, where it has one.
    pub data: Option<PathBuf>,
    /// Servers report about this often.
    pub heartbeat: Micros,
    /// The rules' figures.
    pub bounds: Bounds,
}

/// A time of a number and its unit, `ms` or `s`, in microseconds.
pub fn time(text: &str) -> Option<Micros> {
    let (digits, unit) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1e3),
        None => (text.strip_suffix('s')?, 1e6),
    };
    let micros = digits.parse::<f64>().ok()? * unit;
    (0.0..=MAX_TIME).contains(&micros).then_some(micros as Micros)
}

/// The fields of a file, by name.
struct Fields<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn of(text: &'a str) -> Result<Self, Report<SettingsError>> {
        if text.len() > MAX_FILE {
            return Err(wrong("file", "longer than 1 MiB"));
        }
        let lines = text.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#'));
        let pair = |line: &'a str| line.split_once('=').ok_or_else(|| wrong(line, "a line without '='"));
        Ok(Fields(lines.map(pair).collect::<Result<_, _>>()?))
    }

    fn need(&self, name: &str) -> Result<&'a str, Report<SettingsError>> {
        self.0.get(name).copied().filter(|v| !v.is_empty()).ok_or_else(|| wrong(name, "is missing"))
    }

    /// A field that may be left out, read by `read`.
    fn opt<T>(
        &self,
        name: &str,
        reason: &'static str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, Report<SettingsError>> {
        match self.0.get(name).filter(|v| !v.is_empty()) {
            None => Ok(None),
            Some(value) => read(value).map(Some).ok_or_else(|| wrong(name, reason)),
        }
    }

    fn address(&self, name: &str) -> Result<Option<SocketAddr>, Report<SettingsError>> {
        self.opt(name, "is no address and port", |v| v.parse().ok())
    }
}

fn flag(text: &str) -> Option<bool> {
    text.parse().ok()
}

impl Bounds {
    fn read(text: &str) -> Result<Self, Report<SettingsError>> {
        let mut bounds = Bounds::default();
        for item in text.split(',').filter(|i| !i.is_empty()) {
            let (name, value) = item.split_once('=').ok_or_else(|| wrong("bounds", "an item without '='"))?;
            let long = || time(value).ok_or_else(|| wrong(name, "is no time with a unit"));
            let figure = || {
                let figure = value.parse::<f64>().ok().filter(|f| f.is_finite() && *f >= 0.0);
                figure.ok_or_else(|| wrong(name, "is no figure"))
            };
            match name {
                "contact" => bounds.contact = long()?,
                "ack-timeout" => bounds.ack_timeout = long()?,
                "drain" => bounds.drain = long()?,
                "grace-period" => bounds.grace = long()?,
                "config-apply" => bounds.config_apply = long()?,
                "revoke" => bounds.revoke = long()?,
                "revocation-strict" => {
                    bounds.strict = flag(value).ok_or_else(|| wrong(name, "is neither true nor false"))?;
                }
                "retry-budget-ratio" => bounds.retry_ratio = figure()?,
                "retry-window" => bounds.retry_window = long()?,
                "retry-slack" => bounds.retry_slack = figure()?,
                "quota-window" => bounds.quota_window = long()?,
                "quota-overshoot" => bounds.quota_overshoot = figure()?,
                "quota-slack" => bounds.quota_slack = figure()?,
                "cold-overshoot" => bounds.cold_overshoot = figure()?,
                "cold-slack" => bounds.cold_slack = figure()?,
                "ttl_max" => bounds.max_ttl = long()?,
                _ => {}
            }
        }
        Ok(bounds)
    }
}

impl Settings {
    /// Reads and checks the text of a settings file.
    pub fn read(text: &str) -> Result<Self, Report<SettingsError>> {
        let fields = Fields::of(text)?;
        let zones: BTreeMap<String, String> = fields
            .0
            .iter()
            .filter_map(|(name, value)| Some((name.strip_prefix("zones.")?.to_owned(), (*value).to_owned())))
            .collect();
        let ports = fields.need("internal-ports")?;
        let inner = ports
            .split_once(',')
            .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)))
            .filter(|(a, b)| a <= b)
            .ok_or_else(|| wrong("internal-ports", "are not two ports"))?;
        let seeds = fields.0.get("seed-nodes").copied().unwrap_or("").split(',').filter(|s| !s.is_empty());
        let zone = fields.need("zone")?.to_owned();
        let region = match fields.0.get("region") {
            Some(region) => (*region).to_owned(),
            None => zones.get(&zone).cloned().ok_or_else(|| wrong("region", "is missing"))?,
        };
        let whole = |v: &str| v.parse::<usize>().ok();
        Ok(Settings {
            name: fields.need("node-name")?.to_owned(),
            ip: fields.need("ip-address")?.parse().change_context_lazy(|| SettingsError {
                field: "ip-address".into(),
                reason: "is no IPv4 address",
            })?,
            zone,
            region,
            zones,
            frontend: fields.address("listen-addresses.frontend")?,
            readiness: fields.address("listen-addresses.readiness")?,
            control: fields.address("listen-addresses.control-plane")?,
            directory: fields.address("listen-addresses.directory-api")?,
            inner,
            seeds: seeds
                .map(|s| s.parse().map_err(|_| wrong("seed-nodes", "holds no address and port")))
                .collect::<Result<_, _>>()?,
            first_start: fields.opt("initial-start", "is neither true nor false", flag)?.unwrap_or(false),
            counted: fields.opt("loss-counted", "is neither true nor false", flag)?.unwrap_or(false),
            losses: fields.opt("fault-tolerance.machine-losses", "is no number", whole)?.unwrap_or(0),
            fds: fields.opt("limits.max-file-descriptors", "is no number", whole)?.unwrap_or(1024),
            data: fields.opt("data-directory", "is no path", |v| Some(PathBuf::from(v)))?,
            heartbeat: fields.opt("heartbeat", "is no time with a unit", time)?.unwrap_or(1_500_000),
            bounds: Bounds::read(fields.0.get("bounds").copied().unwrap_or(""))?,
        })
    }
}
