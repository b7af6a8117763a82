//! A zone of limiters on thin links, in virtual time: the configuration grows, then changes four times a second, and all of
//! them have the newest version soon.

mod common;

use common::{core, presence, routes};
use limeway_distribution::follower::{Follower, FollowerAction};
use limeway_distribution::transfer::StateRequest;
use limeway_distribution::{LongPoll, Member, Micros, StateCache, StateUpdate, UpdateResponse};
use limeway_membership::NodeId;
use rstest::rstest;

/// A step of virtual time, in microseconds.
const TICK: Micros = 5_000;
/// One way, in microseconds.
const WAY: Micros = 55_000;
/// A limiter's link: 2 Mbit/s, in bytes a second.
const LINK: u64 = 250_000;
/// A call waits so long for its answer.
const ANSWER: Micros = 1_300_000;
const CORE: [NodeId; 3] = [1, 2, 3];
const LIMITERS: usize = 17;

enum Asked {
    Nothing,
    Poll(NodeId, Box<LongPoll>),
    Fetch(NodeId, StateRequest),
}

enum Answer {
    Feed(Box<UpdateResponse>),
    Steps(StateUpdate),
}

struct Limiter {
    node: NodeId,
    follower: Follower,
    cache: StateCache,
    asked: Asked,
    at: Micros,
    answer: Option<(Micros, Answer)>,
    busy_until: Micros,
    late: u32,
}

fn size(message: &impl serde::Serialize) -> u64 {
    limeway_distribution::encode(message).len() as u64 + 60
}

struct Zone {
    now: Micros,
    core: StateCache,
    limiters: Vec<Limiter>,
}

impl Zone {
    fn new() -> Self {
        let mut cache = core(7, 1, &CORE, 0);
        let members: Vec<Member> =
            (0..LIMITERS).map(|n| (100 + n as NodeId, "z".to_owned()).into()).collect();
        cache.set_members(members);
        let limiter = |n: usize| Limiter {
            node: 100 + n as NodeId,
            follower: Follower::new(100 + n as NodeId, "z", CORE.to_vec()),
            cache: StateCache::relay(50 + n as u64),
            asked: Asked::Nothing,
            at: 0,
            answer: None,
            busy_until: 0,
            late: 0,
        };
        Zone { now: 10_000_000, core: cache, limiters: (0..LIMITERS).map(limiter).collect() }
    }

    /// An answer of this many bytes leaves now: when it is there. Links of limiters carry one thing after the other.
    fn carry(&mut self, upstream: Option<usize>, to: usize, bytes: u64) -> Micros {
        let mut there = self.now;
        for end in upstream.into_iter().chain([to]) {
            let link = &mut self.limiters[end].busy_until;
            *link = (*link).max(there) + bytes * 1_000_000 / LINK;
            there = *link;
        }
        there + if upstream.is_some() { 1_000 } else { WAY }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        if now.is_multiple_of(250_000) {
            self.core.confirmed_at = now - 100_000;
        }
        for n in 0..LIMITERS {
            self.ask(n);
            self.tell(n);
            self.hear(n);
        }
    }

    fn ask(&mut self, n: usize) {
        let (now, l) = (self.now, &mut self.limiters[n]);
        if !matches!(l.asked, Asked::Nothing) {
            return;
        }
        l.asked = match l.follower.next_action(now, &l.cache) {
            FollowerAction::Wait(_) => return,
            FollowerAction::Fetch(node, want) => Asked::Fetch(node, want),
            FollowerAction::Poll(node) => {
                let poll = l.follower.poll(now, &l.cache, presence(l.node), 600_000);
                Asked::Poll(node, Box::new(poll))
            }
        };
        l.at = now;
    }

