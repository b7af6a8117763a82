//! Links the libraries of the C compiler and of mathematics into the program; only the system's C library is loaded at its start.
//!
//! A signal ends a process whose program is still being loaded, so loading is kept short: each library that is loaded takes time.

use std::path::PathBuf;
use std::{env, fs, io};

/// Linker scripts that stand in for a shared library: its file name, and what is linked in its place.
const STATIC_LIBRARIES: [(&str, &str); 2] =
    [("libgcc_s.so", "INPUT(-lgcc_eh)\n"), ("libm.so", "INPUT(libm.a)\n")];

fn main() -> io::Result<()> {
    println!("cargo:rerun-if-changed=build.rs");
    let is_glibc = env::var("CARGO_CFG_TARGET_OS").is_ok_and(|os| os == "linux")
        && env::var("CARGO_CFG_TARGET_ENV").is_ok_and(|libc| libc == "gnu");
    let Some(folder) = env::var_os("OUT_DIR").map(PathBuf::from).filter(|_| is_glibc) else {
        return Ok(());
    };
    for (name, script) in STATIC_LIBRARIES {
        fs::write(folder.join(name), script)?;
    }
    println!("cargo:rustc-link-arg-bins=-L{}", folder.display());
    Ok(())
}
