//! Whom a limiter asks, in virtual time: pauses that grow and end, and ways past a cut side.

mod common;

use common::{core, presence};
use limeway_distribution::follower::{
    Follower, FollowerAction, INITIAL_BACKOFF, MAX_BACKOFF, RETRY_INTERVAL, UPDATE_SPACING,
};
use limeway_distribution::transfer::{MAX_CHUNK_BYTES, MIN_CHUNK_BYTES};
use limeway_distribution::{encode, Micros, StateCache};
use limeway_membership::NodeId;
use limeway_routing_config::Operation;
use rstest::rstest;
use std::collections::BTreeMap;

/// A step of virtual time, in microseconds.
const STEP: Micros = 1_000;

/// What a machine does with a poll.
#[derive(Clone, Copy, PartialEq)]
enum UpstreamState {
    /// It is confirmed.
    InTouch,
    /// It is not confirmed, but answers.
    CutOff,
    /// It answers nothing: that takes 300 ms to be seen.
    Silent,
}

struct Play {
    follower: Follower,
    cache: StateCache,
    upstreams: BTreeMap<NodeId, UpstreamState>,
    core: Vec<NodeId>,
    members: Vec<NodeId>,
    /// Small changes after the first slot.
    changes: u32,
    now: Micros,
    asked: Vec<(Micros, NodeId)>,
}

impl Play {
    /// A limiter of machine 50, zone "z". What a machine is not said to be, it is not: it is silent.
    fn new(seeds: &[NodeId], core: &[NodeId], upstreams: &[(NodeId, UpstreamState)]) -> Self {
        Play {
            follower: Follower::new(50, "z", seeds.to_vec()),
            cache: StateCache::relay(9),
            upstreams: upstreams.iter().copied().collect(),
            core: core.to_vec(),
            members: Vec::new(),
            changes: 0,
            now: 20_000_000,
            asked: Vec::new(),
        }
    }

    fn until(&mut self, end: Micros) {
        while self.now < end {
            match self.follower.next_action(self.now, &self.cache) {
                FollowerAction::Wait(until) => self.now = until.max(self.now + STEP).min(end),
                FollowerAction::Fetch(..) => panic!("nothing big is sent here"),
                FollowerAction::Poll(node) => self.poll(node),
            }
        }
    }

    fn poll(&mut self, node: NodeId) {
        let asked = self.now;
        self.asked.push((asked, node));
        let poll = self.follower.poll(asked, &self.cache, presence(50), 600_000);
        let how = self.upstreams.get(&node).copied().unwrap_or(UpstreamState::Silent);
        if how == UpstreamState::Silent {
            self.now += 300_000;
            return self.follower.handle_failure(self.now, node);
        }
        let confirmed = if how == UpstreamState::InTouch { asked - 200_000 } else { 1 };
        let mut upstream = core(u64::from(node), confirmed, &self.core, 0);
        for mark in 0..self.changes {
            upstream
                .apply_operation(&encode(&Operation::SetGateways { add: vec![mark], remove: Vec::new() }));
        }
        upstream.set_members(self.members.iter().map(|n| (*n, "y".to_owned()).into()).collect());
        let held = if how == UpstreamState::InTouch && !upstream.has_update(&poll) { 600_000 } else { 0 };
        upstream.confirmed_at += if how == UpstreamState::InTouch { held } else { 0 };
        self.now += held + STEP;
        let response = upstream.respond(self.now - STEP, &poll, held);
        self.follower.handle_response(self.now, asked, &poll.request, node, response, &mut self.cache);
    }

    fn times(&self, node: NodeId) -> Vec<Micros> {
        self.asked.iter().filter(|(_, n)| *n == node).map(|(t, _)| *t).collect()
    }
}

/// The core machine that this limiter asks first.
fn first_choice(core: &[NodeId]) -> NodeId {
    let mut play = Play::new(core, core, &core.map_in_touch());
    play.until(20_000_000 + STEP);
    play.asked[0].1
}

trait MapInTouch {
    fn map_in_touch(&self) -> Vec<(NodeId, UpstreamState)>;
}

impl MapInTouch for [NodeId] {
    fn map_in_touch(&self) -> Vec<(NodeId, UpstreamState)> {
        self.iter().map(|n| (*n, UpstreamState::InTouch)).collect()
    }
}

