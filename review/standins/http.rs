//! HTTP/1.1 messages over blocking sockets, as much of it as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bytes that are read at once.
const READ_BYTES: usize = 256 * 1024;
/// Longest head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A message: its first line, its headers with names in lower case, and its body.
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Length of the body, also if the body itself was not kept.
    pub body_bytes: usize,
}

impl Message {
    /// The value of a header; empty if it is not there.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether the connection ends after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// A connection.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Opens a connection whose reads and writes wait for so long.
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request.
    pub fn request(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("{line} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || !line.starts_with("GET ") {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        self.write(head.as_bytes())?;
        self.write(body)
    }

    /// Reads one message with a length; its body is counted, and kept on demand.
    pub fn read(&mut self, keep_body: bool) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            self.read_more()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let header = |text: &str| {
            let (name, value) = text.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers: Vec<_> = lines.filter_map(header).collect();
        let mut message = Message { line, headers, body: Vec::new(), body_bytes: 0 };
        message.body_bytes = message.header("content-length").parse().unwrap_or(0);
        let mut left = message.body_bytes;
        while left > 0 {
            if self.buffer.is_empty() {
                self.read_more()?;
            }
            let part = left.min(self.buffer.len());
            if keep_body {
                message.body.extend_from_slice(&self.buffer[..part]);
            }
            self.buffer.drain(..part);
            left -= part;
        }
        Ok(message)
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut bytes = vec![0; READ_BYTES];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buffer.extend_from_slice(&bytes[..read]);
                Ok(())
            }
        }
    }
}

/// One request on a connection of its own.
pub fn call(
    to: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(to, timeout)?;
    let mut all = vec![("Host", "stand-in"), ("Connection", "close")];
    all.extend_from_slice(headers);
    connection.request(line, &all, body)?;
    connection.read(true)
}
