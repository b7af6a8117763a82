//! Ballots that this machine holds: an order becomes the value of the next slot, or is refused.

use crate::clock::{draw, now};
use crate::core::Core;
use crate::messages::{Call, Reply};
use limeway_ballot::{Ballot, Next, Round, Word};
use limeway_numbering::document::Order;
use limeway_numbering::{BadConfig, Op, Refusal, State};
use limeway_tandem::pack;
use serde_bytes::ByteBuf;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A voter's word counts for so long.
const WORD_WAIT: Duration = Duration::from_millis(450);
/// An order is tried for so long: its sender tries another machine after a second of silence.
const ORDER_WAIT: Duration = Duration::from_millis(900);
/// An evacuation, or its end, that comes this soon after the last of its kind for a zone is the same call sent again.
const AGAIN: u64 = 2_500_000;
/// Ballots for one order, at most.
const BALLOTS_MOST: u32 = 12;

/// Why an order is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Declined {
    /// Another version is in place.
    Stale,
    /// It is invalid.
    Invalid(BadConfig),
    /// No majority can be had now; it may or may not be in force later.
    Unclear,
    /// What it should build on has changed.
    Unfit,
}

impl fmt::Display for Declined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Declined::Stale => f.write_str("another version is in place"),
            Declined::Invalid(e) => write!(f, "invalid: {e}"),
            Declined::Unclear => f.write_str("no majority of the core can be had"),
            Declined::Unfit => f.write_str("does not fit the state"),
        }
    }
}

impl std::error::Error for Declined {}

/// How a ballot ended.
enum Ended {
    /// This value is chosen for the slot, and applied here.
    Chosen(ByteBuf),
    /// This machine was behind, and has caught up if it could.
    Behind,
    /// A higher ballot, or no majority.
    Lost,
}