#[rstest]
#[case::cut_off(UpstreamState::CutOff)]
#[case::silent(UpstreamState::Silent)]
fn who_is_not_in_touch_is_asked_again_with_a_pause_that_doubles(#[case] how: UpstreamState) {
    let core = [1, 2, 3];
    let first = first_choice(&core);
    let mut play = Play::new(&core, &core, &core.map_in_touch());
    play.upstreams.insert(first, how);
    play.until(80_000_000);
    let gaps: Vec<Micros> = play.times(first).windows(2).map(|t| t[1] - t[0]).collect();
    let mut pause = INITIAL_BACKOFF;
    for gap in &gaps {
        assert!((pause..pause + 1_300_000).contains(gap), "{gap} after a pause of {pause}");
        pause = (2 * pause).min(MAX_BACKOFF);
    }
    assert!(gaps.len() >= 6, "it is asked again for ever: {gaps:?}");
    // Another one was asked at once, and the limiter stays confirmed.
    assert!(play.asked[1].0 <= play.asked[0].0 + 300_000 && play.asked[1].1 != first);
    assert!(play.cache.is_confirmed(play.now));

    // In touch again, it is the first choice at once after its pause; the next pause is a short one.
    play.upstreams.insert(first, UpstreamState::InTouch);
    play.until(play.now + MAX_BACKOFF + 1_000_000);
    assert_eq!(play.asked.last().map(|(_, n)| *n), Some(first));
    play.upstreams.insert(first, how);
    let back = play.now;
    play.until(back + 1_000_000 + INITIAL_BACKOFF + 1_300_000);
    assert!(play.times(first).iter().filter(|t| **t >= back).count() >= 2);
}

/// With the whole core out of touch nothing spins, and once one machine is back the limiter knows soon.
#[rstest]
fn all_out_of_touch_are_asked_by_turns() {
    let core = [1, 2, 3, 4, 5];
    let mut play = Play::new(&core, &core, &core.map(|n| (n, UpstreamState::CutOff)));
    play.members = vec![60, 61, 62];
    play.until(50_000_000);
    assert!(!play.cache.is_confirmed(play.now));
    let span = 50_000_000 - play.asked[core.len()].0;
    assert!(
        play.asked.len() as u64 <= core.len() as u64 + 3 + span / RETRY_INTERVAL,
        "{} questions",
        play.asked.len()
    );
    for machine in core {
        play.upstreams.insert(machine, UpstreamState::InTouch);
    }
    let back = play.now;
    play.until(back + 1_000_000);
    assert!(play.cache.is_confirmed(play.now), "a second after the core is back");
}

#[rstest]
#[case::by_the_core_that_a_seed_names(&[4, 5], &[])]
#[case::by_a_member(&[], &[60])]
fn a_new_process_gets_past_seeds_that_are_cut_off(#[case] reached: &[NodeId], #[case] relays: &[NodeId]) {
    let core = [1, 2, 3, 4, 5];
    let mut play = Play::new(&[1, 2], &core, &[(1, UpstreamState::CutOff), (2, UpstreamState::CutOff)]);
    play.members = vec![60, 61];
    for node in reached.iter().chain(relays) {
        play.upstreams.insert(*node, UpstreamState::InTouch);
    }
    play.until(20_000_000 + 5_000_000);
    assert!(play.cache.is_confirmed(play.now), "asked {:?}", play.asked);
    // What the seeds say of members is not believed, though it led the way.
    assert_eq!(play.cache.members().len(), 2);
    assert!(play.asked.len() < 60, "{} questions", play.asked.len());
}

#[rstest]
fn small_changes_are_spaced_and_none_is_waited_for_without_one() {
    let mut play = Play::new(&[1], &[1], &[1].map_in_touch());
    // Who has nothing yet is sent the whole state; what is spaced are the changes after it.
    play.poll(1);
    assert_eq!(play.cache.state.slot, 1);
    play.changes = 1;
    play.poll(1);
    assert_eq!(play.cache.state.slot, 2);
    assert_eq!(
        play.follower.next_action(play.now, &play.cache),
        FollowerAction::Wait(play.now + UPDATE_SPACING)
    );
    play.now += UPDATE_SPACING;
    play.poll(1);
    assert_eq!(play.follower.next_action(play.now, &play.cache), FollowerAction::Poll(1));
}

#[rstest]
fn less_is_asked_for_where_answers_do_not_come() {
    let mut play = Play::new(&[1], &[1], &[1].map_in_touch());
    let room = |play: &mut Play| {
        play.follower.poll(play.now, &play.cache, presence(50), 0).request.max_bytes as usize
    };
    let mut most = MAX_CHUNK_BYTES;
    for _ in 0..10 {
        assert_eq!(room(&mut play), most);
        play.follower.handle_failure(play.now, 1);
        most = (most / 2).max(MIN_CHUNK_BYTES);
    }
    play.poll(1);
    assert_eq!(room(&mut play), 2 * MIN_CHUNK_BYTES);
}
