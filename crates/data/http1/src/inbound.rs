//! Connections on which others ask us over HTTP/1.1: reading a whole request within bounds, writing its answer.

use crate::http::{self, Body, Framing, Head, HttpError};
use crate::tcp_info::connection_info;
use bytes::{Bytes, BytesMut};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// An answer of which the other side takes nothing for so long is given up.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time for an answer to be taken, however steadily it is read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(600);
/// After an error, what is still on its way is read for so long, lest the answer be lost to a reset.
pub const ERROR_LINGER: Duration = Duration::from_millis(300);
/// Bytes of further requests that are read before the answer to the last one.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Most bytes of a body that are read at once.
const MAX_READ_BYTES: usize = 64 * 1024;
/// What is read at once of what is dropped.
const LINGER_READ_BYTES: usize = 16 * 1024;
/// Bytes of a buffer that are kept.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * 1024;

/// What one request may be.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Longest body, in bytes.
    pub body: usize,
    /// Longest time from its first byte to its last.
    pub read_timeout: Duration,
    /// Longest rest between two requests.
    pub idle: Duration,
}

/// A request as it came.
pub struct Message {
    /// Its head, by places in `bytes`.
    pub head: Head,
    /// What the head was read from.
    pub bytes: BytesMut,
    /// Its body.
    pub body: Bytes,
}

impl Message {
    /// Its method and its target.
    pub fn line(&self) -> (&str, &str) {
        let text =
            |range: &std::ops::Range<usize>| std::str::from_utf8(&self.bytes[range.clone()]).unwrap_or("");
        (text(&self.head.method), text(&self.head.target))
    }
}

/// A request whose head has come, and whose body is being read.
pub struct IncomingRequest {
    /// Its head, by places in `bytes`.
    pub head: Head,
    /// What the head was read from.
    pub bytes: BytesMut,
    body: Body,
    /// When all of it must have come.
    deadline: Instant,
    /// How long it may take from its first byte to its last.
    read_timeout: Duration,
    /// The client waits for a word before it sends the body.
    expects_continue: bool,
}

impl IncomingRequest {
    /// How much of the body has come, in bytes.
    pub fn received_bytes(&self) -> usize {
        self.body.bytes.len()
    }

    /// The time to read begins anew: the body has had to wait for this side.
    pub fn restart_read_timeout(&mut self) {
        self.deadline = Instant::now() + self.read_timeout;
    }

    fn into_message(self) -> Message {
        Message { head: self.head, bytes: self.bytes, body: self.body.bytes.into() }
    }
}

/// How much of a request's body has been read. Only a whole one makes a [`Message`].
pub enum BodyRead {
    /// All of it: the request.
    Whole(Message),
    /// As much as was to be held; the rest stays with the client.
    Partial(IncomingRequest),
}

/// Why no request comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// The other side has closed, or rested too long: nothing is owed.
    Closed,
    /// It gets this status, and the connection ends.
    Status(u16),
}

/// The status for a request that cannot be read.
fn refusal(error: HttpError) -> Stop {
    Stop::Status(match error {
        HttpError::Malformed => 400,
        HttpError::HeadTooLong => 431,
        HttpError::BodyTooLong => 413,
        HttpError::Coding => 501,
    })
}

/// A connection.
pub struct Inbound {
    stream: TcpStream,
    buffer: BytesMut,
    /// When its last answer went out, or it was taken.
    since: Instant,
    /// Something was answered.
    has_answered: bool,
    head_most: usize,
    /// A request has begun and is not whole: what comes next on the connection belongs to it, and is no other request.
    has_unread_request: bool,
}

