//! What servers report. A step (draining, gone) is acknowledged once a majority of the seats knows it.

use crate::messages::Call;
use crate::{Action, Asked, Marker, Micros, Token, Told};
use limeway_consensus::NodeId;
use limeway_service_registry::{Observation, Phase, ServerReport};

/// Others hear of a step within it.
const SPREAD_WAIT: Micros = 500_000;

/// A step that is being told to the others.
#[derive(Debug)]
pub(crate) struct Spread {
    token: Option<Token>,
    need: usize,
    have: usize,
    open: usize,
}

impl Marker {
    /// Takes reports in. `direct` ones came from the servers themselves and are told on. True if any is news.
    pub(crate) fn hear_all(&mut self, now: Micros, reports: &[ServerReport], direct: bool) -> bool {
        let mut news = false;
        for report in reports {
            let heard = self.board.registry.observe(now, report);
            news |= heard == Observation::Changed;
            if direct && heard != Observation::Ignored {
                self.beats.insert(report.id.clone());
            }
        }
        self.news.fresh |= news;
        news
    }

    pub(crate) fn beat(&mut self, now: Micros, token: Token, report: ServerReport, out: &mut Vec<Action>) {
        if !self.touch(now) {
            // Another machine can tell limiters of it.
            return out.push(Action::Tell(token, Told::Unclear));
        }
        let news = self.hear_all(now, std::slice::from_ref(&report), true);
        let ready = report.phase == Phase::Ready;
        if ready {
            out.push(Action::Tell(token, Told::Done));
        }
        if news || !ready {
            self.spread((!ready).then_some(token), report, out);
        }
    }

    pub(crate) fn gone(&mut self, now: Micros, token: Token, id: &str, out: &mut Vec<Action>) {
        if !self.touch(now) {
            return out.push(Action::Tell(token, Told::Unclear));
        }
        let ended = self.board.registry.deregister(now, id);
        self.news.fresh = true;
        match ended.then(|| self.board.registry.report(now, id)).flatten() {
            Some(report) => self.spread(Some(token), report, out),
            // Nothing is known of it, so nothing goes there.
            None => out.push(Action::Tell(token, Told::Done)),
        }
    }

    fn spread(&mut self, token: Option<Token>, report: ServerReport, out: &mut Vec<Action>) {
        let seats: Vec<NodeId> = self.seats().iter().map(|s| s.node).collect();
        let others: Vec<NodeId> = seats.iter().copied().filter(|n| *n != self.start.me).collect();
        let need = seats.len() / 2 + 1;
        let have = usize::from(self.seat().is_some());
        let number = self.last_ticket + 1;
        self.spreads.insert(number, Spread { token, need, have, open: others.len() });
        for node in others {
            self.send(node, Call::Push(vec![report.clone()]), SPREAD_WAIT, Asked::Spread(number), out);
        }
        self.conclude_spread(number, out);
    }

    pub(crate) fn spread_reply(&mut self, number: u64, done: bool, out: &mut Vec<Action>) {
        if let Some(spread) = self.spreads.get_mut(&number) {
            spread.have += usize::from(done);
            spread.open = spread.open.saturating_sub(1);
        }
        self.conclude_spread(number, out);
    }

    fn conclude_spread(&mut self, number: u64, out: &mut Vec<Action>) {
        let Some(spread) = self.spreads.get_mut(&number) else { return };
        let done = spread.have >= spread.need;
        if let Some(token) = spread.token.take_if(|_| done || spread.open == 0) {
            out.push(Action::Tell(token, if done { Told::Done } else { Told::Unclear }));
        }
        if spread.open == 0 {
            self.spreads.remove(&number);
        }
    }
}
