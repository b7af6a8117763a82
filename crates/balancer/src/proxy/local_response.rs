//! Responses of this gateway's own, by their cause.

use super::failure::Failure;
use limeway_http1::http;
use std::io::Write;

/// When to retry if nothing can be served now, in seconds.
const RETRY_AFTER_SECONDS: f64 = 0.25;

/// A response of this gateway's own.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocalResponse {
    /// Its status.
    pub status: u16,
    /// Why it is given.
    pub failure: Failure,
    /// Seconds until a retry makes sense.
    retry_after: Option<f64>,
}

impl LocalResponse {
    /// A response without advice to retry.
    pub(super) fn new(status: u16, failure: Failure) -> Self {
        LocalResponse { status, failure, retry_after: None }
    }

    /// A response with the advice to retry after so many seconds.
    pub(super) fn retry_after(status: u16, failure: Failure, seconds: f64) -> Self {
        LocalResponse { status, failure, retry_after: Some(seconds) }
    }

    /// 503, with the usual advice to retry.
    pub(super) fn unavailable(failure: Failure) -> Self {
        LocalResponse::retry_after(503, failure, RETRY_AFTER_SECONDS)
    }

    /// 503, with the advice to retry at once: other gateways go on.
    pub(super) fn shutting_down() -> Self {
        LocalResponse::retry_after(503, Failure::ShuttingDown, 0.0)
    }

    /// Whether it promises that the request has not been executed, and never will be.
    pub(super) fn is_promise(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }

    /// The response as bytes; `close` ends the connection.
    pub(super) fn to_bytes(self, close: bool) -> Vec<u8> {
        let mut headers = Vec::new();
        if let Some(seconds) = self.retry_after {
            // Writing to memory does not fail.
            let _ = write!(headers, "Retry-After: {seconds:.3}\r\n");
        }
        let mut out = Vec::new();
        http::write_answer(&mut out, self.status, &headers, close, b"");
        out
    }
}
