//! The limiter as a service: its other protocols, its limits, its start and its end.

mod common;

use common::*;
use nix::sys::signal::{SigSet, Signal};
use nix::sys::stat::Mode;
use nix::unistd::mkfifo;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::Duration;

fn ok(_: usize, _: &Message, stream: &mut TcpStream) {
    reply(stream, "200 OK", "hi");
}

#[test]
fn nothing_new_goes_to_a_server_once_discovery_says_that_it_drains() {
    let (one, two, counter) = (server(ok), server(ok), counter());
    let entries = [entry("s-0", one.address, "SERVING"), entry("s-1", two.address, "SERVING")];
    for word in ["DRAINING", "DELETED", "PONDERING"] {
        let (list_server, news) = discovery(list(1, true, &entries));
        let mut setup = Setup::new(&[&one, &two], &counter);
        setup.discovery = Some(list_server.address);
        let limiter = setup.start();
        news.send(list(2, false, &[entry("s-0", one.address, word)])).expect("a watch");
        // The next watch tells that the change has been taken in.
        while !list_server.requests.recv_timeout(LONG).expect("a watch").1.line.contains("from=2&") {}
        one.requests.try_iter().count();
        let mut client = limiter.client();
        for n in 0..6 {
            assert_eq!(client.ask(&request("look", &n.to_string(), "team", 9000)).status(), 200);
        }
        assert_eq!(one.requests.try_iter().count(), 0, "{word}");
    }
}

#[test]
fn a_server_is_known_by_its_host_and_followed_to_a_new_address() {
    let (old, new, counter) = (server(ok), server(ok), counter());
    let (list_server, news) = discovery(list(1, true, &[entry("s-0", old.address, "SERVING")]));
    let mut setup = Setup::new(&[&old], &counter);
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    let mut client = limiter.client();
    assert_eq!(client.ask(&request("look", "1", "team", 9000)).status(), 200);
    assert_eq!(old.requests.try_iter().count(), 1);
    news.send(list(2, false, &[entry("s-0", new.address, "SERVING")])).expect("a watch");
    while !list_server.requests.recv_timeout(LONG).expect("a watch").1.line.contains("from=2&") {}
    assert_eq!(client.ask(&request("look", "2", "team", 9000)).status(), 200);
    assert_eq!((old.requests.try_iter().count(), new.requests.try_iter().count()), (0, 1));
}

#[test]
fn bad_answers_of_discovery_are_tried_again_and_what_was_known_serves_meanwhile() {
    let (one, counter) = (server(ok), counter());
    let whole = list(1, true, &[entry("s-0", one.address, "SERVING")]);
    let bad = ["200 OK\r\nX: {", "503 Busy", "404 None", "nonsense", "200 OK\r\nContent-Length: 99999999"];
    let list_server = server(move |n, m, s| match bad.get(n) {
        Some(head) => {
            reply(s, head, r#"{"seq":"x"}"#);
            hang_up(s);
        }
        None if m.line.contains("from=") => std::thread::park(),
        None => reply(s, "200 OK", &whole),
    });
    let mut setup = Setup::new(&[&one], &counter);
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().ask(&request("look", "1", "team", 9000)).status(), 200);
}

#[test]
fn a_silent_discovery_does_not_keep_a_limiter_that_knows_servers_from_starting() {
    let (one, counter) = (server(ok), counter());
    let silent = server(|_, _, _| std::thread::park());
    let mut setup = Setup::new(&[&one], &counter);
    setup.discovery = Some(silent.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().ask(&request("look", "1", "team", 9000)).status(), 200);
}

#[test]
fn a_call_to_the_counter_names_amount_and_life() {
    let (one, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&one], &counter).start();
    assert_eq!(limiter.client().ask(&request("look", "1", "team", 9000)).status(), 200);
    let (_, call) = counter.requests.recv_timeout(LONG).expect("a call");
    let target = call.line.strip_prefix("POST /v1/count/").expect("a call").strip_suffix(" HTTP/1.1");
    let (name, query) = target.and_then(|t| t.split_once('?')).expect("a query");
    assert!(name.parse::<u64>().is_ok(), "{name}");
    let (add, ttl) = query.split_once('&').expect("two values");
    let add: f64 = add.strip_prefix("add=").and_then(|a| a.parse().ok()).expect("an amount");
    let ttl: u64 = ttl.strip_prefix("ttl_ms=").and_then(|t| t.parse().ok()).expect("a life");
    assert!(add >= 1.0 && (1..=60_000).contains(&ttl), "{add} {ttl}");
}

