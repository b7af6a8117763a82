//! Heads and bodies of HTTP/1.1: whole ones at any split, shapes that smuggle, and bytes that are none.

use bytes::BytesMut;
use limeway_http1::http::{self, Body, Framing, Head, HttpError};
use proptest::prelude::*;
use rstest::rstest;

const MOST: usize = 64 * 1024;

/// A head, its body, and what is left over.
type Read = (Head, Vec<u8>, Vec<u8>);

/// Feeds bytes in such parts; nothing while the message is not whole.
fn read(
    parts: &[&[u8]],
    head: impl Fn(&[u8]) -> Result<Option<Head>, HttpError>,
) -> Result<Option<Read>, HttpError> {
    let mut buffer = BytesMut::new();
    let mut parts = parts.iter();
    let head = loop {
        let Some(part) = parts.next() else { return Ok(None) };
        buffer.extend_from_slice(part);
        if let Some(head) = head(&buffer)? {
            break head;
        }
    };
    let _ = buffer.split_to(head.len);
    let mut body = Body::new(head.framing, MOST);
    while !body.take(&mut buffer)? {
        let Some(part) = parts.next() else { return Ok(None) };
        buffer.extend_from_slice(part);
    }
    parts.for_each(|part| buffer.extend_from_slice(part));
    Ok(Some((head, body.bytes, buffer.to_vec())))
}

fn request(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    http::request(bytes)
}

fn answer(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    http::answer(bytes)
}

/// Two messages on one connection: the first is read whole, and not a byte of the second, wherever the bytes are split.
#[rstest]
#[case(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n/-/rp", b"/-/rp")]
#[case(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nabcde", b"abcde")]
#[case(
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n02;x=y\r\nde\r\n0\r\n\r\n",
    b"abcde"
)]
#[case(
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\nZ: w\r\n\r\n",
    b"a"
)]
#[case(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", b"")]
fn a_request_ends_where_it_ends_at_any_split(#[case] first: &[u8], #[case] body: &[u8]) {
    let second = b"GET /-/smuggled HTTP/1.1\r\n\r\n";
    let both = [first, second].concat();
    for at in 0..=both.len() {
        let (_, so, rest) = read(&[&both[..at], &both[at..]], request).expect("reads").expect("whole");
        assert_eq!((so.as_slice(), rest.as_slice()), (body, &second[..]), "split at {at}");
    }
    let bytes: Vec<&[u8]> = both.chunks(1).collect();
    let (_, so, rest) = read(&bytes, request).expect("reads").expect("whole");
    assert_eq!((so.as_slice(), rest.as_slice()), (body, &second[..]));
    // Cut anywhere, it never looks whole.
    for at in 0..first.len() {
        assert!(read(&[&first[..at]], request).expect("reads").is_none(), "cut at {at}");
    }
}

#[rstest]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", b"body")]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", b"body")]
#[case(b"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n", b"")]
#[case(b"HTTP/1.1 304 Not Modified\r\n\r\n", b"")]
fn an_answer_cut_short_never_looks_whole(#[case] whole: &[u8], #[case] body: &[u8]) {
    let surplus = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    for at in 0..whole.len() {
        assert!(read(&[&whole[..at]], answer).expect("reads").is_none(), "cut at {at}");
    }
    let both = [whole, &surplus[..]].concat();
    for at in 0..=both.len() {
        let (_, so, rest) = read(&[&both[..at], &both[at..]], answer).expect("reads").expect("whole");
        assert_eq!((so.as_slice(), rest.as_slice()), (body, &surplus[..]), "split at {at}");
    }
}

