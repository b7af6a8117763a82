//! Connections of our own to other sides: one HTTP/1.1 message out, one whole answer in.

use crate::http::{self, Body};
use crate::tcp_info::{connection_info, ConnectionInfo};
use bytes::BytesMut;
use std::cell::Cell;
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest pause within an answer that has begun: servers are near. Its length is bounded as well.
const STALL: Duration = Duration::from_millis(250);
/// Answers of the kind 1xx ahead of the real one, at most.
const MAX_INTERIM: u32 = 8;
/// Most bytes of a body that are read at once where it is passed on in parts.
const MAX_PART_BYTES: usize = 64 * 1024;
/// Largest buffer that an idle connection keeps, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * 1024;

/// Counts what is open for as long as it lives.
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// One more.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Why no answer came of a message.
#[derive(Debug)]
pub enum Broken {
    /// The connection ended or broke.
    Ended(io::Error),
    /// What came cannot be read as an answer; the connection itself may stay open, but is of no further use.
    Spoilt(&'static str),
}

impl From<io::Error> for Broken {
    fn from(e: io::Error) -> Self {
        Broken::Ended(e)
    }
}

impl From<http::HttpError> for Broken {
    fn from(e: http::HttpError) -> Self {
        Broken::Spoilt(e.reason())
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Ended(e) => write!(f, "connection ended: {e}"),
            Broken::Spoilt(reason) => write!(f, "spoilt answer: {reason}"),
        }
    }
}

impl std::error::Error for Broken {}

/// A whole answer.
pub struct Reply {
    /// Its head, by places in `bytes`.
    pub head: http::Head,
    /// What the head was read from.
    pub bytes: BytesMut,
    /// Its body, or the first part of it.
    pub body: Vec<u8>,
    /// The rest of the body, to be read by [`Conn::read_part`]; none unless [`Conn::leave_bodies_beyond`] was called.
    pub unread: Option<Body>,
    /// The connection may be used again.
    pub keep: bool,
}

/// Whether neither bytes nor the end have come on a connection, by the system itself.
pub fn quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether bytes wait in a connection, by the system itself.
pub fn has_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    matches!(socket2::SockRef::from(stream).peek(&mut byte), Ok(1))
}

/// A kept connection of ours.
pub struct Conn {
    stream: TcpStream,
    buffer: BytesMut,
    since: Instant,
    to: SocketAddr,
    stall: Duration,
    strict: bool,
    /// Bodies that are longer than this are left in the connection.
    left_beyond: usize,
    _counted: Counted,
}

