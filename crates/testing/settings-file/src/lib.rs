//! The settings files of machines, as programs and tests that start whole systems write them.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// What a machine does, with the addresses at which it listens for that.
#[derive(Debug, Clone)]
pub enum Role {
    /// A core machine, with a replica of the control plane.
    Core {
        /// For servers and operators.
        control_plane: SocketAddr,
        /// For clients that look for a gateway.
        directory_api: Option<SocketAddr>,
        /// Where the replica keeps its state.
        data_directory: PathBuf,
    },
    /// A gateway.
    Gateway {
        /// For clients.
        frontend: SocketAddr,
        /// For readiness probes.
        readiness: Option<SocketAddr>,
        /// For clients that look for a gateway.
        directory_api: Option<SocketAddr>,
    },
}

/// A zone and its region.
#[derive(Debug, Clone)]
pub struct Zone {
    /// The zone's name.
    pub name: String,
    /// The region's name.
    pub region: String,
}

impl Zone {
    /// A zone of a region.
    pub fn new(name: impl Into<String>, region: impl Into<String>) -> Self {
        Zone { name: name.into(), region: region.into() }
    }
}

impl From<(&str, &str)> for Zone {
    fn from((name, region): (&str, &str)) -> Self {
        Zone::new(name, region)
    }
}

/// The settings of a machine. Its [`Display`](fmt::Display) form is the text of the file.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    /// The machine's name.
    pub node_name: String,
    /// The machine's address.
    pub ip_address: Ipv4Addr,
    /// The machine's zone.
    pub zone: Zone,
    /// All zones.
    pub zones: Vec<Zone>,
    /// What the machine does.
    pub role: Role,
    /// The port at which other machines reach it.
    pub internal_port: u16,
    /// The port of the metrics, if there are any.
    pub metrics_port: Option<u16>,
    /// Where core machines listen for servers and operators.
    pub seed_nodes: Vec<SocketAddr>,
    /// The whole system starts on empty disks.
    pub initial_start: bool,
    /// How many core machines may be lost at once.
    pub machine_losses: usize,
    /// Interval between two heartbeats of a server.
    pub heartbeat: Duration,
    /// Upper bound on open files, if there is one.
    pub max_file_descriptors: Option<usize>,
    /// Memory that the process may use, in megabytes, if that is stated.
    pub memory_mb: Option<usize>,
    /// Bounds of the operators' rules: names and values.
    pub bounds: Vec<(&'static str, String)>,
}

/// A span of time, as a settings file has it.
pub fn milliseconds(span: Duration) -> String {
    format!("{}ms", span.as_millis())
}

impl fmt::Display for SettingsFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_place(f)?;
        self.write_role(f)?;
        let port = self.internal_port;
        writeln!(f, "internal-ports={port},{port}")?;
        if let Some(port) = self.metrics_port {
            writeln!(f, "metrics={port}/metrics")?;
        }
        writeln!(f, "seed-nodes={}", join(&self.seed_nodes, SocketAddr::to_string))?;
        writeln!(f, "initial-start={}", self.initial_start)?;
        writeln!(f, "fault-tolerance.machine-losses={}", self.machine_losses)?;
        writeln!(f, "heartbeat={}", milliseconds(self.heartbeat))?;
        if let Some(limit) = self.max_file_descriptors {
            writeln!(f, "limits.max-file-descriptors={limit}")?;
        }
        if let Some(limit) = self.memory_mb {
            writeln!(f, "limits.memory-mb={limit}")?;
        }
        writeln!(f, "bounds={}", join(&self.bounds, |(name, value)| format!("{name}={value}")))
    }
}

impl SettingsFile {
    fn write_place(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "node-name={}\nip-address={}", self.node_name, self.ip_address)?;
        writeln!(f, "zone={}\nregion={}", self.zone.name, self.zone.region)?;
        self.zones.iter().try_for_each(|zone| writeln!(f, "zones.{}={}", zone.name, zone.region))
    }

    fn write_role(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.role {
            Role::Core { control_plane, directory_api, data_directory } => {
                writeln!(f, "listen-addresses.control-plane={control_plane}")?;
                write_listener(f, "directory-api", *directory_api)?;
                writeln!(f, "data-directory={}\nloss-counted=true", data_directory.display())
            }
            Role::Gateway { frontend, readiness, directory_api } => {
                writeln!(f, "listen-addresses.frontend={frontend}")?;
                write_listener(f, "readiness", *readiness)?;
                write_listener(f, "directory-api", *directory_api)
            }
        }
    }
}

fn write_listener(f: &mut fmt::Formatter<'_>, name: &str, address: Option<SocketAddr>) -> fmt::Result {
    address.map_or(Ok(()), |address| writeln!(f, "listen-addresses.{name}={address}"))
}

fn join<T>(items: &[T], text: impl Fn(&T) -> String) -> String {
    items.iter().map(text).collect::<Vec<_>>().join(",")
}
