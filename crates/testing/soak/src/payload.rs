//! The bodies of requests and responses. Both look like messages themselves, so that a mistake in framing shows.

use crate::ledger::RequestId;

/// What long bodies are made of.
const PADDING: u8 = b'p';

/// The body that a server gives to a request.
pub fn response_body(instance: &str, request: RequestId) -> String {
    format!("{instance} did {request:016x}\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
}

/// The body that a client sends with a request that may run once, with so many bytes of padding before it.
pub fn request_body(request: RequestId, padding: usize) -> Vec<u8> {
    let mut body = vec![PADDING; padding];
    let text = format!("{request:016x}\r\n\r\nPOST /post/smuggled HTTP/1.1\r\nLimeway-Request-Id: 1\r\n\r\n");
    body.extend_from_slice(text.as_bytes());
    body
}
