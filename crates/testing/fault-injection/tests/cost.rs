//! What an idle link adds, and how true a delay is. Prints figures; a figure that a busy machine spoils fails nothing.

use limeway_fault_injection::{Conditions, Delay, Record, Streams};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

async fn rounds(stream: &mut TcpStream, many: usize) -> Vec<Duration> {
    let mut took = Vec::new();
    let mut data = [0; 100];
    for _ in 0..many {
        let began = Instant::now();
        stream.write_all(&data).await.expect("taken");
        stream.read_exact(&mut data).await.expect("whole");
        took.push(began.elapsed());
    }
    took.sort();
    took
}

/// `cargo test --release -p limeway-fault-injection --test cost -- --ignored --nocapture`
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "a measurement"]
async fn an_idle_link_and_a_delay_of_10_ms() {
    let listener = TcpListener::bind((HERE, 0)).await.expect("a port");
    let target = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let mut data = [0; 100];
                while stream.read_exact(&mut data).await.is_ok() {
                    stream.write_all(&data).await.expect("taken");
                }
            });
        }
    });
    let link = Streams::start("link", HERE, target, 1, &Record::default()).expect("a link");
    let at = |took: &[Duration], part: f64| took[(took.len() as f64 * part) as usize].as_secs_f64() * 1e6;
    for (name, address, conditions) in [
        ("straight", target, None),
        ("idle link", link.address, Some(Conditions::default())),
        ("10 ms there", link.address, Some(Conditions::late(Delay::Fixed(Duration::from_millis(10))))),
    ] {
        if let Some(conditions) = conditions {
            link.forward.set(conditions);
        }
        let mut stream = TcpStream::connect(address).await.expect("it comes up");
        stream.set_nodelay(true).expect("set");
        rounds(&mut stream, 200).await;
        let took = rounds(&mut stream, if name.starts_with("10") { 500 } else { 20_000 }).await;
        println!("{name}: p50 {:.0} us, p99 {:.0} us there and back", at(&took, 0.5), at(&took, 0.99));
    }
}
