//! HTTP/1.1 framing for all sides: heads, bodies, limits, keep-alive.

use bytes::{Buf, BytesMut};
use std::fmt;
use std::ops::Range;

/// Longest head of a message, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Longest body of a request, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Longest body of an answer, in bytes: servers have been seen to send some 400 KB.
pub const MAX_ANSWER_BODY: usize = 1024 * 1024;
/// Most headers of a message.
const MAX_HEADERS: usize = 64;
/// Longest line that opens a chunk, in bytes; and all trailers together.
const MAX_CHUNK_LINE: usize = 1024;

/// Why a message cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// It is no HTTP/1.x message, or its framing is ambiguous.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// A transfer coding other than chunked.
    Coding,
}

impl HttpError {
    /// The error in words.
    pub fn reason(self) -> &'static str {
        match self {
            HttpError::Malformed => "malformed message",
            HttpError::HeadTooLong => "head too long",
            HttpError::BodyTooLong => "body too long",
            HttpError::Coding => "transfer coding not supported",
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for HttpError {}

/// How long the body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// As far as the connection goes; answers only.
    UntilClose,
}

/// The first line and the headers of a message, by their places in its bytes.
#[derive(Debug)]
pub struct Head {
    /// Length in bytes.
    pub len: usize,
    /// How long the body is.
    pub framing: Framing,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
    /// Status of an answer; 0 for a request.
    pub status: u16,
    /// Method and target of a request; empty for an answer.
    pub method: Range<usize>,
    /// See `method`.
    pub target: Range<usize>,
    /// Names and values.
    pub headers: Vec<(Range<usize>, Range<usize>)>,
}

/// The range of a part within the bytes that it was cut from.
fn range_in(whole: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).saturating_sub(whole.as_ptr() as usize);
    start..start + part.len()
}

/// Whether a comma-separated header names a token.
fn lists(value: &[u8], token: &str) -> bool {
    value.split(|b| *b == b',').any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

fn framing(headers: &[httparse::Header], answer: bool, most: usize) -> Result<Framing, HttpError> {
    let mut length: Option<usize> = None;
    let mut chunked = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = header.value.trim_ascii();
            if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
                return Err(HttpError::Malformed);
            }
            let value = digits.iter().fold(0, |sum, d| sum * 10 + usize::from(d - b'0'));
            if length.is_some_and(|l| l != value) {
                return Err(HttpError::Malformed);
            }
            length = Some(value);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(HttpError::Coding);
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        // Two lengths for one body: a way to smuggle a second request past whoever reads the other one.
        (Some(_), true) => Err(HttpError::Malformed),
        (Some(length), false) if length > most => Err(HttpError::BodyTooLong),
        (Some(length), false) => Ok(Framing::Length(length)),
        (None, true) => Ok(Framing::Chunked),
        (None, false) => Ok(if answer { Framing::UntilClose } else { Framing::Length(0) }),
    }
}

fn keep_alive(headers: &[httparse::Header], version: u8) -> bool {
    let mut keep = version == 1;
    for header in headers.iter().filter(|h| h.name.eq_ignore_ascii_case("connection")) {
        if lists(header.value, "close") {
            return false;
        }
        keep |= lists(header.value, "keep-alive");
    }
    keep
}

/// What the library made of the bytes: nothing yet, a length, or an error.
fn length(parsed: httparse::Result<usize>, have: usize, most: usize) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len <= most => Ok(Some(len)),
        Ok(httparse::Status::Partial) if have < most => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeadTooLong),
        Err(_) => Err(HttpError::Malformed),
    }
}

fn places(bytes: &[u8], headers: &[httparse::Header]) -> Vec<(Range<usize>, Range<usize>)> {
    headers.iter().map(|h| (range_in(bytes, h.name.as_bytes()), range_in(bytes, h.value))).collect()
}

/// Reads a request's head, for a body of [`MAX_BODY`]; nothing while it is not whole.
pub fn request(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    request_within(bytes, MAX_HEAD, MAX_BODY)
}

/// Reads a request's head of so many bytes at most, for a body of so many at most; nothing while it is not whole.
pub fn request_within(bytes: &[u8], head_most: usize, body_most: usize) -> Result<Option<Head>, HttpError> {
    request_as(bytes, head_most, body_most, false)
}

/// Reads a request's head as the limiter in service has read it so far: chunks may come with HTTP/1.0.
pub fn request_lenient(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    request_as(bytes, MAX_HEAD, MAX_BODY, true)
}

