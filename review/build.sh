#!/bin/sh
# Builds the stand-ins of the scripts; they need only the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/tests/standin.rs
