//! Orders of operators: every kind of invalid one names what is wrong and changes nothing; valid ones are read back as sent.

use limeway_routing_config::config_update::ConfigUpdate;
use limeway_routing_config::{Operation, Rejection, State};
use miniserde::json::{self, Value};
use rstest::rstest;

const ROUTE: &str = r#"{"resource-kind":"routes","metadata":{"name":"r1"},"specification":{"hostname":"a.example","path-prefix":"/x/","route-type":"idempotent","timeout":"1200ms","target-latency":"500ms","priority":2,"target-service":"s1","max-attempts":2,"public":false,"allowed-regions":[]}}"#;
const SPLIT: &str = r#"{"resource-kind":"routes","metadata":{"name":"r2"},"specification":{"hostname":"a.example","path-prefix":"/x/long/","route-type":"non_idempotent","timeout":"1.5s","traffic-split":[{"target-service":"s1","weight":90},{"target-service":"s2","weight":10}],"unknown-field":[1,{"a":null}]}}"#;
const SERVICES: &str = r#"{"resource-kind":"services","metadata":{"name":"s1"},"specification":{"health-path":"/health","max-connections":110,"cold-start":"3s","cold-per-s":6.9}},{"resource-kind":"services","metadata":{"name":"s2"},"specification":{}}"#;
const TENANT: &str = r#"{"resource-kind":"tenants","metadata":{"name":"t1"},"specification":{"api-keys":["k1","k2"],"rate-per-s":5,"burst-size":5}}"#;

