//! Writing responses to clients.

use super::failure::Failure;
use super::headers::{response_head, MAX_COPIED_BODY_BYTES};
use super::local_response::LocalResponse;
use crate::upstream::{ResponseRest, ServerResponse};
use limeway_http1::conn::Reply;
use limeway_http1::http::{chunk, LAST_CHUNK};
use limeway_http1::inbound::Inbound;

/// Writes a response. A long body of a server's goes on as it comes, and ends with its connection if the server breaks off: the client
/// sees that it is not whole.
///
/// # Errors
/// Why the connection is of no further use.
pub(super) async fn write_response(
    inbound: &mut Inbound,
    response: Result<ServerResponse, LocalResponse>,
    close: bool,
) -> Result<(), Failure> {
    match response {
        Err(local) => write(inbound, &local.to_bytes(close)).await,
        Ok(ServerResponse { reply, rest: None }) => write_whole(inbound, &reply, close).await,
        Ok(ServerResponse { reply, rest: Some(rest) }) => write_parts(inbound, reply, rest, close).await,
    }
}

/// Writes a response that is held whole. Only a short body is copied behind its head.
async fn write_whole(inbound: &mut Inbound, reply: &Reply, close: bool) -> Result<(), Failure> {
    let mut head = response_head(reply, Some(reply.body.len()), close);
    if reply.body.len() <= MAX_COPIED_BODY_BYTES {
        head.extend_from_slice(&reply.body);
        return write(inbound, &head).await;
    }
    write(inbound, &head).await?;
    write(inbound, &reply.body).await
}

/// Writes a response as it comes. A body without a length goes on in chunks.
async fn write_parts(
    inbound: &mut Inbound,
    mut reply: Reply,
    mut rest: ResponseRest,
    close: bool,
) -> Result<(), Failure> {
    let length = rest.body_length();
    let framed = |part: Vec<u8>| if length.is_some() { part } else { chunk(&part) };
    write(inbound, &response_head(&reply, length, close)).await?;
    write(inbound, &framed(std::mem::take(&mut reply.body))).await?;
    while let Some(part) = rest.next_part().await.map_err(|_| Failure::Unknown)? {
        write(inbound, &framed(part)).await?;
    }
    match length {
        Some(_) => Ok(()),
        None => write(inbound, LAST_CHUNK).await,
    }
}

async fn write(inbound: &mut Inbound, bytes: &[u8]) -> Result<(), Failure> {
    inbound.write(bytes).await.then_some(()).ok_or(Failure::NotTaken)
}
