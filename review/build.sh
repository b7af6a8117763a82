#!/bin/sh
# Builds the stand-ins of the scripts: one program, by the Rust compiler alone, without packages.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
