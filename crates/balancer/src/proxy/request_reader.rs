//! Reading a client's request, within the memory for bodies.

use super::body_budget::{BodyReservation, BudgetExhausted, MAX_SHORT_BODY_BYTES};
use super::failure::Failure;
use super::local_response::LocalResponse;
use super::request;
use super::ClientConnections;
use crate::clock::before;
use crate::gateway::Gateway;
use limeway_http1::http::Framing;
use limeway_http1::inbound::{BodyRead, Bounds, Inbound, IncomingRequest, Message, Stop};
use limeway_http1::tcp_info::MAX_TICK;
use limeway_types::Timestamp;
use std::time::Duration;

/// How long a request waits for its body to be reserved: clients give a try up that has not been read after a second,
const MAX_RESERVATION_WAIT: Duration = Duration::from_millis(800);
/// or after a third of their time.
const RESERVATION_WAIT_DIVISOR: u32 = 4;
/// A body of unknown length reserves this many times the bytes that have come.
const CHUNKED_GROWTH_FACTOR: usize = 2;

/// A whole request, and the reservation of its body.
pub(super) struct ReadRequest {
    /// The request.
    pub message: Message,
    /// When it came to this machine: its client's time runs from then on.
    pub arrived: Timestamp,
    /// Held until the request is answered.
    pub reservation: BodyReservation,
}

/// Why no whole request was read.
pub(super) enum NoRequest {
    /// The client has closed its connection.
    Closed,
    /// What has come is answered, and the connection ends.
    Refused(LocalResponse),
}

impl From<Stop> for NoRequest {
    fn from(stop: Stop) -> Self {
        match stop {
            Stop::Closed => NoRequest::Closed,
            Stop::Status(408) => NoRequest::Refused(LocalResponse::new(408, Failure::ReadTimedOut)),
            Stop::Status(status) => NoRequest::Refused(LocalResponse::new(status, Failure::Malformed)),
        }
    }
}

impl From<BudgetExhausted> for NoRequest {
    fn from(_: BudgetExhausted) -> Self {
        NoRequest::Refused(LocalResponse::unavailable(Failure::BodyBudgetExhausted))
    }
}

/// Reads a request. One that is still coming when the process is about to exit is refused: it has not been executed.
pub(super) async fn read_request(
    gateway: &Gateway,
    clients: &ClientConnections,
    inbound: &mut Inbound,
    bounds: Bounds,
) -> Result<ReadRequest, NoRequest> {
    tokio::select! {
        biased;
        read = read_whole(gateway, inbound, bounds) => read,
        () = clients.requests_aborted() => Err(NoRequest::Refused(LocalResponse::shutting_down())),
    }
}

async fn read_whole(
    gateway: &Gateway,
    inbound: &mut Inbound,
    bounds: Bounds,
) -> Result<ReadRequest, NoRequest> {
    let mut request = inbound.read_head(bounds).await?;
    let mut reservation = BodyReservation::default();
    let mut needed = match request.head.framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::UntilClose => MAX_SHORT_BODY_BYTES.min(bounds.body),
    };
    loop {
        if needed > MAX_SHORT_BODY_BYTES && gateway.routing().version == 0 {
            // How long a body may be is not known yet.
            return Err(NoRequest::Refused(LocalResponse::unavailable(Failure::NoConfig)));
        }
        if needed > 0 {
            reservation = gateway.bodies.grow(reservation, needed, max_wait(&request)).await?;
            request.restart_read_timeout();
        }
        let limit = if needed < bounds.body { needed } else { usize::MAX };
        match inbound.read_body(request, limit).await? {
            BodyRead::Whole(message) => {
                reservation.shrink_to(message.body.len());
                let arrived = arrival_time(inbound);
                return Ok(ReadRequest { message, arrived, reservation });
            }
            BodyRead::Partial(rest) => request = rest,
        }
        needed = request.received_bytes().saturating_mul(CHUNKED_GROWTH_FACTOR).min(bounds.body);
    }
}

/// When the request that was read last came to this machine, or a little later: its deadline must not end early. One that waited behind
/// the response to another counts from the end of that.
fn arrival_time(inbound: &Inbound) -> Timestamp {
    let since_response = if inbound.has_answered() { inbound.rested() } else { Duration::MAX };
    before(inbound.since_received().saturating_sub(MAX_TICK).min(since_response))
}

/// How long a request waits for a reservation. Its client's deadline goes on meanwhile.
fn max_wait(request: &IncomingRequest) -> Duration {
    let deadline = request::deadline(&request.head, &request.bytes).ok();
    let part = deadline.map(|deadline| Duration::from_micros(deadline) / RESERVATION_WAIT_DIVISOR);
    part.map_or(MAX_RESERVATION_WAIT, |part| part.min(MAX_RESERVATION_WAIT))
}
