//! The one program of the whole system. What a process does follows from its settings: one with a frontend is a limiter
//! that clients reach, one without is a core machine.
#![forbid(unsafe_code)]

// Linked for its build script.
use limeway_static_libgcc as _;

use limeway_balancer::{
    clock, process,
    settings_file::{self, SettingsFile},
    signals::{BlockedSignals, ProcessSignals},
};
use limeway_log_queue::{FlushGuard, LogQueue};
use limeway_settings::{MetricsEndpoint, Settings};
use log::kv::{Key, Value, VisitSource};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;

/// The command line.
mod flags {
    #![allow(missing_docs, reason = "what the macro writes has none")]
    use std::path::PathBuf;
    xflags::xflags! {
    /// limeway, the whole system.
    cmd limeway-balancer {
        /// Runs a process of the system.
        cmd serve {
            /// Settings file; else the variable LIMEWAY_BOOT names it.
            optional --settings path: PathBuf
            /// What is logged: error, warn (the default), info, debug; the variable RUST_LOG goes before it.
            optional --log level: String
            /// Where figures are served, as PORT/PATH at the machine's address; goes before the settings file.
            optional --metrics place: String
        }
        /// Checks a settings file and says what a process would do with it.
        cmd check {
            /// The settings file.
            required path: PathBuf
        }
    }
    }
}
use flags::{LimewayBalancer, LimewayBalancerCmd, Serve};

/// Writes the fields of a log line.
struct Fields<'a>(&'a mut Vec<u8>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = miniserde::json::to_string(&value.to_string());
        write!(self.0, ",\"{}\":{text}", key.as_str())?;
        Ok(())
    }
}

/// Logs as JSON lines on standard error, until the value that is returned is dropped.
fn log_to_stderr(level: &str) -> std::io::Result<FlushGuard> {
    let (queue, guard) = LogQueue::start(std::io::stderr())?;
    let env = env_logger::Env::default().default_filter_or(level);
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            let mut line = Vec::new();
            let text = miniserde::json::to_string(&record.args().to_string());
            write!(line, "{{\"at\":{},\"level\":\"{}\",", clock::now(), record.level())?;
            write!(line, "\"of\":\"{}\",\"says\":{text}", record.target())?;
            record.key_values().visit(&mut Fields(&mut line)).map_err(std::io::Error::other)?;
            line.extend_from_slice(b"}\n");
            out.write_all(&line)
        })
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .init();
    Ok(guard)
}

fn main() -> ExitCode {
    let blocked = match BlockedSignals::block(limeway_startup_signals::signals()) {
        Ok(blocked) => blocked,
        Err(e) => return fail(&e),
    };
    match LimewayBalancer::from_env_or_exit().subcommand {
        LimewayBalancerCmd::Check(flags) => check(&flags.path, blocked),
        LimewayBalancerCmd::Serve(flags) => serve(flags, blocked),
    }
}

/// Checks a settings file. Signals keep their default actions meanwhile.
fn check(path: &Path, blocked: BlockedSignals) -> ExitCode {
    if let Err(e) = blocked.unblock() {
        return fail(&e);
    }
    match settings_file::read(path) {
        Ok(settings) => describe(&settings),
        Err(e) => fail(&e),
    }
}

/// Says what a process would do with these settings.
fn describe(settings: &Settings) -> ExitCode {
    let role = if settings.frontend.is_some() { "a limiter for clients" } else { "a core machine" };
    let (name, zone, region) = (&settings.name, &settings.zone, &settings.region);
    println!("{name}: {role} in {zone} ({region}), {} seeds", settings.seeds.len());
    ExitCode::SUCCESS
}

/// Runs a process of the system.
fn serve(flags: Serve, blocked: BlockedSignals) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e),
    };
    let registered = {
        let _context = runtime.enter();
        ProcessSignals::register(blocked)
    };
    let signals = match registered {
        Ok(signals) => signals,
        Err(e) => return fail(&e),
    };
    let _flush_at_exit = match log_to_stderr(flags.log.as_deref().unwrap_or("warn")) {
        Ok(guard) => guard,
        Err(e) => return fail(&e),
    };
    let named = || std::env::var_os(limeway_settings::VARIABLE).map(PathBuf::from);
    let Some(path) = flags.settings.or_else(named) else {
        eprintln!("limeway-balancer: no settings: name a file, or set {}", limeway_settings::VARIABLE);
        return ExitCode::FAILURE;
    };
    let (file, mut settings) = match SettingsFile::open(path) {
        Ok(opened) => opened,
        Err(e) => return fail(&e),
    };
    if let Some(place) = flags.metrics {
        settings.metrics = MetricsEndpoint::parse(&place);
        if settings.metrics.is_none() {
            eprintln!("limeway-balancer: --metrics: {place} is no PORT/PATH");
            return ExitCode::FAILURE;
        }
    }
    match LocalSet::new().block_on(&runtime, process::run(settings, file, signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

fn fail<E: std::fmt::Debug>(e: &E) -> ExitCode {
    eprintln!("limeway-balancer: {e:?}");
    ExitCode::FAILURE
}
