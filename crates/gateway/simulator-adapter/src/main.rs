//! Hosts pondgw gateways on the bench's line protocol, read from standard input.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut out = io::stdout().lock();
    for (number, line) in (1..).zip(io::stdin().lock().lines()) {
        let handled = line.map_err(|e| e.to_string()).and_then(|text| host.line(&text));
        let sent = handled.and_then(|reply| match reply {
            Some(reply) => {
                out.write_all(reply.as_bytes()).and_then(|()| out.flush()).map_err(|e| e.to_string())
            }
            None => Ok(()),
        });
        if let Err(reason) = sent {
            eprintln!("limeway-simulator-adapter: line {number}: {reason}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