/// What two readers may understand differently is refused.
#[rstest]
#[case("Content-Length: 5\r\nContent-Length: 6\r\n", HttpError::Malformed)]
#[case("Content-Length: 5, 5\r\n", HttpError::Malformed)]
#[case("Content-Length: +5\r\n", HttpError::Malformed)]
#[case("Content-Length: -5\r\n", HttpError::Malformed)]
#[case("Content-Length: 0x5\r\n", HttpError::Malformed)]
#[case("Content-Length:\r\n", HttpError::Malformed)]
#[case("Content-Length: 5 5\r\n", HttpError::Malformed)]
#[case("Content-Length: 99999999999999999999\r\n", HttpError::Malformed)]
#[case("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", HttpError::Malformed)]
#[case("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", HttpError::Malformed)]
#[case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", HttpError::Coding)]
#[case("Transfer-Encoding: gzip, chunked\r\n", HttpError::Coding)]
#[case("Transfer-Encoding: chunked, identity\r\n", HttpError::Coding)]
#[case("Transfer-Encoding: identity\r\n", HttpError::Coding)]
#[case("Transfer-Encoding: xchunked\r\n", HttpError::Coding)]
#[case("Transfer-Encoding : chunked\r\n", HttpError::Malformed)]
#[case("Content-Length : 5\r\n", HttpError::Malformed)]
#[case(" Content-Length: 5\r\n", HttpError::Malformed)]
#[case("X: a\r\n Content-Length: 5\r\n", HttpError::Malformed)]
#[case("X: a\r\n\tb\r\n", HttpError::Malformed)]
#[case("X: a\nContent-Length: 5\r\n", HttpError::Malformed)]
#[case("X: a\rContent-Length: 5\r\n", HttpError::Malformed)]
#[case("X: a\0b\r\n", HttpError::Malformed)]
#[case(": a\r\n", HttpError::Malformed)]
#[case("X\r\n", HttpError::Malformed)]
#[case("Content-Length: 65537\r\n", HttpError::BodyTooLong)]
fn heads_of_two_meanings_are_refused(#[case] headers: &str, #[case] error: HttpError) {
    let bytes = format!("POST /a HTTP/1.1\r\nHost: h\r\n{headers}\r\nabcde");
    assert_eq!(http::request(bytes.as_bytes()).map(|h| h.map(|h| h.framing)), Err(error), "{bytes:?}");
}

#[rstest]
#[case("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case("POST /a HTTP/1.1\nHost: h\r\n\r\n")]
#[case("POST /a HTTP/1.1\r\nHost: h\r\n\n")]
#[case("POST /a HTTP/2.0\r\nHost: h\r\n\r\n")]
#[case("POST  /a HTTP/1.1\r\n\r\n")]
#[case("POST /a b HTTP/1.1\r\n\r\n")]
fn first_lines_and_ends_of_two_meanings_are_refused(#[case] head: &str) {
    assert!(matches!(http::request(head.as_bytes()), Err(HttpError::Malformed)), "{head:?}");
}

#[rstest]
#[case(b"5\nabcde\r\n0\r\n\r\n")]
#[case(b"5\r\nabcdeXX0\r\n\r\n")]
#[case(b"5\r\nabcde\n0\r\n\r\n")]
#[case(b"-5\r\nabcde\r\n0\r\n\r\n")]
#[case(b"0x5\r\nabcde\r\n0\r\n\r\n")]
#[case(b"\r\nabcde\r\n0\r\n\r\n")]
#[case(b"5\r\nabcde\r\n\r\n\r\n")]
#[case(b";x\r\n\r\n")]
#[case(b" 5\r\nabcde\r\n0\r\n\r\n")]
#[case(b"g\r\nabcde\r\n0\r\n\r\n")]
#[case(b"ffffffffffffffffff\r\nabcde\r\n0\r\n\r\n")]
#[case(b"10001\r\nabcde\r\n0\r\n\r\n")]
fn chunks_of_two_meanings_are_refused(#[case] chunks: &[u8]) {
    let mut buffer = BytesMut::from(chunks);
    assert!(Body::new(Framing::Chunked, MOST).take(&mut buffer).is_err());
}

