//! Frames survive any cut of the stream, and nothing else is taken for one.

use bytes::BytesMut;
use limeway_rpc::{
    write, Body, FrameError, Incoming, Reassembly, Removed, RpcClient, RpcServer, SendQueue, MAX_CHUNK_BYTES,
    MAX_FRAME_BYTES, MAX_INTERLEAVED_FRAMES, MAX_QUEUED_BYTES, MAX_SHORT_BYTES, MIN_COMPRESSED_BYTES,
    PROTOCOL_VERSION,
};
use rstest::rstest;

type Said = (String, Vec<u64>, Option<bool>);

fn said(n: u64) -> Said {
    (format!("message {n}"), (0..n).collect(), (!n.is_multiple_of(3)).then_some(n.is_multiple_of(2)))
}

/// Numbers without a pattern, the same for each seed.
fn chance(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |below| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % below
    }
}

/// Does not shrink.
fn noise(length: usize) -> Vec<u8> {
    let mut draw = chance(length as u64);
    (0..length).map(|_| draw(256) as u8).collect()
}

/// All frames that stand whole in a buffer.
fn frames(assembly: &mut Reassembly, buffer: &mut BytesMut) -> Result<Vec<(u32, Body)>, FrameError> {
    let mut got = Vec::new();
    while let Some(came) = assembly.next(buffer, |_| true)? {
        if let Incoming::Frame(number, body) = came {
            got.push((number, body));
        }
    }
    Ok(got)
}

fn refused(bytes: &[u8]) -> Option<FrameError> {
    frames(&mut Reassembly::default(), &mut BytesMut::from(bytes)).err()
}

#[rstest]
fn frames_are_read_whole_however_the_stream_is_cut() {
    let mut stream = Vec::new();
    for n in 0..20 {
        // Some in one piece and some in several, some of them packed.
        write(&mut stream, n as u32, &(said(n * n * 40), noise(n as usize * 3_000))).expect("written");
    }
    for cut in [1, 2, 3, 7, 59, 1_021, 16_384, 70_001] {
        let (mut assembly, mut buffer, mut got) = (Reassembly::default(), BytesMut::new(), Vec::new());
        for part in stream.chunks(cut) {
            buffer.extend_from_slice(part);
            got.extend(frames(&mut assembly, &mut buffer).expect("sound"));
        }
        assert_eq!(got.len(), 20);
        assert_eq!(assembly.partial_frames(), (0, 0));
        for (n, (number, body)) in got.iter().enumerate() {
            let (text, noisy) = body.decode::<(Said, Vec<u8>)>().expect("read");
            assert!(*number == n as u32 && text == said((n * n * 40) as u64) && noisy == noise(n * 3_000));
        }
    }
}

#[rstest]
#[case::too_long(&[0, 0, 0x40, 15, PROTOCOL_VERSION], FrameError::Length)]
#[case::shorter_than_its_head(&[0, 0, 0, 2, PROTOCOL_VERSION, 0], FrameError::Length)]
#[case::another_version(&[0, 0, 0, 9, PROTOCOL_VERSION + 1], FrameError::Version(PROTOCOL_VERSION + 1))]
#[case::another_version_and_a_long_frame(&[1, 0, 0, 9, 1], FrameError::Version(1))]
#[case::no_such_flag(&[0, 0, 0, 6, PROTOCOL_VERSION, 0x13, 0, 0, 0, 1], FrameError::Sequence)]
#[case::packed_in_the_middle(&[0, 0, 0, 6, PROTOCOL_VERSION, 4, 0, 0, 0, 1], FrameError::Sequence)]
#[case::announced_too_long(&[&[0, 0, 0, 10, PROTOCOL_VERSION, 1, 0, 0, 0, 1][..], &(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()].concat(), FrameError::Length)]
#[case::longer_than_announced(&[0, 0, 0, 12, PROTOCOL_VERSION, 1, 0, 0, 0, 1, 0, 0, 0, 1, 9, 9], FrameError::Sequence)]
#[case::shorter_than_announced(&[0, 0, 0, 11, PROTOCOL_VERSION, 1, 0, 0, 0, 1, 0, 0, 0, 9, 7, 0, 0, 0, 6, PROTOCOL_VERSION, 2, 0, 0, 0, 1], FrameError::Sequence)]
#[case::begun_twice(&[0, 0, 0, 11, PROTOCOL_VERSION, 1, 0, 0, 0, 1, 0, 0, 0, 9, 7, 0, 0, 0, 7, PROTOCOL_VERSION, 3, 0, 0, 0, 1, 1], FrameError::Sequence)]
fn what_is_no_frame_is_refused(#[case] bytes: &[u8], #[case] error: FrameError) {
    assert_eq!(refused(bytes), Some(error));
}