impl Conn {
    /// Opens a connection and counts it.
    pub async fn open(to: SocketAddr, count: &Rc<Cell<usize>>) -> io::Result<Self> {
        let _counted = Counted::new(count);
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Conn {
            stream,
            buffer: BytesMut::with_capacity(1024),
            since: Instant::now(),
            to,
            stall: STALL,
            strict: false,
            left_beyond: usize::MAX,
            _counted,
        })
    }

    /// Waits so long within an answer that has begun, in place of a quarter of a second.
    pub fn patient(&mut self, stall: Duration) {
        self.stall = stall;
    }

    /// From now on no success without a length, no other protocol and no chunk without a size is taken.
    pub fn strict(&mut self) {
        self.strict = true;
    }

    /// Leaves bodies that are longer than this in the connection from now on, however long they are: [`Reply::unread`] is what reads them.
    /// Before, none may be longer than [`http::MAX_ANSWER_BODY`].
    pub fn leave_bodies_beyond(&mut self, bytes: usize) {
        self.left_beyond = bytes;
    }

    /// Ends it with an error once bytes have not been acknowledged by the other machine for so long: it is without power or
    /// cut off. Silence of the program there does not count.
    pub fn reach(&self, most: Duration) -> io::Result<()> {
        socket2::SockRef::from(&self.stream).set_tcp_user_timeout(Some(most))
    }

    /// Whether nothing has come since the last answer, neither bytes nor the end. Asks the system itself:
    /// what the runtime knows of the socket may be a turn old.
    pub fn quiet(&self) -> bool {
        self.buffer.is_empty() && quiet(&self.stream)
    }

    /// What the kernel knows of it.
    pub fn info(&self) -> Option<ConnectionInfo> {
        connection_info(&self.stream)
    }

    /// Where it leads.
    pub fn to(&self) -> SocketAddr {
        self.to
    }

    /// How long it has stood idle.
    pub fn idle(&self) -> Duration {
        self.since.elapsed()
    }

    /// Marks it as idle from now on; a buffer that has grown is let go.
    pub fn rest(&mut self) {
        self.since = Instant::now();
        if self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
    }

    /// Writes a message; sets `written` once its last byte has been handed over.
    pub async fn write(&mut self, message: &[u8], written: &Cell<bool>) -> io::Result<()> {
        self.stream.write_all(message).await?;
        written.set(true);
        Ok(())
    }

    /// Reads one whole answer, past those of the kind 1xx.
    pub async fn read(&mut self) -> Result<Reply, Broken> {
        for _ in 0..=MAX_INTERIM {
            if self.buffer.is_empty() {
                self.more().await?;
            }
            if let Some(reply) = self.read_begun().await? {
                return Ok(reply);
            }
        }
        Err(Broken::Spoilt("too many interim answers"))
    }

    /// Reads the next part of a body that was left in the connection, and whether it is the last one.
    pub async fn read_part(&mut self, body: &mut Body) -> Result<(Vec<u8>, bool), Broken> {
        loop {
            let is_whole = body.take(&mut self.buffer)?;
            if is_whole || !body.bytes.is_empty() {
                return Ok((body.drain(), is_whole));
            }
            self.buffer.reserve(MAX_PART_BYTES);
            self.more_soon().await?;
        }
    }

    async fn more(&mut self) -> Result<(), Broken> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(Broken::Ended(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// More of an answer that has begun. Guards against a head without end and a length that no body fills:
    /// whoever has begun to answer goes on to its end.
    async fn more_soon(&mut self) -> Result<(), Broken> {
        timeout(self.stall, self.more()).await.unwrap_or(Err(Broken::Spoilt("stalled")))
    }

    fn longest_body(&self) -> usize {
        if self.left_beyond < usize::MAX {
            usize::MAX
        } else {
            http::MAX_ANSWER_BODY
        }
    }

    /// Reads the answer that has begun; nothing if it was of the kind 1xx.
    async fn read_begun(&mut self) -> Result<Option<Reply>, Broken> {
        let head = loop {
            match http::answer_within(&self.buffer, self.longest_body())? {
                Some(head) => break head,
                None => self.more_soon().await?,
            }
        };
        let bytes = self.buffer.split_to(head.len);
        if self.strict && head.status == 101 {
            return Err(Broken::Spoilt("another protocol"));
        }
        if (100..200).contains(&head.status) && head.status != 101 {
            return Ok(None);
        }
        // A body that goes on to the end of its connection may be cut short unseen.
        let open_end = head.framing == http::Framing::UntilClose;
        let success = if self.strict { 200..300 } else { 200..201 };
        if open_end && success.contains(&head.status) {
            return Err(Broken::Spoilt("no length"));
        }
        let make = if self.strict { Body::new } else { Body::lenient };
        let mut body = make(head.framing, self.longest_body());
        while !open_end && !body.take(&mut self.buffer)? {
            if body.length().unwrap_or(body.bytes.len()) > self.left_beyond {
                let keep = head.keep_alive && head.status >= 200;
                return Ok(Some(Reply { head, bytes, body: body.drain(), unread: Some(body), keep }));
            }
            self.more_soon().await?;
        }
        let keep = head.keep_alive && !open_end && head.status >= 200 && self.buffer.is_empty();
        Ok(Some(Reply { head, bytes, body: body.bytes, unread: None, keep }))
    }
}