#[rstest]
fn heads_and_trailers_without_end_are_refused() {
    let long = format!("GET /a HTTP/1.1\r\nX: {}", "a".repeat(http::MAX_HEAD));
    assert!(matches!(http::request(long.as_bytes()), Err(HttpError::HeadTooLong)));
    let fits = format!("GET /a HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(2_000));
    assert!(matches!(http::request_within(fits.as_bytes(), 4_000, 0), Ok(Some(_))));
    assert!(matches!(http::request_within(fits.as_bytes(), 1_000, 0), Err(HttpError::HeadTooLong)));
    let mut trailers = BytesMut::from(&b"0\r\n"[..]);
    (0..200).for_each(|_| trailers.extend_from_slice(b"X: aaaaaaa\r\n"));
    assert_eq!(Body::new(Framing::Chunked, MOST).take(&mut trailers), Err(HttpError::HeadTooLong));
    let mut extension = BytesMut::from(&b"5;"[..]);
    extension.extend_from_slice(&[b'a'; 2_000]);
    assert_eq!(Body::new(Framing::Chunked, MOST).take(&mut extension), Err(HttpError::Malformed));
}

#[rstest]
#[case("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5, max=100\r\n\r\n", Some(5))]
#[case("HTTP/1.1 200 OK\r\nKeep-Alive: max=100,Timeout = 7\r\n\r\n", Some(7))]
#[case("HTTP/1.1 200 OK\r\nKeep-Alive: soon\r\n\r\n", None)]
#[case("HTTP/1.1 200 OK\r\n\r\n", None)]
fn how_long_the_other_side_keeps_a_connection(#[case] text: &str, #[case] seconds: Option<u64>) {
    let head = http::answer(text.as_bytes()).expect("reads").expect("whole");
    assert_eq!(head.keep_alive_seconds(text.as_bytes()), seconds);
}

fn chunked(parts: &[Vec<u8>]) -> Vec<u8> {
    let mut out = Vec::new();
    for part in parts.iter().filter(|p| !p.is_empty()) {
        out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"0\r\n\r\n");
    out
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes, also near to a message: no panic, no head longer than what came, nothing taken beyond the body.
    #[test]
    fn any_bytes_are_read_or_refused(
        start in prop::sample::select(vec!["", "GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"]),
        noise in prop::collection::vec(prop_oneof![Just(b'\r'), Just(b'\n'), Just(b':'), Just(b'0'), Just(b' '), any::<u8>()], 0..200),
    ) {
        let bytes = [start.as_bytes(), &noise].concat();
        for head in [request as fn(&[u8]) -> _, answer] {
            if let Ok(Some((head, body, rest))) = read(&[&bytes], head) {
                prop_assert!(head.len + body.len() + rest.len() <= bytes.len());
                prop_assert!(bytes.ends_with(&rest));
                for (name, value) in &head.headers {
                    // Written out again, no header ends early or begins another one.
                    prop_assert!(!bytes[name.clone()].iter().chain(&bytes[value.clone()]).any(|b| b"\r\n\0".contains(b)));
                }
            }
        }
    }

    /// What is read does not hang on how the bytes come, and the next message is left whole.
    #[test]
    fn splits_change_nothing(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        cuts in prop::collection::vec(0usize..400, 0..8),
        in_chunks in any::<bool>(),
    ) {
        let whole = parts.concat();
        let mut bytes = if in_chunks {
            [b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), chunked(&parts)].concat()
        } else {
            [format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n", whole.len()).into_bytes(), whole.clone()].concat()
        };
        bytes.extend_from_slice(b"GET /next");
        let mut at: Vec<usize> = cuts.into_iter().map(|c| c % bytes.len()).chain([0, bytes.len()]).collect();
        at.sort_unstable();
        let split: Vec<&[u8]> = at.windows(2).map(|w| &bytes[w[0]..w[1]]).collect();
        let (_, body, rest) = read(&split, request).expect("reads").expect("whole");
        prop_assert_eq!(body, whole);
        prop_assert_eq!(rest, b"GET /next".to_vec());
    }

    /// One byte of chunk framing changed: never the same body with bytes left over as if nothing had been.
    #[test]
    fn garbled_chunks_take_no_byte_of_what_follows(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..20), 1..4),
        at in any::<prop::sample::Index>(),
        by in 1u8..,
    ) {
        let mut bytes = chunked(&parts);
        let at = at.index(bytes.len());
        bytes[at] ^= by;
        let mut buffer = BytesMut::from(&bytes[..]);
        let mut body = Body::new(Framing::Chunked, MOST);
        if let Ok(true) = body.take(&mut buffer) {
            prop_assert!(body.bytes.len() + buffer.len() <= bytes.len());
            prop_assert!(bytes.ends_with(&buffer));
        }
    }

    /// An answer that we write is read as what it is.
    #[test]
    fn what_is_written_is_read(status in 200u16..600, close in any::<bool>(), body in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut out = Vec::new();
        http::write_answer(&mut out, status, b"Limeway-Request-Id: a\r\n", close, &body);
        let bare = status == 204 || status == 304;
        let (head, so, _) = read(&[&out], answer).expect("reads").expect("whole");
        prop_assert_eq!((head.status, head.keep_alive), (status, !close));
        prop_assert_eq!(head.header(&out, "limeway-request-id"), Some(&b"a"[..]));
        prop_assert!(bare || so == body);
    }
}
