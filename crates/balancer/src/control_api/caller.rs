//! Whether the caller of an order still waits for its answer.
//!
//! A caller gives an order up after a second of silence and sends it to another machine. Orders about zones carry no number, so one
//! that was given up must not count when it is read late: the process may have stood still with the order in its socket, or the network
//! may have held the bytes back. How long an order has waited here is known to the kernel; a caller that has closed its connection shows
//! by the end of the stream, and by a reset of what is sent to it.

use limeway_http1::inbound::Inbound;
use limeway_http1::tcp_info::connection_info;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// What every response begins with.
pub(super) const RESPONSE_START: &[u8] = b"HTTP/1.1 ";
/// The end of a stream that the network has held back comes this long after its last bytes at most: a round trip between far regions.
const END_OF_STREAM_DELAY: Duration = Duration::from_millis(120);
/// How long a caller's machine may take to acknowledge, or to reset, what is sent to it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Between two looks at what was sent.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);

/// Whether the caller of the request that was read last waits for its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallerState {
    /// It keeps its connection open.
    Open,
    /// It sends no more, and takes a response: it has been sent [`RESPONSE_START`].
    HalfClosed,
    /// It has closed its connection.
    Gone,
}

/// Finds out whether a caller still waits.
pub(super) async fn state(inbound: &mut Inbound) -> CallerState {
    if timeout(END_OF_STREAM_DELAY, inbound.gone()).await.is_err() {
        return CallerState::Open;
    }
    if !inbound.write(RESPONSE_START).await || is_reset(inbound.stream()).await {
        return CallerState::Gone;
    }
    CallerState::HalfClosed
}

/// Whether the other side resets what was sent to it: it has closed. One that only sends no more acknowledges it.
async fn is_reset(stream: &TcpStream) -> bool {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    while Instant::now() < deadline {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        // Where the kernel does not say, it is as if it were acknowledged.
        if connection_info(stream).is_none_or(|info| !info.has_unacknowledged) {
            return false;
        }
        sleep(PROBE_INTERVAL).await;
    }
    true
}