fn request_as(
    bytes: &[u8],
    head_most: usize,
    body_most: usize,
    lenient: bool,
) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Some(len) = length(parsed.parse(bytes), bytes.len(), head_most)? else { return Ok(None) };
    let (Some(method), Some(target)) = (parsed.method, parsed.path) else { return Err(HttpError::Malformed) };
    // The library takes a bare line feed for the end of a line; a server may not.
    if bytes[..len].iter().zip(&bytes[1..len]).any(|(a, b)| *b == b'\n' && *a != b'\r') {
        return Err(HttpError::Malformed);
    }
    let framing = framing(parsed.headers, false, body_most)?;
    // Chunks came with HTTP/1.1: whoever passed this on may have read another body (RFC 9112, 6.1).
    if !lenient && framing == Framing::Chunked && parsed.version != Some(1) {
        return Err(HttpError::Malformed);
    }
    Ok(Some(Head {
        len,
        framing,
        keep_alive: keep_alive(parsed.headers, parsed.version.unwrap_or(0)),
        status: 0,
        method: range_in(bytes, method.as_bytes()),
        target: range_in(bytes, target.as_bytes()),
        headers: places(bytes, parsed.headers),
    }))
}

/// Reads an answer's head, for a body of [`MAX_ANSWER_BODY`]; nothing while it is not whole.
pub fn answer(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    answer_within(bytes, MAX_ANSWER_BODY)
}

/// Reads an answer's head, for a body of so many bytes at most; nothing while it is not whole.
pub fn answer_within(bytes: &[u8], body_most: usize) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let Some(len) = length(parsed.parse(bytes), bytes.len(), MAX_HEAD)? else { return Ok(None) };
    let status = parsed.code.unwrap_or(0);
    let bare = (100..200).contains(&status) || status == 204 || status == 304;
    let framing = if bare { Framing::Length(0) } else { framing(parsed.headers, true, body_most)? };
    Ok(Some(Head {
        len,
        framing,
        keep_alive: keep_alive(parsed.headers, parsed.version.unwrap_or(0)) && framing != Framing::UntilClose,
        status,
        method: 0..0,
        target: 0..0,
        headers: places(bytes, parsed.headers),
    }))
}

impl Head {
    /// Value of the first header of this name.
    pub fn header<'a>(&self, bytes: &'a [u8], name: &str) -> Option<&'a [u8]> {
        let found =
            self.headers.iter().find(|(n, _)| bytes[n.clone()].eq_ignore_ascii_case(name.as_bytes()))?;
        Some(bytes[found.1.clone()].trim_ascii())
    }

    /// Value of a header that may stand only once, where it does.
    pub fn only<'a>(&self, bytes: &'a [u8], name: &str) -> Result<Option<&'a [u8]>, HttpError> {
        let named =
            |(n, _): &&(Range<usize>, Range<usize>)| bytes[n.clone()].eq_ignore_ascii_case(name.as_bytes());
        match self.headers.iter().filter(named).count() {
            0 | 1 => Ok(self.header(bytes, name)),
            _ => Err(HttpError::Malformed),
        }
    }

    /// How long the other side keeps the connection idle, in seconds, where it says so.
    pub fn keep_alive_seconds(&self, bytes: &[u8]) -> Option<u64> {
        let value = self.header(bytes, "keep-alive")?;
        let mut parts = value.split(|b| *b == b',').filter_map(|p| std::str::from_utf8(p.trim_ascii()).ok());
        parts
            .find_map(|p| p.split_once('=').filter(|(n, _)| n.trim().eq_ignore_ascii_case("timeout")))?
            .1
            .trim()
            .parse()
            .ok()
    }

    /// Copies the headers of these names, and no others: what one side makes of an unknown header is not known.
    pub fn copy_headers(&self, bytes: &[u8], names: &[&str], to: &mut Vec<u8>) {
        for (name, value) in &self.headers {
            let name = &bytes[name.clone()];
            if names.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes())) {
                to.extend_from_slice(name);
                to.extend_from_slice(b": ");
                to.extend_from_slice(&bytes[value.clone()]);
                to.extend_from_slice(b"\r\n");
            }
        }
    }
}

/// Gathers a body as its bytes come in.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    most: usize,
    /// What has been gathered, and not been drained.
    pub bytes: Vec<u8>,
    /// Bytes of the body that have come, the drained ones too.
    received: usize,
    /// Left of the chunk being read; nothing between chunks.
    chunk: Option<usize>,
    /// The last chunk has come; trailers follow.
    trailers: bool,
    trailing: usize,
    /// An empty line in place of a chunk's size ends the body, as the limiter in service takes it.
    lenient: bool,
}

