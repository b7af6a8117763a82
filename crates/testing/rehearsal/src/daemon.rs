//! Finds the limiter's program, or builds it where the kit runs through cargo.

use crate::KitError;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Name of the program.
const PROGRAM: &str = "limeway";
/// The package that holds it.
const PACKAGE: &str = "limeway-gateway";

/// The program to rehearse: the one named, else the one that cargo builds from this checkout, else the one beside the
/// kit's own.
///
/// # Errors
/// There is none, or it cannot be built.
pub fn find(named: Option<&Path>) -> Result<PathBuf, KitError> {
    if let Some(path) = named {
        return if path.is_file() {
            path.canonicalize().map_err(|e| KitError::File(path.display().to_string(), e))
        } else {
            Err(KitError::Daemon(format!("{} is no file", path.display())))
        };
    }
    if let (Some(cargo), Some(manifest)) = (std::env::var_os("CARGO"), std::env::var_os("CARGO_MANIFEST_DIR"))
    {
        return build(Path::new(&cargo), Path::new(&manifest), true);
    }
    let own = std::env::current_exe().map_err(|e| KitError::Daemon(e.to_string()))?;
    let beside = own.with_file_name(PROGRAM);
    if beside.is_file() {
        return Ok(beside);
    }
    Err(KitError::Daemon(format!("no {PROGRAM} beside {}; name one with --limiter", own.display())))
}

/// Builds the program as it ships, from the checkout that holds a package, and tells where it is.
///
/// # Errors
/// It cannot be built.
pub fn build(cargo: &Path, manifest_dir: &Path, release: bool) -> Result<PathBuf, KitError> {
    let mut command = Command::new(cargo);
    command.args([
        "build",
        "--locked",
        "-p",
        PACKAGE,
        "--bin",
        PROGRAM,
        "--message-format=json-render-diagnostics",
    ]);
    if release {
        command.arg("--release");
    }
    let built = command
        .current_dir(manifest_dir)
        .stdin(Stdio::null())
        .stderr(Stdio::inherit())
        .output()
        .map_err(|e| KitError::Daemon(format!("cannot run cargo: {e}")))?;
    if !built.status.success() {
        return Err(KitError::Daemon("it does not build".into()));
    }
    String::from_utf8_lossy(&built.stdout)
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|message| message["target"]["name"] == PROGRAM)
        .filter_map(|message| message["executable"].as_str().map(PathBuf::from))
        .next_back()
        .ok_or_else(|| KitError::Daemon("cargo does not tell where it is".into()))
}
