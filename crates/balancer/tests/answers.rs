//! Responses to servers, operators and clients, byte for byte as landing 14 gave them (`data/answers.txt`).
//!
//! The file has two lines for each exchange: `> PORT REQUEST` and `< RESPONSE`, with `\r\n` for a line break and `NET.0` for the second
//! and third byte of the addresses: the third differs with each run.

mod raw_http;
mod system;

use raw_http::exchange;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use system::{System, CONTROL, DIRECTORY, FRONT, GRACE, READY, SOON};

const ANSWERS: &str = include_str!("data/answers.txt");
/// The second byte of this system's addresses.
const NET: u8 = 61;
/// The header that tells how long a body is.
const LENGTH: &str = "Content-Length: ";

/// The port of a name in the file, and the last byte of the machine's address.
fn address(port: &str) -> SocketAddr {
    let (machine, port) = match port {
        "control" => (1, CONTROL),
        "directory" => (1, DIRECTORY),
        "frontend" => (4, FRONT),
        "readiness" => (4, READY),
        other => panic!("{other} is no port"),
    };
    (system::address(NET, machine), port).into()
}

fn unescape(line: &str) -> String {
    line.replace("\\r\\n", "\r\n").replace("NET", &NET.to_string())
}

/// The response as the file has it. An address may have more digits here than there, and the body is longer by those.
fn escape(response: &str) -> String {
    let [first, net, process, _] = system::address(NET, 0).octets();
    let own = format!("{first}.{net}.{process}.");
    let more = response.matches(&own).count() * (own.len() - format!("{first}.{net}.0.").len());
    let response = response.replace("\r\n", "\\r\\n").replace(&own, "127.NET.0.");
    let Some((before, after)) = response.split_once(LENGTH) else { return response };
    let digits = after.find(|c: char| !c.is_ascii_digit()).unwrap_or(after.len());
    let length = after[..digits].parse::<usize>().ok().and_then(|length| length.checked_sub(more));
    match length {
        Some(length) => format!("{before}{LENGTH}{length}{}", &after[digits..]),
        None => response,
    }
}

/// Asks until the response is the expected one. Until the core has formed and the gateway follows it, others may come; what is
/// sent again changes nothing.
fn settled(port: &str, request: &str, expected: &str, patience: Duration) -> String {
    let begun = Instant::now();
    loop {
        let response = exchange(address(port), &unescape(request)).unwrap_or_default();
        let response = escape(&response);
        if response == expected || begun.elapsed() > patience {
            return response;
        }
    }
}

#[test]
fn all_responses_are_those_of_landing_14() {
    let system = System::start(NET, 1, GRACE);
    let lines: Vec<&str> = ANSWERS.lines().collect();
    assert_eq!(lines.len() % 2, 0, "two lines for each exchange");
    for exchange in lines.chunks(2) {
        let (port, request) =
            exchange[0].strip_prefix("> ").and_then(|l| l.split_once(' ')).expect("a request");
        let expected = exchange[1].strip_prefix("< ").expect("a response");
        assert_eq!(settled(port, request, expected, SOON), expected, "{port}: {request}, {}", system.log());
    }
}
