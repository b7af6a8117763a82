//! Connections from other processes: calls come in, answers go out.

use super::wire::{read, rested, spoilt, tune, write};
use crate::clock::{self, Micros};
use crate::messages::{Call, Reply};
use bytes::BytesMut;
use limeway_rpc::{Body, RpcServer};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Connections from others, at most.
const INBOUND_MOST: usize = 1_024;
/// A connection that carries nothing for so long is closed by the side that answers.
const IDLE: Duration = Duration::from_secs(20);

/// Takes calls for ever, and has each answered by `answer`.
pub async fn listen<F, A>(listener: TcpListener, answer: A)
where
    F: Future<Output = Reply> + 'static,
    A: Fn(Call) -> F + Clone + 'static,
{
    let count = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if count.get() >= INBOUND_MOST {
            continue;
        }
        tune(&stream);
        let counted = limeway_http1::conn::Counted::new(&count);
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let _counted = counted;
            Rc::new(Taken::default()).run(stream, from, answer).await;
        });
    }
}

/// One connection from a process.
#[derive(Default)]
struct Taken {
    answerer: RefCell<RpcServer>,
    more: Notify,
    /// When bytes came or went last.
    stirred: Cell<Micros>,
}

impl Taken {
    async fn run<F, A>(self: Rc<Self>, stream: TcpStream, from: SocketAddr, answer: A)
    where
        F: Future<Output = Reply> + 'static,
        A: Fn(Call) -> F,
    {
        let (mut half, mut into) = stream.into_split();
        let next = |bytes: &mut Vec<u8>| {
            let wrote = self.answerer.borrow_mut().write_next(bytes);
            if wrote {
                self.stirred.set(clock::now());
            }
            wrote
        };
        tokio::select! {
            () = self.receive(&mut half, from, answer) => {}
            () = write(&mut into, &self.more, next) => {}
        }
    }

    async fn receive<F, A>(self: &Rc<Self>, half: &mut OwnedReadHalf, from: SocketAddr, answer: A)
    where
        F: Future<Output = Reply> + 'static,
        A: Fn(Call) -> F,
    {
        let mut buffer = BytesMut::new();
        loop {
            match timeout(IDLE, read(half, &mut buffer)).await {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) if rested(&self.stirred) < IDLE => continue,
                Err(_) => return,
            }
            self.stirred.set(clock::now());
            loop {
                let (number, body) = match self.answerer.borrow_mut().next_call(&mut buffer) {
                    Ok(Some(call)) => call,
                    Ok(None) => break,
                    Err(e) => return spoilt(from, e),
                };
                match body.decode::<Call>() {
                    Ok(call) => self.clone().answer(number, answer(call)),
                    // One that cannot be read ends no other.
                    Err(e) => {
                        spoilt(from, e);
                        self.answerer.borrow_mut().decline(number);
                    }
                }
            }
            // What was given up or refused is said.
            self.more.notify_one();
        }
    }

    /// Has a call answered.
    fn answer(self: Rc<Self>, number: u32, reply: impl Future<Output = Reply> + 'static) {
        tokio::task::spawn_local(async move {
            let reply = reply.await;
            let wanted = self.answerer.borrow().is_awaited(number);
            // What nobody waits for is not even put into a frame.
            let body = if wanted { Body::encode(&reply).ok() } else { None };
            let mut answerer = self.answerer.borrow_mut();
            match body {
                Some(body) => {
                    if let Err(e) = answerer.respond(number, body) {
                        log::debug!("link: {e}");
                    }
                }
                None => answerer.decline(number),
            }
            drop(answerer);
            self.more.notify_one();
        });
    }
}
