//! This machine's part in ballots, those that it holds itself, and catching up with what others have.

use crate::messages::{Call, Reply};
use crate::paper::After;
use crate::{Action, Asked, Marker, Micros, Token};
use limeway_consensus::{AcceptorReply, NodeId, ProposalNumber, Proposer, ProposerStep, Slot};
use limeway_distribution::transfer::StateRequest;
use serde_bytes::ByteBuf;

/// A voter's word counts for so long.
const WORD_WAIT: Micros = 450_000;
/// Longest time that a machine takes to hand over a part of what another lacks.
const FETCH_WAIT: Micros = 700_000;
/// Two who outbid each other part by chance: the least pause, and the most that chance adds, doubled with each loss in a row.
const PARTING: (Micros, Micros) = (4_000, 24_000);
/// Another machine's ballot that this one has just given its word to goes on for so long at the most without a further word:
/// a round trip on the longest links, and the writes of others.
const YIELDS: Micros = 250_000;
/// Losses in a row that lengthen the pause.
const LOSSES_MOST: u32 = 3;

/// A ballot that this machine holds.
#[derive(Debug)]
struct Held {
    number: u64,
    round: Proposer,
    /// What is to be accepted, once enough have promised.
    accepting: Option<ByteBuf>,
    until: Micros,
    /// Words that may still come.
    open: usize,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct Ballots {
    held: Option<Held>,
    last: u64,
    /// The highest round that this machine lost against.
    outbid: u64,
    rest: Micros,
    /// Until when another machine's ballot on this slot is let go on: who outbids it only because it is slow ends both.
    yields: Micros,
    losses: u32,
    /// Another machine hands over what this one lacks.
    fetching: Option<Micros>,
}

impl Ballots {
    pub(crate) fn wake(&self, now: Micros, waits: bool) -> Option<Micros> {
        let free = self.rest.max(self.yields);
        self.held.as_ref().map(|h| h.until).or((waits && free > now).then_some(free))
    }

    /// Whether a ballot may be begun.
    pub(crate) fn free(&self, now: Micros) -> bool {
        self.held.is_none() && now >= self.rest.max(self.yields)
    }
}

impl Marker {
    /// Another machine's ballot asks for a word; it is given once it is on disk.
    pub(crate) fn vote(
        &mut self,
        now: Micros,
        token: Token,
        slot: Slot,
        ballot: ProposalNumber,
        value: Option<ByteBuf>,
        out: &mut Vec<Action>,
    ) {
        match self.word(now, slot, ballot, value) {
            word @ (AcceptorReply::Promised { .. } | AcceptorReply::Accepted { .. }) => {
                self.ballots.yields = now + YIELDS;
                self.write(vec![After::Word(token, word)], out);
            }
            word => {
                if let AcceptorReply::Behind(_) = word {
                    self.fetch(now, ballot.proposer, out);
                }
                out.push(Action::Reply(token, Reply::Word(word)));
            }
        }
    }

    fn word(
        &mut self,
        now: Micros,
        slot: Slot,
        ballot: ProposalNumber,
        value: Option<ByteBuf>,
    ) -> AcceptorReply {
        let behind = slot > self.acceptor.applied + 1;
        if slot > self.acceptor.applied && !behind && (self.seat().is_none() || !self.paper.sound(now)) {
            return AcceptorReply::Abstained;
        }
        match value {
            None => self.acceptor.prepare(slot, ballot),
            Some(value) => self.acceptor.accept(slot, ballot, value),
        }
    }

    /// Holds a ballot on the next slot.
    pub(crate) fn hold(&mut self, now: Micros, value: ByteBuf, out: &mut Vec<Action>) {
        let slot = self.acceptor.applied + 1;
        let round = self.acceptor.slot_state.promised.round.max(self.ballots.outbid) + 1;
        let ballot = ProposalNumber { round, proposer: self.start.me, incarnation: self.start.boot };
        self.ballots.last += 1;
        let number = self.ballots.last;
        let round = Proposer::new(slot, ballot, self.seats(), value);
        self.ballots.held = Some(Held { number, round, accepting: None, until: now + WORD_WAIT, open: 0 });
        self.canvass(now, number, Call::Prepare(slot, ballot), None, out);
    }

