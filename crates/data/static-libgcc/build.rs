//! Puts an archive in the place of the shared library of the C compiler, for all that link this package.

use std::path::PathBuf;
use std::{env, fs, io};

/// File name of the shared library that the standard library asks for.
const SHARED_LIBRARY: &str = "libgcc_s.so";
/// Linker script in its place: the archive with the same functions.
const STATIC_LIBRARY_SCRIPT: &str = "INPUT(-lgcc_eh)\n";

fn main() -> io::Result<()> {
    println!("cargo:rerun-if-changed=build.rs");
    let is_glibc = env::var("CARGO_CFG_TARGET_OS").is_ok_and(|os| os == "linux")
        && env::var("CARGO_CFG_TARGET_ENV").is_ok_and(|libc| libc == "gnu");
    let Some(folder) = env::var_os("OUT_DIR").map(PathBuf::from).filter(|_| is_glibc) else {
        return Ok(());
    };
    fs::write(folder.join(SHARED_LIBRARY), STATIC_LIBRARY_SCRIPT)?;
    println!("cargo:rustc-link-search=native={}", folder.display());
    Ok(())
}
