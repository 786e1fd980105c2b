#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
