//! The settings file that a process of the whole system is given by the variable [`VARIABLE`].
//!
//! Lines of the form `a.b=value`; a list has its items joined by commas; a time is a number and its unit, `ms` or `s`. Unknown fields
//! are ignored. Free of I/O: [`Settings::read`] takes the text.
#![forbid(unsafe_code)]

mod bounds;
mod error;
mod fields;

pub use bounds::RuleBounds;
pub use error::SettingsError;
pub use fields::{time, MAX_FILE_BYTES};
pub use limeway_types::Micros;

use error::invalid;
use error_stack::{Report, ResultExt};
use fields::{boolean, FieldMap};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// The variable that holds the path of the settings file.
pub const VARIABLE: &str = "LIMEWAY_BOOT";

/// Memory of a process whose settings file states none, in megabytes.
const DEFAULT_MEMORY_MB: usize = 256;
/// Bytes of a megabyte.
const BYTES_PER_MB: usize = 1_000_000;

/// A range of ports, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortRange {
    /// The first.
    pub first: u16,
    /// The last.
    pub last: u16,
}

/// Where a process serves its figures: `PORT/PATH`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// The port, at the machine's address.
    pub port: u16,
    /// The path, without its leading slash.
    pub path: String,
}

impl MetricsEndpoint {
    /// Parses `PORT/PATH`.
    pub fn parse(text: &str) -> Option<Self> {
        let (port, path) = text.split_once('/')?;
        let port = port.parse().ok().filter(|port| *port > 0)?;
        let is_path = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
        path.chars().all(is_path).then(|| MetricsEndpoint { port, path: path.to_owned() })
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
    /// Where clients call; none on a control-plane replica.
    pub frontend: Option<SocketAddr>,
    /// Where the platform asks whether this process is ready.
    pub readiness: Option<SocketAddr>,
    /// Where servers and operators call.
    pub control: Option<SocketAddr>,
    /// Where clients ask where to go.
    pub directory: Option<SocketAddr>,
    /// Where this process serves its figures, if it does.
    pub metrics: Option<MetricsEndpoint>,
    /// Ports that processes of the system call each other at.
    pub inner_ports: PortRange,
    /// `control-plane` addresses of some machines.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time, on empty disks.
    pub initial_start: bool,
    /// The loss of this machine counts against `tolerated_losses`.
    pub loss_counted: bool,
    /// Machines that may be lost at once.
    pub tolerated_losses: usize,
    /// File descriptors that the process may have open.
    pub max_file_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub max_memory_bytes: usize,
    /// Directory on the machine's disk, if it has one.
    pub data_directory: Option<PathBuf>,
    /// Interval between two heartbeats of a server.
    pub heartbeat: Micros,
    /// The figures of the rules in force.
    pub bounds: RuleBounds,
}

impl Settings {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// A field is missing or invalid; the error names it.
    pub fn read(text: &str) -> Result<Self, Report<SettingsError>> {
        let fields = FieldMap::parse(text)?;
        let zones: BTreeMap<String, String> = fields
            .0
            .iter()
            .filter_map(|(name, value)| Some((name.strip_prefix("zones.")?.to_owned(), (*value).to_owned())))
            .collect();
        let ports = fields.required("internal-ports")?;
        let inner_ports = ports
            .split_once(',')
            .and_then(|(a, b)| Some(PortRange { first: a.parse().ok()?, last: b.parse().ok()? }))
            .filter(|ports: &PortRange| ports.first <= ports.last)
            .ok_or_else(|| invalid("internal-ports", "are not two ports"))?;
        let seeds = fields.0.get("seed-nodes").copied().unwrap_or("").split(',').filter(|s| !s.is_empty());
        let zone = fields.required("zone")?.to_owned();
        let region = match fields.0.get("region") {
            Some(region) => (*region).to_owned(),
            None => zones.get(&zone).cloned().ok_or_else(|| invalid("region", "is missing"))?,
        };
        let integer = |v: &str| v.parse::<usize>().ok();
        Ok(Settings {
            name: fields.required("node-name")?.to_owned(),
            ip: fields.required("ip-address")?.parse().change_context_lazy(|| SettingsError {
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
            metrics: fields.optional("metrics", "is no PORT/PATH", MetricsEndpoint::parse)?,
            inner_ports,
            seeds: seeds
                .map(|s| s.parse().map_err(|_| invalid("seed-nodes", "holds no address and port")))
                .collect::<Result<_, _>>()?,
            initial_start: fields
                .optional("initial-start", "is neither true nor false", boolean)?
                .unwrap_or(false),
            loss_counted: fields
                .optional("loss-counted", "is neither true nor false", boolean)?
                .unwrap_or(false),
            tolerated_losses: fields
                .optional("fault-tolerance.machine-losses", "is no number", integer)?
                .unwrap_or(0),
            max_file_descriptors: fields
                .optional("limits.max-file-descriptors", "is no number", integer)?
                .unwrap_or(1024),
            max_memory_bytes: fields
                .optional("limits.memory-mb", "is no number", integer)?
                .unwrap_or(DEFAULT_MEMORY_MB)
                .saturating_mul(BYTES_PER_MB),
            data_directory: fields.optional("data-directory", "is no path", |v| Some(PathBuf::from(v)))?,
            heartbeat: fields.optional("heartbeat", "is no time with a unit", time)?.unwrap_or(1_500_000),
            bounds: RuleBounds::parse(fields.0.get("bounds").copied().unwrap_or(""))?,
        })
    }
}
