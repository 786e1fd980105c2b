#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review. They need no library, so that no network is used.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline --target-dir target
