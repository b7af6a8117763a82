//! Random legal event sequences, with a fixed seed.

mod common;
use common::*;
use limeway_quota_policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
enum Step {
    Ask(usize, usize),
    End(usize, Status),
    Wait(Micros),
    Counter(u8),
    Fleet(ServerId, Lifecycle),
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![
        4 => Just(Status::Ok),
        1 => Just(Status::Error),
        1 => Just(Status::Full),
        1 => Just(Status::Timeout),
        1 => Just(Status::ConnectFailed),
        1 => Just(Status::Reset),
        1 => Just(Status::Cancelled),
    ];
    let state = prop_oneof![Just(Lifecycle::Ready), Just(Lifecycle::Draining), Just(Lifecycle::Gone)];
    prop_oneof![
        4 => (0..4usize, 0..4usize).prop_map(|(c, p)| Step::Ask(c, p)),
        4 => (0..8usize, status).prop_map(|(n, s)| Step::End(n, s)),
        4 => (1..300u64).prop_map(|ms| Step::Wait(ms * MS)),
        1 => (0..3u8).prop_map(Step::Counter),
        1 => (0..5usize, state).prop_map(|(s, l)| Step::Fleet(s, l)),
    ]
}

fn play(steps: &[Step], copies: bool) -> Host {
    let mut set = settings();
    set.permissions.second_copies = copies;
    let mut host = Host::new(set, 5);
    let mut ready: BTreeSet<ServerId> = (0..5).collect();
    let mut out: Vec<(RequestId, u32, ServerId)> = Vec::new();
    let mut closed: BTreeSet<RequestId> = BTreeSet::new();
    let (mut seen, mut asked) = (0, Vec::new());
    for (n, step) in steps.iter().enumerate() {
        match step {
            Step::Ask(class, plan) => {
                asked.push(n as u64);
                host.ask(n as u64, *class, *plan, 3 * S);
            }
            Step::End(which, status) if !out.is_empty() => {
                let (id, attempt, server) = out.remove(which % out.len());
                if closed.contains(&id) {
                    host.give(Event::Outcome(Outcome {
                        id,
                        attempt,
                        server,
                        status: *status,
                        latency: 50 * MS,
                        closed: true,
                        load: Load::default(),
                    }));
                } else {
                    if *status == Status::Ok {
                        closed.insert(id);
                        host.answers.push((id, Action::Fail { id }));
                    }
                    host.done(id, attempt, server, *status);
                }
            }
            Step::End(..) => {}
            Step::Wait(time) => host.wait(*time),
            Step::Counter(mode) => {
                host.mode = [CounterMode::Answers, CounterMode::Silent, CounterMode::Refuses][*mode as usize];
            }
            Step::Fleet(server, state) => {
                if *state == Lifecycle::Ready {
                    ready.insert(*server);
                } else {
                    ready.remove(server);
                }
                host.list(ListKind::Delta, vec![Entry { state: *state, ..entry(*server) }]);
            }
        }
        for &(_, id, attempt, server) in &host.sends[seen..] {
            assert!(ready.contains(&server), "sent to a server that drains or is gone");
            assert!(!closed.contains(&id), "sent after the answer");
            if !copies {
                assert!(!out.iter().any(|o| o.0 == id), "two attempts out at once");
            }
            out.push((id, attempt, server));
        }
        seen = host.sends.len();
        closed.extend(host.answers.iter().map(|a| a.0));
    }
    host.wait(4 * S);
    let mut answers: BTreeMap<RequestId, usize> = BTreeMap::new();
    for (id, _) in &host.answers {
        *answers.entry(*id).or_insert(0) += 1;
    }
    for id in asked {
        assert_eq!(answers.get(&id), Some(&1), "request {id} has exactly one final answer");
        assert!(host.tries.get(&id).copied().unwrap_or(0) <= 3, "at most the attempts allowed");
    }
    host
}

#[test]
fn random_sequences_keep_the_rules_and_repeat_exactly() {
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let input = (proptest::collection::vec(step(), 1..250), any::<bool>());
    let result = runner.run(&input, |(steps, copies)| {
        let (one, other) = (play(&steps, copies), play(&steps, copies));
        prop_assert_eq!(&one.all, &other.all);
        Ok(())
    });
    result.expect("the rules hold on every sequence");
}
