#!/usr/bin/env bash
# Regenerates wire/src/generated. Needs Debian's package capnproto.
set -euo pipefail
cd "$(dirname "$0")"
cargo run --quiet --manifest-path generator/Cargo.toml
