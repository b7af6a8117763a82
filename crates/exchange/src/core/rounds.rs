//! A core machine's rounds to the others: surety, gossip, duties; and the sets that it agrees on with them.

use super::*;

/// Pause between two rounds to the other core machines.
const ROUND: Duration = Duration::from_millis(250);
/// The pause in the first seconds of a process: the fleet may have ended as a whole, and waits for the core.
const ROUND_FIRST: Duration = Duration::from_millis(60);
/// See [`ROUND_FIRST`].
const FIRST: Micros = 3_000_000;
/// The first set of core machines is agreed this long after the start, when all have shown themselves.
const FOUNDING: Micros = 1_000_000;
/// A machine that shows itself for so long is taken into the core.
const SHOWN: Micros = 2_500_000;
/// Servers that missed their reports for so many times the pause between two are held to be silent.
const MISSED: u64 = 3;
/// A limiter that has been away for so long holds no quota, whoever granted it.
const FORGOTTEN: Micros = 120_000_000;

impl Core {
    /// One round to the others: what is the newest state, who is there, who holds what. Returns whether a majority answered
    /// and this machine's state was the newest as of the round's start.
    pub async fn round(self: &Rc<Self>) -> bool {
        let asked = now();
        let others = self.others();
        let live: Vec<Node> = {
            let shown = self.shown.borrow();
            let recent = |n: &Node| shown.get(n).is_some_and(|(_, last, _)| asked - last < 1_500_000);
            others.iter().copied().filter(recent).chain([self.me]).collect()
        };
        let claims = if self.board.borrow().state.core.contains(&self.me) {
            self.duties.borrow().claims(asked, self.me, self.boot, &live, &self.votes.borrow())
        } else {
            Vec::new()
        };
        let held = self.duties.borrow().held(asked);
        let beats: Vec<Report> = {
            let ids = std::mem::take(&mut *self.beats.borrow_mut());
            let board = self.board.borrow();
            ids.iter().filter_map(|id| board.watch.report(asked, id)).collect()
        };
        let members: Vec<Presence> = {
            let mut direct = self.direct.borrow_mut();
            direct.retain(|_, p| asked.saturating_sub(p.age) < limeway_roster::LEASE);
            direct.values().map(|p| Presence { age: asked.saturating_sub(p.age), ..p.clone() }).collect()
        };
        let ping = |all: bool| Ping {
            node: self.me,
            counted: self.settings.counted && self.settings.data.is_some(),
            beats: beats.clone(),
            members: members.clone(),
            boot: self.boot,
            held: held.clone(),
            claims: claims.clone(),
            all,
        };
        let (tell, mut told) = mpsc::channel(others.len().max(1));
        for node in &others {
            let all = self.missed.borrow().contains(node);
            let (link, call, tell, node) = (self.links.to(*node), Call::Ping(ping(all)), tell.clone(), *node);
            tokio::task::spawn_local(async move {
                let _ = tell.send((node, link.call(&call, ROUND_WAIT).await.ok())).await;
            });
        }
        drop(tell);
        let own = self.acceptor.borrow().clone();
        let voters = self.voters();
        let majority = voters.len() / 2 + 1;
        let mut words = usize::from(own.votes && voters.contains(&self.me));
        let (mut newest, mut pending) = ((own.applied, self.me), own.open.accepted.is_some());
        let mut given = BTreeMap::<usize, usize>::new();
        {
            let mut votes = self.votes.borrow_mut();
            for claim in &claims {
                if votes.claim(asked, self.me, *claim) {
                    *given.entry(claim.group).or_default() += 1;
                }
            }
        }
        let (mut sure, mut concluded) = (false, false);
        while let Some((node, reply)) = told.recv().await {
            let Some(Reply::Pong(pong)) = reply else {
                self.missed.borrow_mut().insert(node);
                continue;
            };
            self.missed.borrow_mut().remove(&node);
            {
                let mut votes = self.votes.borrow_mut();
                votes.hear(now(), node, pong.boot, &pong.held);
                votes.complete(&others);
            }
            self.hear_all(&pong.servers, false);
            if pong.votes {
                words += 1;
            }
            if pong.slot > newest.0 {
                newest = (pong.slot, node);
                pending = pong.pending;
            } else if pong.slot == newest.0 {
                pending |= pong.pending;
            }
            for group in pong.given {
                *given.entry(group).or_default() += 1;
            }
            // A majority is enough: who is silent holds nothing up.
            if words >= majority && !concluded {
                concluded = true;
                sure = newest.0 <= self.board.borrow().state.slot && !pending;
                if sure {
                    self.settled.set(asked);
                    let mut board = self.board.borrow_mut();
                    board.sure = board.sure.max(asked);
                }
            }
            self.win(asked, &claims, &given, majority);
        }
        if voters.len() == 1 && words == 1 && !pending {
            sure = true;
            self.settled.set(asked);
            self.board.borrow_mut().sure = asked;
        }
        self.win(asked, &claims, &given, majority);
        for claim in claims.iter().filter(|c| !c.holds && !self.duties.borrow().holds(now(), c.group)) {
            self.votes.borrow_mut().release(self.me, *claim);
        }
        if newest.0 > self.board.borrow().state.slot {
            self.catch_up(newest.1).await;
        } else if pending && words >= majority {
            // Whoever proposed it may have gone: it is finished, whatever it is, so that the state can be sure again.
            self.finish().await;
        }
        sure
    }