#[rstest]
#[case::no_cbor(&[0, 0, 0, 8, PROTOCOL_VERSION, 3, 0, 0, 0, 1, 0xff, 0xff])]
#[case::no_lz4(&[0, 0, 0, 12, PROTOCOL_VERSION, 7, 0, 0, 0, 1, 0, 0, 0, 99, 0xff, 0xff])]
#[case::announces_more_than_it_holds(&[0, 0, 0, 12, PROTOCOL_VERSION, 7, 0, 0, 0, 1, 4, 0, 0, 0, 0xff, 0xff])]
fn content_that_cannot_be_read_spoils_just_its_frame(#[case] bytes: &[u8]) {
    let mut stream = bytes.to_vec();
    write(&mut stream, 2, &said(4)).expect("written");
    let got = frames(&mut Reassembly::default(), &mut BytesMut::from(&stream[..])).expect("sound");
    assert_eq!(got[0].1.decode::<Said>(), Err(FrameError::Content));
    assert_eq!(got[1].1.decode::<Said>(), Ok(said(4)));
}

/// Any spoilt byte gives a message, an error or a wait for more, and never a panic or a read past the end.
#[rstest]
fn spoilt_bytes_are_borne() {
    let mut stream = Vec::new();
    write(&mut stream, 7, &said(9)).expect("written");
    write(&mut stream, 8, &said(2_000)).expect("written");
    write(&mut stream, 9, &noise(20_000)).expect("written");
    for at in (0..200).chain((200..stream.len()).step_by(97)) {
        for flip in [0x01, 0x80, 0xff] {
            let mut spoilt = stream.clone();
            spoilt[at] ^= flip;
            if let Ok(got) = frames(&mut Reassembly::default(), &mut BytesMut::from(&spoilt[..])) {
                got.iter().for_each(|(_, body)| drop(body.decode::<Said>()));
            }
        }
    }
}

/// Bytes by chance, and pieces by chance with sound heads: nothing panics, and what is held stays within the bounds.
#[rstest]
fn no_bytes_break_a_bound() {
    for seed in 0..400 {
        let mut draw = chance(seed + 1);
        let (mut assembly, mut server, mut caller) =
            (Reassembly::default(), RpcServer::default(), RpcClient::default());
        let mut streams = [BytesMut::new(), BytesMut::new(), BytesMut::new()];
        for _ in 0..60 {
            let length = draw(40) as usize;
            let mut bytes: Vec<u8> = (0..length).map(|_| draw(256) as u8).collect();
            if seed % 4 > 0 {
                let flags = [0, 1, 2, 3, 5, 7, 8, draw(256) as u8][draw(8) as usize];
                let head = [0, 0, 0, length as u8 + 6, PROTOCOL_VERSION, flags, 0, 0, 0, draw(12) as u8];
                bytes = [&head[..], &bytes].concat();
                // Lengths that are announced are mostly small or just too great.
                if flags & 3 == 1 && length > 4 {
                    bytes[10..14].copy_from_slice(&(draw(MAX_FRAME_BYTES as u64 / 4) as u32).to_be_bytes());
                }
            }
            streams.iter_mut().for_each(|s| s.extend_from_slice(&bytes));
            let [a, b, c] = &mut streams;
            let ended = frames(&mut assembly, a).is_err()
                | matches!(caller.next_event(0, b), Err(_) | Ok(Some(_)))
                | server.next_call(c).is_err();
            let (open, held) = assembly.partial_frames();
            assert!(open <= MAX_INTERLEAVED_FRAMES && held <= 60 * 40, "seed {seed}");
            if ended {
                break;
            }
        }
    }
}

/// Announced lengths count, whether or not the bytes come.
#[rstest]
fn more_than_a_sender_begins_is_refused() {
    let begin = |number: u32, length: usize| {
        let mut bytes = vec![0, 0, 0, 10, PROTOCOL_VERSION, 1];
        bytes.extend_from_slice(&number.to_be_bytes());
        bytes.extend_from_slice(&(length as u32).to_be_bytes());
        bytes
    };
    let many: Vec<u8> = (0..MAX_INTERLEAVED_FRAMES as u32).flat_map(|n| begin(n, 20_000)).collect();
    assert_eq!(refused(&many), None);
    assert_eq!(refused(&[many, begin(99, 20_000)].concat()), Some(FrameError::TooManyFrames));
    assert_eq!(
        refused(&[begin(1, MAX_FRAME_BYTES / 2), begin(2, MAX_FRAME_BYTES / 2 + 1)].concat()),
        Some(FrameError::TooManyFrames)
    );
}

/// The frames of version 1: a length, the version, a number, CBOR.
mod one {
    pub(crate) fn write(number: u32, cbor: &[u8]) -> Vec<u8> {
        let mut frame = (cbor.len() as u32 + 5).to_be_bytes().to_vec();
        frame.push(1);
        frame.extend_from_slice(&number.to_be_bytes());
        frame.extend_from_slice(cbor);
        frame
    }

    /// As it was read: whether its version was refused.
    pub(crate) fn refuses(from: &[u8]) -> bool {
        let length = from[..4].iter().fold(0usize, |n, b| n << 8 | usize::from(*b));
        assert!((5..=80 * 1024 * 1024).contains(&length));
        from[4] != 1
    }
}