#[test]
fn whatever_the_counter_says_each_request_gets_its_answer() {
    let heads = ["200 OK", "503 Busy", "404 None", "500 Broken", "nonsense", "200 OK\r\nContent-Length: x"];
    for head in heads {
        let (one, bad) = (server(ok), server(move |_, _, s| reply(s, head, "nan")));
        let limiter = Setup::new(&[&one], &bad).start();
        let mut client = limiter.client();
        for n in 0..3 {
            let status = client.ask(&request("look", &n.to_string(), "team", 9000)).status();
            assert!([200, 429].contains(&status), "{head}: {status}");
        }
        assert!(bad.requests.try_iter().count() >= 1, "{head}: the counter was called");
    }
}

#[test]
fn a_counter_that_is_silent_or_gone_is_given_up() {
    let (one, silent) = (server(ok), server(|_, _, _| std::thread::park()));
    let limiter = Setup::new(&[&one], &silent).start();
    let status = limiter.client().ask(&request("look", "1", "team", 30_000)).status();
    assert!([200, 429].contains(&status), "{status}");
    let mut setup = Setup::new(&[&one], &silent);
    setup.counter = free_port();
    let limiter = setup.start();
    let status = limiter.client().ask(&request("look", "1", "team", 30_000)).status();
    assert!([200, 429].contains(&status), "{status}");
}

#[test]
fn bad_datagrams_are_dropped() {
    let (one, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&one], &counter).start();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for data in [&[][..], &[0], &[255; 16], &[0; 16], &[1; 13], &[2; 256], &[0; 300]] {
        for from in [&limiter.peer, &stranger] {
            from.send_to(data, limiter.peer_listen).expect("sent");
        }
    }
    assert!(limiter.alive());
    assert_eq!(limiter.client().ask(&request("look", "1", "team", 9000)).status(), 200);
}

/// What the module has leased for small quotas goes between limiters: the other's question gets an answer.
#[test]
fn limiters_talk_by_datagrams() {
    let (one, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&one], &counter).start();
    let mut ask = vec![0];
    ask.extend(7_u64.to_le_bytes());
    ask.extend(1_f32.to_le_bytes());
    ask.push(1);
    ask.extend(2_u16.to_le_bytes());
    limiter.peer.send_to(&ask, limiter.peer_listen).expect("sent");
    let mut data = [0; 300];
    let (len, _) = limiter.peer.recv_from(&mut data).expect("an answer");
    assert_eq!((len, data[0], &data[1..9]), (13, 1, &7_u64.to_le_bytes()[..]));
}

