//! A core machine's part in ballots: what it votes, learns, and reads after it lost its disk.

use super::*;

/// What a machine lacks is waited for so long without a piece of it, and in all.
const FETCH_WAIT: [Duration; 2] = [Duration::from_millis(700), Duration::from_secs(20)];

impl Core {
    /// Writes the part in ballots, and the state if it is given. Without a sound disk this machine does not vote.
    pub(super) async fn keep(&self, with_state: bool) -> bool {
        let acceptor = self.acceptor.borrow().clone();
        let state = with_state.then(|| pack(&self.board.borrow().state));
        self.disk.keep(acceptor, state).await
    }

    /// Votes in a ballot; the word is given once it is on disk.
    pub async fn vote(&self, slot: Slot, ballot: limeway_ballot::Ballot, value: Option<ByteBuf>) -> Word {
        // After a write that failed, what is in memory may be more than what is on disk.
        let whole = !self.disk.sound.get();
        let word = {
            let mut acceptor = self.acceptor.borrow_mut();
            match value {
                None => acceptor.prepare(slot, ballot),
                Some(value) => acceptor.accept(slot, ballot, value),
            }
        };
        match word {
            Word::Promise { .. } | Word::Accepted if !self.keep(whole).await => Word::Abstains,
            word => word,
        }
    }

    /// A chosen value is applied, if its slot is the next.
    pub async fn learn(self: &Rc<Self>, slot: Slot, value: &[u8]) {
        {
            let mut board = self.board.borrow_mut();
            if board.state.slot + 1 != slot || !board.step(value) {
                return;
            }
        }
        self.applied().await;
    }

    pub(super) async fn applied(self: &Rc<Self>) {
        {
            let board = self.board.borrow();
            let mut known = self.evacuated.borrow_mut();
            for zone in self.settings.zones.keys() {
                let count = |m: &BTreeMap<String, u32>| m.get(zone).copied().unwrap_or(0);
                let (was, is) = (count(&known), count(&board.state.evacuated));
                if was != is {
                    self.evacuations.borrow_mut().insert((zone.clone(), is > was), now());
                }
            }
            known.clone_from(&board.state.evacuated);
            let mut acceptor = self.acceptor.borrow_mut();
            acceptor.advance(board.state.slot);
            if self.plan.borrow().version != board.state.version {
                match board.state.plan() {
                    Ok(plan) => *self.plan.borrow_mut() = Rc::new(plan),
                    Err(e) => log::error!("configuration in force cannot be read: {e}"),
                }
            }
        }
        self.news.notify_waiters();
        self.keep(true).await;
    }

    /// Fetches what a machine has that this one lacks.
    pub async fn catch_up(self: &Rc<Self>, from: Node) {
        let slot = self.board.borrow().state.slot;
        let [silence, most] = FETCH_WAIT;
        if let Ok(Reply::Steps(steps)) =
            self.links.to(from).call_patient(&Call::Fetch(slot), silence, most).await
        {
            if self.board.borrow_mut().walk(slot, steps) {
                self.applied().await;
            }
        }
    }

    /// A machine whose disk is empty reads intact ones until it may vote again.
    pub(super) async fn recover(self: &Rc<Self>) {
        let voters = self.voters();
        if !voters.contains(&self.me) || self.board.borrow().state.core.is_empty() {
            return;
        }
        let own = self.acceptor.borrow().own;
        let mut recovery = Recovery::new(voters.len(), self.settings.losses);
        let others = self.others();
        let mut told = self.ask_all(&others, &Call::Read(self.me, own), ROUND_WAIT);
        let mut best: Option<(Slot, Node)> = None;
        while let Some((node, reply)) = told.recv().await {
            if let Some(Reply::Told(Some(told))) = reply {
                best = best.max(Some((told.applied, node)));
                recovery.hear(node, told);
            }
        }
        let Some(slot) = recovery.enough() else { return };
        if let Some((_, node)) = best.filter(|_| slot > self.board.borrow().state.slot) {
            self.catch_up(node).await;
        }
        if self.board.borrow().state.slot != slot {
            return;
        }
        recovery.rejoin(&mut self.acceptor.borrow_mut());
        if self.keep(true).await {
            log::info!(slot; "read from enough intact machines: votes again");
        } else {
            self.acceptor.borrow_mut().votes = false;
        }
    }
}
