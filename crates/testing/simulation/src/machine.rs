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
    /// Which of the machine's processes it is.
    pub incarnation: u64,
    /// Calls without an answer: whom, and whether it is a round.
    pub(crate) open: BTreeMap<RequestId, (usize, bool)>,
    pub(crate) tick: u64,
    /// The second of virtual time, and events in it.
    pub busy: (Micros, u32),
}

/// A replica.
#[derive(Debug)]
pub struct Machine {
    /// Its process, while one runs.
    pub process: Option<Process>,
    /// Its disk.
    pub disk: Disk,
    /// It has been there, and is not gone for good.
    pub exists: bool,
    /// It is without power: it answers nothing, and refuses nothing.
    pub without_power: bool,
    /// Its process does nothing until then.
    pub frozen: Micros,
    /// Its clock shows so much more.
    pub offset: Micros,
    /// Faults that it is lost by, and when the last of them ended.
    pub lost: (u32, Micros),
    /// It has to come back, or to go for good, once its process has ended.
    pub ends: Option<bool>,
    /// A fault keeps its process from running.
    pub down: bool,
    /// It has not been started yet, and is part of the first start of the whole system.
    pub first: bool,
    pub(crate) incarnations: u64,
}

impl Machine {
    /// Whether nothing has ailed it for so long.
    pub fn is_healthy_for(&self, t: Micros, long: Micros) -> bool {
        self.exists && self.lost.0 == 0 && t >= self.lost.1 + long
    }
}
