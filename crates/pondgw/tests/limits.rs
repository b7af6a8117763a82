//! The module's limits: 1,200 lines that are not blank, of 110 characters at most.

#[test]
fn the_module_stays_within_its_limits() {
    let text = include_str!("../src/rules.rs");
    let lines: Vec<&str> = text.lines().filter(|l| !l.trim().is_empty()).collect();
    assert!(lines.len() <= 1_200, "{} lines", lines.len());
    for line in lines {
        assert!(line.chars().count() <= 110, "too long: {line}");
    }
    assert!(text.lines().take(3).any(|l| l.contains("src/interface.rs")), "names its interface at the top");
}
