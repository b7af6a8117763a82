//! What is on disk, and what waits for it: nothing that depends on a write leaves this machine before the write is done.
//!
//! After a write that failed, what is in memory may be more than what is on disk. Nothing more is promised until a record with
//! the whole state has been written. A disk that hangs is no better: while a write has been under way for [`HANGS`] this machine
//! says that its disk is not sound.

use crate::messages::Reply;
use crate::{Action, Job, LogRecord, Marker, Micros, Token};
use limeway_consensus::{AcceptorReply, Slot};
use serde_bytes::ByteBuf;
use std::collections::VecDeque;

/// Writes under way, at most.
const JOBS_MOST: usize = 64;
/// A write that takes longer hangs.
const HANGS: Micros = 1_000_000;
/// Operations between two snapshots, and their bytes, at most.
const LOG_MOST: (usize, usize) = (256, 1024 * 1024);

/// What follows once a write is done.
#[derive(Debug)]
pub(crate) enum After {
    /// A voter's word to another machine.
    Word(Token, AcceptorReply),
    /// The own word on the ballot of this number.
    Own(u64, AcceptorReply),
    /// A chosen value is on disk here.
    Kept(Token),
}

#[derive(Debug)]
struct Waiting {
    job: Job,
    since: Micros,
    slot: Slot,
    after: Vec<After>,
}

/// See the module.
#[derive(Debug)]
pub(crate) struct Paper {
    waiting: VecDeque<Waiting>,
    last: Job,
    /// Operations applied and not yet given to the disk.
    fresh: Vec<(Slot, ByteBuf)>,
    /// Operations and bytes given to the disk since the last snapshot.
    log: (usize, usize),
    kept: Slot,
    failed: bool,
    /// The next record holds the whole state.
    whole: bool,
    now: Micros,
}

impl Paper {
    pub(crate) fn new(kept: Slot) -> Self {
        Paper {
            waiting: VecDeque::new(),
            last: 0,
            fresh: Vec::new(),
            log: (0, 0),
            kept,
            failed: false,
            // What was found may be of any length.
            whole: true,
            now: 0,
        }
    }

    /// Whether the disk takes writes.
    pub(crate) fn sound(&self, now: Micros) -> bool {
        !self.failed && self.waiting.front().is_none_or(|w| now < w.since + HANGS)
    }

    /// The last slot that is on disk.
    pub(crate) fn kept(&self) -> Slot {
        self.kept
    }

    pub(crate) fn queued(&self) -> usize {
        self.waiting.len() + self.fresh.len()
    }

    /// Whether it failed, and nothing is under way that may tell otherwise.
    pub(crate) fn retry(&self) -> bool {
        self.failed && self.waiting.is_empty()
    }

    pub(crate) fn applied(&mut self, slot: Slot, op: ByteBuf) {
        self.fresh.push((slot, op));
    }

    /// The state was told whole.
    pub(crate) fn jumped(&mut self) {
        self.fresh.clear();
        self.whole = true;
    }

    /// The time, as of the last event.
    pub(crate) fn time(&mut self, now: Micros) {
        self.now = now;
    }

    pub(crate) fn now(&self) -> Micros {
        self.now
    }
}

impl Marker {
    /// Writes all that is not on disk; `after` follows.
    pub(crate) fn write(&mut self, after: Vec<After>, out: &mut Vec<Action>) {
        if self.paper.waiting.len() >= JOBS_MOST {
            self.paper.jumped();
            return self.unkept(after, out);
        }
        let ops = std::mem::take(&mut self.paper.fresh);
        let bytes: usize = ops.iter().map(|(_, op)| op.len()).sum();
        let log = (self.paper.log.0 + ops.len(), self.paper.log.1 + bytes);
        let due = self.paper.whole || log.0 > LOG_MOST.0 || log.1 > LOG_MOST.1;
        let state = &self.board.state;
        let snapshot = due.then(|| (state.slot, limeway_distribution::encode(state)));
        let ops = if due { Vec::new() } else { ops };
        self.paper.log = if due { (0, 0) } else { log };
        self.paper.whole = false;
        self.paper.last += 1;
        let job = self.paper.last;
        self.paper.waiting.push_back(Waiting { job, since: self.paper.now, slot: state.slot, after });
        let operations = ops.into_iter().map(|(slot, op)| (slot, op.into_vec())).collect();
        out.push(Action::Write(job, LogRecord { acceptor: self.acceptor.clone(), operations, snapshot }));
    }

    /// A write is done, or failed, and so all before it.
    pub(crate) fn written(&mut self, now: Micros, job: Job, done: bool, out: &mut Vec<Action>) {
        while self.paper.waiting.front().is_some_and(|w| w.job <= job) {
            let Some(waiting) = self.paper.waiting.pop_front() else { return };
            if done {
                self.paper.kept = self.paper.kept.max(waiting.slot);
                self.paper.failed = false;
                for after in waiting.after {
                    match after {
                        After::Word(token, word) => out.push(Action::Reply(token, Reply::Word(word))),
                        After::Own(ballot, word) => {
                            self.heard(now, ballot, self.start.me, word, out);
                            self.word_less(now, ballot);
                        }
                        After::Kept(token) => out.push(Action::Reply(token, Reply::Done)),
                    }
                }
            } else {
                self.paper.failed = true;
                self.paper.jumped();
                self.unkept(waiting.after, out);
            }
        }
    }

    /// What was to follow a write that cannot be made.
    pub(crate) fn unkept(&mut self, after: Vec<After>, out: &mut Vec<Action>) {
        for after in after {
            match after {
                After::Word(token, _) => {
                    out.push(Action::Reply(token, Reply::Word(AcceptorReply::Abstained)))
                }
                After::Own(ballot, _) => self.word_less(self.paper.now(), ballot),
                After::Kept(token) => out.push(Action::Reply(token, Reply::Not)),
            }
        }
    }
}
