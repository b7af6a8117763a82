//! Blocks the signals of the platform before any start-up code of the program runs.
//!
//! Until a signal has a handler its default action ends the process. The dynamic loader calls the functions of `.preinit_array`
//! right after relocation, before the initializers of libraries and before Rust's runtime. A signal that comes from then on stays
//! pending until the program has handlers and unblocks it. Every executable that links this package starts like that, so only
//! the programs name it, and no library. Whatever comes before is decided by the signal mask that the parent
//! process left: a mask is inherited through `exec`.

use nix::sys::signal::{SigSet, Signal};

/// The signals that are blocked when `main` begins, in the thread that runs it and in those that it starts.
pub fn signals() -> SigSet {
    [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGINT].into_iter().collect()
}

extern "C" fn block_signals() {
    // Nobody can be told of an error yet: `main` blocks them once more, and says so.
    let _ = signals().thread_block();
}

#[allow(unsafe_code, reason = "only a link section of its own lets code run before Rust's runtime")]
#[used]
#[link_section = ".preinit_array"]
static PREINIT: extern "C" fn() = block_signals;
