//! Heartbeats of servers. A step in a server's life cycle (draining, gone) is acknowledged once a majority of the voters has it on disk.

use super::leaving::is_leaving;
use super::persistence::AfterWrite;
use super::{ControlPlane, SentRequest};
use crate::api::{Action, ApiResponse, CallerId};
use crate::messages::Call;
use limeway_service_registry::{Observation, Phase, Server, ServerReport, ServiceRegistry};
use limeway_types::Micros;
use std::collections::BTreeMap;

/// How long other replicas may take to acknowledge a report.
const REPLICATION_TIMEOUT: Micros = 500_000;

/// A report that is being replicated.
#[derive(Debug)]
struct ReportReplication {
    caller: Option<CallerId>,
    /// The instance, and the step of its life cycle.
    id: String,
    phase: Phase,
    needed: usize,
    acknowledged: usize,
    outstanding: usize,
}

/// The replications under way, and those of departures that are done.
#[derive(Debug, Default)]
pub(crate) struct Replications {
    under_way: BTreeMap<u64, ReportReplication>,
    /// Instances whose leaving a majority has on disk, with the step: they say it again with each heartbeat.
    recorded: BTreeMap<String, Phase>,
}

impl Replications {
    pub(crate) fn pending_count(&self) -> usize {
        self.under_way.len()
    }

    /// Forgets departures of instances that are no longer known.
    pub(crate) fn forget_unknown(&mut self, registry: &ServiceRegistry) {
        self.recorded.retain(|id, _| registry.servers().contains_key(id));
    }

    fn is_recorded(&self, report: &ServerReport) -> bool {
        self.recorded.get(&report.id).is_some_and(|phase| *phase >= report.phase)
    }
}

impl ControlPlane {
    /// Merges reports into the service registry. `direct` ones came from the servers themselves and are passed on. True if any changed
    /// something.
    pub(crate) fn observe_servers(&mut self, reports: &[ServerReport], direct: bool) -> bool {
        let mut changed = false;
        for report in reports {
            let observation = self.cache.registry.observe(self.now, report);
            changed |= observation == Observation::Changed;
            if observation == Observation::Changed && is_leaving(report) {
                self.note_leaving(&report.id);
                // Replicas that are no voters do not know each other: what one has heard reaches another through the voters.
                self.fresh_servers.insert(report.id.clone());
            }
            if direct && observation != Observation::Ignored {
                self.fresh_servers.insert(report.id.clone());
            }
        }
        self.long_polls.update_available |= changed;
        changed
    }

    pub(crate) fn handle_server_heartbeat(&mut self, caller: CallerId, report: ServerReport) {
        if !self.has_quorum(self.now) {
            // Another replica can pass it on to limiters.
            return self.actions.push(Action::Respond(caller, ApiResponse::Indeterminate));
        }
        let has_ended = |server: &Server| server.phase == Phase::Gone;
        if self.cache.registry.servers().get(&report.id).is_some_and(has_ended) {
            self.heartbeats_of_ended += 1;
        }
        let changed = self.observe_servers(std::slice::from_ref(&report), true);
        let is_acknowledged = !is_leaving(&report) || self.report_replications.is_recorded(&report);
        if is_acknowledged {
            self.actions.push(Action::Respond(caller, ApiResponse::Done));
        }
        if changed || !is_acknowledged {
            self.replicate_report((!is_acknowledged).then_some(caller), &report);
        }
    }

    pub(crate) fn handle_deregister(&mut self, caller: CallerId, id: &str) {
        if !self.has_quorum(self.now) {
            return self.actions.push(Action::Respond(caller, ApiResponse::Indeterminate));
        }
        let noted = self.cache.registry.deregister(self.now, id);
        self.long_polls.update_available = true;
        // Replicas that are no voters have gateways, too: they hear of it with the next round.
        self.fresh_servers.insert(id.to_owned());
        match noted.then(|| self.cache.registry.report(self.now, id)).flatten() {
            Some(report) => self.replicate_report(Some(caller), &report),
            // There is no room to remember it.
            None => self.actions.push(Action::Respond(caller, ApiResponse::Indeterminate)),
        }
    }

    /// Passes a report on to the other voters. That an instance leaves counts where it is on disk.
    fn replicate_report(&mut self, caller: Option<CallerId>, report: &ServerReport) {
        let others = self.other_voters();
        let is_voter = self.own_voter().is_some();
        let records = is_voter && is_leaving(report);
        let replication = ReportReplication {
            caller,
            id: report.id.clone(),
            phase: report.phase,
            needed: self.majority(),
            acknowledged: usize::from(is_voter && !records),
            outstanding: others.len() + usize::from(records),
        };
        let number = self.last_request + 1;
        self.report_replications.under_way.insert(number, replication);
        for node in others {
            let call = Call::ReplicateReports(vec![report.clone()]);
            self.send(node, call, REPLICATION_TIMEOUT, SentRequest::ReplicateReport(number));
        }
        if records {
            self.note_leaving(&report.id);
            self.record_leaving(AfterWrite::OwnReportRecorded(number));
        }
        self.conclude_replication(number);
    }

    pub(crate) fn handle_report_replicated(&mut self, number: u64, acknowledged: bool) {
        if let Some(replication) = self.report_replications.under_way.get_mut(&number) {
            replication.acknowledged += usize::from(acknowledged);
            replication.outstanding = replication.outstanding.saturating_sub(1);
        }
        self.conclude_replication(number);
    }

    fn conclude_replication(&mut self, number: u64) {
        let Replications { under_way, recorded } = &mut self.report_replications;
        let Some(replication) = under_way.get_mut(&number) else { return };
        let done = replication.acknowledged >= replication.needed;
        let over = replication.outstanding == 0;
        if done && replication.phase != Phase::Ready {
            let phase = recorded.entry(replication.id.clone()).or_insert(replication.phase);
            *phase = replication.phase.max(*phase);
        }
        if let Some(caller) = replication.caller.take_if(|_| done || over) {
            let response = if done { ApiResponse::Done } else { ApiResponse::Indeterminate };
            self.actions.push(Action::Respond(caller, response));
        }
        if over {
            under_way.remove(&number);
        }
    }
}
