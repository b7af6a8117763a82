//! Duties change hands under a fence, whatever is lost, late or restarted.

use limeway_membership::{
    preferred_node, shard_of, HeldLease, HeldLeases, Holder, LeaseRequest, LeaseVoter, Micros,
    LEASE_REQUEST_TIMEOUT, ROLE_LEASE, SHARDS,
};
use rstest::rstest;

fn holder(node: u32, incarnation: u64) -> Holder {
    Holder { node, incarnation }
}

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        limeway_membership::hash(&self.0.to_le_bytes()) % n
    }
}

struct Machine {
    incarnation: u64,
    votes: LeaseVoter,
    leases: HeldLeases,
    /// A round that is under way: when it was asked, its claims, the votes so far.
    round: Option<(Micros, Vec<LeaseRequest>, Vec<usize>)>,
}

/// Plays three machines; the most that held one group at one time, and for how many steps one was held at all.
#[allow(clippy::too_many_lines, reason = "one schedule, read from top to bottom")]
fn play(seed: u64, forgetful: bool) -> (usize, usize) {
    let mut rng = Rng(seed);
    let mut now: Micros = 1_000_000_000;
    let fresh = |now, incarnation, forgotten| Machine {
        incarnation,
        votes: LeaseVoter::new(now, forgotten),
        leases: HeldLeases::default(),
        round: None,
    };
    let mut machines: Vec<Machine> = (1..=3).map(|n| fresh(now, n, false)).collect();
    // Votes and lease exchanges under way: from, to, incarnation of the sender, when asked, claim or what is held.
    let mut wire: Vec<(usize, usize, u64, Micros, LeaseRequest)> = Vec::new();
    let mut exchanges: Vec<(usize, usize, u64, Vec<HeldLease>)> = Vec::new();
    let (mut most, mut held, mut incarnations) = (0, 0, 10);
    for _ in 0..3_000 {
        now += rng.below(60_000);
        let at = rng.below(3) as usize;
        match rng.below(20) {
            // A machine restarts, and forgets.
            0 if rng.below(12) == 0 => {
                incarnations += 1;
                machines[at] = fresh(now, incarnations, !forgetful);
            }
            1..=5 => {
                // Now and then a machine sees nobody else, and holds itself to be the first choice.
                let alone = [at as u32 + 1];
                let live: &[u32] = if rng.below(3) == 0 { &alone } else { &[1, 2, 3] };
                let m = &mut machines[at];
                // The last round of this machine is over.
                if let Some((_, claims, _)) = m.round.take() {
                    let lost = claims.into_iter().filter(|c| !c.renewal && !m.leases.holds(now, c.shard));
                    lost.for_each(|c| m.votes.release_vote(at as u32 + 1, c));
                }
                let claims = m.leases.requests(now, holder(at as u32 + 1, m.incarnation), live, &m.votes);
                let claims: Vec<LeaseRequest> = claims.into_iter().filter(|c| c.shard == 0).collect();
                for claim in &claims {
                    (0..3).for_each(|to| wire.push((at, to, m.incarnation, now, *claim)));
                }
                m.round = Some((now, claims, Vec::new()));
                let holds = m.leases.held(now);
                (0..3)
                    .filter(|to| *to != at)
                    .for_each(|to| exchanges.push((at, to, m.incarnation, holds.clone())));
            }
            6..=8 if !exchanges.is_empty() => {
                let (from, to, incarnation, holds) =
                    exchanges.swap_remove(rng.below(exchanges.len() as u64) as usize);
                // What a process says of itself comes in order, as its connection ends with it.
                if machines[from].incarnation == incarnation
                    && machines[from].leases.held(now).len() >= holds.len()
                {
                    let holds = machines[from].leases.held(now);
                    machines[to].votes.observe_holder(now, holder(from as u32 + 1, incarnation), &holds);
                    let others: Vec<u32> = (1..=3).filter(|n| *n != to as u32 + 1).collect();
                    machines[to].votes.complete_recovery(&others);
                }
            }
            _ if !wire.is_empty() => {
                let (from, to, incarnation, asked, claim) =
                    wire.swap_remove(rng.below(wire.len() as u64) as usize);
                if rng.below(10) == 0
                    || now - asked > LEASE_REQUEST_TIMEOUT
                    || machines[from].incarnation != incarnation
                {
                    continue;
                }
                let given = machines[to].votes.vote(now, from as u32 + 1, claim);
                let m = &mut machines[from];
                if let Some((_, _, votes)) = m.round.as_mut().filter(|r| r.0 == asked && given) {
                    if !votes.contains(&to) {
                        votes.push(to);
                    }
                    if votes.len() >= 2 {
                        m.leases.acquire(now, asked, claim);
                    }
                }
            }
            _ => {}
        }
        let holders = machines.iter().filter(|m| m.leases.holds(now, 0)).count();
        most = most.max(holders);
        held += holders.min(1);
    }
    (most, held)
}

