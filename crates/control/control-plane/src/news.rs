//! What limiters are told: polls are held while there is nothing new, and answered at once by a machine without contact.

use crate::messages::Reply;
use crate::{Action, Marker, Micros, Token};
use limeway_distribution::LongPoll;

/// Longest that a poll is held.
const HOLD_MOST: Micros = 2_000_000;
/// Polls held at once, at most.
const POLLS_MOST: usize = 4_096;

#[derive(Debug)]
struct Held {
    token: Token,
    poll: LongPoll,
    since: Micros,
    until: Micros,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct News {
    held: Vec<Held>,
    /// Something has changed that polls may be held for.
    pub(crate) fresh: bool,
    /// Members, holders or contact are to be looked at.
    pub(crate) look: bool,
}

impl News {
    pub(crate) fn queued(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn wake(&self) -> Option<Micros> {
        self.held.iter().map(|h| h.until).min()
    }
}

impl Marker {
    pub(crate) fn poll(&mut self, now: Micros, token: Token, poll: LongPoll, out: &mut Vec<Action>) {
        for presence in
            std::iter::once(&poll.sender).chain(&poll.downstream).filter(|p| p.frontend.port() != 0)
        {
            self.news.look |= self.roster.observe(now, presence);
            if self.direct.len() < limeway_membership::MAX_MEMBERS || self.direct.contains_key(&presence.node)
            {
                let mut seen = presence.clone();
                // Kept with the moment at which it was heard.
                seen.age = now.saturating_sub(presence.age);
                self.direct.insert(presence.node, seen);
            }
        }
        let until = now + poll.max_wait.min(HOLD_MOST);
        let held = Held { token, poll, since: now, until };
        if self.news.held.len() >= POLLS_MOST {
            return self.tell(now, held, out);
        }
        self.news.held.push(held);
        self.news.fresh = true;
    }

    fn tell(&self, now: Micros, held: Held, out: &mut Vec<Action>) {
        let feed = self.board.respond(now, &held.poll, now - held.since);
        out.push(Action::Reply(held.token, Reply::Feed(Box::new(feed))));
    }

    /// Answers the polls for which there is news, whose time has come, or that are better told elsewhere.
    pub(crate) fn release(&mut self, now: Micros, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.news.look) {
            self.refresh(now);
            self.news.fresh = true;
        }
        let all = !self.touch(now) || self.leaving.is_some();
        let fresh = std::mem::take(&mut self.news.fresh);
        if !all && !fresh && self.news.held.iter().all(|h| now < h.until) {
            return;
        }
        for held in std::mem::take(&mut self.news.held) {
            if all || now >= held.until || self.board.has_update(&held.poll) {
                self.tell(now, held, out);
            } else {
                self.news.held.push(held);
            }
        }
    }
}