    /// Asks all seats for their word. The others are asked before the own disk is waited for.
    fn canvass(
        &mut self,
        now: Micros,
        number: u64,
        call: Call,
        value: Option<ByteBuf>,
        out: &mut Vec<Action>,
    ) {
        let seats = self.seats();
        let me = self.start.me;
        let votes = self.seat().is_some();
        let open = seats.iter().filter(|s| s.node != me).count() + usize::from(votes);
        for seat in seats.iter().filter(|s| s.node != me) {
            self.send(seat.node, call.clone(), WORD_WAIT, Asked::Ballot(number, seat.node), out);
        }
        let Some(held) = &mut self.ballots.held else { return };
        let (slot, ballot) = (held.round.slot, held.round.number);
        (held.until, held.open) = (now + WORD_WAIT, open);
        if votes {
            match self.word(now, slot, ballot, value) {
                word @ (AcceptorReply::Promised { .. } | AcceptorReply::Accepted { .. }) => {
                    self.write(vec![After::Own(number, word)], out);
                }
                word => {
                    self.heard(now, number, me, word, out);
                    self.word_less(now, number);
                }
            }
        }
    }

    pub(crate) fn ballot_reply(
        &mut self,
        now: Micros,
        ballot: u64,
        node: NodeId,
        reply: Option<Reply>,
        out: &mut Vec<Action>,
    ) {
        if let Some(Reply::Word(word)) = reply {
            self.heard(now, ballot, node, word, out);
        }
        self.word_less(now, ballot);
    }

    /// One word fewer may still come. A ballot that nothing can come of any more is not waited for.
    pub(crate) fn word_less(&mut self, now: Micros, number: u64) {
        let Some(held) = self.ballots.held.as_mut().filter(|h| h.number == number) else { return };
        held.open = held.open.saturating_sub(1);
        if held.open == 0 {
            self.lost(now);
        }
    }

    /// A word on the ballot of this number has come.
    pub(crate) fn heard(
        &mut self,
        now: Micros,
        number: u64,
        from: NodeId,
        word: AcceptorReply,
        out: &mut Vec<Action>,
    ) {
        let Some(held) = self.ballots.held.as_mut().filter(|h| h.number == number) else { return };
        let (slot, ballot) = (held.round.slot, held.round.number);
        match held.round.handle_reply(from, word) {
            ProposerStep::Wait => {}
            ProposerStep::Accept { value, .. } => {
                held.accepting = Some(value.clone());
                // Words that are still to come on the promise count no more.
                self.ballots.last += 1;
                let number = self.ballots.last;
                held.number = number;
                self.canvass(now, number, Call::Accept(slot, ballot, value.clone()), Some(value), out);
            }
            ProposerStep::Chosen => {
                let value = held.accepting.take().unwrap_or_default();
                (self.ballots.held, self.ballots.losses, self.ballots.rest) = (None, 0, 0);
                self.learn(now, slot, &value, out);
                // Others learn it at once; who does not hear it fetches it in its next round.
                for node in self.others() {
                    let call = Call::Chosen(slot, value.clone());
                    self.send(node, call, WORD_WAIT, Asked::Chosen(node, slot), out);
                }
            }
            ProposerStep::CatchUp(_) => {
                self.ballots.held = None;
                self.fetch(now, from, out);
            }
            ProposerStep::Preempted(other) => {
                self.ballots.outbid = self.ballots.outbid.max(other.round);
                self.lost(now);
                if other.proposer != self.start.me {
                    // The other one's ballot goes on; a machine without a seat hears of it only so.
                    self.ballots.yields = now + YIELDS;
                }
            }
        }
    }

    /// A ballot came to nothing.
    fn lost(&mut self, now: Micros) {
        self.ballots.held = None;
        let most = PARTING.1 << self.ballots.losses.min(LOSSES_MOST);
        self.ballots.losses += 1;
        self.ballots.rest = now + PARTING.0 + self.draw() % most;
    }

