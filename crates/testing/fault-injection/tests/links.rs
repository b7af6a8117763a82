//! Links without a fault change nothing; with one, only what it names differs.

use limeway_fault_injection::{Conditions, Delay, Door, Mesh, Record, Streams, What};
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Generous: what is waited for is an event.
const LONG: Duration = Duration::from_secs(20);
/// In which nothing may come.
const SHORT: Duration = Duration::from_millis(60);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime")
}

/// A link to a listener of the test, and its record.
async fn link() -> (Streams, TcpListener, Record) {
    let listener = TcpListener::bind((HERE, 0)).await.expect("a port");
    let record = Record::default();
    let target = listener.local_addr().expect("an address");
    let link = Streams::start("link", HERE, target, 1, &record).expect("a link");
    (link, listener, record)
}

/// A connection through a link: the side that connects, and the other.
async fn pair(link: &Streams, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let near = TcpStream::connect(link.address).await.expect("it comes up");
    let (far, _) = timeout(LONG, listener.accept()).await.expect("in time").expect("the link comes on");
    (near, far)
}

async fn read(stream: &mut TcpStream, len: usize) -> Vec<u8> {
    let mut data = vec![0; len];
    timeout(LONG, stream.read_exact(&mut data)).await.expect("in time").expect("whole");
    data
}

async fn silent(stream: &mut TcpStream) -> bool {
    timeout(SHORT, stream.read(&mut [0; 1])).await.is_err()
}

async fn reset(stream: &mut TcpStream) -> bool {
    let end = timeout(LONG, stream.read(&mut [0; 1])).await.expect("in time");
    end.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
}

