//! A listener of HTTP/1.1 on a link: accepts, caps, closes idle connections, and ends at once when told to.

use crate::link::{Link, Linked, Traffic};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
/// After a failed accept the listener rests so long: not to spin when descriptors have run out.
const REST: Duration = Duration::from_millis(5);

/// Listens at an address; port 0 for any.
pub(crate) fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Waits until a watched value is so; also when nobody can change it any more.
pub(crate) async fn until<T>(watched: &mut watch::Receiver<T>, is: impl FnMut(&T) -> bool) {
    let _ = watched.wait_for(is).await;
}

/// How connections are held.
#[derive(Clone)]
pub(crate) struct Hold {
    /// At most so many at once, over all listeners that share the count; further ones are closed at once.
    pub most: usize,
    /// Those that are open.
    pub open: Arc<AtomicUsize>,
    /// Closed when idle for so long.
    pub idle: Duration,
    /// All of them, and the listener, end when this becomes true.
    pub end: watch::Receiver<bool>,
}

/// A request with what its connection knows.
pub(crate) struct Asked {
    /// The request.
    pub request: Request<Incoming>,
    /// By its bytes.
    pub traffic: Arc<Traffic>,
}

struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a listener until `hold.end`. `opened` hears of each connection that is taken, `answer` of each request; its
/// future is dropped as soon as the caller closes.
pub(crate) async fn serve<A, F>(
    listener: TcpListener,
    link: Link,
    hold: Hold,
    now: impl Fn() -> u64 + Clone + Send + Unpin + 'static,
    opened: impl Fn() + Send + 'static,
    answer: A,
) where
    A: Fn(Asked) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let mut end = hold.end.clone();
    loop {
        let stream = tokio::select! {
            biased;
            () = until(&mut end, |end| *end) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    tokio::time::sleep(REST).await;
                    continue;
                }
            },
        };
        let before = hold.open.fetch_add(1, Ordering::Relaxed);
        let open = Open(hold.open.clone());
        if before >= hold.most {
            continue;
        }
        opened();
        let (link, hold, now, answer) = (link.clone(), hold.clone(), now.clone(), answer.clone());
        tokio::spawn(async move {
            connection(stream, link, hold, now, answer).await;
            drop(open);
        });
    }
}

async fn connection<A, F>(
    stream: TcpStream,
    link: Link,
    mut hold: Hold,
    now: impl Fn() -> u64 + Send + Unpin + 'static,
    answer: A,
) where
    A: Fn(Asked) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let traffic = Arc::new(Traffic::default());
    // Requests begun and ended: the connection is idle while they are equal, and the sum tells of any activity.
    let busy = Arc::new((AtomicUsize::new(0), AtomicUsize::new(0)));
    let (spoken, count) = (traffic.clone(), busy.clone());
    let service = service_fn(move |request| {
        count.0.fetch_add(1, Ordering::Relaxed);
        let answered = answer(Asked { request, traffic: spoken.clone() });
        let count = count.clone();
        async move {
            let answer = answered.await;
            count.1.fetch_add(1, Ordering::Relaxed);
            Ok::<_, Infallible>(answer)
        }
    });
    let io = TokioIo::new(Linked::new(stream, link.clone(), traffic, now));
    let http = hyper::server::conn::http1::Builder::new().pipeline_flush(true).serve_connection(io, service);
    let mut http = pin!(http);
    let mut healed = pin!(link.healed());
    let mut seen = (0, 0);
    loop {
        tokio::select! {
            biased;
            () = until(&mut hold.end, |end| *end) => return,
            () = &mut healed => return,
            _ = &mut http => return,
            () = tokio::time::sleep(hold.idle) => {
                let is = (busy.0.load(Ordering::Relaxed), busy.1.load(Ordering::Relaxed));
                // Nothing for the whole time: closed, as long as no request has come just now.
                if is.0 == is.1 && is == seen {
                    http.as_mut().graceful_shutdown();
                }
                seen = is;
            }
        }
    }
}
