//! Two values under one proposal number, as disks hold them that earlier releases have written: neither is chosen by guess.

use limeway_consensus::{
    Acceptor, AcceptorReply, NodeId, ProposalNumber, Proposer, ProposerStep, RoundAllocator, Voter,
};
use rstest::rstest;
use serde_bytes::ByteBuf;

const SLOT: u64 = 1;

fn number(round: u64) -> ProposalNumber {
    ProposalNumber { round, proposer: 9, incarnation: 1 }
}

fn value(text: &str) -> ByteBuf {
    ByteBuf::from(text.as_bytes().to_vec())
}

fn proposer(voters: NodeId) -> Proposer {
    let voters = (1..=voters).map(|node| Voter { node, disk: 0 }).collect();
    Proposer::new(SLOT, number(2), voters, value("own"))
}

/// A promise of an acceptor that has accepted this value under round 1; none if it is empty.
fn promise(accepted: &str) -> AcceptorReply {
    let accepted = (!accepted.is_empty()).then(|| (number(1), value(accepted)));
    AcceptorReply::Promised { disk: 0, accepted }
}

/// Guards against review/1: of two values under one number the proposer kept the one whose reply came first.
#[rstest]
#[case::first_reply_last(&["old", "new", "new"])]
#[case::first_reply_first(&["new", "old", "new"])]
#[case::five_voters(&["old", "new", "old", "new", "new"])]
fn the_value_that_a_majority_holds_is_recovered(#[case] held: &[&str]) {
    let mut proposer = proposer(held.len() as NodeId);
    let mut last = ProposerStep::Wait;
    for (node, accepted) in (1..).zip(held) {
        assert_eq!(last, ProposerStep::Wait, "nothing is chosen by guess");
        last = proposer.handle_reply(node, promise(accepted));
    }
    assert!(proposer.has_conflict());
    assert_eq!(last, ProposerStep::Accept { value: value("new"), recovered: true });
}

#[rstest]
fn a_proposer_waits_for_the_voter_that_decides_between_two_values() {
    let mut proposer = proposer(3);
    assert_eq!(proposer.handle_reply(1, promise("old")), ProposerStep::Wait);
    assert_eq!(proposer.handle_reply(2, promise("new")), ProposerStep::Wait);
    assert_eq!(proposer.handle_reply(2, promise("new")), ProposerStep::Wait, "the same voter once more");
}

/// With all voters heard and no majority for either, nothing was chosen: the slot goes on.
#[rstest]
fn one_of_two_values_without_a_majority_is_completed() {
    let mut proposer = proposer(3);
    proposer.handle_reply(1, promise("old"));
    proposer.handle_reply(2, promise("new"));
    let step = proposer.handle_reply(3, promise(""));
    assert!(matches!(step, ProposerStep::Accept { recovered: true, .. }), "{step:?}");
}

/// A proposer of an earlier release may still use a number twice while a cluster is upgraded.
#[rstest]
fn an_acceptor_abstains_from_a_second_value_under_one_number() {
    let mut acceptor = Acceptor::default();
    acceptor.prepare(SLOT, number(1));
    let accepted = AcceptorReply::Accepted { disk: 0 };
    assert_eq!(acceptor.accept(SLOT, number(1), value("old")), accepted);
    assert_eq!(acceptor.prepare(SLOT, number(1)), AcceptorReply::Abstained);
    assert_eq!(acceptor.accept(SLOT, number(1), value("new")), AcceptorReply::Abstained);
    assert_eq!(acceptor.accept(SLOT, number(1), value("old")), accepted, "the same call once more");
    assert_eq!(acceptor.slot_state.accepted, Some((number(1), value("old"))));
}

#[rstest]
fn rounds_of_a_slot_grow_while_the_own_acceptor_stands_still() {
    let mut rounds = RoundAllocator::default();
    let still = ProposalNumber::default();
    assert_eq!([rounds.next(1, still), rounds.next(1, still), rounds.next(1, still)], [1, 2, 3]);
    rounds.preempted_by(number(7));
    assert_eq!([rounds.next(1, still), rounds.next(1, number(20))], [8, 21]);
    assert_eq!(rounds.next(2, still), 8, "a later slot begins anew, above what preempted this process");
}