#[test]
fn told_to_end_it_serves_what_comes_meanwhile_and_exits_cleanly() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let (one, counter) = (
        server(move |_, m, s| {
            if m.header("req-id") == Some("held") {
                let _ = wait.lock().expect("no panic while it is held").recv();
            }
            reply(s, "200 OK", "hi");
        }),
        counter(),
    );
    let mut limiter = Setup::new(&[&one], &counter).start();
    let (mut held, mut kept) = (limiter.client(), limiter.client());
    assert_eq!(kept.ask(&request("look", "before", "team", 9000)).status(), 200);
    held.write(&request("look", "held", "team", 9000));
    while one.requests.recv_timeout(LONG).expect("an attempt").1.header("req-id") != Some("held") {}
    limiter.terminate();
    // Not ready any more: that it knows of its end shows on a connection opened after it was told.
    let mut new = loop {
        let mut new = limiter.client();
        let answer = new.ask("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        if answer.status() == 503 {
            assert_eq!(answer.header("connection"), Some("close"));
            break limiter.client();
        }
    };
    let answer = new.ask(&request("look", "after", "team", 9000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    go.send(()).expect("the server waits");
    let answer = held.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(limiter.wait().success());
}

#[test]
fn a_bad_configuration_ends_it_with_one_line_that_names_the_key() {
    let (one, counter) = (server(ok), counter());
    let addresses = [free_port(), free_port()];
    let good = Setup::new(&[&one], &counter).json(free_port(), free_port(), &addresses);
    let cases: Vec<(&str, String)> = vec![
        ("ROUTER_CONFIG", "{".into()),
        ("listen", good.replace("\"listen\":", "\"x\":")),
        ("listen", good.replace("\"listen\":\"127.", "\"listen\":\"nowhere.")),
        ("discovery", good.replacen("\"discovery\":", "\"x\":", 1)),
        ("counter", good.replace("\"counter\":", "\"x\":")),
        ("seed", good.replace("8c1f30d27a5be964", "green")),
        ("limits.sockets", good.replace("\"sockets\":1024", "\"sockets\":3")),
        ("peer_listen", good.replace("\"peer_listen\":", "\"x\":")),
        ("settings", good.replace("\"settings\":", "\"x\":")),
        ("settings.profiles", good.replace("\"profiles\":", "\"x\":")),
        ("settings.profiles", good.replace("\"pure\"", "\"holy\"")),
        ("settings.plans", good.replace("\"plans\":", "\"x\":")),
        ("settings.permissions.max-attempts", good.replace("\"max-attempts\":3", "\"max-attempts\":0")),
        ("settings.permissions.keepalive", good.replace("\"keepalive\":", "\"x\":")),
        ("settings.permissions.dial-timeout", good.replace("\"dial-timeout\":", "\"x\":")),
        ("settings.me", good.replace("\"me\":0", "\"me\":2")),
    ];
    for (key, config) in cases {
        assert_ne!(config, good, "{key}");
        let output = end_of(spawn(&config));
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{key}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(key), "{key}: {text}");
    }
    // The operators' file: faulty, a folder, and none there; each with the file's name, and line and key where it has them.
    let (missing, folder) = ("/nowhere/limeway.toml".to_owned(), std::env::temp_dir().display().to_string());
    let faulty = place("version = 1\n[counter]\nin-truoble = \"shares\"\n").display().to_string();
    for (path, said) in [(&faulty, "line 3: counter.in-truoble"), (&missing, ""), (&folder, "")] {
        let child = command().env("ROUTER_CONFIG", place(&good)).env("LIMEWAY_OPERATOR", path).spawn();
        let output = end_of(child.expect("it starts"));
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{path}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(&format!("LIMEWAY_OPERATOR: {path}: {said}")), "{path}: {text}");
    }
    let output = command().output().expect("it ends");
    assert!(!output.status.success());
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("ROUTER_CONFIG is not set")
            || String::from_utf8_lossy(&output.stderr).contains("ROUTER_CONFIG: is not set")
    );
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = taken.local_addr().map(|a| (taken, a)).expect("its address");
    let config = Setup::new(&[&one], &counter).json(taken.1, free_port(), &addresses);
    let output = end_of(spawn(&config));
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).starts_with("limeway: listen: "));
}

/// Guards against connections beyond what the process may hold: they wait or are turned away, and service is
/// back once they are gone.
#[test]
fn more_connections_than_it_may_hold_do_not_stop_it() {
    let (one, counter) = (server(ok), counter());
    let mut setup = Setup::new(&[&one], &counter);
    setup.sockets = 100;
    let limiter = setup.start();
    let mut many: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect();
    // Idle ones make room: a request on a new connection is answered while all the others stay.
    let status = limiter.client().ask(&request("look", "1", "team", 9000)).status();
    assert!([200, 429, 503].contains(&status), "{status}");
    // Half a request holds its connection; it is cut off in time, or goes with its client.
    for stream in &mut many {
        let _ = stream.write_all(b"GET /look");
    }
    drop(many);
    let status = limiter.client().ask(&request("look", "2", "team", 9000)).status();
    assert!([200, 503].contains(&status), "{status}");
    assert!(limiter.alive());
}

#[test]
fn half_a_request_and_then_the_end_does_no_harm() {
    let (one, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&one], &counter).start();
    let whole = request("book", "1", "team", 9000);
    for end in [1, 20, whole.len() / 2, whole.len() - 1] {
        let mut client = limiter.client();
        client.write(&whole[..end]);
        client.stream.shutdown(std::net::Shutdown::Write).expect("an end");
        assert_eq!(client.stream.read(&mut [0; 1]).ok(), Some(0), "{end}");
    }
    assert_eq!(one.requests.recv_timeout(Duration::ZERO).ok().map(|_| ()), None);
    assert!(limiter.alive());
}