fn quiet_conditions() -> impl Strategy<Value = Conditions> {
    let delay = prop_oneof![
        Just(Delay::None),
        (0u64..3).prop_map(|n| Delay::Fixed(ms(n))),
        (0u64..2, 2u64..5).prop_map(|(a, b)| Delay::Between(ms(a), ms(b))),
        (0.0..0.5f64).prop_map(|share| Delay::Tail(ms(0), ms(4), share)),
    ];
    let slice = proptest::option::of(1usize..700);
    (delay, slice, proptest::option::of(2e6..1e8f64)).prop_map(|(delay, slice, bytes_per_second)| {
        Conditions { delay, slice, bytes_per_second, ..Conditions::default() }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Any split of any stream, also one that is held now and then, comes out unchanged in both directions, and then ends.
    #[test]
    fn a_stream_comes_out_unchanged_whatever_delays_it(
        pieces in proptest::collection::vec((1usize..4_000, any::<u8>(), any::<bool>()), 1..12),
        there in quiet_conditions(),
        back in quiet_conditions(),
    ) {
        let sent: Vec<u8> = pieces.iter().flat_map(|(len, with, _)| (0..*len).map(move |n| with.wrapping_add(n as u8))).collect();
        let sound = runtime().block_on(async {
            let (link, listener, _) = link().await;
            link.forward.set(there);
            link.back.set(back);
            let (mut near, mut far) = pair(&link, &listener).await;
            let echo = tokio::spawn(async move {
                let mut all = Vec::new();
                far.read_to_end(&mut all).await.expect("an end in order");
                far.write_all(&all).await.expect("taken");
                all
            });
            let mut at = 0;
            for (len, _, held) in &pieces {
                if *held {
                    link.forward.set(Conditions::held());
                }
                near.write_all(&sent[at..at + len]).await.expect("taken");
                at += len;
                link.forward.set(there);
            }
            near.shutdown().await.expect("half an end");
            let mut heard = Vec::new();
            timeout(LONG, near.read_to_end(&mut heard)).await.expect("in time").expect("an end in order");
            echo.await.expect("no panic") == sent && heard == sent
        });
        prop_assert!(sound);
    }

    /// Of datagrams that are neither lost nor doubled each comes once, whatever order they come in; lost ones do not come.
    #[test]
    fn datagrams_come_once_and_only_what_is_named_differs(
        loss in prop_oneof![Just(0.0), 0.1..0.6f64], double in prop_oneof![Just(0.0), 0.1..0.6f64], seed in any::<u64>(),
    ) {
        let way = limeway_fault_injection::Way::new("way", seed, &Record::default());
        way.set(Conditions { loss, double, delay: Delay::Between(ms(0), ms(9)), ..Conditions::default() });
        let now = Instant::now();
        let copies: Vec<usize> = (0..2_000).map(|_| way.datagram(now, 80).iter().flatten().count()).collect();
        let share = |n: usize| copies.iter().filter(|c| **c == n).count() as f64 / copies.len() as f64;
        prop_assert!((share(0) - loss).abs() < 0.06, "lost {}", share(0));
        prop_assert!((share(2) - (1.0 - loss) * double).abs() < 0.06, "twice {}", share(2));
    }
}

#[tokio::test]
async fn held_bytes_follow_later_and_the_other_direction_is_as_ever() {
    let (link, listener, record) = link().await;
    let (mut near, mut far) = pair(&link, &listener).await;
    link.forward.set(Conditions::held());
    near.write_all(b"late").await.expect("taken");
    assert!(record.fired("link", What::Held, 1, LONG).await, "it fired");
    assert!(silent(&mut far).await, "held");
    far.write_all(b"back").await.expect("taken");
    assert_eq!(read(&mut near, 4).await, b"back");
    link.forward.set(Conditions::default());
    assert_eq!(read(&mut far, 4).await, b"late");
    assert_eq!(record.count("link back", What::Held), 0);
}

#[tokio::test]
async fn a_silent_hole_takes_bytes_and_a_stream_with_a_gap_is_reset_and_never_goes_on() {
    let (link, listener, record) = link().await;
    let (mut near, mut far) = pair(&link, &listener).await;
    let (mut idle, mut idle_far) = pair(&link, &listener).await;
    link.forward.set(Conditions::swallowed());
    near.write_all(b"lost").await.expect("taken");
    assert!(record.fired("link", What::Swallowed, 1, LONG).await, "it fired");
    assert!(silent(&mut far).await && silent(&mut near).await);
    link.forward.set(Conditions::default());
    assert!(reset(&mut near).await && reset(&mut far).await);
    // One that lost nothing goes on.
    idle.write_all(b"kept").await.expect("taken");
    assert_eq!(read(&mut idle_far, 4).await, b"kept");
}

#[tokio::test]
async fn connections_are_reset_closed_and_half_closed_by_order_and_new_ones_come_up() {
    for how in ["reset", "close", "half"] {
        let (link, listener, _) = link().await;
        let (mut near, mut far) = pair(&link, &listener).await;
        near.write_all(b"x").await.expect("taken");
        read(&mut far, 1).await;
        match how {
            "reset" => {
                link.reset();
                assert!(reset(&mut near).await && reset(&mut far).await);
            }
            "close" => {
                link.close();
                for side in [&mut near, &mut far] {
                    let end = timeout(LONG, side.read(&mut [0; 1])).await.expect("in time");
                    assert_eq!(end.expect("an end in order"), 0);
                }
            }
            _ => {
                link.half_close(true);
                assert_eq!(
                    timeout(LONG, far.read(&mut [0; 1])).await.expect("in time").expect("in order"),
                    0
                );
                far.write_all(b"still").await.expect("taken");
                assert_eq!(read(&mut near, 5).await, b"still");
            }
        }
        let (mut near, mut far) = pair(&link, &listener).await;
        near.write_all(b"new").await.expect("taken");
        assert_eq!(read(&mut far, 3).await, b"new", "after {how}");
    }
}

#[tokio::test]
async fn connections_are_refused_or_do_not_come_up_and_those_that_are_there_stay() {
    let (link, listener, record) = link().await;
    let (mut near, mut far) = pair(&link, &listener).await;
    link.door(Door::Refusing);
    let refused = async {
        while TcpStream::connect(link.address).await.is_ok() {
            tokio::time::sleep(ms(1)).await;
        }
    };
    timeout(LONG, refused).await.expect("refused in the end");
    link.door(Door::Hanging);
    let hangs = async {
        // Refused until it listens again; then the line is filled, and a connection neither comes up nor fails.
        while timeout(ms(300), TcpStream::connect(link.address)).await.is_ok() {
            tokio::time::sleep(ms(20)).await;
        }
    };
    timeout(LONG, hangs).await.expect("it hangs in the end");
    assert_eq!((record.count("link", What::Refusing), record.count("link", What::Hanging)), (1, 1));
    near.write_all(b"here").await.expect("taken");
    assert_eq!(read(&mut far, 4).await, b"here");
    link.door(Door::Open);
    let (mut near, mut far) = async {
        loop {
            // What had come up in the line that hung ends as its listener goes.
            match timeout(ms(500), TcpStream::connect(link.address)).await {
                Ok(Ok(near)) => match timeout(ms(500), listener.accept()).await {
                    Ok(Ok((far, _))) => return (near, far),
                    _ => continue,
                },
                _ => tokio::time::sleep(ms(5)).await,
            }
        }
    }
    .await;
    near.write_all(b"open").await.expect("taken");
    assert_eq!(read(&mut far, 4).await, b"open");
}

#[tokio::test]
async fn members_see_each_other_under_one_address_and_a_cut_of_one_direction_leaves_the_other() {
    let mut members = Vec::new();
    for _ in 0..3 {
        members.push(UdpSocket::bind((HERE, 0)).await.expect("a port"));
    }
    let own: Vec<SocketAddr> = members.iter().map(|m| m.local_addr().expect("an address")).collect();
    let record = Record::default();
    let mesh = Mesh::start(&own, HERE, 7, &record, ()).await.expect("a network");
    let mut data = [0; 64];
    for (a, b) in [(0, 1), (1, 0), (2, 0), (1, 2)] {
        members[a].send_to(&[a as u8], mesh.seen[a][b]).await.expect("sent");
        let (len, from) =
            timeout(LONG, members[b].recv_from(&mut data)).await.expect("in time").expect("read");
        assert_eq!((&data[..len], from), (&[a as u8][..], mesh.seen[b][a]), "{a} to {b}");
    }
    mesh.way(0, 1).expect("a way").set(Conditions::swallowed());
    members[0].send_to(b"lost", mesh.seen[0][1]).await.expect("sent");
    assert!(record.fired("peer 0 -> 1", What::Swallowed, 1, LONG).await, "it fired");
    members[1].send_to(b"heard", mesh.seen[1][0]).await.expect("sent");
    let (len, _) = timeout(LONG, members[0].recv_from(&mut data)).await.expect("in time").expect("read");
    assert_eq!(&data[..len], b"heard");
    assert!(timeout(SHORT, members[1].recv_from(&mut data)).await.is_err());
    // Nobody else can send through it.
    let stranger = UdpSocket::bind((HERE, 0)).await.expect("a port");
    stranger.send_to(b"strange", mesh.seen[0][2]).await.expect("sent");
    assert!(timeout(SHORT, members[2].recv_from(&mut data)).await.is_err());
}

#[tokio::test]
async fn a_rate_and_a_delay_hold_back_as_much_as_they_say() {
    let (link, listener, record) = link().await;
    let (mut near, mut far) = pair(&link, &listener).await;
    link.forward
        .set(Conditions { bytes_per_second: Some(400_000.0), ..Conditions::late(Delay::Fixed(ms(30))) });
    let began = Instant::now();
    near.write_all(&[7; 40_000]).await.expect("taken");
    assert_eq!(read(&mut far, 40_000).await, [7; 40_000]);
    assert!(began.elapsed() >= ms(129), "{:?}", began.elapsed());
    assert!(record.count("link", What::Delayed) > 0);
}