impl Body {
    /// A body of this framing, and of so many bytes at most.
    pub fn new(framing: Framing, most: usize) -> Self {
        Body {
            framing,
            most,
            bytes: Vec::new(),
            received: 0,
            chunk: None,
            trailers: false,
            trailing: 0,
            lenient: false,
        }
    }

    /// The same as the limiter in service has read it so far: its marks are held against that.
    pub fn lenient(framing: Framing, most: usize) -> Self {
        Body { lenient: true, ..Body::new(framing, most) }
    }

    /// Takes from the front of `from` what belongs to the body; true once it is whole.
    pub fn take(&mut self, from: &mut BytesMut) -> Result<bool, HttpError> {
        match self.framing {
            Framing::Length(length) => {
                self.gather(from, length - self.received);
                Ok(self.received == length)
            }
            // Never gathered: nobody could tell whether it is whole.
            Framing::UntilClose => Err(HttpError::Malformed),
            Framing::Chunked => self.take_chunks(from),
        }
    }

    /// Its length, where that is known ahead.
    pub fn length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// What has been gathered since this was called last.
    pub fn drain(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Moves at most so many bytes from the front of `from`: how many.
    fn gather(&mut self, from: &mut BytesMut, most: usize) -> usize {
        let part = from.len().min(most);
        self.bytes.extend_from_slice(&from[..part]);
        from.advance(part);
        self.received += part;
        part
    }

    fn take_chunks(&mut self, from: &mut BytesMut) -> Result<bool, HttpError> {
        loop {
            if self.trailers {
                let Some(end) = from.windows(2).position(|w| w == b"\r\n") else {
                    return if from.len() > MAX_CHUNK_LINE { Err(HttpError::HeadTooLong) } else { Ok(false) };
                };
                from.advance(end + 2);
                self.trailing += end + 2;
                if self.trailing > MAX_CHUNK_LINE {
                    return Err(HttpError::HeadTooLong);
                }
                if end == 0 {
                    return Ok(true);
                }
            } else if let Some(left) = self.chunk {
                let part = self.gather(from, left);
                self.chunk = Some(left - part);
                if left > part || from.len() < 2 {
                    return Ok(false);
                }
                if !from.starts_with(b"\r\n") {
                    return Err(HttpError::Malformed);
                }
                from.advance(2);
                self.chunk = None;
            } else {
                // The library takes a line without digits for the last chunk: a body cut short would look whole.
                if !self.lenient && from.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
                    return Err(HttpError::Malformed);
                }
                match httparse::parse_chunk_size(from) {
                    Ok(httparse::Status::Complete((len, size))) => {
                        let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLong)?;
                        if size > self.most - self.received {
                            return Err(HttpError::BodyTooLong);
                        }
                        from.advance(len);
                        self.trailers = size == 0;
                        self.chunk = (size > 0).then_some(size);
                    }
                    Ok(httparse::Status::Partial) if from.len() <= MAX_CHUNK_LINE => return Ok(false),
                    _ => return Err(HttpError::Malformed),
                }
            }
        }
    }
}

/// Writes a head and a body as one message.
pub fn write_answer(to: &mut Vec<u8>, status: u16, headers: &[u8], close: bool, body: &[u8]) {
    write_answer_head(to, status, headers, close, Some(body.len()));
    to.extend_from_slice(body);
}

/// Writes the head of a message whose body has this length; it comes in chunks if that is not known.
pub fn write_answer_head(to: &mut Vec<u8>, status: u16, headers: &[u8], close: bool, length: Option<usize>) {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    };
    let mut digits = itoa::Buffer::new();
    to.extend_from_slice(b"HTTP/1.1 ");
    to.extend_from_slice(digits.format(status).as_bytes());
    to.push(b' ');
    to.extend_from_slice(reason.as_bytes());
    to.extend_from_slice(b"\r\n");
    to.extend_from_slice(headers);
    if close {
        to.extend_from_slice(b"Connection: close\r\n");
    }
    match length {
        Some(length) => {
            to.extend_from_slice(b"Content-Length: ");
            to.extend_from_slice(digits.format(length).as_bytes());
        }
        None => to.extend_from_slice(b"Transfer-Encoding: chunked"),
    }
    to.extend_from_slice(b"\r\n\r\n");
}

/// What follows the last chunk.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A part of a body as a chunk; nothing if it is empty, as an empty chunk would end the body.
pub fn chunk(part: &[u8]) -> Vec<u8> {
    if part.is_empty() {
        return Vec::new();
    }
    let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
    chunk.extend_from_slice(part);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
