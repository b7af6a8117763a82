//! Links the library of the C compiler into the programs that depend on this package, as `gcc -static-libgcc` does for C.
//!
//! One library fewer is loaded at their start then. A signal ends a process whose program is still being loaded, so
//! loading is kept short. All of it is done by the build script.
