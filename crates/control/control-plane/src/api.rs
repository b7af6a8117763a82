//! Events that a replica handles, and actions that it asks for.

use crate::messages::{Call, Reply};
use limeway_consensus::{Acceptor, LogRecord};
use limeway_quota::QuotaRule;
use limeway_routing_config::{ConfigUpdate, InvalidConfig, State};
use limeway_service_registry::ServerReport;
use limeway_types::{Micros, NodeId, ProcessIncarnation};
use std::net::SocketAddrV4;

/// Names a caller that waits for an answer.
pub type CallerId = u64;
/// Names a request that this replica sent.
pub type RequestId = u64;
/// Names a write to disk.
pub type WriteId = u64;

/// What a replica is given at its start.
#[derive(Debug, Clone)]
pub struct StartOptions {
    /// Its machine.
    pub node: NodeId,
    /// The incarnation of its process; never 0.
    pub incarnation: ProcessIncarnation,
    /// How long an operator retries a call.
    pub ack_timeout: Micros,
    /// It has a disk whose loss counts against `tolerated_losses`: it may become a voter.
    pub loss_counted: bool,
    /// How many such machines may be lost at once.
    pub tolerated_losses: usize,
    /// The figures of the quota rule.
    pub quota_rule: QuotaRule,
    /// Interval between two heartbeats of a server.
    pub server_heartbeat: Micros,
    /// Machines that the settings file names.
    pub seeds: Vec<NodeId>,
    /// The whole system starts for the first time, and the disk of this machine is empty.
    pub initial_start: bool,
    /// The acceptor, from disk.
    pub acceptor: Acceptor,
    /// The agreed state, from disk.
    pub state: State,
    /// Evacuation calls that an earlier process has answered, or was about to, from disk.
    pub answered_calls: Vec<u64>,
    /// Instances that leave or have ended, from disk.
    pub leaving: Vec<ServerReport>,
}

/// What happens to a replica.
#[derive(Debug)]
pub enum Event {
    /// Another process calls.
    Call(CallerId, Call),
    /// A request of this replica was answered, or failed, or timed out.
    Reply(RequestId, Option<Reply>),
    /// A server or an operator calls.
    ApiCall {
        /// The caller.
        caller: CallerId,
        /// What it asks for.
        request: ApiRequest,
        /// How long ago the call came to this machine: the process may have stood still since.
        age: Micros,
    },
    /// A write has reached the disk, or has failed.
    WriteCompleted(WriteId, bool),
    /// The response [`ApiResponse::EvacuationDone`] with this call id has reached its caller.
    ResponseDelivered(u64),
    /// That response did not reach its caller in time, who retries.
    ResponseLost(u64),
    /// Time has passed.
    Tick,
    /// The settings file names these machines now.
    SeedsChanged(Vec<NodeId>),
    /// The process is to shut down.
    Shutdown {
        /// It exits within this time, also if nobody has taken over its vote, in microseconds.
        within: Micros,
    },
}

/// What a server or an operator asks for.
#[derive(Debug)]
pub enum ApiRequest {
    /// An update of the configuration.
    UpdateConfig(ConfigUpdate),
    /// The newest configuration.
    ReadConfig,
    /// The start or the end of an evacuation.
    Evacuate {
        /// The zone.
        zone: String,
        /// The evacuation starts; otherwise it ends.
        starts: bool,
    },
    /// A server's heartbeat.
    Heartbeat(ServerReport),
    /// A server has ended: its id.
    Deregister(String),
}

/// What a server or an operator is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiResponse {
    /// Done; an update of the configuration is on disk at a majority.
    Done,
    /// An evacuation call with this id is done. [`Event::ResponseDelivered`] says once this response has surely reached the caller,
    /// and [`Event::ResponseLost`] that it did not in time.
    EvacuationDone(u64),
    /// The newest configuration.
    Document(String),
    /// The update builds on another version than the current one. It was not applied.
    VersionConflict,
    /// The update is invalid. It was not applied.
    Invalid(InvalidConfig),
    /// No majority can be had now; an update may or may not be applied later.
    Indeterminate,
}

/// What a replica asks for.
#[derive(Debug)]
pub enum Action {
    /// Call another process. Its answer is an [`Event::Reply`], as is the lack of one within `timeout`.
    Send {
        /// Comes back with the reply.
        request: RequestId,
        /// The process to call.
        to: NodeId,
        /// The call.
        call: Call,
        /// How long a reply is waited for.
        timeout: Micros,
    },
    /// Answer [`Event::Call`].
    Reply(CallerId, Reply),
    /// Answer [`Event::ApiCall`].
    Respond(CallerId, ApiResponse),
    /// Write to disk; [`Event::WriteCompleted`] follows, in the order of the writes.
    Write(WriteId, LogRecord),
    /// The process may exit.
    Exit,
}

/// A limiter that can serve clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frontend {
    /// Its zone.
    pub zone: String,
    /// Where clients reach it.
    pub address: SocketAddrV4,
}
