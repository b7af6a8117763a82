//! The relay: what this gateway answers the gateways that follow it.

use super::Gateway;
use crate::clock::now;
use crate::messages::{Call, Reply};
use limeway_distribution::LongPoll;
use limeway_types::{Micros, SECOND};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The longest that a poll waits here.
const LONG_POLL_TIMEOUT: Micros = 2 * SECOND;

impl Gateway {
    /// Answers a call of another process.
    pub async fn answer(self: Rc<Self>, call: Call) -> Reply {
        match call {
            Call::LongPoll(poll) => self.answer_poll(*poll).await,
            Call::BorrowUnit(tenant) => self.lend_unit(&tenant),
            Call::Fetch(request) => Reply::StateUpdate(self.following.cache.borrow().state_update(&request)),
            _ => Reply::Declined,
        }
    }

    async fn answer_poll(&self, poll: LongPoll) -> Reply {
        let received = now();
        if self.following.follower.borrow_mut().observe_downstream(received, &poll) {
            // A gateway that comes, leaves or gets ready is passed on at once.
            self.following.poll_now.notify_one();
        }
        loop {
            let updated = self.following.updated.notified();
            let left = {
                let cache = self.following.cache.borrow();
                let deadline = cache.long_poll_deadline(received, &poll, LONG_POLL_TIMEOUT);
                if cache.has_update(&poll) {
                    0
                } else {
                    deadline.saturating_sub(now())
                }
            };
            if left == 0 {
                break;
            }
            // Whether by an update or by time-out, the loop looks again.
            let _ = timeout(Duration::from_micros(left), updated).await;
        }
        let answered = now();
        let response = self.following.cache.borrow().respond(answered, &poll, answered - received);
        Reply::Update(Box::new(response))
    }
}
