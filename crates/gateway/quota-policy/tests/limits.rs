//! The module's limits: 1,200 lines in all its files that are not blank, of 110 characters at most.

use std::path::Path;

#[test]
fn the_module_stays_within_its_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..");
    let read = |path: &Path| std::fs::read_to_string(path).expect("a file of the module");
    // The files are those that the platform is told of, and none of the folder is left out.
    let deploy = read(&root.join("deploy/balancer.toml"));
    let policy = deploy.lines().find_map(|l| l.strip_prefix("policy = ")).expect("policy");
    let files: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    let folder = std::fs::read_dir(root.join("crates/gateway/quota-policy/src/rules")).expect("the folder");
    for file in folder.map(|f| f.expect("an entry").file_name()) {
        let name = format!("crates/gateway/quota-policy/src/rules/{}", file.to_string_lossy());
        assert!(files.contains(&name.as_str()), "{name} is not under policy");
    }
    let texts: Vec<String> = files.iter().map(|f| read(&root.join(f))).collect();
    let lines: Vec<&str> = texts.iter().flat_map(|t| t.lines()).filter(|l| !l.trim().is_empty()).collect();
    assert!(lines.len() <= 1_200, "{} lines", lines.len());
    for line in lines {
        assert!(line.chars().count() <= 110, "too long: {line}");
    }
    assert_eq!(files[0], "crates/gateway/quota-policy/src/rules.rs");
    assert!(
        texts[0].lines().take(3).any(|l| l.contains("src/interface.rs")),
        "names its interface at the top"
    );
}