/// Neither version takes the other's first frame for its own, whatever it holds; both refuse it from its first five bytes.
#[rstest]
fn versions_one_and_two_refuse_each_other_at_once() {
    for length in [0, 1, 300, 20_000, 100_000] {
        let old = one::write(7, &noise(length));
        assert_eq!(refused(&old[..5]), Some(FrameError::Version(1)));
        assert_eq!(
            RpcClient::default().next_event(0, &mut BytesMut::from(&old[..])),
            Err(FrameError::Version(1))
        );
        assert_eq!(
            RpcServer::default().next_call(&mut BytesMut::from(&old[..])),
            Err(FrameError::Version(1))
        );
        let mut new = Vec::new();
        write(&mut new, 7, &noise(length)).expect("written");
        assert!(one::refuses(&new));
    }
}

#[rstest]
fn only_long_bodies_that_shrink_are_packed() {
    let words = |n: usize| "the same words once more; ".repeat(n);
    assert!(!Body::encode(&words(MIN_COMPRESSED_BYTES / 26 - 1)).expect("body").is_compressed());
    let long = Body::encode(&words(10_000)).expect("body");
    assert!(long.is_compressed() && long.len() < 26_000);
    assert_eq!(long.decode::<String>(), Ok(words(10_000)));
    // What is packed already, and what only begins with something that shrinks.
    assert!(!Body::encode(&noise(50_000)).expect("body").is_compressed());
    assert!(!Body::encode(&(words(200), noise(90_000))).expect("body").is_compressed());
}

#[rstest]
fn what_waits_to_be_written_is_bounded() {
    let mut out = SendQueue::default();
    let body = |length: usize| Body::encode(&letters(length)).expect("body");
    // One alone may be longer than the bound; nothing long beside it, but short ones still.
    out.push(1, body(MAX_QUEUED_BYTES + 10)).expect("alone");
    assert!(out.push(2, body(MAX_CHUNK_BYTES * 2)).is_err());
    let mut shorts = 0;
    while shorts < 5_000 && out.push(100 + shorts, body(1_000)).is_ok() {
        shorts += 1;
    }
    assert!((900..=MAX_SHORT_BYTES as u32 / 1_000).contains(&shorts));
    assert!(out.bytes() <= MAX_QUEUED_BYTES + 100 + MAX_SHORT_BYTES);
    let mut bytes = Vec::new();
    while out.write_next(&mut bytes).is_some() {
        bytes.clear();
    }
    assert!(out.is_empty() && out.bytes() == 0);
    out.push(2, body(MAX_CHUNK_BYTES * 2)).expect("room again");
}

/// More long frames than go at once, some let go of half-way, and short ones without end: the other side never holds more
/// than it should, each long frame comes, and each in its turn.
#[rstest]
fn long_frames_take_turns_whatever_else_goes() {
    let (mut out, mut assembly) = (SendQueue::default(), Reassembly::default());
    let long = Body::encode(&letters(MAX_CHUNK_BYTES * 5)).expect("body");
    let most = MAX_INTERLEAVED_FRAMES as u32;
    (0..3 * most).for_each(|n| out.push(n, long.clone()).expect("room"));
    let (mut whole, mut turns) = (Vec::new(), 0);
    while !(0..3 * most).all(|n| n < 2 || whole.contains(&n)) {
        turns += 1;
        assert!(turns < 3 * most * 6 * 2, "short ones hold long ones up");
        // So many that they alone could fill the way.
        let short = Body::encode(&letters(2_000)).expect("body");
        while out.push(1_000, short.clone()).is_ok()
            && out.bytes() < 2 * MAX_SHORT_BYTES + 40 * MAX_CHUNK_BYTES * 5
        {}
        if turns == 20 {
            (0..2).for_each(|n| {
                assert_eq!(out.remove(n), Removed::PartlySent);
                out.push_cancellation(n);
            });
        }
        let (mut bytes, mut buffer) = (Vec::new(), BytesMut::new());
        out.write_next(&mut bytes);
        buffer.extend_from_slice(&bytes);
        let got = frames(&mut assembly, &mut buffer).expect("no more at once than is taken");
        whole.extend(got.iter().map(|(n, _)| *n).filter(|n| *n < 1_000));
    }
    // The first that were begun were through before others had their turn.
    assert!(whole[..MAX_INTERLEAVED_FRAMES - 2].iter().all(|n| *n < most + 2), "{whole:?}");
    assert_eq!(out.remove(0), Removed::NotQueued);
}

/// A side that receives cancellations without end keeps its own replies within a bound.
#[rstest]
fn words_that_numbers_are_given_up_are_bounded() {
    let mut server = RpcServer::default();
    let gone: Vec<u8> = (0..100_000u32)
        .flat_map(|n| [&[0, 0, 0, 6, PROTOCOL_VERSION, 8][..], &n.to_be_bytes()].concat())
        .collect();
    assert_eq!(server.next_call(&mut BytesMut::from(&gone[..])), Ok(None));
    let mut bytes = Vec::new();
    while server.write_next(&mut bytes) {}
    assert!(bytes.len() <= MAX_CHUNK_BYTES, "{}", bytes.len());
}

/// A text that does not shrink, with one byte a letter.
fn letters(length: usize) -> String {
    let mut draw = chance(3);
    (0..length).map(|_| (32 + draw(95)) as u8 as char).collect()
}
