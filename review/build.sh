#!/bin/sh
# Builds the stand-ins of all scripts below review/. They have no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
