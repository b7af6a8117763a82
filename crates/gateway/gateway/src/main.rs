//! limeway: a quota limiter on real sockets. Exit code 1 and one line on standard error where it cannot start.
#![forbid(unsafe_code)]

// Linked for its build script.
use limeway_static_libgcc as _;

use limeway_log_queue::{FlushGuard, LogQueue};
use std::fmt::Display;
use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let blocked = limeway_startup_signals::signals();
    // The loader has blocked them before, where it runs functions of `.preinit_array`.
    if let Err(e) = blocked.thread_block() {
        return fail(format!("signals: {e}"));
    }
    let _flush_at_exit = match log_to_stderr() {
        Ok(guard) => guard,
        Err(e) => return fail(format!("log: {e}")),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(format!("runtime: {e}")),
    };
    match LocalSet::new().block_on(&runtime, limeway_gateway::service::serve(blocked)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(e),
    }
}

/// Logs on standard error, until the value that is returned is dropped.
fn log_to_stderr() -> std::io::Result<FlushGuard> {
    let (queue, guard) = LogQueue::start(std::io::stderr())?;
    let env = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(env).target(env_logger::Target::Pipe(Box::new(queue))).init();
    Ok(guard)
}

fn fail(reason: impl Display) -> ExitCode {
    eprintln!("limeway: {reason}");
    ExitCode::FAILURE
}