impl Core {
    /// Holds one ballot on the next slot for a value; an empty one only finishes what is found.
    async fn ballot(self: &Rc<Self>, value: &ByteBuf) -> Ended {
        let voters = self.voters();
        let others = self.others();
        let (slot, round) = {
            let acceptor = self.acceptor.borrow();
            (acceptor.applied + 1, acceptor.open.promised.round.max(self.outbid.get()) + 1)
        };
        let ballot = Ballot { round, node: self.me };
        let mut held = Round::new(slot, ballot, voters.clone(), value.clone());
        let mut asked = Call::Prepare(slot, ballot);
        let chosen;
        let (mut promised, mut accepting) = (false, ByteBuf::new());
        'phases: loop {
            // The others are asked before the own disk is waited for.
            let mut told = self.ask_all(&others, &asked, WORD_WAIT);
            let mut next = Next::Wait;
            if voters.contains(&self.me) {
                let value = promised.then(|| accepting.clone());
                let word = self.vote(slot, ballot, value).await;
                next = held.hear(self.me, word);
            }
            loop {
                match next {
                    Next::Wait => {}
                    Next::Accept { value, .. } => {
                        (promised, accepting) = (true, value.clone());
                        asked = Call::Accept(slot, ballot, value);
                        continue 'phases;
                    }
                    Next::Chosen => {
                        chosen = accepting;
                        break 'phases;
                    }
                    Next::CatchUp(_) => return Ended::Behind,
                    Next::Outbid(other) => {
                        self.outbid.set(self.outbid.get().max(other.round));
                        return Ended::Lost;
                    }
                }
                next = match told.recv().await {
                    Some((node, Some(Reply::Word(word)))) => {
                        if let Word::Behind(_) = word {
                            // It fetches what it lacks in its own round.
                            log::debug!(node; "is behind");
                        }
                        held.hear(node, word)
                    }
                    Some(_) => Next::Wait,
                    None => return Ended::Lost,
                };
            }
        }
        let value = chosen;
        if value.is_empty() {
            // Nothing had been accepted: there was nothing to finish.
            return Ended::Chosen(value);
        }
        self.learn(slot, &value).await;
        // Others learn it at once; who does not hear it fetches it in its next round.
        for node in others {
            let (link, call) = (self.links.to(node), Call::Chosen(slot, value.clone()));
            tokio::task::spawn_local(async move { link.call(&call, WORD_WAIT).await.map(drop) });
        }
        Ended::Chosen(value)
    }

    /// Finishes what may have been begun for the next slot.
    pub async fn finish(self: &Rc<Self>) {
        let Ok(_one) = self.proposing.try_lock() else { return };
        self.ballot(&ByteBuf::new()).await;
    }

    /// Has an operation chosen, as long as it fits the state.
    pub async fn propose(self: &Rc<Self>, op: &Op, fits: impl Fn(&State) -> bool) -> Result<(), Declined> {
        let value = ByteBuf::from(pack(op));
        let until = Instant::now() + ORDER_WAIT;
        let Ok(_one) = tokio::time::timeout_at(until, self.proposing.lock()).await else {
            return Err(Declined::Unclear);
        };
        for _ in 0..BALLOTS_MOST {
            if !fits(&self.board.borrow().state) {
                return Err(Declined::Unfit);
            }
            let ended = tokio::time::timeout_at(until, self.ballot(&value)).await;
            match ended {
                Ok(Ended::Chosen(chosen)) if chosen == value => return Ok(()),
                Ok(Ended::Chosen(_)) => {}
                Ok(Ended::Behind) => {
                    drop(tokio::time::timeout_at(until, self.round()).await);
                }
                // Two who outbid each other part by chance.
                Ok(Ended::Lost) => sleep(Duration::from_millis(4 + draw() % 30)).await,
                Err(_) => return Err(Declined::Unclear),
            }
            if Instant::now() >= until {
                break;
            }
        }
        Err(Declined::Unclear)
    }

    /// Takes an operator's change of the configuration.
    pub async fn order(self: &Rc<Self>, order: Order) -> Result<(), Declined> {
        let until = Instant::now() + ORDER_WAIT;
        let mut refreshed = false;
        let (version, digest) = (order.version, order.digest);
        loop {
            if self.board.borrow().state.has_taken(&order) {
                return Ok(());
            }
            let admitted = self.board.borrow().state.admit(&order, &self.plan.borrow());
            let op = match admitted {
                Ok(op) => op,
                Err(refusal) => {
                    // A machine that is behind must not refuse by an old state.
                    if !refreshed {
                        refreshed = true;
                        let begun = now();
                        while self.settled.get() < begun {
                            if Instant::now() >= until {
                                return Err(Declined::Unclear);
                            }
                            if !self.round().await {
                                sleep(Duration::from_millis(20)).await;
                            }
                        }
                        continue;
                    }
                    return Err(match refusal {
                        Refusal::Stale(_) => Declined::Stale,
                        Refusal::Invalid(e) => Declined::Invalid(e),
                        Refusal::Forgotten => Declined::Unclear,
                    });
                }
            };
            match self.propose(&op, |state| state.fits(&op)).await {
                // The state says so, not the ballot.
                Ok(()) if self.board.borrow().state.has_taken(&order) => {
                    log::info!(version, digest; "configuration taken");
                    return Ok(());
                }
                // Another change came first: the state tells what becomes of this one.
                Ok(()) | Err(Declined::Unfit) => refreshed = false,
                Err(e) => return Err(e),
            }
            if Instant::now() >= until {
                return Err(Declined::Unclear);
            }
        }
    }

    /// Begins to evacuate a zone, or takes that back. Neither call says whether it is a new one or one sent again without a
    /// clear answer: one that comes soon after its like is held to be that one again.
    pub async fn evacuate(self: &Rc<Self>, zone: &str, begun: bool) -> Result<(), Declined> {
        let op = Op::Evacuate { zone: zone.to_owned(), begun, mark: 0, again: 0 };
        for _ in 0..BALLOTS_MOST {
            let count = self.board.borrow().state.evacuated.get(zone).copied().unwrap_or(0);
            let seen =
                self.evacuations.borrow().get(&(zone.to_owned(), begun)).copied().unwrap_or(self.started);
            let again = now().saturating_sub(seen) < AGAIN;
            // This machine has applied it, so a majority has it on disk.
            if (begun && count > 0 && again) || (!begun && (count == 0 || again)) {
                return Ok(());
            }
            let fits = |state: &State| state.evacuated.get(zone).copied().unwrap_or(0) == count;
            match self.propose(&op, fits).await {
                Err(Declined::Unfit) => {}
                other => return other,
            }
        }
        Err(Declined::Unclear)
    }
}