    fn tell(&mut self, n: usize) {
        let l = &self.limiters[n];
        let (now, at) = (self.now, l.at);
        if l.answer.is_some() {
            return;
        }
        let (Asked::Poll(node, _) | Asked::Fetch(node, _)) = &l.asked else { return };
        let relay = (*node >= 100).then(|| (*node - 100) as usize);
        let came = at + if relay.is_some() { 1_000 } else { WAY };
        if now < came {
            return;
        }
        let cache = relay.map_or(&self.core, |r| &self.limiters[r].cache);
        let (answer, bytes) = match &l.asked {
            Asked::Poll(_, poll) => {
                if !cache.has_update(poll) && now < cache.long_poll_deadline(came, poll, 2_000_000) {
                    return;
                }
                let response = cache.respond(now, poll, now - came);
                let bytes = size(&response);
                (Answer::Feed(Box::new(response)), bytes)
            }
            Asked::Fetch(_, want) => {
                let steps = cache.state_update(want);
                let bytes = size(&steps);
                (Answer::Steps(steps), bytes)
            }
            Asked::Nothing => return,
        };
        let there = self.carry(relay, n, bytes);
        self.limiters[n].answer = Some((there, answer));
    }

    fn hear(&mut self, n: usize) {
        let (now, l) = (self.now, &mut self.limiters[n]);
        let late = now > l.at + ANSWER;
        let there = l.answer.as_ref().is_some_and(|(there, _)| *there <= now);
        let (Asked::Poll(node, _) | Asked::Fetch(node, _)) = &l.asked else { return };
        let node = *node;
        if late && !there {
            l.follower.handle_failure(now, node);
            (l.asked, l.answer, l.late) = (Asked::Nothing, None, l.late + 1);
        } else if there {
            match (std::mem::replace(&mut l.asked, Asked::Nothing), l.answer.take()) {
                (Asked::Poll(_, poll), Some((_, Answer::Feed(response)))) => {
                    l.follower.handle_response(now, l.at, &poll.request, node, *response, &mut l.cache);
                }
                (Asked::Fetch(_, want), Some((_, Answer::Steps(steps)))) => {
                    l.follower.handle_fetched(now, &want, steps, &mut l.cache);
                }
                _ => panic!("an answer to another question"),
            }
        }
    }

    fn lag(&self) -> u64 {
        let slot = self.limiters.iter().map(|l| l.cache.state.slot).min().unwrap_or(0);
        self.core.state.slot - slot
    }

    fn until(&mut self, end: Micros, mut each: impl FnMut(&mut Self)) {
        while self.now < end {
            self.tick();
            each(self);
        }
    }
}

#[rstest]
fn a_storm_on_thin_links_comes_to_the_newest_version_within_two_seconds() {
    let mut zone = Zone::new();
    zone.until(14_000_000, |_| {});
    assert_eq!(zone.lag(), 0);
    // Some 45 KB sealed: 16 of them are over two seconds of the relay's link, and a call waits 1.3 s.
    zone.core.apply_operation(&routes(1, 2_000));
    zone.until(16_000_000, |_| {});
    assert_eq!(zone.lag(), 0, "two seconds after it grew");
    let mut version = 1;
    let mut most = 0;
    zone.until(20_000_000, |zone| {
        if zone.now.is_multiple_of(250_000) {
            version += 1;
            zone.core.apply_operation(&routes(version, 2));
        }
        most = most.max(zone.lag());
    });
    assert!(most <= 8, "two seconds' changes: {most}");
    zone.until(22_000_000, |_| {});
    assert_eq!(zone.lag(), 0);
    assert!(zone.limiters.iter().all(|l| l.late == 0 && l.cache.is_confirmed(zone.now)));
}

/// All start anew while it storms: they get the whole state, and what follows it.
#[rstest]
fn a_zone_that_starts_in_a_storm_catches_up_within_four_seconds() {
    let mut zone = Zone::new();
    zone.core.apply_operation(&routes(1, 2_000));
    for version in 2..66 {
        zone.core.apply_operation(&routes(version, 2));
    }
    let mut version = 66;
    let end = zone.now + 4_000_000;
    zone.until(end, |zone| {
        if zone.now.is_multiple_of(250_000) {
            version += 1;
            zone.core.apply_operation(&routes(version, 2));
        }
    });
    assert!(zone.lag() <= 8, "{}", zone.lag());
    assert!(zone.limiters.iter().all(|l| l.cache.is_confirmed(zone.now)));
}