    /// Gives up a ballot that has waited for too long.
    pub(crate) fn tire(&mut self, now: Micros) {
        if self.ballots.held.as_ref().is_some_and(|h| now >= h.until) {
            self.lost(now);
        }
    }

    /// Applies a chosen value, if its slot is the next. False if it is not.
    pub(crate) fn learn(&mut self, now: Micros, slot: Slot, value: &[u8], out: &mut Vec<Action>) -> bool {
        if self.board.state.slot + 1 != slot || !self.board.apply_operation(value) {
            return false;
        }
        self.gather(slot - 1);
        self.applied(now, Vec::new(), out);
        true
    }

    /// Another machine tells that a value is chosen.
    pub(crate) fn chosen_elsewhere(
        &mut self,
        now: Micros,
        token: Token,
        slot: Slot,
        value: &[u8],
        out: &mut Vec<Action>,
    ) {
        if slot > self.board.state.slot + 1 || self.board.state.voters.is_empty() {
            // Who tells is not known from the call; the next round finds out.
            return out.push(Action::Reply(token, Reply::Not));
        }
        if self.board.state.slot + 1 == slot {
            if !self.board.apply_operation(value) {
                return out.push(Action::Reply(token, Reply::Not));
            }
            self.gather(slot - 1);
            return self.applied(now, vec![After::Kept(token)], out);
        }
        let kept = self.paper.kept() >= slot;
        out.push(Action::Reply(token, if kept { Reply::Done } else { Reply::Not }));
    }

    /// The state has gone on: what follows from that.
    pub(crate) fn applied(&mut self, now: Micros, after: Vec<After>, out: &mut Vec<Action>) {
        let seated = self.contact.seated;
        self.acceptor.advance(self.board.state.slot);
        self.ballots.yields = 0;
        if self.ballots.held.as_ref().is_some_and(|h| h.round.slot <= self.acceptor.applied) {
            // Decided without this ballot.
            self.ballots.held = None;
        }
        if self.core != self.board.state.voters {
            self.core.clone_from(&self.board.state.voters);
            self.contact.other_seats();
        }
        let is = self.seat().is_some();
        if is && !seated && self.contact.founded {
            self.votes.become_voter(now);
        }
        (self.contact.seated, self.contact.founded) = (is, !self.board.state.voters.is_empty());
        if self.plan.version != self.board.state.version {
            match self.board.state.snapshot_from(&self.plan) {
                Ok(plan) => self.plan = plan.into(),
                Err(e) => log::error!("configuration in force cannot be read: {e}"),
            }
        }
        self.news.fresh = true;
        self.sure(now);
        self.write(after, out);
    }

    /// Has a machine hand over what this one lacks, one at a time.
    pub(crate) fn fetch(&mut self, now: Micros, from: NodeId, out: &mut Vec<Action>) {
        if from == self.start.me || self.ballots.fetching.is_some_and(|until| now < until) {
            return;
        }
        let want = self.board.state_request();
        self.ballots.fetching = Some(now + FETCH_WAIT);
        self.send(from, Call::Fetch(want), FETCH_WAIT, Asked::Fetch(from, want), out);
    }

    pub(crate) fn fetched(
        &mut self,
        now: Micros,
        (from, want): (NodeId, StateRequest),
        reply: Option<Reply>,
        out: &mut Vec<Action>,
    ) {
        self.ballots.fetching = None;
        let Some(Reply::Steps(steps)) = reply else {
            log::debug!(from; "hands over nothing");
            return;
        };
        let before = self.board.state.slot;
        if self.board.apply_update(want.slot, steps) {
            self.gather(before);
            self.applied(now, Vec::new(), out);
        }
        if self.board.state_request() != want {
            // There may be more.
            self.fetch(now, from, out);
        }
    }

    /// What was applied after a slot goes to disk: the operations, or all if they were not told.
    fn gather(&mut self, slot: Slot) {
        match self.board.compressed_after(slot) {
            Some(ops) => (slot + 1..).zip(ops).for_each(|(at, op)| self.paper.applied(at, op)),
            None => self.paper.jumped(),
        }
    }
}
