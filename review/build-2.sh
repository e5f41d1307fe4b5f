#!/usr/bin/env bash
# Builds the stand-ins and the cases that `review/4` and the folders after it run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
