//! Calls about zones: the same call counts once wherever and whenever it comes again, and two operators count as two.

use limeway_routing_config::evacuation::{CallStep, EvacuationCalls};
use limeway_routing_config::{Operation, State};
use rstest::rstest;

const ACK_TIMEOUT: u64 = 6_000_000;

/// A core machine: it restarts with nothing but the state.
#[derive(Default)]
struct Machine {
    calls: EvacuationCalls,
    now: u64,
}

impl Machine {
    /// Takes a call until it is in force; the time at which it is.
    fn call(&mut self, state: &mut State, begun: bool, mark: u64) -> u64 {
        for _ in 0..4 {
            match self.calls.next_step(self.now, state, "z", begun, mark) {
                CallStep::Done => return self.now,
                CallStep::Wait(until) => self.now = until,
                CallStep::Propose(op) => {
                    assert!(state.applies(&op));
                    state.apply(&op);
                    assert!(!state.applies(&op), "it is not taken twice");
                    // A ballot that was finished by another machine may bring it once more.
                    state.apply(&op);
                }
            }
        }
        panic!("no answer");
    }
}

fn count(state: &State) -> u32 {
    state.evacuated.get("z").copied().unwrap_or(0)
}

#[rstest]
#[case::start_at_the_same_machine(true, false, 3)]
#[case::start_at_others_or_after_restarts(true, true, 3)]
#[case::finish_at_the_same_machine(false, false, 1)]
#[case::finish_at_others_or_after_restarts(false, true, 1)]
fn a_call_without_an_answer_that_comes_again_counts_once(
    #[case] begun: bool,
    #[case] elsewhere: bool,
    #[case] counts: u32,
) {
    let (mut state, mut machine) = (State::default(), Machine::default());
    // Two that have their answers.
    for mark in [1, 2] {
        machine.call(&mut state, true, mark);
        state.apply(&Operation::CloseCall(mark));
    }
    for mark in 3..20 {
        machine.call(&mut state, begun, mark);
        machine.now += 700_000;
        if elsewhere {
            machine = Machine { now: mark, ..Machine::default() };
        }
    }
    assert_eq!(count(&state), counts);
}

#[rstest]
fn operators_whose_answers_arrived_count_as_many_as_they_are_however_close() {
    let (mut state, mut machine) = (State::default(), Machine::default());
    for mark in 1..=3 {
        assert_eq!(machine.call(&mut state, true, mark), 0, "a new call does not wait");
        state.apply(&Operation::CloseCall(mark));
    }
    assert_eq!(count(&state), 3);
    for mark in 4..=5 {
        machine.call(&mut state, false, mark);
        state.apply(&Operation::CloseCall(mark));
    }
    assert_eq!(count(&state), 1, "the last one stays in force");
    assert_eq!(state.open_calls(), []);
}

#[rstest]
fn a_second_call_waits_while_the_first_is_being_answered() {
    let (mut state, mut machine) = (State::default(), Machine::default());
    machine.call(&mut state, true, 1);
    let CallStep::Wait(until) = machine.calls.next_step(10, &state, "z", true, 2) else { panic!("no wait") };
    assert!(until <= 600_000, "its caller waits a second");
    state.apply(&Operation::CloseCall(1));
    machine.call(&mut state, true, 2);
    assert_eq!(count(&state), 2);
}

/// Whose call takes the place of whose makes no difference: each that is lost is followed by one more.
#[rstest]
fn another_operators_call_between_a_lost_answer_and_its_repeat_counts_too() {
    let (mut state, mut machine) = (State::default(), Machine::default());
    machine.call(&mut state, true, 1);
    machine.now += 900_000;
    machine.call(&mut state, true, 2);
    state.apply(&Operation::CloseCall(2));
    machine.call(&mut state, true, 3);
    assert_eq!(count(&state), 2);
}

/// Seen on trial days: a core machine that had just started confirmed a finish and left the zone empty for good.
#[rstest]
fn a_finish_right_after_a_restart_is_taken() {
    let (mut state, mut machine) = (State::default(), Machine::default());
    machine.call(&mut state, true, 1);
    let mut restarted = Machine::default();
    restarted.call(&mut state, false, 2);
    assert_eq!(count(&state), 0);
    // The start is over with it: a later one is new, and in force.
    state.apply(&Operation::CloseCall(2));
    restarted.call(&mut state, true, 3);
    assert_eq!(count(&state), 1);
}

#[rstest]
fn a_call_that_nobody_sends_again_is_closed_in_the_end() {
    let (mut state, mut machine) = (State::default(), Machine::default());
    machine.call(&mut state, true, 1);
    assert_eq!(machine.calls.expired(ACK_TIMEOUT, ACK_TIMEOUT), None);
    assert_eq!(machine.calls.expired(ACK_TIMEOUT + 2_000_000, ACK_TIMEOUT), Some(1));
    state.apply(&Operation::CloseCall(1));
    machine.calls.observe(9_000_000, &state);
    assert_eq!(machine.calls.expired(u64::MAX, ACK_TIMEOUT), None);
    machine.call(&mut state, true, 2);
    assert_eq!(count(&state), 2);
}

#[rstest]
fn open_calls_are_bounded() {
    let mut state = State::default();
    for mark in 1..=200 {
        state.apply(&Operation::Evacuate {
            zone: format!("z{}", mark % 9),
            starts: true,
            call_id: mark,
            retry_of: 0,
            taken_by: None,
        });
    }
    assert_eq!((state.open_calls().len(), state.open_calls()[0].call_id), (64, 137));
}
