//! Settings files: what the pages show is read, and what is wrong is named.

use limeway_settings::{time, PortRange, Settings};
use rstest::rstest;

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
