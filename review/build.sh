#!/usr/bin/env bash
# Builds the stand-ins that the cases start. No dependency, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
