//! What is big goes in parts that go on where they stopped, from any teller, and count only as their digest says.

mod common;

use common::{core, poll, routes};
use limeway_distribution::parcel::{seal, unseal, Want, PART, PART_LEAST};
use limeway_distribution::{pack, Board, Steps};
use limeway_routing_config::Operation;
use rstest::rstest;

/// Core machines that took the same operations: a big configuration, and enough after it to be told as a whole state.
fn tellers(after: u64) -> [Board; 2] {
    [1, 2].map(|epoch| {
        let mut board = core(epoch, 1, &[1, 2], 3_000);
        for n in 0..after {
            board.step(&pack(&Operation::Evacuate {
                zone: format!("z{}", n % 5),
                starts: n % 2 == 0,
                call_id: 0,
                retry_of: 0,
            }));
        }
        board
    })
}

/// Takes all that a teller has; each answer leads on.
fn follow(limiter: &mut Board, teller: &Board) {
    let mut had = 0;
    while limiter.state.slot < teller.state.slot {
        let want = limiter.want();
        limiter.walk(want.slot, teller.steps(&want));
        let now = limiter.want();
        assert!(now.slot > want.slot || now.have.is_some_and(|h| h.at > had), "{now:?} after {want:?}");
        had = now.have.map_or(0, |h| h.at);
    }
}

fn part(steps: &Steps) -> (u32, u32, usize) {
    match steps {
        Steps::Part(part) => (part.at, part.size, part.bytes.len()),
        other => panic!("no part: {other:?}"),
    }
}

#[rstest]
#[case::an_operation(0)]
#[case::a_whole_state(70)]
#[case::operations_no_longer_kept(400)]
fn parts_go_on_after_a_break_and_at_another_teller(#[case] after: u64) {
    let mut tellers = tellers(after);
    if after > 0 {
        // The other one is some slots ahead; what it tells of the whole state is the same all the same.
        tellers[1].step(&pack(&Operation::Evacuate {
            zone: "ahead".into(),
            starts: true,
            call_id: 0,
            retry_of: 0,
        }));
    }
    let mut limiter = Board::relay(9);
    limiter.step(&pack(&common::seats(&[1, 2])));
    let (mut bytes, mut size, mut turns) = (0, 0, 0);
    while limiter.state.slot < 2 {
        let want = limiter.want();
        // Each answer from the other one; each third is lost with its connection.
        let steps = tellers[turns % 2].steps(&want);
        turns += 1;
        if turns % 3 == 0 {
            continue;
        }
        let (at, whole, length) = part(&steps);
        assert_eq!(at as usize, bytes, "it goes on where it stopped");
        assert!(length <= PART);
        (bytes, size) = (bytes + length, whole as usize);
        limiter.walk(want.slot, steps);
    }
    assert!(size > 2 * PART && bytes == size, "{bytes} of {size}");
    follow(&mut limiter, &tellers[0]);
    assert_eq!(limiter.state, tellers[0].state);
}

#[rstest]
#[case::an_operation(0)]
#[case::a_whole_state(70)]
fn what_is_not_as_its_digest_says_is_begun_anew(#[case] after: u64) {
    let [teller, _] = tellers(after);
    let mut limiter = Board::relay(9);
    let mut spoilt = false;
    for _ in 0..100 {
        let want = limiter.want();
        let mut steps = teller.steps(&want);
        if let Steps::Part(part) = &mut steps {
            if !spoilt && part.at > 0 {
                spoilt = true;
                part.bytes[100] ^= 1;
            }
            let last = part.at as usize + part.bytes.len() == part.size as usize;
            let slot = limiter.state.slot;
            let taken = limiter.walk(want.slot, steps);
            if last && !taken {
                assert_eq!((limiter.state.slot, limiter.want().have), (slot, None));
                spoilt = true;
            }
        } else {
            limiter.walk(want.slot, steps);
        }
    }
    assert!(spoilt);
    assert_eq!(limiter.state, teller.state);
}

#[rstest]
fn an_unfit_part_is_not_taken() {
    let [teller, _] = tellers(0);
    let mut limiter = Board::relay(9);
    let want = Want { slot: 1, ..limiter.want() };
    limiter.walk(0, Steps::Ops(vec![seal(&pack(&common::seats(&[1, 2]))).into()]));
    let Steps::Part(first) = teller.steps(&want) else { panic!("no part") };
    limiter.walk(1, Steps::Part(first.clone()));
    let have = limiter.want().have;
    // A gap, one that is longer than its parcel, and one of a parcel that is too long to be held.
    let mut gap = first.clone();
    gap.at = 2 * PART as u32;
    let mut long = first.clone();
    (long.at, long.size) = (0, 10);
    let mut huge = first;
    (huge.at, huge.size) = (0, u32::MAX);
    for unfit in [gap, long, huge] {
        assert!(!limiter.walk(1, Steps::Part(unfit)));
        assert_eq!(limiter.want().have, have);
    }
}

#[rstest]
fn a_relay_says_that_there_is_something_big_and_tells_it_only_to_who_fetches_it() {
    let [teller, _] = tellers(0);
    let mut relay = Board::relay(8);
    // Who has nothing yet would be told the whole state, in place of the operation.
    relay.step(&pack(&common::seats(&[1, 2])));
    follow(&mut relay, &teller);
    let mut limiter = Board::relay(9);
    limiter.step(&pack(&common::seats(&[1, 2])));
    let asked = poll(&limiter, 0, 0, 0);
    assert_eq!(relay.feed(1, &asked, 0).steps, Steps::Elsewhere(2));
    assert_eq!(part(&relay.steps(&asked.want)), part(&teller.steps(&asked.want)));
    // What is small it tells.
    relay.step(&routes(2, 1));
    let asked = poll(&teller, 0, 0, 0);
    assert!(matches!(relay.feed(1, &asked, 0).steps, Steps::Ops(ops) if ops.len() == 1));
}

#[rstest]
#[case(0, PART_LEAST)]
#[case(PART_LEAST as u32 + 5, PART_LEAST + 5)]
#[case(u32::MAX, PART)]
fn no_answer_holds_more_steps_than_there_is_room_for(#[case] room: u32, #[case] most: usize) {
    let [mut teller, _] = tellers(0);
    assert_eq!(part(&teller.steps(&Want { slot: 1, have: None, room })).2, most);
    for n in 3..40 {
        teller.step(&routes(n, 2));
    }
    let Steps::Ops(ops) = teller.steps(&Want { slot: 2, have: None, room }) else { panic!("no operations") };
    let bytes: usize = ops.iter().map(|op| op.len()).sum();
    assert!(bytes <= most && !ops.is_empty());
}

#[rstest]
#[case(&[])]
#[case(&[7; 255])]
#[case(&[7; 100_000])]
fn what_is_sealed_is_opened_as_it_was(#[case] raw: &[u8]) {
    let sealed = seal(raw);
    assert_eq!(unseal(&sealed).as_deref(), Some(raw));
    assert!(sealed.len() <= raw.len() + 1);
}

#[rstest]
#[case::nothing(&[])]
#[case::no_such_mark(&[9, 1, 2, 3])]
#[case::no_length(&[1, 0, 0])]
#[case::longer_than_is_read(&[1, 255, 255, 255, 255, 0])]
#[case::not_compressed(&[1, 0, 0, 0, 9, 1, 2, 3, 4])]
fn what_cannot_be_opened_is_told(#[case] sealed: &[u8]) {
    assert_eq!(unseal(sealed), None);
}
