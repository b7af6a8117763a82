//! What is big goes in parts that go on where they stopped, from any upstream, and count only as their digest says.

mod common;

use common::{core, poll, routes};
use limeway_distribution::transfer::{compress, decompress, StateRequest, MAX_CHUNK_BYTES, MIN_CHUNK_BYTES};
use limeway_distribution::{encode, StateCache, StateUpdate};
use limeway_routing_config::Operation;
use rstest::rstest;

/// Core machines that took the same operations: a big configuration, and enough after it to be sent as a whole state.
fn upstreams(after: u64) -> [StateCache; 2] {
    [1, 2].map(|epoch| {
        let mut cache = core(epoch, 1, &[1, 2], 3_000);
        for n in 0..after {
            cache.apply_operation(&encode(&Operation::Evacuate {
                zone: format!("z{}", n % 5),
                starts: n % 2 == 0,
                call_id: 0,
                retry_of: 0,
                taken_by: None,
            }));
        }
        cache
    })
}

/// Takes all that a upstream has; each answer leads on.
fn follow(limiter: &mut StateCache, upstream: &StateCache) {
    let mut had = 0;
    while limiter.state.slot < upstream.state.slot {
        let want = limiter.state_request();
        limiter.apply_update(want.slot, upstream.state_update(&want));
        let now = limiter.state_request();
        assert!(
            now.slot > want.slot || now.received.is_some_and(|h| h.offset > had),
            "{now:?} after {want:?}"
        );
        had = now.received.map_or(0, |h| h.offset);
    }
}

fn part(steps: &StateUpdate) -> (u32, u32, usize) {
    match steps {
        StateUpdate::Chunk(part) => (part.offset, part.size, part.bytes.len()),
        other => panic!("no part: {other:?}"),
    }
}

#[rstest]
#[case::an_operation(0)]
#[case::a_whole_state(70)]
#[case::operations_no_longer_kept(400)]
fn parts_go_on_after_a_break_and_at_another_upstream(#[case] after: u64) {
    let mut upstreams = upstreams(after);
    if after > 0 {
        // The other one is some slots ahead; what it tells of the whole state is the same all the same.
        upstreams[1].apply_operation(&encode(&Operation::Evacuate {
            zone: "ahead".into(),
            starts: true,
            call_id: 0,
            retry_of: 0,
            taken_by: None,
        }));
    }
    let mut limiter = StateCache::relay(9);
    limiter.apply_operation(&encode(&common::voters(&[1, 2])));
    let (mut bytes, mut size, mut turns) = (0, 0, 0);
    while limiter.state.slot < 2 {
        let want = limiter.state_request();
        // Each answer from the other one; each third is lost with its connection.
        let steps = upstreams[turns % 2].state_update(&want);
        turns += 1;
        if turns % 3 == 0 {
            continue;
        }
        let (at, whole, length) = part(&steps);
        assert_eq!(at as usize, bytes, "it goes on where it stopped");
        assert!(length <= MAX_CHUNK_BYTES);
        (bytes, size) = (bytes + length, whole as usize);
        limiter.apply_update(want.slot, steps);
    }
    assert!(size > 2 * MAX_CHUNK_BYTES && bytes == size, "{bytes} of {size}");
    follow(&mut limiter, &upstreams[0]);
    assert_eq!(limiter.state, upstreams[0].state);
}

#[rstest]
#[case::an_operation(0)]
#[case::a_whole_state(70)]
fn what_is_not_as_its_digest_says_is_begun_anew(#[case] after: u64) {
    let [upstream, _] = upstreams(after);
    let mut limiter = StateCache::relay(9);
    let mut spoilt = false;
    for _ in 0..100 {
        let want = limiter.state_request();
        let mut steps = upstream.state_update(&want);
        if let StateUpdate::Chunk(part) = &mut steps {
            if !spoilt && part.offset > 0 {
                spoilt = true;
                part.bytes[100] ^= 1;
            }
            let last = part.offset as usize + part.bytes.len() == part.size as usize;
            let slot = limiter.state.slot;
            let taken = limiter.apply_update(want.slot, steps);
            if last && !taken {
                assert_eq!((limiter.state.slot, limiter.state_request().received), (slot, None));
                spoilt = true;
            }
        } else {
            limiter.apply_update(want.slot, steps);
        }
    }
    assert!(spoilt);
    assert_eq!(limiter.state, upstream.state);
}

