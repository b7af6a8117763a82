//! The adapter as a process: round trips, and plain messages for malformed lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"balancers":2,"discovery":"push","failure-domains":["a"],"unknown-key":{"x":1},
"family-info":{"count-limit":30000,"max-units":1,"may-count":true},
"permissions":{"cancel":true,"max-attempts":3,"max-retry-after":500000,"may-duplicate":true,"retry-after":true},
"plans":[{"name":"basic","per-second":2.0,"store-size":4.0}],
"profiles":[{"deadline":2000000,"effect":"pure","goal-time":500000,"key-scope":"all","name":"read","worth":1.0}],
"round":4000,"rules":{"cold":9000000,"cold-from":0.3,"fall":1000000,"fall-multiple":3.0},"zone":"a"}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_limeway-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // An adapter that has already refused an earlier line closes its end.
    let _ = child.stdin.take().expect("its input").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn start() -> String {
    let setup = SETUP.replace('\n', "");
    format!(
        "BEGIN_BATCH 1000\nBEGIN limiter-0 7 {setup}\nLEDGER 0 1\nSERVER 10.0.0.1:80 a std 0 1 1 -\n\
         FLEET limiter-0 2 1 0\nOVER_TO_YOU\n"
    )
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run("BEGIN_BATCH 5\nOVER_TO_YOU\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"END\n");
}

#[test]
fn a_request_leases_and_is_sent() {
    let demand = "BEGIN_BATCH 5000\nDEMAND limiter-0 42 read basic u:x 2000000 1 2 0 0 0\nOVER_TO_YOU\n";
    let first = run(&(start() + demand));
    let text = String::from_utf8(first.stdout).expect("text");
    let bump = text.lines().find(|l| l.starts_with("BUMP limiter-0 ")).expect("a lease");
    let name = bump.split(' ').nth(2).expect("a name");
    let sum = format!("BEGIN_BATCH 9000\nSUM limiter-0 {name} OK 1 2000\nOVER_TO_YOU\n");
    let second = run(&(start() + demand + &sum));
    let text = String::from_utf8(second.stdout).expect("text");
    assert!(text.contains("SUBMIT_TO limiter-0 42 10.0.0.1:80 0\n"), "{text}");
    assert_eq!(text.matches("END\n").count(), 3);
}

#[test]
fn malformed_lines_are_named_with_their_number_and_reason() {
    let batch = |line: &str| start() + "BEGIN_BATCH 5000\n" + line + "\nOVER_TO_YOU\n";
    for (line, reason) in [
        ("NONSENSE limiter-0", "unknown message: NONSENSE"),
        ("DEMAND limiter-0 x read basic u:x 1 1 2 0 0 0", "call is not valid: x"),
        ("DEMAND limiter-0 1 none basic u:x 1 1 2 0 0 0", "unknown class: none"),
        ("DEMAND limiter-0 1 read", "contract is missing"),
        ("SUM limiter-0 1 MAYBE 1 1", "unknown outcome: MAYBE"),
        ("FLEET limiter-0 0 1 9", "no list 9"),
        ("BEGIN limiter-0 7 {", "setup is not valid"),
        ("PEER limiter-0 1 ???", "payload is not base64"),
    ] {
        let output = run(&batch(line));
        let message = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{line}");
        assert!(message.contains("line 8: ") && message.contains(reason), "{line}: {message}");
        assert!(!message.contains("panicked"), "{message}");
    }
}

#[test]
fn events_for_unknown_instances_and_servers_are_passed_over() {
    let lines = "BEGIN_BATCH 5000\nBELL limiter-9 1\nDONE limiter-0 1 0 10.9.9.9:80 OK 5 1 0 0 -\n\
                 DETACH limiter-0\nBELL limiter-0 1\nOVER_TO_YOU\n";
    let output = run(&(start() + lines));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn a_question_goes_out_as_a_message_and_its_grant_sends_the_request() {
    use base64::prelude::*;
    let setup = |me: u32| {
        let setup =
            SETUP.replace('\n', "").replace("\"balancers\":2", &format!("\"balancers\":9,\"me\":{me}"));
        setup.replace("\"cancel\":true", "\"cancel\":true,\"may-tell\":true")
    };
    let mut input = String::from("BEGIN_BATCH 1000\nLEDGER 0 1\nSERVER 10.0.0.1:80 a std 0 1 1 -\n");
    for me in 0..9 {
        input += &format!("BEGIN limiter-{me} 7 {}\nFLEET limiter-{me} 2 1 0\n", setup(me));
    }
    // One of nine is the home of this customer; at the first or the second of these doors it is asked for.
    input += "OVER_TO_YOU\nBEGIN_BATCH 5000\n";
    for me in 0..2 {
        input += &format!("DEMAND limiter-{me} {} read basic u:1 1000000 1 9 0 0 0\n", me + 20);
    }
    let asked = run(&format!("{input}OVER_TO_YOU\n"));
    let text = String::from_utf8(asked.stdout).expect("text");
    let question = text.lines().find(|l| l.starts_with("SIGNAL ")).expect("a question");
    let words: Vec<&str> = question.split(' ').collect();
    let mut grant = BASE64_STANDARD.decode(words[3]).expect("base64");
    assert_eq!(grant.len(), 16);
    // A grant carries the same customer and units, without what follows.
    grant[0] = 1;
    grant.truncate(13);
    let grant = BASE64_STANDARD.encode(grant);
    input += &format!("OVER_TO_YOU\nBEGIN_BATCH 9000\nPEER {} {} {grant}\nOVER_TO_YOU\n", words[1], words[2]);
    let text = String::from_utf8(run(&input).stdout).expect("text");
    assert!(text.contains(&format!("SUBMIT_TO {} ", words[1])), "{text}");
}