#[rstest]
fn no_two_machines_hold_a_group_at_one_time() {
    let mut held = 0;
    for seed in 0..400 {
        let (most, steps) = play(seed, false);
        assert!(most <= 1, "seed {seed}: {most} holders at once");
        held += steps;
    }
    assert!(held > 400 * 1_000, "a group was hardly ever held: {held}");
}

#[rstest]
fn a_voter_that_forgot_its_votes_must_wait() {
    assert!((0..400).any(|seed| play(seed, true).0 > 1));
}

#[rstest]
fn a_new_life_of_a_process_frees_what_it_held() {
    let (mut votes, now) = (LeaseVoter::new(0, false), 100 * ROLE_LEASE);
    let claim = |incarnation| LeaseRequest { shard: 3, incarnation, renewal: false };
    assert!(votes.vote(now, 1, claim(7)));
    assert!(!votes.vote(now, 2, claim(8)), "held by another");
    assert!(!votes.vote(now, 1, claim(9)), "its own earlier life may still hold it");
    votes.observe_holder(now, holder(1, 9), &[]);
    assert!(votes.vote(now, 2, claim(8)));
}

/// A voter that was alone voted for itself; the others gave the group to another meanwhile. It must follow, or its limiters
/// ask a machine that holds nothing for as long as both live (voz-comum-antena trouble-3, every second play).
#[rstest]
fn a_vote_that_came_to_nothing_gives_way_to_the_holder() {
    let (mut votes, mut leases, now) = (LeaseVoter::new(0, false), HeldLeases::default(), 100 * ROLE_LEASE);
    let own = leases.requests(now, holder(1, 7), &[1], &votes)[0];
    assert!(votes.vote(now, 1, own));
    votes.observe_holder(now + 1, holder(2, 8), &[HeldLease { shard: own.shard, remaining: ROLE_LEASE }]);
    assert_eq!(votes.holder(now + 2, own.shard), Some(holder(2, 8)));
    assert!(leases.requests(now + 2, holder(1, 7), &[1], &votes).iter().all(|c| c.shard != own.shard));
    // A round that counted its vote may still be won: nobody else gets it before that vote's own time.
    assert!(!votes.vote(now + ROLE_LEASE - 1, 3, LeaseRequest { incarnation: 9, ..own }));
    leases.acquire(now, now, own);
    assert!(leases.holds(now + ROLE_LEASE - 1, own.shard));
}

#[rstest]
fn a_claim_that_was_lost_frees_its_own_vote() {
    let mut votes = LeaseVoter::new(0, false);
    let claim = LeaseRequest { shard: 2, incarnation: 1, renewal: false };
    assert!(votes.vote(10, 1, claim));
    votes.release_vote(3, claim);
    assert!(!votes.vote(11, 2, LeaseRequest { incarnation: 5, ..claim }), "another machine's release");
    votes.release_vote(1, claim);
    assert!(votes.vote(12, 2, LeaseRequest { incarnation: 5, ..claim }));
}

#[rstest]
fn a_holding_that_ended_is_not_renewed_by_a_late_answer() {
    let mut leases = HeldLeases::default();
    let claim = LeaseRequest { shard: 0, incarnation: 1, renewal: false };
    assert!(leases.acquire(10, 10, claim));
    let renewed = LeaseRequest { renewal: true, ..claim };
    assert!(!leases.acquire(11 + ROLE_LEASE, 10 + ROLE_LEASE, renewed));
    assert!(!leases.holds(11 + ROLE_LEASE, 0));
}

#[rstest]
fn keys_spread_and_only_those_of_a_lost_machine_move() {
    let nodes: Vec<u32> = (1..=9).collect();
    let mut counts = [0; 10];
    for key in 0..9_000u64 {
        let all = preferred_node(key, nodes.iter().copied()).expect("some");
        counts[all as usize] += 1;
        let without = preferred_node(key, nodes.iter().copied().filter(|n| *n != 5)).expect("some");
        assert!(all == 5 || all == without);
    }
    assert!(counts[1..].iter().all(|c| (800..1_200).contains(c)), "{counts:?}");
    assert!(
        (0..100).map(|n| shard_of(&format!("tenant{n}"))).collect::<std::collections::BTreeSet<_>>().len()
            == SHARDS
    );
}

/// A replica with an empty disk knows of no voters yet: nobody it could have heard is no one that it has heard.
#[rstest]
fn a_voter_that_knows_no_others_has_not_heard_them_all() {
    let now: Micros = 1_000_000_000;
    let mut votes = LeaseVoter::new(now, true);
    votes.observe_holder(now + LEASE_REQUEST_TIMEOUT, holder(1, 7), &[]);
    votes.complete_recovery(&[]);
    let request = LeaseRequest { shard: 3, incarnation: 8, renewal: false };
    assert!(!votes.vote(now + LEASE_REQUEST_TIMEOUT, 2, request), "its disk may have voted for another one");
    assert!(votes.vote(now + ROLE_LEASE, 2, request), "any such lease has expired");
}
