//! How servers and operators call the control API: any core machine, again unchanged until there is a clear answer.

use crate::cluster::call;
use crate::layout::CORE;
use crate::network::control_link_address;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long a caller waits for an answer.
const CALL_PATIENCE: Duration = Duration::from_secs(1);
/// First backoff after a call without a clear answer; it doubles.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(750);
/// How long a call is sent again.
const CLEAR_TIMEOUT: Duration = Duration::from_secs(40);

/// Calls core machines in turn.
pub struct ControlCaller {
    net: u8,
    next: Cell<usize>,
}

impl ControlCaller {
    /// Begins with a machine by number.
    pub fn new(net: u8, first: usize) -> Self {
        ControlCaller { net, next: Cell::new(first) }
    }

    /// Calls one machine: the next one, after a call without a clear answer.
    pub async fn call(&self, name: &str, body: &str) -> Option<(u16, String)> {
        self.call_machine(self.next.get() % CORE, name, body).await.or_else(|| {
            self.next.set(self.next.get() + 1);
            None
        })
    }

    /// Calls this machine.
    pub async fn call_machine(&self, machine: usize, name: &str, body: &str) -> Option<(u16, String)> {
        let message = format!(
            "POST /-/rpc?call={name} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = call(control_link_address(self.net, machine), &message, CALL_PATIENCE).await;
        answer.filter(|(status, _)| is_clear(*status))
    }

    /// Calls until there is a clear answer: its status.
    pub async fn until_clear(&self, name: &str, body: &str) -> Option<u16> {
        let (begun, mut backoff) = (Instant::now(), INITIAL_BACKOFF);
        while begun.elapsed() < CLEAR_TIMEOUT {
            if let Some((status, _)) = self.call(name, body).await {
                return Some(status);
            }
            sleep(backoff).await;
            backoff = (2 * backoff).min(MAX_BACKOFF);
        }
        None
    }
}

/// Whether an answer ends a call. One that is to be made again on a new connection (307) goes on, as after no answer.
fn is_clear(status: u16) -> bool {
    status < 500 && !matches!(status, 307 | 408 | 429)
}
