//! How many bytes of clients' bodies a gateway holds at once: a part of the memory that its process may use.
//!
//! A body is held whole until its request is answered, as it may have to go to another server. It is read only once there is room for
//! it; until then it stays with the client. Short bodies have room of their own, so that long ones never hold them up.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// The part of a process's memory that bodies may take, as a divisor: the rest is for the configuration, connections and responses.
const MEMORY_DIVISOR: usize = 2;
/// The part of that which is kept for short bodies, as a divisor.
const SHORT_DIVISOR: usize = 8;
/// Longest body that counts as short, in bytes.
pub(super) const MAX_SHORT_BODY_BYTES: usize = 64 * 1024;
/// Upper bound on the requests that wait for room: what has arrived of each is in the system's buffers meanwhile.
const MAX_WAITING: usize = 256;

/// There was no room in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NoRoom;

/// The room for bodies.
#[derive(Debug)]
pub struct BodyBudget {
    short: Pool,
    long: Pool,
    waiting: Semaphore,
}

/// Room for bodies of one kind, in bytes.
#[derive(Debug)]
struct Pool {
    room: Arc<Semaphore>,
    capacity: usize,
}

impl Pool {
    fn new(capacity: usize) -> Self {
        let capacity = capacity.min(u32::MAX as usize);
        Pool { room: Arc::new(Semaphore::new(capacity)), capacity }
    }

    fn held_bytes(&self) -> usize {
        self.capacity - self.room.available_permits()
    }
}

/// Room that a body takes until this is dropped.
#[derive(Debug, Default)]
pub(super) struct BodyRoom(Option<OwnedSemaphorePermit>);

impl BodyRoom {
    /// Its size, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Gives back what is beyond so many bytes.
    pub(super) fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes().saturating_sub(bytes);
        if let Some(permit) = &mut self.0 {
            drop(permit.split(surplus));
        }
    }
}

impl BodyBudget {
    /// The budget of a process with so much memory, in bytes.
    pub fn new(max_memory_bytes: usize) -> Self {
        let bytes = max_memory_bytes / MEMORY_DIVISOR;
        let short = bytes / SHORT_DIVISOR;
        BodyBudget {
            short: Pool::new(short),
            long: Pool::new(bytes - short),
            waiting: Semaphore::new(MAX_WAITING),
        }
    }

    /// Bytes that bodies take now.
    pub fn held_bytes(&self) -> usize {
        self.short.held_bytes() + self.long.held_bytes()
    }

    /// Number of requests that wait for room.
    pub fn waiting_count(&self) -> usize {
        MAX_WAITING - self.waiting.available_permits()
    }

    /// Makes room for a body of so many bytes, in place of the room that it has. Waits for others to end, in the order in which they
    /// came.
    ///
    /// # Errors
    /// There was no room in time, or there never will be. The room that the body has had is given back.
    pub(super) async fn grow(
        &self,
        mut held: BodyRoom,
        bytes: usize,
        patience: Duration,
    ) -> Result<BodyRoom, NoRoom> {
        let pool = if bytes <= MAX_SHORT_BODY_BYTES { &self.short } else { &self.long };
        let is_same_pool = held.0.as_ref().is_some_and(|permit| Arc::ptr_eq(permit.semaphore(), &pool.room));
        let missing = if is_same_pool { bytes.saturating_sub(held.bytes()) } else { bytes };
        let more = acquire(pool, missing, &self.waiting, patience).await?;
        match &mut held.0 {
            Some(permit) if is_same_pool => permit.merge(more),
            _ => held.0 = Some(more),
        }
        Ok(held)
    }
}

async fn acquire(
    pool: &Pool,
    bytes: usize,
    waiting: &Semaphore,
    patience: Duration,
) -> Result<OwnedSemaphorePermit, NoRoom> {
    let permits = u32::try_from(bytes).map_err(|_| NoRoom)?;
    if bytes > pool.capacity {
        return Err(NoRoom);
    }
    if let Ok(permit) = pool.room.clone().try_acquire_many_owned(permits) {
        return Ok(permit);
    }
    let _waiting = waiting.try_acquire().map_err(|_| NoRoom)?;
    let acquired = timeout(patience, pool.room.clone().acquire_many_owned(permits)).await;
    acquired.ok().and_then(Result::ok).ok_or(NoRoom)
}