impl Inbound {
    /// A new connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Inbound {
            stream,
            buffer: BytesMut::new(),
            since: Instant::now(),
            has_answered: false,
            head_most: http::MAX_HEAD,
            has_unread_request: false,
        }
    }

    /// The connection itself.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// How long ago the last bytes came, by the kernel: the process may have stood still since. Zero where that does not say.
    pub fn since_received(&self) -> Duration {
        connection_info(&self.stream).map_or(Duration::ZERO, |info| info.since_received)
    }

    /// Whether bytes of a further request have come, also such as the process has not read yet.
    pub fn has_further_bytes(&self) -> bool {
        self.begun() || crate::conn::has_bytes(&self.stream)
    }

    /// Whether the next request, or a part of it, is here already.
    pub fn begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes heads of so many bytes at most from now on, in place of [`http::MAX_HEAD`].
    pub fn limit_head(&mut self, most: usize) {
        self.head_most = most;
    }

    /// Whether something was answered on it. Its first request may still be on its way else.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// How long it has rested since its last answer, or since it was taken.
    pub fn rested(&self) -> Duration {
        self.since.elapsed()
    }

    /// Waits for the first byte of the next request, as long as the connection may rest. May be given up at any time:
    /// nothing is lost.
    pub async fn ready(&mut self, bounds: Bounds) -> Result<(), Stop> {
        if self.buffer.is_empty() {
            if self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
                self.buffer = BytesMut::new();
            }
            let until = self.since + bounds.idle;
            match tokio::time::timeout_at(until, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return Err(Stop::Closed),
            }
        }
        Ok(())
    }

    /// Reads the next request.
    pub async fn read(&mut self, bounds: Bounds) -> Result<Message, Stop> {
        let mut request = self.read_head(bounds).await?;
        loop {
            match self.read_body(request, usize::MAX).await? {
                BodyRead::Whole(message) => return Ok(message),
                BodyRead::Partial(rest) => request = rest,
            }
        }
    }

    /// Reads the head of the next request. There is none after a request that was not read whole: [`Stop::Closed`].
    pub async fn read_head(&mut self, bounds: Bounds) -> Result<IncomingRequest, Stop> {
        if self.has_unread_request {
            return Err(Stop::Closed);
        }
        self.ready(bounds).await?;
        self.has_unread_request = true;
        let deadline = Instant::now() + bounds.read_timeout;
        let head = loop {
            match http::request_within(&self.buffer, self.head_most, bounds.body).map_err(refusal)? {
                Some(head) => break head,
                None => self.more(deadline).await?,
            }
        };
        let bytes = self.buffer.split_to(head.len);
        let expects_continue =
            head.header(&bytes, "expect").is_some_and(|e| e.eq_ignore_ascii_case(b"100-continue"));
        let body = Body::new(head.framing, bounds.body);
        let read_timeout = bounds.read_timeout;
        Ok(IncomingRequest { head, bytes, body, deadline, read_timeout, expects_continue })
    }

    /// Reads the body until it is whole, or until `limit` bytes of it are held, or a little more. What is not read stays with the client.
    pub async fn read_body(&mut self, mut request: IncomingRequest, limit: usize) -> Result<BodyRead, Stop> {
        let has_body = request.head.framing != Framing::Length(0);
        if std::mem::take(&mut request.expects_continue) && has_body && self.buffer.is_empty() {
            let _ = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        if let Framing::Length(length) = request.head.framing {
            request.body.bytes.reserve_exact(length.min(limit).saturating_sub(request.received_bytes()));
        }
        while !request.body.take(&mut self.buffer).map_err(refusal)? {
            if request.received_bytes() >= limit {
                return Ok(BodyRead::Partial(request));
            }
            if request.received_bytes() >= MAX_IDLE_BUFFER_BYTES {
                self.buffer.reserve(MAX_READ_BYTES);
            }
            self.more(request.deadline).await?;
        }
        self.has_unread_request = false;
        Ok(BodyRead::Whole(request.into_message()))
    }

    async fn more(&mut self, until: Instant) -> Result<(), Stop> {
        match tokio::time::timeout_at(until, self.stream.read_buf(&mut self.buffer)).await {
            Ok(Ok(n)) if n > 0 => Ok(()),
            Ok(_) => Err(Stop::Closed),
            Err(_) => Err(Stop::Status(408)),
        }
    }

    /// Whether neither bytes nor the end have come since the last request, by the system itself.
    pub fn quiet(&self) -> bool {
        self.buffer.is_empty() && crate::conn::quiet(&self.stream)
    }

    /// Ends once the other side has closed its connection. What it sends on before its answer is read ahead, up to
    /// 64 KB: only behind these bytes its end can be seen. May be given up at any time: nothing is lost.
    pub async fn gone(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        // Who sends so much ahead is read on after its answer: whether it is there shows then.
        std::future::pending::<()>().await;
    }

    /// Waits until the other side has taken the last answer, as far as can be told: it asks on, or closes in order. False if the
    /// connection breaks.
    pub async fn taken(&self) -> bool {
        let mut byte = [0; 1];
        !self.buffer.is_empty() || self.stream.peek(&mut byte).await.is_ok()
    }

    /// Writes an answer, for as long as the other side goes on taking it. False if the connection is of no further use.
    pub async fn write(&mut self, answer: &[u8]) -> bool {
        let written = matches!(timeout(WRITE_TIMEOUT, self.write_steadily(answer)).await, Ok(Ok(())));
        (self.since, self.has_answered) = (Instant::now(), true);
        written
    }

    /// Says that no further answer follows: the other side may read until the end. What it sends is still read.
    pub async fn finish_writing(&mut self) {
        // A connection that is broken already needs no end.
        let _ = self.stream.shutdown().await;
    }

    /// Fails once nothing has been taken for [`WRITE_STALL_TIMEOUT`].
    async fn write_steadily(&mut self, mut answer: &[u8]) -> io::Result<()> {
        while !answer.is_empty() {
            match timeout(WRITE_STALL_TIMEOUT, self.stream.write(answer)).await?? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                taken => answer = &answer[taken..],
            }
        }
        Ok(())
    }

    /// Ends the connection after an answer that the other side may not have read yet. What it still sends is read, and dropped, until it
    /// closes, or for as long as `limit`.
    pub async fn linger(mut self, limit: Duration) {
        self.finish_writing().await;
        let mut rest = vec![0; LINGER_READ_BYTES];
        let _ =
            timeout(limit, async { while matches!(self.stream.read(&mut rest).await, Ok(n) if n > 0) {} })
                .await;
    }
}
