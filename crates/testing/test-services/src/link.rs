//! A way from one limiter to one other side, which may be cut: what is under way stays silent, and is reset when the
//! way is there again.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The state of a way.
#[derive(Debug, Clone)]
pub struct Link(Arc<watch::Sender<bool>>);

impl Default for Link {
    fn default() -> Self {
        Link(Arc::new(watch::Sender::new(false)))
    }
}

impl Link {
    /// Cuts it, or heals it.
    pub fn cut(&self, cut: bool) {
        self.0.send_replace(cut);
    }

    /// Whether it is cut.
    pub fn is_cut(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until it is there.
    pub async fn up(&self) {
        let _ = self.0.subscribe().wait_for(|cut| !cut).await;
    }

    /// Waits until it has been cut and is there again.
    pub async fn healed(&self) {
        let mut seen = self.0.subscribe();
        let _ = seen.wait_for(|cut| *cut).await;
        let _ = seen.wait_for(|cut| !cut).await;
    }
}

/// What is known of a connection by its bytes.
#[derive(Debug, Default)]
pub struct Traffic {
    /// When the first byte of the message being read came, by the clock of the reader; 0 for none yet.
    first_byte: AtomicU64,
    /// Bytes came while the way was cut: the connection is of no further use.
    pub spoilt: AtomicBool,
}

impl Traffic {
    /// When the message began that has just been read; the next one begins with the next byte.
    pub fn begun(&self) -> Option<u64> {
        Some(self.first_byte.swap(0, Ordering::Relaxed)).filter(|t| *t > 0)
    }
}

/// A stream over a [`Link`].
pub struct Linked<C> {
    stream: TcpStream,
    link: Link,
    traffic: Arc<Traffic>,
    now: C,
}

impl<C: Fn() -> u64 + Unpin> Linked<C> {
    /// Puts a stream on a link; `now` tells the time of its bytes.
    pub fn new(stream: TcpStream, link: Link, traffic: Arc<Traffic>, now: C) -> Self {
        Linked { stream, link, traffic, now }
    }
}

impl<C: Fn() -> u64 + Unpin> AsyncRead for Linked<C> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            let before = buf.filled().len();
            let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
            let came = buf.filled().len() - before;
            if result.is_err() || came == 0 {
                return Poll::Ready(result);
            }
            if self.link.is_cut() {
                // Lost on the way; the end of the connection is still noticed, so that the ledger knows when the
                // limiter gave up.
                buf.set_filled(before);
                self.traffic.spoilt.store(true, Ordering::Relaxed);
                continue;
            }
            let now = (self.now)();
            let _ = self.traffic.first_byte.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
            return Poll::Ready(result);
        }
    }
}

impl<C: Fn() -> u64 + Unpin> AsyncWrite for Linked<C> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.link.is_cut() {
            // Nobody wakes this up: when the way is there again, its server drops the connection.
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.link.is_cut() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
