//! Follows discovery: the list of servers is asked for whole at first, then watched.

use crate::conn::{Conn, Reply};
use crate::members::List;
use crate::seldom::Seldom;
use limeway_quota_policy::ListKind;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long a watch waits for changes, in milliseconds: what is told to a silent watch counts as told 2 s
/// after its end, so a broken one should not go unnoticed for long.
const HOLD_MS: u64 = 10_000;
/// Time beyond that after which discovery is held to be silent.
const GRACE: Duration = Duration::from_millis(1_500);
/// Time for a call that has nothing to wait for.
const MAX_CALL: Duration = Duration::from_millis(1_500);
/// Wait after a failed call: at first, and at most after doubling.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// What discovery has to tell.
#[derive(Debug)]
pub enum News {
    /// A list of servers: all of them, or those that have changed.
    List(ListKind, List),
    /// An answer has come that changes nothing.
    Same,
    /// A call failed, where the module has to ask.
    Failed,
}

/// The way to discovery: takes commands while [`Discovery::run`] gives events.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// The address has changed.
    moved: Notify,
    /// Where discovery must be asked: it may be.
    asked: Notify,
    /// Discovery tells nothing before it is asked.
    ask: bool,
    seldom: Seldom,
}

impl Discovery {
    /// Discovery at an address; `ask` where a watch may begin only on command.
    pub fn new(address: SocketAddr, ask: bool) -> Self {
        let (moved, asked) = (Notify::new(), Notify::new());
        Discovery { address: Cell::new(address), moved, asked, ask, seldom: Seldom::default() }
    }

    /// Moves to another address: a pending watch is given up, and the whole list is asked of the new one.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }

    /// A watch may begin.
    pub fn watch(&self) {
        self.asked.notify_one();
    }

    /// Follows discovery, for ever, also to another address, and passes on what it tells.
    pub async fn run(&self, tell: impl Fn(News)) {
        let mut moved = false;
        loop {
            tokio::select! {
                biased;
                () = self.moved.notified() => moved = true,
                () = self.follow(&tell, moved) => {}
            }
        }
    }

    /// Follows discovery at its present address. Where it must be asked, the module says when to begin, but for
    /// one that has moved.
    async fn follow(&self, tell: &impl Fn(News), mut moved: bool) {
        let (mut conn, mut seq, mut backoff) = (None, None, BACKOFF.0);
        loop {
            if self.ask && conn.is_none() && !moved {
                self.asked.notified().await;
            }
            moved = false;
            match self.call(&mut conn, seq).await {
                Ok(list) => {
                    let (version, spoilt) = (list.seq, list.spoilt);
                    // Changes refer to the list held; the whole list stands for itself, unless some of it cannot
                    // be read: whoever is not named then may well be there.
                    tell(if list.whole && spoilt == 0 {
                        News::List(ListKind::Full, list)
                    } else if !list.hosts.is_empty() {
                        News::List(ListKind::Delta, list)
                    } else {
                        News::Same
                    });
                    if spoilt > 0 {
                        self.seldom.warn(format_args!("discovery: {spoilt} rows make no sense"));
                        seq = None;
                        tokio::time::sleep(backoff).await;
                        backoff = (backoff * 2).min(BACKOFF.1);
                        continue;
                    }
                    seq = Some(version);
                    backoff = BACKOFF.0;
                }
                Err(e) => {
                    log::info!("discovery: {e}");
                    conn = None;
                    if self.ask {
                        tell(News::Failed);
                    } else {
                        tokio::time::sleep(backoff).await;
                        backoff = (backoff * 2).min(BACKOFF.1);
                    }
                }
            }
        }
    }

    async fn call(&self, conn: &mut Option<Conn>, seq: Option<u64>) -> io::Result<List> {
        let (target, most) = match seq {
            Some(seq) => (
                format!("/catalog/members?from={seq}&hold_ms={HOLD_MS}"),
                Duration::from_millis(HOLD_MS) + GRACE,
            ),
            None => ("/catalog/members".to_owned(), MAX_CALL),
        };
        let message = format!("GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n");
        let exchange = async {
            let mut open = match conn.take().filter(Conn::quiet) {
                Some(open) => open,
                None => timeout(MAX_CALL, Conn::open(self.address.get(), &Rc::default())).await??,
            };
            open.write(message.as_bytes(), &Cell::new(false)).await?;
            let Reply { head, body, keep, .. } = open.read().await.map_err(io::Error::other)?;
            if head.status != 200 {
                return Err(io::Error::other(format!("status {}", head.status)));
            }
            let list = serde_json::from_slice(&body)?;
            *conn = keep.then_some(open);
            Ok(list)
        };
        timeout(most, exchange).await?
    }
}
