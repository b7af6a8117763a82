//! The text of a settings file: the program reads what was meant.

use limeway_settings::{PortRange, Settings};
use limeway_settings_file::{milliseconds, Role, SettingsFile, Zone};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const IP: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 4);

fn at(port: u16) -> SocketAddr {
    (IP, port).into()
}

fn core() -> Role {
    Role::Core { control_plane: at(383), directory_api: Some(at(385)), data_directory: "/state".into() }
}

fn gateway() -> Role {
    Role::Gateway { frontend: at(389), readiness: Some(at(384)), directory_api: None }
}

fn file(role: Role) -> SettingsFile {
    SettingsFile {
        node_name: "m3".into(),
        ip_address: IP,
        zone: Zone::new("z2", "south"),
        zones: vec![Zone::new("z1", "north"), Zone::new("z2", "south")],
        role,
        internal_port: 460,
        metrics_port: Some(464),
        seed_nodes: vec![at(383), at(1_383)],
        initial_start: true,
        machine_losses: 1,
        heartbeat: Duration::from_millis(1_500),
        max_file_descriptors: Some(100),
        memory_mb: Some(160),
        bounds: vec![("contact", milliseconds(Duration::from_secs(4))), ("quota-overshoot", "0.1".into())],
    }
}

#[rstest]
#[case::core(core())]
#[case::gateway(gateway())]
fn what_every_machine_has_is_read(#[case] role: Role) {
    let settings = Settings::read(&file(role).to_string()).expect("read");
    assert_eq!((settings.name.as_str(), settings.ip), ("m3", IP));
    assert_eq!((settings.zone.as_str(), settings.region.as_str()), ("z2", "south"));
    assert_eq!(settings.zones["z1"], "north");
    assert_eq!(settings.inner_ports, PortRange { first: 460, last: 460 });
    assert_eq!(
        settings.metrics.map(|endpoint| (endpoint.port, endpoint.path)),
        Some((464, "metrics".into()))
    );
    assert_eq!(settings.seeds, [at(383), at(1_383)]);
    assert_eq!((settings.initial_start, settings.tolerated_losses), (true, 1));
    assert_eq!((settings.heartbeat, settings.max_file_descriptors), (1_500_000, 100));
    assert_eq!(settings.max_memory_bytes, 160_000_000);
    assert_eq!(settings.bounds.contact, 4_000_000);
}

#[rstest]
fn a_core_machine_listens_for_calls_and_keeps_its_state() {
    let settings = Settings::read(&file(core()).to_string()).expect("read");
    assert_eq!((settings.control, settings.directory), (Some(at(383)), Some(at(385))));
    assert_eq!((settings.data_directory, settings.loss_counted), (Some("/state".into()), true));
    assert_eq!((settings.frontend, settings.readiness), (None, None));
}

#[rstest]
fn a_gateway_listens_for_clients_and_keeps_nothing() {
    let settings = Settings::read(&file(gateway()).to_string()).expect("read");
    assert_eq!((settings.frontend, settings.readiness), (Some(at(389)), Some(at(384))));
    assert_eq!((settings.control, settings.directory, settings.data_directory), (None, None, None));
}