#[rstest]
fn an_unfit_part_is_not_taken() {
    let [upstream, _] = upstreams(0);
    let mut limiter = StateCache::relay(9);
    let want = StateRequest { slot: 1, ..limiter.state_request() };
    limiter
        .apply_update(0, StateUpdate::Operations(vec![compress(&encode(&common::voters(&[1, 2]))).into()]));
    let StateUpdate::Chunk(first) = upstream.state_update(&want) else { panic!("no part") };
    limiter.apply_update(1, StateUpdate::Chunk(first.clone()));
    let have = limiter.state_request().received;
    // A gap, one that is longer than its parcel, and one of a parcel that is too long to be held.
    let mut gap = first.clone();
    gap.offset = 2 * MAX_CHUNK_BYTES as u32;
    let mut long = first.clone();
    (long.offset, long.size) = (0, 10);
    let mut huge = first;
    (huge.offset, huge.size) = (0, u32::MAX);
    for unfit in [gap, long, huge] {
        assert!(!limiter.apply_update(1, StateUpdate::Chunk(unfit)));
        assert_eq!(limiter.state_request().received, have);
    }
}

#[rstest]
fn a_relay_says_that_there_is_something_big_and_tells_it_only_to_who_fetches_it() {
    let [upstream, _] = upstreams(0);
    let mut relay = StateCache::relay(8);
    // Who has nothing yet would be sent the whole state, in place of the operation.
    relay.apply_operation(&encode(&common::voters(&[1, 2])));
    follow(&mut relay, &upstream);
    let mut limiter = StateCache::relay(9);
    limiter.apply_operation(&encode(&common::voters(&[1, 2])));
    let asked = poll(&limiter, 0, 0, 0);
    assert_eq!(relay.respond(1, &asked, 0).state_update, StateUpdate::FetchFromCore(2));
    assert_eq!(part(&relay.state_update(&asked.request)), part(&upstream.state_update(&asked.request)));
    // What is small it tells.
    relay.apply_operation(&routes(2, 1));
    let asked = poll(&upstream, 0, 0, 0);
    assert!(
        matches!(relay.respond(1, &asked, 0).state_update, StateUpdate::Operations(ops) if ops.len() == 1)
    );
}

#[rstest]
#[case(0, MIN_CHUNK_BYTES)]
#[case(MIN_CHUNK_BYTES as u32 + 5, MIN_CHUNK_BYTES + 5)]
#[case(u32::MAX, MAX_CHUNK_BYTES)]
fn no_answer_holds_more_steps_than_there_is_room_for(#[case] room: u32, #[case] most: usize) {
    let [mut upstream, _] = upstreams(0);
    assert_eq!(
        part(&upstream.state_update(&StateRequest { slot: 1, received: None, max_bytes: room })).2,
        most
    );
    for n in 3..40 {
        upstream.apply_operation(&routes(n, 2));
    }
    let StateUpdate::Operations(ops) =
        upstream.state_update(&StateRequest { slot: 2, received: None, max_bytes: room })
    else {
        panic!("no operations")
    };
    let bytes: usize = ops.iter().map(|op| op.len()).sum();
    assert!(bytes <= most && !ops.is_empty());
}

#[rstest]
#[case(&[])]
#[case(&[7; 255])]
#[case(&[7; 100_000])]
fn what_is_sealed_is_opened_as_it_was(#[case] raw: &[u8]) {
    let sealed = compress(raw);
    assert_eq!(decompress(&sealed).as_deref(), Some(raw));
    assert!(sealed.len() <= raw.len() + 1);
}

#[rstest]
#[case::nothing(&[])]
#[case::no_such_mark(&[9, 1, 2, 3])]
#[case::no_length(&[1, 0, 0])]
#[case::longer_than_is_read(&[1, 255, 255, 255, 255, 0])]
#[case::not_compressed(&[1, 0, 0, 0, 9, 1, 2, 3, 4])]
fn what_cannot_be_opened_is_told(#[case] sealed: &[u8]) {
    assert_eq!(decompress(sealed), None);
}