/// Guards against SIGHUP's default action, a watch that hangs at the old agent, and calls that go on to the old
/// counter. Requests go on all the while, and none is lost.
#[test]
fn told_to_reload_it_follows_discovery_and_the_counter_to_new_addresses() {
    let (servers, counters) = ([server(ok), server(ok)], [counter(), counter()]);
    let lists: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(n, s)| discovery(list(n as u64 + 1, true, &[entry(&format!("s-{n}"), s.address, "SERVING")])))
        .collect();
    let mut setup = Setup::new(&[&servers[0]], &counters[0]);
    setup.discovery = Some(lists[0].0.address);
    let mut limiter = setup.start();
    let moved = limiter
        .config
        .replace(&lists[0].0.address.to_string(), &lists[1].0.address.to_string())
        .replace(&counters[0].address.to_string(), &counters[1].address.to_string());
    let first = limiter.config.clone();
    let mut client = limiter.client();
    let serve = |client: &mut Client, to: usize| {
        let end = std::time::Instant::now() + LONG;
        for n in 0.. {
            let status = client.ask(&request("look", &format!("{to}-{n}"), "team", 9000)).status();
            assert!([200, 429].contains(&status), "{status}");
            let (here, called) =
                (servers[to].requests.try_iter().count(), counters[to].requests.try_iter().count());
            if here > 0 && called > 0 {
                return;
            }
            assert!(std::time::Instant::now() < end, "server and counter {to} are not used");
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    serve(&mut client, 0);
    for (config, to) in [(&moved, 1), (&first, 0), (&moved, 1)] {
        limiter.reload(config);
        serve(&mut client, to);
        // What had begun elsewhere is over by now, and nothing new goes there.
        servers[1 - to].requests.try_iter().count();
        serve(&mut client, to);
        assert_eq!(servers[1 - to].requests.try_iter().count(), 0);
    }
    limiter.reload("{");
    limiter.reload(&first.replace("\"seed\":", "\"x\":"));
    serve(&mut client, 1);
    limiter.terminate();
    assert!(limiter.wait().success());
}

/// Guards against signals that are never handled, or end the process, where the platform blocks them until the program is loaded.
#[test]
fn signals_that_were_blocked_before_the_start_are_handled() {
    let (one, counter) = (server(ok), counter());
    let setup = Setup::new(&[&one], &counter);
    let signals: SigSet = [Signal::SIGHUP, Signal::SIGTERM].into_iter().collect();
    // The process inherits what its parent's thread blocks.
    let mut limiter = std::thread::scope(|scope| {
        let start = scope.spawn(|| {
            signals.thread_block().expect("blocked");
            setup.start()
        });
        start.join().expect("started")
    });
    limiter.reload(&limiter.config);
    assert_eq!(limiter.client().ask(&request("look", "1", "team", 9000)).status(), 200);
    limiter.terminate();
    assert!(limiter.wait().success());
}

/// Guards against a limiter that ends as its configuration file is being written while it starts.
#[test]
fn a_configuration_file_that_is_being_written_at_the_start_is_waited_for() {
    let (one, counter) = (server(ok), counter());
    let mut limiter = Setup::new(&[&one], &counter).start_by(|config| {
        let path = place("");
        std::fs::remove_file(&path).expect("removed");
        mkfifo(&path, Mode::S_IRWXU).expect("a pipe");
        let child = command().env("ROUTER_CONFIG", &path).spawn().expect("the limiter starts");
        // Opened once the process reads: it finds nothing, and the whole file the next time.
        let empty = File::options().write(true).open(&path).expect("opened");
        std::fs::rename(place(config), &path).expect("the configuration is placed");
        drop(empty);
        (child, path)
    });
    assert_eq!(limiter.client().ask(&request("look", "1", "team", 9000)).status(), 200);
    limiter.terminate();
    assert!(limiter.wait().success());
}

/// Guards against taking a total that cannot be read for a counter that is lost: what was added is known after a
/// call that adds nothing. The connection that brought it is not used again.
#[test]
fn a_total_that_cannot_be_read_is_asked_for_once_more() {
    for spoilt in ["1x7", "--3", "inf", ""] {
        let (one, counter) = (
            server(ok),
            server(move |_, m, s| reply(s, "200 OK", if m.line.contains("add=0&") { "1" } else { spoilt })),
        );
        let limiter = Setup::new(&[&one], &counter).start();
        assert_eq!(limiter.client().ask(&request("look", "1", "team", 9000)).status(), 200);
        let calls: Vec<_> = counter.requests.try_iter().collect();
        // A request at the very end of a window is counted in the next one too: each window has its own two calls.
        let pairs: Vec<_> = calls.chunks(2).collect();
        assert!((1..=2).contains(&pairs.len()), "{spoilt}: {calls:?}");
        for pair in pairs {
            let [(first, added), (second, asked)] = pair else { panic!("{spoilt}: {calls:?}") };
            let name = |m: &Message| m.line.split('?').next().map(str::to_owned);
            assert!(name(added) == name(asked) && asked.line.contains("add=0&"), "{spoilt}: {calls:?}");
            assert_ne!(first, second, "{spoilt}: the connection was used again");
        }
    }
}

/// Guards against clients that connect and say nothing, or never come to an end: each is told so or closed within
/// 3 s (told by a wide margin here, as CI may be slow), and one that asks meanwhile is served.
#[test]
fn a_crowd_that_says_nothing_is_let_go_and_others_are_served() {
    let (one, counter) = (server(ok), counter());
    let mut setup = Setup::new(&[&one], &counter);
    setup.sockets = 128;
    let limiter = setup.start();
    let mut crowd: Vec<TcpStream> =
        (0..300).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect();
    for n in 0..5 {
        let answer = limiter.client().ask(&request("look", &n.to_string(), "team", 9000));
        assert_eq!(answer.status(), 200, "while a crowd stands by");
    }
    for stream in &mut crowd {
        stream.set_read_timeout(Some(Duration::from_secs(9))).expect("a time-out");
        let ended = stream.read(&mut [0; 1]);
        assert!(!matches!(&ended, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock), "still open");
    }
}

#[test]
fn a_head_without_an_end_gets_an_error_in_time() {
    let (one, counter) = (server(ok), counter());
    let limiter = Setup::new(&[&one], &counter).start();
    for part in ["GET /look", "GET /look/1 HTTP/1.1\r\nX: y\r\n"] {
        let mut client = limiter.client();
        client.stream.set_read_timeout(Some(Duration::from_secs(9))).expect("a time-out");
        client.write(part);
        assert_eq!(client.read().map(|a| a.status()), Some(408), "{part}");
    }
}

/// Guards against closing a useful connection to make room: one that has asked and is used goes on.
#[test]
fn a_connection_in_use_outlives_a_crowd() {
    let (one, counter) = (server(ok), counter());
    let mut setup = Setup::new(&[&one], &counter);
    setup.sockets = 128;
    let limiter = setup.start();
    let mut kept = limiter.client();
    assert_eq!(kept.ask(&request("look", "before", "team", 9000)).status(), 200);
    let crowd: Vec<TcpStream> =
        (0..150).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect();
    assert!(limiter.alive(), "the crowd was accepted before this one");
    assert_eq!(kept.ask(&request("look", "after", "team", 9000)).status(), 200);
    drop(crowd);
}

/// Guards against one row that takes the whole list with it, and against a spoilt list that is taken for an empty
/// fleet: the rows that can be read count, and servers that are not named stay.
#[test]
fn a_row_that_makes_no_sense_spoils_no_other() {
    let (one, counter) = (server(ok), counter());
    let bad = ["7".to_owned(), r#"{"host":5}"#.to_owned(), r#"{"host":"s-0","health":"SERVING"}"#.to_owned()];
    let mut rows = bad.to_vec();
    rows.push(entry("s-0", one.address, "SERVING"));
    let (list_server, _news) = discovery(list(1, true, &rows));
    let mut setup = Setup::new(&[], &counter);
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().ask(&request("look", "1", "team", 9000)).status(), 200);

    let (list_server, news) = discovery(list(1, true, &[entry("s-0", one.address, "SERVING")]));
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    news.send(list(2, true, &bad)).expect("a watch");
    // Taken in once the next call comes.
    while !list_server.requests.recv_timeout(LONG).expect("a call").1.line.contains("from=1&") {}
    list_server.requests.recv_timeout(LONG).expect("a call");
    assert_eq!(limiter.client().ask(&request("look", "2", "team", 9000)).status(), 200);
}

/// Guards against tables that grow with every new id: hundreds of servers come and go at one address, and numbers
/// are given again; requests go on and reach only what is listed.
#[test]
fn servers_under_ever_new_ids_are_followed() {
    let (one, stays, counter) = (server(ok), server(ok), counter());
    let first = [entry("s-0", one.address, "SERVING"), entry("stays", stays.address, "SERVING")];
    let (list_server, news) = discovery(list(1, true, &first));
    let mut setup = Setup::new(&[], &counter);
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    for n in 1..200 {
        let rows = [
            entry(&format!("s-{}", n - 1), one.address, "DELETED"),
            entry(&format!("s-{n}"), one.address, "SERVING"),
        ];
        news.send(list(n + 1, false, &rows)).expect("a watch");
    }
    while !list_server.requests.recv_timeout(LONG).expect("a watch").1.line.contains("from=200&") {}
    // The last one is new and so cold: most of what is asked goes to the other.
    let mut client = limiter.client();
    for n in 0..20 {
        assert_eq!(client.ask(&request("look", &n.to_string(), "team", 30_000)).status(), 200);
    }
    assert_eq!(one.requests.try_iter().count() + stays.requests.try_iter().count(), 20);
}
