//! The built-in scenarios.

/// The built-in scenarios: name and text.
const BUILTINS: [(&str, &str); 10] = [
    ("worst-quarter", include_str!("../builtin/worst-quarter.toml")),
    ("overload", include_str!("../builtin/overload.toml")),
    ("quiet", include_str!("../builtin/quiet.toml")),
    ("drain", include_str!("../builtin/drain.toml")),
    ("restarts", include_str!("../builtin/restarts.toml")),
    ("replaced", include_str!("../builtin/replaced.toml")),
    ("cold-fleet", include_str!("../builtin/cold-fleet.toml")),
    ("counter-lost", include_str!("../builtin/counter-lost.toml")),
    ("counter-down", include_str!("../builtin/counter-down.toml")),
    ("fleet", include_str!("../builtin/fleet.toml")),
];

/// Names and texts of the built-in scenarios, the usual one first.
pub fn builtins() -> &'static [(&'static str, &'static str)] {
    &BUILTINS
}

/// The text of a built-in scenario.
pub fn builtin(name: &str) -> Option<&'static str> {
    BUILTINS.iter().find(|b| b.0 == name).map(|b| b.1)
}
