//! How many bytes of clients' bodies a gateway holds at once: a part of the memory that its process may use.
//!
//! A body is held whole until its request is answered, as it may have to go to another server. It is read only once its bytes are
//! reserved; until then it stays with the client. Short bodies have a pool of their own, so that long ones never hold them up.

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
/// Upper bound on the requests that wait for a reservation: what has arrived of each is in the system's buffers meanwhile.
const MAX_WAITING: usize = 256;

/// The bytes were not free in time, or never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BudgetExhausted;

/// The memory for bodies.
#[derive(Debug)]
pub struct BodyBudget {
    short: Pool,
    long: Pool,
    waiting: Semaphore,
}

/// The memory for bodies of one kind: a permit a byte.
#[derive(Debug)]
struct Pool {
    permits: Arc<Semaphore>,
    capacity: usize,
}

impl Pool {
    fn new(capacity: usize) -> Self {
        let capacity = capacity.min(u32::MAX as usize);
        Pool { permits: Arc::new(Semaphore::new(capacity)), capacity }
    }

    fn reserved_bytes(&self) -> usize {
        self.capacity - self.permits.available_permits()
    }
}

/// Bytes that are reserved for a body until this is dropped.
#[derive(Debug, Default)]
pub(super) struct BodyReservation(Option<OwnedSemaphorePermit>);

impl BodyReservation {
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
    pub fn reserved_bytes(&self) -> usize {
        self.short.reserved_bytes() + self.long.reserved_bytes()
    }

    /// Number of requests that wait for a reservation.
    pub fn waiting_count(&self) -> usize {
        MAX_WAITING - self.waiting.available_permits()
    }

    /// Reserves so many bytes for a body, in place of those that it has. Waits for others to end, in the order in which they came.
    ///
    /// # Errors
    /// The bytes were not free in time, or never will be. Those that the body has had are given back.
    pub(super) async fn grow(
        &self,
        mut reservation: BodyReservation,
        bytes: usize,
        max_wait: Duration,
    ) -> Result<BodyReservation, BudgetExhausted> {
        let pool = if bytes <= MAX_SHORT_BODY_BYTES { &self.short } else { &self.long };
        let is_same_pool =
            reservation.0.as_ref().is_some_and(|permit| Arc::ptr_eq(permit.semaphore(), &pool.permits));
        let missing = if is_same_pool { bytes.saturating_sub(reservation.bytes()) } else { bytes };
        let more = acquire(pool, missing, &self.waiting, max_wait).await?;
        match &mut reservation.0 {
            Some(permit) if is_same_pool => permit.merge(more),
            _ => reservation.0 = Some(more),
        }
        Ok(reservation)
    }
}

async fn acquire(
    pool: &Pool,
    bytes: usize,
    waiting: &Semaphore,
    max_wait: Duration,
) -> Result<OwnedSemaphorePermit, BudgetExhausted> {
    let permits = u32::try_from(bytes).map_err(|_| BudgetExhausted)?;
    if bytes > pool.capacity {
        return Err(BudgetExhausted);
    }
    if let Ok(permit) = pool.permits.clone().try_acquire_many_owned(permits) {
        return Ok(permit);
    }
    let _waiting = waiting.try_acquire().map_err(|_| BudgetExhausted)?;
    let acquired = timeout(max_wait, pool.permits.clone().acquire_many_owned(permits)).await;
    acquired.ok().and_then(Result::ok).ok_or(BudgetExhausted)
}
