#!/bin/bash
# Builds the stand-ins that the cases start. The project's own programs that they start are built
# by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
