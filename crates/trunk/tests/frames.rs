//! Frames survive any cut of the stream, and nothing else is taken for one.

use bytes::BytesMut;
use limeway_trunk::{read, write, FrameError, FRAME_MOST, VERSION};
use rstest::rstest;

type Said = (String, Vec<u64>, Option<bool>);

fn said(n: u64) -> Said {
    (format!("message {n}"), (0..n).collect(), (!n.is_multiple_of(3)).then_some(n.is_multiple_of(2)))
}

#[rstest]
fn frames_are_read_whole_however_the_stream_is_cut() {
    let mut stream = Vec::new();
    for n in 0..20 {
        write(&mut stream, n as u32, &said(n)).expect("written");
    }
    for cut in 1..60 {
        let (mut buffer, mut got) = (BytesMut::new(), Vec::new());
        for part in stream.chunks(cut) {
            buffer.extend_from_slice(part);
            while let Some((number, message)) = read::<Said>(&mut buffer).expect("sound") {
                got.push((number, message));
            }
        }
        assert_eq!(got.len(), 20);
        assert!(got.iter().enumerate().all(|(n, (number, m))| *number == n as u32 && *m == said(n as u64)));
    }
}

#[rstest]
#[case::too_long(&(FRAME_MOST as u32 + 1).to_be_bytes(), FrameError::Length)]
#[case::shorter_than_its_head(&[0, 0, 0, 2, VERSION, 0], FrameError::Length)]
#[case::another_version(&[0, 0, 0, 9, VERSION + 1], FrameError::Version(VERSION + 1))]
#[case::no_cbor(&[0, 0, 0, 7, VERSION, 0, 0, 0, 1, 0xff, 0xff], FrameError::Content)]
fn what_is_no_frame_is_refused(#[case] bytes: &[u8], #[case] error: FrameError) {
    assert_eq!(read::<Said>(&mut BytesMut::from(bytes)), Err(error));
}

/// Any spoilt byte gives a message, an error or a wait for more, and never a panic or a read past the end.
#[rstest]
fn spoilt_bytes_are_borne() {
    let mut frame = Vec::new();
    write(&mut frame, 7, &said(9)).expect("written");
    for at in 0..frame.len() {
        for flip in [0x01, 0x80, 0xff] {
            let mut spoilt = frame.clone();
            spoilt[at] ^= flip;
            let _ = read::<Said>(&mut BytesMut::from(&spoilt[..]));
        }
    }
}