    pub(super) fn win(
        &self,
        asked: Micros,
        claims: &[limeway_roster::Claim],
        given: &BTreeMap<usize, usize>,
        majority: usize,
    ) {
        let t = now();
        let length = Self::rule(&self.settings).length();
        for claim in claims.iter().filter(|c| given.get(&c.group).copied().unwrap_or(0) >= majority) {
            if self.duties.borrow_mut().won(t, asked, *claim) {
                // The very first holder of all has no one before it. Any other begins a whole window after the last one,
                // which at the latest ended when this holding began, or before this process started.
                let first = self.founder && t - self.started < limeway_roster::TERM;
                let young = t - self.started < limeway_roster::TERM;
                let start = if first {
                    t
                } else if young {
                    t.max(self.started + length)
                } else {
                    t + length
                };
                let term = self.boot ^ t.rotate_left(32);
                let doors = &self.board.borrow().state.doors;
                self.counts.borrow_mut()[claim.group] = Some(Count::new(start, term, length, doors, first));
                log::info!(group = claim.group; "holds a duty");
            }
        }
    }

    /// Runs for ever: rounds, repair, sweeps.
    pub async fn run(self: Rc<Self>) {
        if self.founder {
            if self.seeds().contains(&self.me) {
                self.acceptor.borrow_mut().votes = true;
            }
            self.keep(true).await;
        }
        self.missed.borrow_mut().extend(self.others());
        loop {
            self.round().await;
            if !self.acceptor.borrow().votes {
                self.recover().await;
            } else if !self.disk.sound.get() {
                // Once the disk takes writes again, this machine votes again.
                self.keep(true).await;
            }
            self.found().await;
            self.board.borrow_mut().watch.sweep(now(), MISSED * self.settings.heartbeat + 700_000);
            self.roster.borrow_mut().sweep(now());
            self.sweep_counts();
            self.doors().await;
            self.refresh();
            let young = now() - self.started < FIRST;
            tokio::time::sleep(if young { ROUND_FIRST } else { ROUND }).await;
        }
    }

    pub(super) fn sweep_counts(&self) {
        let (t, duties) = (now(), self.duties.borrow());
        let doors = self.board.borrow().state.doors.len();
        for (group, slot) in self.counts.borrow_mut().iter_mut().enumerate() {
            if !duties.holds(t, group) {
                *slot = None;
            } else if let Some(count) = slot {
                count.set_doors(doors);
                count.sweep(t);
            }
        }
    }

    /// Agrees on the limiters that may hold quota: those that have come, and those that have been away for long.
    pub(super) async fn doors(self: &Rc<Self>) {
        let t = now();
        let live: BTreeSet<Node> = self.roster.borrow().live(t).map(|(n, ..)| n).collect();
        let state_doors = self.board.borrow().state.doors.clone();
        let add: Vec<Node> = live.difference(&state_doors).copied().collect();
        let drop: Vec<Node> = {
            let mut away = self.away.borrow_mut();
            away.retain(|n, _| state_doors.contains(n) && !live.contains(n));
            for node in state_doors.difference(&live) {
                away.entry(*node).or_insert(t);
            }
            away.iter().filter(|(_, since)| t - **since > FORGOTTEN).map(|(n, _)| *n).collect()
        };
        // One machine does it, or all would outbid each other.
        let first =
            self.board.borrow().state.core.iter().copied().filter(|n| *n == self.me || self.shows(*n)).min();
        if (add.is_empty() && drop.is_empty()) || first != Some(self.me) {
            return;
        }
        let op = limeway_numbering::Op::Doors { add, drop };
        let fits = move |state: &State| state.doors == state_doors;
        if let Err(e) = self.propose(&op, fits).await {
            log::debug!("limiters: {e:?}");
        }
    }

    /// Whether another core machine has shown itself lately.
    pub(super) fn shows(&self, node: Node) -> bool {
        self.shown.borrow().get(&node).is_some_and(|(_, last, _)| now() - last < 1_500_000)
    }

    /// Agrees on the set of core machines: the first one, and those that have come since.
    pub(super) async fn found(self: &Rc<Self>) {
        let t = now();
        let core = self.board.borrow().state.core.clone();
        let next: Vec<Node> = {
            let shown = self.shown.borrow();
            let fresh = |last: &Micros| t - last < 1_000_000;
            if core.is_empty() {
                let seeds = self.seeds();
                let place = seeds.iter().position(|n| *n == self.me);
                let Some(place) = place.filter(|_| self.founder || self.acceptor.borrow().votes) else {
                    return;
                };
                if t - self.started < FOUNDING + place as u64 * 400_000 {
                    return;
                }
                let others =
                    shown.iter().filter(|(_, (_, last, counted))| *counted && fresh(last)).map(|(n, _)| *n);
                seeds.into_iter().chain(others).collect()
            } else {
                if core.iter().min() != Some(&self.me) || core.len() >= CORE_MOST {
                    return;
                }
                let new = shown.iter().find(|(n, (first, last, counted))| {
                    *counted && fresh(last) && t - first > SHOWN && !core.contains(n)
                });
                let Some((new, _)) = new else { return };
                core.iter().copied().chain([*new]).collect()
            }
        };
        let set: BTreeSet<Node> = next.into_iter().take(CORE_MOST).collect();
        let before = core;
        let op = limeway_numbering::Op::Core(set.into_iter().collect());
        let fits = move |state: &State| state.core == before;
        if let Err(e) = self.propose(&op, fits).await {
            log::debug!("core set: {e:?}");
        }
    }
}
