//! What tests do with a running system: calls to its machines, kills, and configurations to send.

use crate::system::{System, CONTROL, SOON};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

impl System {
    pub(crate) fn control(&self, at: usize, call: &str, body: &str) -> Option<(u16, String)> {
        ask((self.machines[at].ip, CONTROL).into(), "POST", &format!("/-/rpc?call={call}"), &[], body)
    }

    /// As an operator does: to any core machine, until there is a clear answer.
    pub(crate) fn order(&self, call: &str, body: &str) -> (u16, String) {
        let (begun, mut at) = (Instant::now(), 0);
        loop {
            if let Some((status, text)) = self.control(at % 3, call, body).filter(|(s, _)| *s < 500) {
                return (status, text);
            }
            at += 1;
            assert!(begun.elapsed() < SOON, "no clear answer to {call}: {}", self.log());
        }
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// One request on a connection of its own.
pub(crate) fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500))).ok()?;
    let mut text =
        format!("{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(n, v)| text.push_str(&format!("{n}: {v}\r\n")));
    stream.write_all(format!("{text}\r\n{body}").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.get(9..12)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n")?.1.to_owned()))
}

/// A configuration with one route, service and tenant.
pub(crate) fn config(version: u32, base: u32, prefix: &str, keys: &str) -> String {
    format!(
        r#"{{"config-version":"{version:08x}","base-version":"{base:08x}","resource-list":[{{"resource-kind":"routes","metadata":{{"name":"r"}},"specification":{{"hostname":"a.example","path-prefix":"{prefix}","route-type":"idempotent","timeout":"2s","target-service":"s","max-attempts":3}}}},{{"resource-kind":"services","metadata":{{"name":"s"}},"specification":{{"health-path":"/health"}}}},{{"resource-kind":"tenants","metadata":{{"name":"t"}},"specification":{{"api-keys":[{keys}],"rate-per-s":200,"burst-size":200}}}}]}}"#
    )
}
