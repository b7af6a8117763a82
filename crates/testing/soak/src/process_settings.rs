//! The settings file of a machine's process.

use crate::addresses::{
    control_address, frontend_address, inner_address, machine_ip, zone_of, FIRST_INNER, METRICS, READINESS,
    ZONES,
};
use crate::bounds;
use crate::layout::{Layout, CORE};
use limeway_settings_file::{milliseconds, Role, SettingsFile, Zone};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Interval between two heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound on open files of a process.
const MAX_FILE_DESCRIPTORS: usize = 4_096;

/// What the settings of a process depend on.
pub(crate) struct ProcessSettings<'a> {
    /// The second byte of all addresses.
    pub net: u8,
    /// The machines of the run.
    pub layout: &'a Layout,
    /// The machine's number.
    pub machine: usize,
    /// Where a core machine keeps its state.
    pub data_directory: &'a Path,
    /// The whole system starts on empty disks.
    pub initial_start: bool,
    /// How often the file has been written anew: each time the seeds are in another order.
    pub reloads: u32,
}

impl ProcessSettings<'_> {
    /// The file.
    pub(crate) fn file(&self) -> SettingsFile {
        SettingsFile {
            node_name: format!("m{}", self.machine),
            ip_address: machine_ip(self.net, self.machine),
            zone: zone_of(self.machine).into(),
            zones: ZONES.into_iter().map(Zone::from).collect(),
            role: self.role(),
            internal_port: self.internal_port(),
            metrics_port: Some(METRICS),
            seed_nodes: self.seed_nodes(),
            initial_start: self.initial_start,
            machine_losses: 1,
            heartbeat: HEARTBEAT_INTERVAL,
            max_file_descriptors: Some(MAX_FILE_DESCRIPTORS),
            memory_mb: Some(bounds::MEMORY_MB),
            bounds: bounds(),
        }
    }

    fn role(&self) -> Role {
        if self.machine < CORE {
            Role::Core {
                control_plane: control_address(self.net, self.machine),
                directory_api: None,
                data_directory: self.data_directory.to_owned(),
            }
        } else {
            let readiness = (machine_ip(self.net, self.machine), READINESS).into();
            Role::Gateway {
                frontend: frontend_address(self.net, self.machine),
                readiness: Some(readiness),
                directory_api: None,
            }
        }
    }

    fn internal_port(&self) -> u16 {
        if self.layout.has_links {
            inner_address(self.net, self.machine).port()
        } else {
            FIRST_INNER
        }
    }

    fn seed_nodes(&self) -> Vec<SocketAddr> {
        let turn = self.reloads as usize;
        (0..CORE).map(|core| control_address(self.net, (core + turn) % CORE)).collect()
    }
}

fn bounds() -> Vec<(&'static str, String)> {
    vec![
        ("contact", milliseconds(bounds::CONTACT)),
        ("ack-timeout", "6s".into()),
        ("catch-up", "4s".into()),
        ("drain", milliseconds(bounds::DRAIN)),
        ("grace-period", milliseconds(bounds::GRACE)),
        ("config-apply", milliseconds(bounds::CONFIG_APPLY)),
        ("revocation-strict", "true".into()),
        ("revoke", milliseconds(bounds::REVOKE)),
        ("evacuation", milliseconds(bounds::EVACUATION)),
        ("quota-window", milliseconds(bounds::QUOTA_WINDOW)),
        ("quota-overshoot", "0.1".into()),
        ("quota-slack", "20".into()),
        ("retry-budget-ratio", "0.2".into()),
        ("retry-window", "10s".into()),
        ("retry-slack", "50".into()),
        ("cold-overshoot", "1.5".into()),
        ("cold-slack", "5".into()),
        ("ttl_max", "5s".into()),
    ]
}
