//! Starting processes so that no signal ends one whose program is still being loaded.
//!
//! A program can take no signal before its first instruction: until then the default action of SIGHUP and SIGTERM ends the
//! process. A signal mask is inherited through `exec` and pending signals are kept, so whoever starts `limeway-balancer` or
//! `limeway` blocks both signals while it does. The programs unblock them once they have handlers.

use nix::sys::signal::{SigSet, SigmaskHow, Signal};
use std::io;
use std::marker::PhantomData;

/// Blocks SIGHUP and SIGTERM in the current thread, and so in the processes that it starts, until it is dropped.
#[derive(Debug)]
pub struct SignalBlock {
    earlier_mask: SigSet,
    /// A signal mask belongs to its thread.
    not_send: PhantomData<*const ()>,
}

impl SignalBlock {
    /// Blocks the signals.
    ///
    /// # Errors
    /// The system refuses.
    pub fn new() -> io::Result<Self> {
        let signals: SigSet = [Signal::SIGHUP, Signal::SIGTERM].into_iter().collect();
        let earlier_mask = signals.thread_swap_mask(SigmaskHow::SIG_BLOCK)?;
        Ok(SignalBlock { earlier_mask, not_send: PhantomData })
    }
}

impl Drop for SignalBlock {
    fn drop(&mut self) {
        // The system refuses only what is no valid mask.
        let _ = self.earlier_mask.thread_set_mask();
    }
}
