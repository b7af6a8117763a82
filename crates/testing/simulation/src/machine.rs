//! Machines of the control plane, with their processes.

use crate::disk::Disk;
use crate::Micros;
use limeway_control_plane::{ControlPlane, RequestId};
use std::collections::BTreeMap;

/// A running process.
#[derive(Debug)]
pub struct Process {
    /// Its state machine.
    pub replica: ControlPlane,
    /// Its process incarnation.
    pub incarnation: u64,
    /// Calls in flight: to whom, and whether it is a heartbeat.
    pub(crate) open: BTreeMap<RequestId, (usize, bool)>,
    pub(crate) tick: u64,
    /// The current second of virtual time, and the events handled in it.
    pub busy: (Micros, u32),
}

/// A replica.
#[derive(Debug)]
pub struct Machine {
    /// Its process, while one runs.
    pub process: Option<Process>,
    /// Its disk.
    pub disk: Disk,
    /// It has joined and has not left for good.
    pub exists: bool,
    /// It is without power: it neither answers nor refuses.
    pub without_power: bool,
    /// Until when its process is stalled.
    pub frozen: Micros,
    /// How far its clock is ahead.
    pub offset: Micros,
    /// Faults in force that make it lost, and when the last of them ended.
    pub lost: (u32, Micros),
    /// Whether it restarts or leaves for good once its process has ended.
    pub ends: Option<bool>,
    /// Whether a fault keeps its process from running.
    pub down: bool,
    /// It has not been started yet and takes part in the initial start.
    pub first: bool,
    pub(crate) incarnations: u64,
}

impl Machine {
    /// Whether it has been without faults for so long.
    pub fn is_healthy_for(&self, t: Micros, long: Micros) -> bool {
        self.exists && self.lost.0 == 0 && t >= self.lost.1 + long
    }
}
