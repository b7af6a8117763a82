//! Graceful shutdown: the steps of a gateway and of a control-plane replica after SIGTERM. What is still taken meanwhile is decided by the
//! [`DrainSchedule`].

use crate::clock::now;
use crate::drain_schedule::DrainSchedule;
use crate::gateway::Gateway;
use crate::proxy::ClientConnections;
use crate::replica::Replica;
use limeway_control_plane::Event;
use limeway_invariants::{check, Invariant};
use limeway_types::{Micros, Timestamp, MILLISECOND};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Interval at which requests in flight are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Shuts a gateway down: serves what can be served within the grace period, and answers all that was taken.
pub async fn drain(
    gateway: &Gateway,
    clients: &ClientConnections,
    accepting: Option<JoinHandle<()>>,
    grace: Micros,
) {
    let schedule = DrainSchedule::new(now(), grace);
    let in_flight = clients.busy_count();
    log::info!(in_flight, grace_ms = grace / MILLISECOND; "shutting down");
    gateway.drain(schedule);
    clients.start_draining();
    sleep_until(schedule.listener_closes_at).await;
    clients.close_listener();
    if let Some(accepting) = accepting {
        // An error is its panic, which the log tells of.
        let _ = accepting.await;
    }
    clients.close_idle();
    // All open ones: the request of one that has just come may be on its way, and a response may not have been read yet.
    wait_while(|| clients.open_count() > 0, schedule.requests_abort_at).await;
    let left = clients.busy_count();
    clients.abort_requests();
    wait_while(|| clients.busy_count() > 0, schedule.final_responses_until(now())).await;
    let aborted_early = clients.aborted_early_count();
    log::info!(in_flight, left, aborted_early; "shut down");
    check(Invariant::CleanShutdown, in_flight > 0, aborted_early == 0, || {
        format!("{aborted_early} requests were aborted before their deadlines")
    });
}

async fn sleep_until(time: Timestamp) {
    sleep(Duration::from_micros(time.saturating_sub(now()))).await;
}

/// Shuts a control-plane replica down: its vote passes on if somebody can take it, and the calls that it has taken are answered. What
/// was acknowledged is on disk.
pub async fn shut_down_replica(replica: &Rc<Replica>, grace: Micros) {
    let schedule = DrainSchedule::new(now(), grace);
    log::info!(grace_ms = grace / MILLISECOND; "replica shutting down");
    replica.handle(Event::Shutdown { within: schedule.requests_abort_at - schedule.started_at });
    replica.exited.notified().await;
    replica.release_callers();
    wait_while(|| replica.unanswered_count() > 0, schedule.final_responses_until(now())).await;
    log::info!(left = replica.unanswered_count(); "replica shut down");
}

/// Waits as long as something holds, or until then at most.
async fn wait_while(holds: impl Fn() -> bool, until: Timestamp) {
    while holds() && now() < until {
        sleep(CHECK_INTERVAL).await;
    }
}
