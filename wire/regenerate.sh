#!/usr/bin/env bash
# Regenerates wire/src/generated and platform/src/bodies.rs. Requires the Debian package capnproto.
set -euo pipefail
cd "$(dirname "$0")"
cargo run --quiet --manifest-path generator/Cargo.toml
