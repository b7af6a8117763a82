//! Faults begin and end.

use crate::cluster::{Cluster, Termination};
use crate::demand::Demand;
use crate::fault::Fault;
use crate::layout::CORE;
use crate::ledger::{Fired, Ledger};
use crate::network::Network;
use crate::plan::TimedFault;
use crate::server::{Manner, Server};
use rustix::process::Signal;
use std::rc::Rc;
use tokio::time::sleep;

/// What faults are done to.
pub struct Stage {
    /// The processes.
    pub cluster: Rc<Cluster>,
    /// The links.
    pub network: Network,
    /// The servers.
    pub servers: Vec<Rc<Server>>,
    /// What clients ask for.
    pub demand: Rc<Demand>,
    /// What was seen.
    pub ledger: Rc<Ledger>,
}

impl Stage {
    /// Brings a fault about, at its time and for its length.
    pub async fn perform(&self, timed: TimedFault) {
        sleep(timed.at).await;
        let begun = self.ledger.now();
        self.begin(timed.fault).await;
        sleep(timed.length).await;
        self.end(timed.fault).await;
        let ended = self.ledger.now();
        self.ledger.seen.borrow_mut().faults.push(Fired { fault: timed.fault, begun, ended });
    }

    async fn begin(&self, fault: Fault) {
        let cluster = &self.cluster;
        match fault {
            Fault::Kill(machine) => cluster.kill(machine).await,
            Fault::Pause(machine) => cluster.pause(machine).await,
            Fault::Throttle(machine) => cluster.throttle(machine),
            Fault::Terminate(machine) => match cluster.terminate(machine).await {
                Termination::Orderly => {}
                Termination::Failed(status) => {
                    self.note(format!("machine {machine} after SIGTERM: {status}"));
                }
                Termination::Outlived => {
                    self.note(format!("machine {machine} had not ended after its grace period"));
                }
            },
            Fault::Reload(machine) => {
                if let Err(e) = cluster.reload(machine).await {
                    self.note(format!("settings of machine {machine}: {e}"));
                }
            }
            Fault::LoseDisk(machine) => {
                cluster.kill(machine).await;
                cluster.lose_disk(machine).await;
            }
            Fault::KillCore => cluster.kill_all(0..CORE).await,
            Fault::CutPair(one, other) => self.network.partition(one, &[other], true),
            Fault::CutOff(machine) => self.network.partition(machine, &others(machine), true),
            Fault::CutGateway(machine) => self.network.partition(machine, &core(), true),
            Fault::ResetLinks => self.network.reset(),
            Fault::LoseControlAnswers(machine) => self.network.lose_control_answers(machine, true),
            Fault::HoldControlCalls(machine) => self.network.hold_control_calls(machine, true),
            Fault::CrashServer(server) => {
                self.servers[server].leave_heartbeat_under_way();
                self.servers[server].manner.set(Manner::Down);
                self.network.reset_server(server);
            }
            Fault::SlowServer(server) => self.servers[server].manner.set(Manner::Slow),
            Fault::GarbleServer(server) => self.servers[server].manner.set(Manner::Garbles),
            Fault::LoseAnswers(server) => self.network.lose_server_answers(server, true),
            Fault::DrainServer(server) => self.servers[server].drain().await,
            Fault::DeregisterServer(server) => self.servers[server].deregister().await,
            Fault::HotTenant => self.demand.is_hot.set(true),
            Fault::ImpatientClients => self.demand.impatient.set(true),
        }
    }

    async fn end(&self, fault: Fault) {
        let cluster = &self.cluster;
        match fault {
            Fault::Kill(machine) | Fault::Terminate(machine) | Fault::LoseDisk(machine) => {
                self.start(machine).await;
            }
            Fault::KillCore => {
                for machine in 0..CORE {
                    self.start(machine).await;
                }
            }
            Fault::Pause(machine) => cluster.signal(machine, Signal::CONT),
            Fault::Throttle(machine) => cluster.end_throttle(machine),
            Fault::CutPair(one, other) => self.network.partition(one, &[other], false),
            Fault::CutOff(machine) => self.network.partition(machine, &others(machine), false),
            Fault::CutGateway(machine) => self.network.partition(machine, &core(), false),
            Fault::LoseControlAnswers(machine) => self.network.lose_control_answers(machine, false),
            Fault::HoldControlCalls(machine) => self.network.hold_control_calls(machine, false),
            Fault::CrashServer(server) => self.restart_twice(server),
            Fault::GarbleServer(server) | Fault::SlowServer(server) => {
                self.servers[server].manner.set(Manner::Sound);
            }
            Fault::LoseAnswers(server) => self.network.lose_server_answers(server, false),
            Fault::DrainServer(server) => {
                self.servers[server].deregister().await;
                self.leave(server);
            }
            Fault::DeregisterServer(server) => self.leave(server),
            Fault::HotTenant => self.demand.is_hot.set(false),
            Fault::ImpatientClients => self.demand.impatient.set(false),
            Fault::Reload(_) | Fault::ResetLinks => {}
        }
    }

    async fn start(&self, machine: usize) {
        if let Err(e) = self.cluster.start(machine, false).await {
            self.note(format!("machine {machine} was not started: {e}"));
        }
    }

    /// A server ends, and comes back as another instance at the same address.
    fn leave(&self, server: usize) {
        self.network.reset_server(server);
        self.restart_twice(server);
    }

    /// A server comes back, crashes right after its start with its first heartbeat under way, and comes back once more.
    fn restart_twice(&self, server: usize) {
        let server = &self.servers[server];
        server.start_instance();
        server.leave_heartbeat_under_way();
        server.start_instance();
    }

    fn note(&self, what: String) {
        self.ledger.seen.borrow_mut().own_ends.push(what);
    }
}

fn core() -> Vec<usize> {
    (0..CORE).collect()
}

fn others(machine: usize) -> Vec<usize> {
    (0..CORE).filter(|other| *other != machine).collect()
}