fn body(version: &str, base: &str, items: &str) -> String {
    format!(r#"{{"config-version":"{version}","base-version":"{base}","resource-list":[{items}]}}"#)
}

fn state() -> State {
    let mut state = State::default();
    let text = body("00000002", "00000000", &[ROUTE, SPLIT, SERVICES, TENANT].join(","));
    take(&mut state, &text, true);
    state
}

fn take(state: &mut State, text: &str, whole: bool) {
    let order = ConfigUpdate::parse(text.as_bytes(), whole).expect("form");
    state.check(&order).expect("valid");
    state.apply(&Operation::from(order));
}

#[rstest]
fn what_is_read_back_is_what_was_sent() {
    let (state, sent) = (state(), body("00000002", "00000000", &[ROUTE, SPLIT, SERVICES, TENANT].join(",")));
    let parsed = |t: &str| json::to_string(&json::from_str::<Value>(t).expect("JSON"));
    assert_eq!(parsed(&state.document()), parsed(&sent));
}

#[rstest]
#[case::unknown_service(&ROUTE.replace("s1", "nobody"), "is no known service")]
#[case::no_host(&ROUTE.replace("a.example", ""), "is empty")]
#[case::same_place(&[ROUTE, &ROUTE.replace("\"r1\"", "\"r9\"")].join(","), "another route has this host and prefix")]
#[case::odd_kind(&ROUTE.replace("idempotent", "sometimes"), "is not known")]
#[case::no_timeout(&ROUTE.replace("1200ms", "0ms"), "is 0")]
#[case::timeout_without_unit(&ROUTE.replace("1200ms", "1200"), "is no time with a unit")]
#[case::bare_prefix(&ROUTE.replace("/x/", "x/"), "does not begin with a slash")]
#[case::shared_key(&[TENANT, &TENANT.replace("t1", "t2").replace("k2", "k3")].join(","), "another tenant holds one of its keys")]
#[case::name_that_ends_a_header(&TENANT.replace("t1", "t1\\r\\nEvil: 1"), "is no name that a header can carry")]
#[case::negative_rate(&TENANT.replace("\"rate-per-s\":5", "\"rate-per-s\":-5"), "is out of range")]
fn an_invalid_configuration_says_what_is_wrong(#[case] items: &str, #[case] reason: &str) {
    let before = state();
    let text = body("00000003", "00000002", &[items, SERVICES].join(","));
    let refused = before.check(&ConfigUpdate::parse(text.as_bytes(), true).expect("form"));
    match refused {
        Err(Rejection::Invalid(e)) => assert_eq!(e.reason, reason, "{e}"),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::cut_short(&body("00000003", "00000002", ROUTE)[..200])]
#[case::no_version(r#"{"resource-list":[]}"#)]
#[case::version_not_hexadecimal(r#"{"config-version":"0000000g","resource-list":[]}"#)]
#[case::no_list(r#"{"config-version":"00000003"}"#)]
#[case::unknown_kind(r#"{"config-version":"00000003","resource-list":[{"resource-kind":"x","metadata":{"name":"a"},"specification":{}}]}"#)]
#[case::no_name(r#"{"config-version":"00000003","resource-list":[{"resource-kind":"routes","metadata":{},"specification":{}}]}"#)]
#[case::not_utf8("")]
fn an_order_without_form_is_refused(#[case] text: &str) {
    assert!(ConfigUpdate::parse(text.as_bytes(), true).is_err());
    assert!(ConfigUpdate::parse(&[0xff, 0xfe], true).is_err());
}

#[rstest]
#[case::old_version("00000002", "00000002", false)]
#[case::stale_base("00000003", "00000001", true)]
#[case::base_of_the_future("00000004", "00000003", true)]
fn versions_go_forward_one_on_the_other(#[case] version: &str, #[case] base: &str, #[case] stale: bool) {
    let text = body(version, base, SERVICES);
    let refused =
        state().check(&ConfigUpdate::parse(text.as_bytes(), true).expect("form")).expect_err("refused");
    assert_eq!(matches!(refused, Rejection::VersionConflict(2)), stale, "{refused:?}");
}

#[rstest]
fn an_update_changes_named_items_only_and_comes_again_unchanged() {
    let mut state = state();
    let changed = ROUTE.replace("1200ms", "900ms");
    let text = format!(
        r#"{{"config-version":"00000005","base-version":"00000002","upsert":{{"resource-list":[{changed}]}},"remove":{{"routes":["r2"],"tenants":["t1"]}}}}"#
    );
    let order = ConfigUpdate::parse(text.as_bytes(), false).expect("form");
    assert!(!state.has_applied(&order));
    take(&mut state, &text, false);
    assert!(state.has_applied(&order), "the same order again is known");
    let snapshot = state.compile_snapshot().expect("plan");
    assert_eq!(snapshot.route("a.example", "/x/long/1").expect("route").timeout, 900_000);
    assert_eq!((snapshot.services.len(), snapshot.tenants.len()), (2, 0));
    // Another order under the same version is another order.
    let other = ConfigUpdate::parse(text.replace("900ms", "901ms").as_bytes(), false).expect("form");
    assert!(!state.has_applied(&other));
}

#[rstest]
#[case("a.example", "/x/1", Some("r1"))]
#[case("A.Example", "/x/1", Some("r1"))]
#[case("a.example", "/x/long/1", Some("r2"))]
#[case("a.example", "/x/longer/1", Some("r1"))]
#[case("a.example", "/y/", None)]
#[case("b.example", "/x/", None)]
fn the_longest_prefix_of_the_host_is_the_route(
    #[case] host: &str,
    #[case] path: &str,
    #[case] route: Option<&str>,
) {
    let snapshot = state().compile_snapshot().expect("plan");
    assert_eq!(snapshot.route(host, path).map(|r| r.name.as_str()), route);
}

#[rstest]
fn limiters_and_zones_come_and_go_with_the_state() {
    let mut state = state();
    state.apply(&Operation::SetGateways { add: vec![1, 2], remove: vec![] });
    state.apply(&Operation::SetGateways { add: vec![3], remove: vec![1] });
    state.apply(&Operation::Evacuate {
        zone: "z".into(),
        starts: true,
        call_id: 0,
        retry_of: 0,
        taken_by: None,
    });
    assert_eq!((state.gateways.len(), state.evacuated.len(), state.slot), (2, 1, 4));
    state.apply(&Operation::Evacuate {
        zone: "z".into(),
        starts: false,
        call_id: 0,
        retry_of: 0,
        taken_by: None,
    });
    assert!(state.evacuated.is_empty());
}

/// Two evacuations of a zone that overlap: the first to be taken back does not end the other (EVAC, hunted day
/// `mix --seed 861325607874` of voz-comum-antena).
#[rstest]
fn an_evacuation_lasts_until_the_last_of_them_is_taken_back() {
    let mut state = state();
    let step = |state: &mut State, begun| {
        state.apply(&Operation::Evacuate {
            zone: "z".into(),
            starts: begun,
            call_id: 0,
            retry_of: 0,
            taken_by: None,
        });
        state.evacuated.contains_key("z")
    };
    assert!(step(&mut state, true) && step(&mut state, true));
    assert!(step(&mut state, false), "the other one is still in force");
    assert!(!step(&mut state, false));
    assert!(!step(&mut state, false), "one that is not in force cannot be taken back");
    assert!(step(&mut state, true));
}
