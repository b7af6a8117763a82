//! A soak of the whole system: real processes and real sockets on loopback, faults that overlap, and a judge.
//!
//! | module | concern |
//! | --- | --- |
//! | [`layout`], [`fault`], [`plan`] | the machines, the faults, and their times drawn from a seed; no I/O |
//! | [`addresses`], [`process_settings`] | where the machines are; their settings files |
//! | [`cluster`] | the processes: start, signals, figures |
//! | [`invariant_counts`] | what processes have counted of their invariants |
//! | [`network`] | links between the processes, before the servers and before the control API, whose faults are steered |
//! | [`server`], [`client`], [`operator`] | who calls the system, and what they see |
//! | [`demand`], [`payload`], [`control_caller`] | what clients ask for; bodies; how the control API is called |
//! | [`faults`] | faults begin and end |
//! | [`ledger`] | all that was seen, with its time |
//! | [`judge`] | the rules on a ledger, and how often each was near to being broken; no I/O |
//! | [`report`] | what a run shows |
//! | [`run`] | one run from start to end |
//! | [`stalls`], [`sections`], [`thread_times`] | standstills of the soak itself, and where their time went |
//! | [`process_status`], [`startup_trial`] | what a process does with its signals; signals in its first milliseconds |
//!
//! Faults have times; checks wait for conditions. Everything is on loopback, and each process is ended by its id.
#![forbid(unsafe_code)]

pub mod addresses;
pub mod client;
pub mod cluster;
pub mod control_caller;
pub mod demand;
pub mod evacuations;
pub mod fault;
pub mod faults;
pub mod invariant_counts;
pub mod judge;
pub mod layout;
pub mod ledger;
mod memory;
pub mod network;
pub mod operator;
pub mod payload;
pub mod plan;
pub mod process_age;
pub mod process_settings;
pub mod process_status;
pub mod report;
pub mod run;
pub mod sections;
pub mod server;
pub mod stalls;
pub mod starter;
pub mod startup_trial;
pub mod thread_times;

use std::time::Duration;

/// Bounds of the rules, as the settings files of the processes state them.
pub mod bounds {
    use super::Duration;

    /// A machine is in touch after so long without a fault.
    pub const CONTACT: Duration = Duration::from_secs(4);
    /// An acknowledged configuration is in force everywhere within it.
    pub const CONFIG_APPLY: Duration = Duration::from_secs(3);
    /// A leaving server gets nothing any more within it.
    pub const DRAIN: Duration = Duration::from_secs(3);
    /// A revoked key is refused everywhere within it.
    pub const REVOKE: Duration = Duration::from_secs(5);
    /// An evacuated zone gets nothing any more within it.
    pub const EVACUATION: Duration = Duration::from_secs(5);
    /// From SIGTERM to the end of a process.
    pub const GRACE: Duration = Duration::from_secs(6);
    /// Service is back so long after everything is.
    pub const RECOVERY: Duration = Duration::from_secs(15);
    /// After a client has closed, nothing more of its request happens later than this.
    pub const GONE: Duration = Duration::from_millis(500);
    /// Memory that a process may use, in megabytes.
    pub const MEMORY_MB: usize = 160;
    /// The span over which a quota is judged.
    pub const QUOTA_WINDOW: Duration = Duration::from_secs(5);
    /// Requests a second, and burst, of the tenant whose quota is judged.
    pub const TIGHT_RATE: f64 = 20.0;
    /// Most requests of that tenant in any [`QUOTA_WINDOW`].
    pub const TIGHT_IN_WINDOW: usize = ((TIGHT_RATE * 5.0 + TIGHT_RATE) * 1.1 + 20.0) as usize;
}
