//! Headers as they are forwarded, to servers and to clients.

use limeway_http1::conn::Reply;
use limeway_http1::http;

/// Headers that concern one connection only, or that are written anew.
const HOP_BY_HOP: [&[u8]; 10] = [
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
];

/// Headers of clients that servers do not get beside those: the key, what is set here, and what has been answered.
const CLIENT_ONLY: [&[u8]; 5] =
    [b"authorization", b"limeway-deadline-ms", b"limeway-expect-instance", b"limeway-tenant", b"expect"];

/// Headers that are forwarded even if `Connection` names them: without them neither side knows what the message is about.
const ALWAYS_FORWARDED: [&[u8]; 3] = [b"host", b"limeway-request-id", b"limeway-server-stamp"];

/// A body up to this size, in bytes, is written together with its head.
pub(super) const MAX_COPIED_BODY_BYTES: usize = 64 * 1024;
/// Room for what is added to a response's headers, in bytes.
const STATUS_LINE_BYTES: usize = 128;

/// Appends the headers of a client's request that its server gets.
pub(super) fn append_request_headers(head: &http::Head, bytes: &[u8], to: &mut Vec<u8>) {
    append(head, bytes, &[&HOP_BY_HOP, &CLIENT_ONLY], to);
}

/// The head of a server's response as it goes to the client.
pub(super) fn response_head(reply: &Reply, body_length: Option<usize>, close: bool) -> Vec<u8> {
    let mut headers = Vec::with_capacity(reply.bytes.len());
    append(&reply.head, &reply.bytes, &[&HOP_BY_HOP], &mut headers);
    let copied = reply.body.len().min(MAX_COPIED_BODY_BYTES);
    let mut out = Vec::with_capacity(headers.len() + copied + STATUS_LINE_BYTES);
    http::write_answer_head(&mut out, reply.head.status, &headers, close, body_length);
    out
}

/// Appends headers but for those excluded, and for those that `Connection` names.
fn append(head: &http::Head, bytes: &[u8], excluded: &[&[&[u8]]], to: &mut Vec<u8>) {
    let named = head.header(bytes, "connection").unwrap_or(b"");
    for (name, value) in &head.headers {
        let name = &bytes[name.clone()];
        let is = |other: &[u8]| name.eq_ignore_ascii_case(other.trim_ascii());
        let is_named = || named.split(|b| *b == b',').any(is);
        let is_hop = !ALWAYS_FORWARDED.iter().any(|n| is(n)) && is_named();
        if is_hop || excluded.iter().any(|list| list.iter().any(|n| is(n))) {
            continue;
        }
        to.extend_from_slice(name);
        to.extend_from_slice(b": ");
        to.extend_from_slice(&bytes[value.clone()]);
        to.extend_from_slice(b"\r\n");
    }
}
