//! The signals of the process. Their default action ends it, so they are blocked before anything else
//! is done, and let through once they have handlers.

use crate::process::StartError;
use error_stack::{Report, ResultExt};
use nix::sys::signal::SigSet;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals of the platform, kept from the process until they have handlers.
pub struct BlockedSignals(SigSet);

impl BlockedSignals {
    /// Blocks these signals: what comes from now on waits in the kernel. Threads that are started meanwhile inherit it. The loader has
    /// blocked them before, where it runs functions of `.preinit_array`.
    ///
    /// # Errors
    /// The system refuses.
    pub fn block(signals: SigSet) -> Result<Self, Report<StartError>> {
        signals.thread_block().change_context(StartError::Signals)?;
        Ok(BlockedSignals(signals))
    }

    /// Lets the signals through, also if they were blocked before the program began.
    ///
    /// # Errors
    /// The system refuses.
    pub fn unblock(self) -> Result<(), Report<StartError>> {
        self.0.thread_unblock().change_context(StartError::Signals)
    }
}

/// The signals that the platform sends.
pub struct ProcessSignals {
    /// SIGTERM: the process shuts down.
    pub terminate: Signal,
    /// SIGHUP: the settings file is read again.
    pub reload: Signal,
}

impl ProcessSignals {
    /// Handles the signals from now on, those that have waited among them. What comes is kept until it is asked for. Needs the
    /// context of a runtime.
    ///
    /// # Errors
    /// The system refuses.
    pub fn register(blocked: BlockedSignals) -> Result<Self, Report<StartError>> {
        let register = |kind| signal(kind).change_context(StartError::Signals);
        let signals = ProcessSignals {
            terminate: register(SignalKind::terminate())?,
            reload: register(SignalKind::hangup())?,
        };
        blocked.unblock()?;
        Ok(signals)
    }
}
