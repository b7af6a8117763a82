//! Settings files: what the pages show is read, and what is wrong is named.

use limeway_settings::{time, PortRange, RuleBounds, Settings};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};

const FILE: &str = "node-name=edge-guimaraes-s1-1\nrole=my-edge\nip-address=10.1.0.23\nzone=guimaraes-s1\n\
    region=minho-douro\nzones.guimaraes-s1=minho-douro\nzones.tavira-s1=sul-algarve\n\
    listen-addresses.frontend=10.1.0.23:8389\nlisten-addresses.readiness=10.1.0.23:8384\ninternal-ports=7460,7475\n\
    seed-nodes=10.1.0.25:8383,10.4.0.41:8383\ninitial-start=true\nfault-tolerance.machine-losses=1\n\
    limits.max-file-descriptors=4100\nheartbeat=1500ms\nsome.new.field=whatever\n\
    bounds=contact=4000ms,revocation-strict=true,quota-overshoot=0.1,quota-window=5s,new-bound=x\n";

#[rstest]
fn the_file_of_the_pages_is_read() {
    let s = Settings::read(FILE).expect("read");
    assert_eq!(
        (s.inner_ports, s.seeds.len(), s.tolerated_losses, s.max_file_descriptors),
        (PortRange { first: 7460, last: 7475 }, 2, 1, 4100)
    );
    assert_eq!((s.heartbeat, s.bounds.contact, s.bounds.quota_window), (1_500_000, 4_000_000, 5_000_000));
    assert!(
        s.initial_start && s.bounds.revocation_strict && s.data_directory.is_none() && s.control.is_none()
    );
    assert_eq!(s.zones["tavira-s1"], "sul-algarve");
}

#[rstest]
#[case("ip-address=10.1.0.23", "ip-address=10.1.0.299", "ip-address")]
#[case("internal-ports=7460,7475", "internal-ports=7475,7460", "internal-ports")]
#[case("zone=guimaraes-s1\n", "zone=\n", "zone")]
#[case("8389", "notaport", "listen-addresses.frontend")]
#[case("10.4.0.41:8383", "10.4.0.41", "seed-nodes")]
#[case("initial-start=true", "initial-start=perhaps", "initial-start")]
#[case("contact=4000ms", "contact=4000", "contact")]
#[case("quota-overshoot=0.1", "quota-overshoot=-1", "quota-overshoot")]
#[case("role=my-edge", "a line without it", "a line without it")]
fn what_is_wrong_is_named(#[case] right: &str, #[case] wrong: &str, #[case] field: &str) {
    let error = Settings::read(&FILE.replace(right, wrong)).expect_err("refused").to_string();
    assert!(error.contains(field), "{error}");
}

#[rstest]
#[case("9464/metrics", Some((9464, "metrics")))]
#[case("9464/", Some((9464, "")))]
#[case("9464", None)]
#[case("0/metrics", None)]
#[case("x/metrics", None)]
#[case("9464/a b", None)]
fn the_place_of_the_figures_is_a_port_and_a_path(#[case] text: &str, #[case] expected: Option<(u16, &str)>) {
    let settings = Settings::read(&format!("{FILE}metrics={text}\n"));
    let endpoint = settings.ok().and_then(|settings| settings.metrics);
    assert_eq!(endpoint.as_ref().map(|e| (e.port, e.path.as_str())), expected);
}

#[rstest]
#[case("1500ms", Some(1_500_000))]
#[case("2.5s", Some(2_500_000))]
#[case("0s", Some(0))]
#[case("-1s", None)]
#[case("1m", None)]
#[case("NaNs", None)]
#[case("99999s", None)]
fn times_have_units(#[case] text: &str, #[case] micros: Option<u64>) {
    assert_eq!(time(text), micros);
}

#[rstest]
fn a_file_of_landing_14_means_what_it_meant() {
    let settings = Settings::read(include_str!("data/settings.conf")).expect("read");
    let port = |port| Some(SocketAddr::from((Ipv4Addr::new(10, 1, 0, 25), port)));
    let zones = [("guimaraes-s1", "minho-douro"), ("tavira-s1", "sul-algarve")];
    let expected = Settings {
        name: "core-guimaraes-s1-1".into(),
        ip: Ipv4Addr::new(10, 1, 0, 25),
        zone: "guimaraes-s1".into(),
        region: "minho-douro".into(),
        zones: zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into(),
        frontend: port(8389),
        readiness: port(8384),
        control: port(8383),
        directory: port(8385),
        metrics: None,
        inner_ports: PortRange { first: 7460, last: 7475 },
        seeds: vec![SocketAddr::from(([10, 1, 0, 25], 8383)), SocketAddr::from(([10, 4, 0, 41], 8383))],
        initial_start: true,
        loss_counted: true,
        tolerated_losses: 2,
        max_file_descriptors: 4_100,
        max_memory_bytes: 256_000_000,
        data_directory: Some("/var/lib/limeway".into()),
        heartbeat: 1_500_000,
        bounds: RuleBounds {
            contact: 4_100_000,
            ack_timeout: 6_200_000,
            drain: 2_300_000,
            grace_period: 6_400_000,
            loss_slack: 210_000,
            config_apply: 2_600_000,
            revocation: 5_100_000,
            revocation_strict: false,
            retry_ratio: 0.2,
            retry_window: 11_000_000,
            retry_slack: 50.0,
            quota_window: 5_200_000,
            quota_overshoot: 0.1,
            quota_slack: 20.0,
            slow_start_overshoot: 1.5,
            slow_start_slack: 4.0,
            max_ttl: 2_400_000,
        },
    };
    assert_eq!(settings, expected);
}
