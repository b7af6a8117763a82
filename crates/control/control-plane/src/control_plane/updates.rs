//! Long polls of limiters: they wait while there is no update, and are answered at once by a replica without quorum contact.

use super::ControlPlane;
use crate::api::{Action, CallerId};
use crate::messages::Reply;
use limeway_distribution::LongPoll;
use limeway_types::{Micros, Timestamp, SECOND};

/// The longest that a poll waits.
const LONG_POLL_TIMEOUT: Micros = 2 * SECOND;
/// Upper bound on the polls that wait.
pub(crate) const MAX_LONG_POLLS: usize = 4_096;

#[derive(Debug)]
struct WaitingPoll {
    caller: CallerId,
    poll: LongPoll,
    received: Timestamp,
    deadline: Timestamp,
}

/// The polls that wait.
#[derive(Debug, Default)]
pub(crate) struct LongPolls {
    waiting: Vec<WaitingPoll>,
    /// There may be an update for them.
    pub update_available: bool,
    /// Members, holders or quorum contact may have changed.
    pub review_members: bool,
}

impl LongPolls {
    pub(crate) fn pending_count(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn next_tick(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|poll| poll.deadline).min()
    }
}

impl ControlPlane {
    pub(crate) fn handle_long_poll(&mut self, caller: CallerId, poll: LongPoll) {
        // A member without a frontend takes no clients, and is none for others.
        let members = std::iter::once(&poll.sender).chain(&poll.downstream);
        for heartbeat in members.filter(|heartbeat| heartbeat.frontend.port() != 0) {
            self.long_polls.review_members |= self.membership.observe(self.now, heartbeat);
            self.direct_members.observe(self.now, heartbeat);
        }
        let deadline = self.now + poll.max_wait.min(LONG_POLL_TIMEOUT);
        let poll = WaitingPoll { caller, poll, received: self.now, deadline };
        if self.long_polls.waiting.len() >= MAX_LONG_POLLS {
            return self.answer_poll(&poll);
        }
        self.long_polls.waiting.push(poll);
        self.long_polls.update_available = true;
    }

    fn answer_poll(&mut self, poll: &WaitingPoll) {
        let response = self.cache.respond(self.now, &poll.poll, self.now - poll.received);
        self.actions.push(Action::Reply(poll.caller, Reply::Update(Box::new(response))));
    }

    /// Answers the polls for which there is an update, that have waited long enough, or that are better answered elsewhere.
    pub(crate) fn answer_long_polls(&mut self) {
        if std::mem::take(&mut self.long_polls.review_members) {
            self.publish_members();
            self.long_polls.update_available = true;
        }
        let answer_all = !self.has_quorum(self.now) || self.is_shutting_down();
        let update_available = std::mem::take(&mut self.long_polls.update_available);
        let none_expired = self.long_polls.waiting.iter().all(|poll| self.now < poll.deadline);
        if !answer_all && !update_available && none_expired {
            return;
        }
        for poll in std::mem::take(&mut self.long_polls.waiting) {
            if answer_all || self.now >= poll.deadline || self.cache.has_update(&poll.poll) {
                self.answer_poll(&poll);
            } else {
                self.long_polls.waiting.push(poll);
            }
        }
    }
}
